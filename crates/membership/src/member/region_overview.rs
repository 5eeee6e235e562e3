//! Dissemination and anti-entropy of the overview within a region.

use super::context::{Context, GOSSIP_INTERVAL};
use super::federation::Federation;
use super::membership_table::MembershipTable;
use super::swim::SwimProtocol;
use crate::envelope::MessageKind;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::payload::{PayloadError, decode};
use crate::regions::overview::{OverviewPart, PARTS, PartMerge};
use crate::{MS, Nanos};
use std::net::SocketAddr;

/// How often the digest of the overview is sent to a random member,
const DIGEST_INTERVAL: Nanos = 2_000 * MS;
/// and how often while the overview is new or was found to differ.
const UNSETTLED_DIGEST_INTERVAL: Nanos = 200 * MS;
/// Parts are broadcast to this many random members at a time.
const OVERVIEW_FANOUT: usize = 2;

impl Federation {
    /// Broadcasts new parts of the overview.
    pub(super) fn broadcast_overview(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let others = swim.alive();
        let early = context.now < self.schedule.overview_broadcast;
        if early || others == 0 || !self.overview.has_broadcasts() {
            return;
        }
        self.schedule.overview_broadcast = context.now + GOSSIP_INTERVAL;
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

    /// Sends the digest of the overview to a random member if it is due.
    pub(super) fn send_overview_digest(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let early = context.now < self.schedule.overview_digest;
        if early || is_injected(InjectedFault::WithholdsOverview) {
            return;
        }
        let interval = if context.now < self.unsettled_until {
            UNSETTLED_DIGEST_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        self.schedule.overview_digest = context.now + interval;
        if let Some(to) = swim.random_member(context) {
            context.send(to, MessageKind::OverviewDigest, &self.overview.digest());
        }
    }

    /// Answers a digest by the parts that differ, from `first_part` on.
    pub(super) fn receive_overview_digest(
        &self,
        context: &mut Context,
        table: &MembershipTable,
        from: SocketAddr,
        digest: &[u8],
        first_part: usize,
    ) -> Result<(), PayloadError> {
        debug_assert!(first_part < PARTS);
        let parts = self.overview.differing(context.now, digest, first_part)?;
        if !parts.is_empty() && table.contains(&from) {
            context.send_message(from, MessageKind::Overview, &parts);
        }
        Ok(())
    }

    /// Merges parts of a known member's overview.
    pub(super) fn receive_overview(
        &mut self,
        context: &mut Context,
        table: &MembershipTable,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let parts: Vec<OverviewPart> = decode(payload)?;
        if !table.contains(&from) {
            return Ok(());
        }
        let now = context.now;
        let unix_ms = self.unix_ms(now);
        let mut newer_here = None;
        for part in parts {
            match self.overview.merge(now, unix_ms, part) {
                PartMerge::New => {
                    self.schedule.recount = now;
                    self.unsettled_until =
                        self.unsettled_until.max(now + UNSETTLED_DIGEST_INTERVAL);
                }
                PartMerge::Same => {}
                PartMerge::Outdated(stored) => newer_here = Some(stored),
                PartMerge::Unsound => self.unsound_parts += 1,
            }
        }
        // One at a time; the next digest finds the others.
        if let Some(part) = newer_here {
            context.send_message(from, MessageKind::Overview, [part].as_slice());
        }
        Ok(())
    }
}
