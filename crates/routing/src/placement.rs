//! Placement: power of two choices among the candidates of a key's slot, weighted so that the reads
//! of a key gather at the endpoint that has it cached.

use crate::endpoints::{EndpointList, EndpointRecord};
use crate::events::CacheStatus;
use crate::identifiers::{EndpointId, Key, Nanos};
use crate::random::Random;
use crate::recent_keys::RecentKeys;
use crate::rendezvous::{CANDIDATES, Candidates, Ranking, SlotTable};
use crate::settings::ServiceRules;

/// Hit ratio of each rank until answers show it: balancers that see few answers gather reads at
/// the first rank too.
const INITIAL_RANK_HIT_RATIOS: [f64; CANDIDATES] = [0.9, 0.5, 0.5];
/// Weight of a new answer in the hit ratio of a rank.
const HIT_RATIO_GAIN: f64 = 0.02;
/// The least miss ratio that is believed.
const MIN_MISS_RATIO: f64 = 0.03;
/// How steeply draws follow the miss ratio of a rank.
const MISS_RATIO_EXPONENT: i32 = 4;
/// The least reported hit ratio that counts, so that a cache that fills gets reads.
const MIN_HIT_RATIO: f64 = 0.05;
/// Draw weight of an endpoint that answered the key lately, over that of others.
const CACHED_KEY_FACTOR: f64 = 1e4;
/// Work that takes one part in so many of the latency objective halves a draw weight.
const WORK_FACTOR: f64 = 30.0;

/// A candidate and its rank at the slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankedEndpoint {
    pub(crate) rank: usize,
    pub(crate) id: EndpointId,
}

/// A candidate with the weight by which it is drawn.
struct WeightedEndpoint {
    endpoint: RankedEndpoint,
    weight: f64,
}

/// What is placed.
#[derive(Clone, Copy)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) key: Option<Key>,
    pub(crate) estimated_work: Option<Nanos>,
    pub(crate) now: Nanos,
    pub(crate) rules: &'a ServiceRules,
    /// The shortest latency objective of a class, in nanoseconds.
    pub(crate) latency_objective: f64,
}

/// The candidates of each slot, and where keys are probably cached.
pub(crate) struct Placement {
    slots: SlotTable,
    rank_hit_ratios: [f64; CANDIDATES],
    pub(crate) recent_keys: RecentKeys,
}

impl Placement {
    pub(crate) fn new(now: Nanos) -> Self {
        Placement {
            slots: SlotTable::new(),
            rank_hit_ratios: INITIAL_RANK_HIT_RATIOS,
            recent_keys: RecentKeys::new(now),
        }
    }

    /// Takes over the caches that may be candidates, with their weights, in ascending order of
    /// their identifiers.
    pub(crate) fn set_caches(&mut self, caches: &[(EndpointId, f64)]) {
        self.slots.set_caches(caches);
    }

    #[cfg(test)]
    pub(crate) fn slot_table(&mut self) -> &mut SlotTable {
        &mut self.slots
    }

    /// The candidates of a slot, best first. The endpoint list alone decides, never health.
    pub(crate) fn candidates(&mut self, slot: usize) -> Candidates {
        self.slots.candidates(slot)
    }

    /// All caches in the order of their ranks at a slot.
    pub(crate) fn ranking(&self, slot: usize) -> Ranking {
        self.slots.ranking(slot)
    }

    /// Counts an answer of the candidate at this rank.
    pub(crate) fn record_cache_status(&mut self, rank: usize, status: CacheStatus) {
        let ratio = &mut self.rank_hit_ratios[rank];
        *ratio += HIT_RATIO_GAIN * (f64::from(status == CacheStatus::Hit) - *ratio);
    }

    pub(crate) fn rank_hit_ratios(&self) -> &[f64; CANDIDATES] {
        &self.rank_hit_ratios
    }

    pub(crate) fn restore_rank_hit_ratios(&mut self, ratios: [f64; CANDIDATES]) {
        self.rank_hit_ratios = ratios;
    }

    /// Draws two of the available candidates by weight. The one with fewer attempts in flight wins,
    /// on a tie the better rank. A fetch that would be necessary counts as one in flight; a key
    /// that no candidate answered lately is taken to be cached at the first rank, where other
    /// balancers look for it too.
    pub(crate) fn choose(
        &self,
        available: &[RankedEndpoint],
        request: PlacementRequest<'_>,
        endpoints: &EndpointList,
        random: &mut Random,
    ) -> Option<EndpointId> {
        let mut pool: Vec<WeightedEndpoint> = available
            .iter()
            .filter_map(|endpoint| {
                let record = endpoints.get(endpoint.id)?;
                let weight = self.draw_weight(record, *endpoint, request);
                Some(WeightedEndpoint {
                    endpoint: *endpoint,
                    weight,
                })
            })
            .collect();
        let drawn = [draw(&mut pool, random), draw(&mut pool, random)];
        let key = request.key;
        let is_cached = |id| self.recent_keys.is_cached(key, id);
        let is_cached_nowhere = !available.iter().any(|endpoint| is_cached(endpoint.id));
        let load = |endpoint: &RankedEndpoint| {
            let is_hit = is_cached(endpoint.id) || is_cached_nowhere && endpoint.rank == 0;
            let in_flight = endpoints
                .get(endpoint.id)
                .map_or(0, |record| record.in_flight.len());
            in_flight + usize::from(!is_hit)
        };
        drawn
            .into_iter()
            .flatten()
            .min_by_key(|endpoint| (load(endpoint), endpoint.rank))
            .map(|endpoint| endpoint.id)
    }

    /// The draw weight of a candidate: its reported hit ratio over the miss ratio of its rank, less
    /// during slow start, less where the estimated work takes much of the latency objective, and
    /// far more if it answered the key lately.
    fn draw_weight(
        &self,
        record: &EndpointRecord,
        endpoint: RankedEndpoint,
        request: PlacementRequest<'_>,
    ) -> f64 {
        let misses = (1.0 - self.rank_hit_ratios[endpoint.rank])
            .max(MIN_MISS_RATIO)
            .powi(MISS_RATIO_EXPONENT);
        let latency = request
            .estimated_work
            .and_then(|work| record.work_pace.expected_latency(work as f64))
            .unwrap_or(0.0);
        let capacity = record
            .slow_start
            .capacity_fraction(request.now, request.rules);
        let weight = capacity * record.hit_ratio.max(MIN_HIT_RATIO)
            / misses
            / (1.0 + WORK_FACTOR * latency / request.latency_objective.max(1.0));
        if self.recent_keys.is_cached(request.key, endpoint.id) {
            weight * CACHED_KEY_FACTOR
        } else {
            weight
        }
    }
}

/// Takes one out of the pool, with a probability in proportion to its weight.
fn draw(pool: &mut Vec<WeightedEndpoint>, random: &mut Random) -> Option<RankedEndpoint> {
    let last = pool.len().checked_sub(1)?;
    let total: f64 = pool.iter().map(|candidate| candidate.weight).sum();
    let mut remaining = random.fraction() * total;
    let drawn = pool.iter().position(|candidate| {
        remaining -= candidate.weight;
        remaining < 0.0
    });
    Some(pool.remove(drawn.unwrap_or(last)).endpoint)
}
