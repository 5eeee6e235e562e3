//! Federation at one member ([`crate::regions`]): the delegates of its region, the overview of the
//! others, and the share count over all regions.

use super::context::Context;
use super::membership_table::MembershipTable;
use super::swim::SwimProtocol;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::metadata::MemberMetadata;
use crate::regions::announcement_store::{AnnouncementStore, DroppedAnnouncements};
use crate::regions::overview::{RegionOverview, RegionStatus};
use crate::regions::share_count::{RegionShareCounter, RegionSize};
use crate::regions::{SILENT_AFTER, delegates, elapsed_seconds};
use crate::{Location, MS, MembershipEvent, MembershipSettings, Nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A member leads only after this long: it would otherwise speak for a region whose members it has
/// not met yet.
const LEAD_DELAY: Nanos = 3_000 * MS;
/// For this long after the start the overview is compared often.
const STARTUP_PERIOD: Nanos = 3_000 * MS;
/// The regions are counted this often, and after each change of the overview.
const RECOUNT_INTERVAL: Nanos = 200 * MS;

/// When each periodic action is due.
#[derive(Debug)]
pub(super) struct FederationSchedule {
    pub(super) digest: Nanos,
    pub(super) join_address_digest: Nanos,
    pub(super) publish: Nanos,
    pub(super) overview_digest: Nanos,
    pub(super) overview_broadcast: Nanos,
    pub(super) recount: Nanos,
    pub(super) rejoin: Nanos,
}

/// A delegate of any region.
#[derive(Clone, Copy, Debug)]
pub(super) struct Delegate {
    pub(super) address: SocketAddr,
    pub(super) is_region_silent: bool,
}

/// What the federation uses of the member's own region.
pub(super) struct OwnRegion<'a> {
    pub(super) swim: &'a mut SwimProtocol,
    pub(super) table: &'a MembershipTable,
    pub(super) metadata: &'a MemberMetadata,
    pub(super) size: RegionSize,
}

/// The federation at one member.
pub(super) struct Federation {
    pub(super) own_address: SocketAddr,
    pub(super) location: Location,
    pub(super) join_addresses: Vec<SocketAddr>,
    tombstone_retention: Nanos,
    /// Unix time in milliseconds at time 0 of this member's clock.
    epoch_ms: u64,
    started: Nanos,
    /// The delegates of the own region, the leader first.
    pub(super) delegates: Vec<SocketAddr>,
    /// The checksum of the membership that they were drawn from.
    drawn_from: Option<u64>,
    /// While this member is a delegate.
    pub(super) announcements: Option<AnnouncementStore>,
    leads_since: Option<Nanos>,
    pub(super) former_leader: Option<SocketAddr>,
    pub(super) last_announcement: Nanos,
    pub(super) last_overview_write: Nanos,
    pub(super) overview: RegionOverview,
    /// Until then the overview is compared often.
    pub(super) unsettled_until: Nanos,
    share_counter: RegionShareCounter,
    /// Whether each region was reachable when it was last reported.
    reachable: BTreeMap<String, bool>,
    /// Join addresses that answered from another region.
    pub(super) foreign_join_addresses: BTreeSet<SocketAddr>,
    /// Delegates of other regions that this member was referred to.
    pub(super) referred: Vec<SocketAddr>,
    /// Dropped by stores of former times as a delegate.
    former_dropped: DroppedAnnouncements,
    pub(super) unsound_parts: u64,
    pub(super) schedule: FederationSchedule,
}

impl Federation {
    /// The federation, where the fleet has regions.
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
            drawn_from: None,
            announcements: None,
            leads_since: None,
            former_leader: None,
            last_announcement: 0,
            last_overview_write: 0,
            overview: RegionOverview::default(),
            unsettled_until: now + STARTUP_PERIOD,
            share_counter: RegionShareCounter::new(
                timing.share_retention,
                timing.tombstone_retention,
            ),
            reachable: BTreeMap::new(),
            foreign_join_addresses: BTreeSet::new(),
            referred: Vec::new(),
            former_dropped: DroppedAnnouncements::default(),
            unsound_parts: 0,
            schedule: FederationSchedule {
                digest: now,
                join_address_digest: now,
                publish: now,
                overview_digest: now,
                overview_broadcast: now,
                recount: now,
                rejoin: now,
            },
        })
    }

    pub(super) fn unix_ms(&self, now: Nanos) -> u64 {
        self.epoch_ms + now / MS
    }

    /// Does what is due.
    pub(super) fn tick(&mut self, context: &mut Context, own_region: &mut OwnRegion<'_>) {
        let roster = own_region.swim.refreshed_roster();
        self.draw_delegates(context.now, roster.checksum(), roster.alive());
        if let Some(announcements) = &mut self.announcements {
            announcements.tick(context.now);
        }
        self.lead(context, own_region);
        self.send_digests(context, own_region);
        self.broadcast_overview(context, own_region.swim);
        self.send_overview_digest(context, own_region.swim);
        if context.now >= self.schedule.recount {
            self.schedule.recount = context.now + RECOUNT_INTERVAL;
            self.update_share_counter(context.now, &mut context.events);
        }
    }

    /// Draws the delegates among these members and the own one, if the membership changed.
    fn draw_delegates(&mut self, now: Nanos, membership: u64, alive: &[SocketAddr]) {
        if self.drawn_from == Some(membership) {
            return;
        }
        let is_first = self.drawn_from.is_none() || alive.is_empty();
        self.drawn_from = Some(membership);
        if is_injected(InjectedFault::NeverReplacesDelegates)
            && !is_first
            && now - self.started > 2 * LEAD_DELAY
        {
            return;
        }
        let former_leader = self.delegates.first().copied();
        let members = alive.iter().copied().chain([self.own_address]);
        self.delegates = delegates::draw(&self.location.region, members);
        let leader = self.delegates.first().copied();
        if former_leader != leader {
            self.former_leader = former_leader;
        }
        if !self.delegates.contains(&self.own_address) {
            self.former_dropped = self.dropped();
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

    /// The announcements dropped since the start.
    pub(super) fn dropped(&self) -> DroppedAnnouncements {
        let current = self.announcements.as_ref();
        let current = current.map(AnnouncementStore::dropped).unwrap_or_default();
        DroppedAnnouncements {
            unsound: self.former_dropped.unsound + current.unsound,
            outdated: self.former_dropped.outdated + current.outdated,
            over_capacity: self.former_dropped.over_capacity + current.over_capacity,
        }
    }

    pub(super) fn is_leader(&self, now: Nanos) -> bool {
        self.leads_since.is_some() && now.saturating_sub(self.started) >= LEAD_DELAY
    }

    /// The rows of the overview as the leader knows them.
    pub(super) fn known_rows(&self, now: Nanos) -> Vec<RegionStatus> {
        let Some(announcements) = &self.announcements else {
            return Vec::new();
        };
        let known = announcements.regions(now);
        let mut rows: BTreeMap<String, RegionStatus> = self
            .overview
            .rows()
            .filter(|(row, _)| !known.contains_key(row.region.as_str()))
            .filter_map(|(row, silent_since)| self.inherited_row(now, row, silent_since))
            .map(|row| (row.region.clone(), row))
            .collect();
        for (region, knowledge) in known {
            let row = RegionStatus::of(region, &knowledge, now);
            rows.insert(region.to_string(), row);
        }
        rows.into_values().collect()
    }

    /// A row that the former leader wrote, of a region that this leader has not heard of: it may
    /// not have been told yet. After a while the region counts as silent, and in the end it is
    /// forgotten.
    fn inherited_row(
        &self,
        now: Nanos,
        row: &RegionStatus,
        silent_since: Option<Nanos>,
    ) -> Option<RegionStatus> {
        let leads_since = self.leads_since;
        let long_lead = leads_since.filter(|since| now.saturating_sub(*since) >= SILENT_AFTER);
        let silent_since = silent_since.or(long_lead);
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

    /// Whether any other region is known.
    pub(super) fn knows_other_regions(&self, now: Nanos) -> bool {
        let announcements = self.announcements.as_ref();
        announcements.is_some_and(|announcements| !announcements.regions(now).is_empty())
            || self.overview.rows().next().is_some()
    }

    /// The known delegates of all regions but this member.
    pub(super) fn all_delegates(&self, now: Nanos) -> Vec<Delegate> {
        let mut silent: BTreeMap<SocketAddr, bool> = BTreeMap::new();
        for (row, silent_since) in self.overview.rows() {
            let delegates = row.delegates.iter().copied();
            silent.extend(delegates.map(|delegate| (delegate, silent_since.is_some())));
        }
        if let Some(announcements) = &self.announcements {
            let known = announcements.regions(now);
            for (region, delegates) in announcements.delegates() {
                let is_silent = known
                    .get(region)
                    .is_some_and(|known| known.silent_since.is_some());
                silent.extend(delegates.into_iter().map(|delegate| (delegate, is_silent)));
            }
        }
        let reachable = self.referred.iter().chain(&self.delegates);
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

    /// The rows of the other regions.
    pub(super) fn other_regions(&self) -> impl Iterator<Item = (&RegionStatus, Option<Nanos>)> {
        self.overview
            .rows()
            .filter(|(row, _)| row.region != self.location.region)
    }

    /// The share count over all regions.
    pub(super) fn share_count(&mut self, now: Nanos, own: RegionSize) -> usize {
        self.share_counter.count(now, own)
    }

    /// Takes the overview into the share count, and reports regions that became reachable or
    /// silent.
    fn update_share_counter(&mut self, now: Nanos, events: &mut Vec<MembershipEvent>) {
        let mut reachable = BTreeMap::new();
        let own_region = &self.location.region;
        let rows = self.overview.rows();
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

    /// Whether a join address is known to be in another region.
    pub(super) fn is_foreign_join_address(&self, address: &SocketAddr) -> bool {
        self.foreign_join_addresses.contains(address)
    }
}
