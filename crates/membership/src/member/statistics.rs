//! Counters of what a member sends and receives.

use serde::Serialize;

/// Counters since the start; serialized under the names that `/admin/fleet` shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemberStatistics {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Bytes received.
    #[serde(rename = "heard_bytes")]
    pub received_bytes: u64,
    /// Datagrams dropped: of another protocol, corrupt or too long.
    #[serde(rename = "torn")]
    pub corrupt: u64,
    /// Datagrams dropped: of another fleet.
    pub foreign: u64,
    /// Datagrams dropped: of another version of the format.
    #[serde(rename = "version")]
    pub unsupported_version: u64,
    /// Datagrams dropped: intact, but their payload cannot be decoded.
    pub malformed: u64,
    /// Datagrams dropped: they would have brought more members than are stored.
    #[serde(rename = "full")]
    pub over_capacity: u64,
    /// Probes sent by this member as a watcher.
    #[serde(rename = "asked")]
    pub watcher_probes: u64,
    /// Anti-entropy digests sent.
    #[serde(rename = "compared")]
    pub digests: u64,
    /// Broadcasts and digests deferred by the send budget.
    #[serde(rename = "put_off")]
    pub deferred: u64,
    /// Digests sent to delegates of other regions.
    #[serde(rename = "regions_asked")]
    pub region_digests: u64,
    /// Level reports sent.
    #[serde(rename = "load")]
    pub level_reports: u64,
    /// Suspicions begun.
    pub suspicions: u64,
    /// Suspects confirmed dead.
    #[serde(rename = "given_up")]
    pub confirmed_dead: u64,
    /// Suspicions of this member that it refuted.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// Returns after others had declared this member dead.
    #[serde(rename = "returned")]
    pub rejoins: u64,
    /// Stalls of this member itself.
    #[serde(rename = "gaps")]
    pub stalls: u64,
}
