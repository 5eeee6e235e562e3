//! Incremental decoding of the body of an HTTP response: chunked, of a given length, or until the
//! connection is closed. The module performs no I/O.

use super::error::WatchError;

/// Maximum size of a chunk in bytes, and therefore of a list that is sent as one chunk.
const MAX_CHUNK: usize = 4 << 20;
/// Maximum length of the header line of a chunk, in bytes.
const MAX_CHUNK_HEADER: usize = 32 * 1024;
const LINE_END: &[u8] = b"\r\n";

/// Framing of the body.
#[derive(Debug)]
pub(super) enum Body {
    Chunked {
        /// Number of bytes of the current chunk that have not arrived yet, including its line end.
        remaining: usize,
    },
    Length {
        /// Number of bytes of the body that have not arrived yet.
        remaining: usize,
    },
    UntilClose,
}

impl Body {
    /// Returns whether a chunk has begun and is incomplete.
    pub(super) fn is_in_chunk(&self) -> bool {
        matches!(self, Body::Chunked { remaining: 1.. })
    }

    /// Moves the received bytes of the body from `input` to `text`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body violates the protocol or has ended.
    pub(super) fn decode(
        &mut self,
        input: &mut Vec<u8>,
        text: &mut Vec<u8>,
    ) -> Result<(), WatchError> {
        match self {
            Body::UntilClose => text.append(input),
            Body::Length { remaining } => {
                let length = input.len().min(*remaining);
                text.extend(input.drain(..length));
                *remaining -= length;
                if *remaining == 0 {
                    return Err(WatchError::ResponseEnded);
                }
            }
            Body::Chunked { remaining } => while decode_chunk(remaining, input, text)? {},
        }
        Ok(())
    }
}

/// Decodes the next part of a chunk. Returns false if more input is needed.
fn decode_chunk(
    remaining: &mut usize,
    input: &mut Vec<u8>,
    text: &mut Vec<u8>,
) -> Result<bool, WatchError> {
    if *remaining == 0 {
        return parse_chunk_header(remaining, input);
    }
    if *remaining > LINE_END.len() {
        let length = input.len().min(*remaining - LINE_END.len());
        text.extend(input.drain(..length));
        *remaining -= length;
        return Ok(*remaining <= LINE_END.len());
    }
    let length = input.len().min(*remaining);
    let expected = &LINE_END[LINE_END.len() - *remaining..][..length];
    if &input[..length] != expected {
        return Err(WatchError::ChunkEnd);
    }
    input.drain(..length);
    *remaining -= length;
    Ok(*remaining == 0)
}

fn parse_chunk_header(remaining: &mut usize, input: &mut Vec<u8>) -> Result<bool, WatchError> {
    match httparse::parse_chunk_size(input) {
        Ok(httparse::Status::Complete((_, 0))) => Err(WatchError::ResponseEnded),
        Ok(httparse::Status::Complete((_, size))) if size > MAX_CHUNK as u64 => {
            Err(WatchError::ChunkTooLong {
                size,
                limit: MAX_CHUNK,
            })
        }
        Ok(httparse::Status::Complete((length, size))) => {
            input.drain(..length);
            *remaining = size as usize + LINE_END.len();
            Ok(true)
        }
        Ok(httparse::Status::Partial) if input.len() < MAX_CHUNK_HEADER => Ok(false),
        Ok(httparse::Status::Partial) | Err(_) => Err(WatchError::ChunkLength),
    }
}
