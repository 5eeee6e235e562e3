//! Encoding and decoding of payloads, in the `postcard` format.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Reason for dropping a payload.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PayloadError {
    /// The bytes do not decode as a message of this kind.
    #[error("cannot decode the payload: {0}")]
    Undecodable(#[from] postcard::Error),
    /// A list or a name exceeds its limit.
    #[error("the number of {what} exceeds the limit of {limit}")]
    OverLimit {
        /// Quantity that is limited, as a plural noun phrase.
        what: &'static str,
        /// Limit that is exceeded.
        limit: usize,
    },
    /// The length of a digest differs from that of this version's digests.
    #[error("the digest has {actual} bytes; expected {expected}")]
    DigestLength {
        /// Length of this version's digests, in bytes.
        expected: usize,
        /// Length of the received digest, in bytes.
        actual: usize,
    },
    /// A shedding level is not between 0 and the number of tiers.
    #[error("the shedding level {0} is not between 0 and the number of tiers")]
    LevelOutOfRange(String),
    /// `foca` rejected a SWIM message.
    #[error("foca rejected the SWIM message: {0}")]
    Swim(String),
    /// A message of a fleet with regions reached a member without a region.
    #[error("received a message of a fleet with regions, but this member has no region")]
    NoRegion,
}

pub(crate) fn decode<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, PayloadError> {
    Ok(postcard::from_bytes(payload)?)
}

/// Encodes a message. Encoding cannot fail for the message types of this crate.
pub(crate) fn encode<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

pub(crate) fn encoded_length<T: Serialize + ?Sized>(message: &T) -> usize {
    postcard::to_stdvec(message).map_or(usize::MAX, |bytes| bytes.len())
}

/// Remaining bytes of a payload.
pub(crate) struct PayloadBudget(usize);

impl PayloadBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        PayloadBudget(bytes)
    }

    /// Reserves the encoded length of an item if it fits. Returns whether it fitted.
    pub(crate) fn reserve<T: Serialize>(&mut self, item: &T) -> bool {
        let remaining = self.0.checked_sub(encoded_length(item));
        self.0 = remaining.unwrap_or(self.0);
        remaining.is_some()
    }

    /// Appends an item to a list if it fits. Returns whether it was appended.
    pub(crate) fn push<T: Serialize>(&mut self, list: &mut Vec<T>, item: T) -> bool {
        let fits = self.reserve(&item);
        if fits {
            list.push(item);
        }
        fits
    }
}
