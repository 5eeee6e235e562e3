//! The pool of connections to the tile caches. A connection carries one job at a time. Abandoning a
//! job closes its connection and so affects no other job, and no response waits for a slower one.

mod address_book;
mod close_reason;
mod connection;
mod exchange;
mod idle;
mod input_memory;
mod reply;
mod responses;

pub use address_book::EndpointProcess;
pub use close_reason::CloseReason;
pub use exchange::{ExchangeResult, OutboundCommand, UpstreamEvent, UpstreamJob};

use crate::counters::Counters;
use crate::listener::resp::MemoryPressure;
use crate::poll::sockets::connect;
use crate::poll::{EventSource, Interest, Poll, Readiness};
use crate::timers::{TimerKind, Timers};
use address_book::{AddressBook, ProcessChange};
use close_reason::log_close;
use connection::{ConnectionState, UpstreamConnection};
use exchange::ConnectError;
use routing::{EndpointId, Nanos};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::ErrorKind;

/// Maximum number of bytes per read.
const READ_SIZE: usize = 32 * 1024;
/// Maximum number of bytes per read while memory is scarce.
const READ_SIZE_SCARCE_MEMORY: usize = 4 * 1024;
/// Number of a connection, unique in the process.
pub type ConnectionId = u64;

/// All endpoints with a process and all connections to endpoints.
pub struct UpstreamPool {
    poll: Poll,
    endpoints: AddressBook,
    connections: BTreeMap<ConnectionId, UpstreamConnection>,
    jobs: HashMap<UpstreamJob, ConnectionId>,
    next_connection: ConnectionId,
    max_connections: usize,
    connect_timeout: Nanos,
    /// Total number of bytes of incomplete responses.
    buffered_bytes: usize,
    max_buffered_bytes: usize,
    /// Connections whose responses are not read for lack of memory.
    paused_inputs: BTreeSet<ConnectionId>,
    /// Idle time after which a connection is closed, shorter than the timeout of the endpoint.
    idle_timeout: Nanos,
    /// Buffer of one read, shared by all connections.
    scratch: Vec<u8>,
    /// Maximum number of bytes per read.
    read_size: usize,
}

impl UpstreamPool {
    /// Creates a pool without endpoints and with at most `max_connections` open connections.
    /// `idle_timeout` is the time after which endpoints close idle connections.
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
            // A command written to a connection that the endpoint has just closed ends in a reset,
            // and an unsafe write that may have run can't be retried. The pool therefore closes
            // idle connections well before the endpoint does.
            idle_timeout: idle_timeout / 4 * 3,
            buffered_bytes: 0,
            max_buffered_bytes: usize::MAX,
            paused_inputs: BTreeSet::new(),
            scratch: vec![0; READ_SIZE],
            read_size: READ_SIZE,
        }
    }

    /// Sets the maximum number of connections. Open connections over the new maximum stay open.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Sets the maximum total number of bytes of incomplete responses. Reading of a response that
    /// exceeds it is paused; the reply to a health check counts as unreadable.
    pub fn set_max_buffered_bytes(&mut self, bytes: usize) {
        self.max_buffered_bytes = bytes;
    }

    /// Reads in small steps while memory is scarce, so that responses which their clients can't
    /// accept are paused early.
    pub fn set_memory_pressure(&mut self, memory: MemoryPressure) {
        self.read_size = match memory {
            MemoryPressure::Low => READ_SIZE,
            MemoryPressure::High => READ_SIZE_SCARCE_MEMORY,
        };
    }

    /// Sets the process of an endpoint; the endpoint accepts commands until it is drained.
    /// Connections to its former process carry no new commands. Returns whether the process changed.
    pub fn set_process(
        &mut self,
        endpoint: EndpointId,
        process: EndpointProcess,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) -> bool {
        let change = self.endpoints.set_process(endpoint, process);
        if change == ProcessChange::Replaced {
            self.close_unwritten(endpoint, events, counters);
        }
        change != ProcessChange::Unchanged
    }

    /// Stops sending new commands to an endpoint. Fails jobs of which nothing is written yet: a
    /// connection that is established after the drain grace must not carry them.
    pub fn drain(
        &mut self,
        endpoint: EndpointId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        self.endpoints.set_draining(endpoint);
        self.close_unwritten(endpoint, events, counters);
    }

    /// Removes the process of an endpoint that has left the endpoint list. No new command can be
    /// sent to it.
    pub fn remove_endpoint(&mut self, endpoint: EndpointId) {
        self.endpoints.remove(endpoint);
    }

    /// Returns the endpoints that have a process.
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
        predicate: impl Fn(&UpstreamConnection) -> bool,
    ) -> Vec<ConnectionId> {
        let matching = self.connections.iter().filter(|(_, c)| predicate(c));
        matching.map(|(number, _)| *number).collect()
    }

    /// Assigns a job to an idle connection or to a new one. Reports [`UpstreamEvent::Connected`]
    /// once the connection is established, or [`UpstreamEvent::Completed`] if that is impossible.
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
            may_use_reserve,
        } = command;
        if !may_use_reserve && self.is_only_reserve_left() {
            let result = ConnectError::OnlyReserve.into();
            return events.push(UpstreamEvent::Completed { job, result });
        }
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

    /// Opens a connection for a job.
    fn connect(
        &mut self,
        now: Nanos,
        job: UpstreamJob,
        endpoint: EndpointId,
        counters: &mut Counters,
    ) -> Result<ConnectionId, ConnectError> {
        let process = self.endpoints.process(endpoint);
        let process = process.ok_or(ConnectError::Unavailable(endpoint))?;
        let address = process.address;
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
        let connection = UpstreamConnection::new(endpoint, process, socket, job, now);
        self.connections.insert(number, connection);
        self.jobs.insert(job, number);
        self.endpoints.add_connection(endpoint);
        Ok(number)
    }

    /// Writes the command of a job whose connection is established.
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
        // The command is written once, even if the connection is reported as established
        // repeatedly.
        let connection = self.connections.get_mut(&number);
        let Some(connection) = connection.filter(|c| c.is_assigned()) else {
            return;
        };
        let round_trip = self.endpoints.round_trip(connection.endpoint);
        connection.begin(job, command, round_trip);
        self.write(number, events, counters);
    }

    /// Returns whether the last byte of the job's command is not written yet, so that the command
    /// can't have run.
    #[must_use]
    pub fn is_unsent(&self, job: UpstreamJob) -> bool {
        let connection = self.jobs.get(&job).and_then(|n| self.connections.get(n));
        connection.is_some_and(|c| c.is_assigned() || c.has_unwritten_bytes())
    }

    /// Abandons a job by closing its connection. No further event is reported for the job.
    pub fn abandon(&mut self, job: UpstreamJob, reason: CloseReason, counters: &mut Counters) {
        if let Some(number) = self.jobs.get(&job).copied() {
            self.close(number, reason, counters);
        }
    }

    /// Fails the job of a connection that was not established in time.
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

    /// Returns whether the response to a job has begun to arrive.
    #[must_use]
    pub fn has_response_begun(&self, job: UpstreamJob) -> bool {
        let connection = self.jobs.get(&job).and_then(|n| self.connections.get(n));
        connection.is_some_and(UpstreamConnection::has_response_begun)
    }

    /// Returns whether the endpoint has ended the connection before the value of this job that is
    /// being forwarded was complete.
    #[must_use]
    pub fn has_broken_off(&self, job: UpstreamJob) -> bool {
        let connection = self.jobs.get(&job).and_then(|n| self.connections.get(n));
        connection.is_some_and(UpstreamConnection::has_broken_off)
    }

    /// Begins to forward the long value of a job, however little of it has arrived.
    pub fn start_stream(
        &mut self,
        now: Nanos,
        job: UpstreamJob,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let Some(number) = self.jobs.get(&job).copied() else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.stream_at_once();
            self.process_input(number, now, timers, events, counters);
        }
    }

    /// Handles a response that has begun and makes no progress. A long value that is being forwarded
    /// is aborted, so that its client detects that it is incomplete; a health check fails. Any other
    /// response may still arrive, so its stall is only reported.
    pub fn handle_stall_timeout(
        &mut self,
        now: Nanos,
        number: ConnectionId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let connection = self.connections.get(&number);
        let Some(connection) = connection.filter(|c| c.is_stalled(now)) else {
            return;
        };
        counters.upstream_stalled += 1;
        match connection.job() {
            Some(job @ UpstreamJob::Attempt(..)) if !connection.is_streaming() => {
                events.push(UpstreamEvent::ResponseStalled { job });
            }
            _ => self.fail(number, ExchangeResult::Unreadable, events, counters),
        }
    }

    /// Stops reading the response to a job because its client can't accept more of it.
    pub fn pause(&mut self, now: Nanos, job: UpstreamJob) {
        self.set_paused(now, job, true);
    }

    /// Resumes reading after [`UpstreamPool::pause`].
    pub fn resume(&mut self, now: Nanos, job: UpstreamJob, timers: &mut Timers) {
        if let Some((number, stall_timeout)) = self.set_paused(now, job, false) {
            timers.set(now + stall_timeout, TimerKind::ResponseStall(number));
        }
    }

    /// Pauses or resumes reading. Returns the connection and its stall timeout, or `None` if
    /// nothing changed.
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
            // The connection stays as it was. If pausing failed, reading continues and the unsent
            // bytes of the client grow, which is better than a response that never ends. If
            // resuming failed, the connection stays paused, and no stall timeout ends its response.
            log::warn!(
                "connection to endpoint {}: pausing or resuming reads failed: {e}",
                connection.endpoint.0
            );
            return None;
        }
        Some((number, connection.stall_timeout()))
    }

    /// Completes the establishment of a connection, or reads and writes as its readiness allows.
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
            let connect_time = now.saturating_sub(connection.last_progress);
            self.endpoints
                .record_connect_time(connection.endpoint, connect_time);
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

    /// Closes a connection and reports the result of its job.
    fn fail(
        &mut self,
        number: ConnectionId,
        result: ExchangeResult,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        if let Some(job) = self.close(number, CloseReason::from(&result), counters) {
            events.push(UpstreamEvent::Completed { job, result });
        }
    }

    /// Closes a connection. Returns its job, if it had one.
    fn close(
        &mut self,
        number: ConnectionId,
        reason: CloseReason,
        counters: &mut Counters,
    ) -> Option<UpstreamJob> {
        let connection = self.connections.remove(&number)?;
        log_close(number, &connection, connection.job(), reason);
        self.buffered_bytes -= connection.input.len();
        self.paused_inputs.remove(&number);
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
