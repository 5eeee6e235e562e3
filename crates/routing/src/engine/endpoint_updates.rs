//! Handling of updates of the endpoint list.

use super::Engine;
use crate::events::{Endpoint, UpdateKind};
use crate::timers::TimerPurpose;

impl Engine {
    pub(super) fn on_endpoint_update(&mut self, kind: UpdateKind, entries: Vec<Endpoint>) {
        if kind == UpdateKind::Failed {
            return self.on_discovery_failed();
        }
        if kind != UpdateKind::Stale {
            self.discovery.reset();
        }
        self.endpoints
            .apply(kind, entries, self.now, &mut self.random);
        let caches = self.endpoints.weighted_caches();
        self.endpoints.update_weights(&caches, self.fleet);
        self.placement.set_caches(&caches);
        self.retry_queued();
    }

    /// Schedules the next call after a failed one, in place of a call that is already scheduled.
    /// Otherwise each of two calls that fail would schedule a successor, and there would always be
    /// two.
    fn on_discovery_failed(&mut self) {
        let wait = self.discovery.after_failure(&mut self.random);
        self.timers.cancel_all(TimerPurpose::DiscoveryQuery);
        self.set_timer(wait, TimerPurpose::DiscoveryQuery);
    }
}
