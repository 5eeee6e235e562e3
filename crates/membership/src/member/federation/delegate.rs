//! Delegates of regions: the leader announces its region, delegates exchange announcements, and a
//! member that knows no other live member is referred to the delegates of its region.

use super::{Delegate, Federation, OwnRegion};
use crate::envelope::{MessageKind, PAYLOAD_MAX};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::member::context::Context;
use crate::member::swim::SwimProtocol;
use crate::metadata::ServingPhase;
use crate::payload::{PayloadError, decode};
use crate::regions::announcement_store::AnnouncementStore;
use crate::regions::exchange::{AgedAnnouncement, DigestSender, RegionDelta, RegionDigest};
use crate::regions::{DELEGATE_COUNT, RegionSummary};
use crate::{Identity, MS, Nanos};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Interval between digests from a delegate to a randomly chosen other one.
const DIGEST_INTERVAL: Nanos = 500 * MS;
/// While there is a silent region, on average one digest in this many goes to a delegate of a
/// silent region.
const SILENT_REGION_ONE_IN: u32 = 4;
/// Interval between digests to a random join address outside this member's region, in case all
/// known delegates of a region have died.
const JOIN_ADDRESS_INTERVAL: Nanos = 5_000 * MS;
/// Minimum interval between writes of the overview after new announcements.
const OVERVIEW_WRITE_INTERVAL: Nanos = 200 * MS;
/// Interval between writes of the overview without new announcements, and minimum interval between
/// changed summaries.
const PUBLISH_INTERVAL: Nanos = 500 * MS;
/// Minimum interval between summaries that differ only in the request rate.
const REQUEST_RATE_INTERVAL: Nanos = 30_000 * MS;
/// Minimum interval between announcements to delegates of this member's region that are not alive
/// in its view.
const REJOIN_INTERVAL: Nanos = 500 * MS;
/// Maximum number of join addresses recorded as being in other regions.
const FOREIGN_JOIN_ADDRESSES_MAX: usize = 64;

/// Referral to the delegates, sent by a member that is not a delegate.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RegionReferral {
    /// Region of the sender.
    pub(crate) region: String,
    /// Delegates of the sender's region.
    pub(crate) delegates: Vec<SocketAddr>,
    /// Delegates of the recipient's region, if the sender knows them.
    pub(crate) your_delegates: Vec<SocketAddr>,
}

impl Federation {
    /// Publishes the summary of the region and writes the overview if this member is the leader,
    /// and withdraws the announcement otherwise.
    pub(super) fn tick_leader(&mut self, context: &mut Context, own_region: &OwnRegion<'_>) {
        let now = context.now;
        if !self.is_leader(now) {
            if let Some(announcements) = &mut self.announcements {
                announcements.withdraw();
            }
            return;
        }
        if now < self.schedule.publish {
            return;
        }
        self.schedule.publish = now + PUBLISH_INTERVAL;
        self.last_overview_write = now;
        self.publish_summary(context, own_region);
        let rows = self.overview_rows(now);
        let unix_ms = self.unix_ms(now);
        self.overview
            .overview
            .write(now, unix_ms, self.own_address, rows);
    }

    /// Publishes the summary of this member's region if it has changed.
    fn publish_summary(&mut self, context: &mut Context, own_region: &OwnRegion<'_>) {
        let summary = self.summary(own_region);
        let now = context.now;
        let unix_ms = self.unix_ms(now);
        let Some(announcements) = &mut self.announcements else {
            return;
        };
        if let Some(previous) = announcements.own_summary() {
            let age = now.saturating_sub(self.last_announcement);
            let rate_is_due = previous.request_rate_tenths != summary.request_rate_tenths
                && age >= REQUEST_RATE_INTERVAL;
            let is_due = !previous.is_equivalent(&summary) || rate_is_due;
            if !is_due || age < PUBLISH_INTERVAL {
                return;
            }
        }
        self.last_announcement = now;
        let announcement = announcements.publish(now, unix_ms, summary);
        self.send_announcement(context, announcement);
    }

    /// Returns the summary of this member's region.
    fn summary(&self, own_region: &OwnRegion<'_>) -> RegionSummary {
        let mut config_counts: BTreeMap<u64, u32> = BTreeMap::new();
        let mut request_rate_tenths = 0u32;
        let members = own_region.table.live_metadata();
        for metadata in members
            .chain([own_region.metadata])
            .filter(|metadata| metadata.phase != ServingPhase::Leaving)
        {
            *config_counts.entry(metadata.config_checksum).or_default() += 1;
            request_rate_tenths = request_rate_tenths.saturating_add(metadata.request_rate_tenths);
        }
        let (config_checksum, majority) = config_counts
            .iter()
            .max_by_key(|(_, count)| **count)
            .map_or((0, 0), |(config, count)| (*config, *count));
        RegionSummary {
            alive: own_region.size.alive as u32,
            places: own_region.size.places as u32,
            config_checksum,
            config_minority: config_counts.values().sum::<u32>() - majority,
            request_rate_tenths: round_to_two_digits(request_rate_tenths),
            delegates: self.delegates.clone(),
            replaces: self
                .previous_leader
                .filter(|previous| *previous != self.own_address),
        }
    }

    /// Sends an announcement to one delegate of each other region, and to the other delegates of
    /// this member's region.
    fn send_announcement(&self, context: &mut Context, announcement: AgedAnnouncement) {
        let mut by_region: BTreeMap<&str, BTreeSet<SocketAddr>> = BTreeMap::new();
        for (row, _) in self.overview.overview.rows() {
            by_region
                .entry(&row.region)
                .or_default()
                .extend(&row.delegates);
        }
        if let Some(announcements) = &self.announcements {
            for (region, delegates) in announcements.delegates() {
                by_region.entry(region).or_default().extend(delegates);
            }
        }
        by_region.remove(self.location.region.as_str());
        let mut targets: Vec<SocketAddr> = Vec::new();
        for delegates in by_region.into_values() {
            let delegates: Vec<SocketAddr> = delegates.into_iter().collect();
            targets.extend(context.choose(&delegates));
        }
        let own_delegates = self.delegates.iter().copied();
        targets.extend(own_delegates.filter(|delegate| *delegate != self.own_address));
        let payload = AgedAnnouncement::encode(&[announcement]);
        for target in targets {
            context.send(target, MessageKind::RegionAnnouncements, &payload);
        }
    }

    /// Sends a digest to a delegate of any region if it is due. A member that knows no other live
    /// member also does so, to find its region.
    pub(super) fn send_digests(&mut self, context: &mut Context, own_region: &OwnRegion<'_>) {
        let now = context.now;
        let is_alone = own_region.swim.alive() == 0;
        if now < self.schedule.digest || (self.announcements.is_none() && !is_alone) {
            return;
        }
        self.schedule.digest = now + DIGEST_INTERVAL;
        let delegates = self.all_delegates(now);
        let mut targets: Vec<SocketAddr> =
            choose_delegate(context, &delegates).into_iter().collect();
        let is_in_own_region = |address: &SocketAddr| {
            own_region.table.contains(address) || *address == self.own_address
        };
        let join_addresses = self.join_addresses.iter().copied();
        let outside_addresses: Vec<SocketAddr> = join_addresses
            .filter(|address| !is_in_own_region(address))
            .collect();
        if !self.has_other_regions(now) {
            targets.extend(outside_addresses);
        } else if now >= self.schedule.join_address_digest && !outside_addresses.is_empty() {
            self.schedule.join_address_digest = now + JOIN_ADDRESS_INTERVAL;
            targets.extend(context.choose(&outside_addresses));
        }
        for target in targets {
            self.send_digest(context, target);
        }
    }

    fn send_digest(&self, context: &mut Context, to: SocketAddr) {
        let first_version = context.rng.random_range(0..usize::from(u16::MAX));
        let now = context.now;
        let digest = match &self.announcements {
            Some(announcements) => announcements.digest(now, DigestSender::Delegate, first_version),
            None => AnnouncementStore::new(self.own_address, &self.location.region, 0).digest(
                now,
                DigestSender::JoiningMember,
                0,
            ),
        };
        context.statistics.region_digests += 1;
        context.send_message(to, MessageKind::RegionDigest, &digest);
    }

    /// Answers a digest: a delegate sends a delta, and any other member a referral.
    pub(in crate::member) fn receive_digest(
        &mut self,
        context: &mut Context,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let digest: RegionDigest = decode(payload)?;
        self.record_sender_region(from, &digest.region);
        if let Some(announcements) = &mut self.announcements {
            let delta = announcements.delta(context.now, &digest);
            context.send_message(from, MessageKind::RegionDelta, &delta);
            return Ok(());
        }
        let sender_region = self
            .overview
            .overview
            .rows()
            .find(|(row, _)| row.region == digest.region);
        let referral = RegionReferral {
            region: self.location.region.clone(),
            delegates: self.delegates.clone(),
            your_delegates: sender_region
                .map(|(row, _)| row.delegates.clone())
                .unwrap_or_default(),
        };
        context.send_message(from, MessageKind::RegionReferral, &referral);
        Ok(())
    }

    /// Merges a delta, and sends the announcements that the replying delegate requests.
    pub(in crate::member) fn receive_delta(
        &mut self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let delta: RegionDelta = decode(payload)?;
        self.record_sender_region(from, &delta.region);
        let own_delegates = self.announced_own_delegates(&delta.announcements);
        self.join_own_region(context, swim, own_delegates);
        let unix_ms = self.unix_ms(context.now);
        let Some(announcements) = &mut self.announcements else {
            return Ok(());
        };
        let merged = announcements.merge_delta(context.now, unix_ms, &delta);
        self.referred_delegates.clear();
        if !merged.requested.is_empty() {
            let payload = AgedAnnouncement::encode(&merged.requested);
            context.send(from, MessageKind::RegionAnnouncements, &payload);
        }
        self.forward_new(context, &merged.new);
        Ok(())
    }

    /// Merges received announcements.
    pub(in crate::member) fn receive_announcements(
        &mut self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let received: Vec<AgedAnnouncement> = decode(payload)?;
        let own_delegates = self.announced_own_delegates(&received);
        let unix_ms = self.unix_ms(context.now);
        let Some(announcements) = &mut self.announcements else {
            return Ok(());
        };
        let new = announcements.merge(context.now, unix_ms, &received);
        self.forward_new(context, &new);
        self.join_own_region(context, swim, own_delegates);
        Ok(())
    }

    /// Schedules a write of the overview if this member is the leader, and forwards the new
    /// announcements to the leader otherwise.
    fn forward_new(&mut self, context: &mut Context, new: &[AgedAnnouncement]) {
        if new.is_empty() {
            return;
        }
        if self.is_leader(context.now) {
            let next_write = self.last_overview_write + OVERVIEW_WRITE_INTERVAL;
            self.schedule.publish = self.schedule.publish.min(next_write);
            return;
        }
        let leader = self.delegates.first().copied();
        let payload = AgedAnnouncement::encode(new);
        if let Some(leader) = leader.filter(|leader| *leader != self.own_address)
            && payload.len() <= PAYLOAD_MAX
        {
            context.send(leader, MessageKind::RegionAnnouncements, &payload);
        }
    }

    /// Follows a referral to the delegates of this member's region, or records those of another
    /// region.
    pub(in crate::member) fn receive_referral(
        &mut self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let referral: RegionReferral = decode(payload)?;
        let longest = referral.delegates.len().max(referral.your_delegates.len());
        if longest > DELEGATE_COUNT {
            return Err(PayloadError::OverLimit {
                what: "delegates",
                limit: DELEGATE_COUNT,
            });
        }
        self.record_sender_region(from, &referral.region);
        if referral.region == self.location.region {
            self.join_own_region(context, swim, referral.delegates);
        } else {
            self.referred_delegates = referral.delegates;
            self.join_own_region(context, swim, referral.your_delegates);
        }
        Ok(())
    }

    /// Records whether a join address is in another region: such an address cannot let this member
    /// join its own region.
    fn record_sender_region(&mut self, from: SocketAddr, region: &str) {
        if region == self.location.region {
            self.foreign_join_addresses.remove(&from);
        } else if self.join_addresses.contains(&from)
            && self.foreign_join_addresses.len() < FOREIGN_JOIN_ADDRESSES_MAX
        {
            self.foreign_join_addresses.insert(from);
        }
    }

    /// Returns the delegates of this member's region that are named in the announcements.
    fn announced_own_delegates(&self, announcements: &[AgedAnnouncement]) -> Vec<SocketAddr> {
        let received = announcements.iter().map(|aged| &aged.announcement);
        received
            .filter(|announcement| announcement.region == self.location.region)
            .flat_map(|announcement| announcement.summary().delegates.iter().take(DELEGATE_COUNT))
            .copied()
            .collect()
    }

    /// Announces this member to delegates of its region that are not alive in its view: it has not
    /// joined its region yet, or the region is partitioned.
    fn join_own_region(
        &mut self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        delegates: Vec<SocketAddr>,
    ) {
        let too_early = context.now < self.schedule.rejoin;
        if too_early || is_injected(InjectedFault::IgnoresReferrals) {
            return;
        }
        let is_unknown =
            |address: &SocketAddr| *address != self.own_address && !swim.is_alive(*address);
        let unknown: Vec<SocketAddr> = delegates.into_iter().filter(is_unknown).collect();
        if unknown.is_empty() {
            return;
        }
        self.schedule.rejoin = context.now + REJOIN_INTERVAL;
        let targets = unknown.into_iter().take(DELEGATE_COUNT + 1);
        swim.announce(context, targets.map(Identity::with_unknown_generation));
    }
}

/// Returns a random delegate. While regions are silent, one call in [`SILENT_REGION_ONE_IN`] on
/// average is restricted to delegates of silent regions.
fn choose_delegate(context: &mut Context, delegates: &[Delegate]) -> Option<SocketAddr> {
    let silent: Vec<Delegate> = delegates
        .iter()
        .copied()
        .filter(|delegate| delegate.is_region_silent)
        .collect();
    let choose_silent =
        !silent.is_empty() && context.rng.random_range(0..SILENT_REGION_ONE_IN) == 0;
    let candidates = if choose_silent { &silent } else { delegates };
    context.choose(candidates).map(|delegate| delegate.address)
}

/// Rounds down to two significant digits, so that small changes are not published.
fn round_to_two_digits(value: u32) -> u32 {
    let step = 10u32.pow(value.max(1).ilog10().saturating_sub(1));
    value / step * step
}
