//! Tests of responses that have begun and arrive slowly.

use super::{MS, arrive, attempt_result, count_sends, engine};
use crate::actions::Action;
use crate::engine::Engine;
use crate::events::{AttemptOutcome, AttemptResult, Event};
use crate::identifiers::{AttemptNumber, Nanos, RequestId};
use crate::settings::{DeduplicationScope, Idempotency};
use crate::timers::TimerPurpose;

const FIRST: AttemptNumber = AttemptNumber(0);

fn stall(engine: &mut Engine) -> usize {
    let (request, attempt) = (RequestId(1), FIRST);
    count_sends(&engine.handle_now(Event::ResponseStalled { request, attempt }))
}

#[test]
fn long_value_is_forwarded_some_time_after_its_head_or_shortly_before_the_deadline() {
    // The client waits for 1 s.
    for (head_at, forwarded_at) in [(10, 810), (600, 975), (990, 990)] {
        let mut engine = engine(3);
        arrive(&mut engine, 1);
        engine.now = head_at * MS;
        let (request, attempt) = (RequestId(1), FIRST);
        let actions = engine.handle_now(Event::LongValueBegun { request, attempt });
        let timers = engine.timers.pending().iter();
        let mut due = timers.filter(|(_, purpose)| matches!(purpose, TimerPurpose::FirstBytes(_)));
        let (token, _) = due.next_back().expect("a timer is set");
        let token = *token;
        let wait = actions.iter().find_map(|action| match action {
            Action::SetTimer { after, token: set } if *set == token => Some(*after),
            _ => None,
        });
        let forwarded_at: Nanos = forwarded_at * MS;
        assert_eq!(wait, Some(forwarded_at - head_at * MS));
        engine.now = forwarded_at;
        let actions = engine.handle_now(Event::TimerFired(token));
        assert_eq!(actions, [Action::ForwardLongValue { request, attempt }]);
    }
}

#[test]
fn stalled_response_gets_one_attempt_beside_it_where_the_rules_permit_one() {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: 500 * MS,
    };
    for (idempotency, hedging, stalled_at, sends) in [
        (Idempotency::Idempotent, true, 50, 1),
        (Idempotency::Idempotent, false, 50, 0),
        (keyed, true, 50, 1),
        (keyed, false, 50, 0),
        (keyed, true, 500, 0),
        (Idempotency::NotIdempotent, true, 50, 0),
    ] {
        let mut engine = engine(3);
        engine.settings.classes[0].idempotency = idempotency;
        engine.settings.capabilities.hedging = hedging;
        arrive(&mut engine, 1);
        engine.now = stalled_at * MS;
        assert_eq!((stall(&mut engine), stall(&mut engine)), (sends, 0));
    }
    let mut engine = engine(3);
    engine.retry_budget.set_tokens(0.0);
    arrive(&mut engine, 1);
    assert_eq!(stall(&mut engine), 0, "the retry budget is exhausted");
}

#[test]
fn failed_second_attempt_ends_no_response_that_is_still_coming() {
    for (outcome, sends) in [
        (AttemptOutcome::InvalidRequest, 1),
        (AttemptOutcome::Reset, 1),
    ] {
        let mut engine = engine(3);
        arrive(&mut engine, 1);
        stall(&mut engine);
        let second = engine.requests[&RequestId(1)].attempts[1].endpoint;
        let result = AttemptResult {
            attempt: AttemptNumber(1),
            ..attempt_result(1, second, outcome)
        };
        let actions = engine.handle_now(Event::AttemptEnded(result));
        let is_end = |action: &Action| {
            matches!(
                action,
                Action::Cancel { .. } | Action::Fail { .. } | Action::Reject { .. }
            )
        };
        assert_eq!(
            (count_sends(&actions), actions.iter().any(is_end)),
            (sends, false),
            "{outcome:?}"
        );
    }
}

#[test]
fn of_two_long_values_the_first_at_a_healthy_endpoint_is_forwarded() {
    for (first_is_healthy, forwarded) in [(true, 0), (false, 1)] {
        let mut engine = engine(3);
        arrive(&mut engine, 1);
        stall(&mut engine);
        let request = RequestId(1);
        for number in [0, 1] {
            engine.now += MS;
            let attempt = AttemptNumber(number);
            engine.handle_now(Event::LongValueBegun { request, attempt });
        }
        let first = engine.first_endpoint(1);
        for _ in 0..50 {
            let health = &mut engine.record_mut(first).health;
            health.update_failure_ratio(!first_is_healthy);
        }
        engine.now = 990 * MS;
        let mut open = engine.requests.remove(&request).expect("it is open");
        engine.actions.clear();
        engine.on_first_bytes_due(&mut open);
        let attempt = AttemptNumber(forwarded);
        assert_eq!(
            engine.actions,
            [Action::ForwardLongValue { request, attempt }]
        );
    }
}
