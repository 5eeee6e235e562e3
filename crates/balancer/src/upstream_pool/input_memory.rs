//! Back pressure on caches: the total size of all incomplete responses is limited by pausing reads.
//! A paused response is not ended; its cache waits until other responses are complete.

use super::connection::UpstreamConnection;
use super::exchange::UpstreamJob;
use super::{ConnectionId, READ_SIZE_SCARCE_MEMORY, UpstreamPool};
use crate::timers::{TimerKind, Timers};
use routing::Nanos;

/// A connection whose response holds at most the limit divided by this and by the maximum number of
/// connections is never paused, so that short responses arrive whatever the others hold.
const SHARE_DIVISOR: usize = 2;

impl UpstreamPool {
    /// Returns whether incomplete responses hold more memory than they may.
    pub(super) fn is_input_over_limit(&self) -> bool {
        self.buffered_bytes > self.max_buffered_bytes
    }

    /// Returns the maximum number of bytes to read at a time.
    pub(super) fn input_read_size(&self) -> usize {
        if self.buffered_bytes > self.max_buffered_bytes / 2 {
            self.read_size.min(READ_SIZE_SCARCE_MEMORY)
        } else {
            self.read_size
        }
    }

    /// Pauses a response that holds more than its share if all responses hold too much, unless it is
    /// the longest one: that is read on, so that the responses are completed one after another.
    /// Returns whether the response is paused.
    pub(super) fn pause_over_limit(&mut self, now: Nanos, number: ConnectionId) -> bool {
        let share = self.max_buffered_bytes / SHARE_DIVISOR / self.max_connections.max(1);
        if !self.is_input_over_limit() || self.longest_input() == Some(number) {
            return false;
        }
        let Some(connection) = self.connections.get_mut(&number) else {
            return false;
        };
        let is_paused = connection.input.len() > share
            && !connection.has_unwritten_bytes()
            && matches!(connection.job(), Some(UpstreamJob::Attempt(..)))
            && connection.set_paused(now, true).is_ok();
        if is_paused {
            self.paused_inputs.insert(number);
        }
        is_paused
    }

    /// Resumes the responses that were paused for lack of memory: all of them once there is memory,
    /// until then only the longest one.
    pub fn resume_inputs(&mut self, now: Nanos, timers: &mut Timers) {
        if self.paused_inputs.is_empty() {
            return;
        }
        let resumed: Vec<ConnectionId> = if self.is_input_over_limit() {
            let longest = self.longest_input();
            longest
                .filter(|number| self.paused_inputs.contains(number))
                .into_iter()
                .collect()
        } else {
            self.paused_inputs.iter().copied().collect()
        };
        for number in resumed {
            self.paused_inputs.remove(&number);
            if let Some(connection) = self.connections.get_mut(&number)
                && connection.set_paused(now, false).is_ok()
            {
                let stalls_at = now + connection.stall_timeout();
                timers.set(stalls_at, TimerKind::ResponseStall(number));
            }
        }
    }

    /// Returns the connection whose incomplete response holds most.
    fn longest_input(&self) -> Option<ConnectionId> {
        let held = |(number, connection): (&ConnectionId, &UpstreamConnection)| {
            (connection.input.len(), *number)
        };
        self.connections
            .iter()
            .map(held)
            .max()
            .map(|(_, number)| number)
    }
}
