//! Connections while draining and shutting down.

use super::{DRAINING, open_connections, read_request, readable, start_listener};
use crate::counters::Counters;
use crate::lifecycle::{LifecyclePolicy, ListenerMode};
use crate::listener::CLOSE_TIMEOUT;
use crate::listener::resp::ListenerEvent;
use crate::listener::resp::connection_admission::ACCEPT_MAX;
use crate::listener::resp::idle_reaper::IDLE_DRAINING;
use crate::poll::{EventSource, Readiness};
use crate::request::FinalAnswer;
use crate::resp::VALUE_MAX;
use rstest::rstest;
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Why a connection is closed behind an answer.
#[derive(Clone, Copy, Debug)]
enum Close {
    Garbled,
    Drain,
    NoLongerTaken,
}

/// What crosses the moment in which clients begin to be sent away.
#[derive(Clone, Copy, Debug)]
enum Crosses {
    FirstOnNew,
    InTwoParts,
    BehindAnAnswer,
}

#[test]
fn silent_client_does_not_keep_a_stopped_listener_open() {
    let (mut listener, connect) = start_listener(9);
    let mut counters = Counters::default();
    listener.apply_policy(DRAINING, 0, &mut Vec::new(), &mut counters);
    let _late = connect();
    listener.accept(1, &mut counters);
    assert!(!listener.connections.is_empty());
    let _later = connect();
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
fn idle_and_endless_clients_are_closed_while_draining() {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    listener.apply_policy(DRAINING, 0, &mut events, &mut counters);
    let _idle = connect();
    let mut endless = connect();
    listener.accept(1, &mut counters);
    listener.reap(IDLE_DRAINING, &mut events, &mut counters);
    assert_eq!(listener.connections.len(), 2, "it may be about to ask");
    // More comes whenever something is answered: a command is always open.
    let command = read_request(900000);
    endless.write_all(&command.repeat(2)).unwrap();
    listener.reap(IDLE_DRAINING + 1, &mut events, &mut counters);
    assert_eq!(
        listener.connections.keys().copied().collect::<Vec<_>>(),
        [1],
        "the idle one is closed"
    );
    let ready = readable(1);
    listener.handle_ready(IDLE_DRAINING + 2, ready, &mut events, &mut counters);
    assert_eq!(events.len(), 2);
    listener.apply_policy(
        LifecyclePolicy {
            accepts_commands: false,
            ..DRAINING
        },
        IDLE_DRAINING + 3,
        &mut events,
        &mut counters,
    );
    endless.write_all(&command).unwrap();
    listener.handle_ready(IDLE_DRAINING + 4, ready, &mut events, &mut counters);
    assert_eq!(events.len(), 2, "no further command is taken");
    for event in std::mem::take(&mut events) {
        let ListenerEvent::Request(incoming) = event else {
            panic!("nobody has disconnected")
        };
        assert!(
            !listener.connections.is_empty(),
            "what was taken is answered first"
        );
        listener.answer(incoming.answer_token, FinalAnswer::Failed);
        listener.flush(1, IDLE_DRAINING + 5, &mut Vec::new(), &mut counters);
    }
    assert!(open_connections(&listener).is_empty());
    let mut text = String::new();
    endless.read_to_string(&mut text).unwrap();
    assert_eq!(
        text,
        "-ERR failed\r\n".repeat(2) + "-BUSY\r\n",
        "what came too late is answered too"
    );
    drop(endless);
    listener.handle_ready(IDLE_DRAINING + 6, ready, &mut events, &mut counters);
    assert!(listener.connections.is_empty());
}

#[rstest]
fn answer_arrives_whole_though_more_is_sent_behind_the_close(
    #[values(Close::Garbled, Close::Drain, Close::NoLongerTaken)] close: Close,
) {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    // It takes little at a time: most of the answer is still on its way when the connection is
    // closed.
    SockRef::from(&client).set_recv_buffer_size(4_096).unwrap();
    listener.accept(0, &mut counters);
    let command = read_request(9);
    let behind: &[u8] = if matches!(close, Close::Garbled) {
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
        panic!("it is taken")
    };
    listener.answer(
        incoming.answer_token,
        FinalAnswer::Served(vec![b'v'; VALUE_MAX]),
    );
    listener.flush(0, 0, &mut events, &mut counters);
    match close {
        Close::Garbled => {}
        Close::Drain => listener.apply_policy(DRAINING, 1, &mut events, &mut counters),
        Close::NoLongerTaken => listener.apply_policy(
            LifecyclePolicy {
                accepts_commands: false,
                ..DRAINING
            },
            1,
            &mut events,
            &mut counters,
        ),
    }
    // What crosses the close: it is not read as a command any more.
    client.write_all(&command.repeat(3)).unwrap();
    let mut got = Vec::new();
    client
        .set_read_timeout(Some(Duration::from_millis(1)))
        .unwrap();
    let mut now = 1;
    let end = loop {
        // The kernel sends on as the client takes what has come; the loop has its turns meanwhile.
        listener.handle_ready(now, ready, &mut events, &mut counters);
        now += CLOSE_TIMEOUT / 100_000;
        listener.reap(now, &mut events, &mut counters);
        let mut some = [0; 2_048];
        match client.read(&mut some) {
            Ok(0) => break Ok(()),
            Ok(n) => got.extend_from_slice(&some[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => break Err(e.kind()),
        }
    };
    let error = if behind.is_empty() { 0 } else { b"-ERR ".len() };
    assert!(
        got.len() >= format!("${VALUE_MAX}\r\n").len() + VALUE_MAX + 2 + error,
        "{} came: {end:?}",
        got.len()
    );
    assert_eq!(end, Ok(()), "and the end behind it");
    assert!(events.is_empty(), "{events:?}");
}

#[test]
fn clients_in_the_backlog_are_accepted_and_answered_when_the_listener_closes() {
    let (mut listener, connect) = start_listener(200);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    // More than one turn takes.
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
fn request_that_crosses_the_start_of_a_shutdown_is_taken(
    #[values(Crosses::FirstOnNew, Crosses::InTwoParts, Crosses::BehindAnAnswer)] crosses: Crosses,
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
    match crosses {
        // It was just accepted, and nothing is read yet.
        Crosses::FirstOnNew => {
            listener.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(&command).unwrap();
        }
        Crosses::InTwoParts => {
            // It has asked before.
            client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
            listener.handle_ready(0, ready, &mut events, &mut counters);
            let (half, rest) = command.split_at(command.len() / 2);
            client.write_all(half).unwrap();
            listener.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(rest).unwrap();
        }
        // It arrives after the check for unread input, and before the answer that would have
        // the connection end.
        Crosses::BehindAnAnswer => {
            client.write_all(&command).unwrap();
            listener.handle_ready(1, ready, &mut events, &mut counters);
            let Some(ListenerEvent::Request(incoming)) = events.pop() else {
                panic!("it is taken")
            };
            listener.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(&command).unwrap();
            listener.answer(incoming.answer_token, FinalAnswer::Served(b"v".to_vec()));
            listener.flush(0, 1, &mut events, &mut counters);
        }
    }
    listener.handle_ready(2, ready, &mut events, &mut counters);
    let Some(ListenerEvent::Request(incoming)) = events.pop() else {
        panic!("it is taken")
    };
    listener.answer(incoming.answer_token, FinalAnswer::Served(b"w".to_vec()));
    listener.flush(0, 2, &mut events, &mut counters);
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert!(
        text.ends_with("$1\r\nw\r\n"),
        "{text}, and the end, since nothing is owed"
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
    listener.reap(IDLE_DRAINING - 1, &mut events, &mut counters);
    assert!(!listener.connections.is_empty());
    listener.reap(IDLE_DRAINING, &mut events, &mut counters);
    assert!(listener.connections.is_empty());
}
