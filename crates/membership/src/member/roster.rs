//! The membership as the last look at `foca` found it.
//!
//! A member turns some thirty times a second, and a calm membership changes seldom. Going through all members in each
//! turn made calm cost more the larger the fleet was. So whoever calls `foca` in a way that may change the membership
//! says so ([`Roster::touch`]), and only then it is gone through again.

use super::swim::Swim;
use crate::Identity;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Who is there, by the last look.
pub(super) struct Roster {
    touched: bool,
    mark: u64,
    living: Vec<SocketAddr>,
    suspects: BTreeMap<SocketAddr, (Identity, u16)>,
}

impl Roster {
    /// Nobody, and not looked at yet.
    pub(super) fn new() -> Self {
        Roster {
            touched: true,
            mark: 0,
            living: Vec::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// The membership may have changed.
    pub(super) fn touch(&mut self) {
        self.touched = true;
    }

    /// Differs, as good as surely, where anything of the membership does.
    pub(super) fn mark(&self) -> u64 {
        self.mark
    }

    /// The others that are there and not suspect, in order.
    pub(super) fn living(&self) -> &[SocketAddr] {
        &self.living
    }

    /// The suspects, by which incarnation.
    pub(super) fn suspects(&self) -> &BTreeMap<SocketAddr, (Identity, u16)> {
        &self.suspects
    }

    /// Looks again if the membership may have changed.
    pub(super) fn refresh(&mut self, swim: &Swim) {
        if !std::mem::take(&mut self.touched) {
            return;
        }
        let mark = mark(swim);
        if mark == self.mark {
            return;
        }
        self.mark = mark;
        self.living.clear();
        self.suspects.clear();
        for member in swim.iter_members() {
            let id = *member.id();
            match member.state() {
                foca::State::Alive => self.living.push(id.address),
                _ => {
                    self.suspects.insert(id.address, (id, member.incarnation()));
                }
            }
        }
        self.living.sort_unstable();
    }
}

/// A checksum of the membership; never 0, which stands for none.
fn mark(swim: &Swim) -> u64 {
    let mut mark = 1u64;
    for member in swim.iter_membership_state() {
        let of = (member.id().generation << 18)
            ^ (u64::from(member.incarnation()) << 2)
            ^ member.state() as u64;
        let port = u64::from(member.id().address.port());
        mark = (mark.rotate_left(5) ^ of ^ (port << 48)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    mark.max(1)
}
