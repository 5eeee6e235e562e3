//! Long values that are sent to a client while they arrive from a cache.
//!
//! If a cache breaks off a value of which the client has received a part, only closing the connection
//! tells the client, and the requests behind the value remain without answers. A value with requests
//! behind it is therefore held back until it is complete. The first byte of an answer is due before
//! the client's deadline; it says only that a bulk string follows, so that the value can still be
//! replaced by the null bulk string.

use super::ListenerEvent;
use super::connection::{ClientConnection, append_output};
use super::pending_response::PendingResponse;
use crate::request::HoldTimes;
use crate::timers::MS;
use routing::{Nanos, RequestId};

/// First byte of each bulk string.
const BULK_TYPE: u8 = b'$';
/// What follows [`BULK_TYPE`] in the null bulk string, which clients count as a failure.
const NULL_BULK_REST: &[u8] = b"-1\r\n";
/// A held value counts as broken off at the end of its hold if nothing of it has arrived for the time
/// since it was allocated divided by this.
const SILENCE_DIVISOR: Nanos = 2;
/// Minimum time for which a held value must have been read to tell whether its cache still sends.
const OBSERVATION_MIN: Nanos = 300 * MS;

/// How much of a streamed value the client may have received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamProgress {
    /// Nothing is in the output buffer, because other responses come first, or because the value is
    /// held back for the requests behind it.
    NotStarted,
    /// The first byte of the answer is in the output buffer or sent, and the value is held back.
    Announced,
    /// A part is in the output buffer, and the socket has accepted none of it.
    Queued,
    /// The socket has accepted a part. The value can't be replaced any more.
    Sent,
}

/// What is to be done with a value whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldStep {
    /// Nothing is sent yet.
    Wait,
    /// The first byte of the answer has to be sent.
    SendFirstByte,
    /// The value is not held back any more.
    Send,
}

/// A long value that arrives from a cache while it is sent to the client.
#[derive(Debug)]
pub(super) struct StreamedValue {
    pub(super) request: RequestId,
    /// Bytes that have arrived and are not in the output buffer yet, beginning with the header.
    pub(super) bytes: Vec<u8>,
    /// Length of the whole answer in bytes, with its header and end.
    answer_length: usize,
    /// Whether reading of the cache's response is paused until the client has accepted more, or
    /// until there is memory for the whole value.
    pub(super) paused: bool,
    pub(super) progress: StreamProgress,
    hold: HoldTimes,
    /// Time from which on the value is the first response of its connection.
    turn_at: Option<Nanos>,
    /// Time at which memory for the whole answer was allocated; `None` if it is not.
    allocated_at: Option<Nanos>,
    /// Time at which bytes of the value last arrived.
    last_arrival: Nanos,
}

impl StreamedValue {
    /// Creates a value of `length` bytes of which only the header has arrived.
    pub(super) fn new(
        request: RequestId,
        header: Vec<u8>,
        length: usize,
        hold: HoldTimes,
        now: Nanos,
    ) -> Self {
        StreamedValue {
            request,
            answer_length: header.len() + length + b"\r\n".len(),
            bytes: header,
            paused: false,
            progress: StreamProgress::NotStarted,
            hold,
            turn_at: None,
            allocated_at: None,
            last_arrival: now,
        }
    }

    /// Adds bytes that have arrived.
    pub(super) fn append(&mut self, bytes: &[u8], now: Nanos) {
        self.bytes.extend_from_slice(bytes);
        self.last_arrival = now;
    }

    /// Returns the number of bytes of memory that the whole answer takes beyond what is allocated.
    pub(super) fn missing_memory(&self) -> usize {
        self.answer_length.saturating_sub(self.bytes.capacity())
    }

    /// Allocates memory for the whole answer. Its bytes then arrive without a pause.
    pub(super) fn allocate(&mut self, now: Nanos) {
        let missing = self.answer_length.saturating_sub(self.bytes.len());
        self.bytes.reserve_exact(missing);
        self.allocated_at = Some(now);
    }

    /// Returns whether memory for the whole answer is allocated.
    pub(super) fn has_memory(&self) -> bool {
        self.allocated_at.is_some()
    }

    /// Ends the hold.
    pub(super) fn release(&mut self) {
        self.hold = HoldTimes::NONE;
    }

    fn is_released(&self) -> bool {
        self.hold == HoldTimes::NONE
    }

    /// Returns whether the hold can't be extended any more.
    pub(super) fn is_hold_over(&self, now: Nanos) -> bool {
        let elapsed = self.turn_at.map(|turn_at| now.saturating_sub(turn_at));
        elapsed.is_some_and(|elapsed| elapsed >= self.hold.end)
    }

    /// Returns whether the value counts as broken off at the end of its hold: its cache has sent
    /// nothing for too long, or that can't be told as there was no memory to read on, and the
    /// client's time is over.
    pub(super) fn is_broken_off(&self, now: Nanos) -> bool {
        let read_for = self.allocated_at.map(|at| now.saturating_sub(at));
        match read_for.filter(|time| *time >= OBSERVATION_MIN) {
            Some(time) => now.saturating_sub(self.last_arrival) >= time / SILENCE_DIVISOR,
            None => self.progress == StreamProgress::Announced,
        }
    }

    /// Returns what is to be done with the value, whose turn it is. The end of the hold is decided by
    /// the event loop, which knows whether the cache still sends.
    fn hold_step(&mut self, has_requests_behind: bool, now: Nanos) -> HoldStep {
        let turn_at = *self.turn_at.get_or_insert(now);
        if self.is_released() {
            HoldStep::Send
        } else if !has_requests_behind {
            // Memory is for the values with requests behind them first.
            if self.has_memory() && now.saturating_sub(turn_at) < self.hold.alone {
                HoldStep::Wait
            } else {
                HoldStep::Send
            }
        } else if now.saturating_sub(turn_at) < self.hold.first_byte
            || self.progress == StreamProgress::Announced
        {
            HoldStep::Wait
        } else {
            HoldStep::SendFirstByte
        }
    }

    /// Records that the socket has accepted bytes of the value.
    pub(super) fn record_sent(&mut self) {
        if self.progress == StreamProgress::Queued {
            self.progress = StreamProgress::Sent;
        }
    }
}

impl ClientConnection {
    /// Returns the streamed value of this request.
    pub(super) fn streamed_value(&mut self, id: RequestId) -> Option<&mut StreamedValue> {
        self.responses
            .iter_mut()
            .find_map(|response| match response {
                PendingResponse::Streaming(value) if value.request == id => Some(value.as_mut()),
                _ => None,
            })
    }

    fn first_value(&self) -> Option<&StreamedValue> {
        match self.responses.front() {
            Some(PendingResponse::Streaming(value)) => Some(value),
            _ => None,
        }
    }

    /// Returns whether a part of a streamed value is sent and the rest has not arrived. Commands
    /// behind it stay unread: if the cache aborts the value, the connection is closed, and a command
    /// that was not read can be sent elsewhere.
    pub(super) fn is_sending_stream(&self) -> bool {
        let progress = self.first_value().map(|value| value.progress);
        matches!(
            progress,
            Some(StreamProgress::Queued | StreamProgress::Sent)
        )
    }

    /// Returns whether a byte of a streamed value may have been sent.
    pub(super) fn has_begun_stream(&self) -> bool {
        self.first_value()
            .is_some_and(|value| value.progress != StreamProgress::NotStarted)
    }

    fn has_requests_behind_first(&self) -> bool {
        self.responses.len() > 1 || self.has_partial_command()
    }

    /// Returns whether the first response is a value that waits for the end of its hold only.
    pub(super) fn holds_value(&self) -> bool {
        self.first_value()
            .is_some_and(|value| match value.progress {
                StreamProgress::NotStarted => {
                    !value.is_released()
                        && self.unsent_bytes() == 0
                        && (value.has_memory() || self.has_requests_behind_first())
                }
                StreamProgress::Announced => true,
                StreamProgress::Queued | StreamProgress::Sent => false,
            })
    }

    /// Returns a value that may be held back although no request is behind it.
    pub(super) fn lone_value(&mut self) -> Option<&mut StreamedValue> {
        if self.unsent_bytes() > 0 || self.has_requests_behind_first() {
            return None;
        }
        match self.responses.front_mut() {
            Some(PendingResponse::Streaming(value))
                if value.progress == StreamProgress::NotStarted && value.hold.alone > 0 =>
            {
                Some(value)
            }
            _ => None,
        }
    }

    /// Returns the value that is held back.
    pub(super) fn held_value(&mut self) -> Option<&mut StreamedValue> {
        if !self.holds_value() {
            return None;
        }
        match self.responses.front_mut() {
            Some(PendingResponse::Streaming(value)) => Some(value),
            _ => None,
        }
    }

    /// Moves the received bytes of a streamed value to the output buffer if it is the value's turn.
    /// A value begins only in an empty buffer, so that it can be replaced until the socket has
    /// accepted a part of it.
    pub(super) fn queue_stream(&mut self, now: Nanos) {
        let has_requests_behind = self.has_requests_behind_first();
        let has_output = self.unsent_bytes() > 0;
        let Some(PendingResponse::Streaming(value)) = self.responses.front_mut() else {
            return;
        };
        if value.progress == StreamProgress::NotStarted && has_output {
            return;
        }
        if matches!(
            value.progress,
            StreamProgress::NotStarted | StreamProgress::Announced
        ) {
            match value.hold_step(has_requests_behind, now) {
                HoldStep::Wait => return,
                HoldStep::SendFirstByte => {
                    value.progress = StreamProgress::Announced;
                    value.bytes.remove(0);
                    return append_output(&mut self.output, vec![BULK_TYPE]);
                }
                HoldStep::Send => {
                    value.progress = match value.progress {
                        StreamProgress::NotStarted => StreamProgress::Queued,
                        _ => StreamProgress::Sent,
                    };
                }
            }
        }
        self.output.drain(..std::mem::take(&mut self.written));
        append_output(&mut self.output, std::mem::take(&mut value.bytes));
    }

    /// Resumes a paused stream once all output is written. Returns the event for the event loop.
    pub(super) fn resume_stream(&mut self) -> Option<ListenerEvent> {
        if self.unsent_bytes() > 0 || self.holds_value() {
            return None;
        }
        match self.responses.front_mut() {
            Some(PendingResponse::Streaming(value)) if value.paused => {
                value.paused = false;
                Some(ListenerEvent::CapacityAvailable(value.request))
            }
            _ => None,
        }
    }

    /// Adds the end of a streamed value whose bytes have all arrived.
    pub(super) fn complete_stream(&mut self, id: RequestId) {
        let response = self.responses.iter_mut().find(
            |response| matches!(response, PendingResponse::Streaming(value) if value.request == id),
        );
        if let Some(response) = response
            && let PendingResponse::Streaming(value) = response
        {
            let mut bytes = std::mem::take(&mut value.bytes);
            bytes.extend_from_slice(b"\r\n");
            *response = PendingResponse::Answered(bytes);
        }
    }

    /// Replaces an aborted value by an error if the client has received nothing of it, or by the null
    /// bulk string if it has received the first byte only. Otherwise the connection ends after the
    /// output. Returns the requests that remain unanswered.
    pub(super) fn abort_stream(&mut self, id: RequestId, error: Vec<u8>) -> Vec<RequestId> {
        let Some(value) = self.streamed_value(id) else {
            return Vec::new();
        };
        let replacement = match value.progress {
            StreamProgress::NotStarted | StreamProgress::Queued => error,
            StreamProgress::Announced => NULL_BULK_REST.to_vec(),
            StreamProgress::Sent => return self.truncate_stream(id),
        };
        if value.progress == StreamProgress::Queued {
            (self.output, self.written) = (Vec::new(), 0);
        }
        let mut responses = self.responses.iter_mut();
        if let Some(response) = responses.find(|r| r.unfinished_request() == Some(id)) {
            *response = PendingResponse::Answered(replacement);
        }
        Vec::new()
    }

    /// Has the connection end after the output, as a part of this value is sent. Returns the other
    /// requests that remain unanswered.
    fn truncate_stream(&mut self, id: RequestId) -> Vec<RequestId> {
        self.is_truncated = true;
        self.input = Vec::new();
        self.ids.record_end(self.unsent_bytes());
        let dropped = std::mem::take(&mut self.responses);
        let unanswered = dropped
            .iter()
            .filter_map(PendingResponse::unfinished_request);
        unanswered.filter(|request| *request != id).collect()
    }
}
