//! Clients: requests in an open loop, each with a deadline. Who finds its connection broken goes to
//! another balancer; a request is said again only where that is harmless.

use super::resp::{self, RespReply};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long after its deadline an answer is still waited for, to tell late from never on any
/// machine.
const GRACE: Duration = Duration::from_secs(20);
/// Keys that are requested.
const KEYS: u64 = 400;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A value or receipt.
    Served,
    /// `-BUSY`.
    Refused,
    /// Any other answer.
    Failed,
    /// A value that no cache makes for this key.
    Wrong,
    /// The connection broke before the answer.
    Broken,
    /// No balancer took the connection.
    #[serde(rename = "no_door")]
    NoConnection,
    /// No answer until long after the deadline.
    Never,
}

impl RequestOutcome {
    /// The key under which reports count it.
    #[must_use]
    pub fn report_key(self) -> &'static str {
        match self {
            RequestOutcome::Served => "served",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Wrong => "wrong",
            RequestOutcome::Broken => "broken",
            RequestOutcome::NoConnection => "nodoor",
            RequestOutcome::Never => "never",
        }
    }
}

/// One request as its client saw it.
#[derive(Clone, Debug, Serialize)]
pub struct ClientRequest {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: &'static str,
    /// Which balancer.
    pub balancer: usize,
    /// When it was sent, and how long its answer took, in seconds.
    pub at: f64,
    /// See `at`.
    pub latency_s: f64,
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: RequestOutcome,
    /// More came on the connection than the answer.
    #[serde(rename = "extra")]
    pub extra_data: bool,
    /// It was said again for one that was refused or failed.
    pub is_retry: bool,
    /// The retry-after time of a rejection, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub retry_after_ms: Option<u64>,
}

/// A class of requests: its name, its share, its deadline, and whether it is a write and carries a
/// key.
const CLASSES: [(&str, f64, u64, bool, bool); 3] = [
    ("tile-read", 0.90, 600, false, false),
    ("status-set", 0.05, 1_000, true, true),
    ("map-publish", 0.05, 2_500, true, false),
];

/// How long a client of this class waits, in seconds; 0 of an unknown class.
#[must_use]
pub fn class_deadline_s(class: &str) -> f64 {
    let found = CLASSES.iter().find(|(name, ..)| *name == class);
    found.map_or(0.0, |(_, _, ms, ..)| *ms as f64 / 1e3)
}

/// How clients behave.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientOptions {
    /// How often a request that was refused or failed is said again, where that is harmless.
    #[serde(rename = "returns")]
    pub retries: u32,
    /// Whether a return waits as long as the refusal says; else it comes at once, at another
    /// balancer.
    #[serde(rename = "obey")]
    pub honors_retry_after: bool,
    /// The first balancer gets so many times the mean of the others' traffic.
    #[serde(rename = "first")]
    pub first_balancer_share: f64,
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions {
            retries: 0,
            honors_retry_after: true,
            first_balancer_share: 1.0,
        }
    }
}

/// The longest wait that a client obeys, and what it waits where none is named.
const OBEYED_MOST: u64 = 1_200;
const WAIT_USUAL: Duration = Duration::from_millis(100);

/// Requests a second over all clients, changed while they work.
#[derive(Clone, Debug, Default)]
pub struct RequestRate(Arc<AtomicU64>);

impl RequestRate {
    /// So many from now on.
    pub fn set(&self, per_s: f64) {
        self.0.store(per_s.max(0.0).to_bits(), Ordering::Relaxed);
    }

    fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// What a client wants, over all its returns.
struct RequestTemplate {
    class: &'static str,
    deadline: u64,
    write: bool,
    keyed: Option<String>,
    key: String,
}

/// Clients at work; they end with this.
pub struct Clients {
    end: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<ClientRequest>>>,
    threads: Vec<JoinHandle<()>>,
}

struct Client {
    balancers: Vec<SocketAddr>,
    /// Where it goes first.
    home: usize,
    at: usize,
    behaviour: ClientOptions,
    stream: Option<(TcpStream, BufReader<TcpStream>)>,
    rng: Xoshiro256PlusPlus,
    name: String,
    sent: u64,
    begun: Instant,
}

impl Clients {
    /// `workers` clients that together send as many requests a second as `load` says, to these
    /// doors, as seen from `begun`.
    #[must_use]
    pub fn start(
        balancers: &[SocketAddr],
        workers: usize,
        load: &RequestRate,
        behaviour: ClientOptions,
        seed: u64,
        begun: Instant,
    ) -> Self {
        let (end, asked) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        // Of workers in turn so many stay with the first balancer that it gets its multiple of the
        // mean.
        let others = balancers.len() as f64 - 1.0;
        let first = behaviour.first_balancer_share / (behaviour.first_balancer_share + others);
        let threads = (0..workers)
            .map(|worker| {
                let (end, asked) = (Arc::clone(&end), Arc::clone(&asked));
                let load = load.clone();
                let at = match (worker as f64 + 0.5) / workers as f64 {
                    part if part < first || balancers.len() == 1 => 0,
                    _ => 1 + worker % (balancers.len() - 1),
                };
                let client = Client {
                    balancers: balancers.to_vec(),
                    home: at,
                    at,
                    behaviour,
                    stream: None,
                    rng: Xoshiro256PlusPlus::seed_from_u64(
                        seed.wrapping_mul(1_000).wrapping_add(worker as u64),
                    ),
                    name: format!("{worker:04x}"),
                    sent: 0,
                    begun,
                };
                std::thread::spawn(move || client.run(&load, workers, &end, &asked))
            })
            .collect();
        Clients {
            end,
            asked,
            threads,
        }
    }

    /// Stops the clients and returns all requests.
    pub fn stop(mut self) -> Vec<ClientRequest> {
        self.end.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        std::mem::take(&mut self.asked.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
    }
}

impl Client {
    /// Sends requests at this worker's part of the rate until the end.
    fn run(
        mut self,
        load: &RequestRate,
        workers: usize,
        end: &AtomicBool,
        asked: &Mutex<Vec<ClientRequest>>,
    ) {
        let mut next = Instant::now();
        while !end.load(Ordering::Relaxed) {
            next = self.wait_for_next(next, load, workers, end);
            // One that was long at work does not send all at once what it missed.
            next = next.max(Instant::now() - Duration::from_millis(500));
            self.ask_until_done(asked);
        }
    }

    /// Waits for an exponentially distributed gap after `previous`; the rate may change in the
    /// middle of it.
    fn wait_for_next(
        &mut self,
        previous: Instant,
        load: &RequestRate,
        workers: usize,
        end: &AtomicBool,
    ) -> Instant {
        let mut next = previous;
        let gap = -(1.0 - self.rng.random::<f64>()).ln();
        let mut elapsed = 0.0;
        while elapsed < gap && !end.load(Ordering::Relaxed) {
            let per_second = load.get() / workers as f64;
            let left = if per_second > 0.0 {
                (gap - elapsed) / per_second
            } else {
                1.0
            };
            // Shorter steps would round to nothing and never end.
            let step = Duration::from_secs_f64(left.clamp(1e-4, 0.05));
            next += step;
            elapsed += step.as_secs_f64() * per_second;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        next
    }

    fn connection(&mut self) -> io::Result<&mut (TcpStream, BufReader<TcpStream>)> {
        if self.stream.is_none() {
            let address = self.balancers[self.at];
            let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
            stream.set_nodelay(true)?;
            self.stream = Some((stream.try_clone()?, BufReader::new(stream)));
        }
        self.stream
            .as_mut()
            .ok_or_else(|| io::Error::other("no connection"))
    }

    /// One request, and its returns.
    fn ask_until_done(&mut self, asked: &Mutex<Vec<ClientRequest>>) {
        let order = self.order();
        let mut again = 0;
        loop {
            let one = self.ask(&order, again > 0);
            let (end, wait_ms) = (one.outcome, one.retry_after_ms);
            asked
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(one);
            // After a failure only what may run twice is said again; a refusal says that a return
            // is harmless.
            let harmless = end == RequestOutcome::Refused
                || end == RequestOutcome::Failed && order.class != "map-publish";
            if !harmless || again >= self.behaviour.retries {
                break;
            }
            again += 1;
            if self.behaviour.honors_retry_after {
                let wait =
                    wait_ms.map_or(WAIT_USUAL, |ms| Duration::from_millis(ms.min(OBEYED_MOST)));
                std::thread::sleep(wait);
            } else if self.balancers.len() > 1 {
                self.stream = None;
                self.at = (self.at + 1 + self.rng.random_range(0..self.balancers.len() - 1))
                    % self.balancers.len();
            }
        }
        if self.at != self.home && self.stream.is_some() && !self.behaviour.honors_retry_after {
            self.stream = None;
            self.at = self.home;
        }
    }

    /// The next request.
    fn order(&mut self) -> RequestTemplate {
        let mut draw = self.rng.random::<f64>();
        let class = CLASSES.iter().find(|(_, share, ..)| {
            draw -= share;
            draw < 0.0
        });
        let (class, _, deadline, write, keyed) = *class.unwrap_or(&CLASSES[0]);
        // A few keys are requested far more than the others.
        let key = format!(
            "{:016x}",
            (KEYS as f64 * self.rng.random::<f64>().powi(3)) as u64
        );
        // A return carries the key of the first.
        let keyed = keyed.then(|| format!("{}-{:x}", self.name, self.sent + 1));
        RequestTemplate {
            class,
            deadline,
            write,
            keyed,
            key,
        }
    }

    fn ask(&mut self, order: &RequestTemplate, again: bool) -> ClientRequest {
        let RequestTemplate {
            class,
            deadline,
            write,
            keyed,
            key,
        } = order;
        let (class, deadline, write) = (*class, *deadline, *write);
        self.sent += 1;
        let id = format!("{}{:012x}", self.name, self.sent);
        let mut options = format!("c={class},t=kvemo-tetri,d={deadline}");
        if let Some(k) = keyed {
            options.push_str(&format!(",k={k}"));
        }
        if again {
            options.push_str(",r=1");
        }
        let mut words: Vec<&[u8]> = vec![
            if write { b"C.SET" } else { b"C.GET" },
            key.as_bytes(),
            id.as_bytes(),
            options.as_bytes(),
        ];
        let value = format!("written by {id}");
        if write {
            words.push(value.as_bytes());
        }
        let command = resp::encode_command(&words);
        let (begun, sent) = (self.begun, Instant::now());
        let balancer = self.at;
        let most = Duration::from_millis(deadline) + GRACE;
        let (end, extra, wait_ms) = self.exchange(&command, most, key, write);
        if matches!(
            end,
            RequestOutcome::Broken | RequestOutcome::NoConnection | RequestOutcome::Never
        ) {
            self.stream = None;
            self.at = self.rng.random_range(0..self.balancers.len());
        }
        let at = sent.duration_since(begun).as_secs_f64();
        ClientRequest {
            id,
            class,
            balancer,
            at,
            latency_s: sent.elapsed().as_secs_f64(),
            outcome: end,
            extra_data: extra,
            is_retry: again,
            retry_after_ms: wait_ms,
        }
    }

    fn exchange(
        &mut self,
        command: &[u8],
        most: Duration,
        key: &str,
        write: bool,
    ) -> (RequestOutcome, bool, Option<u64>) {
        // Between requests a balancer may close a connection: then the request goes once more, on a
        // new one.
        if self.stream.as_ref().is_some_and(|(stream, _)| {
            let _ = stream.set_nonblocking(true);
            let ended = matches!(stream.peek(&mut [0]), Ok(0))
                || stream
                    .peek(&mut [0])
                    .is_err_and(|e| e.kind() != io::ErrorKind::WouldBlock);
            let _ = stream.set_nonblocking(false);
            ended
        }) {
            self.stream = None;
        }
        let Ok((stream, input)) = self.connection() else {
            return (RequestOutcome::NoConnection, false, None);
        };
        if stream.set_read_timeout(Some(most)).is_err() || stream.write_all(command).is_err() {
            return (RequestOutcome::Broken, false, None);
        }
        let mut wait_ms = None;
        let end = match resp::read_reply(input) {
            Ok(RespReply::Bulk(Some(value))) => classify_answer(&value, key, write),
            Ok(RespReply::Array(parts)) => match parts.first() {
                Some(RespReply::Bulk(Some(value))) => classify_answer(value, key, write),
                _ => RequestOutcome::Failed,
            },
            Ok(RespReply::Error(text)) if text == "BUSY" || text.starts_with("BUSY ") => {
                wait_ms = text.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok());
                RequestOutcome::Refused
            }
            Ok(_) => RequestOutcome::Failed,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                RequestOutcome::Never
            }
            Err(_) => RequestOutcome::Broken,
        };
        // One request is out at a time: whatever else came is a second answer.
        (end, !input.buffer().is_empty(), wait_ms)
    }
}

/// Whether a cache makes this for that key.
fn classify_answer(value: &[u8], key: &str, write: bool) -> RequestOutcome {
    let text = String::from_utf8_lossy(value);
    let made = text.starts_with(&format!("tile {key} by ")) || text.starts_with("written by ");
    let right = if write { text == "stored" } else { made };
    if right {
        RequestOutcome::Served
    } else {
        RequestOutcome::Wrong
    }
}
