//! Dissemination and anti-entropy of the overview within a region.

use crate::envelope::MessageKind;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::member::context::{Context, GOSSIP_INTERVAL};
use crate::member::membership_table::MembershipTable;
use crate::member::swim::SwimProtocol;
use crate::payload::{PayloadError, decode};
use crate::regions::overview::{OverviewPart, PARTS, PartMerge, RegionOverview};
use crate::{MS, Nanos};
use rand::RngExt;
use std::net::SocketAddr;

/// How often the digest of the overview is sent to a random member,
const DIGEST_INTERVAL: Nanos = 2_000 * MS;
/// and how often while the overview is new or was found to differ.
const UNSETTLED_DIGEST_INTERVAL: Nanos = 200 * MS;
/// For this long after the start the overview counts as new.
const STARTUP_PERIOD: Nanos = 3_000 * MS;
/// Parts are broadcast to this many random members at a time.
const OVERVIEW_FANOUT: usize = 2;

/// The overview at one member, and when it is gossiped.
pub(super) struct OverviewGossip {
    pub(super) overview: RegionOverview,
    /// Until then the overview is compared often.
    unsettled_until: Nanos,
    next_broadcast: Nanos,
    next_digest: Nanos,
    unsound_parts: u64,
}

/// Whether received parts changed the overview.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OverviewChange {
    Changed,
    Unchanged,
}

impl OverviewGossip {
    pub(super) fn new(now: Nanos) -> Self {
        OverviewGossip {
            overview: RegionOverview::default(),
            unsettled_until: now + STARTUP_PERIOD,
            next_broadcast: now,
            next_digest: now,
            unsound_parts: 0,
        }
    }

    /// Parts that were dropped as unsound since the start.
    pub(super) fn unsound_parts(&self) -> u64 {
        self.unsound_parts
    }

    /// Sends what is due.
    pub(super) fn tick(&mut self, context: &mut Context, swim: &SwimProtocol) {
        self.broadcast(context, swim);
        self.send_digest(context, swim);
    }

    /// Broadcasts new parts.
    fn broadcast(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let others = swim.alive();
        let early = context.now < self.next_broadcast;
        if early || others == 0 || !self.overview.has_broadcasts() {
            return;
        }
        self.next_broadcast = context.now + GOSSIP_INTERVAL;
        for _ in 0..OVERVIEW_FANOUT.min(others) {
            let Some(to) = swim.random_member(context) else {
                return;
            };
            let parts = self.overview.next_broadcast(context.now);
            if !parts.is_empty() {
                context.send_message(to, MessageKind::Overview, &parts);
            }
        }
    }

    /// Sends the digest to a random member.
    fn send_digest(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let early = context.now < self.next_digest;
        if early || is_injected(InjectedFault::WithholdsOverview) {
            return;
        }
        let interval = if context.now < self.unsettled_until {
            UNSETTLED_DIGEST_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        self.next_digest = context.now + interval;
        if let Some(to) = swim.random_member(context) {
            context.send(to, MessageKind::OverviewDigest, &self.overview.digest());
        }
    }

    /// Answers a digest by the parts that differ, from a random one on.
    pub(super) fn receive_digest(
        &self,
        context: &mut Context,
        table: &MembershipTable,
        from: SocketAddr,
        digest: &[u8],
    ) -> Result<(), PayloadError> {
        let first_part = context.rng.random_range(0..PARTS);
        let parts = self.overview.differing(context.now, digest, first_part)?;
        if !parts.is_empty() && table.contains(&from) {
            context.send_message(from, MessageKind::Overview, &parts);
        }
        Ok(())
    }

    /// Merges parts of a known member's overview.
    pub(super) fn receive_parts(
        &mut self,
        context: &mut Context,
        table: &MembershipTable,
        unix_ms: u64,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<OverviewChange, PayloadError> {
        let parts: Vec<OverviewPart> = decode(payload)?;
        let mut change = OverviewChange::Unchanged;
        if !table.contains(&from) {
            return Ok(change);
        }
        let mut newer_here = None;
        for part in parts {
            match self.overview.merge(context.now, unix_ms, part) {
                PartMerge::New => change = OverviewChange::Changed,
                PartMerge::Same => {}
                PartMerge::Outdated(stored) => newer_here = Some(stored),
                PartMerge::Unsound => self.unsound_parts += 1,
            }
        }
        if change == OverviewChange::Changed {
            let unsettled_until = context.now + UNSETTLED_DIGEST_INTERVAL;
            self.unsettled_until = self.unsettled_until.max(unsettled_until);
        }
        // One at a time; the next digest finds the others.
        if let Some(part) = newer_here {
            context.send_message(from, MessageKind::Overview, [part].as_slice());
        }
        Ok(change)
    }
}
