//! Slow start: a recently started endpoint receives a gradually growing share of its traffic,
//! limited by a token budget.

use crate::estimators::NANOS_PER_SECOND;
use crate::identifiers::Nanos;
use crate::settings::ServiceRules;
use crate::traffic::Traffic;

/// Maximum time assumed between the start of an endpoint and its first listing, in nanoseconds, for
/// an endpoint that joins an existing list.
const MAX_LISTING_DELAY: Nanos = 6_000_000_000;
/// Rate of attempts assumed for a warm endpoint, as a multiple of the rate at which endpoints of
/// its weight usefully answer requests.
const SERVED_FACTOR: f64 = 1.2;
/// Rate of attempts assumed for a warm endpoint, as a multiple of its share of the arriving
/// requests. The higher of both rates is used, so that the load can increase even while all
/// endpoints are in slow start.
const REQUESTED_FACTOR: f64 = 0.5;
/// Minimum assumed fraction of its capacity with which an endpoint starts.
const MIN_START_FRACTION: f64 = 0.01;
/// Minimum total weight that traffic is divided by; avoids a division by 0.
const MIN_TOTAL_WEIGHT: f64 = 0.01;
/// The burst of the token budget is the number of tokens gained in one overload window, divided by
/// this.
const BURST_DIVISOR: f64 = 2.0;

/// Slow start state of one endpoint.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// Start time stated by discovery; 0 if the endpoint started long ago.
    started: Nanos,
    listed_at: Nanos,
    /// Whether other endpoints were listed before this one.
    joined_existing_list: bool,
    /// Number of attempts that may be sent now; negative if more were sent than the budget allowed.
    tokens: f64,
    refilled_at: Nanos,
}

/// Stored form of a token budget in a snapshot.
#[derive(Clone, Copy)]
pub(crate) struct StoredBudget {
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Nanos,
}

/// Sums of the weights of active caches.
#[derive(Clone, Copy)]
pub(crate) struct TotalWeights {
    pub(crate) all: f64,
    /// Sum in which caches in slow start count with their present capacity.
    pub(crate) ready: f64,
}

impl SlowStart {
    /// Creates the state of an endpoint that is first listed at `now`. It begins with a random
    /// fraction of a token, so that hundreds of balancers do not send their first attempts
    /// simultaneously.
    pub(crate) fn new(
        started: Nanos,
        now: Nanos,
        joined_existing_list: bool,
        initial_tokens: f64,
    ) -> Self {
        SlowStart {
            started,
            listed_at: now,
            joined_existing_list,
            tokens: initial_tokens,
            refilled_at: now,
        }
    }

    /// Returns how long the endpoint has been running. Its stated start time is bounded by the time
    /// of its listing, because this machine's wall clock may have been wrong when the balancer
    /// started.
    fn age(&self, now: Nanos) -> Nanos {
        let since_listed = now.saturating_sub(self.listed_at);
        let oldest = if self.joined_existing_list {
            since_listed.saturating_add(MAX_LISTING_DELAY)
        } else {
            Nanos::MAX
        };
        now.saturating_sub(self.started).clamp(since_listed, oldest)
    }

    /// Returns the minimum fraction of its capacity that the endpoint has at `now`.
    pub(crate) fn capacity_fraction(&self, now: Nanos, rules: &ServiceRules) -> f64 {
        let age = self.age(now);
        if self.started == 0 || age >= rules.slow_start_duration {
            return 1.0;
        }
        let start = rules.slow_start_fraction.clamp(MIN_START_FRACTION, 1.0);
        start + (1.0 - start) * age as f64 / rules.slow_start_duration as f64
    }

    /// Refills the budget and returns whether it covers one attempt. `warm_rate` returns the rate
    /// per second at which the endpoint receives attempts when it is warm. Each balancer limits its
    /// own share, so that the total stays far below the load that overloads the endpoint.
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

    /// Charges one attempt to the budget.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Halves the tokens; the process that takes over gets the other half.
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

/// Returns the rate per second at which a warm endpoint of this weight receives attempts.
pub(crate) fn warm_rate(traffic: &Traffic, totals: TotalWeights, weight: f64, now: Nanos) -> f64 {
    let served =
        SERVED_FACTOR * traffic.useful_per_second(now) / totals.ready.max(MIN_TOTAL_WEIGHT);
    let requested =
        REQUESTED_FACTOR * traffic.requested_per_second(now) / totals.all.max(MIN_TOTAL_WEIGHT);
    served.max(requested) * weight
}
