//! The table against the plain way to rank: a score for each cache, and a sort.

use super::super::tests::settings;
use super::*;
use crate::api::{Endpoint, EndpointState, UpdateKind};
use crate::brain::Engine;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::Cell;

thread_local! {
    /// Hashes of a slot and a cache that were worked out in this thread: the measure of the table's work.
    static HASHES: Cell<usize> = const { Cell::new(0) };
}

pub(super) fn count_hash() {
    HASHES.set(HASHES.get() + 1);
}

/// How many hashes this takes.
fn hashes(of: impl FnOnce()) -> usize {
    let before = HASHES.get();
    of();
    HASHES.get() - before
}

/// All caches at a slot, best first, by a sort of all scores.
fn sorted(caches: &BTreeMap<u64, Endpoint>, slot: usize) -> Vec<EndpointId> {
    let mut ranked: Vec<(f64, EndpointId)> = caches
        .iter()
        .filter(|(_, entry)| entry.state == EndpointState::Active)
        .map(|(id, entry)| {
            let hash = xxh3_64_with_seed(&id.to_le_bytes(), slot as u64);
            let u = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
            (-u.ln() / entry.weight, EndpointId(*id))
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// A list that changes at random, and the module that is told of it.
struct Course {
    rng: Xoshiro256PlusPlus,
    caches: BTreeMap<u64, Endpoint>,
    brain: Engine,
}

impl Course {
    fn new(seed: u64, count: u64) -> Self {
        let brain = Engine::new(settings(), 1, 0).expect("settings make sense");
        let mut course = Course {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            caches: BTreeMap::new(),
            brain,
        };
        (0..count).for_each(|id| course.join(id));
        course
    }

    fn below(&mut self, n: usize) -> usize {
        (self.rng.next_u64() % n as u64) as usize
    }

    fn tell(&mut self, entry: Endpoint) {
        self.caches.insert(entry.id.0, entry);
        self.brain.on_list(UpdateKind::Delta, vec![entry]);
    }

    fn join(&mut self, id: u64) {
        let weight = [1.0, 1.0, 1.0, 0.25, 2.0, 7.5][self.below(6)];
        self.tell(Endpoint {
            id: EndpointId(id),
            weight,
            ..Endpoint::default()
        });
    }

    fn any(&mut self) -> u64 {
        let chosen = self.below(self.caches.len());
        *self.caches.keys().nth(chosen).expect("there are some")
    }

    /// One change of the list: a join, a drain, a restart, another weight, a removal, or a whole list.
    fn step(&mut self, next_id: u64) {
        let chosen = self.any();
        let entry = self.caches[&chosen];
        match self.below(6) {
            0 => self.join(next_id),
            1 => self.tell(Endpoint {
                state: EndpointState::Draining,
                ..entry
            }),
            2 => self.tell(Endpoint {
                state: EndpointState::Active,
                started: entry.started + 1,
                ..entry
            }),
            3 => self.join(chosen),
            4 => {
                self.caches.remove(&chosen);
                let gone = Endpoint {
                    state: EndpointState::Removed,
                    ..entry
                };
                self.brain.on_list(UpdateKind::Delta, vec![gone]);
            }
            _ => {
                self.caches.remove(&chosen);
                self.caches.insert(
                    next_id,
                    Endpoint {
                        id: EndpointId(next_id),
                        ..entry
                    },
                );
                self.brain
                    .on_list(UpdateKind::Full, self.caches.values().copied().collect());
            }
        }
    }

    fn check(&mut self, slot: usize) {
        let sorted = sorted(&self.caches, slot);
        let first = &sorted[..sorted.len().min(CANDIDATES)];
        assert_eq!(*self.brain.slots.candidates(slot), *first, "slot {slot}");
        let beyond: Vec<EndpointId> = self.brain.slots.ranking(slot).collect();
        assert_eq!(beyond, sorted, "slot {slot}");
    }
}

#[test]
fn every_slot_is_ranked_as_by_a_sort_through_joins_drains_restarts_and_whole_lists() {
    for (seed, count) in [(1, 1), (2, 4), (3, 40)] {
        let mut course = Course::new(seed, count);
        for step in 0..40 {
            // All rows hold candidates when the change comes: it has to mend them.
            (0..SLOTS).for_each(|slot| _ = course.brain.slots.candidates(slot));
            course.step(1_000 + step);
            if course.caches.is_empty() {
                course.join(0);
            }
            for _ in 0..200 {
                let slot = course.below(SLOTS);
                course.check(slot);
            }
        }
        (0..SLOTS).for_each(|slot| course.check(slot));
    }
}

#[test]
fn a_change_of_one_cache_has_the_rows_that_it_touches_worked_out_anew_and_few_others() {
    let mut course = Course::new(4, 0);
    let count = 400;
    let all = (0..count).map(|id| Endpoint {
        id: EndpointId(id),
        weight: 1.0,
        ..Endpoint::default()
    });
    all.for_each(|entry| course.tell(entry));
    let worked_out = |course: &mut Course, entry: Endpoint| {
        (0..SLOTS).for_each(|slot| _ = course.brain.slots.candidates(slot));
        course.tell(entry);
        let slots = 0..SLOTS;
        let anew = slots
            .filter(|slot| hashes(|| _ = course.brain.slots.candidates(*slot)) > 1)
            .count();
        assert_eq!(
            hashes(|| (0..SLOTS).for_each(|slot| _ = course.brain.slots.candidates(slot))),
            0
        );
        anew
    };
    let due = CANDIDATES * SLOTS / count as usize;
    let near = due * 3 / 4..due * 5 / 4;
    let entry = course.caches[&77];
    let drained = worked_out(
        &mut course,
        Endpoint {
            state: EndpointState::Draining,
            ..entry
        },
    );
    assert!(near.contains(&drained), "{drained} of {due}");
    let back = worked_out(&mut course, entry);
    assert!(near.contains(&back), "{back} of {due}");
    assert_eq!(
        worked_out(
            &mut course,
            Endpoint {
                started: 5,
                ..entry
            }
        ),
        0,
        "a restart moves nothing"
    );
    assert_eq!(worked_out(&mut course, entry), 0);
}

#[test]
fn rows_are_right_however_far_behind_they_are_and_when_versions_begin_anew() {
    let mut course = Course::new(5, 30);
    let slots: Vec<usize> = (0..SLOTS).step_by(499).collect();
    for (step, behind) in [1, 3, 29, 40, CHANGES_KEPT - 1, CHANGES_KEPT + 1]
        .into_iter()
        .enumerate()
    {
        slots.iter().for_each(|slot| course.check(*slot));
        for change in 0..behind as u64 {
            course.step(1_000_000 * (step as u64 + 1) + change);
            if course.caches.is_empty() {
                course.join(0);
            }
        }
        slots.iter().for_each(|slot| course.check(*slot));
    }
    course.brain.slots.version = Version::MAX - 2;
    slots
        .iter()
        .for_each(|slot| course.brain.slots.rows[*slot].version = Version::MAX - 2);
    for id in 0..6 {
        course.join(id);
        course.join(9_000_000 + id);
        slots.iter().for_each(|slot| course.check(*slot));
    }
    assert!(course.brain.slots.version < 20, "versions have begun anew");
}

#[test]
fn caches_beyond_the_numbers_of_a_row_are_ranked_all_the_same() {
    let caches = u64::from(NO_CACHE) + 40;
    let mut table = SlotTable::new();
    let listed: Vec<(EndpointId, f64)> = (0..caches).map(|id| (EndpointId(id), 1.0)).collect();
    table.set_caches(&listed);
    let entry = |id| {
        (
            id,
            Endpoint {
                id: EndpointId(id),
                weight: 1.0,
                ..Endpoint::default()
            },
        )
    };
    let all: BTreeMap<u64, Endpoint> = (0..caches).map(entry).collect();
    // Only those slots are interesting that one of the last caches is a candidate of; some have none.
    let late = |slot: &usize| {
        sorted(&all, *slot)[..CANDIDATES]
            .iter()
            .any(|id| id.0 >= u64::from(NO_CACHE))
    };
    let slots: Vec<usize> = (0..SLOTS).step_by(997).filter(late).chain([0, 1]).collect();
    for slot in slots {
        for _ in 0..2 {
            assert_eq!(*table.candidates(slot), sorted(&all, slot)[..CANDIDATES]);
        }
    }
}

#[test]
fn without_caches_there_are_no_candidates() {
    let mut table = SlotTable::new();
    assert!(table.candidates(3).is_empty());
    assert_eq!(table.ranking(3).count(), 0);
    table.set_caches(&[(EndpointId(8), 1.0)]);
    assert_eq!(*table.candidates(3), [EndpointId(8)]);
}

/// Caches of the same weight with these ids.
fn listed(ids: std::ops::Range<u64>) -> Vec<(EndpointId, f64)> {
    ids.map(|id| (EndpointId(id), 1.0)).collect()
}

#[test]
fn a_batch_of_caches_costs_nothing_by_the_number_of_slots_when_it_is_told() {
    let (before, batch) = (3_200, 1_000);
    let mut table = SlotTable::new();
    table.set_caches(&listed(0..before));
    let in_use = 4_096;
    (0..in_use).for_each(|slot| _ = table.candidates(slot));
    assert_eq!(
        hashes(|| table.set_caches(&listed(0..before + batch))),
        0,
        "when the batch is told"
    );
    let caches = (before + batch) as usize;
    for slot in 0..in_use {
        let when_asked = hashes(|| _ = table.candidates(slot));
        assert!(
            when_asked <= caches + batch as usize,
            "{when_asked} for slot {slot}"
        );
        assert_eq!(
            hashes(|| _ = table.candidates(slot)),
            0,
            "asked again for slot {slot}"
        );
    }
}
