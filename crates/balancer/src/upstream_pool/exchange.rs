//! Jobs for endpoints, and their results and events.

use crate::resp::{CacheResponse, Reply};
use routing::{AttemptNumber, EndpointId, Nanos, RequestId};
use std::io;
use std::net::SocketAddr;

/// Purpose for which a connection is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamJob {
    /// One attempt of a request.
    Attempt(RequestId, AttemptNumber),
    /// A health check, identified by its number.
    HealthCheck(u64),
}

/// A job to be sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct OutboundCommand {
    /// Job to be sent.
    pub job: UpstreamJob,
    /// Endpoint that receives the command.
    pub endpoint: EndpointId,
    /// Time at which the job times out; the latest time for establishing the connection.
    pub deadline: Nanos,
    /// Whether the job may use the connections that are reserved for clients known to read.
    pub may_use_reserve: bool,
}

/// Result of a job.
#[derive(Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The endpoint's reply to a health check.
    Reply(Reply),
    /// The endpoint's response to an attempt.
    Response(CacheResponse),
    /// The response violates the protocol or is truncated. The command may have run.
    Unreadable,
    /// No connection was established, or it broke before the last byte was written. The command
    /// never ran.
    ConnectFailed,
    /// The connection broke after the last byte was written. The command may have run.
    Reset,
    /// No connection could be opened for lack of capacity in the balancer. The command never ran.
    /// The endpoint did not cause this.
    NoCapacity,
}

/// Event of a job.
#[derive(Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// The job's connection is established and nothing of its command is written. The caller either
    /// calls [`UpstreamPool::send_command`](super::UpstreamPool::send_command) or abandons the job.
    Connected {
        /// Job that was assigned to the connection.
        job: UpstreamJob,
    },
    /// The job has ended.
    Completed {
        /// Job that ended.
        job: UpstreamJob,
        /// Result of the job.
        result: ExchangeResult,
    },
    /// The head of a long value has arrived, and too little of the value to stream it. Either
    /// [`UpstreamEvent::StreamStarted`] or the completion of the job follows.
    LongValueBegun {
        /// Job to which the value belongs.
        job: UpstreamJob,
    },
    /// A response that has begun, and is not streamed, makes no progress. The job goes on.
    ResponseStalled {
        /// Job to which the response belongs.
        job: UpstreamJob,
    },
    /// A long value has begun to arrive. Its chunks and the completion of the job follow.
    StreamStarted {
        /// Job to which the value belongs.
        job: UpstreamJob,
        /// Length of the whole value in bytes.
        length: usize,
    },
    /// The next bytes of a long value have arrived.
    StreamChunk {
        /// Job to which the value belongs.
        job: UpstreamJob,
        /// The received bytes.
        bytes: Vec<u8>,
    },
}

/// Reason why a job gets no connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("endpoint {} has no address or is draining", .0.0)]
    Unavailable(EndpointId),
    #[error("connecting to the endpoint at {address} failed: {source}")]
    Unreachable {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("all {limit} connections allowed to endpoint {} are busy", endpoint.0)]
    EndpointLimit { endpoint: EndpointId, limit: usize },
    #[error("all {limit} connections allowed to endpoints are busy")]
    PoolLimit { limit: usize },
    #[error("the free connections are reserved for clients that are known to read")]
    OnlyReserve,
    #[error("no socket for the endpoint at {address}: {source}")]
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
            // The balancer lacks connections, descriptors or ports. The endpoint must not be
            // charged for that.
            ConnectError::EndpointLimit { .. }
            | ConnectError::PoolLimit { .. }
            | ConnectError::OnlyReserve
            | ConnectError::Socket { .. } => ExchangeResult::NoCapacity,
        }
    }
}
