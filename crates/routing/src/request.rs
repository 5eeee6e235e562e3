//! State of an open request and of its attempts.

use crate::actions::DecisionReason;
use crate::events::{AttemptOutcome, NewRequest};
use crate::identifiers::{AttemptNumber, EndpointId, Nanos};

/// Attempt of a request. Zone and cell are stored because the endpoint may disappear from the list.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: usize,
    pub(crate) cell: u64,
    pub(crate) sent_at: Nanos,
    /// Outcome; `None` while the attempt is in flight.
    pub(crate) outcome: Option<AttemptOutcome>,
    pub(crate) is_to_origin: bool,
    /// Time at which the head of a long value arrived; `None` if it has not.
    pub(crate) long_value_since: Option<Nanos>,
    /// Whether the response has begun and made no progress for some time.
    pub(crate) is_stalled: bool,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the attempt may have had its effect, which is assumed unless the outcome
    /// proves otherwise.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome
            .is_none_or(|outcome| !outcome.proves_no_effect())
    }
}

/// Time since which a request has been queued, and the reason.
#[derive(Clone, Copy)]
pub(crate) struct QueueEntry {
    pub(crate) since: Nanos,
    pub(crate) reason: DecisionReason,
}

/// Open request.
pub(crate) struct Request {
    pub(crate) details: NewRequest,
    pub(crate) arrived_at: Nanos,
    pub(crate) deadline: Nanos,
    /// Slot of the request's key in the table of candidates.
    pub(crate) slot: usize,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: Option<QueueEntry>,
    /// Whether the request exceeds its tenant's quota.
    pub(crate) is_over_quota: bool,
    pub(crate) is_hedged: bool,
    /// Whether the first byte of an answer has reached the client.
    pub(crate) is_streaming: bool,
    /// Whether the request has its final answer or needs none; attempts may still be in flight.
    pub(crate) is_closed: bool,
}

impl Request {
    pub(crate) fn new(details: NewRequest, now: Nanos, slot: usize) -> Self {
        Request {
            deadline: now.saturating_add(details.client_timeout),
            details,
            arrived_at: now,
            slot,
            attempts: Vec::new(),
            queued: None,
            is_over_quota: false,
            is_hedged: false,
            is_streaming: false,
            is_closed: false,
        }
    }

    /// Returns whether an attempt was sent to this endpoint.
    pub(crate) fn has_tried(&self, endpoint: EndpointId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint)
    }

    /// Returns the first attempt that may have had its effect.
    pub(crate) fn first_possible_effect(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        let attempts = self.attempts.iter();
        attempts.filter(|attempt| attempt.is_in_flight()).count()
    }

    /// Returns whether exactly one attempt is in flight, and its response is stalled.
    pub(crate) fn awaits_stalled_response(&self) -> bool {
        let mut in_flight = self.attempts.iter().filter(|a| a.is_in_flight());
        in_flight.next().is_some_and(|attempt| attempt.is_stalled) && in_flight.next().is_none()
    }

    /// Returns the attempt with this number if it is in flight.
    pub(crate) fn in_flight_attempt(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts
            .get_mut(number.0 as usize)
            .filter(|attempt| attempt.is_in_flight())
    }
}
