//! When the sockets were last looked at, and so the earliest time at which what is found on one can have come there.
//!
//! A process can be held up anywhere: by its scheduler, by SIGSTOP, by a long turn of its own. What it finds when it goes on
//! may have waited for as long as that. A *look* is one wait for ready sockets that was not cut short by a signal. What a
//! look does not report had not come by then; what it reports came after the look before. All spans are taken from a
//! monotonic clock. No I/O.

use crate::timers::MS;
use routing::Nanos;

/// No wait for ready sockets is longer than this, so that a longer one shows that the process was held up.
pub const WAIT_MOST: Nanos = 30 * MS;
/// A gap between two looks that is longer than this is a hold-up: what is found behind it may have come at its beginning.
/// The referee allows 150 ms in a deadline, of which a shorter gap takes a part.
const HELD_UP: Nanos = 40 * MS;
/// What was seen by a look holds for this long; later it is asked again before anything is sent by it. Together with
/// [`HELD_UP`] this stays under the 100 ms after which nothing may be sent for a client that has closed.
const FRESH: Nanos = 25 * MS;

/// The looks of one process.
#[derive(Clone, Copy, Debug)]
pub struct PollTimestamps {
    /// How many there were.
    count: u64,
    /// What the last look did not report had not come by this time.
    quiet: Nanos,
    /// What the last look reported did not come before this time.
    arrived: Nanos,
    /// When the last wait returned, cut short or not.
    returned: Nanos,
    /// How long the process was held up, in all.
    lost: Nanos,
}

impl PollTimestamps {
    /// Nothing can have come before `now`.
    pub fn start(now: Nanos) -> Self {
        PollTimestamps {
            count: 0,
            quiet: now,
            arrived: now,
            returned: now,
            lost: 0,
        }
    }

    /// A wait for ready sockets began and returned at these times; without `looked` a signal cut it short. Returns how
    /// long the process was held up since the look before, 0 as a rule.
    pub fn waited(&mut self, began: Nanos, returned: Nanos, looked: bool) -> Nanos {
        let in_wait = returned.saturating_sub(began);
        let in_turn = began.saturating_sub(self.returned);
        let beyond = |gap: Nanos, usual: Nanos| if gap > HELD_UP { gap - usual } else { 0 };
        let held_up = beyond(in_wait, WAIT_MOST) + beyond(in_turn, 0);
        if looked {
            let prompt = returned.saturating_sub(self.quiet) <= HELD_UP;
            self.arrived = if prompt { returned } else { self.quiet };
            self.quiet = if in_wait <= HELD_UP { returned } else { began };
            self.count += 1;
        }
        self.returned = returned;
        self.lost += held_up;
        held_up
    }

    /// What the last look did not report had not come by this time.
    pub fn quiet(&self) -> Nanos {
        self.quiet
    }

    /// What the last look reported did not come before this time.
    pub fn arrived(&self) -> Nanos {
        self.arrived
    }

    /// How long the process was held up, in all.
    pub fn lost(&self) -> Nanos {
        self.lost
    }

    /// Whether what was true at `seen` may be acted on without asking again.
    pub fn is_fresh(seen: Nanos, now: Nanos) -> bool {
        now.saturating_sub(seen) <= FRESH
    }
}

/// What looks tell of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ClientPresence {
    /// The look in whose turn it was last read or taken from the listener.
    look: u64,
    /// What was found then did not come before this time.
    arrived: Nanos,
    /// More may have waited unread then.
    unread: bool,
    /// The other end was there at this time.
    seen: Nanos,
}

impl ClientPresence {
    /// A connection that was just taken from the listener, where it may have waited since then.
    pub fn accepted(looks: &PollTimestamps, waited_since: Nanos) -> Self {
        ClientPresence {
            look: looks.count,
            arrived: waited_since,
            unread: true,
            seen: waited_since,
        }
    }

    /// Bytes were read from it; with `unread` more may wait. Returns the earliest time at which they can have come.
    pub fn read(&mut self, looks: &PollTimestamps, unread: bool) -> Nanos {
        let waited_before = self.unread && self.look + 1 >= looks.count;
        let arrived = if waited_before {
            self.arrived.min(looks.arrived)
        } else {
            looks.arrived
        };
        *self = ClientPresence {
            look: looks.count,
            arrived,
            unread,
            seen: arrived,
        };
        arrived
    }

    /// The earliest time at which what was read in the turn of this look can have come; none if nothing was.
    pub fn read_in_turn(&self, looks: &PollTimestamps) -> Option<Nanos> {
        (self.look == looks.count).then_some(self.arrived)
    }

    /// When the other end was there for sure. A connection that is not watched for reading is not looked at.
    pub fn seen(&self, looks: &PollTimestamps, watched: bool) -> Nanos {
        if watched && self.look < looks.count {
            self.seen.max(looks.quiet)
        } else {
            self.seen
        }
    }

    /// The other end was asked for, and is there.
    pub fn is_there(&mut self, now: Nanos) {
        self.seen = now;
    }
}

#[cfg(test)]
mod tests;
