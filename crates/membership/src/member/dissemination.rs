//! Dissemination of metadata: broadcasts, rotation, and requests for what is missing.

use super::context::{Context, GOSSIP_FANOUT, GOSSIP_INTERVAL};
use super::swim::SwimProtocol;
use crate::envelope::MessageKind;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::metadata::{MemberMetadata, MetadataRecord};
use crate::metadata_store::{MetadataStore, RecordSelection};
use crate::payload::PayloadError;
use crate::{Identity, MS, MembershipSettings, Nanos};
use rand::RngExt;
use std::net::SocketAddr;

/// How often records that are no broadcasts are sent to one member, in rotation.
const ROTATION_INTERVAL: Nanos = 500 * MS;
/// How many members are told of a leave directly; the others learn of it by gossip.
const LEAVE_FANOUT: usize = 12;
/// How often a record is transmitted in a fleet with regions, at most.
const REGIONAL_TRANSMISSIONS_MAX: u32 = 4;

/// The metadata that one member stores and publishes.
pub(super) struct MetadataGossip {
    pub(super) store: MetadataStore,
    own: MetadataRecord,
    next_broadcast: Nanos,
    next_rotation: Nanos,
}

impl MetadataGossip {
    pub(super) fn new(
        settings: &MembershipSettings,
        id: Identity,
        metadata: MemberMetadata,
        now: Nanos,
    ) -> Self {
        let mut own = MetadataRecord {
            member: id,
            version: 1,
            metadata: metadata.truncated(),
        };
        let has_regions = !settings.location.is_none();
        if has_regions {
            own.metadata.extension = settings.location.encode();
        }
        let mut store = MetadataStore::new(own.clone());
        if has_regions {
            store.limit_transmissions(REGIONAL_TRANSMISSIONS_MAX);
        }
        MetadataGossip {
            store,
            own,
            next_broadcast: now,
            next_rotation: now,
        }
    }

    /// The own metadata.
    pub(super) fn own(&self) -> &MemberMetadata {
        &self.own.metadata
    }

    /// Changes the own metadata, and publishes it if it differs.
    pub(super) fn update(&mut self, swim: &SwimProtocol, change: impl FnOnce(&mut MemberMetadata)) {
        let mut metadata = self.own.metadata.clone();
        change(&mut metadata);
        let metadata = metadata.truncated();
        if metadata != self.own.metadata {
            self.own.metadata = metadata;
            self.publish(swim);
        }
    }

    /// Publishes the own metadata under the next version and the own generation.
    pub(super) fn publish(&mut self, swim: &SwimProtocol) {
        self.own.version += 1;
        self.own.member = swim.id();
        self.store.insert(self.own.clone(), swim.alive());
    }

    /// Merges records of others; returns how many members are unknown here.
    pub(super) fn receive_records(
        &mut self,
        swim: &SwimProtocol,
        payload: &[u8],
    ) -> Result<usize, PayloadError> {
        let known_generation = |address| swim.known_generation(address);
        let own_address = self.own.member.address;
        self.store
            .merge(own_address, payload, known_generation, swim.alive())
    }

    /// Answers a request for records.
    pub(super) fn receive_request(
        &self,
        context: &mut Context,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        for response in self.store.respond(payload)? {
            if context.may_send() {
                context.send(from, MessageKind::MetadataRecords, &response);
            }
        }
        Ok(())
    }

    /// Sends what is due.
    pub(super) fn tick(&mut self, context: &mut Context, swim: &SwimProtocol) {
        if swim.alive() == 0 {
            return;
        }
        if context.now >= self.next_broadcast {
            self.next_broadcast = context.now + GOSSIP_INTERVAL;
            self.broadcast(context, swim);
        }
        if context.now >= self.next_rotation && !is_injected(InjectedFault::GossipsRecordsOnce) {
            self.next_rotation = context.now + ROTATION_INTERVAL;
            if let Some(to) = swim.random_member(context) {
                self.send_records(context, to, RecordSelection::BroadcastsAndRotation);
            }
        }
        let alive = swim.live_members().map(foca::Member::id);
        let checksum = swim.roster().checksum();
        let request = self
            .store
            .missing_records_request(context.now, checksum, alive);
        if let Some(request) = request
            && let Some(to) = swim.random_member(context)
        {
            context.send(to, MessageKind::MetadataRequest, &request);
        }
    }

    fn broadcast(&mut self, context: &mut Context, swim: &SwimProtocol) {
        for _ in 0..GOSSIP_FANOUT {
            if self.store.has_broadcasts()
                && context.may_send()
                && let Some(to) = swim.random_member(context)
            {
                self.send_records(context, to, RecordSelection::Broadcasts);
            }
        }
    }

    fn send_records(&mut self, context: &mut Context, to: SocketAddr, selection: RecordSelection) {
        let payload = self.store.next_payload(self.own.member.address, selection);
        context.send(to, MessageKind::MetadataRecords, &payload);
    }

    /// Sends the own record to some members at once, when this member leaves.
    pub(super) fn broadcast_leave(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let mut others: Vec<SocketAddr> = swim.live_members().map(|m| m.id().address).collect();
        for _ in 0..LEAVE_FANOUT.min(others.len()) {
            let to = others.swap_remove(context.rng.random_range(0..others.len()));
            self.send_records(context, to, RecordSelection::BroadcastsAndRotation);
        }
    }
}
