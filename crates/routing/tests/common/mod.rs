//! A hand-driven router: plays events into a brain, keeps its timers and all that it ordered.
#![allow(dead_code)]

use routing::*;

pub const MS: Nanos = 1_000_000;
pub const SAFE: ClassId = ClassId(0);
pub const KEYED: ClassId = ClassId(1);
pub const UNSAFE: ClassId = ClassId(2);

pub fn settings() -> Settings {
    let class = |effect, worth| Class {
        effect,
        aim: 200 * MS,
        deadline: 1_000 * MS,
        worth,
        late_value: 0.2,
    };
    Settings {
        classes: vec![
            class(Effect::Safe, 1.0),
            class(
                Effect::Keyed {
                    group: Group::All,
                    window: 500 * MS,
                },
                2.0,
            ),
            class(Effect::Unsafe, 5.0),
        ],
        tenants: vec![
            Tenant {
                allowance_per_s: 50.0,
            },
            Tenant {
                allowance_per_s: 50.0,
            },
        ],
        over_share_worth: 0.1,
        routers: 1,
        origin: Origin::Through,
        discovery: Discovery::Pushed,
        live_weights: false,
        limits: Limits {
            max_attempts: 4,
            second_copies: true,
            cancel: true,
            probes: true,
            retry_after: true,
            max_retry_after: 600 * MS,
        },
        rules: Rules {
            answer_slack: 20 * MS,
            drain_grace: 250 * MS,
            cold_from: 0.2,
            warm_after: 10_000 * MS,
            overload_factor: 2.5,
            tip_after: 3_000 * MS,
        },
        tick: 5 * MS,
    }
}

pub fn entry(server: u64, phase: Phase, started: Nanos) -> Entry {
    Entry {
        server: ServerId(server),
        zone: (server % 2) as usize,
        kind: 0,
        cell: server % 2,
        phase,
        weight: 1.0,
        started,
    }
}

pub struct Bench {
    pub brain: Brain,
    pub now: Nanos,
    pub at: Vec<(Nanos, Action)>,
    pub timers: Vec<(Nanos, Token)>,
    pub sent_at: std::collections::BTreeMap<(u128, u32), Nanos>,
    pub slack: Nanos,
}

pub fn bench(settings: Settings) -> Bench {
    let slack = settings.rules.answer_slack;
    let brain = Brain::new(settings, 42, 0).expect("settings make sense");
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
                Action::Timer { after, token } => self.timers.push((self.now + after, *token)),
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
                    self.event(Event::Timer(token));
                }
                _ => break,
            }
        }
        self.now = self.now.max(until);
    }
    pub fn list(&mut self, servers: &[u64]) {
        let entries = servers.iter().map(|s| entry(*s, Phase::Up, 0)).collect();
        self.event(Event::List {
            scope: ListScope::Whole,
            entries,
        });
    }
    pub fn patch(&mut self, server: u64, phase: Phase, started: Nanos) {
        self.event(Event::List {
            scope: ListScope::Patch,
            entries: vec![entry(server, phase, started)],
        });
    }
    pub fn request(
        &mut self,
        id: u128,
        class: ClassId,
        key: Option<u64>,
        patience: Nanos,
    ) -> Vec<Action> {
        self.event(Event::Request(NewRequest {
            id: RequestId(id),
            class,
            tenant: Some(TenantId(0)),
            key: key.map(Key),
            patience,
            work: None,
            write: class != SAFE,
        }))
    }
    pub fn end(&mut self, id: u128, attempt: u32, outcome: Outcome, finished: bool) -> Vec<Action> {
        self.end_noted(id, attempt, outcome, finished, None)
    }
    pub fn end_noted(
        &mut self,
        id: u128,
        attempt: u32,
        outcome: Outcome,
        finished: bool,
        note: Option<CacheNote>,
    ) -> Vec<Action> {
        let server = self.sends(id)[attempt as usize];
        let latency = self.now - self.sent_at[&(id, attempt)];
        self.event(Event::Ended(Ended {
            request: RequestId(id),
            attempt: AttemptNo(attempt),
            server,
            outcome,
            latency,
            finished,
            note,
            load: None,
        }))
    }
    /// Ends every attempt of a request that is still out, with an answer.
    pub fn finish_all(&mut self, id: u128) {
        for attempt in 0..self.sends(id).len() {
            self.end(id, attempt as u32, Outcome::Ok, true);
        }
    }
    pub fn sends(&self, id: u128) -> Vec<ServerId> {
        self.at
            .iter()
            .filter_map(|(_, a)| match a {
                Action::Send {
                    request, server, ..
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
                Action::Refuse { request, .. } => *request == id,
                _ => false,
            })
            .count()
    }
}
