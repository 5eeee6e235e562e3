//! Queue of the requests that wait for capacity.

use crate::identifiers::{Nanos, RequestId};
use crate::request::Request;
use crate::settings::Settings;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Divisor of the latency objective that gives the maximum time a request waits in the queue.
const MAX_WAIT_DIVISOR: Nanos = 2;
/// The same divisor for requests beyond their tenant's quota.
const MAX_WAIT_DIVISOR_OVER_QUOTA: Nanos = 8;
/// Numerator of the maximum time a request waits in the queue, as a fraction of its client's
/// timeout.
const MAX_WAIT_TIMEOUT_NUMERATOR: Nanos = 2;
/// Denominator of the maximum time a request waits in the queue, as a fraction of its client's
/// timeout.
const MAX_WAIT_TIMEOUT_DENOMINATOR: Nanos = 5;

/// Identifiers of the queued requests.
#[derive(Default)]
pub(crate) struct RequestQueue {
    requests: BTreeSet<RequestId>,
}

impl RequestQueue {
    pub(crate) fn insert(&mut self, request: RequestId) {
        self.requests.insert(request);
    }

    pub(crate) fn remove(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the queued requests in the order in which they are retried.
    pub(crate) fn by_priority(
        &self,
        open: &BTreeMap<RequestId, Request>,
        settings: &Settings,
    ) -> Vec<QueuedRequest> {
        let queued = self.requests.iter().filter_map(|id| open.get(id));
        let mut queued: Vec<QueuedRequest> = queued
            .map(|request| QueuedRequest::new(request, settings))
            .collect();
        queued.sort_by(QueuedRequest::compare_priority);
        queued
    }
}

/// Queued request with the properties that its priority depends on.
pub(crate) struct QueuedRequest {
    pub(crate) id: RequestId,
    is_over_quota: bool,
    priority_weight: f64,
    arrived_at: Nanos,
}

impl QueuedRequest {
    fn new(request: &Request, settings: &Settings) -> Self {
        QueuedRequest {
            id: request.details.id,
            is_over_quota: request.is_over_quota,
            priority_weight: settings.class(request.details.class).priority_weight,
            arrived_at: request.arrived_at,
        }
    }

    /// Compares two requests: within quota first, then by priority weight, then by age.
    fn compare_priority(&self, other: &Self) -> Ordering {
        self.is_over_quota
            .cmp(&other.is_over_quota)
            .then(other.priority_weight.total_cmp(&self.priority_weight))
            .then(self.arrived_at.cmp(&other.arrived_at))
            .then(self.id.cmp(&other.id))
    }
}

/// Returns the maximum time a request is queued before it is rejected; an answer after a longer
/// wait would be late.
pub(crate) fn max_wait(request: &Request, settings: &Settings) -> Nanos {
    let divisor = if request.is_over_quota {
        MAX_WAIT_DIVISOR_OVER_QUOTA
    } else {
        MAX_WAIT_DIVISOR
    };
    let objective = settings.class(request.details.class).latency_objective;
    let by_timeout =
        request.details.client_timeout / MAX_WAIT_TIMEOUT_DENOMINATOR * MAX_WAIT_TIMEOUT_NUMERATOR;
    (objective / divisor).min(by_timeout)
}
