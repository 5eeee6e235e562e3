//! Tests of `count`.

use super::*;
use proptest::prelude::*;

const S: Nanos = 1_000_000_000;
const HOLD: Nanos = 15 * S;
const FORGET: Nanos = 600 * S;

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n as u16 + 1))
}

/// Balancers side by side that see who is on their side.
struct Fleet {
    counts: Vec<Count>,
    side: Vec<u8>,
    now: Nanos,
}

impl Fleet {
    fn new(n: usize) -> Self {
        let mut fleet = Fleet {
            counts: vec![Count::new(HOLD, FORGET); n],
            side: vec![0; n],
            now: 0,
        };
        fleet.see();
        fleet
    }

    fn see(&mut self) {
        for (i, count) in self.counts.iter_mut().enumerate() {
            for j in (0..self.side.len()).filter(|j| *j != i) {
                if self.side[i] == self.side[j] {
                    count.appeared(at(j))
                } else {
                    count.vanished(self.now, at(j))
                }
            }
        }
    }

    fn divisors(&mut self) -> Vec<usize> {
        let places: Vec<usize> = self.counts.iter().map(Count::places).collect();
        (0..self.counts.len())
            .map(|i| {
                let same = |j: &usize| self.side[*j] == self.side[i];
                let told = (0..places.len())
                    .filter(same)
                    .map(|j| places[j])
                    .max()
                    .unwrap_or(0);
                self.counts[i].now(self.now, told)
            })
            .collect()
    }

    fn sum(&mut self) -> f64 {
        self.divisors().iter().map(|d| 1.0 / *d as f64).sum()
    }
}

#[test]
fn a_half_that_vanishes_keeps_its_places_and_a_few_lose_theirs_after_the_hold() {
    let mut fleet = Fleet::new(12);
    assert_eq!(fleet.divisors(), [12; 12]);
    fleet.side[..6].fill(1);
    fleet.see();
    for after in [0, HOLD, 10 * HOLD] {
        fleet.now = after;
        assert_eq!(fleet.divisors(), [12; 12], "half and half, after {after}");
    }
    fleet.side.fill(0);
    fleet.see();
    assert_eq!(fleet.divisors(), [12; 12]);
    fleet.side[..3].fill(1);
    fleet.see();
    fleet.now += HOLD - 1;
    assert_eq!(fleet.divisors(), [12; 12]);
    fleet.now += 1;
    assert_eq!(fleet.divisors(), [[12; 3].as_slice(), &[9; 9]].concat());
    assert!(fleet.sum() < 1.5);
    fleet.now += FORGET;
    fleet.divisors(); // What others told before they forgot is one turn old.
    assert_eq!(
        fleet.divisors(),
        [[3; 3].as_slice(), &[9; 9]].concat(),
        "in the end it was a death"
    );
}

#[test]
fn a_leave_counts_at_once_and_a_newcomer_divides_as_those_who_are_there() {
    let mut fleet = Fleet::new(10);
    fleet.divisors();
    for (i, count) in fleet.counts.iter_mut().enumerate().take(9) {
        count.left(at(9));
        assert_eq!(count.now(0, 9), 9, "{i}");
    }
    let mut newcomer = Count::new(HOLD, FORGET);
    newcomer.appeared(at(3));
    assert_eq!(
        newcomer.now(0, 10),
        10,
        "it has met one, which knows of ten places"
    );
    let mut alone = Count::new(HOLD, FORGET);
    assert_eq!(alone.now(0, 0), 1);
    alone.vanished(0, at(7));
    assert_eq!(alone.now(0, 0), 1, "who was never there leaves no place");
}

proptest! {
    /// Whatever splits come within the time after which the dead are forgotten, and however they heal in between.
    #[test]
    fn the_sum_of_all_shares_stays_under_1_7_in_any_row_of_splits(
        n in 2usize..40,
        steps in prop::collection::vec((prop::collection::vec(0u8..4, 40), 0u64..20), 1..12),
    ) {
        let mut fleet = Fleet::new(n);
        fleet.divisors();
        for (sides, seconds) in steps {
            // A cut only cuts further, unless all heals: that is the worst row.
            let heals = sides[0] == 0;
            let next: Vec<u8> = (0..n).map(|i| if heals { 0 } else { fleet.side[i].wrapping_mul(4).wrapping_add(sides[i]) }).collect();
            fleet.side = next;
            fleet.see();
            let at_once = fleet.sum();
            fleet.now += seconds * S;
            let later = fleet.sum();
            prop_assert!(at_once <= 1.7 && later <= 1.7, "{at_once} {later} {:?}", fleet.side);
        }
    }
}
