//! When the next watch begins where endpoint lists are pushed: exponential backoff, bounded by the
//! drain grace. Fed with times; no I/O.

use crate::timers::MS;
use routing::Nanos;

/// The first delay after a watch that ended soon; it doubles from there.
const INITIAL_DELAY: Nanos = 10 * MS;
/// The longest delay, however long the drain grace.
const MAX_DELAY: Nanos = 250 * MS;
/// The longest delay is this part of the drain grace: a drain has to be noticed well within it.
const GRACE_PART: Nanos = 4;

/// The backoff between watches at an agent that pushes lists.
pub struct WatchBackoff {
    /// The longest delay between two watches.
    max_delay: Nanos,
    next_delay: Nanos,
}

impl WatchBackoff {
    /// A backoff for this drain grace in nanoseconds; a grace of 0 counts as the shortest.
    #[must_use]
    pub fn new(drain_grace: Nanos) -> Self {
        WatchBackoff {
            max_delay: (drain_grace / GRACE_PART).clamp(INITIAL_DELAY, MAX_DELAY),
            next_delay: INITIAL_DELAY,
        }
    }

    /// How long to wait after a watch that was open for `duration`. After a long one the next
    /// begins at once; an agent that ends each watch at once is not asked without a pause.
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
