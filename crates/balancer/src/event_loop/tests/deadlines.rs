//! Attempts that meet the deadline of their request.

use super::harness::{
    DEFAULTS, Harness, Options, UPSTREAM_0, VALUE, forwarded_timeout_ms, read_to_end, received,
};
use crate::timers::MS;
use std::io::Write;

#[test]
fn connection_that_is_established_at_the_deadline_is_not_used() {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request("once", 1_000);
    let mut cache = harness.accept(0);
    let up = harness.wait(UPSTREAM_0);
    let asked = harness.event_loop.clock.now();
    harness.turn_at(asked + 1_020 * MS, up);
    assert_eq!(read_to_end(&mut cache), "");
    assert_eq!(
        harness.event_loop.attempt_tracker.open_requests(),
        0,
        "answered as well"
    );
    harness.expect_answer(0, "-");
}

#[test]
fn attempt_on_a_late_connection_carries_the_time_that_is_left() {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request("read", 50_000);
    let mut cache = harness.accept(0);
    let asked = harness.event_loop.clock.now();
    while harness.event_loop.clock.now() < asked + 50 * MS {}
    harness.turn(&[UPSTREAM_0]);
    let d = forwarded_timeout_ms(&mut cache);
    assert!(d <= 49_950, "{d}");
}

#[test]
fn attempt_that_times_out_unsent_counts_as_a_connect_failure() {
    let mut harness = Harness::new(Options {
        window_ms: 100,
        ..DEFAULTS
    });
    // A keyed write's first attempt has three quarters of the window.
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
fn answer_in_the_turn_of_the_deadline_is_the_only_one() {
    let mut harness = Harness::new(DEFAULTS);
    let (_, mut cache) = harness.forwarded("once", 1_000);
    cache.write_all(VALUE).unwrap();
    let answer = harness.wait(UPSTREAM_0);
    let asked = harness.event_loop.clock.now();
    // The answer, the attempt's timeout and the engine's deadline, all due.
    harness.turn_at(asked + 1_020 * MS, answer);
    harness.turn(&[]);
    assert_eq!(received(&mut harness.clients[0]), "$1\r\nv\r\n");
    assert_eq!(
        (
            harness.event_loop.counters.served,
            harness.event_loop.counters.failed,
            harness.event_loop.attempt_tracker.open_requests()
        ),
        (1, 0, 0)
    );
}
