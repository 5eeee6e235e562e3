//! Tests of concurrency limits: growth, reduction, decay, and the fractions available to probable
//! hits and misses. Also of the limits on idle connections.

use super::{
    MS, arrive, attempt_result, candidates_of_key_9, end_first_attempt, engine, engine_with,
    new_engine, read_request, settings, settings_of_fleet,
};
use crate::actions::Action;
use crate::concurrency_limit::{
    ConcurrencyLimit, HIT_INCREASE, HIT_LIMIT_FRACTION, INCREASE_BEYOND_KNEE, INITIAL_FLEET_LIMIT,
    MIN_LIMIT,
};
use crate::endpoints::InFlightAttempt;
use crate::engine::Engine;
use crate::estimators::LatencyMean;
use crate::events::{
    AttemptOutcome, AttemptResult, CacheStatus, Endpoint, Event, NewRequest, UpdateKind,
};
use crate::fleet_size::FleetSize;
use crate::identifiers::{AttemptNumber, EndpointId, Key, Nanos, RequestId};
use crate::idle_connections::{IdleEndpoint, MAX_IDLE_PER_BALANCER};

const FIRST: EndpointId = EndpointId(1);

fn limit(engine: &Engine, id: u64) -> f64 {
    engine.record(EndpointId(id)).limit.value()
}

fn set_limit(engine: &mut Engine, id: EndpointId, limit: f64) {
    engine.record_mut(id).limit = ConcurrencyLimit::from_stored(limit);
}

/// Sets the attempts in flight at the first endpoint to one for each request below `count`.
fn put_in_flight(engine: &mut Engine, count: u128) {
    let attempt = |request| InFlightAttempt {
        sent_at: 0,
        request: RequestId(request),
        number: AttemptNumber(0),
    };
    engine.record_mut(FIRST).in_flight = (0..count).map(attempt).collect();
}

/// Ends the attempt of this request with an answer from the cache.
fn answer_hit(engine: &mut Engine, request: u128, latency: Nanos) {
    engine.record_endpoint_result(&AttemptResult {
        latency,
        cache_status: Some(CacheStatus::Hit),
        ..attempt_result(request, FIRST, AttemptOutcome::Ok)
    });
}

#[test]
fn unused_limits_decay_to_the_initial_limit_and_used_limits_do_not() {
    let mut engine = engine(2);
    for id in 1..=2 {
        set_limit(&mut engine, EndpointId(id), 12.0);
    }
    engine.record_mut(EndpointId(2)).set_in_flight(8);
    for _ in 0..30 {
        engine.housekeeping();
    }
    assert!((limit(&engine, 1) - 12.0 * 0.98f64.powi(30)).abs() < 1e-9);
    assert_eq!(limit(&engine, 2), 12.0);
    for _ in 0..300 {
        engine.housekeeping();
    }
    assert_eq!(limit(&engine, 1), INITIAL_FLEET_LIMIT / 2.0);
}

#[test]
fn unused_limit_does_not_fall_below_the_minimum_with_hundreds_of_balancers() {
    let mut engine = new_engine(settings_of_fleet(900), 1);
    engine.on_endpoint_update(UpdateKind::Full, vec![Endpoint::default()]);
    (0..1_000).for_each(|_| engine.housekeeping());
    assert_eq!(limit(&engine, 0), MIN_LIMIT);
}

#[test]
fn limit_leaves_more_capacity_to_probable_hits_than_to_probable_misses() {
    let mut engine = engine(3);
    let mut has_capacity = |limit: f64, in_flight: u128, is_hit: bool| {
        set_limit(&mut engine, FIRST, limit);
        engine.record_mut(FIRST).set_in_flight(in_flight);
        let fraction = if is_hit {
            HIT_LIMIT_FRACTION
        } else {
            engine.origin.miss_limit_fraction()
        };
        let shortage = engine.record(FIRST).capacity_shortage(fraction, engine.now);
        shortage.is_none()
    };
    assert!(has_capacity(8.0, 9, true) && !has_capacity(8.0, 10, true));
    assert!(has_capacity(8.0, 4, false) && !has_capacity(8.0, 5, false));
    // With 3 of 4 attempts in flight at each candidate, only a key's first candidate accepts its
    // next read.
    let candidates = candidates_of_key_9(&mut engine);
    for id in &candidates {
        set_limit(&mut engine, *id, 4.0);
        engine.record_mut(*id).set_in_flight(3);
    }
    let sent_to: Vec<EndpointId> = (0..3)
        .flat_map(|id| arrive(&mut engine, id))
        .filter_map(|action| match action {
            Action::Send { endpoint, .. } => Some(endpoint),
            _ => None,
        })
        .collect();
    assert_eq!(
        sent_to,
        [candidates[0], candidates[0]],
        "the first candidate accepts two more attempts, the others none"
    );
}

#[test]
fn limits_grow_quickly_to_the_knee_and_slowly_beyond() {
    let mut engine = engine(1);
    let knee = INITIAL_FLEET_LIMIT / 2f64.sqrt();
    let mut growth = Vec::new();
    for limit_before in [knee - 0.1, knee + 0.1] {
        set_limit(&mut engine, FIRST, limit_before);
        let mut latency = LatencyMean::default();
        latency.add(10 * MS);
        engine.record_mut(FIRST).latency = latency;
        put_in_flight(&mut engine, 4);
        answer_hit(&mut engine, 0, 10 * MS);
        growth.push((limit(&engine, 1) - limit_before) * limit_before);
    }
    assert!(
        (growth[0] - HIT_INCREASE).abs() < 1e-6 && (growth[1] - INCREASE_BEYOND_KNEE).abs() < 1e-6,
        "{growth:?}"
    );
}

/// Returns the limit after two hits of this latency, starting from a fully used limit of 2 and a
/// baseline of 10 ms.
fn limit_after(latency: Nanos, objective: Nanos) -> f64 {
    let mut settings = settings();
    for class in &mut settings.classes {
        class.latency_objective = objective;
    }
    let mut engine = engine_with(settings, 1, 1);
    set_limit(&mut engine, FIRST, 2.0);
    engine.record_mut(FIRST).latency = LatencyMean::from_stored([10e6, 10e6, 1000.0]);
    put_in_flight(&mut engine, 2);
    for request in 0..2 {
        answer_hit(&mut engine, request, latency);
    }
    limit(&engine, 1)
}

#[test]
fn wait_far_below_the_latency_objective_does_not_shrink_a_limit() {
    // After two answers of 100 ms the mean is 27 ms, 2.7 times the baseline.
    assert!(
        limit_after(100 * MS, 100 * MS) < 2.0,
        "27 ms are more than a fifth of the objective"
    );
    assert!(
        limit_after(100 * MS, 1_200 * MS) > 2.0,
        "27 ms are less than an eighth of the objective"
    );
    assert_eq!(
        limit_after(100 * MS, 140 * MS),
        2.0,
        "27 ms lie between the two thresholds"
    );
    assert!(limit_after(3_000 * MS, 1_200 * MS) < 2.0);
}

#[test]
fn rejection_reduces_the_limit_only_if_the_key_is_cached() {
    for (is_cached, is_write, is_reduced) in [
        (false, false, false),
        (true, false, true),
        (true, true, false),
    ] {
        let mut engine = engine(1);
        if is_cached {
            engine.placement.recent_keys.insert(Some(Key(9)), FIRST);
        }
        engine.handle_now(Event::RequestArrived(NewRequest {
            is_write,
            ..read_request(1, 9, 1_000 * MS)
        }));
        let before = limit(&engine, 1);
        end_first_attempt(&mut engine, 1, AttemptOutcome::Rejected);
        assert_eq!(
            limit(&engine, 1) < before,
            is_reduced,
            "cached {is_cached}, write {is_write}"
        );
    }
}

#[test]
fn idle_connections_are_limited_per_balancer_and_per_endpoint() {
    for (balancers, endpoints, kept) in [
        (2, 40, 40),
        (200, 40, 12),
        (2, 400, MAX_IDLE_PER_BALANCER),
        (300, 3_200, MAX_IDLE_PER_BALANCER),
    ] {
        let mut engine = new_engine(settings_of_fleet(balancers), 1);
        let entries = (0..endpoints).map(|id| Endpoint {
            id: EndpointId(id),
            ..Endpoint::default()
        });
        engine.on_endpoint_update(UpdateKind::Full, entries.collect());
        engine.now = 1_000 * MS;
        for record in engine.endpoints.records_mut() {
            record.idle_since = Some(400 * MS + record.entry.id.0);
        }
        engine.actions.clear();
        let idle = engine
            .endpoints
            .records()
            .filter_map(|record| {
                Some(IdleEndpoint {
                    since: record.idle_since?,
                    id: record.entry.id,
                })
            })
            .collect();
        engine.close_idle_connections(idle);
        let closed: Vec<&Action> = engine
            .actions
            .iter()
            .filter(|action| matches!(action, Action::CloseIdleConnections(_)))
            .collect();
        let excess = endpoints as usize - kept;
        assert_eq!((closed.len(), engine.actions.len()), (excess, excess));
        let most_recently_used = Action::CloseIdleConnections(EndpointId(endpoints - 1));
        assert!(
            !closed.contains(&&most_recently_used),
            "the most recently used connection stays open"
        );
    }
}

#[test]
fn reported_balancer_count_replaces_the_one_in_the_settings() {
    let mut engine = new_engine(settings_of_fleet(2), 1);
    engine.handle_now(Event::BalancerCount(100));
    let configured = new_engine(settings_of_fleet(100), 1);
    assert_eq!(
        (engine.fleet.balancers(), engine.fleet.square_root()),
        (configured.fleet.balancers(), configured.fleet.square_root())
    );
    engine.handle_now(Event::BalancerCount(0));
    assert_eq!(
        engine.fleet,
        FleetSize::new(1),
        "a count of 0 is replaced by 1"
    );
}
