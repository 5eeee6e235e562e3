//! Tests that no timer ends a response that has begun and is still coming, that the first bytes of
//! a long value arrive in time, and that a cache that falls silent is detected.

mod common;

use common::scripted_cache::{
    AttemptLog, Exchange, config, request, response, start_caches, start_program,
};
use common::{ConfigFile, Program, TEST_TIMEOUT, read_until};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

const CACHES: usize = 4;
/// Length of a value over 64 KiB.
const LONG: usize = 164_511;
/// Length of a value up to 64 KiB.
const SHORT: usize = 40_000;
/// Length of the head of a response with a long value.
const HEAD: usize = "*3\r\n$164511\r\n".len();
const ROUNDS: usize = 6;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// How a cache writes a response.
#[derive(Clone, Copy)]
enum Pace {
    /// The head at once, the rest after a pause.
    LateBody(Duration),
    /// In this number of parts of this length, with this pause between them, and then the rest.
    Parts(usize, usize, Duration),
}

impl Pace {
    fn write(self, exchange: &mut Exchange, bytes: &[u8]) {
        match self {
            Pace::LateBody(pause) => {
                exchange.write(&bytes[..HEAD]);
                exchange.pause(pause);
                exchange.write(&bytes[HEAD..]);
            }
            Pace::Parts(count, length, pause) => {
                let (slow, rest) = bytes.split_at(bytes.len().min(count * length));
                exchange.write_slowly(slow, length, pause);
                exchange.write(rest);
            }
        }
    }
}

struct Setup {
    program: Program,
    attempts: AttemptLog,
    _config: ConfigFile,
}

impl Setup {
    /// Starts the program with caches that run `script` for ids that begin with `slow`, and answer
    /// others after `usual` time. The program first learns that time.
    fn new<S>(test: &str, usual: Duration, script: S) -> Setup
    where
        S: Fn(&mut Exchange) + Send + Sync + 'static,
    {
        let (caches, attempts) = start_caches(CACHES, move |exchange| {
            if exchange.words[2].starts_with("slow") {
                return script(exchange);
            }
            exchange.pause(usual);
            exchange.write(&response("v"));
        });
        let (program, config) = start_program(test, &config(&caches, 192, 1024));
        let setup = Setup {
            program,
            attempts,
            _config: config,
        };
        let mut clients: Vec<TcpStream> = (0..8).map(|_| setup.program.client()).collect();
        for round in 0..8 {
            for (number, client) in clients.iter_mut().enumerate() {
                let id = format!("usual-{round}-{number}");
                let command = request("read", &id, ms(2_500), None);
                client.write_all(command.as_bytes()).unwrap();
            }
            clients
                .iter_mut()
                .for_each(|client| _ = read_until(client, "\r\nv\r\n"));
        }
        setup
    }

    fn send(&self, class: &str, id: &str, timeout: Duration) -> TcpStream {
        let mut client = self.program.client();
        let value = (class != "read").then_some("value");
        let command = request(class, id, timeout, value);
        client.write_all(command.as_bytes()).unwrap();
        client
    }
}

/// Reads a bulk string and returns its length, or the error line.
fn read_value(client: &mut TcpStream) -> Result<usize, String> {
    let line = read_until(client, "\r\n");
    let Some(length) = line
        .strip_prefix('$')
        .and_then(|n| n.trim().parse::<usize>().ok())
    else {
        return Err(line);
    };
    let mut value = vec![0; length + 2];
    client.read_exact(&mut value).map_err(|e| e.to_string())?;
    Ok(value.iter().filter(|byte| **byte == b'v').count())
}

#[rstest]
#[case::late_body("late-body", "read", 600, LONG, Pace::LateBody(ms(340)))]
#[case::body_after_the_deadline("after-deadline", "read", 600, LONG, Pace::LateBody(ms(900)))]
#[case::long_value_in_small_parts("small-parts", "read", 600, LONG, Pace::Parts(15, 200, ms(60)))]
#[case::long_receipt_with_late_body("late-receipt", "once", 2_500, LONG, Pace::LateBody(ms(700)))]
#[case::receipt_in_parts("receipt", "once", 2_500, SHORT, Pace::Parts(11, 4_000, ms(60)))]
#[case::keyed_receipt_in_parts("keyed", "put", 2_500, SHORT, Pace::Parts(11, 4_000, ms(60)))]
#[case::value_in_parts("parts", "read", 2_500, SHORT, Pace::Parts(11, 4_000, ms(60)))]
fn slow_response_that_has_begun_is_not_cut_off(
    #[case] test: &str,
    #[case] class: &str,
    #[case] timeout_ms: u64,
    #[case] length: usize,
    #[case] pace: Pace,
) {
    let value = "v".repeat(length);
    let setup = Setup::new(test, ms(70), move |exchange| {
        pace.write(exchange, &response(&value));
    });
    let ids: Vec<String> = (0..ROUNDS).map(|round| format!("slow-{round}")).collect();
    let mut clients: Vec<TcpStream> = ids
        .iter()
        .map(|id| setup.send(class, id, ms(timeout_ms)))
        .collect();
    for (client, id) in clients.iter_mut().zip(&ids) {
        assert_eq!(
            read_value(client),
            Ok(length),
            "{:?}",
            setup.attempts.of(id)
        );
    }
}

/// The rest of the value is written only after the client has received its header.
#[rstest]
#[case::read("read", 400)]
#[case::publication("once", 400)]
#[case::patient_client("read", 20_000)]
fn first_bytes_of_a_long_value_do_not_wait_for_more_bytes(
    #[case] class: &str,
    #[case] timeout_ms: u64,
) {
    let (client_has_header, released) = channel::<()>();
    let released = Mutex::new(released);
    let test = format!("first-bytes-{class}-{timeout_ms}");
    let setup = Setup::new(&test, ms(4), move |exchange| {
        let bytes = response(&"v".repeat(LONG));
        exchange.write(&bytes[..HEAD + 1_000]);
        let _ = released.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        exchange.write(&bytes[HEAD + 1_000..]);
    });
    let mut client = setup.send(class, "slow", ms(timeout_ms));
    assert_eq!(read_until(&mut client, "\r\n"), format!("${LONG}\r\n"));
    release(&client_has_header);
    let mut value = vec![0; LONG + 2];
    client.read_exact(&mut value).unwrap();
    assert!(value.ends_with(b"v\r\n"));
}

fn release(sender: &Sender<()>) {
    // Both attempts of a hedged read wait.
    for _ in 0..CACHES {
        sender.send(()).unwrap();
    }
}

/// The second attempt is answered only after the first has been seen open beside it.
#[rstest]
fn silence_starts_another_attempt_beside_the_first(#[values("read", "put")] class: &str) {
    let (is_beside, answers) = channel::<()>();
    let answers = Mutex::new(answers);
    let setup = Setup::new(&format!("silence-{class}"), ms(4), move |exchange| {
        let bytes = response(&"v".repeat(SHORT));
        if exchange.earlier_attempts == 0 {
            exchange.write(&bytes[..1_000]);
            exchange.pause_until_next_attempt();
            let _ = is_beside.send(());
        } else {
            let _ = answers.lock().unwrap().recv_timeout(TEST_TIMEOUT);
            exchange.write(&bytes);
        }
    });
    let mut client = setup.send(class, "slow", ms(2_500));
    assert_eq!(read_value(&mut client), Ok(SHORT));
    let attempts = setup.attempts.ended("slow");
    assert_eq!(attempts.len(), 2, "{attempts:?}");
    assert!(!attempts[0].was_cut_off, "{attempts:?}");
}

/// Where no second attempt is allowed, the request waits until its deadline.
#[test]
fn silent_receipt_of_an_unsafe_write_fails_at_its_deadline() {
    let setup = Setup::new("silent-receipt", ms(4), |exchange| {
        exchange.write(&response(&"v".repeat(SHORT))[..1_000]);
        // Longer than the stall timeout, shorter than the client's timeout.
        exchange.pause(ms(700));
    });
    let mut client = setup.send("once", "slow", ms(1_000));
    assert_eq!(read_value(&mut client), Err("-ERR failed\r\n".into()));
    let attempts = setup.attempts.ended("slow");
    assert_eq!(attempts.len(), 1, "{attempts:?}");
    assert!(!attempts[0].was_cut_off, "{attempts:?}");
}

/// The client can tell that the value is incomplete by the end of its connection.
#[test]
fn cache_that_falls_silent_within_a_long_value_is_detected() {
    let setup = Setup::new("silent-cache", ms(4), |exchange| {
        exchange.write(&response(&"v".repeat(LONG))[..HEAD]);
        exchange.pause(TEST_TIMEOUT);
    });
    let mut client = setup.send("once", "slow", ms(400));
    assert_eq!(read_until(&mut client, "\r\n"), format!("${LONG}\r\n"));
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).unwrap();
    assert!(rest.len() < LONG);
}
