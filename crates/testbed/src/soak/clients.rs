//! The clients of a soak: requests in an open loop to all balancers, by one thread; some leave,
//! some send many at once, some write slowly, some stop in the middle.

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

/// Keys that are requested.
const KEYS: u64 = 400;
/// How long beyond its time an answer is waited for.
const NEVER: Nanos = 4_000 * MS;
/// After a request to end new connections are made for so long.
const NEW_CONNECTIONS: Nanos = 300 * MS;
/// The second half of a command that is written slowly comes so much later.
const SLOW: Nanos = 60 * MS;

/// How clients behave; shares are of requests.
#[derive(Clone, Debug)]
pub struct ClientBehavior {
    /// Requests a second at each balancer.
    pub per_s: f64,
    /// How long clients wait, by [`RequestKind::CLASSES`].
    pub timeouts: [Nanos; 3],
    /// They close before their answer.
    pub leave: f64,
    /// Several are sent at once on a connection.
    pub pipeline: f64,
    /// The command comes in two parts.
    pub slow: f64,
    /// Half a command comes, and no more.
    pub half: f64,
}

/// All clients at work.
pub struct Clients {
    end: Arc<AtomicBool>,
    thread: JoinHandle<Vec<RequestRecord>>,
}

struct Client {
    balancer: usize,
    generation: usize,
    connection: Connection,
    /// Something was answered on it.
    answered: bool,
    /// Requests whose answers are to come, by their places.
    open: VecDeque<usize>,
    leaves: Option<Nanos>,
    /// What is left of a command, when it comes, and whose it is.
    rest: Option<(Nanos, Vec<u8>, usize)>,
}

struct Work {
    clock: Clock,
    board: StatusBoard,
    addresses: Vec<SocketAddr>,
    behavior: ClientBehavior,
    rng: Xoshiro256PlusPlus,
    clients: BTreeMap<u64, Client>,
    next_client: u64,
    next_at: Vec<Nanos>,
    requests: Vec<RequestRecord>,
    /// The key of each request.
    keys: Vec<u64>,
}

impl Clients {
    /// Starts them.
    #[must_use]
    pub fn start(
        addresses: Vec<SocketAddr>,
        behavior: ClientBehavior,
        board: StatusBoard,
        clock: Clock,
        seed: u64,
    ) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        let next_at = vec![0; addresses.len()];
        let mut work = Work {
            clock,
            board,
            addresses,
            behavior,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            clients: BTreeMap::new(),
            next_client: 0,
            next_at,
            requests: Vec::new(),
            keys: Vec::new(),
        };
        let ending = Arc::clone(&end);
        let thread = std::thread::spawn(move || {
            while !ending.load(Ordering::Relaxed) && work.turn(true).is_ok() {}
            // Waits for the answers to open requests.
            while work.clients.values().any(|client| !client.open.is_empty())
                && work.turn(false).is_ok()
            {}
            work.requests
        });
        Clients { end, thread }
    }

    /// Sends no more requests, waits for the open ones and returns all.
    #[must_use]
    pub fn stop(self) -> Vec<RequestRecord> {
        self.end.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

impl Work {
    fn turn(&mut self, ask: bool) -> io::Result<()> {
        let before = self.clock.now();
        let ready = readable(self.clients.values().map(|client| client.connection.fd()))?;
        let numbers: Vec<u64> = self.clients.keys().copied().collect();
        for (number, _) in numbers.iter().zip(ready).filter(|(_, ready)| *ready) {
            self.read(*number, before);
        }
        for number in numbers {
            self.go_on(number);
        }
        if ask {
            (0..self.addresses.len()).for_each(|balancer| self.ask_when_due(balancer));
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
            let held = input.len();
            let Ok(answer) = resp::read_reply(&mut input) else {
                break;
            };
            let used = held - input.len();
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

    /// What a client does by time: writes the rest, leaves, gives up.
    fn go_on(&mut self, number: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get_mut(&number) else {
            return;
        };
        client.connection.flush();
        if let Some((at, bytes, request)) = client.rest.take() {
            if now < at {
                client.rest = Some((at, bytes, request));
            } else {
                client.connection.write(&bytes);
                self.requests[request].sent = self.clock.now();
            }
        }
        let last = client.open.back().map(|request| &self.requests[*request]);
        let never = last.is_some_and(|asked| now > asked.deadline() + NEVER);
        let leaves = client.leaves.is_some_and(|at| now >= at);
        if !never && !leaves {
            return;
        }
        let Some(client) = self.clients.remove(&number) else {
            return;
        };
        client.connection.close();
        let closed = self.clock.now();
        for request in client.open {
            let asked = &mut self.requests[request];
            (asked.end, asked.ended) = (
                if leaves {
                    RequestEnd::Left
                } else {
                    RequestEnd::Never
                },
                closed,
            );
            asked.closed = Some(closed);
        }
    }

    fn ask_when_due(&mut self, balancer: usize) {
        let now = self.clock.now();
        let due = self.next_at[balancer];
        if now < due {
            return;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.behavior.per_s;
        self.next_at[balancer] = now.min(due + 50 * MS).max(due) + (gap * 1e9) as Nanos;
        let (addresses, life, asked_to_end) = {
            let board = self.board.lock();
            let me = &board[balancer];
            let asked_to_end = me.processes.last().and_then(|life| life.asked_to_end);
            (me.access, me.processes.len(), asked_to_end)
        };
        let may_connect = match addresses {
            ClientAccess::Shut => return,
            ClientAccess::Open => true,
            ClientAccess::Ending => asked_to_end.is_some_and(|at| now < at + NEW_CONNECTIONS),
        };
        let idle = |c: &Client| {
            c.balancer == balancer && c.open.is_empty() && c.rest.is_none() && c.leaves.is_none()
        };
        let found = self
            .clients
            .iter()
            .find(|(_, client)| idle(client))
            .map(|(number, _)| *number);
        let number = match found {
            Some(number) => number,
            None if may_connect => match self.connect(balancer, life) {
                Some(number) => number,
                None => return,
            },
            None => return,
        };
        self.ask(number);
    }

    fn connect(&mut self, balancer: usize, life: usize) -> Option<u64> {
        let stream =
            TcpStream::connect_timeout(&self.addresses[balancer], Duration::from_millis(20))
                .ok()?;
        let connection = Connection::new(stream).ok()?;
        let (answered, open) = (false, VecDeque::new());
        let client = Client {
            balancer,
            generation: life,
            connection,
            answered,
            open,
            leaves: None,
            rest: None,
        };
        self.clients.insert(self.next_client, client);
        self.next_client += 1;
        Some(self.next_client - 1)
    }

    fn ask(&mut self, number: u64) {
        let draw = self.rng.random::<f64>();
        let ClientBehavior {
            leave,
            pipeline,
            slow,
            half,
            ..
        } = self.behavior;
        let commands = if draw < pipeline {
            self.rng.random_range(2..12)
        } else {
            1
        };
        let draw = if draw < pipeline {
            1.0
        } else {
            draw - pipeline
        };
        for _ in 0..commands {
            let (command, request) = self.command(number);
            let Some(client) = self.clients.get_mut(&number) else {
                return;
            };
            if draw < half {
                // It never asks: what becomes of its connection is no request's end.
                client.connection.write(&command[..command.len() / 2]);
                client.leaves = Some(self.clock.now() + 6_000 * MS);
                self.requests.pop();
                self.keys.pop();
                return;
            }
            client.open.push_back(request);
            if draw < half + slow {
                let at = command.len() / 2;
                client.connection.write(&command[..at]);
                client.rest = Some((self.clock.now() + SLOW, command[at..].to_vec(), request));
                return;
            }
            client.connection.write(&command);
            self.requests[request].sent = self.clock.now();
        }
        if commands == 1 && draw < half + slow + leave {
            let timeout = self.requests.last().map_or(0, |asked| asked.timeout);
            let after = self.rng.random_range(0..timeout.clamp(2, 400 * MS));
            if let Some(client) = self.clients.get_mut(&number) {
                client.leaves = Some(self.clock.now() + after);
            }
        }
    }

    fn command(&mut self, number: u64) -> (Vec<u8>, usize) {
        let client = &self.clients[&number];
        let effect = match self.rng.random_range(0..20) {
            0..14 => RequestKind::Safe,
            14..17 => RequestKind::Keyed,
            _ => RequestKind::Unsafe,
        };
        let request = self.requests.len();
        let id = format!("b{}r{request:x}", client.balancer);
        let key = self.rng.random_range(0..KEYS);
        let timeout = self.behavior.timeouts[effect as usize];
        let mut fields = format!("c={},d={}", effect.class(), timeout / MS);
        if effect == RequestKind::Keyed {
            fields.push_str(&format!(",k={request:x}"));
        }
        let text = format!("{key:016x}");
        let mut words: Vec<&[u8]> =
            vec![b"C.GET", text.as_bytes(), id.as_bytes(), fields.as_bytes()];
        if effect != RequestKind::Safe {
            words[0] = b"C.SET";
            words.push(b"value");
        }
        let bytes = encode_command(&words);
        let (balancer, life) = (client.balancer, client.generation - 1);
        let sent = self.clock.now();
        self.requests.push(RequestRecord {
            id,
            balancer,
            generation: life,
            kind: effect,
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

fn classify_answer(answer: &RespReply, key: u64, asked: &RequestRecord) -> RequestEnd {
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
    let made = if asked.kind == RequestKind::Safe {
        format!("value {key:016x}")
    } else {
        format!("receipt {}", asked.id)
    };
    if *value == made.into_bytes() {
        RequestEnd::Served
    } else {
        RequestEnd::Wrong
    }
}
