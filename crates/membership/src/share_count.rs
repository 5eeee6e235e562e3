//! Share count within a region: the number of balancers that quotas, limits and budgets are divided
//! by.
//!
//! A partition is indistinguishable from a mass death, and caches may be reachable from both of its
//! sides. If each side divided by its own members alone, the sum of all shares would equal the
//! number of sides. Each balancer therefore holds one place in the count, under these rules:
//!
//! 1. A new member counts at once, and a graceful leave takes effect at once.
//! 2. A member that vanished keeps its place for `share_retention`.
//! 3. After that its place is dropped only if the live members are more than half of all places. At
//!    most one side of a partition has this majority; members on the other sides keep dividing by
//!    their last count.
//! 4. A place that was vacant for `tombstone_retention` is dropped on either side.
//!
//! During one partition shorter than `tombstone_retention` the sum of all shares is then at most
//! 1.5: 1 on the larger side, and less than a half on all other sides together. During any sequence
//! of partitions within `tombstone_retention` it is below 1 + ln 2, about 1.7: members that are cut
//! off one by one, each after the previous one was dropped, keep the share that they had at that
//! time. A longer partition is treated as deaths: each side then divides by its own members.

use crate::Nanos;
use crate::fault_injection::{InjectedFault, is_injected};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One member's count of the balancers in its region.
#[derive(Clone, Debug)]
pub struct ShareCounter {
    present: BTreeSet<SocketAddr>,
    /// Members that vanished without a leave, and the time at which they did.
    vanished: BTreeMap<SocketAddr, Nanos>,
    share_retention: Nanos,
    tombstone_retention: Nanos,
    last_count: usize,
}

impl ShareCounter {
    /// Creates a counter that knows only this balancer.
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

    /// Records that another balancer is alive.
    pub fn record_present(&mut self, member: SocketAddr) {
        self.vanished.remove(&member);
        self.present.insert(member);
    }

    /// Records that another balancer left gracefully.
    pub fn record_left(&mut self, member: SocketAddr) {
        if self.present.remove(&member) || self.vanished.remove(&member).is_some() {
            self.last_count = self.last_count.saturating_sub(1).max(1);
        }
    }

    /// Records that another balancer vanished without a leave.
    pub fn record_vanished(&mut self, now: Nanos, member: SocketAddr) {
        if self.present.remove(&member) {
            self.vanished.insert(member, now);
        }
    }

    /// Returns the number of places, this member's included. Members publish it, so that new
    /// members on either side of a partition divide by the same number as the others.
    #[must_use]
    pub fn places(&self) -> usize {
        1 + self.present.len() + self.vanished.len()
    }

    /// Returns the number of live members, this one included.
    #[must_use]
    pub fn alive(&self) -> usize {
        1 + self.present.len()
    }

    /// Returns the current share count. `reported_places` is the greatest number of places that a
    /// live member publishes.
    pub fn count(&mut self, now: Nanos, reported_places: usize) -> usize {
        self.remove_expired_places(now);
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
        // Only this member's divisor is retained; a greater value published by others applies only
        // while they publish it.
        self.last_count = self.last_count.max(counted);
        self.last_count.max(reported_places)
    }

    fn remove_expired_places(&mut self, now: Nanos) {
        let before = self.vanished.len();
        let retention = self.tombstone_retention;
        self.vanished
            .retain(|_, since| now.saturating_sub(*since) < retention);
        let removed = before - self.vanished.len();
        self.last_count = self.last_count.saturating_sub(removed).max(1);
    }
}

#[cfg(test)]
mod tests;
