//! The members as they were last seen, and what changed since.

use super::Swim;
use crate::count::Count;
use crate::records::{Phase, Records};
use crate::{Change, Identity, Nanos, Seen, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The view's members, by address; as many as `foca` holds.
#[derive(Default)]
pub(super) struct Table {
    seen: BTreeMap<SocketAddr, Seen>,
    /// Names of which two members were told of.
    twice: BTreeSet<String>,
    count: usize,
    /// The most places that any living member tells of.
    told: usize,
    /// What the last full look was taken of.
    mark: (u64, u64),
    turned: bool,
}

/// What a member is, by what `foca` and its own record say.
fn state(swim: foca::State, phase: Option<Phase>) -> State {
    match (swim, phase) {
        (foca::State::Down, Some(Phase::Leaving)) => State::Left,
        (foca::State::Down, _) => State::Dead,
        (foca::State::Suspect, _) => State::Stalled,
        (foca::State::Alive, None | Some(Phase::Joining)) => State::Joining,
        (foca::State::Alive, Some(Phase::Serving)) => State::Serving,
        (foca::State::Alive, Some(Phase::Draining | Phase::Leaving)) => State::Draining,
    }
}

/// Differs, as good as surely, where anything of the membership does. A full look costs far more than this, and calm
/// fleets change seldom.
fn mark(swim: &Swim) -> u64 {
    let mut mark = 1u64;
    for member in swim.iter_membership_state() {
        let of =
            (member.id().generation << 18) ^ (u64::from(member.incarnation()) << 2) ^ member.state() as u64;
        let port = u64::from(member.id().address.port());
        mark = (mark.rotate_left(5) ^ of ^ (port << 48)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    mark
}

impl Table {
    pub(super) fn members(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }

    pub(super) fn knows(&self, address: &SocketAddr) -> bool {
        self.seen.contains_key(address)
    }

    /// Whether the last look was a close one.
    pub(super) fn turned(&self) -> bool {
        self.turned
    }

    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Takes over what is known now, and says what changed.
    pub(super) fn look(
        &mut self,
        now: Nanos,
        own: Identity,
        swim: &Swim,
        records: &Records,
        count: &mut Count,
        changes: &mut Vec<Change>,
    ) {
        let mark = (mark(swim), records.changes());
        self.turned = mark != self.mark;
        if self.turned {
            self.mark = mark;
            self.look_closely(now, own, swim, records, count, changes);
        }
        let is = count.now(now, self.told);
        if is != self.count {
            changes.push(Change::Count { was: self.count, is, living: count.living() });
            self.count = is;
        }
    }

    fn look_closely(
        &mut self,
        now: Nanos,
        own: Identity,
        swim: &Swim,
        records: &Records,
        count: &mut Count,
        changes: &mut Vec<Change>,
    ) {
        let mut here = BTreeSet::new();
        let mut told = 0;
        for member in swim.iter_membership_state().filter(|m| m.id().address != own.address) {
            let id = *member.id();
            here.insert(id.address);
            let soft = records.of(&id).map(|record| &record.soft);
            let is = state(member.state(), soft.map(|soft| soft.phase));
            if is.is_there() {
                told = told.max(soft.map_or(0, |soft| usize::from(soft.places)));
            }
            let former = self.seen.get_mut(&id.address);
            let was = former.as_ref().map(|seen| seen.state);
            let since = former.as_ref().filter(|seen| seen.state == is).map_or(now, |seen| seen.since);
            match former {
                Some(seen) => {
                    seen.id = id;
                    seen.incarnation = member.incarnation();
                    (seen.state, seen.since) = (is, since);
                    if let Some(soft) = soft.filter(|soft| seen.soft.as_ref() != Some(*soft)) {
                        seen.soft = Some(soft.clone());
                    }
                }
                None => {
                    let (incarnation, soft) = (member.incarnation(), soft.cloned());
                    self.seen.insert(id.address, Seen { id, incarnation, state: is, since, soft });
                }
            }
            match is {
                State::Left => count.left(id.address),
                State::Dead => count.vanished(now, id.address),
                _ => count.appeared(id.address),
            }
            if was != Some(is) {
                let name = self.seen[&id.address].name();
                changes.push(Change::Became { name, id, was, is });
            }
        }
        self.seen.retain(|address, _| here.contains(address));
        self.told = told;
        self.names(changes);
    }

    fn names(&mut self, changes: &mut Vec<Change>) {
        let mut names: BTreeMap<&str, SocketAddr> = BTreeMap::new();
        for seen in self.seen.values().filter(|seen| seen.state.is_there()) {
            let Some(soft) = &seen.soft else { continue };
            if let Some(other) = names.insert(&soft.name, seen.id.address)
                && !self.twice.contains(&soft.name)
                && self.twice.len() < self.seen.len()
            {
                self.twice.insert(soft.name.clone());
                changes
                    .push(Change::NameTwice { name: soft.name.clone(), addresses: [other, seen.id.address] });
            }
        }
    }
}
