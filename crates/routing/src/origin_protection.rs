//! Origin protection: while fetches from the origin fail or slow down, fewer of the reads that
//! probably need a fetch are admitted.

use crate::estimators::LatencyMean;
use crate::events::CacheStatus;
use crate::fleet_size::FleetSize;
use crate::identifiers::Nanos;
use crate::random::Random;

/// Factor applied to the admitted fraction for a failed fetch.
pub(crate) const FAILURE_FACTOR: f64 = 0.9;
/// Factor applied to the admitted fraction for a successful fetch. With both factors the fraction
/// stays constant when about a sixth of fetches fail.
pub(crate) const SUCCESS_FACTOR: f64 = 1.02;
/// Factor applied to the admitted fraction for a successful fetch while fetches are slow, which
/// means that the queue at the origin grows.
const SLOW_FACTOR: f64 = 0.97;
/// Ratio of recent fetch latency to its baseline above which fetches count as slow.
const SLOW_RATIO: f64 = 2.5;
/// Minimum admitted fraction.
const MIN_FRACTION: f64 = 0.05;
/// Admitted fraction above which nothing is rejected: one or two timeouts are no evidence of
/// overload.
const TOLERATED_FRACTION: f64 = 0.8;
/// Admitted fraction below which the origin counts as overloaded: reads are not hedged and errors
/// are not retried.
pub(crate) const OVERLOAD_FRACTION: f64 = 0.6;
/// Fraction of a concurrency limit that is available to probable misses while the origin is not
/// overloaded. It is below 1 because a read that is sent away from the endpoint that has its key
/// cached causes another fetch.
pub(crate) const MISS_LIMIT_FRACTION: f64 = 0.6;

/// State that this balancer keeps about fetches from the origin.
pub(crate) struct OriginProtection {
    /// Admitted fraction of the reads whose key is not known to be cached.
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

    /// Returns whether fetches fail so often that another attempt would only prolong the overload.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.admitted_fraction < OVERLOAD_FRACTION
    }

    /// Returns whether a read that probably needs a fetch is admitted.
    pub(crate) fn admits(&self, random: &mut Random) -> bool {
        random.chance(self.admitted_fraction / TOLERATED_FRACTION)
    }

    /// Returns the fraction of a concurrency limit that is available to probable misses.
    pub(crate) fn miss_limit_fraction(&self) -> f64 {
        let latency = &self.fetch_latency;
        MISS_LIMIT_FRACTION * self.admitted_fraction * latency.baseline().max(1.0)
            / latency.recent().max(1.0)
    }

    pub(crate) fn record_failure(&mut self, fleet: FleetSize) {
        self.adjust(FAILURE_FACTOR, fleet);
    }

    /// Records an answer that was not a hit. If the answer does not state its cache status, its
    /// latency is no evidence about fetches.
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

    /// Multiplies the admitted fraction by a factor, with a larger step the more balancers there
    /// are, because each of them then sees fewer fetches.
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
