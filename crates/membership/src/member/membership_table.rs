//! The members as shown in the view, and the changes since the last update.

use super::swim::SwimProtocol;
use crate::metadata::{MemberMetadata, ServingPhase};
use crate::metadata_store::MetadataStore;
use crate::share_count::ShareCounter;
use crate::{Identity, MemberStatus, MemberView, MembershipEvent, Nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The other members by address, at most as many as `foca` stores.
#[derive(Default)]
pub(super) struct MembershipTable {
    members: BTreeMap<SocketAddr, MemberView>,
    /// Names that have been reported as duplicate.
    duplicate_names: BTreeSet<String>,
    share_count: usize,
    /// Greatest number of places that a live member publishes.
    reported_places: usize,
    /// Checksum of the membership at the last full update.
    checksum: u64,
}

/// Extent of an update: metadata only, or the whole membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpdateScope {
    MetadataOnly,
    Full,
}

/// Inputs and outputs of an update of the table.
pub(super) struct UpdateSources<'a> {
    pub(super) now: Nanos,
    pub(super) swim: &'a SwimProtocol,
    pub(super) metadata: &'a mut MetadataStore,
    pub(super) share_counter: &'a mut ShareCounter,
    pub(super) events: &'a mut Vec<MembershipEvent>,
}

/// Returns the status of a member from its SWIM state and the phase that it publishes.
fn status(state: foca::State, phase: Option<ServingPhase>) -> MemberStatus {
    match (state, phase) {
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

impl MembershipTable {
    pub(super) fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.members.values()
    }

    /// Returns the metadata of the live members.
    pub(super) fn live_metadata(&self) -> impl Iterator<Item = &MemberMetadata> {
        self.members()
            .filter(|member| member.status.is_present())
            .filter_map(|member| member.metadata.as_ref())
    }

    pub(super) fn dead(&self) -> Vec<Identity> {
        self.members()
            .filter(|member| member.status == MemberStatus::Dead)
            .map(|member| member.id)
            .collect()
    }

    pub(super) fn contains(&self, address: &SocketAddr) -> bool {
        self.members.contains_key(address)
    }

    /// Returns the share count within the region.
    pub(super) fn share_count(&self) -> usize {
        self.share_count
    }

    /// Applies the changes since the last update, and reports them as events.
    pub(super) fn update(&mut self, sources: UpdateSources<'_>) -> UpdateScope {
        let UpdateSources {
            now,
            swim,
            metadata,
            share_counter,
            events,
        } = sources;
        let changes = metadata.take_changes();
        let checksum = swim.roster().checksum();
        let scope = if checksum != self.checksum || changes.urgent {
            UpdateScope::Full
        } else {
            UpdateScope::MetadataOnly
        };
        if scope == UpdateScope::Full {
            self.checksum = checksum;
            self.update_members(now, swim, metadata, share_counter, events);
            self.report_duplicate_names(events);
        } else if !changes.addresses.is_empty() {
            self.update_metadata(&changes.addresses, metadata);
        }
        self.share_count = share_counter.count(now, self.reported_places);
        scope
    }

    /// Updates metadata whose changes do not affect any status.
    fn update_metadata(&mut self, addresses: &BTreeSet<SocketAddr>, metadata: &MetadataStore) {
        for address in addresses {
            if let Some(member) = self.members.get_mut(address)
                && let Some(record) = metadata.get(&member.id)
            {
                member.metadata = Some(record.metadata.clone());
            }
        }
        let places = self
            .live_metadata()
            .map(|metadata| usize::from(metadata.places));
        self.reported_places = places.max().unwrap_or(0);
    }

    fn update_members(
        &mut self,
        now: Nanos,
        swim: &SwimProtocol,
        metadata: &MetadataStore,
        share_counter: &mut ShareCounter,
        events: &mut Vec<MembershipEvent>,
    ) {
        let own_address = swim.id().address;
        let mut present = BTreeSet::new();
        let mut reported_places = 0;
        let others = swim.all_members();
        for member in others.filter(|m| m.id().address != own_address) {
            let id = *member.id();
            present.insert(id.address);
            let published = metadata.get(&id).map(|record| &record.metadata);
            let current = status(member.state(), published.map(|metadata| metadata.phase));
            if current.is_present() {
                let places = published.map_or(0, |metadata| usize::from(metadata.places));
                reported_places = reported_places.max(places);
            }
            match current {
                MemberStatus::Left => share_counter.record_left(id.address),
                MemberStatus::Dead => share_counter.record_vanished(now, id.address),
                _ => share_counter.record_present(id.address),
            }
            let previous = self.update_member(now, member, current, published);
            if previous != Some(current) {
                let name = self.members[&id.address].name();
                events.push(MembershipEvent::StatusChanged {
                    name,
                    id,
                    previous,
                    current,
                });
            }
        }
        self.members.retain(|address, _| present.contains(address));
        self.reported_places = reported_places;
    }

    /// Updates one member. Returns its previous status.
    fn update_member(
        &mut self,
        now: Nanos,
        member: &foca::Member<Identity>,
        status: MemberStatus,
        published: Option<&MemberMetadata>,
    ) -> Option<MemberStatus> {
        let id = *member.id();
        let Some(stored) = self.members.get_mut(&id.address) else {
            let view = MemberView {
                id,
                incarnation: member.incarnation(),
                status,
                since: now,
                metadata: published.cloned(),
            };
            self.members.insert(id.address, view);
            return None;
        };
        let previous = stored.status;
        stored.id = id;
        stored.incarnation = member.incarnation();
        if previous != status {
            stored.status = status;
            stored.since = now;
        }
        if let Some(published) = published.filter(|new| stored.metadata.as_ref() != Some(*new)) {
            stored.metadata = Some(published.clone());
        }
        Some(previous)
    }

    fn report_duplicate_names(&mut self, events: &mut Vec<MembershipEvent>) {
        let mut names: BTreeMap<&str, SocketAddr> = BTreeMap::new();
        let present = self
            .members
            .values()
            .filter(|member| member.status.is_present());
        for member in present {
            let Some(metadata) = &member.metadata else {
                continue;
            };
            if let Some(other) = names.insert(&metadata.name, member.id.address)
                && !self.duplicate_names.contains(&metadata.name)
                && self.duplicate_names.len() < self.members.len()
            {
                self.duplicate_names.insert(metadata.name.clone());
                events.push(MembershipEvent::DuplicateName {
                    name: metadata.name.clone(),
                    addresses: [other, member.id.address],
                });
            }
        }
    }
}
