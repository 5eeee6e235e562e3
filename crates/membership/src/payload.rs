//! Encoding and decoding of payloads, in the `postcard` format.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a payload is dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PayloadError {
    /// The bytes are no message of this kind.
    #[error("the payload cannot be decoded: {0}")]
    Undecodable(#[from] postcard::Error),
    /// A list or a name exceeds its bound.
    #[error("{what} exceed the limit of {limit}")]
    OverLimit {
        /// What there is too much of.
        what: &'static str,
        /// The bound.
        limit: usize,
    },
    /// A list of checksums has another length than this version's.
    #[error("{actual} bytes of checksums instead of {expected}")]
    DigestLength {
        /// The length of this version's digests, in bytes.
        expected: usize,
        /// The length of the received one, in bytes.
        actual: usize,
    },
    /// A shedding level is outside the range of the tiers.
    #[error("the shedding level {0} is out of range")]
    LevelOutOfRange(String),
    /// `foca` rejects a datagram of SWIM.
    #[error("SWIM: {0}")]
    Swim(String),
    /// A message for members with a region came to one without.
    #[error("this member has no region")]
    NoRegion,
}

pub(crate) fn decode<'a, T: Deserialize<'a>>(payload: &'a [u8]) -> Result<T, PayloadError> {
    Ok(postcard::from_bytes(payload)?)
}

/// Encodes a message; the messages of this crate cannot fail to encode.
pub(crate) fn encode<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap_or_default()
}

pub(crate) fn encoded_length<T: Serialize + ?Sized>(message: &T) -> usize {
    postcard::to_stdvec(message).map_or(usize::MAX, |bytes| bytes.len())
}

/// The bytes that are left in a payload.
pub(crate) struct PayloadBudget(usize);

impl PayloadBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        PayloadBudget(bytes)
    }

    /// Takes the bytes of an item if they are left; whether they were.
    pub(crate) fn take<T: Serialize>(&mut self, item: &T) -> bool {
        let left = self.0.checked_sub(encoded_length(item));
        self.0 = left.unwrap_or(self.0);
        left.is_some()
    }

    /// Appends an item to a list if it fits; whether it did.
    pub(crate) fn push<T: Serialize>(&mut self, list: &mut Vec<T>, item: T) -> bool {
        let fits = self.take(&item);
        if fits {
            list.push(item);
        }
        fits
    }
}
