//! Clients that disconnect while their requests are open.

use super::harness::{CLIENT_0, DEFAULTS, Harness, Options, UPSTREAM_0, read_to_end};
use crate::poll::EventSource;
use crate::resp::write_command;
use crate::timers::MS;
use rstest::rstest;
use socket2::SockRef;
use std::io::Write;
use std::time::Duration;

#[rstest]
fn request_is_not_forwarded_if_the_client_disconnects_in_the_turn_of_the_connect(
    #[values([UPSTREAM_0, CLIENT_0], [CLIENT_0, UPSTREAM_0])] order: [EventSource; 2],
    #[values("read", "put", "once")] class: &str,
) {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request(class, 50_000);
    let mut cache = harness.accept(0);
    drop(harness.clients.pop());
    harness.turn(&order);
    assert_eq!(read_to_end(&mut cache), "");
}

#[rstest]
fn request_is_not_forwarded_if_the_client_disconnects_during_a_slow_connect(
    #[values(true, false)] cancel: bool,
    #[values(true, false)] reset: bool,
    #[values("read", "put", "once")] class: &str,
) {
    let mut harness = Harness::new(Options { cancel, ..DEFAULTS });
    harness.send_request(class, 50_000);
    let mut cache = harness.accept(0);
    let client = harness.clients.pop().unwrap();
    if reset {
        SockRef::from(&client)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(client);
    harness.turn(&[CLIENT_0]);
    if !cancel {
        harness.turn(&[UPSTREAM_0]);
    }
    assert_eq!(read_to_end(&mut cache), "");
    assert_eq!(
        (
            harness.event_loop.counters.client_disconnects,
            harness.event_loop.counters.unsent_after_disconnect
        ),
        (1, 1)
    );
    assert!(
        harness
            .event_loop
            .counters
            .longest_unsent_after_disconnect_ms
            < 300,
        "the time from the disconnect until the connection was established"
    );
    assert_eq!(harness.event_loop.attempt_tracker.open_requests(), 0);
}

#[test]
fn disconnect_in_the_turn_of_a_failed_attempt_prevents_the_retry() {
    let mut harness = Harness::new(Options {
        caches: 2,
        ..DEFAULTS
    });
    let (_, mut cache) = harness.forward_request("read", 50_000);
    cache.write_all(b"-BUSY\r\n").unwrap();
    drop(harness.clients.pop());
    harness.turn(&[UPSTREAM_0, CLIENT_0]);
    assert_eq!(
        (
            harness.event_loop.counters.attempts_rejected,
            harness.event_loop.counters.upstream_opened,
            harness.event_loop.attempt_tracker.open_requests()
        ),
        (1, 1, 0)
    );
}

#[rstest]
fn disconnect_before_the_hedge_or_in_its_turn_prevents_the_hedge(
    #[values(true, false)] cancel: bool,
    #[values(true, false)] in_turn_of_hedge: bool,
) {
    let mut harness = Harness::new(Options {
        caches: 2,
        cancel,
        ..DEFAULTS
    });
    // The hedge is due after half of the client timeout.
    let (_, _cache) = harness.forward_request("read", 400);
    drop(harness.clients.pop());
    let hedge_at = harness.event_loop.clock.now() + 200 * MS;
    if in_turn_of_hedge {
        let disconnect = harness.wait(CLIENT_0);
        harness.turn_at(hedge_at, disconnect);
    } else {
        harness.turn(&[CLIENT_0]);
        while harness.event_loop.clock.now() < hedge_at {
            harness.turn(&[]);
        }
    }
    harness.turn(&[]);
    assert_eq!(
        (
            harness.event_loop.counters.attempts,
            harness.event_loop.counters.hedges,
            harness.event_loop.counters.client_disconnects
        ),
        (1, 0, 1)
    );
}

#[test]
fn a_thousand_disconnects_in_one_turn_release_all_requests() {
    let mut harness = Harness::new(DEFAULTS);
    for client in 0..8 {
        harness.connect_client();
        let command = |n| {
            write_command(&[
                b"C.GET",
                b"a",
                format!("{client}-{n}").as_bytes(),
                b"c=read,d=50000",
            ])
        };
        let commands: Vec<u8> = (0..125).flat_map(command).collect();
        harness.clients[client].write_all(&commands).unwrap();
        harness.turn(&[EventSource::Client(client as u64)]);
    }
    assert_eq!(harness.event_loop.attempt_tracker.open_requests(), 1_000);
    assert!(
        harness.event_loop.counters.attempts < 100,
        "most requests are queued, but {} attempts were started",
        harness.event_loop.counters.attempts
    );
    harness.clients.clear();
    let all_clients: Vec<EventSource> = (0..8).map(EventSource::Client).collect();
    harness.turn(&all_clients);
    let attempts = harness.event_loop.counters.attempts;
    assert_eq!(
        (
            harness.event_loop.attempt_tracker.open_requests(),
            harness.event_loop.attempt_tracker.buffered_bytes(),
            harness.event_loop.counters.client_disconnects
        ),
        (0, 0, 1_000)
    );
    let disconnected_at = harness.event_loop.clock.now();
    // The engine processes its queue ten times a second.
    while harness.event_loop.clock.now() < disconnected_at + 300 * MS {
        harness.turn(&[]);
    }
    assert_eq!(
        harness.event_loop.counters.attempts, attempts,
        "no attempt is started after the disconnects"
    );
}
