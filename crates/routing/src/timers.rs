//! Timers that the balancer runs for the engine.

use crate::actions::Action;
use crate::identifiers::{Nanos, RequestId, TimerToken};
use std::collections::BTreeMap;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TimerPurpose {
    /// The request's deadline passes.
    Deadline(RequestId),
    /// The request's attempt becomes overdue and may be hedged.
    Hedge(RequestId),
    /// The request's long value has to be forwarded, however little of it has arrived.
    FirstBytes(RequestId),
    /// Periodic housekeeping is due.
    Housekeeping,
    /// The next call to discovery is due.
    DiscoveryQuery,
}

/// Timers that have not fired yet.
pub(crate) struct Timers {
    pending: BTreeMap<TimerToken, TimerPurpose>,
    last_token: u64,
}

impl Timers {
    pub(crate) fn new() -> Self {
        Timers {
            pending: BTreeMap::new(),
            last_token: 0,
        }
    }

    /// Returns whether no timer has been set yet.
    pub(crate) fn is_unused(&self) -> bool {
        self.last_token == 0
    }

    pub(crate) fn set(&mut self, after: Nanos, purpose: TimerPurpose, actions: &mut Vec<Action>) {
        self.last_token += 1;
        let token = TimerToken(self.last_token);
        self.pending.insert(token, purpose);
        actions.push(Action::SetTimer { after, token });
    }

    /// Removes a timer that fires and returns its purpose, or `None` if it was cancelled.
    pub(crate) fn fire(&mut self, token: TimerToken) -> Option<TimerPurpose> {
        self.pending.remove(&token)
    }

    /// Cancels all timers with this purpose.
    pub(crate) fn cancel_all(&mut self, purpose: TimerPurpose) {
        self.pending.retain(|_, other| *other != purpose);
    }

    #[cfg(test)]
    pub(crate) fn pending(&self) -> &BTreeMap<TimerToken, TimerPurpose> {
        &self.pending
    }

    #[cfg(test)]
    pub(crate) fn last_token(&self) -> u64 {
        self.last_token
    }
}
