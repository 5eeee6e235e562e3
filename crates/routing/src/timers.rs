//! The timers that the balancer keeps for the engine.

use crate::actions::Action;
use crate::identifiers::{Nanos, RequestId, TimerToken};
use std::collections::BTreeMap;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TimerPurpose {
    /// The request's deadline.
    Deadline(RequestId),
    /// The request's attempt is overdue and may be hedged.
    Hedge(RequestId),
    /// What happens at regular intervals.
    Housekeeping,
    /// The next call to discovery.
    DiscoveryQuery,
}

/// The timers that have not fired yet.
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

    /// Whether no timer has been set yet.
    pub(crate) fn is_unused(&self) -> bool {
        self.last_token == 0
    }

    pub(crate) fn set(&mut self, after: Nanos, purpose: TimerPurpose, actions: &mut Vec<Action>) {
        self.last_token += 1;
        let token = TimerToken(self.last_token);
        self.pending.insert(token, purpose);
        actions.push(Action::SetTimer { after, token });
    }

    /// Takes out the purpose of a timer that fires; none if it was dropped.
    pub(crate) fn fire(&mut self, token: TimerToken) -> Option<TimerPurpose> {
        self.pending.remove(&token)
    }

    /// Drops all timers for this purpose.
    pub(crate) fn drop_all(&mut self, purpose: TimerPurpose) {
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
