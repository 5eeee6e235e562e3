//! A member's doubt of itself. One that stood still, or hears nobody, sees others as silent though the silence is its
//! own; it accuses nobody until it has had time to hear them (the local health of the Lifeguard paper).

use crate::fault_injection::{self, InjectedFault};
use crate::{MS, Nanos};

/// A turn that comes this much later than it was due shows that the member itself stood still. Scheduling on a busy
/// machine stays under it mostly; a doubt too many only delays a verdict.
pub const GAP: Nanos = 300 * MS;
/// The most that doubt stretches the time of a suspicion, as a multiple of it.
const DOUBT_MAX: u32 = 3;
/// One step of doubt goes after this long without a cause.
const DOUBT_FADES: Nanos = 2_000 * MS;
/// A member that hears nobody for this long holds itself for cut off: before any single member's silence is a suspicion
/// ([`crate::heartbeat::SILENT`]), for those it watches send it a beat four times a second each.
const CUT_OFF: Nanos = 800 * MS;
/// After so long it believes the silence all the same: the others may be dead.
const SILENT_MAX: Nanos = 10_000 * MS;

/// What a member thinks of its own hearing.
#[derive(Clone, Debug)]
pub struct Health {
    heard: Nanos,
    due: Option<Nanos>,
    doubt: u32,
    doubted: Nanos,
    /// Gaps in its own running.
    pub gaps: u64,
}

impl Health {
    /// A member that has just started.
    pub fn new(now: Nanos) -> Self {
        Health {
            heard: now,
            due: None,
            doubt: 0,
            doubted: now,
            gaps: 0,
        }
    }

    /// A turn of the member's own clock, before anything else is done in it. True after a gap: what was timed across
    /// it counts for nothing.
    pub fn turn(&mut self, now: Nanos) -> bool {
        let late = self.due.is_some_and(|due| now > due.saturating_add(GAP));
        let stood = late && !fault_injection::is_injected(InjectedFault::IgnoresOwnStall);
        if stood {
            self.gaps += 1;
            self.doubt(now);
            // The silence was its own.
            self.heard = now;
        }
        if self.doubt > 0 && now.saturating_sub(self.doubted) > DOUBT_FADES {
            self.doubt -= 1;
            self.doubted = now;
        }
        stood
    }

    /// When the next turn is due.
    pub fn expect(&mut self, due: Nanos) {
        self.due = Some(due);
    }

    /// Anybody was heard.
    pub fn heard(&mut self, now: Nanos) {
        self.heard = now;
    }

    /// A cause to trust oneself less: a gap, or an accusation of one's own that was refuted.
    pub fn doubt(&mut self, now: Nanos) {
        self.doubt = (self.doubt + 1).min(DOUBT_MAX - 1);
        self.doubted = now;
    }

    /// By what the time of a suspicion is multiplied.
    pub fn patience(&self) -> u64 {
        1 + u64::from(self.doubt)
    }

    /// Whether it may be the one that is cut off: it has heard nobody lately, and not for so long that all others must
    /// be dead.
    pub fn is_cut_off(&self, now: Nanos) -> bool {
        let silent = now.saturating_sub(self.heard);
        (CUT_OFF..SILENT_MAX).contains(&silent)
    }

    /// Since when nobody was heard.
    pub fn last_heard(&self) -> Nanos {
        self.heard
    }

    /// Whether an accusation by it counts now.
    pub fn may_accuse(&self, now: Nanos) -> bool {
        !self.is_cut_off(now) || fault_injection::is_injected(InjectedFault::SuspectsWhileIsolated)
    }
}

#[cfg(test)]
mod tests;
