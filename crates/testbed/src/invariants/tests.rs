//! Tests of `invariants`.

use super::*;

#[test]
fn partitions_follow_the_links_that_are_open_both_ways() {
    let mut checker = InvariantChecker::default();
    assert_eq!(checker.sides(4), [0; 4]);
    checker.set_cut(1.0, 0, 1, true);
    assert_eq!(
        checker.sides(4),
        [0; 4],
        "over others they reach each other"
    );
    for (from, to) in [(0, 2), (0, 3), (2, 1)] {
        checker.set_cut(1.0, from, to, true);
    }
    assert_eq!(checker.sides(4), [0, 1, 1, 1]);
    checker.set_cut(2.0, 0, 3, false);
    assert_eq!(checker.sides(4), [0; 4]);
}

#[test]
fn client_results_are_checked_against_the_injected_faults() {
    let one = |at, end, took, extra| ClientRequest {
        id: "1".into(),
        class: "tile-read",
        balancer: 2,
        at,
        latency_s: took,
        outcome: end,
        extra_data: extra,
        is_retry: false,
        retry_after_ms: None,
    };
    let mut checker = InvariantChecker::default();
    checker.set_unavailable(10.0, 2, true);
    checker.set_unavailable(12.0, 2, false);
    let fine = [
        one(1.0, RequestOutcome::Served, 0.1, false),
        one(10.5, RequestOutcome::Broken, 0.1, false),
        one(11.0, RequestOutcome::NoConnection, 0.0, false),
    ];
    assert_eq!(checker.check_clients(&fine)["served"], 1);
    assert_eq!(checker.violations().1, 0);
    let bad = [
        one(1.0, RequestOutcome::Broken, 0.1, false),
        one(1.0, RequestOutcome::Wrong, 0.1, false),
        one(20.0, RequestOutcome::Never, 20.0, false),
        one(1.0, RequestOutcome::Served, 0.1, true),
    ];
    assert_eq!(
        checker.check_clients(&[one(1.0, RequestOutcome::Served, 1.7, false)])["late"],
        1
    );
    assert_eq!(checker.violations().1, 0, "a busy machine is no failure");
    checker.check_clients(&bad);
    assert_eq!(checker.violations().1, 4);
}
