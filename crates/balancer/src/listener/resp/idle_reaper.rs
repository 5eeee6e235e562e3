//! The idle reaper: closes, several times a second, connections whose clients are idle, silent,
//! disconnected or do not read their responses.

use super::connection::ClientConnection;
use super::responses::encode_error;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::poll::sockets::{has_peer_closed, has_unsent_output, is_open_without_input};
use crate::timers::MS;
use routing::Nanos;

/// Maximum time between the earliest possible start of a command and its end. It also applies to
/// the first command, which may start when the connection is accepted. Some clients take 2 s to
/// send a command; a silent client has to get a response within 3 s.
pub(super) const COMMAND_TIMEOUT: Nanos = 2_600 * MS;
/// The same while connections are drained. Some clients take 2 s to send a command; a command that
/// begins before commands are rejected has to end within 4 s of the drain.
pub(super) const COMMAND_TIMEOUT_DRAINING: Nanos = 2_400 * MS;
/// Inactive time from which on the delivery of a connection's output is observed.
const OBSERVE_DELIVERY_AFTER: Nanos = 500 * MS;
/// Maximum idle time of a connection.
pub(super) const IDLE_TIMEOUT: Nanos = 10_000 * MS;
/// Maximum idle time of a connection while more than half of the permitted connections are open.
pub(super) const IDLE_TIMEOUT_CROWDED: Nanos = 2_000 * MS;
/// Maximum idle time of a connection while the lifecycle requires idle connections to be closed. It
/// is not 0, as a client that has just connected may be about to send a command.
pub(super) const IDLE_TIMEOUT_DRAINING: Nanos = 500 * MS;
/// Percentage of the connection limit above which the longest idle connections are closed. Some
/// clients send one command per connection, leave the connection open and limit the number of their
/// own connections: they can't open new ones until the balancer closes the old ones.
const TRIM_ABOVE_PERCENT: usize = 40;
/// Minimum idle time of a connection that is closed because of [`TRIM_ABOVE_PERCENT`].
pub(super) const TRIM_IDLE_MIN: Nanos = 100 * MS;

impl RespListener {
    /// Checks the values that are held back, releases the ids of answered requests, closes connections whose clients do not read their
    /// responses, have disconnected, send no complete command or are idle, and resumes accepting
    /// clients.
    pub fn reap(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        self.resume_input(now, events, counters);
        self.check_held_values(now, events, counters);
        self.release_all_delivered_ids();
        self.close_unread(now, events, counters);
        self.close_disconnected(now, events, counters);
        self.close_incomplete(now, events, counters);
        self.close_idle(now, events, counters);
        // Accepting is resumed even at the connection limit: connections that were in use when it
        // was paused may be idle by now, so that they can be evicted. Otherwise new clients would
        // wait until another client disconnects.
        self.resume_accepting();
    }

    /// Returns the connections that meet a condition.
    pub(super) fn connections_where(
        &self,
        predicate: impl Fn(&ClientConnection) -> bool,
    ) -> Vec<u64> {
        self.connections
            .iter()
            .filter(|(_, connection)| predicate(connection))
            .map(|(number, _)| *number)
            .collect()
    }

    fn close_unread(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let inactive = self.connections_where(|connection| {
            !connection.is_closing() && connection.inactive_for(now) >= OBSERVE_DELIVERY_AFTER
        });
        for number in inactive {
            let Some(connection) = self.connections.get_mut(&number) else {
                continue;
            };
            connection.has_undelivered_output(now);
            if connection.unsent_bytes() > 0 && connection.is_output_unread(now) {
                self.close(number, counters, events);
            }
        }
    }

    /// Closes connections whose clients have disconnected while the connection is not read, and
    /// closing ones at their end. Reading stops when too many bytes are unsent or unparsed, or when
    /// the connection is closing.
    fn close_disconnected(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        for number in self.connections_where(ClientConnection::is_closing) {
            let connection = self.connections.get_mut(&number);
            if connection.is_some_and(|connection| connection.is_close_due(now)) {
                self.close(number, counters, events);
            }
        }
        let disconnected = self.connections_where(|connection| {
            !connection.is_closing()
                && !connection.reads_input()
                && has_peer_closed(connection.stream.socket())
        });
        for number in disconnected {
            let has_pending_responses = self
                .connections
                .get(&number)
                .is_some_and(|connection| !connection.responses.is_empty());
            counters.disconnects_while_unread += u64::from(has_pending_responses);
            self.close(number, counters, events);
        }
    }

    /// Closes connections whose current command is incomplete after [`COMMAND_TIMEOUT`], so that
    /// clients that send nothing or a part of a command do not occupy connections and memory
    /// indefinitely.
    fn close_incomplete(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let timeout = if self.policy.closes_idle {
            COMMAND_TIMEOUT_DRAINING
        } else {
            COMMAND_TIMEOUT
        };
        let is_overdue =
            |connection: &ClientConnection| connection.is_command_overdue(timeout, now);
        for number in self.connections_where(is_overdue) {
            counters.clients_incomplete += 1;
            if let Some(connection) = self
                .connections
                .get_mut(&number)
                .filter(|connection| connection.has_partial_command())
            {
                connection.respond(encode_error("ERR the command did not end in time"));
                (connection.input, connection.skip) = (Vec::new(), None);
                connection.is_framing_lost = true;
                self.flush(number, now, events, counters);
            } else {
                self.close_gracefully(number, now, counters, events);
            }
        }
    }

    /// Closes connections that exceed the idle timeout, and the longest idle ones above
    /// [`TRIM_ABOVE_PERCENT`].
    fn close_idle(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        let open = self
            .connections
            .values()
            .filter(|connection| !connection.is_closing())
            .count();
        let is_crowded = open > self.connections_max / 2;
        let timeout = match (self.policy.closes_idle, is_crowded) {
            (true, _) => IDLE_TIMEOUT_DRAINING,
            (false, true) => IDLE_TIMEOUT_CROWDED,
            (false, false) => IDLE_TIMEOUT,
        };
        let mut idle = self.connections_where(|connection| connection.is_idle_for(timeout, now));
        let excess = open
            .saturating_sub(idle.len())
            .saturating_sub(self.connections_max * TRIM_ABOVE_PERCENT / 100);
        if excess > 0 {
            let longest_idle = self.longest_idle(&idle, now);
            idle.extend(longest_idle.into_iter().take(excess));
        }
        for number in idle {
            counters.clients_idle += 1;
            self.close_gracefully(number, now, counters, events);
        }
    }

    /// Returns the connections that have sent a command and have been idle for [`TRIM_IDLE_MIN`],
    /// except those in `except`. The longest idle is first.
    fn longest_idle(&self, except: &[u64], now: Nanos) -> Vec<u64> {
        let mut idle: Vec<(Nanos, u64)> = self
            .connections
            .iter()
            .filter(|(number, connection)| {
                connection.has_sent_command
                    && connection.is_idle_for(TRIM_IDLE_MIN, now)
                    && !except.contains(number)
            })
            .map(|(number, connection)| (connection.last_active, *number))
            .collect();
        idle.sort_unstable();
        idle.into_iter().map(|(_, number)| number).collect()
    }
}

impl ClientConnection {
    /// Returns whether the current command has exceeded its timeout. While the socket has unread
    /// input, which may complete the command, the command does not count as overdue.
    fn is_command_overdue(&self, timeout: Nanos, now: Nanos) -> bool {
        (!self.has_sent_command || self.has_partial_command())
            && self.takes_commands()
            && self.responses.is_empty()
            && now.saturating_sub(self.command_since) >= timeout
            && is_open_without_input(self.stream.socket())
    }

    /// Returns whether the connection has been idle for this time. A client that still reads its last
    /// response is not idle, until it has read nothing for too long.
    fn is_idle_for(&self, timeout: Nanos, now: Nanos) -> bool {
        self.is_idle()
            && self.inactive_for(now) >= timeout
            && is_open_without_input(self.stream.socket())
            && (!has_unsent_output(self.stream.socket()) || self.is_output_unread(now))
    }
}
