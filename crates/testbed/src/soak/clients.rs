//! The simulated clients of a soak. One thread sends requests to all balancers in an open loop.
//! Some clients disconnect early, pipeline requests, write slowly, or send incomplete commands.

use super::balancers::{ClientAccess, StatusBoard};
use super::connections::{Clock, Connection, ConnectionState, readable};
use super::records::{MS, Nanos, RequestEnd, RequestKind, RequestRecord};
use crate::simulated_services::resp::{self, RespReply, encode_command};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of different keys that are requested.
const KEY_COUNT: u64 = 400;
/// Time after its deadline for which a client still waits for an answer.
const ANSWER_TIMEOUT: Nanos = 4_000 * MS;
/// Time after a shutdown request during which clients still open new connections.
const CONNECT_AFTER_SHUTDOWN: Nanos = 300 * MS;
/// Delay of the second half of a command that is written slowly.
const SLOW_WRITE_DELAY: Nanos = 60 * MS;

/// Behavior of clients.
#[derive(Clone, Debug)]
pub struct ClientBehavior {
    /// Requests per second at each balancer.
    pub requests_per_s: f64,
    /// Time that clients wait for an answer, in the order of [`RequestKind::CLASSES`].
    pub timeouts: [Nanos; 3],
    /// Ratio of requests whose client disconnects at a random time before the deadline.
    pub disconnect: f64,
    /// Ratio of requests that are sent as a pipeline of 2 to 11 requests on one connection.
    pub pipeline: f64,
    /// Ratio of requests whose command is written in two parts.
    pub slow: f64,
    /// Ratio of requests of which only the first half of the command is written.
    pub incomplete: f64,
}

/// Running clients.
pub struct Clients {
    end: Arc<AtomicBool>,
    thread: JoinHandle<Vec<RequestRecord>>,
}

struct Client {
    balancer: usize,
    /// Number of starts of the balancer, the current process included.
    starts: usize,
    connection: Connection,
    /// Whether a request was answered on the connection.
    answered: bool,
    /// Requests without an answer, by their index in the records.
    open: VecDeque<usize>,
    /// Time at which the client disconnects without waiting for an answer.
    disconnect_at: Option<Nanos>,
    /// Second half of a command: the time to write it, its bytes, and its request.
    second_half: Option<(Nanos, Vec<u8>, usize)>,
}

struct ClientDriver {
    clock: Clock,
    status: StatusBoard,
    addresses: Vec<SocketAddr>,
    behavior: ClientBehavior,
    rng: Xoshiro256PlusPlus,
    clients: BTreeMap<u64, Client>,
    next_client: u64,
    /// Time of the next request, by balancer.
    next_request_at: Vec<Nanos>,
    requests: Vec<RequestRecord>,
    /// Key of each request, by its index in the records.
    keys: Vec<u64>,
}

impl Clients {
    /// Starts the thread that runs all clients.
    #[must_use]
    pub fn start(
        addresses: Vec<SocketAddr>,
        behavior: ClientBehavior,
        status: StatusBoard,
        clock: Clock,
        seed: u64,
    ) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        let next_request_at = vec![0; addresses.len()];
        let mut driver = ClientDriver {
            clock,
            status,
            addresses,
            behavior,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            clients: BTreeMap::new(),
            next_client: 0,
            next_request_at,
            requests: Vec::new(),
            keys: Vec::new(),
        };
        let thread_end = Arc::clone(&end);
        let thread = std::thread::spawn(move || {
            while !thread_end.load(Ordering::Relaxed) && driver.poll_once(true).is_ok() {}
            // Waits for the answers to open requests.
            while driver
                .clients
                .values()
                .any(|client| !client.open.is_empty())
                && driver.poll_once(false).is_ok()
            {}
            driver.requests
        });
        Clients { end, thread }
    }

    /// Stops sending requests, waits for the open ones and returns the records of all requests.
    #[must_use]
    pub fn stop(self) -> Vec<RequestRecord> {
        self.end.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

impl ClientDriver {
    /// Reads answers, runs timed actions and, with `send`, sends the requests that are due.
    fn poll_once(&mut self, send: bool) -> io::Result<()> {
        let before = self.clock.now();
        let ready = readable(self.clients.values().map(|client| client.connection.fd()))?;
        let numbers: Vec<u64> = self.clients.keys().copied().collect();
        for (number, _) in numbers.iter().zip(ready).filter(|(_, ready)| *ready) {
            self.read(*number, before);
        }
        for number in numbers {
            self.run_timed_actions(number);
        }
        if send {
            (0..self.addresses.len()).for_each(|balancer| self.send_if_due(balancer));
        }
        Ok(())
    }

    fn read(&mut self, number: u64, before: Nanos) {
        let Some(client) = self.clients.get_mut(&number) else {
            return;
        };
        let state = client.connection.read();
        loop {
            let mut input = client.connection.input.as_slice();
            let length = input.len();
            let Ok(answer) = resp::read_reply(&mut input) else {
                break;
            };
            let used = length - input.len();
            client.connection.input.drain(..used);
            client.answered = true;
            let Some(request) = client.open.pop_front() else {
                continue;
            };
            let end = classify_answer(&answer, self.keys[request], &self.requests[request]);
            (self.requests[request].end, self.requests[request].ended) = (end, before);
            if let Some(next) = client.open.front() {
                self.requests[*next].previous_answered = self.clock.now();
            }
        }
        if state == ConnectionState::Open {
            return;
        }
        let Some(client) = self.clients.remove(&number) else {
            return;
        };
        for request in client.open {
            let end = if state == ConnectionState::Ended {
                RequestEnd::Closed
            } else {
                RequestEnd::Reset
            };
            (self.requests[request].end, self.requests[request].ended) = (end, before);
        }
        client.connection.close();
    }

    /// Writes the second half of a command, disconnects, or stops waiting for an answer, if due.
    fn run_timed_actions(&mut self, number: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&number) else {
            return;
        };
        client.connection.flush();
        if let Some((at, bytes, request)) = client.second_half.take() {
            if now < at {
                client.second_half = Some((at, bytes, request));
            } else {
                client.connection.write(&bytes);
                self.requests[request].sent = self.clock.now();
            }
        }
        let last_open = client.open.back().map(|request| &self.requests[*request]);
        let timed_out = last_open.is_some_and(|request| now > request.deadline() + ANSWER_TIMEOUT);
        let disconnects = client.disconnect_at.is_some_and(|at| now >= at);
        if !timed_out && !disconnects {
            return;
        }
        let Some(client) = self.clients.remove(&number) else {
            return;
        };
        client.connection.close();
        let closed = self.clock.now();
        for request in client.open {
            let record = &mut self.requests[request];
            (record.end, record.ended) = (
                if disconnects {
                    RequestEnd::Left
                } else {
                    RequestEnd::Never
                },
                closed,
            );
            record.closed = Some(closed);
        }
    }

    /// Sends a request to a balancer if one is due and the balancer may be used.
    fn send_if_due(&mut self, balancer: usize) {
        let now = self.clock.now();
        let due = self.next_request_at[balancer];
        if now < due {
            return;
        }
        let interval = -(1.0 - self.rng.random::<f64>()).ln() / self.behavior.requests_per_s;
        self.next_request_at[balancer] =
            now.min(due + 50 * MS).max(due) + (interval * 1e9) as Nanos;
        let (access, starts, shutdown_requested) = {
            let statuses = self.status.lock();
            let status = &statuses[balancer];
            let process = status.processes.last();
            let shutdown_requested = process.and_then(|process| process.shutdown_requested);
            (status.access, status.processes.len(), shutdown_requested)
        };
        let may_connect = match access {
            ClientAccess::Unavailable => return,
            ClientAccess::Available => true,
            ClientAccess::ShuttingDown => {
                shutdown_requested.is_some_and(|at| now < at + CONNECT_AFTER_SHUTDOWN)
            }
        };
        let is_idle = |client: &Client| {
            client.balancer == balancer
                && client.open.is_empty()
                && client.second_half.is_none()
                && client.disconnect_at.is_none()
        };
        let idle_client = self
            .clients
            .iter()
            .find(|(_, client)| is_idle(client))
            .map(|(number, _)| *number);
        let number = match idle_client {
            Some(number) => number,
            None if may_connect => match self.connect(balancer, starts) {
                Some(number) => number,
                None => return,
            },
            None => return,
        };
        self.send_requests(number);
    }

    fn connect(&mut self, balancer: usize, starts: usize) -> Option<u64> {
        let stream =
            TcpStream::connect_timeout(&self.addresses[balancer], Duration::from_millis(20))
                .ok()?;
        let connection = Connection::new(stream).ok()?;
        let (answered, open) = (false, VecDeque::new());
        let client = Client {
            balancer,
            starts,
            connection,
            answered,
            open,
            disconnect_at: None,
            second_half: None,
        };
        self.clients.insert(self.next_client, client);
        self.next_client += 1;
        Some(self.next_client - 1)
    }

    /// Sends a request, or a pipeline of requests, on the connection of a client. The behavior is
    /// selected by one random value.
    fn send_requests(&mut self, number: u64) {
        let random = self.rng.random::<f64>();
        let ClientBehavior {
            disconnect,
            pipeline,
            slow,
            incomplete,
            ..
        } = self.behavior;
        let commands = if random < pipeline {
            self.rng.random_range(2..12)
        } else {
            1
        };
        let random = if random < pipeline {
            1.0
        } else {
            random - pipeline
        };
        for _ in 0..commands {
            let (command, request) = self.command(number);
            let Some(client) = self.clients.get_mut(&number) else {
                return;
            };
            if random < incomplete {
                // An incomplete command is not a request, so it is not recorded.
                client.connection.write(&command[..command.len() / 2]);
                client.disconnect_at = Some(self.clock.now() + 6_000 * MS);
                self.requests.pop();
                self.keys.pop();
                return;
            }
            client.open.push_back(request);
            if random < incomplete + slow {
                let at = command.len() / 2;
                client.connection.write(&command[..at]);
                client.second_half = Some((
                    self.clock.now() + SLOW_WRITE_DELAY,
                    command[at..].to_vec(),
                    request,
                ));
                return;
            }
            client.connection.write(&command);
            self.requests[request].sent = self.clock.now();
        }
        if commands == 1 && random < incomplete + slow + disconnect {
            let timeout = self.requests.last().map_or(0, |request| request.timeout);
            let after = self.rng.random_range(0..timeout.clamp(2, 400 * MS));
            if let Some(client) = self.clients.get_mut(&number) {
                client.disconnect_at = Some(self.clock.now() + after);
            }
        }
    }

    /// Records a request of a random kind and key; returns its encoded command and its index.
    fn command(&mut self, number: u64) -> (Vec<u8>, usize) {
        let client = &self.clients[&number];
        let kind = match self.rng.random_range(0..20) {
            0..14 => RequestKind::Safe,
            14..17 => RequestKind::Keyed,
            _ => RequestKind::Unsafe,
        };
        let request = self.requests.len();
        let id = format!("b{}r{request:x}", client.balancer);
        let key = self.rng.random_range(0..KEY_COUNT);
        let timeout = self.behavior.timeouts[kind as usize];
        let mut fields = format!("c={},d={}", kind.class(), timeout / MS);
        if kind == RequestKind::Keyed {
            fields.push_str(&format!(",k={request:x}"));
        }
        let text = format!("{key:016x}");
        let mut words: Vec<&[u8]> =
            vec![b"C.GET", text.as_bytes(), id.as_bytes(), fields.as_bytes()];
        if kind != RequestKind::Safe {
            words[0] = b"C.SET";
            words.push(b"value");
        }
        let bytes = encode_command(&words);
        let (balancer, generation) = (client.balancer, client.starts - 1);
        let sent = self.clock.now();
        self.requests.push(RequestRecord {
            id,
            balancer,
            generation,
            kind,
            sent,
            previous_answered: 0,
            first_on_connection: !client.answered,
            timeout,
            closed: None,
            end: RequestEnd::Never,
            ended: 0,
        });
        self.keys.push(key);
        (bytes, request)
    }
}

/// Returns the outcome of a request that was answered, given its key.
fn classify_answer(answer: &RespReply, key: u64, request: &RequestRecord) -> RequestEnd {
    let value = match answer {
        RespReply::Bulk(Some(value)) => value,
        RespReply::Array(parts) => match parts.first() {
            Some(RespReply::Bulk(Some(value))) => value,
            _ => return RequestEnd::Failed,
        },
        RespReply::Error(text) if text == "BUSY" || text.starts_with("BUSY ") => {
            return RequestEnd::Refused;
        }
        _ => return RequestEnd::Failed,
    };
    let expected = if request.kind == RequestKind::Safe {
        format!("value {key:016x}")
    } else {
        format!("receipt {}", request.id)
    };
    if *value == expected.into_bytes() {
        RequestEnd::Served
    } else {
        RequestEnd::Wrong
    }
}
