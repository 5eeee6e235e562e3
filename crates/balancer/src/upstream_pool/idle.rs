//! The pool's idle connections: their reuse, their eviction at the connection limits, and their
//! idle timeout.

use super::connection::UpstreamConnection;
use super::exchange::{ConnectError, UpstreamJob};
use super::{CloseReason, ConnectionId, UpstreamPool};
use crate::counters::Counters;
use crate::poll::sockets::is_open_without_input;
use crate::timers::MS;
use routing::{EndpointId, Nanos};

/// Minimum time between a response on a connection and the next job on it. A response does not
/// identify its job, and a cache may send a second response some milliseconds after the first. With
/// this delay the second response is detected while the connection is idle, and is never taken for
/// the response to the next job.
pub(super) const REUSE_DELAY: Nanos = 10 * MS;

/// The maximum number of connections divided by this is reserved for clients known to read.
const RESERVE_DIVISOR: usize = 4;

/// An endpoint gets at most the maximum number of connections divided by this.
const ENDPOINT_SHARE_DIVISOR: usize = 4;

impl UpstreamPool {
    /// Assigns a job to a reusable idle connection. Returns whether there was one.
    pub(super) fn assign_idle(
        &mut self,
        now: Nanos,
        job: UpstreamJob,
        endpoint: EndpointId,
        counters: &mut Counters,
    ) -> bool {
        while let Some(number) = self.take_idle(now, endpoint) {
            // A command written to a connection that the endpoint has already closed would end in a
            // reset.
            match self.connections.get_mut(&number) {
                Some(connection) if is_open_without_input(connection.socket.socket()) => {
                    connection.assign(job);
                    self.jobs.insert(job, number);
                    return true;
                }
                _ => {
                    self.close(number, CloseReason::UnexpectedInput, counters);
                }
            }
        }
        false
    }

    /// Removes and returns the most recently used idle connection whose reuse delay is over. A
    /// connection past the idle timeout is not reused even before it is closed, as the endpoint may
    /// be closing it.
    pub(super) fn take_idle(&mut self, now: Nanos, endpoint: EndpointId) -> Option<ConnectionId> {
        let reusable_ages = REUSE_DELAY..self.idle_timeout;
        let connections = &self.connections;
        self.endpoints.take_idle(endpoint, |number| {
            let since = connections
                .get(number)
                .and_then(UpstreamConnection::idle_since);
            since.is_some_and(|since| reusable_ages.contains(&now.saturating_sub(since)))
        })
    }

    /// Returns whether the connections that are not busy are reserved for clients known to read.
    #[must_use]
    pub fn is_only_reserve_left(&self) -> bool {
        self.jobs.len() >= self.max_connections - self.max_connections / RESERVE_DIVISOR
    }

    /// Ensures that another connection to the endpoint is within the limits. Closes an idle
    /// connection if necessary.
    pub(super) fn ensure_capacity(
        &mut self,
        endpoint: EndpointId,
        counters: &mut Counters,
    ) -> Result<(), ConnectError> {
        let limit = (self.max_connections / ENDPOINT_SHARE_DIVISOR).max(1);
        let at_limit = self.endpoints.connections(endpoint) >= limit;
        if at_limit && !self.close_longest_idle(Some(endpoint), counters) {
            return Err(ConnectError::EndpointLimit { endpoint, limit });
        }
        let limit = self.max_connections;
        if self.connections.len() >= limit && !self.close_longest_idle(None, counters) {
            return Err(ConnectError::PoolLimit { limit });
        }
        Ok(())
    }

    /// Closes the connection that has been idle longest, to the given endpoint or to any, even
    /// within its reuse delay. Returns whether there was one.
    fn close_longest_idle(
        &mut self,
        endpoint: Option<EndpointId>,
        counters: &mut Counters,
    ) -> bool {
        let eligible = self.connections.iter();
        let eligible = eligible.filter(|(_, c)| endpoint.is_none_or(|e| c.endpoint == e));
        let idle = eligible.filter_map(|(number, c)| Some((c.idle_since()?, *number)));
        let Some((_, number)) = idle.min() else {
            return false;
        };
        self.close(number, CloseReason::Idle, counters);
        true
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId, counters: &mut Counters) {
        for number in self.endpoints.take_all_idle(endpoint) {
            self.close(number, CloseReason::Idle, counters);
        }
    }

    /// Closes all connections that have been idle for the idle timeout.
    pub fn close_expired(&mut self, now: Nanos, counters: &mut Counters) {
        let is_expired = |c: &UpstreamConnection| {
            let since = c.idle_since();
            since.is_some_and(|since| now.saturating_sub(since) >= self.idle_timeout)
        };
        for number in self.connections_where(is_expired) {
            self.close(number, CloseReason::Idle, counters);
        }
    }
}
