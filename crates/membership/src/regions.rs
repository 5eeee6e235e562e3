//! The upper level of a fleet in regions.
//!
//! Within a region the members know each other by SWIM, as in a fleet without regions. Between regions a few
//! [`delegates`] of each exchange announcements ([`exchange`]); what they hold of other regions the first of them, the
//! leader, spreads in its own region as an [`overview`]. So a member's cost follows the size of its region and the number
//! of regions, and not the size of the fleet. By how many shares are divided is summed over the regions ([`share_count`]).
//!
//! An announcement carries a [`AnnouncementPayload`]. Summaries are the only one yet; configuration or purges can travel as others.

pub mod delegates;
pub mod exchange;
pub mod overview;
pub mod share_count;

use crate::anti_entropy::bytes_of;
use crate::location::LOCATION_NAME_MAX;
use crate::{MS, Nanos};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// How many members of a region speak for it.
pub const DELEGATES: usize = 3;
/// The most regions that are held; announcements of others are dropped and counted.
pub const REGIONS_MAX: usize = 64;
/// The most places that a region may tell of: twice the members that one may hold.
pub const REGION_PLACES_MAX: u32 = 8_192;
/// A version that lies further in the future by the own clock is dropped: a clock that is wrong by years would silence
/// all that come after it.
pub const CLOCK_SKEW_MAX_MS: u64 = 600_000;
/// A delegate that has heard nothing new of an author for this long takes it for silent.
pub const SILENT_AFTER: Nanos = 5_000 * MS;

/// What a region tells the others of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// Members that are there.
    pub alive: u32,
    /// Members that count: by how many shares are divided within the region.
    pub places: u32,
    /// The checksum of the configuration that most members have.
    pub config_checksum: u64,
    /// How many members have another one.
    pub config_minority: u32,
    /// Requests that the region takes a second, in tenths.
    pub request_rate_tenths: u32,
    /// Who speaks for it, first the leader.
    pub delegates: Vec<SocketAddr>,
    /// Who led before, if the author took its place: its word counts no more unless it shows that it lives.
    pub replaces: Option<SocketAddr>,
}

impl RegionSummary {
    /// Whether its figures are within their bounds.
    pub fn is_sound(&self) -> bool {
        self.alive <= self.places
            && (1..=REGION_PLACES_MAX).contains(&self.places)
            && self.config_minority <= self.alive
            && self.delegates.len() <= DELEGATES
    }

    /// Whether another says the same of what all should know soon.
    pub fn says_the_same(&self, other: &RegionSummary) -> bool {
        let facts = |s: &RegionSummary| (s.alive, s.places, s.config_checksum, s.config_minority);
        facts(self) == facts(other) && self.delegates == other.delegates
    }
}

/// What an announcement carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnnouncementPayload {
    /// What a region tells of itself.
    Summary(RegionSummary),
}

/// A short stand-in for the region and author of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AnnouncementKey(pub(crate) u32);

impl AnnouncementKey {
    pub(crate) fn of(announcement: &Announcement) -> Self {
        let mut bytes = announcement.region.clone().into_bytes();
        bytes.extend(bytes_of(announcement.author));
        AnnouncementKey(xxh3_64(&bytes) as u32)
    }
}

/// One region's word on one matter, by one author; the higher version of an author replaces the lower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The region that it is about.
    pub region: String,
    /// Who made it.
    pub author: SocketAddr,
    /// Unix time in milliseconds at the author, and more than any version before.
    pub version: u64,
    /// What it says.
    pub payload: AnnouncementPayload,
}

impl Announcement {
    /// Whether its names and figures are within their bounds; `unix_ms` is the time now.
    pub fn is_sound(&self, unix_ms: u64) -> bool {
        let named = (1..=LOCATION_NAME_MAX).contains(&self.region.len());
        let AnnouncementPayload::Summary(summary) = &self.payload;
        named && self.version <= unix_ms + CLOCK_SKEW_MAX_MS && summary.is_sound()
    }

    /// The summary, where it carries one.
    pub fn summary(&self) -> &RegionSummary {
        let AnnouncementPayload::Summary(summary) = &self.payload;
        summary
    }
}

/// Appends an item to a message if it fits into the room that is left; whether it did.
fn add<T: Serialize>(list: &mut Vec<T>, item: T, room: &mut usize) -> bool {
    let length = postcard::to_stdvec(&item).map_or(usize::MAX, |bytes| bytes.len());
    let fits = length <= *room;
    if fits {
        *room -= length;
        list.push(item);
    }
    fits
}
