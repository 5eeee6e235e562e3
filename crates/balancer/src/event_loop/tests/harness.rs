//! An event loop between caches, a discovery service and clients that the test plays. The test
//! decides which sockets are reported in a turn, and in which order.

use crate::config::Config;
use crate::event_loop::EventLoop;
use crate::poll::{EventSource, PollOutcome, Readiness};
use crate::resp::write_command;
use crate::timers::MS;
use polling::Events;
use routing::Nanos;
use serde_json::json;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// After this a step has failed; no step of a working loop comes near it.
pub(super) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The loop with caches, a discovery and clients, all played by the test.
pub(super) struct Harness {
    pub(super) event_loop: EventLoop,
    pub(super) events: Events,
    pub(super) caches: Vec<TcpListener>,
    pub(super) discovery: TcpListener,
    pub(super) clients: Vec<TcpStream>,
}

pub(super) fn local(listener: &TcpListener) -> String {
    listener.local_addr().unwrap().to_string()
}

/// What some tests have otherwise.
#[derive(Clone, Copy)]
pub(super) struct Options {
    pub(super) caches: usize,
    pub(super) cancel: bool,
    pub(super) window_ms: u64,
}

pub(super) const DEFAULTS: Options = Options {
    caches: 1,
    cancel: true,
    window_ms: 60_000,
};

impl Harness {
    pub(super) fn new(options: Options) -> Self {
        Harness::with_config(options, |_| {})
    }

    /// With more in its configuration than the file says.
    pub(super) fn with_config(options: Options, change: impl FnOnce(&mut Config)) -> Self {
        let listen = || TcpListener::bind("127.0.0.1:0").expect("a free port");
        let caches: Vec<TcpListener> = (0..options.caches).map(|_| listen()).collect();
        let discovery = listen();
        // Also for what it accepts: a step that is missing fails, and does not hang.
        SockRef::from(&discovery)
            .set_read_timeout(Some(TEST_TIMEOUT))
            .unwrap();
        let host = |(n, cache)| json!({"host": format!("s-{n}"), "dial": local(cache)});
        let hosts: Vec<_> = caches.iter().enumerate().map(host).collect();
        let class = |name: &str, repeat: &str| {
            json!({"name": name, "repeat": repeat, "group": "all", "memory_span_ns": options.window_ms * MS,
                "goal_time_ns": 60_000 * MS, "give_up_ns": 90_000 * MS, "worth": 1})
        };
        let config = json!({
            "listen": "127.0.0.1:0", "discovery": local(&discovery), "seed": "2a",
            "known": {"seq": 7, "whole": true, "hosts": hosts},
            "settings": {
                "membership_mode": "automatic", "group_size": 1, "step_ns": MS,
                "caps": {"max_attempts": 3, "may_cancel": options.cancel, "second_copies": true,
                    "conn_idle_ns": 60_000 * MS, "connect_timeout_ns": 60_000 * MS},
                "obligations": {"drain_grace_ns": 500 * MS, "grace_to_answer_ns": 16 * MS},
                "profiles": [class("read", "safe"), class("put", "keyed"), class("once", "unsafe")],
            },
        });
        let mut config = Config::read(&config.to_string()).expect("it is sound");
        change(&mut config);
        let event_loop = EventLoop::new(config).expect("it starts");
        Harness {
            event_loop,
            events: Events::new(),
            caches,
            discovery,
            clients: Vec::new(),
        }
    }

    pub(super) fn connect_client(&mut self) -> usize {
        let client = TcpStream::connect(
            self.event_loop
                .listener
                .address()
                .expect("the listener is open"),
        )
        .unwrap();
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        self.clients.push(client);
        self.turn(&[EventSource::Listener]);
        self.clients.len() - 1
    }

    /// A new client sends a request, and the engine has decided.
    pub(super) fn send_request(&mut self, class: &str, d: u64) {
        let number = self.connect_client();
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
    pub(super) fn forwarded(&mut self, class: &str, d: u64) -> (usize, TcpStream) {
        self.send_request(class, d);
        self.turn(&[UPSTREAM_0]);
        let (number, mut cache) = self.next_connection();
        read_command(&mut cache);
        (number, cache)
    }

    /// One turn that comes no sooner than this, in which just this is ready.
    pub(super) fn turn_at(&mut self, at: Nanos, ready: Readiness) {
        while self.event_loop.clock.now() < at {}
        self.process(vec![ready]);
    }

    /// One turn in which just these are ready, in this order. Each is waited for, however long the
    /// kernel takes.
    pub(super) fn turn(&mut self, sources: &[EventSource]) {
        self.event_loop.run_decisions();
        let ready: Vec<Readiness> = sources.iter().map(|source| self.wait(*source)).collect();
        self.process(ready);
    }

    /// A turn after a poll that reports just these, and as many more without any as attempts wait
    /// for, however slow the machine is.
    pub(super) fn process(&mut self, mut ready: Vec<Readiness>) {
        loop {
            let now = self.event_loop.clock.now();
            // For the loop these turns follow each other without a pause.
            self.event_loop.poll_timestamps.prompt(now);
            self.event_loop
                .process_ready(&mut ready, PollOutcome::Completed);
            self.event_loop.run_decisions();
            if self.event_loop.connected_jobs.is_empty() {
                return;
            }
        }
    }

    pub(super) fn wait(&mut self, source: EventSource) -> Readiness {
        let asked = Instant::now();
        while asked.elapsed() < TEST_TIMEOUT {
            let mut ready = Vec::new();
            self.event_loop
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
    pub(super) fn run_until(&mut self, is_so: impl Fn(&EventLoop) -> bool) {
        let asked = Instant::now();
        while !is_so(&self.event_loop) {
            assert!(asked.elapsed() < TEST_TIMEOUT, "the condition is never met");
            self.turn(&[]);
        }
    }

    /// A cache's next connection.
    pub(super) fn accept(&self, cache: usize) -> TcpStream {
        let (number, stream) = self.next_connection();
        assert_eq!(number, cache, "another cache is asked");
        stream
    }

    /// Which cache the next connection goes to, and that.
    pub(super) fn next_connection(&self) -> (usize, TcpStream) {
        let asked = Instant::now();
        while asked.elapsed() < TEST_TIMEOUT {
            for (number, cache) in self.caches.iter().enumerate() {
                cache.set_nonblocking(true).unwrap();
                let next = cache.accept();
                cache.set_nonblocking(false).unwrap();
                if let Ok((stream, _)) = next {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                    return (number, stream);
                }
            }
        }
        panic!("no cache is asked")
    }

    pub(super) fn expect_answer(&mut self, client: usize, want: &str) {
        let mut got = vec![0; want.len()];
        self.clients[client].read_exact(&mut got).unwrap();
        assert_eq!(String::from_utf8_lossy(&got), want);
    }

    pub(super) fn send_list(&mut self, text: &str) {
        let (mut watch, _) = self.discovery.accept().unwrap();
        write!(watch, "HTTP/1.1 200 OK\r\n\r\n{text}\n").unwrap();
        // As an agent does that goes on: the connection stays.
        std::mem::forget(watch);
    }
}

/// What comes on a connection before it ends.
pub(super) fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    match stream.read_to_end(&mut text) {
        Ok(_) => {}
        Err(e) if e.kind() == io::ErrorKind::ConnectionReset => {}
        Err(e) => panic!("it does not end: {e}"),
    }
    String::from_utf8(text).unwrap()
}

/// A whole command, as it comes to a cache.
pub(super) fn read_command(stream: &mut TcpStream) -> String {
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
pub(super) const VALUE: &[u8] = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

/// The time that a cache is told to be waited for, in milliseconds.
pub(super) fn forwarded_timeout_ms(stream: &mut TcpStream) -> u64 {
    read_command(stream)
        .trim_end()
        .rsplit_once("d=")
        .expect("a field")
        .1
        .parse()
        .unwrap()
}

pub(super) const UPSTREAM_0: EventSource = EventSource::Upstream(0);
pub(super) const UPSTREAM_1: EventSource = EventSource::Upstream(1);
pub(super) const CLIENT_0: EventSource = EventSource::Client(0);

impl Harness {
    pub(super) fn check_other_process(&mut self) {
        let now = self.event_loop.clock.now();
        self.event_loop.check_other_process(now);
    }

    pub(super) fn stop(&mut self) {
        let now = self.event_loop.clock.now();
        self.event_loop.begin_shutdown(now);
    }

    /// Takes the next client and answers it.
    pub(super) fn serves(&mut self, mut client: TcpStream, want: &str) {
        let number = self.event_loop.counters.clients_accepted;
        self.turn(&[EventSource::Listener]);
        self.turn(&[EventSource::Client(number)]);
        let mut got = vec![0; want.len()];
        client.read_exact(&mut got).unwrap();
        assert_eq!(String::from_utf8_lossy(&got), want);
    }
}

/// All that this client is sent until now.
pub(super) fn received(client: &mut TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let mut text = Vec::new();
    let end = client.read_to_end(&mut text);
    assert!(
        matches!(end, Err(e) if e.kind() == io::ErrorKind::WouldBlock),
        "it stays open"
    );
    String::from_utf8(text).unwrap()
}
