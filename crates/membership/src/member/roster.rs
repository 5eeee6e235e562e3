//! Snapshot of the membership in `foca`.
//!
//! A member ticks about thirty times per second, but its membership seldom changes. Each caller of
//! `foca` that may change the membership calls [`Roster::invalidate`], and the membership is read
//! again only after that.

use super::foca_adapter::FocaInstance;
use crate::suspicion::Suspect;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Live members and suspects at the last refresh.
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

    /// Marks the snapshot as stale because the membership may have changed.
    pub(super) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Returns a checksum of the membership; 0 before the first refresh.
    pub(super) fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns the other members that are alive and not suspect, sorted.
    pub(super) fn alive(&self) -> &[SocketAddr] {
        &self.alive
    }

    /// Returns the suspects by address.
    pub(super) fn suspects(&self) -> &BTreeMap<SocketAddr, Suspect> {
        &self.suspects
    }

    /// Reads the membership again if it may have changed.
    pub(super) fn refresh(&mut self, swim: &FocaInstance) {
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

/// Returns the checksum of the membership; never 0, which stands for no refresh yet.
fn membership_checksum(swim: &FocaInstance) -> u64 {
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
