//! Two processes of one balancer during a hot restart.

use super::harness::{DEFAULTS, Harness, UPSTREAM_0};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::IntoRawFd;

/// Two processes of one balancer on one listening socket, with a folder for what they tell each
/// other.
struct Pair {
    folder: std::path::PathBuf,
    listener: TcpListener,
}

impl Drop for Pair {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Pair {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("pipitrun-pair-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Pair {
            folder,
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    /// One that has just started, and is ready as soon as it waits for no notes.
    fn start(&self) -> Harness {
        let socket = self.listener.try_clone().unwrap();
        Harness::with_config(DEFAULTS, |config| {
            config.socket_fd = Some(socket.into_raw_fd());
            config.hot_restart_directory = Some(self.folder.clone());
        })
    }

    /// An old one, and a new one that is ready; the old one has not checked on it since.
    fn both(&self) -> (Harness, Harness) {
        let mut old = self.start();
        let mut new = self.start();
        old.check_other_process();
        new.check_other_process();
        assert!(
            old.event_loop.lifecycle.is_ready() && new.event_loop.lifecycle.is_ready(),
            "its notes lay there"
        );
        (old, new)
    }

    /// A client that asks whether it is served.
    fn ping(&self) -> TcpStream {
        let mut client = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        client
    }
}

#[test]
fn stop_right_after_the_new_process_is_ready_hands_the_listener_over() {
    let pair = Pair::new("yes");
    let (mut old, mut new) = pair.both();
    old.stop();
    assert!(
        old.event_loop.is_finished(),
        "nothing is owed here any more"
    );
    new.serves(pair.ping(), "+PONG\r\n");
}

#[test]
fn state_is_written_for_each_new_process_once_it_has_written_its_name() {
    let pair = Pair::new("names");
    let notes = pair.folder.join("pipitrun.notes");
    let mut old = pair.start();
    // A new process has its slot, and has not written its name yet.
    let slot = pair.folder.join("pipitrun.seat-1");
    let slot = std::fs::File::options().write(true).open(slot).unwrap();
    slot.lock().unwrap();
    old.check_other_process();
    assert!(
        old.event_loop.hot_restart.has_other() && !notes.exists(),
        "nobody could tell that they are for him"
    );
    drop(slot);
    // The next dies before it reads its notes.
    let new = pair.start();
    old.check_other_process();
    assert!(notes.exists());
    drop(new);
    let mut new = pair.start();
    assert!(
        !notes.exists() && !new.event_loop.lifecycle.is_ready(),
        "it waits for its own"
    );
    old.check_other_process();
    new.check_other_process();
    assert!(new.event_loop.lifecycle.is_ready() && !notes.exists());
}

#[test]
fn old_process_keeps_the_listener_if_the_new_one_died_once_ready() {
    let pair = Pair::new("died");
    let (mut old, new) = pair.both();
    old.check_other_process();
    assert!(old.event_loop.hot_restart.other_serves());
    drop(new);
    old.stop();
    assert!(!old.event_loop.is_finished());
    old.serves(pair.ping(), "-LOADING ending\r\n");
}

#[test]
fn listener_is_taken_back_if_the_new_process_dies_during_shutdown() {
    let pair = Pair::new("back");
    let (mut old, new) = pair.both();
    old.send_request("read", 50_000);
    old.turn(&[UPSTREAM_0]);
    old.stop();
    assert!(!old.event_loop.is_finished(), "an answer is owed");
    drop(new);
    let client = pair.ping();
    old.check_other_process();
    old.serves(client, "-LOADING ending\r\n");
}

#[test]
fn two_processes_that_both_stop_both_accept_late_clients() {
    let pair = Pair::new("both");
    let (mut old, mut new) = pair.both();
    old.check_other_process();
    new.stop();
    old.stop();
    new.check_other_process();
    for one in [&mut old, &mut new] {
        assert!(!one.event_loop.is_finished());
        one.serves(pair.ping(), "-LOADING ending\r\n");
    }
}

#[test]
fn limits_are_halved_while_two_processes_live_whatever_admin_calls_come() {
    let pair = Pair::new("split");
    let mut old = pair.start();
    let alone = old.event_loop.memory_limit;
    let new = pair.start();
    old.check_other_process();
    let now = old.event_loop.clock.now();
    old.event_loop.lifecycle.quiesce(now);
    old.event_loop.apply_lifecycle(now);
    assert_eq!(
        (old.event_loop.memory_limit, new.event_loop.memory_limit),
        (alone / 2, alone / 2)
    );
    let mut reloaded = old.event_loop.config.clone();
    reloaded.memory_max *= 2;
    old.event_loop.apply_config(reloaded, now);
    assert_eq!(
        old.event_loop.memory_limit, alone,
        "half of what is twice as much"
    );
    drop(new);
    old.event_loop.lifecycle.resume().unwrap();
    old.check_other_process();
    assert_eq!(old.event_loop.memory_limit, 2 * alone);
    old.serves(pair.ping(), "+PONG\r\n");
}
