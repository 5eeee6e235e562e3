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
use crate::fault_injection::{self, InjectedFault};
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
        Count {
            present: BTreeSet::new(),
            vanished: BTreeMap::new(),
            hold,
            forget,
            last: 1,
        }
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
        self.vanished
            .retain(|_, since| now.saturating_sub(*since) < forget);
        self.last = self
            .last
            .saturating_sub(before - self.vanished.len())
            .max(1);
        let living = self.living();
        if fault_injection::is_injected(InjectedFault::CountsOwnPartitionOnly) {
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
mod tests;
