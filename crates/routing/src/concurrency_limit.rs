//! How many attempts may be in flight at an endpoint: additive increase while its latency stays
//! near the baseline, multiplicative decrease when it rises. A limit under one paces attempts.

use crate::actions::DecisionReason;
use crate::estimators::LatencyMean;
use crate::fleet_size::FleetSize;
use crate::identifiers::Nanos;

/// Limit of an endpoint of mean size until more is known, over all balancers.
pub(crate) const INITIAL_FLEET_LIMIT: f64 = 4.0;
/// The least limit. Under 1, attempts are paced: hundreds of balancers with one attempt each would
/// overload an endpoint.
pub(crate) const MIN_LIMIT: f64 = 0.2;
/// The greatest limit of one balancer at an endpoint of mean size.
const MAX_LIMIT: f64 = 16.0;
/// An unused limit returns to the initial one by this factor at each housekeeping.
const UNUSED_DECAY: f64 = 0.98;
/// Growth of a reached limit with a hit whose latency is near the baseline.
pub(crate) const HIT_INCREASE: f64 = 0.5;
/// The same with a miss, which says less of the cache's own load.
const MISS_INCREASE: f64 = 0.1;
/// The same beyond the knee: latency lags behind a surge.
pub(crate) const INCREASE_BEYOND_KNEE: f64 = 0.05;
/// Recent latency over the baseline up to which a limit grows ...
const UNCROWDED_RATIO: f64 = 1.2;
/// ... and from which on it shrinks.
const CROWDED_RATIO: f64 = 1.8;
/// The same thresholds as fractions of the shortest latency objective, if that is more: a wait that
/// makes no answer late is no reason to shrink a limit.
const UNCROWDED_OBJECTIVE_FRACTION: f64 = 0.13;
const CROWDED_OBJECTIVE_FRACTION: f64 = 0.2;
/// A limit's factor for an answer that is slow ...
const SLOW_ANSWER_FACTOR: f64 = 0.92;
/// ... and for a timeout, or a rejection of a read that is probably cached there.
const OVERLOAD_FACTOR: f64 = 0.7;
/// The part of a limit that reads which probably hit may use.
pub(crate) const HIT_LIMIT_FRACTION: f64 = 1.25;

/// What the adjustment of a limit depends on besides latency.
#[derive(Clone, Copy)]
pub(crate) struct LimitContext {
    pub(crate) fleet: FleetSize,
    /// The endpoint's weight over the mean one.
    pub(crate) relative_size: f64,
    /// The shortest latency objective of a class, in nanoseconds.
    pub(crate) latency_objective: f64,
    /// Attempts in flight at the endpoint after the one that was answered.
    pub(crate) in_flight: usize,
}

/// The concurrency limit of one endpoint.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    /// The limit of an endpoint of which nothing is known: other balancers are assumed to send
    /// likewise.
    pub(crate) fn initial(fleet: FleetSize, relative_size: f64) -> Self {
        let even_share = INITIAL_FLEET_LIMIT / fleet.balancers() as f64 * relative_size;
        Self::from_stored(even_share.max(MIN_LIMIT))
    }

    pub(crate) fn from_stored(limit: f64) -> Self {
        ConcurrencyLimit { limit }
    }

    pub(crate) fn value(&self) -> f64 {
        self.limit
    }

    /// Whether it still has to be set to [`ConcurrencyLimit::initial`].
    pub(crate) fn is_unset(&self) -> bool {
        self.limit == 0.0
    }

    /// Adjusts the limit to an answer from the cache, by the endpoint's latency.
    pub(crate) fn record_hit(&mut self, latency: &LatencyMean, context: &LimitContext) {
        let objective = context.latency_objective;
        let crowded =
            (CROWDED_RATIO * latency.baseline()).max(CROWDED_OBJECTIVE_FRACTION * objective);
        let uncrowded =
            (UNCROWDED_RATIO * latency.baseline()).max(UNCROWDED_OBJECTIVE_FRACTION * objective);
        if latency.recent() > crowded {
            self.limit = (self.limit * SLOW_ANSWER_FACTOR).max(MIN_LIMIT);
        } else if latency.recent() < uncrowded {
            self.grow(HIT_INCREASE, context);
        }
    }

    /// Adjusts the limit to an answer that had to be fetched, by the latency of fetches. A miss is
    /// as slow as the origin and can't show that the cache is crowded.
    pub(crate) fn record_miss(&mut self, fetch_latency: &LatencyMean, context: &LimitContext) {
        if fetch_latency.recent() < UNCROWDED_RATIO * fetch_latency.baseline() {
            self.grow(MISS_INCREASE, context);
        }
    }

    /// Only a limit that was reached has shown that it may grow.
    fn grow(&mut self, increase_below_knee: f64, context: &LimitContext) {
        if context.in_flight as f64 + 1.0 < self.limit {
            return;
        }
        let size = context.relative_size;
        let knee = INITIAL_FLEET_LIMIT / context.fleet.square_root() * size;
        let increase = if self.limit > knee {
            INCREASE_BEYOND_KNEE
        } else {
            increase_below_knee
        };
        let grown = self.limit + increase / self.limit.max(1.0);
        self.limit = grown.min((MAX_LIMIT * size).max(1.0));
    }

    /// Adjusts the limit to a timeout or a rejection for lack of capacity.
    pub(crate) fn record_overload(&mut self) {
        self.limit = (self.limit * OVERLOAD_FACTOR).max(MIN_LIMIT);
    }

    /// Returns a limit that is not half used toward `initial`: it must not admit a surge before
    /// latency shows it, and one that was cut recovers.
    pub(crate) fn decay_unused(&mut self, in_flight: usize, initial: &ConcurrencyLimit) {
        if (in_flight as f64) < self.limit / 2.0 {
            self.limit = (self.limit * UNUSED_DECAY).max(initial.limit);
        }
    }

    /// Why this fraction of the limit does not permit one more attempt; none if it does.
    pub(crate) fn shortage(
        &self,
        fraction: f64,
        in_flight: usize,
        recent_latency: f64,
        last_answer_at: Nanos,
        now: Nanos,
    ) -> Option<DecisionReason> {
        let limit = self.limit * fraction;
        if in_flight as f64 >= limit.max(1.0) {
            return Some(DecisionReason::ConcurrencyLimit);
        }
        let interval = if limit < 1.0 {
            recent_latency * (1.0 / limit - 1.0)
        } else {
            0.0
        };
        let is_early = (now as f64) < last_answer_at as f64 + interval;
        is_early.then_some(DecisionReason::Pacing)
    }
}

/// Whether there are so many balancers that their least limits together exceed the initial limit
/// of an endpoint: then limits alone cannot protect it.
pub(crate) fn min_limits_exceed_initial(fleet: FleetSize) -> bool {
    fleet.balancers() as f64 * MIN_LIMIT > INITIAL_FLEET_LIMIT
}
