//! The admin listener: HTTP/1.1, one request to a connection. It reads requests and writes
//! responses; what a command does is the lifecycle's. A silent connection keeps no other waiting.

mod http;

pub use http::FleetEndpoint;

use super::CLOSE_TIMEOUT;
use crate::counters::Counters;
use crate::poll::sockets::discard;
use crate::poll::{EventSource, Interest, Poll, Readiness, Registered};
use crate::timers::MS;
use http::{HEAD_MAX, HttpError, encode, parse_request, state_body};
use routing::Nanos;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Connections that are open at once; one more evicts the one that is unfinished longest.
pub const CONNECTIONS_MAX: usize = 12;
/// At most this many are accepted in one turn.
const ACCEPT_MAX: usize = 64;
/// A request has to be whole this long after its connection was accepted.
const REQUEST_TIMEOUT: Nanos = 2_000 * MS;
/// This much is read behind a request, so that closing doesn't reset the response away.
const DISCARD_MAX: usize = 64 * 1024;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Whether this process is ready to serve.
    Health,
    /// Drain.
    Quiesce,
    /// End the drain.
    Resume,
    /// The fleet as this member sees it.
    Fleet,
}

/// A request that waits for its response.
#[derive(Debug, PartialEq, Eq)]
pub struct AdminRequest {
    /// The number of its connection.
    pub connection: u64,
    /// What is asked for.
    pub command: AdminCommand,
}

struct AdminConnection {
    stream: Registered<TcpStream>,
    accepted_at: Nanos,
    input: Vec<u8>,
    /// The response; empty until there is one.
    output: Vec<u8>,
    /// How much of the response is written.
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

    fn age(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.accepted_at)
    }

    /// Reads once. Whether input came, or may still come.
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

    /// Writes what the socket takes. Once all is written the peer has to close: closing over what
    /// it still sends would reset the response away. False if the connection is of no further use.
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
            if socket.shutdown(Shutdown::Write).is_err() || !discard(socket, DISCARD_MAX) {
                return false;
            }
        }
        self.stream
            .set_interest(Interest::readable_and(unsent))
            .is_ok()
    }
}

/// What a read yielded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadOutcome {
    Input,
    Nothing,
    Ended,
}

/// The admin socket and its connections.
pub struct AdminListener {
    poll: Poll,
    listener: Registered<TcpListener>,
    /// By number, and so in the order in which they were accepted.
    connections: BTreeMap<u64, AdminConnection>,
    next_connection: u64,
    fleet: FleetEndpoint,
}

impl AdminListener {
    /// Listens on this address.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn listen(poll: &Poll, address: SocketAddr, fleet: FleetEndpoint) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        log::info!("management listens on {}", listener.local_addr()?);
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

    /// Accepts the connections that wait.
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
                Err(e) => return log::warn!("accepting management calls: {e}"),
            }
        }
    }

    fn add_connection(&mut self, stream: TcpStream, now: Nanos, counters: &mut Counters) {
        if self.connections.len() >= CONNECTIONS_MAX {
            self.evict_one(counters);
        }
        let number = self.next_connection;
        let watched = stream.set_nonblocking(true).and_then(|()| {
            let source = EventSource::AdminConnection(number);
            self.poll.register(stream, source, Interest::READABLE)
        });
        match watched {
            Ok(stream) => {
                self.next_connection += 1;
                self.connections
                    .insert(number, AdminConnection::new(stream, now));
            }
            Err(e) => log::warn!("management call: {e}"),
        }
    }

    /// Closes the connection that is unfinished longest, or else the oldest.
    fn evict_one(&mut self, counters: &mut Counters) {
        let unfinished = self.connections.iter().find(|(_, c)| !c.is_answered());
        if let Some((&number, _)) = unfinished.or(self.connections.first_key_value()) {
            counters.admin_calls_evicted += 1;
            self.connections.remove(&number);
        }
    }

    /// Reads and writes what a connection is ready for. Returns a request that waits for its
    /// response.
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
            let stays_open = if ready.readable && !discard(connection.stream.socket(), DISCARD_MAX)
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

    /// Answers a request with the state that the process is in.
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

    /// Ends requests that were not whole in time, and answered connections that stay open.
    pub fn reap(&mut self, now: Nanos, counters: &mut Counters) {
        // Not closed at once: what still comes would reset the response away.
        self.connections
            .retain(|_, connection| connection.age(now) < REQUEST_TIMEOUT + CLOSE_TIMEOUT);
        let is_late = |c: &AdminConnection| !c.is_answered() && c.age(now) >= REQUEST_TIMEOUT;
        let late: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_late(connection))
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            counters.admin_calls_incomplete += 1;
            self.respond(number, HttpError::Timeout.response());
        }
    }
}

#[cfg(test)]
mod tests;
