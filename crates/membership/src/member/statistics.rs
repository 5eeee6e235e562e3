//! Counts of what a member sends and reads.

use serde::Serialize;

/// Datagrams, as counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[allow(missing_docs)]
pub struct MemberStatistics {
    /// Sent, and their bytes.
    pub sent: u64,
    pub sent_bytes: u64,
    /// Read, and their bytes.
    pub heard: u64,
    pub heard_bytes: u64,
    /// Dropped: not of this protocol, torn, too long.
    pub torn: u64,
    /// Dropped: of another fleet.
    pub foreign: u64,
    /// Dropped: of another version of the format.
    pub version: u64,
    /// Dropped: whole, yet not to be understood, or in this member's own name.
    pub malformed: u64,
    /// Dropped: they would have brought more members than are held.
    pub full: u64,
    /// Questions to suspects.
    pub asked: u64,
    /// Questions whether another holds the same.
    pub compared: u64,
    /// Rumours and comparisons put off for want of bytes to send.
    pub put_off: u64,
    /// Questions to delegates of other regions.
    pub regions_asked: u64,
    /// Words of load sent.
    pub load: u64,
    /// Suspicions that began, and suspects given up.
    pub suspicions: u64,
    pub given_up: u64,
    /// Suspicions of this member that it refuted.
    pub refuted: u64,
    /// Returns after it was given up by others.
    pub returned: u64,
    /// Times it stood still itself.
    pub gaps: u64,
}
