//! Long values of attempts, from their heads on, and their streams to clients.

use super::{ActiveStream, AttemptTracker, DueAnswer};
use crate::counters::Counters;
use crate::request::{FinalAnswer, HoldTimes};
use crate::timers::MS;
use crate::upstream_pool::UpstreamJob;
use routing::{AttemptNumber, AttemptOutcome, Event, Nanos, RequestId};

/// A long value with no request behind it is held back for the rest of its latency objective divided by
/// this, as a request may follow.
const HOLD_ALONE_DIVISOR: Nanos = 2;
/// Time before the client's deadline at which the first byte of a long value that is held back is
/// sent. The end of that wait is detected up to 50 ms late.
const FIRST_BYTE_MARGIN: Nanos = 100 * MS;
/// Maximum time from the head of a long value until the bytes that have arrived are sent. A value of
/// which bytes are held back for 2 s counts as lost.
const HOLD_MAX: Nanos = 1_700 * MS;

impl AttemptTracker {
    /// Starts to stream a long value that has begun to arrive, unless the request is already
    /// answered. The attempt ends as successful now: the cache has done its work, and the time that
    /// the transfer takes also depends on the client.
    pub fn start_stream(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
        length: usize,
        counters: &mut Counters,
    ) -> Option<(Event, DueAnswer)> {
        let context = self.requests.get_mut(&request)?;
        let answer_token = context.answer_token.take()?;
        let attempt_record = context.attempts.get(&attempt);
        let head_at = attempt_record.and_then(|record| record.long_value_since);
        let hold = HoldTimes {
            alone: context.objective.saturating_sub(now) / HOLD_ALONE_DIVISOR,
            first_byte: context.deadline.saturating_sub(now + FIRST_BYTE_MARGIN),
            end: (head_at.unwrap_or(now) + HOLD_MAX).saturating_sub(now),
        };
        let event = self.end_attempt(now, request, attempt, AttemptOutcome::Ok, counters)?;
        counters.streamed += 1;
        let client_connection = answer_token.connection;
        let stream = ActiveStream {
            client_connection,
            attempt,
        };
        self.streams.insert(request, stream);
        let answer = FinalAnswer::Streaming { length, hold };
        Some((event, (answer_token, answer)))
    }

    /// Records that the head of a long value has arrived for an attempt. Returns the event for the
    /// engine, or `None` if the request needs no answer any more.
    pub fn long_value_begun(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Option<Event> {
        let context = self.requests.get_mut(&request)?;
        context.answer_token.as_ref()?;
        context.attempts.get_mut(&attempt)?.long_value_since = Some(now);
        Some(Event::LongValueBegun { request, attempt })
    }

    /// Records that the long value of an attempt is forwarded on the engine's decision. The latency
    /// of the cache is then that of the head.
    pub fn forward_long_value(&mut self, request: RequestId, attempt: AttemptNumber) {
        let context = self.requests.get_mut(&request);
        if let Some(record) = context.and_then(|context| context.attempts.get_mut(&attempt)) {
            record.answered_at = record.long_value_since;
        }
    }

    /// Returns the client connection to which the value of this attempt is being streamed.
    #[must_use]
    pub fn stream_client(&self, request: RequestId, attempt: AttemptNumber) -> Option<u64> {
        let stream = self.streams.get(&request)?;
        (stream.attempt == attempt).then_some(stream.client_connection)
    }

    /// Returns the job whose value is being streamed for this request.
    #[must_use]
    pub fn stream_job(&self, request: RequestId) -> Option<UpstreamJob> {
        let stream = self.streams.get(&request)?;
        Some(UpstreamJob::Attempt(request, stream.attempt))
    }

    /// Removes the stream of a request when the value is complete, aborted or no longer needed.
    pub fn end_stream(&mut self, request: RequestId) {
        self.streams.remove(&request);
    }
}
