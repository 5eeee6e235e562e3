//! Federation at one member ([`crate::regions`]): the delegates of its region, the overview of the
//! other regions, and the share count over all regions.

mod delegate;
mod overview_gossip;

#[cfg(test)]
pub(crate) use delegate::RegionReferral;

use super::context::Context;
use super::membership_table::MembershipTable;
use super::swim::SwimProtocol;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::metadata::MemberMetadata;
use crate::payload::PayloadError;
use crate::regions::announcement_store::{AnnouncementStore, DroppedAnnouncements};
use crate::regions::overview::RegionStatus;
use crate::regions::share_count::{RegionShareCounter, RegionSize};
use crate::regions::{SILENT_AFTER, delegates, elapsed_seconds};
use crate::{Location, MS, MembershipEvent, MembershipSettings, Nanos};
use overview_gossip::{OverviewChange, OverviewGossip};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Minimum time after the start until a member acts as leader. Earlier it does not know all members
/// of the region, and would publish a wrong summary.
const LEAD_DELAY: Nanos = 3_000 * MS;
/// Interval between updates of the share counter from the overview. It is also updated after each
/// change of the overview.
const RECOUNT_INTERVAL: Nanos = 200 * MS;

/// Times at which the periodic actions are due.
#[derive(Debug)]
struct FederationSchedule {
    digest: Nanos,
    join_address_digest: Nanos,
    publish: Nanos,
    recount: Nanos,
    rejoin: Nanos,
}

/// A delegate of any region.
#[derive(Clone, Copy, Debug)]
struct Delegate {
    address: SocketAddr,
    is_region_silent: bool,
}

/// State of this member's region that the federation uses.
pub(super) struct OwnRegion<'a> {
    pub(super) swim: &'a mut SwimProtocol,
    pub(super) table: &'a MembershipTable,
    pub(super) metadata: &'a MemberMetadata,
    pub(super) size: RegionSize,
}

/// Federation state of one member.
pub(super) struct Federation {
    own_address: SocketAddr,
    location: Location,
    join_addresses: Vec<SocketAddr>,
    tombstone_retention: Nanos,
    /// Unix time in milliseconds at time 0 of this member's clock.
    epoch_ms: u64,
    started: Nanos,
    /// Delegates of this member's region, the leader first.
    delegates: Vec<SocketAddr>,
    /// Checksum of the membership from which the delegates were selected.
    selected_from: Option<u64>,
    /// Stored announcements; present while this member is a delegate.
    announcements: Option<AnnouncementStore>,
    leads_since: Option<Nanos>,
    previous_leader: Option<SocketAddr>,
    last_announcement: Nanos,
    last_overview_write: Nanos,
    overview: OverviewGossip,
    share_counter: RegionShareCounter,
    /// Whether each other region was reachable in the last report.
    reachable: BTreeMap<String, bool>,
    /// Join addresses that answered from another region.
    foreign_join_addresses: BTreeSet<SocketAddr>,
    /// Delegates of another region, named in the last referral.
    referred_delegates: Vec<SocketAddr>,
    /// Number of announcements dropped in earlier periods as a delegate.
    dropped_before: DroppedAnnouncements,
    schedule: FederationSchedule,
}

impl Federation {
    /// Returns the federation state, or `None` if the fleet has no regions.
    pub(super) fn new(settings: &MembershipSettings, unix_ms: u64, now: Nanos) -> Option<Self> {
        if settings.location.is_none() {
            return None;
        }
        let timing = &settings.timing;
        Some(Federation {
            own_address: settings.address,
            location: settings.location.clone(),
            join_addresses: settings.join.clone(),
            tombstone_retention: timing.tombstone_retention,
            epoch_ms: unix_ms.saturating_sub(now / MS),
            started: now,
            delegates: Vec::new(),
            selected_from: None,
            announcements: None,
            leads_since: None,
            previous_leader: None,
            last_announcement: 0,
            last_overview_write: 0,
            overview: OverviewGossip::new(now),
            share_counter: RegionShareCounter::new(
                timing.share_retention,
                timing.tombstone_retention,
            ),
            reachable: BTreeMap::new(),
            foreign_join_addresses: BTreeSet::new(),
            referred_delegates: Vec::new(),
            dropped_before: DroppedAnnouncements::default(),
            schedule: FederationSchedule {
                digest: now,
                join_address_digest: now,
                publish: now,
                recount: now,
                rejoin: now,
            },
        })
    }

    fn unix_ms(&self, now: Nanos) -> u64 {
        self.epoch_ms + now / MS
    }

    /// Performs the actions that are due.
    pub(super) fn tick(&mut self, context: &mut Context, own_region: &mut OwnRegion<'_>) {
        let roster = own_region.swim.refreshed_roster();
        self.select_delegates(context.now, roster.checksum(), roster.alive());
        if let Some(announcements) = &mut self.announcements {
            announcements.tick(context.now);
        }
        self.tick_leader(context, own_region);
        self.send_digests(context, own_region);
        self.overview.tick(context, own_region.swim);
        if context.now >= self.schedule.recount {
            self.schedule.recount = context.now + RECOUNT_INTERVAL;
            self.update_share_counter(context.now, &mut context.events);
        }
    }

    /// Selects the delegates among the live members and this one if the membership changed.
    fn select_delegates(&mut self, now: Nanos, membership: u64, alive: &[SocketAddr]) {
        if self.selected_from == Some(membership) {
            return;
        }
        let is_first = self.selected_from.is_none() || alive.is_empty();
        self.selected_from = Some(membership);
        if is_injected(InjectedFault::NeverReplacesDelegates)
            && !is_first
            && now - self.started > 2 * LEAD_DELAY
        {
            return;
        }
        let previous_leader = self.delegates.first().copied();
        let members = alive.iter().copied().chain([self.own_address]);
        self.delegates = delegates::select(&self.location.region, members);
        let leader = self.delegates.first().copied();
        if previous_leader != leader {
            self.previous_leader = previous_leader;
        }
        if !self.delegates.contains(&self.own_address) {
            self.dropped_before = self.dropped();
            self.announcements = None;
        } else if self.announcements.is_none() {
            self.announcements = Some(AnnouncementStore::new(
                self.own_address,
                &self.location.region,
                self.tombstone_retention,
            ));
        }
        let is_leader = leader == Some(self.own_address);
        self.leads_since = is_leader.then(|| self.leads_since.unwrap_or(now));
    }

    /// Returns the delegates of this member's region, the leader first.
    pub(super) fn delegates(&self) -> &[SocketAddr] {
        &self.delegates
    }

    /// Returns the number of announcements stored as a delegate.
    pub(super) fn announcement_count(&self) -> usize {
        self.announcements
            .as_ref()
            .map_or(0, AnnouncementStore::len)
    }

    /// Returns the number of overview parts dropped as invalid.
    pub(super) fn invalid_parts(&self) -> u64 {
        self.overview.invalid_parts()
    }

    /// Answers the digest of another member's overview.
    pub(super) fn receive_overview_digest(
        &self,
        context: &mut Context,
        table: &MembershipTable,
        from: SocketAddr,
        digest: &[u8],
    ) -> Result<(), PayloadError> {
        self.overview.receive_digest(context, table, from, digest)
    }

    /// Merges parts of another member's overview. After a change the share counter is updated at
    /// the next tick.
    pub(super) fn receive_overview(
        &mut self,
        context: &mut Context,
        table: &MembershipTable,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let unix_ms = self.unix_ms(context.now);
        let overview = &mut self.overview;
        let change = overview.receive_parts(context, table, unix_ms, from, payload)?;
        if change == OverviewChange::Changed {
            self.schedule.recount = context.now;
        }
        Ok(())
    }

    /// Returns the numbers of announcements dropped since the start.
    pub(super) fn dropped(&self) -> DroppedAnnouncements {
        let current = self.announcements.as_ref();
        let current = current.map(AnnouncementStore::dropped).unwrap_or_default();
        DroppedAnnouncements {
            invalid: self.dropped_before.invalid + current.invalid,
            outdated: self.dropped_before.outdated + current.outdated,
            over_capacity: self.dropped_before.over_capacity + current.over_capacity,
        }
    }

    fn is_leader(&self, now: Nanos) -> bool {
        self.leads_since.is_some() && now.saturating_sub(self.started) >= LEAD_DELAY
    }

    /// Returns the rows that the leader writes into the overview.
    fn overview_rows(&self, now: Nanos) -> Vec<RegionStatus> {
        let Some(announcements) = &self.announcements else {
            return Vec::new();
        };
        let combined = announcements.regions(now);
        let mut rows: BTreeMap<String, RegionStatus> = self
            .overview
            .overview
            .rows()
            .filter(|(row, _)| !combined.contains_key(row.region.as_str()))
            .filter_map(|(row, silent_since)| self.inherited_row(now, row, silent_since))
            .map(|row| (row.region.clone(), row))
            .collect();
        for (region, summary) in combined {
            let row = RegionStatus::new(region, &summary, now);
            rows.insert(region.to_string(), row);
        }
        rows.into_values().collect()
    }

    /// Returns a row that the previous leader wrote for a region from which this leader has no
    /// announcement; one may still be in transit. The region counts as silent once this member has
    /// been the leader for [`SILENT_AFTER`], and is removed after the tombstone retention.
    fn inherited_row(
        &self,
        now: Nanos,
        row: &RegionStatus,
        silent_since: Option<Nanos>,
    ) -> Option<RegionStatus> {
        let leads_since = self.leads_since;
        let silent_under_this_leader =
            leads_since.filter(|since| now.saturating_sub(*since) >= SILENT_AFTER);
        let silent_since = silent_since.or(silent_under_this_leader);
        let is_expired = |since: Nanos| now.saturating_sub(since) >= self.tombstone_retention;
        if silent_since.is_some_and(is_expired) {
            return None;
        }
        Some(RegionStatus {
            silent_seconds: silent_since.map(|since| elapsed_seconds(now, since)),
            authors: if silent_since.is_some() {
                0
            } else {
                row.authors
            },
            ..row.clone()
        })
    }

    /// Returns whether any other region is known.
    fn has_other_regions(&self, now: Nanos) -> bool {
        let announcements = self.announcements.as_ref();
        announcements.is_some_and(|announcements| !announcements.regions(now).is_empty())
            || self.overview.overview.rows().next().is_some()
    }

    /// Returns the known delegates of all regions, except this member.
    fn all_delegates(&self, now: Nanos) -> Vec<Delegate> {
        let mut silent: BTreeMap<SocketAddr, bool> = BTreeMap::new();
        for (row, silent_since) in self.overview.overview.rows() {
            let delegates = row.delegates.iter().copied();
            silent.extend(delegates.map(|delegate| (delegate, silent_since.is_some())));
        }
        if let Some(announcements) = &self.announcements {
            let combined = announcements.regions(now);
            for (region, delegates) in announcements.delegates() {
                let is_silent = combined
                    .get(region)
                    .is_some_and(|summary| summary.silent_since.is_some());
                silent.extend(delegates.into_iter().map(|delegate| (delegate, is_silent)));
            }
        }
        let reachable = self.referred_delegates.iter().chain(&self.delegates);
        silent.extend(reachable.map(|delegate| (*delegate, false)));
        silent.remove(&self.own_address);
        silent
            .into_iter()
            .map(|(address, is_region_silent)| Delegate {
                address,
                is_region_silent,
            })
            .collect()
    }

    /// Returns the rows of the other regions, with the start of the silence of silent ones.
    pub(super) fn other_regions(&self) -> impl Iterator<Item = (&RegionStatus, Option<Nanos>)> {
        self.overview
            .overview
            .rows()
            .filter(|(row, _)| row.region != self.location.region)
    }

    /// Returns the share count over all regions.
    pub(super) fn share_count(&mut self, now: Nanos, own: RegionSize) -> usize {
        self.share_counter.count(now, own)
    }

    /// Updates the share counter from the overview, and reports regions that became reachable or
    /// silent.
    fn update_share_counter(&mut self, now: Nanos, events: &mut Vec<MembershipEvent>) {
        let mut reachable = BTreeMap::new();
        let own_region = &self.location.region;
        let rows = self.overview.overview.rows();
        for (row, silent_since) in rows.filter(|(row, _)| row.region != *own_region) {
            let size = RegionSize {
                alive: row.alive as usize,
                places: row.places as usize,
            };
            self.share_counter
                .update(now, &row.region, size, silent_since);
            let is_reachable = silent_since.is_none();
            if self.reachable.get(&row.region) != Some(&is_reachable) {
                events.push(MembershipEvent::RegionReachability {
                    region: row.region.clone(),
                    reachable: is_reachable,
                    alive: row.alive,
                });
            }
            reachable.insert(row.region.clone(), is_reachable);
        }
        self.share_counter
            .silence_unreported(now, |region| reachable.contains_key(region));
        self.reachable = reachable;
    }

    /// Returns whether a join address is known to be in another region.
    pub(super) fn is_foreign_join_address(&self, address: &SocketAddr) -> bool {
        self.foreign_join_addresses.contains(address)
    }
}
