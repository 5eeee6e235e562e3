//! The frame round each datagram: whose it is, of which format, and whether it is whole.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `pf` |
//! | 1 | the format's version |
//! | 1 | the kind |
//! | 8 | the fleet: xxh3 of its name, little-endian; within a region of it: of both names |
//! | up to [`PAYLOAD_MAX`] | the payload |
//! | 4 | the low half of xxh3 of all before, little-endian |
//!
//! The sum finds what was torn or scattered; it is no signature.

use xxhash_rust::xxh3::xxh3_64;

/// The format's version; datagrams of others are dropped.
pub const VERSION: u8 = 1;
/// The longest datagram that is sent or read: under the least MTU of IPv6, so that none is cut up on its way.
pub const DATAGRAM_MAX: usize = 1_200;
const HEAD: usize = 12;
const SUM: usize = 4;
/// The longest payload.
pub const PAYLOAD_MAX: usize = DATAGRAM_MAX - HEAD - SUM;
const MAGIC: [u8; 2] = *b"pf";

/// What a payload is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Membership, read by `foca`.
    Swim = 1,
    /// Metadata records.
    Records = 2,
    /// The members whose records are missing.
    Want = 3,
    /// A watcher's question.
    Ask = 4,
    /// A word for the watchers.
    Beat = 5,
    /// A list of members, summed up.
    Compare = 6,
    /// What is held where two lists differ.
    Told = 7,
    /// Words of load.
    Load = 8,
    /// Announcements of regions, compared between delegates.
    RegionQuestion = 9,
    /// What the asker lacks of them.
    RegionAnswer = 10,
    /// Announcements that are new, or were asked for.
    RegionNews = 11,
    /// Who speaks for the regions, by one that does not.
    RegionReferral = 12,
    /// Parts of the overview that a region's members hold of the others.
    Overview = 13,
    /// The overview, summed up.
    OverviewQuestion = 14,
}

impl Kind {
    /// All kinds, by their numbers from 1 on.
    const ALL: [Kind; 14] = [
        Kind::Swim,
        Kind::Records,
        Kind::Want,
        Kind::Ask,
        Kind::Beat,
        Kind::Compare,
        Kind::Told,
        Kind::Load,
        Kind::RegionQuestion,
        Kind::RegionAnswer,
        Kind::RegionNews,
        Kind::RegionReferral,
        Kind::Overview,
        Kind::OverviewQuestion,
    ];

    /// Whether it goes from one region to another.
    fn is_between_regions(self) -> bool {
        use Kind::{RegionAnswer, RegionNews, RegionQuestion, RegionReferral};
        matches!(
            self,
            RegionQuestion | RegionAnswer | RegionNews | RegionReferral
        )
    }

    /// Whether only members that know regions read it.
    fn needs_regions(self) -> bool {
        self.is_between_regions() || matches!(self, Kind::Overview | Kind::OverviewQuestion)
    }
}

/// The numbers by which a member's datagrams are told from those of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Numbers {
    /// Of the members that know each other: the region's, or the whole fleet's where there are no regions.
    members: u64,
    /// Of the whole fleet, where it has regions.
    fleet: Option<u64>,
}

impl Numbers {
    /// Of a fleet of this name without regions, or of one region of it.
    pub fn new(fleet: &str, region: &str) -> Self {
        if region.is_empty() {
            return Numbers {
                members: fleet_number(fleet),
                fleet: None,
            };
        }
        // No name of a fleet ends like this: names are told as text.
        let members = fleet_number(&format!("{fleet}\0{region}"));
        Numbers {
            members,
            fleet: Some(fleet_number(fleet)),
        }
    }

    /// The number that stands on datagrams of a kind; without regions there are kinds that are not read.
    fn of(self, kind: Kind) -> Option<u64> {
        match (kind.needs_regions(), kind.is_between_regions(), self.fleet) {
            (true, _, None) => None,
            (_, true, Some(fleet)) => Some(fleet),
            _ => Some(self.members),
        }
    }
}

/// Why a datagram is dropped unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Not of this protocol, torn, scattered or too long.
    Torn,
    /// Of another fleet.
    Foreign,
    /// Of another version of the format, or of a kind that this one lacks.
    Version,
}

/// A fleet's number on the wire.
pub fn fleet_number(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn sum(bytes: &[u8]) -> [u8; SUM] {
    (xxh3_64(bytes) as u32).to_le_bytes()
}

/// Frames a payload of at most [`PAYLOAD_MAX`] bytes.
pub fn seal(numbers: Numbers, kind: Kind, payload: &[u8]) -> Vec<u8> {
    debug_assert!(payload.len() <= PAYLOAD_MAX);
    let fleet = numbers.of(kind).unwrap_or(numbers.members);
    let mut datagram = Vec::with_capacity(HEAD + payload.len() + SUM);
    datagram.extend(MAGIC);
    datagram.extend([VERSION, kind as u8]);
    datagram.extend(fleet.to_le_bytes());
    datagram.extend(payload);
    let sum = sum(&datagram);
    datagram.extend(sum);
    datagram
}

/// Takes a payload out of its frame.
pub fn open(numbers: Numbers, datagram: &[u8]) -> Result<(Kind, &[u8]), Refusal> {
    if datagram.len() > DATAGRAM_MAX || datagram.len() < HEAD + SUM || datagram[..2] != MAGIC {
        return Err(Refusal::Torn);
    }
    let (whole, told) = datagram.split_at(datagram.len() - SUM);
    if sum(whole) != told {
        return Err(Refusal::Torn);
    }
    if whole[2] != VERSION {
        return Err(Refusal::Version);
    }
    let kind = usize::from(whole[3])
        .checked_sub(1)
        .and_then(|n| Kind::ALL.get(n))
        .copied();
    let number = kind
        .and_then(|kind| numbers.of(kind))
        .unwrap_or(numbers.members);
    let foreign = whole[4..HEAD] != number.to_le_bytes();
    if foreign && !crate::planted::is_injected(crate::planted::InjectedFault::ReadsForeignFleets) {
        return Err(Refusal::Foreign);
    }
    let kind = kind
        .filter(|kind| numbers.of(*kind).is_some())
        .ok_or(Refusal::Version)?;
    Ok((kind, &whole[HEAD..]))
}

#[cfg(test)]
mod tests;
