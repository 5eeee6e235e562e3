//! Anti-entropy of member lists: finds what broadcasts have missed.
//!
//! A broadcast is passed on a bounded number of times, so now and then one dies out before it has
//! reached everyone. So each member keeps a digest of the members that it believes alive: their
//! generations and metadata, in [`BUCKETS`] buckets by address. Two members whose digests differ
//! exchange the entries of the differing buckets, and both end with the later version of each.
//! Equal lists cost one small message and one smaller reply.

use crate::envelope::PAYLOAD_MAX;
use crate::payload::{PayloadBudget, PayloadError, decode, encode};
use crate::{Identity, MS, Nanos};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::xxh3_64;

/// The buckets of a digest; one bucket of a list of a thousand members fits into one datagram.
pub const BUCKETS: usize = 32;
const DIGEST_LENGTH: usize = 4 * BUCKETS;
/// How often a digest is sent while the lists are not known to agree, during [`FAST_PERIOD`],
const FAST_INTERVAL: Nanos = 50 * MS;
/// and after it: lists that differ for longer belong to partitions, or have different capacities.
const SLOW_INTERVAL: Nanos = 1_000 * MS;
const FAST_PERIOD: Nanos = 5_000 * MS;
/// How often a digest is sent while the lists agree.
const IDLE_INTERVAL: Nanos = 2_000 * MS;
/// This many agreeing replies in a row make the lists known to agree.
const AGREEMENTS: u8 = 3;

/// What one member knows of another, or of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The member and its generation.
    pub id: Identity,
    /// Its incarnation.
    pub incarnation: u16,
    /// Whether it left or died.
    pub down: bool,
    /// The checksum of its metadata; 0 where none is known.
    pub metadata_checksum: u32,
}

/// The longest encoding of an entry, in bytes: an IPv6 address and numbers of full length.
const ENTRY_LENGTH_MAX: usize = 20 + 10 + 3 + 1 + 5;
/// Bytes for the fields of a delta besides its entries.
const DELTA_HEADER_MAX: usize = 10;

/// An address as bytes of fixed length, for checksums.
pub(crate) fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}

/// The bucket of an address.
#[must_use]
pub fn bucket(address: SocketAddr) -> usize {
    xxh3_64(&address_bytes(address)) as usize % BUCKETS
}

/// The digest of a member list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDigest([u32; BUCKETS]);

impl ListDigest {
    /// The digest of the live members among these. Incarnations do not count: with lossy links they
    /// change all the time.
    pub fn of(entries: impl Iterator<Item = MemberEntry>) -> Self {
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

    /// The buckets in which two digests differ, one bit each.
    fn differing_buckets(&self, other: &ListDigest) -> u32 {
        (0..BUCKETS)
            .filter(|b| self.0[*b] != other.0[*b])
            .fold(0, |buckets, b| buckets | 1 << b)
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

/// A member's digest, as it is sent.
#[derive(Serialize, Deserialize)]
pub(crate) struct DigestMessage {
    pub(crate) by: Identity,
    pub(crate) digest: Vec<u8>,
}

/// The entries of the buckets that differ, as far as they fit into a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// Whose list it is.
    pub by: Identity,
    /// The buckets that are contained whole, one bit each; none if the lists agree.
    pub whole_buckets: u32,
    /// Whether it replies to a delta, and is not replied to.
    pub is_reply: bool,
    /// The entries.
    pub entries: Vec<MemberEntry>,
}

/// Encodes the message that asks another member whether its list is the same.
#[must_use]
pub fn digest_payload(by: Identity, digest: &ListDigest) -> Vec<u8> {
    let digest = digest.to_bytes();
    encode(&DigestMessage { by, digest })
}

/// Compares a received digest with the own list; returns the delta and the sender. `first_bucket`
/// is contained first: where not all fit, others come the next time.
///
/// # Errors
///
/// If the payload is no digest.
pub fn compare_digest(
    payload: &[u8],
    by: Identity,
    digest: &ListDigest,
    entries: impl Iterator<Item = MemberEntry>,
    first_bucket: usize,
) -> Result<(ListDelta, Identity), PayloadError> {
    let message: DigestMessage = decode(payload)?;
    let differing = digest.differing_buckets(&ListDigest::from_bytes(&message.digest)?);
    let delta = ListDelta {
        by,
        whole_buckets: 0,
        is_reply: false,
        entries: Vec::new(),
    };
    Ok((delta.filled(differing, entries, first_bucket), message.by))
}

impl ListDelta {
    /// Adds the entries of these buckets, as far as they fit.
    fn filled(
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
        let order = (0..BUCKETS).map(|n| (n + first_bucket) % BUCKETS);
        for bucket in order.filter(|bucket| buckets & (1 << bucket) != 0) {
            // Live members come first, should the bucket not fit.
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
    /// If the payload is no delta.
    pub fn decode(payload: &[u8]) -> Result<Self, PayloadError> {
        decode(payload)
    }

    /// Encodes the delta.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Whether both lists are the same.
    #[must_use]
    pub fn agrees(&self) -> bool {
        self.whole_buckets == 0 && self.entries.is_empty()
    }

    /// What the sender lacks, or knows otherwise, of the own list, in the buckets that are
    /// contained whole.
    pub fn reply(
        &self,
        by: Identity,
        own_entries: impl Iterator<Item = MemberEntry>,
    ) -> Option<ListDelta> {
        let is_known = |entry: &MemberEntry| {
            self.entries.iter().any(|other| {
                (other.id, other.down, other.metadata_checksum)
                    == (entry.id, entry.down, entry.metadata_checksum)
                    && other.incarnation >= entry.incarnation
            })
        };
        let is_believed_alive = |address: SocketAddr| {
            self.entries
                .iter()
                .any(|other| other.id.address == address && !other.down)
        };
        // Of dead members only those count that the sender believes alive: tombstones expire at
        // different times.
        let missing = own_entries.filter(|entry| {
            !is_known(entry) && (!entry.down || is_believed_alive(entry.id.address))
        });
        let reply = ListDelta {
            by,
            whole_buckets: 0,
            is_reply: true,
            entries: Vec::new(),
        };
        let reply = reply.filled(self.whole_buckets, missing, 0);
        (!reply.entries.is_empty()).then_some(reply)
    }
}

/// When the next digest is due.
#[derive(Debug)]
pub struct AntiEntropySchedule {
    /// Agreeing replies that are still missing.
    pending_agreements: u8,
    differing_since: Nanos,
    next: Nanos,
}

impl AntiEntropySchedule {
    /// The schedule of a member that has just started: its list is not known to agree.
    #[must_use]
    pub fn new(now: Nanos) -> Self {
        AntiEntropySchedule {
            pending_agreements: AGREEMENTS,
            differing_since: now,
            next: now,
        }
    }

    /// The own list changed, or another one differs.
    pub fn mark_differing(&mut self, now: Nanos) {
        if self.pending_agreements == 0 {
            self.differing_since = now;
            self.next = self.next.min(now + FAST_INTERVAL);
        }
        self.pending_agreements = AGREEMENTS;
    }

    /// Another list is the same.
    pub fn record_agreement(&mut self) {
        self.pending_agreements = self.pending_agreements.saturating_sub(1);
    }

    /// Whether a digest is due now; schedules the next one.
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
