//! Origin protection: while fetches from the origin fail or slow down, fewer reads are admitted
//! that would most likely have to be fetched.

use crate::estimators::LatencyMean;
use crate::events::CacheStatus;
use crate::fleet_size::FleetSize;
use crate::identifiers::Nanos;
use crate::random::Random;

/// The admitted fraction's factor for a failed fetch.
pub(crate) const FAILURE_FACTOR: f64 = 0.9;
/// Its factor for a successful fetch. The fraction settles where a sixth of fetches fail.
pub(crate) const SUCCESS_FACTOR: f64 = 1.02;
/// Its factor for a successful fetch while fetches are slow: the queue at the origin grows.
const SLOW_FACTOR: f64 = 0.97;
/// Fetch latency over its baseline from which on fetches are slow.
const SLOW_RATIO: f64 = 2.5;
/// The least admitted fraction.
const MIN_FRACTION: f64 = 0.05;
/// Above this fraction nothing is rejected: a timeout or two are no evidence of overload.
const TOLERATED_FRACTION: f64 = 0.8;
/// Under this fraction the origin is overloaded: no hedges, and no retries of errors.
pub(crate) const OVERLOAD_FRACTION: f64 = 0.6;
/// The part of a concurrency limit open to reads that probably miss while the origin is well: a
/// read that leaves the endpoint that has its key cached is fetched again.
pub(crate) const MISS_LIMIT_FRACTION: f64 = 0.6;

/// What this balancer knows of fetches from the origin.
pub(crate) struct OriginProtection {
    /// Fraction of reads that are admitted if their key is not known to be cached.
    admitted_fraction: f64,
    fetch_latency: LatencyMean,
}

impl OriginProtection {
    pub(crate) fn new() -> Self {
        OriginProtection {
            admitted_fraction: 1.0,
            fetch_latency: LatencyMean::default(),
        }
    }

    pub(crate) fn admitted_fraction(&self) -> f64 {
        self.admitted_fraction
    }

    pub(crate) fn fetch_latency(&self) -> &LatencyMean {
        &self.fetch_latency
    }

    /// Whether fetches fail so often that another attempt would only prolong it.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.admitted_fraction < OVERLOAD_FRACTION
    }

    /// Whether a read that would most likely have to be fetched is admitted.
    pub(crate) fn admits(&self, random: &mut Random) -> bool {
        random.chance(self.admitted_fraction / TOLERATED_FRACTION)
    }

    /// The part of a concurrency limit open to reads that probably miss.
    pub(crate) fn miss_limit_fraction(&self) -> f64 {
        let latency = &self.fetch_latency;
        MISS_LIMIT_FRACTION * self.admitted_fraction * latency.baseline().max(1.0)
            / latency.recent().max(1.0)
    }

    pub(crate) fn record_failure(&mut self, fleet: FleetSize) {
        self.adjust(FAILURE_FACTOR, fleet);
    }

    /// Counts an answer that was not a hit. Where the answer does not state its cache status, its
    /// latency says nothing of fetches.
    pub(crate) fn record_fetch(
        &mut self,
        latency: Nanos,
        status: Option<CacheStatus>,
        fleet: FleetSize,
    ) {
        if status.is_some() {
            self.fetch_latency.add(latency);
        }
        let is_slow = self.fetch_latency.recent() > SLOW_RATIO * self.fetch_latency.baseline();
        self.adjust(if is_slow { SLOW_FACTOR } else { SUCCESS_FACTOR }, fleet);
    }

    /// Moves the admitted fraction; faster at one of many balancers, as it sees few fetches.
    pub(crate) fn adjust(&mut self, factor: f64, fleet: FleetSize) {
        let step = factor.powf((fleet.square_root() - 2.0).max(1.0));
        self.admitted_fraction = (self.admitted_fraction * step).clamp(MIN_FRACTION, 1.0);
    }

    pub(crate) fn restore(&mut self, admitted_fraction: f64, fetch_latency: LatencyMean) {
        self.admitted_fraction = admitted_fraction.min(1.0);
        self.fetch_latency = fetch_latency;
    }

    #[cfg(test)]
    pub(crate) fn set_admitted_fraction(&mut self, admitted_fraction: f64) {
        self.admitted_fraction = admitted_fraction;
    }
}
