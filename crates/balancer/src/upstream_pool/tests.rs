//! Tests of the pool: a connection carries one job at a time, and each job gets the right result.

mod idle;
mod responses;

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

/// Time after which a step of a test counts as failed.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const ENDPOINT: EndpointId = EndpointId(7);

/// A pool with one endpoint, whose side of the connections the test controls.
struct PoolTest {
    pool: UpstreamPool,
    listener: TcpListener,
    timers: Timers,
    counters: Counters,
    events: Vec<UpstreamEvent>,
    now: Nanos,
    /// Commands of the jobs, to be written once their connections are established.
    commands: HashMap<UpstreamJob, Vec<u8>>,
}

impl PoolTest {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // The timeout also applies to the accepted sockets: a missing step fails the test instead
        // of blocking it.
        SockRef::from(&listener)
            .set_read_timeout(Some(STEP_TIMEOUT))
            .unwrap();
        let (poll, mut counters) = (Poll::new().unwrap(), Counters::default());
        let mut pool = UpstreamPool::new(&poll, 8, MS, 1000 * MS);
        let mut events = Vec::new();
        pool.set_process(ENDPOINT, process(&listener, 0), &mut events, &mut counters);
        PoolTest {
            pool,
            listener,
            timers: Timers::default(),
            counters,
            events,
            now: 0,
            commands: HashMap::new(),
        }
    }

    fn dispatch_health_check(&mut self, check: u64, command: Vec<u8>) {
        self.dispatch_job(UpstreamJob::HealthCheck(check), command);
    }

    fn dispatch_job(&mut self, job: UpstreamJob, command: Vec<u8>) {
        self.commands.insert(job, command);
        let outbound = OutboundCommand {
            job,
            endpoint: ENDPOINT,
            deadline: MS,
            may_use_reserve: matches!(job, UpstreamJob::HealthCheck(_)),
        };
        self.pool.dispatch(
            self.now,
            outbound,
            &mut self.timers,
            &mut self.events,
            &mut self.counters,
        );
        self.send_commands();
    }

    /// Sends the commands of connected jobs, as the event loop does.
    fn send_commands(&mut self) {
        for event in std::mem::take(&mut self.events) {
            let UpstreamEvent::Connected { job } = event else {
                self.events.push(event);
                continue;
            };
            let command = self
                .commands
                .remove(&job)
                .expect("a job is connected only once");
            self.pool
                .send_command(job, command, &mut self.events, &mut self.counters);
        }
    }

    /// Reports a connection as readable and writable to the pool.
    fn handle_ready(&mut self, number: u64) {
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
        self.send_commands();
    }

    /// Dispatches a health check and returns the endpoint's side of its new, established
    /// connection.
    fn open_connection(&mut self, check: u64, number: u64) -> TcpStream {
        self.dispatch_health_check(check, b"one".to_vec());
        let stream = self.listener.accept().unwrap().0;
        self.handle_ready(number);
        stream
    }

    /// Sends a `PONG` reply from the endpoint on a connection.
    fn reply_pong(&mut self, stream: &mut TcpStream, number: u64) {
        stream.write_all(b"+PONG\r\n").unwrap();
        self.handle_ready(number);
    }

    /// Runs the stall timer of connection 0.
    fn handle_stall_timeout(&mut self, now: Nanos) {
        self.pool
            .handle_stall_timeout(now, 0, &mut self.events, &mut self.counters);
    }

    /// Removes all events and returns the results of completed jobs.
    fn take_results(&mut self) -> Vec<ExchangeResult> {
        let result = |event| match event {
            UpstreamEvent::Completed { result, .. } => Some(result),
            _ => None,
        };
        self.events.drain(..).filter_map(result).collect()
    }
}

fn process(listener: &TcpListener, started: Nanos) -> EndpointProcess {
    EndpointProcess {
        address: listener.local_addr().unwrap(),
        started,
    }
}

fn pong() -> ExchangeResult {
    ExchangeResult::Reply(Reply::Status("PONG".into()))
}

#[test]
fn job_is_not_written_if_it_ends_before_its_connection_is_established() {
    type EndJob = fn(&mut PoolTest);
    let cases: [EndJob; 3] = [
        |test| {
            test.pool
                .drain(ENDPOINT, &mut test.events, &mut test.counters);
        },
        |test| {
            test.pool
                .handle_connect_timeout(0, &mut test.events, &mut test.counters);
        },
        // The pool reports no event for an abandoned job: the caller knows that it has ended.
        |test| {
            test.pool.abandon(
                UpstreamJob::HealthCheck(1),
                CloseReason::TimedOut,
                &mut test.counters,
            );
            test.events.push(UpstreamEvent::Completed {
                job: UpstreamJob::HealthCheck(1),
                result: ExchangeResult::ConnectFailed,
            });
        },
    ];
    for end_job in cases {
        let mut test = PoolTest::start();
        test.dispatch_health_check(1, b"one".to_vec());
        let mut connection = test.listener.accept().unwrap().0;
        end_job(&mut test);
        test.handle_ready(0);
        assert_eq!(
            connection.read(&mut [0; 3]).unwrap(),
            0,
            "the connection is closed without a byte"
        );
        assert_eq!(test.take_results(), [ExchangeResult::ConnectFailed]);
    }
}

#[rstest]
fn connection_that_breaks_before_the_last_byte_is_written_counts_as_connect_failed(
    #[values(false, true)] drains: bool,
) {
    let mut test = PoolTest::start();
    // The command exceeds the socket buffers, and the endpoint does not read.
    test.dispatch_health_check(1, vec![0; 64 << 20]);
    let connection = test.listener.accept().unwrap().0;
    test.handle_ready(0);
    assert!(test.pool.connections[&0].written > 0);
    if drains {
        test.pool
            .drain(ENDPOINT, &mut test.events, &mut test.counters);
    }
    assert_eq!(
        (
            test.take_results(),
            test.pool.is_unsent(UpstreamJob::HealthCheck(1))
        ),
        (vec![], true)
    );
    drop(connection);
    test.handle_ready(0);
    assert_eq!(test.take_results(), [ExchangeResult::ConnectFailed]);
}

#[test]
fn endpoint_gets_at_most_its_share_of_the_connections() {
    let mut test = PoolTest::start();
    for check in 1..=3 {
        test.dispatch_health_check(check, b"one".to_vec());
    }
    assert_eq!(
        (test.take_results(), test.counters.upstream_opened),
        (vec![ExchangeResult::NoCapacity], 2)
    );
}

#[test]
fn connection_that_was_busy_when_its_endpoint_drained_is_not_reused() {
    let mut test = PoolTest::start();
    let mut first = test.open_connection(1, 0);
    test.pool
        .drain(ENDPOINT, &mut test.events, &mut test.counters);
    test.reply_pong(&mut first, 0);
    assert_eq!(
        test.take_results(),
        [pong()],
        "the job that had begun completes"
    );
    test.dispatch_health_check(2, b"two".to_vec());
    assert_eq!(test.take_results(), [ExchangeResult::ConnectFailed]);
    test.pool.set_process(
        ENDPOINT,
        process(&test.listener, 0),
        &mut test.events,
        &mut test.counters,
    );
    test.dispatch_health_check(3, b"three".to_vec());
    assert_eq!(
        (
            test.take_results(),
            test.counters.upstream_opened,
            test.counters.upstream_closed
        ),
        (vec![], 2, 1),
        "the endpoint is in service again, on a new connection"
    );
}

/// Guards against a command on a connection to a process that is gone: the new one has the same
/// address, and the old connections stay open and silent.
#[rstest]
fn connections_to_a_former_process_carry_no_new_commands(
    #[values(true, false)] is_busy_at_the_change: bool,
) {
    let mut test = PoolTest::start();
    let mut first = test.open_connection(1, 0);
    if !is_busy_at_the_change {
        test.reply_pong(&mut first, 0);
    }
    let restarted = process(&test.listener, MS);
    let is_new = test
        .pool
        .set_process(ENDPOINT, restarted, &mut test.events, &mut test.counters);
    assert!(is_new);
    if is_busy_at_the_change {
        test.reply_pong(&mut first, 0);
    }
    assert_eq!(test.take_results(), [pong()]);
    test.now += REUSE_DELAY;
    test.dispatch_health_check(2, b"two".to_vec());
    assert_eq!(
        (test.counters.upstream_opened, test.counters.upstream_closed),
        (2, 1)
    );
}

#[test]
fn command_partly_written_when_its_endpoint_drains_is_completed() {
    // More than the socket buffers hold.
    const LENGTH: usize = 64 << 20;
    let mut test = PoolTest::start();
    test.dispatch_health_check(1, vec![b'x'; LENGTH]);
    let mut stream = test.listener.accept().unwrap().0;
    test.handle_ready(0);
    test.pool
        .drain(ENDPOINT, &mut test.events, &mut test.counters);
    assert_eq!(
        test.take_results(),
        [],
        "a command of which the first byte is written counts as sent"
    );
    assert!(test.pool.is_unsent(UpstreamJob::HealthCheck(1)));
    let (mut received, mut buffer) = (0, vec![0; READ_SIZE]);
    while received < LENGTH {
        received += stream.read(&mut buffer).unwrap();
        let ready = Readiness {
            source: EventSource::Upstream(0),
            readable: false,
            writable: true,
        };
        test.pool.handle_ready(
            test.now,
            ready,
            &mut test.timers,
            &mut test.events,
            &mut test.counters,
        );
    }
    test.reply_pong(&mut stream, 0);
    assert_eq!(test.take_results(), [pong()]);
    test.dispatch_health_check(2, b"two".to_vec());
    assert_eq!(
        (test.take_results(), test.counters.upstream_closed),
        (vec![ExchangeResult::ConnectFailed], 1),
        "a draining endpoint gets no new command"
    );
}
