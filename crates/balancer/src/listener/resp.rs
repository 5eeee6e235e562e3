//! The RESP listener: accepts client connections, reads commands, and writes the responses in the
//! order of the commands.

mod back_pressure;
mod commands;
mod connection;
mod connection_admission;
mod delivery;
mod idle_reaper;
mod input;
mod memory;
mod open_ids;
mod output;
mod pending_response;
mod responses;
mod streamed_value;

pub use back_pressure::{MemoryPressure, StreamEnd};
pub use open_ids::IdState;

use crate::counters::Counters;
use crate::lifecycle::{LifecyclePolicy, ListenerMode};
use crate::poll::sockets::has_peer_closed;
use crate::poll::{EventSource, Interest, Poll, Readiness, Registered};
use crate::poll_timestamps::PollTimestamps;
use crate::request::IncomingRequest;
use connection::ClientConnection;
use input::READ_SIZE;
use memory::MemoryLimit;
use open_ids::OpenIds;
use routing::{Nanos, RequestId};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Events that the listener reports to the event loop.
#[derive(Debug)]
pub enum ListenerEvent {
    /// A request has arrived.
    Request(Box<IncomingRequest>),
    /// The client of this request has disconnected.
    ClientDisconnected(RequestId),
    /// The client connection can accept more of the streamed value of this request.
    CapacityAvailable(RequestId),
    /// The streamed value of this request can't be held back any longer.
    HoldOver {
        /// Connection of the client.
        connection: u64,
        /// Request to which the value belongs.
        request: RequestId,
    },
}

/// The listening socket and all client connections.
pub struct RespListener {
    poll: Poll,
    /// Listening socket; `None` after it is closed.
    listener: Option<Registered<TcpListener>>,
    connections: BTreeMap<u64, ClientConnection>,
    connections_max: usize,
    memory_limit: MemoryLimit,
    open_ids: OpenIds,
    next_connection: u64,
    /// Id of the next request for the engine. It is a counter, independent of the ids of clients.
    next_request: u128,
    /// Policy of the current lifecycle state; set only by [`RespListener::apply_policy`].
    policy: LifecyclePolicy,
    /// Time from which on no commands are accepted; `None` while they are.
    intake_ended_at: Option<Nanos>,
    /// Whether the listening socket is polled for new connections.
    accepting: bool,
    /// Times of the last polls of the sockets.
    poll_timestamps: PollTimestamps,
    /// Earliest time since which a client may have been waiting in the backlog; `None` if the
    /// backlog was found empty.
    backlog_since: Option<Nanos>,
    /// Time at which all holds of values end, as the process is shutting down.
    holds_end_at: Option<Nanos>,
    /// Buffer of one read, shared by all connections as most of them are idle.
    read_buffer: Vec<u8>,
}

impl RespListener {
    /// Starts to accept clients on a listening socket. At most `connections_max` connections are
    /// open at a time.
    ///
    /// # Errors
    /// If the socket can't be registered with the poller.
    pub fn listen(
        poll: &Poll,
        listener: TcpListener,
        connections_max: usize,
        policy: LifecyclePolicy,
        poll_timestamps: PollTimestamps,
    ) -> io::Result<Self> {
        log::info!(
            "listening on {}, accepting at most {connections_max} client connections",
            listener.local_addr()?
        );
        listener.set_nonblocking(true)?;
        let listener = poll.register(listener, EventSource::Listener, Interest::READABLE)?;
        let mut resp_listener = RespListener {
            poll: poll.clone(),
            listener: Some(listener),
            connections: BTreeMap::new(),
            connections_max,
            memory_limit: MemoryLimit::new(usize::MAX),
            open_ids: OpenIds::default(),
            next_connection: 0,
            next_request: 1,
            policy,
            intake_ended_at: None,
            accepting: true,
            poll_timestamps,
            backlog_since: None,
            holds_end_at: None,
            read_buffer: vec![0; READ_SIZE],
        };
        resp_listener.resume_accepting();
        Ok(resp_listener)
    }

    /// Sets the maximum number of connections. Open connections over the new maximum stay open.
    pub fn set_connections_max(&mut self, connections_max: usize) {
        self.connections_max = connections_max;
    }

    /// Sets the times of the last polls. Must be called after each poll, before the events that it
    /// reported are processed.
    pub fn set_poll_timestamps(&mut self, timestamps: PollTimestamps) {
        self.poll_timestamps = timestamps;
    }

    /// Returns whether the client of a connection is still connected. A recent poll suffices as
    /// evidence; otherwise the kernel is asked. Removes the connection if the client has
    /// disconnected.
    pub fn is_client_connected(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else {
            return false;
        };
        let last_seen = if connection.reads_input() {
            connection.presence.last_seen(&self.poll_timestamps)
        } else {
            connection.presence.last_confirmed()
        };
        PollTimestamps::is_fresh(last_seen, now)
            || self.confirm_client_connected(number, now, events, counters)
    }

    /// Asks the kernel whether the client of a connection is still connected. Removes the connection
    /// if the client has disconnected.
    pub fn confirm_client_connected(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else {
            return false;
        };
        counters.client_checks += 1;
        if has_peer_closed(connection.stream.socket()) {
            counters.client_checks_disconnected += 1;
            self.close(number, counters, events);
            return false;
        }
        connection.presence.confirm(now);
        true
    }

    /// Returns the number of open client connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the address of the listening socket, unless it is closed.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.socket().local_addr().ok()
    }

    /// Reads and writes as the readiness of a connection allows.
    pub fn handle_ready(
        &mut self,
        now: Nanos,
        ready: Readiness,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let EventSource::Client(number) = ready.source else {
            return;
        };
        if ready.writable {
            self.flush(number, now, events, counters);
        }
        if ready.readable {
            self.read(number, now, events, counters);
        }
    }

    /// Closes a connection, and reports the client of each unanswered request as disconnected.
    fn close(&mut self, number: u64, counters: &mut Counters, events: &mut Vec<ListenerEvent>) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        self.uncount_memory(&connection);
        self.release_ids(number, &connection);
        counters.clients_closed += 1;
        for response in connection.responses {
            if let Some(request) = response.unfinished_request() {
                counters.client_disconnects += 1;
                events.push(ListenerEvent::ClientDisconnected(request));
            }
        }
        self.resume_accepting();
    }

    /// Applies the policy of a lifecycle state. Before the listening socket is closed, the clients
    /// in its backlog are accepted; before idle connections are closed, their received input is
    /// read. Both would otherwise be lost.
    pub fn apply_policy(
        &mut self,
        policy: LifecyclePolicy,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        if self.policy == policy {
            return;
        }
        if policy.listener_mode == ListenerMode::Closed {
            self.accept_all(now, counters);
        }
        self.policy = policy;
        self.intake_ended_at = if policy.accepts_commands {
            None
        } else {
            self.intake_ended_at.or(Some(now))
        };
        if policy.listener_mode == ListenerMode::Closed {
            // Closes only the descriptor of this process; another process may share the socket.
            self.listener = None;
        }
        self.resume_accepting();
        if policy.closes_idle {
            for number in self.connections.keys().copied().collect::<Vec<_>>() {
                self.read(number, now, events, counters);
                self.flush(number, now, events, counters);
            }
        }
    }
}

#[cfg(test)]
mod tests;
