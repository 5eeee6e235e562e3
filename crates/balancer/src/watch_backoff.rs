//! Exponential backoff between watches of an agent that pushes endpoint lists, bounded by the drain
//! grace. The caller supplies all times; the module performs no I/O.

use crate::timers::MS;
use routing::Nanos;

/// Delay after the first short watch; it doubles with each further one.
const INITIAL_DELAY: Nanos = 10 * MS;
/// Maximum delay, however long the drain grace is.
const MAX_DELAY: Nanos = 250 * MS;
/// The maximum delay is the drain grace divided by this: the balancer has to learn of a drain well
/// within the grace.
const DRAIN_GRACE_DIVISOR: Nanos = 4;

/// Backoff between watches of an agent that pushes endpoint lists.
pub struct WatchBackoff {
    /// Maximum delay between two watches.
    max_delay: Nanos,
    next_delay: Nanos,
}

impl WatchBackoff {
    /// Creates a backoff for a drain grace in nanoseconds. With a grace below 40 ms the maximum
    /// delay is the initial delay.
    #[must_use]
    pub fn new(drain_grace: Nanos) -> Self {
        WatchBackoff {
            max_delay: (drain_grace / DRAIN_GRACE_DIVISOR).clamp(INITIAL_DELAY, MAX_DELAY),
            next_delay: INITIAL_DELAY,
        }
    }

    /// Returns the delay before the next watch, given that the last one was open for `duration`.
    /// After a watch longer than the maximum delay it is 0. It grows while watches are shorter, so
    /// that an agent that ends each watch immediately is not called in a tight loop.
    pub fn next_delay(&mut self, duration: Nanos) -> Nanos {
        if duration > self.max_delay {
            self.next_delay = INITIAL_DELAY;
            return 0;
        }
        let delay = self.next_delay;
        self.next_delay = (delay * 2).min(self.max_delay);
        delay
    }
}

#[cfg(test)]
mod tests;
