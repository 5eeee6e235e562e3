//! Anti-entropy between the delegates of all regions.
//!
//! The digest lists the version and heartbeats of each announcement that the sender stores. The
//! delta contains what the sender of the digest lacks, and requests what the replying delegate
//! lacks.

use super::announcement::{Announcement, AnnouncementKey};
use super::announcement_store::{AnnouncementId, AnnouncementStore, StoredAnnouncement};
use super::seconds_ago;
use crate::Nanos;
use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::payload::{PayloadBudget, encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most versions in one digest, as many as fit into a datagram.
const DIGEST_VERSIONS_MAX: usize = 64;
/// Bytes for the names and the list lengths of a message.
const MESSAGE_HEADER_MAX: usize = 40;

/// The state in which one delegate stores an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementVersion {
    pub(super) key: u32,
    pub(super) version: u64,
    pub(super) heartbeats: u32,
    /// Seconds since the author's last new heartbeat.
    pub(super) age_seconds: u32,
}

/// An announcement with the liveness of its author.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedAnnouncement {
    /// The announcement.
    pub announcement: Announcement,
    pub(super) heartbeats: u32,
    pub(super) age_seconds: u32,
}

impl AgedAnnouncement {
    /// An announcement that its author has just made.
    #[must_use]
    pub fn new(announcement: Announcement) -> Self {
        AgedAnnouncement {
            announcement,
            heartbeats: 0,
            age_seconds: 0,
        }
    }

    /// Encodes announcements as the payload of a datagram.
    #[must_use]
    pub fn encode(announcements: &[AgedAnnouncement]) -> Vec<u8> {
        encode(announcements)
    }

    /// When its author was last known to be alive.
    pub(super) fn last_heard(&self, now: Nanos) -> Nanos {
        seconds_ago(now, self.age_seconds)
    }
}

/// Who sends a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestSender {
    /// A delegate of its region.
    Delegate,
    /// A member that looks for its region; nothing is requested of it.
    Newcomer,
}

/// The versions of the announcements that the sender stores.
#[derive(Debug, Serialize, Deserialize)]
pub struct RegionDigest {
    /// The sender's region.
    pub region: String,
    /// Whether the sender is a delegate of its region; of others no announcement is requested.
    pub from_delegate: bool,
    /// Whether all stored announcements are listed.
    complete: bool,
    versions: Vec<AnnouncementVersion>,
}

/// What the sender of a digest lacks, and what the replying delegate lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct RegionDelta {
    /// The region of the replying delegate.
    pub region: String,
    /// Later heartbeats of announcements that both store in the same version.
    versions: Vec<AnnouncementVersion>,
    /// Announcements that are newer than the sender's.
    pub announcements: Vec<AgedAnnouncement>,
    /// Keys of the announcements that are requested.
    requested: Vec<u32>,
}

/// What became of a delta.
#[derive(Debug, Default)]
pub struct MergedDelta {
    /// Announcements that the replying delegate requested.
    pub requested: Vec<AgedAnnouncement>,
    /// Announcements that are new here.
    pub new: Vec<AgedAnnouncement>,
}

impl AnnouncementStore {
    /// The digest of what is stored. `first` picks the first version where not all fit.
    #[must_use]
    pub fn digest(&self, now: Nanos, sender: DigestSender, first: usize) -> RegionDigest {
        let all: Vec<&StoredAnnouncement> = self.stored.values().collect();
        let order = (0..all.len().min(DIGEST_VERSIONS_MAX)).map(|n| (n + first) % all.len());
        RegionDigest {
            region: self.region.clone(),
            from_delegate: sender == DigestSender::Delegate,
            complete: all.len() <= DIGEST_VERSIONS_MAX,
            versions: order.map(|n| all[n].version(now)).collect(),
        }
    }

    fn ids_by_key(&self) -> BTreeMap<u32, AnnouncementId> {
        let key = |stored: &StoredAnnouncement| AnnouncementKey::of(&stored.announcement).0;
        self.stored
            .iter()
            .map(|(id, stored)| (key(stored), id.clone()))
            .collect()
    }

    /// Answers a digest, as far as a datagram holds it.
    pub fn delta(&mut self, now: Nanos, digest: &RegionDigest) -> RegionDelta {
        let mut delta = RegionDelta {
            region: self.region.clone(),
            versions: Vec::new(),
            announcements: Vec::new(),
            requested: Vec::new(),
        };
        if is_injected(InjectedFault::SkipsRegionAntiEntropy) {
            return delta;
        }
        let mut budget = PayloadBudget::new(PAYLOAD_MAX - MESSAGE_HEADER_MAX);
        let ids = self.ids_by_key();
        let mut listed = BTreeSet::new();
        for theirs in digest.versions.iter().take(DIGEST_VERSIONS_MAX) {
            listed.insert(theirs.key);
            let stored = ids.get(&theirs.key).and_then(|id| self.stored.get_mut(id));
            let Some(stored) = stored else {
                if digest.from_delegate {
                    budget.push(&mut delta.requested, theirs.key);
                }
                continue;
            };
            let version = stored.announcement.version;
            if theirs.version > version && digest.from_delegate {
                budget.push(&mut delta.requested, theirs.key);
            } else if theirs.version == version && theirs.heartbeats >= stored.heartbeats {
                stored.record_heartbeats(now, theirs.heartbeats, theirs.age_seconds);
            } else if theirs.version == version {
                budget.push(&mut delta.versions, stored.version(now));
            } else if theirs.version < version {
                budget.push(&mut delta.announcements, stored.aged(now));
            }
        }
        if digest.complete {
            let unlisted = ids.iter().filter(|(key, _)| !listed.contains(key));
            for stored in unlisted.filter_map(|(_, id)| self.stored.get(id)) {
                budget.push(&mut delta.announcements, stored.aged(now));
            }
        }
        delta
    }

    /// Merges a delta.
    pub fn merge_delta(&mut self, now: Nanos, unix_ms: u64, delta: &RegionDelta) -> MergedDelta {
        let ids = self.ids_by_key();
        for theirs in &delta.versions {
            if let Some(stored) = ids.get(&theirs.key).and_then(|id| self.stored.get_mut(id))
                && theirs.version == stored.announcement.version
            {
                stored.record_heartbeats(now, theirs.heartbeats, theirs.age_seconds);
            }
        }
        let new = self.merge(now, unix_ms, &delta.announcements);
        let mut budget = PayloadBudget::new(PAYLOAD_MAX - MESSAGE_HEADER_MAX);
        let mut requested = Vec::new();
        let requested_ids = delta.requested.iter().filter_map(|key| ids.get(key));
        for stored in requested_ids.filter_map(|id| self.stored.get(id)) {
            budget.push(&mut requested, stored.aged(now));
        }
        MergedDelta { requested, new }
    }
}
