//! Counters of the datagrams and events of a member.

use serde::Serialize;

/// Counters since the start, serialized under the names that `/admin/fleet` shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemberStatistics {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Number of bytes sent.
    pub sent_bytes: u64,
    /// Number of datagrams received, including dropped ones.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Number of bytes received, including those of dropped datagrams.
    #[serde(rename = "heard_bytes")]
    pub received_bytes: u64,
    /// Number of datagrams dropped because they are corrupt, have an invalid length, or belong to
    /// another protocol.
    #[serde(rename = "torn")]
    pub corrupt: u64,
    /// Number of datagrams dropped because they belong to another fleet or region.
    pub foreign: u64,
    /// Number of datagrams dropped because of another format version or an unknown message kind.
    #[serde(rename = "version")]
    pub unsupported_version: u64,
    /// Number of intact datagrams dropped because their payload is invalid.
    pub malformed: u64,
    /// Number of SWIM messages dropped because their sender is untracked and the maximum number of
    /// members is stored.
    #[serde(rename = "full")]
    pub over_capacity: u64,
    /// Number of probes sent by this member as a watcher.
    #[serde(rename = "asked")]
    pub watcher_probes: u64,
    /// Number of digests of the member list sent for anti-entropy.
    #[serde(rename = "compared")]
    pub digests: u64,
    /// Number of times the send budget deferred a broadcast or digest.
    #[serde(rename = "put_off")]
    pub deferred: u64,
    /// Number of digests of announcements sent to delegates of any region, this member's included,
    /// and to join addresses.
    #[serde(rename = "regions_asked")]
    pub region_digests: u64,
    /// Number of datagrams with level reports sent.
    #[serde(rename = "load")]
    pub level_reports: u64,
    /// Number of suspicions for which this member started a timer.
    pub suspicions: u64,
    /// Number of suspects confirmed dead by this member.
    #[serde(rename = "given_up")]
    pub confirmed_dead: u64,
    /// Number of suspicions of this member that it refuted.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// Number of rejoins after other members had declared this member dead or reported a later
    /// generation of it.
    #[serde(rename = "returned")]
    pub rejoins: u64,
    /// Number of stalls of this process.
    #[serde(rename = "gaps")]
    pub stalls: u64,
}
