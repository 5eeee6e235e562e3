//! Local health as in Lifeguard: a member that stalled or is isolated sees others as silent though
//! the fault is its own. It suspects nobody until it has had time to hear them, and for a while
//! doubles or triples its timeouts.

use crate::fault_injection::{InjectedFault, is_injected};
use crate::{MS, Nanos};

/// A tick that comes this much later than scheduled shows that the member itself stalled.
pub const STALL_THRESHOLD: Nanos = 300 * MS;
/// The greatest multiple of a suspicion timeout.
const TIMEOUT_MULTIPLIER_MAX: u32 = 3;
/// The local health score recovers by one step after this long without a stall.
const RECOVERY_INTERVAL: Nanos = 2_000 * MS;
/// A member that hears nobody for this long counts as isolated: before any one member's silence is
/// a suspicion ([`crate::heartbeat::SUSPECT_AFTER`]).
const ISOLATED_AFTER: Nanos = 800 * MS;
/// After this long the silence counts all the same: the others may be dead.
const ISOLATED_UNTIL: Nanos = 10_000 * MS;

/// How far a member may trust its own judgement now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionPolicy {
    /// Multiplies the timeouts of suspicions.
    pub timeout_multiplier: u64,
    /// Whether others may be suspected or confirmed dead at all.
    pub may_suspect: bool,
}

/// One member's local health.
#[derive(Clone, Debug)]
pub struct LocalHealth {
    last_heard: Nanos,
    next_tick: Option<Nanos>,
    /// 0 is healthy.
    score: u32,
    score_changed: Nanos,
    /// Stalls of this member itself.
    pub stalls: u64,
}

impl LocalHealth {
    /// A member that has just started.
    #[must_use]
    pub fn new(now: Nanos) -> Self {
        LocalHealth {
            last_heard: now,
            next_tick: None,
            score: 0,
            score_changed: now,
            stalls: 0,
        }
    }

    /// Begins a tick. True after a stall: nothing that was timed across it counts.
    pub fn begin_tick(&mut self, now: Nanos) -> bool {
        let late = self
            .next_tick
            .is_some_and(|due| now > due.saturating_add(STALL_THRESHOLD));
        let stalled = late && !is_injected(InjectedFault::IgnoresOwnStall);
        if stalled {
            self.stalls += 1;
            self.degrade(now);
            // The silence was this member's own.
            self.last_heard = now;
        }
        if self.score > 0 && now.saturating_sub(self.score_changed) > RECOVERY_INTERVAL {
            self.score -= 1;
            self.score_changed = now;
        }
        stalled
    }

    /// Notes when the next tick is due.
    pub fn schedule_tick(&mut self, due: Nanos) {
        self.next_tick = Some(due);
    }

    /// Notes that any member was heard.
    pub fn record_heard(&mut self, now: Nanos) {
        self.last_heard = now;
    }

    /// Lowers the trust in the own judgement by one step.
    pub fn degrade(&mut self, now: Nanos) {
        self.score = (self.score + 1).min(TIMEOUT_MULTIPLIER_MAX - 1);
        self.score_changed = now;
    }

    /// Whether this member may be the one that is cut off: it heard nobody lately, though not for
    /// so long that all others must be dead.
    #[must_use]
    pub fn is_isolated(&self, now: Nanos) -> bool {
        let silence = now.saturating_sub(self.last_heard);
        (ISOLATED_AFTER..ISOLATED_UNTIL).contains(&silence)
    }

    /// When any member was last heard.
    #[must_use]
    pub fn last_heard(&self) -> Nanos {
        self.last_heard
    }

    /// By what timeouts suspicions run now, and whether there may be any.
    #[must_use]
    pub fn suspicion_policy(&self, now: Nanos) -> SuspicionPolicy {
        SuspicionPolicy {
            timeout_multiplier: 1 + u64::from(self.score),
            may_suspect: !self.is_isolated(now)
                || is_injected(InjectedFault::SuspectsWhileIsolated),
        }
    }
}

#[cfg(test)]
mod tests;
