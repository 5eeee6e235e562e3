//! Schedule of calls to discovery: one at the start, and one after each failed call with
//! exponential backoff.

use crate::identifiers::Nanos;
use crate::random::Random;
use crate::settings::DiscoveryMode;

/// Maximum delay of the first call, in nanoseconds; spreads the calls of balancers that restart
/// together.
const FIRST_CALL_SPREAD: Nanos = 300_000_000;
/// Mean delay after the first failed call, in nanoseconds; doubles with each further failure.
const MIN_BACKOFF: Nanos = 400_000_000;
/// Maximum mean delay, in nanoseconds. A delay is at most half longer than the mean, and a call
/// without a response is abandoned after 1.6 s. Both together stay below 6 s, because a rule of the
/// service is that the balancer counts as notified of a change at the latest 6 s after discovery
/// had it and could be reached, even if calls failed.
pub(crate) const MAX_BACKOFF: Nanos = 2_500_000_000;
/// Maximum mean delay as a multiple of the staleness limit.
const MAX_BACKOFF_IN_STALENESS_LIMITS: Nanos = 2;

/// Backoff state of the calls to discovery.
pub(crate) struct DiscoverySchedule {
    mode: DiscoveryMode,
    backoff: Nanos,
}

impl DiscoverySchedule {
    pub(crate) fn new(mode: DiscoveryMode) -> Self {
        DiscoverySchedule {
            mode,
            backoff: MIN_BACKOFF,
        }
    }

    /// Returns the delay before the first call, or `None` if discovery pushes changes.
    pub(crate) fn first_call(&self, random: &mut Random) -> Option<Nanos> {
        match self.mode {
            DiscoveryMode::Push => None,
            DiscoveryMode::Poll { .. } => Some(random.below(FIRST_CALL_SPREAD)),
        }
    }

    /// Returns the delay after a failed call and doubles the backoff.
    pub(crate) fn after_failure(&mut self, random: &mut Random) -> Nanos {
        let wait = self.backoff / 2 + random.below(self.backoff);
        self.backoff = (self.backoff * 2).min(self.max_backoff());
        wait
    }

    fn max_backoff(&self) -> Nanos {
        match self.mode {
            DiscoveryMode::Poll {
                staleness_limit: limit @ 1..,
            } => MAX_BACKOFF.min(limit.saturating_mul(MAX_BACKOFF_IN_STALENESS_LIMITS)),
            _ => MAX_BACKOFF,
        }
    }

    /// Resets the backoff after a successful call or a change of discovery's address.
    pub(crate) fn reset(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    #[cfg(test)]
    pub(crate) fn backoff(&self) -> Nanos {
        self.backoff
    }
}
