//! Tests of `front::management`.

use super::*;

fn door() -> (AdminListener, impl Fn() -> TcpStream) {
    let door = AdminListener::listen(&Poll::new().unwrap(), "127.0.0.1:0".parse().unwrap(), false)
        .unwrap();
    let address = door.listener.socket().local_addr().unwrap();
    let connect = move || {
        let caller = TcpStream::connect(address).unwrap();
        // An end that does not come fails, and does not hang.
        caller
            .set_read_timeout(Some(std::time::Duration::from_secs(20)))
            .unwrap();
        caller
    };
    (door, connect)
}

fn readable(number: u64) -> Readiness {
    Readiness {
        source: EventSource::AdminConnection(number),
        readable: true,
        writable: false,
    }
}

#[test]
fn a_head_is_told_by_path_then_method_once_it_is_whole() {
    let whole = b"POST /admin/quiesce?why=x HTTP/1.1\r\nHost: a\r\n\r\n";
    for cut in 0..whole.len() {
        assert_eq!(
            read_head(&whole[..cut], false),
            ParsedHead::More,
            "after {cut} bytes"
        );
    }
    assert_eq!(
        read_head(whole, false),
        ParsedHead::Command(AdminCommand::Quiesce)
    );
    let long = format!(
        "GET /admin/health HTTP/1.1\r\nA: {}\r\n\r\n",
        "x".repeat(HEAD_MAX)
    );
    let many = format!(
        "GET /admin/health HTTP/1.1\r\n{}\r\n",
        "A: b\r\n".repeat(HEADERS_MAX + 1)
    );
    let cases = [
        (
            "GET /admin/health HTTP/1.1\r\n\r\n",
            ParsedHead::Command(AdminCommand::Health),
        ),
        (
            "POST /admin/resume HTTP/1.0\r\nContent-Length: 2\r\n\r\n{}",
            ParsedHead::Command(AdminCommand::Resume),
        ),
        (
            "GET /admin/resume HTTP/1.1\r\n\r\n",
            ParsedHead::Wrong(405, "POST"),
        ),
        (
            "POST /admin/health HTTP/1.1\r\n\r\n",
            ParsedHead::Wrong(405, "GET"),
        ),
        ("GET /admin/ HTTP/1.1\r\n\r\n", ParsedHead::Wrong(404, "")),
        ("*1\r\n$4\r\nPING\r\n", ParsedHead::Wrong(400, "")),
        (&long, ParsedHead::Wrong(431, "")),
        (&many, ParsedHead::Wrong(431, "")),
    ];
    let fleet = b"GET /admin/fleet HTTP/1.1\r\n\r\n";
    assert_eq!(
        read_head(fleet, true),
        ParsedHead::Command(AdminCommand::Fleet)
    );
    assert_eq!(
        read_head(fleet, false),
        ParsedHead::Wrong(404, ""),
        "without a fleet nothing differs"
    );
    for (text, head) in cases {
        assert_eq!(
            read_head(text.as_bytes(), false),
            head,
            "{}",
            &text[..30.min(text.len())]
        );
    }
}

#[test]
fn silent_callers_hold_nobody_up_and_end_in_time() {
    let (mut door, connect) = door();
    let mut counters = Counters::default();
    let mut silent: Vec<TcpStream> = (0..CONNECTIONS_MAX).map(|_| connect()).collect();
    door.accept(0, &mut counters);
    assert_eq!(door.callers.len(), CONNECTIONS_MAX);
    let mut caller = connect();
    caller
        .write_all(b"GET /admin/health HTTP/1.1\r\n\r\n")
        .unwrap();
    door.accept(1, &mut counters);
    assert_eq!(
        (door.callers.len(), counters.admin_calls_evicted),
        (CONNECTIONS_MAX, 1)
    );
    assert_eq!(
        silent[0].read(&mut [0]).unwrap(),
        0,
        "the one that came first"
    );
    let number = CONNECTIONS_MAX as u64;
    assert_eq!(
        door.ready(readable(number), &mut counters),
        Some(AdminRequest {
            connection: number,
            command: AdminCommand::Health
        })
    );
    door.answer(number, 200, "serving");
    let mut text = String::new();
    caller.read_to_string(&mut text).unwrap();
    assert!(
        text.starts_with("HTTP/1.1 200 OK\r\n")
            && text.ends_with("\r\n\r\n{\"state\":\"serving\"}\n"),
        "{text}"
    );
    drop(caller);
    assert_eq!(door.ready(readable(number), &mut counters), None);
    assert_eq!(
        door.callers.len(),
        CONNECTIONS_MAX - 1,
        "a caller that has gone is let go of"
    );
    door.reap(UNFINISHED - 1, &mut counters);
    assert_eq!(door.callers.len(), CONNECTIONS_MAX - 1);
    silent[2].write_all(b"GET /admin/he").unwrap();
    door.reap(UNFINISHED, &mut counters);
    // What crosses the answer does not reset it away: each gets its own, and the end behind it.
    silent[2].write_all(b"alth HTTP/1.1\r\n\r\n").unwrap();
    for caller in &mut silent[1..] {
        text.clear();
        caller.read_to_string(&mut text).unwrap();
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
    }
    door.reap(UNFINISHED + CLOSE_TIMEOUT - 1, &mut counters);
    assert_eq!(
        door.callers.len(),
        CONNECTIONS_MAX - 1,
        "they have the time to take it"
    );
    drop(silent);
    for caller in 1..CONNECTIONS_MAX as u64 {
        assert_eq!(door.ready(readable(caller), &mut counters), None);
    }
    assert!(door.callers.is_empty(), "who closes is let go of");
}

#[test]
fn callers_that_stay_behind_their_answer_are_closed_in_time() {
    let (mut door, connect) = door();
    let mut counters = Counters::default();
    let mut callers = [connect(), connect()];
    callers[1]
        .write_all(b"GET /nowhere HTTP/1.1\r\n\r\n")
        .unwrap();
    door.accept(0, &mut counters);
    assert_eq!(door.ready(readable(1), &mut counters), None);
    door.reap(UNFINISHED, &mut counters);
    door.reap(UNFINISHED + CLOSE_TIMEOUT - 1, &mut counters);
    assert_eq!(door.callers.len(), 2);
    door.reap(UNFINISHED + CLOSE_TIMEOUT, &mut counters);
    assert!(door.callers.is_empty());
}

#[test]
fn an_answer_arrives_though_the_caller_sends_more_than_a_call() {
    let (mut door, connect) = door();
    let mut counters = Counters::default();
    let mut caller = connect();
    caller
        .write_all(&[b"GET /nowhere HTTP/1.1\r\n\r\n".as_slice(), &[b'x'; 20_000]].concat())
        .unwrap();
    door.accept(0, &mut counters);
    assert_eq!(door.ready(readable(0), &mut counters), None);
    let mut text = String::new();
    caller.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 404 Not Found\r\n"), "{text}");
    assert_eq!(counters.admin_calls_invalid, 1);
}
