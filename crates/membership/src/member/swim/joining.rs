//! Joins: announcements to join addresses, and to dead members that may live beyond a partition.

use super::SwimProtocol;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::heartbeat;
use crate::member::context::Context;
use crate::{Identity, MS, Nanos};
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;

/// How often dead members are announced to, each by a few drawn members; this is how a healed
/// partition merges.
const DEAD_ANNOUNCEMENT_INTERVAL: Nanos = 500 * MS;
/// Each time about this many random members announce to a dead one as well: the drawn ones may be
/// cut off from it.
const RANDOM_DEAD_ANNOUNCERS: usize = 4;
/// A member that rejoins announces to this many dead members at once.
const REJOIN_ANNOUNCEMENTS: usize = 6;
/// Join addresses are announced to again after this, doubled each time up to [`JOIN_BACKOFF_MAX`].
pub(super) const JOIN_BACKOFF_MIN: Nanos = 200 * MS;
const JOIN_BACKOFF_MAX: Nanos = 5_000 * MS;

impl SwimProtocol {
    /// A random delay before the first join, so that members that start at once do not join in
    /// step.
    pub(in crate::member) fn join_delay(rng: &mut Xoshiro256PlusPlus) -> Nanos {
        rng.random_range(0..JOIN_BACKOFF_MIN / 2)
    }

    /// Announces to those dead members for which this one is drawn. If all members announced to
    /// each, one that returns would have to answer as many as there are members, each with a
    /// datagram of the greatest length.
    pub(in crate::member) fn announce_to_drawn_dead(&mut self, context: &mut Context) {
        let early = context.now < self.next_dead_announcement;
        if early || is_injected(InjectedFault::NeverContactsDeadMembers) {
            return;
        }
        self.next_dead_announcement = context.now + DEAD_ANNOUNCEMENT_INTERVAL;
        if self.dead.is_empty() {
            return;
        }
        let addresses: Vec<SocketAddr> = self.dead.iter().map(|id| id.address).collect();
        let alive = self.roster.alive();
        let mut drawn = heartbeat::drawn_for(&addresses, self.own_address, alive);
        let members = alive.len() + 1;
        if context.rng.random_range(0..members) < RANDOM_DEAD_ANNOUNCERS {
            drawn.push(context.rng.random_range(0..self.dead.len()));
        }
        let targets: Vec<Identity> = drawn.into_iter().map(|index| self.dead[index]).collect();
        self.announce(context, targets);
    }

    /// Announces to some dead members: a member that was declared dead was most likely cut off from
    /// more than one.
    pub(super) fn announce_to_random_dead(&mut self, context: &mut Context) {
        if is_injected(InjectedFault::NeverContactsDeadMembers) {
            return;
        }
        let mut dead = self.dead.clone();
        let mut targets = Vec::new();
        for _ in 0..REJOIN_ANNOUNCEMENTS.min(dead.len()) {
            targets.push(dead.swap_remove(context.rng.random_range(0..dead.len())));
        }
        self.announce(context, targets);
    }

    /// Announces to join addresses: all of them while no other member is known, later one at a
    /// time, in case two parts of the fleet never met. Those in other regions are left out.
    pub(in crate::member) fn join(
        &mut self,
        context: &mut Context,
        is_in_other_region: impl Fn(&SocketAddr) -> bool,
    ) {
        if context.now < self.next_join {
            return;
        }
        let alone = self.alive() == 0;
        let is_missing = |address: &SocketAddr| {
            *address != self.own_address && !self.is_alive(*address) && !is_in_other_region(address)
        };
        let addresses = self.join_addresses.iter().copied();
        let missing: Vec<SocketAddr> = addresses.filter(is_missing).collect();
        if self.has_met && is_injected(InjectedFault::NeverContactsDeadMembers) {
            return;
        }
        let targets = if alone {
            missing
        } else {
            context.choose(&missing).into_iter().collect()
        };
        self.announce(
            context,
            targets.into_iter().map(Identity::of_unknown_generation),
        );
        let backoff = self.join_backoff;
        self.next_join = context.now + backoff / 2 + context.rng.random_range(0..backoff);
        self.join_backoff = (backoff * 2).min(JOIN_BACKOFF_MAX);
        if alone {
            self.join_backoff = self.join_backoff.min(JOIN_BACKOFF_MAX / 2);
        }
    }
}
