//! Tests of placement: ranks, weighted sampling, and keys that stay at the endpoint that has them
//! cached.

use super::{MS, candidates_of_key_9, endpoint, engine, open_read};
use crate::endpoints::{InFlightAttempt, LATENCY_PER_WORK_GAIN};
use crate::engine::Engine;
use crate::engine::selection::Selection;
use crate::estimators::LatencyMean;
use crate::events::{Endpoint, EndpointState, UpdateKind};
use crate::idempotency::AttemptKind;
use crate::identifiers::{AttemptNumber, EndpointId, Key, Nanos, RequestId};
use crate::placement::RankedEndpoint;
use crate::rendezvous::{CANDIDATES, SLOTS, slot_of_key};
use crate::request::Request;
use std::collections::BTreeMap;

fn ranked(rank: usize, id: u64) -> RankedEndpoint {
    RankedEndpoint {
        rank,
        id: EndpointId(id),
    }
}

/// Returns a read of this key with this estimate of its work.
fn read_with(key: Option<Key>, estimated_work: Option<Nanos>) -> Request {
    let mut request = open_read(1);
    request.details.key = key;
    request.details.estimated_work = estimated_work;
    request
}

/// Returns how often in `repetitions` placements the endpoint is chosen.
fn count_placed(
    engine: &mut Engine,
    request: &Request,
    candidates: &[RankedEndpoint],
    id: u64,
    repetitions: usize,
) -> usize {
    let placed =
        (0..repetitions).filter(|_| engine.place(request, candidates) == Some(EndpointId(id)));
    placed.count()
}

/// Returns the endpoint that is selected for a read of key 9.
fn selected(engine: &mut Engine) -> Option<EndpointId> {
    match engine.select_endpoint(&open_read(2), AttemptKind::Regular) {
        Selection::Endpoint(id) => Some(id),
        _ => None,
    }
}

#[test]
fn ranking_keeps_its_order_when_an_endpoint_is_removed() {
    let mut engine = engine(10);
    let before: Vec<Vec<EndpointId>> = (0..SLOTS)
        .map(|slot| engine.placement.ranking(slot).collect())
        .collect();
    let removed = Endpoint {
        id: EndpointId(4),
        state: EndpointState::Removed,
        ..Endpoint::default()
    };
    engine.on_endpoint_update(UpdateKind::Delta, vec![removed]);
    for (slot, mut ranking) in before.into_iter().enumerate() {
        ranking.retain(|id| *id != EndpointId(4));
        assert!(engine.placement.ranking(slot).eq(ranking.iter().copied()));
        assert_eq!(*engine.placement.candidates(slot), ranking[..3]);
    }
}

#[test]
fn share_of_first_ranks_follows_the_weight() {
    let mut engine = engine(3);
    let large = Endpoint {
        weight: 2.0,
        ..endpoint(3)
    };
    engine.on_endpoint_update(UpdateKind::Delta, vec![large]);
    let first = (0..SLOTS)
        .filter(|slot| engine.placement.ranking(*slot).next() == Some(EndpointId(3)))
        .count();
    assert!(
        (SLOTS * 45 / 100..SLOTS * 55 / 100).contains(&first),
        "{first}"
    );
}

#[test]
fn each_of_many_endpoints_has_its_even_share_of_slots() {
    let mut engine = engine(150);
    let mut first = BTreeMap::new();
    for key in 0..60_000u64 {
        let slot = slot_of_key(Key(key));
        *first
            .entry(engine.placement.candidates(slot)[0])
            .or_insert(0) += 1;
    }
    assert!(
        first.len() == 150 && first.values().all(|count| (300..=500).contains(count)),
        "{first:?}"
    );
}

#[test]
fn endpoint_with_fewer_attempts_in_flight_is_chosen_and_rank_breaks_ties() {
    let mut engine = engine(3);
    let candidates = [ranked(0, 2), ranked(1, 1)];
    let request = read_with(None, None);
    assert_eq!(engine.place(&request, &candidates), Some(EndpointId(2)));
    // One attempt in flight at the first rank equals the fetch that the other endpoint would need;
    // the second attempt decides.
    for expected in [EndpointId(2), EndpointId(1)] {
        engine
            .record_mut(EndpointId(2))
            .in_flight
            .push(InFlightAttempt {
                sent_at: 0,
                request: RequestId(1),
                number: AttemptNumber(0),
            });
        assert_eq!(engine.place(&request, &candidates), Some(expected));
    }
    assert_eq!(engine.place(&request, &[]), None);
}

#[test]
fn placement_follows_the_reported_hit_ratio() {
    let mut engine = engine(3);
    // The hit ratio is the same at all ranks.
    engine.placement.restore_rank_hit_ratios([0.5; CANDIDATES]);
    engine.record_mut(EndpointId(3)).hit_ratio = 0.25;
    let candidates = [ranked(0, 3), ranked(1, 1), ranked(2, 2)];
    let placed = count_placed(&mut engine, &read_with(None, None), &candidates, 3, 4_000);
    // The weights are 1, 2, 2. Endpoint 3 is sampled first with probability 1/5, or second with 2 x
    // 2/5 x 1/3. It has the best rank, so it is chosen whenever it is sampled: 46.7 %.
    assert!((1_800..1_940).contains(&placed), "{placed}");
}

#[test]
fn key_is_placed_at_the_endpoint_that_recently_answered_it() {
    let mut engine = engine(3);
    let candidates = [ranked(0, 2), ranked(1, 1), ranked(2, 3)];
    let key = Some(Key(5));
    engine.placement.recent_keys.insert(key, EndpointId(3));
    let request = read_with(key, None);
    let placed = count_placed(&mut engine, &request, &candidates, 3, 1_000);
    assert!(placed > 990, "{placed}");
    // With far more attempts in flight than the others, the endpoint is not chosen.
    engine.record_mut(EndpointId(3)).set_in_flight(3);
    let placed = count_placed(&mut engine, &request, &candidates, 3, 1_000);
    assert!(placed < 10, "{placed}");
}

#[test]
fn heavy_work_is_placed_at_fast_endpoints_and_light_work_evenly() {
    let mut engine = engine(3);
    let candidates = [ranked(1, 1), ranked(1, 2), ranked(1, 3)];
    for (id, latency) in [(1, 100e6), (2, 50e6), (3, 50e6)] {
        let record = engine.record_mut(EndpointId(id));
        record
            .latency_per_work
            .add(latency, 50e6, LATENCY_PER_WORK_GAIN);
    }
    engine.latency_objective = 1_000e6;
    let mut count_at_slow_endpoint =
        |work| count_placed(&mut engine, &read_with(None, work), &candidates, 1, 3_000);
    let [unknown, light, heavy] = [None, Some(MS), Some(500 * MS)].map(&mut count_at_slow_endpoint);
    assert!(
        unknown.abs_diff(1_000) < 120 && light.abs_diff(1_000) < 120,
        "{unknown} {light}"
    );
    assert!(heavy < 700, "{heavy}");
}

#[test]
fn endpoint_far_slower_than_the_others_is_avoided_until_its_latency_decays() {
    let mut engine = engine(9);
    let first = candidates_of_key_9(&mut engine)[0];
    let set_latency = |engine: &mut Engine, id: EndpointId, ms: f64| {
        let mut unloaded = LatencyMean::default();
        unloaded.add(10 * MS);
        let [_, baseline, samples] = unloaded.to_stored();
        engine.record_mut(id).latency = LatencyMean::from_stored([ms * 1e6, baseline, samples]);
    };
    engine.placement.recent_keys.insert(Some(Key(9)), first);
    // If all endpoints are equally slow, the cause is the load and the first candidate is not
    // avoided.
    for (others, expected) in [(100.0, true), (10.0, false)] {
        (1..=9).for_each(|id| set_latency(&mut engine, EndpointId(id), others));
        set_latency(&mut engine, first, 100.0);
        engine.housekeeping();
        let at_first = (0..100)
            .filter(|_| selected(&mut engine) == Some(first))
            .count();
        assert_eq!(at_first > 90, expected, "{at_first}");
    }
    (0..100).for_each(|_| engine.housekeeping());
    assert_eq!(
        selected(&mut engine),
        Some(first),
        "the endpoint is used again after its latency has decayed"
    );
}
