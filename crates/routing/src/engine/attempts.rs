//! Sending of attempts (first attempts, retries and hedges) to caches or to the origin.

use super::Engine;
use super::selection::Selection;
use crate::actions::{Action, DecisionReason, Deferral};
use crate::endpoints::{EndpointRecord, InFlightAttempt};
use crate::events::AttemptOutcome;
use crate::idempotency::AttemptKind;
use crate::identifiers::{AttemptNumber, EndpointId, Nanos};
use crate::outlier_detection::is_fault_widespread;
use crate::request::{Attempt, QueueEntry, Request};
use crate::settings::{Idempotency, OriginMode};
use crate::timers::TimerPurpose;

/// Numerator of the timeout of a keyed request's first attempt, as a fraction of the time during
/// which a repeat is still discarded. The remaining quarter is left for the repeat.
const KEYED_TIMEOUT_NUMERATOR: Nanos = 3;
/// Denominator of the timeout of a keyed request's first attempt.
const KEYED_TIMEOUT_DENOMINATOR: Nanos = 4;

/// Destination of an attempt.
#[derive(Clone, Copy)]
pub(super) enum Target {
    Cache(EndpointId),
    Origin(EndpointId),
}

impl Target {
    fn endpoint(self) -> EndpointId {
        match self {
            Target::Cache(id) | Target::Origin(id) => id,
        }
    }
}

impl Engine {
    /// Sends the next attempt, queues the request, or answers it if neither is possible.
    pub(super) fn advance(&mut self, request: &mut Request) {
        self.queue.remove(request.details.id);
        if self.goes_to_origin(request) {
            return self.advance_at_origin(request);
        }
        match self.select_endpoint(request, AttemptKind::Regular) {
            Selection::Endpoint(id) => self.send(request, Target::Cache(id)),
            Selection::AtCapacity(reason) => self.enqueue(request, reason),
            Selection::NoneEligible
                if self.endpoints.has_no_caches() && request.attempts.is_empty() =>
            {
                self.enqueue(request, DecisionReason::NoEndpoints);
            }
            Selection::NoneEligible => {
                self.reject_or_fail(request, DecisionReason::NoEligibleEndpoint);
            }
        }
    }

    /// Returns whether the next attempt goes to the origin: with cache-aside, for writes and for
    /// reads that missed.
    fn goes_to_origin(&self, request: &Request) -> bool {
        let has_missed = |attempt: &Attempt| attempt.outcome == Some(AttemptOutcome::CacheMiss);
        matches!(self.settings.origin, OriginMode::CacheAside { .. })
            && (request.details.is_write || request.attempts.iter().any(has_missed))
    }

    /// Sends a write or a read that missed to the origin; a read only once, unless the origin
    /// rejected it before it ran.
    fn advance_at_origin(&mut self, request: &mut Request) {
        let has_run = |attempt: &Attempt| {
            attempt.is_to_origin && attempt.outcome != Some(AttemptOutcome::Rejected)
        };
        let may_send = request.details.is_write || !request.attempts.iter().any(has_run);
        let is_permitted = |record: &&EndpointRecord| {
            self.permits_attempt(request, record.entry.id, AttemptKind::Regular)
        };
        let least_loaded = self
            .endpoints
            .origins()
            .filter(is_permitted)
            .min_by_key(|record| (record.in_flight.len(), record.entry.id))
            .filter(|_| may_send);
        let origin =
            least_loaded.map(|record| (record.entry.id, record.capacity_shortage(1.0, self.now)));
        match origin {
            Some((id, None)) => self.send(request, Target::Origin(id)),
            Some((_, Some(reason))) => self.enqueue(request, reason),
            None if request.in_flight() > 0 => {}
            None => self.reject_or_fail(request, DecisionReason::NoEligibleEndpoint),
        }
    }

    fn enqueue(&mut self, request: &mut Request, reason: DecisionReason) {
        let before = request.queued;
        let since = before.map_or(self.now, |entry| entry.since);
        request.queued = Some(QueueEntry { since, reason });
        if before.is_none_or(|entry| entry.reason != reason) {
            self.report_deferral(request, Deferral::Queued, reason);
        }
        self.queue.insert(request, &self.settings);
    }

    pub(super) fn send(&mut self, request: &mut Request, target: Target) {
        let number = AttemptNumber(request.attempts.len() as u32);
        let timeout = self.attempt_timeout(request);
        let write_within = self.write_within(request);
        let endpoint = target.endpoint();
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        record.begin_attempt(InFlightAttempt {
            sent_at: self.now,
            request: request.details.id,
            number,
        });
        request.attempts.push(Attempt {
            endpoint,
            zone: record.entry.zone,
            cell: record.entry.cell,
            sent_at: self.now,
            outcome: None,
            is_to_origin: matches!(target, Target::Origin(_)),
            long_value_since: None,
            is_stalled: false,
        });
        request.queued = None;
        self.actions.push(Action::Send {
            request: request.details.id,
            attempt: number,
            endpoint,
            timeout,
            write_within,
        });
        if matches!(target, Target::Cache(_)) && self.may_hedge(request) {
            let time_left = request.deadline.saturating_sub(self.now);
            self.set_hedge_timer(request, self.hedging.delay(time_left));
        }
    }

    pub(super) fn may_hedge(&self, request: &Request) -> bool {
        let class = self.settings.class(request.details.class);
        class.idempotency == Idempotency::Idempotent
            && !request.is_hedged
            && self.settings.capabilities.hedging
    }

    fn set_hedge_timer(&mut self, request: &Request, after: Nanos) {
        self.set_timer(after, TimerPurpose::Hedge(request.details.id));
    }

    /// Returns the time within which the response to the next attempt has to begin. An attempt that
    /// will most likely never be answered is abandoned as long as another attempt may follow.
    fn attempt_timeout(&self, request: &Request) -> Option<Nanos> {
        let time_left = request.deadline.saturating_sub(self.now);
        let abandon_after = self.hedging.abandon_after();
        let sent = request.attempts.len();
        match self.settings.class(request.details.class).idempotency {
            Idempotency::Keyed { window, .. } if sent == 0 => {
                let repeatable = time_left.min(window) / KEYED_TIMEOUT_DENOMINATOR;
                Some(
                    (repeatable * KEYED_TIMEOUT_NUMERATOR)
                        .min(abandon_after)
                        .max(1),
                )
            }
            Idempotency::Idempotent
                if sent + 1 < self.settings.capabilities.max_attempts as usize =>
            {
                Some(abandon_after).filter(|timeout| *timeout < time_left)
            }
            _ => None,
        }
    }

    /// Returns how long endpoints still discard the next attempt of a keyed request as a repeat;
    /// `None` if no earlier attempt may have run.
    fn write_within(&self, request: &Request) -> Option<Nanos> {
        let class = self.settings.class(request.details.class);
        let Idempotency::Keyed { window, .. } = class.idempotency else {
            return None;
        };
        let first = request.first_possible_effect()?;
        Some(
            first
                .sent_at
                .saturating_add(window)
                .saturating_sub(self.now),
        )
    }

    /// Handles an overdue attempt: hedges the request if the budget, the state of the origin and a
    /// healthy candidate permit it.
    pub(super) fn on_overdue(&mut self, request: &mut Request) {
        let is_at_origin = |attempt: &Attempt| attempt.is_to_origin;
        if request.in_flight() != 1
            || request.is_hedged
            || request.attempts.iter().any(is_at_origin)
        {
            return;
        }
        let selection = self.select_endpoint(request, AttemptKind::Hedge);
        let reason = match selection {
            _ if self.hedging.budget.is_exhausted() => DecisionReason::BudgetExhausted,
            _ if self.origin.is_overloaded() => DecisionReason::OriginOverload,
            Selection::Endpoint(id) if self.is_hedge_promising(id) => {
                self.hedging.budget.spend();
                request.is_hedged = true;
                return self.send(request, Target::Cache(id));
            }
            Selection::Endpoint(_) => DecisionReason::RetryFutile,
            Selection::AtCapacity(reason) => {
                self.postpone_hedge(request);
                reason
            }
            Selection::NoneEligible => DecisionReason::NoEligibleEndpoint,
        };
        self.report_deferral(request, Deferral::HedgeSuppressed, reason);
    }

    /// Returns whether a hedge can help: either few attempts fail overall, or this endpoint is
    /// healthy and the failures are not widespread.
    fn is_hedge_promising(&self, id: EndpointId) -> bool {
        !self.outliers.is_overall_failure_ratio_high()
            || self.is_healthy(id) && !is_fault_widespread(self.endpoints.records())
    }

    /// Sets another hedge timer, because the candidates' lack of capacity is temporary.
    pub(super) fn postpone_hedge(&mut self, request: &Request) {
        let time_left = request.deadline.saturating_sub(self.now);
        let delay = self.hedging.delay(time_left).max(self.settings.tick);
        if delay < time_left {
            self.set_hedge_timer(request, delay);
        }
    }
}
