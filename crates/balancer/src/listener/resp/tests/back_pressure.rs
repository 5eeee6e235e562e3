//! Tests of streamed values.

use super::{read_request, readable, start_listener};
use crate::counters::Counters;
use crate::listener::resp::back_pressure::STREAM_WINDOW;
use crate::listener::resp::input::READ_SIZE;
use crate::listener::resp::{ListenerEvent, MemoryPressure, RespListener, StreamEnd};
use crate::poll::{EventSource, Readiness};
use crate::request::{AnswerToken, FinalAnswer};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Length of a streamed value in bytes, far more than the socket buffers hold.
const LENGTH: usize = 64 << 20;

/// Starts a listener that has received two requests on one connection.
fn two_requests() -> (RespListener, TcpStream, Vec<AnswerToken>, Counters) {
    let (mut listener, connect) = start_listener(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    listener.accept(0, &mut counters);
    let command = read_request(9);
    client.write_all(&command.repeat(2)).unwrap();
    let ready = readable(0);
    listener.handle_ready(0, ready, &mut events, &mut counters);
    let answer_tokens = events.into_iter().map(|event| match event {
        ListenerEvent::Request(incoming) => incoming.answer_token,
        other => panic!("{other:?}"),
    });
    let answer_tokens = answer_tokens.collect();
    (listener, client, answer_tokens, counters)
}

#[test]
fn responses_stay_in_order_around_a_streamed_value() {
    let (mut listener, mut client, mut answer_tokens, mut counters) = two_requests();
    let (second, first) = (answer_tokens.pop().unwrap(), answer_tokens.pop().unwrap());
    let (first_id, second_id) = (first.request, second.request);
    let mut events = Vec::new();
    // The second value arrives while the first request is unanswered: it is buffered up to the
    // window.
    listener.answer(second, FinalAnswer::Streaming(STREAM_WINDOW + 1));
    listener.append_chunk(0, second_id, &[b'y'; STREAM_WINDOW - 20]);
    assert!(
        !listener.apply_back_pressure(0, second_id, MemoryPressure::Low)
            && listener.apply_back_pressure(0, second_id, MemoryPressure::High)
    );
    listener.append_chunk(0, second_id, &[b'y'; 21]);
    assert!(listener.apply_back_pressure(0, second_id, MemoryPressure::Low));
    listener.flush(0, 1, &mut events, &mut counters);
    listener.finish_streaming(
        0,
        second_id,
        StreamEnd::Complete,
        1,
        &mut events,
        &mut counters,
    );
    listener.answer(first, FinalAnswer::Streaming(3));
    listener.append_chunk(0, first_id, b"x");
    listener.flush(0, 1, &mut events, &mut counters);
    assert!(
        !listener.apply_back_pressure(0, first_id, MemoryPressure::High),
        "all bytes of the first value are sent"
    );
    listener.append_chunk(0, first_id, b"xx");
    listener.finish_streaming(
        0,
        first_id,
        StreamEnd::Complete,
        1,
        &mut events,
        &mut counters,
    );
    let expected = [
        b"$3\r\nxxx\r\n",
        format!("${}\r\n", STREAM_WINDOW + 1).as_bytes(),
        &[b'y'; STREAM_WINDOW + 1],
        b"\r\n",
    ]
    .concat();
    let mut received = vec![0; expected.len()];
    client.read_exact(&mut received).unwrap();
    assert!(received == expected && listener.connections[&0].is_idle());
}

#[test]
fn cache_is_paused_while_its_client_does_not_read() {
    let (mut listener, mut client, mut answer_tokens, mut counters) = two_requests();
    let first = answer_tokens.remove(0);
    let (request, mut events) = (first.request, Vec::new());
    listener.answer(first, FinalAnswer::Streaming(LENGTH));
    let mut sent = 0;
    while !listener.apply_back_pressure(0, request, MemoryPressure::Low) {
        listener.append_chunk(0, request, &[b'x'; READ_SIZE]);
        listener.flush(0, 1, &mut events, &mut counters);
        sent += READ_SIZE;
        assert!(
            sent < LENGTH,
            "the socket buffers are smaller than the value"
        );
    }
    assert!(
        listener.buffered_bytes() <= STREAM_WINDOW + READ_SIZE,
        "a streamed value holds at most the window and one read"
    );
    client.set_nonblocking(true).unwrap();
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: false,
        writable: true,
    };
    while events.is_empty() {
        while matches!(client.read(&mut [0; READ_SIZE]), Ok(n) if n > 0) {}
        listener.handle_ready(2, ready, &mut events, &mut counters);
    }
    assert!(matches!(events[..], [ListenerEvent::CapacityAvailable(r)] if r == request));
    assert_eq!(listener.buffered_bytes(), 0);
    // The cache aborts the value: the client connection is closed, so that the client detects the
    // truncation, and the second request is reported as disconnected.
    events.clear();
    listener.finish_streaming(
        0,
        request,
        StreamEnd::Aborted,
        3,
        &mut events,
        &mut counters,
    );
    assert!(
        listener.connections.is_empty()
            && matches!(events[..], [ListenerEvent::ClientDisconnected(r)] if r != request)
    );
}
