//! The pool of connections to the tile caches. A connection carries one job at a time, so that
//! abandoning a job (by closing its connection) affects no other, and no answer waits for a slower
//! one before it.

mod address_book;
mod connection;
mod exchange;
mod idle;
mod reply;

pub use exchange::{ExchangeResult, OutboundCommand, UpstreamEvent, UpstreamJob};

use crate::counters::Counters;
use crate::poll::sockets::connect;
use crate::poll::{EventSource, Interest, Poll, Readiness};
use crate::timers::{TimerKind, Timers};
use address_book::{AddressBook, AddressChange};
use connection::{ConnectionState, UpstreamConnection};
use exchange::ConnectError;
use reply::ParsedReply;
use routing::{EndpointId, Nanos};
use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Bytes that one read takes at most.
const READ_SIZE: usize = 32 * 1024;
/// Bytes of an unreadable answer that are logged.
const LOGGED_BYTES: usize = 64;

/// A connection's number, unique in the process.
pub type ConnectionId = u64;

/// All endpoints and the connections to them.
pub struct UpstreamPool {
    poll: Poll,
    endpoints: AddressBook,
    connections: BTreeMap<ConnectionId, UpstreamConnection>,
    jobs: HashMap<UpstreamJob, ConnectionId>,
    next_connection: ConnectionId,
    max_connections: usize,
    connect_timeout: Nanos,
    /// Bytes of answers that have begun, and how many there may be.
    buffered_bytes: usize,
    max_buffered_bytes: usize,
    /// Idle connections are closed after this, before the endpoint would.
    idle_timeout: Nanos,
    /// Where each read puts its bytes.
    scratch: Vec<u8>,
}

impl UpstreamPool {
    /// A pool without endpoints that holds at most `max_connections` at once.
    #[must_use]
    pub fn new(
        poll: &Poll,
        max_connections: usize,
        connect_timeout: Nanos,
        idle_timeout: Nanos,
    ) -> Self {
        UpstreamPool {
            poll: poll.clone(),
            endpoints: AddressBook::default(),
            connections: BTreeMap::new(),
            jobs: HashMap::new(),
            next_connection: 0,
            max_connections,
            connect_timeout,
            // A command written to a connection that the endpoint has just closed ends as a reset,
            // and a write that may have run can't be repeated: close well before that.
            idle_timeout: idle_timeout / 4 * 3,
            buffered_bytes: 0,
            max_buffered_bytes: usize::MAX,
            scratch: vec![0; READ_SIZE],
        }
    }

    /// Changes how many connections may be open; those that are open beyond it stay.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Changes how many bytes of answers that have begun may be held together; an answer that goes
    /// beyond it counts as unreadable.
    pub fn set_max_buffered_bytes(&mut self, bytes: usize) {
        self.max_buffered_bytes = bytes;
    }

    /// Notes an endpoint's address; commands go there until it is drained. Connections to its
    /// former address carry no new commands. Returns whether the address is new.
    pub fn set_address(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) -> bool {
        let change = self.endpoints.set_address(endpoint, address);
        if change == AddressChange::Moved {
            self.close_unwritten(endpoint, events, counters);
        }
        change != AddressChange::Unchanged
    }

    /// The endpoint takes no new commands. A command that has not begun to be written never will
    /// be: a connection that comes up after the drain grace must not carry it.
    pub fn drain(
        &mut self,
        endpoint: EndpointId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        self.endpoints.set_draining(endpoint);
        self.close_unwritten(endpoint, events, counters);
    }

    /// The endpoint left the list: nothing new can be sent to it.
    pub fn remove_endpoint(&mut self, endpoint: EndpointId) {
        self.endpoints.remove(endpoint);
    }

    /// The endpoints with an address.
    #[must_use]
    pub fn listed_endpoints(&self) -> Vec<EndpointId> {
        self.endpoints.listed_endpoints().collect()
    }

    fn close_unwritten(
        &mut self,
        endpoint: EndpointId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let unwritten =
            |c: &UpstreamConnection| c.endpoint == endpoint && c.written == 0 && c.job().is_some();
        for number in self.connections_where(unwritten) {
            self.fail(number, ExchangeResult::ConnectFailed, events, counters);
        }
        self.close_idle(endpoint, counters);
    }

    fn connections_where(
        &self,
        is_meant: impl Fn(&UpstreamConnection) -> bool,
    ) -> Vec<ConnectionId> {
        let meant = self.connections.iter().filter(|(_, c)| is_meant(c));
        meant.map(|(number, _)| *number).collect()
    }

    /// Finds a connection for a job, an idle one or a new one. Either it is up now or later, or
    /// the job is over.
    pub fn dispatch(
        &mut self,
        now: Nanos,
        command: OutboundCommand,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let OutboundCommand {
            job,
            endpoint,
            deadline,
        } = command;
        if self.assign_idle(now, job, endpoint, counters) {
            return events.push(UpstreamEvent::Connected { job });
        }
        match self.connect(now, job, endpoint, counters) {
            Ok(number) => {
                let due = deadline.min(now + self.connect_timeout);
                timers.set(due, TimerKind::Connect(number));
            }
            Err(error) => {
                if matches!(error, ConnectError::Socket { .. }) {
                    log::warn!("{error}");
                }
                let result = error.into();
                events.push(UpstreamEvent::Completed { job, result });
            }
        }
    }

    /// Begins a connection for a job.
    fn connect(
        &mut self,
        now: Nanos,
        job: UpstreamJob,
        endpoint: EndpointId,
        counters: &mut Counters,
    ) -> Result<ConnectionId, ConnectError> {
        let address = self.endpoints.address(endpoint);
        let address = address.ok_or(ConnectError::Unavailable(endpoint))?;
        self.ensure_capacity(endpoint, counters)?;
        let stream = connect(address).map_err(|source| match source.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::NetworkUnreachable
            | ErrorKind::HostUnreachable => ConnectError::Unreachable { address, source },
            _ => ConnectError::Socket { address, source },
        })?;
        let number = self.next_connection;
        let socket = self
            .poll
            .register(stream, EventSource::Upstream(number), Interest::WRITABLE)
            .map_err(|source| ConnectError::Socket { address, source })?;
        self.next_connection += 1;
        counters.upstream_opened += 1;
        let connection = UpstreamConnection::new(endpoint, address, socket, job, now);
        self.connections.insert(number, connection);
        self.jobs.insert(job, number);
        self.endpoints.add_connection(endpoint);
        Ok(number)
    }

    /// Writes a job's command; its connection is up.
    pub fn send_command(
        &mut self,
        job: UpstreamJob,
        command: Vec<u8>,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let Some(number) = self.jobs.get(&job).copied() else {
            return;
        };
        // A job begins once, however often its connection is reported to be up.
        let connection = self.connections.get_mut(&number);
        let Some(connection) = connection.filter(|c| c.is_assigned()) else {
            return;
        };
        let round_trip = self.endpoints.round_trip(connection.endpoint);
        connection.begin(job, command, round_trip);
        self.write(number, events, counters);
    }

    /// Whether this job's last byte is not written: its command never ran.
    #[must_use]
    pub fn is_unsent(&self, job: UpstreamJob) -> bool {
        let connection = self.jobs.get(&job).and_then(|n| self.connections.get(n));
        connection.is_some_and(|c| c.is_assigned() || c.has_unwritten_bytes())
    }

    /// Gives a job up by closing its connection. No event of it follows.
    pub fn abandon(&mut self, job: UpstreamJob, counters: &mut Counters) {
        let Some(number) = self.jobs.get(&job).copied() else {
            return;
        };
        if let Some(c) = self.connections.get(&number) {
            log::trace!(
                connection = number, begun = !c.is_assigned(), jobs = c.jobs,
                written = c.written, of = c.command.len(), received = c.input.len();
                "{job:?} abandoned at endpoint {}", c.endpoint.0
            );
        }
        self.close(number, counters);
    }

    /// Fails the job of a connection that is not up in time.
    pub fn handle_connect_timeout(
        &mut self,
        number: ConnectionId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let connection = self.connections.get(&number);
        if connection.is_some_and(UpstreamConnection::is_assigned) {
            self.fail(number, ExchangeResult::ConnectFailed, events, counters);
        }
    }

    /// Fails the job of a connection whose answer has begun and makes no progress.
    pub fn handle_stall_timeout(
        &mut self,
        now: Nanos,
        number: ConnectionId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let connection = self.connections.get(&number);
        if connection.is_some_and(|c| c.is_stalled(now)) {
            counters.upstream_stalled += 1;
            self.fail(number, ExchangeResult::Unreadable, events, counters);
        }
    }

    /// Stops reading the answer to a job, for the client can't take more of it.
    pub fn pause(&mut self, now: Nanos, job: UpstreamJob) {
        self.set_paused(now, job, true);
    }

    /// Reads on after [`UpstreamPool::pause`].
    pub fn resume(&mut self, now: Nanos, job: UpstreamJob, timers: &mut Timers) {
        if let Some((number, stall_timeout)) = self.set_paused(now, job, false) {
            timers.set(now + stall_timeout, TimerKind::ResponseStall(number));
        }
    }

    /// The connection that was paused or resumed, with its stall timeout.
    fn set_paused(
        &mut self,
        now: Nanos,
        job: UpstreamJob,
        paused: bool,
    ) -> Option<(ConnectionId, Nanos)> {
        let number = self.jobs.get(&job).copied()?;
        let connection = self.connections.get_mut(&number)?;
        if connection.paused == paused {
            return None;
        }
        if let Err(e) = connection.set_paused(now, paused) {
            // It is read on: better a longer buffer than an answer that never ends.
            log::warn!("connection to endpoint {}: {e}", connection.endpoint.0);
            return None;
        }
        Some((number, connection.stall_timeout()))
    }

    /// Reads and writes what a connection is ready for.
    pub fn handle_ready(
        &mut self,
        now: Nanos,
        ready: Readiness,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let EventSource::Upstream(number) = ready.source else {
            return;
        };
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        if let ConnectionState::Assigned(job) = connection.state {
            if !connection.is_established() {
                return self.fail(number, ExchangeResult::ConnectFailed, events, counters);
            }
            let took = now.saturating_sub(connection.last_progress);
            self.endpoints
                .record_connect_time(connection.endpoint, took);
            return events.push(UpstreamEvent::Connected { job });
        }
        if ready.readable {
            self.read(number, now, timers, events, counters);
        }
        if ready.writable {
            self.write(number, events, counters);
        }
    }

    fn write(
        &mut self,
        number: ConnectionId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let connection = self.connections.get_mut(&number);
        if let Some(Err(result)) = connection.map(UpstreamConnection::write) {
            self.fail(number, result, events, counters);
        }
    }

    fn read(
        &mut self,
        number: ConnectionId,
        now: Nanos,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        match connection.receive(now, &mut self.scratch) {
            Ok(0) => return,
            Ok(received) => self.buffered_bytes += received,
            Err(result) => return self.fail(number, result, events, counters),
        }
        let Some(job) = connection.job() else {
            // Nothing was asked for, so it is unknown to which job these bytes would be counted.
            self.close(number, counters);
            return;
        };
        let before = connection.input.len();
        let parsed = connection.parse(job, events);
        self.buffered_bytes -= before - connection.input.len();
        match parsed {
            Ok(Some(reply)) => self.complete(number, job, reply, now, events, counters),
            // Each message is bounded by the parser; all that have begun are bounded together.
            Ok(None) if self.buffered_bytes <= self.max_buffered_bytes => {
                if !connection.has_unwritten_bytes() {
                    timers.set(
                        now + connection.stall_timeout(),
                        TimerKind::ResponseStall(number),
                    );
                }
            }
            Ok(None) | Err(_) => {
                let length = connection.input.len().min(LOGGED_BYTES);
                log::debug!(
                    "endpoint {}: an answer can't be read: {}",
                    connection.endpoint.0,
                    connection.input[..length].escape_ascii()
                );
                counters.upstream_unreadable += 1;
                let result = connection.result_if_unreadable();
                self.fail(number, result, events, counters);
            }
        }
    }

    /// A job's reply has arrived. The connection becomes idle, or is closed if it can't carry
    /// another job: the reply came early, lacks its end or is followed by further bytes, so that
    /// the start of the next one is unknown; or the endpoint drains or has moved, and the address
    /// might be another cache's by the time of the next job.
    fn complete(
        &mut self,
        number: ConnectionId,
        job: UpstreamJob,
        reply: ParsedReply,
        now: Nanos,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let ParsedReply { result, length } = reply;
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let ends_cleanly =
            length == Some(connection.input.len()) && !connection.has_unwritten_bytes();
        let address = self.endpoints.address(connection.endpoint);
        if !ends_cleanly || address != Some(connection.address) {
            return self.fail(number, result, events, counters);
        }
        self.endpoints.add_idle(connection.endpoint, number);
        self.buffered_bytes -= connection.input.len();
        connection.release(now);
        self.jobs.remove(&job);
        events.push(UpstreamEvent::Completed { job, result });
    }

    /// Closes a connection and says how its job ended.
    fn fail(
        &mut self,
        number: ConnectionId,
        result: ExchangeResult,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        if let Some(job) = self.close(number, counters) {
            events.push(UpstreamEvent::Completed { job, result });
        }
    }

    /// Closes a connection; its job, if it had one, is over.
    fn close(&mut self, number: ConnectionId, counters: &mut Counters) -> Option<UpstreamJob> {
        let connection = self.connections.remove(&number)?;
        self.buffered_bytes -= connection.input.len();
        counters.upstream_closed += 1;
        self.endpoints
            .remove_connection(connection.endpoint, number);
        let job = connection.job()?;
        self.jobs.remove(&job);
        Some(job)
    }
}

#[cfg(test)]
mod tests;
