//! Joins: announcements to join addresses, and to dead members that may be alive on the other side
//! of a partition.

use super::SwimProtocol;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::heartbeat;
use crate::member::context::Context;
use crate::{Identity, MS, Nanos};
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;

/// Interval between announcements to a dead member by the few live members assigned to it. These
/// announcements merge the sides of a healed partition.
const DEAD_ANNOUNCEMENT_INTERVAL: Nanos = 500 * MS;
/// Expected number of members that additionally announce to one random dead member each in every
/// interval, because the assigned members may be cut off from a dead member.
const RANDOM_DEAD_ANNOUNCERS: usize = 4;
/// Number of dead members to which a rejoining member announces at once.
const REJOIN_ANNOUNCEMENTS: usize = 6;
/// Initial delay until join addresses are announced to again. It is doubled each time up to
/// [`JOIN_BACKOFF_MAX`], or up to half of it while no other member is known.
pub(super) const JOIN_BACKOFF_MIN: Nanos = 200 * MS;
const JOIN_BACKOFF_MAX: Nanos = 5_000 * MS;

impl SwimProtocol {
    /// Returns a random delay before the first join, so that members that start together do not
    /// join at the same moment.
    pub(in crate::member) fn join_delay(rng: &mut Xoshiro256PlusPlus) -> Nanos {
        rng.random_range(0..JOIN_BACKOFF_MIN / 2)
    }

    /// Announces to the dead members that are assigned to this member. If every member announced to
    /// each dead one, a returning member would have to send an answer of maximum length to every
    /// member of the fleet.
    pub(in crate::member) fn announce_to_assigned_dead(&mut self, context: &mut Context) {
        let too_early = context.now < self.next_dead_announcement;
        if too_early || is_injected(InjectedFault::NeverContactsDeadMembers) {
            return;
        }
        self.next_dead_announcement = context.now + DEAD_ANNOUNCEMENT_INTERVAL;
        if self.dead.is_empty() {
            return;
        }
        let addresses: Vec<SocketAddr> = self.dead.iter().map(|id| id.address).collect();
        let alive = self.roster.alive();
        let mut assigned = heartbeat::watched_among(&addresses, self.own_address, alive);
        let members = alive.len() + 1;
        if context.rng.random_range(0..members) < RANDOM_DEAD_ANNOUNCERS {
            assigned.push(context.rng.random_range(0..self.dead.len()));
        }
        let targets: Vec<Identity> = assigned.into_iter().map(|index| self.dead[index]).collect();
        self.announce(context, targets);
    }

    /// Announces to some dead members: a member that was declared dead was most likely cut off from
    /// more than one other.
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

    /// Announces to join addresses: to all of them while no other member is known, and later to one
    /// at a time, in case two parts of the fleet have never known each other. Addresses in other
    /// regions are skipped.
    pub(in crate::member) fn join(
        &mut self,
        context: &mut Context,
        is_in_other_region: impl Fn(&SocketAddr) -> bool,
    ) {
        if context.now < self.next_join {
            return;
        }
        let is_alone = self.alive() == 0;
        let is_missing = |address: &SocketAddr| {
            *address != self.own_address && !self.is_alive(*address) && !is_in_other_region(address)
        };
        let addresses = self.join_addresses.iter().copied();
        let missing: Vec<SocketAddr> = addresses.filter(is_missing).collect();
        if self.has_joined && is_injected(InjectedFault::NeverContactsDeadMembers) {
            return;
        }
        let targets = if is_alone {
            missing
        } else {
            context.choose(&missing).into_iter().collect()
        };
        self.announce(
            context,
            targets.into_iter().map(Identity::with_unknown_generation),
        );
        let backoff = self.join_backoff;
        self.next_join = context.now + backoff / 2 + context.rng.random_range(0..backoff);
        self.join_backoff = (backoff * 2).min(JOIN_BACKOFF_MAX);
        if is_alone {
            self.join_backoff = self.join_backoff.min(JOIN_BACKOFF_MAX / 2);
        }
    }
}
