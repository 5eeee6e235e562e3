//! Connections to pool: one job at a time, and how each ends.

use super::connection::{STALL_TIMEOUT, STREAM_STALL_TIMEOUT, STREAM_START_STALL_TIMEOUT};
use super::idle::REUSE_DELAY;
use super::*;
use crate::resp::Reply;
use crate::timers::MS;
use routing::{AttemptNumber, RequestId};
use rstest::rstest;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// After this a step has failed.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const ENDPOINT: EndpointId = EndpointId(7);

struct Stage {
    pool: UpstreamPool,
    listener: TcpListener,
    timers: Timers,
    counters: Counters,
    events: Vec<UpstreamEvent>,
    now: Nanos,
    /// What the jobs say once they begin.
    commands: HashMap<UpstreamJob, Vec<u8>>,
}

fn stage() -> Stage {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // Also for what it accepts: a step that does not come fails, and does not hang.
    SockRef::from(&listener)
        .set_read_timeout(Some(STEP_TIMEOUT))
        .unwrap();
    let (poll, mut counters) = (Poll::new().unwrap(), Counters::default());
    let mut pool = UpstreamPool::new(&poll, 8, MS, 1000 * MS);
    let mut events = Vec::new();
    pool.set_address(
        ENDPOINT,
        listener.local_addr().unwrap(),
        &mut events,
        &mut counters,
    );
    Stage {
        pool,
        listener,
        timers: Timers::default(),
        counters,
        events,
        now: 0,
        commands: HashMap::new(),
    }
}

impl Stage {
    fn dispatch(&mut self, check: u64, command: Vec<u8>) {
        self.send(UpstreamJob::HealthCheck(check), command);
    }

    fn send(&mut self, job: UpstreamJob, command: Vec<u8>) {
        self.commands.insert(job, command);
        let outgoing = OutboundCommand {
            job,
            endpoint: ENDPOINT,
            deadline: MS,
        };
        self.pool.dispatch(
            self.now,
            outgoing,
            &mut self.timers,
            &mut self.events,
            &mut self.counters,
        );
        self.begin();
    }

    /// As the loop does: connected jobs begin.
    fn begin(&mut self) {
        for event in std::mem::take(&mut self.events) {
            let UpstreamEvent::Connected { job } = event else {
                self.events.push(event);
                continue;
            };
            let command = self.commands.remove(&job).expect("up once");
            self.pool
                .send_command(job, command, &mut self.events, &mut self.counters);
        }
    }

    fn ready(&mut self, number: u64) {
        let ready = Readiness {
            source: EventSource::Upstream(number),
            readable: true,
            writable: true,
        };
        self.pool.handle_ready(
            self.now,
            ready,
            &mut self.timers,
            &mut self.events,
            &mut self.counters,
        );
        self.begin();
    }

    /// The new connection of a health check, which is up.
    fn connects(&mut self, check: u64, number: u64) -> TcpStream {
        self.dispatch(check, b"one".to_vec());
        let stream = self.listener.accept().unwrap().0;
        self.ready(number);
        stream
    }

    /// The endpoint answers on a connection.
    fn replies_pong(&mut self, stream: &mut TcpStream, number: u64) {
        stream.write_all(b"+PONG\r\n").unwrap();
        self.ready(number);
    }

    fn results(&mut self) -> Vec<ExchangeResult> {
        let end = |event| match event {
            UpstreamEvent::Completed { result, .. } => Some(result),
            _ => None,
        };
        self.events.drain(..).filter_map(end).collect()
    }
}

fn pong() -> ExchangeResult {
    ExchangeResult::Reply(Reply::Status("PONG".into()))
}

#[test]
fn a_job_is_not_written_to_a_connection_that_has_ended_unnoticed() {
    let mut s = stage();
    let mut first = s.connects(1, 0);
    first.read_exact(&mut [0; 3]).unwrap();
    s.replies_pong(&mut first, 0);
    assert_eq!(s.results(), [pong()]);
    drop(first);
    s.now = REUSE_DELAY;
    s.dispatch(2, b"two".to_vec());
    assert_eq!(
        (s.counters.upstream_opened, s.counters.upstream_closed),
        (2, 1)
    );
    let mut second = s.listener.accept().unwrap().0;
    s.ready(1);
    second.read_exact(&mut [0; 3]).unwrap();
    assert_eq!(s.results(), []);
}

#[rstest]
fn a_second_answer_after_some_milliseconds_is_never_taken_for_the_next(
    #[values(0, 2 * MS, 4 * MS, REUSE_DELAY - 1)] later: Nanos,
) {
    let mut s = stage();
    let mut first = s.connects(1, 0);
    s.replies_pong(&mut first, 0);
    s.results();
    s.now += later;
    s.dispatch(2, b"two".to_vec());
    assert_eq!(
        (s.counters.upstream_opened, s.counters.upstream_closed),
        (2, 0),
        "the first one rests"
    );
    let mut second = s.listener.accept().unwrap().0;
    s.ready(1);
    // The second answer to the first job comes, and is looked at first.
    first.write_all(b"-ERR again\r\n").unwrap();
    s.ready(0);
    assert_eq!(
        (s.results(), s.counters.upstream_closed),
        (vec![], 1),
        "it is nobody's"
    );
    s.replies_pong(&mut second, 1);
    assert_eq!(s.results(), [pong()]);
}

#[test]
fn an_idle_connection_past_its_reuse_delay_goes_before_one_used_later() {
    let mut s = stage();
    let mut first = s.connects(1, 0);
    let mut second = s.connects(2, 1);
    s.replies_pong(&mut first, 0);
    s.now = REUSE_DELAY;
    s.replies_pong(&mut second, 1);
    assert_eq!(
        [
            s.pool.take_idle(REUSE_DELAY, ENDPOINT),
            s.pool.take_idle(REUSE_DELAY, ENDPOINT)
        ],
        [Some(0), None]
    );
    assert_eq!(s.pool.take_idle(2 * REUSE_DELAY, ENDPOINT), Some(1));
}

#[test]
fn at_the_limit_of_an_endpoint_an_idle_connection_is_closed_even_within_its_reuse_delay() {
    let mut s = stage();
    s.pool.set_max_connections(4);
    let mut first = s.connects(1, 0);
    s.dispatch(2, b"two".to_vec());
    assert_eq!(
        s.results(),
        [ExchangeResult::NoCapacity],
        "an endpoint gets one of four, and that one is busy"
    );
    s.replies_pong(&mut first, 0);
    s.results();
    s.dispatch(3, b"three".to_vec());
    let mut second = s.listener.accept().unwrap().0;
    s.ready(1);
    second.read_exact(&mut [0; 5]).unwrap();
    assert_eq!((s.results(), s.counters.upstream_closed), (vec![], 1));
}

#[test]
fn a_job_whose_connection_comes_up_too_late_is_never_written() {
    type Late = fn(&mut Stage);
    let cases: [Late; 3] = [
        |s| s.pool.drain(ENDPOINT, &mut s.events, &mut s.counters),
        |s| {
            s.pool
                .handle_connect_timeout(0, &mut s.events, &mut s.counters);
        },
        // Given up: whoever gave it up needs no telling.
        |s| {
            s.pool.abandon(UpstreamJob::HealthCheck(1), &mut s.counters);
            s.events.push(UpstreamEvent::Completed {
                job: UpstreamJob::HealthCheck(1),
                result: ExchangeResult::ConnectFailed,
            });
        },
    ];
    for late in cases {
        let mut s = stage();
        s.dispatch(1, b"one".to_vec());
        let mut connection = s.listener.accept().unwrap().0;
        late(&mut s);
        s.ready(0);
        assert_eq!(
            connection.read(&mut [0; 3]).unwrap(),
            0,
            "closed without a byte"
        );
        assert_eq!(s.results(), [ExchangeResult::ConnectFailed]);
    }
}

#[test]
fn an_answer_that_stalls_is_unreadable_and_one_that_progresses_is_not() {
    let mut s = stage();
    let mut stream = s.connects(1, 0);
    s.pool
        .handle_stall_timeout(STALL_TIMEOUT, 0, &mut s.events, &mut s.counters);
    assert_eq!(
        s.results(),
        [],
        "no answer has begun: that is for the engine's timeout"
    );
    for part in [b"+P", b"ON"] {
        stream.write_all(part).unwrap();
        s.now += STALL_TIMEOUT - 1;
        s.ready(0);
        s.pool
            .handle_stall_timeout(s.now, 0, &mut s.events, &mut s.counters);
    }
    assert_eq!(s.results(), []);
    s.pool
        .handle_stall_timeout(s.now + STALL_TIMEOUT, 0, &mut s.events, &mut s.counters);
    assert_eq!(
        (s.results(), s.counters.upstream_stalled),
        (vec![ExchangeResult::Unreadable], 1)
    );
    assert!(
        s.pool.connections.is_empty(),
        "where the next answer would begin is unknown"
    );
}

#[test]
fn partial_answers_share_one_buffer_limit() {
    let mut s = stage();
    s.pool.set_max_buffered_bytes(1_000);
    let mut first = s.connects(1, 0);
    let mut second = s.connects(2, 1);
    for (stream, number, is_unreadable) in [(&mut first, 0, false), (&mut second, 1, true)] {
        stream
            .write_all(&[b"$60000\r\n".as_slice(), &[b'x'; 600]].concat())
            .unwrap();
        s.ready(number);
        assert_eq!(s.results() == [ExchangeResult::Unreadable], is_unreadable);
    }
    assert_eq!(s.pool.buffered_bytes, 608, "abandoned answers are released");
    s.pool.abandon(UpstreamJob::HealthCheck(1), &mut s.counters);
    assert_eq!(s.pool.buffered_bytes, 0);
}

#[rstest]
fn a_connection_that_breaks_before_the_last_byte_is_written_counts_as_connect_failed(
    #[values(false, true)] withdrawn: bool,
) {
    let mut s = stage();
    // More than the sockets' buffers hold, and nobody reads.
    s.dispatch(1, vec![0; 64 << 20]);
    let connection = s.listener.accept().unwrap().0;
    s.ready(0);
    assert!(s.pool.connections[&0].written > 0);
    if withdrawn {
        s.pool.drain(ENDPOINT, &mut s.events, &mut s.counters);
    }
    assert_eq!(
        (s.results(), s.pool.is_unsent(UpstreamJob::HealthCheck(1))),
        (vec![], true)
    );
    drop(connection);
    s.ready(0);
    assert_eq!(s.results(), [ExchangeResult::ConnectFailed]);
}

#[test]
fn an_endpoint_gets_its_part_of_the_connections_and_no_more() {
    let mut s = stage();
    for check in 1..=3 {
        s.dispatch(check, b"one".to_vec());
    }
    assert_eq!(
        (s.results(), s.counters.upstream_opened),
        (vec![ExchangeResult::NoCapacity], 2)
    );
}

#[test]
fn a_long_value_is_streamed_and_stalls_only_while_it_is_read() {
    let mut s = stage();
    let job = UpstreamJob::Attempt(RequestId(1), AttemptNumber(0));
    s.send(job, b"one".to_vec());
    let mut stream = s.listener.accept().unwrap().0;
    s.ready(0);
    stream.write_all(b"*3\r\n$70000\r\n").unwrap();
    s.ready(0);
    s.pool.handle_stall_timeout(
        STREAM_START_STALL_TIMEOUT - 1,
        0,
        &mut s.events,
        &mut s.counters,
    );
    assert_eq!(s.events, [], "a long one may come slowly");
    stream.write_all(&[b'x'; 5_000]).unwrap();
    s.ready(0);
    let part = UpstreamEvent::StreamChunk {
        job,
        bytes: vec![b'x'; 5_000],
    };
    assert_eq!(
        s.events,
        [
            UpstreamEvent::StreamStarted {
                job,
                length: 70_000
            },
            part
        ]
    );
    assert_eq!(s.pool.buffered_bytes, 0, "forwarded bytes are not buffered");
    s.events.clear();
    s.pool.pause(0, job);
    s.pool
        .handle_stall_timeout(STREAM_STALL_TIMEOUT, 0, &mut s.events, &mut s.counters);
    assert_eq!(s.events, [], "the client is waited for");
    s.pool.resume(STREAM_STALL_TIMEOUT, job, &mut s.timers);
    s.pool.handle_stall_timeout(
        2 * STREAM_STALL_TIMEOUT - 1,
        0,
        &mut s.events,
        &mut s.counters,
    );
    assert_eq!(s.events, []);
    s.pool
        .handle_stall_timeout(2 * STREAM_STALL_TIMEOUT, 0, &mut s.events, &mut s.counters);
    assert_eq!(
        (s.results(), s.counters.upstream_stalled),
        (vec![ExchangeResult::Unreadable], 1)
    );
}

#[test]
fn a_connection_close_to_the_endpoints_idle_timeout_is_not_reused() {
    for (conn_idle, at, reused) in [
        (1_000 * MS, 749 * MS, true),
        (1_000 * MS, 750 * MS, false),
        (0, REUSE_DELAY, false),
    ] {
        let mut s = stage();
        s.pool.idle_timeout = UpstreamPool::new(&s.pool.poll, 8, MS, conn_idle).idle_timeout;
        let mut first = s.connects(1, 0);
        s.replies_pong(&mut first, 0);
        s.results();
        // The sweep, which closes it, has not come by.
        s.now = at;
        s.dispatch(2, b"two".to_vec());
        assert_eq!(
            s.counters.upstream_opened,
            if reused { 1 } else { 2 },
            "{conn_idle} {at}"
        );
    }
}

#[test]
fn a_connection_that_was_busy_when_its_endpoint_drained_is_not_reused() {
    let mut s = stage();
    let mut first = s.connects(1, 0);
    s.pool.drain(ENDPOINT, &mut s.events, &mut s.counters);
    s.replies_pong(&mut first, 0);
    assert_eq!(s.results(), [pong()], "what has begun ends there");
    s.dispatch(2, b"two".to_vec());
    assert_eq!(s.results(), [ExchangeResult::ConnectFailed]);
    s.pool.set_address(
        ENDPOINT,
        s.listener.local_addr().unwrap(),
        &mut s.events,
        &mut s.counters,
    );
    s.dispatch(3, b"three".to_vec());
    assert_eq!(
        (
            s.results(),
            s.counters.upstream_opened,
            s.counters.upstream_closed
        ),
        (vec![], 2, 1),
        "in service again"
    );
}

#[test]
fn the_stall_timeout_of_a_far_cache_is_some_round_trips() {
    const FAR: Nanos = 60 * MS;
    // One of its connections was delayed, which says nothing of the way.
    for (first, second) in [(FAR, 1_000 * MS), (1_000 * MS, FAR)] {
        let mut s = stage();
        for (check, took) in [(1, first), (2, second)] {
            s.dispatch(check, b"one".to_vec());
            s.now += took;
            s.ready(check - 1);
        }
        let mut stream = s.listener.accept().unwrap().0;
        s.listener.accept().unwrap();
        stream.write_all(b"+P").unwrap();
        s.ready(0);
        let started = s.now;
        s.pool
            .handle_stall_timeout(started + 2 * FAR, 0, &mut s.events, &mut s.counters);
        assert_eq!(s.results(), [], "the rest may be on its way");
        stream.write_all(b"ONG\r\n").unwrap();
        s.now = started + 2 * FAR;
        s.ready(0);
        assert_eq!(s.results(), [pong()]);
        // The next one ends short.
        s.now += REUSE_DELAY;
        s.dispatch(3, b"two".to_vec());
        stream.write_all(b"+P").unwrap();
        s.ready(0);
        s.pool
            .handle_stall_timeout(s.now + 3 * FAR - 1, 0, &mut s.events, &mut s.counters);
        assert_eq!(s.results(), []);
        s.pool
            .handle_stall_timeout(s.now + 3 * FAR, 0, &mut s.events, &mut s.counters);
        assert_eq!(
            s.results(),
            [ExchangeResult::Unreadable],
            "no longer than that"
        );
    }
}

#[test]
fn a_command_partly_written_when_its_endpoint_drains_is_completed() {
    // More than the sockets between them hold.
    const LENGTH: usize = 64 << 20;
    let mut s = stage();
    s.dispatch(1, vec![b'x'; LENGTH]);
    let mut stream = s.listener.accept().unwrap().0;
    s.ready(0);
    s.pool.drain(ENDPOINT, &mut s.events, &mut s.counters);
    assert_eq!(
        s.results(),
        [],
        "for drains a send counts from its first byte"
    );
    assert!(s.pool.is_unsent(UpstreamJob::HealthCheck(1)));
    let (mut read, mut some) = (0, vec![0; READ_SIZE]);
    while read < LENGTH {
        read += stream.read(&mut some).unwrap();
        let ready = Readiness {
            source: EventSource::Upstream(0),
            readable: false,
            writable: true,
        };
        s.pool
            .handle_ready(s.now, ready, &mut s.timers, &mut s.events, &mut s.counters);
    }
    s.replies_pong(&mut stream, 0);
    assert_eq!(s.results(), [pong()]);
    s.dispatch(2, b"two".to_vec());
    assert_eq!(
        (s.results(), s.counters.upstream_closed),
        (vec![ExchangeResult::ConnectFailed], 1),
        "nothing new"
    );
}
