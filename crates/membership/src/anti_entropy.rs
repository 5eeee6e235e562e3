//! Lists of members compared: what rumours have missed is found and told.
//!
//! A rumour is passed on a bounded number of times, so now and then one dies out before it has reached all, and nothing
//! of the talk would ever name the one pair of members of which one lacks the other. So each member sums up whom it takes
//! for living, by the life they live and by what they say of themselves, in [`BUCKETS`] parts by address. Two whose sums
//! differ tell each other what they hold in the parts that differ, and both end with the later word of each. Equal lists
//! cost one small question and one smaller answer.

use crate::envelope::PAYLOAD_MAX;
use crate::{Identity, MS, Nanos};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::xxh3_64;

/// Into so many parts a list is summed up; a part of a thousand members fits into one datagram.
pub const BUCKETS: usize = 32;
/// While the lists are not known to agree, one member is asked this often,
const EVERY: Nanos = 50 * MS;
/// as long as that is new; lists that differ for longer are cut apart, or hold different numbers of members.
const EVERY_LATER: Nanos = 1_000 * MS;
const NEW: Nanos = 5_000 * MS;
/// A calm member asks one other all the same.
const EVERY_CALM: Nanos = 2_000 * MS;
/// So many others in a row must hold the same before a member is sure.
const AGREED: u8 = 3;

/// What one member holds of another, or of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Who, and which of its lives.
    pub id: Identity,
    /// How often it refuted.
    pub incarnation: u16,
    /// It left or died.
    pub down: bool,
    /// A checksum of what it said last of itself; 0 where nothing is known.
    pub record: u32,
}

/// The longest that an entry gets on the wire: an address of IPv6, numbers of full length.
const ENTRY_MAX: usize = 20 + 10 + 3 + 1 + 5;

/// An address as bytes, the same length for all; a text of it would cost more than all else here.
pub(crate) fn bytes_of(address: SocketAddr) -> [u8; 18] {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}

/// The part that an address is in.
pub fn bucket(address: SocketAddr) -> usize {
    xxh3_64(&bytes_of(address)) as usize % BUCKETS
}

/// A list, summed up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sums([u32; BUCKETS]);

impl Sums {
    /// Of these; only the living count. How often they refuted doesn't: where datagrams get lost that changes all the time.
    pub fn of(entries: impl Iterator<Item = Entry>) -> Self {
        let mut sums = Sums::default();
        for entry in entries.filter(|entry| !entry.down) {
            let mut bytes = [0; 30];
            bytes[..18].copy_from_slice(&bytes_of(entry.id.address));
            bytes[18..26].copy_from_slice(&entry.id.generation.to_le_bytes());
            bytes[26..].copy_from_slice(&entry.record.to_le_bytes());
            sums.0[bucket(entry.id.address)] ^= xxh3_64(&bytes) as u32;
        }
        sums
    }

    /// The parts in which two differ, a bit each.
    fn differing(&self, other: &Sums) -> u32 {
        (0..BUCKETS)
            .filter(|b| self.0[*b] != other.0[*b])
            .fold(0, |parts, b| parts | 1 << b)
    }

    fn read(bytes: &[u8]) -> Option<Self> {
        let mut sums = Sums::default();
        if bytes.len() != 4 * BUCKETS {
            return None;
        }
        for (sum, bytes) in sums.0.iter_mut().zip(bytes.chunks_exact(4)) {
            *sum = u32::from_le_bytes(bytes.try_into().ok()?);
        }
        Some(sums)
    }
}

#[derive(Serialize, Deserialize)]
pub(crate) struct Question {
    pub(crate) by: Identity,
    pub(crate) sums: Vec<u8>,
}

/// What one holds in the parts that differ, as far as a datagram bears it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whose list it is.
    pub by: Identity,
    /// The parts that are told whole; none if the lists agree.
    pub parts: u32,
    /// It answers an answer, and is not answered.
    pub last: bool,
    /// What is held.
    pub entries: Vec<Entry>,
}

/// Asks another whether its list is the same.
pub fn question(by: Identity, sums: &Sums) -> Vec<u8> {
    let sums = sums.0.iter().flat_map(|sum| sum.to_le_bytes()).collect();
    postcard::to_stdvec(&Question { by, sums }).unwrap_or_default()
}

/// Answers a question by the own list. `from` picks the part that is told first: where not all fit, others come next time.
/// `None` for what can't be read. The answer, and who asked.
pub fn answer(
    payload: &[u8],
    by: Identity,
    sums: &Sums,
    entries: impl Iterator<Item = Entry>,
    from: usize,
) -> Option<(Answer, Identity)> {
    let question: Question = postcard::from_bytes(payload).ok()?;
    let differing = sums.differing(&Sums::read(&question.sums)?);
    Some((told(by, differing, entries, from, false), question.by))
}

fn told(
    by: Identity,
    differing: u32,
    entries: impl Iterator<Item = Entry>,
    from: usize,
    last: bool,
) -> Answer {
    let mut answer = Answer {
        by,
        parts: 0,
        last,
        entries: Vec::new(),
    };
    // As it is most of the time.
    if differing == 0 {
        return answer;
    }
    let mut parts: Vec<Vec<Entry>> = vec![Vec::new(); BUCKETS];
    for entry in entries {
        let part = bucket(entry.id.address);
        if differing & (1 << part) != 0 {
            parts[part].push(entry);
        }
    }
    let mut room = PAYLOAD_MAX - ENTRY_MAX - 10;
    for part in (0..BUCKETS)
        .map(|n| (n + from) % BUCKETS)
        .filter(|part| differing & (1 << part) != 0)
    {
        let mut whole = true;
        // The living first, should one part not fit.
        parts[part].sort_by_key(|entry| entry.down);
        for entry in &parts[part] {
            let length = postcard::to_stdvec(entry).map_or(ENTRY_MAX, |bytes| bytes.len());
            if length > room {
                whole = false;
                break;
            }
            room -= length;
            answer.entries.push(*entry);
        }
        if !whole {
            break;
        }
        answer.parts |= 1 << part;
    }
    answer
}

/// Reads an answer.
pub fn read(payload: &[u8]) -> Option<Answer> {
    postcard::from_bytes(payload).ok()
}

/// Puts an answer on the wire.
pub fn write(answer: &Answer) -> Vec<u8> {
    postcard::to_stdvec(answer).unwrap_or_default()
}

impl Answer {
    /// Whether both lists are the same.
    pub fn agrees(&self) -> bool {
        self.parts == 0 && self.entries.is_empty()
    }

    /// What the other lacks, or holds otherwise, of the own list: in the parts that it told whole.
    pub fn lacks(&self, by: Identity, own: impl Iterator<Item = Entry>) -> Option<Answer> {
        let same = |entry: &Entry| {
            self.entries.iter().any(|e| {
                (e.id, e.down, e.record) == (entry.id, entry.down, entry.record)
                    && e.incarnation >= entry.incarnation
            })
        };
        // Of the dead it is told where it takes them for living only: each forgets them in its own time.
        let unlike = own.filter(|entry| {
            !same(entry)
                && (!entry.down
                    || self
                        .entries
                        .iter()
                        .any(|e| e.id.address == entry.id.address && !e.down))
        });
        let back = told(by, self.parts, unlike, 0, true);
        (!back.entries.is_empty()).then_some(back)
    }
}

/// When the next question is due.
#[derive(Debug)]
pub struct Pace {
    /// So many others must still agree.
    open: u8,
    since: Nanos,
    next: Nanos,
}

impl Pace {
    /// A member that has just started is not sure.
    pub fn new(now: Nanos) -> Self {
        Pace {
            open: AGREED,
            since: now,
            next: now,
        }
    }

    /// Something changed, or another holds something else.
    pub fn stir(&mut self, now: Nanos) {
        if self.open == 0 {
            self.since = now;
            self.next = self.next.min(now + EVERY);
        }
        self.open = AGREED;
    }

    /// Another holds the same.
    pub fn agreed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Whether somebody is to be asked now.
    pub fn due(&mut self, now: Nanos) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now
            + match self.open {
                0 => EVERY_CALM,
                _ if now.saturating_sub(self.since) < NEW => EVERY,
                _ => EVERY_LATER,
            };
        true
    }
}

#[cfg(test)]
mod tests;
