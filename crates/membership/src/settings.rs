//! Settings of one member.

use crate::{Location, MS, Nanos};
use std::net::SocketAddr;

/// Settings of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Fleet name; datagrams of other fleets are dropped.
    pub fleet: String,
    /// Name of this balancer; truncated to [`crate::metadata::NAME_MAX`] bytes.
    pub name: String,
    /// Address at which other members reach this one.
    pub address: SocketAddr,
    /// Addresses of members to join; may be empty, and the members may be dead.
    pub join: Vec<SocketAddr>,
    /// Maximum number of stored members, dead ones included.
    pub members_max: usize,
    /// Configured number of balancers: the share count until another member is known, and its
    /// minimum while this member is new or its view is stale.
    pub configured_balancers: usize,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Region, zone and site of this balancer; without a region name the whole fleet is one region.
    pub location: Location,
}

/// Timeouts and intervals of failure detection and of the share count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Protocol period of SWIM, in which each member probes one other member.
    pub probe_interval: Nanos,
    /// Time to wait for the acknowledgement of a direct probe, after which other members are asked
    /// to probe the member indirectly.
    pub ack_timeout: Nanos,
    /// Time without a datagram from a suspect after which its watchers confirm it dead.
    pub suspicion_timeout: Nanos,
    /// Minimum time for which a member that vanished without a leave still counts in the share
    /// count; [`crate::share_count`] describes when its place is dropped.
    pub share_retention: Nanos,
    /// Time after which dead members are removed, on either side of a partition.
    pub tombstone_retention: Nanos,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe_interval: 1_000 * MS,
            ack_timeout: 300 * MS,
            suspicion_timeout: 1_000 * MS,
            share_retention: 15_000 * MS,
            tombstone_retention: 600_000 * MS,
        }
    }
}
