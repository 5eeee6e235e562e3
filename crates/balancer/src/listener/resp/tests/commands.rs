//! Tests of commands and their fields.

use super::{read_request, readable, start_listener};
use crate::counters::Counters;
use crate::listener::resp::commands::parse_request;
use crate::request::AnswerToken;
use crate::timers::MS;
use routing::RequestId;
use std::io::Write;

#[test]
fn hundred_pipelined_commands_are_processed_without_waiting_for_responses() {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    listener.accept(0, &mut counters);
    let command = read_request(9);
    client.write_all(&command.repeat(100)).unwrap();
    let ready = readable(0);
    listener.handle_ready(0, ready, &mut events, &mut counters);
    assert_eq!(events.len(), 100);
}

#[test]
fn valid_estimated_work_is_parsed_and_invalid_is_only_forwarded() {
    let read = |h: &str| {
        let fields = format!("c=read,h={h},d=480");
        let answer_token = AnswerToken {
            request: RequestId(1),
            connection: 0,
        };
        parse_request([b"key", b"id", fields.as_bytes()], None, answer_token).unwrap()
    };
    for (h, work) in [
        ("48000", Some(48 * MS)),
        ("0.5", None),
        ("1.5", Some(1_500)),
        ("3600000000", Some(3_600_000 * MS)),
    ] {
        assert_eq!(read(h).estimated_work, work, "{h}");
    }
    for h in ["", "0", "-5", "inf", "NaN", "3600000001", "soon"] {
        let incoming = read(h);
        assert_eq!(incoming.estimated_work, None, "{h}");
        assert_eq!(incoming.command.fields, format!("c=read,h={h},"));
    }
}
