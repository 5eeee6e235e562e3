//! Hot restart: the event loop checks on the other process of this balancer, and hands its state
//! over or takes that of the other.

use super::EventLoop;
use crate::hot_restart::Observation;
use crate::state_transfer::StateTransfer;
use crate::timers::TimerKind;
use routing::Nanos;

impl EventLoop {
    /// Checks on the other process, and does what follows.
    pub(super) fn check_other_process(&mut self, now: Nanos) {
        let Some(slots) = &mut self.process_slots else {
            return;
        };
        let actions = self.hot_restart.observe(
            now,
            Observation {
                other: slots.other(),
                has_transfer: slots.transfer().exists(),
                is_serving: self.lifecycle.is_ready(),
            },
        );
        if actions.apply_limits {
            log::info!(
                "another process of this balancer: {}",
                self.hot_restart.has_other()
            );
        }
        // Before this process's own state is written: both use the same file.
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
                log::warn!("state transfer from the other process: {e}; continuing without it");
            }
            None => {}
        }
        self.lifecycle
            .set_awaiting_snapshot(self.hot_restart.awaits_state());
        self.lifecycle
            .set_other_serves(self.hot_restart.other_serves());
        self.apply_lifecycle(now);
        self.timers.set(
            now + self.hot_restart.check_interval(),
            TimerKind::CheckOtherProcess,
        );
    }

    /// Leaves this process's state for a new process.
    fn write_state(&mut self, process: &str) {
        let (Some(slots), Some(endpoint_list)) =
            (&mut self.process_slots, self.discovery.full_list())
        else {
            return;
        };
        let state = StateTransfer {
            endpoint_list,
            snapshot: self.engine.take_snapshot(),
        };
        match slots.transfer().write(process, state) {
            Ok(bytes) => log::info!("state transfer: {bytes} bytes written for process {process}"),
            Err(e) => log::warn!("state transfer for process {process}: {e}"),
        }
    }

    /// Takes over the state of the other process; its endpoint list only if discovery has sent no
    /// newer one.
    fn restore_state(&mut self, state: &StateTransfer) {
        let known = self.discovery.version().unwrap_or(0);
        log::info!(
            "state transfer from the other process: list version {}, {known} is known",
            state.endpoint_list.version,
        );
        if state.endpoint_list.version > known {
            self.load_known_list(&state.endpoint_list);
        }
        // The list goes first: the snapshot is of endpoints that are listed.
        self.run_decisions();
        if let Err(e) = self.engine.restore(&state.snapshot) {
            log::warn!("state transfer from the other process: {e}; continuing without it");
        }
    }
}
