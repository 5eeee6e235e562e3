//! Test harness: an event loop whose caches, discovery service and clients are sockets of the test.
//! The test determines which sockets are reported in a turn, and in which order.

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

/// Time after which a step counts as failed, far above the time that any step needs.
pub(super) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An event loop with the sockets of its caches, discovery service and clients.
pub(super) struct Harness {
    pub(super) event_loop: EventLoop,
    pub(super) events: Events,
    pub(super) caches: Vec<TcpListener>,
    pub(super) discovery: TcpListener,
    pub(super) clients: Vec<TcpStream>,
}

pub(super) fn local_address(listener: &TcpListener) -> String {
    listener.local_addr().unwrap().to_string()
}

/// Settings that differ between tests.
#[derive(Clone, Copy)]
pub(super) struct Options {
    /// Number of caches.
    pub(super) caches: usize,
    /// Whether attempts may be cancelled.
    pub(super) cancel: bool,
    /// Deduplication window of keyed writes, in milliseconds.
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

    /// Starts an event loop whose configuration is modified by `change` after it is parsed.
    pub(super) fn with_config(options: Options, change: impl FnOnce(&mut Config)) -> Self {
        let listen = || TcpListener::bind("127.0.0.1:0").expect("no free port");
        let caches: Vec<TcpListener> = (0..options.caches).map(|_| listen()).collect();
        let discovery = listen();
        // Accepted connections inherit the timeout, so that a missing step fails instead of
        // blocking the test.
        SockRef::from(&discovery)
            .set_read_timeout(Some(TEST_TIMEOUT))
            .unwrap();
        let host = |(n, cache)| json!({"host": format!("s-{n}"), "dial": local_address(cache)});
        let hosts: Vec<_> = caches.iter().enumerate().map(host).collect();
        let class = |name: &str, repeat: &str| {
            json!({"name": name, "repeat": repeat, "group": "all",
                "memory_span_ns": options.window_ms * MS, "goal_time_ns": 60_000 * MS,
                "give_up_ns": 90_000 * MS, "worth": 1})
        };
        let config = json!({
            "listen": "127.0.0.1:0", "discovery": local_address(&discovery), "seed": "2a",
            "known": {"seq": 7, "whole": true, "hosts": hosts},
            "settings": {
                "membership_mode": "automatic", "group_size": 1, "step_ns": MS,
                "caps": {"max_attempts": 3, "may_cancel": options.cancel, "second_copies": true,
                    "conn_idle_ns": 60_000 * MS, "connect_timeout_ns": 60_000 * MS},
                "obligations": {"drain_grace_ns": 500 * MS, "grace_to_answer_ns": 16 * MS},
                "profiles": [class("read", "safe"), class("put", "keyed"), class("once", "unsafe")],
            },
        });
        let mut config = Config::read(&config.to_string()).expect("invalid configuration");
        change(&mut config);
        let event_loop = EventLoop::new(config).expect("the event loop does not start");
        Harness {
            event_loop,
            events: Events::new(),
            caches,
            discovery,
            clients: Vec::new(),
        }
    }

    /// Connects a client, has the event loop accept it, and returns the client's index.
    pub(super) fn connect_client(&mut self) -> usize {
        let client = TcpStream::connect(
            self.event_loop
                .listener
                .address()
                .expect("the listener is closed"),
        )
        .unwrap();
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        self.clients.push(client);
        self.turn(&[EventSource::Listener]);
        self.clients.len() - 1
    }

    /// Connects a client that sends a request with this client timeout, and runs the event loop
    /// until the engine has decided on the request.
    pub(super) fn send_request(&mut self, class: &str, client_timeout_ms: u64) {
        let number = self.connect_client();
        let fields = format!("c={class},d={client_timeout_ms}");
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

    /// Sends a request of a new client until a cache has received its command. Returns the index of
    /// the cache and its connection.
    pub(super) fn forward_request(
        &mut self,
        class: &str,
        client_timeout_ms: u64,
    ) -> (usize, TcpStream) {
        self.send_request(class, client_timeout_ms);
        self.turn(&[UPSTREAM_0]);
        let (number, mut cache) = self.next_connection();
        read_command(&mut cache);
        (number, cache)
    }

    /// Runs one turn at `at` or later, in which only `ready` is reported.
    pub(super) fn turn_at(&mut self, at: Nanos, ready: Readiness) {
        while self.event_loop.clock.now() < at {}
        self.process(vec![ready]);
    }

    /// Runs one turn in which only these sources are reported, in this order, after waiting until
    /// each of them is ready.
    pub(super) fn turn(&mut self, sources: &[EventSource]) {
        self.event_loop.run_decisions();
        let ready: Vec<Readiness> = sources.iter().map(|source| self.wait(*source)).collect();
        self.process(ready);
    }

    /// Processes a poll that reports only `ready`, then polls that report nothing until no attempt
    /// is postponed, so that the result does not depend on the speed of the machine.
    pub(super) fn process(&mut self, mut ready: Vec<Readiness>) {
        loop {
            let now = self.event_loop.clock.now();
            // The event loop must not detect a stall between these turns.
            self.event_loop.poll_timestamps.record_prompt_poll(now);
            self.event_loop
                .process_ready(&mut ready, PollOutcome::Completed);
            self.event_loop.run_decisions();
            if self.event_loop.connected_jobs.is_empty() {
                return;
            }
        }
    }

    /// Waits until a source is ready, and returns its readiness without processing it.
    pub(super) fn wait(&mut self, source: EventSource) -> Readiness {
        let started = Instant::now();
        while started.elapsed() < TEST_TIMEOUT {
            let mut ready = Vec::new();
            self.event_loop
                .poll
                .wait(&mut self.events, Some(Duration::from_millis(1)), &mut ready)
                .unwrap();
            let found = ready
                .into_iter()
                .find(|readiness| readiness.source == source);
            if let Some(readiness) = found {
                return readiness;
            }
        }
        panic!("{source:?} does not become ready")
    }

    /// Runs turns that report no sockets until the condition is met.
    pub(super) fn run_until(&mut self, condition: impl Fn(&EventLoop) -> bool) {
        let started = Instant::now();
        while !condition(&self.event_loop) {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "the condition is never met"
            );
            self.turn(&[]);
        }
    }

    /// Accepts the next upstream connection, which must be to this cache.
    pub(super) fn accept(&self, cache: usize) -> TcpStream {
        let (number, stream) = self.next_connection();
        assert_eq!(number, cache, "the connection is to another cache");
        stream
    }

    /// Accepts the next upstream connection, and returns the index of its cache and the connection.
    pub(super) fn next_connection(&self) -> (usize, TcpStream) {
        let started = Instant::now();
        while started.elapsed() < TEST_TIMEOUT {
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
        panic!("no upstream connection is opened")
    }

    pub(super) fn expect_answer(&mut self, client: usize, expected: &str) {
        let mut received = vec![0; expected.len()];
        self.clients[client].read_exact(&mut received).unwrap();
        assert_eq!(String::from_utf8_lossy(&received), expected);
    }

    /// Accepts the next watch and sends a message on it.
    pub(super) fn send_list(&mut self, text: &str) {
        let (mut watch, _) = self.discovery.accept().unwrap();
        write!(watch, "HTTP/1.1 200 OK\r\n\r\n{text}\n").unwrap();
        // Keeps the connection open, as the discovery service does.
        std::mem::forget(watch);
    }
}

/// Returns all bytes that are received on a connection until it ends.
pub(super) fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    match stream.read_to_end(&mut text) {
        Ok(_) => {}
        Err(e) if e.kind() == io::ErrorKind::ConnectionReset => {}
        Err(e) => panic!("the connection does not end: {e}"),
    }
    String::from_utf8(text).unwrap()
}

/// Reads one complete command from an upstream connection.
pub(super) fn read_command(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while crate::resp::parse_command(&text).unwrap().is_none() {
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "the connection ends after {}",
            text.escape_ascii()
        );
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

/// A cache's response to a read.
pub(super) const VALUE: &[u8] = b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

/// Reads a command from an upstream connection and returns its timeout in milliseconds.
pub(super) fn forwarded_timeout_ms(stream: &mut TcpStream) -> u64 {
    read_command(stream)
        .trim_end()
        .rsplit_once("d=")
        .expect("the command has no timeout field")
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

    pub(super) fn begin_shutdown(&mut self) {
        let now = self.event_loop.clock.now();
        self.event_loop.begin_shutdown(now);
    }

    /// Has the event loop accept the next client and checks its answer to the client's command.
    pub(super) fn accept_and_answer(&mut self, mut client: TcpStream, expected: &str) {
        let number = self.event_loop.counters.clients_accepted;
        self.turn(&[EventSource::Listener]);
        self.turn(&[EventSource::Client(number)]);
        let mut received = vec![0; expected.len()];
        client.read_exact(&mut received).unwrap();
        assert_eq!(String::from_utf8_lossy(&received), expected);
    }
}

/// Returns all bytes that the client has received so far; its connection must be open.
pub(super) fn received_so_far(client: &mut TcpStream) -> String {
    client.set_nonblocking(true).unwrap();
    let mut text = Vec::new();
    let end = client.read_to_end(&mut text);
    assert!(
        matches!(end, Err(e) if e.kind() == io::ErrorKind::WouldBlock),
        "the connection is closed"
    );
    String::from_utf8(text).unwrap()
}
