//! The simulated caches of a soak, served by one thread. Some caches have a listener of their own;
//! the others share listeners.

use super::connections::{Clock, Connection, ConnectionState, readable};
use super::records::{AttemptEnd, AttemptRecord, MS, Nanos};
use crate::simulated_services::resp;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
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
    /// Listeners whose connections are reset, new ones included.
    pub down: HashSet<usize>,
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

/// An answer that is scheduled to be written, and the action after it.
struct DueAnswer {
    at: Nanos,
    connection: u64,
    attempt: usize,
    bytes: Vec<u8>,
    then: AfterAnswer,
}

/// Action on a connection after an answer was written.
#[derive(Clone, Copy, PartialEq)]
enum AfterAnswer {
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
}

struct CacheServer {
    clock: Clock,
    listeners: Vec<TcpListener>,
    faults: SharedFaults,
    rng: Xoshiro256PlusPlus,
    connections: BTreeMap<u64, ClientConnection>,
    /// Number of the next connection.
    next_connection: u64,
    due: Vec<DueAnswer>,
    attempts: Vec<AttemptRecord>,
}

impl Caches {
    /// Starts caches with `count` listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be created.
    pub fn start(count: usize, clock: Clock, seed: u64) -> io::Result<Self> {
        let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0"));
        let listeners: Vec<TcpListener> = listeners.collect::<io::Result<_>>()?;
        listeners.iter().try_for_each(|l| l.set_nonblocking(true))?;
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
    /// Waits for ready sockets, reads them and writes the answers that are due.
    fn poll_once(&mut self) -> io::Result<()> {
        // Data found by this poll arrived after the previous poll, that is, not before `before`.
        let before = self.clock.now();
        let listeners = self.listeners.iter().map(AsFd::as_fd);
        let connections = self
            .connections
            .values()
            .map(|client| client.connection.fd());
        let ready = readable(listeners.chain(connections))?;
        let (ready_listeners, ready_connections) = ready.split_at(self.listeners.len());
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        let down = self.faults.lock().down.clone();
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
            .for_each(|number| self.drop_connection(number, true));
        self.write_due_answers();
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
                },
            );
            self.next_connection += 1;
            self.read(self.next_connection - 1, before);
        }
    }

    fn read(&mut self, number: u64, before: Nanos) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        if client.connection.input.is_empty() {
            client.began = before;
        }
        let state = client.connection.read();
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
            self.drop_connection(number, false);
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
        let listener = client.listener;
        let id = String::from_utf8_lossy(id).into_owned();
        client.open.push(attempt);
        let value = if name == b"C.SET" {
            format!("receipt {id}")
        } else {
            format!("value {}", String::from_utf8_lossy(key))
        };
        self.attempts.push(AttemptRecord {
            id,
            listener,
            began,
            received: now,
            deadline_ms,
            end: AttemptEnd::Open,
            finished: None,
        });
        let faults = self.faults.lock().clone();
        if faults.hanging.contains(&listener) {
            return;
        }
        let answer =
            format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes();
        self.schedule_answer(number, attempt, &faults, now, answer);
    }

    /// Randomly selects, according to the active faults, the answer to an attempt and its time.
    fn schedule_answer(
        &mut self,
        connection: u64,
        attempt: usize,
        faults: &CacheFaults,
        now: Nanos,
        answer: Vec<u8>,
    ) {
        let at = now + self.rng.random_range(SERVICE_TIME_MS.0..SERVICE_TIME_MS.1) * MS;
        let mut due = |at, bytes, then| {
            self.due.push(DueAnswer {
                at,
                connection,
                attempt,
                bytes,
                then,
            });
        };
        let mut remaining = self.rng.random::<f64>();
        let mut selects = |ratio: f64| {
            remaining -= ratio;
            remaining < 0.0
        };
        if selects(faults.busy) {
            self.attempts[attempt].end = AttemptEnd::TurnedAway;
            due(now, b"-BUSY\r\n".to_vec(), AfterAnswer::KeepOpen);
            return;
        }
        self.attempts[attempt].end = AttemptEnd::Ran;
        if selects(faults.error) {
            due(at, b"-ERR failed\r\n".to_vec(), AfterAnswer::KeepOpen);
        } else if selects(faults.reset) {
            due(at, Vec::new(), AfterAnswer::Reset);
        } else if selects(faults.truncated) {
            due(
                at,
                answer[..answer.len() / 2].to_vec(),
                AfterAnswer::KeepOpen,
            );
        } else if selects(faults.answered_twice) {
            due(at, answer.clone(), AfterAnswer::KeepOpen);
            due(at + 3 * MS, answer, AfterAnswer::KeepOpen);
        } else if selects(faults.close) {
            due(at, answer, AfterAnswer::Close);
        } else {
            due(at, answer, AfterAnswer::KeepOpen);
        }
    }

    fn write_due_answers(&mut self) {
        let now = self.clock.now();
        let (due, later): (Vec<DueAnswer>, Vec<DueAnswer>) =
            self.due.drain(..).partition(|due| due.at <= now);
        self.due = later;
        for DueAnswer {
            connection,
            attempt,
            bytes,
            then,
            ..
        } in due
        {
            let Some(client) = self.connections.get_mut(&connection) else {
                continue;
            };
            client.connection.write(&bytes);
            client.open.retain(|open| *open != attempt);
            self.attempts[attempt].finished = Some(self.clock.now());
            if then != AfterAnswer::KeepOpen {
                self.drop_connection(connection, then == AfterAnswer::Reset);
            }
        }
    }

    fn drop_connection(&mut self, number: u64, reset: bool) {
        let Some(client) = self.connections.remove(&number) else {
            return;
        };
        if reset {
            client.connection.reset();
        } else {
            client.connection.close();
        }
        let now = self.clock.now();
        client
            .open
            .into_iter()
            .for_each(|attempt| self.attempts[attempt].finished = Some(now));
    }
}
