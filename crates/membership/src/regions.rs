//! Federation: the upper level of a fleet with regions.
//!
//! Within a region the members track each other with SWIM, as in a fleet without regions. Between
//! regions a few [`delegates`] of each exchange [`announcement`]s by anti-entropy ([`exchange`])
//! and store them ([`announcement_store`]). The first delegate, the leader, combines them into an
//! [`overview`], which is gossiped within its region. The cost of a member therefore depends on the
//! size of its region and the number of regions, and not on the size of the fleet. The share count
//! is the sum over the regions ([`share_count`]).

pub mod announcement;
pub mod announcement_store;
pub mod delegates;
pub mod exchange;
pub mod overview;
pub mod share_count;

pub use announcement::{Announcement, AnnouncementPayload, RegionSummary};

use crate::{MS, Nanos};

/// Number of delegates of a region.
pub const DELEGATE_COUNT: usize = 3;
/// Maximum number of stored regions; announcements of further regions are dropped and counted.
pub const REGIONS_MAX: usize = 64;
/// Maximum number of places of a region: twice the maximum number of its members.
pub const REGION_PLACES_MAX: u32 = 8_192;
/// Maximum lead of a version over the local clock, in milliseconds. Versions beyond it are dropped,
/// because one wrong clock would otherwise supersede all other versions for years.
pub const CLOCK_SKEW_MAX_MS: u64 = 600_000;
/// Time without a new heartbeat after which an author counts as silent.
pub const SILENT_AFTER: Nanos = 5_000 * MS;

const SECOND: Nanos = 1_000 * MS;

/// Returns the whole seconds from `since` to `now`.
pub(crate) fn elapsed_seconds(now: Nanos, since: Nanos) -> u32 {
    u32::try_from(now.saturating_sub(since) / SECOND).unwrap_or(u32::MAX)
}

/// Returns the time `seconds` before `now`.
pub(crate) fn seconds_ago(now: Nanos, seconds: u32) -> Nanos {
    now.saturating_sub(Nanos::from(seconds) * SECOND)
}
