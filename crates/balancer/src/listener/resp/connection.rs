//! The state of one client connection.

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

/// Commands of one connection that may wait for their answers; further ones stay unread.
pub(super) const PENDING_RESPONSES_MAX: usize = 128;
/// A connection with more unsent output than this gets no further command read.
pub(super) const UNSENT_MAX: usize = 2 * VALUE_MAX;

/// An answer that is owed on a connection, or waits for those before it.
#[derive(Debug)]
pub(super) enum PendingResponse {
    Waiting(RequestId),
    Answered(Vec<u8>),
    /// The value arrives in parts.
    Streaming {
        request: RequestId,
        /// What has arrived and is not with the rest of the output yet.
        bytes: Vec<u8>,
        /// Its cache isn't read until the client has taken more.
        paused: bool,
    },
}

impl PendingResponse {
    /// Bytes that it holds.
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
    /// Answers in the order of the commands.
    pub(super) responses: VecDeque<PendingResponse>,
    pub(super) output: Vec<u8>,
    /// How much of the output is written.
    pub(super) written: usize,
    /// Where the next command begins is unknown: the connection closes once all is answered.
    pub(super) is_framing_lost: bool,
    /// When it last received or took something.
    pub(super) last_active: Nanos,
    /// Since when a command could have been arriving.
    pub(super) command_since: Nanos,
    /// A whole command has arrived on it.
    pub(super) has_sent_command: bool,
    /// Nothing more is sent on it: it is closed once the client has closed, or by this time.
    pub(super) close_by: Option<Nanos>,
    /// When the client was last seen connected.
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

    /// Bytes held in memory.
    pub(super) fn buffered_bytes(&self) -> usize {
        let responses: usize = self
            .responses
            .iter()
            .map(PendingResponse::buffered_bytes)
            .sum();
        self.input.len() + self.unsent_bytes() + responses
    }

    /// Whether its sending side is closed.
    pub(super) fn is_closing(&self) -> bool {
        self.close_by.is_some()
    }

    /// Whether further commands are parsed.
    pub(super) fn takes_commands(&self) -> bool {
        !self.is_framing_lost
            && !self.is_closing()
            && self.responses.len() < PENDING_RESPONSES_MAX
            && self.unsent_bytes() < UNSENT_MAX
    }

    /// Between requests: nothing owed, nothing begun, nothing unsent.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_closing()
            && self.responses.is_empty()
            && self.unsent_bytes() == 0
            && self.input.is_empty()
    }

    /// How long nothing was received or taken.
    pub(super) fn inactive_for(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.last_active)
    }

    /// Whether it is watched for input, which also shows its end.
    pub(super) fn reads_input(&self) -> bool {
        !self.is_closing()
            && !self.is_framing_lost
            && self.input.len() < INPUT_MAX
            && self.unsent_bytes() < UNSENT_MAX
    }

    /// What it is to be watched for. While answers are owed, the end of the connection still
    /// matters: the client has disconnected.
    pub(super) fn interest(&self) -> Interest {
        Interest {
            readable: self.reads_input(),
            writable: self.unsent_bytes() > 0,
        }
    }

    /// Moves to the output what may be sent by the order of the commands.
    pub(super) fn queue_output(&mut self, now: Nanos) {
        while let Some(PendingResponse::Answered(_)) = self.responses.front()
            && let Some(PendingResponse::Answered(bytes)) = self.responses.pop_front()
        {
            self.output.extend_from_slice(&bytes);
            // The client's next command is not late for the time it had to wait.
            self.command_since = now;
        }
        if let Some(PendingResponse::Streaming { bytes, .. }) = self.responses.front_mut() {
            self.output.drain(..std::mem::take(&mut self.written));
            self.output.append(bytes);
        }
    }

    /// Writes as much of the output as the socket takes.
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

    /// Once all output is written, the value that is being streamed may go on.
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

    /// Whether everything is answered, and by the policy no further command is awaited.
    pub(super) fn is_done(&self, policy: LifecyclePolicy) -> bool {
        if !self.responses.is_empty() || self.unsent_bytes() > 0 {
            return false;
        }
        if self.is_framing_lost {
            return true;
        }
        // A client that has just connected is about to send a command: as long as others connect
        // too, the idle reaper closes those that send nothing.
        let has_asked = self.has_sent_command || policy.listener_mode == ListenerMode::Closed;
        // Half a command is no reason to stay once no command is taken.
        let nothing_begun =
            self.input.is_empty() || self.has_sent_command && !policy.accepts_commands;
        policy.closes_idle && has_asked && nothing_begun && !self.has_input(policy)
    }

    /// Whether something has arrived that is to be answered first.
    fn has_input(&self, policy: LifecyclePolicy) -> bool {
        let is_parsable = matches!(parse_command(&self.input), Ok(Some(_)) | Err(_));
        is_parsable || policy.accepts_commands && !is_open_without_input(self.stream.socket())
    }
}
