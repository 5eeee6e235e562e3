//! Rendezvous hashing: the candidates of each slot, kept in a flat table that one cache's change mends in place.
//!
//! Each cache has a score at each slot ([`score`]); the caches with the least scores are the slot's candidates, in
//! that order. Working them out costs a hash for each cache. A slot's candidates are therefore worked out when they
//! are first asked for, and forgotten only when a change of the list touches them: a cache that goes touches the
//! slots that it is a candidate of, a cache that comes those where it scores less than the last candidate.
//!
//! The table holds [`SLOTS`] rows of ten bytes, all of them from the start, so that its memory does not grow.

use crate::api::ServerId;
use crate::state::CANDIDATES;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Deref;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// So many that each of 150 caches has its even share to a twentieth.
pub(crate) const SLOTS: usize = 65_536;

/// Stands in a row where there are fewer candidates. A cache with this number or a greater one fits into no row: a slot
/// that it is a candidate of is worked out each time.
const NO_CACHE: u16 = u16::MAX;

/// The limit of a row that holds no candidates.
const NOT_KNOWN: f32 = f32::NEG_INFINITY;

/// Takes more than the rounding errors of [`Place::least_score`] off it.
const ROUNDED_DOWN: f64 = 1.0 - 1e-9;

/// Where a cache stands at a slot, in (0, 1]: a hash of both.
fn position(slot: usize, cache: ServerId) -> f64 {
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
    caches: [ServerId; CANDIDATES],
    count: usize,
}

impl Candidates {
    fn push(&mut self, cache: ServerId) {
        self.caches[self.count] = cache;
        self.count += 1;
    }
}

impl Deref for Candidates {
    type Target = [ServerId];

    fn deref(&self) -> &[ServerId] {
        &self.caches[..self.count]
    }
}

impl IntoIterator for Candidates {
    type Item = ServerId;
    type IntoIter = std::iter::Take<std::array::IntoIter<ServerId, CANDIDATES>>;

    fn into_iter(self) -> Self::IntoIter {
        self.caches.into_iter().take(self.count)
    }
}

/// One cache as the table knows it.
#[derive(Clone, Copy, Debug)]
struct Place {
    cache: ServerId,
    weight: f64,
    /// Turns 1 - position into a lower bound of the score.
    bound: f64,
}

impl Place {
    fn new(cache: ServerId, weight: f64) -> Self {
        Place { cache, weight, bound: ROUNDED_DOWN / weight }
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
    cache: ServerId,
    number: usize,
}

impl Eq for Scored {}

impl Ord for Scored {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.score.total_cmp(&other.score).then(self.cache.cmp(&other.cache))
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
    type Item = ServerId;

    fn next(&mut self) -> Option<ServerId> {
        self.0.pop().map(|Reverse(scored)| scored.cache)
    }
}

/// The candidates of all slots.
pub(crate) struct SlotTable {
    /// By number; the numbers of caches that have gone are used again.
    places: Vec<Option<Place>>,
    numbers: BTreeMap<ServerId, usize>,
    free: Vec<usize>,
    /// The numbers of each slot's candidates; [`NO_CACHE`] where there are fewer.
    rows: Vec<[u16; CANDIDATES]>,
    /// Not under the score of each slot's last candidate; a cache that scores more is none.
    limits: Vec<f32>,
    /// Rows that hold candidates.
    filled: usize,
}

impl SlotTable {
    /// A table without caches.
    pub(crate) fn new() -> Self {
        SlotTable {
            places: Vec::new(),
            numbers: BTreeMap::new(),
            free: Vec::new(),
            rows: vec![[NO_CACHE; CANDIDATES]; SLOTS],
            limits: vec![NOT_KNOWN; SLOTS],
            filled: 0,
        }
    }

    /// Takes over the caches that may be candidates now, with their weights, in the order of their ids.
    pub(crate) fn set_caches(&mut self, now: &[(ServerId, f64)]) {
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
        self.forget_touched(&gone, &come);
        for (cache, number) in gone {
            self.numbers.remove(&cache);
            self.places[number] = None;
            self.free.push(number);
        }
        come.into_iter().for_each(|place| self.insert(place));
    }

    fn insert(&mut self, place: Place) {
        let number = self.free.pop().unwrap_or_else(|| {
            self.places.push(None);
            self.places.len() - 1
        });
        self.places[number] = Some(place);
        self.numbers.insert(place.cache, number);
    }

    /// Forgets the rows that these changes touch.
    fn forget_touched(&mut self, gone: &[(ServerId, usize)], come: &[Place]) {
        if self.filled == 0 {
            return;
        }
        if !gone.is_empty() {
            self.forget_rows_of(gone);
        }
        come.iter().for_each(|place| self.forget_rows_before(place));
    }

    /// Forgets the rows that one of these is a candidate of.
    fn forget_rows_of(&mut self, gone: &[(ServerId, usize)]) {
        let mut is_gone = vec![false; self.places.len()];
        gone.iter().for_each(|(_, number)| is_gone[*number] = true);
        // No row holds a cache of this number: it stands for a place that is empty.
        if let Some(none) = is_gone.get_mut(usize::from(NO_CACHE)) {
            *none = false;
        }
        let has_gone = |number: &u16| is_gone.get(usize::from(*number)) == Some(&true);
        for (row, limit) in self.rows.iter().zip(&mut self.limits) {
            if *limit != NOT_KNOWN && row.iter().any(has_gone) {
                *limit = NOT_KNOWN;
                self.filled -= 1;
            }
        }
    }

    /// Forgets the rows that this one would be a candidate of; a row that holds nothing has a limit that none keeps.
    fn forget_rows_before(&mut self, place: &Place) {
        for (slot, limit) in self.limits.iter_mut().enumerate() {
            if place.least_score(position(slot, place.cache)) <= f64::from(*limit) {
                *limit = NOT_KNOWN;
                self.filled -= 1;
            }
        }
    }

    /// The candidates of a slot.
    pub(crate) fn candidates(&mut self, slot: usize) -> Candidates {
        let mut candidates = Candidates::default();
        if self.limits[slot] == NOT_KNOWN {
            let best = self.best(slot);
            best.iter().for_each(|scored| candidates.push(scored.cache));
            self.keep(slot, &best);
            return candidates;
        }
        let row = self.rows[slot].iter().take_while(|number| **number != NO_CACHE);
        for place in row.filter_map(|number| self.places[usize::from(*number)]) {
            candidates.push(place.cache);
        }
        candidates
    }

    fn keep(&mut self, slot: usize, best: &[Scored]) {
        let mut row = [NO_CACHE; CANDIDATES];
        for (scored, number) in best.iter().zip(&mut row) {
            match u16::try_from(scored.number) {
                Ok(fits) if fits != NO_CACHE => *number = fits,
                _ => return,
            }
        }
        self.rows[slot] = row;
        // With fewer than three, whoever comes is a candidate.
        self.limits[slot] = match best.get(CANDIDATES - 1) {
            Some(last) => (last.score as f32).next_up(),
            None => f32::INFINITY,
        };
        self.filled += 1;
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
            let scored = Scored { score, cache: place.cache, number };
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
            Reverse(Scored { score, cache: place.cache, number: usize::MAX })
        });
        Ranking(scored.collect())
    }
}

#[cfg(test)]
mod tests;
