//! Who listens for whom.
//!
//! SWIM's probes go round at random: a death is found after a time that is short in the mean and has no bound worth the
//! name. So each member is also listened for by a few watchers. They are drawn by rendezvous hashing over the living, so
//! all members name the same ones, and a death moves few. A member sends its watchers a beat, often; a watcher that hears
//! nothing of it asks, and goes on asking; after [`SILENT`] without a word it tells the others of a suspect
//! ([`crate::suspicion`]). Beats and questions a member are as many in a small fleet as in a large one.

use crate::{MS, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// How many members watch one.
pub const WATCHERS: usize = 5;
/// Who watches one goes on as long as it is among so many: where datagrams get lost members are suspect now and then,
/// and the draw without them changes back and forth.
const KEPT: usize = WATCHERS + 3;
/// A member sends its watchers a beat this often.
pub const BEAT: Nanos = 250 * MS;
/// A watcher that has heard nothing for this long asks, and again after [`ASK_EVERY`].
const QUIET: Nanos = 500 * MS;
/// How often a silent member is asked by each of its watchers.
pub const ASK_EVERY: Nanos = 100 * MS;
/// A watcher that has heard nothing for this long, though it asked, suspects.
pub const SILENT: Nanos = 900 * MS;
/// The lists of watchers are drawn anew at most this often: it costs a step for each pair of members.
const DRAW_EVERY: Nanos = 300 * MS;

/// The number of a member in the draw. Its generation counts for nothing: who returns watches as before.
fn number(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// The weight of one as a watcher of another; the greatest few watch.
fn weight(watcher: u64, watched: u64) -> u64 {
    let mixed = (watcher ^ watched.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Which of these, by their places, the member at `own` watches, or would watch if it were there, among these living.
pub fn drawn_for(of: &[SocketAddr], own: SocketAddr, living: &[SocketAddr]) -> Vec<usize> {
    let own = number(own);
    let others: Vec<u64> = living.iter().map(|address| number(*address)).collect();
    let is_drawn = |watched: u64| {
        let mine = weight(own, watched);
        others
            .iter()
            .filter(|other| weight(**other, watched) > mine)
            .take(WATCHERS)
            .count()
            < WATCHERS
    };
    (0..of.len()).filter(|n| is_drawn(number(of[*n]))).collect()
}

struct Watched {
    /// Silence counts from here at the earliest.
    since: Nanos,
    ask: Nanos,
    told: bool,
}

/// Whom one member watches, and who watches it.
pub struct Watch {
    own: SocketAddr,
    living: Vec<SocketAddr>,
    watchers: Vec<SocketAddr>,
    watched: BTreeMap<SocketAddr, Watched>,
    drawn: Nanos,
    beat: Nanos,
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send a beat to a watcher.
    Beat(SocketAddr),
    /// Ask a silent member.
    Ask(SocketAddr),
    /// Tell the others that it is suspect.
    Suspect(SocketAddr),
}

impl Watch {
    /// A member at this address that knows nobody.
    pub fn new(own: SocketAddr) -> Self {
        Watch {
            own,
            living: Vec::new(),
            watchers: Vec::new(),
            watched: BTreeMap::new(),
            drawn: 0,
            beat: 0,
        }
    }

    /// Draws the lists anew if the living have changed: `living` are the others that are not suspect, in order.
    pub fn draw(&mut self, now: Nanos, living: &[SocketAddr], held: impl Fn(SocketAddr) -> bool) {
        if living == self.living
            || (now.saturating_sub(self.drawn) < DRAW_EVERY && !self.living.is_empty())
        {
            return;
        }
        self.drawn = now;
        self.living = living.to_vec();
        let numbers: Vec<u64> = living.iter().map(|a| number(*a)).collect();
        let own = number(self.own);
        let mut all: Vec<(u64, SocketAddr)> = numbers
            .iter()
            .zip(living)
            .map(|(n, a)| (weight(*n, own), *a))
            .collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        self.watchers = all.into_iter().take(WATCHERS).map(|(_, a)| a).collect();
        // Who is suspect is listened for as before, until it is given up or refutes; who is not keeps the silence that
        // has been counted, or each draw during a mass death would put the others' suspicions off.
        self.watched
            .retain(|address, _| held(*address) || living.binary_search(address).is_ok());
        for (i, address) in living.iter().enumerate() {
            let mine = weight(own, numbers[i]);
            let heavier = |(j, n): (usize, &u64)| j != i && weight(*n, numbers[i]) > mine;
            let rank = numbers
                .iter()
                .enumerate()
                .filter(|(j, n)| heavier((*j, n)))
                .take(KEPT)
                .count();
            if rank < WATCHERS {
                // Whoever watched it before may have died with it: it is asked at once.
                let since = now.saturating_sub(QUIET);
                self.watched.entry(*address).or_insert(Watched {
                    since,
                    ask: now,
                    told: false,
                });
            } else if rank >= KEPT {
                self.watched.remove(address);
            }
        }
    }

    /// Whether this member watches that one.
    pub fn watches(&self, address: SocketAddr) -> bool {
        self.watched.contains_key(&address)
    }

    /// Silence counts from now: this member stood still, or was cut off, itself.
    pub fn begin_anew(&mut self, now: Nanos) {
        for watched in self.watched.values_mut() {
            watched.since = now;
            watched.told = false;
        }
    }

    /// What is due now. `heard` tells when a member was last heard itself, `patience` stretches the time, and without
    /// `may_accuse` nobody is suspected.
    pub fn due(
        &mut self,
        now: Nanos,
        patience: u64,
        may_accuse: bool,
        heard: impl Fn(SocketAddr) -> Nanos,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        if now >= self.beat {
            self.beat = now + BEAT;
            steps.extend(self.watchers.iter().map(|watcher| Step::Beat(*watcher)));
        }
        for (address, watched) in &mut self.watched {
            let silent = now.saturating_sub(watched.since.max(heard(*address)));
            if silent < QUIET {
                watched.told = false;
                continue;
            }
            if now >= watched.ask {
                watched.ask = now + ASK_EVERY;
                steps.push(Step::Ask(*address));
            }
            if silent >= SILENT * patience && may_accuse && !watched.told {
                watched.told = true;
                steps.push(Step::Suspect(*address));
            }
        }
        steps
    }
}

#[cfg(test)]
mod tests;
