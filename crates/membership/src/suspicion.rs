//! Suspicion timers: when a suspect is confirmed dead, and by whom.
//!
//! Every member that learns of a suspicion starts a timer. The suspect's watchers
//! ([`crate::heartbeat`]) probe it until it refutes; a watcher that hears nothing for the whole
//! timeout confirms the death and broadcasts it. All others wait `NON_WATCHER_MULTIPLIER` times
//! as long, in case the watchers are gone. A death thus rests on direct silence at several members,
//! not on one lost probe.

use crate::fault_injection::{InjectedFault, is_injected};
use crate::heartbeat::PROBE_INTERVAL;
use crate::local_health::SuspicionPolicy;
use crate::{Identity, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The timeout of a member that does not watch the suspect, as a multiple of a watcher's.
const NON_WATCHER_MULTIPLIER: u64 = 3;

/// A suspect, in the incarnation in which it is suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The member.
    pub id: Identity,
    /// Its incarnation.
    pub incarnation: u16,
}

#[derive(Clone, Debug)]
struct SuspicionTimer {
    suspect: Suspect,
    since: Nanos,
    next_probe: Nanos,
}

/// The suspicion timers of one member; at most one for each member that it knows.
#[derive(Debug)]
pub struct SuspicionTimers {
    running: BTreeMap<SocketAddr, SuspicionTimer>,
    timeout: Nanos,
    /// Suspicions begun.
    pub begun: u64,
    /// Suspects confirmed dead.
    pub confirmed_dead: u64,
}

/// An action that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionAction {
    /// Probe the suspect, so that it can refute.
    Probe(Suspect),
    /// Confirm that the suspect is dead.
    ConfirmDead(Suspect),
}

impl SuspicionTimers {
    /// No timers yet; a watcher confirms a death after `timeout`.
    #[must_use]
    pub fn new(timeout: Nanos) -> Self {
        SuspicionTimers {
            running: BTreeMap::new(),
            timeout,
            begun: 0,
            confirmed_dead: 0,
        }
    }

    /// Starts timers for new suspects, and stops those of members that are suspect no more.
    pub fn update(&mut self, now: Nanos, suspects: &BTreeMap<SocketAddr, Suspect>) {
        self.running
            .retain(|address, timer| suspects.get(address) == Some(&timer.suspect));
        for (address, suspect) in suspects {
            self.running.entry(*address).or_insert_with(|| {
                self.begun += 1;
                SuspicionTimer {
                    suspect: *suspect,
                    since: now,
                    next_probe: now,
                }
            });
        }
    }

    /// Restarts all timers: nothing that was timed across a stall of this member counts.
    pub fn restart(&mut self, now: Nanos) {
        for timer in self.running.values_mut() {
            timer.since = now;
            timer.next_probe = now;
        }
    }

    /// The actions that are due. `watches` tells whom this member watches, `last_heard` when a
    /// member was last heard directly.
    pub fn due(
        &mut self,
        now: Nanos,
        policy: SuspicionPolicy,
        watches: impl Fn(SocketAddr) -> bool,
        last_heard: impl Fn(SocketAddr) -> Nanos,
    ) -> Vec<SuspicionAction> {
        let mut actions = Vec::new();
        let mut expired = Vec::new();
        let probes = !is_injected(InjectedFault::SkipsFinalProbe);
        for (address, timer) in &mut self.running {
            let is_watcher = watches(*address);
            // A datagram of the suspect proves that it is alive; it is probed on until it refutes.
            let silent_since = if probes {
                timer.since.max(last_heard(*address))
            } else {
                timer.since
            };
            let role_multiplier = if is_watcher {
                1
            } else {
                NON_WATCHER_MULTIPLIER
            };
            let timeout = self.timeout * policy.timeout_multiplier * role_multiplier;
            if policy.may_suspect && now.saturating_sub(silent_since) >= timeout {
                expired.push(*address);
            } else if is_watcher && now >= timer.next_probe && probes {
                timer.next_probe = now + PROBE_INTERVAL;
                actions.push(SuspicionAction::Probe(timer.suspect));
            }
        }
        for timer in expired
            .iter()
            .filter_map(|address| self.running.remove(address))
        {
            self.confirmed_dead += 1;
            actions.push(SuspicionAction::ConfirmDead(timer.suspect));
        }
        actions
    }
}

#[cfg(test)]
mod tests;
