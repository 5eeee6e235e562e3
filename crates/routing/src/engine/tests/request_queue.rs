//! Tests of queued requests and of the retry-after time of rejections.

use super::{MS, arrive, candidates_of_key_9, engine, is_send, open_read};
use crate::actions::{Action, DecisionReason};

#[test]
fn read_that_was_queued_too_long_is_rejected_and_not_sent_to_other_endpoints() {
    for in_flight_elsewhere in [0, 3] {
        let mut engine = engine(9);
        let candidates = candidates_of_key_9(&mut engine);
        for id in engine.endpoint_ids() {
            let in_flight = if candidates.contains(&id) {
                20
            } else {
                in_flight_elsewhere
            };
            engine.record_mut(id).set_in_flight(in_flight);
        }
        let actions = arrive(&mut engine, 1);
        assert!(!actions.iter().any(is_send), "the read is queued first");
        engine.now += 150 * MS;
        engine.retry_queued();
        assert!(
            !engine.actions.iter().any(is_send),
            "{in_flight_elsewhere} attempts in flight at other endpoints"
        );
        let is_rejection = |action: &&Action| matches!(action, Action::Reject { .. });
        assert_eq!(engine.actions.iter().filter(is_rejection).count(), 1);
    }
}

#[test]
fn retry_after_is_within_the_objective_for_lack_of_capacity_and_beyond_it_in_overload() {
    let mut engine = engine(3);
    engine.settings.capabilities.retry_after = true;
    let request = open_read(1);
    engine.now = 100 * MS;
    for _ in 0..200 {
        let mut retry_after = |reason| engine.retry_after(&request, reason);
        assert!((25 * MS..75 * MS).contains(&retry_after(DecisionReason::ConcurrencyLimit)));
        assert!((100 * MS..300 * MS).contains(&retry_after(DecisionReason::OriginProtection)));
        assert_eq!(
            retry_after(DecisionReason::DeadlineExceeded),
            0,
            "the client no longer waits"
        );
    }
}
