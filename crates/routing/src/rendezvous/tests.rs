//! Tests that compare the slot table with a direct ranking: a score for each cache, and a sort.

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
    /// Number of hashes of a slot and a cache computed in this thread, as the measure of the
    /// table's work.
    static HASHES: Cell<usize> = const { Cell::new(0) };
}

pub(super) fn record_hash() {
    HASHES.set(HASHES.get() + 1);
}

/// Returns the number of hashes that `operation` computes.
fn count_hashes(operation: impl FnOnce()) -> usize {
    let before = HASHES.get();
    operation();
    HASHES.get() - before
}

/// Returns all caches in rank order at a slot, by sorting their scores.
fn rank_by_sorting(caches: &BTreeMap<u64, Endpoint>, slot: usize) -> Vec<EndpointId> {
    let mut ranked: Vec<(f64, EndpointId)> = caches
        .iter()
        .filter(|(_, entry)| entry.state == EndpointState::Active)
        .map(|(id, entry)| {
            let hash = xxh3_64_with_seed(&id.to_le_bytes(), slot as u64);
            let position = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
            (-position.ln() / entry.weight, EndpointId(*id))
        })
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Endpoint list that is changed at random, with the engine that receives the changes.
struct ChangingList {
    rng: Xoshiro256PlusPlus,
    caches: BTreeMap<u64, Endpoint>,
    engine: Engine,
}

impl ChangingList {
    fn new(seed: u64, count: u64) -> Self {
        let engine = Engine::new(settings(), 1, 0).expect("settings are consistent");
        let mut list = ChangingList {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            caches: BTreeMap::new(),
            engine,
        };
        (0..count).for_each(|id| list.add_with_random_weight(id));
        list
    }

    fn random_below(&mut self, limit: usize) -> usize {
        (self.rng.next_u64() % limit as u64) as usize
    }

    fn upsert(&mut self, entry: Endpoint) {
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

    fn add_with_random_weight(&mut self, id: u64) {
        let weight = [1.0, 1.0, 1.0, 0.25, 2.0, 7.5][self.random_below(6)];
        self.upsert(Endpoint {
            id: EndpointId(id),
            weight,
            ..Endpoint::default()
        });
    }

    fn random_id(&mut self) -> u64 {
        let selected = self.random_below(self.caches.len());
        *self
            .caches
            .keys()
            .nth(selected)
            .expect("the list is not empty")
    }

    /// Applies one random change: an added endpoint, a drain, a restart, another weight, a removal,
    /// or a full list.
    fn apply_random_change(&mut self, next_id: u64) {
        let selected = self.random_id();
        let entry = self.caches[&selected];
        match self.random_below(6) {
            0 => self.add_with_random_weight(next_id),
            1 => self.upsert(Endpoint {
                state: EndpointState::Draining,
                ..entry
            }),
            2 => self.upsert(Endpoint {
                state: EndpointState::Active,
                started: entry.started + 1,
                ..entry
            }),
            3 => self.add_with_random_weight(selected),
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

    fn check_slot(&mut self, slot: usize) {
        let expected = rank_by_sorting(&self.caches, slot);
        let first = &expected[..expected.len().min(CANDIDATES)];
        assert_eq!(*self.table().candidates(slot), *first, "slot {slot}");
        let ranking: Vec<EndpointId> = self.table().ranking(slot).collect();
        assert_eq!(ranking, expected, "slot {slot}");
    }
}

#[test]
fn every_slot_ranks_caches_like_a_full_sort_after_any_list_change() {
    for (seed, count) in [(1, 1), (2, 4), (3, 40)] {
        let mut list = ChangingList::new(seed, count);
        for step in 0..40 {
            // All rows are computed before the change, so that they have to be updated.
            (0..SLOTS).for_each(|slot| _ = list.table().candidates(slot));
            list.apply_random_change(1_000 + step);
            if list.caches.is_empty() {
                list.add_with_random_weight(0);
            }
            for _ in 0..200 {
                let slot = list.random_below(SLOTS);
                list.check_slot(slot);
            }
        }
        (0..SLOTS).for_each(|slot| list.check_slot(slot));
    }
}

#[test]
fn change_of_one_cache_recomputes_the_rows_that_it_affects_and_few_others() {
    let mut list = ChangingList::new(4, 0);
    let count = 400;
    let all = (0..count).map(|id| Endpoint {
        id: EndpointId(id),
        weight: 1.0,
        ..Endpoint::default()
    });
    all.for_each(|entry| list.upsert(entry));
    let recomputed = |list: &mut ChangingList, entry: Endpoint| {
        (0..SLOTS).for_each(|slot| _ = list.table().candidates(slot));
        list.upsert(entry);
        let slots = 0..SLOTS;
        let affected = slots
            .filter(|slot| count_hashes(|| _ = list.table().candidates(*slot)) > 1)
            .count();
        assert_eq!(
            count_hashes(|| (0..SLOTS).for_each(|slot| _ = list.table().candidates(slot))),
            0
        );
        affected
    };
    let expected = CANDIDATES * SLOTS / count as usize;
    let tolerated = expected * 3 / 4..expected * 5 / 4;
    let entry = list.caches[&77];
    let drained = recomputed(
        &mut list,
        Endpoint {
            state: EndpointState::Draining,
            ..entry
        },
    );
    assert!(
        tolerated.contains(&drained),
        "{drained} rows, expected about {expected}"
    );
    let reactivated = recomputed(&mut list, entry);
    assert!(
        tolerated.contains(&reactivated),
        "{reactivated} rows, expected about {expected}"
    );
    assert_eq!(
        recomputed(
            &mut list,
            Endpoint {
                started: 5,
                ..entry
            }
        ),
        0,
        "a restart affects no row"
    );
    assert_eq!(recomputed(&mut list, entry), 0);
}

#[test]
fn rows_are_current_after_any_number_of_missed_changes_and_when_versions_restart() {
    let mut list = ChangingList::new(5, 30);
    let slots: Vec<usize> = (0..SLOTS).step_by(499).collect();
    for (step, missed_changes) in [1, 3, 29, 40, MAX_LOGGED_CHANGES - 1, MAX_LOGGED_CHANGES + 1]
        .into_iter()
        .enumerate()
    {
        slots.iter().for_each(|slot| list.check_slot(*slot));
        for change in 0..missed_changes as u64 {
            list.apply_random_change(1_000_000 * (step as u64 + 1) + change);
            if list.caches.is_empty() {
                list.add_with_random_weight(0);
            }
        }
        slots.iter().for_each(|slot| list.check_slot(*slot));
    }
    list.table().version = Version::MAX - 2;
    slots
        .iter()
        .for_each(|slot| list.table().rows[*slot].version = Version::MAX - 2);
    for id in 0..6 {
        list.add_with_random_weight(id);
        list.add_with_random_weight(9_000_000 + id);
        slots.iter().for_each(|slot| list.check_slot(*slot));
    }
    assert!(list.table().version < 20, "the versions have restarted");
}

#[test]
fn caches_with_indexes_too_large_for_a_row_are_ranked_correctly() {
    let caches = u64::from(NO_CACHE) + 40;
    let mut table = SlotTable::new();
    table.set_caches(&caches_with_ids(0..caches));
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
    // Checks only slots with a candidate whose index does not fit into a row, and two others.
    let has_unstorable_candidate = |slot: &usize| {
        rank_by_sorting(&all, *slot)[..CANDIDATES]
            .iter()
            .any(|id| id.0 >= u64::from(NO_CACHE))
    };
    let slots: Vec<usize> = (0..SLOTS)
        .step_by(997)
        .filter(has_unstorable_candidate)
        .chain([0, 1])
        .collect();
    for slot in slots {
        for _ in 0..2 {
            assert_eq!(
                *table.candidates(slot),
                rank_by_sorting(&all, slot)[..CANDIDATES]
            );
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

/// Returns caches of weight 1 with these identifiers.
fn caches_with_ids(ids: std::ops::Range<u64>) -> Vec<(EndpointId, f64)> {
    ids.map(|id| (EndpointId(id), 1.0)).collect()
}

#[test]
fn adding_many_caches_computes_no_hashes_until_slots_are_read() {
    let (initial, added) = (3_200, 1_000);
    let mut table = SlotTable::new();
    table.set_caches(&caches_with_ids(0..initial));
    let read_slots = 4_096;
    (0..read_slots).for_each(|slot| _ = table.candidates(slot));
    assert_eq!(
        count_hashes(|| table.set_caches(&caches_with_ids(0..initial + added))),
        0,
        "adding caches computes no hashes"
    );
    let caches = (initial + added) as usize;
    for slot in 0..read_slots {
        let computed = count_hashes(|| _ = table.candidates(slot));
        assert!(
            computed <= caches + added as usize,
            "slot {slot}: {computed} hashes"
        );
        assert_eq!(
            count_hashes(|| _ = table.candidates(slot)),
            0,
            "slot {slot} is not recomputed at the second read"
        );
    }
}
