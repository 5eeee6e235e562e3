//! Delays between watches.

use super::*;

#[test]
fn a_long_watch_is_followed_at_once_and_short_ones_after_growing_delays() {
    let mut backoff = WatchBackoff::new(500 * MS);
    assert_eq!(backoff.next_delay(126 * MS), 0);
    let delays: Vec<_> = (0..6).map(|_| backoff.next_delay(0) / MS).collect();
    assert_eq!(delays, [10, 20, 40, 80, 125, 125]);
    assert_eq!(
        (backoff.next_delay(126 * MS), backoff.next_delay(1) / MS),
        (0, 10),
        "begun anew"
    );
}

#[test]
fn the_drain_grace_bounds_the_delay_from_above_only() {
    for (grace, longest) in [(0, 10), (20, 10), (500, 125), (2_500, 250)] {
        let mut backoff = WatchBackoff::new(grace * MS);
        let delays = (0..9).map(|_| backoff.next_delay(0) / MS);
        assert_eq!(delays.max(), Some(longest), "{grace}");
    }
}
