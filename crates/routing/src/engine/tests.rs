//! Tests of the engine and its components with exact values, grouped by component.

mod admission;
mod concurrency_limit;
mod discovery_schedule;
mod fleet_shedding;
mod hedging;
mod idempotency;
mod origin_protection;
mod outlier_detection;
mod placement;
mod request_lifecycle;
mod request_queue;
mod retries;
mod slow_responses;
mod slow_start;
mod state_transfer;

use super::Engine;
use crate::actions::Action;
use crate::endpoints::{EndpointRecord, InFlightAttempt};
use crate::events::{AttemptOutcome, AttemptResult, Endpoint, Event, NewRequest, UpdateKind};
use crate::identifiers::{AttemptNumber, ClassId, EndpointId, Key, Nanos, RequestId};
use crate::rendezvous::slot_of_key;
use crate::request::Request;
use crate::settings::{
    Capabilities, DiscoveryMode, Idempotency, OriginMode, RequestClass, ServiceRules, Settings,
};

const MS: Nanos = 1_000_000;

pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![RequestClass {
            idempotency: Idempotency::Idempotent,
            latency_objective: 200 * MS,
            deadline: 1_000 * MS,
            priority_weight: 1.0,
            late_value_fraction: 0.0,
        }],
        tenants: Vec::new(),
        over_quota_weight: 0.0,
        balancers: 2,
        origin: OriginMode::ReadThrough,
        discovery: DiscoveryMode::Push,
        dynamic_weights: false,
        capabilities: Capabilities {
            max_attempts: 4,
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
            slow_start_duration: 10_000 * MS,
            overload_factor: 2.5,
            overload_window: 3_000 * MS,
        },
        tick: 5 * MS,
    }
}

/// Returns settings for a fleet of this many balancers.
fn settings_of_fleet(balancers: usize) -> Settings {
    Settings {
        balancers,
        ..settings()
    }
}

/// Creates an engine without an endpoint list.
fn new_engine(settings: Settings, seed: u64) -> Engine {
    Engine::new(settings, seed, 0).expect("settings are consistent")
}

/// Creates an engine with endpoints 1 to `endpoints` of weight 1.
fn engine_with(settings: Settings, seed: u64, endpoints: u64) -> Engine {
    let mut engine = new_engine(settings, seed);
    let entries = (1..=endpoints).map(endpoint).collect();
    engine.on_endpoint_update(UpdateKind::Full, entries);
    engine
}

fn engine(endpoints: u64) -> Engine {
    engine_with(settings(), 1, endpoints)
}

fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        weight: 1.0,
        ..Endpoint::default()
    }
}

impl Engine {
    fn record(&self, id: EndpointId) -> &EndpointRecord {
        self.endpoints.get(id).expect("the endpoint is listed")
    }

    fn record_mut(&mut self, id: EndpointId) -> &mut EndpointRecord {
        self.endpoints.get_mut(id).expect("the endpoint is listed")
    }

    fn endpoint_ids(&self) -> Vec<EndpointId> {
        let records = self.endpoints.records();
        records.map(|record| record.entry.id).collect()
    }

    /// Returns the endpoint of a request's first attempt.
    fn first_endpoint(&self, id: u128) -> EndpointId {
        self.requests[&RequestId(id)].attempts[0].endpoint
    }

    /// Handles an event at the engine's current time.
    fn handle_now(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.handle(self.now, event, &mut actions);
        actions
    }
}

impl EndpointRecord {
    /// Sets the attempts in flight to this number of attempts of other requests.
    fn set_in_flight(&mut self, count: u128) {
        self.set_in_flight_since(count, 0);
    }

    fn set_in_flight_since(&mut self, count: u128, sent_at: Nanos) {
        let attempt = |request| InFlightAttempt {
            sent_at,
            request: RequestId(request),
            number: AttemptNumber(0),
        };
        self.in_flight = (0..count).map(|number| attempt(100 + number)).collect();
    }
}

/// Returns a read of this key.
fn read_request(id: u128, key: u64, client_timeout: Nanos) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        key: Some(Key(key)),
        client_timeout,
        estimated_work: None,
        is_write: false,
    }
}

/// Returns an open read of key 9 that arrived at time 0.
fn open_read(id: u128) -> Request {
    Request::new(read_request(id, 9, 1_000 * MS), 0, slot_of_key_9())
}

fn slot_of_key_9() -> usize {
    slot_of_key(Key(9))
}

fn candidates_of_key_9(engine: &mut Engine) -> Vec<EndpointId> {
    engine.placement.candidates(slot_of_key_9()).to_vec()
}

/// Delivers a read of key 9 to the engine.
fn arrive(engine: &mut Engine, id: u128) -> Vec<Action> {
    engine.handle_now(Event::RequestArrived(read_request(id, 9, 1_000 * MS)))
}

/// Returns the result of a request's first attempt, with a latency of 10 ms and without cache
/// status and load report.
fn attempt_result(id: u128, endpoint: EndpointId, outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        request: RequestId(id),
        attempt: AttemptNumber(0),
        endpoint,
        outcome,
        latency: 10 * MS,
        request_finished: outcome == AttemptOutcome::Ok,
        cache_status: None,
        load_report: None,
    }
}

/// Ends the first attempt of a request.
fn end_first_attempt(engine: &mut Engine, id: u128, outcome: AttemptOutcome) -> Vec<Action> {
    let result = attempt_result(id, engine.first_endpoint(id), outcome);
    engine.handle_now(Event::AttemptEnded(result))
}

/// Returns the endpoint of the first attempt that these actions send.
fn first_send(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

fn is_send(action: &Action) -> bool {
    matches!(action, Action::Send { .. })
}

fn count_sends(actions: &[Action]) -> usize {
    actions.iter().filter(|action| is_send(action)).count()
}
