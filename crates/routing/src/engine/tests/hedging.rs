//! Tests of hedging: delay, timeout and budget.

use super::{MS, arrive, candidates_of_key_9, count_sends, end_first_attempt, engine};
use crate::actions::Action;
use crate::engine::Engine;
use crate::estimators::LatencyQuantile;
use crate::events::{AttemptOutcome, Event};
use crate::hedging::{ABANDON_FACTOR, MIN_SAMPLES};
use crate::identifiers::{Nanos, TimerToken};
use crate::timers::TimerPurpose;

#[test]
fn hedge_delay_is_half_the_remaining_time_until_twenty_samples_and_never_more() {
    let mut engine = engine(3);
    assert_eq!(engine.hedging.delay(1_000 * MS), 500 * MS);
    for _ in 0..19 {
        engine.hedging.record_latency(10 * MS);
    }
    assert_eq!(engine.hedging.delay(1_000 * MS), 500 * MS);
    engine.hedging.record_latency(10 * MS);
    assert_eq!(
        engine.hedging.delay(1_000 * MS),
        LatencyQuantile::bucket_edge(10.0)
    );
    assert_eq!(engine.hedging.delay(12 * MS), 6 * MS);
}

/// Advances time by 11 ms, fires all hedge timers and returns the number of attempts sent.
fn hedges_after_delay(engine: &mut Engine) -> usize {
    engine.now += 11 * MS;
    let due: Vec<TimerToken> = engine
        .timers
        .pending()
        .iter()
        .filter(|(_, purpose)| matches!(purpose, TimerPurpose::Hedge(_)))
        .map(|(token, _)| *token)
        .collect();
    let mut actions = Vec::new();
    for token in due {
        actions.extend(engine.handle_now(Event::TimerFired(token)));
    }
    count_sends(&actions)
}

#[test]
fn overdue_read_is_hedged_once_when_capacity_returns() {
    let mut engine = engine(3);
    for _ in 0..MIN_SAMPLES {
        engine.hedging.record_latency(10 * MS);
    }
    let candidates = candidates_of_key_9(&mut engine);
    arrive(&mut engine, 1);
    let first = engine.first_endpoint(1);
    let set_load = |engine: &mut Engine, in_flight| {
        let now = engine.now;
        for id in candidates.iter().filter(|id| **id != first) {
            engine.record_mut(*id).set_in_flight_since(in_flight, now);
        }
    };
    set_load(&mut engine, 20);
    assert_eq!(
        (
            hedges_after_delay(&mut engine),
            hedges_after_delay(&mut engine)
        ),
        (0, 0),
        "the candidates have no capacity yet"
    );
    set_load(&mut engine, 0);
    assert_eq!(
        (
            hedges_after_delay(&mut engine),
            hedges_after_delay(&mut engine)
        ),
        (1, 0),
        "exactly one hedge is sent"
    );
}

#[test]
fn attempt_far_beyond_the_quantile_is_abandoned_while_another_may_be_made() {
    let mut engine = engine(3);
    let timeout = |actions: Vec<Action>| {
        actions.into_iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(timeout),
            _ => None,
        })
    };
    assert_eq!(
        timeout(arrive(&mut engine, 1)),
        Some(None),
        "there are too few samples for the quantile"
    );
    for _ in 0..MIN_SAMPLES {
        engine.hedging.record_latency(10 * MS);
    }
    let abandon_after = (LatencyQuantile::bucket_edge(10.0) as f64 * ABANDON_FACTOR) as Nanos;
    assert_eq!(timeout(arrive(&mut engine, 2)), Some(Some(abandon_after)));
    assert_eq!(
        timeout(end_first_attempt(&mut engine, 2, AttemptOutcome::Timeout)),
        Some(Some(abandon_after))
    );
    engine.settings.capabilities.max_attempts = 1;
    assert_eq!(
        timeout(arrive(&mut engine, 3)),
        Some(None),
        "no other attempt would be allowed"
    );
}
