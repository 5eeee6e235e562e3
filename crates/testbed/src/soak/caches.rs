//! The caches of a soak: listeners that many cache identities share, or that one has to itself,
//! served by one thread.

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

/// How caches behave now; shares are of requests.
#[derive(Clone, Debug, Default)]
pub struct CacheFaults {
    /// Listeners that take requests and answer none.
    pub hanging: HashSet<usize>,
    /// Listeners whose connections are reset, and at which none comes up.
    pub down: HashSet<usize>,
    /// Turned away.
    pub busy: f64,
    /// Answered with an error after the work.
    pub error: f64,
    /// The connection is reset after the request has come.
    pub reset: f64,
    /// Half an answer comes, and no more.
    pub cut: f64,
    /// A second answer comes some milliseconds behind the first.
    pub second: f64,
    /// The idle connection is closed right behind the answer.
    pub close: f64,
}

/// How long a request takes, in milliseconds: at least, and less than.
const SERVICE_MS: (u64, u64) = (2, 12);

/// The faults, shared with who sets them.
#[derive(Clone, Default)]
pub struct SharedFaults(Arc<Mutex<CacheFaults>>);

impl SharedFaults {
    /// To look or change.
    pub fn lock(&self) -> MutexGuard<'_, CacheFaults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All listeners at work.
pub struct Caches {
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
    /// How they behave.
    pub faults: SharedFaults,
    end: Arc<AtomicBool>,
    thread: JoinHandle<Vec<AttemptRecord>>,
}

/// What a connection still has to write, and what becomes of it then.
struct DueAnswer {
    at: Nanos,
    connection: u64,
    attempt: usize,
    bytes: Vec<u8>,
    then: AfterAnswer,
}

#[derive(Clone, Copy, PartialEq)]
enum AfterAnswer {
    KeepOpen,
    Reset,
    Close,
}

struct ClientConnection {
    connection: Connection,
    listener: usize,
    /// The earliest time at which what is in its input can have begun.
    began: Nanos,
    open: Vec<usize>,
}

struct CacheServer {
    clock: Clock,
    listeners: Vec<TcpListener>,
    faults: SharedFaults,
    rng: Xoshiro256PlusPlus,
    connections: BTreeMap<u64, ClientConnection>,
    next: u64,
    due: Vec<DueAnswer>,
    attempts: Vec<AttemptRecord>,
}

impl Caches {
    /// Starts so many listeners.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn start(count: usize, clock: Clock, seed: u64) -> io::Result<Self> {
        let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0"));
        let listeners: Vec<TcpListener> = listeners.collect::<io::Result<_>>()?;
        listeners.iter().try_for_each(|l| l.set_nonblocking(true))?;
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<_>>()?;
        let (faults, end) = (SharedFaults::default(), Arc::new(AtomicBool::new(false)));
        let mut work = CacheServer {
            clock,
            listeners,
            faults: faults.clone(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            connections: BTreeMap::new(),
            next: 0,
            due: Vec::new(),
            attempts: Vec::new(),
        };
        let ending = Arc::clone(&end);
        let thread = std::thread::spawn(move || {
            while !ending.load(Ordering::Relaxed) && work.turn().is_ok() {}
            work.attempts
        });
        Ok(Caches {
            addresses,
            faults,
            end,
            thread,
        })
    }

    /// Ends them; all attempts that came.
    #[must_use]
    pub fn stop(self) -> Vec<AttemptRecord> {
        self.end.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

impl CacheServer {
    fn turn(&mut self) -> io::Result<()> {
        // Whatever this look finds came after the one before, which ended no sooner than this.
        let before = self.clock.now();
        let listeners = self.listeners.iter().map(AsFd::as_fd);
        let connections = self
            .connections
            .values()
            .map(|served| served.connection.fd());
        let ready = readable(listeners.chain(connections))?;
        let (at_door, at_work) = ready.split_at(self.listeners.len());
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        let down = self.faults.lock().down.clone();
        for (number, _) in numbers.iter().zip(at_work).filter(|(_, ready)| **ready) {
            self.read(*number, before);
        }
        for (listener, _) in at_door.iter().enumerate().filter(|(_, ready)| **ready) {
            self.accept(listener, before, &down);
        }
        let cut_off = |served: &ClientConnection| down.contains(&served.listener);
        let lost: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| cut_off(c))
            .map(|(n, _)| *n)
            .collect();
        lost.into_iter()
            .for_each(|number| self.drop_connection(number, true));
        self.answer();
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
                self.next,
                ClientConnection {
                    connection,
                    listener,
                    began: before,
                    open: Vec::new(),
                },
            );
            self.next += 1;
            self.read(self.next - 1, before);
        }
    }

    fn read(&mut self, number: u64, before: Nanos) {
        let Some(served) = self.connections.get_mut(&number) else {
            return;
        };
        if served.connection.input.is_empty() {
            served.began = before;
        }
        let state = served.connection.read();
        while let Some(served) = self.connections.get_mut(&number) {
            let mut input = served.connection.input.as_slice();
            let held = input.len();
            let Ok(words) = resp::read_command(&mut input) else {
                break;
            };
            let (used, began) = (held - input.len(), served.began);
            served.connection.input.drain(..used);
            served.began = before;
            self.take(number, &words, began);
        }
        if state != ConnectionState::Open {
            self.drop_connection(number, false);
        }
    }

    fn take(&mut self, number: u64, words: &[Vec<u8>], began: Nanos) {
        let Some(served) = self.connections.get_mut(&number) else {
            return;
        };
        let [name, key, id, fields, ..] = words else {
            served
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
        let listener = served.listener;
        let id = String::from_utf8_lossy(id).into_owned();
        served.open.push(attempt);
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
            over: None,
        });
        let faults = self.faults.lock().clone();
        if faults.hanging.contains(&listener) {
            return;
        }
        let whole =
            format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes();
        self.schedule_answer(number, attempt, &faults, now, whole);
    }

    /// Decides by chance, and by the faults that are on, what comes back for an attempt and when.
    fn schedule_answer(
        &mut self,
        connection: u64,
        attempt: usize,
        faults: &CacheFaults,
        now: Nanos,
        whole: Vec<u8>,
    ) {
        let at = now + self.rng.random_range(SERVICE_MS.0..SERVICE_MS.1) * MS;
        let mut due = |at, bytes, then| {
            self.due.push(DueAnswer {
                at,
                connection,
                attempt,
                bytes,
                then,
            });
        };
        let mut left = self.rng.random::<f64>();
        let mut falls = |share: f64| {
            left -= share;
            left < 0.0
        };
        if falls(faults.busy) {
            self.attempts[attempt].end = AttemptEnd::TurnedAway;
            due(now, b"-BUSY\r\n".to_vec(), AfterAnswer::KeepOpen);
            return;
        }
        self.attempts[attempt].end = AttemptEnd::Ran;
        if falls(faults.error) {
            due(at, b"-ERR failed\r\n".to_vec(), AfterAnswer::KeepOpen);
        } else if falls(faults.reset) {
            due(at, Vec::new(), AfterAnswer::Reset);
        } else if falls(faults.cut) {
            due(at, whole[..whole.len() / 2].to_vec(), AfterAnswer::KeepOpen);
        } else if falls(faults.second) {
            due(at, whole.clone(), AfterAnswer::KeepOpen);
            due(at + 3 * MS, whole, AfterAnswer::KeepOpen);
        } else if falls(faults.close) {
            due(at, whole, AfterAnswer::Close);
        } else {
            due(at, whole, AfterAnswer::KeepOpen);
        }
    }

    fn answer(&mut self) {
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
            let Some(served) = self.connections.get_mut(&connection) else {
                continue;
            };
            served.connection.write(&bytes);
            served.open.retain(|open| *open != attempt);
            self.attempts[attempt].over = Some(self.clock.now());
            if then != AfterAnswer::KeepOpen {
                self.drop_connection(connection, then == AfterAnswer::Reset);
            }
        }
    }

    fn drop_connection(&mut self, number: u64, reset: bool) {
        let Some(served) = self.connections.remove(&number) else {
            return;
        };
        if reset {
            served.connection.reset();
        } else {
            served.connection.close();
        }
        let now = self.clock.now();
        served
            .open
            .into_iter()
            .for_each(|attempt| self.attempts[attempt].over = Some(now));
    }
}
