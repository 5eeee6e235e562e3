//! Metadata: a small record of each member, told by itself, spread by rumour and, where one is missing, asked for.

use crate::fault_injection::{self, InjectedFault};
use crate::{Identity, MS, Nanos, envelope::PAYLOAD_MAX};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Included, Unbounded};
use xxhash_rust::xxh3::xxh3_64;

/// The longest name that is told, in bytes.
pub const NAME_MAX: usize = 32;
/// The longest name of a build that is told, in bytes.
pub const BUILD_MAX: usize = 24;
/// The longest extension, in bytes.
pub const EXTRA_MAX: usize = 64;
/// A record is passed on so often as a rumour, and once more for each doubling of the fleet.
const RUMOURS: u32 = 3;
/// The most members asked for in one datagram; as many as an answer or two hold.
pub const WANT_MAX: usize = 24;
/// In so many datagrams at most they are answered.
const ANSWERS: usize = 3;
/// Missing records are asked for this often.
pub const WANT_EVERY: Nanos = 150 * MS;

/// What a member says that it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServingPhase {
    /// It has started and is not ready yet.
    #[default]
    Joining,
    /// It serves clients.
    Serving,
    /// It is drained by its operators, or about to end.
    Draining,
    /// It goes, by its own word.
    Leaving,
}

/// What a member tells of itself beyond that it is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Its name.
    pub name: String,
    /// Where its clients connect.
    pub listen_address: SocketAddr,
    /// What it does.
    pub phase: ServingPhase,
    /// Its build.
    pub build: String,
    /// A checksum of its configuration.
    pub config_checksum: u64,
    /// Requests that it took a second lately, in tenths.
    pub request_rate_tenths: u32,
    /// How many places it counts ([`crate::share_count`]).
    pub places: u16,
    /// For what later versions tell.
    pub extension: Vec<u8>,
}

/// A member's word of itself; of one member the later generation, then the higher version goes before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataRecord {
    /// Whose.
    pub member: Identity,
    /// Counts up with each change.
    pub version: u32,
    /// What it says.
    pub metadata: MemberMetadata,
}

impl MetadataRecord {
    fn is_newer(&self, than: &MetadataRecord) -> bool {
        (self.member.generation, self.version) > (than.member.generation, than.version)
    }

    /// Whether it says something that all should know soon. Traffic and places change all the time: rumours of them would
    /// grow with the fleet; they are told in turn only.
    fn is_urgent(&self, after: Option<&MetadataRecord>) -> bool {
        after.is_none_or(|after| {
            let (new, old) = (&self.metadata, &after.metadata);
            self.member != after.member
                || (new.phase, new.listen_address, new.config_checksum)
                    != (old.phase, old.listen_address, old.config_checksum)
                || (&new.name, &new.build, &new.extension)
                    != (&old.name, &old.build, &old.extension)
        })
    }

    fn is_bounded(&self) -> bool {
        let soft = &self.metadata;
        soft.name.len() <= NAME_MAX
            && soft.build.len() <= BUILD_MAX
            && soft.extension.len() <= EXTRA_MAX
    }
}

struct Held {
    record: MetadataRecord,
    rumours: u32,
    /// Of what all should know soon; never 0.
    sum: u32,
    /// Its bytes on the wire.
    length: usize,
}

impl Held {
    fn new(record: MetadataRecord, rumours: u32) -> Self {
        let soft = &record.metadata;
        let told = (
            soft.phase,
            soft.listen_address,
            soft.config_checksum,
            &soft.name,
            &soft.build,
            &soft.extension,
        );
        let sum = postcard::to_stdvec(&told).map_or(0, |bytes| xxh3_64(&bytes) as u32);
        let length = postcard::to_stdvec(&record).map_or(PAYLOAD_MAX, |bytes| bytes.len());
        Held {
            record,
            rumours,
            sum: sum.max(1),
            length,
        }
    }
}

/// The records that one member holds, its own included.
pub struct MetadataStore {
    held: BTreeMap<SocketAddr, Held>,
    /// Where the round of records that are told once more goes on.
    round: Option<SocketAddr>,
    wanted: Nanos,
    /// Whose records are rumours still.
    news: BTreeSet<SocketAddr>,
    /// Whose records changed since the last look, and whether one of them changed in what all should know soon.
    touched: (BTreeSet<SocketAddr>, bool),
    /// The membership, by its checksum, of which no record was missing.
    complete: Option<u64>,
    /// A record is passed on as a rumour so often at most.
    rumours_most: u32,
}

/// Cuts a text to so many bytes.
pub fn cut(text: &str, most: usize) -> String {
    let end = (0..=most.min(text.len()))
        .rev()
        .find(|end| text.is_char_boundary(*end))
        .unwrap_or(0);
    text[..end].to_string()
}

impl MetadataStore {
    /// The member's own record alone.
    pub fn new(own: MetadataRecord) -> Self {
        let address = own.member.address;
        let mut records = MetadataStore {
            held: BTreeMap::new(),
            round: None,
            wanted: 0,
            news: BTreeSet::from([address]),
            touched: (BTreeSet::from([address]), true),
            complete: None,
            rumours_most: u32::MAX,
        };
        records.held.insert(address, Held::new(own, RUMOURS));
        records
    }

    /// Records are passed on as rumours so often at most; who is missed asks for them.
    pub fn bound_rumours(&mut self, most: u32) {
        self.rumours_most = most;
    }

    /// What a member said last, of this life of its or a later one.
    pub fn of(&self, id: &Identity) -> Option<&MetadataRecord> {
        let record = &self.held.get(&id.address)?.record;
        (record.member.generation >= id.generation).then_some(record)
    }

    /// A checksum of what a member said last of what all should know soon, of this life of its; 0 if nothing is known.
    pub fn sum(&self, id: &Identity) -> u32 {
        let held = self
            .held
            .get(&id.address)
            .filter(|held| held.record.member.generation >= id.generation);
        held.map_or(0, |held| held.sum)
    }

    /// Puts the member's own record; it is news.
    pub fn put(&mut self, record: MetadataRecord, members: usize) {
        self.insert(record, members);
    }

    fn insert(&mut self, record: MetadataRecord, members: usize) {
        let address = record.member.address;
        let former = self.held.get(&address);
        let urgent = record.is_urgent(former.map(|held| &held.record));
        // A rumour that still runs goes on with the newer word.
        let rumours = if urgent {
            rumours(members).min(self.rumours_most)
        } else {
            former.map_or(0, |held| held.rumours)
        };
        if rumours > 0 {
            self.news.insert(address);
        }
        self.touched.0.insert(address);
        self.touched.1 |= urgent;
        self.held.insert(address, Held::new(record, rumours));
    }

    /// Whose records changed since the last call, and whether one of them changed in what all should know soon.
    pub fn take_touched(&mut self) -> (BTreeSet<SocketAddr>, bool) {
        std::mem::take(&mut self.touched)
    }

    /// Takes in records of others; of an unknown member none is kept. `known` tells by which generation a member is known.
    /// Returns how many are told of and not known, or only by an older life: a rumour of membership dies out now and then
    /// before it has reached all, and records go round for good.
    pub fn take(
        &mut self,
        own: SocketAddr,
        payload: &[u8],
        known: impl Fn(SocketAddr) -> Option<u64>,
        members: usize,
    ) -> Option<usize> {
        let records: Vec<MetadataRecord> = postcard::from_bytes(payload).ok()?;
        if !records.iter().all(MetadataRecord::is_bounded) {
            return None;
        }
        let mut unknown = 0;
        for record in records {
            let address = record.member.address;
            // Of oneself one knows best.
            if address == own {
                continue;
            }
            let generation = known(address);
            if generation.is_none_or(|generation| generation < record.member.generation)
                && record.metadata.phase != ServingPhase::Leaving
            {
                unknown += 1;
            }
            if generation.is_some()
                && self
                    .held
                    .get(&address)
                    .is_none_or(|held| record.is_newer(&held.record))
            {
                self.insert(record, members);
            }
        }
        Some(unknown)
    }

    /// Forgets members that are no longer known.
    pub fn retain(&mut self, known: impl Fn(SocketAddr) -> bool) {
        let before = self.held.len();
        self.held.retain(|address, _| known(*address));
        if self.held.len() != before {
            self.news.retain(|address| known(*address));
            self.complete = None;
        }
    }

    /// Whether something is news that is still to be passed on.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// One datagram's worth: news first, then, in turn, what is no news, as far as there is room.
    pub fn tell(&mut self, own: SocketAddr, with_round: bool) -> Vec<u8> {
        let rumours = |address: &SocketAddr| self.held.get(address).map_or(0, |held| held.rumours);
        let mut picked: Vec<(u32, SocketAddr)> =
            self.news.iter().map(|a| (rumours(a), *a)).collect();
        picked.sort_unstable_by(|a, b| b.cmp(a));
        let mut order: Vec<SocketAddr> = picked.into_iter().map(|(_, address)| address).collect();
        if with_round {
            order.push(own);
            let (begin, end) = match self.round {
                Some(round) => (Excluded(round), Included(round)),
                None => (Unbounded, Unbounded),
            };
            let later = self.held.range((begin, Unbounded));
            let sooner = self
                .held
                .range((Unbounded, end))
                .filter(|_| self.round.is_some());
            order.extend(
                later
                    .chain(sooner)
                    .map(|(address, _)| *address)
                    .take(WANT_MAX),
            );
        }
        let (payload, told) = self.pack(order);
        for address in told {
            if let Some(held) = self.held.get_mut(&address) {
                held.rumours = held.rumours.saturating_sub(1);
                if held.rumours == 0 {
                    self.news.remove(&address);
                }
            }
            if with_round && address != own {
                self.round = Some(address);
            }
        }
        payload
    }

    /// The records that another asks for, as far as so many datagrams hold them.
    pub fn answer(&self, payload: &[u8]) -> Option<Vec<Vec<u8>>> {
        let mut wanted: Vec<SocketAddr> = postcard::from_bytes(payload).ok()?;
        if wanted.len() > WANT_MAX {
            return None;
        }
        let mut answers = Vec::new();
        while answers.len() < ANSWERS && !wanted.is_empty() {
            let (payload, told) = self.pack(wanted.clone());
            if told.is_empty() {
                break;
            }
            wanted.retain(|address| !told.contains(address));
            answers.push(payload);
        }
        Some(answers)
    }

    /// Whom to ask for, if it is time: living members that have said nothing of themselves yet. `members` is a checksum of
    /// the membership: while it is one of which nothing was missing, nothing is looked for.
    pub fn want<'a>(
        &mut self,
        now: Nanos,
        members: u64,
        living: impl Iterator<Item = &'a Identity>,
    ) -> Option<Vec<u8>> {
        let early = now.saturating_sub(self.wanted) < WANT_EVERY;
        if early
            || self.complete == Some(members)
            || fault_injection::is_injected(InjectedFault::GossipsRecordsOnce)
        {
            return None;
        }
        let missing: Vec<SocketAddr> = living
            .filter(|id| self.of(id).is_none())
            .map(|id| id.address)
            .take(WANT_MAX)
            .collect();
        if missing.is_empty() {
            self.complete = Some(members);
            return None;
        }
        self.wanted = now;
        postcard::to_stdvec(&missing).ok()
    }

    fn pack(&self, order: Vec<SocketAddr>) -> (Vec<u8>, Vec<SocketAddr>) {
        let mut records: Vec<&MetadataRecord> = Vec::new();
        let mut told = Vec::new();
        // The count of records stands before them, in at most two bytes.
        let mut size = 2;
        for address in order {
            let Some(held) = self.held.get(&address) else {
                continue;
            };
            if size + held.length > PAYLOAD_MAX || told.contains(&address) {
                continue;
            }
            size += held.length;
            told.push(address);
            records.push(&held.record);
        }
        (postcard::to_stdvec(&records).unwrap_or_default(), told)
    }
}

fn rumours(members: usize) -> u32 {
    RUMOURS + members.max(1).ilog2()
}

#[cfg(test)]
mod tests;
