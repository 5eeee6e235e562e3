//! Input of client connections: reads bytes, parses commands and reports requests.

use super::commands::{ParsedCommand, interpret};
use super::connection::ClientConnection;
use super::pending_response::PendingResponse;
use super::responses::{encode, encode_error};
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::poll::sockets::has_peer_closed;
use crate::poll_timestamps::ReadExtent;
use crate::request::{AnswerToken, FinalAnswer, IncomingRequest};
use crate::resp::{self, Command, RespError, parse_command};
use routing::{Nanos, RequestId};
use std::io::{ErrorKind, Read};

/// Maximum number of bytes per read.
pub(super) const READ_SIZE: usize = 32 * 1024;
/// Maximum number of bytes of unparsed input per connection. One command with the longest value
/// always fits.
pub(super) const INPUT_MAX: usize = resp::MESSAGE_MAX;

impl RespListener {
    pub(super) fn read(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let read_size = match self.connections.get(&number) {
            Some(connection) => self.read_size(connection),
            None => return,
        };
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if connection.is_closing() {
            return self.handle_closing_input(number, counters, events);
        }
        if !connection.reads_input() {
            // The connection is not polled for input, so its readiness means that it is broken,
            // unless an earlier event of this turn has ended the polling for input.
            if has_peer_closed(connection.stream.socket()) {
                self.close(number, counters, events);
            }
            return;
        }
        let result = connection
            .stream
            .socket()
            .read(&mut self.read_buffer[..read_size]);
        match result {
            Ok(0) => self.close(number, counters, events),
            Ok(count) => {
                if connection.has_sent_command && !connection.has_partial_command() {
                    // A connection may be idle between commands, so the timeout of a command starts
                    // with its first byte.
                    connection.command_since = now;
                }
                connection.input.reserve_exact(count);
                connection
                    .input
                    .extend_from_slice(&self.read_buffer[..count]);
                connection.last_active = now;
                let extent = ReadExtent::new(count, read_size);
                let arrived_at = connection
                    .presence
                    .record_read(&self.poll_timestamps, extent);
                self.process_input(number, now, arrived_at, events, counters);
                self.flush(number, now, events, counters);
                if self.has_unparsed_input(number) {
                    self.limit_input(now, events, counters);
                    self.pause_input_if_scarce(number);
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => self.close(number, counters, events),
        }
    }

    fn has_unparsed_input(&self, number: u64) -> bool {
        self.connections
            .get(&number)
            .is_some_and(|connection| !connection.input.is_empty())
    }

    /// Parses and processes the complete commands of the input, up to the maximum number of pending
    /// responses.
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
            if connection.skip.is_some() {
                if connection.skip_input(&mut parsed, now, counters) {
                    continue;
                }
                break;
            }
            let Command { words, length } = match parse_command(&connection.input[parsed..]) {
                Ok(None) => break,
                Ok(Some(command)) => command,
                Err(e) => {
                    log::debug!("client connection {number} sent invalid input: {e}");
                    counters.malformed_commands += 1;
                    connection.reject_rest(e);
                    break;
                }
            };
            // When commands are no longer accepted, the first command of a connection still is.
            // Further ones are rejected, so that an endless sequence of commands does not keep the
            // connection open. The rejection is a response: without it the commands would be lost.
            let is_accepted = !connection.is_overflow
                && (self.policy.accepts_commands || !connection.has_sent_command);
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
                    events.push(ListenerEvent::Request(Box::new(IncomingRequest {
                        client: connection.history,
                        arrived_at,
                        ..request
                    })));
                }
                ParsedCommand::Response(response) => connection.respond(response),
                ParsedCommand::Malformed(error) => {
                    counters.malformed_commands += 1;
                    connection.respond(encode_error(&format!("ERR {error}")));
                }
                ParsedCommand::Empty => {}
            }
        }
        connection.discard_parsed(parsed);
    }
}

impl ClientConnection {
    /// Adds an encoded response after the pending ones.
    pub(super) fn respond(&mut self, response: Vec<u8>) {
        self.responses
            .push_back(PendingResponse::Answered(response));
    }

    /// Skips the input from `parsed` on, up to the end of the command that is skipped. Returns whether
    /// that has arrived; the command is then rejected.
    fn skip_input(&mut self, parsed: &mut usize, now: Nanos, counters: &mut Counters) -> bool {
        let Some(skip) = &mut self.skip else {
            return true;
        };
        match skip.skip(&self.input[*parsed..]) {
            Ok(length) => *parsed += length,
            Err(e) => {
                counters.malformed_commands += 1;
                self.reject_rest(e);
                return false;
            }
        }
        if !skip.is_complete() {
            return false;
        }
        counters.rejected += 1;
        counters.commands_over_memory += 1;
        self.skip = None;
        (self.has_sent_command, self.command_since) = (true, now);
        self.respond(encode(FinalAnswer::Rejected { retry_after: 0 }));
        true
    }

    /// Responds with an error to input that can't be parsed. From then on, the start of the next
    /// command is unknown.
    fn reject_rest(&mut self, error: RespError) {
        self.respond(encode_error(&format!("ERR {error}")));
        self.is_framing_lost = true;
        self.skip = None;
    }

    /// Removes the parsed bytes from the input, and frees an empty buffer.
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
