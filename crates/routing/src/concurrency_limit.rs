//! Limit on the attempts in flight at an endpoint: additive increase while the latency stays near
//! its baseline, multiplicative decrease when it rises. A limit below one paces the attempts.

use crate::actions::DecisionReason;
use crate::estimators::LatencyMean;
use crate::fleet_size::FleetSize;
use crate::identifiers::Nanos;

/// Initial limit of an endpoint of mean weight, summed over all balancers.
pub(crate) const INITIAL_FLEET_LIMIT: f64 = 4.0;
/// Minimum limit of one balancer. Below 1 attempts are paced: hundreds of balancers with one
/// attempt each would overload an endpoint.
pub(crate) const MIN_LIMIT: f64 = 0.2;
/// Maximum limit of one balancer at an endpoint of mean weight.
const MAX_LIMIT: f64 = 16.0;
/// Factor applied to an unused limit at each housekeeping, until it reaches the initial limit.
const UNUSED_DECAY: f64 = 0.98;
/// Growth of a fully used limit per hit whose latency is near the baseline. The growth is divided
/// by the limit.
pub(crate) const HIT_INCREASE: f64 = 0.5;
/// Growth of a fully used limit per miss, which reveals less about the cache's own load. The growth
/// is divided by the limit.
const MISS_INCREASE: f64 = 0.1;
/// Growth of a fully used limit per answer above the knee, divided by the limit. The knee is the
/// initial limit of the fleet divided by the square root of the number of balancers; above it
/// growth is slow because latency rises only after a surge of load.
pub(crate) const INCREASE_BEYOND_KNEE: f64 = 0.05;
/// Ratio of recent latency to baseline below which a limit grows.
const GROWTH_LATENCY_RATIO: f64 = 1.2;
/// Ratio of recent latency to baseline above which a limit shrinks.
const SHRINK_LATENCY_RATIO: f64 = 1.8;
/// Minimum of the latency threshold for growth, as a fraction of the shortest latency objective.
const GROWTH_OBJECTIVE_FRACTION: f64 = 0.13;
/// Minimum of the latency threshold for shrinking, as a fraction of the shortest latency objective:
/// a wait that makes no answer late is no reason to shrink a limit.
const SHRINK_OBJECTIVE_FRACTION: f64 = 0.2;
/// Factor applied to a limit for a slow answer.
const SLOW_ANSWER_FACTOR: f64 = 0.92;
/// Factor applied to a limit for a timeout, or for a rejection of a read that is probably cached at
/// the endpoint.
const OVERLOAD_FACTOR: f64 = 0.7;
/// Fraction of a limit that is available to reads that probably hit.
pub(crate) const HIT_LIMIT_FRACTION: f64 = 1.25;

/// Inputs to the adjustment of a limit besides latency.
#[derive(Clone, Copy)]
pub(crate) struct LimitContext {
    pub(crate) fleet: FleetSize,
    /// Ratio of the endpoint's weight to the mean weight.
    pub(crate) relative_size: f64,
    /// Shortest latency objective of all classes, in nanoseconds.
    pub(crate) latency_objective: f64,
    /// Number of attempts in flight at the endpoint, without the one that was just answered.
    pub(crate) in_flight: usize,
}

/// Concurrency limit of one endpoint.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    /// Returns the limit of an endpoint without observations; other balancers are assumed to send
    /// the same load.
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

    /// Returns whether the limit still has to be set to [`ConcurrencyLimit::initial`].
    pub(crate) fn is_unset(&self) -> bool {
        self.limit == 0.0
    }

    /// Adjusts the limit after an answer from the cache, by the endpoint's latency.
    pub(crate) fn record_hit(&mut self, latency: &LatencyMean, context: &LimitContext) {
        let objective = context.latency_objective;
        let shrink_threshold =
            (SHRINK_LATENCY_RATIO * latency.baseline()).max(SHRINK_OBJECTIVE_FRACTION * objective);
        let growth_threshold =
            (GROWTH_LATENCY_RATIO * latency.baseline()).max(GROWTH_OBJECTIVE_FRACTION * objective);
        if latency.recent() > shrink_threshold {
            self.limit = (self.limit * SLOW_ANSWER_FACTOR).max(MIN_LIMIT);
        } else if latency.recent() < growth_threshold {
            self.grow(HIT_INCREASE, context);
        }
    }

    /// Adjusts the limit after an answer that had to be fetched, by the latency of fetches. A miss
    /// is as slow as the origin, so its own latency does not show whether the cache is overloaded.
    pub(crate) fn record_miss(&mut self, fetch_latency: &LatencyMean, context: &LimitContext) {
        if fetch_latency.recent() < GROWTH_LATENCY_RATIO * fetch_latency.baseline() {
            self.grow(MISS_INCREASE, context);
        }
    }

    /// Increases the limit, but only if it is fully used: otherwise the answer does not show that
    /// more attempts would be served as well.
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

    /// Reduces the limit after a timeout or a rejection for lack of capacity.
    pub(crate) fn record_overload(&mut self) {
        self.limit = (self.limit * OVERLOAD_FACTOR).max(MIN_LIMIT);
    }

    /// Decays a limit that is less than half used down to `initial`, because a large unused limit
    /// would admit a surge before latency shows it. A limit below `initial` is raised to it, so
    /// that a reduced limit recovers.
    pub(crate) fn decay_unused(&mut self, in_flight: usize, initial: &ConcurrencyLimit) {
        if (in_flight as f64) < self.limit / 2.0 {
            self.limit = (self.limit * UNUSED_DECAY).max(initial.limit);
        }
    }

    /// Returns the reason why this fraction of the limit permits no further attempt, or `None` if
    /// it permits one.
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

/// Returns whether the minimum limits of all balancers together exceed the initial limit of an
/// endpoint; the limits alone then cannot protect it.
pub(crate) fn min_limits_exceed_initial(fleet: FleetSize) -> bool {
    fleet.balancers() as f64 * MIN_LIMIT > INITIAL_FLEET_LIMIT
}
