//! Tests of outlier detection: evidence, ejection and recovery probes.

use super::{
    MS, arrive, candidates_of_key_9, count_sends, end_first_attempt, engine, first_send, open_read,
    read_request,
};
use crate::concurrency_limit::INITIAL_FLEET_LIMIT;
use crate::engine::Engine;
use crate::engine::selection::{Availability, CacheExpectation, Selection};
use crate::events::{AttemptOutcome, Event};
use crate::hedging::MIN_SAMPLES;
use crate::idempotency::AttemptKind;
use crate::identifiers::{EndpointId, Nanos, RequestId};
use crate::outlier_detection::{EndpointHealth, FailureEvidence, StoredHealth};
use std::collections::BTreeSet;

const FIRST: EndpointId = EndpointId(1);

/// Sends forty consecutive reads that time out: the first twenty at endpoints that answer other
/// attempts, the others at unresponsive endpoints. Returns the endpoints.
fn time_out_reads(engine: &mut Engine, client_timeout: Nanos) -> BTreeSet<EndpointId> {
    let mut endpoints = BTreeSet::new();
    for id in 1..=40u128 {
        engine.handle_now(Event::RequestArrived(read_request(id, 9, client_timeout)));
        let Some(request) = engine.requests.get(&RequestId(id)) else {
            continue;
        };
        let Some(endpoint) = request.attempts.first().map(|attempt| attempt.endpoint) else {
            continue;
        };
        endpoints.insert(endpoint);
        engine.now += client_timeout;
        if id <= 20 {
            engine.record_mut(endpoint).last_answer_at = engine.now;
        }
        end_first_attempt(engine, id, AttemptOutcome::Timeout);
    }
    endpoints
}

#[test]
fn timeouts_shorter_than_usual_latencies_are_no_evidence() {
    for (client_timeout, is_evidence) in [(5 * MS, false), (400 * MS, true)] {
        let mut engine = engine(3);
        for _ in 0..MIN_SAMPLES {
            engine.hedging.record_latency(10 * MS);
        }
        let endpoints = time_out_reads(&mut engine, client_timeout);
        let limits: Vec<f64> = endpoints
            .iter()
            .map(|id| engine.record(*id).limit.value())
            .collect();
        assert_eq!(
            limits
                .iter()
                .any(|limit| *limit < INITIAL_FLEET_LIMIT / 2.0),
            is_evidence,
            "{limits:?}"
        );
        assert_eq!(engine.origin.admitted_fraction() < 1.0, is_evidence);
        let has_failed = engine.endpoints.records().any(|record| {
            let health = record.health.to_stored();
            health.consecutive_failures > 0.0 || health.ejected_until.is_some()
        });
        assert_eq!(has_failed, is_evidence);
    }
}

#[test]
fn ejected_endpoint_gets_one_recovery_probe_at_a_time() {
    let mut engine = engine(1);
    arrive(&mut engine, 1);
    let request = engine.requests.remove(&RequestId(1)).expect("open");
    let record = engine.record_mut(FIRST);
    let ejected = StoredHealth {
        ejected_until: Some(0),
        may_probe_with_request: true,
        ..record.health.to_stored()
    };
    record.health = EndpointHealth::from_stored(ejected, 0);
    let availability =
        |engine: &mut Engine| engine.availability(&request, FIRST, CacheExpectation::Hit);
    assert!(availability(&mut engine) == Availability::Ejected);
    engine.record_mut(FIRST).in_flight.clear();
    assert!(availability(&mut engine) == Availability::Available);
}

/// Returns the number of consecutive failures that eject an endpoint at this failure ratio over all
/// endpoints.
fn failures_to_ejection(overall_failure_ratio: f64) -> u32 {
    let mut engine = engine(3);
    engine.outliers.set_failure_ratio(overall_failure_ratio);
    let mut failures = 0;
    while !engine.record(FIRST).health.is_ejected() {
        let health = &mut engine.record_mut(FIRST).health;
        health.record_failure(FailureEvidence::Strong);
        engine.eject_if_due(FIRST, 0.0);
        failures += 1;
    }
    failures
}

#[test]
fn widespread_failures_raise_the_ejection_threshold_and_suppress_hedges_and_retries() {
    assert_eq!(
        [0.0, 0.15, 0.5, 0.7].map(failures_to_ejection),
        [2, 2, 5, 9]
    );
    for (failure_ratio, sends) in [(0.1, 1), (0.6, 0)] {
        let mut engine = engine(3);
        engine.outliers.set_failure_ratio(failure_ratio);
        for record in engine.endpoints.records_mut() {
            record.health.set_failure_ratio(failure_ratio);
        }
        arrive(&mut engine, 1);
        let actions = end_first_attempt(&mut engine, 1, AttemptOutcome::Rejected);
        assert_eq!(count_sends(&actions), sends, "after a rejection");
        arrive(&mut engine, 2);
        engine.update_request(RequestId(2), Engine::on_overdue);
        assert_eq!(
            count_sends(&engine.actions),
            sends,
            "when the attempt is overdue"
        );
    }
}

#[test]
fn rejected_request_is_retried_immediately_at_a_healthy_endpoint_without_using_the_budget() {
    let mut engine = engine(9);
    let candidates = candidates_of_key_9(&mut engine);
    engine.outliers.set_failure_ratio(0.6);
    let set_failure_ratio = |engine: &mut Engine, id, ratio| {
        engine.record_mut(id).health.set_failure_ratio(ratio);
    };
    for id in &candidates {
        set_failure_ratio(&mut engine, *id, 0.6);
    }
    engine.retry_budget.set_tokens(0.0);
    arrive(&mut engine, 1);
    let retry = first_send(&end_first_attempt(&mut engine, 1, AttemptOutcome::Rejected));
    assert!(
        retry.is_some_and(|id| !candidates.contains(&id)),
        "{retry:?}"
    );
    // With one healthy candidate, reads are sent to it first; the other candidates are used again
    // when their failures have decayed.
    set_failure_ratio(&mut engine, candidates[2], 0.0);
    let request = open_read(2);
    let selected =
        |engine: &mut Engine| match engine.select_endpoint(&request, AttemptKind::Regular) {
            Selection::Endpoint(id) => Some(id),
            _ => None,
        };
    assert_eq!(selected(&mut engine), Some(candidates[2]));
    (0..100).for_each(|_| engine.housekeeping());
    assert_eq!(selected(&mut engine), Some(candidates[0]));
}
