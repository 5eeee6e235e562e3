//! The simulated discovery of a soak: one endpoint list, served to each balancer at separate
//! addresses, with faults.

use super::connections::Clock;
use super::records::{CacheState, ListChange, Nanos, Notification, TimeSpan};
use crate::simulated_services::TcpService;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which a watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Number of checks without a change after which a watch sends an empty line: every 2 s.
const POLLS_UNTIL_KEEPALIVE: u32 = 500;
/// Maximum size of the head of an HTTP request, in bytes.
const MAX_HEAD_SIZE: usize = 8 * 1024;
/// Minimum size in bytes of the parts of a message in [`ListFormat::Torn`]; a message has at most
/// about 20 parts.
const TORN_PART_SIZE: usize = 1_500;
/// Pause after each part of a message in [`ListFormat::Torn`].
const TORN_PAUSE: Duration = Duration::from_millis(2);

/// Active fault of discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// No fault.
    #[default]
    None,
    /// New connections are closed without an answer, and open watches are closed.
    Down,
    /// Existing watches stay open but send nothing; new watches work.
    Silent {
        /// Number of the first watch that works; watches with smaller numbers are silent.
        before: u64,
    },
    /// Calls are delayed by this number of milliseconds before they are answered.
    SlowCalls(u64),
}

/// Format in which messages are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFormat {
    /// One message per line.
    #[default]
    Line,
    /// Indented JSON over many lines.
    Indented,
    /// One message per line, written in parts with pauses between them.
    Torn,
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    caches: BTreeMap<usize, CacheState>,
    changes: Vec<ListChange>,
    notifications: Vec<Notification>,
    /// Spans in which discovery was down.
    outages: Vec<TimeSpan>,
    fault: DiscoveryFault,
    format: ListFormat,
    /// Number of watches opened so far.
    watches: u64,
    /// Number of bytes of list changes written, full lists not included.
    change_bytes: u64,
}

/// Simulated discovery: the endpoint list and the records of the messages sent to balancers.
#[derive(Clone)]
pub struct DiscoveryService {
    state: Arc<Mutex<DiscoveryState>>,
    clock: Clock,
    /// Returns the address of a cache's listener, given the number of the cache.
    cache_address: Arc<dyn Fn(usize) -> SocketAddr + Send + Sync>,
}

/// Records of discovery: list changes, notifications and outages.
pub type DiscoveryLog = (Vec<ListChange>, Vec<Notification>, Vec<TimeSpan>);

impl DiscoveryService {
    /// Creates a service with an empty list.
    pub fn new(
        clock: Clock,
        cache_address: impl Fn(usize) -> SocketAddr + Send + Sync + 'static,
    ) -> Self {
        DiscoveryService {
            state: Arc::default(),
            clock,
            cache_address: Arc::new(cache_address),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DiscoveryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state of these caches from now on.
    pub fn change(&self, caches: Vec<usize>, new_state: CacheState) {
        let mut state = self.lock();
        state.version += 1;
        for cache in &caches {
            if new_state == CacheState::Gone {
                state.caches.remove(cache);
            } else {
                state.caches.insert(*cache, new_state);
            }
        }
        let change = ListChange {
            version: state.version,
            at: self.clock.now(),
            caches,
            state: new_state,
        };
        state.changes.push(change);
    }

    /// Sets the active fault, which replaces the previous one.
    pub fn set_fault(&self, fault: DiscoveryFault) {
        let mut state = self.lock();
        let now = self.clock.now();
        if fault == DiscoveryFault::Down && state.fault != DiscoveryFault::Down {
            state.outages.push(TimeSpan {
                from: now,
                to: Nanos::MAX,
            });
        }
        if fault != DiscoveryFault::Down
            && let Some(span) = state
                .outages
                .last_mut()
                .filter(|span| span.to == Nanos::MAX)
        {
            span.to = now;
        }
        state.fault = fault;
    }

    /// Makes all open watches silent.
    pub fn silence(&self) {
        let before = self.lock().watches;
        self.set_fault(DiscoveryFault::Silent { before });
    }

    /// Sets the format of messages from now on.
    pub fn set_format(&self, format: ListFormat) {
        self.lock().format = format;
    }

    /// Returns the records so far.
    #[must_use]
    pub fn log(&self) -> DiscoveryLog {
        let state = self.lock();
        (
            state.changes.clone(),
            state.notifications.clone(),
            state.outages.clone(),
        )
    }

    /// Returns the number of bytes of list changes written to all balancers so far.
    #[must_use]
    pub fn change_bytes(&self) -> u64 {
        self.lock().change_bytes
    }

    fn host(&self, cache: usize, state: Option<&CacheState>) -> Value {
        let (health, born_ms) = match state {
            Some(CacheState::Up { born_ms }) => ("in_service", *born_ms),
            Some(CacheState::Draining) => ("terminating", 0),
            Some(CacheState::Gone) | None => ("terminated", 0),
        };
        json!({"host": format!("s-{cache:05}"), "dial": (self.cache_address)(cache).to_string(), "site": "a", "class": "m",
            "block": 1, "health": health, "share": 1.0, "born_ms": born_ms})
    }

    /// Returns the current version with the changes since `since`, or with the full list if `since`
    /// is `None`. Returns `None` if there are no changes.
    fn message(&self, since: Option<u64>) -> Option<(u64, Value)> {
        let state = self.lock();
        let version = state.version;
        let hosts: Vec<Value> = match since {
            Some(since) if since >= version => return None,
            Some(since) => {
                let changes = state.changes.iter().filter(|change| change.version > since);
                let caches: std::collections::BTreeSet<usize> =
                    changes.flat_map(|c| c.caches.clone()).collect();
                caches
                    .into_iter()
                    .map(|cache| self.host(cache, state.caches.get(&cache)))
                    .collect()
            }
            None => state
                .caches
                .iter()
                .map(|(cache, state)| self.host(*cache, Some(state)))
                .collect(),
        };
        Some((
            version,
            json!({"seq": version, "whole": since.is_none(), "hosts": hosts}),
        ))
    }

    /// Returns the full list, as it is written to the configuration key `known` of a balancer.
    #[must_use]
    pub fn full_list(&self) -> Value {
        self.message(None).map(|(_, list)| list).unwrap_or_default()
    }

    /// Starts a listener for one balancer.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub fn listen(&self, address: SocketAddr, balancer: usize) -> io::Result<TcpService> {
        let service = self.clone();
        TcpService::start(address, move |stream| service.serve(stream, balancer))
    }

    fn serve(&self, mut stream: TcpStream, balancer: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if self.lock().fault == DiscoveryFault::Down {
            return Ok(());
        }
        let head = read_head(&mut stream)?;
        let delay_ms = match self.lock().fault {
            DiscoveryFault::SlowCalls(ms) => ms,
            _ => 0,
        };
        std::thread::sleep(Duration::from_millis(delay_ms));
        let watch = {
            let mut state = self.lock();
            state.watches += 1;
            state.watches - 1
        };
        let mut since = head
            .split_once("since=")
            .and_then(|(_, rest)| rest.split([' ', '&']).next()?.parse().ok());
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")?;
        let mut polls_without_change = POLLS_UNTIL_KEEPALIVE;
        loop {
            let fault = self.lock().fault;
            match fault {
                DiscoveryFault::Down => return Ok(()),
                DiscoveryFault::Silent { before } if watch < before => {}
                _ => match self.message(since) {
                    Some((version, message)) => {
                        self.write(&mut stream, &message)?;
                        (since, polls_without_change) = (Some(version), 0);
                        let at = self.clock.now();
                        self.lock().notifications.push(Notification {
                            balancer,
                            version,
                            at,
                        });
                    }
                    None if polls_without_change >= POLLS_UNTIL_KEEPALIVE => {
                        stream.write_all(b"\n")?;
                        polls_without_change = 0;
                    }
                    None => polls_without_change += 1,
                },
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn write(&self, stream: &mut TcpStream, message: &Value) -> io::Result<()> {
        let format = self.lock().format;
        let mut text = match format {
            ListFormat::Indented => serde_json::to_string_pretty(message)?,
            ListFormat::Line | ListFormat::Torn => message.to_string(),
        };
        text.push('\n');
        if message["whole"] == false {
            self.lock().change_bytes += text.len() as u64;
        }
        if format != ListFormat::Torn {
            return stream.write_all(text.as_bytes());
        }
        for part in text.as_bytes().chunks(TORN_PART_SIZE.max(text.len() / 20)) {
            stream.write_all(part)?;
            std::thread::sleep(TORN_PAUSE);
        }
        Ok(())
    }
}

fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < MAX_HEAD_SIZE {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
