//! Plays recorded byte exchanges against the program and compares what it sends.
//!
//! Each file in `exchanges/` is one scenario, a step a line:
//!
//! | step | meaning |
//! | --- | --- |
//! | `NAME > BYTES` | client, cache or discovery NAME sends these bytes |
//! | `NAME < BYTES` | exactly these bytes must come to it next; `?` stands for any one byte |
//! | `NAME end` | the program must end its connection, and not by a reset |
//! | `NAME close` | it ends its connection |
//! | `NAME next` | it takes the program's next connection; the one it has is `former-NAME` from now on |
//! | `NAME down` | it takes no connections any more |
//! | `rest` | so long that a connection to a cache whose answer has been taken may carry the next job; a least time, no order hangs on it |
//! | `signal TERM` | the program gets this signal; `STOP` has it stand still until `CONT`, so that what comes meanwhile is one turn's |
//! | `file OLD => NEW` | in the configuration file OLD becomes NEW; before all other steps: the program starts so |
//! | `log TEXT` | the program's next log line with this text comes |
//! | `exit` | the program must end with exit code 0 |
//!
//! Names with `client` connect to the program, those with `admin` to its admin listener; `cache`,
//! `discovery` and `registry` are connected to. `\r`, `\n` and `\\` are escapes, `{N*x}` is N times
//! the letter, `#` begins a comment line,
//! `DISCOVERY`, `REGISTRY` (a second one) and `CACHE` are their addresses. Waits have no bound but [`TEST_TIMEOUT`].

mod common;

use common::{ConfigFile, Program, TEST_TIMEOUT, accept, connect, listen, local};
use rstest::rstest;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longer than a connection rests behind an answer.
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

/// The program under test with all its peers.
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
            .expect("a scenario")
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

    /// The connection of this party, made or taken if there is none yet.
    fn stream(&mut self, name: &str) -> &mut TcpStream {
        if !self.streams.contains_key(name) {
            let stream = match self.listeners.get(name) {
                Some(listener) => accept(listener),
                None if name.contains("admin") => connect(&self.program.admin_address),
                None => self.program.client(),
            };
            stream
                .set_read_timeout(Some(TEST_TIMEOUT))
                .expect("a time-out");
            self.streams.insert(name.into(), stream);
        }
        self.streams.get_mut(name).expect("just made")
    }

    fn step(&mut self, line: &str) {
        let (name, step) = line.split_once(' ').unwrap_or((line, ""));
        match (name, step.split_at(step.len().min(2))) {
            ("exit", _) => assert!(
                self.program.process.wait().expect("it ends").success(),
                "exit code"
            ),
            ("rest", _) => std::thread::sleep(REUSE_DELAY),
            ("signal", _) => self.program.signal(step),
            ("file", _) => {
                let (old, new) = step.split_once(" => ").expect("what for what");
                let text = std::fs::read_to_string(self.config.path()).expect("the configuration");
                assert!(text.contains(old), "{text}");
                std::fs::write(self.config.path(), text.replace(old, new))
                    .expect("it can be written");
            }
            ("log", _) => self.program.wait_log(step),
            (_, ("> ", bytes)) => self
                .stream(name)
                .write_all(&unescape(bytes))
                .expect("the program reads"),
            (_, ("< ", bytes)) => {
                let want = unescape(bytes);
                let mut got = vec![0; want.len()];
                let mut at = 0;
                while at < got.len() {
                    match self.stream(name).read(&mut got[at..]) {
                        Ok(n) if n > 0 => at += n,
                        end => panic!("{end:?} after \"{}\"", got[..at.min(400)].escape_ascii()),
                    }
                }
                let same = got.iter().zip(&want).all(|(g, w)| g == w || *w == b'?');
                let shown = &got[..got.len().min(400)];
                assert!(same, "got \"{}\", want \"{bytes}\"", shown.escape_ascii());
            }
            (_, ("en", "d")) => match self.stream(name).read(&mut [0]) {
                Ok(0) => {}
                other => panic!("want the end, got {other:?}"),
            },
            (_, ("cl", "ose") | ("ne", "xt")) => {
                self.stream(name);
                if let Some(stream) = self.streams.remove(name).filter(|_| step == "next") {
                    self.streams.insert(format!("former-{name}"), stream);
                }
            }
            (_, ("do", "wn")) => {
                // Its port stays taken: set free, it might soon be somebody else's, who takes
                // connections.
                let listener = self.listeners.remove(name).expect("it listens");
                SockRef::from(&listener)
                    .shutdown(Shutdown::Both)
                    .expect("it can stop listening");
                self.down.push(listener);
            }
            _ => panic!("no such step"),
        }
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
                let (inner, after) = rest.split_once('}').expect("just seen");
                let (count, letter) = inner.split_once('*').expect("just seen");
                out.extend(letter.repeat(count.parse().expect("a count")).bytes());
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
    for (at, line) in &steps[changes.len()..] {
        // The step is printed first, so that a failure names its line.
        println!("line {}: {line}", at + 1);
        exchange.step(
            &addresses
                .iter()
                .fold(line.to_string(), |line, (name, at)| line.replace(name, at)),
        );
    }
}
