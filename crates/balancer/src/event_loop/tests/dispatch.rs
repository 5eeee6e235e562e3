//! Attempts that wait for a recent poll.

use super::harness::{DEFAULTS, Harness, UPSTREAM_0, VALUE, local, read_command, read_to_end};
use crate::poll::sockets::is_open_without_input;
use crate::poll::{EventSource, PollOutcome};
use crate::poll_timestamps::PollTimestamps;
use crate::resp::write_command;
use crate::timers::MS;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::time::Duration;

#[rstest]
fn postponed_attempt_that_is_reported_again_is_sent_once(
    #[values("read", "put", "once")] class: &str,
) {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request(class, 50_000);
    let up = harness.wait(UPSTREAM_0);
    for _ in 0..3 {
        harness.event_loop.poll_timestamps =
            PollTimestamps::start(harness.event_loop.clock.now().saturating_sub(1_000 * MS));
        harness.event_loop.postponed_turns = 0;
        harness
            .event_loop
            .process_ready(&mut vec![up], PollOutcome::Completed);
    }
    assert_eq!(
        harness.event_loop.connected_jobs.len(),
        1,
        "it waits once, however often it is reported"
    );
    harness.turn(&[UPSTREAM_0]);
    let mut cache = harness.accept(0);
    read_command(&mut cache);
    cache.set_nonblocking(true).unwrap();
    assert!(
        is_open_without_input(&cache),
        "nothing comes behind the command"
    );
}

#[test]
fn attempt_after_a_stall_waits_for_the_next_poll_which_reports_the_drain() {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request("read", 50_000);
    harness.turn(&[UPSTREAM_0]);
    let mut cache = harness.accept(0);
    read_command(&mut cache);
    cache.write_all(VALUE).unwrap();
    harness.turn(&[UPSTREAM_0]);
    harness.run_until(|event_loop| event_loop.counters.discovery_calls == 1);
    harness.turn(&[EventSource::Discovery(0)]);
    // The connection rests until then.
    std::thread::sleep(Duration::from_millis(12));
    let client = harness.connect_client();
    harness.clients[client]
        .write_all(&write_command(&[b"C.GET", b"a", b"2", b"c=read,d=50000"]))
        .unwrap();
    let asks = harness.wait(EventSource::Client(client as u64));
    harness
        .event_loop
        .poll_timestamps
        .prompt(harness.event_loop.clock.now());
    harness
        .event_loop
        .process_ready(&mut vec![asks], PollOutcome::Completed);
    // A stall between the poll and the decision; discovery lists the cache as draining meanwhile.
    harness.event_loop.poll_timestamps =
        PollTimestamps::start(harness.event_loop.clock.now().saturating_sub(1_000 * MS));
    harness.event_loop.run_decisions();
    assert_eq!(
        (
            harness.event_loop.counters.attempts_postponed,
            harness.event_loop.connected_jobs.len()
        ),
        (1, 1)
    );
    let dial = local(&harness.caches[0]);
    let hosts = json!([{"host": "s-0", "dial": dial, "health": "terminating"}]);
    harness.send_list(&json!({"seq": 8, "hosts": hosts}).to_string());
    harness.turn(&[EventSource::Discovery(0)]);
    assert_eq!(
        read_to_end(&mut cache),
        "",
        "the connection that the attempt had is closed unused"
    );
}
