//! Two events that cross, on real connections: a test says which sockets the loop is told of in one turn and in which
//! order, whatever the kernel and the clock make of it. A connection is late for as long as the loop isn't told that it is up.

use super::*;
use crate::poll::is_open_without_input;
use crate::resp::write_command;
use rstest::rstest;
use serde_json::json;
use socket2::SockRef;
use std::net::{TcpListener, TcpStream};
use std::os::fd::IntoRawFd;
use std::time::{Duration, Instant};

/// After this a step has failed; no step of a working loop comes near it.
const PATIENCE: Duration = Duration::from_secs(20);

/// The loop with caches, a discovery and clients, all played by the test.
struct Stage {
    the: EventLoop,
    events: Events,
    caches: Vec<TcpListener>,
    discovery: TcpListener,
    clients: Vec<TcpStream>,
}

fn local(listener: &TcpListener) -> String {
    listener.local_addr().unwrap().to_string()
}

/// What some tests have otherwise.
#[derive(Clone, Copy)]
struct Given {
    caches: usize,
    cancel: bool,
    window_ms: u64,
}

const GIVEN: Given = Given {
    caches: 1,
    cancel: true,
    window_ms: 60_000,
};

impl Stage {
    fn set(given: Given) -> Self {
        Stage::with(given, |_| {})
    }

    /// With more in its configuration than the file says.
    fn with(given: Given, told: impl FnOnce(&mut Config)) -> Self {
        let listen = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let caches: Vec<TcpListener> = (0..given.caches).map(|_| listen()).collect();
        let discovery = listen();
        // Also for what it accepts: a step that does not come fails, and does not hang.
        SockRef::from(&discovery)
            .set_read_timeout(Some(PATIENCE))
            .unwrap();
        let host = |(n, cache)| json!({"host": format!("s-{n}"), "dial": local(cache)});
        let hosts: Vec<_> = caches.iter().enumerate().map(host).collect();
        let class = |name: &str, repeat: &str| {
            json!({"name": name, "repeat": repeat, "group": "all", "memory_span_ns": given.window_ms * MS,
                "goal_time_ns": 60_000 * MS, "give_up_ns": 90_000 * MS, "worth": 1})
        };
        let config = json!({
            "listen": "127.0.0.1:0", "discovery": local(&discovery), "seed": "2a",
            "known": {"seq": 7, "whole": true, "hosts": hosts},
            "settings": {
                "membership_mode": "automatic", "group_size": 1, "step_ns": MS,
                "caps": {"max_attempts": 3, "may_cancel": given.cancel, "second_copies": true,
                    "conn_idle_ns": 60_000 * MS, "connect_timeout_ns": 60_000 * MS},
                "obligations": {"drain_grace_ns": 500 * MS, "grace_to_answer_ns": 16 * MS},
                "profiles": [class("read", "safe"), class("put", "keyed"), class("once", "unsafe")],
            },
        });
        let mut config = Config::read(&config.to_string()).expect("it is sound");
        told(&mut config);
        let the = EventLoop::new(config).expect("it starts");
        Stage {
            the,
            events: Events::new(),
            caches,
            discovery,
            clients: Vec::new(),
        }
    }

    fn client(&mut self) -> usize {
        let client =
            TcpStream::connect(self.the.listener.address().expect("the door is open")).unwrap();
        client.set_read_timeout(Some(PATIENCE)).unwrap();
        self.clients.push(client);
        self.turn(&[EventSource::Listener]);
        self.clients.len() - 1
    }

    /// A new client asks, and the module has decided.
    fn ask(&mut self, class: &str, d: u64) {
        let number = self.client();
        let fields = format!("c={class},d={d}");
        let mut words: Vec<&[u8]> = vec![b"C.GET", b"a", b"1", fields.as_bytes()];
        if class != "read" {
            words[0] = b"C.SET";
            words.push(b"value");
        }
        self.clients[number]
            .write_all(&write_command(&words))
            .unwrap();
        self.turn(&[EventSource::Client(number as u64)]);
    }

    /// A new client asks, and which cache has got the command, with its connection.
    fn passed_on(&mut self, class: &str, d: u64) -> (usize, TcpStream) {
        self.ask(class, d);
        self.turn(&[FIRST]);
        let (number, mut cache) = self.next();
        command(&mut cache);
        (number, cache)
    }

    /// One turn that comes no sooner than this, in which just this is ready.
    fn turn_at(&mut self, at: Nanos, ready: Readiness) {
        while self.the.clock.now() < at {}
        self.gather(vec![ready]);
    }

    /// One turn in which just these are ready, in this order. Each is waited for, however long the kernel takes.
    fn turn(&mut self, sources: &[EventSource]) {
        self.the.run_decisions();
        let ready: Vec<Readiness> = sources.iter().map(|source| self.wait(*source)).collect();
        self.gather(ready);
    }

    /// A turn behind a look that reports just these, and as many more without any as attempts wait for, however slow the
    /// machine is.
    fn gather(&mut self, mut ready: Vec<Readiness>) {
        loop {
            let now = self.the.clock.now();
            // For the loop these turns follow each other without a pause.
            self.the.poll_timestamps.prompt(now);
            self.the.process_ready(&mut ready, true);
            self.the.run_decisions();
            if self.the.connected_jobs.is_empty() {
                return;
            }
        }
    }

    fn wait(&mut self, source: EventSource) -> Readiness {
        let asked = Instant::now();
        while asked.elapsed() < PATIENCE {
            let mut ready = Vec::new();
            self.the
                .poll
                .wait(&mut self.events, Some(Duration::from_millis(1)), &mut ready)
                .unwrap();
            if let Some(one) = ready.into_iter().find(|one| one.source == source) {
                return one;
            }
        }
        panic!("{source:?} does not become ready")
    }

    /// Turns without a socket until this is so.
    fn until(&mut self, is_so: impl Fn(&EventLoop) -> bool) {
        let asked = Instant::now();
        while !is_so(&self.the) {
            assert!(asked.elapsed() < PATIENCE, "it does not come about");
            self.turn(&[]);
        }
    }

    /// A cache's next connection.
    fn accept(&self, cache: usize) -> TcpStream {
        let (number, stream) = self.next();
        assert_eq!(number, cache, "another cache is asked");
        stream
    }

    /// Which cache the next connection goes to, and that.
    fn next(&self) -> (usize, TcpStream) {
        let asked = Instant::now();
        while asked.elapsed() < PATIENCE {
            for (number, cache) in self.caches.iter().enumerate() {
                cache.set_nonblocking(true).unwrap();
                let next = cache.accept();
                cache.set_nonblocking(false).unwrap();
                if let Ok((stream, _)) = next {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(PATIENCE)).unwrap();
                    return (number, stream);
                }
            }
        }
        panic!("no cache is asked")
    }

    fn answers(&mut self, client: usize, want: &str) {
        let mut got = vec![0; want.len()];
        self.clients[client].read_exact(&mut got).unwrap();
        assert_eq!(String::from_utf8_lossy(&got), want);
    }

    fn news(&mut self, text: &str) {
        let (mut watch, _) = self.discovery.accept().unwrap();
        write!(watch, "HTTP/1.1 200 OK\r\n\r\n{text}\n").unwrap();
        // As an agent does that goes on: the connection stays.
        std::mem::forget(watch);
    }
}

/// What comes on a connection before it ends.
fn rest(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    match stream.read_to_end(&mut text) {
        Ok(_) => {}
        Err(e) if e.kind() == io::ErrorKind::ConnectionReset => {}
        Err(e) => panic!("it does not end: {e}"),
    }
    String::from_utf8(text).unwrap()
}

/// A whole command, as it comes to a cache.
fn command(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while crate::resp::parse_command(&text).unwrap().is_none() {
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "after {}",
            text.escape_ascii()
        );
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

/// What a cache makes of a read.
const VALUE: &[u8] = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

/// The time that a cache is told to be waited for, in milliseconds.
fn time_told(stream: &mut TcpStream) -> u64 {
    command(stream)
        .trim_end()
        .rsplit_once("d=")
        .expect("a field")
        .1
        .parse()
        .unwrap()
}

const FIRST: EventSource = EventSource::Upstream(0);
const SECOND: EventSource = EventSource::Upstream(1);
const CLIENT: EventSource = EventSource::Client(0);

#[rstest]
fn who_leaves_in_the_turn_in_which_the_connection_comes_up_is_not_sent_on(
    #[values([FIRST, CLIENT], [CLIENT, FIRST])] order: [EventSource; 2],
    #[values("read", "put", "once")] class: &str,
) {
    let mut s = Stage::set(GIVEN);
    s.ask(class, 50_000);
    let mut cache = s.accept(0);
    drop(s.clients.pop());
    s.turn(&order);
    assert_eq!(rest(&mut cache), "");
}

#[rstest]
fn an_attempt_whose_connection_is_reported_again_while_it_waits_for_a_look_is_sent_once(
    #[values("read", "put", "once")] class: &str,
) {
    let mut s = Stage::set(GIVEN);
    s.ask(class, 50_000);
    let up = s.wait(FIRST);
    for _ in 0..3 {
        s.the.poll_timestamps = PollTimestamps::start(s.the.clock.now().saturating_sub(1_000 * MS));
        s.the.postponed_turns = 0;
        s.the.process_ready(&mut vec![up], true);
    }
    assert_eq!(
        s.the.connected_jobs.len(),
        1,
        "it waits once, however often it is reported"
    );
    s.turn(&[FIRST]);
    let mut cache = s.accept(0);
    command(&mut cache);
    cache.set_nonblocking(true).unwrap();
    assert!(
        is_open_without_input(&cache),
        "nothing comes behind the command"
    );
}

#[test]
fn what_the_module_wants_sent_by_a_look_long_ago_waits_for_the_next_which_finds_the_drain() {
    let mut s = Stage::set(GIVEN);
    s.ask("read", 50_000);
    s.turn(&[FIRST]);
    let mut cache = s.accept(0);
    command(&mut cache);
    cache.write_all(VALUE).unwrap();
    s.turn(&[FIRST]);
    s.until(|the| the.counters.list_calls == 1);
    s.turn(&[EventSource::Discovery(0)]);
    // The connection rests until then.
    std::thread::sleep(Duration::from_millis(12));
    let client = s.client();
    s.clients[client]
        .write_all(&write_command(&[b"C.GET", b"a", b"2", b"c=read,d=50000"]))
        .unwrap();
    let asks = s.wait(EventSource::Client(client as u64));
    s.the.poll_timestamps.prompt(s.the.clock.now());
    s.the.process_ready(&mut vec![asks], true);
    // Held up between the look and the decision; discovery tells of a drain meanwhile.
    s.the.poll_timestamps = PollTimestamps::start(s.the.clock.now().saturating_sub(1_000 * MS));
    s.the.run_decisions();
    assert_eq!(
        (s.the.counters.postponed, s.the.connected_jobs.len()),
        (1, 1)
    );
    let dial = local(&s.caches[0]);
    let hosts = json!([{"host": "s-0", "dial": dial, "health": "terminating"}]);
    s.news(&json!({"seq": 8, "hosts": hosts}).to_string());
    s.turn(&[EventSource::Discovery(0)]);
    assert_eq!(
        rest(&mut cache),
        "",
        "the connection that the attempt had is closed unused"
    );
}

#[rstest]
fn who_left_while_the_connection_was_late_is_not_sent_on(
    #[values(true, false)] cancel: bool,
    #[values(true, false)] reset: bool,
    #[values("read", "put", "once")] class: &str,
) {
    let mut s = Stage::set(Given { cancel, ..GIVEN });
    s.ask(class, 50_000);
    let mut cache = s.accept(0);
    let client = s.clients.pop().unwrap();
    if reset {
        SockRef::from(&client)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(client);
    s.turn(&[CLIENT]);
    if !cancel {
        s.turn(&[FIRST]);
    }
    assert_eq!(rest(&mut cache), "");
    assert_eq!((s.the.counters.gone, s.the.counters.left_unsent), (1, 1));
    assert!(
        s.the.counters.left_unsent_ms < 300,
        "as long as the connection took"
    );
    assert_eq!(s.the.attempt_tracker.open(), 0);
}

#[test]
fn who_leaves_in_the_turn_of_the_outcome_that_would_have_it_sent_again_is_not() {
    let mut s = Stage::set(Given { caches: 2, ..GIVEN });
    let (_, mut cache) = s.passed_on("read", 50_000);
    cache.write_all(b"-BUSY\r\n").unwrap();
    drop(s.clients.pop());
    s.turn(&[FIRST, CLIENT]);
    assert_eq!(
        (
            s.the.counters.try_full,
            s.the.counters.peers_opened,
            s.the.attempt_tracker.open()
        ),
        (1, 1, 0)
    );
}

#[rstest]
fn who_leaves_before_its_copy_is_due_or_in_that_turn_gets_none(
    #[values(true, false)] cancel: bool,
    #[values(true, false)] in_that_turn: bool,
) {
    let mut s = Stage::set(Given {
        caches: 2,
        cancel,
        ..GIVEN
    });
    // The copy is due after half of this.
    let (_, _cache) = s.passed_on("read", 400);
    drop(s.clients.pop());
    let due = s.the.clock.now() + 200 * MS;
    if in_that_turn {
        let end = s.wait(CLIENT);
        s.turn_at(due, end);
    } else {
        s.turn(&[CLIENT]);
        while s.the.clock.now() < due {
            s.turn(&[]);
        }
    }
    s.turn(&[]);
    assert_eq!(
        (
            s.the.counters.tries,
            s.the.counters.copies,
            s.the.counters.gone
        ),
        (1, 0, 1)
    );
}

#[test]
fn a_thousand_who_leave_in_one_turn_are_all_forgotten() {
    let mut s = Stage::set(GIVEN);
    for client in 0..8 {
        s.client();
        let ask = |n| {
            write_command(&[
                b"C.GET",
                b"a",
                format!("{client}-{n}").as_bytes(),
                b"c=read,d=50000",
            ])
        };
        let asks: Vec<u8> = (0..125).flat_map(ask).collect();
        s.clients[client].write_all(&asks).unwrap();
        s.turn(&[EventSource::Client(client as u64)]);
    }
    assert_eq!(s.the.attempt_tracker.open(), 1_000);
    assert!(
        s.the.counters.tries < 100,
        "most are held: {}",
        s.the.counters.tries
    );
    s.clients.clear();
    let all: Vec<EventSource> = (0..8).map(EventSource::Client).collect();
    s.turn(&all);
    let tries = s.the.counters.tries;
    assert_eq!(
        (
            s.the.attempt_tracker.open(),
            s.the.attempt_tracker.held(),
            s.the.counters.gone
        ),
        (0, 0, 1_000)
    );
    let asked = s.the.clock.now();
    // The module releases what it holds ten times a second.
    while s.the.clock.now() < asked + 300 * MS {
        s.turn(&[]);
    }
    assert_eq!(s.the.counters.tries, tries, "none is sent later");
}

#[test]
fn a_copy_whose_connection_comes_up_behind_the_answer_is_not_sent() {
    let mut s = Stage::set(Given { caches: 2, ..GIVEN });
    // The copy is due after half of this.
    s.ask("read", 4_000);
    s.turn(&[FIRST]);
    let (_, mut first) = s.next();
    s.until(|the| the.counters.copies == 1);
    let (_, mut second) = s.next();
    command(&mut first);
    first.write_all(VALUE).unwrap();
    s.turn(&[FIRST, SECOND]);
    assert_eq!(rest(&mut second), "");
    s.answers(0, "$1\r\nv\r\n");
    assert_eq!(
        (s.the.counters.served, s.the.attempt_tracker.open()),
        (1, 0)
    );
}

#[test]
fn a_connection_that_comes_up_in_the_turn_of_the_deadline_is_not_used() {
    let mut s = Stage::set(GIVEN);
    s.ask("once", 1_000);
    let mut cache = s.accept(0);
    let up = s.wait(FIRST);
    let asked = s.the.clock.now();
    s.turn_at(asked + 1_020 * MS, up);
    assert_eq!(rest(&mut cache), "");
    assert_eq!(s.the.attempt_tracker.open(), 0, "answered as well");
    s.answers(0, "-");
}

#[test]
fn a_late_connection_is_told_the_time_that_is_left() {
    let mut s = Stage::set(GIVEN);
    s.ask("read", 50_000);
    let mut cache = s.accept(0);
    let asked = s.the.clock.now();
    while s.the.clock.now() < asked + 50 * MS {}
    s.turn(&[FIRST]);
    let d = time_told(&mut cache);
    assert!(d <= 49_950, "{d}");
}

#[test]
fn a_keyed_write_is_not_repeated_once_its_window_has_ended_while_the_connection_was_late() {
    let mut s = Stage::set(Given {
        window_ms: 2_000,
        ..GIVEN
    });
    s.ask("put", 50_000);
    s.turn(&[FIRST]);
    let mut cache = s.accept(0);
    let asked = s.the.clock.now();
    command(&mut cache);
    // It may have run: a repeat is lawful for as long as the caches discard it.
    drop(cache);
    s.turn(&[FIRST]);
    assert_eq!(
        (s.the.counters.try_reset, s.the.counters.peers_opened),
        (1, 2),
        "within the window it is sent again"
    );
    let mut cache = s.accept(0);
    let up = s.wait(SECOND);
    s.turn_at(asked + 2_000 * MS, up);
    assert_eq!(rest(&mut cache), "");
    s.answers(0, "-");
}

#[test]
fn a_keyed_write_whose_window_is_shorter_than_its_way_runs_once() {
    let mut s = Stage::set(Given {
        window_ms: 1,
        ..GIVEN
    });
    s.ask("put", 50_000);
    let mut unsent = s.accept(0);
    // Its first try is over before its connection is up: it never ran, and the next is the first.
    s.until(|the| the.counters.try_connect_failed == 1);
    assert_eq!(rest(&mut unsent), "");
    let mut cache = s.accept(0);
    s.turn(&[SECOND]);
    let sent = s.the.clock.now();
    command(&mut cache);
    drop(cache);
    while s.the.clock.now() < sent + MS {}
    s.turn(&[SECOND]);
    assert_eq!(
        (s.the.counters.try_reset, s.the.counters.peers_opened),
        (1, 2),
        "it may have run: no repeat"
    );
    s.answers(0, "-");
}

#[test]
fn what_was_decided_before_a_drain_was_told_does_not_open_a_connection_behind_it() {
    let mut s = Stage::set(Given { caches: 2, ..GIVEN });
    let (first, mut cache) = s.passed_on("read", 50_000);
    cache.write_all(b"-BUSY\r\n").unwrap();
    let other = 1 - first;
    s.turn(&[EventSource::Discovery(0)]);
    let drains = json!({"seq": 8, "hosts": [
        {"host": format!("s-{other}"), "dial": local(&s.caches[other]), "health": "terminating"}]});
    s.news(&drains.to_string());
    // The outcome, by which the other is asked next, and behind it the news that it drains.
    s.turn(&[FIRST, EventSource::Discovery(0)]);
    assert_eq!((s.the.counters.try_full, s.the.counters.list_news), (1, 1));
    s.caches[other].set_nonblocking(true).unwrap();
    assert!(
        s.caches[other].accept().is_err(),
        "no connection to the one that drains"
    );
}

#[rstest]
fn a_job_on_its_way_to_a_former_address_ends_there(#[values(false, true)] up: bool) {
    let mut s = Stage::set(Given { caches: 1, ..GIVEN });
    s.ask("read", 50_000);
    let mut former = s.accept(0);
    if up {
        s.turn(&[FIRST]);
        command(&mut former);
    }
    s.caches.push(TcpListener::bind("127.0.0.1:0").unwrap());
    s.turn(&[EventSource::Discovery(0)]);
    let moved = json!({"seq": 8, "hosts": [{"host": "s-0", "dial": local(&s.caches[1])}]});
    s.news(&moved.to_string());
    s.turn(&[EventSource::Discovery(0)]);
    if up {
        // What has begun there may end there, but the connection carries nothing more.
        former.write_all(VALUE).unwrap();
        s.turn(&[FIRST]);
        s.answers(0, "$1\r\nv\r\n");
    }
    assert_eq!(rest(&mut former), "");
    if up {
        s.ask("read", 50_000);
    }
    let mut cache = s.accept(1);
    s.turn(&[SECOND]);
    assert!(command(&mut cache).contains("C.GET"));
}

#[test]
fn a_try_that_ran_out_of_time_before_it_was_sent_never_ran() {
    let mut s = Stage::set(Given {
        window_ms: 100,
        ..GIVEN
    });
    // A keyed write's first try has three quarters of the window.
    s.ask("put", 50_000);
    let _cache = s.accept(0);
    s.until(|the| the.counters.try_timeout + the.counters.try_connect_failed > 0);
    assert_eq!(
        (
            s.the.counters.try_timeout,
            s.the.counters.try_connect_failed
        ),
        (0, 1)
    );
}

#[test]
fn what_an_end_takes_is_answered_before_the_process_is_killed() {
    let mut s = Stage::set(GIVEN);
    let now = s.the.clock.now();
    s.the.begin_shutdown(now);
    s.ask("read", 80_000);
    s.turn(&[FIRST]);
    let mut cache = s.accept(0);
    let d = time_told(&mut cache);
    assert!(
        d <= 3_600,
        "{d}: the process is killed 3.7 s after the request to stop at the earliest"
    );
}

#[rstest]
#[case::read("read", "-BUSY\r\n")]
#[case::once("once", "-ERR failed\r\n")]
fn what_was_taken_before_the_end_and_has_longer_is_answered_before_the_process_is_killed(
    #[case] class: &str,
    #[case] answer: &str,
    #[values(true, false)] cancel: bool,
) {
    let mut s = Stage::set(Given { cancel, ..GIVEN });
    let (_, _cache) = s.passed_on(class, 80_000);
    s.stop();
    let by = s.the.lifecycle.answer_deadline().expect("it ends");
    while s.the.clock.now() <= by {
        s.turn(&[]);
    }
    s.turn(&[]);
    s.answers(0, answer);
    s.until(EventLoop::is_finished);
}

#[test]
fn a_connection_that_comes_up_behind_the_stop_is_told_the_time_that_is_left_until_the_kill() {
    let mut s = Stage::set(GIVEN);
    s.ask("read", 80_000);
    let mut cache = s.accept(0);
    s.stop();
    s.turn(&[FIRST]);
    let d = time_told(&mut cache);
    assert!(d <= 3_600, "{d}");
}

#[rstest]
#[case::empty_line("HTTP/1.1 200 OK\r\n\r\n\n", true)]
#[case::head("HTTP/1.1 200 OK\r\n\r\n", false)]
#[case::busy("HTTP/1.1 503 Service Unavailable\r\n\r\n\n", false)]
fn a_watch_that_stands_has_former_failures_forgotten_though_it_has_no_news(
    #[case] text: &str,
    #[case] stands: bool,
) {
    let mut s = Stage::set(GIVEN);
    s.until(|the| the.counters.list_calls == 1);
    s.turn(&[EventSource::Discovery(0)]);
    let (mut watch, _) = s.discovery.accept().unwrap();
    watch.write_all(text.as_bytes()).unwrap();
    let ready = s.wait(EventSource::Discovery(0));
    s.the.process_ready(&mut vec![ready], true);
    assert_eq!(
        s.the.pending_events.contains(&Event::DiscoveryAvailable),
        stands
    );
    s.the.run_decisions();
    // A second empty line is no news of it either.
    if stands {
        watch.write_all(b"\n").unwrap();
        let ready = s.wait(EventSource::Discovery(0));
        s.the.process_ready(&mut vec![ready], true);
        assert!(!s.the.pending_events.contains(&Event::DiscoveryAvailable));
    }
}

/// Idle clients fill the places while calls of discovery fail: the descriptors that are kept stay free, and the call goes out again.
#[test]
fn idle_clients_that_take_all_places_while_discovery_is_down_leave_the_call_its_descriptor() {
    const SOCKETS: usize = 64;
    let mut s = Stage::with(GIVEN, |config| config.sockets = SOCKETS);
    let (_, places) = split_sockets(SOCKETS, false);
    s.until(|the| the.counters.list_calls == 1);
    s.turn(&[EventSource::Discovery(0)]);
    let (down, _) = s.discovery.accept().unwrap();
    let address = s.the.listener.address().expect("the door is open");
    let _idle: Vec<TcpStream> = (0..2 * places)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    s.turn(&[EventSource::Listener]);
    s.until(|the| the.counters.clients_accepted >= places as u64);
    drop(down);
    let ended = s.wait(EventSource::Discovery(0));
    s.the.process_ready(&mut vec![ended], true);
    s.the.run_decisions();
    assert_eq!(s.the.counters.list_failed, 1);
    s.until(|the| the.counters.list_calls == 2);
    let open = s.the.counters.clients_accepted - s.the.counters.clients_closed;
    assert!(open <= places as u64, "{open} of {places}");
    assert!(
        places + 8 < SOCKETS,
        "{places}: the rest is for caches, discovery and the door"
    );
    s.turn(&[EventSource::Discovery(1)]);
    s.discovery.accept().expect("it is called again");
}

#[test]
fn a_reload_that_moves_discovery_tells_the_module_that_former_failures_are_moot() {
    let mut s = Stage::set(GIVEN);
    let now = s.the.clock.now();
    for (moves, address) in [(false, local(&s.discovery)), (true, local(&s.caches[0]))] {
        let mut new = s.the.config.clone();
        new.discovery = address.parse().unwrap();
        s.the.apply_config(new, now);
        assert_eq!(
            s.the.pending_events.contains(&Event::DiscoveryAvailable),
            moves
        );
        s.the.run_decisions();
    }
}

/// Two processes of one balancer on one listening socket, with a folder for what they tell each other.
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
    fn start(&self) -> Stage {
        let socket = self.listener.try_clone().unwrap();
        Stage::with(GIVEN, |config| {
            config.socket_fd = Some(socket.into_raw_fd());
            config.folder = Some(self.folder.clone());
        })
    }

    /// An old one, and a new one that is ready; the old one has not looked since.
    fn both(&self) -> (Stage, Stage) {
        let mut old = self.start();
        let mut new = self.start();
        old.look();
        new.look();
        assert!(
            old.the.lifecycle.is_ready() && new.the.lifecycle.is_ready(),
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

impl Stage {
    fn look(&mut self) {
        let now = self.the.clock.now();
        self.the.check_other_process(now);
    }

    fn stop(&mut self) {
        let now = self.the.clock.now();
        self.the.begin_shutdown(now);
    }

    /// Takes the next client and answers it.
    fn takes(&mut self, mut client: TcpStream, want: &str) {
        let number = self.the.counters.clients_accepted;
        self.turn(&[EventSource::Listener]);
        self.turn(&[EventSource::Client(number)]);
        let mut got = vec![0; want.len()];
        client.read_exact(&mut got).unwrap();
        assert_eq!(String::from_utf8_lossy(&got), want);
    }
}

#[test]
fn a_stop_between_the_newcomers_yes_and_the_look_at_it_leaves_the_door_to_it() {
    let pair = Pair::new("yes");
    let (mut old, mut new) = pair.both();
    old.stop();
    assert!(old.the.is_finished(), "nothing is owed here any more");
    new.takes(pair.ping(), "+PONG\r\n");
}

#[test]
fn notes_are_written_for_a_newcomer_once_it_has_written_its_name_and_anew_for_the_next() {
    let pair = Pair::new("names");
    let notes = pair.folder.join("pipitrun.notes");
    let mut old = pair.start();
    // A newcomer has its seat, and has not come to write its name.
    let seat = pair.folder.join("pipitrun.seat-1");
    let seat = std::fs::File::options().write(true).open(seat).unwrap();
    seat.lock().unwrap();
    old.look();
    assert!(
        old.the.hot_restart.is_beside() && !notes.exists(),
        "nobody could tell that they are for him"
    );
    drop(seat);
    // The next dies before it reads its notes.
    let new = pair.start();
    old.look();
    assert!(notes.exists());
    drop(new);
    let mut new = pair.start();
    assert!(
        !notes.exists() && !new.the.lifecycle.is_ready(),
        "it waits for its own"
    );
    old.look();
    new.look();
    assert!(new.the.lifecycle.is_ready() && !notes.exists());
}

#[test]
fn a_newcomer_that_died_behind_its_yes_leaves_the_door_to_the_one_that_is_then_told_to_stop() {
    let pair = Pair::new("died");
    let (mut old, new) = pair.both();
    old.look();
    assert!(old.the.hot_restart.other_serves());
    drop(new);
    old.stop();
    assert!(!old.the.is_finished());
    old.takes(pair.ping(), "-LOADING ending\r\n");
}

#[test]
fn the_door_is_taken_back_if_the_newcomer_dies_while_the_old_one_still_answers() {
    let pair = Pair::new("back");
    let (mut old, new) = pair.both();
    old.ask("read", 50_000);
    old.turn(&[FIRST]);
    old.stop();
    assert!(!old.the.is_finished(), "an answer is owed");
    drop(new);
    let client = pair.ping();
    old.look();
    old.takes(client, "-LOADING ending\r\n");
}

#[test]
fn two_who_are_both_told_to_stop_both_take_who_still_comes() {
    let pair = Pair::new("both");
    let (mut old, mut new) = pair.both();
    old.look();
    new.stop();
    old.stop();
    new.look();
    for one in [&mut old, &mut new] {
        assert!(!one.the.is_finished());
        one.takes(pair.ping(), "-LOADING ending\r\n");
    }
}

#[test]
fn limits_are_halved_while_two_live_and_joined_again_whatever_the_operators_do_meanwhile() {
    let pair = Pair::new("split");
    let mut old = pair.start();
    let alone = old.the.memory_limit;
    let new = pair.start();
    old.look();
    let now = old.the.clock.now();
    old.the.lifecycle.quiesce(now);
    old.the.apply_lifecycle(now);
    assert_eq!(
        (old.the.memory_limit, new.the.memory_limit),
        (alone / 2, alone / 2)
    );
    let mut reloaded = old.the.config.clone();
    reloaded.memory *= 2;
    old.the.apply_config(reloaded, now);
    assert_eq!(old.the.memory_limit, alone, "half of what is twice as much");
    drop(new);
    old.the.lifecycle.resume().unwrap();
    old.look();
    assert_eq!(old.the.memory_limit, 2 * alone);
    old.takes(pair.ping(), "+PONG\r\n");
}

#[test]
fn a_stop_before_any_list_is_known_answers_what_was_taken() {
    let mut s = Stage::set(Given { caches: 0, ..GIVEN });
    s.ask("once", 1_000);
    s.stop();
    assert_eq!(s.the.attempt_tracker.open(), 1, "it waits for a list");
    s.until(|the| the.attempt_tracker.open() == 0);
    s.answers(0, "-BUSY\r\n");
}

/// All that this client is sent until now.
fn sent(client: &mut TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let mut text = Vec::new();
    let end = client.read_to_end(&mut text);
    assert!(
        matches!(end, Err(e) if e.kind() == io::ErrorKind::WouldBlock),
        "it stays open"
    );
    String::from_utf8(text).unwrap()
}

#[rstest]
fn the_answers_of_a_read_and_its_copy_in_one_turn_are_one_answer(
    #[values([FIRST, SECOND], [SECOND, FIRST])] order: [EventSource; 2],
    #[values(VALUE, b"-ERR failed\r\n", b"*3\r\n$x")] other: &[u8],
) {
    let mut s = Stage::set(Given {
        caches: 2,
        cancel: false,
        ..GIVEN
    });
    s.ask("read", 4_000);
    s.turn(&[FIRST]);
    let (_, mut first) = s.next();
    s.until(|the| the.counters.copies == 1);
    let (_, mut second) = s.next();
    s.turn(&[SECOND]);
    command(&mut first);
    command(&mut second);
    first.write_all(VALUE).unwrap();
    second.write_all(other).unwrap();
    s.turn(&order);
    assert_eq!(sent(&mut s.clients[0]), "$1\r\nv\r\n");
    assert_eq!(
        (
            s.the.counters.served,
            s.the.attempt_tracker.open(),
            s.the.counters.tries
        ),
        (1, 0, 2)
    );
}

#[test]
fn an_answer_that_comes_in_the_turn_of_the_deadline_is_the_only_one() {
    let mut s = Stage::set(GIVEN);
    let (_, mut cache) = s.passed_on("once", 1_000);
    cache.write_all(VALUE).unwrap();
    let answer = s.wait(FIRST);
    let asked = s.the.clock.now();
    // The answer, the try's time-out and the module's deadline, all due.
    s.turn_at(asked + 1_020 * MS, answer);
    s.turn(&[]);
    assert_eq!(sent(&mut s.clients[0]), "$1\r\nv\r\n");
    assert_eq!(
        (
            s.the.counters.served,
            s.the.counters.failed,
            s.the.attempt_tracker.open()
        ),
        (1, 0, 0)
    );
}
