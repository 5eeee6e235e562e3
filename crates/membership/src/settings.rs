//! By what a member works.

use crate::{Location, MS, Nanos};
use std::net::SocketAddr;

/// What one member is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The fleet's name; datagrams of another are dropped.
    pub fleet: String,
    /// This balancer's name; at most [`crate::metadata::NAME_MAX`] bytes are told.
    pub name: String,
    /// Where the others reach this member.
    pub address: SocketAddr,
    /// Members to ask at first; may be empty, or dead.
    pub join: Vec<SocketAddr>,
    /// The most members that are held, dead ones included.
    pub members_max: usize,
    /// The number of balancers by the operators' settings, told while the view is none or stale.
    pub configured_balancers: usize,
    /// The times.
    pub timing: Timing,
    /// Where this balancer runs; without a region the whole fleet is one.
    pub location: Location,
}

/// The times by which members are found dead and counted out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Each member asks another once in this span.
    pub probe_interval: Nanos,
    /// A direct answer takes at most this long; then others are asked to ask.
    pub ack_timeout: Nanos,
    /// A suspect that says nothing to those who watch it for this long is dead.
    pub suspicion_timeout: Nanos,
    /// Who vanished untold keeps its place in the count for this long.
    pub share_retention: Nanos,
    /// What is dead this long is forgotten, whatever its side of a split.
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
