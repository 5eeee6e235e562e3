//! The loop's part in the life cycle and in the operators' calls.

use super::EventLoop;
use crate::listener::admin::{AdminCommand, AdminRequest};
use crate::poll::{EventSource, Readiness};
use crate::timers::TimerKind;
use routing::Nanos;

impl EventLoop {
    /// Has the clients' door do what follows from the life cycle now.
    pub(super) fn apply_lifecycle(&mut self, now: Nanos) {
        let mut events = Vec::new();
        if let Some(seats) = &mut self.process_slots {
            seats.set_ready(self.lifecycle.is_ready());
        }
        self.listener.apply_policy(
            self.lifecycle.policy(now),
            now,
            &mut events,
            &mut self.counters,
        );
        self.handle_listener_events(now, events);
        if let Some(due) = self.lifecycle.next_change(now) {
            self.timers.set(due, TimerKind::Lifecycle);
        }
    }

    /// The operators' door.
    pub(super) fn handle_admin(&mut self, now: Nanos, ready: Readiness) {
        let Some(management) = &mut self.admin_listener else {
            return;
        };
        if ready.source == EventSource::AdminListener {
            return management.accept(now, &mut self.counters);
        }
        let Some(AdminRequest {
            connection: caller,
            command: call,
        }) = management.ready(ready, &mut self.counters)
        else {
            return;
        };
        let former = self.lifecycle.name();
        let done = match call {
            AdminCommand::Health => Ok(()),
            AdminCommand::Fleet => {
                let json = self
                    .gossip
                    .as_ref()
                    .map(|fleet| fleet.json(now))
                    .unwrap_or_default();
                return management.answer_json(caller, &json);
            }
            AdminCommand::Quiesce => {
                self.lifecycle.quiesce(now);
                Ok(())
            }
            AdminCommand::Resume => self.lifecycle.resume(),
        };
        let status = match (call, done) {
            (_, Err(_)) => 409,
            (AdminCommand::Health, _) if !self.lifecycle.is_ready() => 503,
            _ => 200,
        };
        management.answer(caller, status, self.lifecycle.name());
        if self.lifecycle.name() != former {
            log::info!(
                "operators: {call:?}: {former}, now {}",
                self.lifecycle.name()
            );
            self.apply_lifecycle(now);
        }
    }
}
