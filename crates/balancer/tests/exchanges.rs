//! Replays recorded byte exchanges against the program and compares what it sends.
//!
//! Each file in `exchanges/` is one scenario with one step per line:
//!
//! - `NAME > BYTES`: the peer NAME (a client, cache or discovery) sends these bytes.
//! - `NAME < BYTES`: the peer must receive exactly these bytes next; `?` matches any byte.
//! - `NAME end`: the program must close the peer's connection, without a reset.
//! - `NAME close`: the peer closes its connection.
//! - `NAME next`: the peer will accept the program's next connection; its current connection is
//!   renamed to `former-NAME`.
//! - `NAME down`: the peer stops accepting connections.
//! - `rest`: waits until a connection to a cache may carry another job after a response. This is a
//!   minimum time; the order of events does not depend on it.
//! - `signal TERM`: sends the signal to the program. After `STOP` the program is stopped until `CONT`,
//!   so that it processes all events of that time in one turn.
//! - `file OLD => NEW`: replaces OLD by NEW in the configuration file. Replacements before all other
//!   steps apply to the start of the program.
//! - `log TEXT`: waits for the program's next log line that contains this text.
//! - `exit`: the program must end with exit code 0.
//!
//! Peers whose names contain `admin` connect to the admin listener of the program. The program
//! connects to `cache`, `discovery` and `registry`. All other peers are clients and connect to the
//! program. `\r`, `\n` and `\\` are escapes, `{N*x}` is the letter `x` repeated N times, and `#`
//! begins a comment line. `DISCOVERY`, `REGISTRY` (a second discovery) and `CACHE` stand for their
//! addresses. Each wait is limited only by [`TEST_TIMEOUT`].

mod common;

use common::{ConfigFile, Program, TEST_TIMEOUT, accept, connect, listen, local};
use rstest::rstest;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Time of the step `rest`, longer than the reuse delay of the upstream pool (10 ms).
const REUSE_DELAY: Duration = Duration::from_millis(30);

const CONFIG: &str = r#"{"name":"n1","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"2a",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
    "known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"CACHE","site":"a","class":"m2","block":3,
        "health":"in_service","share":1.0,"born_ms":0}]},
    "settings":{"areas":["a"],"machine_types":["m2"],"group_size":1,"membership_mode":"subscribe","step_ns":4000000,
        "accounts":[{"name":"acme","allowance_per_s":1000.0}],
        "caps":{"max_attempts":3,"second_copies":true,"may_cancel":true,"may_probe":false,"conn_idle_ns":600000000000,
            "connect_timeout_ns":10000000000},
        "obligations":{"grace_to_answer_ns":16000000,"drain_grace_ns":2500000000,"must_ask_in_ns":10000000000},
        "profiles":[
            {"name":"read","repeat":"safe","goal_time_ns":300000000,"give_up_ns":600000000,"worth":3.0},
            {"name":"put","repeat":"keyed","group":"all","memory_span_ns":2000000000,"goal_time_ns":300000000,
                "give_up_ns":1000000000,"worth":3.0},
            {"name":"once","repeat":"unsafe","goal_time_ns":300000000,"give_up_ns":2500000000,"worth":3.0}]}}"#;

/// The running program with all its peers.
struct Exchange {
    program: Program,
    listeners: HashMap<&'static str, TcpListener>,
    down: Vec<TcpListener>,
    streams: HashMap<String, TcpStream>,
    config: ConfigFile,
}

impl Exchange {
    fn start(scenario: &Path, changes: &[(&str, &str)]) -> Exchange {
        let listeners = HashMap::from([
            ("cache", listen()),
            ("discovery", listen()),
            ("registry", listen()),
        ]);
        let mut text = CONFIG
            .replace("DISCOVERY", &local(&listeners["discovery"]))
            .replace("CACHE", &local(&listeners["cache"]));
        for (old, new) in changes {
            assert!(text.contains(old), "{old} in {text}");
            text = text.replace(old, new);
        }
        let scenario = scenario
            .file_stem()
            .expect("the scenario has a file name")
            .to_string_lossy()
            .into_owned();
        let config = ConfigFile::write(&scenario, &text);
        let program = Program::start(config.path(), &[]);
        Exchange {
            program,
            listeners,
            down: Vec::new(),
            streams: HashMap::new(),
            config,
        }
    }

    /// Returns the connection of a peer, which connects or accepts if it has none yet.
    fn stream(&mut self, name: &str) -> &mut TcpStream {
        if !self.streams.contains_key(name) {
            let stream = match self.listeners.get(name) {
                Some(listener) => accept(listener),
                None if name.contains("admin") => connect(&self.program.admin_address),
                None => self.program.client(),
            };
            stream
                .set_read_timeout(Some(TEST_TIMEOUT))
                .expect("the read timeout can be set");
            self.streams.insert(name.into(), stream);
        }
        self.streams
            .get_mut(name)
            .expect("the connection was just inserted")
    }

    fn step(&mut self, line: &str) {
        let (name, step) = line.split_once(' ').unwrap_or((line, ""));
        match (name, step.split_at(step.len().min(2))) {
            ("exit", _) => assert!(
                self.program
                    .process
                    .wait()
                    .expect("the exit code is available")
                    .success(),
                "the exit code is not 0"
            ),
            ("rest", _) => std::thread::sleep(REUSE_DELAY),
            ("signal", _) => self.program.signal(step),
            ("file", _) => {
                let (old, new) = step
                    .split_once(" => ")
                    .expect("the step is `file OLD => NEW`");
                let text = std::fs::read_to_string(self.config.path())
                    .expect("the configuration file can be read");
                assert!(text.contains(old), "{text}");
                std::fs::write(self.config.path(), text.replace(old, new))
                    .expect("the configuration file can be written");
            }
            ("log", _) => self.program.wait_log(step),
            (_, ("> ", bytes)) => self
                .stream(name)
                .write_all(&unescape(bytes))
                .expect("the program reads the bytes"),
            (_, ("< ", bytes)) => self.expect_bytes(name, bytes),
            (_, ("en", "d")) => match self.stream(name).read(&mut [0]) {
                Ok(0) => {}
                other => panic!("expected the end of the connection, got {other:?}"),
            },
            (_, ("cl", "ose") | ("ne", "xt")) => {
                self.stream(name);
                if let Some(stream) = self.streams.remove(name).filter(|_| step == "next") {
                    self.streams.insert(format!("former-{name}"), stream);
                }
            }
            (_, ("do", "wn")) => {
                // The socket stays bound: if the port were released, another process could bind it
                // and accept connections.
                let listener = self.listeners.remove(name).expect("the peer listens");
                SockRef::from(&listener)
                    .shutdown(Shutdown::Both)
                    .expect("the socket can stop listening");
                self.down.push(listener);
            }
            _ => panic!("unknown step"),
        }
    }

    /// Reads from the connection of a peer and asserts that the bytes match the pattern.
    fn expect_bytes(&mut self, name: &str, pattern: &str) {
        let expected = unescape(pattern);
        let mut received = vec![0; expected.len()];
        let mut length = 0;
        while length < received.len() {
            match self.stream(name).read(&mut received[length..]) {
                Ok(n) if n > 0 => length += n,
                end => panic!(
                    "{end:?} after \"{}\"",
                    received[..length.min(400)].escape_ascii()
                ),
            }
        }
        let matches = received
            .iter()
            .zip(&expected)
            .all(|(byte, expected_byte)| byte == expected_byte || *expected_byte == b'?');
        let shown = &received[..received.len().min(400)];
        assert!(
            matches,
            "received \"{}\", expected \"{pattern}\"",
            shown.escape_ascii()
        );
    }
}

fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut rest = text;
    while let Some(c) = rest.chars().next() {
        rest = &rest[c.len_utf8()..];
        let escaped = rest.chars().next();
        match (c, escaped) {
            ('\\', Some(e)) => {
                out.push(match e {
                    'r' => b'\r',
                    'n' => b'\n',
                    _ => b'\\',
                });
                rest = &rest[e.len_utf8()..];
            }
            ('{', _)
                if rest
                    .split_once('}')
                    .is_some_and(|(inner, _)| inner.contains('*')) =>
            {
                let (inner, after) = rest.split_once('}').expect("the guard found a brace");
                let (count, letter) = inner.split_once('*').expect("the guard found an asterisk");
                out.extend(
                    letter
                        .repeat(count.parse().expect("the count is a number"))
                        .bytes(),
                );
                rest = after;
            }
            _ => out.extend(c.to_string().bytes()),
        }
    }
    out
}

#[rstest]
fn program_follows_the_recorded_exchange(#[files("tests/exchanges/*.txt")] scenario: PathBuf) {
    let text = std::fs::read_to_string(&scenario).expect("the scenario can be read");
    let steps: Vec<_> = text
        .lines()
        .enumerate()
        .filter(|(_, l)| !l.is_empty() && !l.starts_with('#'))
        .collect();
    let changes = steps
        .iter()
        .map_while(|(_, line)| line.strip_prefix("file ")?.split_once(" => "));
    let changes: Vec<_> = changes.collect();
    let mut exchange = Exchange::start(&scenario, &changes);
    let address = |(name, listener): (&&str, &TcpListener)| (name.to_uppercase(), local(listener));
    let addresses: Vec<_> = exchange.listeners.iter().map(address).collect();
    for (index, line) in &steps[changes.len()..] {
        // The step is printed first, so that the output of a failure shows its line.
        println!("line {}: {line}", index + 1);
        exchange.step(
            &addresses
                .iter()
                .fold(line.to_string(), |line, (name, address)| {
                    line.replace(name, address)
                }),
        );
    }
}
