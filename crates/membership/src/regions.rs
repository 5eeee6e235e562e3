//! Federation: the upper level of a fleet with regions.
//!
//! Within a region the members know each other by SWIM, as in a fleet without regions. Between
//! regions a few [`delegates`] of each exchange [`announcement`]s by anti-entropy ([`exchange`])
//! and store them ([`announcement_store`]). The first delegate, the leader, writes what they know
//! into an [`overview`], which is gossiped within its region. So a member's cost follows the size
//! of its region and the number of regions, and not the size of the fleet. The share count is
//! summed over the regions ([`share_count`]).

pub mod announcement;
pub mod announcement_store;
pub mod delegates;
pub mod exchange;
pub mod overview;
pub mod share_count;

pub use announcement::{Announcement, AnnouncementPayload, RegionSummary};

use crate::{MS, Nanos};

/// How many members of a region are its delegates.
pub const DELEGATES: usize = 3;
/// The most regions that are stored; announcements of others are dropped and counted.
pub const REGIONS_MAX: usize = 64;
/// The most places of a region: twice the members that one may have.
pub const REGION_PLACES_MAX: u32 = 8_192;
/// Versions further in the future of the own clock are dropped: one wrong clock would otherwise
/// supersede all others for years.
pub const CLOCK_SKEW_MAX_MS: u64 = 600_000;
/// An author is silent after this long without a new heartbeat of it.
pub const SILENT_AFTER: Nanos = 5_000 * MS;

const SECOND: Nanos = 1_000 * MS;

/// Whole seconds from one time to another.
pub(crate) fn elapsed_seconds(now: Nanos, since: Nanos) -> u32 {
    u32::try_from(now.saturating_sub(since) / SECOND).unwrap_or(u32::MAX)
}

/// The time so many seconds ago.
pub(crate) fn seconds_ago(now: Nanos, seconds: u32) -> Nanos {
    now.saturating_sub(Nanos::from(seconds) * SECOND)
}
