//! What goes to an endpoint on a connection, and what becomes of it.

use crate::resp::{Answer, Reply};
use routing::{AttemptNumber, EndpointId, Nanos, RequestId};
use std::io;
use std::net::SocketAddr;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamJob {
    /// An attempt of a request.
    Attempt(RequestId, AttemptNumber),
    /// A health check, by its number.
    HealthCheck(u64),
}

/// A job that is to go out.
#[derive(Clone, Copy, Debug)]
pub struct OutboundCommand {
    /// The job.
    pub job: UpstreamJob,
    /// Where it goes.
    pub endpoint: EndpointId,
    /// When it times out.
    pub deadline: Nanos,
}

/// How a job ended.
#[derive(Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The endpoint's reply to a health check.
    Reply(Reply),
    /// The endpoint's answer to an attempt.
    Response(Answer),
    /// The answer breaks the protocol or ended short: the command may have run.
    Unreadable,
    /// No connection came up, or it broke before the last byte was written: the command never ran.
    ConnectFailed,
    /// The connection broke after that: the command may have run.
    Reset,
    /// No further connection is allowed: the command never ran, which says nothing of the endpoint.
    NoCapacity,
}

/// What happened to a job.
#[derive(Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// Its connection is up and nothing of it is written: it begins now with
    /// [`UpstreamPool::send_command`](super::UpstreamPool::send_command) or is abandoned.
    Connected {
        /// The job.
        job: UpstreamJob,
    },
    /// It is over.
    Completed {
        /// The job.
        job: UpstreamJob,
        /// How it ended.
        result: ExchangeResult,
    },
    /// A long value has begun to arrive; its chunks follow, and the job's completion.
    StreamStarted {
        /// The job.
        job: UpstreamJob,
        /// The value's length in bytes.
        length: usize,
    },
    /// The next bytes of a long value.
    StreamChunk {
        /// The job.
        job: UpstreamJob,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// Why there is no connection for a job.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("endpoint {} is not listed or is draining", .0.0)]
    Unavailable(EndpointId),
    #[error("endpoint at {address}: {source}")]
    Unreachable {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("all {limit} connections that endpoint {} may have are busy", endpoint.0)]
    EndpointLimit { endpoint: EndpointId, limit: usize },
    #[error("all {limit} connections to endpoints are busy")]
    PoolLimit { limit: usize },
    #[error("socket for the endpoint at {address}: {source}")]
    Socket {
        address: SocketAddr,
        source: io::Error,
    },
}

impl From<ConnectError> for ExchangeResult {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Unavailable(_) | ConnectError::Unreachable { .. } => {
                ExchangeResult::ConnectFailed
            }
            // The balancer lacks descriptors or ports; the endpoint is not to blame.
            ConnectError::EndpointLimit { .. }
            | ConnectError::PoolLimit { .. }
            | ConnectError::Socket { .. } => ExchangeResult::NoCapacity,
        }
    }
}
