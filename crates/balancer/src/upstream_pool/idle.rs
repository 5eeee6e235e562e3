//! The pool's idle connections: their reuse, how they make way at the limits, and their end.

use super::connection::UpstreamConnection;
use super::exchange::{ConnectError, UpstreamJob};
use super::{ConnectionId, UpstreamPool};
use crate::counters::Counters;
use crate::poll::sockets::is_open_without_input;
use crate::timers::MS;
use routing::{EndpointId, Nanos};

/// An idle connection carries no further job for this long after an answer. An answer does not say
/// to which job it belongs, and a second one may follow the first after some milliseconds; it is
/// found by then and never taken for the answer to the next job.
pub(super) const REUSE_DELAY: Nanos = 10 * MS;

/// One endpoint gets at most this part of all connections.
const ENDPOINT_PART: usize = 4;

impl UpstreamPool {
    /// Assigns a job to an idle connection, if there is a fit one.
    pub(super) fn assign_idle(
        &mut self,
        now: Nanos,
        job: UpstreamJob,
        endpoint: EndpointId,
        counters: &mut Counters,
    ) -> bool {
        while let Some(number) = self.take_idle(now, endpoint) {
            // A command written to a connection that has ended unnoticed would be lost as a reset.
            match self.connections.get_mut(&number) {
                Some(connection) if is_open_without_input(connection.socket.socket()) => {
                    connection.assign(job);
                    self.jobs.insert(job, number);
                    return true;
                }
                _ => {
                    self.close(number, counters);
                }
            }
        }
        false
    }

    /// The idle connection used last among those whose reuse delay is over. One that the endpoint
    /// may be closing for its idle time is not fit, though it is not swept yet.
    pub(super) fn take_idle(&mut self, now: Nanos, endpoint: EndpointId) -> Option<ConnectionId> {
        let fit_ages = REUSE_DELAY..self.idle_timeout;
        let connections = &self.connections;
        self.endpoints.take_idle(endpoint, |number| {
            let since = connections
                .get(number)
                .and_then(UpstreamConnection::idle_since);
            since.is_some_and(|since| fit_ages.contains(&now.saturating_sub(since)))
        })
    }

    /// Makes sure that another connection to the endpoint is within the limits, if need be by
    /// closing an idle one.
    pub(super) fn ensure_capacity(
        &mut self,
        endpoint: EndpointId,
        counters: &mut Counters,
    ) -> Result<(), ConnectError> {
        let limit = (self.max_connections / ENDPOINT_PART).max(1);
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

    /// Closes the connection that has been idle longest, to this endpoint or to any; its reuse
    /// delay doesn't matter. Returns whether there was one.
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
        self.close(number, counters);
        true
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId, counters: &mut Counters) {
        for number in self.endpoints.take_all_idle(endpoint) {
            self.close(number, counters);
        }
    }

    /// Closes connections whose idle timeout is over.
    pub fn close_expired(&mut self, now: Nanos, counters: &mut Counters) {
        let is_expired = |c: &UpstreamConnection| {
            let since = c.idle_since();
            since.is_some_and(|since| now.saturating_sub(since) >= self.idle_timeout)
        };
        for number in self.connections_where(is_expired) {
            self.close(number, counters);
        }
    }
}
