//! Tests of `share_count`.

use super::*;
use proptest::prelude::*;

const S: Nanos = 1_000_000_000;
const SHARE_RETENTION: Nanos = 15 * S;
const TOMBSTONE_RETENTION: Nanos = 600 * S;

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n as u16 + 1))
}

/// Balancers in partitions that see the members of their own side.
struct Fleet {
    counts: Vec<ShareCounter>,
    side: Vec<u8>,
    now: Nanos,
}

impl Fleet {
    fn new(n: usize) -> Self {
        let mut fleet = Fleet {
            counts: vec![ShareCounter::new(SHARE_RETENTION, TOMBSTONE_RETENTION); n],
            side: vec![0; n],
            now: 0,
        };
        fleet.observe();
        fleet
    }

    fn observe(&mut self) {
        for (i, count) in self.counts.iter_mut().enumerate() {
            for j in (0..self.side.len()).filter(|j| *j != i) {
                if self.side[i] == self.side[j] {
                    count.record_present(at(j));
                } else {
                    count.record_vanished(self.now, at(j));
                }
            }
        }
    }

    fn divisors(&mut self) -> Vec<usize> {
        let places: Vec<usize> = self.counts.iter().map(ShareCounter::places).collect();
        (0..self.counts.len())
            .map(|i| {
                let same = |j: &usize| self.side[*j] == self.side[i];
                let reported = (0..places.len())
                    .filter(same)
                    .map(|j| places[j])
                    .max()
                    .unwrap_or(0);
                self.counts[i].count(self.now, reported)
            })
            .collect()
    }

    fn sum(&mut self) -> f64 {
        self.divisors().iter().map(|d| 1.0 / *d as f64).sum()
    }
}

#[test]
fn a_vanished_half_keeps_its_places_and_a_minority_loses_them_after_retention() {
    let mut fleet = Fleet::new(12);
    assert_eq!(fleet.divisors(), [12; 12]);
    fleet.side[..6].fill(1);
    fleet.observe();
    for after in [0, SHARE_RETENTION, 10 * SHARE_RETENTION] {
        fleet.now = after;
        assert_eq!(fleet.divisors(), [12; 12], "half and half, after {after}");
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
    assert!(fleet.sum() < 1.5);
    fleet.now += TOMBSTONE_RETENTION;
    fleet.divisors(); // What others published before they forgot is one round old.
    assert_eq!(
        fleet.divisors(),
        [[3; 3].as_slice(), &[9; 9]].concat(),
        "treated as deaths in the end"
    );
}

#[test]
fn a_leave_counts_at_once_and_a_newcomer_divides_as_the_others() {
    let mut fleet = Fleet::new(10);
    fleet.divisors();
    for (i, count) in fleet.counts.iter_mut().enumerate().take(9) {
        count.record_left(at(9));
        assert_eq!(count.count(0, 9), 9, "{i}");
    }
    let mut newcomer = ShareCounter::new(SHARE_RETENTION, TOMBSTONE_RETENTION);
    newcomer.record_present(at(3));
    assert_eq!(
        newcomer.count(0, 10),
        10,
        "it has met one that publishes ten places"
    );
    let mut alone = ShareCounter::new(SHARE_RETENTION, TOMBSTONE_RETENTION);
    assert_eq!(alone.count(0, 0), 1);
    alone.record_vanished(0, at(7));
    assert_eq!(
        alone.count(0, 0),
        1,
        "a member never present leaves no place"
    );
}

proptest! {
    /// Any partitions within the tombstone retention, however they heal in between.
    #[test]
    fn the_sum_of_all_shares_stays_under_1_7_in_any_sequence_of_partitions(
        n in 2usize..40,
        steps in prop::collection::vec((prop::collection::vec(0u8..4, 40), 0u64..20), 1..12),
    ) {
        let mut fleet = Fleet::new(n);
        fleet.divisors();
        for (sides, seconds) in steps {
            // A partition only splits further unless everything heals: the worst sequence.
            let heals = sides[0] == 0;
            let split = |i: usize| fleet.side[i].wrapping_mul(4).wrapping_add(sides[i]);
            let next: Vec<u8> = (0..n).map(|i| if heals { 0 } else { split(i) }).collect();
            fleet.side = next;
            fleet.observe();
            let at_once = fleet.sum();
            fleet.now += seconds * S;
            let later = fleet.sum();
            prop_assert!(at_once <= 1.7 && later <= 1.7, "{at_once} {later} {:?}", fleet.side);
        }
    }
}
