//! Hedging: reads are hedged after a quantile of recent latencies, within a budget.

use crate::attempt_budget::AttemptBudget;
use crate::estimators::{LatencyQuantile, StoredHistogram};
use crate::fleet_size::FleetSize;
use crate::identifiers::Nanos;

/// Quantile of recent latencies after which an attempt is overdue.
pub(crate) const OVERDUE_QUANTILE: f64 = 0.99;
/// Number of further samples after which a sample's weight has decayed to 1/e. A count instead of a
/// time keeps the quantile steady at low traffic.
pub(crate) const QUANTILE_MEMORY_SAMPLES: f64 = 500.0;
/// Minimum number of samples for the quantile to be used.
pub(crate) const MIN_SAMPLES: u64 = 20;
/// Multiple of the quantile after which an attempt is abandoned, if another one may be made.
pub(crate) const ABANDON_FACTOR: f64 = 2.5;
/// Hedges allowed per request, in addition to the burst; limited so that hedges cannot double an
/// overload.
const HEDGES_PER_REQUEST: f64 = 0.1;
/// Burst of hedges over all balancers; sufficient for the time until one or two unresponsive
/// endpoints are detected.
pub(crate) const HEDGE_BURST: f64 = 6.0;

/// Latency quantile of reads, and the budget for hedges.
pub(crate) struct Hedging {
    latencies: LatencyQuantile,
    pub(crate) budget: AttemptBudget,
}

impl Hedging {
    pub(crate) fn new(fleet: FleetSize) -> Self {
        Hedging {
            latencies: LatencyQuantile::new(QUANTILE_MEMORY_SAMPLES, OVERDUE_QUANTILE),
            budget: AttemptBudget::new(HEDGES_PER_REQUEST, HEDGE_BURST, fleet),
        }
    }

    #[cfg(test)]
    pub(crate) fn latencies(&self) -> &LatencyQuantile {
        &self.latencies
    }

    /// Records the latency of an answered read.
    pub(crate) fn record_latency(&mut self, latency: Nanos) {
        self.latencies.add(latency);
    }

    fn has_samples(&self) -> bool {
        self.latencies.samples() >= MIN_SAMPLES
    }

    /// Returns the time in flight after which an attempt is overdue; `Nanos::MAX` without enough
    /// samples.
    pub(crate) fn overdue_after(&self) -> Nanos {
        if self.has_samples() {
            self.latencies.value()
        } else {
            Nanos::MAX
        }
    }

    /// Returns the delay from an attempt to its hedge, for a read with this much time left.
    pub(crate) fn delay(&self, time_left: Nanos) -> Nanos {
        self.overdue_after().min(time_left / 2)
    }

    /// Returns the time in flight after which an attempt will most likely never be answered.
    pub(crate) fn abandon_after(&self) -> Nanos {
        (self.overdue_after() as f64 * ABANDON_FACTOR) as Nanos
    }

    /// Returns whether a timeout after this time is evidence of a fault. It is not if the client
    /// waits for less time than answers usually take.
    pub(crate) fn timeout_counts_as_failure(
        &self,
        client_timeout: Nanos,
        latency_objective: Nanos,
    ) -> bool {
        !self.has_samples() || client_timeout >= self.latencies.value().min(latency_objective)
    }

    pub(crate) fn to_stored(&self) -> StoredHistogram {
        self.latencies.to_stored()
    }

    /// Restores a stored histogram; returns false if it is invalid.
    #[must_use]
    pub(crate) fn restore(&mut self, stored: &StoredHistogram) -> bool {
        self.latencies.restore(stored)
    }
}
