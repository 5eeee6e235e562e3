//! Graceful shutdown.

use super::harness::{DEFAULTS, Harness, Options, UPSTREAM_0, forwarded_timeout_ms};
use crate::event_loop::EventLoop;
use rstest::rstest;

#[test]
fn request_admitted_during_shutdown_is_answered_before_the_kill() {
    let mut harness = Harness::new(DEFAULTS);
    let now = harness.event_loop.clock.now();
    harness.event_loop.begin_shutdown(now);
    harness.send_request("read", 80_000);
    harness.turn(&[UPSTREAM_0]);
    let mut cache = harness.accept(0);
    let timeout_ms = forwarded_timeout_ms(&mut cache);
    assert!(
        timeout_ms <= 3_600,
        "{timeout_ms} ms; the process may be killed 3.7 s after the shutdown request"
    );
}

#[rstest]
#[case::read("read", "-BUSY\r\n")]
#[case::once("once", "-ERR failed\r\n")]
fn request_admitted_before_shutdown_is_answered_before_the_kill(
    #[case] class: &str,
    #[case] answer: &str,
    #[values(true, false)] cancel: bool,
) {
    let mut harness = Harness::new(Options { cancel, ..DEFAULTS });
    let (_, _cache) = harness.forward_request(class, 80_000);
    harness.begin_shutdown();
    let deadline = harness
        .event_loop
        .lifecycle
        .answer_deadline()
        .expect("the process is not shutting down");
    while harness.event_loop.clock.now() <= deadline {
        harness.turn(&[]);
    }
    harness.turn(&[]);
    harness.expect_answer(0, answer);
    harness.run_until(EventLoop::is_finished);
}

#[test]
fn attempt_connected_during_shutdown_carries_the_time_until_the_kill() {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request("read", 80_000);
    let mut cache = harness.accept(0);
    harness.begin_shutdown();
    harness.turn(&[UPSTREAM_0]);
    let timeout_ms = forwarded_timeout_ms(&mut cache);
    assert!(timeout_ms <= 3_600, "{timeout_ms}");
}

#[test]
fn shutdown_before_any_endpoint_list_answers_open_requests() {
    let mut harness = Harness::new(Options {
        caches: 0,
        ..DEFAULTS
    });
    harness.send_request("once", 1_000);
    harness.begin_shutdown();
    assert_eq!(
        harness.event_loop.attempt_tracker.open_requests(),
        1,
        "the request waits for an endpoint list"
    );
    harness.run_until(|event_loop| event_loop.attempt_tracker.open_requests() == 0);
    harness.expect_answer(0, "-BUSY\r\n");
}
