//! The loop's part in the life cycle and in the operators' calls.

use super::EventLoop;
use crate::listener::admin::{AdminCommand, AdminRequest};
use crate::poll::{EventSource, Readiness};
use crate::timers::TimerKind;
use routing::Nanos;

impl EventLoop {
    /// Has the clients' door do what follows from the life cycle now.
    pub(super) fn follow(&mut self, now: Nanos) {
        let mut events = Vec::new();
        if let Some(seats) = &mut self.seats {
            seats.set_ready(self.life.is_ready());
        }
        self.front
            .follow(self.life.stance(now), now, &mut events, &mut self.counters);
        self.front_events(now, events);
        if let Some(due) = self.life.due(now) {
            self.timers.set(due, TimerKind::Lifecycle);
        }
    }

    /// The operators' door.
    pub(super) fn management(&mut self, now: Nanos, ready: Readiness) {
        let Some(management) = &mut self.management else {
            return;
        };
        if ready.source == EventSource::AdminListener {
            return management.accept(now, &mut self.counters);
        }
        let Some(AdminRequest { caller, call }) = management.ready(ready, &mut self.counters)
        else {
            return;
        };
        let former = self.life.name();
        let done = match call {
            AdminCommand::Health => Ok(()),
            AdminCommand::Fleet => {
                let json = self
                    .fleet
                    .as_ref()
                    .map(|fleet| fleet.json(now))
                    .unwrap_or_default();
                return management.answer_json(caller, &json);
            }
            AdminCommand::Quiesce => {
                self.life.quiesce(now);
                Ok(())
            }
            AdminCommand::Resume => self.life.resume(),
        };
        let status = match (call, done) {
            (_, Err(_)) => 409,
            (AdminCommand::Health, _) if !self.life.is_ready() => 503,
            _ => 200,
        };
        management.answer(caller, status, self.life.name());
        if self.life.name() != former {
            log::info!("operators: {call:?}: {former}, now {}", self.life.name());
            self.follow(now);
        }
    }
}
