//! Attempts at the deadline of their request.

use super::harness::{
    DEFAULTS, Harness, Options, UPSTREAM_0, VALUE, forwarded_timeout_ms, read_to_end,
    received_so_far,
};
use crate::timers::MS;
use std::io::Write;

#[test]
fn connection_that_is_established_at_the_deadline_is_not_used() {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request("once", 1_000);
    let mut cache = harness.accept(0);
    let connected = harness.wait(UPSTREAM_0);
    let sent_at = harness.event_loop.clock.now();
    harness.turn_at(sent_at + 1_020 * MS, connected);
    assert_eq!(read_to_end(&mut cache), "");
    assert_eq!(
        harness.event_loop.attempt_tracker.open_requests(),
        0,
        "the request is answered"
    );
    harness.expect_answer(0, "-");
}

#[test]
fn attempt_on_a_slow_connection_carries_the_remaining_time() {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request("read", 50_000);
    let mut cache = harness.accept(0);
    let sent_at = harness.event_loop.clock.now();
    while harness.event_loop.clock.now() < sent_at + 50 * MS {}
    harness.turn(&[UPSTREAM_0]);
    let timeout_ms = forwarded_timeout_ms(&mut cache);
    assert!(timeout_ms <= 49_950, "{timeout_ms}");
}

#[test]
fn attempt_that_times_out_unsent_counts_as_a_connect_failure() {
    let mut harness = Harness::new(Options {
        window_ms: 100,
        ..DEFAULTS
    });
    // The first attempt of a keyed write times out after three quarters of the window.
    harness.send_request("put", 50_000);
    let _cache = harness.accept(0);
    harness.run_until(|event_loop| {
        event_loop.counters.attempts_timeout + event_loop.counters.attempts_connect_failed > 0
    });
    assert_eq!(
        (
            harness.event_loop.counters.attempts_timeout,
            harness.event_loop.counters.attempts_connect_failed
        ),
        (0, 1)
    );
}

#[test]
fn response_in_the_turn_of_the_deadline_yields_one_answer() {
    let mut harness = Harness::new(DEFAULTS);
    let (_, mut cache) = harness.forward_request("once", 1_000);
    cache.write_all(VALUE).unwrap();
    let response = harness.wait(UPSTREAM_0);
    let sent_at = harness.event_loop.clock.now();
    // In this turn the response is ready, and the attempt's and the engine's timers have expired.
    harness.turn_at(sent_at + 1_020 * MS, response);
    harness.turn(&[]);
    assert_eq!(received_so_far(&mut harness.clients[0]), "$1\r\nv\r\n");
    assert_eq!(
        (
            harness.event_loop.counters.served,
            harness.event_loop.counters.failed,
            harness.event_loop.attempt_tracker.open_requests()
        ),
        (1, 0, 0)
    );
}
