//! Connection admission: which clients are accepted, and which connection is closed for a new one
//! when all are taken.

use super::connection::ClientConnection;
use super::idle_reaper::IDLE_CROWDED;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::poll::sockets::{has_unsent_output, is_open_without_input};
use crate::poll::{EventSource, Interest, Registered};
use crate::poll_timestamps::ClientPresence;
use crate::timers::MS;
use routing::Nanos;
use std::io::{self, ErrorKind};
use std::net::TcpStream;

/// At most this many connections are accepted in one turn: a flood of them must not delay the rest.
pub(super) const ACCEPT_MAX: usize = 64;
/// At the connection limit a connection that is idle this long is closed for a new one, those that
/// are idle longest first: what clients with one command a connection leave behind makes room at
/// the pace at which they come.
pub(super) const EVICT_IDLE_AFTER: Nanos = 20 * MS;
/// The same for a connection on which nothing ever arrived.
pub(super) const EVICT_SILENT_AFTER: Nanos = 20 * MS;
/// Where none is idle, a connection on which half a command stands still this long is closed. One
/// that is slow but goes on stays.
pub(super) const EVICT_UNFINISHED_AFTER: Nanos = 1_000 * MS;
/// If more than one in so many connections is silent, those alone are closed for new ones.
const SILENT_SHARE: usize = 4;

/// The order in which connections are closed for new ones. Connections on which nothing ever
/// arrived go before those that are idle, or silent clients would evict the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    Closing,
    Silent,
    Idle,
    Unfinished,
}

impl RespListener {
    /// Accepts the clients that wait in the backlog.
    pub fn accept(&mut self, now: Nanos, counters: &mut Counters) {
        if self.policy.listener_mode.is_left_to_other_process() {
            return;
        }
        // A client that is accepted now may have waited since then, unless the backlog was empty
        // when it was last served.
        let waiting_since = self
            .poll_timestamps
            .earliest_arrival()
            .min(self.backlog_since.unwrap_or(Nanos::MAX));
        self.backlog_since = Some(waiting_since);
        for _ in 0..ACCEPT_MAX {
            if self.connections.len() >= self.connections_max && !self.evict_one(now, counters) {
                // All are in use: new clients wait in the backlog until one is done. Accepting them
                // would use up the descriptors of upstream connections and discovery.
                return self.pause_accepting();
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.socket().accept() {
                Ok((stream, _)) => self.add_connection(stream, waiting_since, now, counters),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.backlog_since = None;
                    return;
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) => {
                    // Out of descriptors, most likely: without a pause the loop would spin.
                    log::warn!("accepting clients: {e}");
                    return self.pause_accepting();
                }
            }
        }
    }

    /// The last poll did not report the listening socket: nobody waits there.
    pub fn record_empty_backlog(&mut self) {
        if self.accepting {
            self.backlog_since = None;
        }
    }

    /// Accepts everyone who waits, in as many rounds as it takes. Connections that were just
    /// accepted are too new to be evicted, so the connection limit ends it.
    pub(super) fn accept_all(&mut self, now: Nanos, counters: &mut Counters) {
        let mut accepted_before = None;
        while accepted_before.replace(counters.clients_accepted) != Some(counters.clients_accepted)
        {
            self.accept(now, counters);
        }
    }

    fn add_connection(
        &mut self,
        stream: TcpStream,
        waiting_since: Nanos,
        now: Nanos,
        counters: &mut Counters,
    ) {
        let number = self.next_connection;
        match self.watch(stream, number) {
            Ok(stream) => {
                self.next_connection += 1;
                counters.clients_accepted += 1;
                let presence = ClientPresence::accepted(&self.poll_timestamps, waiting_since);
                let connection = ClientConnection::new(stream, now, presence);
                self.connections.insert(number, connection);
            }
            Err(e) => log::warn!("client connection {number}: {e}"),
        }
    }

    fn watch(&self, stream: TcpStream, number: u64) -> io::Result<Registered<TcpStream>> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.poll
            .register(stream, EventSource::Client(number), Interest::READABLE)
    }

    /// Accepts clients again, unless the lifecycle leaves them to the other process.
    pub(super) fn resume_accepting(&mut self) {
        self.set_accepting(!self.policy.listener_mode.is_left_to_other_process());
    }

    /// From now on clients wait in the backlog.
    fn pause_accepting(&mut self) {
        self.set_accepting(false);
    }

    fn set_accepting(&mut self, accepting: bool) {
        let Some(listener) = &mut self.listener else {
            return;
        };
        if self.accepting == accepting {
            return;
        }
        let interest = if accepting {
            Interest::READABLE
        } else {
            Interest::NONE
        };
        match listener.set_interest(interest) {
            Ok(()) => {
                self.accepting = accepting;
                if !accepting {
                    // From now on the listening socket is not polled.
                    self.backlog_since
                        .get_or_insert(self.poll_timestamps.last_poll());
                }
            }
            Err(e) => log::warn!("listener: {e}"),
        }
    }

    /// Closes the connection that has been idle longest, if one is. One that was just accepted, or
    /// has unread input, is not idle: in a rush each would be closed for the next, its request
    /// unread. Nor is one that still receives its last answer.
    fn evict_one(&mut self, now: Nanos, counters: &mut Counters) -> bool {
        let idle_limit = self.idle_limit();
        let mut candidates: Vec<(EvictionClass, Nanos, u64)> = self
            .connections
            .iter()
            .filter_map(|(number, connection)| {
                let class = connection.eviction_class(now, idle_limit)?;
                Some((class, connection.last_active, *number))
            })
            .collect();
        candidates.sort_unstable();
        // Asked last, for it takes system calls.
        let evicted = candidates.into_iter().find(|(class, _, number)| {
            *class == EvictionClass::Closing
                || self
                    .connections
                    .get(number)
                    .is_some_and(ClientConnection::is_quiet)
        });
        let Some((_, _, number)) = evicted else {
            return false;
        };
        let mut events: Vec<ListenerEvent> = Vec::new();
        self.close(number, counters, &mut events);
        true
    }

    /// How long a connection on which commands came has to be idle to be evicted.
    fn idle_limit(&self) -> Nanos {
        let silent = self
            .connections
            .values()
            .filter(|connection| connection.is_silent())
            .count();
        if silent > self.connections_max / SILENT_SHARE {
            IDLE_CROWDED
        } else {
            EVICT_IDLE_AFTER
        }
    }
}

impl ClientConnection {
    /// Whether nothing has ever arrived on it.
    fn is_silent(&self) -> bool {
        !self.has_sent_command && self.input.is_empty()
    }

    /// Whether it may be closed for a new one, and in which order.
    fn eviction_class(&self, now: Nanos, idle_limit: Nanos) -> Option<EvictionClass> {
        let inactive = self.inactive_for(now);
        if self.is_closing() {
            Some(EvictionClass::Closing)
        } else if !self.is_idle() {
            let is_unfinished = self.responses.is_empty() && !self.input.is_empty();
            (is_unfinished && inactive >= EVICT_UNFINISHED_AFTER)
                .then_some(EvictionClass::Unfinished)
        } else if self.has_sent_command {
            (inactive >= idle_limit).then_some(EvictionClass::Idle)
        } else {
            (inactive >= EVICT_SILENT_AFTER).then_some(EvictionClass::Silent)
        }
    }

    /// Whether the kernel holds neither unread input nor unsent output.
    fn is_quiet(&self) -> bool {
        let socket = self.stream.socket();
        is_open_without_input(socket) && !has_unsent_output(socket)
    }
}
