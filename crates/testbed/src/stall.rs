//! How long one balancer stalls while discovery notifies it of many caches at once: a real process,
//! a client that sends `PING` without a pause, and a watch that names a batch of new, draining or
//! removed caches in one message.

use crate::error::TestbedError;
use crate::process::{self, ChildGuard};
use crate::simulated_services::cache::{Cache, CacheOptions};
use crate::simulated_services::resp::{self, encode_command};
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Stdio;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Reads before the batch comes, so that the balancer has candidates for many slots.
const READ_COUNT: usize = 4_000;
/// How long the client goes on after each message.
const MEASURE_SPAN: Duration = Duration::from_millis(1_500);
/// A step that takes longer has failed.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Listeners that all caches share.
const CACHE_LISTENERS: usize = 8;

/// What a message of the watch says of the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchChange {
    /// The caches are new.
    Joins,
    /// They drain.
    Drains,
    /// They are gone.
    Goes,
}

impl BatchChange {
    /// All changes, in the order in which a batch goes through them.
    pub const ALL: [BatchChange; 3] = [BatchChange::Joins, BatchChange::Drains, BatchChange::Goes];

    fn health(self) -> &'static str {
        match self {
            BatchChange::Joins => "in_service",
            BatchChange::Drains => "terminating",
            BatchChange::Goes => "terminated",
        }
    }
}

/// What was measured of one balancer.
#[derive(Clone, Copy, Debug)]
pub struct StallMeasurement {
    /// The longest time without an answer before any change.
    pub calm: Duration,
    /// The same around each of [`BatchChange::ALL`].
    pub around: [Duration; 3],
    /// Peak memory of the process in kB.
    pub peak_kb: u64,
}

fn host(number: usize, health: &str, dials: &[SocketAddr]) -> Value {
    json!({"host": format!("s-{number:05}"), "dial": dials[number % dials.len()].to_string(), "site": "dc-vake",
        "class": "small-1c", "block": 1, "health": health, "share": 1.0, "born_ms": 0})
}

fn full_list(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
}

fn list_delta(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": false, "hosts": hosts}).to_string()
}

/// Discovery for one watch: sends this message first, then whatever comes.
fn discovery(first: String) -> io::Result<(SocketAddr, Sender<String>)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (sender, messages): (Sender<String>, Receiver<String>) = channel();
    std::thread::spawn(move || -> io::Result<()> {
        let (mut watch, _) = listener.accept()?;
        for line in BufReader::new(watch.try_clone()?).lines() {
            if line?.is_empty() {
                break;
            }
        }
        watch.write_all(b"HTTP/1.1 200 OK\r\n\r\n")?;
        writeln!(watch, "{first}")?;
        loop {
            match messages.recv_timeout(Duration::from_secs(2)) {
                Ok(message) => writeln!(watch, "{message}")?,
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => watch.write_all(b"\n")?,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return Ok(()),
            }
        }
    });
    Ok((address, sender))
}

/// Starts the program; its client address comes from its log.
fn start(program: &Path, discovery: SocketAddr) -> Result<(ChildGuard, SocketAddr), TestbedError> {
    let settings = crate::member_process::settings(1);
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "2a",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings});
    let path = std::env::temp_dir().join(format!("pipitrun-silence-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).map_err(|e| TestbedError::file(&path, e))?;
    let mut command = process::balancer_command(program, &path);
    let mut child = ChildGuard::spawn(command.stdout(Stdio::null()).stderr(Stdio::piped()))?;
    let log = child.stderr.take().ok_or(TestbedError::NoListenAddress)?;
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    let address = lines.find_map(|l| {
        l.split_once("listening on ")?
            .1
            .split_once(',')?
            .0
            .parse()
            .ok()
    });
    // Read on, or the program would wait for its log to be read.
    std::thread::spawn(move || lines.for_each(drop));
    Ok((child, address.ok_or(TestbedError::NoListenAddress)?))
}

/// A client that sends `PING` without a pause and keeps the longest time that an answer took.
struct PingProbe {
    longest: Arc<Mutex<Duration>>,
    end: Arc<AtomicBool>,
}

impl PingProbe {
    fn start(address: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let (longest, end) = (
            Arc::new(Mutex::new(Duration::ZERO)),
            Arc::new(AtomicBool::new(false)),
        );
        let (kept, ending) = (Arc::clone(&longest), Arc::clone(&end));
        std::thread::spawn(move || -> io::Result<()> {
            let mut answer = [0; 7];
            while !ending.load(Ordering::Relaxed) {
                let sent = Instant::now();
                stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
                stream.read_exact(&mut answer)?;
                let took = sent.elapsed();
                let mut longest = kept.lock().unwrap_or_else(PoisonError::into_inner);
                *longest = longest.max(took);
            }
            Ok(())
        });
        Ok(PingProbe { longest, end })
    }

    /// The longest time so far, counted anew from now on.
    fn take(&self) -> Duration {
        std::mem::take(&mut self.longest.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for PingProbe {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
    }
}

fn wait_ready(address: SocketAddr) -> Result<(), TestbedError> {
    let asked = Instant::now();
    while asked.elapsed() < STEP_TIMEOUT {
        let ready = TcpStream::connect(address).and_then(|mut stream| {
            stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
            let mut answer = [0; 7];
            stream.read_exact(&mut answer)?;
            Ok(&answer == b"+PONG\r\n")
        });
        if matches!(ready, Ok(true)) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Err(TestbedError::NotReady)
}

fn read_keys(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    let mut input = BufReader::new(stream.try_clone()?);
    for number in 0..READ_COUNT {
        let (key, id) = (format!("{number:016x}"), format!("{number:x}"));
        let words: [&[u8]; 4] = [
            b"C.GET",
            key.as_bytes(),
            id.as_bytes(),
            b"c=tile-read,d=600",
        ];
        stream.write_all(&encode_command(&words))?;
        resp::read_reply(&mut input)?;
    }
    Ok(())
}

/// Measures a balancer of `program` with so many caches, and a batch of so many more.
///
/// # Errors
///
/// Says which step failed: a socket, the program's start, or its readiness.
pub fn measure(
    program: &Path,
    caches: usize,
    batch: usize,
) -> Result<StallMeasurement, TestbedError> {
    let quick = CacheOptions {
        slots: 64,
        service_time: Duration::ZERO,
        fetch_time: Duration::ZERO,
        ..CacheOptions::default()
    };
    let mut dials = Vec::new();
    let mut running = Vec::new();
    for number in 0..CACHE_LISTENERS {
        let free = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .map_err(|e| TestbedError::io("cache", e))?;
        let cache = Cache::start(&format!("c{number}"), free, quick, None)
            .map_err(|e| TestbedError::io("cache", e))?;
        running.push(cache);
        dials.push(free);
    }
    let hosts = |range: std::ops::Range<usize>, health| {
        range.map(|n| host(n, health, &dials)).collect::<Vec<_>>()
    };
    let first = full_list(1, &hosts(0..caches, "in_service"));
    let (discovery, list_changes) =
        discovery(first).map_err(|e| TestbedError::io("discovery", e))?;
    let (balancer, address) = start(program, discovery)?;
    wait_ready(address)?;
    read_keys(address).map_err(|e| TestbedError::io("reads", e))?;
    let pings = PingProbe::start(address).map_err(|e| TestbedError::io("pings", e))?;
    std::thread::sleep(MEASURE_SPAN);
    let calm = pings.take();
    let mut around = [Duration::ZERO; 3];
    for (place, change) in BatchChange::ALL.into_iter().enumerate() {
        let batch = hosts(caches..caches + batch, change.health());
        list_changes
            .send(list_delta(2 + place as u64, &batch))
            .map_err(|e| TestbedError::io("discovery", std::io::Error::other(e)))?;
        std::thread::sleep(MEASURE_SPAN);
        around[place] = pings.take();
    }
    Ok(StallMeasurement {
        calm,
        around,
        peak_kb: process::peak_resident_kb(balancer.id()).unwrap_or(0),
    })
}

/// A number of caches and the batch that comes to them, written `3200:1000`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchSize {
    /// Caches before the batch.
    pub caches: usize,
    /// Caches in the batch.
    pub batch: usize,
}

/// A text that is no [`BatchSize`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("\"{text}\": caches and batch are expected, as in 3200:1000")]
pub struct InvalidBatchSize {
    /// The text.
    pub text: String,
}

impl FromStr for BatchSize {
    type Err = InvalidBatchSize;

    fn from_str(text: &str) -> Result<Self, InvalidBatchSize> {
        let read = || {
            let (caches, batch) = text.split_once(':')?;
            Some(BatchSize {
                caches: caches.parse().ok()?,
                batch: batch.parse().ok()?,
            })
        };
        read().ok_or_else(|| InvalidBatchSize { text: text.into() })
    }
}

/// Measures each size and prints a row for it.
///
/// # Errors
///
/// As [`measure`].
pub fn print_table(program: &Path, sizes: &[BatchSize]) -> Result<(), TestbedError> {
    println!("caches batch   calm_ms  joins_ms drains_ms   goes_ms   peak_kb");
    for size in sizes {
        let StallMeasurement {
            calm,
            around,
            peak_kb,
        } = measure(program, size.caches, size.batch)?;
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let [joins, drains, goes] = around.map(ms);
        println!(
            "{:6} {:5} {:9.2} {joins:9.2} {drains:9.2} {goes:9.2} {peak_kb:9}",
            size.caches,
            size.batch,
            ms(calm)
        );
    }
    Ok(())
}
