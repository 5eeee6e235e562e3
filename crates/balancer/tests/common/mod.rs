//! The program under test as a process of its own, with its doors and its log.
#![allow(dead_code)]

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// After this a step has failed; no step of a working program comes near it.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A running program; it ends with this.
pub struct Program {
    pub child: Child,
    /// Where clients connect.
    pub address: String,
    /// Where the operators call.
    pub management: String,
    /// What it logs from then on.
    pub log: Receiver<String>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    /// Starts it by this configuration file, and these variables besides.
    pub fn start(config: &Path, variables: &[(&str, &OsStr)]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pipitrun"))
            .env("GW_CONFIG", config)
            .env_remove("GW_LISTEN")
            .env_remove("GW_DISCOVERY")
            .env("GW_MANAGEMENT", "127.0.0.1:0")
            .env("RUST_LOG", "info")
            .envs(variables.iter().copied())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"))
            .lines()
            .map_while(Result::ok);
        let address = log.find_map(|l| {
            Some(
                l.split_once("listening on ")?
                    .1
                    .split_once(',')?
                    .0
                    .to_string(),
            )
        });
        let management =
            log.find_map(|l| Some(l.split_once("management listens on ")?.1.to_string()));
        let (lines, log_lines) = channel();
        // Read on even when nobody asks, or the program would wait for its log to be read.
        std::thread::spawn(move || log.for_each(|line| drop(lines.send(line))));
        Program {
            child,
            address: address.expect("the program says where it listens"),
            management: management.expect("the program says where the operators call"),
            log: log_lines,
        }
    }

    /// A connection of a client.
    pub fn client(&self) -> TcpStream {
        connect(&self.address)
    }

    /// A call of the operators, such as `GET /admin/health`, and the whole answer.
    pub fn call(&self, what: &str) -> String {
        let mut stream = connect(&self.management);
        write!(stream, "{what} HTTP/1.1\r\n\r\n").expect("it takes calls");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("it answers");
        text
    }

    /// Whether it is ready to serve, as it says itself.
    pub fn is_ready(&self) -> bool {
        self.call("GET /admin/health")
            .starts_with("HTTP/1.1 200 OK\r\n")
    }

    /// Waits until it says that.
    pub fn wait_ready(&self) {
        wait("readiness", || self.is_ready());
    }

    /// Waits for its next log line with this text.
    pub fn wait_log(&self, text: &str) {
        while !self
            .log
            .recv_timeout(PATIENCE)
            .expect("a log line")
            .contains(text)
        {}
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(sent.expect("kill is there").success(), "signal sent");
        if name == "STOP" {
            // What comes from now on is all there in one turn once it goes on.
            let stat = format!("/proc/{}/stat", self.child.id());
            wait("it to stand still", || {
                std::fs::read_to_string(&stat).is_ok_and(|s| s.contains(") T "))
            });
        }
    }
}

/// A connection whose reads end in time.
pub fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("nobody is refused");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream
}

/// The program's next connection to this party, whose reads end in time.
pub fn accept(listener: &TcpListener) -> TcpStream {
    // std has no accept with a time-out.
    listener.set_nonblocking(true).expect("it can be asked");
    let asked = Instant::now();
    while asked.elapsed() < PATIENCE {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("it can be waited for");
            stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            return stream;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("the program does not connect")
}

/// Waits until this is so.
pub fn wait(what: &str, is_so: impl Fn() -> bool) {
    let asked = Instant::now();
    while !is_so() {
        assert!(asked.elapsed() < PATIENCE, "waiting for {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Reads up to this end.
pub fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) {
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).expect("it comes"),
            1,
            "after {}",
            text.escape_ascii()
        );
        text.push(byte[0]);
    }
    String::from_utf8(text).expect("text")
}
