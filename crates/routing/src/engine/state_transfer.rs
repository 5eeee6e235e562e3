//! Transfer of the engine's learnt state to the process that replaces this one.

use super::Engine;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::endpoints::EndpointRecord;
use crate::estimators::LatencyMean;
use crate::identifiers::{EndpointId, Nanos};
use crate::outlier_detection::{EndpointHealth, StoredHealth};
use crate::slow_start::StoredBudget;
use crate::snapshot::{EndpointSnapshot, Snapshot, SnapshotError};

impl Engine {
    /// Returns the engine's learnt state and halves its own token budgets, so that this engine and
    /// the one that restores the snapshot together send no more than one engine would.
    #[must_use]
    pub fn take_snapshot(&mut self) -> Snapshot {
        self.hedging.budget.halve();
        self.retry_budget.halve();
        for record in self.endpoints.records_mut() {
            record.slow_start.halve();
        }
        Snapshot {
            endpoints: self.endpoints.records().map(endpoint_snapshot).collect(),
            latency_histogram: self.hedging.to_stored(),
            fetch_latency: self.origin.fetch_latency().to_stored(),
            rank_hit_ratios: self.placement.rank_hit_ratios().to_vec(),
            origin_admitted_fraction: self.origin.admitted_fraction(),
            failure_ratio: self.outliers.failure_ratio(),
            median_latency: self.outliers.median_latency(),
            budgets: [self.hedging.budget.tokens(), self.retry_budget.tokens()],
            rates: self.admission.traffic.to_stored(self.now),
        }
    }

    /// Restores the learnt state of another engine, limited to endpoints that are in this engine's
    /// list with the same start time. If a value is invalid, nothing is restored.
    ///
    /// # Errors
    ///
    /// Returns the part of the snapshot that is invalid.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        let rank_hit_ratios = snapshot.check()?;
        if !self.hedging.restore(&snapshot.latency_histogram) {
            return Err(SnapshotError::InvalidHistogram);
        }
        self.placement.restore_rank_hit_ratios(rank_hit_ratios);
        let fetch_latency = LatencyMean::from_stored(snapshot.fetch_latency);
        self.origin
            .restore(snapshot.origin_admitted_fraction, fetch_latency);
        self.outliers
            .restore(snapshot.failure_ratio, snapshot.median_latency);
        let [hedges, retries] = snapshot.budgets;
        self.hedging.budget.limit_to(hedges);
        self.retry_budget.limit_to(retries);
        self.admission.traffic.restore(snapshot.rates, self.now);
        for stored in &snapshot.endpoints {
            let record = self.endpoints.get_mut(EndpointId(stored.id));
            if let Some(record) = record.filter(|record| record.entry.started == stored.started) {
                restore_endpoint(record, stored, self.now);
            }
        }
        Ok(())
    }
}

fn endpoint_snapshot(record: &EndpointRecord) -> EndpointSnapshot {
    let health = record.health.to_stored();
    let budget = record.slow_start.to_stored();
    EndpointSnapshot {
        id: record.entry.id.0,
        started: record.entry.started,
        latency: record.latency.to_stored(),
        hit_ratio: record.hit_ratio,
        limit: record.limit.value(),
        consecutive_failures: health.consecutive_failures,
        failure_ratio: health.failure_ratio,
        ejected_until: health.ejected_until,
        may_probe_with_request: health.may_probe_with_request,
        backoff: health.backoff,
        slow_start_tokens: budget.tokens,
        slow_start_refilled_at: budget.refilled_at,
    }
}

fn restore_endpoint(record: &mut EndpointRecord, stored: &EndpointSnapshot, now: Nanos) {
    record.latency = LatencyMean::from_stored(stored.latency);
    record.hit_ratio = stored.hit_ratio;
    record.limit = ConcurrencyLimit::from_stored(stored.limit);
    let health = StoredHealth {
        consecutive_failures: stored.consecutive_failures,
        failure_ratio: stored.failure_ratio,
        ejected_until: stored.ejected_until,
        may_probe_with_request: stored.may_probe_with_request,
        backoff: stored.backoff,
    };
    record.health = EndpointHealth::from_stored(health, now);
    let budget = StoredBudget {
        tokens: stored.slow_start_tokens,
        refilled_at: stored.slow_start_refilled_at,
    };
    record.slow_start.restore(budget, now);
}
