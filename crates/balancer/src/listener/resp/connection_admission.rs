//! Connection admission: accepts clients, and at the connection limit selects the connection to
//! evict for a new one.

use super::connection::ClientConnection;
use super::idle_reaper::IDLE_TIMEOUT_CROWDED;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::poll::sockets::{has_unsent_output, is_open_without_input};
use crate::poll::{EventSource, Interest, Registered};
use crate::poll_timestamps::ClientPresence;
use crate::timers::MS;
use routing::Nanos;
use std::io::{self, ErrorKind};
use std::net::TcpStream;

/// Maximum number of connections accepted per turn of the event loop, so that a burst of new
/// connections does not delay other work.
pub(super) const ACCEPT_MAX: usize = 64;
/// Minimum idle time of a connection that is evicted for a new one at the connection limit; the
/// longest idle is evicted first. Connections that clients open for one command and leave idle are
/// thus closed as fast as these clients open new ones.
pub(super) const EVICT_IDLE_AFTER: Nanos = 20 * MS;
/// Minimum idle time for the eviction of a connection on which nothing has ever arrived.
pub(super) const EVICT_SILENT_AFTER: Nanos = 20 * MS;
/// Minimum inactive time for the eviction of a connection that was only accepted to reject commands.
const EVICT_OVERFLOW_AFTER: Nanos = 30 * MS;
/// Minimum inactive time for the eviction of a connection with an incomplete command, if no
/// connection of another [`EvictionClass`] can be evicted. A slow client that still sends keeps its
/// connection.
pub(super) const EVICT_UNFINISHED_AFTER: Nanos = 1_000 * MS;
/// If the number of silent connections exceeds the connection limit divided by this, the minimum
/// idle time for the eviction of connections that have sent commands is raised from
/// [`EVICT_IDLE_AFTER`] to [`IDLE_TIMEOUT_CROWDED`].
const SILENT_LIMIT_DIVISOR: usize = 4;

/// The connection limit divided by this is the number of connections that are only accepted to
/// reject their commands, while all others are in use by requests. Without them new clients would
/// wait, and be rejected only after their deadline.
const OVERFLOW_DIVISOR: usize = 16;

/// How a client is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    Regular,
    /// Its commands are rejected, and its connection is closed when others need its place.
    Overflow,
    /// It waits in the backlog.
    Wait,
}

/// Classes of connections in the order of eviction. Connections on which nothing has ever arrived
/// are evicted before idle ones; otherwise silent clients would evict active ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// The sending side is shut down.
    Closing,
    /// The connection was only accepted to reject commands, and none is complete.
    Overflow,
    /// Nothing has ever arrived.
    Silent,
    /// A command has arrived before, and nothing is pending.
    Idle,
    /// A command has begun to arrive and is incomplete.
    Unfinished,
}

impl RespListener {
    /// Accepts clients from the backlog, up to the limits per turn and of open connections.
    pub fn accept(&mut self, now: Nanos, counters: &mut Counters) {
        if self.policy.listener_mode.is_left_to_other_process() {
            return;
        }
        // The earliest time since which a client that is accepted now may have waited. If the
        // backlog was not emptied by the previous call, the earlier time still applies.
        let waiting_since = self
            .poll_timestamps
            .earliest_arrival()
            .min(self.backlog_since.unwrap_or(Nanos::MAX));
        self.backlog_since = Some(waiting_since);
        for _ in 0..ACCEPT_MAX {
            let admission = self.next_admission(now, counters);
            if admission == Admission::Wait {
                // All connections are in use: new clients wait in the backlog. Accepting them would
                // use up the descriptors of upstream connections and discovery.
                return self.pause_accepting();
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener.socket().accept() {
                Ok((stream, _)) => {
                    self.add_connection(stream, admission, waiting_since, now, counters);
                }
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
                    // Most likely the process is out of descriptors. Without a pause the event loop
                    // would spin.
                    log::warn!("accepting client connections failed: {e}; accepting is paused");
                    return self.pause_accepting();
                }
            }
        }
    }

    /// Records that the last poll did not report the listening socket. While the socket is polled,
    /// this means that the backlog is empty.
    pub fn record_empty_backlog(&mut self) {
        if self.accepting {
            self.backlog_since = None;
        }
    }

    /// Accepts all clients from the backlog, in as many rounds as necessary. Connections that were
    /// just accepted are too new to be evicted, so the connection limit ends the loop.
    pub(super) fn accept_all(&mut self, now: Nanos, counters: &mut Counters) {
        let mut accepted_before = None;
        while accepted_before.replace(counters.clients_accepted) != Some(counters.clients_accepted)
        {
            self.accept(now, counters);
        }
    }

    /// Returns how the next client is admitted. At the limit a connection is evicted for it, if
    /// possible.
    fn next_admission(&mut self, now: Nanos, counters: &mut Counters) -> Admission {
        let regular_max = self.connections_max - self.connections_max / OVERFLOW_DIVISOR;
        if self.connections.len() >= regular_max {
            self.evict_connection(now, counters);
        }
        match self.connections.len() {
            open if open < regular_max => Admission::Regular,
            open if open < self.connections_max => Admission::Overflow,
            _ => Admission::Wait,
        }
    }

    fn add_connection(
        &mut self,
        stream: TcpStream,
        admission: Admission,
        waiting_since: Nanos,
        now: Nanos,
        counters: &mut Counters,
    ) {
        let number = self.next_connection;
        match self.register(stream, number) {
            Ok(stream) => {
                self.next_connection += 1;
                counters.clients_accepted += 1;
                let presence = ClientPresence::accepted(&self.poll_timestamps, waiting_since);
                let mut connection = ClientConnection::new(stream, now, presence);
                connection.is_overflow = admission == Admission::Overflow;
                counters.clients_overflow += u64::from(connection.is_overflow);
                self.connections.insert(number, connection);
            }
            Err(e) => log::warn!("client connection {number}: setting up the socket failed: {e}"),
        }
    }

    fn register(&self, stream: TcpStream, number: u64) -> io::Result<Registered<TcpStream>> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.poll
            .register(stream, EventSource::Client(number), Interest::READABLE)
    }

    /// Resumes accepting clients, unless the lifecycle leaves them to the other process.
    pub(super) fn resume_accepting(&mut self) {
        self.set_accepting(!self.policy.listener_mode.is_left_to_other_process());
    }

    /// Stops accepting clients; they wait in the backlog.
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
                    // The listening socket is no longer polled: clients may arrive from the last
                    // poll on without being reported.
                    self.backlog_since
                        .get_or_insert(self.poll_timestamps.last_poll());
                }
            }
            Err(e) => {
                log::warn!("listener: changing the interest of the listening socket failed: {e}");
            }
        }
    }

    /// Evicts one connection: the first in the order of [`EvictionClass`], and within the class the
    /// one inactive longest. Returns whether a connection was evicted. No connection is evicted whose
    /// last response the kernel has not sent completely. Nor is one that is not closing and was just
    /// accepted or has unread input: in a burst of new connections each would be evicted for the
    /// next, with its request unread.
    fn evict_connection(&mut self, now: Nanos, counters: &mut Counters) -> bool {
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
        // The check of the socket buffers takes system calls, so it comes last.
        let evicted = candidates.into_iter().find(|(class, _, number)| {
            self.connections
                .get(number)
                .is_some_and(|connection| match class {
                    EvictionClass::Closing => !has_unsent_output(connection.stream.socket()),
                    _ => connection.has_empty_socket_buffers(),
                })
        });
        let Some((_, _, number)) = evicted else {
            return false;
        };
        let mut events: Vec<ListenerEvent> = Vec::new();
        self.close(number, counters, &mut events);
        true
    }

    /// Returns the minimum idle time for the eviction of a connection that has sent commands.
    fn idle_limit(&self) -> Nanos {
        let silent = self
            .connections
            .values()
            .filter(|connection| connection.is_silent())
            .count();
        if silent > self.connections_max / SILENT_LIMIT_DIVISOR {
            IDLE_TIMEOUT_CROWDED
        } else {
            EVICT_IDLE_AFTER
        }
    }
}

impl ClientConnection {
    /// Returns whether nothing has ever arrived on the connection.
    fn is_silent(&self) -> bool {
        !self.has_sent_command && !self.has_partial_command()
    }

    /// Returns the eviction class of the connection, or `None` if it must not be evicted.
    fn eviction_class(&self, now: Nanos, idle_limit: Nanos) -> Option<EvictionClass> {
        let inactive = self.inactive_for(now);
        if self.is_closing() {
            Some(EvictionClass::Closing)
        } else if self.is_overflow {
            let has_request = !self.responses.is_empty() || self.unsent_bytes() > 0;
            (!has_request && inactive >= EVICT_OVERFLOW_AFTER).then_some(EvictionClass::Overflow)
        } else if !self.is_idle() {
            let is_unfinished = self.responses.is_empty() && self.has_partial_command();
            (is_unfinished && inactive >= EVICT_UNFINISHED_AFTER)
                .then_some(EvictionClass::Unfinished)
        } else if self.has_sent_command {
            (inactive >= idle_limit).then_some(EvictionClass::Idle)
        } else {
            (inactive >= EVICT_SILENT_AFTER).then_some(EvictionClass::Silent)
        }
    }

    /// Returns whether the connection is open and its socket holds neither unread input nor unsent
    /// output.
    fn has_empty_socket_buffers(&self) -> bool {
        let socket = self.stream.socket();
        is_open_without_input(socket) && !has_unsent_output(socket)
    }
}
