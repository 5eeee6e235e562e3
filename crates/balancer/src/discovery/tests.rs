//! Tests of `upstream_group`.

use super::*;
use std::net::TcpListener;

#[test]
fn a_discovery_that_says_nothing_is_given_up_by_how_far_the_call_has_come() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = Poll::new().unwrap();
    for (up, answer, given_up) in [
        (false, "", CONNECT),
        (true, "", SILENCE_BEFORE),
        (true, "x", SILENCE),
    ] {
        let mut group = DiscoveryClient::new(&poll, listener.local_addr().unwrap(), None);
        let (mut timers, mut counters, mut events) =
            (Timers::default(), Counters::default(), Vec::new());
        assert!(group.watch(0, &mut timers, &mut counters).is_none());
        let mut discovery = listener.accept().unwrap().0;
        if up {
            let ready = Readiness {
                source: EventSource::Discovery(0),
                readable: false,
                writable: true,
            };
            group.ready(0, ready, &mut events, &mut counters);
        }
        if !answer.is_empty() {
            discovery.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
            let ready = Readiness {
                source: EventSource::Discovery(0),
                readable: true,
                writable: false,
            };
            group.ready(0, ready, &mut events, &mut counters);
        }
        for (now, ends) in [(given_up - 1, 0), (given_up, 1)] {
            group.due(now, 0, &mut timers, &mut events, &mut counters);
            assert_eq!(events.len(), ends, "{up} {answer} at {now}");
        }
    }
}

#[test]
fn failures_are_counted_from_one_line_of_the_list_to_the_next() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pace = Some(WatchBackoff::new(500 * MS));
    let mut group =
        DiscoveryClient::new(&Poll::new().unwrap(), listener.local_addr().unwrap(), pace);
    let (mut timers, mut counters, mut events) =
        (Timers::default(), Counters::default(), Vec::new());
    // Nothing but its version: a line all the same.
    for (number, (line, failures)) in [("", 1), ("", 2), ("{\"seq\":3}\n", 1)]
        .into_iter()
        .enumerate()
    {
        assert!(group.watch(0, &mut timers, &mut counters).is_none());
        let mut agent = listener.accept().unwrap().0;
        write!(agent, "HTTP/1.1 200 OK\r\n\r\n{line}").unwrap();
        drop(agent);
        let ready = |readable| Readiness {
            source: EventSource::Discovery(number as u64),
            readable,
            writable: !readable,
        };
        while !matches!(events.last(), Some(DiscoveryEvent::Failed)) {
            group.ready(0, ready(true), &mut events, &mut counters);
            group.take(usize::MAX, &mut counters);
        }
        events.clear();
        assert_eq!(group.failures, failures);
    }
    assert_eq!(
        (counters.discovery_messages, counters.discovery_failed),
        (1, 3)
    );
}

#[test]
fn the_list_that_is_handed_over_is_the_last_whole_one_with_its_changes() {
    let list = |text: &str| serde_json::from_str::<EndpointList>(text).unwrap();
    let mut group =
        DiscoveryClient::new(&Poll::new().unwrap(), "127.0.0.1:1".parse().unwrap(), None);
    assert!(group.list().is_none());
    group.learn(&list(r#"{"seq":3,"whole":true,"hosts":[{"host":"z"}]}"#));
    group.learn(&list(
        r#"{"seq":4,"whole":true,"hosts":[{"host":"a","dial":"x:1"},{"host":"b"}]}"#,
    ));
    let change = r#"{"seq":5,"hosts":[{"host":"b","health":"terminated"},{"host":"a","dial":"y:1"},{"host":"c"}]}"#;
    group.learn(&list(change));
    let now = group.list().unwrap();
    let hosts: Vec<_> = now
        .hosts
        .iter()
        .map(|h| (h.host.as_str(), h.dial.as_str()))
        .collect();
    assert_eq!(
        (now.seq, now.whole, hosts),
        (5, true, vec![("a", "y:1"), ("c", "")])
    );
}

/// A group with a watch open, the other end of that, and what has become of it.
struct Watch {
    group: DiscoveryClient,
    discovery: TcpStream,
    events: Vec<DiscoveryEvent>,
    timers: Timers,
    counters: Counters,
}

impl Watch {
    fn open(known: Option<&str>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut group =
            DiscoveryClient::new(&Poll::new().unwrap(), listener.local_addr().unwrap(), None);
        if let Some(known) = known {
            group.learn(&serde_json::from_str(known).unwrap());
        }
        let (mut timers, mut counters) = (Timers::default(), Counters::default());
        assert!(group.watch(0, &mut timers, &mut counters).is_none());
        let discovery = listener.accept().unwrap().0;
        let mut watch = Watch {
            group,
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
        self.group
            .ready(now, ready, &mut self.events, &mut self.counters);
        // What was told goes before the end of the watch that told it.
        let mut news = Vec::new();
        while let Some(event) = self.group.take(usize::MAX, &mut self.counters) {
            news.push(event);
        }
        let end = self
            .events
            .iter()
            .position(|event| matches!(event, DiscoveryEvent::Failed));
        let place = end.unwrap_or(self.events.len());
        self.events.splice(place..place, news);
    }

    /// Discovery writes this, and it is read.
    fn says(&mut self, now: Nanos, text: &str) {
        self.discovery.write_all(text.as_bytes()).unwrap();
        self.ready(now, true);
    }

    fn told(&mut self) -> Vec<(u64, bool)> {
        let told = |event| match event {
            DiscoveryEvent::News(part) => part.is_last.then_some((part.seq, part.whole)),
            DiscoveryEvent::Stands | DiscoveryEvent::Failed => None,
        };
        self.events.drain(..).filter_map(told).collect()
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn lists_come_through_however_they_are_indented_and_wherever_they_are_split() {
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
            watch.told(),
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
            matches!(watch.events[..], [DiscoveryEvent::Stands]),
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
fn a_change_older_than_the_version_that_was_asked_from_is_left_and_an_older_whole_list_is_not() {
    let known = r#"{"seq":41,"whole":true,"hosts":[{"host":"a","health":"terminating"}]}"#;
    for (text, told) in [
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
        assert_eq!(watch.told(), told, "{text}");
        assert_eq!(
            watch.counters.discovery_outdated_lines,
            u64::from(told.is_empty())
        );
    }
}

#[test]
fn a_watch_that_falls_silent_is_called_anew_well_before_what_it_misses_counts_as_told() {
    // By the protocol that is 6 s after the last byte. Listed: what came, and how far that is.
    let cases = [
        ("", "before its head"),
        ("HTTP/1.1 2", "in its head"),
        (HEAD, "between two lines"),
        ("HTTP/1.1 200 OK\r\n\r\n{\"seq\":5}\n", "between two lines"),
        ("HTTP/1.1 200 OK\r\n\r\n{\"seq\":5", "in a line"),
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
        assert_eq!(watch.group.call.as_ref().unwrap().stage(), stage);
        watch.events.clear();
        let mut given_up = None;
        for now in (0..6_000).map(|ms| heard + ms * MS) {
            let (timers, events, counters) =
                (&mut watch.timers, &mut watch.events, &mut watch.counters);
            watch.group.due(now, 0, timers, events, counters);
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
fn a_long_list_comes_in_parts_and_its_version_is_known_once_it_is_over() {
    let hosts = |range: std::ops::Range<usize>| {
        let hosts: Vec<_> = range
            .map(|n| serde_json::json!({"host": format!("s-{n:04}")}))
            .collect();
        serde_json::Value::from(hosts)
    };
    let whole = |seq: u64, hosts| {
        serde_json::json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
    };
    let mut group =
        DiscoveryClient::new(&Poll::new().unwrap(), "127.0.0.1:1".parse().unwrap(), None);
    let mut counters = Counters::default();
    let mut take = |group: &mut DiscoveryClient, most| match group.take(most, &mut counters) {
        Some(DiscoveryEvent::News(part)) => (part.hosts.len(), part.is_last),
        other => panic!("{other:?}"),
    };
    group
        .pending
        .push_back(Message::read(whole(4, hosts(0..300)).into_bytes()).unwrap());
    assert_eq!(
        take(&mut group, 100),
        (300, true),
        "the first list comes in one go"
    );
    group
        .pending
        .push_back(Message::read(whole(5, hosts(150..400)).into_bytes()).unwrap());
    assert!(group.is_behind());
    assert_eq!(
        [take(&mut group, 100), take(&mut group, 100)],
        [(100, false), (100, false)]
    );
    assert_eq!(group.seq(), Some(4));
    // The last fifty, and the first half of those that it does not name.
    assert_eq!(take(&mut group, 100), (100, false));
    assert_eq!(take(&mut group, 100), (100, true));
    assert_eq!(
        (group.seq(), group.hosts.len(), group.is_behind()),
        (Some(5), 250, false)
    );
    assert!(
        group
            .hosts
            .keys()
            .cloned()
            .eq((150..400).map(|n| format!("s-{n:04}")))
    );
}

#[test]
fn each_byte_of_a_message_is_looked_at_once_and_what_is_no_message_is_named() {
    let text = br#" {"a":"}\"{","b":[{"c":{}}]}{"d":1}"#;
    let over = text.len() - br#"{"d":1}"#.len();
    let mut scanner = MessageScanner::default();
    for end in 1..over {
        assert_eq!(scanner.next(&text[..end]), Ok(None), "{end}");
    }
    assert_eq!(scanner.next(&text[..]), Ok(Some(1..over)));
    let mut scanner = MessageScanner::default();
    assert_eq!(
        scanner.next(b"  [1]"),
        Err("line of the list: begins with \"[\"".into())
    );
}

#[test]
fn a_host_that_makes_no_sense_ends_the_watch_and_is_named() {
    let text = r#"{"seq":4,"hosts":[{"host":"a"},{"host":"b","share":"x"}]}"#;
    let mut message = Message::read(text.as_bytes().to_vec()).unwrap();
    let listed = BTreeMap::new();
    assert_eq!(message.take(1, &listed).unwrap().hosts.len(), 1);
    let problem = message.take(1, &listed).unwrap_err();
    assert!(
        problem.starts_with("line of the list: hosts[1].share: "),
        "{problem}"
    );
}
