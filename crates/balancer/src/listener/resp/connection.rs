//! State of one client connection.

use super::ListenerEvent;
use super::input::INPUT_MAX;
use crate::lifecycle::{LifecyclePolicy, ListenerMode};
use crate::poll::sockets::is_open_without_input;
use crate::poll::{Interest, Registered};
use crate::poll_timestamps::ClientPresence;
use crate::resp::{VALUE_MAX, parse_command};
use routing::{Nanos, RequestId};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;

/// Maximum number of pending responses on a connection. Further commands stay unparsed.
pub(super) const PENDING_RESPONSES_MAX: usize = 128;
/// Number of unsent bytes from which on no further command of a connection is read.
pub(super) const UNSENT_MAX: usize = 2 * VALUE_MAX;

/// A response that is not sent yet: the request is unanswered, or earlier responses are pending.
#[derive(Debug)]
pub(super) enum PendingResponse {
    /// The request is not answered yet.
    Waiting(RequestId),
    /// Encoded response.
    Answered(Vec<u8>),
    /// The value is being streamed.
    Streaming {
        request: RequestId,
        /// Bytes that have arrived and are not in the output buffer yet.
        bytes: Vec<u8>,
        /// Whether the cache's response is not read until the client has accepted more.
        paused: bool,
    },
}

impl PendingResponse {
    /// Returns the number of bytes held in memory.
    fn buffered_bytes(&self) -> usize {
        match self {
            PendingResponse::Answered(bytes) | PendingResponse::Streaming { bytes, .. } => {
                bytes.len()
            }
            PendingResponse::Waiting(_) => 0,
        }
    }
}

/// A client connection.
pub(super) struct ClientConnection {
    pub(super) stream: Registered<TcpStream>,
    pub(super) input: Vec<u8>,
    /// Pending responses in the order of the commands.
    pub(super) responses: VecDeque<PendingResponse>,
    pub(super) output: Vec<u8>,
    /// Number of bytes of the output that are written.
    pub(super) written: usize,
    /// Whether the start of the next command is unknown. The connection is closed after the last
    /// pending response.
    pub(super) is_framing_lost: bool,
    /// Time at which bytes were last received from the client or accepted by the socket.
    pub(super) last_active: Nanos,
    /// Earliest time at which the current command can have begun to arrive.
    pub(super) command_since: Nanos,
    /// Whether a complete command has arrived on the connection.
    pub(super) has_sent_command: bool,
    /// Set once the sending side is shut down. The connection is removed when the client closes it,
    /// or at this time.
    pub(super) close_by: Option<Nanos>,
    /// Times at which the client was seen connected.
    pub(super) presence: ClientPresence,
}

impl ClientConnection {
    pub(super) fn new(stream: Registered<TcpStream>, now: Nanos, presence: ClientPresence) -> Self {
        ClientConnection {
            stream,
            input: Vec::new(),
            responses: VecDeque::new(),
            output: Vec::new(),
            written: 0,
            is_framing_lost: false,
            last_active: now,
            command_since: now,
            has_sent_command: false,
            close_by: None,
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
        self.input.len() + self.unsent_bytes() + responses
    }

    /// Returns whether the sending side is shut down.
    pub(super) fn is_closing(&self) -> bool {
        self.close_by.is_some()
    }

    /// Returns whether further commands are parsed.
    pub(super) fn takes_commands(&self) -> bool {
        !self.is_framing_lost
            && !self.is_closing()
            && self.responses.len() < PENDING_RESPONSES_MAX
            && self.unsent_bytes() < UNSENT_MAX
    }

    /// Returns whether the connection is between requests: no pending response, no unsent output
    /// and no unparsed input.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_closing()
            && self.responses.is_empty()
            && self.unsent_bytes() == 0
            && self.input.is_empty()
    }

    /// Returns the time since bytes were last received or sent.
    pub(super) fn inactive_for(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.last_active)
    }

    /// Returns whether the connection is polled for input. The poll then also reports its end.
    pub(super) fn reads_input(&self) -> bool {
        !self.is_closing()
            && !self.is_framing_lost
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
            self.output.extend_from_slice(&bytes);
            // The time that the next command had to wait does not count towards its timeout.
            self.command_since = now;
        }
        if let Some(PendingResponse::Streaming { bytes, .. }) = self.responses.front_mut() {
            self.output.drain(..std::mem::take(&mut self.written));
            self.output.append(bytes);
        }
    }

    /// Writes as much of the output as the socket accepts.
    pub(super) fn write_output(&mut self, now: Nanos) -> io::Result<()> {
        while self.unsent_bytes() > 0 {
            match self.stream.socket().write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    self.last_active = now;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        if self.unsent_bytes() == 0 {
            (self.output, self.written) = (Vec::new(), 0);
        }
        Ok(())
    }

    /// Resumes a paused stream once all output is written. Returns the event for the event loop.
    pub(super) fn resume_stream(&mut self) -> Option<ListenerEvent> {
        let unsent = self.unsent_bytes();
        match self.responses.front_mut() {
            Some(PendingResponse::Streaming {
                request, paused, ..
            }) if *paused && unsent == 0 => {
                *paused = false;
                Some(ListenerEvent::CapacityAvailable(*request))
            }
            _ => None,
        }
    }

    /// Returns whether all commands are answered and the policy expects no further command.
    pub(super) fn is_done(&self, policy: LifecyclePolicy) -> bool {
        if !self.responses.is_empty() || self.unsent_bytes() > 0 {
            return false;
        }
        if self.is_framing_lost {
            return true;
        }
        // A client that has just connected is about to send a command. While the listener accepts
        // clients, the idle reaper closes connections whose clients send nothing.
        let has_been_used = self.has_sent_command || policy.listener_mode == ListenerMode::Closed;
        // Once no commands are accepted, an incomplete command does not keep the connection open.
        let no_command_begun =
            self.input.is_empty() || self.has_sent_command && !policy.accepts_commands;
        policy.closes_idle && has_been_used && no_command_begun && !self.has_input(policy)
    }

    /// Returns whether input has arrived that has to be answered first.
    fn has_input(&self, policy: LifecyclePolicy) -> bool {
        let is_parsable = matches!(parse_command(&self.input), Ok(Some(_)) | Err(_));
        is_parsable || policy.accepts_commands && !is_open_without_input(self.stream.socket())
    }
}
