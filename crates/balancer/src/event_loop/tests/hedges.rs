//! Hedged requests.

use super::harness::{
    DEFAULTS, Harness, Options, UPSTREAM_0, UPSTREAM_1, VALUE, read_command, read_to_end,
    received_so_far,
};
use crate::poll::EventSource;
use rstest::rstest;
use std::io::Write;

#[test]
fn hedge_whose_connection_is_established_after_the_response_is_not_sent() {
    let mut harness = Harness::new(Options {
        caches: 2,
        ..DEFAULTS
    });
    // The hedge is due after half of the client timeout.
    harness.send_request("read", 4_000);
    harness.turn(&[UPSTREAM_0]);
    let (_, mut first) = harness.next_connection();
    harness.run_until(|event_loop| event_loop.counters.hedges == 1);
    let (_, mut second) = harness.next_connection();
    read_command(&mut first);
    first.write_all(VALUE).unwrap();
    harness.turn(&[UPSTREAM_0, UPSTREAM_1]);
    assert_eq!(read_to_end(&mut second), "");
    harness.expect_answer(0, "$1\r\nv\r\n");
    assert_eq!(
        (
            harness.event_loop.counters.served,
            harness.event_loop.attempt_tracker.open_requests()
        ),
        (1, 0)
    );
}

#[rstest]
fn responses_to_a_read_and_its_hedge_in_one_turn_yield_one_answer(
    #[values([UPSTREAM_0, UPSTREAM_1], [UPSTREAM_1, UPSTREAM_0])] order: [EventSource; 2],
    #[values(VALUE, b"-ERR failed\r\n", b"*3\r\n$x")] other: &[u8],
) {
    let mut harness = Harness::new(Options {
        caches: 2,
        cancel: false,
        ..DEFAULTS
    });
    harness.send_request("read", 4_000);
    harness.turn(&[UPSTREAM_0]);
    let (_, mut first) = harness.next_connection();
    harness.run_until(|event_loop| event_loop.counters.hedges == 1);
    let (_, mut second) = harness.next_connection();
    harness.turn(&[UPSTREAM_1]);
    read_command(&mut first);
    read_command(&mut second);
    first.write_all(VALUE).unwrap();
    second.write_all(other).unwrap();
    harness.turn(&order);
    assert_eq!(received_so_far(&mut harness.clients[0]), "$1\r\nv\r\n");
    assert_eq!(
        (
            harness.event_loop.counters.served,
            harness.event_loop.attempt_tracker.open_requests(),
            harness.event_loop.counters.attempts
        ),
        (1, 0, 2)
    );
}
