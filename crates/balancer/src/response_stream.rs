//! A long value on its way through: recognised by the first bytes of a cache's answer, forwarded
//! as it arrives, and checked for its end. No I/O.

use crate::resp::{
    Answer, RESPONSE_VALUE_MAX, RespError, VALUE_MAX, parse_long_value_header, parse_response_tail,
};

/// Bytes of a value that must have arrived before it is forwarded; most unreadable answers show
/// within these.
const START_THRESHOLD: usize = 4 * 1024;

/// A value that is being forwarded.
#[derive(Debug)]
pub struct ResponseStream {
    /// Bytes of the value that are still to arrive.
    remaining: usize,
}

/// What follows a long value.
#[derive(Debug, PartialEq, Eq)]
pub struct StreamTail {
    /// The cache status and load report; the value itself is left empty.
    pub answer: Answer,
    /// The length of what follows the value, if its end has arrived.
    pub length: Option<usize>,
}

/// Where a long value begins and how long it is, if `input` begins an answer with one.
fn long_start(input: &[u8]) -> Option<(usize, usize)> {
    parse_long_value_header(input)
        .filter(|(_, length)| (VALUE_MAX + 1..=RESPONSE_VALUE_MAX).contains(length))
}

/// Whether an answer that has begun carries a long value.
#[must_use]
pub fn is_long(input: &[u8]) -> bool {
    long_start(input).is_some()
}

impl ResponseStream {
    /// Begins to forward a value if it is a long one and enough of it has arrived. Returns the
    /// value's length too; `input` keeps what has arrived of the value.
    pub fn begin(input: &mut Vec<u8>) -> Option<(Self, usize)> {
        let (start, length) = long_start(input)?;
        if input.len() - start < START_THRESHOLD {
            return None;
        }
        input.drain(..start);
        Some((ResponseStream { remaining: length }, length))
    }

    /// Takes the bytes from `input` that belong to the value.
    pub fn take_chunk(&mut self, input: &mut Vec<u8>) -> Vec<u8> {
        let rest = input.split_off(self.remaining.min(input.len()));
        let chunk = std::mem::replace(input, rest);
        self.remaining -= chunk.len();
        chunk
    }

    /// Reads what follows the value, once all of the value has been taken.
    ///
    /// # Errors
    ///
    /// Says how the bytes break the protocol.
    pub fn tail(&self, input: &[u8]) -> Result<Option<StreamTail>, RespError> {
        if self.remaining > 0 {
            return Ok(None);
        }
        let end = parse_response_tail(input)?;
        Ok(end.map(|(answer, length)| StreamTail { answer, length }))
    }
}

#[cfg(test)]
mod tests;
