//! The loop's part in an upgrade: the inherited socket, the look at the other process, and what is shared with it.

use super::{EventLoop, MEMORY_PART, split_sockets, what};
use crate::config::Config;
use crate::poll::inherited;
use crate::process_slots::ProcessSlots;
use crate::state_transfer::StateTransfer;
use crate::timers::TimerKind;
use routing::Nanos;
use std::net::TcpListener;

/// The clients' socket: the one this process was started with, or one of its own.
pub(super) fn clients_socket(config: &Config) -> Result<TcpListener, String> {
    let Some(number) = config.socket_fd else {
        return what(
            TcpListener::bind(config.listen),
            &format!("listening on {}", config.listen),
        );
    };
    let listener = inherited(number).map_err(|e| {
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
pub(super) fn take_seat(config: &Config, now: Nanos) -> Option<ProcessSlots> {
    config.socket_fd?;
    let folder = config.folder.as_ref()?;
    let process = format!("{}-{now}", std::process::id());
    ProcessSlots::take(folder, process)
        .map_err(|e| log::warn!("seat in $TMPDIR {}: {e}", folder.display()))
        .ok()
}

impl EventLoop {
    /// Looks for the other process of a hot restart.
    pub(super) fn look(&mut self, now: Nanos) {
        let Some(seats) = &mut self.seats else { return };
        let todo = self.hand_over.look(
            now,
            seats.other(),
            seats.notes_there(),
            self.life.is_ready(),
        );
        if todo.split {
            log::info!(
                "another process of this balancer: {}",
                self.hand_over.is_beside()
            );
        }
        let notes = todo.go_on.then(|| seats.read_notes::<StateTransfer>());
        if let Some(to) = todo.write_notes_for
            && let Some(list) = self.group.list()
        {
            let notes = StateTransfer {
                endpoint_list: list,
                snapshot: self.decide.learnt(),
            };
            match seats.write_notes(&to, notes) {
                Ok(bytes) => log::info!("{bytes} bytes of notes left for process {to}"),
                Err(e) => log::warn!("notes for process {to}: {e}"),
            }
        }
        if todo.split {
            self.split();
        }
        match notes {
            Some(Ok(notes)) => self.recall(notes),
            Some(Err(e)) => log::warn!("notes of the other process: {e}; going on without"),
            None => {}
        }
        self.life.set_waits(self.hand_over.waits());
        self.life.set_other_serves(self.hand_over.other_serves());
        self.follow(now);
        self.timers
            .set(now + self.hand_over.next_look(), TimerKind::Look);
    }

    /// Takes over what the other process of this balancer knew. The list only if discovery has told no newer one.
    fn recall(&mut self, notes: StateTransfer) {
        let known = self.group.seq().unwrap_or(0);
        log::info!(
            "notes of the other process: list {}, {} is known",
            notes.endpoint_list.seq,
            known
        );
        if notes.endpoint_list.seq > known {
            self.known_list(notes.endpoint_list);
        }
        // The list goes first: what was learnt is of caches that are listed.
        self.settle();
        if let Err(e) = self.decide.recall(&notes.snapshot) {
            log::warn!("notes of the other process: {e}; going on without");
        }
    }

    /// Gives each part what it may hold: half of it all while another process of this balancer lives.
    pub(super) fn split(&mut self) {
        let processes = if self.hand_over.is_beside() { 2 } else { 1 };
        let (for_peers, for_clients) =
            split_sockets(self.config.sockets / processes, self.management.is_some());
        self.memory = self.config.memory / processes / MEMORY_PART;
        self.peers.set_most(for_peers);
        self.peers.set_coming_most(self.memory / 2);
        self.front.set_most(for_clients);
    }
}
