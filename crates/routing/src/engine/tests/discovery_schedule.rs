//! Tests of the schedule of calls to discovery after failures.

use super::{MS, engine_with, settings};
use crate::actions::Action;
use crate::discovery_schedule::MAX_BACKOFF;
use crate::engine::Engine;
use crate::events::{Event, UpdateKind};
use crate::identifiers::{Nanos, TimerToken};
use crate::settings::{DiscoveryMode, Settings};
use crate::timers::TimerPurpose;

/// Creates an engine with one endpoint that polls discovery.
fn polling_engine(staleness_limit: Nanos) -> Engine {
    let settings = Settings {
        discovery: DiscoveryMode::Poll { staleness_limit },
        ..settings()
    };
    engine_with(settings, 1, 1)
}

fn failed_call() -> Event {
    Event::EndpointUpdate {
        kind: UpdateKind::Failed,
        endpoints: Vec::new(),
    }
}

fn as_timer(action: &Action) -> Option<(Nanos, TimerToken)> {
    match action {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    }
}

#[test]
fn delay_after_a_failed_call_is_bounded() {
    // A delay of at most 3.75 s plus the 1.6 s after which a call without a response is abandoned
    // stays below the 6 s after which the balancer counts as notified of a change.
    for (staleness_limit, maximum) in [(10_000, 3_750), (1_000, 3_000), (0, 3_750)] {
        let mut engine = polling_engine(staleness_limit * MS);
        let mut longest_wait = 0;
        for _ in 0..200 {
            let actions = engine.handle_now(failed_call());
            let waits = actions.iter().filter_map(as_timer).filter(|(_, token)| {
                let purpose = engine.timers.pending().get(token);
                matches!(purpose, Some(TimerPurpose::DiscoveryQuery))
            });
            let wait = waits.map(|(after, _)| after).max().unwrap_or(0);
            longest_wait = longest_wait.max(wait);
        }
        assert!(
            longest_wait > maximum * MS / 2 && longest_wait <= maximum * MS,
            "staleness limit {staleness_limit} ms: longest wait {longest_wait} ns"
        );
    }
}

#[test]
fn backoff_is_reset_when_discovery_is_available_again() {
    let mut engine = polling_engine(10_000 * MS);
    for _ in 0..9 {
        engine.handle_now(failed_call());
    }
    assert_eq!(engine.discovery.backoff(), MAX_BACKOFF);
    engine.handle_now(Event::DiscoveryAvailable);
    let actions = engine.handle_now(failed_call());
    let timers = actions.iter().filter_map(as_timer);
    let wait = timers.map(|(after, _)| after).max();
    assert!(
        wait.is_some_and(|wait| wait <= 600 * MS),
        "wait of {wait:?} ns, but the balancer counts as notified 4 s after discovery has a new \
         address or 6 s after the beginning of an outage"
    );
}

#[test]
fn several_failed_calls_lead_to_one_repeated_call() {
    let mut engine = polling_engine(10_000 * MS);
    let mut actions = Vec::new();
    // A call fails, and so does the one that a reload has meanwhile sent to a new address.
    for _ in 0..2 {
        actions.extend(engine.handle_now(failed_call()));
    }
    let tokens: Vec<TimerToken> = actions
        .iter()
        .filter_map(as_timer)
        .map(|(_, token)| token)
        .collect();
    actions.clear();
    for token in tokens {
        engine.handle(10_000 * MS, Event::TimerFired(token), &mut actions);
    }
    let is_query = |action: &&Action| **action == Action::QueryDiscovery;
    assert_eq!(actions.iter().filter(is_query).count(), 1);
}
