//! Announcements that a region publishes to the other regions. Their only payload so far is a
//! summary.

use super::{CLOCK_SKEW_MAX_MS, DELEGATE_COUNT, REGION_PLACES_MAX};
use crate::anti_entropy::address_bytes;
use crate::location::LOCATION_NAME_MAX;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Summary that a region publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// Number of live members.
    pub alive: u32,
    /// Share count within the region.
    pub places: u32,
    /// Checksum of the most common configuration.
    pub config_checksum: u64,
    /// Number of members with another configuration.
    pub config_minority: u32,
    /// Rate of requests that the region accepts, in tenths of a request per second.
    pub request_rate_tenths: u32,
    /// Delegates, the leader first.
    pub delegates: Vec<SocketAddr>,
    /// Previous leader, if the author replaced it. The announcement of the previous leader is
    /// ignored from then on, unless its heartbeats show that it is alive.
    pub replaces: Option<SocketAddr>,
}

impl RegionSummary {
    /// Returns whether all values are within their limits.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.alive <= self.places
            && (1..=REGION_PLACES_MAX).contains(&self.places)
            && self.config_minority <= self.alive
            && self.delegates.len() <= DELEGATE_COUNT
    }

    /// Returns whether another summary is equal in all values whose changes are announced
    /// immediately, that is, all but the request rate.
    #[must_use]
    pub fn is_equivalent(&self, other: &RegionSummary) -> bool {
        self.alive == other.alive
            && self.places == other.places
            && self.config_checksum == other.config_checksum
            && self.config_minority == other.config_minority
            && self.delegates == other.delegates
    }
}

/// Payload of an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnnouncementPayload {
    /// Summary of a region.
    Summary(RegionSummary),
}

/// Hash of the region and author of an announcement, which identifies it in digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AnnouncementKey(pub(crate) u32);

impl AnnouncementKey {
    pub(crate) fn from_announcement(announcement: &Announcement) -> Self {
        let mut bytes = announcement.region.clone().into_bytes();
        bytes.extend(address_bytes(announcement.author));
        AnnouncementKey(xxh3_64(&bytes) as u32)
    }
}

/// Versioned announcement of one author about its region; the higher version of an author
/// supersedes the lower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Region that the announcement is about.
    pub region: String,
    /// Address of the member that wrote it.
    pub author: SocketAddr,
    /// Unix time in milliseconds at the author, raised if necessary above every earlier version.
    pub version: u64,
    /// Content of the announcement.
    pub payload: AnnouncementPayload,
}

impl Announcement {
    /// Returns whether the name and all values are within their limits; `unix_ms` is the current
    /// time.
    #[must_use]
    pub fn is_valid(&self, unix_ms: u64) -> bool {
        (1..=LOCATION_NAME_MAX).contains(&self.region.len())
            && self.version <= unix_ms + CLOCK_SKEW_MAX_MS
            && self.summary().is_valid()
    }

    /// Returns the summary in the payload.
    #[must_use]
    pub fn summary(&self) -> &RegionSummary {
        let AnnouncementPayload::Summary(summary) = &self.payload;
        summary
    }
}
