//! What a member sees of the others.

use crate::regions::overview::RegionRow;
use crate::{Identity, Nanos, Soft};
use serde::Serialize;
use std::net::SocketAddr;

/// What a member is, as another sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
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

impl State {
    /// The name by which logs and the operators' door call it.
    pub fn name(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Serving => "serving",
            State::Stalled => "stalled",
            State::Draining => "draining",
            State::Left => "left",
            State::Dead => "dead",
        }
    }

    /// Whether it is there.
    pub fn is_there(self) -> bool {
        !matches!(self, State::Left | State::Dead)
    }
}

/// One member as another sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Who it is.
    pub id: Identity,
    /// Raised by the member itself each time it refutes a suspicion.
    pub incarnation: u16,
    /// What it is.
    pub state: State,
    /// Since when.
    pub since: Nanos,
    /// What it last said of itself, if anything was heard.
    pub soft: Option<Soft>,
}

impl Seen {
    /// Its name, or its address where it has not told one.
    pub fn name(&self) -> String {
        self.soft
            .as_ref()
            .map_or_else(|| self.id.address.to_string(), |soft| soft.name.clone())
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is something else than before; `None`: it was not known.
    Became {
        /// Its name.
        name: String,
        /// Who it is.
        id: Identity,
        /// What it was.
        was: Option<State>,
        /// What it is.
        is: State,
    },
    /// The count that shares are divided by.
    Count {
        /// What it was.
        was: usize,
        /// What it is.
        is: usize,
        /// Those who are there, this one included.
        living: usize,
    },
    /// Two living members have one name; said once for each pair.
    NameTwice {
        /// The name.
        name: String,
        /// Where the two are.
        addresses: [SocketAddr; 2],
    },
    /// This member was given up by others, or stood behind an older self, and returns under this generation.
    Returned {
        /// Its new generation.
        generation: u64,
    },
    /// This member stood still, and begins its suspicions anew.
    StoodStill,
    /// Another region is heard, or can't be heard any more.
    Region {
        /// Its name.
        region: String,
        /// Whether it is heard.
        heard: bool,
        /// Members that are there, by its last word.
        living: u32,
    },
}

/// Another region as a member sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSeen {
    /// What its delegates told of it.
    pub row: RegionRow,
    /// Since when nothing was heard of it.
    pub silent_since: Option<Nanos>,
}

/// What one member sees.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The others of its region, or of the whole fleet where there are no regions, by address.
    pub members: Vec<Seen>,
    /// The other regions.
    pub regions: Vec<RegionSeen>,
    /// Who speaks for the own region, first the leader; empty where there are no regions.
    pub delegates: Vec<SocketAddr>,
    /// By how many shares are divided.
    pub count: usize,
    /// Those who are there, this one included, in all regions that are heard.
    pub living: usize,
    /// Places counted in all, those of the vanished included.
    pub places: usize,
    /// Nobody is heard though there are others: this member may be the one that is cut off.
    pub cut_off: bool,
}
