//! Local health as in Lifeguard. A member that stalled or is isolated receives no datagrams
//! although the other members are alive. It does not suspect others until it has had time to
//! receive from them, and multiplies its timeouts by two or three for a while.

use crate::fault_injection::{InjectedFault, is_injected};
use crate::{MS, Nanos};

/// Delay of a tick behind its schedule above which the process is considered stalled.
pub const STALL_THRESHOLD: Nanos = 300 * MS;
/// Maximum multiplier of suspicion timeouts.
const TIMEOUT_MULTIPLIER_MAX: u32 = 3;
/// Time without a stall after which the local health score decreases by one.
const RECOVERY_INTERVAL: Nanos = 2_000 * MS;
/// Time without any datagram after which the member counts as isolated. It is shorter than
/// [`crate::heartbeat::SUSPECT_AFTER`], so that the silence of a single member does not become a
/// suspicion first.
const ISOLATED_AFTER: Nanos = 800 * MS;
/// Time without any datagram after which suspicions are allowed again: the other members may be
/// dead.
const ISOLATED_UNTIL: Nanos = 10_000 * MS;

/// Restrictions on suspicions that follow from the local health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionPolicy {
    /// Multiplier of suspicion timeouts, at least 1.
    pub timeout_multiplier: u64,
    /// Whether this member may suspect other members or confirm them dead.
    pub may_suspect: bool,
}

/// Local health of one member.
#[derive(Clone, Debug)]
pub struct LocalHealth {
    last_received: Nanos,
    next_tick: Option<Nanos>,
    /// Health score; 0 is healthy, and each step adds one to the timeout multiplier.
    score: u32,
    score_changed: Nanos,
    /// Number of stalls of this process.
    pub stalls: u64,
}

impl LocalHealth {
    /// Returns the local health of a member that has just started.
    #[must_use]
    pub fn new(now: Nanos) -> Self {
        LocalHealth {
            last_received: now,
            next_tick: None,
            score: 0,
            score_changed: now,
            stalls: 0,
        }
    }

    /// Begins a tick. Returns true after a stall, in which case no time measured across it may be
    /// used.
    pub fn begin_tick(&mut self, now: Nanos) -> bool {
        let overdue = self
            .next_tick
            .is_some_and(|due| now > due.saturating_add(STALL_THRESHOLD));
        let stalled = overdue && !is_injected(InjectedFault::IgnoresOwnStall);
        if stalled {
            self.stalls += 1;
            self.degrade(now);
            // Nothing could be received during the stall, so the silence is not counted.
            self.last_received = now;
        }
        if self.score > 0 && now.saturating_sub(self.score_changed) > RECOVERY_INTERVAL {
            self.score -= 1;
            self.score_changed = now;
        }
        stalled
    }

    /// Records when the next tick is due.
    pub fn schedule_tick(&mut self, due: Nanos) {
        self.next_tick = Some(due);
    }

    /// Records that a datagram of any member was received.
    pub fn record_received(&mut self, now: Nanos) {
        self.last_received = now;
    }

    /// Increases the health score by one step, up to its maximum.
    pub fn degrade(&mut self, now: Nanos) {
        self.score = (self.score + 1).min(TIMEOUT_MULTIPLIER_MAX - 1);
        self.score_changed = now;
    }

    /// Returns whether this member may be isolated: it has recently received nothing from any
    /// member, but not for long enough to conclude that all others are dead.
    #[must_use]
    pub fn is_isolated(&self, now: Nanos) -> bool {
        let silence = now.saturating_sub(self.last_received);
        (ISOLATED_AFTER..ISOLATED_UNTIL).contains(&silence)
    }

    /// Returns the time of the last datagram received from any member.
    #[must_use]
    pub fn last_received(&self) -> Nanos {
        self.last_received
    }

    /// Returns the current timeout multiplier, and whether suspicions are allowed.
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
