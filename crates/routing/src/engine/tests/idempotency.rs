//! Tests of idempotency: concurrent attempts and the window of idempotency keys.

use super::{MS, arrive, end_first_attempt, engine, read_request};
use crate::actions::Action;
use crate::events::AttemptOutcome;
use crate::idempotency::AttemptKind;
use crate::identifiers::{EndpointId, RequestId};
use crate::settings::{DeduplicationScope, Idempotency};

#[test]
fn second_concurrent_attempt_is_permitted_only_as_a_hedge_of_an_idempotent_request() {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: 500 * MS,
    };
    for (idempotency, hedging, permitted) in [
        (Idempotency::Idempotent, true, true),
        (Idempotency::Idempotent, false, false),
        (keyed, true, false),
        (Idempotency::NotIdempotent, true, false),
    ] {
        let mut engine = engine(3);
        engine.settings.classes[0].idempotency = idempotency;
        engine.settings.capabilities.hedging = hedging;
        engine.on_request(read_request(1, 1, 1_000 * MS));
        let request = &engine.requests[&RequestId(1)];
        assert_eq!(request.in_flight(), 1);
        for id in (1..=3).map(EndpointId) {
            let permits = |kind| engine.permits_attempt(request, id, kind);
            assert_eq!(permits(AttemptKind::Hedge), permitted);
            assert_eq!(permits(AttemptKind::Regular), permitted);
        }
    }
}

#[test]
fn keyed_repeat_must_be_written_within_the_window_unless_no_attempt_may_have_run() {
    for (outcome, bound) in [
        (AttemptOutcome::Reset, Some(250 * MS)),
        (AttemptOutcome::ConnectFailed, None),
    ] {
        let mut engine = engine(3);
        engine.settings.classes[0].idempotency = Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: 300 * MS,
        };
        let write_within = |actions: Vec<Action>| {
            actions.into_iter().find_map(|action| match action {
                Action::Send { write_within, .. } => Some(write_within),
                _ => None,
            })
        };
        assert_eq!(
            write_within(arrive(&mut engine, 1)),
            Some(None),
            "the first attempt is no repeat and has no bound"
        );
        engine.now += 50 * MS;
        assert_eq!(
            write_within(end_first_attempt(&mut engine, 1, outcome)),
            Some(bound),
            "{outcome:?}"
        );
    }
}
