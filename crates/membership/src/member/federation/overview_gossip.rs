//! Dissemination and anti-entropy of the overview within a region.

use crate::envelope::MessageKind;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::member::context::{Context, GOSSIP_INTERVAL};
use crate::member::membership_table::MembershipTable;
use crate::member::swim::SwimProtocol;
use crate::payload::{PayloadError, decode};
use crate::regions::overview::{OverviewPart, PARTS, PartMergeResult, RegionOverview};
use crate::{MS, Nanos};
use rand::RngExt;
use std::net::SocketAddr;

/// Interval between digests of the overview, each sent to a random member.
const DIGEST_INTERVAL: Nanos = 2_000 * MS;
/// Interval between digests while the overview is new or was found to differ.
const FAST_DIGEST_INTERVAL: Nanos = 200 * MS;
/// Time after the start during which the overview counts as new.
const STARTUP_PERIOD: Nanos = 3_000 * MS;
/// Number of random members that each broadcast of parts is sent to.
const OVERVIEW_FANOUT: usize = 2;

/// Overview stored by one member, and the schedule of its gossip.
pub(super) struct OverviewGossip {
    pub(super) overview: RegionOverview,
    /// Time until which digests are sent at [`FAST_DIGEST_INTERVAL`].
    fast_digests_until: Nanos,
    next_broadcast: Nanos,
    next_digest: Nanos,
    invalid_parts: u64,
}

/// Result of merging received parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OverviewChange {
    Changed,
    Unchanged,
}

impl OverviewGossip {
    pub(super) fn new(now: Nanos) -> Self {
        OverviewGossip {
            overview: RegionOverview::default(),
            fast_digests_until: now + STARTUP_PERIOD,
            next_broadcast: now,
            next_digest: now,
            invalid_parts: 0,
        }
    }

    /// Returns the number of parts dropped as invalid since the start.
    pub(super) fn invalid_parts(&self) -> u64 {
        self.invalid_parts
    }

    /// Sends the broadcasts and digests that are due.
    pub(super) fn tick(&mut self, context: &mut Context, swim: &SwimProtocol) {
        self.broadcast(context, swim);
        self.send_digest(context, swim);
    }

    /// Broadcasts new parts if a broadcast is due.
    fn broadcast(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let others = swim.alive();
        let too_early = context.now < self.next_broadcast;
        if too_early || others == 0 || !self.overview.has_broadcasts() {
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

    /// Sends the digest to a random member if it is due.
    fn send_digest(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let too_early = context.now < self.next_digest;
        if too_early || is_injected(InjectedFault::WithholdsOverview) {
            return;
        }
        let interval = if context.now < self.fast_digests_until {
            FAST_DIGEST_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        self.next_digest = context.now + interval;
        if let Some(to) = swim.random_member(context) {
            context.send(to, MessageKind::OverviewDigest, &self.overview.digest());
        }
    }

    /// Answers a digest with the parts that differ, starting at a random part.
    pub(super) fn receive_digest(
        &self,
        context: &mut Context,
        table: &MembershipTable,
        from: SocketAddr,
        digest: &[u8],
    ) -> Result<(), PayloadError> {
        let first_part = context.rng.random_range(0..PARTS);
        let parts = self
            .overview
            .differing_parts(context.now, digest, first_part)?;
        if !parts.is_empty() && table.contains(&from) {
            context.send_message(from, MessageKind::Overview, &parts);
        }
        Ok(())
    }

    /// Merges parts received from a tracked member.
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
        let mut newer_stored_part = None;
        for part in parts {
            match self.overview.merge(context.now, unix_ms, part) {
                PartMergeResult::New => change = OverviewChange::Changed,
                PartMergeResult::Same => {}
                PartMergeResult::Outdated(stored) => newer_stored_part = Some(stored),
                PartMergeResult::Invalid => self.invalid_parts += 1,
            }
        }
        if change == OverviewChange::Changed {
            let fast_digests_until = context.now + FAST_DIGEST_INTERVAL;
            self.fast_digests_until = self.fast_digests_until.max(fast_digests_until);
        }
        // Only one part is sent back; the next digest finds the remaining ones.
        if let Some(part) = newer_stored_part {
            context.send_message(from, MessageKind::Overview, [part].as_slice());
        }
        Ok(change)
    }
}
