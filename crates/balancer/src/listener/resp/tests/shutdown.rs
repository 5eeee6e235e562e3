//! Tests of connections during a drain and a shutdown.

use super::{DRAINING, open_connections, read_request, readable, start_listener};
use crate::counters::Counters;
use crate::lifecycle::{LifecyclePolicy, ListenerMode};
use crate::listener::CLOSE_TIMEOUT;
use crate::listener::resp::ListenerEvent;
use crate::listener::resp::connection_admission::ACCEPT_MAX;
use crate::listener::resp::idle_reaper::IDLE_TIMEOUT_DRAINING;
use crate::poll::{EventSource, Readiness};
use crate::request::FinalAnswer;
use crate::resp::VALUE_MAX;
use rstest::rstest;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Reason why a connection is closed behind a response.
#[derive(Clone, Copy, Debug)]
enum CloseReason {
    FramingLost,
    Drain,
    CommandsRejected,
}

/// How the arrival of a request coincides with the start of a shutdown.
#[derive(Clone, Copy, Debug)]
enum RequestTiming {
    FirstOnNewConnection,
    InTwoParts,
    BehindAResponse,
}

#[test]
fn silent_client_does_not_keep_its_connection_open_when_the_listener_closes() {
    let (mut listener, connect) = start_listener(9);
    let mut counters = Counters::default();
    listener.apply_policy(DRAINING, 0, &mut Vec::new(), &mut counters);
    let _first = connect();
    listener.accept(1, &mut counters);
    assert!(!listener.connections.is_empty());
    let _second = connect();
    listener.apply_policy(
        LifecyclePolicy {
            listener_mode: ListenerMode::Closed,
            ..DRAINING
        },
        2,
        &mut Vec::new(),
        &mut counters,
    );
    assert!(listener.connections.is_empty());
    assert_eq!(counters.clients_accepted, 2);
}

#[test]
fn idle_clients_and_clients_with_endless_commands_are_closed_while_draining() {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    listener.apply_policy(DRAINING, 0, &mut events, &mut counters);
    let _idle = connect();
    let mut endless = connect();
    listener.accept(1, &mut counters);
    listener.reap(IDLE_TIMEOUT_DRAINING, &mut events, &mut counters);
    assert_eq!(
        listener.connections.len(),
        2,
        "the client may be about to send a command"
    );
    // The client sends a further command with each response, so that a request is always open.
    let command = read_request(900000);
    endless.write_all(&command.repeat(2)).unwrap();
    listener.reap(IDLE_TIMEOUT_DRAINING + 1, &mut events, &mut counters);
    assert_eq!(
        listener.connections.keys().copied().collect::<Vec<_>>(),
        [1],
        "the idle connection is closed"
    );
    let ready = readable(1);
    listener.handle_ready(IDLE_TIMEOUT_DRAINING + 2, ready, &mut events, &mut counters);
    assert_eq!(events.len(), 2);
    listener.apply_policy(
        LifecyclePolicy {
            accepts_commands: false,
            ..DRAINING
        },
        IDLE_TIMEOUT_DRAINING + 3,
        &mut events,
        &mut counters,
    );
    endless.write_all(&command).unwrap();
    listener.handle_ready(IDLE_TIMEOUT_DRAINING + 4, ready, &mut events, &mut counters);
    assert_eq!(events.len(), 2, "no further command is accepted");
    for event in std::mem::take(&mut events) {
        let ListenerEvent::Request(incoming) = event else {
            panic!("expected a request")
        };
        assert!(
            !listener.connections.is_empty(),
            "accepted requests are answered before the connection is closed"
        );
        listener.answer(incoming.answer_token, FinalAnswer::Failed);
        listener.flush(1, IDLE_TIMEOUT_DRAINING + 5, &mut Vec::new(), &mut counters);
    }
    assert!(open_connections(&listener).is_empty());
    let mut text = String::new();
    endless.read_to_string(&mut text).unwrap();
    assert_eq!(
        text,
        "-ERR failed\r\n".repeat(2) + "-BUSY\r\n",
        "the command that arrived too late is rejected with a response"
    );
    drop(endless);
    listener.handle_ready(IDLE_TIMEOUT_DRAINING + 6, ready, &mut events, &mut counters);
    assert!(listener.connections.is_empty());
}

#[rstest]
fn response_arrives_complete_even_if_the_client_sends_more_behind_the_close(
    #[values(
        CloseReason::FramingLost,
        CloseReason::Drain,
        CloseReason::CommandsRejected
    )]
    reason: CloseReason,
) {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    // With a small receive buffer most of the response is still in transit when the connection is
    // closed.
    SockRef::from(&client).set_recv_buffer_size(4_096).unwrap();
    listener.accept(0, &mut counters);
    let command = read_request(9);
    let behind: &[u8] = if matches!(reason, CloseReason::FramingLost) {
        b"*x\r\n"
    } else {
        b""
    };
    client.write_all(&[&command[..], behind].concat()).unwrap();
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: true,
    };
    listener.handle_ready(0, ready, &mut events, &mut counters);
    let Some(ListenerEvent::Request(incoming)) = events.pop() else {
        panic!("expected a request")
    };
    listener.answer(
        incoming.answer_token,
        FinalAnswer::Served(vec![b'v'; VALUE_MAX]),
    );
    listener.flush(0, 0, &mut events, &mut counters);
    match reason {
        CloseReason::FramingLost => {}
        CloseReason::Drain => listener.apply_policy(DRAINING, 1, &mut events, &mut counters),
        CloseReason::CommandsRejected => listener.apply_policy(
            LifecyclePolicy {
                accepts_commands: false,
                ..DRAINING
            },
            1,
            &mut events,
            &mut counters,
        ),
    }
    // These commands arrive after the close and are not read.
    client.write_all(&command.repeat(3)).unwrap();
    let mut received = Vec::new();
    client
        .set_read_timeout(Some(Duration::from_millis(1)))
        .unwrap();
    let mut now = 1;
    let end = loop {
        // The kernel sends more whenever the client reads; the event loop has its turns meanwhile.
        listener.handle_ready(now, ready, &mut events, &mut counters);
        now += CLOSE_TIMEOUT / 100_000;
        listener.reap(now, &mut events, &mut counters);
        let mut buffer = [0; 2_048];
        match client.read(&mut buffer) {
            Ok(0) => break Ok(()),
            Ok(n) => received.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => break Err(e.kind()),
        }
    };
    let error = if behind.is_empty() { 0 } else { b"-ERR ".len() };
    assert!(
        received.len() >= format!("${VALUE_MAX}\r\n").len() + VALUE_MAX + 2 + error,
        "received {} bytes: {end:?}",
        received.len()
    );
    assert_eq!(end, Ok(()), "the connection ends without a reset");
    assert!(events.is_empty(), "{events:?}");
}

#[test]
fn clients_in_the_backlog_are_accepted_and_answered_when_the_listener_closes() {
    let (mut listener, connect) = start_listener(200);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    // More clients than are accepted in one turn.
    let mut clients: Vec<TcpStream> = (0..ACCEPT_MAX + 36).map(|_| connect()).collect();
    for client in &mut clients {
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    }
    listener.apply_policy(
        LifecyclePolicy {
            listener_mode: ListenerMode::Closed,
            ..DRAINING
        },
        0,
        &mut events,
        &mut counters,
    );
    assert_eq!(counters.clients_accepted, 100);
    for mut client in clients {
        let mut text = String::new();
        client.read_to_string(&mut text).unwrap();
        assert_eq!(text, "-LOADING serving\r\n");
    }
}

#[rstest]
fn request_that_arrives_during_the_start_of_a_shutdown_is_accepted(
    #[values(
        RequestTiming::FirstOnNewConnection,
        RequestTiming::InTwoParts,
        RequestTiming::BehindAResponse
    )]
    timing: RequestTiming,
    #[values(ListenerMode::Open, ListenerMode::HandedOver)] listener_mode: ListenerMode,
) {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    listener.accept(0, &mut counters);
    let command = read_request(9);
    let ready = readable(0);
    let ending = LifecyclePolicy {
        listener_mode,
        ..DRAINING
    };
    match timing {
        // The connection was just accepted, and nothing is read yet.
        RequestTiming::FirstOnNewConnection => {
            listener.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(&command).unwrap();
        }
        RequestTiming::InTwoParts => {
            // The connection has sent a command before.
            client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
            listener.handle_ready(0, ready, &mut events, &mut counters);
            let (half, rest) = command.split_at(command.len() / 2);
            client.write_all(half).unwrap();
            listener.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(rest).unwrap();
        }
        // The request arrives after the check for unread input, and before the response after which
        // the connection would be closed.
        RequestTiming::BehindAResponse => {
            client.write_all(&command).unwrap();
            listener.handle_ready(1, ready, &mut events, &mut counters);
            let Some(ListenerEvent::Request(incoming)) = events.pop() else {
                panic!("expected a request")
            };
            listener.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(&command).unwrap();
            listener.answer(incoming.answer_token, FinalAnswer::Served(b"v".to_vec()));
            listener.flush(0, 1, &mut events, &mut counters);
        }
    }
    listener.handle_ready(2, ready, &mut events, &mut counters);
    let Some(ListenerEvent::Request(incoming)) = events.pop() else {
        panic!("expected a request")
    };
    listener.answer(incoming.answer_token, FinalAnswer::Served(b"w".to_vec()));
    listener.flush(0, 2, &mut events, &mut counters);
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert!(
        text.ends_with("$1\r\nw\r\n"),
        "{text:?}: expected the response and then the end of the connection"
    );
    assert!(open_connections(&listener).is_empty());
}

#[test]
fn silent_client_is_closed_during_shutdown() {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let _client = connect();
    listener.accept(0, &mut counters);
    listener.apply_policy(DRAINING, 1, &mut events, &mut counters);
    listener.reap(IDLE_TIMEOUT_DRAINING - 1, &mut events, &mut counters);
    assert!(!listener.connections.is_empty());
    listener.reap(IDLE_TIMEOUT_DRAINING, &mut events, &mut counters);
    assert!(listener.connections.is_empty());
}
