//! By how many balancers the shares of room, probes and retries are divided.
//!
//! A split looks like a mass death, and caches may be reachable from both of its sides. If each side divided by itself
//! alone, the sum of all shares would be the number of sides. So:
//!
//! 1. Who appears counts at once, and so does a leave that was told.
//! 2. Who vanished untold keeps its place for `hold`.
//! 3. After that its place counts no more only where those who are there are more than half of all places. Of any
//!    split only one side can be that; the others go on dividing by what they last divided by.
//! 4. A place that was empty for `forget` is no place any more, on either side.
//!
//! The sum of shares through one split that is shorter than `forget` is then at most 1.5: 1 on the larger side, under
//! a half on all others together. Through any row of splits within `forget` it is under 1 + ln 2 = 1.7: the members that
//! are cut off one by one from a side that counts them out each time keep the shares of their day. A cut longer than
//! `forget` is taken for deaths: each side then divides by itself.

use crate::Nanos;
use crate::planted::{self, Fault};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One balancer's count of all.
#[derive(Clone, Debug)]
pub struct Count {
    /// Who is there.
    present: BTreeSet<SocketAddr>,
    /// Who was there and said nothing when it went; since when it is not.
    vanished: BTreeMap<SocketAddr, Nanos>,
    hold: Nanos,
    forget: Nanos,
    /// What was last divided by.
    last: usize,
}

impl Count {
    /// One balancer alone.
    pub fn new(hold: Nanos, forget: Nanos) -> Self {
        Count { present: BTreeSet::new(), vanished: BTreeMap::new(), hold, forget, last: 1 }
    }

    /// Another balancer is there.
    pub fn appeared(&mut self, who: SocketAddr) {
        self.vanished.remove(&who);
        self.present.insert(who);
    }

    /// It has gone and said so.
    pub fn left(&mut self, who: SocketAddr) {
        if self.present.remove(&who) || self.vanished.remove(&who).is_some() {
            self.last = self.last.saturating_sub(1).max(1);
        }
    }

    /// It is there no more, and said nothing.
    pub fn vanished(&mut self, now: Nanos, who: SocketAddr) {
        if self.present.remove(&who) {
            self.vanished.insert(who, now);
        }
    }

    /// How many places there are, this balancer's own included. Others are told it, so that newcomers on either side
    /// of a split divide as those who are there do.
    pub fn places(&self) -> usize {
        1 + self.present.len() + self.vanished.len()
    }

    /// Those who are there, this one included.
    pub fn living(&self) -> usize {
        1 + self.present.len()
    }

    /// By how many to divide now. `told`: the most places that any living member tells of.
    pub fn now(&mut self, now: Nanos, told: usize) -> usize {
        let forget = self.forget;
        let before = self.vanished.len();
        self.vanished.retain(|_, since| now.saturating_sub(*since) < forget);
        self.last = self.last.saturating_sub(before - self.vanished.len()).max(1);
        let living = self.living();
        if planted::is(Fault::CountsOwnSideAtOnce) {
            return living;
        }
        let hold = self.hold;
        let held = |since: &Nanos| now.saturating_sub(*since) < hold;
        let counted = living + self.vanished.values().filter(|since| held(since)).count();
        let all = self.places().max(told);
        if 2 * living > all {
            self.last = counted;
            return counted;
        }
        // What others tell passes with them; only what was divided by here is kept.
        self.last = self.last.max(counted);
        self.last.max(told)
    }
}

#[cfg(test)]
mod tests {
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
            let mut fleet = Fleet { counts: vec![Count::new(HOLD, FORGET); n], side: vec![0; n], now: 0 };
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
                    let told = (0..places.len()).filter(same).map(|j| places[j]).max().unwrap_or(0);
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
        assert_eq!(fleet.divisors(), [[3; 3].as_slice(), &[9; 9]].concat(), "in the end it was a death");
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
        assert_eq!(newcomer.now(0, 10), 10, "it has met one, which knows of ten places");
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
}
