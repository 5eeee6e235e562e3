//! The announcements that one delegate stores: the latest of each author, with proof that the
//! author is alive.
//!
//! An author counts up heartbeats, by which a region whose figures do not change is told from one
//! that is silent.

use super::announcement::{Announcement, AnnouncementKey, AnnouncementPayload, RegionSummary};
use super::exchange::{AgedAnnouncement, AnnouncementVersion};
use super::{REGIONS_MAX, SILENT_AFTER, elapsed_seconds, seconds_ago};
use crate::fault_injection::{InjectedFault, is_injected};
use crate::{MS, Nanos};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The most authors of one region; in a partitioned region each part has one.
const AUTHORS_MAX: usize = 4;
/// The most tombstones of authors.
const TOMBSTONES_MAX: usize = REGIONS_MAX * AUTHORS_MAX;
/// How often an author counts up its heartbeats.
const HEARTBEAT_INTERVAL: Nanos = 1_000 * MS;
/// Heartbeats of a replaced author that may still have been on their way.
const LATE_HEARTBEATS: u32 = 3;

/// Announcements that were dropped, counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DroppedAnnouncements {
    /// Beyond a bound: figures, names, a version from the future.
    #[serde(rename = "unsound")]
    pub invalid: u64,
    /// An older version of the same author.
    pub outdated: u64,
    /// Of more regions or authors than are stored.
    pub over_capacity: u64,
}

/// The region and the author of an announcement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AnnouncementId {
    pub(super) region: String,
    pub(super) author: SocketAddr,
}

impl AnnouncementId {
    fn of(announcement: &Announcement) -> Self {
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
    last_heard: Nanos,
    /// The heartbeats at which another author claimed to have replaced this one.
    replaced_at: Option<u32>,
}

impl StoredAnnouncement {
    fn summary(&self) -> &RegionSummary {
        self.announcement.summary()
    }

    pub(super) fn version(&self, now: Nanos) -> AnnouncementVersion {
        AnnouncementVersion {
            key: AnnouncementKey::of(&self.announcement).0,
            version: self.announcement.version,
            heartbeats: self.heartbeats,
            age_seconds: elapsed_seconds(now, self.last_heard),
        }
    }

    pub(super) fn aged(&self, now: Nanos) -> AgedAnnouncement {
        AgedAnnouncement {
            announcement: self.announcement.clone(),
            heartbeats: self.heartbeats,
            age_seconds: elapsed_seconds(now, self.last_heard),
        }
    }

    /// Notes a report of the author's heartbeats, if it is a later one.
    pub(super) fn record_heartbeats(&mut self, now: Nanos, heartbeats: u32, age_seconds: u32) {
        if heartbeats > self.heartbeats {
            self.heartbeats = heartbeats;
            self.last_heard = self.last_heard.max(seconds_ago(now, age_seconds));
        }
    }

    fn is_silent(&self, now: Nanos) -> bool {
        now.saturating_sub(self.last_heard) >= SILENT_AFTER
    }

    /// Whether another author replaced it and it has not proved to be alive since.
    fn is_replaced(&self) -> bool {
        self.replaced_at
            .is_some_and(|heartbeats| self.heartbeats <= heartbeats + LATE_HEARTBEATS)
    }

    /// The preference among the authors of a region: live ones, then those with the most live
    /// members.
    fn preference(&self, now: Nanos) -> (bool, u32) {
        (!self.is_silent(now), self.summary().alive)
    }
}

/// The last state of an author that was forgotten. Others may still send its announcement, which
/// would otherwise circulate for ever.
#[derive(Clone, Copy, Debug)]
struct AuthorTombstone {
    version: u64,
    heartbeats: u32,
    at: Nanos,
}

/// What a delegate knows of one region, from all its authors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionKnowledge {
    /// The summary that counts.
    pub summary: RegionSummary,
    /// Its version.
    pub version: u64,
    /// The most places that a live author publishes: each part of a partitioned region may publish
    /// fewer.
    pub places: u32,
    /// Live authors; more than one where a region is partitioned.
    pub authors: usize,
    /// When the region was last heard, if it is silent.
    pub silent_since: Option<Nanos>,
}

/// The announcements that one delegate stores.
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
    /// An empty store of a member of this region. Authors that were silent for
    /// `tombstone_retention` are forgotten.
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

    /// The announcements dropped so far.
    #[must_use]
    pub fn dropped(&self) -> DroppedAnnouncements {
        self.dropped
    }

    /// The number of stored announcements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.stored.len()
    }

    /// Whether no announcement is stored.
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

    /// The summary that this member last published.
    #[must_use]
    pub fn own_summary(&self) -> Option<&RegionSummary> {
        self.stored
            .get(&self.own_id())
            .map(StoredAnnouncement::summary)
    }

    /// Publishes a summary of the own region, by a version above any that is known of this author.
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
            last_heard: now,
            replaced_at: None,
        };
        let announcement = stored.aged(now);
        self.stored.insert(id, stored);
        announcement
    }

    /// Withdraws the own announcement: another member leads.
    pub fn withdraw(&mut self) {
        self.stored.remove(&self.own_id());
    }

    /// Counts up the own heartbeats, and forgets authors that are gone.
    pub fn tick(&mut self, now: Nanos) {
        let own_id = self.own_id();
        if let Some(own) = self.stored.get_mut(&own_id) {
            own.last_heard = now;
            if now >= self.next_heartbeat {
                self.next_heartbeat = now + HEARTBEAT_INTERVAL;
                own.heartbeats += 1;
            }
        }
        for id in self.expired(now) {
            self.forget_author(now, id);
        }
        let retention = self.tombstone_retention;
        self.tombstones
            .retain(|_, tombstone| now.saturating_sub(tombstone.at) < retention);
    }

    /// Authors that are silent while their region has a live one, or for longer than the retention.
    fn expired(&self, now: Nanos) -> Vec<AnnouncementId> {
        let live_regions: BTreeSet<&String> = self
            .stored
            .iter()
            .filter(|(_, stored)| !stored.is_silent(now))
            .map(|(id, _)| &id.region)
            .collect();
        let is_expired = |id: &AnnouncementId, stored: &StoredAnnouncement| {
            let superseded = stored.is_silent(now) && live_regions.contains(&id.region);
            superseded || now.saturating_sub(stored.last_heard) >= self.tombstone_retention
        };
        self.stored
            .iter()
            .filter(|(id, stored)| is_expired(id, stored))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn forget_author(&mut self, now: Nanos, id: AnnouncementId) {
        let Some(stored) = self.stored.remove(&id) else {
            return;
        };
        if self.tombstones.len() >= TOMBSTONES_MAX {
            let oldest = self
                .tombstones
                .iter()
                .min_by_key(|(_, tombstone)| tombstone.at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.tombstones.remove(&oldest);
            }
        }
        let tombstone = AuthorTombstone {
            version: stored.announcement.version,
            heartbeats: stored.heartbeats,
            at: now,
        };
        self.tombstones.insert(id, tombstone);
    }

    /// What is known of the other regions.
    #[must_use]
    pub fn regions(&self, now: Nanos) -> BTreeMap<&str, RegionKnowledge> {
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

    /// The delegates by all authors, by region, the own region's included.
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

    /// Merges announcements; returns those that are new here.
    pub fn merge(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        announcements: &[AgedAnnouncement],
    ) -> Vec<AgedAnnouncement> {
        let is_new = |aged: &&AgedAnnouncement| self.merge_one(now, unix_ms, aged);
        announcements.iter().filter(is_new).cloned().collect()
    }

    /// Whether the announcement is new here.
    fn merge_one(&mut self, now: Nanos, unix_ms: u64, aged: &AgedAnnouncement) -> bool {
        let announcement = &aged.announcement;
        if !announcement.is_sound(unix_ms)
            && !is_injected(InjectedFault::AcceptsInvalidAnnouncements)
        {
            self.dropped.invalid += 1;
            return false;
        }
        let id = AnnouncementId::of(announcement);
        if id == self.own_id() {
            self.pass_own_version(announcement.version);
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
        } else if self.is_forgotten(&id, aged) || !self.make_room(&id, aged, now) {
            return false;
        }
        self.replace(now, id, aged);
        true
    }

    /// The own announcement is only written by this member. A former process of it may have
    /// published a later time, above which the next version has to be.
    fn pass_own_version(&mut self, version: u64) {
        let id = self.own_id();
        if let Some(own) = self.stored.get_mut(&id)
            && own.announcement.version < version
        {
            own.announcement.version = version + 1;
        }
    }

    /// Stores an announcement in place of the author's former one, and notes whom its author
    /// replaced.
    fn replace(&mut self, now: Nanos, id: AnnouncementId, aged: &AgedAnnouncement) {
        self.tombstones.remove(&id);
        let former = self.stored.get(&id);
        let former_claim = former.and_then(|stored| stored.summary().replaces);
        let stored = StoredAnnouncement {
            announcement: aged.announcement.clone(),
            heartbeats: aged.heartbeats,
            last_heard: aged.last_heard(now),
            replaced_at: former.and_then(|stored| stored.replaced_at),
        };
        let replaced_author = stored
            .summary()
            .replaces
            .filter(|author| *author != id.author && Some(*author) != former_claim);
        let region = id.region.clone();
        self.stored.insert(id, stored);
        // Only a new claim counts: each part of a partitioned region keeps claiming to replace the
        // other's leader.
        if let Some(author) = replaced_author
            && let Some(replaced) = self.stored.get_mut(&AnnouncementId { region, author })
        {
            replaced.replaced_at = Some(replaced.heartbeats);
        }
    }

    /// Whether the announcement is no later than the author's tombstone.
    fn is_forgotten(&self, id: &AnnouncementId, aged: &AgedAnnouncement) -> bool {
        self.tombstones.get(id).is_some_and(|tombstone| {
            (aged.announcement.version, aged.heartbeats)
                <= (tombstone.version, tombstone.heartbeats)
        })
    }

    /// Whether there is room for one more author, for which a less preferred one of its region may
    /// be forgotten. A silent author gets none while its region has a live one.
    fn make_room(&mut self, id: &AnnouncementId, aged: &AgedAnnouncement, now: Nanos) -> bool {
        let silence = now.saturating_sub(aged.last_heard(now));
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
        let least = authors
            .iter()
            .min_by_key(|(_, stored)| stored.preference(now))
            .filter(|(_, stored)| stored.preference(now) < preference)
            .map(|(id, _)| (*id).clone());
        let Some(least) = least else {
            self.dropped.over_capacity += 1;
            return false;
        };
        self.forget_author(now, least);
        true
    }
}

/// What the authors of one region say together: the summary of the one with the most live members,
/// which in a partitioned region is the same one each time.
fn combine(authors: &[&StoredAnnouncement], now: Nanos) -> Option<RegionKnowledge> {
    let is_live = |stored: &&StoredAnnouncement| !stored.is_silent(now);
    let mut live: Vec<&StoredAnnouncement> = authors.iter().copied().filter(is_live).collect();
    if live.iter().any(|stored| !stored.is_replaced()) {
        live.retain(|stored| !stored.is_replaced());
    }
    let is_region_silent = live.is_empty();
    let considered = if is_region_silent { authors } else { &live };
    let chosen = if is_region_silent {
        considered.iter().max_by_key(|stored| stored.last_heard)?
    } else {
        considered
            .iter()
            .max_by_key(|stored| (stored.summary().alive, stored.announcement.version))?
    };
    let places = considered
        .iter()
        .map(|stored| stored.summary().places)
        .max()?;
    Some(RegionKnowledge {
        summary: chosen.summary().clone(),
        version: chosen.announcement.version,
        places,
        authors: live.len(),
        silent_since: is_region_silent.then_some(chosen.last_heard),
    })
}
