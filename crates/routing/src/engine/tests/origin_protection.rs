//! Tests of origin protection: evidence against the origin, and admission of probable misses.

use super::{
    MS, arrive, attempt_result, candidates_of_key_9, end_first_attempt, engine, is_send,
    new_engine, open_read, read_request, settings_of_fleet,
};
use crate::engine::Engine;
use crate::estimators::LatencyMean;
use crate::events::{AttemptOutcome, AttemptResult, CacheStatus, EndpointState, Event};
use crate::identifiers::{EndpointId, Key, RequestId};
use crate::origin_protection::{
    FAILURE_FACTOR, MISS_LIMIT_FRACTION, OVERLOAD_FRACTION, SUCCESS_FACTOR,
};
use crate::request::{Attempt, Request};

#[test]
fn single_fast_answer_does_not_make_later_fetches_count_as_slow() {
    let mut engine = engine(3);
    let mut actions = Vec::new();
    for id in 1..=200u128 {
        engine.on_request(read_request(id, id as u64, 1_000 * MS));
        let latency = if id == 1 { 10 } else { 100 } * MS;
        let Some(request) = engine.requests.get(&RequestId(id)) else {
            continue;
        };
        let endpoint = request.attempts[0].endpoint;
        let result = AttemptResult {
            latency,
            cache_status: Some(CacheStatus::Miss),
            ..attempt_result(id, endpoint, AttemptOutcome::Ok)
        };
        let now = id as u64 * 100 * MS;
        engine.handle(now, Event::AttemptEnded(result), &mut actions);
    }
    assert_eq!(engine.origin.admitted_fraction(), 1.0);
}

#[test]
fn probable_misses_get_less_capacity_as_fetches_fail_or_slow_down() {
    let mut engine = engine(3);
    assert_eq!(engine.origin.miss_limit_fraction(), MISS_LIMIT_FRACTION);
    engine.origin.adjust(0.5, engine.fleet);
    assert_eq!(
        engine.origin.miss_limit_fraction(),
        MISS_LIMIT_FRACTION / 2.0
    );
    let mut fetch_latency = LatencyMean::default();
    for latency in std::iter::repeat_n(50e6, 20).chain(std::iter::repeat_n(100e6, 200)) {
        fetch_latency.add_with_baseline_growth(latency, 0.0);
    }
    let admitted_fraction = engine.origin.admitted_fraction();
    engine.origin.restore(admitted_fraction, fetch_latency);
    let fraction = engine.origin.miss_limit_fraction();
    assert!(
        (fraction - MISS_LIMIT_FRACTION / 4.0).abs() < 1e-3,
        "{fraction}"
    );
}

#[test]
fn error_is_retried_unless_the_origin_is_overloaded_and_marks_the_key_as_not_cached() {
    for (admitted_fraction, is_retried) in [(1.0, true), (OVERLOAD_FRACTION - 0.1, false)] {
        let mut engine = engine(3);
        let first = candidates_of_key_9(&mut engine)[0];
        engine.placement.recent_keys.insert(Some(Key(9)), first);
        engine.origin.set_admitted_fraction(admitted_fraction);
        arrive(&mut engine, 1);
        let actions = end_first_attempt(&mut engine, 1, AttemptOutcome::Error);
        assert_eq!(actions.iter().any(is_send), is_retried);
        assert!(!engine.placement.recent_keys.is_cached(Some(Key(9)), first));
    }
}

#[test]
fn timeout_at_a_responsive_endpoint_is_evidence_against_the_origin() {
    let mut engine = engine(1);
    arrive(&mut engine, 1);
    arrive(&mut engine, 2);
    engine.now += 20 * MS;
    end_first_attempt(&mut engine, 2, AttemptOutcome::Ok);
    assert_eq!(engine.origin.admitted_fraction(), 1.0);
    end_first_attempt(&mut engine, 1, AttemptOutcome::Timeout);
    // The endpoint has answered this key, so the timed-out read did not need a fetch.
    assert_eq!(engine.origin.admitted_fraction(), 1.0);
    let keys = &mut engine.placement.recent_keys;
    keys.remove(Some(Key(9)), EndpointId(1));
    arrive(&mut engine, 3);
    arrive(&mut engine, 4);
    engine.now += 20 * MS;
    engine.record_mut(EndpointId(1)).last_answer_at = engine.now;
    end_first_attempt(&mut engine, 3, AttemptOutcome::Timeout);
    assert_eq!(engine.origin.admitted_fraction(), FAILURE_FACTOR);
    let health = engine.record(EndpointId(1)).health.to_stored();
    assert_eq!(health.consecutive_failures, 0.0);
}

#[test]
fn few_failures_reject_no_reads_and_many_reject_a_fraction() {
    let mut engine = engine(3);
    let request = open_read(1);
    for (failures, minimum, maximum) in [(2, 1_000, 1_000), (5, 690, 780), (10, 400, 470)] {
        let admitted_fraction = FAILURE_FACTOR.powi(failures);
        engine.origin.set_admitted_fraction(admitted_fraction);
        let admitted = (0..1_000)
            .filter(|_| engine.origin_admits(&request))
            .count();
        assert!(
            (minimum..=maximum).contains(&admitted),
            "{failures} failures: {admitted} admitted"
        );
    }
}

#[test]
fn errors_count_against_the_origin_only_if_many_endpoints_fail() {
    for (failing, admitted_fraction) in [(1, 1.0), (4, 1.0), (5, FAILURE_FACTOR)] {
        let mut engine = engine(9);
        for id in 1..=failing {
            let record = engine.record_mut(EndpointId(id));
            record.health.set_failure_ratio(0.5);
            record.entry.state = EndpointState::Active;
        }
        let request = Request {
            attempts: vec![Attempt {
                endpoint: EndpointId(1),
                zone: 0,
                cell: 0,
                sent_at: 0,
                outcome: None,
                is_to_origin: false,
                long_value_since: None,
                is_stalled: false,
            }],
            slot: 0,
            ..open_read(1)
        };
        let result = AttemptResult {
            latency: MS,
            ..attempt_result(1, EndpointId(1), AttemptOutcome::Error)
        };
        engine.record_origin_result(&request, &result);
        assert_eq!(
            engine.origin.admitted_fraction(),
            admitted_fraction,
            "errors at {failing} of 9"
        );
    }
}

#[test]
fn admitted_fraction_changes_faster_with_many_balancers() {
    for (balancers, failures, successes) in [(2, 5, 80), (100, 1, 11)] {
        let mut engine = new_engine(settings_of_fleet(balancers), 1);
        let steps_until = |engine: &mut Engine, factor: f64, is_reached: fn(f64) -> bool| {
            (1..).find(|_| {
                engine.origin.adjust(factor, engine.fleet);
                is_reached(engine.origin.admitted_fraction())
            })
        };
        assert_eq!(
            steps_until(&mut engine, FAILURE_FACTOR, |fraction| fraction
                < OVERLOAD_FRACTION),
            Some(failures)
        );
        engine.origin.set_admitted_fraction(0.2);
        let steps = steps_until(&mut engine, SUCCESS_FACTOR, |fraction| fraction > 0.9);
        assert!(steps.is_some_and(|steps| steps <= successes));
    }
}
