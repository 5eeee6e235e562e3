//! The simulated network: loss, delay, duplicates and cut links.

use super::{QueuedEvent, SimulatedFleet, TAPE, address};
use membership::{MS, Nanos};
use rand::RngExt;
use std::net::SocketAddr;

/// What the network does to each datagram.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// The share that is lost.
    pub loss: f64,
    /// The delay of each, and what is added at random.
    pub delay: Nanos,
    /// See `delay`; more than the spacing of datagrams reorders them.
    pub jitter: Nanos,
    /// The share that comes twice.
    pub duplicates: f64,
    /// The share of level reports that is lost besides.
    pub load_loss: f64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions {
            loss: 0.0,
            delay: MS / 2,
            jitter: MS / 2,
            duplicates: 0.0,
            load_loss: 0.0,
        }
    }
}

impl SimulatedFleet {
    /// Cuts the way from one to another, or opens it.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.cut[from][to] = cut;
    }

    /// Cuts all ways between the members of two sets, given by a side for each, or opens them.
    pub fn split(&mut self, side: impl Fn(usize) -> usize, cut: bool) {
        for from in 0..self.slots.len() {
            for to in 0..self.slots.len() {
                if side(from) != side(to) {
                    self.cut[from][to] = cut;
                }
            }
        }
    }

    /// Sends the datagrams of a member.
    pub(super) fn send(&mut self, from: usize, outputs: Vec<(SocketAddr, Vec<u8>)>) {
        for (to, datagram) in outputs {
            let Some(to) = self.numbers.get(&to).copied() else {
                continue;
            };
            self.transmit(from, to, &datagram);
        }
    }

    /// Hands a datagram to the network.
    fn transmit(&mut self, from: usize, to: usize, datagram: &[u8]) {
        if self.tape.len() < TAPE {
            self.tape.push((address(from), datagram.to_vec()));
        }
        let apart = self.slots[from].region != self.slots[to].region;
        let network = self
            .between_regions
            .filter(|_| apart)
            .unwrap_or(self.network);
        if self.cut[from][to] || self.rng.random_bool(network.loss) {
            return;
        }
        let load =
            datagram.get(3) == Some(&(membership::envelope::MessageKind::LevelReports as u8));
        if load && network.load_loss > 0.0 && self.rng.random_bool(network.load_loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(network.duplicates));
        for _ in 0..copies {
            let jitter = self.rng.random_range(0..=network.jitter);
            let at = self.now + network.delay + jitter;
            self.push(
                at,
                QueuedEvent::Datagram(to, address(from), datagram.to_vec()),
            );
        }
    }
}
