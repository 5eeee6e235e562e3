//! The requests that wait for capacity.

use crate::identifiers::{Nanos, RequestId};
use crate::request::Request;
use crate::settings::Settings;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A request waits at most this part of its latency objective, as a divisor ...
const MAX_WAIT_DIVISOR: Nanos = 2;
/// ... or this, beyond its tenant's quota.
const MAX_WAIT_DIVISOR_OVER_QUOTA: Nanos = 8;
/// It waits at most two fifths of its client's timeout.
const TIMEOUT_DIVISOR: Nanos = 5;
const TIMEOUT_PARTS: Nanos = 2;

/// The queued requests.
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

    /// The queued requests in the order in which they are tried: within quota first, then by
    /// priority weight, then by age.
    pub(crate) fn by_priority(
        &self,
        open: &BTreeMap<RequestId, Request>,
        settings: &Settings,
    ) -> Vec<RequestId> {
        let weight = |request: &Request| settings.class(request.details.class).priority_weight;
        let by_priority = |a: &&Request, b: &&Request| -> Ordering {
            let age = |request: &Request| (request.arrived_at, request.details.id);
            a.is_over_quota
                .cmp(&b.is_over_quota)
                .then(weight(b).total_cmp(&weight(a)))
                .then_with(|| age(a).cmp(&age(b)))
        };
        let queued = self.requests.iter();
        let mut queued: Vec<&Request> = queued.filter_map(|id| open.get(id)).collect();
        queued.sort_by(by_priority);
        queued.iter().map(|request| request.details.id).collect()
    }
}

/// How long a request is queued before it is rejected: an answer after more would be late.
pub(crate) fn max_wait(request: &Request, settings: &Settings) -> Nanos {
    let divisor = if request.is_over_quota {
        MAX_WAIT_DIVISOR_OVER_QUOTA
    } else {
        MAX_WAIT_DIVISOR
    };
    let objective = settings.class(request.details.class).latency_objective;
    let by_timeout = request.details.client_timeout / TIMEOUT_DIVISOR * TIMEOUT_PARTS;
    (objective / divisor).min(by_timeout)
}
