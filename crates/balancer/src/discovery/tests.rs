//! Tests of watches that succeed, fail or become silent, and of the lists that arrive over them.

use super::call::{CONNECT_TIMEOUT, FIRST_BYTE_TIMEOUT, SILENCE_TIMEOUT};
use super::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn silence_timeout_depends_on_the_progress_of_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = Poll::new().unwrap();
    for (is_connected, response, failed_after) in [
        (false, "", CONNECT_TIMEOUT),
        (true, "", FIRST_BYTE_TIMEOUT),
        (true, "x", SILENCE_TIMEOUT),
    ] {
        let mut client = DiscoveryClient::new(&poll, listener.local_addr().unwrap(), None);
        let (mut timers, mut counters, mut events) =
            (Timers::default(), Counters::default(), Vec::new());
        assert!(client.watch(0, &mut timers, &mut counters).is_none());
        let mut discovery = listener.accept().unwrap().0;
        if is_connected {
            let ready = Readiness {
                source: EventSource::Discovery(0),
                readable: false,
                writable: true,
            };
            client.handle_ready(0, ready, &mut events, &mut counters);
        }
        if !response.is_empty() {
            discovery.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
            let ready = Readiness {
                source: EventSource::Discovery(0),
                readable: true,
                writable: false,
            };
            client.handle_ready(0, ready, &mut events, &mut counters);
        }
        for (now, failures) in [(failed_after - 1, 0), (failed_after, 1)] {
            client.handle_silence_timeout(now, 0, &mut timers, &mut events, &mut counters);
            assert_eq!(
                events.len(),
                failures,
                "connected: {is_connected}, response: {response:?}, at {now}"
            );
        }
    }
}

#[test]
fn each_message_resets_the_count_of_failed_watches() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let backoff = Some(WatchBackoff::new(500 * MS));
    let mut client = DiscoveryClient::new(
        &Poll::new().unwrap(),
        listener.local_addr().unwrap(),
        backoff,
    );
    let (mut timers, mut counters, mut events) =
        (Timers::default(), Counters::default(), Vec::new());
    // A message with nothing but its version also resets the count.
    for (number, (line, failures)) in [("", 1), ("", 2), ("{\"seq\":3}\n", 1)]
        .into_iter()
        .enumerate()
    {
        assert!(client.watch(0, &mut timers, &mut counters).is_none());
        let mut agent = listener.accept().unwrap().0;
        write!(agent, "HTTP/1.1 200 OK\r\n\r\n{line}").unwrap();
        drop(agent);
        let ready = |readable| Readiness {
            source: EventSource::Discovery(number as u64),
            readable,
            writable: !readable,
        };
        while !matches!(events.last(), Some(DiscoveryEvent::Failed)) {
            client.handle_ready(0, ready(true), &mut events, &mut counters);
            client.take_part(usize::MAX, &mut counters);
        }
        events.clear();
        assert_eq!(client.failures, failures);
    }
    assert_eq!(
        (counters.discovery_messages, counters.discovery_failed),
        (1, 3)
    );
}

#[test]
fn full_list_is_the_last_full_list_with_its_deltas() {
    let list = |text: &str| serde_json::from_str::<EndpointList>(text).unwrap();
    let mut client =
        DiscoveryClient::new(&Poll::new().unwrap(), "127.0.0.1:1".parse().unwrap(), None);
    assert!(client.full_list().is_none());
    client.apply(&list(r#"{"seq":3,"whole":true,"hosts":[{"host":"z"}]}"#));
    client.apply(&list(
        r#"{"seq":4,"whole":true,"hosts":[{"host":"a","dial":"x:1"},{"host":"b"}]}"#,
    ));
    let change = r#"{"seq":5,"hosts":[
        {"host":"b","health":"terminated"},{"host":"a","dial":"y:1"},{"host":"c"}]}"#;
    client.apply(&list(change));
    let full_list = client.full_list().unwrap();
    let hosts: Vec<_> = full_list
        .endpoints
        .iter()
        .map(|h| (h.name.as_str(), h.address.as_str()))
        .collect();
    assert_eq!(
        (full_list.version, full_list.is_full, hosts),
        (5, true, vec![("a", "y:1"), ("c", "")])
    );
}

/// A client with an open watch, its peer, and the events of the watch.
struct Watch {
    client: DiscoveryClient,
    discovery: TcpStream,
    events: Vec<DiscoveryEvent>,
    timers: Timers,
    counters: Counters,
}

impl Watch {
    /// Opens a watch of a client with this list, if one is given.
    fn open(list: Option<&str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client =
            DiscoveryClient::new(&Poll::new().unwrap(), listener.local_addr().unwrap(), None);
        if let Some(list) = list {
            client.apply(&serde_json::from_str(list).unwrap());
        }
        let (mut timers, mut counters) = (Timers::default(), Counters::default());
        assert!(client.watch(0, &mut timers, &mut counters).is_none());
        let discovery = listener.accept().unwrap().0;
        let mut watch = Watch {
            client,
            discovery,
            events: Vec::new(),
            timers,
            counters,
        };
        watch.handle_ready(0, false);
        watch
    }

    fn handle_ready(&mut self, now: Nanos, readable: bool) {
        let ready = Readiness {
            source: EventSource::Discovery(0),
            readable,
            writable: !readable,
        };
        self.client
            .handle_ready(now, ready, &mut self.events, &mut self.counters);
        // Parts of the list are placed before the failure of the watch over which they arrived.
        let mut parts = Vec::new();
        while let Some(event) = self.client.take_part(usize::MAX, &mut self.counters) {
            parts.push(event);
        }
        let failure = self
            .events
            .iter()
            .position(|event| matches!(event, DiscoveryEvent::Failed));
        let position = failure.unwrap_or(self.events.len());
        self.events.splice(position..position, parts);
    }

    /// Writes text as discovery and lets the client read it.
    fn receive(&mut self, now: Nanos, text: &str) {
        self.discovery.write_all(text.as_bytes()).unwrap();
        self.handle_ready(now, true);
    }

    /// Removes all events and returns the version and kind (full or delta) of the complete lists.
    fn take_lists(&mut self) -> Vec<(u64, bool)> {
        let list = |event| match event {
            DiscoveryEvent::ListPart(part) => part.is_last.then_some((part.version, part.is_full)),
            DiscoveryEvent::Established | DiscoveryEvent::Failed => None,
        };
        self.events.drain(..).filter_map(list).collect()
    }
}

const RESPONSE_HEADERS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn lists_arrive_regardless_of_indentation_and_splits() {
    let indented = serde_json::to_string_pretty(&serde_json::json!(
        {"seq": 4, "whole": true, "hosts": [{"host": "a}\n\n{", "dial": "x:1"}, {"host": "b"}]}
    ));
    let text = format!(
        "  {}\n\n\t{{\"seq\":5,\"hosts\":[]}}\n\n\r\n{{\"seq\":6}}\n",
        indented.unwrap()
    );
    for cut in 1..text.len() {
        let mut watch = Watch::open(None);
        watch.receive(0, RESPONSE_HEADERS);
        for part in [&text[..cut], &text[cut..]] {
            watch.receive(0, &format!("{:x}\r\n{part}\r\n", part.len()));
        }
        assert_eq!(
            watch.take_lists(),
            [(4, true), (5, false), (6, false)],
            "cut at {cut}"
        );
    }
}

#[test]
fn empty_line_within_a_message_ends_the_watch() {
    for text in ["{\"seq\":4,\n", "{\"seq\":4,\"hosts\":[{\"host\":\"a\"}\n"] {
        let mut watch = Watch::open(None);
        watch.receive(0, "HTTP/1.1 200 OK\r\n\r\n");
        watch.receive(0, text);
        assert!(
            matches!(watch.events[..], [DiscoveryEvent::Established]),
            "the rest of the message may follow"
        );
        watch.events.clear();
        watch.receive(0, "\n");
        assert!(
            matches!(watch.events[..], [DiscoveryEvent::Failed]),
            "{text}"
        );
    }
}

#[test]
fn older_delta_is_ignored_and_older_full_list_is_accepted() {
    let known = r#"{"seq":41,"whole":true,"hosts":[{"host":"a","health":"terminating"}]}"#;
    for (text, lists) in [
        (r#"{"seq":40,"hosts":[{"host":"a"}]}"#, vec![]),
        (r#"{"seq":41,"hosts":[{"host":"a"}]}"#, vec![(41, false)]),
        (r#"{"seq":42,"hosts":[{"host":"a"}]}"#, vec![(42, false)]),
        // Discovery restarted its count: it can't send a delta from a version that it never had.
        (
            r#"{"seq":3,"whole":true,"hosts":[{"host":"a"}]}{"seq":4}"#,
            vec![(3, true), (4, false)],
        ),
    ] {
        let mut watch = Watch::open(Some(known));
        watch.receive(0, "HTTP/1.1 200 OK\r\n\r\n");
        watch.receive(0, text);
        assert_eq!(watch.take_lists(), lists, "{text}");
        assert_eq!(
            watch.counters.discovery_outdated_lines,
            u64::from(lists.is_empty())
        );
    }
}

#[test]
fn silent_watch_fails_well_before_the_balancer_counts_as_notified() {
    // By the protocol, the balancer counts as notified 6 s after the last byte. Each case is the
    // received text and the progress of the call.
    let cases = [
        ("", "before the response headers"),
        ("HTTP/1.1 2", "in the response headers"),
        (RESPONSE_HEADERS, "between two messages"),
        (
            "HTTP/1.1 200 OK\r\n\r\n{\"seq\":5}\n",
            "between two messages",
        ),
        ("HTTP/1.1 200 OK\r\n\r\n{\"seq\":5", "in a message"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"seq\":5",
            "in a chunk",
        ),
    ];
    for (text, stage) in cases {
        let mut watch = Watch::open(None);
        let received_at = if text.is_empty() { 0 } else { 100 * MS };
        if !text.is_empty() {
            watch.receive(received_at, text);
        }
        assert_eq!(
            watch.client.call.as_ref().unwrap().stage().to_string(),
            stage
        );
        watch.events.clear();
        let mut failed_after = None;
        for now in (0..6_000).map(|ms| received_at + ms * MS) {
            let (timers, events, counters) =
                (&mut watch.timers, &mut watch.events, &mut watch.counters);
            watch
                .client
                .handle_silence_timeout(now, 0, timers, events, counters);
            if !watch.events.is_empty() {
                failed_after = Some(now - received_at);
                break;
            }
        }
        let failed_after =
            failed_after.unwrap_or_else(|| panic!("{stage}: the watch did not fail within 6 s"));
        assert!(
            (2_000 * MS..=4_000 * MS).contains(&failed_after),
            "{stage}: an empty line is due every 2 s"
        );
        assert_eq!(
            (
                watch.counters.discovery_silent,
                watch.counters.longest_discovery_silence_ms
            ),
            (1, failed_after / MS)
        );
    }
}

#[test]
fn long_list_is_taken_in_parts_and_its_version_is_set_with_the_last() {
    let hosts = |range: std::ops::Range<usize>| {
        let hosts: Vec<_> = range
            .map(|n| serde_json::json!({"host": format!("s-{n:04}")}))
            .collect();
        serde_json::Value::from(hosts)
    };
    let full_list = |seq: u64, hosts| {
        serde_json::json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
    };
    let mut client =
        DiscoveryClient::new(&Poll::new().unwrap(), "127.0.0.1:1".parse().unwrap(), None);
    let mut counters = Counters::default();
    let mut take =
        |client: &mut DiscoveryClient, limit| match client.take_part(limit, &mut counters) {
            Some(DiscoveryEvent::ListPart(part)) => (part.endpoints.len(), part.is_last),
            other => panic!("{other:?}"),
        };
    client
        .list
        .push(Message::read(full_list(4, hosts(0..300)).into_bytes()).unwrap());
    assert_eq!(
        take(&mut client, 100),
        (300, true),
        "the first list is returned whole"
    );
    client
        .list
        .push(Message::read(full_list(5, hosts(150..400)).into_bytes()).unwrap());
    assert!(client.has_unprocessed_data());
    assert_eq!(
        [take(&mut client, 100), take(&mut client, 100)],
        [(100, false), (100, false)]
    );
    assert_eq!(client.version(), Some(4));
    // The last 50 of its endpoints, then the first 50 of the 150 endpoints that it does not
    // contain. The remaining 100 follow with the last part.
    assert_eq!(take(&mut client, 100), (100, false));
    assert_eq!(take(&mut client, 100), (100, true));
    assert_eq!(
        (
            client.version(),
            client.list.endpoints().len(),
            client.has_unprocessed_data()
        ),
        (Some(5), 250, false)
    );
    assert!(
        client
            .list
            .endpoints()
            .keys()
            .cloned()
            .eq((150..400).map(|n| format!("s-{n:04}")))
    );
}

#[test]
fn message_split_at_each_byte_is_found_and_text_that_is_no_message_is_named_in_the_error() {
    let text = br#" {"a":"}\"{","b":[{"c":{}}]}{"d":1}"#;
    let message_end = text.len() - br#"{"d":1}"#.len();
    let mut scanner = MessageScanner::default();
    for end in 1..message_end {
        assert_eq!(scanner.next(&text[..end]).unwrap(), None, "{end}");
    }
    assert_eq!(scanner.next(&text[..]).unwrap(), Some(1..message_end));
    let mut scanner = MessageScanner::default();
    assert_eq!(
        scanner.next(b"  [1]").unwrap_err().to_string(),
        "a message begins with \"[\", expected \"{\""
    );
}

#[test]
fn invalid_endpoint_is_named_in_the_error() {
    let text = r#"{"seq":4,"hosts":[{"host":"a"},{"host":"b","share":"x"}]}"#;
    let mut message = Message::read(text.as_bytes().to_vec()).unwrap();
    let listed = BTreeMap::new();
    assert_eq!(message.take(1, &listed).unwrap().endpoints.len(), 1);
    let error = message.take(1, &listed).unwrap_err().to_string();
    assert!(error.starts_with("hosts[1].share: "), "{error}");
}
