//! Streaming of long values. A long value is recognised by the header of a cache's response,
//! forwarded while it arrives, and checked for a valid end. The module performs no I/O.

use crate::resp::{
    CacheResponse, RESPONSE_VALUE_MAX, RespError, VALUE_MAX, parse_long_value_header,
    parse_response_tail,
};

/// Minimum number of bytes of a value that must have arrived before forwarding begins, unless it
/// has to begin at once. Most unreadable responses show their fault within these bytes, while
/// another attempt can still replace them.
const START_THRESHOLD: usize = 4 * 1024;

/// When the forwarding of a long value begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStart {
    /// When 4 KiB of the value have arrived.
    AtThreshold,
    /// When its header has arrived.
    Immediate,
}

impl StreamStart {
    fn min_length(self) -> usize {
        match self {
            StreamStart::AtThreshold => START_THRESHOLD,
            StreamStart::Immediate => 0,
        }
    }
}

/// State of a value that is being forwarded.
#[derive(Debug)]
pub struct ResponseStream {
    /// Number of bytes of the value that have not arrived yet.
    remaining: usize,
}

/// Part of a response after a long value.
#[derive(Debug, PartialEq, Eq)]
pub struct StreamTail {
    /// Response with the cache status and load report; its value is empty.
    pub response: CacheResponse,
    /// Length of the part after the value in bytes; `None` if its end has not arrived.
    pub length: Option<usize>,
}

/// Returns the position and length of the value if `input` begins a response with a long value.
fn long_value_start(input: &[u8]) -> Option<(usize, usize)> {
    parse_long_value_header(input)
        .filter(|(_, length)| (VALUE_MAX + 1..=RESPONSE_VALUE_MAX).contains(length))
}

/// Returns whether `input` begins a response with a long value.
#[must_use]
pub fn has_long_value(input: &[u8]) -> bool {
    long_value_start(input).is_some()
}

impl ResponseStream {
    /// Begins to forward a value if it is long and as much of it has arrived as `stream_start` requires.
    /// Returns the stream and the value's length. The header is removed from `input`; the bytes of
    /// the value remain.
    pub fn begin(input: &mut Vec<u8>, stream_start: StreamStart) -> Option<(Self, usize)> {
        let (start, length) = long_value_start(input)?;
        if input.len() - start < stream_start.min_length() {
            return None;
        }
        input.drain(..start);
        Some((ResponseStream { remaining: length }, length))
    }

    /// Removes the bytes that belong to the value from `input` and returns them.
    pub fn take_chunk(&mut self, input: &mut Vec<u8>) -> Vec<u8> {
        let remainder = input.split_off(self.remaining.min(input.len()));
        let chunk = std::mem::replace(input, remainder);
        self.remaining -= chunk.len();
        chunk
    }

    /// Returns the number of bytes of the value that have not been taken yet.
    #[must_use]
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// Parses the part of the response after the value. Returns `None` until the whole value has
    /// been taken and the part after it has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes violate the protocol.
    pub fn tail(&self, input: &[u8]) -> Result<Option<StreamTail>, RespError> {
        if self.remaining > 0 {
            return Ok(None);
        }
        let tail = parse_response_tail(input)?;
        Ok(tail.map(|(response, length)| StreamTail { response, length }))
    }
}

#[cfg(test)]
mod tests;
