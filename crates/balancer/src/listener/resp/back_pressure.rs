//! Back pressure for streamed values: while a client reads slowly, the response of the cache is not
//! read.

use super::connection::ClientConnection;
use super::memory::HeldValueMemory;
use super::pending_response::PendingResponse;
use super::responses::encode;
use super::streamed_value::StreamedValue;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use crate::request::FinalAnswer;
use routing::{Nanos, RequestId};

/// Threshold of unsent bytes of a streamed value at which reading of the cache's response is
/// paused.
pub(super) const STREAM_WINDOW: usize = 64 * 1024;

/// End of a streamed value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole value has arrived.
    Complete,
    /// The upstream connection failed before the whole value had arrived.
    Aborted,
}

/// Availability of memory for requests and responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryPressure {
    /// There is enough memory.
    Low,
    /// Memory is scarce: as little as possible may be buffered.
    High,
}

impl RespListener {
    fn streamed_value(&mut self, connection: u64, id: RequestId) -> Option<&mut StreamedValue> {
        self.connections.get_mut(&connection)?.streamed_value(id)
    }

    /// Appends the next bytes of a streamed value to its response.
    pub fn append_chunk(&mut self, connection: u64, request: RequestId, chunk: &[u8], now: Nanos) {
        if let Some(value) = self.streamed_value(connection, request) {
            value.append(chunk, now);
        }
        self.count_memory(connection);
        self.allocate_held_value(connection, now);
    }

    /// Returns the number of bytes of a streamed value that are not sent to the client yet.
    #[must_use]
    pub fn pending_bytes(&self, connection: u64, id: RequestId) -> usize {
        let Some(connection) = self.connections.get(&connection) else {
            return 0;
        };
        let mut responses = connection.responses.iter().enumerate();
        let pending = responses.find_map(|(index, response)| match response {
            // A part of the first response may already be in the output buffer.
            PendingResponse::Streaming(value) if value.request == id => {
                let unsent = if index == 0 {
                    connection.unsent_bytes()
                } else {
                    0
                };
                Some(value.bytes.len() + unsent)
            }
            _ => None,
        });
        pending.unwrap_or(0)
    }

    /// Decides whether reading of the cache's response is paused, and returns the decision. Under
    /// memory pressure any unsent byte suffices. A value that is held back for the requests behind
    /// it is read on if there is memory for the whole of it, and otherwise once there is. Reading of a
    /// paused response may be resumed when [`ListenerEvent::CapacityAvailable`] is reported for the
    /// request.
    pub fn apply_back_pressure(
        &mut self,
        connection: u64,
        request: RequestId,
        memory: MemoryPressure,
    ) -> bool {
        let pending = self.pending_bytes(connection, request);
        let Some(client) = self.connections.get_mut(&connection) else {
            return false;
        };
        let is_held = client.held_value().map(|value| value.request) == Some(request);
        let Some(value) = client.streamed_value(request) else {
            return false;
        };
        value.paused = if is_held {
            !value.has_memory()
        } else {
            pending >= STREAM_WINDOW || memory == MemoryPressure::High && pending > 0
        };
        value.paused
    }

    /// Ends a streamed value. An aborted value is replaced by an error if the client has received
    /// nothing of it; the other requests of the connection are not affected. Otherwise the
    /// connection is closed after the bytes that have arrived, so that the client detects the
    /// truncation.
    pub fn finish_streaming(
        &mut self,
        connection: u64,
        request: RequestId,
        end: StreamEnd,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let Some(client) = self.connections.get_mut(&connection) else {
            return;
        };
        match end {
            StreamEnd::Complete => client.complete_stream(request),
            StreamEnd::Aborted => {
                let unanswered = client.abort_stream(request, encode(FinalAnswer::Failed));
                counters.streams_replaced += u64::from(!client.is_truncated);
                counters.client_disconnects += unanswered.len() as u64;
                events.extend(
                    unanswered
                        .into_iter()
                        .map(ListenerEvent::ClientDisconnected),
                );
            }
        }
        self.flush(connection, now, events, counters);
        self.resume_held_values(now, events, counters);
    }

    /// Sends the first bytes of held values that are due, resumes those for which there is memory now,
    /// and reports those whose hold is over.
    pub(super) fn check_held_values(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        for number in self.connections_where(ClientConnection::holds_value) {
            self.flush(number, now, events, counters);
        }
        self.resume_held_values(now, events, counters);
        let all_end = self.holds_end_at.is_some_and(|end| now >= end);
        for (number, connection) in &mut self.connections {
            let value = connection.held_value();
            if let Some(value) = value.filter(|value| all_end || value.is_hold_over(now)) {
                events.push(ListenerEvent::HoldOver {
                    connection: *number,
                    request: value.request,
                });
            }
        }
    }

    /// Sets the time at which all holds of values end, as the process is shutting down.
    pub fn end_holds_at(&mut self, at: Nanos) {
        self.holds_end_at = Some(at);
    }

    /// Returns whether a value at the end of its hold counts as broken off. A hold that a shutdown ends
    /// early does not tell.
    #[must_use]
    pub fn is_held_value_broken(
        &mut self,
        connection: u64,
        request: RequestId,
        now: Nanos,
    ) -> bool {
        self.streamed_value(connection, request)
            .is_some_and(|value| value.is_hold_over(now) && value.is_broken_off(now))
    }

    /// Ends the hold of a value, and sends what has arrived of it.
    pub fn release_held_value(
        &mut self,
        connection: u64,
        request: RequestId,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        if let Some(value) = self.streamed_value(connection, request) {
            value.release();
        }
        self.flush(connection, now, events, counters);
    }

    /// Resumes the held values that wait for memory, as far as there is memory now.
    fn resume_held_values(
        &mut self,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        for number in self.connections_where(ClientConnection::holds_value) {
            self.allocate_held_value(number, now);
            let Some(connection) = self.connections.get_mut(&number) else {
                continue;
            };
            match connection.held_value() {
                Some(value) if value.has_memory() && value.paused => {
                    value.paused = false;
                    events.push(ListenerEvent::CapacityAvailable(value.request));
                }
                Some(_) => {}
                // The value is too long to be held.
                None => self.flush(number, now, events, counters),
            }
        }
    }

    /// Allocates memory for the whole of a value with no request behind it, so that it is held back for a
    /// while, if there is plenty.
    pub(super) fn allocate_lone_value(&mut self, number: u64, now: Nanos) {
        let connection = self.connections.get_mut(&number);
        let Some(value) = connection.and_then(ClientConnection::lone_value) else {
            return;
        };
        if self.memory_limit.permits_lone_value(value.missing_memory()) {
            value.allocate(now);
            self.count_memory(number);
        }
    }

    /// Allocates memory for the whole of a connection's held value if the limit permits it, or ends
    /// the hold of a value that is too long for the limit.
    fn allocate_held_value(&mut self, number: u64, now: Nanos) {
        let awaits_memory =
            |value: &&mut StreamedValue| !value.has_memory() && !value.is_hold_over(now);
        let connection = self.connections.get_mut(&number);
        let value = connection.and_then(ClientConnection::held_value);
        let Some(missing) = value.filter(awaits_memory).map(|v| v.missing_memory()) else {
            return;
        };
        let is_any_allocated = self.connections.values().any(has_allocated_value);
        let memory = self
            .memory_limit
            .admit_held_value(missing, is_any_allocated);
        let connection = self.connections.get_mut(&number);
        let Some(value) = connection.and_then(ClientConnection::held_value) else {
            return;
        };
        match memory {
            HeldValueMemory::Available => value.allocate(now),
            HeldValueMemory::AvailableLater => {}
            HeldValueMemory::Insufficient => value.release(),
        }
        self.count_memory(number);
    }
}

/// Returns whether memory is allocated for a whole value that is held back on this connection.
fn has_allocated_value(connection: &ClientConnection) -> bool {
    let mut responses = connection.responses.iter();
    responses
        .any(|response| matches!(response, PendingResponse::Streaming(value) if value.has_memory()))
}
