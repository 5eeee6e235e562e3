//! Simulated clients: an open loop of requests with deadlines. A client whose connection breaks
//! moves to another balancer; a request is retried only where a second execution is harmless.

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

/// Time after the deadline for which a client still waits for the reply, so that late and missing
/// replies are distinguished even on a slow machine.
const LATE_REPLY_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of distinct keys.
const KEYS: u64 = 400;

/// Outcome of a request as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The expected value, or the receipt of a write.
    Served,
    /// Rejected with `-BUSY`.
    Refused,
    /// Any other reply.
    Failed,
    /// A value that no cache produces for this key.
    Wrong,
    /// The connection broke before the reply.
    Broken,
    /// No balancer accepted the connection.
    #[serde(rename = "no_door")]
    NoConnection,
    /// No reply within 20 s after the deadline.
    Never,
}

impl RequestOutcome {
    /// Returns the key under which reports count this outcome.
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

/// Record of one request as seen by its client.
#[derive(Clone, Debug, Serialize)]
pub struct ClientRequest {
    /// Request id.
    pub id: String,
    /// Request class.
    pub class: &'static str,
    /// Index of the balancer it was sent to.
    pub balancer: usize,
    /// Time at which it was sent, in seconds since the clients' reference time.
    pub at: f64,
    /// Time from sending until the reply or until the client gave up, in seconds.
    pub latency_s: f64,
    /// Outcome.
    #[serde(rename = "end")]
    pub outcome: RequestOutcome,
    /// Whether the connection delivered more bytes than the reply.
    #[serde(rename = "extra")]
    pub extra_data: bool,
    /// Whether it retries a rejected or failed request.
    pub is_retry: bool,
    /// Retry-after time of a rejection, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub retry_after_ms: Option<u64>,
}

/// Request classes: name, fraction of all requests, deadline in milliseconds, whether it is a
/// write, and whether it carries an idempotency key.
const CLASSES: [(&str, f64, u64, bool, bool); 3] = [
    ("tile-read", 0.90, 600, false, false),
    ("status-set", 0.05, 1_000, true, true),
    ("map-publish", 0.05, 2_500, true, false),
];

/// Returns the deadline of a request class, in seconds; 0 for an unknown class.
#[must_use]
pub fn class_deadline_s(class: &str) -> f64 {
    let entry = CLASSES.iter().find(|(name, ..)| *name == class);
    entry.map_or(0.0, |(_, _, ms, ..)| *ms as f64 / 1e3)
}

/// Behaviour of clients.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientOptions {
    /// Maximum number of retries of a rejected or failed request.
    #[serde(rename = "returns")]
    pub retries: u32,
    /// Whether a retry waits for the retry-after time of the rejection. Otherwise it is sent at
    /// once, to another balancer.
    #[serde(rename = "obey")]
    pub honors_retry_after: bool,
    /// Traffic of the first balancer, as a multiple of the mean of the others.
    #[serde(rename = "first")]
    pub first_balancer_multiple: f64,
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions {
            retries: 0,
            honors_retry_after: true,
            first_balancer_multiple: 1.0,
        }
    }
}

/// Maximum retry-after time that a client waits, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 1_200;
/// Wait before a retry if the reply names no retry-after time.
const DEFAULT_RETRY_WAIT: Duration = Duration::from_millis(100);

/// Request rate of all clients together, adjustable while they run.
#[derive(Clone, Debug, Default)]
pub struct RequestRate(Arc<AtomicU64>);

impl RequestRate {
    /// Sets the rate, in requests per second.
    pub fn set(&self, per_s: f64) {
        self.0.store(per_s.max(0.0).to_bits(), Ordering::Relaxed);
    }

    fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// Content of a request, shared by its retries.
struct RequestTemplate {
    class: &'static str,
    deadline_ms: u64,
    is_write: bool,
    idempotency_key: Option<String>,
    key: String,
}

/// Running clients. Dropping this signals their threads to stop.
pub struct Clients {
    is_stopping: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<ClientRequest>>>,
    threads: Vec<JoinHandle<()>>,
}

/// State of one client thread, which has at most one outstanding request.
struct Client {
    balancers: Vec<SocketAddr>,
    /// Index of the balancer that the client normally uses.
    home: usize,
    /// Index of the balancer that the next request goes to.
    current: usize,
    options: ClientOptions,
    stream: Option<(TcpStream, BufReader<TcpStream>)>,
    rng: Xoshiro256PlusPlus,
    /// Prefix of the client's request ids.
    id_prefix: String,
    /// Number of requests sent.
    sent: u64,
    /// Time 0 of the recorded times.
    reference_time: Instant,
}

impl Clients {
    /// Starts `workers` clients that together send requests to these balancers at `rate`.
    /// `reference_time` is time 0 of the recorded times.
    #[must_use]
    pub fn start(
        balancers: &[SocketAddr],
        workers: usize,
        rate: &RequestRate,
        options: ClientOptions,
        seed: u64,
        reference_time: Instant,
    ) -> Self {
        let (is_stopping, requests) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        // The fraction of workers assigned to the first balancer gives it its multiple of the mean.
        let other_balancers = balancers.len() as f64 - 1.0;
        let first_fraction =
            options.first_balancer_multiple / (options.first_balancer_multiple + other_balancers);
        let threads = (0..workers)
            .map(|worker| {
                let (is_stopping, requests) = (Arc::clone(&is_stopping), Arc::clone(&requests));
                let rate = rate.clone();
                let home = match (worker as f64 + 0.5) / workers as f64 {
                    position if position < first_fraction || balancers.len() == 1 => 0,
                    _ => 1 + worker % (balancers.len() - 1),
                };
                let client = Client {
                    balancers: balancers.to_vec(),
                    home,
                    current: home,
                    options,
                    stream: None,
                    rng: Xoshiro256PlusPlus::seed_from_u64(
                        seed.wrapping_mul(1_000).wrapping_add(worker as u64),
                    ),
                    id_prefix: format!("{worker:04x}"),
                    sent: 0,
                    reference_time,
                };
                std::thread::spawn(move || client.run(&rate, workers, &is_stopping, &requests))
            })
            .collect();
        Clients {
            is_stopping,
            requests,
            threads,
        }
    }

    /// Stops the clients and returns the records of all requests.
    pub fn stop(mut self) -> Vec<ClientRequest> {
        self.is_stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        std::mem::take(&mut self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

impl Client {
    /// Sends requests at this worker's part of the rate until stopped.
    fn run(
        mut self,
        rate: &RequestRate,
        workers: usize,
        is_stopping: &AtomicBool,
        requests: &Mutex<Vec<ClientRequest>>,
    ) {
        let mut next = Instant::now();
        while !is_stopping.load(Ordering::Relaxed) {
            next = self.wait_for_next(next, rate, workers, is_stopping);
            // After a slow request, only requests that were due in the last 500 ms are made up
            // for, which limits the burst.
            next = next.max(Instant::now() - Duration::from_millis(500));
            self.send_with_retries(requests);
        }
    }

    /// Waits for an exponentially distributed interval after `previous` and returns its end. A
    /// change of the rate takes effect during the interval.
    fn wait_for_next(
        &mut self,
        previous: Instant,
        rate: &RequestRate,
        workers: usize,
        is_stopping: &AtomicBool,
    ) -> Instant {
        let mut next = previous;
        let interval = -(1.0 - self.rng.random::<f64>()).ln();
        let mut elapsed = 0.0;
        while elapsed < interval && !is_stopping.load(Ordering::Relaxed) {
            let per_second = rate.get() / workers as f64;
            let remaining_s = if per_second > 0.0 {
                (interval - elapsed) / per_second
            } else {
                1.0
            };
            // A shorter step could round to zero, so that the loop never ends.
            let step = Duration::from_secs_f64(remaining_s.clamp(1e-4, 0.05));
            next += step;
            elapsed += step.as_secs_f64() * per_second;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        next
    }

    /// Returns the connection to the current balancer; opens one if there is none.
    fn connection(&mut self) -> io::Result<&mut (TcpStream, BufReader<TcpStream>)> {
        if self.stream.is_none() {
            let address = self.balancers[self.current];
            let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
            stream.set_nodelay(true)?;
            self.stream = Some((stream.try_clone()?, BufReader::new(stream)));
        }
        self.stream
            .as_mut()
            .ok_or_else(|| io::Error::other("no connection"))
    }

    /// Sends a request and its retries, and records each.
    fn send_with_retries(&mut self, requests: &Mutex<Vec<ClientRequest>>) {
        let template = self.next_template();
        let mut retries = 0;
        loop {
            let request = self.send(&template, retries > 0);
            let (outcome, retry_after_ms) = (request.outcome, request.retry_after_ms);
            requests
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(request);
            // A rejection implies that a retry is harmless. After a failure the request may have
            // been executed, so only a request that may be executed twice is retried.
            let is_retryable = outcome == RequestOutcome::Refused
                || outcome == RequestOutcome::Failed && template.class != "map-publish";
            if !is_retryable || retries >= self.options.retries {
                break;
            }
            retries += 1;
            if self.options.honors_retry_after {
                let wait = retry_after_ms.map_or(DEFAULT_RETRY_WAIT, |ms| {
                    Duration::from_millis(ms.min(RETRY_AFTER_MAX_MS))
                });
                std::thread::sleep(wait);
            } else if self.balancers.len() > 1 {
                self.stream = None;
                self.current =
                    (self.current + 1 + self.rng.random_range(0..self.balancers.len() - 1))
                        % self.balancers.len();
            }
        }
        if self.current != self.home && self.stream.is_some() && !self.options.honors_retry_after {
            self.stream = None;
            self.current = self.home;
        }
    }

    /// Generates the next request.
    fn next_template(&mut self) -> RequestTemplate {
        let mut sample = self.rng.random::<f64>();
        let class = CLASSES.iter().find(|(_, fraction, ..)| {
            sample -= fraction;
            sample < 0.0
        });
        let (class, _, deadline_ms, is_write, is_keyed) = *class.unwrap_or(&CLASSES[0]);
        // The cube makes a few keys far more frequent than the others.
        let key = format!(
            "{:016x}",
            (KEYS as f64 * self.rng.random::<f64>().powi(3)) as u64
        );
        // Retries carry the idempotency key of the first attempt.
        let idempotency_key = is_keyed.then(|| format!("{}-{:x}", self.id_prefix, self.sent + 1));
        RequestTemplate {
            class,
            deadline_ms,
            is_write,
            idempotency_key,
            key,
        }
    }

    /// Sends one request and waits for its outcome.
    fn send(&mut self, template: &RequestTemplate, is_retry: bool) -> ClientRequest {
        let RequestTemplate {
            class,
            deadline_ms,
            is_write,
            idempotency_key,
            key,
        } = template;
        let (class, deadline_ms, is_write) = (*class, *deadline_ms, *is_write);
        self.sent += 1;
        let id = format!("{}{:012x}", self.id_prefix, self.sent);
        let mut options = format!("c={class},t=kvemo-tetri,d={deadline_ms}");
        if let Some(idempotency_key) = idempotency_key {
            options.push_str(&format!(",k={idempotency_key}"));
        }
        if is_retry {
            options.push_str(",r=1");
        }
        let mut arguments: Vec<&[u8]> = vec![
            if is_write { b"C.SET" } else { b"C.GET" },
            key.as_bytes(),
            id.as_bytes(),
            options.as_bytes(),
        ];
        let value = format!("written by {id}");
        if is_write {
            arguments.push(value.as_bytes());
        }
        let command = resp::encode_command(&arguments);
        let sent = Instant::now();
        let balancer = self.current;
        let timeout = Duration::from_millis(deadline_ms) + LATE_REPLY_TIMEOUT;
        let (outcome, extra_data, retry_after_ms) = self.exchange(&command, timeout, key, is_write);
        if matches!(
            outcome,
            RequestOutcome::Broken | RequestOutcome::NoConnection | RequestOutcome::Never
        ) {
            self.stream = None;
            self.current = self.rng.random_range(0..self.balancers.len());
        }
        let at = sent.duration_since(self.reference_time).as_secs_f64();
        ClientRequest {
            id,
            class,
            balancer,
            at,
            latency_s: sent.elapsed().as_secs_f64(),
            outcome,
            extra_data,
            is_retry,
            retry_after_ms,
        }
    }

    /// Sends a command and reads the reply; returns the outcome, whether more bytes than the reply
    /// arrived, and the retry-after time of a rejection.
    fn exchange(
        &mut self,
        command: &[u8],
        timeout: Duration,
        key: &str,
        is_write: bool,
    ) -> (RequestOutcome, bool, Option<u64>) {
        // A balancer may close an idle connection; the request then uses a new one.
        if self.stream.as_ref().is_some_and(|(stream, _)| {
            let _ = stream.set_nonblocking(true);
            let is_closed = matches!(stream.peek(&mut [0]), Ok(0))
                || stream
                    .peek(&mut [0])
                    .is_err_and(|e| e.kind() != io::ErrorKind::WouldBlock);
            let _ = stream.set_nonblocking(false);
            is_closed
        }) {
            self.stream = None;
        }
        let Ok((stream, input)) = self.connection() else {
            return (RequestOutcome::NoConnection, false, None);
        };
        if stream.set_read_timeout(Some(timeout)).is_err() || stream.write_all(command).is_err() {
            return (RequestOutcome::Broken, false, None);
        }
        let mut retry_after_ms = None;
        let outcome = match resp::read_reply(input) {
            Ok(RespReply::Bulk(Some(value))) => classify_value(&value, key, is_write),
            Ok(RespReply::Array(parts)) => match parts.first() {
                Some(RespReply::Bulk(Some(value))) => classify_value(value, key, is_write),
                _ => RequestOutcome::Failed,
            },
            Ok(RespReply::Error(text)) if text == "BUSY" || text.starts_with("BUSY ") => {
                retry_after_ms = text.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok());
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
        // Only one request is outstanding, so any further bytes belong to a second reply.
        (outcome, !input.buffer().is_empty(), retry_after_ms)
    }
}

/// Returns `Served` if a cache can produce this value for the key, otherwise `Wrong`.
fn classify_value(value: &[u8], key: &str, is_write: bool) -> RequestOutcome {
    let text = String::from_utf8_lossy(value);
    let is_tile = text.starts_with(&format!("tile {key} by ")) || text.starts_with("written by ");
    let is_expected = if is_write { text == "stored" } else { is_tile };
    if is_expected {
        RequestOutcome::Served
    } else {
        RequestOutcome::Wrong
    }
}
