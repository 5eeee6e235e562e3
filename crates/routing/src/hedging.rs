//! When a read is hedged: after a quantile of recent latencies, within a budget.

use crate::attempt_budget::AttemptBudget;
use crate::estimators::{LatencyQuantile, StoredHistogram};
use crate::fleet_size::FleetSize;
use crate::identifiers::Nanos;

/// The quantile of latencies after which an attempt is overdue.
pub(crate) const OVERDUE_QUANTILE: f64 = 0.99;
/// Samples until an old one weighs 1/e: a count, so that little traffic does not swing the
/// quantile.
pub(crate) const QUANTILE_MEMORY_SAMPLES: f64 = 500.0;
/// With fewer samples the quantile is not used.
pub(crate) const MIN_SAMPLES: u64 = 20;
/// An attempt is abandoned after this multiple of the quantile while another may be made.
pub(crate) const ABANDON_FACTOR: f64 = 2.5;
/// Hedges per request, so that they cannot double an overload ...
const HEDGES_PER_REQUEST: f64 = 0.1;
/// ... beyond a burst that covers the detection of an endpoint or two that went silent.
pub(crate) const HEDGE_BURST: f64 = 6.0;

/// Recent latencies of reads, and the budget for hedges.
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

    /// Adds the latency of an answered read.
    pub(crate) fn record_latency(&mut self, latency: Nanos) {
        self.latencies.add(latency);
    }

    fn has_samples(&self) -> bool {
        self.latencies.samples() >= MIN_SAMPLES
    }

    /// How long an attempt is in flight before it is overdue; `Nanos::MAX` while that is unknown.
    pub(crate) fn overdue_after(&self) -> Nanos {
        if self.has_samples() {
            self.latencies.value()
        } else {
            Nanos::MAX
        }
    }

    /// How long after its attempt a read with this much time left is hedged.
    pub(crate) fn delay(&self, time_left: Nanos) -> Nanos {
        self.overdue_after().min(time_left / 2)
    }

    /// How long an attempt is in flight before it will most likely never be answered.
    pub(crate) fn abandon_after(&self) -> Nanos {
        (self.overdue_after() as f64 * ABANDON_FACTOR) as Nanos
    }

    /// Whether a timeout after this time is evidence of a fault: it is not if the client waits less
    /// long than answers take.
    pub(crate) fn is_timeout_evidence(
        &self,
        client_timeout: Nanos,
        latency_objective: Nanos,
    ) -> bool {
        !self.has_samples() || client_timeout >= self.latencies.value().min(latency_objective)
    }

    pub(crate) fn to_stored(&self) -> StoredHistogram {
        self.latencies.to_stored()
    }

    /// Takes over a stored histogram; false if it is of another form.
    #[must_use]
    pub(crate) fn restore(&mut self, stored: &StoredHistogram) -> bool {
        self.latencies.restore(stored)
    }
}
