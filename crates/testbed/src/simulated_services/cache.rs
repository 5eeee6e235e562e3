//! A simulated tile cache of limited capacity: it works at so many requests at a time, lets so many
//! wait, starts cold, reads through, and counts every execution.

use super::origin::Origin;
use super::{TcpService, resp};
use std::collections::{HashMap, HashSet};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How a cache works.
#[derive(Clone, Copy, Debug)]
pub struct CacheOptions {
    /// Requests at work at a time.
    pub slots: usize,
    /// Requests that wait for a slot; more are rejected.
    pub queue: usize,
    /// What a request takes when the cache is warm.
    pub service_time: Duration,
    /// What a miss takes beyond that.
    pub fetch_time: Duration,
    /// The share of its speed that it starts with.
    pub slow_start_fraction: f64,
    /// It is warm after this.
    pub slow_start_duration: Duration,
    /// A repeat of a keyed write is dropped for this long.
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

/// What a cache did for one request id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// How often it began it.
    pub times: u32,
    /// It was a write that took effect so often; a dropped repeat took none.
    pub effects: u32,
    /// Its idempotency key, if any.
    pub key: Option<String>,
    /// Its class.
    pub class: String,
}

/// What came to a cache, as counts since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheCounts {
    /// Requests, including rejected ones.
    pub attempts: u64,
    /// Rejected requests.
    pub rejected: u64,
    /// Probes.
    pub health_checks: u64,
    /// Connections.
    pub connections: u64,
    /// Reads that it held, and those that it had to fetch.
    pub hits: u64,
    /// See `hits`.
    pub misses: u64,
}

#[derive(Default)]
struct CacheState {
    attempts: u64,
    health_checks: u64,
    connections: u64,
    hits: u64,
    misses: u64,
    in_service: usize,
    waiting: usize,
    rejected: u64,
    cached_keys: HashSet<Vec<u8>>,
    written: HashMap<Vec<u8>, Vec<u8>>,
    seen: HashMap<String, Instant>,
    executed: HashMap<String, ExecutedRequest>,
}

struct SharedCache {
    name: String,
    options: CacheOptions,
    origin: Option<Origin>,
    started: Instant,
    state: Mutex<CacheState>,
    freed: Condvar,
}

impl SharedCache {
    /// Waits for a slot and takes it; `None` if the queue is full.
    fn take_slot(&self) -> Option<MutexGuard<'_, CacheState>> {
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
                    .freed
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

    /// How much slower than warm it is now, 1 or more.
    fn slowness(&self) -> f64 {
        let warm = self.options.slow_start_duration.as_secs_f64();
        let age = self.started.elapsed().as_secs_f64();
        let part = if warm > 0.0 {
            (age / warm).min(1.0)
        } else {
            1.0
        };
        1.0 / (self.options.slow_start_fraction + (1.0 - self.options.slow_start_fraction) * part)
    }
}

/// A tile cache; it ends with this, and so do its connections.
pub struct Cache {
    shared: Arc<SharedCache>,
    _service: TcpService,
}

impl Cache {
    /// Starts it at an address; without an origin a miss takes `fetch`, and a write no longer than
    /// a hit.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
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
            freed: Condvar::new(),
        });
        let serving = Arc::clone(&shared);
        let service = TcpService::start(address, move |stream| serve(&serving, stream))?;
        Ok(Cache {
            shared,
            _service: service,
        })
    }

    /// What it did, by request id.
    #[must_use]
    pub fn executed_requests(&self) -> HashMap<String, ExecutedRequest> {
        self.shared.state().executed.clone()
    }

    /// Rejected requests.
    #[must_use]
    pub fn turned_away(&self) -> u64 {
        self.shared.state().rejected
    }

    /// What came to it so far.
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

fn serve(shared: &SharedCache, stream: TcpStream) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut output = stream;
    shared.state().connections += 1;
    loop {
        let words = resp::read_command(&mut input)?;
        let words: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
        match words[..] {
            [b"C.GET", key, id, options] => {
                answer(
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
                answer(
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

/// A field of a command's list of names and values.
fn field(options: &str, name: &str) -> Option<String> {
    options.split(',').find_map(|pair| {
        Some(
            pair.split_once('=')
                .filter(|(n, _)| *n == name)?
                .1
                .to_string(),
        )
    })
}

/// A read or write as it came.
struct CacheCommand<'a> {
    key: &'a [u8],
    id: &'a [u8],
    options: &'a [u8],
    /// The value of a write.
    value: Option<&'a [u8]>,
}

/// How a command ended in the cache itself.
struct Execution {
    /// `hit` or `miss`, for a read.
    note: Option<&'static str>,
    value: Vec<u8>,
}

fn answer(shared: &SharedCache, output: &mut TcpStream, command: &CacheCommand) -> io::Result<()> {
    let Some(mut state) = shared.take_slot() else {
        return output.write_all(b"-BUSY\r\n");
    };
    let Execution { note, value } = execute(shared, &mut state, command);
    drop(state);
    std::thread::sleep(shared.options.service_time.mul_f64(shared.slowness()));
    // The slot is the cache's own work; what waits for the origin has none.
    shared.state().in_service -= 1;
    shared.freed.notify_one();
    if note != Some("hit") && !fetch(shared, note.is_some()) {
        return output.write_all(b"-ERR failed\r\n");
    }
    if note == Some("miss") {
        shared.state().cached_keys.insert(command.key.to_vec());
    }
    let mut bytes = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend(value);
    bytes.extend(match note {
        Some(note) => format!("\r\n${}\r\n{note}\r\n$-1\r\n", note.len()).into_bytes(),
        None => b"\r\n$-1\r\n$-1\r\n".to_vec(),
    });
    output.write_all(&bytes)
}

/// Records a command and finds its answer.
fn execute(shared: &SharedCache, state: &mut CacheState, command: &CacheCommand) -> Execution {
    let (key, options) = (command.key, String::from_utf8_lossy(command.options));
    let idempotency_key = field(&options, "k");
    let dropped = command.value.is_some()
        && idempotency_key.as_ref().is_some_and(|k| {
            let seen = state.seen.insert(k.clone(), Instant::now());
            seen.is_some_and(|at| at.elapsed() < shared.options.deduplication_window)
        });
    let id = String::from_utf8_lossy(command.id).into_owned();
    let executed = state.executed.entry(id).or_default();
    executed.times += 1;
    executed.effects += u32::from(command.value.is_some() && !dropped);
    executed.class = field(&options, "c").unwrap_or_default();
    executed.key = idempotency_key;
    if let Some(value) = command.value {
        state.cached_keys.remove(key);
        state.written.insert(key.to_vec(), value.to_vec());
        return Execution {
            note: None,
            value: b"stored".to_vec(),
        };
    }
    let hit = state.cached_keys.contains(key);
    state.hits += u64::from(hit);
    state.misses += u64::from(!hit);
    let made_up =
        || format!("tile {} by {}", String::from_utf8_lossy(key), shared.name).into_bytes();
    Execution {
        note: Some(if hit { "hit" } else { "miss" }),
        value: state.written.get(key).cloned().unwrap_or_else(made_up),
    }
}

/// Works at the origin, or takes as long as a fetch would; whether that succeeded.
fn fetch(shared: &SharedCache, is_read: bool) -> bool {
    if let Some(origin) = &shared.origin {
        return origin.work();
    }
    if is_read {
        std::thread::sleep(shared.options.fetch_time);
    }
    true
}
