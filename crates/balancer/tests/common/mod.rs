//! The program under test as a process of its own, and helpers of the integration tests.
#![allow(dead_code)]

use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// After this a step has failed; no step of a working program comes near it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A configuration file, removed when dropped.
pub struct ConfigFile(PathBuf);

impl ConfigFile {
    /// Writes a configuration; `name` tells it from those of other tests.
    pub fn write(name: &str, text: &str) -> Self {
        let file = format!("pipitrun-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, text).expect("a place for the configuration");
        ConfigFile(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A running program; it is killed when dropped.
pub struct Program {
    pub process: Child,
    /// The address of the client listener.
    pub address: String,
    /// The address of the admin listener.
    pub admin_address: String,
    /// The log lines from then on.
    pub log: Receiver<String>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Program {
    /// Starts it by this configuration file, and these variables besides.
    pub fn start(config: &Path, variables: &[(&str, &OsStr)]) -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_pipitrun"))
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
        let mut log = BufReader::new(process.stderr.take().expect("its log"))
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
        let admin_address =
            log.find_map(|l| Some(l.split_once("management listens on ")?.1.to_string()));
        let (lines, log_lines) = channel();
        // Read on even when nobody asks, or the program would wait for its log to be read.
        std::thread::spawn(move || log.for_each(|line| drop(lines.send(line))));
        Program {
            process,
            address: address.expect("the address of the client listener"),
            admin_address: admin_address.expect("the address of the admin listener"),
            log: log_lines,
        }
    }

    /// A connection of a client.
    pub fn client(&self) -> TcpStream {
        connect(&self.address)
    }

    /// The whole response to an admin request such as `GET /admin/health`.
    pub fn admin_call(&self, request: &str) -> String {
        let mut stream = connect(&self.admin_address);
        write!(stream, "{request} HTTP/1.1\r\n\r\n").expect("it takes calls");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("it answers");
        text
    }

    /// Whether it is ready to serve, as it says itself.
    pub fn is_ready(&self) -> bool {
        self.admin_call("GET /admin/health")
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
            .recv_timeout(TEST_TIMEOUT)
            .expect("a log line")
            .contains(text)
        {}
    }

    /// Sends it a signal; `STOP` is waited for.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.process.id().to_string()])
            .status();
        assert!(sent.expect("kill is there").success(), "signal sent");
        if name == "STOP" {
            // What comes from now on is all there in one turn once it goes on.
            let stat = format!("/proc/{}/stat", self.process.id());
            wait("it to stand still", || {
                std::fs::read_to_string(&stat).is_ok_and(|s| s.contains(") T "))
            });
        }
    }
}

/// A listener on a free port.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// The address of a listener, as it stands in configurations and endpoint lists.
pub fn local(listener: &TcpListener) -> String {
    listener.local_addr().expect("an address").to_string()
}

/// A RESP command of these words.
pub fn resp_command(words: &[&str]) -> String {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text.push_str(&format!("${}\r\n{word}\r\n", word.len()));
    }
    text
}

/// A connection whose reads end in time.
pub fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("nobody is refused");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stream
}

/// The program's next connection to this party, whose reads end in time.
pub fn accept(listener: &TcpListener) -> TcpStream {
    // std has no accept with a time-out.
    listener.set_nonblocking(true).expect("it can be asked");
    let asked = Instant::now();
    while asked.elapsed() < TEST_TIMEOUT {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("it can be waited for");
            stream
                .set_read_timeout(Some(TEST_TIMEOUT))
                .expect("a time-out");
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
        assert!(asked.elapsed() < TEST_TIMEOUT, "waiting for {what}");
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
