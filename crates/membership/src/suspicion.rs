//! When a suspect is given up, and by whom.
//!
//! A suspicion runs at every member that hears of it. The suspect's watchers ([`crate::heartbeat`]) ask the suspect itself,
//! again and again; whoever of them hears nothing of it for the whole time gives it up and says so. All others wait much
//! longer, in case its watchers are gone. So a death rests on several members' own ears, not on a probe that was lost,
//! and a suspect hears of its suspicion at once, and from several sides.

use crate::fault_injection::{self, InjectedFault};
use crate::heartbeat::ASK_EVERY;
use crate::{Identity, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Who doesn't watch waits so many times as long.
const OTHERS_WAIT: u64 = 3;

/// A suspicion that runs.
#[derive(Clone, Debug)]
struct Running {
    suspect: Identity,
    incarnation: u16,
    since: Nanos,
    ask: Nanos,
}

/// The suspicions of one member; at most one for each member it knows.
#[derive(Debug)]
pub struct Suspicions {
    running: BTreeMap<SocketAddr, Running>,
    span: Nanos,
    /// Suspicions that began.
    pub begun: u64,
    /// Suspects given up.
    pub given_up: u64,
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the suspect itself.
    Ask(Identity, u16),
    /// Give it up.
    GiveUp(Identity, u16),
}

impl Suspicions {
    /// None yet; a watcher gives its suspect up after `span`.
    pub fn new(span: Nanos) -> Self {
        Suspicions {
            running: BTreeMap::new(),
            span,
            begun: 0,
            given_up: 0,
        }
    }

    /// These are suspect now: a suspicion that is new begins, one that no longer holds ends.
    pub fn hold(&mut self, now: Nanos, suspects: &BTreeMap<SocketAddr, (Identity, u16)>) {
        self.running
            .retain(|address, r| suspects.get(address) == Some(&(r.suspect, r.incarnation)));
        for (address, (suspect, incarnation)) in suspects {
            self.running.entry(*address).or_insert_with(|| {
                self.begun += 1;
                Running {
                    suspect: *suspect,
                    incarnation: *incarnation,
                    since: now,
                    ask: now,
                }
            });
        }
    }

    /// Begins all anew: after a stall of its own nothing that it timed counts.
    pub fn begin_anew(&mut self, now: Nanos) {
        for r in self.running.values_mut() {
            r.since = now;
            r.ask = now;
        }
    }

    /// What is due now. `watches` tells whom this member watches, `heard` when a member was last heard itself, `patience`
    /// stretches the time, and without `may_accuse` nobody is given up.
    pub fn due(
        &mut self,
        now: Nanos,
        patience: u64,
        may_accuse: bool,
        watches: impl Fn(SocketAddr) -> bool,
        heard: impl Fn(SocketAddr) -> Nanos,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut over = Vec::new();
        let last_question = !fault_injection::is_injected(InjectedFault::SkipsFinalProbe);
        for (address, r) in &mut self.running {
            let watched = watches(*address);
            // A word of its own proves that it lives, whatever others say; it is asked on until it refutes.
            let quiet_since = if last_question {
                r.since.max(heard(*address))
            } else {
                r.since
            };
            let wait = self.span * patience * if watched { 1 } else { OTHERS_WAIT };
            if may_accuse && now.saturating_sub(quiet_since) >= wait {
                over.push(*address);
            } else if watched && now >= r.ask && last_question {
                r.ask = now + ASK_EVERY;
                steps.push(Step::Ask(r.suspect, r.incarnation));
            }
        }
        for address in over {
            if let Some(r) = self.running.remove(&address) {
                self.given_up += 1;
                steps.push(Step::GiveUp(r.suspect, r.incarnation));
            }
        }
        steps
    }
}

#[cfg(test)]
mod tests;
