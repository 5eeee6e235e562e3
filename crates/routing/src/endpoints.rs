//! The endpoint list, and the state that this balancer keeps for each endpoint.

use crate::actions::DecisionReason;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::estimators::{LatencyMean, LatencyPerWork};
use crate::events::{Endpoint, EndpointState, LoadReport, UpdateKind};
use crate::fleet_size::FleetSize;
use crate::identifiers::{AttemptNumber, EndpointId, Nanos, RequestId};
use crate::outlier_detection::EndpointHealth;
use crate::random::Random;
use crate::settings::{OriginMode, Settings};
use crate::slow_start::{SlowStart, TotalWeights};
use std::collections::{BTreeMap, BTreeSet};

/// Assumed hit ratio of an endpoint until it reports one.
const INITIAL_HIT_RATIO: f64 = 0.5;
/// Weight of a new sample in the means of [`LatencyPerWork`].
pub(crate) const LATENCY_PER_WORK_GAIN: f64 = 0.05;
/// Minimum weight of an endpoint; lower weights in the list are raised to it.
const MIN_WEIGHT: f64 = 0.01;
/// Maximum weight of an endpoint; higher weights in the list are reduced to it.
const MAX_WEIGHT: f64 = 100.0;
/// Weight of an endpoint whose entry has no usable weight, or whose weight follows its load.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Attempt in flight at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct InFlightAttempt {
    pub(crate) sent_at: Nanos,
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
}

/// State that this balancer keeps for one endpoint of the list.
#[derive(Default)]
pub(crate) struct EndpointRecord {
    pub(crate) entry: Endpoint,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) last_answer_at: Nanos,
    /// Time since which no attempt has been in flight, if a connection may be open.
    pub(crate) idle_since: Option<Nanos>,
    pub(crate) latency: LatencyMean,
    pub(crate) latency_per_work: LatencyPerWork,
    /// Hit ratio that the endpoint last reported.
    pub(crate) hit_ratio: f64,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) health: EndpointHealth,
    pub(crate) slow_start: SlowStart,
}

impl EndpointRecord {
    /// Creates the record of an endpoint without observations.
    pub(crate) fn new(entry: Endpoint, slow_start: SlowStart) -> Self {
        EndpointRecord {
            entry,
            hit_ratio: INITIAL_HIT_RATIO,
            health: EndpointHealth::new(),
            slow_start,
            ..EndpointRecord::default()
        }
    }

    pub(crate) fn is_active(&self) -> bool {
        self.entry.state == EndpointState::Active
    }

    /// Returns the reason why this fraction of the concurrency limit permits no further attempt, or
    /// `None` if it permits one.
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

    /// Removes an attempt that has ended and returns it, or `None` if it was not in flight here.
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

    /// Records the latency of a hit.
    pub(crate) fn record_hit_latency(&mut self, latency: Nanos, estimated_work: Option<Nanos>) {
        self.latency.add(latency);
        if let Some(work) = estimated_work {
            self.latency_per_work
                .add(latency as f64, work as f64, LATENCY_PER_WORK_GAIN);
        }
    }

    /// Returns the number of overdue attempts that were sent after the endpoint's last answer.
    pub(crate) fn unanswered_attempts(&self, now: Nanos, overdue_after: Nanos) -> usize {
        let is_unanswered = |attempt: &&InFlightAttempt| {
            attempt.sent_at >= self.last_answer_at
                && now.saturating_sub(attempt.sent_at) > overdue_after
        };
        self.in_flight.iter().filter(is_unanswered).count()
    }
}

/// Settings that determine how entries of the endpoint list are interpreted.
#[derive(Clone, Copy)]
pub(crate) struct ListInterpretation {
    dynamic_weights: bool,
    origin: OriginMode,
}

impl ListInterpretation {
    /// Returns whether an endpoint is an origin server according to [`OriginMode::CacheAside`].
    pub(crate) fn is_origin(self, endpoint: &Endpoint) -> bool {
        matches!(self.origin, OriginMode::CacheAside { kind } if kind == endpoint.kind)
    }

    /// Returns the weight of an endpoint according to its entry.
    pub(crate) fn weight(self, endpoint: &Endpoint) -> f64 {
        if !self.dynamic_weights && endpoint.weight.is_finite() {
            endpoint.weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
        } else {
            DEFAULT_WEIGHT
        }
    }
}

/// All endpoints of the list, with their state.
pub(crate) struct EndpointList {
    records: BTreeMap<EndpointId, EndpointRecord>,
    interpretation: ListInterpretation,
    totals: TotalWeights,
    mean_weight: f64,
}

impl EndpointList {
    /// Creates an empty list.
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

    /// Returns the origin servers according to [`OriginMode::CacheAside`].
    pub(crate) fn origins(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records()
            .filter(|record| self.interpretation.is_origin(&record.entry))
    }

    /// Returns the ratio of an endpoint's weight to the mean weight.
    pub(crate) fn relative_size(&self, id: EndpointId) -> f64 {
        self.get(id).map_or(1.0, |record| {
            self.interpretation.weight(&record.entry) / self.mean_weight.max(MIN_WEIGHT)
        })
    }

    pub(crate) fn total_weights(&self) -> TotalWeights {
        self.totals
    }

    pub(crate) fn set_ready_weight(&mut self, ready: f64) {
        self.totals.ready = ready;
    }

    /// Returns whether no active cache is listed.
    pub(crate) fn has_no_caches(&self) -> bool {
        self.totals.all == 0.0
    }

    /// Applies a successful update.
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
        // Start times in the first list are accepted as stated; endpoints that join later are
        // assumed to have started recently.
        let joins_existing_list = !self.records.is_empty();
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.records.remove(&entry.id);
                continue;
            }
            let initial_tokens = random.coarse_fraction();
            let slow_start =
                SlowStart::new(entry.started, now, joins_existing_list, initial_tokens);
            self.upsert(entry, slow_start);
        }
    }

    /// Adds or changes an entry. An endpoint whose start time changed is a new process, so its
    /// record is reset; only the attempts in flight are kept.
    fn upsert(&mut self, entry: Endpoint, slow_start: SlowStart) {
        let Some(record) = self.records.get_mut(&entry.id) else {
            let record = EndpointRecord::new(entry, slow_start);
            self.records.insert(entry.id, record);
            return;
        };
        if record.entry.started == entry.started {
            record.entry = entry;
            return;
        }
        let in_flight = std::mem::take(&mut record.in_flight);
        *record = EndpointRecord {
            in_flight,
            ..EndpointRecord::new(entry, slow_start)
        };
    }

    /// Returns the active caches with their weights, ordered by identifier.
    pub(crate) fn weighted_caches(&self) -> Vec<(EndpointId, f64)> {
        let is_cache = |record: &EndpointRecord| {
            record.is_active() && !self.interpretation.is_origin(&record.entry)
        };
        self.records
            .iter()
            .filter(|(_, record)| is_cache(record))
            .map(|(id, record)| (*id, self.interpretation.weight(&record.entry)))
            .collect()
    }

    /// Recomputes the sum of the active caches' weights, and sets the initial concurrency limit of
    /// endpoints that have none.
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
