//! What a member sees of the others.

use crate::regions::overview::RegionStatus;
use crate::{Identity, MemberMetadata, Nanos};
use serde::Serialize;
use std::net::SocketAddr;

/// What a member is, as another sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberStatus {
    /// It is there and not ready yet, or has not said what it does.
    Joining,
    /// It serves clients.
    Serving,
    /// It does not answer, and is not given up yet.
    Stalled,
    /// It is drained or about to end.
    Draining,
    /// It went and said so.
    Left,
    /// It was given up.
    Dead,
}

impl MemberStatus {
    /// The name by which logs and the operators' door call it.
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

    /// Whether it is there.
    pub fn is_present(self) -> bool {
        !matches!(self, MemberStatus::Left | MemberStatus::Dead)
    }
}

/// One member as another sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Who it is.
    pub id: Identity,
    /// Raised by the member itself each time it refutes a suspicion.
    pub incarnation: u16,
    /// What it is.
    pub status: MemberStatus,
    /// Since when.
    pub since: Nanos,
    /// What it last said of itself, if anything was heard.
    pub metadata: Option<MemberMetadata>,
}

impl MemberView {
    /// Its name, or its address where it has not told one.
    pub fn name(&self) -> String {
        self.metadata
            .as_ref()
            .map_or_else(|| self.id.address.to_string(), |soft| soft.name.clone())
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member is something else than before; `None`: it was not known.
    StatusChanged {
        /// Its name.
        name: String,
        /// Who it is.
        id: Identity,
        /// What it was.
        was: Option<MemberStatus>,
        /// What it is.
        is: MemberStatus,
    },
    /// The count that shares are divided by.
    ShareCountChanged {
        /// What it was.
        was: usize,
        /// What it is.
        is: usize,
        /// Those who are there, this one included.
        alive: usize,
    },
    /// Two living members have one name; said once for each pair.
    DuplicateName {
        /// The name.
        name: String,
        /// Where the two are.
        addresses: [SocketAddr; 2],
    },
    /// This member was given up by others, or stood behind an older self, and returns under this generation.
    Rejoined {
        /// Its new generation.
        generation: u64,
    },
    /// This member stood still, and begins its suspicions anew.
    Stalled,
    /// Another region is heard, or can't be heard any more.
    RegionReachability {
        /// Its name.
        region: String,
        /// Whether it is heard.
        reachable: bool,
        /// Members that are there, by its last word.
        alive: u32,
    },
}

/// Another region as a member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionView {
    /// What its delegates told of it.
    pub overview: RegionStatus,
    /// Since when nothing was heard of it.
    pub silent_since: Option<Nanos>,
}

/// What one member sees.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The others of its region, or of the whole fleet where there are no regions, by address.
    pub members: Vec<MemberView>,
    /// The other regions.
    pub regions: Vec<RegionView>,
    /// Who speaks for the own region, first the leader; empty where there are no regions.
    pub delegates: Vec<SocketAddr>,
    /// By how many shares are divided.
    pub share_count: usize,
    /// Those who are there, this one included, in all regions that are heard.
    pub alive: usize,
    /// Places counted in all, those of the vanished included.
    pub places: usize,
    /// Nobody is heard though there are others: this member may be the one that is cut off.
    pub isolated: bool,
}
