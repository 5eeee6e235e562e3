//! The open requests and their attempts: what the engine sends is begun here, and what becomes of
//! it is reported in the engine's outcomes. Nothing is retried from here; the engine decides that.

mod health_checks;
mod outcome;

use crate::counters::Counters;
use crate::request::{AnswerToken, AttemptRecord, FinalAnswer, IncomingRequest, RequestContext};
use crate::timers::MS;
use crate::upstream_pool::{ExchangeResult, OutboundCommand, UpstreamJob};
use health_checks::HealthChecks;
use outcome::{AttemptReply, ServedValue};
use routing::{AttemptNumber, AttemptOutcome, AttemptResult, EndpointId, Event, Nanos, RequestId};
use std::collections::{HashMap, HashSet};

/// A final answer that is due now.
pub type DueAnswer = (AnswerToken, FinalAnswer);

/// An attempt that the engine wants sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSpec {
    /// The request.
    pub request: RequestId,
    /// Its number among the request's attempts, by the engine.
    pub attempt: AttemptNumber,
    /// Where it goes.
    pub endpoint: EndpointId,
    /// How long it may take, if it is limited at all beyond the client's deadline.
    pub timeout: Option<Nanos>,
    /// Its first byte is written within this time or never.
    pub write_within: Option<Nanos>,
}

/// What a finished job means.
#[derive(Debug, Default)]
pub struct JobCompletion {
    /// The outcome for the engine.
    pub event: Option<Event>,
    /// The request's final answer, if the job brought it.
    pub answer: Option<DueAnswer>,
}

/// The value of this request is being streamed to its client.
#[derive(Clone, Copy, Debug)]
struct ActiveStream {
    client_connection: u64,
    attempt: AttemptNumber,
}

/// All requests that are owed an answer or have attempts out, and the health checks that are out.
#[derive(Default)]
pub struct AttemptTracker {
    requests: HashMap<RequestId, RequestContext>,
    /// The clients' ids of all requests.
    client_ids: HashSet<Vec<u8>>,
    health_checks: HealthChecks,
    streams: HashMap<RequestId, ActiveStream>,
    /// Bytes of all requests.
    buffered_bytes: usize,
    /// How long the process has been stalled so far, in all; no cache is blamed for that.
    total_stall: Nanos,
}

impl AttemptTracker {
    /// How many requests are open.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Bytes that the open requests hold.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Whether a request with this id of a client's is open: a second one would be taken for the
    /// first.
    #[must_use]
    pub fn is_request_id_in_use(&self, client_id: &[u8]) -> bool {
        self.client_ids.contains(client_id)
    }

    /// Records how long the process has been stalled so far, in all.
    pub fn set_total_stall(&mut self, total_stall: Nanos) {
        self.total_stall = total_stall;
    }

    /// Adds a request. Its time counts from when it can have arrived.
    pub fn add_request(&mut self, incoming: IncomingRequest) {
        let deadline = incoming.arrived_at.saturating_add(incoming.client_timeout);
        self.buffered_bytes += incoming.command.byte_size();
        self.client_ids.insert(incoming.command.request_id.clone());
        let id = incoming.answer_token.request;
        let context = RequestContext::new(incoming.answer_token, incoming.command, deadline);
        self.requests.insert(id, context);
    }

    /// A long value has begun to arrive: it is the request's answer, unless there is one. The
    /// cache has done its work, so the engine learns of the success now; how long the rest takes
    /// also depends on the client.
    pub fn start_stream(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
        length: usize,
        counters: &mut Counters,
    ) -> Option<(Event, DueAnswer)> {
        let answer_token = self.requests.get_mut(&request)?.answer_token.take()?;
        let event = self.end_attempt(now, request, attempt, AttemptOutcome::Ok, counters)?;
        counters.streamed += 1;
        let client_connection = answer_token.connection;
        let stream = ActiveStream {
            client_connection,
            attempt,
        };
        self.streams.insert(request, stream);
        Some((event, (answer_token, FinalAnswer::Streaming(length))))
    }

    /// The client connection to which this attempt's value is being streamed.
    #[must_use]
    pub fn stream_client(&self, request: RequestId, attempt: AttemptNumber) -> Option<u64> {
        let stream = self.streams.get(&request)?;
        (stream.attempt == attempt).then_some(stream.client_connection)
    }

    /// The attempt whose value is being streamed for this request.
    #[must_use]
    pub fn stream_job(&self, request: RequestId) -> Option<UpstreamJob> {
        let stream = self.streams.get(&request)?;
        Some(UpstreamJob::Attempt(request, stream.attempt))
    }

    /// The value is complete, broken off or no longer wanted.
    pub fn end_stream(&mut self, request: RequestId) {
        self.streams.remove(&request);
    }

    /// The client has left: nothing is owed any more.
    pub fn client_disconnected(&mut self, now: Nanos, request: RequestId) {
        if let Some(context) = self.requests.get_mut(&request) {
            (context.answer_token, context.client_disconnected_at) = (None, Some(now));
        }
        self.remove_if_over(request);
    }

    /// The engine's own final answer.
    pub fn answer(&mut self, request: RequestId, answer: FinalAnswer) -> Option<DueAnswer> {
        let answer_token = self.requests.get_mut(&request)?.answer_token.take()?;
        self.remove_if_over(request);
        Some((answer_token, answer))
    }

    /// How much of a request's time is left, while it is open.
    #[must_use]
    pub fn remaining_time(&self, now: Nanos, request: RequestId) -> Option<Nanos> {
        Some(self.requests.get(&request)?.deadline.saturating_sub(now))
    }

    /// The client connection to which an answer is owed.
    #[must_use]
    pub fn waiting_client(&self, request: RequestId) -> Option<u64> {
        Some(
            self.requests
                .get(&request)?
                .answer_token
                .as_ref()?
                .connection,
        )
    }

    fn remove_if_over(&mut self, request: RequestId) {
        let context = self.requests.get(&request);
        if context.is_some_and(RequestContext::is_finished)
            && let Some(context) = self.requests.remove(&request)
        {
            self.buffered_bytes -= context.command.byte_size();
            self.client_ids.remove(&context.command.request_id);
        }
    }

    /// Whatever is open ends by this time; the limits of attempts follow.
    pub fn limit_deadlines(&mut self, deadline: Nanos) {
        for context in self.requests.values_mut() {
            context.deadline = context.deadline.min(deadline);
            for attempt in context.attempts.values_mut() {
                attempt.deadline = attempt.deadline.min(deadline);
            }
        }
    }

    /// Begins an attempt: it gets a connection next.
    ///
    /// # Errors
    ///
    /// Gives the attempt's end for the engine if it is never sent: its request is over, or has no
    /// time left.
    pub fn start_attempt(
        &mut self,
        now: Nanos,
        new: AttemptSpec,
        counters: &mut Counters,
    ) -> Result<OutboundCommand, Box<Event>> {
        // The engine's own attempt number: with another one it would wait for an end for good.
        let not_sent = |request_finished| {
            Box::new(Event::AttemptEnded(AttemptResult {
                request: new.request,
                attempt: new.attempt,
                endpoint: new.endpoint,
                outcome: AttemptOutcome::NotSent,
                latency: 0,
                request_finished,
                cache_status: None,
                load_report: None,
            }))
        };
        let Some(context) = self.requests.get_mut(&new.request) else {
            return Err(not_sent(true));
        };
        // Caches get a timeout in whole milliseconds, and one that usually answers within
        // microseconds may well need a millisecond once.
        let timeout = new.timeout.map_or(Nanos::MAX, |t| t.max(MS));
        let deadline = now.saturating_add(timeout).min(context.deadline);
        if context.answer_token.is_none() || deadline < now + MS {
            counters.attempts_not_sent += 1;
            return Err(not_sent(context.answer_token.is_none()));
        }
        counters.attempts += 1;
        counters.hedges += u64::from(!context.attempts.is_empty());
        let write_within = new.write_within;
        let record = AttemptRecord {
            endpoint: new.endpoint,
            sent_at: now,
            total_stall_at_send: self.total_stall,
            deadline,
            write_deadline: write_within.map_or(Nanos::MAX, |within| now.saturating_add(within)),
        };
        context.attempts.insert(new.attempt, record);
        Ok(OutboundCommand {
            job: UpstreamJob::Attempt(new.request, new.attempt),
            endpoint: new.endpoint,
            deadline,
        })
    }

    /// The command of an attempt whose connection is up. That may be long after the engine
    /// decided, so what can have changed is checked again: whether an answer is still owed, and
    /// whether there is time.
    ///
    /// # Errors
    ///
    /// Gives the attempt's end for the engine, if it is still out: it is never sent.
    pub fn encode_command(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
        counters: &mut Counters,
    ) -> Result<Vec<u8>, Option<Box<Event>>> {
        let command = self.requests.get(&request).and_then(|context| {
            let record = context.attempts.get(&attempt)?;
            // Caches get a timeout in whole milliseconds.
            let in_time = record.deadline >= now + MS && now < record.write_deadline;
            (context.answer_token.is_some() && in_time)
                .then(|| context.command.encode((record.deadline - now) / MS))
        });
        command.ok_or_else(|| {
            self.count_unsent(now, request, counters);
            self.end_attempt(now, request, attempt, AttemptOutcome::NotSent, counters)
                .map(Box::new)
        })
    }

    /// An attempt of this request ends unsent: counts it if its client had left.
    pub fn count_unsent(&self, now: Nanos, request: RequestId, counters: &mut Counters) {
        if let Some(left) = self
            .requests
            .get(&request)
            .and_then(|context| context.client_disconnected_at)
        {
            let ms = now.saturating_sub(left).div_ceil(MS);
            counters.unsent_after_disconnect += 1;
            counters.longest_unsent_after_disconnect_ms =
                counters.longest_unsent_after_disconnect_ms.max(ms);
        }
    }

    /// An attempt is over, as a rule without an answer: by its timeout, at the engine's request or
    /// for want of a connection. Returns its end for the engine, if it was still out.
    pub fn end_attempt(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        counters: &mut Counters,
    ) -> Option<Event> {
        let reply = AttemptReply::without_value(outcome);
        let result = self.end_attempt_with(now, request, attempt, &reply, counters)?;
        Some(Event::AttemptEnded(result))
    }

    fn end_attempt_with(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
        reply: &AttemptReply,
        counters: &mut Counters,
    ) -> Option<AttemptResult> {
        let outcome = reply.outcome;
        let context = self.requests.get_mut(&request)?;
        let record = context.attempts.remove(&attempt)?;
        let request_finished = context.answer_token.is_none();
        self.remove_if_over(request);
        let stalled = self.total_stall - record.total_stall_at_send;
        let latency = now.saturating_sub(record.sent_at).saturating_sub(stalled);
        log::trace!(
            "request {} attempt {} at endpoint {}: {outcome:?} after {} ms",
            request.0,
            attempt.0,
            record.endpoint.0,
            latency / MS
        );
        outcome::count(outcome, counters);
        let served = reply.served.as_ref();
        Some(AttemptResult {
            request,
            attempt,
            endpoint: record.endpoint,
            outcome,
            latency,
            request_finished,
            cache_status: served.and_then(|served| served.cache_status),
            load_report: served.and_then(|served| served.load_report),
        })
    }

    /// Begins a health check.
    pub fn start_health_check(
        &mut self,
        endpoint: EndpointId,
        counters: &mut Counters,
    ) -> UpstreamJob {
        counters.health_checks += 1;
        self.health_checks.start(endpoint)
    }

    /// A health check has timed out.
    pub fn time_out_health_check(&mut self, number: u64) -> Option<Event> {
        self.health_checks.time_out(number)
    }

    /// What a finished job means to the engine and to the request.
    pub fn complete_job(
        &mut self,
        now: Nanos,
        job: UpstreamJob,
        result: ExchangeResult,
        counters: &mut Counters,
    ) -> JobCompletion {
        let (request, attempt) = match job {
            UpstreamJob::Attempt(request, attempt) => (request, attempt),
            UpstreamJob::HealthCheck(number) => {
                let event = self.health_checks.complete(number, result);
                return JobCompletion {
                    event,
                    answer: None,
                };
            }
        };
        let reply = AttemptReply::from(result);
        // The first answer is the request's; of a hedge that was served too, only the outcome
        // counts.
        let is_served = reply.served.is_some();
        let context = self.requests.get_mut(&request).filter(|_| is_served);
        let answer_token = context.and_then(|context| context.answer_token.take());
        let event = self
            .end_attempt_with(now, request, attempt, &reply, counters)
            .map(Event::AttemptEnded);
        let value = reply.served.map(|ServedValue { value, .. }| value);
        let answer = answer_token.zip(value.map(FinalAnswer::Served));
        JobCompletion { event, answer }
    }
}

#[cfg(test)]
mod tests;
