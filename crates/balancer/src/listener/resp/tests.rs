//! Client connections: who is let in, kept, heard and sent away, and answers in order and in parts.

use super::commands::request;
use super::*;
use rstest::rstest;
use socket2::SockRef;
use std::time::Duration;

const SERVING: LifecyclePolicy = LifecyclePolicy {
    state: "serving",
    ready: true,
    listener_mode: ListenerMode::Open,
    closes_idle: false,
    accepts_commands: true,
};
const CLOSING: LifecyclePolicy = LifecyclePolicy {
    ready: false,
    closes_idle: true,
    ..SERVING
};

/// A front for this many connections, and a way to connect to it.
fn front(most: usize) -> (RespListener, impl Fn() -> TcpStream) {
    let poll = Poll::new().expect("a poller");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let front = RespListener::listen(&poll, listener, most, SERVING, PollTimestamps::start(0))
        .expect("it listens");
    let address = front
        .listener
        .as_ref()
        .unwrap()
        .socket()
        .local_addr()
        .unwrap();
    let connect = move || {
        let client = TcpStream::connect(address).expect("it takes clients");
        // An end that does not come fails, and does not hang.
        client
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time-out");
        // What is written is there at once, also behind something small.
        client.set_nodelay(true).expect("no delay");
        client
    };
    (front, connect)
}

/// The connections that do not leave: to the others nothing more is sent, and they close once the client has.
fn staying(front: &RespListener) -> Vec<u64> {
    front
        .connections
        .iter()
        .filter(|(_, c)| c.close_by.is_none())
        .map(|(number, _)| *number)
        .collect()
}

#[test]
fn a_newcomer_does_not_push_out_a_client_whose_request_is_unread() {
    let (mut front, connect) = front(1);
    let mut counters = Counters::default();
    let mut first = connect();
    front.accept(0, &mut counters);
    let _second = connect();
    front.accept(1, &mut counters);
    assert_eq!(
        (counters.clients_accepted, counters.clients_closed),
        (1, 0),
        "just taken"
    );
    assert!(!front.accepting, "the newcomer waits");
    front.reap(2, &mut Vec::new(), &mut counters);
    assert!(front.accepting, "but not for good");
    first.write_all(b"*1\r\n").unwrap();
    front.accept(IDLE_LEAST, &mut counters);
    assert_eq!(
        (counters.clients_accepted, counters.clients_closed),
        (1, 0),
        "something to read"
    );
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: false,
    };
    front.ready(IDLE_LEAST, ready, &mut Vec::new(), &mut counters);
    assert!(!front.connections[&0].is_idle(), "half a command");
    first.write_all(b"$4\r\nPING\r\n").unwrap();
    front.ready(IDLE_LEAST, ready, &mut Vec::new(), &mut counters);
    front.accept(2 * IDLE_LEAST, &mut counters);
    assert_eq!(
        (counters.clients_accepted, counters.clients_closed),
        (2, 1),
        "idle by now"
    );
}

#[test]
fn who_says_nothing_or_half_a_command_or_is_done_is_closed_in_time() {
    let (mut front, connect) = front(20);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut clients: Vec<TcpStream> = (0..3).map(|_| connect()).collect();
    front.accept(0, &mut counters);
    clients[1].write_all(b"*2\r\n$5").unwrap();
    let mut unread = connect();
    front.accept(0, &mut counters);
    unread.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    clients[2].write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    for number in 0..3 {
        let ready = Readiness {
            source: EventSource::Client(number),
            readable: true,
            writable: false,
        };
        front.ready(1, ready, &mut events, &mut counters);
    }
    front.reap(UNFINISHED - 1, &mut events, &mut counters);
    assert_eq!(front.connections.len(), 4);
    front.reap(UNFINISHED, &mut events, &mut counters);
    assert_eq!(
        (staying(&front), counters.clients_unfinished),
        (vec![2, 3], 2),
        "one is only unread"
    );
    drop(front.connections.remove(&3));
    let mut text = String::new();
    clients[1].read_to_string(&mut text).unwrap();
    assert_eq!(text, "-ERR the command did not end in time\r\n");
    front.reap(IDLE, &mut events, &mut counters);
    assert_eq!(
        (staying(&front), counters.clients_idle),
        (vec![2], 0),
        "not yet"
    );
    front.set_connections_max(1);
    front.reap(IDLE, &mut events, &mut counters);
    assert_eq!(
        (staying(&front), counters.clients_idle),
        (vec![], 1),
        "crowded"
    );
    // Their clients do not close: their time ends it.
    front.reap(IDLE + LEAVE - 1, &mut events, &mut counters);
    assert_eq!(front.connections.keys().copied().collect::<Vec<_>>(), [2]);
    front.reap(IDLE + LEAVE, &mut events, &mut counters);
    assert!(front.is_empty());
}

#[test]
fn a_command_that_comes_slowly_has_its_time_from_its_first_byte() {
    let (mut front, connect) = front(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    front.accept(0, &mut counters);
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: false,
    };
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    front.ready(0, ready, &mut events, &mut counters);
    client.write_all(b"*1\r\n$4").unwrap();
    front.ready(UNFINISHED - 1, ready, &mut events, &mut counters);
    for (now, open) in [(2 * UNFINISHED - 2, true), (2 * UNFINISHED - 1, false)] {
        front.reap(now, &mut events, &mut counters);
        assert_eq!(staying(&front).len(), usize::from(open), "{now}");
    }
}

#[test]
fn in_a_crowd_those_that_are_idle_longest_are_closed_and_the_last_used_stay() {
    let (mut front, connect) = front(10);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut clients = Vec::new();
    for number in 0..6 {
        let mut client = connect();
        front.accept(number, &mut counters);
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        clients.push(client);
        let ready = Readiness {
            source: EventSource::Client(number),
            readable: true,
            writable: false,
        };
        front.ready(number, ready, &mut events, &mut counters);
    }
    front.reap(IDLE_LEAST - 1, &mut events, &mut counters);
    assert_eq!(front.connections.len(), 6, "not at once");
    front.reap(IDLE_LEAST + 9, &mut events, &mut counters);
    assert_eq!(staying(&front), [2, 3, 4, 5]);
}

#[test]
fn when_all_places_are_taken_the_idle_make_room_first_then_halves_that_stand_still() {
    let (mut front, connect) = front(4);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut clients: Vec<TcpStream> = (0..4).map(|_| connect()).collect();
    front.accept(0, &mut counters);
    front
        .connections
        .get_mut(&3)
        .unwrap()
        .responses
        .push_back(PendingResponse::Waiting(RequestId(8)));
    let mut say = |front: &mut RespListener, number: u64, now: Nanos, text: &[u8]| {
        clients[number as usize].write_all(text).unwrap();
        let ready = Readiness {
            source: EventSource::Client(number),
            readable: true,
            writable: false,
        };
        front.ready(now, ready, &mut events, &mut Counters::default());
    };
    say(&mut front, 0, 0, b"*1\r\n");
    say(&mut front, 1, 0, b"*1\r\n");
    say(&mut front, 2, 0, b"*1\r\n$4\r\nPING\r\n");
    let _more: Vec<TcpStream> = (0..3).map(|_| connect()).collect();
    front.accept(IDLE_FULL - 1, &mut counters);
    assert_eq!(counters.clients_closed, 0, "just answered");
    front.set_accept_paused(false);
    front.accept(IDLE_FULL, &mut counters);
    assert!(counters.clients_closed == 1 && !front.connections.contains_key(&2));
    // The one goes on, if slowly; the other stands still, and so does the mute one that came.
    say(&mut front, 0, IDLE_FULL + 1, b"$4\r\n");
    front.set_accept_paused(false);
    front.accept(IDLE_FULL + MUTE_LEAST, &mut counters);
    assert_eq!(
        front.connections.keys().copied().collect::<Vec<_>>(),
        [0, 1, 3, 5]
    );
    front
        .connections
        .get_mut(&5)
        .unwrap()
        .responses
        .push_back(PendingResponse::Waiting(RequestId(9)));
    front.set_accept_paused(false);
    front.accept(HALF_LEAST, &mut counters);
    assert_eq!(
        front.connections.keys().copied().collect::<Vec<_>>(),
        [0, 3, 5, 6]
    );
}

#[test]
fn a_hundred_commands_at_once_are_all_taken_without_waiting_for_answers() {
    let (mut front, connect) = front(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    front.accept(0, &mut counters);
    let command = resp::write_command(&[b"C.GET", b"a", b"1", b"c=read,d=9"]);
    client.write_all(&command.repeat(100)).unwrap();
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: false,
    };
    front.ready(0, ready, &mut events, &mut counters);
    assert_eq!(events.len(), 100);
}

#[test]
fn clients_that_say_nothing_do_not_push_out_those_that_do() {
    let (mut front, connect) = front(2);
    let mut counters = Counters::default();
    let mut usual = connect();
    front.accept(0, &mut counters);
    usual.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: false,
    };
    front.ready(0, ready, &mut Vec::new(), &mut counters);
    let _mute: Vec<TcpStream> = (0..4).map(|_| connect()).collect();
    for turn in 1..9 {
        front.accept(turn * IDLE_LEAST, &mut counters);
        front.set_accept_paused(false);
    }
    assert!(front.connections.contains_key(&0) && counters.clients_accepted == 5);
}

#[test]
fn a_client_that_never_sends_does_not_keep_a_stopped_front_open() {
    let (mut front, connect) = front(9);
    let mut counters = Counters::default();
    front.apply_policy(CLOSING, 0, &mut Vec::new(), &mut counters);
    let _late = connect();
    front.accept(1, &mut counters);
    assert!(!front.is_empty());
    let _later = connect();
    front.apply_policy(
        LifecyclePolicy {
            listener_mode: ListenerMode::Closed,
            ..CLOSING
        },
        2,
        &mut Vec::new(),
        &mut counters,
    );
    assert!(front.is_empty());
    assert_eq!(counters.clients_accepted, 2);
}

#[test]
fn in_a_drain_who_comes_and_stays_idle_or_never_ends_is_closed() {
    let (mut front, connect) = front(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    front.apply_policy(CLOSING, 0, &mut events, &mut counters);
    let _idle = connect();
    let mut endless = connect();
    front.accept(1, &mut counters);
    front.reap(IDLE_CLOSING, &mut events, &mut counters);
    assert_eq!(front.connections.len(), 2, "it may be about to ask");
    // More comes whenever something is answered: a command is always open.
    let command = resp::write_command(&[b"C.GET", b"a", b"1", b"c=read,d=900000"]);
    endless.write_all(&command.repeat(2)).unwrap();
    front.reap(IDLE_CLOSING + 1, &mut events, &mut counters);
    assert_eq!(
        front.connections.keys().copied().collect::<Vec<_>>(),
        [1],
        "the idle one has gone"
    );
    let ready = Readiness {
        source: EventSource::Client(1),
        readable: true,
        writable: false,
    };
    front.ready(IDLE_CLOSING + 2, ready, &mut events, &mut counters);
    assert_eq!(events.len(), 2);
    front.apply_policy(
        LifecyclePolicy {
            accepts_commands: false,
            ..CLOSING
        },
        IDLE_CLOSING + 3,
        &mut events,
        &mut counters,
    );
    endless.write_all(&command).unwrap();
    front.ready(IDLE_CLOSING + 4, ready, &mut events, &mut counters);
    assert_eq!(events.len(), 2, "no further command is taken");
    for event in std::mem::take(&mut events) {
        let ListenerEvent::Request(incoming) = event else {
            panic!("nobody has gone")
        };
        assert!(!front.is_empty(), "what was taken is answered first");
        front.answer(incoming.ticket, FinalAnswer::Failed);
        front.flush(1, IDLE_CLOSING + 5, &mut Vec::new(), &mut counters);
    }
    assert!(staying(&front).is_empty());
    let mut text = String::new();
    endless.read_to_string(&mut text).unwrap();
    assert_eq!(
        text,
        "-ERR failed\r\n".repeat(2) + "-BUSY\r\n",
        "what came too late is answered too"
    );
    drop(endless);
    front.ready(IDLE_CLOSING + 6, ready, &mut events, &mut counters);
    assert!(front.is_empty());
}

/// A front with two requests taken on one connection, and that connection.
fn two_requests() -> (RespListener, TcpStream, Vec<Ticket>, Counters) {
    let (mut front, connect) = front(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    front.accept(0, &mut counters);
    let command = resp::write_command(&[b"C.GET", b"a", b"1", b"c=read,d=9"]);
    client.write_all(&command.repeat(2)).unwrap();
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: false,
    };
    front.ready(0, ready, &mut events, &mut counters);
    let tickets = events.into_iter().map(|event| match event {
        ListenerEvent::Request(incoming) => incoming.ticket,
        other => panic!("{other:?}"),
    });
    let tickets = tickets.collect();
    (front, client, tickets, counters)
}

#[test]
fn an_answer_behind_a_long_one_waits_and_one_before_it_goes_first() {
    let (mut front, mut client, mut tickets, mut counters) = two_requests();
    let (second, first) = (tickets.pop().unwrap(), tickets.pop().unwrap());
    let (one, two) = (first.request, second.request);
    let mut events = Vec::new();
    // The second comes while the first is still out: what of it there is room for waits.
    front.answer(second, FinalAnswer::Streaming(WINDOW + 1));
    front.append_chunk(0, two, &[b'y'; WINDOW - 20]);
    assert!(!front.apply_back_pressure(0, two, false) && front.apply_back_pressure(0, two, true));
    front.append_chunk(0, two, &[b'y'; 21]);
    assert!(front.apply_back_pressure(0, two, false));
    front.flush(0, 1, &mut events, &mut counters);
    front.finish_streaming(0, two, true, 1, &mut events, &mut counters);
    front.answer(first, FinalAnswer::Streaming(3));
    front.append_chunk(0, one, b"x");
    front.flush(0, 1, &mut events, &mut counters);
    assert!(
        !front.apply_back_pressure(0, one, true),
        "nothing waits for it"
    );
    front.append_chunk(0, one, b"xx");
    front.finish_streaming(0, one, true, 1, &mut events, &mut counters);
    let want = [
        b"$3\r\nxxx\r\n",
        format!("${}\r\n", WINDOW + 1).as_bytes(),
        &[b'y'; WINDOW + 1],
        b"\r\n",
    ]
    .concat();
    let mut got = vec![0; want.len()];
    client.read_exact(&mut got).unwrap();
    assert!(got == want && front.connections[&0].is_idle());
}

#[test]
fn a_cache_waits_for_a_client_that_does_not_read_and_goes_on_when_it_does() {
    let (mut front, mut client, mut tickets, mut counters) = two_requests();
    let first = tickets.remove(0);
    let (request, mut events) = (first.request, Vec::new());
    const LENGTH: usize = 64 << 20;
    front.answer(first, FinalAnswer::Streaming(LENGTH));
    let mut sent = 0;
    while !front.apply_back_pressure(0, request, false) {
        front.append_chunk(0, request, &[b'x'; READ_SIZE]);
        front.flush(0, 1, &mut events, &mut counters);
        sent += READ_SIZE;
        assert!(sent < LENGTH, "the sockets' buffers are smaller");
    }
    assert!(
        front.buffered() <= WINDOW + READ_SIZE,
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
        front.ready(2, ready, &mut events, &mut counters);
    }
    assert!(matches!(events[..], [ListenerEvent::CapacityAvailable(r)] if r == request));
    assert_eq!(front.buffered(), 0);
    // The cache breaks off: the client must be able to tell, and the request behind has nobody to wait for.
    events.clear();
    front.finish_streaming(0, request, false, 3, &mut events, &mut counters);
    assert!(
        front.is_empty()
            && matches!(events[..], [ListenerEvent::ClientDisconnected(r)] if r != request)
    );
}

#[test]
fn a_guess_at_the_work_is_taken_and_passed_on_and_one_that_makes_no_sense_is_only_passed_on() {
    let read = |h: &str| {
        let fields = format!("c=read,h={h},d=480");
        let ticket = Ticket {
            request: routing::RequestId(1),
            connection: 0,
        };
        request([b"key", b"id", fields.as_bytes()], None, ticket).unwrap()
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
        assert_eq!(incoming.command.fields[1], ("h".to_string(), h.to_string()));
    }
}

/// How a connection comes to be read no more while an answer is owed on it.
#[derive(Clone, Copy, Debug)]
enum Unread {
    Garbled,
    Full,
    Owed,
}

#[rstest]
fn a_client_that_leaves_while_its_connection_is_not_read_is_noticed_all_the_same(
    #[values(Unread::Garbled, Unread::Full, Unread::Owed)] unread: Unread,
    #[values(false, true)] reset: bool,
) {
    let (mut front, connect) = front(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    front.accept(0, &mut counters);
    let command = resp::write_command(&[b"C.GET", b"a", b"1", b"c=read,d=9"]);
    let taken = match unread {
        Unread::Garbled => {
            client
                .write_all(&[&command[..], b"*x\r\n"].concat())
                .unwrap();
            1
        }
        // Behind the most that may be owed more has come than is kept, and the rest is in the socket.
        Unread::Full => {
            client
                .write_all(&command.repeat(OWED_MAX + INPUT_MAX / command.len() + 100))
                .unwrap();
            OWED_MAX
        }
        Unread::Owed => {
            client.write_all(&command).unwrap();
            1
        }
    };
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: false,
    };
    while front.connections[&0].is_read() {
        front.ready(0, ready, &mut events, &mut counters);
        if matches!(unread, Unread::Owed) {
            // More is unsent than a client may leave untaken.
            front.connections.get_mut(&0).unwrap().output = vec![0; UNSENT_MAX];
        }
    }
    assert_eq!(events.drain(..).count(), taken);
    front.reap(1, &mut events, &mut counters);
    assert_eq!(
        (events.len(), counters.left_unread),
        (0, 0),
        "it is still there"
    );
    if reset {
        SockRef::from(&client)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(client);
    front.reap(2, &mut events, &mut counters);
    assert!(
        events
            .iter()
            .all(|event| matches!(event, ListenerEvent::ClientDisconnected(_)))
    );
    assert_eq!(
        (events.len(), counters.left_unread, front.is_empty()),
        (taken, 1, true)
    );
}

/// Why a connection is closed behind an answer.
#[derive(Clone, Copy, Debug)]
enum Close {
    Garbled,
    Drain,
    NoLongerTaken,
}

#[rstest]
fn every_byte_of_an_answer_comes_though_more_is_sent_behind_the_close(
    #[values(Close::Garbled, Close::Drain, Close::NoLongerTaken)] close: Close,
) {
    let (mut front, connect) = front(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    // It takes little at a time: most of the answer is still on its way when the connection is closed.
    SockRef::from(&client).set_recv_buffer_size(4_096).unwrap();
    front.accept(0, &mut counters);
    let command = resp::write_command(&[b"C.GET", b"a", b"1", b"c=read,d=9"]);
    let behind: &[u8] = if matches!(close, Close::Garbled) {
        b"*x\r\n"
    } else {
        b""
    };
    client.write_all(&[&command[..], behind].concat()).unwrap();
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: true,
    };
    front.ready(0, ready, &mut events, &mut counters);
    let Some(ListenerEvent::Request(incoming)) = events.pop() else {
        panic!("it is taken")
    };
    front.answer(incoming.ticket, FinalAnswer::Served(vec![b'v'; VALUE_MAX]));
    front.flush(0, 0, &mut events, &mut counters);
    match close {
        Close::Garbled => {}
        Close::Drain => front.apply_policy(CLOSING, 1, &mut events, &mut counters),
        Close::NoLongerTaken => front.apply_policy(
            LifecyclePolicy {
                accepts_commands: false,
                ..CLOSING
            },
            1,
            &mut events,
            &mut counters,
        ),
    }
    // What crosses the close: it is not read as a command any more.
    client.write_all(&command.repeat(3)).unwrap();
    let mut got = Vec::new();
    client
        .set_read_timeout(Some(Duration::from_millis(1)))
        .unwrap();
    let mut now = 1;
    let end = loop {
        // The kernel sends on as the client takes what has come; the loop has its turns meanwhile.
        front.ready(now, ready, &mut events, &mut counters);
        now += LEAVE / 100_000;
        front.reap(now, &mut events, &mut counters);
        let mut some = [0; 2_048];
        match client.read(&mut some) {
            Ok(0) => break Ok(()),
            Ok(n) => got.extend_from_slice(&some[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => break Err(e.kind()),
        }
    };
    let error = if behind.is_empty() { 0 } else { b"-ERR ".len() };
    assert!(
        got.len() >= format!("${VALUE_MAX}\r\n").len() + VALUE_MAX + 2 + error,
        "{} came: {end:?}",
        got.len()
    );
    assert_eq!(end, Ok(()), "and the end behind it");
    assert!(events.is_empty(), "{events:?}");
}

#[test]
fn all_who_wait_at_the_door_when_it_closes_are_let_in_and_answered() {
    let (mut front, connect) = front(200);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    // More than one turn takes.
    let mut clients: Vec<TcpStream> = (0..ACCEPT_MAX + 36).map(|_| connect()).collect();
    for client in &mut clients {
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    }
    front.apply_policy(
        LifecyclePolicy {
            listener_mode: ListenerMode::Closed,
            ..CLOSING
        },
        0,
        &mut events,
        &mut counters,
    );
    assert_eq!(counters.clients_accepted, 100);
    for mut client in clients {
        let mut text = String::new();
        client.read_to_string(&mut text).unwrap();
        assert_eq!(text, "-LOADING serving\r\n");
    }
}

/// What crosses the moment in which clients begin to be sent away.
#[derive(Clone, Copy, Debug)]
enum Crosses {
    FirstOnNew,
    InTwoParts,
    BehindAnAnswer,
}

#[rstest]
fn a_request_that_crosses_the_beginning_of_an_end_is_taken(
    #[values(Crosses::FirstOnNew, Crosses::InTwoParts, Crosses::BehindAnAnswer)] crosses: Crosses,
    #[values(ListenerMode::Open, ListenerMode::HandedOver)] door: ListenerMode,
) {
    let (mut front, connect) = front(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    front.accept(0, &mut counters);
    let command = resp::write_command(&[b"C.GET", b"a", b"1", b"c=read,d=9"]);
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: false,
    };
    let ending = LifecyclePolicy {
        listener_mode: door,
        ..CLOSING
    };
    match crosses {
        // The door was just passed, and nothing is read yet.
        Crosses::FirstOnNew => {
            front.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(&command).unwrap();
        }
        Crosses::InTwoParts => {
            // It has asked before.
            client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
            front.ready(0, ready, &mut events, &mut counters);
            let (half, rest) = command.split_at(command.len() / 2);
            client.write_all(half).unwrap();
            front.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(rest).unwrap();
        }
        // It comes behind the look at what there is to read, and before the answer that would have the connection end.
        Crosses::BehindAnAnswer => {
            client.write_all(&command).unwrap();
            front.ready(1, ready, &mut events, &mut counters);
            let Some(ListenerEvent::Request(incoming)) = events.pop() else {
                panic!("it is taken")
            };
            front.apply_policy(ending, 1, &mut events, &mut counters);
            client.write_all(&command).unwrap();
            front.answer(incoming.ticket, FinalAnswer::Served(b"v".to_vec()));
            front.flush(0, 1, &mut events, &mut counters);
        }
    }
    front.ready(2, ready, &mut events, &mut counters);
    let Some(ListenerEvent::Request(incoming)) = events.pop() else {
        panic!("it is taken")
    };
    front.answer(incoming.ticket, FinalAnswer::Served(b"w".to_vec()));
    front.flush(0, 2, &mut events, &mut counters);
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    assert!(
        text.ends_with("$1\r\nw\r\n"),
        "{text}, and the end, since nothing is owed"
    );
    assert!(staying(&front).is_empty());
}

#[test]
fn who_says_nothing_in_an_end_is_closed_all_the_same() {
    let (mut front, connect) = front(9);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let _client = connect();
    front.accept(0, &mut counters);
    front.apply_policy(CLOSING, 1, &mut events, &mut counters);
    front.reap(IDLE_CLOSING - 1, &mut events, &mut counters);
    assert!(!front.is_empty());
    front.reap(IDLE_CLOSING, &mut events, &mut counters);
    assert!(front.is_empty());
}

#[test]
fn a_newcomer_does_not_push_out_a_client_that_is_still_taking_its_answer() {
    let (mut front, connect) = front(1);
    let (mut counters, mut events) = (Counters::default(), Vec::new());
    let mut client = connect();
    front.accept(0, &mut counters);
    client
        .write_all(&resp::write_command(&[b"C.GET", b"a", b"1", b"c=read,d=9"]))
        .unwrap();
    let ready = Readiness {
        source: EventSource::Client(0),
        readable: true,
        writable: true,
    };
    front.ready(0, ready, &mut events, &mut counters);
    let Some(ListenerEvent::Request(incoming)) = events.pop() else {
        panic!("it is taken")
    };
    // More than the client's side takes unread: the kernel holds the rest for it.
    front.answer(
        incoming.ticket,
        FinalAnswer::Served(vec![b'v'; 16 * VALUE_MAX]),
    );
    front.flush(0, 0, &mut events, &mut counters);
    while front.connections[&0].unsent_bytes() > 0 {
        let _ = client.read(&mut [0; 4_096]).unwrap();
        front.flush(0, 0, &mut events, &mut counters);
    }
    assert!(
        front.connections[&0].is_idle() && has_unsent_output(front.connections[&0].stream.socket())
    );
    let _newcomer = connect();
    front.accept(IDLE_LEAST, &mut counters);
    assert_eq!((counters.clients_accepted, counters.clients_closed), (1, 0));
    while has_unsent_output(front.connections[&0].stream.socket()) {
        let _ = client.read(&mut [0; 4_096]).unwrap();
    }
    front.accept(2 * IDLE_LEAST, &mut counters);
    assert_eq!(
        (counters.clients_accepted, counters.clients_closed),
        (2, 1),
        "it has taken it by now"
    );
}
