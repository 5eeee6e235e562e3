//! Tests of the delays between watches.

use super::*;

#[test]
fn delay_is_zero_after_a_long_watch_and_doubles_after_short_ones() {
    let mut backoff = WatchBackoff::new(500 * MS);
    assert_eq!(backoff.next_delay(126 * MS), 0);
    let delays: Vec<_> = (0..6).map(|_| backoff.next_delay(0) / MS).collect();
    assert_eq!(delays, [10, 20, 40, 80, 125, 125]);
    assert_eq!(
        (backoff.next_delay(126 * MS), backoff.next_delay(1) / MS),
        (0, 10),
        "a long watch resets the delay"
    );
}

#[test]
fn drain_grace_limits_only_the_maximum_delay() {
    for (grace, longest) in [(0, 10), (20, 10), (500, 125), (2_500, 250)] {
        let mut backoff = WatchBackoff::new(grace * MS);
        let delays = (0..9).map(|_| backoff.next_delay(0) / MS);
        assert_eq!(delays.max(), Some(longest), "drain grace of {grace} ms");
    }
}
