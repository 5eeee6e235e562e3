//! Slow start: an endpoint that has started lately gets a growing share of its traffic, within a
//! token budget.

use crate::estimators::NANOS_PER_SECOND;
use crate::identifiers::Nanos;
use crate::settings::ServiceRules;
use crate::traffic::Traffic;

/// An endpoint that joins a known list has started at most this long before, in nanoseconds.
const MAX_LISTING_DELAY: Nanos = 6_000_000_000;
/// An endpoint in slow start gets this multiple of what warm ones of its size are served ...
const SERVED_FACTOR: f64 = 1.2;
/// ... or this multiple of what is requested, if that is more: a fleet that is all cold must grow.
const REQUESTED_FACTOR: f64 = 0.5;
/// The least fraction of its capacity that an endpoint is taken to start with.
const MIN_START_FRACTION: f64 = 0.01;
/// The least total weight that traffic is divided by.
const MIN_WEIGHT: f64 = 0.01;
/// The most that is saved up, as a divisor of what is due in the overload window.
const BURST_DIVISOR: f64 = 2.0;

/// The slow start of one endpoint.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Stated start; 0 for long ago.
    started: Nanos,
    listed_at: Nanos,
    /// Others were listed before.
    joined_known_list: bool,
    /// Attempts that may be sent now; under 0 if more were sent than were due.
    tokens: f64,
    refilled_at: Nanos,
}

/// A budget as it is stored in a snapshot.
#[derive(Clone, Copy)]
pub(crate) struct StoredBudget {
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Nanos,
}

/// The summed weights of caches that take requests.
#[derive(Clone, Copy)]
pub(crate) struct TotalWeights {
    pub(crate) all: f64,
    /// Those in slow start at their present share.
    pub(crate) ready: f64,
}

impl SlowStart {
    /// Of an endpoint that is first listed at `now`. It begins with a random part of a token, so
    /// that hundreds of balancers do not send their first attempts at once.
    pub(crate) fn new(
        started: Nanos,
        now: Nanos,
        joined_known_list: bool,
        initial_tokens: f64,
    ) -> Self {
        SlowStart {
            started,
            listed_at: now,
            joined_known_list,
            tokens: initial_tokens,
            refilled_at: now,
        }
    }

    /// How long the endpoint has run: by its stated start as far as that fits with when it was
    /// listed, as this machine's wall clock may have been off when the process started.
    fn age(&self, now: Nanos) -> Nanos {
        let since_listed = now.saturating_sub(self.listed_at);
        let oldest = if self.joined_known_list {
            since_listed.saturating_add(MAX_LISTING_DELAY)
        } else {
            Nanos::MAX
        };
        now.saturating_sub(self.started).clamp(since_listed, oldest)
    }

    /// The fraction of its capacity that the endpoint has at least.
    pub(crate) fn capacity_fraction(&self, now: Nanos, rules: &ServiceRules) -> f64 {
        let age = self.age(now);
        if self.started == 0 || age >= rules.slow_start_duration {
            return 1.0;
        }
        let start = rules.slow_start_fraction.clamp(MIN_START_FRACTION, 1.0);
        start + (1.0 - start) * age as f64 / rules.slow_start_duration as f64
    }

    /// Refills the budget and tells whether it pays for one attempt. `warm_rate` is what is due to
    /// the endpoint a second when it is warm. Each balancer keeps to its own part, so that all
    /// together stay far under what overloads the endpoint.
    pub(crate) fn has_budget(
        &mut self,
        now: Nanos,
        rules: &ServiceRules,
        warm_rate: impl FnOnce() -> f64,
    ) -> bool {
        let capacity = self.capacity_fraction(now, rules);
        if capacity >= 1.0 {
            return true;
        }
        let rate = warm_rate() * capacity;
        let window_seconds = rules.overload_window as f64 / NANOS_PER_SECOND;
        let burst = (rate * window_seconds / BURST_DIVISOR).max(1.0);
        let gained = rate * now.saturating_sub(self.refilled_at) as f64 / NANOS_PER_SECOND;
        self.tokens = (self.tokens + gained).min(burst);
        self.refilled_at = now;
        self.tokens >= 1.0
    }

    /// Charges one attempt.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Gives half of the tokens to the process that takes over.
    pub(crate) fn halve(&mut self) {
        self.tokens /= 2.0;
    }

    pub(crate) fn to_stored(&self) -> StoredBudget {
        StoredBudget {
            tokens: self.tokens,
            refilled_at: self.refilled_at,
        }
    }

    pub(crate) fn restore(&mut self, stored: StoredBudget, now: Nanos) {
        self.tokens = stored.tokens;
        self.refilled_at = stored.refilled_at.min(now);
    }
}

/// What is due a second to a warm endpoint of this weight.
pub(crate) fn warm_rate(traffic: &Traffic, totals: TotalWeights, weight: f64, now: Nanos) -> f64 {
    let served = SERVED_FACTOR * traffic.useful_per_second(now) / totals.ready.max(MIN_WEIGHT);
    let requested =
        REQUESTED_FACTOR * traffic.requested_per_second(now) / totals.all.max(MIN_WEIGHT);
    served.max(requested) * weight
}
