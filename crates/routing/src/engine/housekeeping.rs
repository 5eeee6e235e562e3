//! Periodic housekeeping in one pass over the endpoints: ejection of unresponsive endpoints,
//! recovery probes, decay of limits, closing of idle connections.

use super::attempt_results::ejection_log;
use super::{Engine, HOUSEKEEPING_INTERVAL};
use crate::actions::Action;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::endpoints::EndpointRecord;
use crate::estimators::median;
use crate::idle_connections::{self, IdleEndpoint};
use crate::outlier_detection::IDLE_DECAY;
use crate::timers::TimerPurpose;

/// Summary of one pass over the endpoints.
#[derive(Default)]
struct EndpointsSummary {
    /// Recent mean latencies of active caches.
    latencies: Vec<f64>,
    /// Sum of the weights of active caches; those in slow start count with their present capacity.
    ready_weight: f64,
    /// Number of unhealthy active endpoints, including origin servers.
    unhealthy: usize,
    idle: Vec<IdleEndpoint>,
}

impl Engine {
    pub(super) fn housekeeping(&mut self) {
        self.set_timer(HOUSEKEEPING_INTERVAL, TimerPurpose::Housekeeping);
        let summary = self.update_endpoints();
        self.close_idle_connections(summary.idle);
        self.outliers.update_totals(
            median(summary.latencies),
            summary.unhealthy,
            self.endpoints.len(),
        );
        self.endpoints.set_ready_weight(summary.ready_weight);
        self.retry_queued();
    }

    fn update_endpoints(&mut self) -> EndpointsSummary {
        let mut summary = EndpointsSummary::default();
        let overdue_after = self.hedging.overdue_after();
        let initial_limit = ConcurrencyLimit::initial(self.fleet, 1.0);
        let threshold = self.outliers.ejection_threshold();
        let interpretation = self.endpoints.interpretation();
        for record in self.endpoints.records_mut() {
            let unanswered = record.unanswered_attempts(self.now, overdue_after);
            if self.settings.capabilities.health_checks
                && record.is_active()
                && record.health.is_health_check_due(self.now)
            {
                self.actions.push(Action::HealthCheck(record.entry.id));
                record.health.begin_health_check(self.now);
            }
            decay(record, &initial_limit);
            let is_ejected = self.outliers.eject_if_due(
                &mut record.health,
                unanswered as f64,
                threshold,
                self.now,
                &mut self.random,
            );
            if is_ejected {
                self.actions.push(ejection_log(record.entry.id));
            }
            let is_active_cache = record.is_active() && !interpretation.is_origin(&record.entry);
            let ready_weight = is_active_cache.then(|| {
                let slow_start = &record.slow_start;
                let capacity = slow_start.capacity_fraction(self.now, &self.settings.rules);
                interpretation.weight(&record.entry) * capacity
            });
            summary.add(record, ready_weight);
        }
        summary
    }

    pub(super) fn close_idle_connections(&mut self, idle: Vec<IdleEndpoint>) {
        for id in
            idle_connections::endpoints_to_close(idle, self.endpoints.len(), self.fleet, self.now)
        {
            self.actions.push(Action::CloseIdleConnections(id));
            if let Some(record) = self.endpoints.get_mut(id) {
                record.idle_since = None;
            }
        }
    }
}

/// Decays statistics that no recent attempt has updated toward their initial values.
fn decay(record: &mut EndpointRecord, initial_limit: &ConcurrencyLimit) {
    record
        .limit
        .decay_unused(record.in_flight.len(), initial_limit);
    record.health.decay_failure_ratio();
    let latency_decay = if record.in_flight.is_empty() {
        IDLE_DECAY
    } else {
        1.0
    };
    record.latency.decay_toward_baseline(latency_decay);
}

impl EndpointsSummary {
    /// Adds an endpoint; `ready_weight` is `None` unless it is an active cache.
    fn add(&mut self, record: &EndpointRecord, ready_weight: Option<f64>) {
        let id = record.entry.id;
        let idle_since = record.idle_since;
        self.idle
            .extend(idle_since.map(|since| IdleEndpoint { since, id }));
        self.unhealthy += usize::from(record.is_active() && record.health.is_unhealthy());
        if let Some(weight) = ready_weight {
            let latency = record.latency.recent();
            self.latencies.extend((latency > 0.0).then_some(latency));
            self.ready_weight += weight;
        }
    }
}
