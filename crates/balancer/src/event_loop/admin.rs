//! Admin calls: they query and change the lifecycle of the process.

use super::EventLoop;
use crate::listener::admin::{AdminCommand, AdminRequest};
use crate::poll::{EventSource, Readiness};
use routing::Nanos;

const OK: u16 = 200;
const CONFLICT: u16 = 409;
const SERVICE_UNAVAILABLE: u16 = 503;

impl EventLoop {
    pub(super) fn handle_admin(&mut self, now: Nanos, ready: Readiness) {
        let Some(admin_listener) = &mut self.admin_listener else {
            return;
        };
        if ready.source == EventSource::AdminListener {
            return admin_listener.accept(now, &mut self.counters);
        }
        let Some(request) = admin_listener.handle_ready(ready, &mut self.counters) else {
            return;
        };
        let AdminRequest {
            connection,
            command,
        } = request;
        if command == AdminCommand::Fleet {
            let gossip = self.gossip.as_ref();
            let json = gossip
                .map(|gossip| gossip.admin_json(now))
                .unwrap_or_default();
            return admin_listener.answer_json(connection, &json);
        }
        let former = self.lifecycle.name();
        let status = self.execute_admin(now, command);
        let state = self.lifecycle.name();
        if let Some(admin_listener) = &mut self.admin_listener {
            admin_listener.answer(connection, status, state);
        }
        if state != former {
            log::info!("admin command {command:?} changed the state from {former} to {state}");
            self.apply_lifecycle(now);
        }
    }

    /// Executes a command and returns the HTTP status of its answer.
    fn execute_admin(&mut self, now: Nanos, command: AdminCommand) -> u16 {
        match command {
            AdminCommand::Health if !self.lifecycle.is_ready() => SERVICE_UNAVAILABLE,
            AdminCommand::Health | AdminCommand::Fleet => OK,
            AdminCommand::Quiesce => {
                self.lifecycle.quiesce(now);
                OK
            }
            AdminCommand::Resume => self.lifecycle.resume().map_or(CONFLICT, |()| OK),
        }
    }
}
