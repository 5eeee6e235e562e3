//! Long values that arrive in parts: a client that takes them slowly stops the reading of their
//! cache.

use super::connection::PendingResponse;
use super::{ListenerEvent, RespListener};
use crate::counters::Counters;
use routing::{Nanos, RequestId};

/// While this much of a streamed value waits for its client, its cache isn't read.
pub(super) const STREAM_WINDOW: usize = 64 * 1024;

/// How a streamed value ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All of it has arrived.
    Complete,
    /// The upstream connection broke before.
    Aborted,
}

/// Whether memory for requests and responses runs short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryPressure {
    /// Enough is free.
    Low,
    /// As little as possible is to be buffered.
    High,
}

impl RespListener {
    fn streaming(&mut self, connection: u64, wanted: RequestId) -> Option<&mut PendingResponse> {
        self.connections
            .get_mut(&connection)?
            .responses
            .iter_mut()
            .find(|response| {
                matches!(response, PendingResponse::Streaming { request, .. } if *request == wanted)
            })
    }

    /// Adds the next bytes of a streamed value.
    pub fn append_chunk(&mut self, connection: u64, request: RequestId, chunk: &[u8]) {
        if let Some(PendingResponse::Streaming { bytes, .. }) = self.streaming(connection, request)
        {
            bytes.extend_from_slice(chunk);
        }
    }

    /// How much of a streamed value waits for its client.
    #[must_use]
    pub fn pending_bytes(&self, connection: u64, wanted: RequestId) -> usize {
        let Some(connection) = self.connections.get(&connection) else {
            return 0;
        };
        let mut responses = connection.responses.iter().enumerate();
        let pending = responses.find_map(|(index, response)| match response {
            // Some of the first response may be with the output already.
            PendingResponse::Streaming { request, bytes, .. } if *request == wanted => {
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

    /// Whether the cache of a streamed value must not be read until the client has taken more,
    /// which [`ListenerEvent::CapacityAvailable`] tells. Under memory pressure that is as soon as
    /// anything waits.
    pub fn apply_back_pressure(
        &mut self,
        connection: u64,
        request: RequestId,
        memory: MemoryPressure,
    ) -> bool {
        let pending = self.pending_bytes(connection, request);
        let Some(PendingResponse::Streaming { paused, .. }) = self.streaming(connection, request)
        else {
            return false;
        };
        *paused = pending >= STREAM_WINDOW || memory == MemoryPressure::High && pending > 0;
        *paused
    }

    /// Ends a streamed value. If it was aborted its connection is closed, so that the client can
    /// tell.
    pub fn finish_streaming(
        &mut self,
        connection: u64,
        request: RequestId,
        end: StreamEnd,
        now: Nanos,
        events: &mut Vec<ListenerEvent>,
        counters: &mut Counters,
    ) {
        let Some(response) = self.streaming(connection, request) else {
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
