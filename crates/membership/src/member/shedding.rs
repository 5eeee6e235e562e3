//! Shared shedding at one member ([`crate::shedding`]): sending and receiving of level reports.

use super::context::{Context, GOSSIP_FANOUT, GOSSIP_INTERVAL};
use super::membership_table::MembershipTable;
use super::swim::SwimProtocol;
use crate::envelope::MessageKind;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::payload::{PayloadError, decode, encode};
use crate::shedding::{LevelReport, SharedShedding};
use crate::{Identity, Nanos};
use rand::RngExt;

/// Shared shedding of one member; inactive until it is enabled.
pub(super) struct SheddingGossip {
    pub(super) shared: Option<SharedShedding>,
    next_report: Nanos,
}

impl SheddingGossip {
    pub(super) fn new(now: Nanos) -> Self {
        SheddingGossip {
            shared: None,
            next_report: now,
        }
    }

    pub(super) fn enable(&mut self, tiers: usize, id: Identity, now: Nanos) {
        let shared = SharedShedding::new(tiers, id.address, id.generation, now);
        self.shared = Some(shared);
    }

    /// Adjusts the level, and sends reports to some random members while there is something to
    /// report.
    pub(super) fn tick(
        &mut self,
        context: &mut Context,
        swim: &SwimProtocol,
        table: &MembershipTable,
    ) {
        let jitter = context.rng.random();
        let Some(shared) = &mut self.shared else {
            return;
        };
        if shared.tick(context.now, jitter) {
            shared.retain(|address| table.contains(&address));
        }
        if context.now < self.next_report
            || !shared.has_report()
            || is_injected(InjectedFault::WithholdsShedLevel)
        {
            return;
        }
        self.next_report = context.now + GOSSIP_INTERVAL;
        let payload = encode(&shared.reports(context.now));
        for _ in 0..GOSSIP_FANOUT.min(swim.alive()) {
            if let Some(to) = swim.random_member(context) {
                context.statistics.level_reports += 1;
                context.send(to, MessageKind::LevelReports, &payload);
            }
        }
    }

    /// Stores the reports of tracked members, up to the first invalid one.
    pub(super) fn receive(
        &mut self,
        context: &Context,
        table: &MembershipTable,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let Some(shared) = &mut self.shared else {
            return Ok(());
        };
        let reports: Vec<LevelReport> = decode(payload)?;
        reports
            .into_iter()
            .filter(|report| table.contains(&report.member))
            .try_for_each(|report| shared.receive(context.now, report))
    }
}
