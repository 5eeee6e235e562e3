//! Rendezvous hashing: the candidates of each slot, in a flat table whose rows are updated lazily
//! when they are read.
//!
//! Each cache has a score at each slot ([`score`]); the caches with the lowest scores are the
//! slot's candidates, in ascending order of score. Computing them takes one hash per cache. A row
//! therefore stores its candidates together with the [`Version`] of the endpoint list they were
//! computed for. A change of the list is appended to a bounded log and costs nothing per slot. When
//! a row is read, the changes since its version are checked, with one hash per added cache. The
//! candidates are recomputed only if a change affects the row or the row is too many changes
//! behind.
//!
//! The table has [`SLOTS`] rows of fourteen bytes, allocated at the start so that its memory does
//! not grow.

use crate::identifiers::{EndpointId, Key};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Deref;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of candidates of a slot.
pub(crate) const CANDIDATES: usize = 3;

/// Number of slots of the key space; large enough that the share of each of 150 caches deviates by
/// at most about a twentieth from an even share.
pub(crate) const SLOTS: usize = 65_536;

/// Seed of the hash from keys to slots.
const KEY_HASH_SEED: u64 = 0;

/// Marks the unused places of a row with fewer candidates. A cache whose index is this value or
/// greater cannot be stored in a row; the candidates of its slots are recomputed on each read.
const NO_CACHE: u16 = u16::MAX;

/// Maximum number of logged changes. A row that is further behind is recomputed.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// Version of the endpoint list; incremented with each change.
type Version = u32;

/// Version of a row whose candidates have not been computed.
const NO_VERSION: Version = 0;

/// Factor that covers the rounding errors of [`CacheEntry::min_score`].
const ROUNDING_MARGIN: f64 = 1.0 - 1e-9;

/// Number of bits of a hash that an `f64` represents exactly.
const MANTISSA_BITS: u32 = 53;

/// Returns the slot of a key.
pub(crate) fn slot_of_key(key: Key) -> usize {
    xxh3_64_with_seed(&key.0.to_le_bytes(), KEY_HASH_SEED) as usize % SLOTS
}

/// Returns the position of a cache at a slot, in (0, 1], from a hash of both.
fn position(slot: usize, cache: EndpointId) -> f64 {
    #[cfg(test)]
    tests::record_hash();
    let hash = xxh3_64_with_seed(&cache.0.to_le_bytes(), slot as u64);
    ((hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 1.0) / (1u64 << MANTISSA_BITS) as f64
}

/// Returns the score of a cache of this weight. Scores are exponentially distributed, so a cache's
/// share of first ranks is proportional to its weight.
fn score(position: f64, weight: f64) -> f64 {
    -position.ln() / weight
}

/// Candidates of one slot, best first.
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

/// Cache of the table.
#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    cache: EndpointId,
    weight: f64,
    /// Factor that turns `1 - position` into a lower bound of the score.
    min_score_factor: f64,
}

impl CacheEntry {
    fn new(cache: EndpointId, weight: f64) -> Self {
        CacheEntry {
            cache,
            weight,
            min_score_factor: ROUNDING_MARGIN / weight,
        }
    }

    /// Returns a lower bound of the score at this position, which saves computing the logarithm for
    /// nearly all caches. It holds because -ln(u) is never below 1 - u.
    fn min_score(&self, position: f64) -> f64 {
        (1.0 - position) * self.min_score_factor
    }
}

/// Score of a cache at one slot. Ordered by rank: lowest score first, then by identifier.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ScoredCache {
    score: f64,
    cache: EndpointId,
    index: usize,
}

impl Eq for ScoredCache {}

impl Ord for ScoredCache {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.score
            .total_cmp(&other.score)
            .then(self.cache.cmp(&other.cache))
    }
}

impl PartialOrd for ScoredCache {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Iterator over all caches in rank order at one slot, computed lazily.
pub(crate) struct Ranking(BinaryHeap<Reverse<ScoredCache>>);

impl Iterator for Ranking {
    type Item = EndpointId;

    fn next(&mut self) -> Option<EndpointId> {
        self.0.pop().map(|Reverse(scored)| scored.cache)
    }
}

/// Change of the endpoint list.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// The cache with this index was removed; the index may have been reused since.
    Removed(usize),
    /// A cache was added.
    Added(CacheEntry),
}

/// Candidates of one slot at a version of the list.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// Indexes of the candidates; unused places contain [`NO_CACHE`].
    indexes: [u16; CANDIDATES],
    /// Upper bound of the last candidate's score: a cache with a higher score is no candidate.
    score_bound: f32,
    version: Version,
}

impl Row {
    const EMPTY: Row = Row {
        indexes: [NO_CACHE; CANDIDATES],
        score_bound: f32::NEG_INFINITY,
        version: NO_VERSION,
    };

    fn contains_index(&self, index: usize) -> bool {
        index < usize::from(NO_CACHE)
            && self
                .indexes
                .iter()
                .any(|stored| usize::from(*stored) == index)
    }

    /// Returns whether a change alters, or may alter, the candidates of this row.
    fn is_affected_by(&self, slot: usize, change: &Change) -> bool {
        match change {
            Change::Removed(index) => self.contains_index(*index),
            Change::Added(entry) => {
                entry.min_score(position(slot, entry.cache)) <= f64::from(self.score_bound)
            }
        }
    }
}

/// Table of the candidates of all slots.
pub(crate) struct SlotTable {
    /// Caches by index; the indexes of removed caches are reused.
    entries: Vec<Option<CacheEntry>>,
    indexes: BTreeMap<EndpointId, usize>,
    free_indexes: Vec<usize>,
    rows: Vec<Row>,
    /// Version of the current list.
    version: Version,
    /// The latest changes; the last of them led to `version`.
    changes: VecDeque<Change>,
}

impl SlotTable {
    /// Creates a table without caches.
    pub(crate) fn new() -> Self {
        SlotTable {
            entries: Vec::new(),
            indexes: BTreeMap::new(),
            free_indexes: Vec::new(),
            rows: vec![Row::EMPTY; SLOTS],
            version: NO_VERSION + 1,
            changes: VecDeque::new(),
        }
    }

    /// Sets the caches that may be candidates, with their weights, in ascending order of
    /// identifiers.
    pub(crate) fn set_caches(&mut self, caches: &[(EndpointId, f64)]) {
        let (mut removed, mut added) = (Vec::new(), Vec::new());
        let mut previous = self.indexes.iter().peekable();
        for (cache, weight) in caches {
            while let Some((absent, index)) = previous.next_if(|(id, _)| *id < cache) {
                removed.push((*absent, *index));
            }
            let previous_entry = previous.next_if(|(id, _)| *id == cache);
            let existing =
                previous_entry.and_then(|(_, index)| Some((*index, self.entries[*index]?)));
            if let Some((index, _)) = existing.filter(|(_, entry)| entry.weight != *weight) {
                removed.push((*cache, index));
            }
            if existing.is_none_or(|(_, entry)| entry.weight != *weight) {
                added.push(CacheEntry::new(*cache, *weight));
            }
        }
        removed.extend(previous.map(|(cache, index)| (*cache, *index)));
        for (cache, index) in removed {
            self.indexes.remove(&cache);
            self.entries[index] = None;
            self.free_indexes.push(index);
            self.log_change(Change::Removed(index));
        }
        for entry in added {
            self.insert(entry);
            self.log_change(Change::Added(entry));
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

    fn log_change(&mut self, change: Change) {
        if self.version == Version::MAX {
            // Versions restart and all rows are cleared, so that no version refers to two lists.
            self.rows.fill(Row::EMPTY);
            self.changes.clear();
            self.version = NO_VERSION + 1;
            return;
        }
        self.version += 1;
        if self.changes.len() == MAX_LOGGED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Returns whether the stored candidates of a row are those of the current list.
    fn is_current(&self, slot: usize) -> bool {
        let row = &self.rows[slot];
        let missed_changes = (self.version - row.version) as usize;
        // With more changes than caches, recomputing the row costs less than checking the changes.
        if row.version == NO_VERSION || missed_changes > self.changes.len().min(self.entries.len())
        {
            return false;
        }
        let since = self.changes.range(self.changes.len() - missed_changes..);
        !since
            .into_iter()
            .any(|change| row.is_affected_by(slot, change))
    }

    /// Returns the candidates of a slot, and updates its row if a change affects it.
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

    fn store(&mut self, slot: usize, best: &[ScoredCache]) {
        self.rows[slot].version = NO_VERSION;
        let mut indexes = [NO_CACHE; CANDIDATES];
        for (scored, index) in best.iter().zip(&mut indexes) {
            match u16::try_from(scored.index) {
                Ok(valid) if valid != NO_CACHE => *index = valid,
                _ => return,
            }
        }
        // With fewer than three candidates, every added cache becomes one.
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

    /// Computes the candidates of a slot, with one hash per cache and a logarithm for a few of
    /// them.
    fn compute(&self, slot: usize) -> Vec<ScoredCache> {
        let mut best: Vec<ScoredCache> = Vec::with_capacity(CANDIDATES + 1);
        let mut score_bound = f64::INFINITY;
        for (index, entry) in self.entries.iter().enumerate() {
            let Some(entry) = entry else { continue };
            let position = position(slot, entry.cache);
            if entry.min_score(position) > score_bound {
                continue;
            }
            let score = score(position, entry.weight);
            let scored = ScoredCache {
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

    /// Returns all caches in rank order at a slot.
    pub(crate) fn ranking(&self, slot: usize) -> Ranking {
        let scored = self.entries.iter().flatten().map(|entry| {
            let score = score(position(slot, entry.cache), entry.weight);
            Reverse(ScoredCache {
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
