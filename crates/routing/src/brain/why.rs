//! What the module says of its refusals, holds and attempts not made. Nothing is decided here.

use super::Brain;
use crate::api::*;
use crate::state::Request;

impl Brain {
    /// The reason with the figures it was decided by: those of the request's first candidate, or, where the origin is
    /// the reason, those of fetches.
    pub(super) fn why(&mut self, r: &Request, reason: Reason) -> Why {
        let first = self
            .candidates(r.slot)
            .first()
            .and_then(|id| self.servers.get(id));
        let fetches = matches!(reason, Reason::Origin | Reason::Distress);
        let mean = first
            .filter(|_| !fetches)
            .map_or(&self.fetch, |s| &s.latency);
        Why {
            reason,
            out: first.map_or(0, |s| s.out.len()),
            limit: first.map_or(0.0, |s| s.limit),
            room: self.origin_room,
            base: mean.base as Nanos,
            now: mean.now as Nanos,
        }
    }

    pub(super) fn note(&mut self, r: &Request, withheld: Withheld, reason: Reason) {
        let why = self.why(r, reason);
        self.actions.push(Action::Note {
            request: r.new.id,
            withheld,
            why,
        });
    }
}
