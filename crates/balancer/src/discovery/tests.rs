//! Watches that succeed, fail and fall silent, and the lists that arrive over them.

use super::call::{CONNECT_TIMEOUT, FIRST_BYTE_TIMEOUT, SILENCE_TIMEOUT};
use super::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn the_silence_timeout_depends_on_how_far_the_call_has_come() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = Poll::new().unwrap();
    for (up, answer, given_up) in [
        (false, "", CONNECT_TIMEOUT),
        (true, "", FIRST_BYTE_TIMEOUT),
        (true, "x", SILENCE_TIMEOUT),
    ] {
        let mut client = DiscoveryClient::new(&poll, listener.local_addr().unwrap(), None);
        let (mut timers, mut counters, mut events) =
            (Timers::default(), Counters::default(), Vec::new());
        assert!(client.watch(0, &mut timers, &mut counters).is_none());
        let mut discovery = listener.accept().unwrap().0;
        if up {
            let ready = Readiness {
                source: EventSource::Discovery(0),
                readable: false,
                writable: true,
            };
            client.handle_ready(0, ready, &mut events, &mut counters);
        }
        if !answer.is_empty() {
            discovery.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
            let ready = Readiness {
                source: EventSource::Discovery(0),
                readable: true,
                writable: false,
            };
            client.handle_ready(0, ready, &mut events, &mut counters);
        }
        for (now, ends) in [(given_up - 1, 0), (given_up, 1)] {
            client.handle_silence_timeout(now, 0, &mut timers, &mut events, &mut counters);
            assert_eq!(events.len(), ends, "{up} {answer} at {now}");
        }
    }
}

#[test]
fn failures_are_counted_from_one_message_to_the_next() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let backoff = Some(WatchBackoff::new(500 * MS));
    let mut client = DiscoveryClient::new(
        &Poll::new().unwrap(),
        listener.local_addr().unwrap(),
        backoff,
    );
    let (mut timers, mut counters, mut events) =
        (Timers::default(), Counters::default(), Vec::new());
    // Nothing but its version: a line all the same.
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
fn the_full_list_is_the_last_full_one_with_its_deltas() {
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
    let now = client.full_list().unwrap();
    let hosts: Vec<_> = now
        .endpoints
        .iter()
        .map(|h| (h.name.as_str(), h.address.as_str()))
        .collect();
    assert_eq!(
        (now.version, now.is_full, hosts),
        (5, true, vec![("a", "y:1"), ("c", "")])
    );
}

/// A client with a watch open, the other end of that, and what has become of it.
struct Watch {
    client: DiscoveryClient,
    discovery: TcpStream,
    events: Vec<DiscoveryEvent>,
    timers: Timers,
    counters: Counters,
}

impl Watch {
    fn open(known: Option<&str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client =
            DiscoveryClient::new(&Poll::new().unwrap(), listener.local_addr().unwrap(), None);
        if let Some(known) = known {
            client.apply(&serde_json::from_str(known).unwrap());
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
        watch.ready(0, false);
        watch
    }

    fn ready(&mut self, now: Nanos, readable: bool) {
        let ready = Readiness {
            source: EventSource::Discovery(0),
            readable,
            writable: !readable,
        };
        self.client
            .handle_ready(now, ready, &mut self.events, &mut self.counters);
        // Parts of the list go before the end of the watch over which they arrived.
        let mut parts = Vec::new();
        while let Some(event) = self.client.take_part(usize::MAX, &mut self.counters) {
            parts.push(event);
        }
        let end = self
            .events
            .iter()
            .position(|event| matches!(event, DiscoveryEvent::Failed));
        let place = end.unwrap_or(self.events.len());
        self.events.splice(place..place, parts);
    }

    /// Discovery writes this, and it is read.
    fn says(&mut self, now: Nanos, text: &str) {
        self.discovery.write_all(text.as_bytes()).unwrap();
        self.ready(now, true);
    }

    fn lists(&mut self) -> Vec<(u64, bool)> {
        let list = |event| match event {
            DiscoveryEvent::ListPart(part) => part.is_last.then_some((part.version, part.is_full)),
            DiscoveryEvent::Established | DiscoveryEvent::Failed => None,
        };
        self.events.drain(..).filter_map(list).collect()
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn lists_arrive_however_they_are_indented_and_wherever_they_are_split() {
    let spread = serde_json::to_string_pretty(&serde_json::json!(
        {"seq": 4, "whole": true, "hosts": [{"host": "a}\n\n{", "dial": "x:1"}, {"host": "b"}]}
    ));
    let text = format!(
        "  {}\n\n\t{{\"seq\":5,\"hosts\":[]}}\n\n\r\n{{\"seq\":6}}\n",
        spread.unwrap()
    );
    for cut in 1..text.len() {
        let mut watch = Watch::open(None);
        watch.says(0, HEAD);
        for part in [&text[..cut], &text[cut..]] {
            watch.says(0, &format!("{:x}\r\n{part}\r\n", part.len()));
        }
        assert_eq!(
            watch.lists(),
            [(4, true), (5, false), (6, false)],
            "cut at {cut}"
        );
    }
}

#[test]
fn a_message_that_an_empty_line_cuts_short_ends_the_watch() {
    for text in ["{\"seq\":4,\n", "{\"seq\":4,\"hosts\":[{\"host\":\"a\"}\n"] {
        let mut watch = Watch::open(None);
        watch.says(0, "HTTP/1.1 200 OK\r\n\r\n");
        watch.says(0, text);
        assert!(
            matches!(watch.events[..], [DiscoveryEvent::Established]),
            "more may come"
        );
        watch.events.clear();
        watch.says(0, "\n");
        assert!(
            matches!(watch.events[..], [DiscoveryEvent::Failed]),
            "{text}"
        );
    }
}

#[test]
fn an_older_delta_is_ignored_and_an_older_full_list_is_not() {
    let known = r#"{"seq":41,"whole":true,"hosts":[{"host":"a","health":"terminating"}]}"#;
    for (text, lists) in [
        (r#"{"seq":40,"hosts":[{"host":"a"}]}"#, vec![]),
        (r#"{"seq":41,"hosts":[{"host":"a"}]}"#, vec![(41, false)]),
        (r#"{"seq":42,"hosts":[{"host":"a"}]}"#, vec![(42, false)]),
        // Discovery counts anew: it can't know what changed since a version that it never had.
        (
            r#"{"seq":3,"whole":true,"hosts":[{"host":"a"}]}{"seq":4}"#,
            vec![(3, true), (4, false)],
        ),
    ] {
        let mut watch = Watch::open(Some(known));
        watch.says(0, "HTTP/1.1 200 OK\r\n\r\n");
        watch.says(0, text);
        assert_eq!(watch.lists(), lists, "{text}");
        assert_eq!(
            watch.counters.discovery_outdated_lines,
            u64::from(lists.is_empty())
        );
    }
}

#[test]
fn a_silent_watch_is_replaced_well_before_the_balancer_counts_as_notified() {
    // By the protocol that is 6 s after the last byte. Listed: what came, and how far that is.
    let cases = [
        ("", "before its head"),
        ("HTTP/1.1 2", "in its head"),
        (HEAD, "between two messages"),
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
        let heard = if text.is_empty() { 0 } else { 100 * MS };
        if !text.is_empty() {
            watch.says(heard, text);
        }
        assert_eq!(
            watch.client.call.as_ref().unwrap().stage().to_string(),
            stage
        );
        watch.events.clear();
        let mut given_up = None;
        for now in (0..6_000).map(|ms| heard + ms * MS) {
            let (timers, events, counters) =
                (&mut watch.timers, &mut watch.events, &mut watch.counters);
            watch
                .client
                .handle_silence_timeout(now, 0, timers, events, counters);
            if !watch.events.is_empty() {
                given_up = Some(now - heard);
                break;
            }
        }
        let given_up = given_up.unwrap_or_else(|| panic!("{stage}: too late"));
        assert!(
            (2_000 * MS..=4_000 * MS).contains(&given_up),
            "{stage}: an empty line is due every 2 s"
        );
        assert_eq!(
            (
                watch.counters.discovery_silent,
                watch.counters.longest_discovery_silence_ms
            ),
            (1, given_up / MS)
        );
    }
}

#[test]
fn a_long_list_is_taken_in_parts_and_its_version_is_known_after_the_last() {
    let hosts = |range: std::ops::Range<usize>| {
        let hosts: Vec<_> = range
            .map(|n| serde_json::json!({"host": format!("s-{n:04}")}))
            .collect();
        serde_json::Value::from(hosts)
    };
    let whole = |seq: u64, hosts| {
        serde_json::json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
    };
    let mut client =
        DiscoveryClient::new(&Poll::new().unwrap(), "127.0.0.1:1".parse().unwrap(), None);
    let mut counters = Counters::default();
    let mut take = |client: &mut DiscoveryClient, most| match client.take_part(most, &mut counters)
    {
        Some(DiscoveryEvent::ListPart(part)) => (part.endpoints.len(), part.is_last),
        other => panic!("{other:?}"),
    };
    client
        .list
        .push(Message::read(whole(4, hosts(0..300)).into_bytes()).unwrap());
    assert_eq!(
        take(&mut client, 100),
        (300, true),
        "the first list comes in one go"
    );
    client
        .list
        .push(Message::read(whole(5, hosts(150..400)).into_bytes()).unwrap());
    assert!(client.has_unprocessed_data());
    assert_eq!(
        [take(&mut client, 100), take(&mut client, 100)],
        [(100, false), (100, false)]
    );
    assert_eq!(client.version(), Some(4));
    // The last fifty, and the first half of those that it does not name.
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
fn each_byte_of_a_message_is_examined_once_and_text_that_is_no_message_is_named() {
    let text = br#" {"a":"}\"{","b":[{"c":{}}]}{"d":1}"#;
    let over = text.len() - br#"{"d":1}"#.len();
    let mut scanner = MessageScanner::default();
    for end in 1..over {
        assert_eq!(scanner.next(&text[..end]).unwrap(), None, "{end}");
    }
    assert_eq!(scanner.next(&text[..]).unwrap(), Some(1..over));
    let mut scanner = MessageScanner::default();
    assert_eq!(
        scanner.next(b"  [1]").unwrap_err().to_string(),
        "a message begins with \"[\""
    );
}

#[test]
fn an_invalid_endpoint_is_named_in_the_error() {
    let text = r#"{"seq":4,"hosts":[{"host":"a"},{"host":"b","share":"x"}]}"#;
    let mut message = Message::read(text.as_bytes().to_vec()).unwrap();
    let listed = BTreeMap::new();
    assert_eq!(message.take(1, &listed).unwrap().endpoints.len(), 1);
    let problem = message.take(1, &listed).unwrap_err().to_string();
    assert!(problem.starts_with("hosts[1].share: "), "{problem}");
}
