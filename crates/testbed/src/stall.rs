//! Measures how long one balancer stalls while it processes a large change of the endpoint list.
//!
//! The balancer is a real process. Discovery sends it one message that adds, drains or removes a
//! batch of caches, and a client that sends `PING` back to back records the longest response time.

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

/// Number of reads sent before the batch, so that the balancer has computed the candidates of many
/// slots.
const READ_COUNT: usize = 4_000;
/// Time that the client keeps sending after each change.
const MEASURE_SPAN: Duration = Duration::from_millis(1_500);
/// Timeout for the balancer to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of listeners, shared by all listed caches.
const CACHE_LISTENERS: usize = 8;

/// Change that one discovery message reports for all caches of the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchChange {
    /// The caches are added to the list.
    Added,
    /// The caches start draining.
    Draining,
    /// The caches are removed from the list.
    Removed,
}

impl BatchChange {
    /// All changes, in the order in which they are applied to a batch.
    pub const ALL: [BatchChange; 3] = [
        BatchChange::Added,
        BatchChange::Draining,
        BatchChange::Removed,
    ];

    fn health(self) -> &'static str {
        match self {
            BatchChange::Added => "in_service",
            BatchChange::Draining => "terminating",
            BatchChange::Removed => "terminated",
        }
    }
}

/// Response times and memory of one balancer.
#[derive(Clone, Copy, Debug)]
pub struct StallMeasurement {
    /// Longest response time of a `PING` before the first change.
    pub baseline: Duration,
    /// Longest response time of a `PING` after each change, in the order of [`BatchChange::ALL`].
    pub after_change: [Duration; 3],
    /// Peak resident memory of the process, in kB.
    pub peak_kb: u64,
}

fn host(number: usize, health: &str, cache_addresses: &[SocketAddr]) -> Value {
    let address = cache_addresses[number % cache_addresses.len()];
    json!({"host": format!("s-{number:05}"), "dial": address.to_string(), "site": "dc-vake",
        "class": "small-1c", "block": 1, "health": health, "share": 1.0, "born_ms": 0})
}

fn full_list(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
}

fn list_delta(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": false, "hosts": hosts}).to_string()
}

/// Starts a discovery service for one watch. It sends `first`, then each message sent through the
/// returned channel, and an empty line after 2 s without a message.
fn start_discovery(first: String) -> io::Result<(SocketAddr, Sender<String>)> {
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

/// Starts the program and reads its listen address from its log.
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
    // Keeps reading the log: the program would block on a full pipe.
    std::thread::spawn(move || lines.for_each(drop));
    Ok((child, address.ok_or(TestbedError::NoListenAddress)?))
}

/// Client that sends `PING` back to back and records the longest response time.
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
        let (thread_longest, thread_end) = (Arc::clone(&longest), Arc::clone(&end));
        std::thread::spawn(move || -> io::Result<()> {
            let mut reply = [0; 7];
            while !thread_end.load(Ordering::Relaxed) {
                let sent = Instant::now();
                stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
                stream.read_exact(&mut reply)?;
                let response_time = sent.elapsed();
                let mut longest = thread_longest
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                *longest = longest.max(response_time);
            }
            Ok(())
        });
        Ok(PingProbe { longest, end })
    }

    /// Returns the longest response time since the last call and resets it.
    fn take_longest(&self) -> Duration {
        std::mem::take(&mut self.longest.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for PingProbe {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
    }
}

fn wait_ready(address: SocketAddr) -> Result<(), TestbedError> {
    let begin = Instant::now();
    while begin.elapsed() < READY_TIMEOUT {
        let ready = TcpStream::connect(address).and_then(|mut stream| {
            stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
            let mut reply = [0; 7];
            stream.read_exact(&mut reply)?;
            Ok(&reply == b"+PONG\r\n")
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

/// Measures one balancer with `caches` listed caches while a batch of `batch` caches is added,
/// drained and removed.
///
/// # Errors
///
/// Returns an error if a socket fails, or if the program cannot be started or does not become
/// ready.
pub fn measure(
    program: &Path,
    caches: usize,
    batch: usize,
) -> Result<StallMeasurement, TestbedError> {
    let cache_options = CacheOptions {
        slots: 64,
        service_time: Duration::ZERO,
        fetch_time: Duration::ZERO,
        ..CacheOptions::default()
    };
    let mut cache_addresses = Vec::new();
    let mut running = Vec::new();
    for number in 0..CACHE_LISTENERS {
        let cache_address = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .map_err(|e| TestbedError::io("cache", e))?;
        let cache = Cache::start(&format!("c{number}"), cache_address, cache_options, None)
            .map_err(|e| TestbedError::io("cache", e))?;
        running.push(cache);
        cache_addresses.push(cache_address);
    }
    let hosts = |range: std::ops::Range<usize>, health| {
        range
            .map(|n| host(n, health, &cache_addresses))
            .collect::<Vec<_>>()
    };
    let first = full_list(1, &hosts(0..caches, "in_service"));
    let (discovery, list_changes) =
        start_discovery(first).map_err(|e| TestbedError::io("discovery", e))?;
    let (balancer, address) = start(program, discovery)?;
    wait_ready(address)?;
    read_keys(address).map_err(|e| TestbedError::io("reads", e))?;
    let ping_probe = PingProbe::start(address).map_err(|e| TestbedError::io("pings", e))?;
    std::thread::sleep(MEASURE_SPAN);
    let baseline = ping_probe.take_longest();
    let mut after_change = [Duration::ZERO; 3];
    for (index, change) in BatchChange::ALL.into_iter().enumerate() {
        let batch = hosts(caches..caches + batch, change.health());
        list_changes
            .send(list_delta(2 + index as u64, &batch))
            .map_err(|e| TestbedError::io("discovery", std::io::Error::other(e)))?;
        std::thread::sleep(MEASURE_SPAN);
        after_change[index] = ping_probe.take_longest();
    }
    Ok(StallMeasurement {
        baseline,
        after_change,
        peak_kb: process::peak_resident_kb(balancer.id()).unwrap_or(0),
    })
}

/// Number of listed caches and size of the added batch, written as `3200:1000`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchSize {
    /// Number of caches listed before the batch is added.
    pub caches: usize,
    /// Number of caches in the batch.
    pub batch: usize,
}

/// Text that cannot be parsed as a [`BatchSize`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("\"{text}\": the number of caches and the batch size are expected, as in 3200:1000")]
pub struct InvalidBatchSize {
    /// Text that was passed.
    pub text: String,
}

impl FromStr for BatchSize {
    type Err = InvalidBatchSize;

    fn from_str(text: &str) -> Result<Self, InvalidBatchSize> {
        let parse = || {
            let (caches, batch) = text.split_once(':')?;
            Some(BatchSize {
                caches: caches.parse().ok()?,
                batch: batch.parse().ok()?,
            })
        };
        parse().ok_or_else(|| InvalidBatchSize { text: text.into() })
    }
}

/// Measures each size and prints one row per size.
///
/// # Errors
///
/// Returns the errors of [`measure`].
pub fn print_table(program: &Path, sizes: &[BatchSize]) -> Result<(), TestbedError> {
    println!("caches batch   calm_ms  joins_ms drains_ms   goes_ms   peak_kb");
    for size in sizes {
        let StallMeasurement {
            baseline,
            after_change,
            peak_kb,
        } = measure(program, size.caches, size.batch)?;
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let [joins, drains, goes] = after_change.map(ms);
        println!(
            "{:6} {:5} {:9.2} {joins:9.2} {drains:9.2} {goes:9.2} {peak_kb:9}",
            size.caches,
            size.batch,
            ms(baseline)
        );
    }
    Ok(())
}
