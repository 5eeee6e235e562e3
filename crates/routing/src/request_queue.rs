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

/// The queued requests, ordered by priority.
#[derive(Default)]
pub(crate) struct RequestQueue {
    ordered: BTreeSet<QueuePosition>,
    positions: BTreeMap<RequestId, QueuePosition>,
}

impl RequestQueue {
    pub(crate) fn insert(&mut self, request: &Request, settings: &Settings) {
        let position = QueuePosition::new(request, settings);
        self.remove(request.details.id);
        self.ordered.insert(position);
        self.positions.insert(request.details.id, position);
    }

    pub(crate) fn remove(&mut self, request: RequestId) {
        if let Some(position) = self.positions.remove(&request) {
            self.ordered.remove(&position);
        }
    }

    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns the first `count` queued requests in the order in which they are retried.
    pub(crate) fn first(&self, count: usize) -> Vec<RequestId> {
        let first = self.ordered.iter().take(count);
        first.map(|position| position.id).collect()
    }
}

/// Position of a request in the queue: within quota first, then by priority weight, then by age.
#[derive(Clone, Copy, Debug)]
struct QueuePosition {
    is_over_quota: bool,
    priority_weight: f64,
    arrived_at: Nanos,
    id: RequestId,
}

impl QueuePosition {
    fn new(request: &Request, settings: &Settings) -> Self {
        QueuePosition {
            is_over_quota: request.is_over_quota,
            priority_weight: settings.class(request.details.class).priority_weight,
            arrived_at: request.arrived_at,
            id: request.details.id,
        }
    }
}

impl Ord for QueuePosition {
    fn cmp(&self, other: &Self) -> Ordering {
        self.is_over_quota
            .cmp(&other.is_over_quota)
            .then(other.priority_weight.total_cmp(&self.priority_weight))
            .then(self.arrived_at.cmp(&other.arrived_at))
            .then(self.id.cmp(&other.id))
    }
}

impl PartialOrd for QueuePosition {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for QueuePosition {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuePosition {}

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
