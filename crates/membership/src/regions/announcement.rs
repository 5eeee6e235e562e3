//! Announcements: what a region publishes to the others. Summaries are the only payload so far.

use super::{CLOCK_SKEW_MAX_MS, DELEGATES, REGION_PLACES_MAX};
use crate::anti_entropy::address_bytes;
use crate::location::LOCATION_NAME_MAX;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// What a region publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// Live members.
    pub alive: u32,
    /// The share count within the region.
    pub places: u32,
    /// The checksum of the configuration that most members have.
    pub config_checksum: u64,
    /// How many members have another configuration.
    pub config_minority: u32,
    /// Requests that the region accepts a second, in tenths.
    pub request_rate_tenths: u32,
    /// The delegates, the leader first.
    pub delegates: Vec<SocketAddr>,
    /// The former leader, if the author took its place: its announcement counts no more unless it
    /// proves to be alive.
    pub replaces: Option<SocketAddr>,
}

impl RegionSummary {
    /// Whether all figures are within their bounds.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.alive <= self.places
            && (1..=REGION_PLACES_MAX).contains(&self.places)
            && self.config_minority <= self.alive
            && self.delegates.len() <= DELEGATES
    }

    /// Whether another summary is equal in all that other regions should learn soon.
    #[must_use]
    pub fn is_equivalent(&self, other: &RegionSummary) -> bool {
        self.alive == other.alive
            && self.places == other.places
            && self.config_checksum == other.config_checksum
            && self.config_minority == other.config_minority
            && self.delegates == other.delegates
    }
}

/// The content of an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnnouncementPayload {
    /// The summary of a region.
    Summary(RegionSummary),
}

/// A hash that stands for the region and author of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AnnouncementKey(pub(crate) u32);

impl AnnouncementKey {
    pub(crate) fn of(announcement: &Announcement) -> Self {
        let mut bytes = announcement.region.clone().into_bytes();
        bytes.extend(address_bytes(announcement.author));
        AnnouncementKey(xxh3_64(&bytes) as u32)
    }
}

/// What one author publishes of its region; the higher version of an author supersedes the lower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The region.
    pub region: String,
    /// The member that wrote it.
    pub author: SocketAddr,
    /// Unix time in milliseconds at the author, and greater than any version before.
    pub version: u64,
    /// The content.
    pub payload: AnnouncementPayload,
}

impl Announcement {
    /// Whether the name and all figures are within their bounds; `unix_ms` is the time now.
    #[must_use]
    pub fn is_sound(&self, unix_ms: u64) -> bool {
        (1..=LOCATION_NAME_MAX).contains(&self.region.len())
            && self.version <= unix_ms + CLOCK_SKEW_MAX_MS
            && self.summary().is_sound()
    }

    /// The summary that it carries.
    #[must_use]
    pub fn summary(&self) -> &RegionSummary {
        let AnnouncementPayload::Summary(summary) = &self.payload;
        summary
    }
}
