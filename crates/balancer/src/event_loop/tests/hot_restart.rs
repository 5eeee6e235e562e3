//! Two processes of one balancer during a hot restart.

use super::harness::{DEFAULTS, Harness, UPSTREAM_0};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::IntoRawFd;

/// A listening socket for two processes of one balancer, and the folder of their slot and transfer
/// files.
struct HotRestartPair {
    folder: std::path::PathBuf,
    listener: TcpListener,
}

impl Drop for HotRestartPair {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl HotRestartPair {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("pipitrun-pair-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        HotRestartPair {
            folder,
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    /// Starts a process. It is ready as soon as it awaits no state transfer.
    fn start(&self) -> Harness {
        let socket = self.listener.try_clone().unwrap();
        Harness::with_config(DEFAULTS, |config| {
            config.socket_fd = Some(socket.into_raw_fd());
            config.hot_restart_directory = Some(self.folder.clone());
        })
    }

    /// Starts an old process, and a new one that has become ready since the old one's last check.
    fn start_both(&self) -> (Harness, Harness) {
        let mut old = self.start();
        let mut new = self.start();
        old.check_other_process();
        new.check_other_process();
        assert!(
            old.event_loop.lifecycle.is_ready() && new.event_loop.lifecycle.is_ready(),
            "the new process has not received its state"
        );
        (old, new)
    }

    /// Connects a client that sends `PING`.
    fn connect_ping_client(&self) -> TcpStream {
        let mut client = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        client
    }
}

#[test]
fn shutdown_right_after_the_new_process_is_ready_hands_the_listener_over() {
    let pair = HotRestartPair::new("yes");
    let (mut old, mut new) = pair.start_both();
    old.begin_shutdown();
    assert!(
        old.event_loop.is_finished(),
        "the old process has no clients left"
    );
    new.accept_and_answer(pair.connect_ping_client(), "+PONG\r\n");
}

#[test]
fn state_is_written_for_each_new_process_once_it_has_written_its_slot() {
    let pair = HotRestartPair::new("names");
    let transfer = pair.folder.join("pipitrun.notes");
    let mut old = pair.start();
    // As if a new process held its slot, but had not written its name yet.
    let slot = pair.folder.join("pipitrun.seat-1");
    let slot = std::fs::File::options().write(true).open(slot).unwrap();
    slot.lock().unwrap();
    old.check_other_process();
    assert!(
        old.event_loop.hot_restart.has_other() && !transfer.exists(),
        "no state is written for a process without a name"
    );
    drop(slot);
    // The next process dies before it reads its state.
    let new = pair.start();
    old.check_other_process();
    assert!(transfer.exists());
    drop(new);
    let mut new = pair.start();
    assert!(
        !transfer.exists() && !new.event_loop.lifecycle.is_ready(),
        "a new process discards the state for the dead one and awaits its own"
    );
    old.check_other_process();
    new.check_other_process();
    assert!(new.event_loop.lifecycle.is_ready() && !transfer.exists());
}

#[test]
fn old_process_keeps_the_listener_if_the_new_one_dies_once_ready() {
    let pair = HotRestartPair::new("died");
    let (mut old, new) = pair.start_both();
    old.check_other_process();
    assert!(old.event_loop.hot_restart.other_process_serves());
    drop(new);
    old.begin_shutdown();
    assert!(!old.event_loop.is_finished());
    old.accept_and_answer(pair.connect_ping_client(), "-LOADING ending\r\n");
}

#[test]
fn listener_is_taken_back_if_the_new_process_dies_during_shutdown() {
    let pair = HotRestartPair::new("back");
    let (mut old, new) = pair.start_both();
    old.send_request("read", 50_000);
    old.turn(&[UPSTREAM_0]);
    old.begin_shutdown();
    assert!(!old.event_loop.is_finished(), "a request is still open");
    drop(new);
    let client = pair.connect_ping_client();
    old.check_other_process();
    old.accept_and_answer(client, "-LOADING ending\r\n");
}

#[test]
fn two_processes_that_both_shut_down_both_accept_further_clients() {
    let pair = HotRestartPair::new("both");
    let (mut old, mut new) = pair.start_both();
    old.check_other_process();
    new.begin_shutdown();
    old.begin_shutdown();
    new.check_other_process();
    for process in [&mut old, &mut new] {
        assert!(!process.event_loop.is_finished());
        process.accept_and_answer(pair.connect_ping_client(), "-LOADING ending\r\n");
    }
}

#[test]
fn limits_are_halved_while_two_processes_run_even_after_admin_calls_and_reloads() {
    let pair = HotRestartPair::new("split");
    let mut old = pair.start();
    let full_limit = old.event_loop.memory_limit;
    let new = pair.start();
    old.check_other_process();
    let now = old.event_loop.clock.now();
    old.event_loop.lifecycle.quiesce(now);
    old.event_loop.apply_lifecycle(now);
    assert_eq!(
        (old.event_loop.memory_limit, new.event_loop.memory_limit),
        (full_limit / 2, full_limit / 2)
    );
    let mut reloaded = old.event_loop.config.clone();
    reloaded.memory_max *= 2;
    old.event_loop.apply_config(reloaded, now);
    assert_eq!(
        old.event_loop.memory_limit, full_limit,
        "half of the doubled limit"
    );
    drop(new);
    old.event_loop.lifecycle.resume().unwrap();
    old.check_other_process();
    assert_eq!(old.event_loop.memory_limit, 2 * full_limit);
    old.accept_and_answer(pair.connect_ping_client(), "+PONG\r\n");
}
