//! Long values that are streamed.

use super::{read_request, readable, start_listener};
use crate::counters::Counters;
use crate::listener::resp::back_pressure::STREAM_WINDOW;
use crate::listener::resp::input::READ_SIZE;
use crate::listener::resp::{ListenerEvent, MemoryPressure, RespListener, StreamEnd};
use crate::poll::{EventSource, Readiness};
use crate::request::{AnswerToken, FinalAnswer};
use std::io::{Read, Write};
use std::net::TcpStream;

/// The length of a streamed value, far over what the sockets buffer.
const LENGTH: usize = 64 << 20;

/// A listener with two requests taken on one connection, and that connection.
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
fn answers_stay_in_order_around_a_streamed_value() {
    let (mut listener, mut client, mut answer_tokens, mut counters) = two_requests();
    let (second, first) = (answer_tokens.pop().unwrap(), answer_tokens.pop().unwrap());
    let (one, two) = (first.request, second.request);
    let mut events = Vec::new();
    // The second arrives while the first is in flight: what fits into the window waits.
    listener.answer(second, FinalAnswer::Streaming(STREAM_WINDOW + 1));
    listener.append_chunk(0, two, &[b'y'; STREAM_WINDOW - 20]);
    assert!(
        !listener.apply_back_pressure(0, two, MemoryPressure::Low)
            && listener.apply_back_pressure(0, two, MemoryPressure::High)
    );
    listener.append_chunk(0, two, &[b'y'; 21]);
    assert!(listener.apply_back_pressure(0, two, MemoryPressure::Low));
    listener.flush(0, 1, &mut events, &mut counters);
    listener.finish_streaming(0, two, StreamEnd::Complete, 1, &mut events, &mut counters);
    listener.answer(first, FinalAnswer::Streaming(3));
    listener.append_chunk(0, one, b"x");
    listener.flush(0, 1, &mut events, &mut counters);
    assert!(
        !listener.apply_back_pressure(0, one, MemoryPressure::High),
        "nothing waits for it"
    );
    listener.append_chunk(0, one, b"xx");
    listener.finish_streaming(0, one, StreamEnd::Complete, 1, &mut events, &mut counters);
    let want = [
        b"$3\r\nxxx\r\n",
        format!("${}\r\n", STREAM_WINDOW + 1).as_bytes(),
        &[b'y'; STREAM_WINDOW + 1],
        b"\r\n",
    ]
    .concat();
    let mut got = vec![0; want.len()];
    client.read_exact(&mut got).unwrap();
    assert!(got == want && listener.connections[&0].is_idle());
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
        assert!(sent < LENGTH, "the sockets' buffers are smaller");
    }
    assert!(
        listener.buffered_bytes() <= STREAM_WINDOW + READ_SIZE,
        "what one long value holds"
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
    // The cache breaks off: the client must be able to tell, and the request behind has nobody to
    // wait for.
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
