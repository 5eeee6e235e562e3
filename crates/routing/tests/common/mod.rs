//! A hand-driven router: plays events into a brain, keeps its timers and all that it ordered.
#![allow(dead_code)]

use routing::*;

pub const MS: Nanos = 1_000_000;
pub const SAFE: ClassId = ClassId(0);
pub const KEYED: ClassId = ClassId(1);
pub const UNSAFE: ClassId = ClassId(2);

pub fn settings() -> Settings {
    let class = |effect, worth| RequestClass {
        idempotency: effect,
        latency_objective: 200 * MS,
        deadline: 1_000 * MS,
        priority_weight: worth,
        late_value_fraction: 0.2,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(
                Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    window: 500 * MS,
                },
                2.0,
            ),
            class(Idempotency::NotIdempotent, 5.0),
        ],
        tenants: vec![
            Tenant {
                quota_per_second: 50.0,
            },
            Tenant {
                quota_per_second: 50.0,
            },
        ],
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

pub fn entry(server: u64, phase: EndpointState, started: Nanos) -> Endpoint {
    Endpoint {
        id: EndpointId(server),
        zone: (server % 2) as usize,
        kind: 0,
        cell: server % 2,
        state: phase,
        weight: 1.0,
        started,
    }
}

pub struct Bench {
    pub brain: Engine,
    pub now: Nanos,
    pub at: Vec<(Nanos, Action)>,
    pub timers: Vec<(Nanos, TimerToken)>,
    pub sent_at: std::collections::BTreeMap<(u128, u32), Nanos>,
    pub slack: Nanos,
}

pub fn bench(settings: Settings) -> Bench {
    let slack = settings.rules.final_answer_grace;
    let brain = Engine::new(settings, 42, 0).expect("settings make sense");
    Bench {
        brain,
        now: 0,
        at: Vec::new(),
        timers: Vec::new(),
        sent_at: Default::default(),
        slack,
    }
}

impl Bench {
    pub fn slack(&self) -> Nanos {
        self.slack
    }
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.brain.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::SetTimer { after, token } => self.timers.push((self.now + after, *token)),
                Action::Send { request, .. } => {
                    let number = self.sends(request.0).len() as u32;
                    self.sent_at.insert((request.0, number), self.now);
                }
                _ => {}
            }
            self.at.push((self.now, action.clone()));
        }
        actions
    }
    pub fn run_to(&mut self, until: Nanos) {
        loop {
            self.timers.sort_by_key(|(at, token)| (*at, token.0));
            match self.timers.first().copied() {
                Some((at, token)) if at <= until => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    self.event(Event::TimerFired(token));
                }
                _ => break,
            }
        }
        self.now = self.now.max(until);
    }
    pub fn list(&mut self, servers: &[u64]) {
        let entries = servers
            .iter()
            .map(|s| entry(*s, EndpointState::Active, 0))
            .collect();
        self.event(Event::EndpointUpdate {
            kind: UpdateKind::Full,
            endpoints: entries,
        });
    }
    pub fn patch(&mut self, server: u64, phase: EndpointState, started: Nanos) {
        self.event(Event::EndpointUpdate {
            kind: UpdateKind::Delta,
            endpoints: vec![entry(server, phase, started)],
        });
    }
    pub fn request(
        &mut self,
        id: u128,
        class: ClassId,
        key: Option<u64>,
        patience: Nanos,
    ) -> Vec<Action> {
        self.event(Event::RequestArrived(NewRequest {
            id: RequestId(id),
            class,
            tenant: Some(TenantId(0)),
            key: key.map(Key),
            client_timeout: patience,
            estimated_work: None,
            is_write: class != SAFE,
        }))
    }
    pub fn end(
        &mut self,
        id: u128,
        attempt: u32,
        outcome: AttemptOutcome,
        finished: bool,
    ) -> Vec<Action> {
        self.end_noted(id, attempt, outcome, finished, None)
    }
    pub fn end_noted(
        &mut self,
        id: u128,
        attempt: u32,
        outcome: AttemptOutcome,
        finished: bool,
        note: Option<CacheStatus>,
    ) -> Vec<Action> {
        let server = self.sends(id)[attempt as usize];
        let latency = self.now - self.sent_at[&(id, attempt)];
        self.event(Event::AttemptEnded(AttemptResult {
            request: RequestId(id),
            attempt: AttemptNumber(attempt),
            endpoint: server,
            outcome,
            latency,
            request_finished: finished,
            cache_status: note,
            load_report: None,
        }))
    }
    /// Ends every attempt of a request that is still out, with an answer.
    pub fn finish_all(&mut self, id: u128) {
        for attempt in 0..self.sends(id).len() {
            self.end(id, attempt as u32, AttemptOutcome::Ok, true);
        }
    }
    pub fn sends(&self, id: u128) -> Vec<EndpointId> {
        self.at
            .iter()
            .filter_map(|(_, a)| match a {
                Action::Send {
                    request,
                    endpoint: server,
                    ..
                } if request.0 == id => Some(*server),
                _ => None,
            })
            .collect()
    }
    pub fn finals(&self, id: u128) -> usize {
        let id = RequestId(id);
        self.at
            .iter()
            .filter(|(_, a)| match a {
                Action::Fail { request, .. } => *request == id,
                Action::Reject { request, .. } => *request == id,
                _ => false,
            })
            .count()
    }
}
