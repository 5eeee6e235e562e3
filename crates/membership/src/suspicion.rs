//! Suspicion timers, which determine when a suspect is confirmed dead, and by which members.
//!
//! Every member that receives a suspicion starts a timer. The watchers of the suspect
//! ([`crate::heartbeat`]) probe it until it refutes. A watcher that receives nothing from it for
//! the whole timeout confirms the death and broadcasts it. All other members wait
//! `NON_WATCHER_MULTIPLIER` times as long, in case the watchers are dead too. A death thus follows
//! from silence observed directly by several members, and not from one lost probe.

use crate::fault_injection::{InjectedFault, is_injected};
use crate::heartbeat::PROBE_INTERVAL;
use crate::local_health::SuspicionPolicy;
use crate::{Identity, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Timeout of a member that does not watch the suspect, as a multiple of a watcher's timeout.
const NON_WATCHER_MULTIPLIER: u64 = 3;

/// A suspect, and the incarnation in which it is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Address and generation of the suspect.
    pub id: Identity,
    /// Incarnation of the suspect.
    pub incarnation: u16,
}

#[derive(Clone, Debug)]
struct SuspicionTimer {
    suspect: Suspect,
    since: Nanos,
    next_probe: Nanos,
}

/// Suspicion timers of one member; at most one for each tracked member.
#[derive(Debug)]
pub struct SuspicionTimers {
    timers: BTreeMap<SocketAddr, SuspicionTimer>,
    timeout: Nanos,
    /// Number of suspicions for which a timer was started.
    pub started: u64,
    /// Number of suspects confirmed dead by this member.
    pub confirmed_dead: u64,
}

/// An action that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionAction {
    /// Probe the suspect to let it refute.
    Probe(Suspect),
    /// Confirm that the suspect is dead.
    ConfirmDead(Suspect),
}

impl SuspicionTimers {
    /// Creates an empty set of timers; a watcher confirms a death after `timeout`.
    #[must_use]
    pub fn new(timeout: Nanos) -> Self {
        SuspicionTimers {
            timers: BTreeMap::new(),
            timeout,
            started: 0,
            confirmed_dead: 0,
        }
    }

    /// Starts timers for new suspects, and stops those of members that are no longer suspect.
    pub fn update(&mut self, now: Nanos, suspects: &BTreeMap<SocketAddr, Suspect>) {
        self.timers
            .retain(|address, timer| suspects.get(address) == Some(&timer.suspect));
        for (address, suspect) in suspects {
            self.timers.entry(*address).or_insert_with(|| {
                self.started += 1;
                SuspicionTimer {
                    suspect: *suspect,
                    since: now,
                    next_probe: now,
                }
            });
        }
    }

    /// Restarts all timers after a stall of this process, because no time measured across the stall
    /// is valid.
    pub fn restart(&mut self, now: Nanos) {
        for timer in self.timers.values_mut() {
            timer.since = now;
            timer.next_probe = now;
        }
    }

    /// Returns the actions that are due. `watches` returns whether this member watches another;
    /// `last_received` returns the time of the last datagram received directly from a member.
    pub fn due(
        &mut self,
        now: Nanos,
        policy: SuspicionPolicy,
        watches: impl Fn(SocketAddr) -> bool,
        last_received: impl Fn(SocketAddr) -> Nanos,
    ) -> Vec<SuspicionAction> {
        let mut actions = Vec::new();
        let mut expired = Vec::new();
        let probes_enabled = !is_injected(InjectedFault::SkipsFinalProbe);
        for (address, timer) in &mut self.timers {
            let is_watcher = watches(*address);
            // A datagram from the suspect proves that it is alive. Probing continues until it
            // refutes.
            let silent_since = if probes_enabled {
                timer.since.max(last_received(*address))
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
            } else if is_watcher && now >= timer.next_probe && probes_enabled {
                timer.next_probe = now + PROBE_INTERVAL;
                actions.push(SuspicionAction::Probe(timer.suspect));
            }
        }
        for timer in expired
            .iter()
            .filter_map(|address| self.timers.remove(address))
        {
            self.confirmed_dead += 1;
            actions.push(SuspicionAction::ConfirmDead(timer.suspect));
        }
        actions
    }
}

#[cfg(test)]
mod tests;
