//! Anti-entropy between the delegates of all regions.
//!
//! The digest lists the version and heartbeat counter of each announcement that the sender stores.
//! The delta contains the announcements that the sender of the digest lacks, and requests those
//! that the replying delegate lacks.

use super::announcement::{Announcement, AnnouncementKey};
use super::announcement_store::{AnnouncementId, AnnouncementStore, StoredAnnouncement};
use super::seconds_ago;
use crate::Nanos;
use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::payload::{PayloadBudget, encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of versions in one digest; this many fit into a datagram.
const DIGEST_VERSIONS_MAX: usize = 64;
/// Bytes reserved for the names and the list lengths of a message.
const MESSAGE_HEADER_MAX: usize = 40;

/// Version and heartbeats of an announcement that one delegate stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementVersion {
    pub(super) key: u32,
    pub(super) version: u64,
    pub(super) heartbeats: u32,
    /// Seconds since the author's last new heartbeat.
    pub(super) age_seconds: u32,
}

/// An announcement with the heartbeats of its author.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedAnnouncement {
    /// The announcement itself.
    pub announcement: Announcement,
    pub(super) heartbeats: u32,
    pub(super) age_seconds: u32,
}

impl AgedAnnouncement {
    /// Returns an announcement that its author has just made.
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

    /// Returns the time at which the author was last known to be alive.
    pub(super) fn last_alive(&self, now: Nanos) -> Nanos {
        seconds_ago(now, self.age_seconds)
    }
}

/// Role of the sender of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestSender {
    /// A delegate of its region.
    Delegate,
    /// A member that is searching for its region; no announcements are requested from it.
    JoiningMember,
}

/// Digest of the announcements that the sender stores.
#[derive(Debug, Serialize, Deserialize)]
pub struct RegionDigest {
    /// Region of the sender.
    pub region: String,
    /// Whether the sender is a delegate of its region; announcements are requested only from
    /// delegates.
    pub from_delegate: bool,
    /// Whether the digest lists all announcements that the sender stores.
    complete: bool,
    versions: Vec<AnnouncementVersion>,
}

/// Answer to a digest: the announcements that the sender of the digest lacks, and requests for
/// those that the replying delegate lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct RegionDelta {
    /// Region of the replying delegate.
    pub region: String,
    /// Later heartbeats of announcements that both store in the same version.
    versions: Vec<AnnouncementVersion>,
    /// Announcements that are newer than those of the digest's sender, or that it lacks.
    pub announcements: Vec<AgedAnnouncement>,
    /// Keys of the requested announcements.
    requested: Vec<u32>,
}

/// Result of merging a delta.
#[derive(Debug, Default)]
pub struct MergedDelta {
    /// Announcements that the replying delegate requested.
    pub requested: Vec<AgedAnnouncement>,
    /// Announcements that were new to this store.
    pub new: Vec<AgedAnnouncement>,
}

impl AnnouncementStore {
    /// Returns the digest of the stored announcements. If not all versions fit, `first` selects the
    /// first one.
    #[must_use]
    pub fn digest(&self, now: Nanos, sender: DigestSender, first: usize) -> RegionDigest {
        let stored: Vec<&StoredAnnouncement> = self.stored.values().collect();
        let order = (0..stored.len().min(DIGEST_VERSIONS_MAX))
            .map(|offset| (first + offset) % stored.len());
        RegionDigest {
            region: self.region.clone(),
            from_delegate: sender == DigestSender::Delegate,
            complete: stored.len() <= DIGEST_VERSIONS_MAX,
            versions: order.map(|index| stored[index].version(now)).collect(),
        }
    }

    fn ids_by_key(&self) -> BTreeMap<u32, AnnouncementId> {
        let key = |stored: &StoredAnnouncement| {
            AnnouncementKey::from_announcement(&stored.announcement).0
        };
        self.stored
            .iter()
            .map(|(id, stored)| (key(stored), id.clone()))
            .collect()
    }

    /// Returns the answer to a digest, with as many entries as fit into a datagram.
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
        for received in digest.versions.iter().take(DIGEST_VERSIONS_MAX) {
            listed.insert(received.key);
            let stored = ids
                .get(&received.key)
                .and_then(|id| self.stored.get_mut(id));
            let Some(stored) = stored else {
                if digest.from_delegate {
                    budget.push(&mut delta.requested, received.key);
                }
                continue;
            };
            let version = stored.announcement.version;
            if received.version > version && digest.from_delegate {
                budget.push(&mut delta.requested, received.key);
            } else if received.version == version && received.heartbeats >= stored.heartbeats {
                stored.record_heartbeats(now, received.heartbeats, received.age_seconds);
            } else if received.version == version {
                budget.push(&mut delta.versions, stored.version(now));
            } else if received.version < version {
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

    /// Merges a delta. Returns the announcements that it requests and those that were new.
    pub fn merge_delta(&mut self, now: Nanos, unix_ms: u64, delta: &RegionDelta) -> MergedDelta {
        let ids = self.ids_by_key();
        for received in &delta.versions {
            if let Some(stored) = ids
                .get(&received.key)
                .and_then(|id| self.stored.get_mut(id))
                && received.version == stored.announcement.version
            {
                stored.record_heartbeats(now, received.heartbeats, received.age_seconds);
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
