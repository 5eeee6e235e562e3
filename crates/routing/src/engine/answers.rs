//! Final answers given by the engine itself, and the queue of requests that wait for capacity.

use super::Engine;
use crate::actions::{Action, DecisionReason, Deferral, Explanation};
use crate::events::AttemptOutcome;
use crate::explanations::explain;
use crate::idempotency::permits_rejection;
use crate::identifiers::{AttemptNumber, Nanos, RequestId};
use crate::request::{Attempt, Request};
use crate::request_queue::max_wait;

/// Maximum number of queued requests that are retried in one pass.
const RETRIES_MAX: usize = 1_024;
/// Maximum number of queued requests that are retried after the end of an attempt.
const RETRIES_AFTER_ATTEMPT_MAX: usize = 256;

impl Engine {
    /// Ends a request without a complete answer from an endpoint: forwards the long value that has
    /// begun, if there is one. Otherwise rejects the request if a retry by the client is certain to
    /// be harmless, and fails it if not.
    pub(super) fn reject_or_fail(&mut self, request: &mut Request, reason: DecisionReason) {
        if self.forward_long_value(request) {
            return;
        }
        self.admission.record_rejection(reason);
        let explanation = self.explain(request, reason);
        let id = request.details.id;
        let class = self.settings.class(request.details.class);
        let answer = if permits_rejection(class.idempotency, request) {
            Action::Reject {
                request: id,
                retry_after: self.supported_retry_after(request, reason),
                explanation,
            }
        } else {
            Action::Fail {
                request: id,
                explanation,
            }
        };
        self.close(request, Some(answer));
    }

    fn supported_retry_after(&mut self, request: &Request, reason: DecisionReason) -> Nanos {
        if !self.settings.capabilities.retry_after {
            return 0;
        }
        let retry_after = self.retry_after(request, reason);
        retry_after.min(self.settings.capabilities.max_retry_after)
    }

    /// Returns the time after which a rejected client should retry, spread at random so that
    /// clients do not retry simultaneously. The retry falls within the latency objective if
    /// capacity may return by then, and beyond it if the caches or the origin are overloaded,
    /// because an earlier retry would prolong the overload.
    pub(super) fn retry_after(&mut self, request: &Request, reason: DecisionReason) -> Nanos {
        let class = self.settings.class(request.details.class);
        let objective = class.latency_objective;
        let elapsed = self.now.saturating_sub(request.arrived_at);
        let time_left = objective.saturating_sub(elapsed);
        match reason {
            DecisionReason::DeadlineExceeded
            | DecisionReason::NoEligibleEndpoint
            | DecisionReason::InvalidRequest
            | DecisionReason::UnknownClass => 0,
            DecisionReason::FleetShedding => {
                let rotation = self.admission.shedding().time_to_rotation(self.now);
                rotation + self.random.below(objective)
            }
            DecisionReason::ConcurrencyLimit
            | DecisionReason::Pacing
            | DecisionReason::SlowStart
            | DecisionReason::NoEndpoints
            | DecisionReason::BudgetExhausted
                if time_left > 0 =>
            {
                time_left / 4 + self.random.below(time_left / 2)
            }
            _ => objective / 2 + self.random.below(objective),
        }
    }

    /// Closes a request with this answer, if any, and cancels its attempts in flight.
    pub(super) fn close(&mut self, request: &mut Request, answer: Option<Action>) {
        self.queue.remove(request.details.id);
        if request.is_closed {
            return;
        }
        self.actions.extend(answer);
        request.is_closed = true;
        if request.attempts.iter().any(consumed_endpoint_time) {
            self.admission.traffic.record_consumed(self.now);
        }
        self.cancel_attempts(request, None);
    }

    /// Cancels the attempts in flight, except the given one.
    pub(super) fn cancel_attempts(&mut self, request: &Request, except: Option<AttemptNumber>) {
        if !self.settings.capabilities.cancellation {
            return;
        }
        for (number, attempt) in (0..).map(AttemptNumber).zip(&request.attempts) {
            if attempt.is_in_flight() && Some(number) != except {
                self.actions.push(Action::Cancel {
                    request: request.details.id,
                    attempt: number,
                });
            }
        }
    }

    /// Sends queued requests for which there is capacity, in order of priority, and rejects those
    /// that have waited too long. They are not sent to arbitrary endpoints with capacity: reads
    /// away from their candidates would displace cached values there, and the number of fetches
    /// would keep growing.
    /// Of a very long queue only the first requests are sent: a turn must not take long.
    pub(super) fn retry_queued(&mut self) {
        let queued = self.queue.first(usize::MAX);
        let (first, others) = queued.split_at(queued.len().min(RETRIES_MAX));
        self.retry_all(first);
        for id in others {
            self.update_request(*id, Engine::reject_if_queued_too_long);
        }
    }

    /// Does the same for the first queued requests only, after the end of an attempt: it frees
    /// capacity for few requests. Housekeeping retries the others.
    pub(super) fn retry_queued_after_attempt(&mut self) {
        let first = self.queue.first(RETRIES_AFTER_ATTEMPT_MAX);
        self.retry_all(&first);
    }

    fn retry_all(&mut self, queued: &[RequestId]) {
        for id in queued {
            self.update_request(*id, |engine, request| {
                engine.advance(request);
                engine.reject_if_queued_too_long(request);
            });
        }
    }

    fn reject_if_queued_too_long(&mut self, request: &mut Request) {
        let Some(entry) = request.queued else {
            return;
        };
        let has_expired = self.now.saturating_sub(entry.since) >= max_wait(request, &self.settings);
        if has_expired && request.in_flight() == 0 && !request.is_closed {
            self.reject_or_fail(request, entry.reason);
        }
    }

    pub(super) fn explain(&mut self, request: &Request, reason: DecisionReason) -> Explanation {
        let candidates = self.placement.candidates(request.slot);
        let first = candidates.first().and_then(|id| self.endpoints.get(*id));
        explain(reason, first, &self.origin)
    }

    /// Reports that a request is queued, or not hedged, for this reason.
    pub(super) fn report_deferral(
        &mut self,
        request: &Request,
        deferral: Deferral,
        reason: DecisionReason,
    ) {
        let explanation = self.explain(request, reason);
        self.actions.push(Action::Defer {
            request: request.details.id,
            deferral,
            explanation,
        });
    }
}

/// Returns whether an attempt took up an endpoint's time; rejections and errors are answered
/// quickly.
fn consumed_endpoint_time(attempt: &Attempt) -> bool {
    matches!(
        attempt.outcome,
        None | Some(AttemptOutcome::Ok | AttemptOutcome::Timeout)
    )
}
