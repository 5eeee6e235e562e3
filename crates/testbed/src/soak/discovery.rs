//! Discovery for a soak: one endpoint list, served to each balancer at addresses of its own, with
//! faults.

use super::connections::Clock;
use super::records::{CacheState, ListChange, Nanos, Notification, TimeSpan};
use crate::simulated_services::TcpService;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often a watch looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// An empty line comes behind so many looks without a change: every 2 s.
const POLLS_UNTIL_KEEPALIVE: u32 = 500;
/// The longest head of a call.
const HEAD_MAX: usize = 8 * 1024;
/// A torn message comes in parts of this size, this far from each other.
const TORN: (usize, Duration) = (1_500, Duration::from_millis(2));

/// What is wrong with discovery now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// Nothing.
    #[default]
    None,
    /// Calls are reset, and watches have ended.
    Down,
    /// Watches stay open and say nothing; new ones work.
    Silent {
        /// The watches that are silent are those begun before this one.
        before: u64,
    },
    /// Calls wait in turn for so many milliseconds.
    Crowded(u64),
}

/// How messages are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFormat {
    /// One to a line.
    #[default]
    Line,
    /// Over many lines.
    Indented,
    /// In parts with pauses between.
    Torn,
}

#[derive(Default)]
struct DiscoveryState {
    version: u64,
    caches: BTreeMap<usize, CacheState>,
    changes: Vec<ListChange>,
    notifications: Vec<Notification>,
    down: Vec<TimeSpan>,
    fault: DiscoveryFault,
    form: ListFormat,
    watches: u64,
    /// Bytes of changes that were written.
    change_bytes: u64,
}

/// The list, and what was sent of it.
#[derive(Clone)]
pub struct DiscoveryService {
    state: Arc<Mutex<DiscoveryState>>,
    clock: Clock,
    /// The listener of each cache, by its number.
    cache_address: Arc<dyn Fn(usize) -> SocketAddr + Send + Sync>,
}

/// What discovery did.
pub type DiscoveryLog = (Vec<ListChange>, Vec<Notification>, Vec<TimeSpan>);

impl DiscoveryService {
    /// An empty one.
    pub fn new(clock: Clock, dials: impl Fn(usize) -> SocketAddr + Send + Sync + 'static) -> Self {
        DiscoveryService {
            state: Arc::default(),
            clock,
            cache_address: Arc::new(dials),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DiscoveryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// These caches are so from now on.
    pub fn change(&self, caches: Vec<usize>, to: CacheState) {
        let mut state = self.lock();
        state.version += 1;
        for cache in &caches {
            if to == CacheState::Gone {
                state.caches.remove(cache);
            } else {
                state.caches.insert(*cache, to);
            }
        }
        let change = ListChange {
            version: state.version,
            at: self.clock.now(),
            caches,
            state: to,
        };
        state.changes.push(change);
    }

    /// What is wrong from now on.
    pub fn set_fault(&self, fault: DiscoveryFault) {
        let mut state = self.lock();
        let now = self.clock.now();
        if fault == DiscoveryFault::Down && state.fault != DiscoveryFault::Down {
            state.down.push(TimeSpan {
                from: now,
                to: Nanos::MAX,
            });
        }
        if fault != DiscoveryFault::Down
            && let Some(span) = state.down.last_mut().filter(|span| span.to == Nanos::MAX)
        {
            span.to = now;
        }
        state.fault = fault;
    }

    /// All watches that are open fall silent.
    pub fn silence(&self) {
        let before = self.lock().watches;
        self.set_fault(DiscoveryFault::Silent { before });
    }

    /// How messages are written from now on.
    pub fn set_format(&self, form: ListFormat) {
        self.lock().form = form;
    }

    /// What was done.
    #[must_use]
    pub fn log(&self) -> DiscoveryLog {
        let state = self.lock();
        (
            state.changes.clone(),
            state.notifications.clone(),
            state.down.clone(),
        )
    }

    /// Bytes of changes that were written so far, to all balancers.
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

    /// What is new since a version: the whole list, or the changes.
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

    /// The whole list as a balancer's configuration has it.
    #[must_use]
    pub fn known(&self) -> Value {
        self.message(None).map(|(_, list)| list).unwrap_or_default()
    }

    /// Listens for one balancer.
    ///
    /// # Errors
    ///
    /// If the address is taken.
    pub fn listen(&self, address: SocketAddr, balancer: usize) -> io::Result<TcpService> {
        let list = self.clone();
        TcpService::start(address, move |stream| list.serve(stream, balancer))
    }

    fn serve(&self, mut stream: TcpStream, balancer: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if self.lock().fault == DiscoveryFault::Down {
            return Ok(());
        }
        let head = read_head(&mut stream)?;
        let crowded = match self.lock().fault {
            DiscoveryFault::Crowded(ms) => ms,
            _ => 0,
        };
        std::thread::sleep(Duration::from_millis(crowded));
        let number = {
            let mut state = self.lock();
            state.watches += 1;
            state.watches - 1
        };
        let mut since = head
            .split_once("since=")
            .and_then(|(_, rest)| rest.split([' ', '&']).next()?.parse().ok());
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")?;
        let mut empty = POLLS_UNTIL_KEEPALIVE;
        loop {
            let fault = self.lock().fault;
            match fault {
                DiscoveryFault::Down => return Ok(()),
                DiscoveryFault::Silent { before } if number < before => {}
                _ => match self.message(since) {
                    Some((version, message)) => {
                        self.write(&mut stream, &message)?;
                        (since, empty) = (Some(version), 0);
                        let at = self.clock.now();
                        self.lock().notifications.push(Notification {
                            balancer,
                            version,
                            at,
                        });
                    }
                    None if empty >= POLLS_UNTIL_KEEPALIVE => {
                        stream.write_all(b"\n")?;
                        empty = 0;
                    }
                    None => empty += 1,
                },
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn write(&self, stream: &mut TcpStream, message: &Value) -> io::Result<()> {
        let form = self.lock().form;
        let mut text = match form {
            ListFormat::Indented => serde_json::to_string_pretty(message)?,
            ListFormat::Line | ListFormat::Torn => message.to_string(),
        };
        text.push('\n');
        if message["whole"] == false {
            self.lock().change_bytes += text.len() as u64;
        }
        if form != ListFormat::Torn {
            return stream.write_all(text.as_bytes());
        }
        for part in text.as_bytes().chunks(TORN.0.max(text.len() / 20)) {
            stream.write_all(part)?;
            std::thread::sleep(TORN.1);
        }
        Ok(())
    }
}

fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < HEAD_MAX {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
