//! Fleet shedding: all balancers shed the same tiers of requests, those with the lowest priority
//! weight first.

use crate::events::SheddingLevel;
use crate::identifiers::Nanos;
use crate::request::Request;
use crate::settings::{RequestClass, Settings};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum fraction of a tier that is shed: if nothing were admitted, nothing would show that
/// capacity has returned.
pub const MAX_SHED_FRACTION: f64 = 0.95;
/// Shift of the shed part of the key space with each rotation, as a fraction of the key space. It
/// is over one half, because with exactly one half the rotations would alternate between the same
/// two halves.
const ROTATION_STEP: f64 = 0.55;
/// Number of rotations after which the position of the shed part repeats, so that the product with
/// the step keeps its precision.
const ROTATION_PERIOD: u64 = 1_000;

/// Current shedding level, and the tiers of each class.
pub(crate) struct FleetShedding {
    level: SheddingLevel,
    /// Tiers of all classes in their order, two for each: within its tenant's quota, then beyond
    /// it. A tier is identified by the number of tiers that are shed before it.
    tiers: Vec<usize>,
}

impl FleetShedding {
    pub(crate) fn new(settings: &Settings) -> Self {
        FleetShedding {
            level: SheddingLevel::default(),
            tiers: tiers(settings),
        }
    }

    pub(crate) fn set_level(&mut self, level: SheddingLevel) {
        self.level = level;
    }

    /// Returns the tier of a request.
    pub(crate) fn tier(&self, request: &Request) -> usize {
        self.tiers[2 * request.details.class.0 + usize::from(request.is_over_quota)]
    }

    /// Returns whether all balancers shed this request: its tier is shed, and its key lies in the
    /// part of the key space that is shed in this rotation. A client that retries in the next
    /// rotation is admitted if at most half of the tier is shed.
    pub(crate) fn sheds(&self, request: &Request) -> bool {
        let tier = self.tier(request) as f64;
        let fraction = (self.level.level - tier).clamp(0.0, MAX_SHED_FRACTION);
        if fraction == 0.0 {
            return false;
        }
        let details = &request.details;
        let hashed = details.key.map_or(details.id.0, |key| u128::from(key.0));
        let hash = xxh3_64_with_seed(&hashed.to_le_bytes(), details.class.0 as u64);
        let position = hash as f64 / u64::MAX as f64;
        let rotation = (self.level.rotation % ROTATION_PERIOD) as f64;
        (position + ROTATION_STEP * rotation).fract() < fraction
    }

    /// Returns the time until the next rotation.
    pub(crate) fn time_to_rotation(&self, now: Nanos) -> Nanos {
        self.level.rotation_ends.saturating_sub(now)
    }

    #[cfg(test)]
    pub(crate) fn tiers(&self) -> &[usize] {
        &self.tiers
    }
}

/// Returns the tiers of all classes. Tiers of equal weight are ordered by class index, and those
/// within a quota are shed after those beyond one.
fn tiers(settings: &Settings) -> Vec<usize> {
    let over_quota = settings.over_quota_weight.clamp(0.0, 1.0);
    let weights_of =
        |class: &RequestClass| [class.priority_weight, class.priority_weight * over_quota];
    let weights: Vec<f64> = settings.classes.iter().flat_map(weights_of).collect();
    let order = |index: usize| (index.is_multiple_of(2), index / 2);
    let is_less = |a: usize, b: usize| {
        weights[a]
            .total_cmp(&weights[b])
            .then(order(a).cmp(&order(b)))
            .is_lt()
    };
    let tier = |index| {
        let others = 0..weights.len();
        others.filter(|other| is_less(*other, index)).count()
    };
    (0..weights.len()).map(tier).collect()
}
