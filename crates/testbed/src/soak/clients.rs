//! The simulated clients of a soak. One thread sends requests to all balancers in an open loop.
//! Some clients disconnect early, pipeline requests, write slowly, or send incomplete commands.

use super::balancers::{ClientAccess, StatusBoard};
use super::connections::{Clock, Connection, ConnectionState, readable};
use super::records::{MS, Nanos, RequestEnd, RequestKind, RequestRecord};
use super::responses::{STREAMED_LENGTH, is_value_of};
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
/// Length of the value of a large write.
const LARGE_VALUE_LENGTH: usize = 60_000;
/// Times after a disconnect at which the request is sent once more, in milliseconds.
const REPEAT_DELAYS_MS: [u64; 5] = [1, 10, 40, 200, 700];

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
    /// Ratio of writes with a large value.
    pub large_writes: f64,
    /// Ratio of disconnects after which the request is sent once more, with the same id.
    pub repeat: f64,
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
    /// Time at which it began to connect; `None` once a request was sent.
    connecting_since: Option<Nanos>,
    /// Whether a request was answered on the connection.
    answered: bool,
    /// Earliest possible time of the first byte of the answer that is being received.
    answer_since: Option<Nanos>,
    /// Requests without an answer, by their index in the records.
    open: VecDeque<usize>,
    /// Time at which the client disconnects without waiting for an answer.
    disconnect_at: Option<Nanos>,
    /// Second half of a command: the time to write it, its bytes, and its request.
    second_half: Option<(Nanos, Vec<u8>, usize)>,
    /// The last command.
    command: Vec<u8>,
}

/// A request that is sent once more, on a new connection.
struct Repeat {
    at: Nanos,
    /// Number of starts of the balancer at the first time. A new process has no record of the id.
    starts: usize,
    /// Index of the first record of the request.
    request: usize,
    command: Vec<u8>,
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
    repeats: Vec<Repeat>,
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
            repeats: Vec::new(),
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
            self.send_due_repeats();
        }
        Ok(())
    }

    fn read(&mut self, number: u64, before: Nanos) {
        let Some(client) = self.clients.get_mut(&number) else {
            return;
        };
        let state = client.connection.read();
        loop {
            if !client.connection.input.is_empty() {
                client.answer_since.get_or_insert(before);
            }
            if let Some(request) = client.open.front()
                && begins_streamed_value(&client.connection.input)
            {
                let record = &mut self.requests[*request];
                record.streamed_since = client.answer_since;
                record.header_since.get_or_insert(before);
            }
            let mut input = client.connection.input.as_slice();
            let length = input.len();
            let Ok(answer) = resp::read_reply(&mut input) else {
                break;
            };
            let used = length - input.len();
            client.connection.input.drain(..used);
            client.answered = true;
            let answer_since = client.answer_since.take();
            let Some(request) = client.open.pop_front() else {
                continue;
            };
            if answer == RespReply::Bulk(None) {
                // A streamed value broke off after its first byte.
                self.requests[request].streamed_since = answer_since;
            }
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
        let incomplete = client.second_half.map(|(_, _, request)| request);
        let mut is_behind_truncated = false;
        for request in client.open {
            let record = &mut self.requests[request];
            record.end = match state {
                _ if incomplete == Some(request) => RequestEnd::Incomplete,
                _ if is_behind_truncated => RequestEnd::BehindTruncated,
                _ if record.streamed_since.is_some() => RequestEnd::Truncated,
                ConnectionState::Ended => RequestEnd::Closed,
                _ => RequestEnd::Reset,
            };
            record.ended = before;
            is_behind_truncated |= record.end == RequestEnd::Truncated;
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
        let Some(mut client) = self.clients.remove(&number) else {
            return;
        };
        client.connection.close();
        let closed = self.clock.now();
        if let (true, [request]) = (disconnects, client.open.make_contiguous())
            && self.rng.random::<f64>() < self.behavior.repeat
        {
            let delay = REPEAT_DELAYS_MS[self.rng.random_range(0..REPEAT_DELAYS_MS.len())];
            self.repeats.push(Repeat {
                at: closed + delay * MS,
                starts: client.starts,
                request: *request,
                command: std::mem::take(&mut client.command),
            });
        }
        let mut is_behind_truncated = false;
        for request in client.open {
            let record = &mut self.requests[request];
            record.end = match disconnects {
                true => RequestEnd::Left,
                false if is_behind_truncated => RequestEnd::BehindTruncated,
                false => RequestEnd::Never,
            };
            record.ended = closed;
            is_behind_truncated |= record.streamed_since.is_some();
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
        let connecting_since = Some(self.clock.now());
        let stream =
            TcpStream::connect_timeout(&self.addresses[balancer], Duration::from_millis(20))
                .ok()?;
        let connection = Connection::new(stream).ok()?;
        let (answered, open) = (false, VecDeque::new());
        let client = Client {
            balancer,
            starts,
            connection,
            connecting_since,
            answered,
            answer_since: None,
            open,
            disconnect_at: None,
            second_half: None,
            command: Vec::new(),
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
            client.command = command;
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
        let connected = self
            .clients
            .get_mut(&number)
            .and_then(|client| client.connecting_since.take());
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
        let is_large = self.rng.random::<f64>() < self.behavior.large_writes;
        let value = vec![b'v'; if is_large { LARGE_VALUE_LENGTH } else { 5 }];
        let mut words: Vec<&[u8]> =
            vec![b"C.GET", text.as_bytes(), id.as_bytes(), fields.as_bytes()];
        if kind != RequestKind::Safe {
            words[0] = b"C.SET";
            words.push(&value);
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
            connected,
            timeout,
            closed: None,
            end: RequestEnd::Never,
            ended: 0,
            streamed_since: None,
            header_since: None,
        });
        self.keys.push(key);
        (bytes, request)
    }

    /// Sends requests once more whose clients have disconnected, if the process is still the same.
    fn send_due_repeats(&mut self) {
        let now = self.clock.now();
        let (due, later): (Vec<Repeat>, Vec<Repeat>) =
            self.repeats.drain(..).partition(|repeat| repeat.at <= now);
        self.repeats = later;
        for repeat in due {
            let balancer = self.requests[repeat.request].balancer;
            let is_same_process = {
                let statuses = self.status.lock();
                let status = &statuses[balancer];
                status.access == ClientAccess::Available && status.processes.len() == repeat.starts
            };
            if let (true, Some(number)) = (is_same_process, self.connect(balancer, repeat.starts)) {
                self.repeat_request(number, &repeat);
            }
        }
    }

    fn repeat_request(&mut self, number: u64, repeat: &Repeat) {
        let Some(client) = self.clients.get_mut(&number) else {
            return;
        };
        client.connection.write(&repeat.command);
        client.open.push_back(self.requests.len());
        let first = &self.requests[repeat.request];
        self.requests.push(RequestRecord {
            sent: self.clock.now(),
            previous_answered: 0,
            first_on_connection: true,
            connected: client.connecting_since.take(),
            closed: None,
            end: RequestEnd::Never,
            ended: 0,
            streamed_since: None,
            header_since: None,
            ..first.clone()
        });
        self.keys.push(self.keys[repeat.request]);
    }
}

/// Returns whether `input` begins with the header of a value that balancers stream.
fn begins_streamed_value(input: &[u8]) -> bool {
    let header = input.strip_prefix(b"$").unwrap_or_default();
    let digits = header.iter().take_while(|byte| byte.is_ascii_digit());
    let length = digits.fold(0_usize, |length, digit| {
        length
            .saturating_mul(10)
            .saturating_add(usize::from(digit - b'0'))
    });
    let digits = header.iter().take_while(|byte| byte.is_ascii_digit());
    header[digits.count()..].starts_with(b"\r\n") && length >= STREAMED_LENGTH
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
    if is_value_of(value, &expected) {
        RequestEnd::Served
    } else {
        RequestEnd::Wrong
    }
}
