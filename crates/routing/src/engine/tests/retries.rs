//! Tests of retries: their endpoints and their cost.

use super::{
    arrive, attempt_result, candidates_of_key_9, end_first_attempt, engine, first_send, new_engine,
    settings_of_fleet,
};
use crate::events::{AttemptOutcome, AttemptResult, Endpoint, Event, UpdateKind};
use crate::hedging::HEDGE_BURST;
use crate::identifiers::{AttemptNumber, EndpointId};
use crate::retry_budget::RETRY_BURST;

#[test]
fn read_goes_beyond_its_candidates_when_all_three_refuse_connections() {
    let mut engine = engine(9);
    engine.settings.capabilities.max_attempts = 6;
    let candidates = candidates_of_key_9(&mut engine);
    let mut sent_to = vec![first_send(&arrive(&mut engine, 1)).expect("an attempt is sent")];
    while candidates.contains(&sent_to[sent_to.len() - 1]) {
        let last = sent_to.len() - 1;
        let result = AttemptResult {
            attempt: AttemptNumber(last as u32),
            latency: 0,
            ..attempt_result(1, sent_to[last], AttemptOutcome::ConnectFailed)
        };
        let actions = engine.handle_now(Event::AttemptEnded(result));
        sent_to.push(first_send(&actions).expect("the read is retried"));
        assert!(sent_to.len() <= 4, "{sent_to:?}");
    }
    assert_eq!(
        sent_to.len(),
        4,
        "each of the three candidates is tried once: {sent_to:?}"
    );
}

#[test]
fn refused_connection_is_not_charged_to_the_retry_budget() {
    for (outcome, is_retried) in [
        (AttemptOutcome::ConnectFailed, true),
        (AttemptOutcome::Reset, false),
    ] {
        let mut engine = engine(9);
        engine.retry_budget.set_tokens(0.0);
        arrive(&mut engine, 1);
        let first = engine.first_endpoint(1);
        let actions = end_first_attempt(&mut engine, 1, outcome);
        assert_eq!(
            first_send(&actions).is_some_and(|id| id != first),
            is_retried,
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn budgets_are_divided_among_balancers_down_to_a_minimum_burst() {
    for (balancers, tokens) in [
        (4, (HEDGE_BURST / 2.0, RETRY_BURST / 2.0)),
        (100, (3.0, 3.0)),
    ] {
        let mut engine = new_engine(settings_of_fleet(balancers), 1);
        let entries = (1..=9).map(|id| Endpoint {
            id: EndpointId(id),
            ..Endpoint::default()
        });
        engine.on_endpoint_update(UpdateKind::Full, entries.collect());
        for id in 1..=100 {
            arrive(&mut engine, id);
        }
        assert_eq!(
            (engine.hedging.budget.tokens(), engine.retry_budget.tokens()),
            tokens,
            "{balancers} balancers"
        );
    }
}
