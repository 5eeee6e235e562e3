//! Tests of the life cycle of requests: their state is released at the end, and a shutdown answers
//! them in time.

use super::{MS, attempt_result, engine, read_request};
use crate::actions::Action;
use crate::events::{AttemptOutcome, AttemptResult, Event, UpdateKind};
use crate::identifiers::{RequestId, TimerToken};
use crate::timers::TimerPurpose;

#[test]
fn state_of_finished_requests_and_removed_endpoints_is_released() {
    let mut engine = engine(3);
    let mut actions = Vec::new();
    for id in 1..=300u128 {
        let now = id as u64 * MS;
        let details = read_request(id, id as u64, 100 * MS);
        engine.handle(now, Event::RequestArrived(details), &mut actions);
        let request = engine.requests.get(&RequestId(id));
        let Some(attempt) = request.and_then(|request| request.attempts.first()) else {
            continue;
        };
        let result = AttemptResult {
            latency: MS,
            ..attempt_result(id, attempt.endpoint, AttemptOutcome::Ok)
        };
        engine.handle(now, Event::AttemptEnded(result), &mut actions);
    }
    let end = 60_000 * MS;
    for token in 1..=engine.timers.last_token() {
        engine.handle(end, Event::TimerFired(TimerToken(token)), &mut actions);
    }
    let empty_list = Event::EndpointUpdate {
        kind: UpdateKind::Full,
        endpoints: Vec::new(),
    };
    engine.handle(end, empty_list, &mut actions);
    assert!(engine.requests.is_empty() && engine.queue.is_empty() && engine.endpoints.len() == 0);
    assert!(
        engine.timers.pending().len() <= 1,
        "only the housekeeping timer is pending"
    );
}

fn count_answers(actions: &[Action]) -> usize {
    let is_answer =
        |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
    actions.iter().filter(is_answer).count()
}

#[test]
fn open_requests_are_answered_by_the_shutdown_deadline_or_their_own_earlier_one() {
    let shutdown = 400 * MS;
    // Without endpoints the request is queued, otherwise in flight. A client timeout of 300 ms ends
    // before the shutdown.
    for (client_timeout, answered_at) in [(60_000, 400), (300, 300)] {
        for endpoints in [0, 3] {
            let mut engine = engine(endpoints);
            let mut actions = Vec::new();
            let details = read_request(1, 9, client_timeout * MS);
            engine.handle(0, Event::RequestArrived(details), &mut actions);
            engine.handle(100 * MS, Event::ShuttingDown(shutdown), &mut actions);
            let deadline_token = |action: &Action| match action {
                Action::SetTimer { token, .. } => {
                    let purpose = engine.timers.pending().get(token);
                    matches!(purpose, Some(TimerPurpose::Deadline(_))).then_some(*token)
                }
                _ => None,
            };
            let tokens: Vec<TimerToken> = actions.iter().filter_map(deadline_token).collect();
            assert_eq!(
                count_answers(&actions),
                0,
                "client timeout {client_timeout} ms, {endpoints} endpoints: answered too early"
            );
            let mut answers = Vec::new();
            for token in tokens {
                engine.handle(answered_at * MS, Event::TimerFired(token), &mut answers);
            }
            assert_eq!(
                count_answers(&answers),
                1,
                "client timeout {client_timeout} ms, {endpoints} endpoints: {answers:?}"
            );
        }
    }
}
