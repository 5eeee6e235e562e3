//! Why a watch failed.

use super::call::CallStage;
use super::messages::MessageError;
use std::io;

/// Why a watch failed or ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    #[error("connecting: {0}")]
    Connect(#[source] io::Error),
    #[error("registering the socket with the poller: {0}")]
    Register(#[source] io::Error),
    #[error("writing the request: {0}")]
    Write(#[source] io::Error),
    #[error("reading the response: {0}")]
    Read(#[source] io::Error),
    #[error("the connection was closed")]
    Closed,
    #[error("headers: longer than {limit} bytes")]
    HeadersTooLong { limit: usize },
    #[error("headers: {0}")]
    Headers(#[from] httparse::Error),
    #[error("status {0}, 200 is expected")]
    Status(u16),
    #[error("content-length: \"{0}\" is no length")]
    ContentLength(String),
    #[error("the response has ended")]
    ResponseEnded,
    #[error("chunk without its line end")]
    ChunkEnd,
    #[error("chunk of {size} bytes, at most {limit} are allowed")]
    ChunkTooLong { size: u64, limit: usize },
    #[error("chunk without a length")]
    ChunkLength,
    #[error("endpoint list: {0}")]
    Message(#[from] MessageError),
    #[error("silent for {silent_ms} ms, {stage}; it is called again")]
    Silent { silent_ms: u64, stage: CallStage },
}
