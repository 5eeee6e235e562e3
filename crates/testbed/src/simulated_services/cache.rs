//! Simulated tile cache with limited concurrency and queue, a cold start, read-through to the
//! origin, and counts of all executions.

use super::origin::Origin;
use super::{TcpService, resp};
use std::collections::{HashMap, HashSet};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Capacity and speed of a cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheOptions {
    /// Maximum number of requests processed concurrently.
    pub slots: usize,
    /// Maximum number of requests queued for a slot; further ones are rejected.
    pub queue: usize,
    /// Processing time of a request at a warm cache.
    pub service_time: Duration,
    /// Additional time of a miss, if the cache has no origin.
    pub fetch_time: Duration,
    /// Speed right after the start, as a fraction of the warm speed.
    pub slow_start_fraction: f64,
    /// Time after the start until the cache runs at full speed.
    pub slow_start_duration: Duration,
    /// Time after a write with an idempotency key in which a repeat with this key has no effect.
    pub deduplication_window: Duration,
}

impl Default for CacheOptions {
    fn default() -> Self {
        CacheOptions {
            slots: 4,
            queue: 32,
            service_time: Duration::from_millis(8),
            fetch_time: Duration::from_millis(20),
            slow_start_fraction: 1.0,
            slow_start_duration: Duration::ZERO,
            deduplication_window: Duration::from_secs(2),
        }
    }
}

/// Executions of one request id at a cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// Number of executions.
    pub executions: u32,
    /// Number of executions of a write that took effect; deduplicated repeats are not counted.
    pub effects: u32,
    /// Idempotency key of the latest execution, if any.
    pub key: Option<String>,
    /// Request class of the latest execution.
    pub class: String,
}

/// Counts of a cache since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheCounts {
    /// Reads and writes received, including rejected ones.
    pub attempts: u64,
    /// Reads and writes rejected because the queue was full.
    pub rejected: u64,
    /// Health checks received.
    pub health_checks: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Reads of cached keys.
    pub hits: u64,
    /// Reads of keys that had to be fetched.
    pub misses: u64,
}

/// Counts and contents of a cache.
#[derive(Default)]
struct CacheState {
    attempts: u64,
    health_checks: u64,
    connections: u64,
    hits: u64,
    misses: u64,
    /// Requests that hold a slot.
    in_service: usize,
    /// Requests queued for a slot.
    waiting: usize,
    rejected: u64,
    cached_keys: HashSet<Vec<u8>>,
    /// Last written value by key.
    written: HashMap<Vec<u8>, Vec<u8>>,
    /// Time of the last write by idempotency key.
    last_writes: HashMap<String, Instant>,
    executed: HashMap<String, ExecutedRequest>,
}

/// State shared by the connections of a cache.
struct SharedCache {
    name: String,
    options: CacheOptions,
    origin: Option<Origin>,
    started: Instant,
    state: Mutex<CacheState>,
    /// Signalled when a slot becomes free.
    slot_freed: Condvar,
}

impl SharedCache {
    /// Waits for a slot and occupies it; returns `None` if the queue is full.
    fn acquire_slot(&self) -> Option<MutexGuard<'_, CacheState>> {
        let mut state = self.state();
        state.attempts += 1;
        if state.in_service >= self.options.slots {
            if state.waiting >= self.options.queue {
                state.rejected += 1;
                return None;
            }
            state.waiting += 1;
            while state.in_service >= self.options.slots {
                state = self
                    .slot_freed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            state.waiting -= 1;
        }
        state.in_service += 1;
        Some(state)
    }

    fn state(&self) -> MutexGuard<'_, CacheState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current processing time as a multiple of the warm one, 1 or more.
    fn slowdown(&self) -> f64 {
        let warm_up_s = self.options.slow_start_duration.as_secs_f64();
        let age_s = self.started.elapsed().as_secs_f64();
        let progress = if warm_up_s > 0.0 {
            (age_s / warm_up_s).min(1.0)
        } else {
            1.0
        };
        1.0 / (self.options.slow_start_fraction
            + (1.0 - self.options.slow_start_fraction) * progress)
    }
}

/// Running tile cache. Dropping it closes the listener and all connections.
pub struct Cache {
    shared: Arc<SharedCache>,
    _service: TcpService,
}

impl Cache {
    /// Starts a cache that listens on an address. Without an origin a miss takes the additional
    /// `fetch_time`, and a write takes as long as a hit.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start(
        name: &str,
        address: SocketAddr,
        options: CacheOptions,
        origin: Option<Origin>,
    ) -> io::Result<Self> {
        let shared = Arc::new(SharedCache {
            name: name.into(),
            options,
            origin,
            started: Instant::now(),
            state: Mutex::default(),
            slot_freed: Condvar::new(),
        });
        let state = Arc::clone(&shared);
        let service = TcpService::start(address, move |stream| serve(&state, stream))?;
        Ok(Cache {
            shared,
            _service: service,
        })
    }

    /// Returns the executions by request id.
    #[must_use]
    pub fn executed_requests(&self) -> HashMap<String, ExecutedRequest> {
        self.shared.state().executed.clone()
    }

    /// Returns the number of rejected requests.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.shared.state().rejected
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> CacheCounts {
        let state = self.shared.state();
        CacheCounts {
            attempts: state.attempts,
            rejected: state.rejected,
            health_checks: state.health_checks,
            connections: state.connections,
            hits: state.hits,
            misses: state.misses,
        }
    }
}

/// Reads and executes the commands of a connection until it fails or closes.
fn serve(shared: &SharedCache, stream: TcpStream) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    shared.state().connections += 1;
    loop {
        let arguments = resp::read_command(&mut input)?;
        let arguments: Vec<&[u8]> = arguments.iter().map(Vec::as_slice).collect();
        match arguments[..] {
            [b"C.GET", key, id, options] => {
                execute_and_reply(
                    shared,
                    &mut output,
                    &CacheCommand {
                        key,
                        id,
                        options,
                        value: None,
                    },
                )?;
            }
            [b"C.SET", key, id, options, value] => {
                execute_and_reply(
                    shared,
                    &mut output,
                    &CacheCommand {
                        key,
                        id,
                        options,
                        value: Some(value),
                    },
                )?;
            }
            [b"PING", ..] => {
                shared.state().health_checks += 1;
                output.write_all(b"+PONG\r\n")?;
            }
            _ => output.write_all(b"-SYNTAX\r\n")?,
        }
    }
}

/// Returns the value of a field in a command's options, a comma-separated list of `name=value`.
fn option_field(options: &str, name: &str) -> Option<String> {
    options.split(',').find_map(|pair| {
        Some(
            pair.split_once('=')
                .filter(|(n, _)| *n == name)?
                .1
                .to_string(),
        )
    })
}

/// Received read or write.
struct CacheCommand<'a> {
    key: &'a [u8],
    id: &'a [u8],
    options: &'a [u8],
    /// Value of a write; `None` for a read.
    value: Option<&'a [u8]>,
}

/// Result of a command in the cache itself, before the origin is called.
struct Execution {
    /// `hit` or `miss` for a read; `None` for a write.
    hit_status: Option<&'static str>,
    value: Vec<u8>,
}

/// Executes a command in a slot, calls the origin if necessary, and writes the reply.
fn execute_and_reply(
    shared: &SharedCache,
    output: &mut TcpStream,
    command: &CacheCommand,
) -> io::Result<()> {
    let Some(mut state) = shared.acquire_slot() else {
        return output.write_all(b"-BUSY\r\n");
    };
    let Execution { hit_status, value } = execute(shared, &mut state, command);
    drop(state);
    std::thread::sleep(shared.options.service_time.mul_f64(shared.slowdown()));
    // A slot covers the cache's own work only; a request that waits for the origin holds none.
    shared.state().in_service -= 1;
    shared.slot_freed.notify_one();
    if hit_status != Some("hit") && !fetch(shared, hit_status.is_some()) {
        return output.write_all(b"-ERR failed\r\n");
    }
    if hit_status == Some("miss") {
        shared.state().cached_keys.insert(command.key.to_vec());
    }
    let mut bytes = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend(value);
    bytes.extend(match hit_status {
        Some(status) => format!("\r\n${}\r\n{status}\r\n$-1\r\n", status.len()).into_bytes(),
        None => b"\r\n$-1\r\n$-1\r\n".to_vec(),
    });
    output.write_all(&bytes)
}

/// Records a command, applies a write, and returns the result.
fn execute(shared: &SharedCache, state: &mut CacheState, command: &CacheCommand) -> Execution {
    let (key, options) = (command.key, String::from_utf8_lossy(command.options));
    let idempotency_key = option_field(&options, "k");
    let is_duplicate = command.value.is_some()
        && idempotency_key.as_ref().is_some_and(|k| {
            let previous = state.last_writes.insert(k.clone(), Instant::now());
            previous.is_some_and(|at| at.elapsed() < shared.options.deduplication_window)
        });
    let id = String::from_utf8_lossy(command.id).into_owned();
    let executed = state.executed.entry(id).or_default();
    executed.executions += 1;
    executed.effects += u32::from(command.value.is_some() && !is_duplicate);
    executed.class = option_field(&options, "c").unwrap_or_default();
    executed.key = idempotency_key;
    if let Some(value) = command.value {
        state.cached_keys.remove(key);
        state.written.insert(key.to_vec(), value.to_vec());
        return Execution {
            hit_status: None,
            value: b"stored".to_vec(),
        };
    }
    let hit = state.cached_keys.contains(key);
    state.hits += u64::from(hit);
    state.misses += u64::from(!hit);
    let generated =
        || format!("tile {} by {}", String::from_utf8_lossy(key), shared.name).into_bytes();
    Execution {
        hit_status: Some(if hit { "hit" } else { "miss" }),
        value: state.written.get(key).cloned().unwrap_or_else(generated),
    }
}

/// Calls the origin; without one, waits for the fetch time of a read. Returns whether it succeeded.
fn fetch(shared: &SharedCache, is_read: bool) -> bool {
    if let Some(origin) = &shared.origin {
        return origin.process_request();
    }
    if is_read {
        std::thread::sleep(shared.options.fetch_time);
    }
    true
}
