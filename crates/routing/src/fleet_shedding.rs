//! Fleet shedding: all balancers shed the same tiers of requests together, those of the least
//! priority weight first.

use crate::events::SheddingLevel;
use crate::identifiers::Nanos;
use crate::request::Request;
use crate::settings::{RequestClass, Settings};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The greatest fraction of a tier that is shed: if nothing were admitted, nothing would show that
/// there is capacity again.
pub const MAX_SHED_FRACTION: f64 = 0.95;
/// How far the shed part of the key space moves with each rotation: by over half, as otherwise
/// rotations would alternate between the same two halves.
const ROTATION_STEP: f64 = 0.55;
/// Rotations after which the shed part starts again, so that the product keeps its precision.
const ROTATION_PERIOD: u64 = 1_000;

/// The shedding level, and the tier of each class.
pub(crate) struct FleetShedding {
    level: SheddingLevel,
    /// Two for each class, within and beyond its tenant's quota: how many have less weight.
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

    /// The tier of a request.
    pub(crate) fn tier(&self, request: &Request) -> usize {
        self.tiers[2 * request.details.class.0 + usize::from(request.is_over_quota)]
    }

    /// Whether all balancers shed this request: it is in a tier that is shed, and its key is in the
    /// part of the key space that is shed in this rotation. A client that returns in the next
    /// rotation is admitted as long as half of the tier is.
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

    /// How long until the next rotation.
    pub(crate) fn time_to_rotation(&self, now: Nanos) -> Nanos {
        self.level.rotation_ends.saturating_sub(now)
    }

    #[cfg(test)]
    pub(crate) fn tiers(&self) -> &[usize] {
        &self.tiers
    }
}

/// The tiers of all classes. Of two of equal weight the earlier class is shed first, and what lies
/// within a quota last.
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
