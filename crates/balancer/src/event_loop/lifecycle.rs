//! Applies the lifecycle to the listener, and starts and completes a graceful shutdown.

use super::EventLoop;
use super::timeouts::REAP_INTERVAL;
use crate::timers::TimerKind;
use routing::{Event, Nanos};

impl EventLoop {
    /// Applies the current lifecycle policy to the listener and publishes readiness to the other
    /// process of a hot restart.
    pub(super) fn apply_lifecycle(&mut self, now: Nanos) {
        let mut events = Vec::new();
        if let Some(slots) = &mut self.process_slots {
            slots.set_ready(self.lifecycle.is_ready());
        }
        self.listener.apply_policy(
            self.lifecycle.policy(now),
            now,
            &mut events,
            &mut self.counters,
        );
        self.handle_listener_events(now, events);
        if let Some(at) = self.lifecycle.next_change(now) {
            self.timers.set(at, TimerKind::Lifecycle);
        }
    }

    /// Starts a graceful shutdown, unless one is in progress.
    pub(super) fn begin_shutdown(&mut self, now: Nanos) {
        // The signal may have arrived at any time since the previous poll.
        let requested_at = self.poll_timestamps.earliest_arrival();
        if !self.lifecycle.begin_shutdown(requested_at) {
            return;
        }
        log::info!("shutdown requested: answering open requests before the process exits");
        // The process may be killed after the deadline, even if open requests have more time left.
        if let Some(deadline) = self.lifecycle.answer_deadline() {
            self.attempt_tracker.limit_deadlines(deadline);
            self.listener
                .end_holds_at(deadline.saturating_sub(REAP_INTERVAL));
            self.pending_events.push(Event::ShuttingDown(deadline));
        }
        // The platform may send the signal as soon as the other process is ready, and this process
        // may not have checked for it since.
        self.check_other_process(now);
        self.apply_lifecycle(now);
    }

    /// Returns whether a graceful shutdown is complete: no new clients are accepted, and all client
    /// connections are closed.
    pub(super) fn is_finished(&self) -> bool {
        self.lifecycle
            .is_finished(self.clock.now(), self.listener.open_connections())
    }
}
