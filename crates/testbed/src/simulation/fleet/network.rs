//! The simulated network: loss, delay, duplicates and cut links.

use super::{MAX_RECORDED_DATAGRAMS, QueuedEvent, SimulatedFleet, address};
use membership::{MS, Nanos};
use rand::RngExt;
use std::net::SocketAddr;

/// Faults that the simulated network applies to each datagram.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Fraction of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Fixed delay of each datagram.
    pub delay: Nanos,
    /// Maximum random delay added to `delay`. Datagrams sent within this time of each other can be
    /// reordered.
    pub jitter: Nanos,
    /// Fraction of datagrams delivered twice, 0 to 1.
    pub duplicates: f64,
    /// Fraction of level reports lost in addition to `loss`, 0 to 1.
    pub level_report_loss: f64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions {
            loss: 0.0,
            delay: MS / 2,
            jitter: MS / 2,
            duplicates: 0.0,
            level_report_loss: 0.0,
        }
    }
}

impl SimulatedFleet {
    /// Cuts or restores the link from one member to another, in that direction only.
    pub fn set_link_cut(&mut self, from: usize, to: usize, cut: bool) {
        self.link_cut[from][to] = cut;
    }

    /// Cuts or restores all links between members of different sides, in both directions. `side`
    /// maps a slot to its side.
    pub fn set_partition(&mut self, side: impl Fn(usize) -> usize, cut: bool) {
        for from in 0..self.slots.len() {
            for to in 0..self.slots.len() {
                if side(from) != side(to) {
                    self.link_cut[from][to] = cut;
                }
            }
        }
    }

    /// Sends a member's datagrams, each to the slot of its destination address; drops those to
    /// unknown addresses.
    pub(super) fn send(&mut self, from: usize, datagrams: Vec<(SocketAddr, Vec<u8>)>) {
        for (to, datagram) in datagrams {
            let Some(to) = self.slot_by_address.get(&to).copied() else {
                continue;
            };
            self.transmit(from, to, &datagram);
        }
    }

    /// Applies the network conditions to a datagram and queues its delivery.
    fn transmit(&mut self, from: usize, to: usize, datagram: &[u8]) {
        if self.recorded_datagrams.len() < MAX_RECORDED_DATAGRAMS {
            self.recorded_datagrams
                .push((address(from), datagram.to_vec()));
        }
        let crosses_regions = self.slots[from].region != self.slots[to].region;
        let network = self
            .between_regions
            .filter(|_| crosses_regions)
            .unwrap_or(self.network);
        if self.link_cut[from][to] || self.rng.random_bool(network.loss) {
            return;
        }
        // Byte 3 of a datagram is the message kind.
        let is_level_report =
            datagram.get(3) == Some(&(membership::envelope::MessageKind::LevelReports as u8));
        if is_level_report
            && network.level_report_loss > 0.0
            && self.rng.random_bool(network.level_report_loss)
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(network.duplicates));
        for _ in 0..copies {
            let jitter = self.rng.random_range(0..=network.jitter);
            let at = self.now + network.delay + jitter;
            self.push(
                at,
                QueuedEvent::Deliver(to, address(from), datagram.to_vec()),
            );
        }
    }
}
