//! Responses of endpoints: reads and parses them, and completes their jobs.

use super::close_reason::CloseReason;
use super::exchange::{UpstreamEvent, UpstreamJob};
use super::reply::ParsedReply;
use super::{ConnectionId, UpstreamPool};
use crate::counters::Counters;
use crate::timers::{TimerKind, Timers};
use routing::Nanos;

/// Maximum number of bytes of an unreadable response that are logged.
const LOGGED_BYTES: usize = 64;

impl UpstreamPool {
    pub(super) fn read(
        &mut self,
        number: ConnectionId,
        now: Nanos,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let read_size = self.input_read_size();
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        match connection.receive(now, &mut self.scratch[..read_size]) {
            Ok(0) => return,
            Ok(received) => self.buffered_bytes += received,
            Err(result) => return self.fail(number, result, events, counters),
        }
        if connection.job().is_none() {
            // An idle connection must not receive anything. The bytes could be mistaken for the
            // response to its next job.
            self.close(number, CloseReason::UnexpectedInput, counters);
            return;
        }
        self.process_input(number, now, timers, events, counters);
    }

    /// Parses the received bytes of a connection with a job, and sets its stall timer if the
    /// response is incomplete.
    pub(super) fn process_input(
        &mut self,
        number: ConnectionId,
        now: Nanos,
        timers: &mut Timers,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let Some(job) = connection.job() else {
            return;
        };
        let before = connection.input.len();
        let parsed = connection.parse(job, events);
        self.buffered_bytes -= before - connection.input.len();
        let is_health_check = matches!(job, UpstreamJob::HealthCheck(_));
        // The parser limits each message; this limits the total of all incomplete responses.
        let over_limit = self.is_input_over_limit();
        match parsed {
            Ok(Some(reply)) => self.complete(number, job, reply, now, events, counters),
            Ok(None) if is_health_check && over_limit => {
                self.fail_unreadable(number, events, counters);
            }
            Ok(None) => self.await_rest(now, number, timers),
            Err(_) => self.fail_unreadable(number, events, counters),
        }
    }

    /// Sets the stall timer of an incomplete response, or pauses the response for lack of memory.
    fn await_rest(&mut self, now: Nanos, number: ConnectionId, timers: &mut Timers) {
        if self.pause_over_limit(now, number) {
            return;
        }
        let connection = self.connections.get(&number);
        if let Some(connection) = connection.filter(|c| !c.has_unwritten_bytes()) {
            let stalls_at = connection.last_progress + connection.stall_timeout();
            timers.set(stalls_at, TimerKind::ResponseStall(number));
        }
    }

    /// Fails the job of a connection whose response violates the protocol.
    fn fail_unreadable(
        &mut self,
        number: ConnectionId,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let Some(connection) = self.connections.get(&number) else {
            return;
        };
        let length = connection.input.len().min(LOGGED_BYTES);
        log::debug!(
            "endpoint {}: unreadable response, beginning with: {}",
            connection.endpoint.0,
            connection.input[..length].escape_ascii()
        );
        counters.upstream_unreadable += 1;
        let result = connection.result_if_unreadable();
        self.fail(number, result, events, counters);
    }

    /// Completes a job whose reply has arrived. The connection becomes idle, or is closed if it
    /// can't carry another job. It can't if the reply arrived before the whole command was written,
    /// lacks its end or is followed by further bytes: the start of the next reply is then unknown.
    /// It can't either if the endpoint drains or has another process: the connection leads to the
    /// former one.
    fn complete(
        &mut self,
        number: ConnectionId,
        job: UpstreamJob,
        reply: ParsedReply,
        now: Nanos,
        events: &mut Vec<UpstreamEvent>,
        counters: &mut Counters,
    ) {
        let ParsedReply { result, length } = reply;
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        let ends_cleanly =
            length == Some(connection.input.len()) && !connection.has_unwritten_bytes();
        let process = self.endpoints.process(connection.endpoint);
        if !ends_cleanly || process != Some(connection.process) {
            return self.fail(number, result, events, counters);
        }
        self.endpoints.add_idle(connection.endpoint, number);
        self.buffered_bytes -= connection.input.len();
        connection.release(now);
        self.jobs.remove(&job);
        events.push(UpstreamEvent::Completed { job, result });
    }
}
