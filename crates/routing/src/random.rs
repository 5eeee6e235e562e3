//! The engine's source of random numbers: the same seed gives the same decisions.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Steps in which probabilities are drawn.
const PROBABILITY_STEPS: u64 = 1_000;
/// Bits of a random number that a floating point number keeps exactly.
const MANTISSA_BITS: u32 = 53;

/// A seeded generator.
pub(crate) struct Random(Xoshiro256PlusPlus);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// A number under `limit`; 0 without a draw if that is 0.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        if limit == 0 {
            0
        } else {
            self.0.next_u64() % limit
        }
    }

    /// A number in [0, 1).
    pub(crate) fn fraction(&mut self) -> f64 {
        (self.0.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    /// A number in [0, 1) in steps of a thousandth.
    pub(crate) fn coarse_fraction(&mut self) -> f64 {
        self.below(PROBABILITY_STEPS) as f64 / PROBABILITY_STEPS as f64
    }

    /// True with this probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        (self.below(PROBABILITY_STEPS) as f64) < probability * PROBABILITY_STEPS as f64
    }
}
