//! What the decisions are written with: the tables of open requests and caches, timers and random numbers.
//! Nothing is decided here.

use super::Engine;
use crate::api::*;
use crate::state::{Request, Server, Timer};
use rand_core::RngCore;

impl Engine {
    /// Runs `f` on an open request; it stays in the table while anything is owed or expected.
    pub(super) fn with(&mut self, id: RequestId, f: impl FnOnce(&mut Self, &mut Request)) {
        let Some(mut r) = self.requests.remove(&id) else {
            return;
        };
        f(self, &mut r);
        if !r.done || r.out() > 0 {
            self.requests.insert(id, r);
        }
    }

    /// Runs `f` on a listed cache, out of the table meanwhile.
    pub(super) fn with_server(&mut self, id: EndpointId, f: impl FnOnce(&mut Self, &mut Server)) {
        let Some(mut server) = self.servers.get_mut(&id).map(std::mem::take) else {
            return;
        };
        f(self, &mut server);
        self.servers.insert(id, server);
    }

    pub(super) fn timer(&mut self, after: Nanos, timer: Timer) {
        self.next_token += 1;
        self.timers.insert(self.next_token, timer);
        self.actions.push(Action::SetTimer {
            after,
            token: TimerToken(self.next_token),
        });
    }

    pub(super) fn random_below(&mut self, n: u64) -> u64 {
        if n == 0 { 0 } else { self.rng.next_u64() % n }
    }

    /// What was let in and found no room since the last call.
    pub fn take_admission_counts(&mut self) -> AdmissionCounts {
        std::mem::take(&mut self.tally)
    }

    /// Which tier a request stands on.
    pub(super) fn tier(&self, r: &Request) -> usize {
        self.tiers[2 * r.new.class.0 + usize::from(r.over_share)]
    }

    /// The caches that take requests.
    pub(super) fn caches(&self) -> impl Iterator<Item = (&EndpointId, &Server)> {
        self.servers
            .iter()
            .filter(|(_, s)| s.entry.state == EndpointState::Active && !self.is_origin(&s.entry))
    }

    /// A server's size over the mean one's.
    pub(super) fn size(&self, id: EndpointId) -> f64 {
        self.servers
            .get(&id)
            .map_or(1.0, |s| self.weight(&s.entry) / self.mean_weight.max(0.01))
    }
}
