//! Final answers on the wire.

use crate::request::FinalAnswer;
use crate::resp;
use crate::timers::MS;

/// Bytes of the header and the end of a bulk string, at most.
const BULK_OVERHEAD: usize = 16;

/// Encodes an error.
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
        // The value itself arrives in parts.
        FinalAnswer::Streaming(length) => format!("${length}\r\n").into_bytes(),
        FinalAnswer::Rejected { retry_after: 0 } => encode_error("BUSY"),
        FinalAnswer::Rejected { retry_after } => {
            encode_error(&format!("BUSY {}", retry_after.div_ceil(MS)))
        }
        FinalAnswer::Failed => encode_error("ERR failed"),
        FinalAnswer::Invalid(problem) => encode_error(&format!("ERR {problem}")),
    }
}
