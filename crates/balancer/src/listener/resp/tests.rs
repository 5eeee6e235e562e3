//! Client connections on real sockets: each test says which are ready, and when.

mod admission;
mod back_pressure;
mod commands;
mod disconnects;
mod idle_reaper;
mod shutdown;

use crate::lifecycle::{LifecyclePolicy, ListenerMode};
use crate::listener::resp::RespListener;
use crate::poll::{EventSource, Poll, Readiness};
use crate::poll_timestamps::PollTimestamps;
use crate::resp::write_command;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const SERVING: LifecyclePolicy = LifecyclePolicy {
    state: "serving",
    ready: true,
    listener_mode: ListenerMode::Open,
    closes_idle: false,
    accepts_commands: true,
};
const DRAINING: LifecyclePolicy = LifecyclePolicy {
    ready: false,
    closes_idle: true,
    ..SERVING
};

/// A listener for this many connections, and a way to connect to it.
fn start_listener(most: usize) -> (RespListener, impl Fn() -> TcpStream) {
    let poll = Poll::new().expect("a poller");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listener = RespListener::listen(&poll, listener, most, SERVING, PollTimestamps::start(0))
        .expect("it listens");
    let address = listener
        .listener
        .as_ref()
        .unwrap()
        .socket()
        .local_addr()
        .unwrap();
    let connect = move || {
        let client = TcpStream::connect(address).expect("it takes clients");
        // A missing end fails, and does not hang.
        client
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time-out");
        // What is written is there at once, also behind something small.
        client.set_nodelay(true).expect("no delay");
        client
    };
    (listener, connect)
}

/// The connections that do not leave: to the others nothing more is sent, and they close once the
/// client has.
fn open_connections(listener: &RespListener) -> Vec<u64> {
    listener
        .connections
        .iter()
        .filter(|(_, c)| c.close_by.is_none())
        .map(|(number, _)| *number)
        .collect()
}

/// A connection is ready for reading.
fn readable(number: u64) -> Readiness {
    Readiness {
        source: EventSource::Client(number),
        readable: true,
        writable: false,
    }
}

/// Bytes that a client sends as a read.
fn read_request(timeout_ms: u64) -> Vec<u8> {
    let fields = format!("c=read,d={timeout_ms}");
    write_command(&[b"C.GET", b"a", b"1", fields.as_bytes()])
}
