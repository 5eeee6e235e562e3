//! Property tests with random valid sequences of events from fixed seeds: all actions follow the
//! rules of the service, and the same events give the same actions.

mod common;

use common::{MS, TimerQueue, endpoint, settings};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use routing::{
    Action, AttemptNumber, AttemptOutcome, AttemptResult, CacheStatus, ClassId, DeduplicationScope,
    DiscoveryMode, EndpointId, EndpointState, Engine, Event, Idempotency, Key, LoadReport, Nanos,
    NewRequest, OriginMode, RequestId, Settings, TenantId, TimerToken, UpdateKind,
};
use std::collections::BTreeMap;

/// Step of a sequence. A `selector` chooses one of the existing items, modulo their number.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        class: usize,
        key: Option<u64>,
        timeout_ms: u64,
    },
    EndAttempt {
        selector: usize,
        outcome: usize,
        is_hit: bool,
    },
    StartResponse {
        selector: usize,
    },
    BeginLongValue {
        selector: usize,
    },
    Stall {
        selector: usize,
    },
    Disconnect {
        selector: usize,
    },
    ChangeEndpoint {
        id: u64,
        state: usize,
        is_restart: bool,
    },
    ReplaceList {
        ids: Vec<u64>,
    },
    FailDiscovery,
    /// Events about requests, endpoints and timers that do not exist.
    Unknown {
        id: u128,
        token: u64,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let timeout_ms = prop_oneof![Just(0u64), 1..50u64, 50..2_000u64];
    let key = proptest::option::of(0..40u64);
    prop_oneof![
        6 => (0..3usize, key, timeout_ms)
            .prop_map(|(class, key, timeout_ms)| Step::Arrive { class, key, timeout_ms }),
        8 => (any::<usize>(), 0..10usize, any::<bool>())
            .prop_map(|(selector, outcome, is_hit)| Step::EndAttempt { selector, outcome, is_hit }),
        1 => any::<usize>().prop_map(|selector| Step::StartResponse { selector }),
        1 => any::<usize>().prop_map(|selector| Step::BeginLongValue { selector }),
        1 => any::<usize>().prop_map(|selector| Step::Stall { selector }),
        1 => any::<usize>().prop_map(|selector| Step::Disconnect { selector }),
        2 => (1..8u64, 0..3usize, any::<bool>())
            .prop_map(|(id, state, is_restart)| Step::ChangeEndpoint { id, state, is_restart }),
        1 => proptest::collection::vec(1..8u64, 0..7).prop_map(|ids| Step::ReplaceList { ids }),
        1 => Just(Step::FailDiscovery),
        1 => (any::<u128>(), any::<u64>()).prop_map(|(id, token)| Step::Unknown { id, token }),
        4 => (1..400u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

const OUTCOMES: [AttemptOutcome; 10] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::Timeout,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
    AttemptOutcome::CacheMiss,
    AttemptOutcome::Unreadable,
];

const STATES: [EndpointState; 3] = [
    EndpointState::Active,
    EndpointState::Draining,
    EndpointState::Removed,
];

/// Attempt as observed from outside the engine.
struct ObservedAttempt {
    endpoint: u64,
    sent_at: Nanos,
    outcome: Option<AttemptOutcome>,
    has_long_value: bool,
    is_stalled: bool,
}

impl ObservedAttempt {
    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn may_have_run(&self) -> bool {
        self.outcome
            .is_none_or(|outcome| !outcome.proves_no_effect())
    }
}

/// Request as observed from outside the engine.
struct ObservedRequest {
    class: usize,
    deadline: Nanos,
    attempts: Vec<ObservedAttempt>,
    final_answers: usize,
    is_finished: bool,
    is_streaming: bool,
}

impl ObservedRequest {
    fn is_answered(&self) -> bool {
        self.is_finished || self.final_answers == 1 || self.is_streaming
    }

    fn is_open(&self) -> bool {
        !self.is_finished && self.final_answers == 0
    }
}

/// Reference to an attempt in flight.
#[derive(Clone, Copy)]
struct InFlight {
    request: u128,
    number: usize,
}

/// Engine with a simulated balancer that checks every action against the rules.
struct CheckedBalancer {
    settings: Settings,
    engine: Engine,
    now: Nanos,
    last_request: u128,
    requests: BTreeMap<u128, ObservedRequest>,
    timers: TimerQueue,
    /// Whether each endpoint of the list is active.
    active_by_endpoint: BTreeMap<u64, bool>,
    actions: Vec<Action>,
    /// Attempts whose long values are to be forwarded.
    forwarded: Vec<InFlight>,
}

impl CheckedBalancer {
    fn new(settings: Settings) -> Self {
        let engine = Engine::new(settings.clone(), 9, 0).expect("settings are consistent");
        CheckedBalancer {
            settings,
            engine,
            now: 0,
            last_request: 0,
            requests: BTreeMap::new(),
            timers: TimerQueue::default(),
            active_by_endpoint: BTreeMap::new(),
            actions: Vec::new(),
            forwarded: Vec::new(),
        }
    }

    fn request_mut(&mut self, id: u128) -> &mut ObservedRequest {
        self.requests.get_mut(&id).expect("the request was sent")
    }

    /// Handles an event and checks every resulting action against the rules.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Send {
                    request, endpoint, ..
                } => self.check_send(request.0, endpoint.0),
                Action::Fail { request, .. } => self.check_final_answer(request.0),
                Action::Reject {
                    request,
                    retry_after,
                    ..
                } => self.check_rejection(request.0, *retry_after),
                Action::Cancel { request, attempt } => {
                    assert!(self.settings.capabilities.cancellation);
                    let attempts = &self.requests[&request.0].attempts;
                    let attempt = &attempts[attempt.0 as usize];
                    assert!(
                        !attempt.has_long_value || self.requests[&request.0].is_answered(),
                        "cancelled a long value that the client waits for"
                    );
                }
                Action::ForwardLongValue { request, attempt } => {
                    let number = attempt.0 as usize;
                    let request = request.0;
                    let forwarded = &self.requests[&request].attempts[number];
                    assert!(forwarded.has_long_value && forwarded.is_in_flight());
                    self.forwarded.push(InFlight { request, number });
                }
                Action::SetTimer { after, token } => self.timers.push(self.now + after, *token),
                Action::HealthCheck(endpoint) => {
                    assert!(self.active_by_endpoint.contains_key(&endpoint.0));
                }
                Action::CloseIdleConnections(_)
                | Action::QueryDiscovery
                | Action::Defer { .. }
                | Action::Log(_) => {}
            }
        }
        self.actions.extend(actions);
        while let Some(forwarded) = self.forwarded.pop() {
            self.end_attempt(forwarded, AttemptOutcome::Ok, false);
        }
    }

    fn check_rejection(&mut self, id: u128, retry_after: Nanos) {
        assert!(retry_after <= self.settings.capabilities.max_retry_after);
        let request = &self.requests[&id];
        let may_have_run = request.attempts.iter().any(ObservedAttempt::may_have_run);
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            } => {}
            _ => assert!(!may_have_run, "rejected a request that may have run"),
        }
        self.check_final_answer(id);
    }

    fn check_send(&mut self, id: u128, endpoint: u64) {
        assert_eq!(
            self.active_by_endpoint.get(&endpoint),
            Some(&true),
            "sent to an endpoint that is draining or removed"
        );
        let now = self.now;
        let capabilities = self.settings.capabilities.clone();
        let idempotency = self.settings.classes[self.requests[&id].class].idempotency;
        let request = self.request_mut(id);
        assert!(
            request.is_open() && !request.is_streaming,
            "sent an attempt of a completed or streaming request"
        );
        assert!(now < request.deadline, "sent an attempt after the deadline");
        assert!(
            request.attempts.len() < capabilities.max_attempts as usize,
            "sent more attempts than allowed"
        );
        let attempts = request.attempts.iter();
        let in_flight = attempts.filter(|attempt| attempt.is_in_flight()).count();
        let is_beside_stalled = request
            .attempts
            .iter()
            .any(|attempt| attempt.is_in_flight() && attempt.is_stalled);
        let may_repeat = match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { .. } => is_beside_stalled,
            Idempotency::NotIdempotent => false,
        };
        let may_hedge = capabilities.hedging && may_repeat;
        assert!(
            in_flight == 0 || in_flight == 1 && may_hedge,
            "sent a concurrent attempt that is not allowed"
        );
        check_repeat(idempotency, request, endpoint, now);
        request.attempts.push(ObservedAttempt {
            endpoint,
            sent_at: now,
            outcome: None,
            has_long_value: false,
            is_stalled: false,
        });
    }

    fn check_final_answer(&mut self, id: u128) {
        let latest = self.requests[&id].deadline + self.settings.rules.final_answer_grace;
        let now = self.now;
        let request = self.request_mut(id);
        assert!(
            !request.is_finished && !request.is_streaming,
            "answered a completed or streaming request"
        );
        let mut in_flight = request.attempts.iter().filter(|a| a.is_in_flight());
        assert!(
            !in_flight.any(|attempt| attempt.has_long_value),
            "answered a request whose long value has begun"
        );
        request.final_answers += 1;
        assert_eq!(request.final_answers, 1, "a request got two final answers");
        assert!(now <= latest, "answered after the deadline and its grace");
    }

    fn in_flight(&self) -> Vec<InFlight> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    in_flight.push(InFlight {
                        request: *id,
                        number,
                    });
                }
            }
        }
        in_flight
    }

    fn select_in_flight(&self, selector: usize) -> Option<InFlight> {
        let in_flight = self.in_flight();
        let index = selector.checked_rem(in_flight.len())?;
        Some(in_flight[index])
    }

    fn end_attempt(&mut self, ended: InFlight, outcome: AttemptOutcome, is_hit: bool) {
        let now = self.now;
        let request = self.request_mut(ended.request);
        let finishes =
            outcome == AttemptOutcome::Ok || request.is_streaming || request.final_answers > 0;
        request.is_finished = request.is_finished || finishes;
        let request_finished = request.is_finished;
        let attempt = &mut request.attempts[ended.number];
        attempt.outcome = Some(outcome);
        let result = AttemptResult {
            request: RequestId(ended.request),
            attempt: AttemptNumber(ended.number as u32),
            endpoint: EndpointId(attempt.endpoint),
            outcome,
            latency: now - attempt.sent_at,
            request_finished,
            cache_status: is_hit.then_some(CacheStatus::Hit),
            load_report: Some(LoadReport {
                hit_ratio: Some(f64::NAN),
                ..LoadReport::default()
            }),
        };
        self.handle(Event::AttemptEnded(result));
    }

    fn wait_until(&mut self, until: Nanos) {
        while let Some(timer) = self.timers.pop_due(until) {
            self.now = self.now.max(timer.due);
            self.handle(Event::TimerFired(timer.token));
        }
        self.now = self.now.max(until);
        for (id, request) in &self.requests {
            let is_overdue = self.now > request.deadline + self.settings.rules.final_answer_grace;
            assert!(
                !is_overdue || request.is_answered(),
                "request {id} has no final answer"
            );
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Arrive {
                class,
                key,
                timeout_ms,
            } => self.arrive(*class, *key, timeout_ms * MS),
            Step::EndAttempt {
                selector,
                outcome,
                is_hit,
            } => {
                if let Some(ended) = self.select_in_flight(*selector) {
                    self.end_attempt(ended, OUTCOMES[*outcome], *is_hit);
                }
            }
            Step::StartResponse { selector } => {
                if let Some(started) = self.select_in_flight(*selector) {
                    self.start_response(started);
                }
            }
            Step::BeginLongValue { selector } => self.begin_long_value(*selector),
            Step::Stall { selector } => self.stall(*selector),
            Step::Disconnect { selector } => self.disconnect(*selector),
            Step::ChangeEndpoint {
                id,
                state,
                is_restart,
            } => {
                let started = if *is_restart { self.now } else { 0 };
                self.change_endpoint(*id, STATES[*state], started);
            }
            Step::ReplaceList { ids } => self.replace_list(ids),
            Step::FailDiscovery => self.handle(Event::EndpointUpdate {
                kind: UpdateKind::Failed,
                endpoints: Vec::new(),
            }),
            Step::Unknown { id, token } => self.send_unknown_events(*id, *token),
            Step::Wait { ms } => self.wait_until(self.now + ms * MS),
        }
    }

    fn arrive(&mut self, class: usize, key: Option<u64>, client_timeout: Nanos) {
        self.last_request += 1;
        let id = self.last_request;
        let observed = ObservedRequest {
            class,
            deadline: self.now + client_timeout,
            attempts: Vec::new(),
            final_answers: 0,
            is_finished: false,
            is_streaming: false,
        };
        self.requests.insert(id, observed);
        self.handle(Event::RequestArrived(NewRequest {
            id: RequestId(id),
            class: ClassId(class),
            tenant: Some(TenantId((id % 3) as usize)),
            key: key.map(Key),
            client_timeout,
            estimated_work: None,
            is_write: class > 0,
        }));
    }

    fn start_response(&mut self, started: InFlight) {
        let now = self.now;
        let request = self.request_mut(started.request);
        if !request.is_open() || request.is_streaming || now >= request.deadline {
            return;
        }
        request.is_streaming = true;
        self.handle(Event::ResponseStarted {
            request: RequestId(started.request),
            attempt: AttemptNumber(started.number as u32),
        });
        let attempts = &mut self.request_mut(started.request).attempts;
        for (number, attempt) in attempts.iter_mut().enumerate() {
            if number != started.number && attempt.is_in_flight() {
                attempt.outcome = Some(AttemptOutcome::Cancelled);
            }
        }
    }

    fn begin_long_value(&mut self, selector: usize) {
        let Some(begun) = self.select_in_flight(selector) else {
            return;
        };
        let request = self.request_mut(begun.request);
        if request.is_open() && !request.is_streaming {
            request.attempts[begun.number].has_long_value = true;
            self.handle(Event::LongValueBegun {
                request: RequestId(begun.request),
                attempt: AttemptNumber(begun.number as u32),
            });
        }
    }

    fn stall(&mut self, selector: usize) {
        if let Some(stalled) = self.select_in_flight(selector) {
            self.request_mut(stalled.request).attempts[stalled.number].is_stalled = true;
            self.handle(Event::ResponseStalled {
                request: RequestId(stalled.request),
                attempt: AttemptNumber(stalled.number as u32),
            });
        }
    }

    fn disconnect(&mut self, selector: usize) {
        let requests = self.requests.iter();
        let open: Vec<u128> = requests
            .filter(|(_, request)| request.is_open())
            .map(|(id, _)| *id)
            .collect();
        if let Some(index) = selector.checked_rem(open.len()) {
            let id = open[index];
            self.request_mut(id).is_finished = true;
            self.handle(Event::ClientDisconnected(RequestId(id)));
        }
    }

    fn change_endpoint(&mut self, id: u64, state: EndpointState, started: Nanos) {
        if state == EndpointState::Removed {
            self.active_by_endpoint.remove(&id);
        } else {
            self.active_by_endpoint
                .insert(id, state == EndpointState::Active);
        }
        self.handle(Event::EndpointUpdate {
            kind: UpdateKind::Delta,
            endpoints: vec![endpoint(id, state, started)],
        });
    }

    fn replace_list(&mut self, ids: &[u64]) {
        self.active_by_endpoint = ids.iter().map(|id| (*id, true)).collect();
        let entries = ids.iter();
        let endpoints = entries
            .map(|id| endpoint(*id, EndpointState::Active, 0))
            .collect();
        self.handle(Event::EndpointUpdate {
            kind: UpdateKind::Full,
            endpoints,
        });
    }

    fn send_unknown_events(&mut self, id: u128, token: u64) {
        let unknown = RequestId(id.saturating_add(1 << 100));
        let token = TimerToken(token.saturating_add(1 << 40));
        self.handle(Event::TimerFired(token));
        self.handle(Event::ClientDisconnected(unknown));
        self.handle(Event::ResponseStarted {
            request: unknown,
            attempt: AttemptNumber(3),
        });
        self.handle(Event::HealthCheckEnded {
            endpoint: EndpointId(77),
            outcome: AttemptOutcome::Ok,
            load_report: None,
        });
        self.handle(Event::AttemptEnded(AttemptResult {
            request: unknown,
            attempt: AttemptNumber(0),
            endpoint: EndpointId(1),
            outcome: AttemptOutcome::Ok,
            latency: 1,
            request_finished: false,
            cache_status: None,
            load_report: None,
        }));
    }
}

/// Checks that a request that may have run is not sent to an endpoint where it could run twice.
fn check_repeat(idempotency: Idempotency, request: &ObservedRequest, endpoint: u64, now: Nanos) {
    let attempts = request.attempts.iter();
    let mut earlier = attempts.filter(|attempt| attempt.may_have_run());
    match idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NotIdempotent => {
            assert!(
                earlier.next().is_none(),
                "repeated a request that is not idempotent"
            );
        }
        Idempotency::Keyed { scope, window } => {
            for attempt in earlier {
                assert!(
                    now < attempt.sent_at + window,
                    "repeated a keyed request after its window"
                );
                let is_in_scope =
                    scope == DeduplicationScope::All || attempt.endpoint % 2 == endpoint % 2;
                assert!(
                    is_in_scope,
                    "repeated a keyed request outside its deduplication scope"
                );
            }
        }
    }
}

/// Returns the settings of this variant; variants differ in the features that are supported.
fn variant(number: usize) -> Settings {
    let mut settings = settings();
    let scope = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ][number % 3];
    settings.classes[1].idempotency = Idempotency::Keyed {
        scope,
        window: 500 * MS,
    };
    settings.capabilities.hedging = number % 4 != 3;
    settings.capabilities.health_checks = number.is_multiple_of(2);
    settings.capabilities.max_attempts = 1 + (number % 5) as u32;
    if number % 5 == 4 {
        settings.discovery = DiscoveryMode::Poll {
            staleness_limit: 10_000 * MS,
        };
    }
    if number % 7 == 6 {
        settings.origin = OriginMode::CacheAside { kind: 0 };
    }
    settings
}

fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

#[test]
fn rules_hold_in_any_order_of_events_and_every_request_is_answered() {
    let steps = (0..35usize, proptest::collection::vec(step(), 1..200));
    runner(1)
        .run(&steps, |(number, steps)| {
            let mut balancer = CheckedBalancer::new(variant(number));
            balancer.apply(&Step::ReplaceList {
                ids: vec![1, 2, 3, 4, 5],
            });
            for step in &steps {
                balancer.apply(step);
            }
            balancer.wait_until(balancer.now + 5_000 * MS);
            for (id, request) in &balancer.requests {
                assert!(request.is_answered(), "request {id} has no final answer");
            }
            // Ends the attempts that are still in flight; ends that arrive after completion must
            // break no rule.
            for in_flight in balancer.in_flight() {
                balancer.end_attempt(in_flight, AttemptOutcome::Timeout, false);
            }
            Ok(())
        })
        .expect("no rule is broken");
}

#[test]
fn same_events_give_the_same_actions() {
    let steps = (0..35usize, proptest::collection::vec(step(), 1..120));
    runner(2)
        .run(&steps, |(number, steps)| {
            let mut balancers = [
                CheckedBalancer::new(variant(number)),
                CheckedBalancer::new(variant(number)),
            ];
            for balancer in &mut balancers {
                balancer.apply(&Step::ReplaceList {
                    ids: vec![5, 3, 1, 2, 4],
                });
                steps.iter().for_each(|step| balancer.apply(step));
            }
            assert_eq!(balancers[0].actions, balancers[1].actions);
            Ok(())
        })
        .expect("the actions are the same");
}
