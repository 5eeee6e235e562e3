//! Times of the latest polls of the sockets, and the earliest arrival times of input that follow
//! from them.
//!
//! A process can stall at any point: by the scheduler, by SIGSTOP, or by a long turn of its own.
//! Input that it finds afterwards may have been waiting for the whole stall. A *poll* here is one
//! wait for ready sockets that no signal interrupted. Input that a poll does not report had not
//! arrived by then; input that it reports arrived after the previous poll. All times come from a
//! monotonic clock. This module does no I/O.

use crate::poll::PollOutcome;
use crate::timers::MS;
use routing::Nanos;

/// Maximum wait for ready sockets. A longer wait shows that the process stalled.
pub const MAX_POLL_WAIT: Nanos = 30 * MS;
/// Gap between two polls above which the process counts as stalled, so that input found after the
/// gap may have arrived at its beginning. Shorter gaps are within the 150 ms by which deadlines may
/// be inexact.
const STALL_THRESHOLD: Nanos = 40 * MS;
/// Maximum age at which the result of a poll is used without another check before something is
/// sent. Together with [`STALL_THRESHOLD`] it is under the 100 ms after which nothing may be sent
/// for a client that has disconnected.
const FRESHNESS: Nanos = 25 * MS;

/// Times of the polls of one process.
#[derive(Clone, Copy, Debug)]
pub struct PollTimestamps {
    /// Number of completed polls.
    count: u64,
    last_poll: Nanos,
    earliest_arrival: Nanos,
    /// Time at which the last wait returned, interrupted or not.
    last_return: Nanos,
    total_stall: Nanos,
}

impl PollTimestamps {
    /// Creates the timestamps of a process that starts at `now`; no input can have arrived earlier.
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

    /// Records when a wait for ready sockets started and returned. Returns the duration of a stall
    /// since the previous wait returned; 0 if the process did not stall.
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
            // A wait that took too long may have checked the sockets at its beginning.
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

    /// Returns the time by which input that the last poll did not report had not arrived.
    #[must_use]
    pub fn last_poll(&self) -> Nanos {
        self.last_poll
    }

    /// Returns the earliest time at which input that the last poll reported can have arrived.
    #[must_use]
    pub fn earliest_arrival(&self) -> Nanos {
        self.earliest_arrival
    }

    /// Returns the total time for which the process has stalled so far.
    #[must_use]
    pub fn total_stall(&self) -> Nanos {
        self.total_stall
    }

    /// Returns whether a state observed at `observed_at` may be used without checking again.
    #[must_use]
    pub fn is_fresh(observed_at: Nanos, now: Nanos) -> bool {
        now.saturating_sub(observed_at) <= FRESHNESS
    }
}

/// Returns the part of a gap that counts as a stall: the excess over the expected duration, or 0 if
/// the gap is within the stall threshold.
fn stall(gap: Nanos, expected: Nanos) -> Nanos {
    if gap > STALL_THRESHOLD {
        gap - expected
    } else {
        0
    }
}

/// Whether a read took all input of its socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadExtent {
    /// No input was left.
    All,
    /// More input may be unread.
    Partial,
}

impl ReadExtent {
    /// Returns the extent of a read of `count` bytes into a buffer of `buffer_size` bytes.
    #[must_use]
    pub fn new(count: usize, buffer_size: usize) -> Self {
        if count == buffer_size {
            ReadExtent::Partial
        } else {
            ReadExtent::All
        }
    }
}

/// Times at which a client connection was read and found to be connected, as far as the polls show.
#[derive(Clone, Copy, Debug)]
pub struct ClientPresence {
    /// Number of the poll in whose turn the connection was last read or accepted.
    poll: u64,
    /// Earliest time at which the input found in that turn can have arrived.
    earliest_arrival: Nanos,
    last_read: ReadExtent,
    /// Latest time at which the client was confirmed to be connected, by a read or by a check.
    confirmed_at: Nanos,
}

impl ClientPresence {
    /// Returns the presence of a connection that was just accepted, after waiting in the backlog
    /// possibly since `waited_since`.
    #[must_use]
    pub fn accepted(polls: &PollTimestamps, waited_since: Nanos) -> Self {
        ClientPresence {
            poll: polls.count,
            earliest_arrival: waited_since,
            last_read: ReadExtent::Partial,
            confirmed_at: waited_since,
        }
    }

    /// Records a read from the connection. Returns the earliest time at which the bytes that were
    /// read can have arrived.
    pub fn record_read(&mut self, polls: &PollTimestamps, extent: ReadExtent) -> Nanos {
        let may_predate_last_poll =
            self.last_read == ReadExtent::Partial && self.poll + 1 >= polls.count;
        let earliest_arrival = if may_predate_last_poll {
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

    /// Returns the earliest arrival time of the input that was read in the turn of the last poll;
    /// `None` if nothing was read in it.
    #[must_use]
    pub fn arrival_in_turn(&self, polls: &PollTimestamps) -> Option<Nanos> {
        (self.poll == polls.count).then_some(self.earliest_arrival)
    }

    /// Returns the latest time at which the client is known to have been connected, for a
    /// connection that is polled for reading. A later poll that does not report the end of the
    /// connection confirms that the client is connected.
    #[must_use]
    pub fn last_seen(&self, polls: &PollTimestamps) -> Nanos {
        if self.poll < polls.count {
            self.confirmed_at.max(polls.last_poll)
        } else {
            self.confirmed_at
        }
    }

    /// Returns the latest time at which the client is known to have been connected, for a
    /// connection that is not polled for reading.
    #[must_use]
    pub fn last_confirmed(&self) -> Nanos {
        self.confirmed_at
    }

    /// Records that a check of the socket at `now` found the client connected.
    pub fn confirm(&mut self, now: Nanos) {
        self.confirmed_at = now;
    }
}

#[cfg(test)]
mod tests;
