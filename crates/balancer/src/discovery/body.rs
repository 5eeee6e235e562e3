//! The body of an HTTP response that arrives in pieces: chunked, of a given length, or until the
//! connection ends. No I/O.

use super::error::WatchError;

/// The longest chunk, and so the largest list that is sent as one.
const MAX_CHUNK: usize = 4 << 20;
/// The longest line with a chunk's length.
const MAX_CHUNK_HEAD: usize = 32 * 1024;
const LINE_END: &[u8] = b"\r\n";

/// How the body's end is known.
#[derive(Debug)]
pub(super) enum Body {
    Chunked {
        /// Bytes of the chunk at hand that are still to come, its line end included.
        remaining: usize,
    },
    Length {
        remaining: usize,
    },
    UntilClose,
}

impl Body {
    /// Whether a chunk has begun and is not over.
    pub(super) fn is_in_chunk(&self) -> bool {
        matches!(self, Body::Chunked { remaining: 1.. })
    }

    /// Moves what has arrived of the body from `input` to `text`.
    ///
    /// # Errors
    ///
    /// Says how the body breaks the protocol, or that it is over.
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

/// Takes the next part of a chunk; false once more has to arrive.
fn decode_chunk(
    remaining: &mut usize,
    input: &mut Vec<u8>,
    text: &mut Vec<u8>,
) -> Result<bool, WatchError> {
    if *remaining == 0 {
        return read_chunk_head(remaining, input);
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

fn read_chunk_head(remaining: &mut usize, input: &mut Vec<u8>) -> Result<bool, WatchError> {
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
        Ok(httparse::Status::Partial) if input.len() < MAX_CHUNK_HEAD => Ok(false),
        Ok(httparse::Status::Partial) | Err(_) => Err(WatchError::ChunkLength),
    }
}
