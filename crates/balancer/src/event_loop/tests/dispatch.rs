//! Attempts that are postponed until the next poll.

use super::harness::{
    DEFAULTS, Harness, UPSTREAM_0, VALUE, local_address, read_command, read_to_end,
};
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
fn postponed_attempt_that_is_reported_repeatedly_is_sent_once(
    #[values("read", "put", "once")] class: &str,
) {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request(class, 50_000);
    let connected = harness.wait(UPSTREAM_0);
    for _ in 0..3 {
        harness.event_loop.poll_timestamps =
            PollTimestamps::start(harness.event_loop.clock.now().saturating_sub(1_000 * MS));
        harness.event_loop.postponed_turns = 0;
        harness
            .event_loop
            .process_ready(&mut vec![connected], PollOutcome::Completed);
    }
    assert_eq!(
        harness.event_loop.connected_jobs.len(),
        1,
        "the job is queued once, however often its connection is reported"
    );
    harness.turn(&[UPSTREAM_0]);
    let mut cache = harness.accept(0);
    read_command(&mut cache);
    cache.set_nonblocking(true).unwrap();
    assert!(
        is_open_without_input(&cache),
        "something follows the command"
    );
}

#[test]
fn attempt_after_a_stall_is_postponed_until_the_next_poll_and_the_drain_it_reports() {
    let mut harness = Harness::new(DEFAULTS);
    harness.send_request("read", 50_000);
    harness.turn(&[UPSTREAM_0]);
    let mut cache = harness.accept(0);
    read_command(&mut cache);
    cache.write_all(VALUE).unwrap();
    harness.turn(&[UPSTREAM_0]);
    harness.run_until(|event_loop| event_loop.counters.discovery_calls == 1);
    harness.turn(&[EventSource::Discovery(0)]);
    // By then the connection may be reused for the next attempt.
    std::thread::sleep(Duration::from_millis(12));
    let client = harness.connect_client();
    harness.clients[client]
        .write_all(&write_command(&[b"C.GET", b"a", b"2", b"c=read,d=50000"]))
        .unwrap();
    let command = harness.wait(EventSource::Client(client as u64));
    harness
        .event_loop
        .poll_timestamps
        .record_prompt_poll(harness.event_loop.clock.now());
    harness
        .event_loop
        .process_ready(&mut vec![command], PollOutcome::Completed);
    // Simulates a stall between the poll and the decision, during which discovery reports the cache
    // as draining.
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
    let dial = local_address(&harness.caches[0]);
    let hosts = json!([{"host": "s-0", "dial": dial, "health": "terminating"}]);
    harness.send_list(&json!({"seq": 8, "hosts": hosts}).to_string());
    harness.turn(&[EventSource::Discovery(0)]);
    assert_eq!(
        read_to_end(&mut cache),
        "",
        "the connection of the postponed attempt is closed unused"
    );
}
