//! The admin listener: HTTP/1.1 with one request per connection. It reads requests and writes
//! responses; the lifecycle executes the commands. A silent connection does not delay others.

mod http;

pub use http::FleetEndpoint;

use super::CLOSE_TIMEOUT;
use crate::counters::Counters;
use crate::poll::sockets::{discard_before_close, has_unsent_output, is_open_without_input};
use crate::poll::{EventSource, Interest, Poll, Readiness, Registered};
use crate::timers::MS;
use http::{HEAD_MAX, HttpError, encode, parse_request, state_body};
use routing::Nanos;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Maximum number of open connections. A further connection evicts the oldest one whose response is
/// delivered, or otherwise the oldest one whose request is incomplete.
pub const CONNECTIONS_MAX: usize = 12;
/// Maximum number of connections accepted per turn of the event loop.
const ACCEPT_MAX: usize = 64;
/// Maximum time between accepting a connection and receiving the end of its request.
const REQUEST_TIMEOUT: Nanos = 2_000 * MS;
/// Maximum number of bytes that are discarded after a request. Closing a connection with unread
/// input would reset it and could destroy the response.
const DISCARD_MAX: usize = 64 * 1024;

/// Command of an admin request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Report whether this process is ready to serve.
    Health,
    /// Quiesce the process.
    Quiesce,
    /// End the quiesced state.
    Resume,
    /// Show the fleet as this member sees it.
    Fleet,
}

/// A complete request that waits for its response.
#[derive(Debug, PartialEq, Eq)]
pub struct AdminRequest {
    /// Number of the connection.
    pub connection: u64,
    /// Requested command.
    pub command: AdminCommand,
}

struct AdminConnection {
    stream: Registered<TcpStream>,
    accepted_at: Nanos,
    input: Vec<u8>,
    /// Encoded response; empty until the request is answered.
    output: Vec<u8>,
    /// Number of bytes of the response that are written.
    written: usize,
}

impl AdminConnection {
    fn new(stream: Registered<TcpStream>, now: Nanos) -> Self {
        AdminConnection {
            stream,
            accepted_at: now,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
        }
    }

    fn is_answered(&self) -> bool {
        !self.output.is_empty()
    }

    /// Returns whether the whole response has left this machine.
    fn is_delivered(&self) -> bool {
        self.is_answered()
            && self.written == self.output.len()
            && !has_unsent_output(self.stream.socket())
    }

    /// Returns whether the request is incomplete and all input that has arrived is read.
    fn is_waiting_for_input(&self) -> bool {
        !self.is_answered() && is_open_without_input(self.stream.socket())
    }

    fn age(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.accepted_at)
    }

    /// Reads once. Returns whether input arrived, none has arrived yet, or the input has ended.
    fn read(&mut self) -> io::Result<ReadOutcome> {
        let length = self.input.len();
        self.input.resize(HEAD_MAX, 0);
        let result = self.stream.socket().read(&mut self.input[length..]);
        self.input.truncate(length + *result.as_ref().unwrap_or(&0));
        match result {
            Ok(0) => Ok(ReadOutcome::Ended),
            Ok(_) => Ok(ReadOutcome::Input),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                Ok(ReadOutcome::Nothing)
            }
            Err(e) => Err(e),
        }
    }

    /// Writes as much of the response as the socket accepts. After the last byte it shuts down the
    /// sending side and lets the peer close the connection: closing it while the peer still sends
    /// would reset it and could destroy the response. Returns false if the connection has to be
    /// removed.
    fn write(&mut self) -> bool {
        while self.written < self.output.len() {
            match self.stream.socket().write(&self.output[self.written..]) {
                Ok(count) if count > 0 => self.written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                _ => return false,
            }
        }
        let unsent = self.written < self.output.len();
        if !unsent {
            let socket = self.stream.socket();
            if socket.shutdown(Shutdown::Write).is_err()
                || !discard_before_close(socket, DISCARD_MAX)
            {
                return false;
            }
        }
        self.stream
            .set_interest(Interest::readable_and(unsent))
            .is_ok()
    }
}

/// Result of a read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadOutcome {
    Input,
    Nothing,
    Ended,
}

/// The listening admin socket and its connections.
pub struct AdminListener {
    poll: Poll,
    listener: Registered<TcpListener>,
    /// Connections by number, which is the order in which they were accepted.
    connections: BTreeMap<u64, AdminConnection>,
    next_connection: u64,
    fleet: FleetEndpoint,
}

impl AdminListener {
    /// Binds the address and listens on it.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn listen(poll: &Poll, address: SocketAddr, fleet: FleetEndpoint) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        log::info!("admin listener bound to {}", listener.local_addr()?);
        listener.set_nonblocking(true)?;
        let listener = poll.register(listener, EventSource::AdminListener, Interest::READABLE)?;
        Ok(AdminListener {
            poll: poll.clone(),
            listener,
            connections: BTreeMap::new(),
            next_connection: 0,
            fleet,
        })
    }

    /// Accepts pending connections.
    pub fn accept(&mut self, now: Nanos, counters: &mut Counters) {
        for _ in 0..ACCEPT_MAX {
            match self.listener.socket().accept() {
                Ok((stream, _)) => self.add_connection(stream, now, counters),
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => return log::warn!("accepting admin connections failed: {e}"),
            }
        }
    }

    fn add_connection(&mut self, stream: TcpStream, now: Nanos, counters: &mut Counters) {
        if self.connections.len() >= CONNECTIONS_MAX {
            self.evict_connection(counters);
        }
        let number = self.next_connection;
        let registered = stream.set_nonblocking(true).and_then(|()| {
            let source = EventSource::AdminConnection(number);
            self.poll.register(stream, source, Interest::READABLE)
        });
        match registered {
            Ok(stream) => {
                self.next_connection += 1;
                self.connections
                    .insert(number, AdminConnection::new(stream, now));
            }
            Err(e) => log::warn!("admin connection: setting up the socket failed: {e}"),
        }
    }

    /// Closes the oldest connection whose response is delivered, or otherwise the oldest incomplete
    /// one without unread input, which gets an error, or otherwise the oldest one.
    fn evict_connection(&mut self, counters: &mut Counters) {
        let oldest = |predicate: fn(&AdminConnection) -> bool| {
            let found = self.connections.iter().find(|(_, c)| predicate(c));
            found.map(|(number, _)| *number)
        };
        let evicted = oldest(AdminConnection::is_delivered)
            .or_else(|| oldest(AdminConnection::is_waiting_for_input))
            .or_else(|| oldest(|_| true));
        let Some(number) = evicted else {
            return;
        };
        counters.admin_calls_evicted += 1;
        if self
            .connections
            .get(&number)
            .is_some_and(|c| !c.is_answered())
        {
            self.respond(number, HttpError::TooManyConnections.response());
        }
        self.connections.remove(&number);
    }

    /// Reads and writes as the readiness of a connection allows. Returns a request that is complete
    /// and waits for its response.
    pub fn handle_ready(
        &mut self,
        ready: Readiness,
        counters: &mut Counters,
    ) -> Option<AdminRequest> {
        let EventSource::AdminConnection(number) = ready.source else {
            return None;
        };
        let connection = self.connections.get_mut(&number)?;
        if connection.is_answered() {
            let stays_open = if ready.readable
                && !discard_before_close(connection.stream.socket(), DISCARD_MAX)
            {
                false
            } else {
                connection.written == connection.output.len() || connection.write()
            };
            if !stays_open {
                self.connections.remove(&number);
            }
            return None;
        }
        match connection.read() {
            Ok(ReadOutcome::Input) => {}
            Ok(ReadOutcome::Nothing) => return None,
            Ok(ReadOutcome::Ended) | Err(_) => {
                self.connections.remove(&number);
                return None;
            }
        }
        match parse_request(&connection.input, self.fleet) {
            Ok(command) => command.map(|command| {
                counters.admin_calls += 1;
                AdminRequest {
                    connection: number,
                    command,
                }
            }),
            Err(error) => {
                counters.admin_calls_invalid += 1;
                self.respond(number, error.response());
                None
            }
        }
    }

    /// Answers a request with the state of the process.
    pub fn answer(&mut self, connection: u64, status: u16, state: &str) {
        self.respond(connection, encode(status, "", &state_body(state)));
    }

    /// Answers a request with a JSON body.
    pub fn answer_json(&mut self, connection: u64, body: &str) {
        self.respond(connection, encode(200, "", body));
    }

    fn respond(&mut self, number: u64, response: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        connection.output = response;
        if !connection.write() {
            self.connections.remove(&number);
        }
    }

    /// Responds with status 408 to requests that are incomplete after [`REQUEST_TIMEOUT`], and
    /// closes connections that their peers have left open for too long.
    pub fn reap(&mut self, now: Nanos, counters: &mut Counters) {
        // Connections are not closed immediately after their response: input that still arrives
        // would reset them and could destroy the response.
        self.connections
            .retain(|_, connection| connection.age(now) < REQUEST_TIMEOUT + CLOSE_TIMEOUT);
        let is_overdue = |c: &AdminConnection| !c.is_answered() && c.age(now) >= REQUEST_TIMEOUT;
        let overdue: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_overdue(connection))
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            counters.admin_calls_incomplete += 1;
            self.respond(number, HttpError::Timeout.response());
        }
    }
}

#[cfg(test)]
mod tests;
