//! The lifecycle's effect on the listener, and graceful shutdown.

use super::EventLoop;
use crate::timers::TimerKind;
use routing::{Event, Nanos};

impl EventLoop {
    /// Has the listener do what follows from the lifecycle now.
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

    /// Starts a graceful shutdown, unless one is under way.
    pub(super) fn begin_shutdown(&mut self, now: Nanos) {
        // The signal may have come at any time since the poll before.
        if !self.lifecycle.stop(self.poll_timestamps.earliest_arrival()) {
            return;
        }
        log::info!("asked to stop: answering open requests");
        // The process may be killed after that, also with older requests that have more time.
        if let Some(deadline) = self.lifecycle.answer_deadline() {
            self.attempt_tracker.limit_deadlines(deadline);
            self.pending_events.push(Event::ShuttingDown(deadline));
        }
        // The signal may have been sent as soon as the other process was ready.
        self.check_other_process(now);
        self.apply_lifecycle(now);
    }

    /// Whether a graceful shutdown is complete: no new clients, and every answer is written.
    pub(super) fn is_finished(&self) -> bool {
        self.lifecycle
            .is_finished(self.clock.now(), self.listener.open_connections())
    }
}
