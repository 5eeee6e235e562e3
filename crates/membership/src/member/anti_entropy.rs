//! Anti-entropy of member lists at one member ([`crate::anti_entropy`]).

use super::Member;
use super::context::Context;
use super::swim::SwimProtocol;
use crate::Nanos;
use crate::anti_entropy::{
    AntiEntropySchedule, BUCKETS, ListDelta, ListDigest, MemberEntry, compare_digest,
    digest_payload,
};
use crate::envelope::MessageKind;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::metadata_store::{MetadataStore, REQUEST_MAX};
use crate::payload::PayloadError;
use rand::RngExt;
use std::net::SocketAddr;

/// Age of the last datagram from a member below which a delta that reports the member's death is
/// ignored.
const RECENT_CONTACT: Nanos = 1_000 * crate::MS;
/// Maximum number of requests for metadata records after one delta.
const REQUESTS_MAX: usize = 2;

/// Digest of this member's list, and the schedule for sending it.
pub(super) struct AntiEntropy {
    digest: ListDigest,
    pub(super) schedule: AntiEntropySchedule,
}

/// Returns the list entries of all other members and of this member.
fn local_entries(
    swim: &SwimProtocol,
    metadata: &MetadataStore,
) -> impl Iterator<Item = MemberEntry> {
    let own = MemberEntry {
        id: swim.id(),
        incarnation: 0,
        down: false,
        metadata_checksum: metadata.checksum(&swim.id()),
    };
    let others = swim.all_members().map(|member| MemberEntry {
        id: *member.id(),
        incarnation: member.incarnation(),
        down: member.state() == foca::State::Down,
        metadata_checksum: metadata.checksum(member.id()),
    });
    std::iter::once(own).chain(others)
}

impl AntiEntropy {
    pub(super) fn new(now: Nanos) -> Self {
        AntiEntropy {
            digest: ListDigest::default(),
            schedule: AntiEntropySchedule::new(now),
        }
    }

    /// Computes the digest again after the list may have changed.
    pub(super) fn update_digest(
        &mut self,
        now: Nanos,
        swim: &SwimProtocol,
        metadata: &MetadataStore,
    ) {
        let digest = ListDigest::from_entries(local_entries(swim, metadata));
        if digest != self.digest {
            self.digest = digest;
            self.schedule.mark_differing(now);
        }
    }

    /// Sends the digest to a random member if it is due.
    pub(super) fn tick(&mut self, context: &mut Context, swim: &SwimProtocol) {
        let disabled = is_injected(InjectedFault::GossipsRecordsOnce)
            || is_injected(InjectedFault::SkipsAntiEntropy);
        if disabled || !self.schedule.is_due(context.now) || !context.may_send() {
            return;
        }
        if let Some(to) = swim.random_member(context) {
            context.statistics.digests += 1;
            let payload = digest_payload(swim.id(), &self.digest);
            context.send(to, MessageKind::MemberListDigest, &payload);
        }
    }

    /// Answers another member's digest with the entries that differ.
    pub(super) fn receive_digest(
        &mut self,
        context: &mut Context,
        swim: &SwimProtocol,
        metadata: &MetadataStore,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let first_bucket = context.rng.random_range(0..BUCKETS);
        let entries = local_entries(swim, metadata);
        let (delta, sender) =
            compare_digest(payload, swim.id(), &self.digest, entries, first_bucket)?;
        // A sender that is not alive in this member's list receives no answer; SWIM notifies it
        // that it was declared dead.
        if !swim.is_alive_as(&sender) || !delta.agrees() && !context.may_send() {
            return Ok(());
        }
        if !delta.agrees() {
            self.schedule.mark_differing(context.now);
        }
        context.send(from, MessageKind::MemberListDelta, &delta.encode());
        Ok(())
    }
}

impl Member {
    /// Applies the later entries of another member's delta, and replies with the entries that the
    /// sender lacks.
    pub(super) fn receive_list_delta(
        &mut self,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let delta = ListDelta::decode(payload)?;
        if !self.swim.is_alive_as(&delta.sender) {
            return Ok(());
        }
        if delta.agrees() {
            self.anti_entropy.schedule.record_agreement();
            return Ok(());
        }
        let context = &mut self.context;
        self.anti_entropy.schedule.mark_differing(context.now);
        if !delta.is_reply
            && context.may_send()
            && let Some(reply) = delta.reply(
                self.swim.id(),
                local_entries(&self.swim, &self.metadata.store),
            )
        {
            context.send(from, MessageKind::MemberListDelta, &reply.encode());
        }
        let mut updates = Vec::new();
        let mut missing_metadata = Vec::new();
        for entry in delta.entries.iter().filter(|entry| self.admits(entry)) {
            if self.lacks_metadata_of(entry) {
                missing_metadata.push(entry.id.address);
            }
            if let Some(state) = self.accepted_state(entry) {
                updates.push(foca::Member::new(entry.id, entry.incarnation, state));
            }
        }
        self.swim.apply(&mut self.context, updates);
        self.swim.raise_generation(&mut self.context);
        for request in missing_metadata.chunks(REQUEST_MAX).take(REQUESTS_MAX) {
            self.context
                .send_message(from, MessageKind::MetadataRequest, request);
        }
        Ok(())
    }

    /// Returns whether an entry may be applied. The death of an untracked member, and members
    /// beyond the capacity, are ignored. Also records the generation that an entry reports for this
    /// member's address.
    fn admits(&self, entry: &MemberEntry) -> bool {
        let address = entry.id.address;
        if address == self.swim.id().address {
            self.swim.observed_generation().observe(entry.id.generation);
            return true;
        }
        let is_unknown_death = entry.down && !self.table.contains(&address);
        !is_unknown_death && self.swim.admit(address)
    }

    fn lacks_metadata_of(&self, entry: &MemberEntry) -> bool {
        entry.id.address != self.swim.id().address
            && entry.metadata_checksum != 0
            && entry.metadata_checksum != self.metadata.store.checksum(&entry.id)
    }

    /// Returns the state to apply. A reported death may have been observed across a partition: a
    /// member that is alive in this list becomes suspect and can refute, unless a datagram was
    /// received from it recently. If this member itself is reported dead, it rejoins.
    fn accepted_state(&self, entry: &MemberEntry) -> Option<foca::State> {
        let address = entry.id.address;
        if !entry.down {
            return Some(foca::State::Alive);
        }
        if address == self.swim.id().address {
            return Some(foca::State::Down);
        }
        let has_recent_contact = self
            .failure_detector
            .last_received(&address)
            .is_some_and(|received| self.context.now - received < RECENT_CONTACT);
        (!has_recent_contact).then_some(foca::State::Suspect)
    }
}
