//! Errors of a watch.

use super::call::CallStage;
use super::messages::MessageError;
use std::io;

/// Reason why a watch failed or ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    #[error("connecting failed: {0}")]
    Connect(#[source] io::Error),
    #[error("registering the socket with the poller failed: {0}")]
    Register(#[source] io::Error),
    #[error("writing the request failed: {0}")]
    Write(#[source] io::Error),
    #[error("reading the response failed: {0}")]
    Read(#[source] io::Error),
    #[error("discovery closed the connection")]
    Closed,
    #[error("the response headers exceed {limit} bytes")]
    HeadersTooLong { limit: usize },
    #[error("the response headers are invalid: {0}")]
    Headers(#[from] httparse::Error),
    #[error("the response has status {0}, expected 200")]
    Status(u16),
    #[error("the content-length \"{0}\" is not a number")]
    ContentLength(String),
    #[error("the response has ended")]
    ResponseEnded,
    #[error("a chunk does not end with a line end")]
    ChunkEnd,
    #[error("a chunk has {size} bytes, the maximum is {limit}")]
    ChunkTooLong { size: u64, limit: usize },
    #[error("a chunk has no valid length")]
    ChunkLength,
    #[error("invalid endpoint list: {0}")]
    Message(#[from] MessageError),
    #[error("no data for {silent_ms} ms, {stage}; calling again")]
    Silent { silent_ms: u64, stage: CallStage },
}
