//! The loop's part in an upgrade: the inherit_listener socket, the look at the other process, and what is shared with it.

use super::{EventLoop, MEMORY_PART, split_sockets, what};
use crate::config::Config;
use crate::discovery::EndpointList;
use crate::poll::inherit_listener;
use crate::process_slots::ProcessSlots;
use crate::state_transfer::StateTransfer;
use crate::timers::TimerKind;
use routing::Nanos;
use std::net::TcpListener;

/// What one process of a balancer leaves for the next.
#[derive(Serialize, Deserialize)]
struct StateTransfer {
    #[serde(rename = "list")]
    endpoint_list: EndpointList,
    #[serde(rename = "learnt")]
    snapshot: Snapshot,
}

/// The clients' socket: the one this process was started with, or one of its own.
pub(super) fn client_listener(config: &Config) -> Result<TcpListener, String> {
    let Some(number) = config.socket_fd else {
        return what(
            TcpListener::bind(config.listen),
            &format!("listening on {}", config.listen),
        );
    };
    let listener = inherit_listener(number).map_err(|e| {
        format!("configuration: GW_SOCKET_FD: {number} {e}; a listening TCP socket is expected")
    })?;
    let address = what(listener.local_addr(), "GW_SOCKET_FD")?;
    if address != config.listen {
        log::warn!(
            "GW_SOCKET_FD: descriptor {number} listens on {address}, not on {}",
            config.listen
        );
    }
    Ok(listener)
}

/// A seat beside the other process of an upgrade; without one this process serves as if it were alone.
pub(super) fn take_process_slot(config: &Config, now: Nanos) -> Option<ProcessSlots> {
    config.socket_fd?;
    let folder = config.folder.as_ref()?;
    let process = format!("{}-{now}", std::process::id());
    ProcessSlots::take(folder, process)
        .map_err(|e| log::warn!("seat in $TMPDIR {}: {e}", folder.display()))
        .ok()
}

impl EventLoop {
    /// Looks for the other process of a hot restart.
    pub(super) fn check_other_process(&mut self, now: Nanos) {
        let Some(seats) = &mut self.process_slots else {
            return;
        };
        let todo = self.hot_restart.look(
            now,
            seats.other(),
            seats.notes_there(),
            self.lifecycle.is_ready(),
        );
        if todo.split {
            log::info!(
                "another process of this balancer: {}",
                self.hot_restart.is_beside()
            );
        }
        let notes = todo.go_on.then(|| seats.read_notes::<StateTransfer>());
        if let Some(to) = todo.write_notes_for
            && let Some(list) = self.discovery.list()
        {
            let notes = StateTransfer {
                endpoint_list: list,
                snapshot: self.engine.learnt(),
            };
            match seats.write_notes(&to, notes) {
                Ok(bytes) => log::info!("{bytes} bytes of notes left for process {to}"),
                Err(e) => log::warn!("notes for process {to}: {e}"),
            }
        }
        if todo.split {
            self.apply_limits();
        }
        match notes {
            Some(Ok(notes)) => self.restore_state(notes),
            Some(Err(e)) => log::warn!("notes of the other process: {e}; going on without"),
            None => {}
        }
        self.lifecycle
            .set_awaiting_snapshot(self.hot_restart.waits());
        self.lifecycle
            .set_other_serves(self.hot_restart.other_serves());
        self.apply_lifecycle(now);
        self.timers.set(
            now + self.hot_restart.next_look(),
            TimerKind::CheckOtherProcess,
        );
    }

    /// Takes over what the other process of this balancer knew. The list only if discovery has told no newer one.
    fn restore_state(&mut self, notes: StateTransfer) {
        let known = self.discovery.seq().unwrap_or(0);
        log::info!(
            "notes of the other process: list {}, {} is known",
            notes.endpoint_list.seq,
            known
        );
        if notes.endpoint_list.seq > known {
            self.load_known_list(notes.endpoint_list);
        }
        // The list goes first: what was learnt is of caches that are listed.
        self.run_decisions();
        if let Err(e) = self.engine.recall(&notes.snapshot) {
            log::warn!("notes of the other process: {e}; going on without");
        }
    }

    /// Gives each part what it may hold: half of it all while another process of this balancer lives.
    pub(super) fn apply_limits(&mut self) {
        let processes = if self.hot_restart.is_beside() { 2 } else { 1 };
        let (for_peers, for_clients) = split_sockets(
            self.config.sockets / processes,
            self.admin_listener.is_some(),
        );
        self.memory_limit = self.config.memory / processes / MEMORY_PART;
        self.upstream_pool.set_most(for_peers);
        self.upstream_pool.set_coming_most(self.memory_limit / 2);
        self.listener.set_connections_max(for_clients);
    }
}
