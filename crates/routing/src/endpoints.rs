//! The endpoint list, and what this balancer knows of each endpoint.

use crate::actions::DecisionReason;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::estimators::{LatencyMean, WorkPace};
use crate::events::{Endpoint, EndpointState, LoadReport, UpdateKind};
use crate::fleet_size::FleetSize;
use crate::identifiers::{AttemptNumber, EndpointId, Nanos, RequestId};
use crate::outlier_detection::EndpointHealth;
use crate::random::Random;
use crate::settings::{OriginMode, Settings};
use crate::slow_start::{SlowStart, TotalWeights};
use std::collections::{BTreeMap, BTreeSet};

/// Hit ratio of an endpoint that has not reported one.
const INITIAL_HIT_RATIO: f64 = 0.5;
/// Weight of a new sample in the time that estimated work takes.
pub(crate) const WORK_PACE_GAIN: f64 = 0.05;
/// Bounds of a listed weight.
const MIN_WEIGHT: f64 = 0.01;
const MAX_WEIGHT: f64 = 100.0;
/// The weight of an endpoint whose listed weight is not used.
const DEFAULT_WEIGHT: f64 = 1.0;

/// An attempt in flight at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    pub(crate) sent_at: Nanos,
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
}

/// What this balancer knows of one listed endpoint.
#[derive(Default)]
pub(crate) struct EndpointRecord {
    pub(crate) listed: Endpoint,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) last_answer_at: Nanos,
    /// Nothing has been in flight since then, but a connection may be open.
    pub(crate) idle_since: Option<Nanos>,
    pub(crate) latency: LatencyMean,
    pub(crate) work_pace: WorkPace,
    /// Hit ratio that the endpoint reports.
    pub(crate) hit_ratio: f64,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) health: EndpointHealth,
    pub(crate) slow_start: SlowStart,
}

impl EndpointRecord {
    /// Of an endpoint of which nothing is known but its entry.
    pub(crate) fn new(listed: Endpoint, slow_start: SlowStart) -> Self {
        EndpointRecord {
            listed,
            hit_ratio: INITIAL_HIT_RATIO,
            health: EndpointHealth::new(),
            slow_start,
            ..EndpointRecord::default()
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.listed.state == EndpointState::Active
    }

    /// Why this fraction of the concurrency limit does not permit one more attempt.
    pub(crate) fn capacity_shortage(&self, fraction: f64, now: Nanos) -> Option<DecisionReason> {
        self.limit.shortage(
            fraction,
            self.in_flight.len(),
            self.latency.recent(),
            self.last_answer_at,
            now,
        )
    }

    pub(crate) fn begin_attempt(&mut self, attempt: InFlightAttempt) {
        self.in_flight.push(attempt);
        self.idle_since = None;
        self.slow_start.spend();
    }

    /// Takes out an attempt that has ended; none if it was not in flight here.
    pub(crate) fn end_attempt(
        &mut self,
        request: RequestId,
        number: AttemptNumber,
    ) -> Option<InFlightAttempt> {
        let is_ended =
            |attempt: &InFlightAttempt| attempt.request == request && attempt.number == number;
        let position = self.in_flight.iter().position(is_ended)?;
        Some(self.in_flight.remove(position))
    }

    pub(crate) fn record_load_report(&mut self, report: &LoadReport) {
        let is_ratio = |ratio: &f64| (0.0..=1.0).contains(ratio);
        self.hit_ratio = report.hit_ratio.filter(is_ratio).unwrap_or(self.hit_ratio);
    }

    /// Adds the latency of a hit.
    pub(crate) fn record_hit_latency(&mut self, latency: Nanos, estimated_work: Option<Nanos>) {
        self.latency.add(latency);
        if let Some(work) = estimated_work {
            self.work_pace
                .add(latency as f64, work as f64, WORK_PACE_GAIN);
        }
    }

    /// Attempts that are overdue while nothing has been heard of the endpoint since they were sent.
    pub(crate) fn silent_attempts(&self, now: Nanos, overdue_after: Nanos) -> usize {
        let is_silent = |attempt: &&InFlightAttempt| {
            attempt.sent_at >= self.last_answer_at
                && now.saturating_sub(attempt.sent_at) > overdue_after
        };
        self.in_flight.iter().filter(is_silent).count()
    }
}

/// How the settings have entries of the list read.
#[derive(Clone, Copy)]
pub(crate) struct ListInterpretation {
    dynamic_weights: bool,
    origin: OriginMode,
}

impl ListInterpretation {
    /// Whether an endpoint is the origin, by [`OriginMode::CacheAside`].
    pub(crate) fn is_origin(self, endpoint: &Endpoint) -> bool {
        matches!(self.origin, OriginMode::CacheAside { kind } if kind == endpoint.kind)
    }

    /// The weight of an endpoint by the list alone.
    pub(crate) fn weight(self, endpoint: &Endpoint) -> f64 {
        if !self.dynamic_weights && endpoint.weight.is_finite() {
            endpoint.weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
        } else {
            DEFAULT_WEIGHT
        }
    }
}

/// All listed endpoints.
pub(crate) struct EndpointList {
    records: BTreeMap<EndpointId, EndpointRecord>,
    interpretation: ListInterpretation,
    totals: TotalWeights,
    mean_weight: f64,
}

impl EndpointList {
    /// An empty list.
    pub(crate) fn new(settings: &Settings) -> Self {
        EndpointList {
            records: BTreeMap::new(),
            interpretation: ListInterpretation {
                dynamic_weights: settings.dynamic_weights,
                origin: settings.origin,
            },
            totals: TotalWeights {
                all: 0.0,
                ready: 0.0,
            },
            mean_weight: DEFAULT_WEIGHT,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn get(&self, id: EndpointId) -> Option<&EndpointRecord> {
        self.records.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut EndpointRecord> {
        self.records.get_mut(&id)
    }

    pub(crate) fn records(&self) -> impl ExactSizeIterator<Item = &EndpointRecord> {
        self.records.values()
    }

    pub(crate) fn records_mut(&mut self) -> impl Iterator<Item = &mut EndpointRecord> {
        self.records.values_mut()
    }

    pub(crate) fn interpretation(&self) -> ListInterpretation {
        self.interpretation
    }

    /// The origins, by [`OriginMode::CacheAside`].
    pub(crate) fn origins(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records()
            .filter(|record| self.interpretation.is_origin(&record.listed))
    }

    /// An endpoint's weight over the mean one.
    pub(crate) fn relative_size(&self, id: EndpointId) -> f64 {
        self.get(id).map_or(1.0, |record| {
            self.interpretation.weight(&record.listed) / self.mean_weight.max(MIN_WEIGHT)
        })
    }

    pub(crate) fn total_weights(&self) -> TotalWeights {
        self.totals
    }

    pub(crate) fn set_ready_weight(&mut self, ready: f64) {
        self.totals.ready = ready;
    }

    /// Whether no cache takes requests.
    pub(crate) fn has_no_caches(&self) -> bool {
        self.totals.all == 0.0
    }

    /// Applies an update that did not fail.
    pub(crate) fn apply(
        &mut self,
        kind: UpdateKind,
        entries: Vec<Endpoint>,
        now: Nanos,
        random: &mut Random,
    ) {
        if matches!(kind, UpdateKind::Full | UpdateKind::Stale) {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
            self.records.retain(|id, _| listed.contains(id));
        }
        // What the first list names may have run for as long as it says.
        let joins_known_list = !self.records.is_empty();
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.records.remove(&entry.id);
                continue;
            }
            let initial_tokens = random.coarse_fraction();
            let slow_start = SlowStart::new(entry.started, now, joins_known_list, initial_tokens);
            self.upsert(entry, slow_start);
        }
    }

    /// Adds or changes an entry. An endpoint with another start is another process, of which
    /// nothing is known.
    fn upsert(&mut self, entry: Endpoint, slow_start: SlowStart) {
        let Some(record) = self.records.get_mut(&entry.id) else {
            let record = EndpointRecord::new(entry, slow_start);
            self.records.insert(entry.id, record);
            return;
        };
        if record.listed.started == entry.started {
            record.listed = entry;
            return;
        }
        let in_flight = std::mem::take(&mut record.in_flight);
        *record = EndpointRecord {
            in_flight,
            ..EndpointRecord::new(entry, slow_start)
        };
    }

    /// The caches that take requests with their weights, in the order of their identifiers.
    pub(crate) fn weighted_caches(&self) -> Vec<(EndpointId, f64)> {
        let is_cache = |record: &EndpointRecord| {
            record.is_active() && !self.interpretation.is_origin(&record.listed)
        };
        self.records
            .iter()
            .filter(|(_, record)| is_cache(record))
            .map(|(id, record)| (*id, self.interpretation.weight(&record.listed)))
            .collect()
    }

    /// Sums up the weights of the caches that take requests, and gives endpoints that have no
    /// concurrency limit their initial one.
    pub(crate) fn update_weights(&mut self, caches: &[(EndpointId, f64)], fleet: FleetSize) {
        let total = caches.iter().map(|(_, weight)| weight).sum();
        self.totals = TotalWeights {
            all: total,
            ready: total,
        };
        self.mean_weight = total / caches.len().max(1) as f64;
        let without_limit: Vec<EndpointId> = self
            .records
            .iter()
            .filter(|(_, record)| record.limit.is_unset())
            .map(|(id, _)| *id)
            .collect();
        for id in without_limit {
            let size = self.relative_size(id);
            if let Some(record) = self.get_mut(id) {
                record.limit = ConcurrencyLimit::initial(fleet, size);
            }
        }
    }
}
