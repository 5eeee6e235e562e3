//! The delegates of regions: the leader announces its region, delegates exchange announcements, and
//! a member that has met nobody is referred to its region.

use super::{Delegate, Federation, OwnRegion};
use crate::envelope::{MessageKind, PAYLOAD_MAX};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::member::context::Context;
use crate::member::swim::SwimProtocol;
use crate::metadata::ServingPhase;
use crate::payload::{PayloadError, decode};
use crate::regions::announcement_store::AnnouncementStore;
use crate::regions::exchange::{AgedAnnouncement, DigestSender, RegionDelta, RegionDigest};
use crate::regions::{DELEGATES, RegionSummary};
use crate::{Identity, MS, Nanos};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How often a delegate sends a digest to one of the others.
const DIGEST_INTERVAL: Nanos = 500 * MS;
/// One digest in this many goes to a silent region, while there is one.
const SILENT_REGION_ONE_IN: u32 = 4;
/// How often a digest goes to a join address, in case all known delegates of a region have died.
const JOIN_ADDRESS_INTERVAL: Nanos = 5_000 * MS;
/// The overview is written at most this often after new announcements,
const OVERVIEW_WRITE_INTERVAL: Nanos = 200 * MS;
/// otherwise, like a changed summary, this often;
const PUBLISH_INTERVAL: Nanos = 500 * MS;
/// and a summary that differs in the request rate alone this often.
const REQUEST_RATE_INTERVAL: Nanos = 30_000 * MS;
/// How often unknown delegates of the own region are announced to.
const REJOIN_INTERVAL: Nanos = 500 * MS;
/// The most join addresses that are noted as being in other regions.
const FOREIGN_JOIN_ADDRESSES_MAX: usize = 64;

/// Names the delegates, by a member that is none.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RegionReferral {
    /// The region of the sender.
    pub(crate) region: String,
    /// The delegates of the sender's region.
    pub(crate) delegates: Vec<SocketAddr>,
    /// The delegates of the receiver's region, as far as they are known.
    pub(crate) your_delegates: Vec<SocketAddr>,
}

impl Federation {
    /// Publishes the own region and writes the overview, as its leader.
    pub(super) fn lead(&mut self, context: &mut Context, own_region: &OwnRegion<'_>) {
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
        let rows = self.known_rows(now);
        let unix_ms = self.unix_ms(now);
        self.overview
            .overview
            .write(now, unix_ms, self.own_address, rows);
    }

    /// Publishes the own region if its summary has changed.
    fn publish_summary(&mut self, context: &mut Context, own_region: &OwnRegion<'_>) {
        let summary = self.summary(own_region);
        let now = context.now;
        let unix_ms = self.unix_ms(now);
        let Some(announcements) = &mut self.announcements else {
            return;
        };
        if let Some(former) = announcements.own_summary() {
            let age = now.saturating_sub(self.last_announcement);
            let rate_is_due = former.request_rate_tenths != summary.request_rate_tenths
                && age >= REQUEST_RATE_INTERVAL;
            let is_due = !former.is_equivalent(&summary) || rate_is_due;
            if !is_due || age < PUBLISH_INTERVAL {
                return;
            }
        }
        self.last_announcement = now;
        let announcement = announcements.publish(now, unix_ms, summary);
        self.send_announcement(context, announcement);
    }

    /// The summary of the own region.
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
            request_rate_tenths: two_digits(request_rate_tenths),
            delegates: self.delegates.clone(),
            replaces: self
                .former_leader
                .filter(|former| *former != self.own_address),
        }
    }

    /// Sends an announcement to one delegate of each other region, and to the other delegates of
    /// the own one.
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

    /// Sends a digest to a delegate of any region if it is due. A member that has met nobody does
    /// so as well, to find its region.
    pub(super) fn send_digests(&mut self, context: &mut Context, own_region: &OwnRegion<'_>) {
        let now = context.now;
        let alone = own_region.swim.alive() == 0;
        if now < self.schedule.digest || (self.announcements.is_none() && !alone) {
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
        let elsewhere: Vec<SocketAddr> = join_addresses
            .filter(|address| !is_in_own_region(address))
            .collect();
        if !self.knows_other_regions(now) {
            targets.extend(elsewhere);
        } else if now >= self.schedule.join_address_digest && !elsewhere.is_empty() {
            self.schedule.join_address_digest = now + JOIN_ADDRESS_INTERVAL;
            targets.extend(context.choose(&elsewhere));
        }
        for target in targets {
            self.send_digest(context, target);
        }
    }

    fn send_digest(&self, context: &mut Context, to: SocketAddr) {
        let first = context.rng.random_range(0..usize::from(u16::MAX));
        let now = context.now;
        let digest = match &self.announcements {
            Some(announcements) => announcements.digest(now, DigestSender::Delegate, first),
            None => AnnouncementStore::new(self.own_address, &self.location.region, 0).digest(
                now,
                DigestSender::Newcomer,
                0,
            ),
        };
        context.statistics.region_digests += 1;
        context.send_message(to, MessageKind::RegionDigest, &digest);
    }

    /// Answers a digest: a delegate by a delta, any other member by a referral.
    pub(in crate::member) fn receive_digest(
        &mut self,
        context: &mut Context,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let digest: RegionDigest = decode(payload)?;
        self.note_region_of(from, &digest.region);
        if let Some(announcements) = &mut self.announcements {
            let delta = announcements.delta(context.now, &digest);
            context.send_message(from, MessageKind::RegionDelta, &delta);
            return Ok(());
        }
        let their_row = self
            .overview
            .overview
            .rows()
            .find(|(row, _)| row.region == digest.region);
        let referral = RegionReferral {
            region: self.location.region.clone(),
            delegates: self.delegates.clone(),
            your_delegates: their_row
                .map(|(row, _)| row.delegates.clone())
                .unwrap_or_default(),
        };
        context.send_message(from, MessageKind::RegionReferral, &referral);
        Ok(())
    }

    /// Merges a delta, and sends the announcements that it requests.
    pub(in crate::member) fn receive_delta(
        &mut self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let delta: RegionDelta = decode(payload)?;
        self.note_region_of(from, &delta.region);
        let own_delegates = self.announced_own_delegates(&delta.announcements);
        self.join_own_region(context, swim, own_delegates);
        let unix_ms = self.unix_ms(context.now);
        let Some(announcements) = &mut self.announcements else {
            return Ok(());
        };
        let merged = announcements.merge_delta(context.now, unix_ms, &delta);
        self.referred.clear();
        if !merged.requested.is_empty() {
            let payload = AgedAnnouncement::encode(&merged.requested);
            context.send(from, MessageKind::RegionAnnouncements, &payload);
        }
        self.pass_on(context, &merged.new);
        Ok(())
    }

    /// Merges announcements.
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
        self.pass_on(context, &new);
        self.join_own_region(context, swim, own_delegates);
        Ok(())
    }

    /// The leader writes new announcements into the overview soon; other delegates pass them on to
    /// the leader.
    fn pass_on(&mut self, context: &mut Context, new: &[AgedAnnouncement]) {
        if new.is_empty() {
            return;
        }
        if self.is_leader(context.now) {
            let soon = self.last_overview_write + OVERVIEW_WRITE_INTERVAL;
            self.schedule.publish = self.schedule.publish.min(soon);
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

    /// Follows a referral to the delegates of the own region, or notes those of another.
    pub(in crate::member) fn receive_referral(
        &mut self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let referral: RegionReferral = decode(payload)?;
        let longest = referral.delegates.len().max(referral.your_delegates.len());
        if longest > DELEGATES {
            return Err(PayloadError::OverLimit {
                what: "delegates",
                limit: DELEGATES,
            });
        }
        self.note_region_of(from, &referral.region);
        if referral.region == self.location.region {
            self.join_own_region(context, swim, referral.delegates);
        } else {
            self.referred = referral.delegates;
            self.join_own_region(context, swim, referral.your_delegates);
        }
        Ok(())
    }

    /// Notes which join addresses are in other regions: they cannot let this member into its own.
    fn note_region_of(&mut self, from: SocketAddr, region: &str) {
        if region == self.location.region {
            self.foreign_join_addresses.remove(&from);
        } else if self.join_addresses.contains(&from)
            && self.foreign_join_addresses.len() < FOREIGN_JOIN_ADDRESSES_MAX
        {
            self.foreign_join_addresses.insert(from);
        }
    }

    /// The delegates of the own region by these announcements.
    fn announced_own_delegates(&self, announcements: &[AgedAnnouncement]) -> Vec<SocketAddr> {
        let all = announcements.iter().map(|aged| &aged.announcement);
        all.filter(|announcement| announcement.region == self.location.region)
            .flat_map(|announcement| announcement.summary().delegates.iter().take(DELEGATES))
            .copied()
            .collect()
    }

    /// Announces to unknown delegates of the own region: this member has met nobody of it yet, or
    /// it is partitioned.
    fn join_own_region(
        &mut self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        delegates: Vec<SocketAddr>,
    ) {
        let early = context.now < self.schedule.rejoin;
        if early || is_injected(InjectedFault::IgnoresReferrals) {
            return;
        }
        let is_unknown =
            |address: &SocketAddr| *address != self.own_address && !swim.is_alive(*address);
        let unknown: Vec<SocketAddr> = delegates.into_iter().filter(is_unknown).collect();
        if unknown.is_empty() {
            return;
        }
        self.schedule.rejoin = context.now + REJOIN_INTERVAL;
        let targets = unknown.into_iter().take(DELEGATES + 1);
        swim.announce(context, targets.map(Identity::of_unknown_generation));
    }
}

/// A random delegate; while regions are silent, one time in [`SILENT_REGION_ONE_IN`] one of theirs.
fn choose_delegate(context: &mut Context, delegates: &[Delegate]) -> Option<SocketAddr> {
    let silent: Vec<Delegate> = delegates
        .iter()
        .copied()
        .filter(|delegate| delegate.is_region_silent)
        .collect();
    let from_silent = !silent.is_empty() && context.rng.random_range(0..SILENT_REGION_ONE_IN) == 0;
    let pool = if from_silent { &silent } else { delegates };
    context.choose(pool).map(|delegate| delegate.address)
}

/// Rounds down to two significant digits, so that small changes need not be published.
fn two_digits(value: u32) -> u32 {
    let step = 10u32.pow(value.max(1).ilog10().saturating_sub(1));
    value / step * step
}
