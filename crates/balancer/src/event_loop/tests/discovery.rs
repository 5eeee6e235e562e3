//! Endpoint updates and discovery calls that coincide with requests.

use super::harness::{
    DEFAULTS, Harness, Options, UPSTREAM_0, UPSTREAM_1, VALUE, local_address, read_command,
    read_to_end,
};
use crate::event_loop::limits::DescriptorBudget;
use crate::poll::{EventSource, PollOutcome};
use routing::Event;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

#[test]
fn decision_before_a_drain_update_opens_no_connection_after_it() {
    let mut harness = Harness::new(Options {
        caches: 2,
        ..DEFAULTS
    });
    let (first, mut cache) = harness.forward_request("read", 50_000);
    cache.write_all(b"-BUSY\r\n").unwrap();
    let other = 1 - first;
    harness.turn(&[EventSource::Discovery(0)]);
    let dial = local_address(&harness.caches[other]);
    let host = json!({"host": format!("s-{other}"), "dial": dial, "health": "terminating"});
    harness.send_list(&json!({"seq": 8, "hosts": [host]}).to_string());
    // One turn reports the outcome that makes the other cache the next candidate, and then the
    // update that this cache is draining.
    harness.turn(&[UPSTREAM_0, EventSource::Discovery(0)]);
    assert_eq!(
        (
            harness.event_loop.counters.attempts_rejected,
            harness.event_loop.counters.discovery_messages
        ),
        (1, 1)
    );
    harness.caches[other].set_nonblocking(true).unwrap();
    assert!(
        harness.caches[other].accept().is_err(),
        "no connection to the draining cache is opened"
    );
}

#[rstest]
fn job_in_flight_to_a_former_address_ends_there(#[values(false, true)] connected: bool) {
    let mut harness = Harness::new(Options {
        caches: 1,
        ..DEFAULTS
    });
    harness.send_request("read", 50_000);
    let mut former = harness.accept(0);
    if connected {
        harness.turn(&[UPSTREAM_0]);
        read_command(&mut former);
    }
    harness
        .caches
        .push(TcpListener::bind("127.0.0.1:0").unwrap());
    harness.turn(&[EventSource::Discovery(0)]);
    let dial = local_address(&harness.caches[1]);
    let moved = json!({"seq": 8, "hosts": [{"host": "s-0", "dial": dial}]});
    harness.send_list(&moved.to_string());
    harness.turn(&[EventSource::Discovery(0)]);
    if connected {
        // A job in progress may complete at the former address; its connection is not reused.
        former.write_all(VALUE).unwrap();
        harness.turn(&[UPSTREAM_0]);
        harness.expect_answer(0, "$1\r\nv\r\n");
    }
    assert_eq!(read_to_end(&mut former), "");
    if connected {
        harness.send_request("read", 50_000);
    }
    let mut cache = harness.accept(1);
    harness.turn(&[UPSTREAM_1]);
    assert!(read_command(&mut cache).contains("C.GET"));
}

#[rstest]
#[case::empty_line("HTTP/1.1 200 OK\r\n\r\n\n", true)]
#[case::head("HTTP/1.1 200 OK\r\n\r\n", false)]
#[case::busy("HTTP/1.1 503 Service Unavailable\r\n\r\n\n", false)]
fn established_watch_without_updates_clears_former_failures(
    #[case] text: &str,
    #[case] established: bool,
) {
    let mut harness = Harness::new(DEFAULTS);
    harness.run_until(|event_loop| event_loop.counters.discovery_calls == 1);
    harness.turn(&[EventSource::Discovery(0)]);
    let (mut watch, _) = harness.discovery.accept().unwrap();
    watch.write_all(text.as_bytes()).unwrap();
    let ready = harness.wait(EventSource::Discovery(0));
    harness
        .event_loop
        .process_ready(&mut vec![ready], PollOutcome::Completed);
    assert_eq!(
        harness
            .event_loop
            .pending_events
            .contains(&Event::DiscoveryAvailable),
        established
    );
    harness.event_loop.run_decisions();
    // A second empty line does not repeat the event.
    if established {
        watch.write_all(b"\n").unwrap();
        let ready = harness.wait(EventSource::Discovery(0));
        harness
            .event_loop
            .process_ready(&mut vec![ready], PollOutcome::Completed);
        assert!(
            !harness
                .event_loop
                .pending_events
                .contains(&Event::DiscoveryAvailable)
        );
    }
}

/// Guards against idle clients that use up all descriptors, so that a failed discovery call could
/// not be repeated. Some descriptors are reserved for discovery.
#[test]
fn idle_clients_at_the_limit_leave_discovery_its_descriptor() {
    const SOCKETS: usize = 64;
    let mut harness = Harness::with_config(DEFAULTS, |config| config.descriptors_max = SOCKETS);
    let clients_max = DescriptorBudget::new(SOCKETS, 0).clients;
    harness.run_until(|event_loop| event_loop.counters.discovery_calls == 1);
    harness.turn(&[EventSource::Discovery(0)]);
    let (watch, _) = harness.discovery.accept().unwrap();
    let address = harness
        .event_loop
        .listener
        .address()
        .expect("the listener is closed");
    let _idle: Vec<TcpStream> = (0..2 * clients_max)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    harness.turn(&[EventSource::Listener]);
    harness.run_until(|event_loop| event_loop.counters.clients_accepted >= clients_max as u64);
    drop(watch);
    let ended = harness.wait(EventSource::Discovery(0));
    harness
        .event_loop
        .process_ready(&mut vec![ended], PollOutcome::Completed);
    harness.event_loop.run_decisions();
    assert_eq!(harness.event_loop.counters.discovery_failed, 1);
    harness.run_until(|event_loop| event_loop.counters.discovery_calls == 2);
    let open =
        harness.event_loop.counters.clients_accepted - harness.event_loop.counters.clients_closed;
    assert!(
        open <= clients_max as u64,
        "{open} clients; maximum {clients_max}"
    );
    assert!(
        clients_max + 8 < SOCKETS,
        "{clients_max} of {SOCKETS} descriptors for clients leave too few for other sockets"
    );
    harness.turn(&[EventSource::Discovery(1)]);
    harness
        .discovery
        .accept()
        .expect("discovery is not called again");
}

#[test]
fn reload_with_another_discovery_address_clears_former_failures() {
    let mut harness = Harness::new(DEFAULTS);
    let now = harness.event_loop.clock.now();
    for (has_changed, address) in [
        (false, local_address(&harness.discovery)),
        (true, local_address(&harness.caches[0])),
    ] {
        let mut new = harness.event_loop.config.clone();
        new.discovery = address.parse().unwrap();
        harness.event_loop.apply_config(new, now);
        assert_eq!(
            harness
                .event_loop
                .pending_events
                .contains(&Event::DiscoveryAvailable),
            has_changed
        );
        harness.event_loop.run_decisions();
    }
}
