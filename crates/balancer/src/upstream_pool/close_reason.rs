//! Reasons for closing a connection to an endpoint, for the log.

use super::connection::UpstreamConnection;
use super::exchange::ExchangeResult;
use super::{ConnectionId, UpstreamJob};

/// Reason why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The engine cancelled the attempt: the request is answered, or its client has disconnected.
    Cancelled,
    /// The timeout of the attempt or health check has passed.
    TimedOut,
    /// The command must not be sent any more.
    NotSent,
    /// Another attempt has answered the request.
    Unneeded,
    /// The client of a long value has disconnected.
    ClientDisconnected,
    /// No connection was established, or it broke before the whole command was written; or the
    /// endpoint drains or has a new process.
    ConnectFailed,
    /// The endpoint closed or reset the connection under its job.
    Reset,
    /// The response violates the protocol, or a forwarded value has stalled.
    Unreadable,
    /// The job is complete, and the connection can't carry another one.
    JobComplete,
    /// The connection was idle for too long, or is not needed.
    Idle,
    /// The endpoint sent something or closed the connection while it was idle.
    UnexpectedInput,
}

impl From<&ExchangeResult> for CloseReason {
    fn from(result: &ExchangeResult) -> Self {
        match result {
            ExchangeResult::Reply(_) | ExchangeResult::Response(_) => CloseReason::JobComplete,
            ExchangeResult::Unreadable => CloseReason::Unreadable,
            ExchangeResult::ConnectFailed | ExchangeResult::NoCapacity => {
                CloseReason::ConnectFailed
            }
            ExchangeResult::Reset => CloseReason::Reset,
        }
    }
}

/// Logs the close of a connection, with the state of its job.
pub(super) fn log_close(
    number: ConnectionId,
    connection: &UpstreamConnection,
    job: Option<UpstreamJob>,
    reason: CloseReason,
) {
    log::debug!(
        connection = number, endpoint = connection.endpoint.0, jobs = connection.jobs,
        written = connection.written, of = connection.command_length,
        unforwarded = connection.input.len(), response_begun = connection.has_response_begun();
        "connection to a cache closed: {reason:?}, {job:?}"
    );
}
