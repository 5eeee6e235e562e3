//! State machine of one connection to an endpoint: assigned to a job, busy with it, or idle.

use super::address_book::EndpointProcess;
use super::exchange::{ExchangeResult, UpstreamEvent, UpstreamJob};
use super::reply::{ParsedReply, parse_reply};
use crate::poll::sockets::{has_peer_closed, unread_bytes};
use crate::poll::{Interest, Registered};
use crate::resp::RespError;
use crate::response_stream::{ResponseStream, StreamStart, StreamTail, has_long_value};
use crate::timers::MS;
use routing::{EndpointId, Nanos};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

/// Minimum time without progress after which a response that has begun counts as stalled. Caches
/// send most responses without pauses, and the parts arrive within a round trip of each other.
pub(super) const STALL_TIMEOUT: Nanos = 40 * MS;
/// Number of round trips without progress after which the response of a distant cache counts as
/// stalled. The resulting time is limited to [`STREAM_START_STALL_TIMEOUT`]: the measured round
/// trip is too long if the only connection so far was delayed while it was established.
pub(super) const STALL_ROUND_TRIPS: u64 = 3;
/// Stall timeout of a long value of which nothing has been forwarded yet. Long values may arrive
/// slowly.
pub(super) const STREAM_START_STALL_TIMEOUT: Nanos = 500 * MS;
/// Stall timeout of a long value that is being forwarded, after which it is aborted. It is long, as
/// no other attempt can replace the value any more.
pub(super) const STREAM_STALL_TIMEOUT: Nanos = 5_000 * MS;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// The connection has a job of which nothing is written. Usually it is not established yet.
    Assigned(UpstreamJob),
    /// The job's command is being written, or its response is awaited.
    Busy(UpstreamJob),
    Idle {
        since: Nanos,
    },
}

/// A connection to an endpoint. It carries at most one job at a time.
pub(super) struct UpstreamConnection {
    pub(super) endpoint: EndpointId,
    /// Process that the connection was opened to. The endpoint may have another one by now.
    pub(super) process: EndpointProcess,
    pub(super) socket: Registered<TcpStream>,
    pub(super) state: ConnectionState,
    /// Encoded command of the job; empty once it is written, as its request still holds the value.
    command: Vec<u8>,
    /// Length of the encoded command.
    pub(super) command_length: usize,
    /// Number of bytes of the command that are written.
    pub(super) written: usize,
    pub(super) input: Vec<u8>,
    /// Number of jobs carried, including the current one.
    pub(super) jobs: u32,
    /// Time of the last received bytes, of the last pause or resume, or of the opening. Paused
    /// connections do not stall.
    pub(super) last_progress: Nanos,
    /// Stall timeout of a response that is not a long value; set when the command is written.
    pub(super) response_stall_timeout: Nanos,
    /// When the forwarding of a long value begins.
    stream_start: StreamStart,
    /// Long value that is being forwarded.
    stream: Option<ResponseStream>,
    /// Whether the head of a long value has been reported.
    has_reported_long_value: bool,
    /// Whether reading is paused because the client can't accept more.
    pub(super) paused: bool,
}

impl UpstreamConnection {
    /// Creates the state of a connection that was opened for a job.
    pub(super) fn new(
        endpoint: EndpointId,
        process: EndpointProcess,
        socket: Registered<TcpStream>,
        job: UpstreamJob,
        now: Nanos,
    ) -> Self {
        UpstreamConnection {
            endpoint,
            process,
            socket,
            state: ConnectionState::Assigned(job),
            command: Vec::new(),
            command_length: 0,
            written: 0,
            input: Vec::new(),
            jobs: 1,
            last_progress: now,
            response_stall_timeout: STALL_TIMEOUT,
            stream_start: StreamStart::AtThreshold,
            stream: None,
            has_reported_long_value: false,
            paused: false,
        }
    }

    /// Assigns a job to an idle connection.
    pub(super) fn assign(&mut self, job: UpstreamJob) {
        self.state = ConnectionState::Assigned(job);
        self.jobs += 1;
    }

    /// Sets the command of the assigned job; it is written by [`UpstreamConnection::write`].
    pub(super) fn begin(&mut self, job: UpstreamJob, command: Vec<u8>, round_trip: Option<Nanos>) {
        self.state = ConnectionState::Busy(job);
        (self.command_length, self.written) = (command.len(), 0);
        self.command = command;
        self.response_stall_timeout = round_trip
            .unwrap_or_default()
            .saturating_mul(STALL_ROUND_TRIPS)
            .clamp(STALL_TIMEOUT, STREAM_START_STALL_TIMEOUT);
    }

    /// Makes the connection idle after its job, ready for another one.
    pub(super) fn release(&mut self, now: Nanos) {
        self.state = ConnectionState::Idle { since: now };
        self.command = Vec::new();
        (self.command_length, self.written) = (0, 0);
        self.input = Vec::new();
        self.stream_start = StreamStart::AtThreshold;
        self.stream = None;
        self.has_reported_long_value = false;
    }

    pub(super) fn job(&self) -> Option<UpstreamJob> {
        match self.state {
            ConnectionState::Assigned(job) | ConnectionState::Busy(job) => Some(job),
            ConnectionState::Idle { .. } => None,
        }
    }

    pub(super) fn idle_since(&self) -> Option<Nanos> {
        match self.state {
            ConnectionState::Idle { since } => Some(since),
            ConnectionState::Assigned(_) | ConnectionState::Busy(_) => None,
        }
    }

    /// Returns whether the connection has a job of which nothing is written.
    pub(super) fn is_assigned(&self) -> bool {
        matches!(self.state, ConnectionState::Assigned(_))
    }

    /// Returns whether a part of the command is not written yet, so that the command can't have
    /// run.
    pub(super) fn has_unwritten_bytes(&self) -> bool {
        self.written < self.command_length
    }

    /// Returns whether the socket is connected.
    pub(super) fn is_established(&self) -> bool {
        let socket = self.socket.socket();
        matches!(socket.take_error(), Ok(None)) && socket.peer_addr().is_ok()
    }

    /// Returns the maximum time without progress of the current response.
    pub(super) fn stall_timeout(&self) -> Nanos {
        match &self.stream {
            Some(_) => STREAM_STALL_TIMEOUT,
            None if has_long_value(&self.input) => STREAM_START_STALL_TIMEOUT,
            None => self.response_stall_timeout,
        }
    }

    /// Returns whether the response has begun and is incomplete.
    pub(super) fn has_response_begun(&self) -> bool {
        self.job().is_some() && (self.stream.is_some() || !self.input.is_empty())
    }

    /// Returns whether a long value is being forwarded.
    pub(super) fn is_streaming(&self) -> bool {
        self.stream.is_some()
    }

    /// Returns whether the endpoint has ended the connection before the value that is being forwarded
    /// was complete. This is known even while reading is paused.
    pub(super) fn has_broken_off(&self) -> bool {
        let Some(stream) = &self.stream else {
            return false;
        };
        let socket = self.socket.socket();
        has_peer_closed(socket) && unread_bytes(socket) < stream.remaining()
    }

    /// Begins to forward a long value as soon as its header has arrived.
    pub(super) fn stream_at_once(&mut self) {
        self.stream_start = StreamStart::Immediate;
    }

    /// Returns whether the response has begun, is incomplete and has exceeded its stall timeout.
    pub(super) fn is_stalled(&self, now: Nanos) -> bool {
        self.has_response_begun()
            && !self.paused
            && now >= self.last_progress + self.stall_timeout()
    }

    /// Returns the result of the job if the connection breaks now.
    pub(super) fn result_if_broken(&self) -> ExchangeResult {
        if self.has_unwritten_bytes() {
            ExchangeResult::ConnectFailed
        } else {
            ExchangeResult::Reset
        }
    }

    /// Returns the result of the job if its response is unreadable.
    pub(super) fn result_if_unreadable(&self) -> ExchangeResult {
        if self.has_unwritten_bytes() {
            ExchangeResult::ConnectFailed
        } else {
            ExchangeResult::Unreadable
        }
    }

    /// Writes as much of the command as the socket accepts, and updates the interest of the poller.
    ///
    /// # Errors
    ///
    /// Returns the result of the job if the connection is broken.
    pub(super) fn write(&mut self) -> Result<(), ExchangeResult> {
        while self.has_unwritten_bytes() {
            match self.socket.socket().write(&self.command[self.written..]) {
                Ok(0) => return Err(ExchangeResult::ConnectFailed),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(ExchangeResult::ConnectFailed),
            }
        }
        let unwritten = self.has_unwritten_bytes();
        if !unwritten {
            self.command = Vec::new();
        }
        self.socket
            .set_interest(Interest::readable_and(unwritten))
            .map_err(|_| self.result_if_broken())
    }

    /// Reads once. Returns the number of bytes received, 0 if the socket had none.
    ///
    /// # Errors
    ///
    /// Returns the result of the job if the connection is closed or broken.
    pub(super) fn receive(
        &mut self,
        now: Nanos,
        scratch: &mut [u8],
    ) -> Result<usize, ExchangeResult> {
        match self.socket.socket().read(scratch) {
            Ok(0) => Err(self.result_if_broken()),
            Ok(n) => {
                self.last_progress = now;
                // Without spare capacity, as the total of all responses is limited by their bytes.
                self.input.reserve_exact(n);
                self.input.extend_from_slice(&scratch[..n]);
                Ok(n)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
            Err(_) => Err(self.result_if_broken()),
        }
    }

    /// Parses the received bytes. Returns the reply if it is complete. The next part of a long
    /// value is added to `events`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes violate the protocol.
    pub(super) fn parse(
        &mut self,
        job: UpstreamJob,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<Option<ParsedReply>, RespError> {
        let may_stream = !self.has_unwritten_bytes() && matches!(job, UpstreamJob::Attempt(..));
        if self.stream.is_none() && may_stream {
            self.begin_stream(job, events);
        }
        let Some(stream) = &mut self.stream else {
            return parse_reply(job, &self.input);
        };
        let bytes = stream.take_chunk(&mut self.input);
        if !bytes.is_empty() {
            events.push(UpstreamEvent::StreamChunk { job, bytes });
        }
        let tail = stream.tail(&self.input)?;
        Ok(tail.map(|StreamTail { response, length }| ParsedReply {
            result: ExchangeResult::Response(response),
            length,
        }))
    }

    /// Begins to forward a long value if enough of it has arrived, or reports its head.
    fn begin_stream(&mut self, job: UpstreamJob, events: &mut Vec<UpstreamEvent>) {
        if let Some((stream, length)) = ResponseStream::begin(&mut self.input, self.stream_start) {
            self.stream = Some(stream);
            events.push(UpstreamEvent::StreamStarted { job, length });
        } else if !self.has_reported_long_value && has_long_value(&self.input) {
            self.has_reported_long_value = true;
            events.push(UpstreamEvent::LongValueBegun { job });
        }
    }

    /// Pauses or resumes reading.
    ///
    /// # Errors
    ///
    /// Returns the error of the poller. Reading is then neither paused nor resumed.
    pub(super) fn set_paused(&mut self, now: Nanos, paused: bool) -> io::Result<()> {
        let interest = if paused {
            Interest::NONE
        } else {
            Interest::READABLE
        };
        self.socket.set_interest(interest)?;
        self.paused = paused;
        self.last_progress = now;
        Ok(())
    }
}
