//! The engine: a state machine without I/O, clock or shared state that turns events into actions.
//!
//! The engine dispatches events to its components; each component owns its state.

mod answers;
mod attempt_results;
mod attempts;
mod endpoint_updates;
mod housekeeping;
mod retries;
mod selection;
mod slow_responses;
mod state_transfer;

use crate::actions::Action;
use crate::admission::{Admission, AdmissionCounts};
use crate::attempt_budget::AttemptBudget;
use crate::discovery_schedule::DiscoverySchedule;
use crate::endpoints::EndpointList;
use crate::events::{Event, NewRequest};
use crate::fleet_size::FleetSize;
use crate::hedging::Hedging;
use crate::identifiers::{AttemptNumber, Key, Nanos, RequestId, TimerToken};
use crate::origin_protection::OriginProtection;
use crate::outlier_detection::OutlierDetection;
use crate::placement::Placement;
use crate::random::Random;
use crate::rendezvous::{SLOTS, slot_of_key};
use crate::request::Request;
use crate::request_queue::RequestQueue;
use crate::retry_budget;
use crate::settings::{Idempotency, Settings, SettingsError};
use crate::timers::{TimerPurpose, Timers};
use crate::{DecisionReason, Explanation};
use std::collections::BTreeMap;

/// Interval of housekeeping, in nanoseconds; short compared to every deadline.
const HOUSEKEEPING_INTERVAL: Nanos = 100_000_000;
/// Maximum delay of a timer in ticks: it fires up to one tick late, and its event is handled up to
/// one tick after that.
const MAX_TIMER_DELAY_TICKS: Nanos = 2;

/// Decision state machine of one balancer.
pub struct Engine {
    settings: Settings,
    now: Nanos,
    fleet: FleetSize,
    /// Shortest latency objective of all classes, in nanoseconds.
    latency_objective: f64,
    /// Actions that the current event has produced so far.
    actions: Vec<Action>,
    random: Random,
    timers: Timers,
    endpoints: EndpointList,
    placement: Placement,
    /// Requests that still need a final answer or have attempts in flight.
    requests: BTreeMap<RequestId, Request>,
    queue: RequestQueue,
    hedging: Hedging,
    retry_budget: AttemptBudget,
    outliers: OutlierDetection,
    origin: OriginProtection,
    admission: Admission,
    discovery: DiscoverySchedule,
}

impl Engine {
    /// Creates an engine that starts at `now`.
    ///
    /// # Errors
    ///
    /// Returns the name of the first inconsistent setting.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let fleet = FleetSize::new(settings.balancers);
        Ok(Engine {
            now,
            fleet,
            latency_objective: settings.shortest_latency_objective(),
            actions: Vec::new(),
            random: Random::new(seed),
            timers: Timers::new(),
            endpoints: EndpointList::new(&settings),
            placement: Placement::new(now),
            requests: BTreeMap::new(),
            queue: RequestQueue::default(),
            hedging: Hedging::new(fleet),
            retry_budget: retry_budget::new(fleet),
            outliers: OutlierDetection::new(settings.capabilities.health_checks),
            origin: OriginProtection::new(),
            admission: Admission::new(&settings, now),
            discovery: DiscoverySchedule::new(settings.discovery),
            settings,
        })
    }

    /// Handles one event and appends the resulting actions to `actions`, in order.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.timers.is_unused() {
            self.start();
        }
        match event {
            Event::EndpointUpdate { kind, endpoints } => self.on_endpoint_update(kind, endpoints),
            Event::RequestArrived(details) => self.on_request(details),
            Event::AttemptEnded(result) => {
                self.record_endpoint_result(&result);
                self.update_request(result.request, |engine, request| {
                    engine.on_attempt_ended(request, &result);
                });
                self.retry_queued_after_attempt();
            }
            Event::ResponseStarted { request, attempt } => {
                self.update_request(request, |engine, request| {
                    engine.on_response_started(request, attempt);
                });
            }
            Event::LongValueBegun { request, attempt } => {
                self.update_request(request, |engine, request| {
                    engine.on_long_value_begun(request, attempt);
                });
            }
            Event::ResponseStalled { request, attempt } => {
                self.update_request(request, |engine, request| {
                    engine.on_response_stalled(request, attempt);
                });
            }
            Event::ClientDisconnected(id) => {
                self.update_request(id, |engine, request| engine.close(request, None));
            }
            Event::HealthCheckEnded {
                endpoint, outcome, ..
            } => self.on_health_check_ended(endpoint, outcome),
            Event::ShuttingDown(deadline) => self.on_shutting_down(deadline),
            Event::DiscoveryAvailable => self.discovery.reset(),
            Event::BalancerCount(balancers) => self.fleet = FleetSize::new(balancers),
            Event::FleetShedding(level) => self.admission.set_shedding_level(level),
            Event::TimerFired(token) => self.on_timer(token),
        }
        actions.append(&mut self.actions);
    }

    /// Returns the counts of admitted requests and of rejections for lack of capacity since the
    /// last call, and resets them.
    pub fn take_admission_counts(&mut self) -> AdmissionCounts {
        self.admission.take_counts()
    }

    fn start(&mut self) {
        self.set_timer(HOUSEKEEPING_INTERVAL, TimerPurpose::Housekeeping);
        if let Some(wait) = self.discovery.first_call(&mut self.random) {
            self.set_timer(wait, TimerPurpose::DiscoveryQuery);
        }
    }

    fn on_timer(&mut self, token: TimerToken) {
        match self.timers.fire(token) {
            Some(TimerPurpose::Deadline(id)) => {
                self.update_request(id, Engine::on_deadline);
            }
            Some(TimerPurpose::Hedge(id)) => {
                self.update_request(id, Engine::on_overdue);
            }
            Some(TimerPurpose::FirstBytes(id)) => {
                self.update_request(id, Engine::on_first_bytes_due);
            }
            Some(TimerPurpose::Housekeeping) => self.housekeeping(),
            Some(TimerPurpose::DiscoveryQuery) => self.actions.push(Action::QueryDiscovery),
            None => {}
        }
    }

    fn on_request(&mut self, details: NewRequest) {
        if self.requests.contains_key(&details.id) {
            return;
        }
        if details.class.0 >= self.settings.classes.len() {
            let explanation = Explanation {
                reason: DecisionReason::UnknownClass,
                ..Explanation::default()
            };
            return self.actions.push(Action::Fail {
                request: details.id,
                explanation,
            });
        }
        let is_over_quota = self
            .admission
            .record_arrival(details.tenant, self.fleet, self.now);
        self.hedging.budget.refill(self.fleet);
        self.retry_budget.refill(self.fleet);
        let slot = match details.key {
            Some(key) => slot_of_key(key),
            None => self.random.below(SLOTS as u64) as usize,
        };
        let mut request = Request::new(details, self.now, slot);
        request.is_over_quota = is_over_quota;
        let margin = self.deadline_margin();
        self.set_timer(
            details.client_timeout.saturating_sub(margin),
            TimerPurpose::Deadline(details.id),
        );
        let rejection = self.admission_rejection(&request);
        self.requests.insert(details.id, request);
        self.update_request(details.id, |engine, request| match rejection {
            Some(reason) => engine.reject_or_fail(request, reason),
            None => engine.advance(request),
        });
    }

    /// Returns how long before its deadline a request is given up: 0 if the grace for final answers
    /// covers the delay of timers, because an attempt may still be answered at the deadline itself.
    fn deadline_margin(&self) -> Nanos {
        let timer_delay = MAX_TIMER_DELAY_TICKS * self.settings.tick;
        if self.settings.rules.final_answer_grace < timer_delay {
            timer_delay
        } else {
            0
        }
    }

    /// Returns the reason for rejecting an arriving request at once, or `None` if it is admitted.
    fn admission_rejection(&mut self, request: &Request) -> Option<DecisionReason> {
        let rejection = self
            .admission
            .check(request, self.fleet, self.now, &mut self.random);
        rejection.or_else(|| {
            let is_admitted = self.origin_admits(request);
            (!is_admitted).then_some(DecisionReason::OriginProtection)
        })
    }

    /// Returns whether a request is admitted although its value may have to be fetched from the
    /// origin. An overloaded origin works on fetches for which no client waits any more, and
    /// clients' retries prolong that; only fewer misses let it recover.
    fn origin_admits(&mut self, request: &Request) -> bool {
        let key = request.details.key;
        let is_cached = self.is_cached_at_candidate(request.slot, key);
        let class = self.settings.class(request.details.class);
        is_cached
            || class.idempotency != Idempotency::Idempotent
            || request.details.is_write
            || self.origin.admits(&mut self.random)
    }

    fn is_cached_at_candidate(&mut self, slot: usize, key: Option<Key>) -> bool {
        let mut candidates = self.placement.candidates(slot).into_iter();
        candidates.any(|id| self.placement.recent_keys.is_cached(key, id))
    }

    /// Marks a request as streaming when its answer begins to reach the client, and cancels its
    /// other attempts, which are no longer needed.
    fn on_response_started(&mut self, request: &mut Request, number: AttemptNumber) {
        if !request.is_closed && request.in_flight_attempt(number).is_some() {
            request.is_streaming = true;
            self.cancel_attempts(request, Some(number));
        }
    }

    fn on_deadline(&mut self, request: &mut Request) {
        if request.is_closed {
            return;
        }
        let time_left = request.deadline.saturating_sub(self.now);
        if time_left > MAX_TIMER_DELAY_TICKS * self.settings.tick {
            // The balancer's timers have a maximum duration, so a longer timeout needs several
            // timers.
            self.set_timer(time_left, TimerPurpose::Deadline(request.details.id));
        } else if !request.is_streaming {
            self.reject_or_fail(request, DecisionReason::DeadlineExceeded);
        }
    }

    fn on_shutting_down(&mut self, deadline: Nanos) {
        for id in self.requests.keys().copied().collect::<Vec<_>>() {
            self.update_request(id, |engine, request| {
                engine.shorten_deadline(request, deadline);
            });
        }
    }

    fn shorten_deadline(&mut self, request: &mut Request, deadline: Nanos) {
        if deadline < request.deadline {
            request.deadline = deadline;
            let time_left = deadline.saturating_sub(self.now);
            self.set_timer(time_left, TimerPurpose::Deadline(request.details.id));
        }
    }

    /// Runs `update` on a tracked request. The request stays in the table until it has its final
    /// answer and no attempt is in flight.
    fn update_request(&mut self, id: RequestId, update: impl FnOnce(&mut Self, &mut Request)) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        update(self, &mut request);
        if !request.is_closed || request.in_flight() > 0 {
            self.requests.insert(id, request);
        }
    }

    #[cfg(test)]
    pub(crate) fn slot_table(&mut self) -> &mut crate::rendezvous::SlotTable {
        self.placement.slot_table()
    }

    fn set_timer(&mut self, after: Nanos, purpose: TimerPurpose) {
        self.timers.set(after, purpose, &mut self.actions);
    }
}

#[cfg(test)]
pub(crate) mod tests;
