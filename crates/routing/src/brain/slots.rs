//! Rendezvous hashing: the candidates of each slot, kept in a flat table whose rows are brought up to date when they are
//! next asked for.
//!
//! Each cache has a score at each slot ([`score`]); the caches with the least scores are the slot's candidates, in
//! that order. Working them out costs a hash for each cache. A row therefore keeps them, and the [`Version`] of the list
//! that they are true of. A change of the list costs nothing by slots: it is an entry in a bounded log. When a row is
//! asked for, the changes since its version are gone through, a hash for each cache that came; only if one of them
//! touches the row, or the row is too far behind, its candidates are worked out anew.
//!
//! The table holds [`SLOTS`] rows of fourteen bytes, all of them from the start, so that its memory does not grow.

use crate::api::EndpointId;
use crate::state::CANDIDATES;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Deref;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// So many that each of 150 caches has its even share to a twentieth.
pub(crate) const SLOTS: usize = 65_536;

/// Stands in a row where there are fewer candidates. A cache with this number or a greater one fits into no row: a slot
/// that it is a candidate of is worked out each time.
const NO_CACHE: u16 = u16::MAX;

/// The most changes that are kept. A row that is further behind is worked out anew.
const CHANGES_KEPT: usize = 4_096;

/// Counts the changes of the list.
type Version = u32;

/// The version of a row that holds no candidates.
const NEVER: Version = 0;

/// Takes more than the rounding errors of [`Place::least_score`] off it.
const ROUNDED_DOWN: f64 = 1.0 - 1e-9;

/// Where a cache stands at a slot, in (0, 1]: a hash of both.
fn position(slot: usize, cache: EndpointId) -> f64 {
    #[cfg(test)]
    tests::count_hash();
    let hash = xxh3_64_with_seed(&cache.0.to_le_bytes(), slot as u64);
    ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64
}

/// The score of a cache of this weight: an exponential draw, stretched so that a cache's share of first places follows
/// its weight.
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

/// One cache as the table knows it.
#[derive(Clone, Copy, Debug)]
struct Place {
    cache: EndpointId,
    weight: f64,
    /// Turns 1 - position into a lower bound of the score.
    bound: f64,
}

impl Place {
    fn new(cache: EndpointId, weight: f64) -> Self {
        Place {
            cache,
            weight,
            bound: ROUNDED_DOWN / weight,
        }
    }

    /// A lower bound of the score at this position: -ln(u) is never under 1 - u. It saves the logarithm of nearly all.
    fn least_score(&self, position: f64) -> f64 {
        (1.0 - position) * self.bound
    }
}

/// A cache's score at one slot, in the order of ranks: least first, then by id.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Scored {
    score: f64,
    cache: EndpointId,
    number: usize,
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

/// All caches in the order of their ranks at one slot, each worked out as it is asked for.
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
    /// The cache of this number has gone; the number may be another's since.
    Gone(usize),
    /// A cache has come.
    Come(Place),
}

/// The candidates of one slot as they were at a version of the list.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// The candidates' numbers; [`NO_CACHE`] where there are fewer.
    numbers: [u16; CANDIDATES],
    /// Not under the score of the last candidate; a cache that scores more is none.
    limit: f32,
    version: Version,
}

impl Row {
    const EMPTY: Row = Row {
        numbers: [NO_CACHE; CANDIDATES],
        limit: f32::NEG_INFINITY,
        version: NEVER,
    };

    fn holds(&self, number: usize) -> bool {
        number < usize::from(NO_CACHE) && self.numbers.iter().any(|own| usize::from(*own) == number)
    }

    /// Whether a change alters the candidates of this row, or may.
    fn is_touched(&self, slot: usize, change: &Change) -> bool {
        match change {
            Change::Gone(number) => self.holds(*number),
            Change::Come(place) => {
                place.least_score(position(slot, place.cache)) <= f64::from(self.limit)
            }
        }
    }
}

/// The candidates of all slots.
pub(crate) struct SlotTable {
    /// By number; the numbers of caches that have gone are used again.
    places: Vec<Option<Place>>,
    numbers: BTreeMap<EndpointId, usize>,
    free: Vec<usize>,
    rows: Vec<Row>,
    /// Of the list as it is now.
    version: Version,
    /// The latest changes; the last one led to `version`.
    changes: VecDeque<Change>,
}

impl SlotTable {
    /// A table without caches.
    pub(crate) fn new() -> Self {
        SlotTable {
            places: Vec::new(),
            numbers: BTreeMap::new(),
            free: Vec::new(),
            rows: vec![Row::EMPTY; SLOTS],
            version: NEVER + 1,
            changes: VecDeque::new(),
        }
    }

    /// Takes over the caches that may be candidates now, with their weights, in the order of their ids.
    pub(crate) fn set_caches(&mut self, now: &[(EndpointId, f64)]) {
        let (mut gone, mut come) = (Vec::new(), Vec::new());
        let mut former = self.numbers.iter().peekable();
        for (cache, weight) in now {
            while let Some((earlier, number)) = former.next_if(|(id, _)| *id < cache) {
                gone.push((*earlier, *number));
            }
            let same = former.next_if(|(id, _)| *id == cache);
            let known = same.and_then(|(_, number)| Some((*number, self.places[*number]?)));
            if let Some((number, _)) = known.filter(|(_, place)| place.weight != *weight) {
                gone.push((*cache, number));
            }
            if known.is_none_or(|(_, place)| place.weight != *weight) {
                come.push(Place::new(*cache, *weight));
            }
        }
        gone.extend(former.map(|(cache, number)| (*cache, *number)));
        for (cache, number) in gone {
            self.numbers.remove(&cache);
            self.places[number] = None;
            self.free.push(number);
            self.log(Change::Gone(number));
        }
        for place in come {
            self.insert(place);
            self.log(Change::Come(place));
        }
    }

    fn insert(&mut self, place: Place) {
        let number = self.free.pop().unwrap_or_else(|| {
            self.places.push(None);
            self.places.len() - 1
        });
        self.places[number] = Some(place);
        self.numbers.insert(place.cache, number);
    }

    fn log(&mut self, change: Change) {
        if self.version == Version::MAX {
            // Versions begin anew, so that none stands for two lists.
            self.rows.fill(Row::EMPTY);
            self.changes.clear();
            self.version = NEVER + 1;
            return;
        }
        self.version += 1;
        if self.changes.len() == CHANGES_KEPT {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Whether the candidates that a row holds are those of the list as it is now.
    fn is_true(&self, slot: usize) -> bool {
        let row = &self.rows[slot];
        let behind = (self.version - row.version) as usize;
        // Behind by more than there are caches, working the row out anew costs less than going through the changes.
        if row.version == NEVER || behind > self.changes.len().min(self.places.len()) {
            return false;
        }
        let since = self.changes.range(self.changes.len() - behind..);
        !since.into_iter().any(|change| row.is_touched(slot, change))
    }

    /// The candidates of a slot.
    pub(crate) fn candidates(&mut self, slot: usize) -> Candidates {
        let mut candidates = Candidates::default();
        if !self.is_true(slot) {
            let best = self.best(slot);
            best.iter().for_each(|scored| candidates.push(scored.cache));
            self.keep(slot, &best);
            return candidates;
        }
        self.rows[slot].version = self.version;
        let row = self.rows[slot]
            .numbers
            .iter()
            .take_while(|number| **number != NO_CACHE);
        for place in row.filter_map(|number| self.places[usize::from(*number)]) {
            candidates.push(place.cache);
        }
        candidates
    }

    fn keep(&mut self, slot: usize, best: &[Scored]) {
        self.rows[slot].version = NEVER;
        let mut numbers = [NO_CACHE; CANDIDATES];
        for (scored, number) in best.iter().zip(&mut numbers) {
            match u16::try_from(scored.number) {
                Ok(fits) if fits != NO_CACHE => *number = fits,
                _ => return,
            }
        }
        // With fewer than three, whoever comes is a candidate.
        let limit = match best.get(CANDIDATES - 1) {
            Some(last) => (last.score as f32).next_up(),
            None => f32::INFINITY,
        };
        self.rows[slot] = Row {
            numbers,
            limit,
            version: self.version,
        };
    }

    /// The candidates of a slot, worked out: one hash for each cache, and a logarithm for a few.
    fn best(&self, slot: usize) -> Vec<Scored> {
        let mut best: Vec<Scored> = Vec::with_capacity(CANDIDATES + 1);
        let mut limit = f64::INFINITY;
        for (number, place) in self.places.iter().enumerate() {
            let Some(place) = place else { continue };
            let position = position(slot, place.cache);
            if place.least_score(position) > limit {
                continue;
            }
            let score = score(position, place.weight);
            let scored = Scored {
                score,
                cache: place.cache,
                number,
            };
            let rank = best.partition_point(|better| *better < scored);
            best.insert(rank, scored);
            best.truncate(CANDIDATES);
            if let Some(last) = best.get(CANDIDATES - 1) {
                limit = last.score;
            }
        }
        best
    }

    /// All caches in the order of their ranks at a slot.
    pub(crate) fn ranking(&self, slot: usize) -> Ranking {
        let scored = self.places.iter().flatten().map(|place| {
            let score = score(position(slot, place.cache), place.weight);
            Reverse(Scored {
                score,
                cache: place.cache,
                number: usize::MAX,
            })
        });
        Ranking(scored.collect())
    }
}

#[cfg(test)]
mod tests;
