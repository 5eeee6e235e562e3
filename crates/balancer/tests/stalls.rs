//! Tests of events that happen while the process is stalled by SIGSTOP. After it resumes, no
//! attempt of any kind may be sent based on outdated state: neither for a client that has
//! disconnected nor for a request whose deadline has passed.

mod common;

use common::{
    ConfigFile, Program, TEST_TIMEOUT, accept, listen, local, read_until, resp_command, wait,
};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const MS: u64 = 1_000_000;
/// Time for which the process is stalled, far longer than [`SHORT`].
const STALL: Duration = Duration::from_millis(650);
/// A timeout in milliseconds that ends during the stall.
const SHORT: u64 = 284;
/// A timeout in milliseconds that ends long after the test.
const LONG: u64 = 60_000;

/// The running program with caches, discovery and clients that the test plays.
struct Setup {
    program: Program,
    caches: Vec<TcpListener>,
    _discovery: TcpListener,
}

fn class(name: &str, repeat: &str, memory_span_ms: u64) -> Value {
    json!({"name": name, "repeat": repeat, "group": "all", "memory_span_ns": memory_span_ms * MS,
        "goal_time_ns": LONG * MS, "give_up_ns": LONG * MS, "worth": 1})
}

impl Setup {
    fn new(test: &str, caches: Vec<TcpListener>) -> Self {
        let discovery = listen();
        let host = |(n, cache): (usize, &TcpListener)| json!({"host": format!("s-{n}"), "dial": local(cache)});
        let config = json!({
            "listen": "127.0.0.1:0", "discovery": local(&discovery), "seed": "2a",
            "known": {"seq": 7, "whole": true, "hosts": caches.iter().enumerate().map(host).collect::<Vec<_>>()},
            "settings": {
                "membership_mode": "automatic", "group_size": 1, "step_ns": MS,
                "caps": {"max_attempts": 3, "may_cancel": true, "second_copies": true,
                    "conn_idle_ns": LONG * MS, "connect_timeout_ns": LONG * MS},
                "obligations": {"drain_grace_ns": 500 * MS, "grace_to_answer_ns": 16 * MS},
                "profiles": [class("read", "safe", 0), class("put", "keyed", 400)],
            },
        });
        let file = ConfigFile::write(&format!("stall-{test}"), &config.to_string());
        let program = Program::start(file.path(), &[]);
        program.wait_ready();
        Setup {
            program,
            caches,
            _discovery: discovery,
        }
    }

    fn client(&self, command: &[u8]) -> TcpStream {
        let mut client = self.program.client();
        client
            .write_all(command)
            .expect("the program reads commands");
        client
    }

    /// Stalls the process while `action` runs, and for [`STALL`] after it.
    fn stall_during(&self, action: impl FnOnce()) {
        self.program.signal("STOP");
        action();
        std::thread::sleep(STALL);
        self.program.signal("CONT");
    }

    /// Waits until the event loop has processed everything that was ready when the process resumed.
    /// The response to a new command comes after that.
    fn wait_until_processed(&self) {
        for _ in 0..5 {
            let mut client = self.client(b"*1\r\n$4\r\nPING\r\n");
            client
                .read_exact(&mut [0; 7])
                .expect("the program responds to a PING");
        }
    }

    /// Returns all bytes that caches have received once the pending events are processed.
    fn received_by_caches(&self) -> String {
        self.wait_until_processed();
        let mut text = Vec::new();
        for cache in &self.caches {
            cache
                .set_nonblocking(true)
                .expect("the socket can be non-blocking");
            while let Ok((mut stream, _)) = cache.accept() {
                stream
                    .set_nonblocking(true)
                    .expect("the socket can be non-blocking");
                match stream.read_to_end(&mut text) {
                    Err(e)
                        if e.kind() != ErrorKind::WouldBlock
                            && e.kind() != ErrorKind::ConnectionReset =>
                    {
                        panic!("{e}")
                    }
                    _ => {}
                }
            }
        }
        String::from_utf8(text).expect("the received bytes are UTF-8")
    }
}

fn read_command(id: u64, timeout_ms: u64) -> Vec<u8> {
    let fields = format!("c=read,d={timeout_ms}");
    resp_command(&["C.GET", "a", &id.to_string(), &fields]).into_bytes()
}

fn write_command(id: u64, timeout_ms: u64) -> Vec<u8> {
    let fields = format!("c=put,k=1,d={timeout_ms}");
    resp_command(&["C.SET", "a", &id.to_string(), &fields, "v"]).into_bytes()
}

/// A cache whose backlog is full: no further connection is established before
/// [`FullCache::drain_backlog`].
struct FullCache {
    listener: TcpListener,
    /// Connections that fill the backlog.
    queued: Vec<TcpStream>,
}

impl FullCache {
    fn new() -> Self {
        let socket =
            Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be created");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("the address is valid");
        socket.bind(&any.into()).expect("there is a free port");
        socket.listen(0).expect("the socket can listen");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("the listener has an address");
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(stream);
        }
        FullCache { listener, queued }
    }

    /// Accepts the queued connections, and waits until the program's own connection is established:
    /// the kernel repeats the SYN within 3 s.
    fn drain_backlog(listener: &TcpListener, queued: usize) {
        (0..queued).for_each(|_| drop(accept(listener)));
        let mut next = [PollFd::new(listener, PollFlags::IN)];
        let timeout = Timespec {
            tv_sec: TEST_TIMEOUT.as_secs() as i64,
            tv_nsec: 0,
        };
        assert_eq!(
            poll(&mut next, Some(&timeout)),
            Ok(1),
            "the program's connection is not established"
        );
    }
}

/// Sends a request for which the connection to the cache is established during the stall. Returns
/// the bytes that the cache received.
fn attempt_on_a_delayed_connection(name: &str, timeout_ms: u64, closes: bool) -> String {
    let FullCache { listener, queued } = FullCache::new();
    let setup = Setup::new(name, vec![listener]);
    let client = setup.client(&read_command(1, timeout_ms));
    setup.wait_until_processed();
    let mut open_client = Some(client);
    setup.stall_during(|| {
        if closes {
            open_client = None;
        }
        FullCache::drain_backlog(&setup.caches[0], queued.len());
    });
    let received = setup.received_by_caches();
    drop((open_client, queued));
    received
}

/// Sends a request during the stall. Returns the bytes that its cache received.
fn first_attempt(name: &str, timeout_ms: u64, closes: bool) -> String {
    let setup = Setup::new(name, vec![listen()]);
    let client = setup.client(b"");
    setup.wait_until_processed();
    let mut open_client = Some(client);
    setup.stall_during(|| {
        let client = open_client.as_mut().expect("the client is connected");
        client
            .write_all(&read_command(1, timeout_ms))
            .expect("the program reads commands");
        if closes {
            std::thread::sleep(Duration::from_millis(200));
            open_client = None;
        }
    });
    let received = setup.received_by_caches();
    drop(open_client);
    received
}

/// Sends a request whose second attempt becomes due during the stall. Returns the bytes that the
/// caches received besides the first attempt.
fn second_attempt(name: &str, command: &[u8], closes: bool) -> String {
    let setup = Setup::new(name, vec![listen(), listen()]);
    let client = setup.client(command);
    let mut first = None;
    wait("the connection of the first attempt", || {
        setup.caches.iter().any(has_connection)
    });
    for cache in setup.caches.iter().filter(|cache| has_connection(cache)) {
        let mut stream = accept(cache);
        read_until(&mut stream, ",d=");
        first = Some(stream);
    }
    let mut open_client = Some(client);
    setup.stall_during(|| {
        if closes {
            open_client = None;
        }
    });
    let received = setup.received_by_caches();
    drop((open_client, first));
    received
}

fn has_connection(listener: &TcpListener) -> bool {
    let mut next = [PollFd::new(listener, PollFlags::IN)];
    poll(&mut next, Some(&Timespec::default())) == Ok(1)
}

/// Returns the bytes that caches received with each kind of attempt: a first attempt, one on a
/// delayed connection, a hedge and a retry.
fn received_by_kind_of_attempt(name: &str, closes: bool, timeout_ms: u64) -> [String; 4] {
    let timeout_of_second_ms = timeout_ms.min(800);
    [
        first_attempt(&format!("{name}-first"), timeout_ms, closes),
        attempt_on_a_delayed_connection(&format!("{name}-delayed"), timeout_ms, closes),
        second_attempt(
            &format!("{name}-hedge"),
            &read_command(1, timeout_of_second_ms),
            closes,
        ),
        second_attempt(
            &format!("{name}-retry"),
            &write_command(1, timeout_of_second_ms),
            closes,
        ),
    ]
}

#[test]
fn request_of_a_client_that_disconnected_during_a_stall_is_not_forwarded() {
    assert_eq!(
        received_by_kind_of_attempt("closed", true, LONG),
        ["", "", "", ""]
    );
}

#[test]
fn request_that_timed_out_during_a_stall_is_not_forwarded() {
    assert_eq!(
        received_by_kind_of_attempt("over", false, SHORT),
        ["", "", "", ""]
    );
}
