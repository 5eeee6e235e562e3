//! Tests of `invariants`.

use super::*;

#[test]
fn members_linked_in_both_directions_are_in_one_partition() {
    let mut checker = InvariantChecker::default();
    assert_eq!(checker.partitions(4), [0; 4]);
    checker.set_cut(1.0, 0, 1, true);
    assert_eq!(
        checker.partitions(4),
        [0; 4],
        "0 and 1 are connected through 2 and 3"
    );
    for (from, to) in [(0, 2), (0, 3), (2, 1)] {
        checker.set_cut(1.0, from, to, true);
    }
    assert_eq!(checker.partitions(4), [0, 1, 1, 1]);
    checker.set_cut(2.0, 0, 3, false);
    assert_eq!(checker.partitions(4), [0; 4]);
}

#[test]
fn client_results_are_violations_unless_their_balancer_was_unavailable() {
    let request = |at, outcome, latency_s, extra_data| ClientRequest {
        id: "1".into(),
        class: "tile-read",
        balancer: 2,
        at,
        latency_s,
        outcome,
        extra_data,
        is_retry: false,
        retry_after_ms: None,
    };
    let mut checker = InvariantChecker::default();
    checker.set_unavailable(10.0, 2, true);
    checker.set_unavailable(12.0, 2, false);
    let allowed = [
        request(1.0, RequestOutcome::Served, 0.1, false),
        request(10.5, RequestOutcome::Broken, 0.1, false),
        request(11.0, RequestOutcome::NoConnection, 0.0, false),
    ];
    assert_eq!(checker.check_clients(&allowed)["served"], 1);
    assert_eq!(checker.violations().1, 0);
    let violating = [
        request(1.0, RequestOutcome::Broken, 0.1, false),
        request(1.0, RequestOutcome::Wrong, 0.1, false),
        request(20.0, RequestOutcome::Never, 20.0, false),
        request(1.0, RequestOutcome::Served, 0.1, true),
    ];
    assert_eq!(
        checker.check_clients(&[request(1.0, RequestOutcome::Served, 1.7, false)])["late"],
        1
    );
    assert_eq!(
        checker.violations().1,
        0,
        "a late answer on a busy machine is not a violation"
    );
    checker.check_clients(&violating);
    assert_eq!(checker.violations().1, 4);
}
