//! Responses that have begun and arrive slowly. None of them is ended for its slowness: a long
//! value is forwarded in time, and a stalled response gets another attempt beside it.

use super::Engine;
use super::attempts::Target;
use super::selection::Selection;
use crate::actions::Action;
use crate::idempotency::AttemptKind;
use crate::identifiers::{AttemptNumber, Nanos};
use crate::request::{Attempt, Request};
use crate::timers::TimerPurpose;

const MS: Nanos = 1_000_000;
/// Time before the deadline at which the first bytes of a long value are forwarded. It covers the
/// delay of timers and the transmission to the client.
const FIRST_BYTES_MARGIN: Nanos = 25 * MS;
/// Maximum time from the head of a long value until its first bytes are forwarded. Until then
/// another attempt can still replace the value; it is sent when the value has stalled for 0.5 s.
const FIRST_BYTES_DELAY_MAX: Nanos = 800 * MS;

impl Engine {
    /// Handles the head of a long value: the endpoint has answered, and the first bytes must reach
    /// the client in time.
    pub(super) fn on_long_value_begun(&mut self, request: &mut Request, number: AttemptNumber) {
        let now = self.now;
        let Some(attempt) = request.in_flight_attempt(number) else {
            return;
        };
        attempt.long_value_since = Some(now);
        let endpoint = attempt.endpoint;
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.last_answer_at = now;
        }
        let wait = first_bytes_due_at(request).map(|due| due.saturating_sub(now));
        if let Some(wait) = wait.filter(|_| !request.is_closed) {
            self.set_timer(wait, TimerPurpose::FirstBytes(request.details.id));
        }
    }

    pub(super) fn on_first_bytes_due(&mut self, request: &mut Request) {
        if self.are_first_bytes_due(request) {
            self.forward_long_value(request);
        }
    }

    /// Returns whether a long value has begun whose first bytes have to be forwarded now.
    pub(super) fn are_first_bytes_due(&self, request: &Request) -> bool {
        first_bytes_due_at(request).is_some_and(|due| self.now >= due)
    }

    /// Forwards the long value that has begun, if there is one. Returns whether there is.
    pub(super) fn forward_long_value(&mut self, request: &Request) -> bool {
        let is_answered = request.is_closed || request.is_streaming;
        let attempt = self.preferred_long_value(request).filter(|_| !is_answered);
        self.actions
            .extend(attempt.map(|attempt| Action::ForwardLongValue {
                request: request.details.id,
                attempt,
            }));
        attempt.is_some()
    }

    /// Returns the attempt in flight whose long value is forwarded: of those that have begun, the
    /// first at a healthy endpoint.
    fn preferred_long_value(&self, request: &Request) -> Option<AttemptNumber> {
        let attempts = (0..).map(AttemptNumber).zip(&request.attempts);
        let begun = attempts.filter_map(|(number, attempt)| {
            let since = attempt
                .long_value_since
                .filter(|_| attempt.is_in_flight())?;
            Some((!self.is_healthy(attempt.endpoint), since, number))
        });
        begun.min().map(|(_, _, number)| number)
    }

    /// Handles a response that makes no progress.
    pub(super) fn on_response_stalled(&mut self, request: &mut Request, number: AttemptNumber) {
        if let Some(attempt) = request.in_flight_attempt(number) {
            attempt.is_stalled = true;
            self.back_up_stalled(request);
        }
    }

    /// Sends a second attempt beside a stalled response if the rules, the retry budget and the
    /// capacity of a candidate permit it. The first attempt goes on, and the earlier answer of the
    /// two is forwarded.
    pub(super) fn back_up_stalled(&mut self, request: &mut Request) {
        let is_at_origin = |attempt: &Attempt| attempt.is_to_origin;
        if request.is_closed
            || !request.awaits_stalled_response()
            || request.attempts.iter().any(is_at_origin)
        {
            return;
        }
        match self.select_endpoint(request, AttemptKind::StallBackup) {
            Selection::Endpoint(id) if !self.retry_budget.is_exhausted() => {
                self.retry_budget.spend();
                self.send(request, Target::Cache(id));
            }
            Selection::AtCapacity(_) if self.may_hedge(request) => self.postpone_hedge(request),
            _ => {}
        }
    }
}

/// Returns the time at which the first bytes of a long value that has begun have to be forwarded.
fn first_bytes_due_at(request: &Request) -> Option<Nanos> {
    let in_flight = request.attempts.iter().filter(|a| a.is_in_flight());
    let begun_at = in_flight.filter_map(|a| a.long_value_since).min()?;
    let latest = request.deadline.saturating_sub(FIRST_BYTES_MARGIN);
    Some(latest.min(begun_at + FIRST_BYTES_DELAY_MAX))
}
