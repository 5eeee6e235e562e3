//! State of one client connection.

use super::delivery::{Closing, Delivery};
use super::input::INPUT_MAX;
use super::open_ids::ConnectionIds;
use super::pending_response::PendingResponse;
use crate::lifecycle::{LifecyclePolicy, ListenerMode};
use crate::poll::sockets::is_open_without_input;
use crate::poll::{Interest, Registered};
use crate::poll_timestamps::ClientPresence;
use crate::request::ClientHistory;
use crate::resp::{CommandSkip, VALUE_MAX, parse_command};
use routing::Nanos;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;

/// Maximum number of pending responses on a connection. Further commands stay unparsed.
pub(super) const PENDING_RESPONSES_MAX: usize = 128;
/// Threshold of unsent bytes at which the listener stops reading commands from a connection.
pub(super) const UNSENT_MAX: usize = 2 * VALUE_MAX;

/// Maximum number of allocated bytes of an output buffer beyond its content.
const SPARE_OUTPUT_MAX: usize = 4 * 1024;

/// Appends bytes to an output buffer, without a copy if it is empty.
pub(super) fn append_output(output: &mut Vec<u8>, bytes: Vec<u8>) {
    if output.is_empty() {
        *output = bytes;
    } else {
        output.reserve_exact(bytes.len());
        output.extend_from_slice(&bytes);
    }
}

/// A client connection.
pub(super) struct ClientConnection {
    pub(super) stream: Registered<TcpStream>,
    pub(super) input: Vec<u8>,
    /// Progress through a command that is skipped for lack of memory.
    pub(super) skip: Option<CommandSkip>,
    /// Whether commands that wait for earlier responses are not read for lack of memory.
    pub(super) is_input_paused: bool,
    /// Pending responses in the order of the commands.
    pub(super) responses: VecDeque<PendingResponse>,
    /// Ids of the requests whose answers are not with the client yet.
    pub(super) ids: ConnectionIds,
    pub(super) output: Vec<u8>,
    /// Number of bytes of the output that are written.
    pub(super) written: usize,
    /// Number of bytes held in memory when they were last counted.
    pub(super) counted_bytes: usize,
    /// Whether the start of the next command is unknown. The connection is closed after the last
    /// pending response.
    pub(super) is_framing_lost: bool,
    /// Whether a value was cut short after the client had received a part of it. The connection is
    /// closed after the output, so that the client detects it.
    pub(super) is_truncated: bool,
    /// Time at which bytes were last received from the client or accepted by the socket.
    pub(super) last_active: Nanos,
    /// Earliest time at which the current command can have begun to arrive.
    pub(super) command_since: Nanos,
    /// Whether a complete command has arrived on the connection.
    pub(super) has_sent_command: bool,
    /// Whether the connection was accepted beyond the regular limit: its commands are rejected, and it
    /// is closed when others need its place.
    pub(super) is_overflow: bool,
    /// Whether the client has received a response.
    pub(super) history: ClientHistory,
    /// Set once the sending side is shut down.
    pub(super) closing: Option<Closing>,
    /// Progress of the kernel in delivering the written output.
    pub(super) delivery: Delivery,
    /// Times at which the client was seen connected.
    pub(super) presence: ClientPresence,
}

impl ClientConnection {
    pub(super) fn new(stream: Registered<TcpStream>, now: Nanos, presence: ClientPresence) -> Self {
        ClientConnection {
            stream,
            input: Vec::new(),
            skip: None,
            is_input_paused: false,
            responses: VecDeque::new(),
            ids: ConnectionIds::default(),
            output: Vec::new(),
            written: 0,
            counted_bytes: 0,
            is_framing_lost: false,
            is_truncated: false,
            last_active: now,
            command_since: now,
            has_sent_command: false,
            is_overflow: false,
            history: ClientHistory::New,
            closing: None,
            delivery: Delivery::default(),
            presence,
        }
    }

    pub(super) fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Returns the number of bytes held in memory.
    pub(super) fn buffered_bytes(&self) -> usize {
        let responses: usize = self
            .responses
            .iter()
            .map(PendingResponse::buffered_bytes)
            .sum();
        self.input.capacity() + self.output.capacity() + responses
    }

    /// Returns whether a command has begun to arrive and is incomplete or unparsed.
    pub(super) fn has_partial_command(&self) -> bool {
        !self.input.is_empty() || self.skip.is_some()
    }

    /// Returns whether the sending side is shut down.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.is_some()
    }

    /// Returns whether further commands are parsed.
    pub(super) fn takes_commands(&self) -> bool {
        !self.is_framing_lost
            && !self.is_truncated
            && !self.is_closing()
            && !self.is_sending_stream()
            && self.responses.len() < PENDING_RESPONSES_MAX
            && self.unsent_bytes() < UNSENT_MAX
    }

    /// Returns whether the connection is between requests: no pending response, no unsent output
    /// and no unparsed input.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_closing()
            && self.responses.is_empty()
            && self.unsent_bytes() == 0
            && !self.has_partial_command()
    }

    /// Returns the time since bytes were last received or sent.
    pub(super) fn inactive_for(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.last_active)
    }

    /// Returns whether the connection is polled for input. The poll then also reports its end.
    pub(super) fn reads_input(&self) -> bool {
        !self.is_closing()
            && !self.is_framing_lost
            && !self.is_truncated
            && !self.is_sending_stream()
            && !self.is_input_paused
            && self.input.len() < INPUT_MAX
            && self.unsent_bytes() < UNSENT_MAX
    }

    /// Returns the events to poll for. Input is polled for even while responses are pending, as it
    /// shows that the client has disconnected.
    pub(super) fn interest(&self) -> Interest {
        Interest {
            readable: self.reads_input(),
            writable: self.unsent_bytes() > 0,
        }
    }

    /// Moves the responses that may be sent in the order of the commands to the output buffer.
    pub(super) fn queue_output(&mut self, now: Nanos) {
        while let Some(PendingResponse::Answered(_)) = self.responses.front()
            && let Some(PendingResponse::Answered(bytes)) = self.responses.pop_front()
        {
            append_output(&mut self.output, bytes);
            self.ids.record_queued(self.unsent_bytes());
            // The time for which the next command waited for this response does not count towards
            // the command timeout.
            self.command_since = now;
        }
        self.queue_stream(now);
    }

    /// Queues and writes responses until the socket accepts no more or nothing may be sent.
    ///
    /// # Errors
    /// If the socket is broken.
    pub(super) fn send_responses(&mut self, now: Nanos) -> io::Result<()> {
        loop {
            self.queue_output(now);
            if self.unsent_bytes() == 0 {
                return Ok(());
            }
            self.write_output(now)?;
            if self.unsent_bytes() > 0 {
                return Ok(());
            }
        }
    }

    /// Writes as much of the output as the socket accepts.
    pub(super) fn write_output(&mut self, now: Nanos) -> io::Result<()> {
        while self.unsent_bytes() > 0 {
            match self.stream.socket().write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    self.ids.record_accepted(count);
                    self.last_active = now;
                    self.delivery.record_write();
                    if let Some(PendingResponse::Streaming(value)) = self.responses.front_mut() {
                        value.record_sent();
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        if self.unsent_bytes() == 0 {
            (self.output, self.written) = (Vec::new(), 0);
            if !self.has_begun_stream() {
                self.history = ClientHistory::Answered;
            }
        } else {
            self.compact_output();
        }
        Ok(())
    }

    /// Frees the memory of the written output.
    fn compact_output(&mut self) {
        self.output.drain(..std::mem::take(&mut self.written));
        if self.output.capacity() - self.output.len() > SPARE_OUTPUT_MAX {
            self.output.shrink_to_fit();
        }
    }

    /// Returns whether the connection can be closed: all commands are answered, and either the
    /// connection can't carry further ones or the policy requires idle connections to be closed.
    /// `intake_ended_at` is the time from which on no commands are accepted.
    pub(super) fn is_done(&self, policy: LifecyclePolicy, intake_ended_at: Option<Nanos>) -> bool {
        if !self.responses.is_empty() || self.unsent_bytes() > 0 {
            return false;
        }
        if self.is_framing_lost || self.is_truncated {
            return true;
        }
        // A client that has just connected is probably about to send a command. While the listener
        // accepts clients, the idle reaper closes connections whose clients send nothing.
        let has_been_used = self.has_sent_command || policy.listener_mode == ListenerMode::Closed;
        policy.closes_idle
            && has_been_used
            && !self.awaits_rest_of_command(intake_ended_at)
            && !self.has_input(policy)
    }

    /// Returns whether an incomplete command keeps the connection open: it is answered once it is
    /// complete, if only with a rejection. A command of a used connection that began after the end of
    /// the intake does not, as endless commands would keep the connection open.
    fn awaits_rest_of_command(&self, intake_ended_at: Option<Nanos>) -> bool {
        let is_too_late = intake_ended_at.is_some_and(|ended_at| self.command_since >= ended_at);
        self.has_partial_command() && !(self.has_sent_command && is_too_late)
    }

    /// Returns whether input has arrived that must be answered before the connection is closed.
    fn has_input(&self, policy: LifecyclePolicy) -> bool {
        let is_parsable = matches!(parse_command(&self.input), Ok(Some(_)) | Err(_));
        is_parsable || policy.accepts_commands && !is_open_without_input(self.stream.socket())
    }
}
