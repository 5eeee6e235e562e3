//! What the module says of its refusals, holds and attempts not made. Nothing is decided here.

use super::Engine;
use crate::api::*;
use crate::state::Request;

impl Engine {
    /// The reason with the figures it was decided by: those of the request's first candidate, or, where the origin is
    /// the reason, those of fetches.
    pub(super) fn why(&mut self, r: &Request, reason: DecisionReason) -> Explanation {
        let first = self
            .candidates(r.slot)
            .first()
            .and_then(|id| self.servers.get(id));
        let fetches = matches!(
            reason,
            DecisionReason::OriginProtection | DecisionReason::OriginOverload
        );
        let mean = first
            .filter(|_| !fetches)
            .map_or(&self.fetch, |s| &s.latency);
        Explanation {
            reason,
            in_flight: first.map_or(0, |s| s.out.len()),
            limit: first.map_or(0.0, |s| s.limit),
            origin_admitted_fraction: self.origin_room,
            baseline_latency: mean.base as Nanos,
            recent_latency: mean.now as Nanos,
        }
    }

    pub(super) fn note(&mut self, r: &Request, withheld: Deferral, reason: DecisionReason) {
        let why = self.why(r, reason);
        self.actions.push(Action::Defer {
            request: r.new.id,
            deferral: withheld,
            explanation: why,
        });
    }
}
