//! Heartbeats from each member to a few watchers.
//!
//! The random probes of SWIM detect a death quickly on average, but without an upper bound. Each
//! member therefore has [`WATCHER_COUNT`] watchers, selected by rendezvous hashing over the live
//! members: all members compute the same watchers, and a death changes few of them. A member sends
//! heartbeats to its watchers. A watcher that receives nothing probes the member, and broadcasts a
//! suspicion after a silence of [`SUSPECT_AFTER`] ([`crate::suspicion`]). The number of datagrams
//! per member does not grow with the fleet.

use crate::local_health::SuspicionPolicy;
use crate::{MS, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Number of watchers of each member.
pub const WATCHER_COUNT: usize = 5;
/// Number of top ranks within which a watcher keeps watching. With lossy links, members are briefly
/// suspect and therefore missing from the selection; without the margin above [`WATCHER_COUNT`] the
/// watchers would change back and forth.
const RETAINED_RANKS: usize = WATCHER_COUNT + 3;
/// Interval between heartbeats to a watcher.
pub const HEARTBEAT_INTERVAL: Nanos = 250 * MS;
/// Silence after which a watcher probes.
const PROBE_AFTER: Nanos = 500 * MS;
/// Interval between probes of a silent member by each of its watchers.
pub const PROBE_INTERVAL: Nanos = 100 * MS;
/// Silence, in spite of probes, after which a watcher suspects the member.
pub const SUSPECT_AFTER: Nanos = 900 * MS;
/// Minimum interval between selections of watchers; a selection takes one step for each pair of
/// members.
const SELECTION_INTERVAL_MIN: Nanos = 300 * MS;

/// Returns the hash of a member for rendezvous hashing. It does not depend on the generation, so
/// that a restarted member keeps its watchers and the members it watches.
fn address_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// Returns the rendezvous weight of a member as a watcher of another; the members with the greatest
/// weights are selected.
fn rendezvous_weight(watcher: u64, watched: u64) -> u64 {
    let mixed = (watcher ^ watched.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Returns the indices in `candidates` of the members that `own` watches, given the other live
/// members. A dead candidate is included if `own` would watch it after its recovery.
#[must_use]
pub fn watched_among(
    candidates: &[SocketAddr],
    own: SocketAddr,
    alive: &[SocketAddr],
) -> Vec<usize> {
    let own_hash = address_hash(own);
    let others: Vec<u64> = alive.iter().copied().map(address_hash).collect();
    let is_watched = |watched: u64| {
        let own_weight = rendezvous_weight(own_hash, watched);
        let heavier = others
            .iter()
            .filter(|other| rendezvous_weight(**other, watched) > own_weight);
        heavier.take(WATCHER_COUNT).count() < WATCHER_COUNT
    };
    (0..candidates.len())
        .filter(|index| is_watched(address_hash(candidates[*index])))
        .collect()
}

struct WatchedMember {
    /// Earliest time from which silence is counted.
    silent_since: Nanos,
    next_probe: Nanos,
    suspected: bool,
}

/// Heartbeat state of one member: its watchers and the members it watches.
pub struct HeartbeatMonitor {
    own: SocketAddr,
    alive: Vec<SocketAddr>,
    watchers: Vec<SocketAddr>,
    watched: BTreeMap<SocketAddr, WatchedMember>,
    last_selection: Nanos,
    next_heartbeat: Nanos,
}

/// An action that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Send a heartbeat to a watcher.
    SendHeartbeat(SocketAddr),
    /// Probe a silent member.
    Probe(SocketAddr),
    /// Broadcast that a member is suspect.
    Suspect(SocketAddr),
}

impl HeartbeatMonitor {
    /// Creates the monitor of the member at `own`, without any other members.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        HeartbeatMonitor {
            own,
            alive: Vec::new(),
            watchers: Vec::new(),
            watched: BTreeMap::new(),
            last_selection: 0,
            next_heartbeat: 0,
        }
    }

    /// Selects watchers and watched members again if the live members have changed. `alive` are the
    /// other members that are not suspect, sorted.
    pub fn update_selection(
        &mut self,
        now: Nanos,
        alive: &[SocketAddr],
        is_suspect: impl Fn(SocketAddr) -> bool,
    ) {
        let too_early = now.saturating_sub(self.last_selection) < SELECTION_INTERVAL_MIN
            && !self.alive.is_empty();
        if alive == self.alive || too_early {
            return;
        }
        self.last_selection = now;
        self.alive = alive.to_vec();
        let hashes: Vec<u64> = alive.iter().copied().map(address_hash).collect();
        self.select_watchers(&hashes);
        // Suspects stay watched until they are confirmed dead or refute. The counted silence is
        // kept; otherwise each selection during a mass death would delay the remaining suspicions.
        self.watched
            .retain(|address, _| is_suspect(*address) || alive.binary_search(address).is_ok());
        self.select_watched(now, &hashes);
    }

    fn select_watchers(&mut self, hashes: &[u64]) {
        let own_hash = address_hash(self.own);
        let mut ranked: Vec<(u64, SocketAddr)> = hashes
            .iter()
            .zip(&self.alive)
            .map(|(hash, address)| (rendezvous_weight(*hash, own_hash), *address))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let addresses = ranked.into_iter().map(|(_, address)| address);
        self.watchers = addresses.take(WATCHER_COUNT).collect();
    }

    fn select_watched(&mut self, now: Nanos, hashes: &[u64]) {
        let own_hash = address_hash(self.own);
        for (index, address) in self.alive.iter().enumerate() {
            let own_weight = rendezvous_weight(own_hash, hashes[index]);
            let is_heavier = |(other, hash): &(usize, &u64)| {
                *other != index && rendezvous_weight(**hash, hashes[index]) > own_weight
            };
            let heavier = hashes.iter().enumerate().filter(is_heavier);
            let rank = heavier.take(RETAINED_RANKS).count();
            if rank < WATCHER_COUNT {
                // Its previous watchers may have died together with others, so it is probed at
                // once.
                self.watched.entry(*address).or_insert(WatchedMember {
                    silent_since: now.saturating_sub(PROBE_AFTER),
                    next_probe: now,
                    suspected: false,
                });
            } else if rank >= RETAINED_RANKS {
                self.watched.remove(address);
            }
        }
    }

    /// Returns whether this member watches the member at `address`.
    #[must_use]
    pub fn watches(&self, address: SocketAddr) -> bool {
        self.watched.contains_key(&address)
    }

    /// Restarts the counting of silence after a stall or isolation of this member.
    pub fn restart(&mut self, now: Nanos) {
        for watched in self.watched.values_mut() {
            watched.silent_since = now;
            watched.suspected = false;
        }
    }

    /// Returns the actions that are due. `last_received` returns the time of the last datagram
    /// received directly from a member.
    pub fn due(
        &mut self,
        now: Nanos,
        policy: SuspicionPolicy,
        last_received: impl Fn(SocketAddr) -> Nanos,
    ) -> Vec<HeartbeatAction> {
        let mut actions = Vec::new();
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            actions.extend(
                self.watchers
                    .iter()
                    .copied()
                    .map(HeartbeatAction::SendHeartbeat),
            );
        }
        for (address, watched) in &mut self.watched {
            let silence = now.saturating_sub(watched.silent_since.max(last_received(*address)));
            if silence < PROBE_AFTER {
                watched.suspected = false;
                continue;
            }
            if now >= watched.next_probe {
                watched.next_probe = now + PROBE_INTERVAL;
                actions.push(HeartbeatAction::Probe(*address));
            }
            let timed_out = silence >= SUSPECT_AFTER * policy.timeout_multiplier;
            if timed_out && policy.may_suspect && !watched.suspected {
                watched.suspected = true;
                actions.push(HeartbeatAction::Suspect(*address));
            }
        }
        actions
    }
}

#[cfg(test)]
mod tests;
