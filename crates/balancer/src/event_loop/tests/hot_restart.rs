//! Two processes of one balancer during a hot restart.

use super::harness::{CLIENT_0, DEFAULTS, Harness, UPSTREAM_0, read_command};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::IntoRawFd;

/// A listening socket for two processes of one balancer, and the directory of their slot files and
/// transfer file.
struct HotRestartPair {
    directory: std::path::PathBuf,
    listener: TcpListener,
}

impl Drop for HotRestartPair {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl HotRestartPair {
    fn new(name: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("pipitrun-pair-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        HotRestartPair {
            directory,
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    /// Starts a process. It is ready as soon as it awaits no state transfer.
    fn start(&self) -> Harness {
        let socket = self.listener.try_clone().unwrap();
        Harness::with_config(DEFAULTS, |config| {
            config.socket_fd = Some(socket.into_raw_fd());
            config.hot_restart_directory = Some(self.directory.clone());
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
    let pair = HotRestartPair::new("handover");
    let (mut old, mut new) = pair.start_both();
    old.begin_shutdown();
    assert!(
        old.event_loop.is_finished(),
        "the old process must be finished, as it has no clients left"
    );
    new.accept_and_answer(pair.connect_ping_client(), "+PONG\r\n");
}

#[test]
fn state_is_written_for_each_new_process_once_it_has_written_its_slot() {
    let pair = HotRestartPair::new("names");
    let transfer = pair.directory.join("pipitrun.notes");
    let mut old = pair.start();
    // As if a new process held its slot, but had not written its name yet.
    let slot = pair.directory.join("pipitrun.seat-1");
    let slot = std::fs::File::options().write(true).open(slot).unwrap();
    slot.lock().unwrap();
    old.check_other_process();
    assert!(
        old.event_loop.hot_restart.has_other() && !transfer.exists(),
        "no state may be written for a process without a name"
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
        "a new process must discard the state for the dead one and await its own"
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
    assert!(
        !old.event_loop.is_finished(),
        "the old process must wait for its open request"
    );
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

const UNSAFE_WRITE: &[u8] =
    b"*5\r\n$5\r\nC.SET\r\n$1\r\na\r\n$1\r\n1\r\n$14\r\nc=once,d=50000\r\n$5\r\nvalue\r\n";

/// Guards against a request that runs at both processes: its client leaves the old one and sends it
/// to the new one.
#[test]
fn request_forwarded_by_one_process_is_not_forwarded_by_the_other() {
    let pair = HotRestartPair::new("forwarded-id");
    let (mut old, mut new) = pair.start_both();
    let (_, _cache) = old.forward_request("once", 50_000);
    old.clients.clear();
    let client = new.connect_client();
    new.clients[client].write_all(UNSAFE_WRITE).unwrap();
    new.turn(&[CLIENT_0]);
    new.expect_answer(
        client,
        "-ERR a request with this id was forwarded before\r\n",
    );
    assert_eq!(new.event_loop.counters.attempts, 0);
}

/// The client disconnects after the last poll of the old process, right before the command is
/// written.
#[test]
fn request_whose_client_has_gone_to_the_other_process_is_not_forwarded() {
    let pair = HotRestartPair::new("client-gone");
    let (mut old, mut new) = pair.start_both();
    old.send_request("once", 50_000);
    let ready = old.wait(UPSTREAM_0);
    old.clients.clear();
    old.process(vec![ready]);
    assert_eq!(old.event_loop.counters.attempts_not_sent, 1);
    let client = new.connect_client();
    new.clients[client].write_all(UNSAFE_WRITE).unwrap();
    new.turn(&[CLIENT_0]);
    new.turn(&[UPSTREAM_0]);
    let (_, mut cache) = new.next_connection();
    assert!(read_command(&mut cache).contains("C.SET"));
}
