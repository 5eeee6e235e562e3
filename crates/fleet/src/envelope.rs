//! The frame round each datagram: whose it is, of which format, and whether it is whole.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `pf` |
//! | 1 | the format's version |
//! | 1 | the kind |
//! | 8 | the fleet: xxh3 of its name, little-endian |
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
    /// Records of soft state.
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
pub fn seal(fleet: u64, kind: Kind, payload: &[u8]) -> Vec<u8> {
    debug_assert!(payload.len() <= PAYLOAD_MAX);
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
pub fn open(fleet: u64, datagram: &[u8]) -> Result<(Kind, &[u8]), Refusal> {
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
    let foreign = whole[4..HEAD] != fleet.to_le_bytes();
    if foreign && !crate::planted::is(crate::planted::Fault::ReadsForeignFleets) {
        return Err(Refusal::Foreign);
    }
    let kind = match whole[3] {
        1 => Kind::Swim,
        2 => Kind::Records,
        3 => Kind::Want,
        4 => Kind::Ask,
        5 => Kind::Beat,
        6 => Kind::Compare,
        7 => Kind::Told,
        8 => Kind::Load,
        _ => return Err(Refusal::Version),
    };
    Ok((kind, &whole[HEAD..]))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_frame_is_read_by_its_own_fleet_and_version_only_and_only_whole() {
        let (ours, theirs) = (fleet_number("a"), fleet_number("b"));
        let datagram = seal(ours, Kind::Want, b"payload");
        assert_eq!(open(ours, &datagram), Ok((Kind::Want, b"payload".as_slice())));
        assert_eq!(open(theirs, &datagram), Err(Refusal::Foreign));
        for cut in 0..datagram.len() {
            assert_eq!(open(ours, &datagram[..cut]), Err(Refusal::Torn));
            let mut flipped = datagram.clone();
            flipped[cut] ^= 1;
            assert_eq!(open(ours, &flipped), Err(Refusal::Torn), "byte {cut}");
        }
        let mut next = datagram[..datagram.len() - SUM].to_vec();
        next[2] = VERSION + 1;
        let sum = sum(&next);
        next.extend(sum);
        assert_eq!(open(ours, &next), Err(Refusal::Version));
        assert_eq!(open(ours, &seal(ours, Kind::Swim, &[0; PAYLOAD_MAX])).unwrap().1.len(), PAYLOAD_MAX);
        assert_eq!(open(ours, &[b'p'; DATAGRAM_MAX + 1]), Err(Refusal::Torn));
    }
}
