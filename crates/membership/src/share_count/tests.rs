//! Tests of the share count within a region.

use super::*;
use proptest::prelude::*;

const SECOND: Nanos = 1_000_000_000;
const SHARE_RETENTION: Nanos = 15 * SECOND;
const TOMBSTONE_RETENTION: Nanos = 600 * SECOND;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n as u16 + 1))
}

/// Balancers in a partitioned fleet; each tracks only the members of its own side.
struct Fleet {
    counters: Vec<ShareCounter>,
    side: Vec<u8>,
    now: Nanos,
}

impl Fleet {
    fn new(n: usize) -> Self {
        let mut fleet = Fleet {
            counters: vec![ShareCounter::new(SHARE_RETENTION, TOMBSTONE_RETENTION); n],
            side: vec![0; n],
            now: 0,
        };
        fleet.observe();
        fleet
    }

    fn observe(&mut self) {
        for (i, counter) in self.counters.iter_mut().enumerate() {
            for j in (0..self.side.len()).filter(|j| *j != i) {
                if self.side[i] == self.side[j] {
                    counter.record_present(address(j));
                } else {
                    counter.record_vanished(self.now, address(j));
                }
            }
        }
    }

    fn divisors(&mut self) -> Vec<usize> {
        let places: Vec<usize> = self.counters.iter().map(ShareCounter::places).collect();
        (0..self.counters.len())
            .map(|i| {
                let on_same_side = |j: &usize| self.side[*j] == self.side[i];
                let reported = (0..places.len())
                    .filter(on_same_side)
                    .map(|j| places[j])
                    .max()
                    .unwrap_or(0);
                self.counters[i].count(self.now, reported)
            })
            .collect()
    }

    fn sum_of_shares(&mut self) -> f64 {
        self.divisors()
            .iter()
            .map(|divisor| 1.0 / *divisor as f64)
            .sum()
    }
}

#[test]
fn a_vanished_half_keeps_its_places_and_a_vanished_minority_loses_them_after_retention() {
    let mut fleet = Fleet::new(12);
    assert_eq!(fleet.divisors(), [12; 12]);
    fleet.side[..6].fill(1);
    fleet.observe();
    for elapsed in [0, SHARE_RETENTION, 10 * SHARE_RETENTION] {
        fleet.now = elapsed;
        assert_eq!(
            fleet.divisors(),
            [12; 12],
            "two equal sides, after {elapsed} ns"
        );
    }
    fleet.side.fill(0);
    fleet.observe();
    assert_eq!(fleet.divisors(), [12; 12]);
    fleet.side[..3].fill(1);
    fleet.observe();
    fleet.now += SHARE_RETENTION - 1;
    assert_eq!(fleet.divisors(), [12; 12]);
    fleet.now += 1;
    assert_eq!(fleet.divisors(), [[12; 3].as_slice(), &[9; 9]].concat());
    assert!(fleet.sum_of_shares() < 1.5);
    fleet.now += TOMBSTONE_RETENTION;
    // During the first round the members still publish their places from before the removal.
    fleet.divisors();
    assert_eq!(
        fleet.divisors(),
        [[3; 3].as_slice(), &[9; 9]].concat(),
        "vanished members are treated as dead after the tombstone retention"
    );
}

#[test]
fn a_leave_takes_effect_at_once_and_a_new_member_divides_by_the_published_places() {
    let mut fleet = Fleet::new(10);
    fleet.divisors();
    for (i, counter) in fleet.counters.iter_mut().enumerate().take(9) {
        counter.record_left(address(9));
        assert_eq!(counter.count(0, 9), 9, "member {i}");
    }
    let mut new_member = ShareCounter::new(SHARE_RETENTION, TOMBSTONE_RETENTION);
    new_member.record_present(address(3));
    assert_eq!(
        new_member.count(0, 10),
        10,
        "a live member publishes ten places"
    );
    let mut alone = ShareCounter::new(SHARE_RETENTION, TOMBSTONE_RETENTION);
    assert_eq!(alone.count(0, 0), 1);
    alone.record_vanished(0, address(7));
    assert_eq!(
        alone.count(0, 0),
        1,
        "a member that was never present has no place"
    );
}

proptest! {
    /// The bound applies to any partitions within the tombstone retention, however they heal in
    /// between.
    #[test]
    fn the_sum_of_all_shares_stays_under_1_7_in_any_sequence_of_partitions(
        n in 2usize..40,
        steps in prop::collection::vec((prop::collection::vec(0u8..4, 40), 0u64..20), 1..12),
    ) {
        let mut fleet = Fleet::new(n);
        fleet.divisors();
        for (sides, seconds) in steps {
            // In the worst sequence each partition splits further, until all of them heal at once.
            let heals = sides[0] == 0;
            let split = |i: usize| fleet.side[i].wrapping_mul(4).wrapping_add(sides[i]);
            let next: Vec<u8> = (0..n).map(|i| if heals { 0 } else { split(i) }).collect();
            fleet.side = next;
            fleet.observe();
            let at_once = fleet.sum_of_shares();
            fleet.now += seconds * SECOND;
            let later = fleet.sum_of_shares();
            prop_assert!(
                at_once <= 1.7 && later <= 1.7,
                "sum of shares: {at_once} at once, {later} later; sides: {:?}",
                fleet.side
            );
        }
    }
}
