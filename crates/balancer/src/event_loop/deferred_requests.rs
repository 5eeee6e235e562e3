//! Requests whose ids are open at another process of a hot restart.
//!
//! A client that has its answer, or has disconnected, may use the id again at this process before the
//! other one has released it. Such a request therefore waits for a moment before it is rejected.

use super::EventLoop;
use crate::request::IncomingRequest;
use crate::timers::{MS, TimerKind};
use routing::Nanos;

/// Maximum time for which a request waits for the release of its id. It covers the interval at which
/// connections that are not read are checked for the disconnect of their clients.
pub(super) const ID_RELEASE_WAIT: Nanos = 100 * MS;
/// Interval of the checks whether ids are released.
const RETRY_INTERVAL: Nanos = 5 * MS;
/// Maximum number of deferred requests; further ones are rejected at once.
const DEFERRED_MAX: usize = 1_024;
/// Deferred requests together may hold the memory limit of requests and responses divided by this.
const DEFERRED_MEMORY_DIVISOR: usize = 16;

/// A request that waits for the release of its id.
pub(super) struct DeferredRequest {
    incoming: IncomingRequest,
    /// Time at which the request is rejected if its id is still open.
    until: Nanos,
}

impl EventLoop {
    /// Returns whether a request may wait for the release of its id until this time.
    pub(super) fn may_defer_request(
        &self,
        now: Nanos,
        incoming: &IncomingRequest,
        until: Nanos,
    ) -> bool {
        let deferred = self.deferred_requests.iter().map(|d| &d.incoming);
        let bytes: usize = deferred
            .chain([incoming])
            .map(|incoming| incoming.command.byte_size())
            .sum();
        now < until
            && self.deferred_requests.len() < DEFERRED_MAX
            && bytes <= self.memory_limit / DEFERRED_MEMORY_DIVISOR
    }

    /// Has a request wait for the release of its id.
    pub(super) fn defer_request(&mut self, now: Nanos, incoming: IncomingRequest, until: Nanos) {
        self.deferred_requests
            .push_back(DeferredRequest { incoming, until });
        self.timers
            .set(now + RETRY_INTERVAL, TimerKind::RetryDeferred);
    }

    /// Admits or rejects the deferred requests whose wait is over.
    pub(super) fn retry_deferred_requests(&mut self, now: Nanos) {
        for deferred in std::mem::take(&mut self.deferred_requests) {
            let DeferredRequest { incoming, until } = deferred;
            if self.listener.is_awaited(&incoming.answer_token) {
                let events = self.admit_request(now, incoming, until);
                self.handle_listener_events(now, events);
            }
        }
    }
}
