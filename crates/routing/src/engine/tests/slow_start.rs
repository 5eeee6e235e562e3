//! Tests of slow start: capacity, age and budget of recently started endpoints.

use super::{MS, arrive, candidates_of_key_9, engine, first_send, new_engine, settings};
use crate::actions::{Action, Deferral};
use crate::engine::Engine;
use crate::events::{Endpoint, UpdateKind};
use crate::identifiers::{EndpointId, Nanos, RequestId};
use crate::settings::{ServiceRules, Settings};
use crate::slow_start::{SlowStart, StoredBudget};

#[test]
fn capacity_rises_linearly_from_the_start_fraction() {
    let rules = settings().rules;
    let slow_start = SlowStart::new(50_000 * MS, 50_000 * MS, false, 0.0);
    for (age, capacity) in [(0, 0.2), (5_000, 0.6), (10_000, 1.0), (60_000, 1.0)] {
        let now = (50_000 + age) * MS;
        assert!((slow_start.capacity_fraction(now, &rules) - capacity).abs() < 1e-9);
    }
    let now = 110_000 * MS;
    assert_eq!(SlowStart::default().capacity_fraction(now, &rules), 1.0);
}

#[test]
fn read_is_sent_beyond_candidates_without_slow_start_budget() {
    let mut engine = engine(9);
    engine.now = 1_000 * MS;
    let candidates = candidates_of_key_9(&mut engine);
    for id in &candidates {
        let record = engine.record_mut(*id);
        record.entry.started = 999 * MS;
        record.slow_start = SlowStart::new(999 * MS, 0, false, 0.0);
        let empty = StoredBudget {
            tokens: 0.0,
            refilled_at: 1_000 * MS,
        };
        record.slow_start.restore(empty, 1_000 * MS);
    }
    let actions = arrive(&mut engine, 1);
    let sent_to = first_send(&actions);
    assert!(
        sent_to.is_some_and(|id| !candidates.contains(&id)),
        "{actions:?}"
    );
    // Hedges are sent to candidates only: none is sent, and none is postponed until a budget has
    // been refilled.
    engine.hedging.budget.set_tokens(1.0);
    engine.update_request(RequestId(1), Engine::on_overdue);
    assert!(
        matches!(
            engine.actions[..],
            [Action::Defer {
                deferral: Deferral::HedgeSuppressed,
                ..
            }]
        ),
        "{:?}",
        engine.actions
    );
}

#[test]
fn endpoint_that_joins_an_existing_list_starts_slowly_despite_a_wrong_wall_clock() {
    let rules = ServiceRules {
        slow_start_duration: 20_000 * MS,
        slow_start_fraction: 0.1,
        ..settings().rules
    };
    let true_start = 10_000_000 * MS;
    // The wall clock of the balancer's machine was ahead or behind by this many milliseconds when
    // the balancer started; the endpoint list contains true start times.
    for (ahead, behind) in [
        (0, 0),
        (3_600_000, 0),
        (0, 3_600_000),
        (5_000, 0),
        (0, 5_000),
    ] {
        let settings = Settings {
            rules: rules.clone(),
            ..settings()
        };
        let mut engine = new_engine(settings, 1);
        let local_time = |time: Nanos| time + ahead * MS - behind * MS;
        let entry = |id, started| Endpoint {
            id: EndpointId(id),
            started,
            ..Endpoint::default()
        };
        engine.now = local_time(true_start);
        engine.on_endpoint_update(UpdateKind::Full, vec![entry(1, 0)]);
        // The endpoint is listed a second after its start.
        engine.now = local_time(true_start + 2_000 * MS);
        let started = true_start + 1_000 * MS;
        engine.on_endpoint_update(UpdateKind::Delta, vec![entry(2, started)]);
        let capacity = |engine: &Engine| {
            let slow_start = &engine.record(EndpointId(2)).slow_start;
            slow_start.capacity_fraction(engine.now, &engine.settings.rules)
        };
        let capacity_at_age = |seconds: f64| 0.1 + 0.9 * seconds / 20.0 + 1e-9;
        let initial = capacity(&engine);
        assert!(
            initial <= capacity_at_age(6.0),
            "ahead {ahead} ms, behind {behind} ms: {initial}"
        );
        engine.now = local_time(true_start + 12_000 * MS);
        let later = capacity(&engine);
        assert!(
            (capacity_at_age(9.9)..capacity_at_age(16.0)).contains(&later),
            "ahead {ahead} ms, behind {behind} ms: {later}"
        );
        engine.now = local_time(true_start + 22_000 * MS);
        assert_eq!(
            capacity(&engine),
            1.0,
            "ahead {ahead} ms, behind {behind} ms: the endpoint is warm in time"
        );
    }
}
