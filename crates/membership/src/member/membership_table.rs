//! The members as they were last seen, and what changed since.

use super::swim::Swim;
use crate::metadata::{MetadataStore, ServingPhase};
use crate::share_count::Count;
use crate::{Identity, MemberStatus, MemberView, MembershipEvent, Nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The view's members, by address; as many as `foca` holds.
#[derive(Default)]
pub(super) struct Table {
    seen: BTreeMap<SocketAddr, MemberView>,
    /// Names of which two members were told of.
    twice: BTreeSet<String>,
    count: usize,
    /// The most places that any living member tells of.
    told: usize,
    /// The membership that the last full look was taken of.
    mark: u64,
    turned: bool,
}

/// What a look is taken of.
pub(super) struct Sources<'a> {
    pub(super) now: Nanos,
    pub(super) own: Identity,
    pub(super) swim: &'a Swim,
    pub(super) records: &'a mut MetadataStore,
    pub(super) count: &'a mut Count,
}

/// What a member is, by what `foca` and its own record say.
fn state(swim: foca::State, phase: Option<ServingPhase>) -> MemberStatus {
    match (swim, phase) {
        (foca::State::Down, Some(ServingPhase::Leaving)) => MemberStatus::Left,
        (foca::State::Down, _) => MemberStatus::Dead,
        (foca::State::Suspect, _) => MemberStatus::Stalled,
        (foca::State::Alive, None | Some(ServingPhase::Joining)) => MemberStatus::Joining,
        (foca::State::Alive, Some(ServingPhase::Serving)) => MemberStatus::Serving,
        (foca::State::Alive, Some(ServingPhase::Draining | ServingPhase::Leaving)) => {
            MemberStatus::Draining
        }
    }
}

impl Table {
    pub(super) fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.seen.values()
    }

    pub(super) fn knows(&self, address: &SocketAddr) -> bool {
        self.seen.contains_key(address)
    }

    /// Whether the last look was a close one.
    pub(super) fn turned(&self) -> bool {
        self.turned
    }

    /// By how many shares are divided in the region.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Takes over what is known now, and says what changed. `mark` is the membership's checksum.
    pub(super) fn look(
        &mut self,
        mark: u64,
        sources: Sources<'_>,
        changes: &mut Vec<MembershipEvent>,
    ) {
        let Sources {
            now,
            own,
            swim,
            records,
            count,
        } = sources;
        let (told_anew, urgent) = records.take_touched();
        let members_changed = mark != self.mark;
        self.turned = members_changed || urgent;
        if self.turned {
            self.mark = mark;
            self.look_closely(
                Sources {
                    now,
                    own,
                    swim,
                    records,
                    count,
                },
                changes,
            );
        } else if !told_anew.is_empty() {
            self.take_over_soft(&told_anew, records);
        }
        self.count = count.now(now, self.told);
    }

    /// Takes over what these members said last; nothing of it changes what they are.
    fn take_over_soft(&mut self, told_anew: &BTreeSet<SocketAddr>, records: &MetadataStore) {
        for address in told_anew {
            let Some(seen) = self.seen.get_mut(address) else {
                continue;
            };
            if let Some(record) = records.of(&seen.id) {
                seen.metadata = Some(record.metadata.clone());
            }
        }
        let there = self.seen.values().filter(|seen| seen.status.is_present());
        let places = there
            .filter_map(|seen| seen.metadata.as_ref())
            .map(|soft| usize::from(soft.places));
        self.told = places.max().unwrap_or(0);
    }

    fn look_closely(&mut self, sources: Sources<'_>, changes: &mut Vec<MembershipEvent>) {
        let Sources {
            now,
            own,
            swim,
            records,
            count,
        } = sources;
        let mut here = BTreeSet::new();
        let mut told = 0;
        for member in swim
            .iter_membership_state()
            .filter(|m| m.id().address != own.address)
        {
            let id = *member.id();
            here.insert(id.address);
            let soft = records.of(&id).map(|record| &record.metadata);
            let is = state(member.state(), soft.map(|soft| soft.phase));
            if is.is_present() {
                told = told.max(soft.map_or(0, |soft| usize::from(soft.places)));
            }
            let former = self.seen.get_mut(&id.address);
            let was = former.as_ref().map(|seen| seen.status);
            let since = former
                .as_ref()
                .filter(|seen| seen.status == is)
                .map_or(now, |seen| seen.since);
            match former {
                Some(seen) => {
                    seen.id = id;
                    seen.incarnation = member.incarnation();
                    (seen.status, seen.since) = (is, since);
                    if let Some(soft) = soft.filter(|soft| seen.metadata.as_ref() != Some(*soft)) {
                        seen.metadata = Some(soft.clone());
                    }
                }
                None => {
                    let (incarnation, soft) = (member.incarnation(), soft.cloned());
                    self.seen.insert(
                        id.address,
                        MemberView {
                            id,
                            incarnation,
                            status: is,
                            since,
                            metadata: soft,
                        },
                    );
                }
            }
            match is {
                MemberStatus::Left => count.left(id.address),
                MemberStatus::Dead => count.vanished(now, id.address),
                _ => count.appeared(id.address),
            }
            if was != Some(is) {
                let name = self.seen[&id.address].name();
                changes.push(MembershipEvent::StatusChanged { name, id, was, is });
            }
        }
        self.seen.retain(|address, _| here.contains(address));
        self.told = told;
        self.names(changes);
    }

    fn names(&mut self, changes: &mut Vec<MembershipEvent>) {
        let mut names: BTreeMap<&str, SocketAddr> = BTreeMap::new();
        for seen in self.seen.values().filter(|seen| seen.status.is_present()) {
            let Some(soft) = &seen.metadata else { continue };
            if let Some(other) = names.insert(&soft.name, seen.id.address)
                && !self.twice.contains(&soft.name)
                && self.twice.len() < self.seen.len()
            {
                self.twice.insert(soft.name.clone());
                changes.push(MembershipEvent::DuplicateName {
                    name: soft.name.clone(),
                    addresses: [other, seen.id.address],
                });
            }
        }
    }
}
