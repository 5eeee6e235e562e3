//! The envelope of each datagram: fleet or region, format version, message kind, payload and
//! checksum.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | the magic number `pf` |
//! | 1 | format version |
//! | 1 | message kind |
//! | 8 | scope: xxh3 of the fleet's name, or of fleet and region, little-endian |
//! | up to [`PAYLOAD_MAX`] | payload |
//! | 4 | the low half of xxh3 of all bytes before, little-endian |
//!
//! The checksum detects corruption; it is no signature.

use crate::fault_injection::{InjectedFault, is_injected};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The format's version; datagrams of other versions are dropped.
pub const VERSION: u8 = 1;
/// The longest datagram, in bytes: under the least MTU of IPv6, so that none is fragmented.
pub const DATAGRAM_MAX: usize = 1_200;
const HEADER_LENGTH: usize = 12;
const CHECKSUM_LENGTH: usize = 4;
/// The longest payload, in bytes.
pub const PAYLOAD_MAX: usize = DATAGRAM_MAX - HEADER_LENGTH - CHECKSUM_LENGTH;
const MAGIC: [u8; 2] = *b"pf";

/// What a payload is; the number goes on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// SWIM, read by `foca`.
    Swim = 1,
    /// Metadata records.
    MetadataRecords = 2,
    /// Asks for the metadata records of some members.
    MetadataRequest = 3,
    /// A watcher probes a silent or suspect member.
    WatcherProbe = 4,
    /// A heartbeat for the watchers.
    Heartbeat = 5,
    /// Anti-entropy: the digest of a member list.
    MemberListDigest = 6,
    /// Anti-entropy: entries where two member lists differ.
    MemberListDelta = 7,
    /// Reports of load and shedding level.
    LevelReports = 8,
    /// Anti-entropy between delegates: versions of the announcements that one stores.
    RegionDigest = 9,
    /// Anti-entropy between delegates: announcements that differ.
    RegionDelta = 10,
    /// Announcements that are new or were requested.
    RegionAnnouncements = 11,
    /// A member that is no delegate names those that are.
    RegionReferral = 12,
    /// Parts of the overview of the other regions.
    Overview = 13,
    /// Anti-entropy: checksums of the overview's parts.
    OverviewDigest = 14,
}

impl MessageKind {
    /// All kinds, by their numbers from 1 on.
    const ALL: [MessageKind; 14] = [
        MessageKind::Swim,
        MessageKind::MetadataRecords,
        MessageKind::MetadataRequest,
        MessageKind::WatcherProbe,
        MessageKind::Heartbeat,
        MessageKind::MemberListDigest,
        MessageKind::MemberListDelta,
        MessageKind::LevelReports,
        MessageKind::RegionDigest,
        MessageKind::RegionDelta,
        MessageKind::RegionAnnouncements,
        MessageKind::RegionReferral,
        MessageKind::Overview,
        MessageKind::OverviewDigest,
    ];

    fn from_wire(number: u8) -> Option<Self> {
        let index = usize::from(number).checked_sub(1)?;
        Self::ALL.get(index).copied()
    }

    fn is_between_regions(self) -> bool {
        matches!(
            self,
            MessageKind::RegionDigest
                | MessageKind::RegionDelta
                | MessageKind::RegionAnnouncements
                | MessageKind::RegionReferral
        )
    }

    /// Whether only members with a region read it.
    fn needs_regions(self) -> bool {
        self.is_between_regions()
            || matches!(self, MessageKind::Overview | MessageKind::OverviewDigest)
    }
}

/// The scope numbers by which a member tells its datagrams from those of other fleets and regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnvelopeScope {
    /// Of the members that know each other: the region, or the fleet where there are no regions.
    members: u64,
    /// Of the whole fleet, where it has regions.
    fleet: Option<u64>,
}

impl EnvelopeScope {
    /// The scope of a fleet, or of one region of it where `region` is not empty.
    #[must_use]
    pub fn new(fleet: &str, region: &str) -> Self {
        if region.is_empty() {
            return EnvelopeScope {
                members: fleet_number(fleet),
                fleet: None,
            };
        }
        // A fleet's name contains no NUL, so the number is no other fleet's.
        let members = fleet_number(&format!("{fleet}\0{region}"));
        EnvelopeScope {
            members,
            fleet: Some(fleet_number(fleet)),
        }
    }

    /// The number on datagrams of a kind; `None` for kinds that are not read without regions.
    fn of(self, kind: MessageKind) -> Option<u64> {
        match (kind.needs_regions(), kind.is_between_regions(), self.fleet) {
            (true, _, None) => None,
            (_, true, Some(fleet)) => Some(fleet),
            _ => Some(self.members),
        }
    }
}

/// Why a datagram is dropped unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EnvelopeError {
    /// Not of this protocol, corrupt or too long.
    #[error("the datagram is corrupt, too long or of another protocol")]
    Corrupt,
    /// Of another fleet or region.
    #[error("the datagram is of another fleet or region")]
    Foreign,
    /// Of another version of the format, or of an unknown kind.
    #[error("the datagram is of another format version or of an unknown kind")]
    UnsupportedVersion,
}

/// A fleet's number on the wire.
#[must_use]
pub fn fleet_number(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_LENGTH] {
    (xxh3_64(bytes) as u32).to_le_bytes()
}

/// Wraps a payload of at most [`PAYLOAD_MAX`] bytes.
#[must_use]
pub fn seal(scope: EnvelopeScope, kind: MessageKind, payload: &[u8]) -> Vec<u8> {
    debug_assert!(payload.len() <= PAYLOAD_MAX);
    let scope_number = scope.of(kind).unwrap_or(scope.members);
    let mut datagram = Vec::with_capacity(HEADER_LENGTH + payload.len() + CHECKSUM_LENGTH);
    datagram.extend(MAGIC);
    datagram.extend([VERSION, kind as u8]);
    datagram.extend(scope_number.to_le_bytes());
    datagram.extend(payload);
    let checksum = checksum(&datagram);
    datagram.extend(checksum);
    datagram
}

/// Unwraps a datagram.
///
/// # Errors
///
/// If the datagram is corrupt, of another fleet, or of a version or kind that is not read.
pub fn open(scope: EnvelopeScope, datagram: &[u8]) -> Result<(MessageKind, &[u8]), EnvelopeError> {
    let length = HEADER_LENGTH + CHECKSUM_LENGTH..=DATAGRAM_MAX;
    if !length.contains(&datagram.len()) || datagram[..2] != MAGIC {
        return Err(EnvelopeError::Corrupt);
    }
    let (content, expected) = datagram.split_at(datagram.len() - CHECKSUM_LENGTH);
    if checksum(content) != expected {
        return Err(EnvelopeError::Corrupt);
    }
    if content[2] != VERSION {
        return Err(EnvelopeError::UnsupportedVersion);
    }
    let kind = MessageKind::from_wire(content[3]);
    let scope_number = kind
        .and_then(|kind| scope.of(kind))
        .unwrap_or(scope.members);
    let foreign = content[4..HEADER_LENGTH] != scope_number.to_le_bytes();
    if foreign && !is_injected(InjectedFault::AcceptsForeignFleets) {
        return Err(EnvelopeError::Foreign);
    }
    let kind = kind
        .filter(|kind| scope.of(*kind).is_some())
        .ok_or(EnvelopeError::UnsupportedVersion)?;
    Ok((kind, &content[HEADER_LENGTH..]))
}

#[cfg(test)]
mod tests;
