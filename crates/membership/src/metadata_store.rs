//! Metadata records stored by one member. New records are broadcast, all records are sent in
//! rotation, and missing ones are requested.

use crate::envelope::PAYLOAD_MAX;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::metadata::{MetadataRecord, ServingPhase};
use crate::payload::{PayloadError, decode, encode, encoded_length};
use crate::{Identity, MS, Nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Included, Unbounded};
use xxhash_rust::xxh3::xxh3_64;

/// Number of broadcast transmissions of a new record, to which one is added for each doubling of
/// the fleet.
const BASE_TRANSMISSIONS: u32 = 3;
/// Maximum number of members in one request; their records fit into one or two datagrams.
pub const REQUEST_MAX: usize = 24;
/// Maximum number of datagrams sent in response to a request.
const RESPONSES_MAX: usize = 3;
/// Minimum interval between requests for missing records.
pub const REQUEST_INTERVAL: Nanos = 150 * MS;
/// Maximum encoded length of the record count in front of the records, in bytes.
const COUNT_LENGTH_MAX: usize = 2;

struct StoredRecord {
    record: MetadataRecord,
    transmissions_left: u32,
    /// Checksum of the urgent fields; never 0, which stands for a missing record.
    checksum: u32,
    encoded_length: usize,
}

impl StoredRecord {
    fn new(record: MetadataRecord, transmissions_left: u32) -> Self {
        let checksum = xxh3_64(&encode(&record.metadata.urgent_fields())) as u32;
        StoredRecord {
            transmissions_left,
            checksum: checksum.max(1),
            encoded_length: encoded_length(&record),
            record,
        }
    }
}

/// Selection of records for a payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSelection {
    /// Only records with remaining broadcast transmissions.
    Broadcasts,
    /// Records with remaining broadcast transmissions, then this member's record, then all others
    /// in rotation.
    BroadcastsAndRotation,
}

/// Records that changed since the last call of [`MetadataStore::take_changes`].
#[derive(Debug, Default)]
pub struct MetadataChanges {
    /// Addresses of the members whose records changed.
    pub addresses: BTreeSet<SocketAddr>,
    /// Whether any change is one that is broadcast, that is, of a member or of an urgent field.
    pub urgent: bool,
}

/// Metadata records stored by one member, its own included.
pub struct MetadataStore {
    records: BTreeMap<SocketAddr, StoredRecord>,
    /// Address of the record that was sent last in rotation.
    rotation: Option<SocketAddr>,
    last_request: Nanos,
    broadcasts: BTreeSet<SocketAddr>,
    changes: MetadataChanges,
    /// Checksum of the last membership for which no record was missing.
    complete_for: Option<u64>,
    transmissions_max: u32,
}

impl MetadataStore {
    /// Creates a store with the member's own record, which is scheduled for broadcast.
    #[must_use]
    pub fn new(own: MetadataRecord) -> Self {
        let address = own.member.address;
        let own = StoredRecord::new(own, BASE_TRANSMISSIONS);
        MetadataStore {
            records: BTreeMap::from([(address, own)]),
            rotation: None,
            last_request: 0,
            broadcasts: BTreeSet::from([address]),
            changes: MetadataChanges {
                addresses: BTreeSet::from([address]),
                urgent: true,
            },
            complete_for: None,
            transmissions_max: u32::MAX,
        }
    }

    /// Limits the number of transmissions of a new record; members that miss it request it.
    pub fn limit_transmissions(&mut self, limit: u32) {
        self.transmissions_max = limit;
    }

    fn stored(&self, id: &Identity) -> Option<&StoredRecord> {
        let stored = self.records.get(&id.address)?;
        (stored.record.member.generation >= id.generation).then_some(stored)
    }

    /// Returns the record of a member if it has this generation or a later one.
    #[must_use]
    pub fn get(&self, id: &Identity) -> Option<&MetadataRecord> {
        self.stored(id).map(|stored| &stored.record)
    }

    /// Returns the checksum of a member's urgent fields, or 0 if no record of this generation or a
    /// later one is stored.
    #[must_use]
    pub fn checksum(&self, id: &Identity) -> u32 {
        self.stored(id).map_or(0, |stored| stored.checksum)
    }

    /// Stores a record, and schedules it for broadcast among `alive` members if an urgent field
    /// changed.
    pub fn insert(&mut self, record: MetadataRecord, alive: usize) {
        let address = record.member.address;
        let predecessor = self.records.get(&address);
        let urgent = record.is_urgent(predecessor.map(|stored| &stored.record));
        // A broadcast in progress continues with the newer record.
        let transmissions = if urgent {
            transmissions(alive).min(self.transmissions_max)
        } else {
            predecessor.map_or(0, |stored| stored.transmissions_left)
        };
        if transmissions > 0 {
            self.broadcasts.insert(address);
        }
        self.changes.addresses.insert(address);
        self.changes.urgent |= urgent;
        self.records
            .insert(address, StoredRecord::new(record, transmissions));
    }

    /// Returns the changes since the last call, and resets them.
    pub fn take_changes(&mut self) -> MetadataChanges {
        std::mem::take(&mut self.changes)
    }

    /// Merges received records. `tracked_generation` returns the generation under which a member is
    /// tracked; records of untracked members are dropped. Returns the number of members that are
    /// untracked, or tracked in an older generation, without leaving ones: their membership
    /// broadcasts did not reach this member.
    ///
    /// # Errors
    ///
    /// If the payload cannot be decoded, or a record exceeds its maximum length.
    pub fn merge(
        &mut self,
        own: SocketAddr,
        payload: &[u8],
        tracked_generation: impl Fn(SocketAddr) -> Option<u64>,
        alive: usize,
    ) -> Result<usize, PayloadError> {
        let records: Vec<MetadataRecord> = decode(payload)?;
        if !records.iter().all(MetadataRecord::is_bounded) {
            return Err(PayloadError::OverLimit {
                what: "bytes of a metadata record",
                limit: PAYLOAD_MAX,
            });
        }
        let mut untracked = 0;
        // Only this member writes its own record.
        for record in records
            .into_iter()
            .filter(|record| record.member.address != own)
        {
            let address = record.member.address;
            let generation = tracked_generation(address);
            let is_new_member =
                generation.is_none_or(|generation| generation < record.member.generation);
            if is_new_member && record.metadata.phase != ServingPhase::Leaving {
                untracked += 1;
            }
            let stored = self.records.get(&address);
            if generation.is_some() && stored.is_none_or(|stored| record.supersedes(&stored.record))
            {
                self.insert(record, alive);
            }
        }
        Ok(untracked)
    }

    /// Removes the records of members that are no longer tracked.
    pub fn retain(&mut self, is_tracked: impl Fn(SocketAddr) -> bool) {
        let before = self.records.len();
        self.records.retain(|address, _| is_tracked(*address));
        if self.records.len() != before {
            self.broadcasts.retain(|address| is_tracked(*address));
            self.complete_for = None;
        }
    }

    /// Returns whether any record has remaining broadcast transmissions.
    #[must_use]
    pub fn has_broadcasts(&self) -> bool {
        !self.broadcasts.is_empty()
    }

    /// Encodes the next payload, and counts the transmissions of its records.
    pub fn next_payload(&mut self, own: SocketAddr, selection: RecordSelection) -> Vec<u8> {
        let rotates = selection == RecordSelection::BroadcastsAndRotation;
        let mut order = self.broadcast_order();
        if rotates {
            order.push(own);
            order.extend(self.rotation_order());
        }
        let (payload, packed) = self.pack(&order);
        for address in packed {
            if let Some(stored) = self.records.get_mut(&address) {
                stored.transmissions_left = stored.transmissions_left.saturating_sub(1);
                if stored.transmissions_left == 0 {
                    self.broadcasts.remove(&address);
                }
            }
            if rotates && address != own {
                self.rotation = Some(address);
            }
        }
        payload
    }

    /// Returns the addresses of the records to broadcast, the least transmitted first.
    fn broadcast_order(&self) -> Vec<SocketAddr> {
        let transmissions_left = |address: &SocketAddr| {
            self.records
                .get(address)
                .map_or(0, |stored| stored.transmissions_left)
        };
        let mut ranked: Vec<(u32, SocketAddr)> = self
            .broadcasts
            .iter()
            .map(|address| (transmissions_left(address), *address))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the addresses of the records that follow the last one sent in rotation, at most
    /// [`REQUEST_MAX`], which is about as many as may fit into a payload.
    fn rotation_order(&self) -> impl Iterator<Item = SocketAddr> {
        let (begin, end) = match self.rotation {
            Some(last) => (Excluded(last), Included(last)),
            None => (Unbounded, Unbounded),
        };
        let after = self.records.range((begin, Unbounded));
        let up_to = self
            .records
            .range((Unbounded, end))
            .filter(|_| self.rotation.is_some());
        after
            .chain(up_to)
            .map(|(address, _)| *address)
            .take(REQUEST_MAX)
    }

    /// Returns the payloads that answer a request, at most `RESPONSES_MAX`.
    ///
    /// # Errors
    ///
    /// If the payload is not a request, or it names more than [`REQUEST_MAX`] members.
    pub fn respond(&self, payload: &[u8]) -> Result<Vec<Vec<u8>>, PayloadError> {
        let mut requested: Vec<SocketAddr> = decode(payload)?;
        if requested.len() > REQUEST_MAX {
            return Err(PayloadError::OverLimit {
                what: "requested records",
                limit: REQUEST_MAX,
            });
        }
        let mut responses = Vec::new();
        while responses.len() < RESPONSES_MAX && !requested.is_empty() {
            let (payload, packed) = self.pack(&requested);
            if packed.is_empty() {
                break;
            }
            requested.retain(|address| !packed.contains(address));
            responses.push(payload);
        }
        Ok(responses)
    }

    /// Returns a request for the missing records of live members if [`REQUEST_INTERVAL`] has
    /// passed. `membership` is a checksum of the membership: the search is skipped while it equals
    /// the last one for which no record was missing.
    pub fn missing_records_request<'a>(
        &mut self,
        now: Nanos,
        membership: u64,
        alive: impl Iterator<Item = &'a Identity>,
    ) -> Option<Vec<u8>> {
        let too_early = now.saturating_sub(self.last_request) < REQUEST_INTERVAL;
        if too_early
            || self.complete_for == Some(membership)
            || is_injected(InjectedFault::GossipsRecordsOnce)
        {
            return None;
        }
        let missing: Vec<SocketAddr> = alive
            .filter(|id| self.get(id).is_none())
            .map(|id| id.address)
            .take(REQUEST_MAX)
            .collect();
        if missing.is_empty() {
            self.complete_for = Some(membership);
            return None;
        }
        self.last_request = now;
        Some(encode(&missing))
    }

    /// Encodes as many of these records as fit into a payload. Returns the payload and the
    /// addresses of the encoded records.
    fn pack(&self, order: &[SocketAddr]) -> (Vec<u8>, Vec<SocketAddr>) {
        let mut records: Vec<&MetadataRecord> = Vec::new();
        let mut packed = Vec::new();
        let mut length = COUNT_LENGTH_MAX;
        for address in order {
            let Some(stored) = self.records.get(address) else {
                continue;
            };
            if length + stored.encoded_length > PAYLOAD_MAX || packed.contains(address) {
                continue;
            }
            length += stored.encoded_length;
            packed.push(*address);
            records.push(&stored.record);
        }
        (encode(&records), packed)
    }
}

fn transmissions(alive: usize) -> u32 {
    BASE_TRANSMISSIONS + alive.max(1).ilog2()
}

#[cfg(test)]
mod tests;
