//! Updates the state of endpoints and of the origin after the end of an attempt or health check.

use super::Engine;
use crate::actions::Action;
use crate::concurrency_limit::LimitContext;
use crate::endpoints::InFlightAttempt;
use crate::events::{AttemptOutcome, AttemptResult, CacheStatus, NewRequest};
use crate::identifiers::EndpointId;
use crate::outlier_detection::{FailureEvidence, is_fault_widespread};
use crate::request::Request;
use crate::settings::OriginMode;

/// Properties of the request that an attempt belonged to.
struct ResultContext {
    /// `None` if the request is no longer tracked.
    details: Option<NewRequest>,
    /// Rank of the endpoint among the candidates; `None` for a write or an endpoint beyond the
    /// candidates.
    rank: Option<usize>,
    /// Whether a timeout is evidence of a fault: not if the client waits less than answers usually
    /// take.
    timeout_counts_as_failure: bool,
    /// Whether a rejection shows that the cache is overloaded, and not only that it has no free
    /// slot for another fetch.
    rejection_shows_overload: bool,
}

impl Engine {
    /// Updates the state of the endpoint that an attempt was sent to.
    pub(super) fn record_endpoint_result(&mut self, result: &AttemptResult) {
        let context = self.result_context(result);
        let Some(record) = self.endpoints.get_mut(result.endpoint) else {
            return;
        };
        let Some(attempt) = record.end_attempt(result.request, result.attempt) else {
            return;
        };
        let is_idle =
            record.in_flight.is_empty() && result.outcome != AttemptOutcome::ConnectFailed;
        record.idle_since = is_idle.then_some(self.now);
        if let Some(report) = &result.load_report {
            record.record_load_report(report);
        }
        if let (Some(rank), Some(status)) = (context.rank, result.cache_status) {
            self.placement.record_cache_status(rank, status);
        }
        if result.outcome.is_answer() {
            self.record_answer(result, &context);
        }
        self.record_failure(result, &context, attempt);
        self.eject_if_due(result.endpoint, 0.0);
    }

    fn result_context(&mut self, result: &AttemptResult) -> ResultContext {
        let open = self.requests.get(&result.request);
        let request = open.map(|request| (request.details, request.slot));
        let Some((details, slot)) = request else {
            return ResultContext {
                details: None,
                rank: None,
                timeout_counts_as_failure: true,
                rejection_shows_overload: self.settings.origin != OriginMode::ReadThrough,
            };
        };
        let id = result.endpoint;
        let is_read = !details.is_write;
        let rank_of_endpoint = || {
            let mut candidates = self.placement.candidates(slot).into_iter();
            candidates.position(|candidate| candidate == id)
        };
        let rank = is_read.then(rank_of_endpoint).flatten();
        let is_cached = is_read && self.placement.recent_keys.is_cached(details.key, id);
        ResultContext {
            details: Some(details),
            rank,
            timeout_counts_as_failure: self.timeout_counts_as_failure(&details),
            rejection_shows_overload: self.settings.origin != OriginMode::ReadThrough || is_cached,
        }
    }

    fn timeout_counts_as_failure(&self, details: &NewRequest) -> bool {
        let objective = self.settings.class(details.class).latency_objective;
        self.hedging
            .timeout_counts_as_failure(details.client_timeout, objective)
    }

    fn record_answer(&mut self, result: &AttemptResult, context: &ResultContext) {
        let id = result.endpoint;
        let relative_size = self.endpoints.relative_size(id);
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        record.last_answer_at = self.now;
        if record.health.record_success() {
            self.actions
                .push(Action::Log(format!("endpoint {} readmitted", id.0)));
        }
        let limit_context = LimitContext {
            fleet: self.fleet,
            relative_size,
            latency_objective: self.latency_objective,
            in_flight: record.in_flight.len(),
        };
        if result
            .cache_status
            .is_none_or(|status| status == CacheStatus::Hit)
        {
            let estimated_work = context.details.and_then(|details| details.estimated_work);
            record.record_hit_latency(result.latency, estimated_work);
            record.limit.record_hit(&record.latency, &limit_context);
        } else {
            record
                .limit
                .record_miss(self.origin.fetch_latency(), &limit_context);
        }
    }

    /// Counts a failed attempt against its endpoint, and every answer or failure in the failure
    /// ratios.
    fn record_failure(
        &mut self,
        result: &AttemptResult,
        context: &ResultContext,
        attempt: InFlightAttempt,
    ) {
        let overdue_after = self.hedging.overdue_after();
        let Some(record) = self.endpoints.get_mut(result.endpoint) else {
            return;
        };
        let is_unanswered = record.last_answer_at <= attempt.sent_at;
        let is_overdue = result.latency >= overdue_after;
        let evidence = match result.outcome {
            AttemptOutcome::Timeout => {
                FailureEvidence::strong_if(context.timeout_counts_as_failure && is_unanswered)
            }
            // The endpoint answered nothing between the start of the attempt and its cancellation.
            AttemptOutcome::Cancelled => FailureEvidence::strong_if(is_overdue && is_unanswered),
            outcome => FailureEvidence::from_outcome(outcome),
        };
        record.health.record_failure(evidence);
        let is_rejection = result.outcome == AttemptOutcome::Rejected;
        if is_rejection && context.rejection_shows_overload
            || result.outcome == AttemptOutcome::Timeout && context.timeout_counts_as_failure
        {
            record.limit.record_overload();
        }
        let failure = if is_rejection { 1.0 } else { evidence.weight() };
        if failure > 0.0 || result.outcome.is_answer() {
            self.outliers.update_failure_ratio(failure);
            record.health.update_failure_ratio(failure > 0.0);
        }
    }

    /// Ejects an endpoint if its consecutive failures plus its unanswered overdue attempts reach
    /// the threshold.
    pub(super) fn eject_if_due(&mut self, id: EndpointId, unanswered_attempts: f64) {
        let threshold = self.outliers.ejection_threshold();
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        let is_ejected = self.outliers.eject_if_due(
            &mut record.health,
            unanswered_attempts,
            threshold,
            self.now,
            &mut self.random,
        );
        if is_ejected {
            self.actions.push(ejection_log(id));
        }
    }

    /// Handles the end of a health check. An ejected endpoint is checked before a request is sent
    /// to it, so that no client request fails if the endpoint has not recovered.
    pub(super) fn on_health_check_ended(&mut self, id: EndpointId, outcome: AttemptOutcome) {
        let is_success = outcome == AttemptOutcome::Ok;
        let Some(record) = self.endpoints.get_mut(id) else {
            return;
        };
        if !record.health.is_ejected() {
            return;
        }
        record.health.end_health_check(self.now, is_success);
        if !is_success {
            self.eject_if_due(id, f64::INFINITY);
        }
    }

    /// Updates the state of the origin and the record of where keys are cached.
    pub(super) fn record_origin_result(&mut self, request: &Request, result: &AttemptResult) {
        self.placement.recent_keys.expire(self.now);
        let key = request.details.key;
        let id = result.endpoint;
        match result.outcome {
            // The endpoint answered other attempts meanwhile, so the fetch from the origin is slow.
            AttemptOutcome::Timeout
                if self.has_answered_since(request, result)
                    && self.timeout_counts_as_failure(&request.details)
                    && !self.placement.recent_keys.is_cached(key, id) =>
            {
                self.origin.record_failure(self.fleet);
            }
            AttemptOutcome::Error => {
                // Errors at only a few endpoints are not caused by the origin.
                if is_fault_widespread(self.endpoints.records()) {
                    self.origin.record_failure(self.fleet);
                }
                for candidate in self.placement.candidates(request.slot) {
                    self.placement.recent_keys.remove(key, candidate);
                }
            }
            AttemptOutcome::Ok => {
                if result.cache_status != Some(CacheStatus::Hit) {
                    self.origin
                        .record_fetch(result.latency, result.cache_status, self.fleet);
                }
                let read_key = key.filter(|_| !request.details.is_write);
                self.placement.recent_keys.insert(read_key, id);
            }
            _ => {}
        }
    }

    /// Returns whether the endpoint has answered since the attempt was sent.
    fn has_answered_since(&self, request: &Request, result: &AttemptResult) -> bool {
        let attempt = request.attempts.get(result.attempt.0 as usize);
        let record = self.endpoints.get(result.endpoint);
        attempt
            .zip(record)
            .is_some_and(|(attempt, record)| record.last_answer_at > attempt.sent_at)
    }
}

/// Creates the log line for an endpoint that has just been ejected.
pub(super) fn ejection_log(id: EndpointId) -> Action {
    Action::Log(format!("endpoint {} ejected: no answer lately", id.0))
}
