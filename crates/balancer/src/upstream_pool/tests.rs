//! Connections to peers: one job at a time, and how each ends.

use super::*;
use rstest::rstest;
use socket2::SockRef;
use std::net::TcpListener;
use std::time::Duration;

/// After this a step has failed.
const PATIENCE: Duration = Duration::from_secs(20);
const SERVER: EndpointId = EndpointId(7);

struct Stage {
    peers: UpstreamPool,
    peer: TcpListener,
    timers: Timers,
    counters: Counters,
    events: Vec<UpstreamEvent>,
    now: Nanos,
    /// What the jobs say once they begin.
    commands: HashMap<UpstreamJob, Vec<u8>>,
}

fn stage() -> Stage {
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    // Also for what it accepts: a step that does not come fails, and does not hang.
    SockRef::from(&peer)
        .set_read_timeout(Some(PATIENCE))
        .unwrap();
    let (poll, mut counters) = (Poll::new().unwrap(), Counters::default());
    let mut peers = UpstreamPool::new(&poll, 8, MS, 1000 * MS);
    let mut events = Vec::new();
    peers.set_address(
        SERVER,
        peer.local_addr().unwrap(),
        &mut events,
        &mut counters,
    );
    Stage {
        peers,
        peer,
        timers: Timers::default(),
        counters,
        events,
        now: 0,
        commands: HashMap::new(),
    }
}

impl Stage {
    fn dispatch(&mut self, probe: u64, command: Vec<u8>) {
        self.send(UpstreamJob::Probe(probe), command);
    }

    fn send(&mut self, job: UpstreamJob, command: Vec<u8>) {
        self.commands.insert(job, command);
        let outgoing = OutboundCommand {
            job,
            server: SERVER,
            until: MS,
        };
        self.peers.dispatch(
            self.now,
            outgoing,
            &mut self.timers,
            &mut self.events,
            &mut self.counters,
        );
        self.begin();
    }

    /// As the loop does: who is up begins.
    fn begin(&mut self) {
        for event in std::mem::take(&mut self.events) {
            let UpstreamEvent::Up { job } = event else {
                self.events.push(event);
                continue;
            };
            let command = self.commands.remove(&job).expect("up once");
            self.peers
                .begin(job, command, &mut self.events, &mut self.counters);
        }
    }

    fn ready(&mut self, number: u64) {
        let ready = Readiness {
            source: EventSource::Upstream(number),
            readable: true,
            writable: true,
        };
        self.peers.ready(
            self.now,
            ready,
            &mut self.timers,
            &mut self.events,
            &mut self.counters,
        );
        self.begin();
    }

    /// A probe's new connection, which is up.
    fn connects(&mut self, probe: u64, number: u64) -> TcpStream {
        self.dispatch(probe, b"one".to_vec());
        let stream = self.peer.accept().unwrap().0;
        self.ready(number);
        stream
    }

    /// The peer answers on a connection.
    fn pongs(&mut self, stream: &mut TcpStream, number: u64) {
        stream.write_all(b"+PONG\r\n").unwrap();
        self.ready(number);
    }

    fn ends(&mut self) -> Vec<ExchangeResult> {
        let end = |event| match event {
            UpstreamEvent::End { end, .. } => Some(end),
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
    s.pongs(&mut first, 0);
    assert_eq!(s.ends(), [pong()]);
    drop(first);
    s.now = REST;
    s.dispatch(2, b"two".to_vec());
    assert_eq!((s.counters.peers_opened, s.counters.peers_closed), (2, 1));
    let mut second = s.peer.accept().unwrap().0;
    s.ready(1);
    second.read_exact(&mut [0; 3]).unwrap();
    assert_eq!(s.ends(), []);
}

#[rstest]
fn a_second_answer_some_milliseconds_behind_is_never_the_next_one(
    #[values(0, 2 * MS, 4 * MS, REST - 1)] later: Nanos,
) {
    let mut s = stage();
    let mut first = s.connects(1, 0);
    s.pongs(&mut first, 0);
    s.ends();
    s.now += later;
    s.dispatch(2, b"two".to_vec());
    assert_eq!(
        (s.counters.peers_opened, s.counters.peers_closed),
        (2, 0),
        "the first one rests"
    );
    let mut second = s.peer.accept().unwrap().0;
    s.ready(1);
    // The second answer to the first job comes, and is looked at first.
    first.write_all(b"-ERR again\r\n").unwrap();
    s.ready(0);
    assert_eq!(
        (s.ends(), s.counters.peers_closed),
        (vec![], 1),
        "it is nobody's"
    );
    s.pongs(&mut second, 1);
    assert_eq!(s.ends(), [pong()]);
}

#[test]
fn of_two_that_stand_idle_the_one_that_has_rested_is_taken_though_the_other_was_used_last() {
    let mut s = stage();
    let mut first = s.connects(1, 0);
    let mut second = s.connects(2, 1);
    s.pongs(&mut first, 0);
    s.now = REST;
    s.pongs(&mut second, 1);
    assert_eq!(
        [
            s.peers.take_idle(REST, SERVER),
            s.peers.take_idle(REST, SERVER)
        ],
        [Some(0), None]
    );
    assert_eq!(s.peers.take_idle(2 * REST, SERVER), Some(1));
}

#[test]
fn at_the_limit_of_a_peer_one_that_rests_makes_room() {
    let mut s = stage();
    s.peers.set_most(4);
    let mut first = s.connects(1, 0);
    s.dispatch(2, b"two".to_vec());
    assert_eq!(
        s.ends(),
        [ExchangeResult::NoPlace],
        "a peer has one of four, and that is at work"
    );
    s.pongs(&mut first, 0);
    s.ends();
    s.dispatch(3, b"three".to_vec());
    let mut second = s.peer.accept().unwrap().0;
    s.ready(1);
    second.read_exact(&mut [0; 5]).unwrap();
    assert_eq!((s.ends(), s.counters.peers_closed), (vec![], 1));
}

#[test]
fn a_job_whose_connection_comes_up_too_late_is_never_written() {
    type Late = fn(&mut Stage);
    let cases: [Late; 3] = [
        |s| s.peers.withdraw(SERVER, &mut s.events, &mut s.counters),
        |s| s.peers.connect_due(0, &mut s.events, &mut s.counters),
        // Given up: whoever gave it up needs no telling.
        |s| {
            s.peers.abandon(UpstreamJob::Probe(1), &mut s.counters);
            s.events.push(UpstreamEvent::End {
                job: UpstreamJob::Probe(1),
                end: ExchangeResult::NeverSent,
            });
        },
    ];
    for late in cases {
        let mut s = stage();
        s.dispatch(1, b"one".to_vec());
        let mut connection = s.peer.accept().unwrap().0;
        late(&mut s);
        s.ready(0);
        assert_eq!(
            connection.read(&mut [0; 3]).unwrap(),
            0,
            "ended without a byte"
        );
        assert_eq!(s.ends(), [ExchangeResult::NeverSent]);
    }
}

#[test]
fn an_answer_that_stands_still_is_spoilt_and_one_that_goes_on_is_not() {
    let mut s = stage();
    let mut peer = s.connects(1, 0);
    s.peers.stall_due(STALL, 0, &mut s.events, &mut s.counters);
    assert_eq!(
        s.ends(),
        [],
        "none has begun: that is for the module's time-out"
    );
    for part in [b"+P", b"ON"] {
        peer.write_all(part).unwrap();
        s.now += STALL - 1;
        s.ready(0);
        s.peers.stall_due(s.now, 0, &mut s.events, &mut s.counters);
    }
    assert_eq!(s.ends(), []);
    s.peers
        .stall_due(s.now + STALL, 0, &mut s.events, &mut s.counters);
    assert_eq!(
        (s.ends(), s.counters.stalled),
        (vec![ExchangeResult::Spoilt], 1)
    );
    assert!(
        s.peers.connections.is_empty(),
        "where the next answer would begin is unknown"
    );
}

#[test]
fn answers_that_have_begun_are_bounded_together() {
    let mut s = stage();
    s.peers.set_coming_most(1_000);
    let mut first = s.connects(1, 0);
    let mut second = s.connects(2, 1);
    for (stream, number, spoilt) in [(&mut first, 0, false), (&mut second, 1, true)] {
        stream
            .write_all(&[b"$60000\r\n".as_slice(), &[b'x'; 600]].concat())
            .unwrap();
        s.ready(number);
        assert_eq!(s.ends() == [ExchangeResult::Spoilt], spoilt);
    }
    assert_eq!(s.peers.coming, 608, "what was given up is let go of");
    s.peers.abandon(UpstreamJob::Probe(1), &mut s.counters);
    assert_eq!(s.peers.coming, 0);
}

#[rstest]
fn a_break_before_the_last_byte_is_written_means_that_it_never_ran(
    #[values(false, true)] withdrawn: bool,
) {
    let mut s = stage();
    // More than the sockets' buffers hold, and nobody reads.
    s.dispatch(1, vec![0; 64 << 20]);
    let connection = s.peer.accept().unwrap().0;
    s.ready(0);
    assert!(s.peers.connections[&0].written > 0);
    if withdrawn {
        s.peers.withdraw(SERVER, &mut s.events, &mut s.counters);
    }
    assert_eq!(
        (s.ends(), s.peers.is_unsent(UpstreamJob::Probe(1))),
        (vec![], true)
    );
    drop(connection);
    s.ready(0);
    assert_eq!(s.ends(), [ExchangeResult::NeverSent]);
}

#[test]
fn a_peer_gets_its_part_of_the_connections_and_no_more() {
    let mut s = stage();
    for probe in 1..=3 {
        s.dispatch(probe, b"one".to_vec());
    }
    assert_eq!(
        (s.ends(), s.counters.peers_opened),
        (vec![ExchangeResult::NoPlace], 2)
    );
}

#[test]
fn a_long_value_is_passed_on_as_it_comes_and_stands_still_only_while_it_is_read() {
    let mut s = stage();
    let job = UpstreamJob::Attempt(RequestId(1), AttemptNumber(0));
    s.send(job, b"one".to_vec());
    let mut peer = s.peer.accept().unwrap().0;
    s.ready(0);
    peer.write_all(b"*3\r\n$70000\r\n").unwrap();
    s.ready(0);
    s.peers
        .stall_due(STALL_LONG - 1, 0, &mut s.events, &mut s.counters);
    assert_eq!(s.events, [], "a long one may come slowly");
    peer.write_all(&[b'x'; 5_000]).unwrap();
    s.ready(0);
    let part = UpstreamEvent::Part {
        job,
        bytes: vec![b'x'; 5_000],
    };
    assert_eq!(
        s.events,
        [
            UpstreamEvent::Begun {
                job,
                length: 70_000
            },
            part
        ]
    );
    assert_eq!(s.peers.coming, 0, "what was passed on is not held");
    s.events.clear();
    s.peers.pause(0, job, true, &mut s.timers);
    s.peers
        .stall_due(STALL_PASSING, 0, &mut s.events, &mut s.counters);
    assert_eq!(s.events, [], "the client is waited for");
    s.peers.pause(STALL_PASSING, job, false, &mut s.timers);
    s.peers
        .stall_due(2 * STALL_PASSING - 1, 0, &mut s.events, &mut s.counters);
    assert_eq!(s.events, []);
    s.peers
        .stall_due(2 * STALL_PASSING, 0, &mut s.events, &mut s.counters);
    assert_eq!(
        (s.ends(), s.counters.stalled),
        (vec![ExchangeResult::Spoilt], 1)
    );
}

#[test]
fn a_connection_that_the_peer_may_be_closing_for_its_idle_time_carries_nothing_more() {
    for (conn_idle, at, reused) in [
        (1_000 * MS, 749 * MS, true),
        (1_000 * MS, 750 * MS, false),
        (0, REST, false),
    ] {
        let mut s = stage();
        s.peers.idle_time = UpstreamPool::new(&s.peers.poll, 8, MS, conn_idle).idle_time;
        let mut first = s.connects(1, 0);
        s.pongs(&mut first, 0);
        s.ends();
        // The sweep, which closes it, has not come by.
        s.now = at;
        s.dispatch(2, b"two".to_vec());
        assert_eq!(
            s.counters.peers_opened,
            if reused { 1 } else { 2 },
            "{conn_idle} {at}"
        );
    }
}

#[test]
fn a_connection_that_was_busy_when_its_peer_was_withdrawn_is_not_kept_for_the_next_job() {
    let mut s = stage();
    let mut first = s.connects(1, 0);
    s.peers.withdraw(SERVER, &mut s.events, &mut s.counters);
    s.pongs(&mut first, 0);
    assert_eq!(s.ends(), [pong()], "what has begun ends there");
    s.dispatch(2, b"two".to_vec());
    assert_eq!(s.ends(), [ExchangeResult::NeverSent]);
    s.peers.set_address(
        SERVER,
        s.peer.local_addr().unwrap(),
        &mut s.events,
        &mut s.counters,
    );
    s.dispatch(3, b"three".to_vec());
    assert_eq!(
        (s.ends(), s.counters.peers_opened, s.counters.peers_closed),
        (vec![], 2, 1),
        "in service again"
    );
}

#[test]
fn the_answer_of_a_far_cache_may_stand_still_for_some_round_trips() {
    const FAR: Nanos = 60 * MS;
    // One of its connections was held up: that says nothing of the way.
    for (first, second) in [(FAR, 1_000 * MS), (1_000 * MS, FAR)] {
        let mut s = stage();
        for (probe, took) in [(1, first), (2, second)] {
            s.dispatch(probe, b"one".to_vec());
            s.now += took;
            s.ready(probe - 1);
        }
        let mut peer = s.peer.accept().unwrap().0;
        s.peer.accept().unwrap();
        peer.write_all(b"+P").unwrap();
        s.ready(0);
        let started = s.now;
        s.peers
            .stall_due(started + 2 * FAR, 0, &mut s.events, &mut s.counters);
        assert_eq!(s.ends(), [], "the rest may be on its way");
        peer.write_all(b"ONG\r\n").unwrap();
        s.now = started + 2 * FAR;
        s.ready(0);
        assert_eq!(s.ends(), [pong()]);
        // The next one ends short.
        s.now += REST;
        s.dispatch(3, b"two".to_vec());
        peer.write_all(b"+P").unwrap();
        s.ready(0);
        s.peers
            .stall_due(s.now + 3 * FAR - 1, 0, &mut s.events, &mut s.counters);
        assert_eq!(s.ends(), []);
        s.peers
            .stall_due(s.now + 3 * FAR, 0, &mut s.events, &mut s.counters);
        assert_eq!(s.ends(), [ExchangeResult::Spoilt], "no longer than that");
    }
}

#[test]
fn a_command_written_in_part_when_its_peer_is_withdrawn_goes_on() {
    // More than the sockets between them hold.
    const LENGTH: usize = 64 << 20;
    let mut s = stage();
    s.dispatch(1, vec![b'x'; LENGTH]);
    let mut peer = s.peer.accept().unwrap().0;
    s.ready(0);
    s.peers.withdraw(SERVER, &mut s.events, &mut s.counters);
    assert_eq!(s.ends(), [], "for drains a send counts from its first byte");
    assert!(s.peers.is_unsent(UpstreamJob::Probe(1)));
    let (mut read, mut some) = (0, vec![0; READ_SIZE]);
    while read < LENGTH {
        read += peer.read(&mut some).unwrap();
        let ready = Readiness {
            source: EventSource::Upstream(0),
            readable: false,
            writable: true,
        };
        s.peers
            .ready(s.now, ready, &mut s.timers, &mut s.events, &mut s.counters);
    }
    s.pongs(&mut peer, 0);
    assert_eq!(s.ends(), [pong()]);
    s.dispatch(2, b"two".to_vec());
    assert_eq!(
        (s.ends(), s.counters.peers_closed),
        (vec![ExchangeResult::NeverSent], 1),
        "nothing new"
    );
}
