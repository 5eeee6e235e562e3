//! Announcements that one delegate stores: the latest of each author, and evidence that the author
//! is alive.
//!
//! Each author increments a heartbeat counter, which distinguishes a region whose summary does not
//! change from a silent one.

use super::announcement::{Announcement, AnnouncementKey, AnnouncementPayload, RegionSummary};
use super::exchange::{AgedAnnouncement, AnnouncementVersion};
use super::{REGIONS_MAX, SILENT_AFTER, elapsed_seconds, seconds_ago};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::{MS, Nanos};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of authors per region. A partitioned region has one author in each part.
const AUTHORS_MAX: usize = 4;
/// Maximum number of tombstones of authors.
const TOMBSTONES_MAX: usize = REGIONS_MAX * AUTHORS_MAX;
/// Interval at which an author increments its heartbeat counter.
const HEARTBEAT_INTERVAL: Nanos = 1_000 * MS;
/// Maximum number of heartbeats of a replaced author that may still have been in transit.
const HEARTBEATS_IN_TRANSIT_MAX: u32 = 3;

/// Counters of dropped announcements since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedAnnouncements {
    /// Number of announcements dropped because a value or name exceeds its limit or the version is
    /// too far in the future.
    #[serde(rename = "unsound")]
    pub invalid: u64,
    /// Number of announcements dropped because a newer version of the author is stored.
    pub outdated: u64,
    /// Number of announcements dropped because the maximum number of regions or authors is stored.
    pub over_capacity: u64,
}

/// Region and author of an announcement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnnouncementId {
    pub(super) region: String,
    pub(super) author: SocketAddr,
}

impl AnnouncementId {
    fn from_announcement(announcement: &Announcement) -> Self {
        AnnouncementId {
            region: announcement.region.clone(),
            author: announcement.author,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct StoredAnnouncement {
    pub(super) announcement: Announcement,
    pub(super) heartbeats: u32,
    /// Time at which the author was last known to be alive.
    last_alive: Nanos,
    /// Heartbeat counter at the time when another author claimed to have replaced this one.
    heartbeats_when_replaced: Option<u32>,
}

impl StoredAnnouncement {
    fn summary(&self) -> &RegionSummary {
        self.announcement.summary()
    }

    pub(super) fn version(&self, now: Nanos) -> AnnouncementVersion {
        AnnouncementVersion {
            key: AnnouncementKey::from_announcement(&self.announcement).0,
            version: self.announcement.version,
            heartbeats: self.heartbeats,
            age_seconds: elapsed_seconds(now, self.last_alive),
        }
    }

    pub(super) fn aged(&self, now: Nanos) -> AgedAnnouncement {
        AgedAnnouncement {
            announcement: self.announcement.clone(),
            heartbeats: self.heartbeats,
            age_seconds: elapsed_seconds(now, self.last_alive),
        }
    }

    /// Records a reported heartbeat counter if it is greater than the stored one.
    pub(super) fn record_heartbeats(&mut self, now: Nanos, heartbeats: u32, age_seconds: u32) {
        if heartbeats > self.heartbeats {
            self.heartbeats = heartbeats;
            self.last_alive = self.last_alive.max(seconds_ago(now, age_seconds));
        }
    }

    fn is_silent(&self, now: Nanos) -> bool {
        now.saturating_sub(self.last_alive) >= SILENT_AFTER
    }

    /// Returns whether another author replaced this one and its heartbeats have not shown since
    /// that it is alive.
    fn is_replaced(&self) -> bool {
        self.heartbeats_when_replaced
            .is_some_and(|heartbeats| self.heartbeats <= heartbeats + HEARTBEATS_IN_TRANSIT_MAX)
    }

    /// Returns the rank among the authors of a region: live authors first, then those with more
    /// live members.
    fn preference(&self, now: Nanos) -> (bool, u32) {
        (!self.is_silent(now), self.summary().alive)
    }
}

/// Last state of a removed author. Other delegates may still send its announcement, which would
/// otherwise circulate forever.
#[derive(Clone, Copy, Debug)]
struct AuthorTombstone {
    version: u64,
    heartbeats: u32,
    created_at: Nanos,
}

/// State of one region, combined from the announcements of all its authors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CombinedSummary {
    /// Summary of the live author with the most live members, or of the author that was alive last
    /// if the region is silent.
    pub summary: RegionSummary,
    /// Version of that summary.
    pub version: u64,
    /// Maximum number of places that a live author publishes, or any author if the region is
    /// silent. Each part of a partitioned region may publish fewer.
    pub places: u32,
    /// Number of live authors; more than one if the region is partitioned.
    pub authors: usize,
    /// Time of the region's last heartbeat if it is silent.
    pub silent_since: Option<Nanos>,
}

/// Announcements that one delegate stores.
pub struct AnnouncementStore {
    own: SocketAddr,
    pub(super) region: String,
    tombstone_retention: Nanos,
    pub(super) stored: BTreeMap<AnnouncementId, StoredAnnouncement>,
    tombstones: BTreeMap<AnnouncementId, AuthorTombstone>,
    next_heartbeat: Nanos,
    dropped: DroppedAnnouncements,
}

impl AnnouncementStore {
    /// Creates an empty store of a member of this region. Authors that were silent for
    /// `tombstone_retention` are removed.
    #[must_use]
    pub fn new(own: SocketAddr, region: &str, tombstone_retention: Nanos) -> Self {
        AnnouncementStore {
            own,
            region: region.into(),
            tombstone_retention,
            stored: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            next_heartbeat: 0,
            dropped: DroppedAnnouncements::default(),
        }
    }

    /// Returns the counters of dropped announcements.
    #[must_use]
    pub fn dropped(&self) -> DroppedAnnouncements {
        self.dropped
    }

    /// Returns the number of stored announcements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// Returns whether no announcement is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }

    fn own_id(&self) -> AnnouncementId {
        AnnouncementId {
            region: self.region.clone(),
            author: self.own,
        }
    }

    /// Returns the summary that this member published last.
    #[must_use]
    pub fn own_summary(&self) -> Option<&RegionSummary> {
        self.stored
            .get(&self.own_id())
            .map(StoredAnnouncement::summary)
    }

    /// Publishes a summary of this member's region, under a version above every known one of this
    /// author.
    pub fn publish(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        summary: RegionSummary,
    ) -> AgedAnnouncement {
        let id = self.own_id();
        let last_version = self
            .stored
            .get(&id)
            .map_or(0, |stored| stored.announcement.version);
        let stored = StoredAnnouncement {
            announcement: Announcement {
                region: self.region.clone(),
                author: self.own,
                version: unix_ms.max(last_version + 1),
                payload: AnnouncementPayload::Summary(summary),
            },
            heartbeats: 0,
            last_alive: now,
            heartbeats_when_replaced: None,
        };
        let announcement = stored.aged(now);
        self.stored.insert(id, stored);
        announcement
    }

    /// Withdraws this member's announcement because another member leads.
    pub fn withdraw(&mut self) {
        self.stored.remove(&self.own_id());
    }

    /// Increments this member's heartbeat counter when due, and removes expired authors and
    /// tombstones.
    pub fn tick(&mut self, now: Nanos) {
        let own_id = self.own_id();
        if let Some(own) = self.stored.get_mut(&own_id) {
            own.last_alive = now;
            if now >= self.next_heartbeat {
                self.next_heartbeat = now + HEARTBEAT_INTERVAL;
                own.heartbeats += 1;
            }
        }
        for id in self.expired(now) {
            self.remove_author(now, id);
        }
        let retention = self.tombstone_retention;
        self.tombstones
            .retain(|_, tombstone| now.saturating_sub(tombstone.created_at) < retention);
    }

    /// Returns the authors that are silent while their region has a live one, or that were silent
    /// for the retention time.
    fn expired(&self, now: Nanos) -> Vec<AnnouncementId> {
        let live_regions: BTreeSet<&String> = self
            .stored
            .iter()
            .filter(|(_, stored)| !stored.is_silent(now))
            .map(|(id, _)| &id.region)
            .collect();
        let is_expired = |id: &AnnouncementId, stored: &StoredAnnouncement| {
            let superseded = stored.is_silent(now) && live_regions.contains(&id.region);
            superseded || now.saturating_sub(stored.last_alive) >= self.tombstone_retention
        };
        self.stored
            .iter()
            .filter(|(id, stored)| is_expired(id, stored))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn remove_author(&mut self, now: Nanos, id: AnnouncementId) {
        let Some(stored) = self.stored.remove(&id) else {
            return;
        };
        if self.tombstones.len() >= TOMBSTONES_MAX {
            let oldest = self
                .tombstones
                .iter()
                .min_by_key(|(_, tombstone)| tombstone.created_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.tombstones.remove(&oldest);
            }
        }
        let tombstone = AuthorTombstone {
            version: stored.announcement.version,
            heartbeats: stored.heartbeats,
            created_at: now,
        };
        self.tombstones.insert(id, tombstone);
    }

    /// Returns the combined state of each other region.
    #[must_use]
    pub fn regions(&self, now: Nanos) -> BTreeMap<&str, CombinedSummary> {
        let mut by_region: BTreeMap<&str, Vec<&StoredAnnouncement>> = BTreeMap::new();
        for (id, stored) in &self.stored {
            if id.region != self.region {
                by_region.entry(&id.region).or_default().push(stored);
            }
        }
        by_region
            .into_iter()
            .filter_map(|(region, authors)| Some((region, combine(&authors, now)?)))
            .collect()
    }

    /// Returns the delegates named by all authors, by region, this member's region included.
    #[must_use]
    pub fn delegates(&self) -> BTreeMap<&str, BTreeSet<SocketAddr>> {
        let mut by_region: BTreeMap<&str, BTreeSet<SocketAddr>> = BTreeMap::new();
        for (id, stored) in &self.stored {
            let delegates = by_region.entry(&id.region).or_default();
            delegates.insert(id.author);
            delegates.extend(&stored.summary().delegates);
        }
        by_region
    }

    /// Merges announcements. Returns those that are new to this store.
    pub fn merge(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        announcements: &[AgedAnnouncement],
    ) -> Vec<AgedAnnouncement> {
        let is_new = |aged: &&AgedAnnouncement| self.merge_one(now, unix_ms, aged);
        announcements.iter().filter(is_new).cloned().collect()
    }

    /// Merges one announcement. Returns whether it is new to this store.
    fn merge_one(&mut self, now: Nanos, unix_ms: u64, aged: &AgedAnnouncement) -> bool {
        let announcement = &aged.announcement;
        if !announcement.is_valid(unix_ms)
            && !is_injected(InjectedFault::AcceptsInvalidAnnouncements)
        {
            self.dropped.invalid += 1;
            return false;
        }
        let id = AnnouncementId::from_announcement(announcement);
        if id == self.own_id() {
            self.raise_own_version(announcement.version);
            return false;
        }
        if let Some(stored) = self.stored.get_mut(&id) {
            let outdated = announcement.version < stored.announcement.version;
            if outdated && !is_injected(InjectedFault::AcceptsOlderAnnouncements) {
                self.dropped.outdated += 1;
                return false;
            }
            if announcement.version == stored.announcement.version {
                stored.record_heartbeats(now, aged.heartbeats, aged.age_seconds);
                return false;
            }
        } else if self.is_covered_by_tombstone(&id, aged) || !self.ensure_capacity(&id, aged, now) {
            return false;
        }
        self.replace(now, id, aged);
        true
    }

    /// Raises the version of this member's announcement above a received one. Only this member
    /// writes its announcement, but its previous process may have published a higher version if the
    /// clock was ahead at that time.
    fn raise_own_version(&mut self, version: u64) {
        let id = self.own_id();
        if let Some(own) = self.stored.get_mut(&id)
            && own.announcement.version < version
        {
            own.announcement.version = version + 1;
        }
    }

    /// Stores an announcement in place of the author's previous one, and marks the author that it
    /// replaced.
    fn replace(&mut self, now: Nanos, id: AnnouncementId, aged: &AgedAnnouncement) {
        self.tombstones.remove(&id);
        let previous = self.stored.get(&id);
        let previous_claim = previous.and_then(|stored| stored.summary().replaces);
        let stored = StoredAnnouncement {
            announcement: aged.announcement.clone(),
            heartbeats: aged.heartbeats,
            last_alive: aged.last_alive(now),
            heartbeats_when_replaced: previous.and_then(|stored| stored.heartbeats_when_replaced),
        };
        let replaced_author = stored
            .summary()
            .replaces
            .filter(|author| *author != id.author && Some(*author) != previous_claim);
        let region = id.region.clone();
        self.stored.insert(id, stored);
        // Only a new claim is applied: each part of a partitioned region keeps claiming to replace
        // the other part's leader.
        if let Some(author) = replaced_author
            && let Some(replaced) = self.stored.get_mut(&AnnouncementId { region, author })
        {
            replaced.heartbeats_when_replaced = Some(replaced.heartbeats);
        }
    }

    /// Returns whether the announcement is not newer than the author's tombstone.
    fn is_covered_by_tombstone(&self, id: &AnnouncementId, aged: &AgedAnnouncement) -> bool {
        self.tombstones.get(id).is_some_and(|tombstone| {
            (aged.announcement.version, aged.heartbeats)
                <= (tombstone.version, tombstone.heartbeats)
        })
    }

    /// Returns whether a further author can be stored. A less preferred author of the region is
    /// removed if necessary. A silent author is rejected while its region has a live one.
    fn ensure_capacity(
        &mut self,
        id: &AnnouncementId,
        aged: &AgedAnnouncement,
        now: Nanos,
    ) -> bool {
        let silence = now.saturating_sub(aged.last_alive(now));
        let is_silent = silence >= SILENT_AFTER;
        let authors: Vec<(&AnnouncementId, &StoredAnnouncement)> = self
            .stored
            .iter()
            .filter(|(stored_id, _)| stored_id.region == id.region)
            .collect();
        let superseded = is_silent && authors.iter().any(|(_, stored)| !stored.is_silent(now));
        if superseded || silence >= self.tombstone_retention {
            return false;
        }
        if authors.is_empty() {
            let regions: BTreeSet<&String> = self.stored.keys().map(|id| &id.region).collect();
            let is_full = regions.len() >= REGIONS_MAX;
            self.dropped.over_capacity += u64::from(is_full);
            return !is_full;
        }
        if authors.len() < AUTHORS_MAX {
            return true;
        }
        let preference = (!is_silent, aged.announcement.summary().alive);
        let least_preferred = authors
            .iter()
            .min_by_key(|(_, stored)| stored.preference(now))
            .filter(|(_, stored)| stored.preference(now) < preference)
            .map(|(id, _)| (*id).clone());
        let Some(least_preferred) = least_preferred else {
            self.dropped.over_capacity += 1;
            return false;
        };
        self.remove_author(now, least_preferred);
        true
    }
}

/// Combines the announcements of the authors of one region. Of the live authors it selects the one
/// with the most live members, so that the selection does not alternate between the parts of a
/// partitioned region. Replaced authors are left out unless all live ones are replaced.
fn combine(authors: &[&StoredAnnouncement], now: Nanos) -> Option<CombinedSummary> {
    let is_live = |stored: &&StoredAnnouncement| !stored.is_silent(now);
    let mut live: Vec<&StoredAnnouncement> = authors.iter().copied().filter(is_live).collect();
    if live.iter().any(|stored| !stored.is_replaced()) {
        live.retain(|stored| !stored.is_replaced());
    }
    let is_region_silent = live.is_empty();
    let considered = if is_region_silent { authors } else { &live };
    let chosen = if is_region_silent {
        considered.iter().max_by_key(|stored| stored.last_alive)?
    } else {
        considered
            .iter()
            .max_by_key(|stored| (stored.summary().alive, stored.announcement.version))?
    };
    let places = considered
        .iter()
        .map(|stored| stored.summary().places)
        .max()?;
    Some(CombinedSummary {
        summary: chosen.summary().clone(),
        version: chosen.announcement.version,
        places,
        authors: live.len(),
        silent_since: is_region_silent.then_some(chosen.last_alive),
    })
}
