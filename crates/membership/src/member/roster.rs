//! A snapshot of the membership in `foca`.
//!
//! A member ticks some thirty times a second, and a membership seldom changes. So whoever calls
//! `foca` in a way that may change it calls [`Roster::invalidate`], and only then the membership is
//! read again.

use super::foca_adapter::Swim;
use crate::suspicion::Suspect;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The live members and suspects of the last refresh.
pub(super) struct Roster {
    stale: bool,
    checksum: u64,
    alive: Vec<SocketAddr>,
    suspects: BTreeMap<SocketAddr, Suspect>,
}

impl Roster {
    pub(super) fn new() -> Self {
        Roster {
            stale: true,
            checksum: 0,
            alive: Vec::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// The membership may have changed.
    pub(super) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// A checksum of the membership; 0 before the first refresh.
    pub(super) fn checksum(&self) -> u64 {
        self.checksum
    }

    /// The others that are alive and not suspect, sorted.
    pub(super) fn alive(&self) -> &[SocketAddr] {
        &self.alive
    }

    /// The suspects, by address.
    pub(super) fn suspects(&self) -> &BTreeMap<SocketAddr, Suspect> {
        &self.suspects
    }

    /// Reads the membership again if it may have changed.
    pub(super) fn refresh(&mut self, swim: &Swim) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let checksum = membership_checksum(swim);
        if checksum == self.checksum {
            return;
        }
        self.checksum = checksum;
        self.alive.clear();
        self.suspects.clear();
        for member in swim.iter_members() {
            let id = *member.id();
            if member.state() == foca::State::Alive {
                self.alive.push(id.address);
            } else {
                let incarnation = member.incarnation();
                self.suspects
                    .insert(id.address, Suspect { id, incarnation });
            }
        }
        self.alive.sort_unstable();
    }
}

/// Never 0.
fn membership_checksum(swim: &Swim) -> u64 {
    let mut checksum = 1u64;
    for member in swim.iter_membership_state() {
        let state = (member.id().generation << 18)
            ^ (u64::from(member.incarnation()) << 2)
            ^ member.state() as u64;
        let port = u64::from(member.id().address.port());
        checksum =
            (checksum.rotate_left(5) ^ state ^ (port << 48)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    checksum.max(1)
}
