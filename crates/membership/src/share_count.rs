//! The share count within a region: the number of balancers that quotas, limits and budgets are
//! divided by.
//!
//! A partition looks like a mass death, and caches may be reachable from both of its sides. If each
//! side divided by its own members alone, the sum of all shares would be the number of sides. So:
//!
//! 1. A new member counts at once, and so does a graceful leave.
//! 2. A member that vanished keeps its place for `share_retention`.
//! 3. After that its place is dropped only where the live members are more than half of all places.
//!    At most one side of a partition has this majority; the others keep dividing by their last
//!    count.
//! 4. A place that was empty for `tombstone_retention` is dropped on either side.
//!
//! The sum of shares through one partition shorter than `tombstone_retention` is then at most 1.5:
//! 1 on the larger side, and under a half on all others together. Through any sequence of
//! partitions within `tombstone_retention` it is under 1 + ln 2 = 1.7: members that are cut off one
//! by one, each after the former was dropped, keep the shares of their time. A longer partition is
//! taken for deaths: each side then divides by its own members.

use crate::Nanos;
use crate::fault_injection::{InjectedFault, is_injected};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One member's count of the balancers in its region.
#[derive(Clone, Debug)]
pub struct ShareCounter {
    present: BTreeSet<SocketAddr>,
    /// Members that went without a leave, and when.
    vanished: BTreeMap<SocketAddr, Nanos>,
    share_retention: Nanos,
    tombstone_retention: Nanos,
    last_count: usize,
}

impl ShareCounter {
    /// A counter that knows the own balancer alone.
    #[must_use]
    pub fn new(share_retention: Nanos, tombstone_retention: Nanos) -> Self {
        ShareCounter {
            present: BTreeSet::new(),
            vanished: BTreeMap::new(),
            share_retention,
            tombstone_retention,
            last_count: 1,
        }
    }

    /// Another balancer is alive.
    pub fn record_present(&mut self, member: SocketAddr) {
        self.vanished.remove(&member);
        self.present.insert(member);
    }

    /// Another balancer left gracefully.
    pub fn record_left(&mut self, member: SocketAddr) {
        if self.present.remove(&member) || self.vanished.remove(&member).is_some() {
            self.last_count = self.last_count.saturating_sub(1).max(1);
        }
    }

    /// Another balancer is gone without a leave.
    pub fn record_vanished(&mut self, now: Nanos, member: SocketAddr) {
        if self.present.remove(&member) {
            self.vanished.insert(member, now);
        }
    }

    /// How many places there are, the own one included. Members publish it, so that newcomers on
    /// either side of a partition divide as the others do.
    #[must_use]
    pub fn places(&self) -> usize {
        1 + self.present.len() + self.vanished.len()
    }

    /// Live members, the own one included.
    #[must_use]
    pub fn alive(&self) -> usize {
        1 + self.present.len()
    }

    /// The share count now. `reported_places` is the greatest number of places that a live member
    /// publishes.
    pub fn count(&mut self, now: Nanos, reported_places: usize) -> usize {
        self.forget_old_tombstones(now);
        let alive = self.alive();
        if is_injected(InjectedFault::CountsOwnPartitionOnly) {
            return alive;
        }
        let is_retained = |since: &Nanos| now.saturating_sub(*since) < self.share_retention;
        let retained = self.vanished.values().filter(|since| is_retained(since));
        let counted = alive + retained.count();
        let has_majority = 2 * alive > self.places().max(reported_places);
        if has_majority {
            self.last_count = counted;
            return counted;
        }
        // Only the own divisor is kept; what others publish goes with them.
        self.last_count = self.last_count.max(counted);
        self.last_count.max(reported_places)
    }

    fn forget_old_tombstones(&mut self, now: Nanos) {
        let before = self.vanished.len();
        let retention = self.tombstone_retention;
        self.vanished
            .retain(|_, since| now.saturating_sub(*since) < retention);
        let forgotten = before - self.vanished.len();
        self.last_count = self.last_count.saturating_sub(forgotten).max(1);
    }
}

#[cfg(test)]
mod tests;
