//! The open requests and their attempts. The tracker starts the attempts that the engine decides on
//! and reports to the engine how they end. It does not retry anything itself; the engine decides on
//! retries.

mod health_checks;
mod outcome;
mod streams;

use crate::counters::Counters;
use crate::request::{
    AnswerToken, AttemptRecord, ClientHistory, FinalAnswer, IncomingRequest, RequestContext,
};
use crate::timers::MS;
use crate::upstream_pool::{ExchangeResult, OutboundCommand, UpstreamJob};
use health_checks::HealthChecks;
use outcome::{AttemptReply, ServedValue};
use routing::{AttemptNumber, AttemptOutcome, AttemptResult, EndpointId, Event, Nanos, RequestId};
use std::collections::HashMap;

/// A final answer to be sent now, with the answer token of its request.
pub type DueAnswer = (AnswerToken, FinalAnswer);

/// An attempt to be sent, as the engine decided.
#[derive(Clone, Copy, Debug)]
pub struct AttemptSpec {
    /// Request to which the attempt belongs.
    pub request: RequestId,
    /// Number that the engine gave the attempt, unique within the request.
    pub attempt: AttemptNumber,
    /// Endpoint that receives the attempt.
    pub endpoint: EndpointId,
    /// Timeout of the attempt. The client's deadline applies in any case.
    pub timeout: Option<Nanos>,
    /// Time within which the first byte has to be written; otherwise the attempt is not sent.
    pub write_within: Option<Nanos>,
}

/// Consequences of a completed job.
#[derive(Debug, Default)]
pub struct JobCompletion {
    /// Outcome to be reported to the engine.
    pub event: Option<Event>,
    /// Final answer of the request, if the job provided it.
    pub answer: Option<DueAnswer>,
}

/// Consequence of the timeout of an attempt whose response has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BegunResponseTimeout {
    /// The attempt goes on until this time.
    Extend(Nanos),
    /// The attempt goes on, and the engine has its long value forwarded.
    Forward,
    /// The attempt ends.
    End,
}

/// Stream of the value of a request to its client.
#[derive(Clone, Copy, Debug)]
struct ActiveStream {
    client_connection: u64,
    attempt: AttemptNumber,
}

/// All requests that are unanswered or have attempts in flight, and the health checks in flight.
#[derive(Default)]
pub struct AttemptTracker {
    requests: HashMap<RequestId, RequestContext>,
    health_checks: HealthChecks,
    streams: HashMap<RequestId, ActiveStream>,
    /// Total size of the tracked requests in bytes.
    buffered_bytes: usize,
    /// Total time that the process has been stalled so far. It is excluded from the latency of
    /// caches.
    total_stall: Nanos,
}

impl AttemptTracker {
    /// Returns the number of tracked requests.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the total size of the tracked requests in bytes.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Sets the total time that the process has been stalled so far.
    pub fn set_total_stall(&mut self, total_stall: Nanos) {
        self.total_stall = total_stall;
    }

    /// Adds a request. Its deadline counts from the earliest time at which it can have arrived.
    /// `is_idempotent` is whether it may run more than once without harm, `latency_objective` the time
    /// from its arrival in which the answer has its full value.
    pub fn add_request(
        &mut self,
        incoming: IncomingRequest,
        is_idempotent: bool,
        latency_objective: Nanos,
    ) {
        let objective = incoming.arrived_at.saturating_add(latency_objective);
        let deadline = incoming.arrived_at.saturating_add(incoming.client_timeout);
        self.buffered_bytes += incoming.command.byte_size();
        let id = incoming.answer_token.request;
        let context = RequestContext::new(
            incoming.answer_token,
            incoming.client,
            incoming.command,
            is_idempotent,
            deadline,
            objective,
        );
        self.requests.insert(id, context);
    }

    /// Returns what follows when the timeout of an attempt passes whose response has begun: no
    /// timeout ends it before the client's deadline, and none ends a long value that the client still
    /// waits for.
    pub fn time_out_begun_response(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> BegunResponseTimeout {
        let Some(context) = self.requests.get_mut(&request) else {
            return BegunResponseTimeout::End;
        };
        let Some(record) = context.attempts.get_mut(&attempt) else {
            return BegunResponseTimeout::End;
        };
        if record.deadline < context.deadline {
            record.deadline = context.deadline;
            return BegunResponseTimeout::Extend(context.deadline);
        }
        if record.long_value_since.is_some() && context.answer_token.is_some() {
            BegunResponseTimeout::Forward
        } else {
            BegunResponseTimeout::End
        }
    }

    /// Records that the client has disconnected. The request needs no answer any more.
    pub fn client_disconnected(&mut self, now: Nanos, request: RequestId) {
        if let Some(context) = self.requests.get_mut(&request) {
            (context.answer_token, context.client_disconnected_at) = (None, Some(now));
        }
        self.remove_if_finished(request);
    }

    /// Completes a request with a final answer of the engine, unless it is already answered.
    pub fn answer(&mut self, request: RequestId, answer: FinalAnswer) -> Option<DueAnswer> {
        let answer_token = self.requests.get_mut(&request)?.answer_token.take()?;
        self.remove_if_finished(request);
        Some((answer_token, answer))
    }

    /// Returns the time until the deadline of a tracked request.
    #[must_use]
    pub fn remaining_time(&self, now: Nanos, request: RequestId) -> Option<Nanos> {
        Some(self.requests.get(&request)?.deadline.saturating_sub(now))
    }

    /// Returns whether a tracked request may run more than once without harm.
    #[must_use]
    pub fn is_idempotent(&self, request: RequestId) -> bool {
        let context = self.requests.get(&request);
        context.is_some_and(|context| context.is_idempotent)
    }

    /// Returns the client's id of a request that must not run twice, when it is forwarded for the
    /// first time.
    pub fn take_id_to_record(&mut self, request: RequestId) -> Option<Vec<u8>> {
        let context = self.requests.get_mut(&request)?;
        if context.is_idempotent || std::mem::replace(&mut context.is_id_recorded, true) {
            return None;
        }
        Some(context.command.request_id.clone())
    }

    /// Returns the client connection that waits for the answer to a request.
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

    fn remove_if_finished(&mut self, request: RequestId) {
        let context = self.requests.get(&request);
        if context.is_some_and(RequestContext::is_finished)
            && let Some(context) = self.requests.remove(&request)
        {
            self.buffered_bytes -= context.command.byte_size();
        }
    }

    /// Moves the deadlines of all tracked requests and their attempts to `deadline` if they are
    /// later.
    pub fn limit_deadlines(&mut self, deadline: Nanos) {
        for context in self.requests.values_mut() {
            context.deadline = context.deadline.min(deadline);
            for attempt in context.attempts.values_mut() {
                attempt.deadline = attempt.deadline.min(deadline);
            }
        }
    }

    /// Starts an attempt. The caller passes the returned command to the upstream pool.
    ///
    /// # Errors
    ///
    /// Returns the end of the attempt, to be reported to the engine, if the attempt is not sent:
    /// its request is answered or removed, or has less than 1 ms left.
    pub fn start_attempt(
        &mut self,
        now: Nanos,
        spec: AttemptSpec,
        counters: &mut Counters,
    ) -> Result<OutboundCommand, Box<Event>> {
        // The event has to carry the attempt number that the engine chose. With another number the
        // engine would wait forever for the end of the attempt.
        let not_sent = |request_finished| {
            Box::new(Event::AttemptEnded(AttemptResult {
                request: spec.request,
                attempt: spec.attempt,
                endpoint: spec.endpoint,
                outcome: AttemptOutcome::NotSent,
                latency: 0,
                request_finished,
                cache_status: None,
                load_report: None,
            }))
        };
        let Some(context) = self.requests.get_mut(&spec.request) else {
            return Err(not_sent(true));
        };
        // The timeout is sent to caches in whole milliseconds. Even a cache that usually responds
        // within microseconds may occasionally need a millisecond.
        let timeout = spec.timeout.map_or(Nanos::MAX, |t| t.max(MS));
        let deadline = now.saturating_add(timeout).min(context.deadline);
        if context.answer_token.is_none() || deadline < now + MS {
            counters.attempts_not_sent += 1;
            return Err(not_sent(context.answer_token.is_none()));
        }
        counters.attempts += 1;
        counters.hedges += u64::from(!context.attempts.is_empty());
        let write_within = spec.write_within;
        let record = AttemptRecord {
            endpoint: spec.endpoint,
            sent_at: now,
            total_stall_at_send: self.total_stall,
            deadline,
            long_value_since: None,
            answered_at: None,
            write_deadline: write_within.map_or(Nanos::MAX, |within| now.saturating_add(within)),
        };
        context.attempts.insert(spec.attempt, record);
        Ok(OutboundCommand {
            job: UpstreamJob::Attempt(spec.request, spec.attempt),
            endpoint: spec.endpoint,
            deadline,
            may_use_reserve: context.client == ClientHistory::Answered,
        })
    }

    /// Encodes the command of an attempt whose connection is established. This may happen long
    /// after the engine's decision, so it checks again whether the request is still unanswered and
    /// whether there is time left.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt must not be sent, with the end of the attempt for the engine
    /// if the attempt was still in flight.
    pub fn encode_command(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
        counters: &mut Counters,
    ) -> Result<Vec<u8>, Option<Box<Event>>> {
        let command = self.requests.get(&request).and_then(|context| {
            let record = context.attempts.get(&attempt)?;
            // The timeout is sent to caches in whole milliseconds.
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

    /// Counts an attempt that ends unsent, if the client of its request has disconnected.
    pub fn count_unsent(&self, now: Nanos, request: RequestId, counters: &mut Counters) {
        if let Some(disconnected_at) = self
            .requests
            .get(&request)
            .and_then(|context| context.client_disconnected_at)
        {
            let ms = now.saturating_sub(disconnected_at).div_ceil(MS);
            counters.unsent_after_disconnect += 1;
            counters.longest_unsent_after_disconnect_ms =
                counters.longest_unsent_after_disconnect_ms.max(ms);
        }
    }

    /// Ends an attempt without a value: because of its timeout, on request of the engine, for lack
    /// of a connection, or when its value is streamed. Returns the end of the attempt for the
    /// engine, if the attempt was still in flight.
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
        self.remove_if_finished(request);
        let stalled = self.total_stall - record.total_stall_at_send;
        let answered_at = record.answered_at.unwrap_or(now);
        let latency = answered_at
            .saturating_sub(record.sent_at)
            .saturating_sub(stalled);
        log::debug!(
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

    /// Starts a health check of an endpoint. The caller passes the returned job to the upstream
    /// pool.
    pub fn start_health_check(
        &mut self,
        endpoint: EndpointId,
        counters: &mut Counters,
    ) -> UpstreamJob {
        counters.health_checks += 1;
        self.health_checks.start(endpoint)
    }

    /// Ends a health check that has timed out. Returns its end for the engine, if it was still in
    /// flight.
    pub fn time_out_health_check(&mut self, number: u64) -> Option<Event> {
        self.health_checks.time_out(number)
    }

    /// Processes the result of a job. Returns the outcome for the engine, and the final answer if
    /// the job provided it.
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
        // The first served value answers the request. Of a second one, from a hedge, only the
        // outcome is used.
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
