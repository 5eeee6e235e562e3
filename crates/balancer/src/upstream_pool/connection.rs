//! The state machine of one connection to an endpoint: assigned to a job, busy with it, idle.

use super::exchange::{ExchangeResult, UpstreamEvent, UpstreamJob};
use super::reply::{ParsedReply, parse_reply};
use crate::poll::{Interest, Registered};
use crate::resp::RespError;
use crate::response_stream::{ResponseStream, StreamTail, is_long};
use crate::timers::MS;
use routing::{EndpointId, Nanos};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// An answer that has begun and makes no progress for this long has ended short: caches send an
/// answer at once, and its parts follow each other within a round trip ...
pub(super) const STALL_TIMEOUT: Nanos = 40 * MS;
/// ... or, for a far cache, for this many round trips, up to [`STREAM_START_STALL_TIMEOUT`]: the
/// only connection so far may have been delayed when it came up.
pub(super) const STALL_ROUND_TRIPS: u64 = 3;
/// The same for a long value of which nothing has been forwarded yet: it may arrive slowly.
pub(super) const STREAM_START_STALL_TIMEOUT: Nanos = 500 * MS;
/// The same once a part has been forwarded: no other attempt can replace this one.
pub(super) const STREAM_STALL_TIMEOUT: Nanos = 5_000 * MS;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It has a job of which nothing is written; as a rule the connection is not up yet.
    Assigned(UpstreamJob),
    /// The job's command is being written, or its answer is awaited.
    Busy(UpstreamJob),
    Idle {
        since: Nanos,
    },
}

/// A connection to an endpoint. It carries one job at a time.
pub(super) struct UpstreamConnection {
    pub(super) endpoint: EndpointId,
    /// Where it leads; the endpoint may have moved since.
    pub(super) address: SocketAddr,
    pub(super) socket: Registered<TcpStream>,
    pub(super) state: ConnectionState,
    /// The job's command, and how many of its bytes are written.
    pub(super) command: Vec<u8>,
    pub(super) written: usize,
    pub(super) input: Vec<u8>,
    /// Jobs carried, the current one included.
    pub(super) jobs: u32,
    /// When bytes last arrived, or could have: a connection that is paused does not stall.
    pub(super) last_progress: Nanos,
    /// For how long an answer that has begun may make no progress; set when the job begins.
    pub(super) answer_stall_timeout: Nanos,
    /// The long value that is being forwarded.
    stream: Option<ResponseStream>,
    /// It is not read, for the client can't take more.
    pub(super) paused: bool,
}

impl UpstreamConnection {
    /// A connection that has been begun for this job.
    pub(super) fn new(
        endpoint: EndpointId,
        address: SocketAddr,
        socket: Registered<TcpStream>,
        job: UpstreamJob,
        now: Nanos,
    ) -> Self {
        UpstreamConnection {
            endpoint,
            address,
            socket,
            state: ConnectionState::Assigned(job),
            command: Vec::new(),
            written: 0,
            input: Vec::new(),
            jobs: 1,
            last_progress: now,
            answer_stall_timeout: STALL_TIMEOUT,
            stream: None,
            paused: false,
        }
    }

    /// An idle connection takes up a job.
    pub(super) fn assign(&mut self, job: UpstreamJob) {
        self.state = ConnectionState::Assigned(job);
        self.jobs += 1;
    }

    /// The job's command is to be written.
    pub(super) fn begin(&mut self, job: UpstreamJob, command: Vec<u8>, round_trip: Option<Nanos>) {
        self.state = ConnectionState::Busy(job);
        (self.command, self.written) = (command, 0);
        self.answer_stall_timeout = round_trip
            .unwrap_or_default()
            .saturating_mul(STALL_ROUND_TRIPS)
            .clamp(STALL_TIMEOUT, STREAM_START_STALL_TIMEOUT);
    }

    /// The job is done and the connection can carry another one.
    pub(super) fn release(&mut self, now: Nanos) {
        self.state = ConnectionState::Idle { since: now };
        (self.command, self.written) = (Vec::new(), 0);
        self.input = Vec::new();
        self.stream = None;
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

    /// Nothing of its job is written.
    pub(super) fn is_assigned(&self) -> bool {
        matches!(self.state, ConnectionState::Assigned(_))
    }

    /// A part of the command is not written yet, so the command can't have run.
    pub(super) fn has_unwritten_bytes(&self) -> bool {
        self.written < self.command.len()
    }

    /// The socket's connection has been established.
    pub(super) fn is_established(&self) -> bool {
        let socket = self.socket.socket();
        matches!(socket.take_error(), Ok(None)) && socket.peer_addr().is_ok()
    }

    /// For how long the answer may make no progress.
    pub(super) fn stall_timeout(&self) -> Nanos {
        match &self.stream {
            Some(_) => STREAM_STALL_TIMEOUT,
            None if is_long(&self.input) => STREAM_START_STALL_TIMEOUT,
            None => self.answer_stall_timeout,
        }
    }

    /// The answer has begun, lacks its end and has made no progress for too long.
    pub(super) fn is_stalled(&self, now: Nanos) -> bool {
        let begun = self.stream.is_some() || !self.input.is_empty();
        begun
            && self.job().is_some()
            && !self.paused
            && now >= self.last_progress + self.stall_timeout()
    }

    /// How the job ends when the connection breaks now.
    pub(super) fn result_if_broken(&self) -> ExchangeResult {
        if self.has_unwritten_bytes() {
            ExchangeResult::ConnectFailed
        } else {
            ExchangeResult::Reset
        }
    }

    /// How the job ends when its answer can't be read.
    pub(super) fn result_if_unreadable(&self) -> ExchangeResult {
        if self.has_unwritten_bytes() {
            ExchangeResult::ConnectFailed
        } else {
            ExchangeResult::Unreadable
        }
    }

    /// Writes as much of the command as the socket takes, and watches for what comes next.
    ///
    /// # Errors
    ///
    /// Says how the job ends if the connection has broken.
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
        self.socket
            .set_interest(Interest::readable_and(unwritten))
            .map_err(|_| self.result_if_broken())
    }

    /// Reads once; returns how many bytes arrived, none if the socket had nothing.
    ///
    /// # Errors
    ///
    /// Says how the job ends if the connection has ended or broken.
    pub(super) fn receive(
        &mut self,
        now: Nanos,
        scratch: &mut [u8],
    ) -> Result<usize, ExchangeResult> {
        match self.socket.socket().read(scratch) {
            Ok(0) => Err(self.result_if_broken()),
            Ok(n) => {
                self.last_progress = now;
                self.input.extend_from_slice(&scratch[..n]);
                Ok(n)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(0),
            Err(_) => Err(self.result_if_broken()),
        }
    }

    /// Reads what has arrived for the job: its reply, or the next part of a long value, which
    /// goes into `events`.
    ///
    /// # Errors
    ///
    /// Says how the bytes break the protocol.
    pub(super) fn parse(
        &mut self,
        job: UpstreamJob,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<Option<ParsedReply>, RespError> {
        let may_stream = !self.has_unwritten_bytes() && matches!(job, UpstreamJob::Attempt(..));
        if self.stream.is_none()
            && may_stream
            && let Some((stream, length)) = ResponseStream::begin(&mut self.input)
        {
            self.stream = Some(stream);
            events.push(UpstreamEvent::StreamStarted { job, length });
        }
        let Some(stream) = &mut self.stream else {
            return parse_reply(job, &self.input);
        };
        let bytes = stream.take_chunk(&mut self.input);
        if !bytes.is_empty() {
            events.push(UpstreamEvent::StreamChunk { job, bytes });
        }
        let end = stream.tail(&self.input)?;
        Ok(end.map(|StreamTail { answer, length }| ParsedReply {
            result: ExchangeResult::Response(answer),
            length,
        }))
    }

    /// Stops reading, or reads on.
    ///
    /// # Errors
    ///
    /// Passes on the poller's error; the connection is read as before.
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
