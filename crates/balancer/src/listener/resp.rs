//! The RESP listener: client connections, commands in, answers out in the order of the commands.

mod back_pressure;
mod commands;
mod connection;
mod connection_admission;
mod idle_reaper;
mod input;
mod output;
mod responses;

pub use back_pressure::{MemoryPressure, StreamEnd};

use crate::counters::Counters;
use crate::lifecycle::{LifecyclePolicy, ListenerMode};
use crate::poll::sockets::has_peer_closed;
use crate::poll::{EventSource, Interest, Poll, Readiness, Registered};
use crate::poll_timestamps::PollTimestamps;
use crate::request::IncomingRequest;
use connection::{ClientConnection, PendingResponse};
use input::READ_SIZE;
use routing::{Nanos, RequestId};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// What the listener tells the event loop.
#[derive(Debug)]
pub enum ListenerEvent {
    /// A request has arrived.
    Request(IncomingRequest),
    /// The client of this request has disconnected.
    ClientDisconnected(RequestId),
    /// More of this request's value can be taken.
    CapacityAvailable(RequestId),
}

/// All client connections, and the socket on which they are accepted.
pub struct RespListener {
    poll: Poll,
    /// The listening socket, until it is closed for good.
    listener: Option<Registered<TcpListener>>,
    connections: BTreeMap<u64, ClientConnection>,
    connections_max: usize,
    next_connection: u64,
    /// The engine's request ids: a count of our own, never the client's.
    next_request: u128,
    /// What follows from the lifecycle; set by [`RespListener::apply_policy`] alone.
    policy: LifecyclePolicy,
    accepting: bool,
    /// When the sockets were last polled.
    poll_timestamps: PollTimestamps,
    /// Since when clients may have waited in the backlog, if not all were accepted.
    backlog_since: Option<Nanos>,
    /// The buffer of one read, shared by all connections, as most of them are idle.
    read_buffer: Vec<u8>,
}

impl RespListener {
    /// Accepts clients on this socket; at most `connections_max` are open at once.
    ///
    /// # Errors
    /// If the socket can't be watched.
    pub fn listen(
        poll: &Poll,
        listener: TcpListener,
        connections_max: usize,
        policy: LifecyclePolicy,
        poll_timestamps: PollTimestamps,
    ) -> io::Result<Self> {
        log::info!(
            "listening on {}, for at most {connections_max} client connections",
            listener.local_addr()?
        );
        listener.set_nonblocking(true)?;
        let listener = poll.register(listener, EventSource::Listener, Interest::READABLE)?;
        let mut resp_listener = RespListener {
            poll: poll.clone(),
            listener: Some(listener),
            connections: BTreeMap::new(),
            connections_max,
            next_connection: 0,
            next_request: 1,
            policy,
            accepting: true,
            poll_timestamps,
            backlog_since: None,
            read_buffer: vec![0; READ_SIZE],
        };
        resp_listener.resume_accepting();
        Ok(resp_listener)
    }

    /// Changes how many connections may be open at once; those that are open stay.
    pub fn set_connections_max(&mut self, connections_max: usize) {
        self.connections_max = connections_max;
    }

    /// The sockets were polled; to be called before what was reported is processed.
    pub fn set_poll_timestamps(&mut self, timestamps: PollTimestamps) {
        self.poll_timestamps = timestamps;
    }

    /// Whether the client of this connection is still connected, by a recent poll or else by asking
    /// the kernel. One that has disconnected is removed.
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
        let seen = if connection.reads_input() {
            connection.presence.last_seen(&self.poll_timestamps)
        } else {
            connection.presence.last_confirmed()
        };
        if PollTimestamps::is_fresh(seen, now) {
            return true;
        }
        counters.client_checks += 1;
        if has_peer_closed(connection.stream.socket()) {
            counters.client_checks_disconnected += 1;
            self.close(number, counters, events);
            return false;
        }
        connection.presence.confirm(now);
        true
    }

    /// Bytes held for clients: commands that are not parsed yet, and unsent answers.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.connections
            .values()
            .map(ClientConnection::buffered_bytes)
            .sum()
    }

    /// How many client connections are open.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// The address on which clients are accepted, until the socket is closed.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.socket().local_addr().ok()
    }

    /// Reads and writes what a connection is ready for.
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

    /// Closes a connection; nobody waits for the answers that are owed on it any more.
    fn close(&mut self, number: u64, counters: &mut Counters, events: &mut Vec<ListenerEvent>) {
        let Some(connection) = self.connections.remove(&number) else {
            return;
        };
        counters.clients_closed += 1;
        for response in connection.responses {
            if let PendingResponse::Waiting(request) | PendingResponse::Streaming { request, .. } =
                response
            {
                counters.client_disconnects += 1;
                events.push(ListenerEvent::ClientDisconnected(request));
            }
        }
        self.resume_accepting();
    }

    /// Applies what follows from the lifecycle now. Clients that wait in the backlog of a socket
    /// that is about to close are accepted first, and what has arrived is read before its
    /// connection is closed: otherwise it would be lost.
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
        if policy.listener_mode == ListenerMode::Closed {
            // Only this process's descriptor: another process may share the socket.
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
