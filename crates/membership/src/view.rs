//! One member's view of the fleet.

use crate::regions::overview::RegionStatus;
use crate::{Identity, MemberMetadata, Nanos};
use serde::Serialize;
use std::net::SocketAddr;

/// Status of a member, as another member sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// The member is alive and not ready to serve, or its metadata is not known yet.
    Joining,
    /// The member serves clients.
    Serving,
    /// The member is suspect: it does not answer, and is not confirmed dead.
    Stalled,
    /// The member is being drained or is shutting down.
    Draining,
    /// The member left gracefully.
    Left,
    /// The member was confirmed dead.
    Dead,
}

impl MemberStatus {
    /// Returns the name used in logs and on the admin listener.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            MemberStatus::Joining => "joining",
            MemberStatus::Serving => "serving",
            MemberStatus::Stalled => "stalled",
            MemberStatus::Draining => "draining",
            MemberStatus::Left => "left",
            MemberStatus::Dead => "dead",
        }
    }

    /// Returns whether the member is alive, which includes suspects.
    #[must_use]
    pub fn is_present(self) -> bool {
        !matches!(self, MemberStatus::Left | MemberStatus::Dead)
    }
}

/// A member as another member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Address and generation of the member.
    pub id: Identity,
    /// Number that the member increments each time it refutes a suspicion.
    pub incarnation: u16,
    /// Current status.
    pub status: MemberStatus,
    /// Time of the last status change.
    pub since: Nanos,
    /// Metadata of the member; `None` until its record is received.
    pub metadata: Option<MemberMetadata>,
}

impl MemberView {
    /// Returns the name of the member, or its address while its metadata is unknown.
    #[must_use]
    pub fn name(&self) -> String {
        self.metadata.as_ref().map_or_else(
            || self.id.address.to_string(),
            |metadata| metadata.name.clone(),
        )
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The status of a member changed, or the member is new.
    StatusChanged {
        /// Name of the member, or its address while its metadata is unknown.
        name: String,
        /// Address and generation of the member.
        id: Identity,
        /// Previous status; `None` for a new member.
        previous: Option<MemberStatus>,
        /// New status.
        current: MemberStatus,
    },
    /// The share count changed.
    ShareCountChanged {
        /// Previous share count.
        previous: usize,
        /// New share count.
        current: usize,
        /// Number of live members, this one included.
        alive: usize,
    },
    /// Two live members have the same name; reported once per name.
    DuplicateName {
        /// The shared name.
        name: String,
        /// Addresses of both members.
        addresses: [SocketAddr; 2],
    },
    /// Other members declared this member dead, or reported a later generation of it, and it
    /// rejoined.
    Rejoined {
        /// New generation of this member.
        generation: u64,
    },
    /// This process stalled, and the member restarted its suspicion timers.
    Stalled,
    /// Another region became reachable or unreachable.
    RegionReachability {
        /// Name of the region.
        region: String,
        /// Whether the region is reachable now.
        reachable: bool,
        /// Number of its live members according to its last summary.
        alive: u32,
    },
}

/// Another region as a member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionView {
    /// Status of the region in the overview.
    pub status: RegionStatus,
    /// Start of the region's silence; `None` while the region is reachable.
    pub silent_since: Option<Nanos>,
}

/// One member's view of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Other members of the region, or of the whole fleet if it has no regions, by address.
    pub members: Vec<MemberView>,
    /// Other regions of the fleet.
    pub regions: Vec<RegionView>,
    /// Delegates of this member's region, the leader first; empty if the fleet has no regions.
    pub delegates: Vec<SocketAddr>,
    /// Number that quotas, limits and budgets are divided by.
    pub share_count: usize,
    /// Number of live members in all reachable regions, this one included.
    pub alive: usize,
    /// Number of places in all regions, including those of vanished members.
    pub places: usize,
    /// Whether this member may be isolated: it tracks others but receives no datagrams.
    pub isolated: bool,
}
