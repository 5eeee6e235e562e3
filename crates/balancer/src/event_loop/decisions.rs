//! Decisions: passes pending events to the engine and executes its actions.

use super::EventLoop;
use super::turn_meter::TurnStep;
use crate::attempt_tracker::AttemptSpec;
use crate::counters::DecisionStep;
use crate::request::FinalAnswer;
use crate::timers::TimerKind;
use routing::{Action, Deferral, Event, Explanation, Nanos, RequestId};

impl EventLoop {
    /// Passes the pending events to the engine and executes its actions, until no event is pending.
    pub(super) fn run_decisions(&mut self) {
        self.turn_meter.step(TurnStep::Decisions, self.clock.now());
        while !self.pending_events.is_empty() {
            let now = self.clock.now();
            let mut events = std::mem::take(&mut self.pending_events);
            for event in &mut events {
                // The client has been waiting since the request was read.
                if let Event::RequestArrived(request) = event
                    && let Some(time_left) = self.attempt_tracker.remaining_time(now, request.id)
                {
                    request.client_timeout = time_left;
                }
            }
            for action in self.engine.decide(now, events) {
                self.execute(now, action);
            }
        }
    }

    fn execute(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send {
                request,
                attempt,
                endpoint,
                timeout,
                write_within,
            } => self.start_attempt(
                now,
                AttemptSpec {
                    request,
                    attempt,
                    endpoint,
                    timeout,
                    write_within,
                },
            ),
            Action::Fail {
                request,
                explanation,
            } => {
                self.record_decision(request, DecisionStep::Failed, &explanation);
                self.end_request(now, request, FinalAnswer::Failed);
            }
            Action::Defer {
                request,
                deferral,
                explanation,
            } => {
                let step = match deferral {
                    Deferral::Queued => DecisionStep::Queued,
                    Deferral::HedgeSuppressed => DecisionStep::HedgeSuppressed,
                };
                self.record_decision(request, step, &explanation);
            }
            Action::Reject {
                request,
                retry_after,
                explanation,
            } => {
                self.record_decision(request, DecisionStep::Rejected, &explanation);
                self.end_request(now, request, FinalAnswer::Rejected { retry_after });
            }
            Action::ForwardLongValue { request, attempt } => {
                self.forward_long_value(now, request, attempt);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(now, request, attempt),
            Action::HealthCheck(endpoint) => self.start_health_check(now, endpoint),
            Action::CloseIdleConnections(endpoint) => {
                self.upstream_pool.close_idle(endpoint, &mut self.counters);
            }
            Action::QueryDiscovery => self.start_watch(now),
            Action::SetTimer { after, token } => {
                let at = now.saturating_add(after);
                self.timers.set(at, TimerKind::Engine(token));
            }
            Action::Log(text) => log::info!("{text}"),
        }
    }

    /// Answers a request as the engine decided, unless it is already answered or its client has
    /// disconnected.
    fn end_request(&mut self, now: Nanos, request: RequestId, answer: FinalAnswer) {
        if let Some(answer) = self.attempt_tracker.answer(request, answer) {
            self.send_answer(now, answer);
        }
    }

    /// Counts a decision and logs it with the values that it is based on.
    fn record_decision(
        &mut self,
        request: RequestId,
        step: DecisionStep,
        explanation: &Explanation,
    ) {
        self.counters.decisions.count(step, explanation.reason);
        log::debug!(
            step = step.name(),
            reason = explanation.reason.name(),
            in_flight = explanation.in_flight,
            limit = explanation.limit,
            origin_admitted = explanation.origin_admitted_fraction,
            baseline_us = explanation.baseline_latency / 1_000,
            recent_us = explanation.recent_latency / 1_000;
            "decision for request {}", request.0
        );
    }
}
