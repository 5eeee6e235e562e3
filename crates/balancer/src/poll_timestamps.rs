//! When the sockets were last polled, and so the earliest time at which what is found on one can
//! have arrived there.
//!
//! A process can stall anywhere: by its scheduler, by SIGSTOP, by a long turn of its own. What it
//! finds afterwards may have waited for as long. A *poll* here is one wait for ready sockets that
//! no signal interrupted. What a poll does not report had not arrived by then; what it reports
//! arrived after the poll before. All spans are taken from a monotonic clock. No I/O.

use crate::poll::PollOutcome;
use crate::timers::MS;
use routing::Nanos;

/// The longest wait for ready sockets; a longer one shows that the process stalled.
pub const MAX_POLL_WAIT: Nanos = 30 * MS;
/// A longer gap between two polls is a stall: what is found after it may have arrived at its
/// beginning. Shorter gaps count against deadlines, of which 150 ms are allowed to be inexact.
const STALL_THRESHOLD: Nanos = 40 * MS;
/// What a poll showed holds for this long; later it is checked again before anything is sent.
/// Together with [`STALL_THRESHOLD`] it is under the 100 ms after which nothing may be sent for a
/// client that has disconnected.
const FRESHNESS: Nanos = 25 * MS;

/// The polls of one process.
#[derive(Clone, Copy, Debug)]
pub struct PollTimestamps {
    /// How many there were.
    count: u64,
    last_poll: Nanos,
    earliest_arrival: Nanos,
    /// When the last wait returned, interrupted or not.
    last_return: Nanos,
    total_stall: Nanos,
}

impl PollTimestamps {
    /// Nothing can have arrived before `now`.
    #[must_use]
    pub fn start(now: Nanos) -> Self {
        PollTimestamps {
            count: 0,
            last_poll: now,
            earliest_arrival: now,
            last_return: now,
            total_stall: 0,
        }
    }

    /// Records when a wait for ready sockets started and returned. Returns for how long the process
    /// stalled since the wait before, as a rule 0.
    pub fn record_poll(
        &mut self,
        started_at: Nanos,
        returned_at: Nanos,
        outcome: PollOutcome,
    ) -> Nanos {
        let waited = returned_at.saturating_sub(started_at);
        let worked = started_at.saturating_sub(self.last_return);
        let stalled = stall(waited, MAX_POLL_WAIT) + stall(worked, 0);
        if outcome == PollOutcome::Completed {
            let is_prompt = returned_at.saturating_sub(self.last_poll) <= STALL_THRESHOLD;
            self.earliest_arrival = if is_prompt {
                returned_at
            } else {
                self.last_poll
            };
            // A wait that stalled may have checked the sockets at its beginning.
            self.last_poll = if waited <= STALL_THRESHOLD {
                returned_at
            } else {
                started_at
            };
            self.count += 1;
        }
        self.last_return = returned_at;
        self.total_stall += stalled;
        stalled
    }

    /// What the last poll did not report had not arrived by this time.
    #[must_use]
    pub fn last_poll(&self) -> Nanos {
        self.last_poll
    }

    /// What the last poll reported did not arrive before this time.
    #[must_use]
    pub fn earliest_arrival(&self) -> Nanos {
        self.earliest_arrival
    }

    /// For how long the process has stalled so far, in all.
    #[must_use]
    pub fn total_stall(&self) -> Nanos {
        self.total_stall
    }

    /// Whether what was true at `seen` may be acted on without checking again.
    #[must_use]
    pub fn is_fresh(seen: Nanos, now: Nanos) -> bool {
        now.saturating_sub(seen) <= FRESHNESS
    }
}

/// By how much a gap between polls exceeds the usual, if it is a stall.
fn stall(gap: Nanos, usual: Nanos) -> Nanos {
    if gap > STALL_THRESHOLD {
        gap - usual
    } else {
        0
    }
}

/// Whether a read emptied its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadExtent {
    /// Nothing was left.
    All,
    /// More may be unread.
    Partial,
}

impl ReadExtent {
    /// The extent of a read of `count` bytes for which there was this much space.
    #[must_use]
    pub fn new(count: usize, space: usize) -> Self {
        if count == space {
            ReadExtent::Partial
        } else {
            ReadExtent::All
        }
    }
}

/// What polls show of one client connection.
#[derive(Clone, Copy, Debug)]
pub struct ClientPresence {
    /// The poll in whose turn it was last read or accepted.
    poll: u64,
    /// What was found then did not arrive before this time.
    earliest_arrival: Nanos,
    last_read: ReadExtent,
    /// The client was connected at this time.
    confirmed_at: Nanos,
}

impl ClientPresence {
    /// A connection that was just accepted; it may have waited for that since then.
    #[must_use]
    pub fn accepted(polls: &PollTimestamps, waited_since: Nanos) -> Self {
        ClientPresence {
            poll: polls.count,
            earliest_arrival: waited_since,
            last_read: ReadExtent::Partial,
            confirmed_at: waited_since,
        }
    }

    /// Bytes were read from it. Returns the earliest time at which they can have arrived.
    pub fn record_read(&mut self, polls: &PollTimestamps, extent: ReadExtent) -> Nanos {
        let may_be_left_over =
            self.last_read == ReadExtent::Partial && self.poll + 1 >= polls.count;
        let earliest_arrival = if may_be_left_over {
            self.earliest_arrival.min(polls.earliest_arrival)
        } else {
            polls.earliest_arrival
        };
        *self = ClientPresence {
            poll: polls.count,
            earliest_arrival,
            last_read: extent,
            confirmed_at: earliest_arrival,
        };
        earliest_arrival
    }

    /// The earliest time at which what was read in the turn of this poll can have arrived; none if
    /// nothing was.
    #[must_use]
    pub fn arrival_in_turn(&self, polls: &PollTimestamps) -> Option<Nanos> {
        (self.poll == polls.count).then_some(self.earliest_arrival)
    }

    /// When the client was connected for sure, if the connection is watched for reading: a poll
    /// that does not report its end confirms it.
    #[must_use]
    pub fn last_seen(&self, polls: &PollTimestamps) -> Nanos {
        if self.poll < polls.count {
            self.confirmed_at.max(polls.last_poll)
        } else {
            self.confirmed_at
        }
    }

    /// The same for a connection that is not watched for reading.
    #[must_use]
    pub fn last_confirmed(&self) -> Nanos {
        self.confirmed_at
    }

    /// The kernel was asked, and the client is connected.
    pub fn confirm(&mut self, now: Nanos) {
        self.confirmed_at = now;
    }
}

#[cfg(test)]
mod tests;
