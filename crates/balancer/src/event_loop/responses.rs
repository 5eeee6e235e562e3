//! Responses of caches: they complete attempts, stream long values and answer requests.

use super::EventLoop;
use crate::attempt_tracker::{DueAnswer, JobCompletion};
use crate::listener::resp::{ListenerEvent, MemoryPressure, StreamEnd};
use crate::request::FinalAnswer;
use crate::timers::TimerKind;
use crate::upstream_pool::{CloseReason, ExchangeResult, UpstreamEvent, UpstreamJob};
use routing::{AttemptNumber, AttemptOutcome, Event, Nanos, RequestId};

/// Long values may be buffered for slow clients up to the memory limit of requests and responses
/// divided by this.
const STREAM_MEMORY_DIVISOR: usize = 3;

impl EventLoop {
    pub(super) fn handle_upstream_events(&mut self, now: Nanos, events: Vec<UpstreamEvent>) {
        for event in events {
            match event {
                // The connection of a postponed job is reported as writable by every poll.
                UpstreamEvent::Connected { job } if self.connected_jobs.contains(&job) => {}
                UpstreamEvent::Connected { job } => self.connected_jobs.push_back(job),
                UpstreamEvent::LongValueBegun { job } => self.long_value_begun(now, job),
                UpstreamEvent::ResponseStalled { job } => self.report_stall(job),
                UpstreamEvent::StreamStarted { job, length } => {
                    self.start_streaming(now, job, length);
                }
                UpstreamEvent::StreamChunk { job, bytes } => self.stream_chunk(now, job, &bytes),
                UpstreamEvent::Completed { job, result } => self.finish_job(now, job, result),
            }
        }
    }

    fn finish_job(&mut self, now: Nanos, job: UpstreamJob, result: ExchangeResult) {
        if let UpstreamJob::Attempt(request, attempt) = job {
            self.timers.cancel(TimerKind::Attempt(request, attempt));
            if let Some(connection) = self.attempt_tracker.stream_client(request, attempt) {
                return self.finish_streaming(now, connection, request, &result);
            }
        }
        self.counters.upstream_slots_exhausted += u64::from(result == ExchangeResult::NoCapacity);
        let JobCompletion { event, answer } =
            self.attempt_tracker
                .complete_job(now, job, result, &mut self.counters);
        self.pending_events.extend(event);
        if let Some(answer) = answer {
            self.send_answer(now, answer);
        }
    }

    /// Reports to the engine that the head of a long value has arrived, or cancels the attempt if its
    /// request needs no answer any more.
    fn long_value_begun(&mut self, now: Nanos, job: UpstreamJob) {
        let UpstreamJob::Attempt(request, attempt) = job else {
            return;
        };
        match self.attempt_tracker.long_value_begun(now, request, attempt) {
            Some(event) => self.pending_events.push(event),
            None => self.abandon_unneeded(now, request, attempt),
        }
    }

    fn report_stall(&mut self, job: UpstreamJob) {
        if let UpstreamJob::Attempt(request, attempt) = job {
            let event = Event::ResponseStalled { request, attempt };
            self.pending_events.push(event);
        }
    }

    /// Begins to stream the long value of an attempt on the engine's decision, however little of it
    /// has arrived.
    pub(super) fn forward_long_value(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        let mut events = Vec::new();
        self.attempt_tracker.forward_long_value(request, attempt);
        self.upstream_pool.start_stream(
            now,
            UpstreamJob::Attempt(request, attempt),
            &mut self.timers,
            &mut events,
            &mut self.counters,
        );
        self.handle_upstream_events(now, events);
    }

    /// Starts streaming a long value whose first bytes have arrived, or cancels the attempt if its
    /// request needs no answer any more.
    fn start_streaming(&mut self, now: Nanos, job: UpstreamJob, length: usize) {
        let UpstreamJob::Attempt(request, attempt) = job else {
            return;
        };
        self.timers.cancel(TimerKind::Attempt(request, attempt));
        let started =
            self.attempt_tracker
                .start_stream(now, request, attempt, length, &mut self.counters);
        if let Some((event, answer)) = started {
            self.pending_events.push(event);
            return self.send_answer(now, answer);
        }
        self.abandon_unneeded(now, request, attempt);
    }

    /// Cancels an attempt whose request another attempt has completed, or whose client has
    /// disconnected.
    fn abandon_unneeded(&mut self, now: Nanos, request: RequestId, attempt: AttemptNumber) {
        self.timers.cancel(TimerKind::Attempt(request, attempt));
        let job = UpstreamJob::Attempt(request, attempt);
        self.upstream_pool
            .abandon(job, CloseReason::Unneeded, &mut self.counters);
        let outcome = AttemptOutcome::Cancelled;
        let ended =
            self.attempt_tracker
                .end_attempt(now, request, attempt, outcome, &mut self.counters);
        self.pending_events.extend(ended);
    }

    /// Forwards the next bytes of a long value, and pauses reading from the cache while the client
    /// can't accept more.
    fn stream_chunk(&mut self, now: Nanos, job: UpstreamJob, bytes: &[u8]) {
        let UpstreamJob::Attempt(request, attempt) = job else {
            return;
        };
        let Some(connection) = self.attempt_tracker.stream_client(request, attempt) else {
            return;
        };
        self.listener.append_chunk(connection, request, bytes, now);
        let mut events = Vec::new();
        self.listener
            .flush(connection, now, &mut events, &mut self.counters);
        let memory = self.stream_memory_pressure(connection, request);
        if self
            .listener
            .apply_back_pressure(connection, request, memory)
        {
            self.upstream_pool.pause(now, job);
        }
        self.handle_listener_events(now, events);
    }

    /// Returns the memory pressure for a streamed value.
    fn stream_memory_pressure(&self, connection: u64, request: RequestId) -> MemoryPressure {
        if self.listener.pending_bytes(connection, request) > 0 {
            self.memory_pressure()
        } else {
            MemoryPressure::Low
        }
    }

    /// Returns the memory pressure. It is high well below the limits at which requests are rejected,
    /// so that long values don't cause rejections.
    pub(super) fn memory_pressure(&self) -> MemoryPressure {
        if self.held_bytes() > self.memory_limit / STREAM_MEMORY_DIVISOR {
            MemoryPressure::High
        } else {
            MemoryPressure::Low
        }
    }

    /// Ends the hold of a value that can't be held back any longer: a value that is broken off, as far
    /// as can be told, is replaced; any other is sent. Returns the further events of its connection.
    pub(super) fn end_hold(
        &mut self,
        now: Nanos,
        connection: u64,
        request: RequestId,
    ) -> Vec<ListenerEvent> {
        let mut events = Vec::new();
        let Some(job) = self.attempt_tracker.stream_job(request) else {
            return events;
        };
        let is_broken = self.listener.is_held_value_broken(connection, request, now)
            || self.upstream_pool.has_broken_off(job);
        if is_broken {
            self.upstream_pool
                .abandon(job, CloseReason::Unreadable, &mut self.counters);
            self.finish_streaming(now, connection, request, &ExchangeResult::Unreadable);
        } else {
            self.listener.release_held_value(
                connection,
                request,
                now,
                &mut events,
                &mut self.counters,
            );
        }
        events
    }

    fn finish_streaming(
        &mut self,
        now: Nanos,
        connection: u64,
        request: RequestId,
        result: &ExchangeResult,
    ) {
        self.attempt_tracker.end_stream(request);
        let stream_end = match result {
            ExchangeResult::Response(_) => StreamEnd::Complete,
            _ => StreamEnd::Aborted,
        };
        self.counters.streams_aborted += u64::from(stream_end == StreamEnd::Aborted);
        let mut events = Vec::new();
        self.listener.finish_streaming(
            connection,
            request,
            stream_end,
            now,
            &mut events,
            &mut self.counters,
        );
        self.handle_listener_events(now, events);
    }

    /// Counts a final answer and sends it to its client.
    pub(super) fn send_answer(&mut self, now: Nanos, (answer_token, answer): DueAnswer) {
        match answer {
            FinalAnswer::Served(_) | FinalAnswer::Streaming { .. } => self.counters.served += 1,
            FinalAnswer::Rejected { .. } => self.counters.rejected += 1,
            FinalAnswer::Failed | FinalAnswer::Invalid(_) => self.counters.failed += 1,
        }
        let connection = answer_token.connection;
        self.listener.answer(answer_token, answer, now);
        let mut events = Vec::new();
        self.listener
            .flush(connection, now, &mut events, &mut self.counters);
        self.limit_unsent_answers(connection, &mut events);
        self.handle_listener_events(now, events);
    }

    /// Keeps the answers that wait for their turn on a connection within the memory limit, and those
    /// that clients don't read within the limit and a third of it.
    fn limit_unsent_answers(&mut self, connection: u64, events: &mut Vec<ListenerEvent>) {
        if self.held_bytes() <= self.memory_limit || !self.listener.exceeds_share(connection, 0) {
            return;
        }
        self.listener
            .replace_waiting_answers(connection, &mut self.counters);
        let answers_max = (self.memory_limit + self.memory_limit / 3)
            .saturating_sub(self.attempt_tracker.buffered_bytes());
        self.listener
            .close_slowest_readers(answers_max, events, &mut self.counters);
    }
}
