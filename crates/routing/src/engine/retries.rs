//! Handling of the end of an attempt: the request is completed, answered or retried.

use super::Engine;
use super::attempts::Target;
use crate::actions::{Action, DecisionReason};
use crate::events::{AttemptOutcome, AttemptResult};
use crate::identifiers::EndpointId;
use crate::request::Request;
use crate::settings::OriginMode;

impl Engine {
    /// Handles the end of an attempt of a tracked request.
    pub(super) fn on_attempt_ended(&mut self, request: &mut Request, result: &AttemptResult) {
        let Some(attempt) = request.in_flight_attempt(result.attempt) else {
            return;
        };
        attempt.outcome = Some(result.outcome);
        let is_to_origin = attempt.is_to_origin;
        self.record_origin_result(request, result);
        if result.outcome == AttemptOutcome::Ok && result.request_finished && !request.is_closed {
            self.record_useful_answer(request);
            if !is_to_origin && !request.details.is_write {
                self.hedging.record_latency(result.latency);
            }
        }
        if result.request_finished || request.is_closed {
            self.close(request, None);
        } else if self.are_first_bytes_due(request) && self.forward_long_value(request) {
            // The attempt that ended was to be forwarded; another one takes its place.
        } else if result.outcome == AttemptOutcome::InvalidRequest && request.in_flight() == 0 {
            let explanation = self.explain(request, DecisionReason::InvalidRequest);
            let answer = Action::Fail {
                request: request.details.id,
                explanation,
            };
            self.close(request, Some(answer));
        } else if result.outcome == AttemptOutcome::CacheMiss
            && self.settings.origin != OriginMode::ReadThrough
        {
            self.advance(request);
        } else if request.in_flight() == 0 {
            self.retry(request, result.outcome);
        } else {
            self.back_up_stalled(request);
        }
    }

    /// Counts an answer that has value for the client: within the latency objective, or of a class
    /// for which later answers still have value.
    fn record_useful_answer(&mut self, request: &Request) {
        let class = self.settings.class(request.details.class);
        let elapsed = self.now.saturating_sub(request.arrived_at);
        if class.late_value_fraction > 0.0 || elapsed <= class.latency_objective {
            self.admission.traffic.record_useful(self.now);
        }
    }

    /// Sends another attempt after this outcome, or answers the request if no retry is allowed.
    fn retry(&mut self, request: &mut Request, outcome: AttemptOutcome) {
        let alternative = self.select_healthy_alternative(request);
        let is_free = is_free_retry(outcome, alternative);
        if let Some(reason) = self.retry_obstacle(request, outcome, alternative, is_free) {
            return self.reject_or_fail(request, reason);
        }
        if !is_free {
            self.retry_budget.spend();
        }
        // An endpoint that refused a connection would refuse the next one immediately.
        let avoids_endpoint = is_overload(outcome) || outcome == AttemptOutcome::ConnectFailed;
        match alternative {
            Some(id) if avoids_endpoint => self.send(request, Target::Cache(id)),
            _ => self.advance(request),
        }
    }

    /// Returns the reason for not retrying, or `None` if a retry is allowed.
    fn retry_obstacle(
        &self,
        request: &Request,
        outcome: AttemptOutcome,
        alternative: Option<EndpointId>,
        is_free: bool,
    ) -> Option<DecisionReason> {
        let is_futile = is_overload(outcome)
            && alternative.is_none()
            && self.outliers.is_overall_failure_ratio_high();
        if self.now >= request.deadline {
            Some(DecisionReason::DeadlineExceeded)
        } else if is_futile {
            Some(DecisionReason::RetryFutile)
        } else if outcome == AttemptOutcome::Error && self.origin.is_overloaded() {
            Some(DecisionReason::OriginOverload)
        } else if !is_free && self.retry_budget.is_exhausted() {
            Some(DecisionReason::BudgetExhausted)
        } else {
            None
        }
    }
}

/// Returns whether an outcome is a sign of overload.
fn is_overload(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::Timeout)
}

/// Returns whether a retry is not charged to the budget, because the failed attempt took up no
/// endpoint time: it did not connect, or it was rejected and a healthy endpoint is available.
fn is_free_retry(outcome: AttemptOutcome, alternative: Option<EndpointId>) -> bool {
    outcome == AttemptOutcome::ConnectFailed
        || outcome == AttemptOutcome::Rejected && alternative.is_some()
}
