//! Dissemination of metadata by broadcasts, rotation, and requests for missing records.

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

/// Interval at which records are sent to a random member in rotation, whether or not they are new.
const ROTATION_INTERVAL: Nanos = 500 * MS;
/// Number of members that receive the leave directly; the others receive it by gossip.
const LEAVE_FANOUT: usize = 12;
/// Maximum number of transmissions of a record in a fleet with regions.
const REGIONAL_TRANSMISSIONS_MAX: u32 = 4;

/// Metadata that one member stores and publishes.
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

    /// Returns this member's metadata.
    pub(super) fn own(&self) -> &MemberMetadata {
        &self.own.metadata
    }

    /// Changes this member's metadata, and publishes it if it differs.
    pub(super) fn update(&mut self, swim: &SwimProtocol, change: impl FnOnce(&mut MemberMetadata)) {
        let mut metadata = self.own.metadata.clone();
        change(&mut metadata);
        let metadata = metadata.truncated();
        if metadata != self.own.metadata {
            self.own.metadata = metadata;
            self.publish(swim);
        }
    }

    /// Publishes this member's metadata under the next version and the current generation.
    pub(super) fn publish(&mut self, swim: &SwimProtocol) {
        self.own.version += 1;
        self.own.member = swim.id();
        self.store.insert(self.own.clone(), swim.alive());
    }

    /// Merges received records. Returns the number of members that are untracked, or tracked in an
    /// older generation, without leaving ones.
    pub(super) fn receive_records(
        &mut self,
        swim: &SwimProtocol,
        payload: &[u8],
    ) -> Result<usize, PayloadError> {
        let tracked_generation = |address| swim.tracked_generation(address);
        let own_address = self.own.member.address;
        self.store
            .merge(own_address, payload, tracked_generation, swim.alive())
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

    /// Sends the broadcasts, rotations and requests that are due.
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

    /// Sends this member's record to some members at once when it leaves.
    pub(super) fn broadcast_leave(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let mut others: Vec<SocketAddr> = swim.live_members().map(|m| m.id().address).collect();
        for _ in 0..LEAVE_FANOUT.min(others.len()) {
            let to = others.swap_remove(context.rng.random_range(0..others.len()));
            self.send_records(context, to, RecordSelection::BroadcastsAndRotation);
        }
    }
}
