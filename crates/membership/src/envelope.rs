//! Envelope of each datagram: fleet or region, format version, message kind, payload and checksum.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | magic number `pf` |
//! | 1 | format version |
//! | 1 | message kind |
//! | 8 | scope: xxh3 of the fleet name, or of fleet and region, little-endian |
//! | up to [`PAYLOAD_MAX`] | payload |
//! | 4 | low 32 bits of the xxh3 of all preceding bytes, little-endian |
//!
//! The checksum detects corruption only; it is not a signature.

use crate::fault_injection::{InjectedFault, is_injected};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Format version; datagrams of other versions are dropped.
pub const VERSION: u8 = 1;
/// Maximum length of a datagram, in bytes. It is below the minimum MTU of IPv6, so datagrams are
/// not fragmented.
pub const DATAGRAM_MAX: usize = 1_200;
const HEADER_LENGTH: usize = 12;
const CHECKSUM_LENGTH: usize = 4;
/// Maximum length of a payload, in bytes.
pub const PAYLOAD_MAX: usize = DATAGRAM_MAX - HEADER_LENGTH - CHECKSUM_LENGTH;
const MAGIC: [u8; 2] = *b"pf";

/// Kind of message in a payload; the number is written on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// SWIM message, decoded by `foca`.
    Swim = 1,
    /// Metadata records.
    MetadataRecords = 2,
    /// Request for the metadata records of some members.
    MetadataRequest = 3,
    /// Probe from a watcher to a silent or suspect member.
    WatcherProbe = 4,
    /// Heartbeat from a member to its watchers.
    Heartbeat = 5,
    /// Anti-entropy: digest of a member list.
    MemberListDigest = 6,
    /// Anti-entropy: entries where two member lists differ.
    MemberListDelta = 7,
    /// Reports of admission counts and shedding levels.
    LevelReports = 8,
    /// Anti-entropy between delegates: versions of the announcements that the sender stores.
    RegionDigest = 9,
    /// Anti-entropy between delegates: announcements that differ.
    RegionDelta = 10,
    /// Announcements that are new or were requested by the recipient.
    RegionAnnouncements = 11,
    /// Addresses of the delegates, sent by a member that is not a delegate.
    RegionReferral = 12,
    /// Parts of the overview of the other regions.
    Overview = 13,
    /// Anti-entropy: checksums of the parts of the overview.
    OverviewDigest = 14,
}

impl MessageKind {
    /// All kinds, in the order of their numbers, which start at 1.
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

    /// Returns whether only members with a region read this kind.
    fn needs_regions(self) -> bool {
        self.is_between_regions()
            || matches!(self, MessageKind::Overview | MessageKind::OverviewDigest)
    }
}

/// Scope numbers by which a member distinguishes its datagrams from those of other fleets and
/// regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnvelopeScope {
    /// Number of the scope in which members track each other: the region, or the fleet if it has no
    /// regions.
    member_scope: u64,
    /// Number of the whole fleet; set if the fleet has regions.
    fleet_scope: Option<u64>,
}

impl EnvelopeScope {
    /// Returns the scope of a fleet, or of one of its regions if `region` is not empty.
    #[must_use]
    pub fn new(fleet: &str, region: &str) -> Self {
        if region.is_empty() {
            return EnvelopeScope {
                member_scope: scope_number(fleet),
                fleet_scope: None,
            };
        }
        // Fleet names contain no NUL, so this number does not collide with that of a fleet name.
        let member_scope = scope_number(&format!("{fleet}\0{region}"));
        EnvelopeScope {
            member_scope,
            fleet_scope: Some(scope_number(fleet)),
        }
    }

    /// Returns the scope number of datagrams of a kind, or `None` for kinds that this member does
    /// not read because it has no region.
    fn number_for(self, kind: MessageKind) -> Option<u64> {
        match (
            kind.needs_regions(),
            kind.is_between_regions(),
            self.fleet_scope,
        ) {
            (true, _, None) => None,
            (_, true, Some(fleet_scope)) => Some(fleet_scope),
            _ => Some(self.member_scope),
        }
    }
}

/// Reason for dropping a datagram without decoding its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EnvelopeError {
    /// The datagram is corrupt, too short or too long, or of another protocol.
    #[error("the datagram is corrupt, has an invalid length, or belongs to another protocol")]
    Corrupt,
    /// The datagram belongs to another fleet or region.
    #[error("the datagram belongs to another fleet or region")]
    Foreign,
    /// The datagram has another format version or an unknown message kind.
    #[error("the datagram has another format version or an unknown message kind")]
    UnsupportedVersion,
}

/// Returns the scope number that stands for a fleet, or for a fleet and a region, on the wire.
#[must_use]
pub fn scope_number(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_LENGTH] {
    (xxh3_64(bytes) as u32).to_le_bytes()
}

/// Wraps a payload of at most [`PAYLOAD_MAX`] bytes into a datagram.
#[must_use]
pub fn seal(scope: EnvelopeScope, kind: MessageKind, payload: &[u8]) -> Vec<u8> {
    debug_assert!(payload.len() <= PAYLOAD_MAX);
    let scope_number = scope.number_for(kind).unwrap_or(scope.member_scope);
    let mut datagram = Vec::with_capacity(HEADER_LENGTH + payload.len() + CHECKSUM_LENGTH);
    datagram.extend(MAGIC);
    datagram.extend([VERSION, kind as u8]);
    datagram.extend(scope_number.to_le_bytes());
    datagram.extend(payload);
    let checksum = checksum(&datagram);
    datagram.extend(checksum);
    datagram
}

/// Validates a datagram and returns its message kind and payload.
///
/// # Errors
///
/// If the datagram is corrupt, belongs to another fleet, or has another version or an unknown kind.
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
        .and_then(|kind| scope.number_for(kind))
        .unwrap_or(scope.member_scope);
    let foreign = content[4..HEADER_LENGTH] != scope_number.to_le_bytes();
    if foreign && !is_injected(InjectedFault::AcceptsForeignFleets) {
        return Err(EnvelopeError::Foreign);
    }
    let kind = kind
        .filter(|kind| scope.number_for(*kind).is_some())
        .ok_or(EnvelopeError::UnsupportedVersion)?;
    Ok((kind, &content[HEADER_LENGTH..]))
}

#[cfg(test)]
mod tests;
