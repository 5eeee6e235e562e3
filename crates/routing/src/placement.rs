//! Placement: power of two choices among the candidates of a key's slot, weighted so that the reads
//! of a key concentrate on the endpoint that has it cached.

use crate::endpoints::{EndpointList, EndpointRecord};
use crate::events::CacheStatus;
use crate::identifiers::{EndpointId, Key, Nanos};
use crate::random::Random;
use crate::recent_keys::RecentKeys;
use crate::rendezvous::{CANDIDATES, Candidates, Ranking, SlotTable};
use crate::settings::ServiceRules;

/// Initial hit ratio of each rank, before answers are observed. It favours the first rank, so that
/// balancers that receive few answers also concentrate reads there.
const INITIAL_RANK_HIT_RATIOS: [f64; CANDIDATES] = [0.9, 0.5, 0.5];
/// Weight of a new answer in the hit ratio of a rank.
const HIT_RATIO_GAIN: f64 = 0.02;
/// Minimum miss ratio of a rank that is used in weights.
const MIN_MISS_RATIO: f64 = 0.03;
/// Exponent with which a rank's miss ratio reduces the sampling weight.
const MISS_RATIO_EXPONENT: i32 = 4;
/// Minimum reported hit ratio that is used in weights, so that an empty cache receives reads and
/// can fill.
const MIN_HIT_RATIO: f64 = 0.05;
/// Factor on the sampling weight of an endpoint that recently answered the key.
const CACHED_KEY_FACTOR: f64 = 1e4;
/// Strength with which estimated work reduces a sampling weight: work that takes 1/30 of the
/// latency objective halves it.
const WORK_FACTOR: f64 = 30.0;

/// Candidate with its rank at the slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankedEndpoint {
    pub(crate) rank: usize,
    pub(crate) id: EndpointId,
}

/// Candidate with its sampling weight.
struct WeightedEndpoint {
    endpoint: RankedEndpoint,
    weight: f64,
}

/// Properties of a request that placement depends on.
#[derive(Clone, Copy)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) key: Option<Key>,
    pub(crate) estimated_work: Option<Nanos>,
    pub(crate) now: Nanos,
    pub(crate) rules: &'a ServiceRules,
    /// Shortest latency objective of all classes, in nanoseconds.
    pub(crate) latency_objective: f64,
}

/// Candidates of each slot, and a record of where keys are probably cached.
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

    /// Sets the caches that may be candidates, with their weights, in ascending order of
    /// identifiers.
    pub(crate) fn set_caches(&mut self, caches: &[(EndpointId, f64)]) {
        self.slots.set_caches(caches);
    }

    #[cfg(test)]
    pub(crate) fn slot_table(&mut self) -> &mut SlotTable {
        &mut self.slots
    }

    /// Returns the candidates of a slot, best first. They depend only on the endpoint list, not on
    /// health.
    pub(crate) fn candidates(&mut self, slot: usize) -> Candidates {
        self.slots.candidates(slot)
    }

    /// Returns all caches in rank order at a slot.
    pub(crate) fn ranking(&self, slot: usize) -> Ranking {
        self.slots.ranking(slot)
    }

    /// Records the cache status of an answer from the candidate at this rank.
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

    /// Samples two of the available candidates by weight and returns the one with fewer attempts in
    /// flight, or the better rank on a tie. A necessary fetch counts as one attempt in flight. A
    /// key that no candidate answered recently is assumed to be cached at the first rank, because
    /// other balancers look for it there too.
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
                let weight = self.sampling_weight(record, *endpoint, request);
                Some(WeightedEndpoint {
                    endpoint: *endpoint,
                    weight,
                })
            })
            .collect();
        let sampled = [
            take_by_weight(&mut pool, random),
            take_by_weight(&mut pool, random),
        ];
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
        sampled
            .into_iter()
            .flatten()
            .min_by_key(|endpoint| (load(endpoint), endpoint.rank))
            .map(|endpoint| endpoint.id)
    }

    /// Returns the sampling weight of a candidate: its reported hit ratio divided by a power of its
    /// rank's miss ratio, reduced during slow start and where the estimated work takes a large part
    /// of the latency objective, and greatly increased if it recently answered the key.
    fn sampling_weight(
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
            .and_then(|work| record.latency_per_work.expected_latency(work as f64))
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

/// Removes a candidate from the pool, chosen at random in proportion to its weight.
fn take_by_weight(pool: &mut Vec<WeightedEndpoint>, random: &mut Random) -> Option<RankedEndpoint> {
    let last = pool.len().checked_sub(1)?;
    let total: f64 = pool.iter().map(|candidate| candidate.weight).sum();
    let mut remaining = random.fraction() * total;
    let selected = pool.iter().position(|candidate| {
        remaining -= candidate.weight;
        remaining < 0.0
    });
    Some(pool.remove(selected.unwrap_or(last)).endpoint)
}
