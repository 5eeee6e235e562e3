//! Random number generator of the engine: the same seed gives the same decisions.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Resolution of random probabilities: number of equal steps from 0 to 1.
const PROBABILITY_STEPS: u64 = 1_000;
/// Number of bits of a random number that an `f64` represents exactly.
const MANTISSA_BITS: u32 = 53;

/// Seeded random number generator.
pub(crate) struct Random(Xoshiro256PlusPlus);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// Returns a random number below `limit`; for a limit of 0 returns 0 without advancing the
    /// generator.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        if limit == 0 {
            0
        } else {
            self.0.next_u64() % limit
        }
    }

    /// Returns a random number in [0, 1).
    pub(crate) fn fraction(&mut self) -> f64 {
        (self.0.next_u64() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    /// Returns a random number in [0, 1), in steps of a thousandth.
    pub(crate) fn coarse_fraction(&mut self) -> f64 {
        self.below(PROBABILITY_STEPS) as f64 / PROBABILITY_STEPS as f64
    }

    /// Returns true with this probability, in steps of a thousandth.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        (self.below(PROBABILITY_STEPS) as f64) < probability * PROBABILITY_STEPS as f64
    }
}
