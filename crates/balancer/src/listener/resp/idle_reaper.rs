//! The idle reaper: several times a second connections are closed whose clients are done, stuck,
//! disconnected or silent.

use super::connection::ClientConnection;
use super::responses::encode_error;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::poll::sockets::{has_peer_closed, is_open_without_input};
use crate::timers::MS;
use routing::Nanos;

/// A client that takes none of its answer for this long is disconnected.
const STUCK_TIMEOUT: Nanos = 10_000 * MS;
/// A command, the first one included, has to be whole this long after it could have begun: some
/// clients take 2 s, and a silent one has to be answered within 3 s.
pub(super) const COMMAND_TIMEOUT: Nanos = 2_600 * MS;
/// A connection on which nothing is open is closed after this ...
pub(super) const IDLE_TIMEOUT: Nanos = 10_000 * MS;
/// ... or, with more than half of the connections taken, after this ...
pub(super) const IDLE_CROWDED: Nanos = 2_000 * MS;
/// ... or, while idle connections are closed by the lifecycle, after this: a client that has just
/// connected may be about to send a command.
pub(super) const IDLE_DRAINING: Nanos = 500 * MS;
/// Beyond this percentage of the connections those that are idle longest are closed. Clients that
/// send one command on a connection and keep it open have a limit of their own: while they wait for
/// the end of old connections they can't open new ones.
const CROWD_PERCENT: usize = 40;
/// A connection that is idle this long may be closed for that.
pub(super) const CROWD_IDLE_MIN: Nanos = 100 * MS;

impl RespListener {
    /// Closes connections whose clients take nothing of what they are owed, send nothing or nothing
    /// whole, or are done; and accepts clients again after an error.
    pub fn reap(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        self.close_stuck(now, events, counters);
        self.close_disconnected(now, events, counters);
        self.close_unfinished(now, events, counters);
        self.close_idle(now, events, counters);
        // Also at the limit: connections that were in use when accepting was paused may be idle by
        // now, and new clients would wait for good if only a disconnect could end the pause.
        self.resume_accepting();
    }

    fn matching(&self, predicate: impl Fn(&ClientConnection) -> bool) -> Vec<u64> {
        self.connections
            .iter()
            .filter(|(_, connection)| predicate(connection))
            .map(|(number, _)| *number)
            .collect()
    }

    fn close_stuck(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let stuck = self.matching(|connection| {
            connection.unsent_bytes() > 0 && connection.inactive_for(now) > STUCK_TIMEOUT
        });
        for number in stuck {
            self.close(number, counters, events);
        }
    }

    /// Where nothing is read, as too much is owed or too much has arrived, no read shows the end.
    fn close_disconnected(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let disconnected = self.matching(|connection| match connection.close_by {
            Some(deadline) => now >= deadline || has_peer_closed(connection.stream.socket()),
            None => !connection.reads_input() && has_peer_closed(connection.stream.socket()),
        });
        for number in disconnected {
            let is_owed = self.connections.get(&number).is_some_and(|connection| {
                !connection.is_closing() && !connection.responses.is_empty()
            });
            counters.disconnects_while_unread += u64::from(is_owed);
            self.close(number, counters, events);
        }
    }

    /// A client that sends nothing, or half a command, must occupy neither a connection nor memory
    /// for good.
    fn close_unfinished(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        for number in self.matching(|connection| connection.is_command_late(now)) {
            counters.clients_incomplete += 1;
            let has_begun = |connection: &&mut ClientConnection| !connection.input.is_empty();
            if let Some(connection) = self.connections.get_mut(&number).filter(has_begun) {
                connection.respond(encode_error("ERR the command did not end in time"));
                connection.input = Vec::new();
                connection.is_framing_lost = true;
                self.flush(number, now, events, counters);
            } else {
                self.close_gracefully(number, now, counters, events);
            }
        }
    }

    fn close_idle(&mut self, now: Nanos, events: &mut Vec<ListenerEvent>, counters: &mut Counters) {
        let open = self
            .connections
            .values()
            .filter(|connection| !connection.is_closing())
            .count();
        let is_crowded = open > self.connections_max / 2;
        let timeout = match (self.policy.closes_idle, is_crowded) {
            (true, _) => IDLE_DRAINING,
            (false, true) => IDLE_CROWDED,
            (false, false) => IDLE_TIMEOUT,
        };
        let mut idle = self.matching(|connection| connection.is_idle_for(timeout, now));
        let beyond_crowd = open
            .saturating_sub(idle.len())
            .saturating_sub(self.connections_max * CROWD_PERCENT / 100);
        if beyond_crowd > 0 {
            let longest_idle = self.longest_idle(&idle, now);
            idle.extend(longest_idle.into_iter().take(beyond_crowd));
        }
        for number in idle {
            counters.clients_idle += 1;
            self.close_gracefully(number, now, counters, events);
        }
    }

    /// The connections that may be closed in a crowd but for these, those that are idle longest
    /// first.
    fn longest_idle(&self, except: &[u64], now: Nanos) -> Vec<u64> {
        let mut idle: Vec<(Nanos, u64)> = self
            .connections
            .iter()
            .filter(|(number, connection)| {
                connection.has_sent_command
                    && connection.is_idle_for(CROWD_IDLE_MIN, now)
                    && !except.contains(number)
            })
            .map(|(number, connection)| (connection.last_active, *number))
            .collect();
        idle.sort_unstable();
        idle.into_iter().map(|(_, number)| number).collect()
    }
}

impl ClientConnection {
    /// Whether a command should have arrived whole by now. What has arrived but is not read yet may
    /// complete it.
    fn is_command_late(&self, now: Nanos) -> bool {
        !(self.has_sent_command && self.input.is_empty())
            && self.takes_commands()
            && self.responses.is_empty()
            && now.saturating_sub(self.command_since) >= COMMAND_TIMEOUT
            && is_open_without_input(self.stream.socket())
    }

    fn is_idle_for(&self, timeout: Nanos, now: Nanos) -> bool {
        self.is_idle()
            && self.inactive_for(now) >= timeout
            && is_open_without_input(self.stream.socket())
    }
}
