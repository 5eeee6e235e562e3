//! Retries of keyed writes within and after the deduplication window.

use super::harness::{
    DEFAULTS, Harness, Options, UPSTREAM_0, UPSTREAM_1, read_command, read_to_end,
};
use crate::timers::MS;

#[test]
fn keyed_write_is_not_retried_if_its_window_ends_during_a_slow_connect() {
    let mut harness = Harness::new(Options {
        window_ms: 2_000,
        ..DEFAULTS
    });
    harness.send_request("put", 50_000);
    harness.turn(&[UPSTREAM_0]);
    let mut cache = harness.accept(0);
    let sent_at = harness.event_loop.clock.now();
    read_command(&mut cache);
    // The write may have run, so a retry is allowed only within the deduplication window.
    drop(cache);
    harness.turn(&[UPSTREAM_0]);
    assert_eq!(
        (
            harness.event_loop.counters.attempts_reset,
            harness.event_loop.counters.upstream_opened
        ),
        (1, 2),
        "the write is retried within its window"
    );
    let mut cache = harness.accept(0);
    let connected = harness.wait(UPSTREAM_1);
    harness.turn_at(sent_at + 2_000 * MS, connected);
    assert_eq!(read_to_end(&mut cache), "");
    harness.expect_answer(0, "-");
}

#[test]
fn keyed_write_whose_window_is_shorter_than_its_latency_is_sent_once() {
    let mut harness = Harness::new(Options {
        window_ms: 1,
        ..DEFAULTS
    });
    harness.send_request("put", 50_000);
    let mut unsent = harness.accept(0);
    // The first attempt ends before its connection is established. It has not run, so the second
    // attempt counts as the first.
    harness.run_until(|event_loop| event_loop.counters.attempts_connect_failed == 1);
    assert_eq!(read_to_end(&mut unsent), "");
    let mut cache = harness.accept(0);
    harness.turn(&[UPSTREAM_1]);
    let sent_at = harness.event_loop.clock.now();
    read_command(&mut cache);
    drop(cache);
    while harness.event_loop.clock.now() < sent_at + MS {}
    harness.turn(&[UPSTREAM_1]);
    assert_eq!(
        (
            harness.event_loop.counters.attempts_reset,
            harness.event_loop.counters.upstream_opened
        ),
        (1, 2),
        "a write that may have run is not retried"
    );
    harness.expect_answer(0, "-");
}
