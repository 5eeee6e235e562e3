//! The process is stalled by SIGSTOP while events cross. Once it goes on, nothing is sent by what it knew
//! before: not for a client that has disconnected, nor once the request's time is over, whichever kind of
//! attempt it is.

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
/// How long the process stands still; far beyond [`SHORT`].
const STALL: Duration = Duration::from_millis(650);
/// A time, in milliseconds, that ends during the stall.
const SHORT: u64 = 284;
/// A time, in milliseconds, that ends long after the test.
const LONG: u64 = 60_000;

/// The program between caches, a discovery and clients that the test plays.
struct Setup {
    program: Program,
    caches: Vec<TcpListener>,
    _discovery: TcpListener,
}

fn class(name: &str, repeat: &str, window_ms: u64) -> Value {
    json!({"name": name, "repeat": repeat, "group": "all", "memory_span_ns": window_ms * MS,
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
        client.write_all(command).expect("it takes commands");
        client
    }

    /// Stalls the process while this happens, and for [`STALL`] after it.
    fn stalled(&self, meanwhile: impl FnOnce()) {
        self.program.signal("STOP");
        meanwhile();
        std::thread::sleep(STALL);
        self.program.signal("CONT");
    }

    /// Has the loop pass all that was ready when the process went on: an answer of its own comes
    /// behind that.
    fn settle(&self) {
        for _ in 0..5 {
            let mut client = self.client(b"*1\r\n$4\r\nPING\r\n");
            client.read_exact(&mut [0; 7]).expect("+PONG");
        }
    }

    /// All that comes on connections to caches until the process has settled.
    fn received_by_caches(&self) -> String {
        self.settle();
        let mut text = Vec::new();
        for cache in &self.caches {
            cache.set_nonblocking(true).expect("it can be asked");
            while let Ok((mut stream, _)) = cache.accept() {
                stream.set_nonblocking(true).expect("it can be asked");
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
        String::from_utf8(text).expect("text")
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

/// A cache at which no connection comes up until [`FullCache::make_room`]: its queue of connections
/// is full.
struct FullCache {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullCache {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a free port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(stream);
        }
        FullCache { listener, queued }
    }

    /// Takes all that were queued, and waits until the program's own connection is up: the kernel
    /// asks again within 3 s.
    fn make_room(listener: &TcpListener, queued: usize) {
        (0..queued).for_each(|_| drop(accept(listener)));
        let mut next = [PollFd::new(listener, PollFlags::IN)];
        let timeout = Timespec {
            tv_sec: TEST_TIMEOUT.as_secs() as i64,
            tv_nsec: 0,
        };
        assert_eq!(
            poll(&mut next, Some(&timeout)),
            Ok(1),
            "the program's connection comes up"
        );
    }
}

/// A request on its way to a cache whose connection comes up during the stall; what came there.
fn over_a_late_connection(name: &str, d: u64, closes: bool) -> String {
    let FullCache { listener, queued } = FullCache::new();
    let setup = Setup::new(name, vec![listener]);
    let client = setup.client(&read_command(1, d));
    setup.settle();
    let mut kept = Some(client);
    setup.stalled(|| {
        if closes {
            kept = None;
        }
        FullCache::make_room(&setup.caches[0], queued.len());
    });
    let came = setup.received_by_caches();
    drop((kept, queued));
    came
}

/// A request that comes during the stall; what came to its cache.
fn as_a_first_attempt(name: &str, d: u64, closes: bool) -> String {
    let setup = Setup::new(name, vec![listen()]);
    let client = setup.client(b"");
    setup.settle();
    let mut kept = Some(client);
    setup.stalled(|| {
        let client = kept.as_mut().expect("it is there");
        client
            .write_all(&read_command(1, d))
            .expect("it takes commands");
        if closes {
            std::thread::sleep(Duration::from_millis(200));
            kept = None;
        }
    });
    let came = setup.received_by_caches();
    drop(kept);
    came
}

/// A request whose second attempt falls due during the stall; what came to the caches besides the
/// first attempt.
fn as_a_second_attempt(name: &str, command: &[u8], closes: bool) -> String {
    let setup = Setup::new(name, vec![listen(), listen()]);
    let client = setup.client(command);
    let mut first = None;
    wait("the first attempt", || {
        setup.caches.iter().any(has_connection)
    });
    for cache in setup.caches.iter().filter(|cache| has_connection(cache)) {
        let mut stream = accept(cache);
        read_until(&mut stream, ",d=");
        first = Some(stream);
    }
    let mut kept = Some(client);
    setup.stalled(|| {
        if closes {
            kept = None;
        }
    });
    let came = setup.received_by_caches();
    drop((kept, first));
    came
}

fn has_connection(listener: &TcpListener) -> bool {
    let mut next = [PollFd::new(listener, PollFlags::IN)];
    poll(&mut next, Some(&Timespec::default())) == Ok(1)
}

/// The ways of an attempt: of a request as it comes, on a connection that came up late, as a hedge,
/// as a retry.
fn by_each_kind_of_attempt(name: &str, closes: bool, d: u64) -> [String; 4] {
    let second = d.min(800);
    [
        as_a_first_attempt(&format!("{name}-first"), d, closes),
        over_a_late_connection(&format!("{name}-late"), d, closes),
        as_a_second_attempt(&format!("{name}-hedge"), &read_command(1, second), closes),
        as_a_second_attempt(&format!("{name}-retry"), &write_command(1, second), closes),
    ]
}

#[test]
fn request_of_a_client_that_disconnected_during_a_stall_is_not_forwarded() {
    assert_eq!(
        by_each_kind_of_attempt("closed", true, LONG),
        ["", "", "", ""]
    );
}

#[test]
fn request_that_timed_out_during_a_stall_is_not_forwarded() {
    assert_eq!(
        by_each_kind_of_attempt("over", false, SHORT),
        ["", "", "", ""]
    );
}
