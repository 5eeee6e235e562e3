//! Anti-entropy of member lists, which repairs updates that broadcasts missed.
//!
//! A broadcast is forwarded a bounded number of times, so occasionally one does not reach every
//! member. Each member therefore keeps a digest of the members that are alive in its list: their
//! generations and metadata, in [`BUCKETS`] buckets by address. Two members whose digests differ
//! exchange the entries of the differing buckets, after which both store the later version of each.
//! For equal lists the cost is one small message and one smaller reply.

use crate::envelope::PAYLOAD_MAX;
use crate::payload::{PayloadBudget, PayloadError, decode, encode};
use crate::{Identity, MS, Nanos};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets of a digest; one bucket of a list of a thousand members fits into one
/// datagram.
pub const BUCKETS: usize = 32;
const DIGEST_LENGTH: usize = 4 * BUCKETS;
/// Interval between digests while the lists are not known to agree, during the first
/// [`FAST_PERIOD`] after the difference was found.
const FAST_INTERVAL: Nanos = 50 * MS;
/// Interval between digests of lists that still differ after [`FAST_PERIOD`]. The members are then
/// on different sides of a partition, or their lists have different capacities.
const SLOW_INTERVAL: Nanos = 1_000 * MS;
/// Maximum duration of fast digests after a difference was found.
const FAST_PERIOD: Nanos = 5_000 * MS;
/// Interval between digests while the lists are known to agree.
const IDLE_INTERVAL: Nanos = 2_000 * MS;
/// Number of consecutive agreeing replies after which the lists are known to agree.
const AGREEMENTS_REQUIRED: u8 = 3;

/// Entry of a member list, which describes another member or the owner of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Address and generation of the member.
    pub id: Identity,
    /// Incarnation of the member.
    pub incarnation: u16,
    /// Whether the member left or died.
    pub down: bool,
    /// Checksum of its metadata; 0 if no metadata is known.
    pub metadata_checksum: u32,
}

/// Maximum encoded length of an entry, in bytes: an IPv6 address and all numbers at their maximum
/// length.
const ENTRY_LENGTH_MAX: usize = 20 + 10 + 3 + 1 + 5;
/// Bytes reserved for the fields of a delta other than its entries.
const DELTA_HEADER_MAX: usize = 10;

/// Returns an address as bytes of fixed length, for checksums.
pub(crate) fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}

/// Returns the bucket of an address.
#[must_use]
pub fn bucket(address: SocketAddr) -> usize {
    xxh3_64(&address_bytes(address)) as usize % BUCKETS
}

/// Digest of a member list: one checksum for each bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDigest([u32; BUCKETS]);

impl ListDigest {
    /// Returns the digest of the live members among these entries. Incarnations are not included,
    /// because they change continuously with lossy links.
    pub fn from_entries(entries: impl Iterator<Item = MemberEntry>) -> Self {
        let mut digest = ListDigest::default();
        for entry in entries.filter(|entry| !entry.down) {
            let mut bytes = [0; 30];
            bytes[..18].copy_from_slice(&address_bytes(entry.id.address));
            bytes[18..26].copy_from_slice(&entry.id.generation.to_le_bytes());
            bytes[26..].copy_from_slice(&entry.metadata_checksum.to_le_bytes());
            digest.0[bucket(entry.id.address)] ^= xxh3_64(&bytes) as u32;
        }
        digest
    }

    /// Returns the buckets in which two digests differ, one bit each.
    fn differing_buckets(&self, other: &ListDigest) -> u32 {
        (0..BUCKETS)
            .filter(|bucket| self.0[*bucket] != other.0[*bucket])
            .fold(0, |buckets, bucket| buckets | 1 << bucket)
    }

    fn to_bytes(&self) -> Vec<u8> {
        self.0.iter().flat_map(|sum| sum.to_le_bytes()).collect()
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self, PayloadError> {
        if bytes.len() != DIGEST_LENGTH {
            return Err(PayloadError::DigestLength {
                expected: DIGEST_LENGTH,
                actual: bytes.len(),
            });
        }
        let mut digest = ListDigest::default();
        for (sum, bytes) in digest.0.iter_mut().zip(bytes.chunks_exact(4)) {
            *sum = bytes
                .iter()
                .rev()
                .fold(0, |sum, byte| sum << 8 | u32::from(*byte));
        }
        Ok(digest)
    }
}

/// Digest of a member's list, as it is sent.
#[derive(Serialize, Deserialize)]
pub(crate) struct DigestMessage {
    pub(crate) sender: Identity,
    pub(crate) digest: Vec<u8>,
}

/// Entries of the differing buckets, as many as fit into a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Member whose list the entries are from.
    pub sender: Identity,
    /// Buckets that are contained completely, one bit each; 0 if the lists agree.
    pub whole_buckets: u32,
    /// Whether this delta is a reply to another delta; such a delta is not answered.
    pub is_reply: bool,
    /// Entries of the differing buckets.
    pub entries: Vec<MemberEntry>,
}

/// Encodes the message by which another member compares its list with this digest.
#[must_use]
pub fn digest_payload(sender: Identity, digest: &ListDigest) -> Vec<u8> {
    let digest = digest.to_bytes();
    encode(&DigestMessage { sender, digest })
}

/// Compares a received digest with this member's list. Returns the delta and the sender.
/// `first_bucket` is included first, so that over several exchanges all buckets are sent even if
/// not all fit into one datagram.
///
/// # Errors
///
/// If the payload is not a digest.
pub fn compare_digest(
    payload: &[u8],
    own: Identity,
    digest: &ListDigest,
    entries: impl Iterator<Item = MemberEntry>,
    first_bucket: usize,
) -> Result<(ListDelta, Identity), PayloadError> {
    let message: DigestMessage = decode(payload)?;
    let differing = digest.differing_buckets(&ListDigest::from_bytes(&message.digest)?);
    let delta = ListDelta {
        sender: own,
        whole_buckets: 0,
        is_reply: false,
        entries: Vec::new(),
    };
    Ok((
        delta.with_entries(differing, entries, first_bucket),
        message.sender,
    ))
}

impl ListDelta {
    /// Adds the entries of these buckets, as many as fit.
    fn with_entries(
        mut self,
        buckets: u32,
        entries: impl Iterator<Item = MemberEntry>,
        first_bucket: usize,
    ) -> Self {
        if buckets == 0 {
            return self;
        }
        let mut by_bucket: Vec<Vec<MemberEntry>> = vec![Vec::new(); BUCKETS];
        for entry in entries {
            let bucket = bucket(entry.id.address);
            if buckets & (1 << bucket) != 0 {
                by_bucket[bucket].push(entry);
            }
        }
        let mut budget = PayloadBudget::new(PAYLOAD_MAX - ENTRY_LENGTH_MAX - DELTA_HEADER_MAX);
        let order = (0..BUCKETS).map(|offset| (first_bucket + offset) % BUCKETS);
        for bucket in order.filter(|bucket| buckets & (1 << bucket) != 0) {
            // Live members are added first in case the bucket does not fit.
            by_bucket[bucket].sort_by_key(|entry| entry.down);
            for entry in &by_bucket[bucket] {
                if !budget.push(&mut self.entries, *entry) {
                    return self;
                }
            }
            self.whole_buckets |= 1 << bucket;
        }
        self
    }

    /// Decodes a delta.
    ///
    /// # Errors
    ///
    /// If the payload is not a delta.
    pub fn decode(payload: &[u8]) -> Result<Self, PayloadError> {
        decode(payload)
    }

    /// Encodes the delta.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Returns whether both lists agree.
    #[must_use]
    pub fn agrees(&self) -> bool {
        self.whole_buckets == 0 && self.entries.is_empty()
    }

    /// Returns the entries of this member's list that the sender lacks or stores in another
    /// version, in the buckets that are contained completely. Returns `None` if there are none.
    pub fn reply(
        &self,
        own: Identity,
        own_entries: impl Iterator<Item = MemberEntry>,
    ) -> Option<ListDelta> {
        let is_up_to_date = |entry: &MemberEntry| {
            self.entries.iter().any(|other| {
                (other.id, other.down, other.metadata_checksum)
                    == (entry.id, entry.down, entry.metadata_checksum)
                    && other.incarnation >= entry.incarnation
            })
        };
        let is_alive_at_sender = |address: SocketAddr| {
            self.entries
                .iter()
                .any(|other| other.id.address == address && !other.down)
        };
        // A dead member is included only if it is alive in the list of the sender, because
        // tombstones expire at different times.
        let missing = own_entries.filter(|entry| {
            !is_up_to_date(entry) && (!entry.down || is_alive_at_sender(entry.id.address))
        });
        let reply = ListDelta {
            sender: own,
            whole_buckets: 0,
            is_reply: true,
            entries: Vec::new(),
        };
        let reply = reply.with_entries(self.whole_buckets, missing, 0);
        (!reply.entries.is_empty()).then_some(reply)
    }
}

/// Schedule of digests.
#[derive(Debug)]
pub struct AntiEntropySchedule {
    /// Number of further agreeing replies until the lists are known to agree.
    pending_agreements: u8,
    differing_since: Nanos,
    next: Nanos,
}

impl AntiEntropySchedule {
    /// Returns the schedule of a member that has just started, whose list is not known to agree.
    #[must_use]
    pub fn new(now: Nanos) -> Self {
        AntiEntropySchedule {
            pending_agreements: AGREEMENTS_REQUIRED,
            differing_since: now,
            next: now,
        }
    }

    /// Records that this member's list changed or that another list differs.
    pub fn mark_differing(&mut self, now: Nanos) {
        if self.pending_agreements == 0 {
            self.differing_since = now;
            self.next = self.next.min(now + FAST_INTERVAL);
        }
        self.pending_agreements = AGREEMENTS_REQUIRED;
    }

    /// Records that another list agrees.
    pub fn record_agreement(&mut self) {
        self.pending_agreements = self.pending_agreements.saturating_sub(1);
    }

    /// Returns whether a digest is due now, and schedules the next one.
    pub fn is_due(&mut self, now: Nanos) -> bool {
        if now < self.next {
            return false;
        }
        let interval = if self.pending_agreements == 0 {
            IDLE_INTERVAL
        } else if now.saturating_sub(self.differing_since) < FAST_PERIOD {
            FAST_INTERVAL
        } else {
            SLOW_INTERVAL
        };
        self.next = now + interval;
        true
    }
}

#[cfg(test)]
mod tests;
