//! Limits of the memory that client connections hold: incomplete commands, open requests and unsent
//! responses.
//!
//! Above half of a limit, a connection may hold only its share: a quarter of the limit, divided by
//! the maximum number of connections. Whatever the others hold, the last quarter of the limit is thus
//! left for connections that hold little.

use super::connection::ClientConnection;
use super::input::{INPUT_MAX, READ_SIZE};
use super::pending_response::PendingResponse;
use super::responses::encode;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::request::{FinalAnswer, REQUEST_OVERHEAD};
use crate::resp::CommandSkip;
use routing::Nanos;

/// Unparsed input may hold the memory limit of requests and responses divided by this.
const INPUT_DIVISOR: usize = 3;
/// Minimum number of bytes per read while the unparsed input exceeds half of its limit.
const READ_SIZE_MIN: usize = 1024;

/// Memory limit of client connections, and what they hold.
pub(super) struct MemoryLimit {
    /// Maximum number of bytes of requests and responses, including unparsed input.
    total: usize,
    /// Number of bytes that all connections hold; kept by [`RespListener::count_memory`].
    held: usize,
    /// Whether the unparsed input exceeded half of its limit when it was last counted.
    is_input_scarce: bool,
}

/// Values with no request behind them may be allocated up to the limit divided by this, together with
/// all else that is held. That is less than what makes memory scarce.
const LONE_VALUES_DIVISOR: usize = 4;

/// Whether there is memory for the whole of a value that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeldValueMemory {
    Available,
    /// The value fits once others are sent.
    AvailableLater,
    /// The value is too long for the memory limit.
    Insufficient,
}

impl MemoryLimit {
    pub(super) fn new(total: usize) -> Self {
        MemoryLimit {
            total,
            held: 0,
            is_input_scarce: false,
        }
    }

    fn input(&self) -> usize {
        self.total / INPUT_DIVISOR
    }

    /// Returns whether a value with no request behind it may be allocated with these bytes.
    pub(super) fn permits_lone_value(&self, bytes: usize) -> bool {
        self.held.saturating_add(bytes) <= self.total / LONE_VALUES_DIVISOR
    }

    /// Decides whether a value that is held back may be allocated with these bytes.
    pub(super) fn admit_held_value(&self, bytes: usize, is_any_allocated: bool) -> HeldValueMemory {
        let limit = self.total / HELD_VALUES_DIVISOR;
        let limit_of_one = self.total / 4 * ONE_HELD_VALUE_QUARTERS;
        let held = self.held.saturating_add(bytes);
        if held <= limit || !is_any_allocated && held <= limit_of_one {
            HeldValueMemory::Available
        } else if bytes <= limit {
            HeldValueMemory::AvailableLater
        } else {
            HeldValueMemory::Insufficient
        }
    }
}

/// Values that are held back until they are complete may be allocated up to the limit divided by
/// this, together with all else that is held.
const HELD_VALUES_DIVISOR: usize = 2;
/// The same for a value while no other one is allocated, in quarters of the limit.
const ONE_HELD_VALUE_QUARTERS: usize = 3;

/// All shares of connections together are the limit divided by this.
const SHARES_DIVISOR: usize = 4;

/// Returns the number of bytes that a connection may hold above half of a limit.
fn share(limit: usize, connections_max: usize) -> usize {
    limit / SHARES_DIVISOR / connections_max.max(1)
}

impl RespListener {
    /// Sets the maximum number of bytes that requests and responses may hold, including unparsed
    /// input.
    pub fn set_memory_limit(&mut self, bytes: usize) {
        self.memory_limit.total = bytes;
    }

    /// Returns the number of bytes held for clients: unparsed commands and unsent responses.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        debug_assert_eq!(
            self.memory_limit.held,
            self.connections
                .values()
                .map(ClientConnection::buffered_bytes)
                .sum::<usize>(),
            "a change of a connection was not counted"
        );
        self.memory_limit.held
    }

    /// Counts the memory of a connection again. Must be called after each change of its buffers.
    pub(super) fn count_memory(&mut self, number: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            let bytes = connection.buffered_bytes();
            let before = std::mem::replace(&mut connection.counted_bytes, bytes);
            self.memory_limit.held = self.memory_limit.held - before + bytes;
        }
    }

    /// Stops counting the memory of a connection that was removed.
    pub(super) fn uncount_memory(&mut self, connection: &ClientConnection) {
        self.memory_limit.held -= connection.counted_bytes;
    }

    /// Returns whether a connection holds more than its share, with these bytes in addition to its
    /// buffers and to the state of its open requests.
    #[must_use]
    pub fn exceeds_share(&self, number: u64, additional: usize) -> bool {
        let share = share(self.memory_limit.total, self.connections_max);
        self.connections
            .get(&number)
            .is_some_and(|connection| connection.held_bytes() + additional > share)
    }

    /// Returns the maximum number of bytes to read from a connection at a time.
    pub(super) fn read_size(&self, connection: &ClientConnection) -> usize {
        let read_size = if self.memory_limit.is_input_scarce {
            share(self.memory_limit.input(), self.connections_max).clamp(READ_SIZE_MIN, READ_SIZE)
        } else {
            READ_SIZE
        };
        read_size.min(INPUT_MAX - connection.input.len())
    }

    /// Counts the unparsed input, and keeps it within its limit: of the connections that hold more
    /// than their share, those whose commands began first lose them. Such a command is skipped and
    /// answered with `-BUSY` at its end.
    pub(super) fn limit_input(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let limit = self.memory_limit.input();
        let mut held: usize = self.connections.values().map(|c| c.input.capacity()).sum();
        self.memory_limit.is_input_scarce = held > limit / 2;
        if held <= limit {
            return;
        }
        for number in self.longest_incomplete(share(limit, self.connections_max)) {
            if held <= limit {
                break;
            }
            let Some(connection) = self.connections.get_mut(&number) else {
                continue;
            };
            held -= connection.input.capacity();
            connection.skip = Some(CommandSkip::begin());
            self.process_input(number, now, now, events, counters);
            self.flush(number, now, events, counters);
        }
    }

    /// Stops reading from a connection whose commands wait for earlier responses if the unparsed
    /// input of all connections exceeds half of its limit. The idle reaper resumes reading.
    pub(super) fn pause_input_if_scarce(&mut self, number: u64) {
        let is_scarce = self.memory_limit.is_input_scarce;
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if is_scarce && !connection.takes_commands() {
            connection.is_input_paused = true;
            let interest = connection.interest();
            // If that fails, reading continues, and each read is small.
            let _ = connection.stream.set_interest(interest);
        }
    }

    /// Resumes reading from connections that were paused, once there is memory for input.
    pub(super) fn resume_input(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        self.limit_input(now, events, counters);
        if self.memory_limit.is_input_scarce {
            return;
        }
        for number in self.connections_where(|connection| connection.is_input_paused) {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.is_input_paused = false;
            }
            self.flush(number, now, events, counters);
        }
    }

    /// Returns the connections whose incomplete commands hold more than `share`, those with the
    /// earliest start first.
    fn longest_incomplete(&self, share: usize) -> Vec<u64> {
        let mut incomplete: Vec<(Nanos, u64)> = self
            .connections
            .iter()
            .filter(|(_, connection)| {
                connection.takes_commands() && connection.input.capacity() > share
            })
            .map(|(number, connection)| (connection.command_since, *number))
            .collect();
        incomplete.sort_unstable();
        incomplete.into_iter().map(|(_, number)| number).collect()
    }

    /// Replaces the served answers that wait on a connection by errors. Their requests have run, so
    /// they are not answered with `-BUSY`.
    pub fn replace_waiting_answers(&mut self, number: u64, counters: &mut Counters) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        for response in &mut connection.responses {
            let error = encode(FinalAnswer::Failed);
            if let PendingResponse::Answered(bytes) = response
                && bytes.len() > error.len()
            {
                *bytes = error;
                counters.answers_over_memory += 1;
            }
        }
        self.count_memory(number);
    }
}

impl RespListener {
    /// Closes the connections whose clients have read nothing for the longest time, until all
    /// connections together hold at most `bytes_max`. Answers of which a part is sent can't be
    /// replaced any more; without a bound they would get the process killed with the requests of all
    /// other clients.
    pub fn close_slowest_readers(
        &mut self,
        bytes_max: usize,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let share = share(self.memory_limit.total, self.connections_max);
        let mut unread: Vec<(Nanos, u64)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.unsent_bytes() > share)
            .map(|(number, connection)| (connection.last_active, *number))
            .collect();
        unread.sort_unstable();
        for (_, number) in unread {
            if self.buffered_bytes() <= bytes_max {
                break;
            }
            counters.slow_readers_closed += 1;
            self.close(number, counters, events);
        }
    }
}

impl ClientConnection {
    /// Returns the number of bytes held for the connection, including its open requests.
    fn held_bytes(&self) -> usize {
        let open = self
            .responses
            .iter()
            .filter(|response| matches!(response, PendingResponse::Waiting(_)))
            .count();
        self.buffered_bytes() + open * REQUEST_OVERHEAD
    }
}
