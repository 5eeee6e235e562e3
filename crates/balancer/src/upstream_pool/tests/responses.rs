//! Tests of incomplete, stalled and streamed responses.

use super::*;

#[test]
fn stalled_response_is_unreadable_and_a_slow_one_is_not() {
    let mut test = PoolTest::start();
    let mut stream = test.open_connection(1, 0);
    test.handle_stall_timeout(STALL_TIMEOUT);
    assert_eq!(
        test.take_results(),
        [],
        "no response has begun: only the timeout of the engine applies"
    );
    for part in [b"+P", b"ON"] {
        stream.write_all(part).unwrap();
        test.now += STALL_TIMEOUT - 1;
        test.handle_ready(0);
        test.handle_stall_timeout(test.now);
    }
    assert_eq!(test.take_results(), []);
    test.handle_stall_timeout(test.now + STALL_TIMEOUT);
    assert_eq!(
        (test.take_results(), test.counters.upstream_stalled),
        (vec![ExchangeResult::Unreadable], 1)
    );
    assert!(
        test.pool.connections.is_empty(),
        "the start of the next reply would be unknown"
    );
}

#[test]
fn incomplete_responses_share_one_buffer_limit() {
    let mut test = PoolTest::start();
    test.pool.set_max_buffered_bytes(1_000);
    let mut first = test.open_connection(1, 0);
    let mut second = test.open_connection(2, 1);
    for (stream, number, is_unreadable) in [(&mut first, 0, false), (&mut second, 1, true)] {
        stream
            .write_all(&[b"$60000\r\n".as_slice(), &[b'x'; 600]].concat())
            .unwrap();
        test.handle_ready(number);
        assert_eq!(
            test.take_results() == [ExchangeResult::Unreadable],
            is_unreadable
        );
    }
    assert_eq!(
        test.pool.buffered_bytes, 608,
        "the bytes of a failed job are released"
    );
    test.pool.abandon(
        UpstreamJob::HealthCheck(1),
        CloseReason::TimedOut,
        &mut test.counters,
    );
    assert_eq!(test.pool.buffered_bytes, 0);
}

/// Guards against a response of a healthy cache that is cut off because others hold the memory.
#[test]
fn response_over_the_buffer_limit_is_paused_and_read_on_later() {
    let mut test = PoolTest::start();
    test.pool.set_max_buffered_bytes(40_000);
    let mut streams = Vec::new();
    for number in 0..2 {
        let job = UpstreamJob::Attempt(RequestId(number), AttemptNumber(0));
        test.dispatch_job(job, b"one".to_vec());
        streams.push(test.listener.accept().unwrap().0);
        test.handle_ready(number as u64);
    }
    let response = b"*3\r\n$30000\r\n";
    let rest = [&[b'x'; 1_000][..], b"\r\n$3\r\nhit\r\n$-1\r\n"].concat();
    for (stream, number) in streams.iter_mut().zip([0, 1]) {
        let beginning = [&response[..], &[b'x'; 29_000]].concat();
        stream.write_all(&beginning).unwrap();
        // Reads are short while memory is scarce.
        (0..16).for_each(|_| test.handle_ready(number));
    }
    assert_eq!(
        (test.take_results(), test.pool.paused_inputs.len()),
        (vec![], 1)
    );
    for (stream, number) in streams.iter_mut().zip([0, 1]) {
        stream.write_all(&rest).unwrap();
        test.pool.resume_inputs(test.now, &mut test.timers);
        (0..16).for_each(|_| test.handle_ready(number));
        let results = test.take_results();
        assert!(
            matches!(results[..], [ExchangeResult::Response(_)]),
            "{results:?}"
        );
    }
    assert_eq!(
        (test.pool.buffered_bytes, test.pool.paused_inputs.len()),
        (0, 0)
    );
}

#[test]
fn long_value_is_streamed_and_does_not_stall_while_paused() {
    let mut test = PoolTest::start();
    let job = UpstreamJob::Attempt(RequestId(1), AttemptNumber(0));
    test.dispatch_job(job, b"one".to_vec());
    let mut stream = test.listener.accept().unwrap().0;
    test.handle_ready(0);
    stream.write_all(b"*3\r\n$70000\r\n").unwrap();
    test.handle_ready(0);
    assert_eq!(test.events, [UpstreamEvent::LongValueBegun { job }]);
    test.events.clear();
    test.handle_stall_timeout(STREAM_START_STALL_TIMEOUT - 1);
    assert_eq!(test.events, [], "a long value may arrive slowly");
    test.handle_stall_timeout(STREAM_START_STALL_TIMEOUT);
    assert_eq!(
        test.events,
        [UpstreamEvent::ResponseStalled { job }],
        "its stall is reported, and does not end it"
    );
    test.events.clear();
    stream.write_all(&[b'x'; 5_000]).unwrap();
    test.handle_ready(0);
    let chunk = UpstreamEvent::StreamChunk {
        job,
        bytes: vec![b'x'; 5_000],
    };
    assert_eq!(
        test.events,
        [
            UpstreamEvent::StreamStarted {
                job,
                length: 70_000
            },
            chunk
        ]
    );
    assert_eq!(
        test.pool.buffered_bytes, 0,
        "forwarded bytes are not buffered"
    );
    test.events.clear();
    test.pool.pause(0, job);
    test.handle_stall_timeout(STREAM_STALL_TIMEOUT);
    assert_eq!(test.events, [], "a paused stream does not stall");
    test.pool
        .resume(STREAM_STALL_TIMEOUT, job, &mut test.timers);
    test.handle_stall_timeout(2 * STREAM_STALL_TIMEOUT - 1);
    assert_eq!(test.events, []);
    test.handle_stall_timeout(2 * STREAM_STALL_TIMEOUT);
    assert_eq!(
        (test.take_results(), test.counters.upstream_stalled),
        (vec![ExchangeResult::Unreadable], 2)
    );
}

#[test]
fn stall_timeout_of_a_distant_cache_is_three_round_trips() {
    const ROUND_TRIP: Nanos = 60 * MS;
    // One of the connections was delayed; the round trip is the shorter of the two connect times.
    for (first, second) in [(ROUND_TRIP, 1_000 * MS), (1_000 * MS, ROUND_TRIP)] {
        let mut test = PoolTest::start();
        for (check, connect_time) in [(1, first), (2, second)] {
            test.dispatch_health_check(check, b"one".to_vec());
            test.now += connect_time;
            test.handle_ready(check - 1);
        }
        let mut stream = test.listener.accept().unwrap().0;
        test.listener.accept().unwrap();
        stream.write_all(b"+P").unwrap();
        test.handle_ready(0);
        let started = test.now;
        test.handle_stall_timeout(started + 2 * ROUND_TRIP);
        assert_eq!(
            test.take_results(),
            [],
            "the remaining bytes may be in transit"
        );
        stream.write_all(b"ONG\r\n").unwrap();
        test.now = started + 2 * ROUND_TRIP;
        test.handle_ready(0);
        assert_eq!(test.take_results(), [pong()]);
        // The next reply is truncated.
        test.now += REUSE_DELAY;
        test.dispatch_health_check(3, b"two".to_vec());
        stream.write_all(b"+P").unwrap();
        test.handle_ready(0);
        test.handle_stall_timeout(test.now + 3 * ROUND_TRIP - 1);
        assert_eq!(test.take_results(), []);
        test.handle_stall_timeout(test.now + 3 * ROUND_TRIP);
        assert_eq!(
            test.take_results(),
            [ExchangeResult::Unreadable],
            "the timeout is three round trips"
        );
    }
}
