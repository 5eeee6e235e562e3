//! Back pressure for streamed values: while a client reads slowly, the response of the cache is not
//! read.

use super::connection::PendingResponse;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use routing::{Nanos, RequestId};

/// Number of unsent bytes of a streamed value from which on the cache's response is not read.
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
    fn streaming_response(
        &mut self,
        connection: u64,
        id: RequestId,
    ) -> Option<&mut PendingResponse> {
        self.connections
            .get_mut(&connection)?
            .responses
            .iter_mut()
            .find(|response| {
                matches!(response, PendingResponse::Streaming { request, .. } if *request == id)
            })
    }

    /// Appends the next bytes of a streamed value to its response.
    pub fn append_chunk(&mut self, connection: u64, request: RequestId, chunk: &[u8]) {
        if let Some(PendingResponse::Streaming { bytes, .. }) =
            self.streaming_response(connection, request)
        {
            bytes.extend_from_slice(chunk);
        }
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
            PendingResponse::Streaming { request, bytes, .. } if *request == id => {
                let unsent = if index == 0 {
                    connection.unsent_bytes()
                } else {
                    0
                };
                Some(bytes.len() + unsent)
            }
            _ => None,
        });
        pending.unwrap_or(0)
    }

    /// Returns whether the cache's response must not be read until
    /// [`ListenerEvent::CapacityAvailable`] is reported for the request. Under memory pressure this
    /// holds as soon as any byte is unsent.
    pub fn apply_back_pressure(
        &mut self,
        connection: u64,
        request: RequestId,
        memory: MemoryPressure,
    ) -> bool {
        let pending = self.pending_bytes(connection, request);
        let Some(PendingResponse::Streaming { paused, .. }) =
            self.streaming_response(connection, request)
        else {
            return false;
        };
        *paused = pending >= STREAM_WINDOW || memory == MemoryPressure::High && pending > 0;
        *paused
    }

    /// Ends a streamed value. An aborted value closes the client connection, so that the client
    /// detects the truncation.
    pub fn finish_streaming(
        &mut self,
        connection: u64,
        request: RequestId,
        end: StreamEnd,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let Some(response) = self.streaming_response(connection, request) else {
            return;
        };
        if let PendingResponse::Streaming { bytes, .. } = response {
            let mut bytes = std::mem::take(bytes);
            if end == StreamEnd::Complete {
                bytes.extend_from_slice(b"\r\n");
            }
            *response = PendingResponse::Answered(bytes);
        }
        match end {
            StreamEnd::Complete => self.flush(connection, now, events, counters),
            StreamEnd::Aborted => self.close(connection, counters, events),
        }
    }
}
