//! Rendezvous hashing: the candidates of each slot, in a flat table whose rows are brought up to
//! date when they are next asked for.
//!
//! Each cache has a score at each slot ([`score`]); the caches with the least scores are the slot's
//! candidates, in that order. Computing them takes a hash for each cache. A row therefore stores
//! them with the [`Version`] of the endpoint list that they belong to. A change of the list is an
//! entry in a bounded log and costs nothing for each slot. When a row is asked for, the changes
//! since its version are checked, with a hash for each cache that was added; only if one of them
//! affects the row, or the row is too far behind, its candidates are computed again.
//!
//! The table has [`SLOTS`] rows of fourteen bytes from the start, so that its memory does not grow.

use crate::identifiers::{EndpointId, Key};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Deref;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Candidates of a slot.
pub(crate) const CANDIDATES: usize = 3;

/// Slots of the key space: so many that each of 150 caches has its even share to a twentieth.
pub(crate) const SLOTS: usize = 65_536;

/// The seed with which keys are hashed to slots.
const KEY_HASH_SEED: u64 = 0;

/// Stands in a row where there are fewer candidates. A cache with this index or a greater one fits
/// into no row: the candidates of its slots are computed each time.
const NO_CACHE: u16 = u16::MAX;

/// The most changes that are logged. A row that is further behind is computed again.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// Counts the changes of the list.
type Version = u32;

/// The version of a row that contains no candidates.
const NEVER: Version = 0;

/// Covers the rounding errors of [`CacheEntry::min_score`].
const ROUNDED_DOWN: f64 = 1.0 - 1e-9;

/// Bits of a hash that a floating point index keeps exactly.
const MANTISSA_BITS: u32 = 53;

/// The slot of a key.
pub(crate) fn slot_of_key(key: Key) -> usize {
    xxh3_64_with_seed(&key.0.to_le_bytes(), KEY_HASH_SEED) as usize % SLOTS
}

/// The position of a cache at a slot, in (0, 1]: a hash of both.
fn position(slot: usize, cache: EndpointId) -> f64 {
    #[cfg(test)]
    tests::count_hash();
    let hash = xxh3_64_with_seed(&cache.0.to_le_bytes(), slot as u64);
    ((hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 1.0) / (1u64 << MANTISSA_BITS) as f64
}

/// The score of a cache of this weight: exponentially distributed, so that a cache's share of first
/// ranks follows its weight.
fn score(position: f64, weight: f64) -> f64 {
    -position.ln() / weight
}

/// The candidates of one slot, best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Candidates {
    caches: [EndpointId; CANDIDATES],
    count: usize,
}

impl Candidates {
    fn push(&mut self, cache: EndpointId) {
        self.caches[self.count] = cache;
        self.count += 1;
    }
}

impl Deref for Candidates {
    type Target = [EndpointId];

    fn deref(&self) -> &[EndpointId] {
        &self.caches[..self.count]
    }
}

impl IntoIterator for Candidates {
    type Item = EndpointId;
    type IntoIter = std::iter::Take<std::array::IntoIter<EndpointId, CANDIDATES>>;

    fn into_iter(self) -> Self::IntoIter {
        self.caches.into_iter().take(self.count)
    }
}

/// One cache of the table.
#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    cache: EndpointId,
    weight: f64,
    /// The factor from 1 - position to a lower bound of the score.
    bound: f64,
}

impl CacheEntry {
    fn new(cache: EndpointId, weight: f64) -> Self {
        CacheEntry {
            cache,
            weight,
            bound: ROUNDED_DOWN / weight,
        }
    }

    /// A lower bound of the score at this position, as -ln(u) is never under 1 - u. It saves the
    /// logarithm for nearly all caches.
    fn min_score(&self, position: f64) -> f64 {
        (1.0 - position) * self.bound
    }
}

/// A cache's score at one slot, in the order of ranks: least first, then by id.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Scored {
    score: f64,
    cache: EndpointId,
    index: usize,
}

impl Eq for Scored {}

impl Ord for Scored {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.score
            .total_cmp(&other.score)
            .then(self.cache.cmp(&other.cache))
    }
}

impl PartialOrd for Scored {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// All caches in the order of their ranks at one slot, computed lazily.
pub(crate) struct Ranking(BinaryHeap<Reverse<Scored>>);

impl Iterator for Ranking {
    type Item = EndpointId;

    fn next(&mut self) -> Option<EndpointId> {
        self.0.pop().map(|Reverse(scored)| scored.cache)
    }
}

/// A change of the list.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// The cache with this index was removed; the index may be in use again since.
    Removed(usize),
    /// A cache was added.
    Added(CacheEntry),
}

/// The candidates of one slot as they were at a version of the list.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// The indexes of the candidates; [`NO_CACHE`] where there are fewer.
    indexes: [u16; CANDIDATES],
    /// Not under the score of the last candidate: a cache with a greater score is none.
    score_bound: f32,
    version: Version,
}

impl Row {
    const EMPTY: Row = Row {
        indexes: [NO_CACHE; CANDIDATES],
        score_bound: f32::NEG_INFINITY,
        version: NEVER,
    };

    fn contains_index(&self, index: usize) -> bool {
        index < usize::from(NO_CACHE)
            && self
                .indexes
                .iter()
                .any(|stored| usize::from(*stored) == index)
    }

    /// Whether a change alters the candidates of this row, or may do so.
    fn is_affected_by(&self, slot: usize, change: &Change) -> bool {
        match change {
            Change::Removed(index) => self.contains_index(*index),
            Change::Added(entry) => {
                entry.min_score(position(slot, entry.cache)) <= f64::from(self.score_bound)
            }
        }
    }
}

/// The candidates of all slots.
pub(crate) struct SlotTable {
    /// By index; the indexes of removed caches are used again.
    entries: Vec<Option<CacheEntry>>,
    indexes: BTreeMap<EndpointId, usize>,
    free_indexes: Vec<usize>,
    rows: Vec<Row>,
    /// The version of the present list.
    version: Version,
    /// The latest changes; the last one led to `version`.
    changes: VecDeque<Change>,
}

impl SlotTable {
    /// A table without caches.
    pub(crate) fn new() -> Self {
        SlotTable {
            entries: Vec::new(),
            indexes: BTreeMap::new(),
            free_indexes: Vec::new(),
            rows: vec![Row::EMPTY; SLOTS],
            version: NEVER + 1,
            changes: VecDeque::new(),
        }
    }

    /// Takes over the caches that may be candidates now, with their weights, in ascending order of
    /// their identifiers.
    pub(crate) fn set_caches(&mut self, caches: &[(EndpointId, f64)]) {
        let (mut removed, mut added) = (Vec::new(), Vec::new());
        let mut former = self.indexes.iter().peekable();
        for (cache, weight) in caches {
            while let Some((earlier, index)) = former.next_if(|(id, _)| *id < cache) {
                removed.push((*earlier, *index));
            }
            let former_entry = former.next_if(|(id, _)| *id == cache);
            let known = former_entry.and_then(|(_, index)| Some((*index, self.entries[*index]?)));
            if let Some((index, _)) = known.filter(|(_, entry)| entry.weight != *weight) {
                removed.push((*cache, index));
            }
            if known.is_none_or(|(_, entry)| entry.weight != *weight) {
                added.push(CacheEntry::new(*cache, *weight));
            }
        }
        removed.extend(former.map(|(cache, index)| (*cache, *index)));
        for (cache, index) in removed {
            self.indexes.remove(&cache);
            self.entries[index] = None;
            self.free_indexes.push(index);
            self.log(Change::Removed(index));
        }
        for entry in added {
            self.insert(entry);
            self.log(Change::Added(entry));
        }
    }

    fn insert(&mut self, entry: CacheEntry) {
        let index = self.free_indexes.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.entries[index] = Some(entry);
        self.indexes.insert(entry.cache, index);
    }

    fn log(&mut self, change: Change) {
        if self.version == Version::MAX {
            // Versions start again, so that none stands for two lists.
            self.rows.fill(Row::EMPTY);
            self.changes.clear();
            self.version = NEVER + 1;
            return;
        }
        self.version += 1;
        if self.changes.len() == MAX_LOGGED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Whether the candidates of a row are those of the present list.
    fn is_current(&self, slot: usize) -> bool {
        let row = &self.rows[slot];
        let behind = (self.version - row.version) as usize;
        // With more changes than caches, computing the row costs less than checking the changes.
        if row.version == NEVER || behind > self.changes.len().min(self.entries.len()) {
            return false;
        }
        let since = self.changes.range(self.changes.len() - behind..);
        !since
            .into_iter()
            .any(|change| row.is_affected_by(slot, change))
    }

    /// The candidates of a slot.
    pub(crate) fn candidates(&mut self, slot: usize) -> Candidates {
        let mut candidates = Candidates::default();
        if !self.is_current(slot) {
            let best = self.compute(slot);
            best.iter().for_each(|scored| candidates.push(scored.cache));
            self.store(slot, &best);
            return candidates;
        }
        self.rows[slot].version = self.version;
        let row = self.rows[slot]
            .indexes
            .iter()
            .take_while(|index| **index != NO_CACHE);
        for entry in row.filter_map(|index| self.entries[usize::from(*index)]) {
            candidates.push(entry.cache);
        }
        candidates
    }

    fn store(&mut self, slot: usize, best: &[Scored]) {
        self.rows[slot].version = NEVER;
        let mut indexes = [NO_CACHE; CANDIDATES];
        for (scored, index) in best.iter().zip(&mut indexes) {
            match u16::try_from(scored.index) {
                Ok(fits) if fits != NO_CACHE => *index = fits,
                _ => return,
            }
        }
        // With fewer than three, every cache that is added is a candidate.
        let score_bound = match best.get(CANDIDATES - 1) {
            Some(last) => (last.score as f32).next_up(),
            None => f32::INFINITY,
        };
        self.rows[slot] = Row {
            indexes,
            score_bound,
            version: self.version,
        };
    }

    /// Computes the candidates of a slot: one hash for each cache, and a logarithm for a few.
    fn compute(&self, slot: usize) -> Vec<Scored> {
        let mut best: Vec<Scored> = Vec::with_capacity(CANDIDATES + 1);
        let mut score_bound = f64::INFINITY;
        for (index, entry) in self.entries.iter().enumerate() {
            let Some(entry) = entry else { continue };
            let position = position(slot, entry.cache);
            if entry.min_score(position) > score_bound {
                continue;
            }
            let score = score(position, entry.weight);
            let scored = Scored {
                score,
                cache: entry.cache,
                index,
            };
            let rank = best.partition_point(|better| *better < scored);
            best.insert(rank, scored);
            best.truncate(CANDIDATES);
            if let Some(last) = best.get(CANDIDATES - 1) {
                score_bound = last.score;
            }
        }
        best
    }

    /// All caches in the order of their ranks at a slot.
    pub(crate) fn ranking(&self, slot: usize) -> Ranking {
        let scored = self.entries.iter().flatten().map(|entry| {
            let score = score(position(slot, entry.cache), entry.weight);
            Reverse(Scored {
                score,
                cache: entry.cache,
                index: usize::MAX,
            })
        });
        Ranking(scored.collect())
    }
}

#[cfg(test)]
mod tests;
