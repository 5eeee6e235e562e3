//! State shared by the protocols of one member: the time, randomness, and the outputs of the
//! member.

use super::send_budget::SendBudget;
use super::statistics::MemberStatistics;
use crate::envelope::{self, EnvelopeScope, MessageKind};
use crate::payload::encode;
use crate::{MembershipEvent, Nanos};
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::net::SocketAddr;

/// Interval between gossip broadcasts.
pub(super) const GOSSIP_INTERVAL: Nanos = 100 * crate::MS;
/// Number of random members that each gossip broadcast is sent to.
pub(super) const GOSSIP_FANOUT: usize = 3;

/// State shared by the protocols of one member.
pub(super) struct Context {
    pub(super) now: Nanos,
    pub(super) rng: Xoshiro256PlusPlus,
    pub(super) scope: EnvelopeScope,
    pub(super) statistics: MemberStatistics,
    pub(super) datagrams: Vec<(SocketAddr, Vec<u8>)>,
    pub(super) events: Vec<MembershipEvent>,
    /// Send budget; present if the fleet has regions.
    pub(super) budget: Option<SendBudget>,
}

impl Context {
    /// Returns whether broadcasts and digests may be sent now; always true without regions. A
    /// deferral is counted.
    pub(super) fn may_send(&mut self) -> bool {
        let now = self.now;
        let allowed = self.budget.as_mut().is_none_or(|budget| budget.allows(now));
        self.statistics.deferred += u64::from(!allowed);
        allowed
    }

    pub(super) fn send(&mut self, to: SocketAddr, kind: MessageKind, payload: &[u8]) {
        let datagram = envelope::seal(self.scope, kind, payload);
        self.statistics.sent += 1;
        self.statistics.sent_bytes += datagram.len() as u64;
        if let Some(budget) = &mut self.budget {
            budget.spend(datagram.len());
        }
        self.datagrams.push((to, datagram));
    }

    pub(super) fn send_message<T>(&mut self, to: SocketAddr, kind: MessageKind, message: &T)
    where
        T: Serialize + ?Sized,
    {
        self.send(to, kind, &encode(message));
    }

    /// Returns a random element, or `None` if the slice is empty.
    pub(super) fn choose<T: Copy>(&mut self, candidates: &[T]) -> Option<T> {
        let index = (!candidates.is_empty()).then(|| self.rng.random_range(0..candidates.len()))?;
        Some(candidates[index])
    }
}
