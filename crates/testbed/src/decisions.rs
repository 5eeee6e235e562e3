//! Measures the CPU time of the decision [`Engine`] by the number of caches, without sockets.
//!
//! Reads of random keys arrive at a constant rate in virtual time, each is answered after a
//! constant time, and one cache is removed or added every second. Each event is timed with the
//! machine's clock. The candidate table fills during the warm-up; the requests of its first second
//! are measured separately, as the cost of first requests.

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::{
    Action, AttemptNumber, AttemptOutcome, AttemptResult, CacheStatus, Capabilities, ClassId,
    DiscoveryMode, Endpoint, EndpointId, EndpointState, Engine, Event, Idempotency, Key, Nanos,
    NewRequest, OriginMode, RequestClass, RequestId, ServiceRules, Settings, SettingsError,
    TimerToken, UpdateKind,
};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Instant;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Requests per second: 4.4 million of the planned fleet divided by its 4,600 balancers.
pub const REQUESTS_PER_S: u64 = 956;
/// Response time of the simulated caches.
const RESPONSE_TIME: Nanos = 8 * MS;
/// Interval between changes of the endpoint list; changes alternately remove and add a cache.
const CHANGE_INTERVAL: Nanos = SECOND;
const CLIENT_TIMEOUT: Nanos = 1_000 * MS;
/// Time after which nearly all slots have been requested.
const WARM_UP: Nanos = 300 * SECOND;

/// Measured cost at one number of caches.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionCost {
    /// Number of listed caches.
    pub caches: usize,
    /// CPU time of a request and all its events once the candidates of its slot are computed, in
    /// microseconds.
    pub request_us: f64,
    /// CPU time of a request and all its events in the first second, in which nearly every request
    /// is the first of its slot, in microseconds.
    pub first_request_us: f64,
    /// CPU time of an update that removes or adds one cache, in milliseconds.
    pub change_ms: f64,
    /// CPU time of a full endpoint list, in milliseconds.
    #[serde(rename = "whole_list_ms")]
    pub full_list_ms: f64,
    /// CPU time of one housekeeping round, of which there are 10 per second, in milliseconds.
    pub housekeeping_ms: f64,
    /// CPU time of all events at [`REQUESTS_PER_S`], in percent of a core.
    pub core_percent: f64,
}

impl DecisionCost {
    /// Replaces each value by the smaller one of both measurements.
    fn take_minimum(&mut self, other: &DecisionCost) {
        self.request_us = self.request_us.min(other.request_us);
        self.first_request_us = self.first_request_us.min(other.first_request_us);
        self.change_ms = self.change_ms.min(other.change_ms);
        self.full_list_ms = self.full_list_ms.min(other.full_list_ms);
        self.housekeeping_ms = self.housekeeping_ms.min(other.housekeeping_ms);
        self.core_percent = self.core_percent.min(other.core_percent);
    }
}

/// Category in which the CPU time of an event is counted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CostCategory {
    Request,
    Change,
    FullList,
    Housekeeping,
}

/// Event that is scheduled for the engine.
enum DueEvent {
    Arrival,
    Answer(RequestId, AttemptNumber, EndpointId, Nanos),
    Change,
    Timer(TimerToken),
}

struct EngineDriver {
    engine: Engine,
    rng: Xoshiro256PlusPlus,
    due: BTreeMap<(Nanos, u64), DueEvent>,
    scheduled: u64,
    requests: u128,
    caches: Vec<u64>,
    /// Number of listed caches while none is removed.
    listed: usize,
    next_cache: u64,
    /// Total CPU time in seconds and number of events by category, since the last reset.
    spent: BTreeMap<CostCategory, (f64, u64)>,
}

fn settings() -> Settings {
    Settings {
        classes: vec![RequestClass {
            idempotency: Idempotency::Idempotent,
            latency_objective: 200 * MS,
            deadline: CLIENT_TIMEOUT,
            priority_weight: 1.0,
            late_value_fraction: 0.0,
        }],
        tenants: Vec::new(),
        over_quota_weight: 0.0,
        // A small fleet, so that no request is queued; queueing would add to the measured cost.
        balancers: 3,
        origin: OriginMode::ReadThrough,
        discovery: DiscoveryMode::Push,
        dynamic_weights: false,
        capabilities: Capabilities {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_checks: false,
            retry_after: false,
            max_retry_after: 0,
        },
        rules: ServiceRules {
            final_answer_grace: 20 * MS,
            drain_grace: 250 * MS,
            slow_start_fraction: 0.2,
            slow_start_duration: 10 * SECOND,
            overload_factor: 2.5,
            overload_window: 3 * SECOND,
        },
        tick: MS,
    }
}

fn entry(cache: u64, state: EndpointState) -> Endpoint {
    Endpoint {
        id: EndpointId(cache),
        weight: 1.0,
        state,
        ..Endpoint::default()
    }
}

impl EngineDriver {
    fn new(caches: usize, seed: u64) -> Result<Self, SettingsError> {
        let engine = Engine::new(settings(), seed, 0)?;
        let mut driver = EngineDriver {
            engine,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            due: BTreeMap::new(),
            scheduled: 0,
            requests: 0,
            caches: (1..=caches as u64).collect(),
            listed: caches,
            next_cache: caches as u64 + 1,
            spent: BTreeMap::new(),
        };
        let entries = driver
            .caches
            .iter()
            .map(|cache| entry(*cache, EndpointState::Active))
            .collect();
        driver.handle(
            0,
            Event::EndpointUpdate {
                kind: UpdateKind::Full,
                endpoints: entries,
            },
            CostCategory::Change,
        );
        driver.push(0, DueEvent::Arrival);
        driver.push(CHANGE_INTERVAL, DueEvent::Change);
        Ok(driver)
    }

    fn push(&mut self, at: Nanos, due: DueEvent) {
        self.scheduled += 1;
        self.due.insert((at, self.scheduled), due);
    }

    /// Passes an event to the engine, records its CPU time, and schedules the results of its
    /// actions.
    fn handle(&mut self, now: Nanos, event: Event, category: CostCategory) {
        let mut actions = Vec::new();
        let begin = Instant::now();
        self.engine.handle(now, event, &mut actions);
        let spent = self.spent.entry(category).or_default();
        spent.0 += begin.elapsed().as_secs_f64();
        spent.1 += 1;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    attempt,
                    endpoint,
                    ..
                } => {
                    self.push(
                        now + RESPONSE_TIME,
                        DueEvent::Answer(request, attempt, endpoint, now),
                    );
                }
                Action::SetTimer { after, token } => self.push(now + after, DueEvent::Timer(token)),
                _ => {}
            }
        }
    }

    fn arrival(&mut self, now: Nanos) {
        self.requests += 1;
        let read = NewRequest {
            id: RequestId(self.requests),
            class: ClassId(0),
            tenant: None,
            key: Some(Key(self.rng.random())),
            client_timeout: CLIENT_TIMEOUT,
            estimated_work: None,
            is_write: false,
        };
        self.push(now + SECOND / REQUESTS_PER_S, DueEvent::Arrival);
        self.handle(now, Event::RequestArrived(read), CostCategory::Request);
    }

    fn answer(
        &mut self,
        now: Nanos,
        (request, attempt, endpoint, sent): (RequestId, AttemptNumber, EndpointId, Nanos),
    ) {
        let result = AttemptResult {
            request,
            attempt,
            endpoint,
            outcome: AttemptOutcome::Ok,
            latency: now - sent,
            request_finished: true,
            cache_status: Some(CacheStatus::Hit),
            load_report: None,
        };
        self.handle(now, Event::AttemptEnded(result), CostCategory::Request);
    }

    /// Removes a random cache, or adds a new cache in place of the removed one.
    fn change(&mut self, now: Nanos) {
        let entry = if self.caches.len() == self.listed {
            let chosen = self.rng.random_range(0..self.caches.len());
            entry(self.caches.swap_remove(chosen), EndpointState::Removed)
        } else {
            self.caches.push(self.next_cache);
            self.next_cache += 1;
            entry(self.next_cache - 1, EndpointState::Active)
        };
        self.push(now + CHANGE_INTERVAL, DueEvent::Change);
        self.handle(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints: vec![entry],
            },
            CostCategory::Change,
        );
    }

    /// Sends a full endpoint list.
    fn send_full_list(&mut self, now: Nanos) {
        let entries = self
            .caches
            .iter()
            .map(|cache| entry(*cache, EndpointState::Active))
            .collect();
        self.handle(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Full,
                endpoints: entries,
            },
            CostCategory::FullList,
        );
    }

    fn advance_to(&mut self, until: Nanos) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 < until) {
            let ((now, _), due) = entry.remove_entry();
            match due {
                DueEvent::Arrival => self.arrival(now),
                DueEvent::Answer(request, attempt, endpoint, sent) => {
                    self.answer(now, (request, attempt, endpoint, sent));
                }
                DueEvent::Change => self.change(now),
                DueEvent::Timer(token) => {
                    // Other timers are deadlines and hedges of completed requests, which cost
                    // little and are counted as requests.
                    let category = if self.is_housekeeping(now) {
                        CostCategory::Housekeeping
                    } else {
                        CostCategory::Request
                    };
                    self.handle(now, Event::TimerFired(token), category);
                }
            }
        }
    }

    /// Returns whether a timer at `now` is a housekeeping round. Housekeeping runs at multiples of
    /// 100 ms, at which almost no request timers fire.
    fn is_housekeeping(&self, now: Nanos) -> bool {
        now.is_multiple_of(100 * MS)
    }

    fn mean(&self, category: CostCategory) -> f64 {
        self.spent
            .get(&category)
            .map_or(0.0, |(seconds, count)| seconds / (*count).max(1) as f64)
    }

    fn seconds(&self, category: CostCategory) -> f64 {
        self.spent
            .get(&category)
            .map_or(0.0, |(seconds, _)| *seconds)
    }
}

/// Measures each number of caches in `rounds` rounds of `seconds` seconds of virtual time and
/// returns the minimum of each value. Other load on the machine can only increase a value.
///
/// # Errors
///
/// Returns an error if the engine rejects the settings.
pub fn measure(
    caches: &[usize],
    seconds: u64,
    rounds: u64,
) -> Result<Vec<DecisionCost>, SettingsError> {
    let measure_round = |seed: u64| -> Result<Vec<DecisionCost>, SettingsError> {
        caches
            .iter()
            .map(|count| measure_once(*count, seconds, seed))
            .collect()
    };
    let mut minima = measure_round(1)?;
    for seed in 2..=rounds {
        let costs = measure_round(seed)?;
        minima
            .iter_mut()
            .zip(&costs)
            .for_each(|(cost, other)| cost.take_minimum(other));
    }
    Ok(minima)
}

fn measure_once(caches: usize, seconds: u64, seed: u64) -> Result<DecisionCost, SettingsError> {
    let mut driver = EngineDriver::new(caches, seed)?;
    driver.advance_to(SECOND);
    let first_request_us = driver.seconds(CostCategory::Request) / driver.requests as f64 * 1e6;
    driver.advance_to(WARM_UP);
    driver.spent.clear();
    let before = driver.requests;
    driver.send_full_list(WARM_UP);
    driver.advance_to(WARM_UP + seconds * SECOND);
    let requests = (driver.requests - before) as f64;
    let total: f64 = driver.spent.values().map(|(seconds, _)| seconds).sum();
    Ok(DecisionCost {
        caches,
        request_us: driver.seconds(CostCategory::Request) / requests * 1e6,
        first_request_us,
        change_ms: driver.mean(CostCategory::Change) * 1e3,
        full_list_ms: driver.mean(CostCategory::FullList) * 1e3,
        housekeeping_ms: driver.mean(CostCategory::Housekeeping) * 1e3,
        core_percent: total / seconds as f64 * 100.0,
    })
}
