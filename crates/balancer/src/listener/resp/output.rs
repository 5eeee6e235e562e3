//! Writing of client connections: answers in the order of the commands, and the end of a
//! connection.

use super::connection::PendingResponse;
use super::responses::encode;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::listener::CLOSE_TIMEOUT;
use crate::poll::Interest;
use crate::poll::sockets::{discard, has_peer_closed};
use crate::request::{AnswerToken, FinalAnswer};
use routing::Nanos;
use std::io::ErrorKind;
use std::net::Shutdown;

/// How much input behind a command that can't be parsed is discarded at a time; a client that sends
/// faster is closed at once.
const DISCARD_MAX: usize = 256 * 1024;

impl RespListener {
    /// Gives the final answer for a token; it is sent once those before it on its connection are.
    // Answering consumes the token.
    #[allow(clippy::needless_pass_by_value)]
    pub fn answer(&mut self, answer_token: AnswerToken, answer: FinalAnswer) {
        let AnswerToken {
            request,
            connection,
        } = answer_token;
        let Some(connection) = self.connections.get_mut(&connection) else {
            return;
        };
        let response = connection
            .responses
            .iter_mut()
            .find(|response| matches!(response, PendingResponse::Waiting(id) if *id == request));
        if let Some(response) = response {
            *response = match answer {
                FinalAnswer::Streaming(_) => PendingResponse::Streaming {
                    request,
                    bytes: encode(answer),
                    paused: false,
                },
                answer => PendingResponse::Answered(encode(answer)),
            };
        }
    }

    /// Writes what may be sent on this connection, and goes on with commands that waited for that.
    pub fn flush(
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
            connection.queue_output(now);
            if connection.write_output(now).is_err() {
                return self.close(number, counters, events);
            }
            events.extend(connection.resume_stream());
            if connection.is_closing() {
                return;
            }
            if connection.is_done(self.policy) {
                return self.close_gracefully(number, now, counters, events);
            }
            if !self.process_postponed_input(number, now, events, counters) {
                break;
            }
        }
        if let Some(connection) = self.connections.get_mut(&number) {
            let interest = connection.interest();
            if connection.stream.set_interest(interest).is_err() {
                self.close(number, counters, events);
            }
        }
    }

    /// Processes commands that waited because too much was owed. Whether that yields answers that
    /// can be written at once.
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
            // What waited behind others on its connection has its time from now on, unless it was
            // read in this turn.
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

    /// Ends a connection on which nothing is owed. Closing over input that is unread, or still
    /// arrives, would reset it and might destroy the last answer on its way. So at first only the
    /// sending side is closed.
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
            // Nothing was ever answered on it.
            return self.close(number, counters, events);
        }
        connection.close_by = Some(now + CLOSE_TIMEOUT);
        connection.input = Vec::new();
        let shutdown = connection.stream.socket().shutdown(Shutdown::Write);
        if shutdown.is_err() || connection.stream.set_interest(Interest::READABLE).is_err() {
            return self.close(number, counters, events);
        }
        self.drain_closing(number, counters, events);
    }

    /// Discards what still arrives on a closing connection, where its framing is lost. A command
    /// that can be read stays unread: its client learns of that by the reset, and sends it
    /// elsewhere.
    pub(super) fn drain_closing(
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
            discard(socket, DISCARD_MAX)
        } else {
            match socket.peek(&mut [0]) {
                Ok(0) => false,
                // From now on the idle reaper looks for its end.
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
