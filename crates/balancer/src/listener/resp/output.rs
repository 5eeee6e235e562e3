//! Output of client connections: writes responses in the order of the commands, and closes
//! connections.

use super::delivery::Closing;
use super::pending_response::PendingResponse;
use super::responses::encode;
use super::streamed_value::StreamedValue;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::poll::Interest;
use crate::poll::sockets::{discard_before_close, has_peer_closed};
use crate::request::{AnswerToken, FinalAnswer};
use routing::Nanos;
use std::io::ErrorKind;
use std::net::Shutdown;

/// Maximum number of bytes that are discarded at a time after a command that can't be parsed. If
/// more bytes have arrived, the connection is closed once the client's kernel has all responses.
const DISCARD_MAX: usize = 256 * 1024;

impl RespListener {
    /// Sets the final answer to the request of a token. The answer is sent by
    /// [`RespListener::flush`], after the earlier responses of the connection.
    // The token is consumed, so that no request is answered twice.
    #[allow(clippy::needless_pass_by_value)]
    pub fn answer(&mut self, answer_token: AnswerToken, answer: FinalAnswer, now: Nanos) {
        let AnswerToken {
            request,
            connection,
        } = answer_token;
        let Some(client) = self.connections.get_mut(&connection) else {
            return;
        };
        let response = client
            .responses
            .iter_mut()
            .find(|response| matches!(response, PendingResponse::Waiting(id) if *id == request));
        if let Some(response) = response {
            *response = match answer {
                FinalAnswer::Streaming { length, hold } => {
                    let header = encode(answer);
                    let value = StreamedValue::new(request, header, length, hold, now);
                    PendingResponse::Streaming(Box::new(value))
                }
                answer => PendingResponse::Answered(encode(answer)),
            };
        }
        self.count_memory(connection);
        self.allocate_lone_value(connection, now);
    }

    /// Writes the responses that may be sent on a connection, and then processes postponed
    /// commands.
    pub fn flush(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        self.write_responses(number, now, events, counters);
        self.release_shared_ids(number);
        self.count_memory(number);
    }

    fn write_responses(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        loop {
            let Some(connection) = self.connections.get_mut(&number) else {
                return;
            };
            if connection.send_responses(now).is_err() {
                return self.close(number, counters, events);
            }
            events.extend(connection.resume_stream());
            if connection.is_closing() {
                return;
            }
            if connection.is_done(self.policy, self.intake_ended_at) {
                return self.close_gracefully(number, now, counters, events);
            }
            if !self.process_postponed_input(number, now, events, counters) {
                break;
            }
        }
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.is_input_paused &= !connection.takes_commands();
            let interest = connection.interest();
            if connection.stream.set_interest(interest).is_err() {
                self.close(number, counters, events);
            }
        }
    }

    /// Processes commands that were postponed because of the limits of pending responses and unsent
    /// output. Returns whether that produced a response that can be written immediately.
    fn process_postponed_input(
        &mut self,
        number: u64,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) -> bool {
        let Some(connection) = self.connections.get(&number) else {
            return false;
        };
        let pending_before = connection.responses.len();
        if !connection.input.is_empty() && connection.takes_commands() {
            // Commands that waited for earlier ones on their connection count as arriving now,
            // unless they were read in this turn.
            let arrived_at = connection
                .presence
                .arrival_in_turn(&self.poll_timestamps)
                .unwrap_or(now);
            self.process_input(number, now, arrived_at, events, counters);
        }
        self.connections.get(&number).is_some_and(|connection| {
            matches!(
                connection.responses.front(),
                Some(PendingResponse::Answered(_))
            ) && connection.responses.len() > pending_before
                && connection.unsent_bytes() == 0
        })
    }

    /// Closes a connection without pending responses. Closing a socket while it has unread input,
    /// or while input still arrives, resets the connection and could destroy the last response in
    /// transit. Therefore only the sending side is shut down at first.
    pub(super) fn close_gracefully(
        &mut self,
        number: u64,
        now: Nanos,
        counters: &mut Counters,
        events: &mut Vec<ListenerEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if !connection.has_sent_command && !connection.is_framing_lost {
            // No response was ever sent on the connection.
            return self.close(number, counters, events);
        }
        connection.closing = Some(Closing::begin(now));
        connection.input = Vec::new();
        self.count_memory(number);
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let shutdown = connection.stream.socket().shutdown(Shutdown::Write);
        if shutdown.is_err() || connection.stream.set_interest(Interest::READABLE).is_err() {
            return self.close(number, counters, events);
        }
        self.handle_closing_input(number, counters, events);
    }

    /// Handles input on a closing connection. If the framing is lost, the input is discarded.
    /// Otherwise the input may contain a command. It stays unread, so that closing the socket
    /// resets the connection: the reset tells the client that the command was not processed and can
    /// be sent elsewhere.
    pub(super) fn handle_closing_input(
        &mut self,
        number: u64,
        counters: &mut Counters,
        events: &mut Vec<ListenerEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let socket = connection.stream.socket();
        let stays_open = if connection.is_framing_lost {
            discard_before_close(socket, DISCARD_MAX)
        } else {
            match socket.peek(&mut [0]) {
                Ok(0) => false,
                // From now on the idle reaper checks whether the client has closed the connection.
                Ok(_) => {
                    !has_peer_closed(socket)
                        && connection.stream.set_interest(Interest::NONE).is_ok()
                }
                Err(e) => e.kind() == ErrorKind::WouldBlock,
            }
        };
        if !stays_open {
            self.close(number, counters, events);
        }
    }
}
