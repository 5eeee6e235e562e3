//! Parts that the cases of the second review share: a record, a balancer process, and stand-ins for
//! discovery, tile caches and clients. All addresses are loopback addresses with free ports.

#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Maximum duration of a case; after it the case ends with [`CANNOT_RUN`].
const CASE_MAX: Duration = Duration::from_secs(115);
/// Maximum time until a started balancer answers `PING` with `+PONG`.
const READY_MAX: Duration = Duration::from_secs(10);
/// Interval of the empty lines that a watch gets while nothing changes.
const WATCH_LINE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which discovery closes the connections at an address that it has left.
const MOVED_CLOSE_AFTER: Duration = Duration::from_millis(1_500);

/// Exit status if the rule held.
pub const HELD: u8 = 0;
/// Exit status if the rule was broken.
pub const BROKEN: u8 = 1;
/// Exit status if the case could not run.
pub const CANNOT_RUN: u8 = 2;

/// Processes that this program started and that have not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub const SIGHUP: i32 = 1;
const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn fcntl(descriptor: i32, command: i32, ...) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub fn sleep_ms(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}

/// The record of a run: what was sent, answered and run, with times since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn add(&self, line: impl AsRef<str>) {
        let milliseconds = self.start.elapsed().as_millis();
        let text = format!("{milliseconds:>7} ms  {}\n", line.as_ref());
        let _ = lock(&self.file).write_all(text.as_bytes());
        print!("{text}");
    }
}

/// What a case needs: its record, a temporary folder, and whether the disruption takes place.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub trouble: bool,
}

impl Drop for Case {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs a case. The first argument of the program is the folder of the case.
pub fn run(check: impl Fn(&Case) -> u8 + std::panic::RefUnwindSafe) -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let path = Path::new(&folder).join("record.txt");
    let file = File::create(path).expect("the record can be written");
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        start: Instant::now(),
    };
    let temporary = std::env::temp_dir().join(format!("pipitrun-review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("the temporary folder can be created");
    let case = Case {
        record: record.clone(),
        folder: temporary,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.add(format!("disruption: {}", case.trouble));
    start_time_limit(&record);
    let outcome = std::panic::catch_unwind(|| check(&case)).unwrap_or(CANNOT_RUN);
    record.add(match outcome {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    });
    ExitCode::from(outcome)
}

/// Ends the program, and the balancers that it started, if the case takes too long.
fn start_time_limit(record: &Record) {
    let record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(CASE_MAX);
        record.add("the case takes too long");
        for process in lock(&RUNNING).iter() {
            // SAFETY: sends a signal to a process that this program started and has not waited for.
            unsafe { kill(*process as i32, SIGKILL) };
        }
        std::process::exit(i32::from(CANNOT_RUN));
    });
}

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    listener.local_addr().expect("the port is known")
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file is there");
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    line.expect("the deploy file has the command `run`")
        .trim()
        .trim_matches('"')
        .to_string()
}

/// Request classes as a small deployment has them: reads that may be repeated, keyed writes, and
/// writes that must never run twice.
pub const PROFILE_READ: &str = r#"{"name":"tile-read","repeat":"safe","group":"all","memory_span_ns":5000000000,
    "goal_time_ns":300000000,"give_up_ns":600000000,"worth":3.0,"late_value":0.0,"stream":false}"#;
pub const PROFILE_KEYED: &str = r#"{"name":"status-set","repeat":"keyed","group":"all","memory_span_ns":2000000000,
    "goal_time_ns":300000000,"give_up_ns":1000000000,"worth":10.0,"late_value":0.0,"stream":false}"#;
pub const PROFILE_UNSAFE: &str = r#"{"name":"map-publish","repeat":"unsafe","group":"all","memory_span_ns":5000000000,
    "goal_time_ns":600000000,"give_up_ns":2500000000,"worth":5.0,"late_value":0.0,"stream":false}"#;

/// Configuration of a balancer.
#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub profiles: Vec<String>,
    pub memory_mb: u32,
    pub sockets: u32,
    pub group_size: u32,
}

impl Config {
    pub fn new(discovery: SocketAddr) -> Self {
        Config {
            name: "n1".into(),
            listen: free_address(),
            discovery,
            known: "null".into(),
            profiles: [PROFILE_READ, PROFILE_KEYED, PROFILE_UNSAFE]
                .map(String::from)
                .to_vec(),
            memory_mb: 192,
            sockets: 1024,
            group_size: 1,
        }
    }

    pub fn to_json(&self) -> String {
        let profiles = self.profiles.join(",");
        let known = match self.known.as_str() {
            "null" => String::new(),
            list => format!("\"known\":{list},"),
        };
        let Config {
            name,
            listen,
            discovery,
            memory_mb,
            sockets,
            group_size,
            ..
        } = self;
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},{known}
            "settings":{{"areas":["dc-vake","dc-saburtalo","dc-didube"],"machine_types":["small-1c"],
            "accounts":[{{"name":"kvemo-tetri","allowance_per_s":52.0,"share":0.5}},
                {{"name":"mta-khevi","allowance_per_s":45.0,"share":0.5}}],
            "over_share_worth":0.2,"group_size":{group_size},"membership_mode":"subscribe","step_ns":4000000,
            "weights":"silent","feedback":{{"columns":[],"how":"silent"}},"specifics":{{"mode":"through","origin_kind":-1}},
            "caps":{{"max_attempts":3,"second_copies":true,"may_cancel":true,"may_probe":true,"retry_after":true,
                "max_retry_after_ns":1200000000,"conn_idle_ns":30000000000,"connect_timeout_ns":150000000,
                "max_open":26666,"streams_per_conn":128}},
            "obligations":{{"grace_to_answer_ns":16000000,"drain_grace_ns":2500000000,"must_ask_in_ns":10000000000,
                "cold_from":0.12,"warm_after_ns":23000000000,"overload_factor":2.5,"tip_after_ns":2000000000}},
            "profiles":[{profiles}]}}}}"#
        )
    }
}

/// A balancer process, started by the command `run` of the deploy file. It ends with this value.
pub struct Balancer {
    child: Child,
    pub listen: SocketAddr,
    pub log: PathBuf,
}

impl Balancer {
    /// Starts a balancer. `config` is written to `path`. The variables are added to its environment.
    pub fn start(case: &Case, config: &Config, path: &Path, variables: &[(&str, String)]) -> Self {
        static STARTS: AtomicU64 = AtomicU64::new(0);
        std::fs::write(path, config.to_json()).expect("the configuration can be written");
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let log = case.folder.join(format!("log-{start}.txt"));
        let output = File::create(&log).expect("the log can be written");
        let temporary = case.folder.join("tmp");
        std::fs::create_dir_all(&temporary).expect("a folder can be created");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()])
            .env("GW_NAME", &config.name)
            .env("GW_CONFIG", path)
            .env("GW_LISTEN", config.listen.to_string())
            .env("GW_DISCOVERY", config.discovery.to_string())
            .env("TMPDIR", &temporary)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("the log can be shared"))
            .stderr(output);
        for (name, value) in variables {
            command.env(name, value);
        }
        // SAFETY: the closure makes one system call and touches no memory of the parent.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().expect("the balancer can be started");
        lock(&RUNNING).push(child.id());
        case.record.add(format!("balancer {} started", child.id()));
        Balancer {
            child,
            listen: config.listen,
            log,
        }
    }

    /// Waits until the balancer answers `PING` with `+PONG`.
    pub fn wait_ready(&mut self) {
        let start = Instant::now();
        while start.elapsed() < READY_MAX {
            if let Some(status) = self.exit_status() {
                panic!("the balancer ended: {status}");
            }
            let answer = Client::try_connect(self.listen).and_then(|mut client| {
                client.send(&[b"PING"]);
                client.read_reply(Duration::from_millis(500))
            });
            if answer == Some(Reply::Line("+PONG".into())) {
                return;
            }
            sleep_ms(50);
        }
        panic!("the balancer is not ready");
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a process that this program started and has not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns whether the log contains a text.
    pub fn has_logged(&self, text: &str) -> bool {
        std::fs::read_to_string(&self.log).is_ok_and(|log| log.contains(text))
    }

    pub fn wait_logged(&self, text: &str, longest: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < longest {
            if self.has_logged(text) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&RUNNING).retain(|process| *process != self.child.id());
    }
}

/// Has the calling process killed when its parent ends, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: sets an attribute of the calling process.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// Makes a descriptor inheritable by the processes that are started from now on.
pub fn make_inheritable(descriptor: i32) {
    const F_SETFD: i32 = 2;
    // SAFETY: clears the flag close-on-exec of a descriptor that the caller owns.
    unsafe { fcntl(descriptor, F_SETFD, 0) };
}

/// One entry of the list of discovery.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    pub fn new(name: &str, dial: SocketAddr) -> Self {
        Host {
            name: name.into(),
            dial,
            site: "dc-vake",
            health: "in_service",
            born_ms: 0,
        }
    }

    fn to_json(&self) -> String {
        let Host {
            name,
            dial,
            site,
            health,
            born_ms,
        } = self;
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"{site}","class":"small-1c","block":0,"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
        )
    }
}

/// Returns a list in discovery's form, on one line.
pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::to_json).collect();
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        hosts.join(",")
    )
}

#[derive(Default)]
struct DiscoveryState {
    hosts: Vec<Host>,
    /// Changes in order; the version of the first is 2, as the list begins with version 1.
    changes: Vec<Host>,
}

impl DiscoveryState {
    fn seq(&self) -> u64 {
        1 + self.changes.len() as u64
    }
}

/// Discovery: serves the list and watches of it over HTTP.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Record,
    /// Set once discovery has moved to another address.
    moved: Flag,
    /// Connections that are open.
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    pub fn start(record: &Record, hosts: Vec<Host>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let discovery = Discovery {
            address: listener.local_addr().expect("the port is known"),
            state: Arc::default(),
            record: record.clone(),
            moved: Flag::default(),
            streams: Arc::default(),
        };
        lock(&discovery.state.0).hosts = hosts;
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if serving.moved.is_set() {
                    return;
                }
                let call = serving.clone();
                lock(&serving.streams).extend(stream.try_clone());
                std::thread::spawn(move || call.serve(stream));
            }
        });
        discovery
    }

    /// Takes no new connection at this address, and closes the open ones after 1.5 s.
    pub fn move_away(&self) {
        self.moved.set();
        let streams = self.streams.clone();
        std::thread::spawn(move || {
            std::thread::sleep(MOVED_CLOSE_AFTER);
            for stream in lock(&streams).drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
    }

    /// Changes the entry of a host, or adds one.
    pub fn change(&self, host: Host) {
        let mut state = lock(&self.state.0);
        self.record
            .add(format!("discovery: {} is {}", host.name, host.health));
        state.hosts.retain(|listed| listed.name != host.name);
        if host.health != "terminated" {
            state.hosts.push(host.clone());
        }
        state.changes.push(host);
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut request = String::new();
        reader.read_line(&mut request).ok()?;
        let mut header = String::new();
        while reader.read_line(&mut header).ok()? > 2 {
            header.clear();
        }
        if !request.contains("follow=1") {
            let state = lock(&self.state.0);
            let body = list_json(state.seq(), true, &state.hosts);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            return stream.write_all((head + &body).as_bytes()).ok();
        }
        let since = request
            .split("since=")
            .nth(1)
            .and_then(|text| text.split([' ', '&']).next()?.parse::<u64>().ok());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).ok()?;
        self.follow(&mut stream, since)
    }

    fn follow(&self, stream: &mut TcpStream, since: Option<u64>) -> Option<()> {
        let mut told = since;
        loop {
            let line = {
                let state = lock(&self.state.0);
                let wait = |state: &mut DiscoveryState| told == Some(state.seq());
                let (state, _) = self
                    .state
                    .1
                    .wait_timeout_while(state, WATCH_LINE_INTERVAL, wait)
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                let seq = state.seq();
                let line = match told {
                    Some(version) if version == seq => String::new(),
                    Some(version) if (1..seq).contains(&version) => {
                        list_json(seq, false, &state.changes[version as usize - 1..])
                    }
                    _ => list_json(seq, true, &state.hosts),
                };
                told = Some(seq);
                line + "\n"
            };
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            stream.write_all(chunk.as_bytes()).ok()?;
        }
    }
}

/// A command that a tile cache received: its words.
#[derive(Clone, Debug)]
pub struct CacheCommand {
    pub words: Vec<Vec<u8>>,
}

impl CacheCommand {
    pub fn word(&self, index: usize) -> String {
        let word = self.words.get(index);
        word.map(|word| String::from_utf8_lossy(word).into_owned())
            .unwrap_or_default()
    }

    pub fn name(&self) -> String {
        self.word(0).to_ascii_uppercase()
    }

    pub fn id(&self) -> String {
        self.word(2)
    }

    pub fn is_request(&self) -> bool {
        self.name().starts_with("C.")
    }

    /// Returns the value of a field such as `d`.
    pub fn field(&self, name: &str) -> Option<String> {
        let fields = self.word(3);
        let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_string())
    }
}

/// Returns the answer of a tile cache that has a value for a request.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut answer = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    answer.extend_from_slice(value);
    answer.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
    answer
}

/// Starts a tile cache. `handle` answers each request on its connection, and returns `None` to
/// close the connection.
pub fn start_cache(
    handle: impl Fn(&CacheCommand, &mut TcpStream) -> Option<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("the port is known");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = handle.clone();
            std::thread::spawn(move || serve_cache(stream, handle.as_ref()));
        }
    });
    address
}

fn serve_cache(
    mut stream: TcpStream,
    handle: &(dyn Fn(&CacheCommand, &mut TcpStream) -> Option<()> + Send + Sync),
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(words) = read_command(&mut reader) {
        let command = CacheCommand { words };
        match command.name().as_str() {
            "PING" => stream.write_all(b"+PONG\r\n").ok()?,
            "CLIENT" | "SELECT" => stream.write_all(b"+OK\r\n").ok()?,
            name if name.starts_with("C.") => handle(&command, &mut stream)?,
            _ => stream.write_all(b"-ERR unknown command\r\n").ok()?,
        }
    }
    None
}

/// Reads one command; `None` at the end of the connection.
pub fn read_command(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count = read_length(reader, '*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut word = vec![0; read_length(reader, '$')? + 2];
        reader.read_exact(&mut word).ok()?;
        word.truncate(word.len() - 2);
        words.push(word);
    }
    Some(words)
}

fn read_length(reader: &mut impl BufRead, kind: char) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.trim_end().strip_prefix(kind)?.parse().ok()
}

/// An answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A status, error or number, with its first character.
    Line(String),
    /// A whole bulk string.
    Value(Vec<u8>),
    /// The connection ended inside of an answer.
    Truncated(usize),
    /// The connection ended before an answer.
    Closed,
    /// Nothing or no whole answer came in time.
    Missing,
}

impl std::fmt::Display for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reply::Line(text) => write!(f, "{text}"),
            Reply::Value(value) if value.len() <= 64 => {
                write!(f, "value \"{}\"", String::from_utf8_lossy(value))
            }
            Reply::Value(value) => write!(f, "value of {} bytes", value.len()),
            Reply::Truncated(bytes) => write!(f, "closed after {bytes} bytes of a value"),
            Reply::Closed => write!(f, "closed without an answer"),
            Reply::Missing => write!(f, "no answer"),
        }
    }
}

/// A connection of a client.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Client { stream, reader })
    }

    pub fn connect(address: SocketAddr) -> Self {
        Client::try_connect(address).expect("the client can connect")
    }

    /// Sends a command. Returns whether the system took it.
    pub fn send(&mut self, words: &[&[u8]]) -> bool {
        self.stream.write_all(&encode(words)).is_ok()
    }

    /// Reads one answer, for at most `longest`.
    pub fn read_reply(&mut self, longest: Duration) -> Option<Reply> {
        Some(self.reply(longest))
    }

    pub fn reply(&mut self, longest: Duration) -> Reply {
        let end = Instant::now() + longest;
        let mut line = Vec::new();
        loop {
            match self.byte(end) {
                Ok(Some(byte)) => line.push(byte),
                Ok(None) => return Reply::Closed,
                Err(()) => return Reply::Missing,
            }
            if line.ends_with(b"\r\n") {
                break;
            }
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_string();
        let Some(length) = text.strip_prefix('$').and_then(|n| n.parse::<i64>().ok()) else {
            return Reply::Line(text);
        };
        if length < 0 {
            return Reply::Line(text);
        }
        let mut value = Vec::new();
        while value.len() < length as usize + 2 {
            match self.byte(end) {
                Ok(Some(byte)) => value.push(byte),
                Ok(None) => return Reply::Truncated(value.len()),
                Err(()) => return Reply::Missing,
            }
        }
        value.truncate(length as usize);
        Reply::Value(value)
    }

    /// Reads one byte until `end`; `None` at the end of the connection.
    fn byte(&mut self, end: Instant) -> Result<Option<u8>, ()> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(());
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut byte = [0];
        match self.reader.read(&mut byte) {
            Ok(0) => Ok(None),
            Ok(_) => Ok(Some(byte[0])),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                Err(())
            }
            Err(_) => Ok(None),
        }
    }
}

/// Encodes a command.
pub fn encode(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// A path through the network between clients and a balancer. Bytes pass until the path is cut.
pub struct NetworkPath {
    pub address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    held: Flag,
}

impl NetworkPath {
    /// Opens a path to `target`.
    pub fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let path = NetworkPath {
            address: listener.local_addr().expect("the port is known"),
            streams: Arc::default(),
            held: Flag::default(),
        };
        let (streams, held) = (path.streams.clone(), path.held.clone());
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                pass(&near, &far, Flag::default());
                pass(&far, &near, held.clone());
                lock(&streams).extend([near, far]);
            }
        });
        path
    }

    /// From now on, what the balancer answers is delayed until after the end of the path.
    pub fn hold_answers(&self) {
        self.held.set();
    }

    /// Ends the connections on both sides.
    pub fn cut(&self) {
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Passes bytes from one stream to another until one of them ends.
fn pass(from: &TcpStream, to: &TcpStream, held: Flag) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    std::thread::spawn(move || {
        let mut bytes = [0; 64 * 1024];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            // What is held back would arrive after the connection has ended.
            if !held.is_set() && to.write_all(&bytes[..count]).is_err() {
                return;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}

/// Sends one call to an admin listener. Returns the status of the answer.
pub fn admin_call(address: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let call = format!("{method} {path} HTTP/1.1\r\nHost: balancer\r\n\r\n");
    stream.write_all(call.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Waits until the process with this admin listener is ready to serve.
pub fn wait_healthy(address: SocketAddr) {
    let start = Instant::now();
    while start.elapsed() < READY_MAX {
        if admin_call(address, "GET", "/admin/health") == Some(200) {
            return;
        }
        sleep_ms(20);
    }
    panic!("the balancer is not ready");
}

/// A flag that several threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
