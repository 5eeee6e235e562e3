//! The record of an open request and of its attempts.

use crate::actions::DecisionReason;
use crate::events::{AttemptOutcome, NewRequest};
use crate::identifiers::{AttemptNumber, EndpointId, Nanos};

/// One attempt of a request. It keeps the zone and the cell, as its endpoint may be delisted.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: usize,
    pub(crate) cell: u64,
    pub(crate) sent_at: Nanos,
    /// None while it is in flight.
    pub(crate) outcome: Option<AttemptOutcome>,
    pub(crate) is_to_origin: bool,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the attempt may have had its effect: it may unless the outcome proves otherwise.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome
            .is_none_or(|outcome| !outcome.proves_no_effect())
    }
}

/// Since when a request is queued, and for lack of what.
#[derive(Clone, Copy)]
pub(crate) struct QueueEntry {
    pub(crate) since: Nanos,
    pub(crate) reason: DecisionReason,
}

/// An open request.
pub(crate) struct Request {
    pub(crate) details: NewRequest,
    pub(crate) arrived_at: Nanos,
    pub(crate) deadline: Nanos,
    /// The slot of its key in the table of candidates.
    pub(crate) slot: usize,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: Option<QueueEntry>,
    /// Beyond its tenant's quota.
    pub(crate) is_over_quota: bool,
    pub(crate) is_hedged: bool,
    /// Its answer has begun to reach the client.
    pub(crate) is_streaming: bool,
    /// No answer is owed any more; attempts may still be in flight.
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

    /// Whether an attempt has gone to this endpoint.
    pub(crate) fn has_tried(&self, endpoint: EndpointId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint)
    }

    /// The first attempt that may have had its effect.
    pub(crate) fn first_possible_effect(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// How many attempts are in flight.
    pub(crate) fn in_flight(&self) -> usize {
        let attempts = self.attempts.iter();
        attempts.filter(|attempt| attempt.is_in_flight()).count()
    }

    /// An attempt that is in flight.
    pub(crate) fn in_flight_attempt(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts
            .get_mut(number.0 as usize)
            .filter(|attempt| attempt.is_in_flight())
    }
}
