//! Tests of the reuse, eviction and idle timeout of idle connections.

use super::*;

#[test]
fn job_is_not_written_to_an_idle_connection_that_the_endpoint_closed() {
    let mut test = PoolTest::start();
    let mut first = test.open_connection(1, 0);
    first.read_exact(&mut [0; 3]).unwrap();
    test.reply_pong(&mut first, 0);
    assert_eq!(test.take_results(), [pong()]);
    drop(first);
    test.now = REUSE_DELAY;
    test.dispatch_health_check(2, b"two".to_vec());
    assert_eq!(
        (test.counters.upstream_opened, test.counters.upstream_closed),
        (2, 1)
    );
    let mut second = test.listener.accept().unwrap().0;
    test.handle_ready(1);
    second.read_exact(&mut [0; 3]).unwrap();
    assert_eq!(test.take_results(), []);
}

#[rstest]
fn second_reply_after_some_milliseconds_is_not_taken_for_the_reply_to_the_next_job(
    #[values(0, 2 * MS, 4 * MS, REUSE_DELAY - 1)] delay: Nanos,
) {
    let mut test = PoolTest::start();
    let mut first = test.open_connection(1, 0);
    test.reply_pong(&mut first, 0);
    test.take_results();
    test.now += delay;
    test.dispatch_health_check(2, b"two".to_vec());
    assert_eq!(
        (test.counters.upstream_opened, test.counters.upstream_closed),
        (2, 0),
        "the first connection is within its reuse delay"
    );
    let mut second = test.listener.accept().unwrap().0;
    test.handle_ready(1);
    // The second reply to the first job arrives before the reply to the second job.
    first.write_all(b"-ERR again\r\n").unwrap();
    test.handle_ready(0);
    assert_eq!(
        (test.take_results(), test.counters.upstream_closed),
        (vec![], 1),
        "the second reply completes no job, and its connection is closed"
    );
    test.reply_pong(&mut second, 1);
    assert_eq!(test.take_results(), [pong()]);
}

#[test]
fn most_recently_used_idle_connection_past_its_reuse_delay_is_taken() {
    let mut test = PoolTest::start();
    let mut first = test.open_connection(1, 0);
    let mut second = test.open_connection(2, 1);
    test.reply_pong(&mut first, 0);
    test.now = REUSE_DELAY;
    test.reply_pong(&mut second, 1);
    assert_eq!(
        [
            test.pool.take_idle(REUSE_DELAY, ENDPOINT),
            test.pool.take_idle(REUSE_DELAY, ENDPOINT)
        ],
        [Some(0), None]
    );
    assert_eq!(test.pool.take_idle(2 * REUSE_DELAY, ENDPOINT), Some(1));
}

#[test]
fn idle_connection_is_closed_at_the_endpoint_limit_even_within_its_reuse_delay() {
    let mut test = PoolTest::start();
    test.pool.set_max_connections(4);
    let mut first = test.open_connection(1, 0);
    test.dispatch_health_check(2, b"two".to_vec());
    assert_eq!(
        test.take_results(),
        [ExchangeResult::NoCapacity],
        "the endpoint may have one of four connections, and it is busy"
    );
    test.reply_pong(&mut first, 0);
    test.take_results();
    test.dispatch_health_check(3, b"three".to_vec());
    let mut second = test.listener.accept().unwrap().0;
    test.handle_ready(1);
    second.read_exact(&mut [0; 5]).unwrap();
    assert_eq!(
        (test.take_results(), test.counters.upstream_closed),
        (vec![], 1)
    );
}

#[test]
fn connection_close_to_the_idle_timeout_of_the_endpoint_is_not_reused() {
    for (idle_timeout, now, is_reused) in [
        (1_000 * MS, 749 * MS, true),
        (1_000 * MS, 750 * MS, false),
        (0, REUSE_DELAY, false),
    ] {
        let mut test = PoolTest::start();
        test.pool.idle_timeout =
            UpstreamPool::new(&test.pool.poll, 8, MS, idle_timeout).idle_timeout;
        let mut first = test.open_connection(1, 0);
        test.reply_pong(&mut first, 0);
        test.take_results();
        // `close_expired` has not run yet.
        test.now = now;
        test.dispatch_health_check(2, b"two".to_vec());
        assert_eq!(
            test.counters.upstream_opened,
            if is_reused { 1 } else { 2 },
            "idle timeout {idle_timeout} at {now}"
        );
    }
}
