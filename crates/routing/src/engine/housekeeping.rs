//! What happens at regular intervals, in one pass over the endpoints: ejection of silent endpoints,
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

/// What one pass over the endpoints gathers.
#[derive(Default)]
struct FleetSummary {
    /// Recent mean latencies of active caches.
    latencies: Vec<f64>,
    /// The summed weight of the same, those in slow start at their present share.
    ready_weight: f64,
    /// Active endpoints that are unhealthy, origins included.
    unhealthy: usize,
    idle: Vec<IdleEndpoint>,
}

impl Engine {
    pub(super) fn housekeeping(&mut self) {
        self.set_timer(HOUSEKEEPING_INTERVAL, TimerPurpose::Housekeeping);
        let summary = self.update_endpoints();
        self.close_idle_connections(summary.idle);
        self.outliers.update_fleet(
            median(summary.latencies),
            summary.unhealthy,
            self.endpoints.len(),
        );
        self.endpoints.set_ready_weight(summary.ready_weight);
        self.retry_queued();
    }

    fn update_endpoints(&mut self) -> FleetSummary {
        let mut summary = FleetSummary::default();
        let overdue_after = self.hedging.overdue_after();
        let initial_limit = ConcurrencyLimit::initial(self.fleet, 1.0);
        let threshold = self.outliers.ejection_threshold();
        let interpretation = self.endpoints.interpretation();
        for record in self.endpoints.records_mut() {
            let silent = record.silent_attempts(self.now, overdue_after);
            if self.settings.capabilities.health_checks
                && record.is_active()
                && record.health.is_health_check_due(self.now)
            {
                self.actions.push(Action::HealthCheck(record.listed.id));
                record.health.begin_health_check(self.now);
            }
            decay(record, &initial_limit);
            let is_ejected = self.outliers.eject_if_due(
                &mut record.health,
                silent as f64,
                threshold,
                self.now,
                &mut self.random,
            );
            if is_ejected {
                self.actions.push(ejection_log(record.listed.id));
            }
            let is_active_cache = record.is_active() && !interpretation.is_origin(&record.listed);
            let ready_weight = is_active_cache.then(|| {
                let slow_start = &record.slow_start;
                let capacity = slow_start.capacity_fraction(self.now, &self.settings.rules);
                interpretation.weight(&record.listed) * capacity
            });
            summary.add(record, ready_weight);
        }
        summary
    }

    pub(super) fn close_idle_connections(&mut self, idle: Vec<IdleEndpoint>) {
        for id in idle_connections::to_close(idle, self.endpoints.len(), self.fleet, self.now) {
            self.actions.push(Action::CloseIdleConnections(id));
            if let Some(record) = self.endpoints.get_mut(id) {
                record.idle_since = None;
            }
        }
    }
}

/// Moves what has not been renewed by attempts toward its initial value.
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

impl FleetSummary {
    /// Adds an endpoint; `ready_weight` is that of an active cache.
    fn add(&mut self, record: &EndpointRecord, ready_weight: Option<f64>) {
        let id = record.listed.id;
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
