//! Reading of client connections: input becomes commands, commands become requests.

use super::commands::{ParsedCommand, interpret};
use super::connection::{ClientConnection, PendingResponse};
use super::responses::{encode, encode_error};
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::poll::sockets::has_peer_closed;
use crate::poll_timestamps::ReadExtent;
use crate::request::{AnswerToken, FinalAnswer, IncomingRequest};
use crate::resp::{self, Command, RespError, parse_command};
use routing::{Nanos, RequestId};
use std::io::{ErrorKind, Read};

/// The most that one read takes.
pub(super) const READ_SIZE: usize = 32 * 1024;
/// The most unparsed input that is kept: one command with the longest value always fits.
pub(super) const INPUT_MAX: usize = resp::MESSAGE_MAX;

impl RespListener {
    pub(super) fn read(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if connection.is_closing() {
            return self.drain_closing(number, counters, events);
        }
        if !connection.reads_input() {
            // Not watched for input: it is broken, and nothing more can be answered on it. Or it
            // was watched when this turn began.
            if has_peer_closed(connection.stream.socket()) {
                self.close(number, counters, events);
            }
            return;
        }
        let size = READ_SIZE.min(INPUT_MAX - connection.input.len());
        let result = connection
            .stream
            .socket()
            .read(&mut self.read_buffer[..size]);
        match result {
            Ok(0) => self.close(number, counters, events),
            Ok(count) => {
                if connection.has_sent_command && connection.input.is_empty() {
                    // A connection may be idle between commands; the time of a command starts with
                    // its first byte.
                    connection.command_since = now;
                }
                connection
                    .input
                    .extend_from_slice(&self.read_buffer[..count]);
                connection.last_active = now;
                let extent = ReadExtent::new(count, size);
                let arrived_at = connection
                    .presence
                    .record_read(&self.poll_timestamps, extent);
                self.process_input(number, now, arrived_at, events, counters);
                self.flush(number, now, events, counters);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.close(number, counters, events),
        }
    }

    /// Takes the whole commands that have arrived, as many as may wait for their answers.
    pub(super) fn process_input(
        &mut self,
        number: u64,
        now: Nanos,
        arrived_at: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let mut parsed = 0;
        while connection.takes_commands() {
            let Command { words, length } = match parse_command(&connection.input[parsed..]) {
                Ok(None) => break,
                Ok(Some(command)) => command,
                Err(e) => {
                    log::debug!("client connection {number}: {e}");
                    counters.malformed_commands += 1;
                    connection.reject_rest(e);
                    break;
                }
            };
            // A connection that has sent no command yet may still send one; one that never ends
            // must not stay open for good. Commands beyond that are answered, or they would be
            // lost.
            let is_accepted = self.policy.accepts_commands || !connection.has_sent_command;
            (connection.has_sent_command, connection.command_since) = (true, now);
            let answer_token = AnswerToken {
                request: RequestId(self.next_request),
                connection: number,
            };
            let input = &connection.input[parsed..parsed + length];
            parsed += length;
            match interpret(input, &words, answer_token, self.policy) {
                ParsedCommand::Request(_) if !is_accepted => {
                    counters.rejected += 1;
                    connection.respond(encode(FinalAnswer::Rejected { retry_after: 0 }));
                }
                ParsedCommand::Request(request) => {
                    self.next_request += 1;
                    counters.requests += 1;
                    let response = PendingResponse::Waiting(request.answer_token.request);
                    connection.responses.push_back(response);
                    events.push(ListenerEvent::Request(IncomingRequest {
                        arrived_at,
                        ..request
                    }));
                }
                ParsedCommand::Answer(answer) => connection.respond(answer),
                ParsedCommand::Malformed(problem) => {
                    counters.malformed_commands += 1;
                    connection.respond(encode_error(&format!("ERR {problem}")));
                }
                ParsedCommand::Empty => {}
            }
        }
        connection.discard_parsed(parsed);
    }
}

impl ClientConnection {
    /// Adds an answer behind those that are owed.
    pub(super) fn respond(&mut self, answer: Vec<u8>) {
        self.responses.push_back(PendingResponse::Answered(answer));
    }

    /// Answers input that can't be parsed; where the next command begins is unknown.
    fn reject_rest(&mut self, error: RespError) {
        self.respond(encode_error(&format!("ERR {error}")));
        self.is_framing_lost = true;
    }

    /// Drops the input that was parsed, and the memory of an empty buffer.
    fn discard_parsed(&mut self, parsed: usize) {
        self.input.drain(..parsed);
        if self.is_framing_lost {
            self.input.clear();
        }
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }
}
