//! The settings of one member.

use crate::{Location, MS, Nanos};
use std::net::SocketAddr;

/// The settings of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The fleet's name; datagrams of another are dropped.
    pub fleet: String,
    /// This balancer's name; truncated to [`crate::metadata::NAME_MAX`] bytes.
    pub name: String,
    /// Where the others reach this member.
    pub address: SocketAddr,
    /// Members to join; may be empty or dead.
    pub join: Vec<SocketAddr>,
    /// The most members that are stored, dead ones included.
    pub members_max: usize,
    /// The configured number of balancers, the share count while the view is empty or stale.
    pub configured_balancers: usize,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Where this balancer runs; without a region name the whole fleet is one region.
    pub location: Location,
}

/// Timeouts and intervals of failure detection and of the share count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// SWIM's protocol period: each member probes another once in it.
    pub probe_interval: Nanos,
    /// A direct acknowledgement takes at most this long; then others probe indirectly.
    pub ack_timeout: Nanos,
    /// A suspect whose watchers hear nothing of it for this long is dead.
    pub suspicion_timeout: Nanos,
    /// A member that vanished without a leave keeps its place in the share count for this long.
    pub share_retention: Nanos,
    /// Dead members are forgotten after this long, on either side of a partition.
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
