//! When the next watch begins where lists are pushed: there an agent on this machine answers at no cost, and what it
//! has counts as told whether or not it was read. Fed with times; no I/O.

use crate::timers::MS;
use routing::Nanos;

/// The first wait after a watch that ended soon; it doubles from there.
const FIRST: Nanos = 10 * MS;
/// An agent that is gone is asked this seldom at the most, however long the grace.
const MOST: Nanos = 250 * MS;
/// Of the grace for a cache that drains, this part may pass between two watches: news is to be read well within it.
const GRACE_PART: Nanos = 4;

/// The pace of watches at an agent.
pub struct WatchBackoff {
    /// The longest wait between two watches.
    most: Nanos,
    /// The next wait.
    wait: Nanos,
}

impl WatchBackoff {
    /// A pace that suits this grace for caches that drain, in nanoseconds; one of 0 is paced like the shortest.
    pub fn new(grace: Nanos) -> Self {
        WatchBackoff {
            most: (grace / GRACE_PART).clamp(FIRST, MOST),
            wait: FIRST,
        }
    }

    /// How long to wait after a watch that ended when it had stood for `stood`: not at all after one that stood for
    /// long, or an agent that ends each watch at once would be asked without a pause.
    pub fn ended(&mut self, stood: Nanos) -> Nanos {
        if stood > self.most {
            self.wait = FIRST;
            return 0;
        }
        let wait = self.wait;
        self.wait = (wait * 2).min(self.most);
        wait
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_watch_that_stood_is_followed_at_once_and_ones_that_end_soon_ever_more_slowly() {
        let mut pace = WatchBackoff::new(500 * MS);
        assert_eq!(pace.ended(126 * MS), 0);
        let waits: Vec<_> = (0..6).map(|_| pace.ended(0) / MS).collect();
        assert_eq!(waits, [10, 20, 40, 80, 125, 125]);
        assert_eq!(
            (pace.ended(126 * MS), pace.ended(1) / MS),
            (0, 10),
            "begun anew"
        );
    }

    #[test]
    fn the_grace_bounds_the_wait_and_never_takes_it_away() {
        for (grace, longest) in [(0, 10), (20, 10), (500, 125), (2_500, 250)] {
            let mut pace = WatchBackoff::new(grace * MS);
            let waits = (0..9).map(|_| pace.ended(0) / MS);
            assert_eq!(waits.max(), Some(longest), "{grace}");
        }
    }
}
