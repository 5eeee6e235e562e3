//! Datagrams between members: each member has an address at the proxy, by which the others know
//! it; what comes there is passed on to the member's own address, from the address at the switch of
//! whoever sent it. So the program needs no code for trials: it binds to one address and advertises
//! another, as behind any translation of addresses.

use crate::network_emulation::faults::Link;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often a thread that waits for datagrams looks whether it is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Datagrams that are held for their delay, at most; beyond that they are lost.
const MAX_DELAYED: usize = 100_000;
/// A datagram that is held back comes this much later.
const REORDER_DELAY: Duration = Duration::from_millis(20);

struct DelayedDatagram {
    at: Instant,
    number: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// The earliest is the greatest: a heap hands that out first.
impl Ord for DelayedDatagram {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

#[derive(Default)]
struct DelayQueue {
    datagrams: BinaryHeap<DelayedDatagram>,
    number: u64,
}

struct ProxyState {
    /// Each member's address at the proxy, and its own.
    sockets: Vec<UdpSocket>,
    own: Vec<SocketAddr>,
    /// `links[from][to]`.
    links: Vec<Vec<Link>>,
    queue: Mutex<DelayQueue>,
    wake: Condvar,
    end: AtomicBool,
    passed: AtomicU64,
    lost: AtomicU64,
}

/// The proxy; it stops when it is dropped.
pub struct DatagramProxy {
    shared: Arc<ProxyState>,
    threads: Vec<JoinHandle<()>>,
}

impl DatagramProxy {
    /// Starts a proxy for members that are known to the others by `advertised` and bound to `own`.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub fn start(advertised: &[SocketAddr], own: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let sockets = advertised
            .iter()
            .map(|address| {
                let socket = UdpSocket::bind(address)?;
                socket.set_read_timeout(Some(POLL_INTERVAL))?;
                Ok(socket)
            })
            .collect::<io::Result<Vec<_>>>()?;
        let n = sockets.len();
        let shared = Arc::new(ProxyState {
            sockets,
            own: own.to_vec(),
            links: (0..n)
                .map(|_| (0..n).map(|_| Link::default()).collect())
                .collect(),
            queue: Mutex::default(),
            wake: Condvar::new(),
            end: AtomicBool::new(false),
            passed: AtomicU64::new(0),
            lost: AtomicU64::new(0),
        });
        let mut threads = Vec::new();
        for to in 0..n {
            let shared = Arc::clone(&shared);
            let rng = Xoshiro256PlusPlus::seed_from_u64(seed.wrapping_add(to as u64));
            threads.push(std::thread::spawn(move || shared.receive(to, rng)));
        }
        let later = Arc::clone(&shared);
        threads.push(std::thread::spawn(move || later.send_delayed()));
        Ok(DatagramProxy { shared, threads })
    }

    /// The link from one member to another.
    #[must_use]
    pub fn link(&self, from: usize, to: usize) -> &Link {
        &self.shared.links[from][to]
    }

    /// Datagrams passed on, and lost by faults.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (
            self.shared.passed.load(Ordering::Relaxed),
            self.shared.lost.load(Ordering::Relaxed),
        )
    }
}

impl ProxyState {
    fn receive(&self, to: usize, mut rng: Xoshiro256PlusPlus) {
        let mut bytes = [0; 2_048];
        while !self.end.load(Ordering::Relaxed) {
            let Ok((length, source)) = self.sockets[to].recv_from(&mut bytes) else {
                continue;
            };
            // Nobody else has business here.
            let Some(from) = self.own.iter().position(|own| *own == source) else {
                continue;
            };
            let faults = self.links[from][to].get();
            if faults.cut || rng.random_bool(faults.drop) {
                self.lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let copies = 1 + usize::from(rng.random_bool(faults.duplicate));
            for _ in 0..copies {
                let jitter = rng.random_range(0..=faults.jitter_ms);
                let mut wait = Duration::from_millis(faults.delay_ms + jitter);
                if rng.random_bool(faults.reorder) {
                    wait += REORDER_DELAY;
                }
                if wait.is_zero() {
                    self.pass(from, to, &bytes[..length]);
                } else {
                    self.schedule(Instant::now() + wait, from, to, &bytes[..length]);
                }
            }
        }
    }

    fn pass(&self, from: usize, to: usize, bytes: &[u8]) {
        self.passed.fetch_add(1, Ordering::Relaxed);
        // A member that is not there loses it, as anywhere.
        let _ = self.sockets[from].send_to(bytes, self.own[to]);
    }

    fn schedule(&self, at: Instant, from: usize, to: usize, bytes: &[u8]) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.datagrams.len() < MAX_DELAYED {
            queue.number += 1;
            let number = queue.number;
            queue.datagrams.push(DelayedDatagram {
                at,
                number,
                from,
                to,
                bytes: bytes.to_vec(),
            });
            self.wake.notify_one();
        }
    }

    fn send_delayed(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        while !self.end.load(Ordering::Relaxed) {
            let now = Instant::now();
            let wait = match queue.datagrams.peek() {
                Some(held) if held.at <= now => {
                    if let Some(held) = queue.datagrams.pop() {
                        drop(queue);
                        // What was cut meanwhile is lost on its way.
                        if !self.links[held.from][held.to].get().cut {
                            self.pass(held.from, held.to, &held.bytes);
                        }
                        queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
                    }
                    continue;
                }
                Some(held) => held.at - now,
                None => POLL_INTERVAL,
            };
            queue = self
                .wake
                .wait_timeout(queue, wait.min(POLL_INTERVAL))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl Drop for DatagramProxy {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests;
