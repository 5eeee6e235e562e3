//! Heartbeats between members and a few watchers each.
//!
//! SWIM's random probes find a death in a time that is short in the mean but has no bound. So each
//! member also has [`WATCHERS`] watchers, drawn by rendezvous hashing over the live members: all
//! members compute the same ones, and a death moves few. A member sends its watchers heartbeats. A
//! watcher that hears nothing probes, and after [`SUSPECT_AFTER`] of silence broadcasts a suspicion
//! ([`crate::suspicion`]). The datagrams of a member are as many in a small fleet as in a large
//! one.

use crate::local_health::SuspicionPolicy;
use crate::{MS, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// How many members watch one.
pub const WATCHERS: usize = 5;
/// A watcher keeps watching while it ranks among this many: with lossy links members are suspect
/// now and then, and the draw without them would change back and forth.
const RETAINED_RANKS: usize = WATCHERS + 3;
/// How often a member sends its watchers a heartbeat.
pub const HEARTBEAT_INTERVAL: Nanos = 250 * MS;
/// After this much silence a watcher probes.
const PROBE_AFTER: Nanos = 500 * MS;
/// How often a silent member is probed by each of its watchers.
pub const PROBE_INTERVAL: Nanos = 100 * MS;
/// After this much silence, in spite of probes, a watcher suspects.
pub const SUSPECT_AFTER: Nanos = 900 * MS;
/// Watchers are drawn at most this often: a draw takes a step for each pair of members.
const DRAW_INTERVAL: Nanos = 300 * MS;

/// The number of a member in the draw; independent of its generation, so that a returning member
/// watches as before.
fn draw_number(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// The weight of a member as a watcher of another; those with the greatest weights watch.
fn weight(watcher: u64, watched: u64) -> u64 {
    let mixed = (watcher ^ watched.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// The indices in `candidates` of the members that `own` watches, or would watch, among these live
/// members.
#[must_use]
pub fn drawn_for(candidates: &[SocketAddr], own: SocketAddr, alive: &[SocketAddr]) -> Vec<usize> {
    let own = draw_number(own);
    let others: Vec<u64> = alive.iter().copied().map(draw_number).collect();
    let is_drawn = |watched: u64| {
        let own_weight = weight(own, watched);
        let heavier = others
            .iter()
            .filter(|other| weight(**other, watched) > own_weight);
        heavier.take(WATCHERS).count() < WATCHERS
    };
    (0..candidates.len())
        .filter(|index| is_drawn(draw_number(candidates[*index])))
        .collect()
}

struct WatchedMember {
    /// Silence counts from here at the earliest.
    silent_since: Nanos,
    next_probe: Nanos,
    suspected: bool,
}

/// Whom one member watches, and who watches it.
pub struct HeartbeatMonitor {
    own: SocketAddr,
    alive: Vec<SocketAddr>,
    watchers: Vec<SocketAddr>,
    watched: BTreeMap<SocketAddr, WatchedMember>,
    last_draw: Nanos,
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
    /// The monitor of the member at `own`, which knows no others.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        HeartbeatMonitor {
            own,
            alive: Vec::new(),
            watchers: Vec::new(),
            watched: BTreeMap::new(),
            last_draw: 0,
            next_heartbeat: 0,
        }
    }

    /// Draws the watchers again if the live members have changed. `alive` are the others that are
    /// not suspect, sorted.
    pub fn draw(
        &mut self,
        now: Nanos,
        alive: &[SocketAddr],
        is_suspect: impl Fn(SocketAddr) -> bool,
    ) {
        let recent = now.saturating_sub(self.last_draw) < DRAW_INTERVAL && !self.alive.is_empty();
        if alive == self.alive || recent {
            return;
        }
        self.last_draw = now;
        self.alive = alive.to_vec();
        let numbers: Vec<u64> = alive.iter().copied().map(draw_number).collect();
        self.draw_watchers(&numbers);
        // Suspects stay watched until confirmed or refuted. Silence that was counted is kept, or
        // each draw during a mass death would delay the other suspicions.
        self.watched
            .retain(|address, _| is_suspect(*address) || alive.binary_search(address).is_ok());
        self.draw_watched(now, &numbers);
    }

    fn draw_watchers(&mut self, numbers: &[u64]) {
        let own = draw_number(self.own);
        let mut ranked: Vec<(u64, SocketAddr)> = numbers
            .iter()
            .zip(&self.alive)
            .map(|(number, address)| (weight(*number, own), *address))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let addresses = ranked.into_iter().map(|(_, address)| address);
        self.watchers = addresses.take(WATCHERS).collect();
    }

    fn draw_watched(&mut self, now: Nanos, numbers: &[u64]) {
        let own = draw_number(self.own);
        for (index, address) in self.alive.iter().enumerate() {
            let own_weight = weight(own, numbers[index]);
            let is_heavier = |(other, number): &(usize, &u64)| {
                *other != index && weight(**number, numbers[index]) > own_weight
            };
            let heavier = numbers.iter().enumerate().filter(is_heavier);
            let rank = heavier.take(RETAINED_RANKS).count();
            if rank < WATCHERS {
                // Its former watchers may have died with others: it is probed at once.
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

    /// Whether this member watches that one.
    #[must_use]
    pub fn watches(&self, address: SocketAddr) -> bool {
        self.watched.contains_key(&address)
    }

    /// Silence counts from now on: this member itself stalled or was isolated.
    pub fn restart(&mut self, now: Nanos) {
        for watched in self.watched.values_mut() {
            watched.silent_since = now;
            watched.suspected = false;
        }
    }

    /// The actions that are due. `last_heard` tells when a member was last heard directly.
    pub fn due(
        &mut self,
        now: Nanos,
        policy: SuspicionPolicy,
        last_heard: impl Fn(SocketAddr) -> Nanos,
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
            let silence = now.saturating_sub(watched.silent_since.max(last_heard(*address)));
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
