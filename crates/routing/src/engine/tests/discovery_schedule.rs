//! The schedule of calls to discovery after failures.

use super::{MS, engine_with, settings};
use crate::actions::Action;
use crate::discovery_schedule::MAX_BACKOFF;
use crate::engine::Engine;
use crate::events::{Event, UpdateKind};
use crate::identifiers::{Nanos, TimerToken};
use crate::settings::{DiscoveryMode, Settings};
use crate::timers::TimerPurpose;

/// An engine with one endpoint that polls discovery.
fn polling_engine(staleness_limit: Nanos) -> Engine {
    let settings = Settings {
        discovery: DiscoveryMode::Poll { staleness_limit },
        ..settings()
    };
    engine_with(settings, 1, 1)
}

fn call_failed() -> Event {
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
fn next_call_comes_before_a_failed_one_counts_as_notified() {
    // 3.75 s, and 1.6 s for a call that hangs: under the 6 s after which a change counts as
    // notified whatever failed.
    for (staleness_limit, longest) in [(10_000, 3_750), (1_000, 3_000), (0, 3_750)] {
        let mut engine = polling_engine(staleness_limit * MS);
        let mut longest_seen = 0;
        for _ in 0..200 {
            let actions = engine.handle_now(call_failed());
            let waits = actions.iter().filter_map(as_timer).filter(|(_, token)| {
                let purpose = engine.timers.pending().get(token);
                matches!(purpose, Some(TimerPurpose::DiscoveryQuery))
            });
            let wait = waits.map(|(after, _)| after).max().unwrap_or(0);
            longest_seen = longest_seen.max(wait);
        }
        assert!(
            longest_seen > longest * MS / 2 && longest_seen <= longest * MS,
            "{staleness_limit}: {longest_seen}"
        );
    }
}

#[test]
fn failures_before_discovery_moved_or_answered_delay_no_later_call() {
    let mut engine = polling_engine(10_000 * MS);
    for _ in 0..9 {
        engine.handle_now(call_failed());
    }
    assert_eq!(engine.discovery.backoff(), MAX_BACKOFF);
    engine.handle_now(Event::DiscoveryAvailable);
    let actions = engine.handle_now(call_failed());
    let timers = actions.iter().filter_map(as_timer);
    let wait = timers.map(|(after, _)| after).max();
    assert!(
        wait.is_some_and(|wait| wait <= 600 * MS),
        "{wait:?}: the balancer counts as notified 4 s after a move, or 6 s after silence began"
    );
}

#[test]
fn one_of_several_failed_calls_is_repeated() {
    let mut engine = polling_engine(10_000 * MS);
    let mut actions = Vec::new();
    // A call failed, and the one to the new address that a reload began meanwhile.
    for _ in 0..2 {
        actions.extend(engine.handle_now(call_failed()));
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
