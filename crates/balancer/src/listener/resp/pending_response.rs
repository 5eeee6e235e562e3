//! Responses that wait on a client connection for their turn or for the rest of their value.

use super::streamed_value::StreamedValue;
use routing::RequestId;

/// A response that is not sent yet: the request is unanswered, or earlier responses are pending.
#[derive(Debug)]
pub(super) enum PendingResponse {
    /// The request is not answered yet.
    Waiting(RequestId),
    /// Encoded response.
    Answered(Vec<u8>),
    /// The value is being streamed.
    Streaming(Box<StreamedValue>),
}

impl PendingResponse {
    /// Returns the number of bytes held in memory.
    pub(super) fn buffered_bytes(&self) -> usize {
        match self {
            PendingResponse::Answered(bytes) => bytes.capacity(),
            PendingResponse::Streaming(value) => value.bytes.capacity(),
            PendingResponse::Waiting(_) => 0,
        }
    }

    /// Returns the request, unless its whole answer is known.
    pub(super) fn unfinished_request(&self) -> Option<RequestId> {
        match self {
            PendingResponse::Waiting(request) => Some(*request),
            PendingResponse::Streaming(value) => Some(value.request),
            PendingResponse::Answered(_) => None,
        }
    }
}
