//! The table against the plain way to rank: a score for each cache, and a sort.

use super::{CANDIDATES, MAX_LOGGED_CHANGES, NO_CACHE, SLOTS, SlotTable, Version};
use crate::engine::Engine;
use crate::engine::tests::settings;
use crate::events::{Endpoint, EndpointState, Event, UpdateKind};
use crate::identifiers::EndpointId;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::Cell;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

thread_local! {
    /// Hashes of a slot and a cache that were computed in this thread: the measure of the table's
    /// work.
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

/// An endpoint list that changes at random, and the engine that is notified of it.
struct RandomChanges {
    rng: Xoshiro256PlusPlus,
    caches: BTreeMap<u64, Endpoint>,
    engine: Engine,
}

impl RandomChanges {
    fn new(seed: u64, count: u64) -> Self {
        let engine = Engine::new(settings(), 1, 0).expect("settings are consistent");
        let mut changes = RandomChanges {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            caches: BTreeMap::new(),
            engine,
        };
        (0..count).for_each(|id| changes.join(id));
        changes
    }

    fn below(&mut self, n: usize) -> usize {
        (self.rng.next_u64() % n as u64) as usize
    }

    fn list(&mut self, entry: Endpoint) {
        self.caches.insert(entry.id.0, entry);
        self.update(UpdateKind::Delta, vec![entry]);
    }

    fn update(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) {
        let event = Event::EndpointUpdate { kind, endpoints };
        self.engine.handle(0, event, &mut Vec::new());
    }

    fn table(&mut self) -> &mut SlotTable {
        self.engine.slot_table()
    }

    fn join(&mut self, id: u64) {
        let weight = [1.0, 1.0, 1.0, 0.25, 2.0, 7.5][self.below(6)];
        self.list(Endpoint {
            id: EndpointId(id),
            weight,
            ..Endpoint::default()
        });
    }

    fn any(&mut self) -> u64 {
        let selected = self.below(self.caches.len());
        *self.caches.keys().nth(selected).expect("there are some")
    }

    /// One change of the list: a join, a drain, a restart, another weight, a removal, or a full
    /// list.
    fn step(&mut self, next_id: u64) {
        let selected = self.any();
        let entry = self.caches[&selected];
        match self.below(6) {
            0 => self.join(next_id),
            1 => self.list(Endpoint {
                state: EndpointState::Draining,
                ..entry
            }),
            2 => self.list(Endpoint {
                state: EndpointState::Active,
                started: entry.started + 1,
                ..entry
            }),
            3 => self.join(selected),
            4 => {
                self.caches.remove(&selected);
                let removed = Endpoint {
                    state: EndpointState::Removed,
                    ..entry
                };
                self.update(UpdateKind::Delta, vec![removed]);
            }
            _ => {
                self.caches.remove(&selected);
                self.caches.insert(
                    next_id,
                    Endpoint {
                        id: EndpointId(next_id),
                        ..entry
                    },
                );
                self.update(UpdateKind::Full, self.caches.values().copied().collect());
            }
        }
    }

    fn check(&mut self, slot: usize) {
        let sorted = sorted(&self.caches, slot);
        let first = &sorted[..sorted.len().min(CANDIDATES)];
        assert_eq!(*self.table().candidates(slot), *first, "slot {slot}");
        let beyond: Vec<EndpointId> = self.table().ranking(slot).collect();
        assert_eq!(beyond, sorted, "slot {slot}");
    }
}

#[test]
fn every_slot_is_ranked_as_by_a_sort_through_joins_drains_restarts_and_full_lists() {
    for (seed, count) in [(1, 1), (2, 4), (3, 40)] {
        let mut changes = RandomChanges::new(seed, count);
        for step in 0..40 {
            // All rows contain candidates before the change, which has to correct them.
            (0..SLOTS).for_each(|slot| _ = changes.table().candidates(slot));
            changes.step(1_000 + step);
            if changes.caches.is_empty() {
                changes.join(0);
            }
            for _ in 0..200 {
                let slot = changes.below(SLOTS);
                changes.check(slot);
            }
        }
        (0..SLOTS).for_each(|slot| changes.check(slot));
    }
}

#[test]
fn change_of_one_cache_recomputes_the_rows_that_it_affects_and_few_others() {
    let mut changes = RandomChanges::new(4, 0);
    let count = 400;
    let all = (0..count).map(|id| Endpoint {
        id: EndpointId(id),
        weight: 1.0,
        ..Endpoint::default()
    });
    all.for_each(|entry| changes.list(entry));
    let recomputed = |changes: &mut RandomChanges, entry: Endpoint| {
        (0..SLOTS).for_each(|slot| _ = changes.table().candidates(slot));
        changes.list(entry);
        let slots = 0..SLOTS;
        let affected = slots
            .filter(|slot| hashes(|| _ = changes.table().candidates(*slot)) > 1)
            .count();
        assert_eq!(
            hashes(|| (0..SLOTS).for_each(|slot| _ = changes.table().candidates(slot))),
            0
        );
        affected
    };
    let due = CANDIDATES * SLOTS / count as usize;
    let near = due * 3 / 4..due * 5 / 4;
    let entry = changes.caches[&77];
    let drained = recomputed(
        &mut changes,
        Endpoint {
            state: EndpointState::Draining,
            ..entry
        },
    );
    assert!(near.contains(&drained), "{drained} of {due}");
    let back = recomputed(&mut changes, entry);
    assert!(near.contains(&back), "{back} of {due}");
    assert_eq!(
        recomputed(
            &mut changes,
            Endpoint {
                started: 5,
                ..entry
            }
        ),
        0,
        "a restart moves nothing"
    );
    assert_eq!(recomputed(&mut changes, entry), 0);
}

#[test]
fn rows_are_current_however_far_behind_they_are_and_when_versions_start_again() {
    let mut changes = RandomChanges::new(5, 30);
    let slots: Vec<usize> = (0..SLOTS).step_by(499).collect();
    for (step, behind) in [1, 3, 29, 40, MAX_LOGGED_CHANGES - 1, MAX_LOGGED_CHANGES + 1]
        .into_iter()
        .enumerate()
    {
        slots.iter().for_each(|slot| changes.check(*slot));
        for change in 0..behind as u64 {
            changes.step(1_000_000 * (step as u64 + 1) + change);
            if changes.caches.is_empty() {
                changes.join(0);
            }
        }
        slots.iter().for_each(|slot| changes.check(*slot));
    }
    changes.table().version = Version::MAX - 2;
    slots
        .iter()
        .for_each(|slot| changes.table().rows[*slot].version = Version::MAX - 2);
    for id in 0..6 {
        changes.join(id);
        changes.join(9_000_000 + id);
        slots.iter().for_each(|slot| changes.check(*slot));
    }
    assert!(changes.table().version < 20, "versions have started again");
}

#[test]
fn caches_beyond_the_indexes_of_a_row_are_ranked_all_the_same() {
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
    // Only slots matter that one of the last caches is a candidate of; some have none.
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
fn batch_of_caches_costs_nothing_for_each_slot_when_it_is_listed() {
    let (before, batch) = (3_200, 1_000);
    let mut table = SlotTable::new();
    table.set_caches(&listed(0..before));
    let in_use = 4_096;
    (0..in_use).for_each(|slot| _ = table.candidates(slot));
    assert_eq!(
        hashes(|| table.set_caches(&listed(0..before + batch))),
        0,
        "when the batch is listed"
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
