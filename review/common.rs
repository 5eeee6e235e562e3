//! Stand-ins and helpers that the cases share: tile caches, discovery, clients and the platform.
//! Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// A case that takes longer than this ends as "could not run".
const CASE_TIME_MAX: Duration = Duration::from_secs(110);
/// Interval of the empty lines on a watch of discovery.
const WATCH_KEEPALIVE: Duration = Duration::from_secs(2);

/// The settings of a small deployment. They are those of `examples/config.json`.
pub const SETTINGS: &str = r#"{
    "areas": ["dc-vake", "dc-saburtalo", "dc-didube"], "machine_types": ["small-1c"],
    "accounts": [{"name": "kvemo-tetri", "allowance_per_s": 52.0},
                 {"name": "mta-khevi", "allowance_per_s": 45.0}],
    "over_share_worth": 0.2, "group_size": 1, "membership_mode": "subscribe", "step_ns": 4000000,
    "caps": {"max_attempts": 3, "second_copies": true, "may_cancel": true, "may_probe": true,
             "retry_after": true, "max_retry_after_ns": 1200000000, "conn_idle_ns": 30000000000,
             "connect_timeout_ns": 150000000, "max_open": 10000},
    "obligations": {"grace_to_answer_ns": 16000000, "drain_grace_ns": 2500000000,
                    "must_ask_in_ns": 10000000000, "cold_from": 0.12,
                    "warm_after_ns": 23000000000, "overload_factor": 2.5,
                    "tip_after_ns": 2000000000},
    "profiles": [
      {"name": "tile-read", "repeat": "safe", "goal_time_ns": 300000000,
       "give_up_ns": 600000000, "worth": 3.0},
      {"name": "status-set", "repeat": "keyed", "group": "all", "memory_span_ns": 2000000000,
       "goal_time_ns": 300000000, "give_up_ns": 1000000000, "worth": 10.0},
      {"name": "map-publish", "repeat": "unsafe", "goal_time_ns": 600000000,
       "give_up_ns": 2500000000, "worth": 5.0}]}"#;

/// The record of a case, `record.txt` in its folder, with the time of each line in milliseconds.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_micros() as f64 / 1e3;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:10.1} {text}");
    }
}

static RECORD: OnceLock<Record> = OnceLock::new();
/// Process ids of the programs that are running.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Returns the temporary folder of this run.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("pipitrun-review-{}", std::process::id()))
}

/// Writes a line to the record.
pub fn record(text: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        record.line(text.as_ref());
    }
}

/// Returns whether the case runs with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Opens the record of a case and starts its time limit.
pub fn begin(folder: &str) {
    let file = File::create(format!("{folder}/record.txt")).unwrap_or_else(|e| {
        eprintln!("the record can't be written: {e}");
        std::process::exit(NOT_RUN);
    });
    let record = Record {
        file: Mutex::new(file),
        started: Instant::now(),
    };
    let _ = RECORD.set(record);
    self::record(format!(
        "the case runs {} its disruption",
        if with_trouble() { "with" } else { "without" }
    ));
    spawn(|| {
        sleep(CASE_TIME_MAX);
        finish(NOT_RUN, "the case took too long");
    });
}

/// Ends all processes that the case started, and exits with this code.
pub fn finish(code: i32, verdict: &str) -> ! {
    for id in RUNNING.lock().unwrap().drain(..) {
        signal(id, "KILL");
    }
    let _ = std::fs::remove_dir_all(folder());
    let text = format!("exit code {code}: {verdict}");
    record(&text);
    println!("{text}");
    std::process::exit(code);
}

/// Ends the case as "could not run" if a step of its preparation fails.
pub fn prepared<T, E: std::fmt::Display>(result: Result<T, E>, step: &str) -> T {
    result.unwrap_or_else(|e| finish(NOT_RUN, &format!("{step}: {e}")))
}

/// Sends a signal to a process that the case started.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {id}")])
        .stderr(Stdio::null())
        .status();
}

/// Returns a free port of 127.0.0.1.
fn free_address() -> SocketAddr {
    let listener = prepared(TcpListener::bind("127.0.0.1:0"), "no free port");
    prepared(listener.local_addr(), "no free port")
}

/// Encodes a command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Reads a command; `None` at the end of the connection.
fn read_command(from: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let number = |from: &mut dyn BufRead| -> Option<usize> {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        line.trim().get(1..)?.parse().ok()
    };
    let count = number(from)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut word = vec![0; number(from)? + 2];
        from.read_exact(&mut word).ok()?;
        word.truncate(word.len() - 2);
        words.push(word);
    }
    Some(words)
}

/// A command as a tile cache receives it.
pub struct Received {
    pub name: String,
    pub key: String,
    pub id: String,
}

/// What a tile cache does with a command: it writes the answer, or returns false to reset the
/// connection.
pub type Behaviour = dyn Fn(&Received, &mut TcpStream) -> bool + Send + Sync;

/// Encodes a tile cache's answer that serves a value.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut out = served_head(value.len());
    out.extend_from_slice(value);
    out.extend_from_slice(SERVED_TAIL);
    out
}

/// The beginning of such an answer, up to the value.
pub fn served_head(length: usize) -> Vec<u8> {
    format!("*3\r\n${length}\r\n").into_bytes()
}

/// The end of such an answer, after the value.
pub const SERVED_TAIL: &[u8] = b"\r\n$3\r\nhit\r\n$-1\r\n";

/// Starts a tile cache. Returns its address.
pub fn start_cache(name: &'static str, behaviour: Arc<Behaviour>) -> SocketAddr {
    let listener = prepared(
        TcpListener::bind("127.0.0.1:0"),
        "a tile cache can't listen",
    );
    let address = prepared(listener.local_addr(), "a tile cache can't listen");
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let behaviour = Arc::clone(&behaviour);
            spawn(move || serve_cache(name, stream, &*behaviour));
        }
    });
    address
}

fn serve_cache(name: &str, mut stream: TcpStream, behaviour: &Behaviour) {
    let _ = stream.set_nodelay(true);
    let Ok(input) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(input);
    while let Some(words) = read_command(&mut input) {
        let text = |index: usize| {
            words
                .get(index)
                .map_or(String::new(), |w| String::from_utf8_lossy(w).into_owned())
        };
        if words.len() < 4 {
            // A probe.
            if stream.write_all(b"+PONG\r\n").is_err() {
                return;
            }
            continue;
        }
        let received = Received {
            name: text(0),
            key: text(1),
            id: text(2),
        };
        record(format!(
            "tile cache {name}: {} of request {} has arrived",
            received.name, received.id
        ));
        if !behaviour(&received, &mut stream) {
            record(format!(
                "tile cache {name}: the connection of request {} is reset",
                received.id
            ));
            reset(&stream);
            return;
        }
    }
}

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets a socket option.
fn set_option(stream: &TcpStream, name: i32, value: &[i32]) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    // SAFETY: the descriptor is open, and the option's value is read from the slice only.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            name,
            value.as_ptr(),
            4 * value.len() as u32,
        );
    }
}

/// Makes the end of a connection a reset: its last close sends RST.
fn reset(stream: &TcpStream) {
    const SO_LINGER: i32 = 13;
    set_option(stream, SO_LINGER, &[1, 0]);
}

/// Sets the size of a client's receive buffer.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    const SO_RCVBUF: i32 = 8;
    set_option(stream, SO_RCVBUF, &[bytes]);
}

/// Encodes the endpoint list.
fn list(caches: &[(&str, SocketAddr)], version: u64) -> String {
    let hosts: Vec<String> = caches
        .iter()
        .map(|(name, address)| {
            format!(
                "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"dc-vake\",\"class\":\"small-1c\",\
                 \"block\":1,\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}}"
            )
        })
        .collect();
    format!(
        "{{\"seq\":{version},\"whole\":true,\"hosts\":[{}]}}",
        hosts.join(",")
    )
}

/// Starts discovery with a list that does not change. Returns its address.
pub fn start_discovery(caches: &[(&str, SocketAddr)]) -> SocketAddr {
    let listener = prepared(TcpListener::bind("127.0.0.1:0"), "discovery can't listen");
    let address = prepared(listener.local_addr(), "discovery can't listen");
    let line = list(caches, 41) + "\n";
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let line = line.clone();
            spawn(move || serve_watch(stream, &line));
        }
    });
    address
}

fn serve_watch(mut stream: TcpStream, line: &str) -> Option<()> {
    let mut input = BufReader::new(stream.try_clone().ok()?);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if input.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let follows = head.contains("follow=1");
    let begin =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    write!(stream, "{begin}{:x}\r\n{line}\r\n", line.len()).ok()?;
    while follows {
        sleep(WATCH_KEEPALIVE);
        stream.write_all(b"1\r\n\n\r\n").ok()?;
    }
    stream.write_all(b"0\r\n\r\n").ok()
}

/// Has this process killed when the case ends, even if the case is killed itself.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call only sets an attribute of this process.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Limits of the balancer, as its configuration gives them.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u32,
}

/// A running balancer.
pub struct Balancer {
    child: Child,
    pub address: SocketAddr,
    pub management: SocketAddr,
    folder: PathBuf,
}

impl Balancer {
    /// Starts a balancer with the command `run` of the deploy file, and waits until it answers
    /// `PING` with `+PONG`.
    pub fn start(caches: &[(&str, SocketAddr)], discovery: SocketAddr, limits: Limits) -> Self {
        let deploy = prepared(
            std::fs::read_to_string("deploy/balancer.toml"),
            "no deploy file",
        );
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next())
            .unwrap_or_else(|| finish(NOT_RUN, "the deploy file has no command `run`"));
        let folder = folder();
        prepared(
            std::fs::create_dir_all(folder.join("tmp")),
            "no temporary folder",
        );
        let (address, management) = (free_address(), free_address());
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"2a\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\
             \"settings\":{SETTINGS}}}",
            limits.memory_mb,
            limits.sockets,
            list(caches, 40),
        );
        let path = folder.join("config.json");
        prepared(
            std::fs::write(&path, config),
            "the configuration can't be written",
        );
        let log = prepared(
            File::create(folder.join("log.txt")),
            "the log can't be written",
        );
        let mut child = Command::new("/bin/sh");
        child
            .args(["-c", run])
            .env("GW_NAME", "n1")
            .env("GW_CONFIG", &path)
            .env("GW_LISTEN", address.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_MANAGEMENT", management.to_string())
            .env("TMPDIR", folder.join("tmp"))
            .env("RUST_LOG", "info")
            .env_remove("GW_SOCKET_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // SAFETY: prctl is safe to call between fork and exec.
        let child = unsafe { child.pre_exec(end_with_parent) }.spawn();
        let child = prepared(child, "the balancer can't be started");
        RUNNING.lock().unwrap().push(child.id());
        record(format!("started: {run}"));
        let balancer = Balancer {
            child,
            address,
            management,
            folder,
        };
        let deadline = Instant::now() + Duration::from_secs(15);
        while !balancer.is_ready() {
            if Instant::now() > deadline {
                finish(NOT_RUN, "the balancer did not become ready");
            }
            sleep(Duration::from_millis(20));
        }
        record("the balancer answers PING with +PONG");
        // The endpoint list of discovery arrives within 0.3 s.
        sleep(Duration::from_millis(500));
        balancer
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut line = [0; 7];
        stream.write_all(&command(&[b"PING"])).is_ok()
            && stream.read_exact(&mut line).is_ok()
            && line == *b"+PONG\r\n"
    }

    /// Connects as a client.
    pub fn client(&self) -> TcpStream {
        let stream = prepared(TcpStream::connect(self.address), "a client can't connect");
        let _ = stream.set_nodelay(true);
        stream
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the anonymous memory of the process in KiB; code and mapped files do not count.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Sends an admin call such as `POST /admin/quiesce` and returns the first line of the answer.
    pub fn admin(&self, call: &str) -> String {
        let answer = TcpStream::connect(self.management).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            write!(stream, "{call} HTTP/1.1\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        });
        let answer = prepared(answer, "the admin call failed");
        answer.lines().next().unwrap_or_default().to_string()
    }

    /// Ends the process and writes its log to the record.
    pub fn end(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
        let log = std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        for line in log.lines() {
            record(format!("log of the balancer: {line}"));
        }
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A whole value of this many bytes.
    Value(usize),
    /// A whole error line.
    Error(String),
    /// The connection ended, or time passed, before the answer was whole; this many bytes of it had
    /// arrived.
    NotWhole { bytes: usize, reason: String },
}

/// Reads one answer from a client connection. `pause` is slept after each read of at most `step`
/// bytes of a value.
pub fn read_answer(from: &mut impl Read, step: usize, pause: Duration) -> Answer {
    let mut got = 0;
    let mut line = Vec::new();
    let not_whole = |bytes: usize, reason: String| Answer::NotWhole { bytes, reason };
    while !line.ends_with(b"\r\n") {
        let mut byte = [0];
        match from.read(&mut byte) {
            Ok(1) => {
                line.push(byte[0]);
                got += 1;
            }
            Ok(_) => return not_whole(got, "the balancer closed the connection".into()),
            Err(e) => return not_whole(got, e.to_string()),
        }
    }
    let text = String::from_utf8_lossy(&line).trim().to_string();
    let Some(length) = text.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) else {
        return Answer::Error(text);
    };
    let mut buffer = vec![0; step];
    let total = got + length + 2;
    while got < total {
        let wanted = step.min(total - got);
        match from.read(&mut buffer[..wanted]) {
            Ok(0) => return not_whole(got, "the balancer closed the connection".into()),
            Ok(count) => got += count,
            Err(e) => return not_whole(got, e.to_string()),
        }
        sleep(pause);
    }
    Answer::Value(length)
}

/// Closes a client connection.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
