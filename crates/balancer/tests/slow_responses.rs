//! Tests that no timer ends a response that has begun and is still coming.

mod common;

use common::scripted_cache::{
    AttemptLog, Exchange, config, request, response, start_caches, start_program,
};
use common::{ConfigFile, Program, read_until};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

const CACHES: usize = 4;
/// Length of a value over 64 KiB.
const LONG: usize = 164_511;
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
}

impl Pace {
    fn write(self, exchange: &mut Exchange, bytes: &[u8]) {
        match self {
            Pace::LateBody(pause) => {
                exchange.write(&bytes[..HEAD]);
                exchange.pause(pause);
                exchange.write(&bytes[HEAD..]);
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
