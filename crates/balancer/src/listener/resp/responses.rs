//! Encoding of final answers.

use crate::request::FinalAnswer;
use crate::resp;
use crate::timers::MS;

/// Maximum number of bytes of the header and the line end of a bulk string.
const BULK_OVERHEAD: usize = 16;

/// Encodes an error line.
pub(super) fn encode_error(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    resp::write_error(&mut out, text);
    out
}

/// Encodes a final answer.
pub(super) fn encode(answer: FinalAnswer) -> Vec<u8> {
    match answer {
        FinalAnswer::Served(value) => {
            let mut out = Vec::with_capacity(value.len() + BULK_OVERHEAD);
            resp::write_bulk(&mut out, &value);
            out
        }
        // The value itself is sent in chunks.
        FinalAnswer::Streaming { length, .. } => format!("${length}\r\n").into_bytes(),
        FinalAnswer::Rejected { retry_after: 0 } => encode_error("BUSY"),
        FinalAnswer::Rejected { retry_after } => {
            encode_error(&format!("BUSY {}", retry_after.div_ceil(MS)))
        }
        FinalAnswer::Failed => encode_error("ERR failed"),
        FinalAnswer::Invalid(reason) => encode_error(&format!("ERR {reason}")),
    }
}
