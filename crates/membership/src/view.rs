//! The view that one member has of the fleet.

use crate::regions::overview::RegionStatus;
use crate::{Identity, MemberMetadata, Nanos};
use serde::Serialize;
use std::net::SocketAddr;

/// The status of a member, as another sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// It is alive and not ready yet, or its metadata is not known yet.
    Joining,
    /// It serves clients.
    Serving,
    /// It is suspect: it does not answer, and is not confirmed dead.
    Stalled,
    /// It is drained or about to end.
    Draining,
    /// It left gracefully.
    Left,
    /// It was confirmed dead.
    Dead,
}

impl MemberStatus {
    /// The name in logs and on the admin listener.
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

    /// Whether it is a live member, suspects included.
    #[must_use]
    pub fn is_present(self) -> bool {
        !matches!(self, MemberStatus::Left | MemberStatus::Dead)
    }
}

/// One member as another sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Who it is.
    pub id: Identity,
    /// Raised by the member each time it refutes a suspicion.
    pub incarnation: u16,
    /// Its status.
    pub status: MemberStatus,
    /// When the status last changed.
    pub since: Nanos,
    /// Its metadata, once it is known.
    pub metadata: Option<MemberMetadata>,
}

impl MemberView {
    /// Its name, or its address while its metadata is not known.
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
    /// The status of a member changed.
    StatusChanged {
        /// Its name.
        name: String,
        /// Who it is.
        id: Identity,
        /// The former status; `None` for a new member.
        previous: Option<MemberStatus>,
        /// The new status.
        current: MemberStatus,
    },
    /// The share count changed.
    ShareCountChanged {
        /// The former count.
        previous: usize,
        /// The new count.
        current: usize,
        /// Live members, this one included.
        alive: usize,
    },
    /// Two live members have the same name; reported once.
    DuplicateName {
        /// The name.
        name: String,
        /// The addresses of the two.
        addresses: [SocketAddr; 2],
    },
    /// Others had declared this member dead, or know a later generation of it; it rejoins.
    Rejoined {
        /// Its new generation.
        generation: u64,
    },
    /// This member itself stalled, and restarts its suspicion timers.
    Stalled,
    /// Another region became reachable or unreachable.
    RegionReachability {
        /// Its name.
        region: String,
        /// Whether it is reachable.
        reachable: bool,
        /// Its live members, by its last summary.
        alive: u32,
    },
}

/// Another region as a member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionView {
    /// Its status by the overview.
    pub status: RegionStatus,
    /// Since when it has been silent.
    pub silent_since: Option<Nanos>,
}

/// The view that one member has of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The others of its region, or of the whole fleet where there are no regions, by address.
    pub members: Vec<MemberView>,
    /// The other regions.
    pub regions: Vec<RegionView>,
    /// The delegates of the own region, the leader first; empty where there are no regions.
    pub delegates: Vec<SocketAddr>,
    /// The share count.
    pub share_count: usize,
    /// Live members in all reachable regions, this one included.
    pub alive: usize,
    /// Places counted in all, those of vanished members included.
    pub places: usize,
    /// No member is heard though others are known: this one may be isolated.
    pub isolated: bool,
}
