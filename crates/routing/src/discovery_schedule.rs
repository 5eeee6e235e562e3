//! When discovery is queried: at the start, and again after a failed call with exponential backoff.

use crate::identifiers::Nanos;
use crate::random::Random;
use crate::settings::DiscoveryMode;

/// The first calls of balancers that restart together are spread over this time, in nanoseconds.
const FIRST_CALL_SPREAD: Nanos = 300_000_000;
/// Mean wait after a first failed call, in nanoseconds; doubles with each.
const MIN_BACKOFF: Nanos = 400_000_000;
/// The longest mean wait, in nanoseconds. A wait is at most half longer and a call that hangs is
/// abandoned after 1.6 s: together under the 6 s after which the balancer counts as notified.
pub(crate) const MAX_BACKOFF: Nanos = 2_500_000_000;
/// The wait is at most this multiple of the staleness limit.
const MAX_STALENESS_LIMITS: Nanos = 2;

/// The backoff of calls to discovery.
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

    /// The wait before the first call; none where discovery pushes.
    pub(crate) fn first_call(&self, random: &mut Random) -> Option<Nanos> {
        match self.mode {
            DiscoveryMode::Push => None,
            DiscoveryMode::Poll { .. } => Some(random.below(FIRST_CALL_SPREAD)),
        }
    }

    /// The wait after a failed call.
    pub(crate) fn after_failure(&mut self, random: &mut Random) -> Nanos {
        let wait = self.backoff / 2 + random.below(self.backoff);
        self.backoff = (self.backoff * 2).min(self.max_backoff());
        wait
    }

    fn max_backoff(&self) -> Nanos {
        match self.mode {
            DiscoveryMode::Poll {
                staleness_limit: limit @ 1..,
            } => MAX_BACKOFF.min(limit.saturating_mul(MAX_STALENESS_LIMITS)),
            _ => MAX_BACKOFF,
        }
    }

    /// A call succeeded, or discovery has moved: the backoff starts again.
    pub(crate) fn reset(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    #[cfg(test)]
    pub(crate) fn backoff(&self) -> Nanos {
        self.backoff
    }
}
