//! What the decision module costs, by the number of caches: a [`Engine`] driven by hand, without
//! sockets.
//!
//! Reads of random keys arrive at a steady rate, each is answered after the same time, and each
//! second one cache goes or another comes. Time is taken on the machine's clock round each event.
//! The rows of the table of candidates fill up while the run warms up; that is measured apart, as
//! the cost of a first request.

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
const S: Nanos = 1_000 * MS;
/// Requests a second: the plan's 4.4 million over its 4,600 balancers.
pub const REQUESTS_PER_S: u64 = 956;
/// How long a cache takes to answer.
const ANSWER_AFTER: Nanos = 8 * MS;
/// A cache goes, and as long after it another comes.
const CHANGE_EVERY: Nanos = S;
const CLIENT_TIMEOUT: Nanos = 1_000 * MS;
/// After so long nearly all slots have been requested.
const WARM_UP: Nanos = 300 * S;

/// What one number of caches costs.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionCost {
    /// Caches listed.
    pub caches: usize,
    /// A request and all that follows from it, once its slot's candidates are known, in
    /// microseconds.
    pub request_us: f64,
    /// The same in the first seconds, while nearly each request is its slot's first.
    pub first_request_us: f64,
    /// A message by which one cache goes or comes, in milliseconds.
    pub change_ms: f64,
    /// A full endpoint list, in milliseconds.
    #[serde(rename = "whole_list_ms")]
    pub full_list_ms: f64,
    /// One round of housekeeping, ten a second, in milliseconds.
    pub housekeeping_ms: f64,
    /// All of it at this rate, as a share of a core in percent.
    pub core_percent: f64,
}

impl DecisionCost {
    fn take_least(&mut self, other: &DecisionCost) {
        self.request_us = self.request_us.min(other.request_us);
        self.first_request_us = self.first_request_us.min(other.first_request_us);
        self.change_ms = self.change_ms.min(other.change_ms);
        self.full_list_ms = self.full_list_ms.min(other.full_list_ms);
        self.housekeeping_ms = self.housekeeping_ms.min(other.housekeeping_ms);
        self.core_percent = self.core_percent.min(other.core_percent);
    }
}

/// What an event is booked under.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CostAccount {
    Request,
    Change,
    WholeList,
    Housekeeping,
}

/// What is due in the driven module.
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
    set: u64,
    requests: u128,
    caches: Vec<u64>,
    /// How many caches are listed while none is gone.
    listed: usize,
    next_cache: u64,
    /// Time and count since the last reset.
    spent: BTreeMap<CostAccount, (f64, u64)>,
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
        // So few that no request is queued: that would be counted too.
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
            slow_start_duration: 10 * S,
            overload_factor: 2.5,
            overload_window: 3 * S,
        },
        tick: MS,
    }
}

fn entry(cache: u64, phase: EndpointState) -> Endpoint {
    Endpoint {
        id: EndpointId(cache),
        weight: 1.0,
        state: phase,
        ..Endpoint::default()
    }
}

impl EngineDriver {
    fn new(caches: usize, seed: u64) -> Result<Self, SettingsError> {
        let brain = Engine::new(settings(), seed, 0)?;
        let mut driver = EngineDriver {
            engine: brain,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            due: BTreeMap::new(),
            set: 0,
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
            CostAccount::Change,
        );
        driver.push(0, DueEvent::Arrival);
        driver.push(CHANGE_EVERY, DueEvent::Change);
        Ok(driver)
    }

    fn push(&mut self, at: Nanos, due: DueEvent) {
        self.set += 1;
        self.due.insert((at, self.set), due);
    }

    /// Hands an event to the engine, records its cost, and simulates the effect of its actions.
    fn handle(&mut self, now: Nanos, event: Event, account: CostAccount) {
        let mut actions = Vec::new();
        let begun = Instant::now();
        self.engine.handle(now, event, &mut actions);
        let spent = self.spent.entry(account).or_default();
        spent.0 += begun.elapsed().as_secs_f64();
        spent.1 += 1;
        for action in actions {
            match action {
                Action::Send {
                    request,
                    attempt,
                    endpoint: server,
                    ..
                } => {
                    self.push(
                        now + ANSWER_AFTER,
                        DueEvent::Answer(request, attempt, server, now),
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
        self.push(now + S / REQUESTS_PER_S, DueEvent::Arrival);
        self.handle(now, Event::RequestArrived(read), CostAccount::Request);
    }

    fn answer(
        &mut self,
        now: Nanos,
        (request, attempt, server, sent): (RequestId, AttemptNumber, EndpointId, Nanos),
    ) {
        let end = AttemptResult {
            request,
            attempt,
            endpoint: server,
            outcome: AttemptOutcome::Ok,
            latency: now - sent,
            request_finished: true,
            cache_status: Some(CacheStatus::Hit),
            load_report: None,
        };
        self.handle(now, Event::AttemptEnded(end), CostAccount::Request);
    }

    /// One cache goes, or another comes in the place of the one that went before.
    fn change(&mut self, now: Nanos) {
        let entry = if self.caches.len() == self.listed {
            let chosen = self.rng.random_range(0..self.caches.len());
            entry(self.caches.swap_remove(chosen), EndpointState::Removed)
        } else {
            self.caches.push(self.next_cache);
            self.next_cache += 1;
            entry(self.next_cache - 1, EndpointState::Active)
        };
        self.push(now + CHANGE_EVERY, DueEvent::Change);
        self.handle(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Delta,
                endpoints: vec![entry],
            },
            CostAccount::Change,
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
            CostAccount::WholeList,
        );
    }

    fn advance_to(&mut self, until: Nanos) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 < until) {
            let ((now, _), due) = entry.remove_entry();
            match due {
                DueEvent::Arrival => self.arrival(now),
                DueEvent::Answer(request, attempt, server, sent) => {
                    self.answer(now, (request, attempt, server, sent));
                }
                DueEvent::Change => self.change(now),
                DueEvent::Timer(token) => {
                    // A deadline or a hedge that is no longer wanted costs next to nothing; the
                    // rest is housekeeping.
                    let account = if self.is_housekeeping(now) {
                        CostAccount::Housekeeping
                    } else {
                        CostAccount::Request
                    };
                    self.handle(now, Event::TimerFired(token), account);
                }
            }
        }
    }

    /// Housekeeping is due at whole tenths of a second; of the timers of requests next to none is.
    fn is_housekeeping(&self, now: Nanos) -> bool {
        now.is_multiple_of(100 * MS)
    }

    fn mean(&self, account: CostAccount) -> f64 {
        self.spent
            .get(&account)
            .map_or(0.0, |(seconds, count)| seconds / (*count).max(1) as f64)
    }

    fn seconds(&self, account: CostAccount) -> f64 {
        self.spent
            .get(&account)
            .map_or(0.0, |(seconds, _)| *seconds)
    }
}

/// Measures these numbers of caches in turn, so many times, over so many seconds of the module's
/// time each, and takes the least of each figure: what else the machine does only ever adds to it.
///
/// # Errors
///
/// Says what of the settings makes no sense.
pub fn measure(
    caches: &[usize],
    seconds: u64,
    rounds: u64,
) -> Result<Vec<DecisionCost>, SettingsError> {
    let round = |seed: u64| -> Result<Vec<DecisionCost>, SettingsError> {
        caches
            .iter()
            .map(|count| measure_once(*count, seconds, seed))
            .collect()
    };
    let mut least = round(1)?;
    for seed in 2..=rounds {
        let again = round(seed)?;
        least
            .iter_mut()
            .zip(&again)
            .for_each(|(cost, other)| cost.take_least(other));
    }
    Ok(least)
}

fn measure_once(caches: usize, seconds: u64, seed: u64) -> Result<DecisionCost, SettingsError> {
    let mut driver = EngineDriver::new(caches, seed)?;
    driver.advance_to(S);
    let first_request_us = driver.seconds(CostAccount::Request) / driver.requests as f64 * 1e6;
    driver.advance_to(WARM_UP);
    driver.spent.clear();
    let before = driver.requests;
    driver.send_full_list(WARM_UP);
    driver.advance_to(WARM_UP + seconds * S);
    let requests = (driver.requests - before) as f64;
    let all: f64 = driver.spent.values().map(|(seconds, _)| seconds).sum();
    Ok(DecisionCost {
        caches,
        request_us: driver.seconds(CostAccount::Request) / requests * 1e6,
        first_request_us,
        change_ms: driver.mean(CostAccount::Change) * 1e3,
        full_list_ms: driver.mean(CostAccount::WholeList) * 1e3,
        housekeeping_ms: driver.mean(CostAccount::Housekeeping) * 1e3,
        core_percent: all / seconds as f64 * 100.0,
    })
}
