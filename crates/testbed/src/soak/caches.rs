//! The simulated caches of a soak, served by one thread. Some caches have a listener of their own;
//! the others share listeners.

use super::connections::{Clock, Connection, ConnectionState, readable};
use super::records::{AttemptEnd, AttemptRecord, MS, Nanos, ResponseProgress};
use super::responses::{self, ResponseMix, ResponsePart, STREAMED_LENGTH};
use crate::simulated_services::resp;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use socket2::SockRef;
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// Active faults of the caches. At most one of the ratios applies to a request.
#[derive(Clone, Debug, Default)]
pub struct CacheFaults {
    /// Listeners that accept requests but do not answer them.
    pub hanging: HashSet<usize>,
    /// Listeners whose processes have just been replaced: their connections stay open and silent.
    /// The caches empty the set.
    pub replaced: HashSet<usize>,
    /// Listeners whose connections are reset, new ones included.
    pub down: HashSet<usize>,
    /// Listeners whose connections are read slowly.
    pub slow_reading: HashSet<usize>,
    /// Ratio of requests that are rejected with `-BUSY`.
    pub busy: f64,
    /// Ratio of requests that are executed but answered with an error.
    pub error: f64,
    /// Ratio of requests that are executed, but whose connection is reset instead of an answer.
    pub reset: f64,
    /// Ratio of requests that are executed, but of whose answer only the first half is sent.
    pub truncated: f64,
    /// Ratio of requests that are answered a second time, 3 ms after the first answer.
    pub answered_twice: f64,
    /// Ratio of requests whose connection is closed immediately after the answer.
    pub close: f64,
}

/// Service time of a request in milliseconds: minimum, and exclusive maximum.
const SERVICE_TIME_MS: (u64, u64) = (2, 12);
/// Receive buffer of each connection, in bytes.
const RECEIVE_BUFFER: usize = 4_096;
/// Number of bytes that a slow cache reads at a time.
const SLOW_READ_LENGTH: usize = 2_048;
/// Time between two reads of a slow cache.
const SLOW_READ_INTERVAL: Nanos = 25 * MS;

/// Active faults, shared between the caches and the trial.
#[derive(Clone, Default)]
pub struct SharedFaults(Arc<Mutex<CacheFaults>>);

impl SharedFaults {
    /// Locks the faults.
    pub fn lock(&self) -> MutexGuard<'_, CacheFaults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Running caches.
pub struct Caches {
    /// Address of each listener.
    pub addresses: Vec<SocketAddr>,
    /// Active faults.
    pub faults: SharedFaults,
    end: Arc<AtomicBool>,
    thread: JoinHandle<Vec<AttemptRecord>>,
}

/// A part of an answer that is scheduled to be written, and the action after it.
struct DuePart {
    at: Nanos,
    connection: u64,
    attempt: usize,
    bytes: Vec<u8>,
    then: AfterPart,
}

/// Action on a connection after a part of an answer was written.
#[derive(Clone, Copy, PartialEq)]
enum AfterPart {
    /// Further parts follow.
    Continue,
    KeepOpen,
    Reset,
    Close,
}

struct ClientConnection {
    connection: Connection,
    listener: usize,
    /// Earliest time at which the first byte in the input may have arrived.
    began: Nanos,
    /// Attempts without an answer, by their index in the records.
    open: Vec<usize>,
    /// Last answered attempt, by its index in the records.
    last_answered: Option<usize>,
    /// Whether the process that it leads to was replaced: nothing is answered any more.
    is_former: bool,
    /// Earliest time of the next read.
    next_read_at: Nanos,
}

struct CacheServer {
    clock: Clock,
    listeners: Vec<TcpListener>,
    faults: SharedFaults,
    rng: Xoshiro256PlusPlus,
    connections: BTreeMap<u64, ClientConnection>,
    /// Number of the next connection.
    next_connection: u64,
    mix: ResponseMix,
    due: Vec<DuePart>,
    attempts: Vec<AttemptRecord>,
}

impl Caches {
    /// Starts caches with `count` listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be created.
    pub fn start(count: usize, mix: ResponseMix, clock: Clock, seed: u64) -> io::Result<Self> {
        let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0"));
        let listeners: Vec<TcpListener> = listeners.collect::<io::Result<_>>()?;
        listeners.iter().try_for_each(|l| {
            // What a cache has not read must not all be held by its system.
            SockRef::from(l).set_recv_buffer_size(RECEIVE_BUFFER)?;
            l.set_nonblocking(true)
        })?;
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        let (faults, end) = (SharedFaults::default(), Arc::new(AtomicBool::new(false)));
        let mut server = CacheServer {
            clock,
            listeners,
            faults: faults.clone(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            connections: BTreeMap::new(),
            next_connection: 0,
            mix,
            due: Vec::new(),
            attempts: Vec::new(),
        };
        let thread_end = Arc::clone(&end);
        let thread = std::thread::spawn(move || {
            while !thread_end.load(Ordering::Relaxed) && server.poll_once().is_ok() {}
            server.attempts
        });
        Ok(Caches {
            addresses,
            faults,
            end,
            thread,
        })
    }

    /// Stops the caches and returns the records of all attempts.
    #[must_use]
    pub fn stop(self) -> Vec<AttemptRecord> {
        self.end.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

impl CacheServer {
    /// Waits for ready sockets, reads them and writes the parts of answers that are due.
    fn poll_once(&mut self) -> io::Result<()> {
        // Data found by this poll arrived after the previous poll, that is, not before `before`.
        let before = self.clock.now();
        let listeners = self.listeners.iter().map(AsFd::as_fd);
        let polled = self
            .connections
            .iter()
            .filter(|(_, c)| c.next_read_at <= before);
        let (numbers, connections): (Vec<u64>, Vec<_>) = polled
            .map(|(number, client)| (*number, client.connection.fd()))
            .unzip();
        let ready = readable(listeners.chain(connections))?;
        let (ready_listeners, ready_connections) = ready.split_at(self.listeners.len());
        let (down, replaced) = {
            let mut faults = self.faults.lock();
            (faults.down.clone(), std::mem::take(&mut faults.replaced))
        };
        for client in self.connections.values_mut() {
            if replaced.contains(&client.listener) {
                client.is_former = true;
                for attempt in &client.open {
                    self.attempts[*attempt].response.is_spoilt = true;
                }
            }
        }
        for (number, _) in numbers
            .iter()
            .zip(ready_connections)
            .filter(|(_, ready)| **ready)
        {
            self.read(*number, before);
        }
        for (listener, _) in ready_listeners
            .iter()
            .enumerate()
            .filter(|(_, ready)| **ready)
        {
            self.accept(listener, before, &down);
        }
        let is_down = |client: &ClientConnection| down.contains(&client.listener);
        let to_reset: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| is_down(c))
            .map(|(n, _)| *n)
            .collect();
        to_reset
            .into_iter()
            .for_each(|number| self.drop_connection(number, Close::Reset));
        self.write_due_parts();
        Ok(())
    }

    fn accept(&mut self, listener: usize, before: Nanos, down: &HashSet<usize>) {
        while let Ok((stream, _)) = self.listeners[listener].accept() {
            let Ok(connection) = Connection::new(stream) else {
                continue;
            };
            if down.contains(&listener) {
                connection.reset();
                continue;
            }
            self.connections.insert(
                self.next_connection,
                ClientConnection {
                    connection,
                    listener,
                    began: before,
                    open: Vec::new(),
                    last_answered: None,
                    is_former: false,
                    next_read_at: 0,
                },
            );
            self.next_connection += 1;
            self.read(self.next_connection - 1, before);
        }
    }

    fn read(&mut self, number: u64, before: Nanos) {
        let reads_slowly = |listener| self.faults.lock().slow_reading.contains(&listener);
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        if client.connection.input.is_empty() {
            client.began = before;
        }
        let state = if reads_slowly(client.listener) {
            client.next_read_at = self.clock.now() + SLOW_READ_INTERVAL;
            client.connection.read_at_most(SLOW_READ_LENGTH)
        } else {
            client.connection.read()
        };
        while let Some(client) = self.connections.get_mut(&number) {
            let mut input = client.connection.input.as_slice();
            let length = input.len();
            let Ok(words) = resp::read_command(&mut input) else {
                break;
            };
            let (used, began) = (length - input.len(), client.began);
            client.connection.input.drain(..used);
            client.began = before;
            self.receive_command(number, &words, began);
        }
        if state != ConnectionState::Open {
            self.drop_connection(number, Close::ByPeer);
        }
    }

    /// Records an attempt and schedules its answer, or answers `PING`.
    fn receive_command(&mut self, number: u64, words: &[Vec<u8>], began: Nanos) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        let [name, key, id, fields, ..] = words else {
            client
                .connection
                .write(if words.first().is_some_and(|w| w == b"PING") {
                    b"+PONG\r\n"
                } else {
                    b"-SYNTAX\r\n"
                });
            return;
        };
        let fields = String::from_utf8_lossy(fields);
        let deadline_ms = fields
            .rsplit_once("d=")
            .and_then(|(_, d)| d.parse().ok())
            .unwrap_or(u64::MAX);
        let now = self.clock.now();
        let attempt = self.attempts.len();
        let (listener, is_former) = (client.listener, client.is_former);
        let id = String::from_utf8_lossy(id).into_owned();
        let key = String::from_utf8_lossy(key);
        let is_read_slowly = client.next_read_at > 0;
        client.open.push(attempt);
        let value = if name == b"C.SET" {
            format!("receipt {id}")
        } else {
            format!("value {key}")
        };
        self.attempts.push(AttemptRecord {
            id,
            listener,
            began,
            received: now,
            deadline_ms,
            end: AttemptEnd::Open,
            finished: None,
            is_read_slowly,
            response: ResponseProgress::default(),
            to_former_process: is_former,
        });
        let faults = self.faults.lock().clone();
        if faults.hanging.contains(&listener) || is_former {
            return;
        }
        let key = u64::from_str_radix(&key, 16).ok();
        let parts = responses::generate(&mut self.rng, &self.mix, key, &value);
        self.schedule_answer(number, attempt, &faults, now, parts);
    }

    /// Randomly selects, according to the active faults, the answer to an attempt and its time.
    fn schedule_answer(
        &mut self,
        connection: u64,
        attempt: usize,
        faults: &CacheFaults,
        now: Nanos,
        parts: Vec<ResponsePart>,
    ) {
        let at = now + self.rng.random_range(SERVICE_TIME_MS.0..SERVICE_TIME_MS.1) * MS;
        let mut due = |at, bytes, then| {
            self.due.push(DuePart {
                at,
                connection,
                attempt,
                bytes,
                then,
            });
        };
        let record = &mut self.attempts[attempt];
        let mut remaining = self.rng.random::<f64>();
        let mut selects = |ratio: f64| {
            remaining -= ratio;
            remaining < 0.0
        };
        if selects(faults.busy) {
            record.end = AttemptEnd::TurnedAway;
            due(now, b"-BUSY\r\n".to_vec(), AfterPart::KeepOpen);
            return;
        }
        record.end = AttemptEnd::Ran;
        let length: usize = parts.iter().map(|part| part.bytes.len()).sum();
        record.response.is_long = length >= STREAMED_LENGTH;
        let whole = || -> Vec<u8> {
            let parts: Vec<&[u8]> = parts.iter().map(|part| part.bytes.as_slice()).collect();
            parts.concat()
        };
        if selects(faults.error) {
            record.response.is_spoilt = true;
            due(at, b"-ERR failed\r\n".to_vec(), AfterPart::KeepOpen);
        } else if selects(faults.reset) {
            record.response.is_spoilt = true;
            due(at, Vec::new(), AfterPart::Reset);
        } else if selects(faults.truncated) {
            record.response.is_spoilt = true;
            let mut half = whole();
            half.truncate(length / 2);
            due(at, half, AfterPart::KeepOpen);
        } else if selects(faults.answered_twice) {
            record.response.is_spoilt = true;
            due(at, whole(), AfterPart::KeepOpen);
            due(at + 3 * MS, whole(), AfterPart::KeepOpen);
        } else if selects(faults.close) {
            // The close drops what the balancer has not accepted yet.
            record.response.is_spoilt = record.response.is_long;
            due(at, whole(), AfterPart::Close);
        } else {
            let (mut at, last) = (at, parts.len() - 1);
            for (number, part) in parts.into_iter().enumerate() {
                at += part.after;
                let then = if number == last {
                    AfterPart::KeepOpen
                } else {
                    AfterPart::Continue
                };
                due(at, part.bytes, then);
            }
        }
    }

    fn write_due_parts(&mut self) {
        for client in self.connections.values_mut() {
            client.connection.flush();
        }
        let now = self.clock.now();
        let (due, later): (Vec<DuePart>, Vec<DuePart>) =
            self.due.drain(..).partition(|due| due.at <= now);
        self.due = later;
        for DuePart {
            connection,
            attempt,
            bytes,
            then,
            ..
        } in due
        {
            let Some(client) = self
                .connections
                .get_mut(&connection)
                .filter(|client| !client.is_former)
            else {
                continue;
            };
            client.connection.write(&bytes);
            let now = self.clock.now();
            self.attempts[attempt].response.begun.get_or_insert(now);
            if then == AfterPart::Continue {
                continue;
            }
            client.open.retain(|open| *open != attempt);
            client.last_answered = Some(attempt);
            self.attempts[attempt].finished = Some(now);
            match then {
                AfterPart::Reset => self.drop_connection(connection, Close::Reset),
                AfterPart::Close => self.drop_connection(connection, Close::Orderly),
                AfterPart::Continue | AfterPart::KeepOpen => {}
            }
        }
    }

    fn drop_connection(&mut self, number: u64, close: Close) {
        let Some(client) = self.connections.remove(&number) else {
            return;
        };
        if close == Close::Reset {
            client.connection.reset();
            // What the balancer has not read of the last answer is lost.
            if let Some(attempt) = client.last_answered {
                self.attempts[attempt].response.is_spoilt = true;
            }
        } else {
            client.connection.close();
        }
        let now = self.clock.now();
        for attempt in client.open {
            let record = &mut self.attempts[attempt];
            record.finished = Some(now);
            if close == Close::ByPeer {
                record.response.cut_off = record.response.begun.and(Some(now));
            } else {
                record.response.is_spoilt = true;
            }
        }
    }
}

/// How a connection ends.
#[derive(Clone, Copy, PartialEq)]
enum Close {
    /// The balancer has closed it.
    ByPeer,
    Orderly,
    Reset,
}
