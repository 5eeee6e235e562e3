//! Hot restart: the event loop checks for another process of this balancer and exchanges state
//! with it.

use super::EventLoop;
use crate::hot_restart::Observation;
use crate::state_transfer::StateTransfer;
use crate::timers::TimerKind;
use routing::Nanos;

impl EventLoop {
    /// Checks for the other process, executes the resulting actions and schedules the next check.
    pub(super) fn check_other_process(&mut self, now: Nanos) {
        let Some(slots) = &mut self.process_slots else {
            return;
        };
        let actions = self.hot_restart.observe(
            now,
            Observation {
                other: slots.other_process(),
                has_transfer: slots.transfer().exists(),
                is_serving: self.lifecycle.is_ready(),
            },
        );
        self.forwarded_ids.set_own_slot(slots.own_slot());
        if actions.apply_limits {
            log::info!(
                "another process of this balancer is running: {}; adjusting the limits",
                self.hot_restart.has_other()
            );
        }
        // Must precede writing the state, after which the new process may serve.
        self.listener.share_ids(self.hot_restart.shares_ids(now));
        // Must precede writing this process's own state: both use the same file.
        let received = actions
            .read_state
            .then(|| slots.transfer().read::<StateTransfer>());
        if let Some(process) = actions.write_state_for {
            self.write_state(&process);
        }
        if actions.apply_limits {
            self.apply_limits();
        }
        match received {
            Some(Ok(state)) => self.restore_state(&state),
            Some(Err(e)) => {
                log::warn!(
                    "state transfer from the other process can't be read: {e}; \
                     continuing without it"
                );
            }
            None => {}
        }
        self.lifecycle
            .set_awaiting_other_process(self.hot_restart.awaits_other());
        self.lifecycle
            .set_other_process_serves(self.hot_restart.other_process_serves());
        self.apply_lifecycle(now);
        self.timers.set(
            now + self.hot_restart.check_interval(),
            TimerKind::CheckOtherProcess,
        );
    }

    /// Writes this process's state to the transfer file for the new process `recipient`.
    fn write_state(&mut self, recipient: &str) {
        let (Some(slots), Some(endpoint_list)) =
            (&mut self.process_slots, self.discovery.full_list())
        else {
            return;
        };
        let state = StateTransfer {
            endpoint_list,
            snapshot: self.engine.take_snapshot(),
        };
        match slots.transfer().write(recipient, state) {
            Ok(bytes) => {
                log::info!("state transfer: {bytes} bytes written for process {recipient}");
            }
            Err(e) => log::warn!(
                "state transfer for process {recipient} failed: {e}; \
                 the process starts without this state"
            ),
        }
    }

    /// Restores the state of the other process. Its endpoint list is applied only if its version is
    /// newer than the current one.
    fn restore_state(&mut self, state: &StateTransfer) {
        let current = self.discovery.version().unwrap_or(0);
        log::info!(
            "state transfer from the other process: received list version {}, \
             current version {current}",
            state.endpoint_list.version,
        );
        if state.endpoint_list.version > current {
            self.load_stored_list(&state.endpoint_list);
        }
        // The list must be applied first: the snapshot refers to listed endpoints.
        self.run_decisions();
        if let Err(e) = self.engine.restore(&state.snapshot) {
            log::warn!(
                "the snapshot from the other process is rejected: {e}; continuing without it"
            );
        }
    }
}
