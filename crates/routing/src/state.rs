//! What a router remembers of its servers and requests: the records that `brain.rs` decides by. No decisions.

use crate::api::*;
use crate::stats::{Mean, Pace};

/// Candidates of a slot.
pub(crate) const CANDIDATES: usize = 3;

/// What this router knows of one listed server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: Endpoint,
    /// When it was first listed with its present start, and whether others were listed before it.
    pub(crate) listed: Nanos,
    pub(crate) is_news: bool,
    /// Attempts out: when sent, which.
    pub(crate) out: Vec<(Nanos, RequestId, AttemptNumber)>,
    pub(crate) last_answer: Nanos,
    /// Nothing is out since then, but a connection may stand.
    pub(crate) idle_since: Option<Nanos>,
    pub(crate) latency: Mean,
    pub(crate) pace: Pace,
    /// Share of hits that it reports.
    pub(crate) hits: f64,
    pub(crate) limit: f64,
    pub(crate) strikes: f64,
    /// Share of its attempts that it lately turned away or spoilt.
    pub(crate) turned: f64,
    /// Suspected until then; a trial is due after.
    pub(crate) suspect_until: Option<Nanos>,
    /// A probe was answered since, or none may be sent: a trial may go out.
    pub(crate) proven: bool,
    pub(crate) backoff: Nanos,
    pub(crate) cold_budget: f64,
    pub(crate) cold_budget_at: Nanos,
}

/// One attempt of a request; zone and cell are kept, for its server may leave the list.
pub(crate) struct Attempt {
    pub(crate) server: EndpointId,
    pub(crate) zone: usize,
    pub(crate) cell: u64,
    pub(crate) sent: Nanos,
    pub(crate) ended: Option<AttemptOutcome>,
    pub(crate) origin: bool,
}

impl Attempt {
    /// Anything not proven otherwise may have had its effect.
    pub(crate) fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|o| !o.proves_no_effect())
    }
}

/// An open request.
pub(crate) struct Request {
    pub(crate) new: NewRequest,
    pub(crate) arrived: Nanos,
    pub(crate) deadline: Nanos,
    pub(crate) slot: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// Since when it waits for room, and what it lacks now.
    pub(crate) held_since: Option<(Nanos, DecisionReason)>,
    pub(crate) over_share: bool,
    pub(crate) copied: bool,
    pub(crate) streaming: bool,
    pub(crate) done: bool,
}

impl Request {
    pub(crate) fn new(new: NewRequest, now: Nanos, slot: usize, over_share: bool) -> Self {
        Request {
            deadline: now.saturating_add(new.client_timeout),
            new,
            arrived: now,
            slot,
            attempts: Vec::new(),
            held_since: None,
            over_share,
            copied: false,
            streaming: false,
            done: false,
        }
    }
    /// Whether an attempt went to this server already.
    pub(crate) fn tried(&self, id: EndpointId) -> bool {
        self.attempts.iter().any(|a| a.server == id)
    }
    /// The first attempt that may have had its effect.
    pub(crate) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run())
    }
    /// How many attempts are out.
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ended.is_none()).count()
    }
}

/// What a timer was set for.
#[derive(Clone, Copy)]
pub(crate) enum Timer {
    Deadline(RequestId),
    Copy(RequestId),
    Housekeeping,
    Call,
}

/// What the legality check is asked about.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Step {
    Send(EndpointId),
    Copy(EndpointId),
    Refuse,
}

/// Where the next attempt may go.
pub(crate) enum Pick {
    To(EndpointId),
    /// Some candidate is fit but has no room now, for this reason.
    Wait(DecisionReason),
    Nowhere,
}

/// The state of a candidate at this moment.
#[derive(PartialEq)]
pub(crate) enum Fitness {
    Open,
    Crowded(DecisionReason),
    Suspect,
}
