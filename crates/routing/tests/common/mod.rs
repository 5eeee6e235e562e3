//! Test balancer that feeds events into an engine and keeps its timers and all its actions.
#![allow(dead_code)] // Each test file uses only a part of this module.

use routing::{
    Action, AttemptNumber, AttemptOutcome, AttemptResult, CacheStatus, Capabilities, ClassId,
    DeduplicationScope, DiscoveryMode, Endpoint, EndpointId, EndpointState, Engine, Event,
    Idempotency, Key, Nanos, NewRequest, OriginMode, RequestClass, RequestId, ServiceRules,
    Settings, Tenant, TenantId, TimerToken, UpdateKind,
};
use std::collections::BTreeMap;

pub const MS: Nanos = 1_000_000;
pub const IDEMPOTENT: ClassId = ClassId(0);
pub const KEYED: ClassId = ClassId(1);
pub const NOT_IDEMPOTENT: ClassId = ClassId(2);

const SEED: u64 = 42;
/// Maximum number of attempts that [`TestBalancer::end_attempts`] ends.
const MAX_ATTEMPTS: usize = 4;

pub fn settings() -> Settings {
    let class = |idempotency, priority_weight| RequestClass {
        idempotency,
        latency_objective: 200 * MS,
        deadline: 1_000 * MS,
        priority_weight,
        late_value_fraction: 0.2,
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: 500 * MS,
    };
    let tenant = Tenant {
        quota_per_second: 50.0,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(keyed, 2.0),
            class(Idempotency::NotIdempotent, 5.0),
        ],
        tenants: vec![tenant.clone(), tenant],
        over_quota_weight: 0.1,
        balancers: 1,
        origin: OriginMode::ReadThrough,
        discovery: DiscoveryMode::Push,
        dynamic_weights: false,
        capabilities: Capabilities {
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            health_checks: true,
            retry_after: true,
            max_retry_after: 600 * MS,
        },
        rules: ServiceRules {
            final_answer_grace: 20 * MS,
            drain_grace: 250 * MS,
            slow_start_fraction: 0.2,
            slow_start_duration: 10_000 * MS,
            overload_factor: 2.5,
            overload_window: 3_000 * MS,
        },
        tick: 5 * MS,
    }
}

/// Returns an entry of the endpoint list; zone and cell are the identifier modulo 2.
pub fn endpoint(id: u64, state: EndpointState, started: Nanos) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        zone: (id % 2) as usize,
        kind: 0,
        cell: id % 2,
        state,
        weight: 1.0,
        started,
    }
}

/// Action with the time at which it was issued.
pub struct TimedAction {
    pub at: Nanos,
    pub action: Action,
}

/// Timer that has not fired yet.
pub struct PendingTimer {
    pub due: Nanos,
    pub token: TimerToken,
}

/// Timers that an engine has set.
#[derive(Default)]
pub struct TimerQueue {
    pending: Vec<PendingTimer>,
}

impl TimerQueue {
    pub fn push(&mut self, due: Nanos, token: TimerToken) {
        self.pending.push(PendingTimer { due, token });
    }

    /// Removes and returns the earliest timer that is due at time `now`.
    pub fn pop_due(&mut self, now: Nanos) -> Option<PendingTimer> {
        let timers = self.pending.iter().enumerate();
        let (first, timer) = timers.min_by_key(|(_, timer)| (timer.due, timer.token))?;
        (timer.due <= now).then(|| self.pending.remove(first))
    }

    /// Delays all timers by this time.
    pub fn delay(&mut self, time: Nanos) {
        for timer in &mut self.pending {
            timer.due += time;
        }
    }
}

/// Engine with a simulated clock, its pending timers and all actions that it has issued.
pub struct TestBalancer {
    pub engine: Engine,
    pub now: Nanos,
    pub issued: Vec<TimedAction>,
    pub timers: TimerQueue,
    pub sent_at: BTreeMap<(RequestId, AttemptNumber), Nanos>,
}

pub fn balancer(settings: Settings) -> TestBalancer {
    balancer_with_seed(settings, SEED)
}

pub fn balancer_with_seed(settings: Settings, seed: u64) -> TestBalancer {
    TestBalancer {
        engine: Engine::new(settings, seed, 0).expect("settings are consistent"),
        now: 0,
        issued: Vec::new(),
        timers: TimerQueue::default(),
        sent_at: BTreeMap::new(),
    }
}

impl TestBalancer {
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::SetTimer { after, token } => self.timers.push(self.now + after, *token),
                Action::Send {
                    request, attempt, ..
                } => {
                    self.sent_at.insert((*request, *attempt), self.now);
                }
                _ => {}
            }
            self.issued.push(TimedAction {
                at: self.now,
                action: action.clone(),
            });
        }
        actions
    }

    /// Advances time to `until`; timers fire when they are due.
    pub fn run_until(&mut self, until: Nanos) {
        while let Some(timer) = self.timers.pop_due(until) {
            self.now = self.now.max(timer.due);
            self.handle(Event::TimerFired(timer.token));
        }
        self.now = self.now.max(until);
    }

    pub fn run_for(&mut self, time: Nanos) {
        self.run_until(self.now + time);
    }

    /// Delivers a full endpoint list with these active endpoints.
    pub fn list_endpoints(&mut self, ids: &[u64]) {
        let endpoints = ids
            .iter()
            .map(|id| endpoint(*id, EndpointState::Active, 0))
            .collect();
        self.update_endpoints(UpdateKind::Full, endpoints);
    }

    /// Delivers a change of one entry of the endpoint list.
    pub fn change_endpoint(&mut self, id: u64, state: EndpointState, started: Nanos) {
        self.update_endpoints(UpdateKind::Delta, vec![endpoint(id, state, started)]);
    }

    pub fn update_endpoints(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) {
        self.handle(Event::EndpointUpdate { kind, endpoints });
    }

    /// Delivers a request, which is a write unless it is idempotent.
    pub fn request(
        &mut self,
        id: u128,
        class: ClassId,
        key: Option<u64>,
        client_timeout: Nanos,
    ) -> Vec<Action> {
        self.handle(Event::RequestArrived(NewRequest {
            id: RequestId(id),
            class,
            tenant: Some(TenantId(0)),
            key: key.map(Key),
            client_timeout,
            estimated_work: None,
            is_write: class != IDEMPOTENT,
        }))
    }

    /// Delivers an idempotent read with its own key and a client timeout of 1 s.
    pub fn read(&mut self, id: u128) -> Vec<Action> {
        self.request(id, IDEMPOTENT, Some(id as u64), 1_000 * MS)
    }

    /// Ends an attempt; only an answer completes the request.
    pub fn end(&mut self, id: u128, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        let result = self.result(id, attempt, outcome);
        self.handle(Event::AttemptEnded(result))
    }

    /// Ends an attempt of a request that was already completed.
    pub fn end_finished(&mut self, id: u128, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        let result = AttemptResult {
            request_finished: true,
            ..self.result(id, attempt, outcome)
        };
        self.handle(Event::AttemptEnded(result))
    }

    /// Ends an attempt with this outcome and the cache status of a miss.
    pub fn end_as_miss(&mut self, id: u128, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        let result = AttemptResult {
            cache_status: Some(CacheStatus::Miss),
            ..self.result(id, attempt, outcome)
        };
        self.handle(Event::AttemptEnded(result))
    }

    fn result(&self, id: u128, attempt: u32, outcome: AttemptOutcome) -> AttemptResult {
        let (request, number) = (RequestId(id), AttemptNumber(attempt));
        AttemptResult {
            request,
            attempt: number,
            endpoint: self.sends(id)[attempt as usize],
            outcome,
            latency: self.now - self.sent_at[&(request, number)],
            request_finished: outcome == AttemptOutcome::Ok,
            cache_status: None,
            load_report: None,
        }
    }

    /// Ends the attempts of a request immediately, each with the outcome of its endpoint.
    pub fn end_attempts(
        &mut self,
        id: u128,
        mut outcome_of: impl FnMut(EndpointId) -> AttemptOutcome,
    ) {
        for attempt in 0..MAX_ATTEMPTS {
            let Some(endpoint) = self.sends(id).get(attempt).copied() else {
                break;
            };
            self.end(id, attempt as u32, outcome_of(endpoint));
        }
    }

    /// Ends every attempt of a request with an answer.
    pub fn answer_all(&mut self, id: u128) {
        for attempt in 0..self.sends(id).len() {
            self.end(id, attempt as u32, AttemptOutcome::Ok);
        }
    }

    /// Returns the endpoints that a request's attempts were sent to.
    pub fn sends(&self, id: u128) -> Vec<EndpointId> {
        self.actions()
            .filter_map(|action| match action {
                Action::Send {
                    request, endpoint, ..
                } if request.0 == id => Some(*endpoint),
                _ => None,
            })
            .collect()
    }

    /// Returns the number of final answers that the engine gave to a request.
    pub fn final_answers(&self, id: u128) -> usize {
        self.actions()
            .filter(|action| match action {
                Action::Fail { request, .. } | Action::Reject { request, .. } => request.0 == id,
                _ => false,
            })
            .count()
    }

    /// Returns all actions so far.
    pub fn actions(&self) -> impl Iterator<Item = &Action> {
        self.issued.iter().map(|issued| &issued.action)
    }

    /// Returns whether this action was issued after the first `count` actions.
    pub fn has_issued_since(&self, count: usize, action: &Action) -> bool {
        self.actions().skip(count).any(|issued| issued == action)
    }
}
