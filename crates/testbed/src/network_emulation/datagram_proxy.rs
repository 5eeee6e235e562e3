//! Proxy for datagrams between members. The proxy has one socket per member, whose address the
//! member advertises to the others. A datagram that arrives there is forwarded to the address the
//! member is bound to, from the proxy socket of its sender. The program therefore needs no code for
//! trials: it binds to one address and advertises another, as behind address translation.

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

/// Maximum interval at which a waiting thread checks the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of delayed datagrams; further ones are dropped.
const MAX_DELAYED: usize = 100_000;
/// Additional delay of a reordered datagram.
const REORDER_DELAY: Duration = Duration::from_millis(20);

/// Datagram that is held until it is due.
struct DelayedDatagram {
    /// Time at which it is forwarded.
    due: Instant,
    /// Arrival order, for datagrams that are due at the same time.
    sequence: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Reversed order, so that the max-heap returns the datagram that is due first.
impl Ord for DelayedDatagram {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}

/// Delayed datagrams, ordered by the time at which they are due.
#[derive(Default)]
struct DelayQueue {
    datagrams: BinaryHeap<DelayedDatagram>,
    last_sequence: u64,
}

/// State shared by the threads of the proxy. Vectors are indexed by member.
struct ProxyState {
    /// Socket of each member at the proxy, bound to the address that the member advertises.
    sockets: Vec<UdpSocket>,
    /// Address that each member is bound to.
    bound: Vec<SocketAddr>,
    /// Faults of each link, as `links[from][to]`.
    links: Vec<Vec<Link>>,
    queue: Mutex<DelayQueue>,
    wake: Condvar,
    is_stopping: AtomicBool,
    forwarded: AtomicU64,
    /// Datagrams dropped because of faults.
    dropped: AtomicU64,
}

/// Running datagram proxy. Dropping it stops its threads.
pub struct DatagramProxy {
    shared: Arc<ProxyState>,
    threads: Vec<JoinHandle<()>>,
}

impl DatagramProxy {
    /// Starts a proxy for members that advertise the addresses `advertised` and are bound to
    /// `bound`.
    ///
    /// # Errors
    ///
    /// Fails if an advertised address can't be bound.
    pub fn start(advertised: &[SocketAddr], bound: &[SocketAddr], seed: u64) -> io::Result<Self> {
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
            bound: bound.to_vec(),
            links: (0..n)
                .map(|_| (0..n).map(|_| Link::default()).collect())
                .collect(),
            queue: Mutex::default(),
            wake: Condvar::new(),
            is_stopping: AtomicBool::new(false),
            forwarded: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        });
        let mut threads = Vec::new();
        for to in 0..n {
            let shared = Arc::clone(&shared);
            let rng = Xoshiro256PlusPlus::seed_from_u64(seed.wrapping_add(to as u64));
            threads.push(std::thread::spawn(move || shared.receive(to, rng)));
        }
        let sender = Arc::clone(&shared);
        threads.push(std::thread::spawn(move || sender.send_delayed()));
        Ok(DatagramProxy { shared, threads })
    }

    /// Returns the link from one member to another.
    #[must_use]
    pub fn link(&self, from: usize, to: usize) -> &Link {
        &self.shared.links[from][to]
    }

    /// Returns the numbers of datagrams forwarded, and dropped because of faults.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (
            self.shared.forwarded.load(Ordering::Relaxed),
            self.shared.dropped.load(Ordering::Relaxed),
        )
    }
}

impl ProxyState {
    /// Receives datagrams for one member and forwards, delays or drops them, until stopped.
    fn receive(&self, to: usize, mut rng: Xoshiro256PlusPlus) {
        let mut bytes = [0; 2_048];
        while !self.is_stopping.load(Ordering::Relaxed) {
            let Ok((length, source)) = self.sockets[to].recv_from(&mut bytes) else {
                continue;
            };
            // Datagrams from addresses other than the members' are ignored.
            let Some(from) = self.bound.iter().position(|bound| *bound == source) else {
                continue;
            };
            let faults = self.links[from][to].get();
            if faults.cut || rng.random_bool(faults.drop) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let copies = 1 + usize::from(rng.random_bool(faults.duplicate));
            for _ in 0..copies {
                let jitter = rng.random_range(0..=faults.jitter_ms);
                let mut delay = Duration::from_millis(faults.delay_ms + jitter);
                if rng.random_bool(faults.reorder) {
                    delay += REORDER_DELAY;
                }
                if delay.is_zero() {
                    self.forward(from, to, &bytes[..length]);
                } else {
                    self.schedule(Instant::now() + delay, from, to, &bytes[..length]);
                }
            }
        }
    }

    /// Sends a datagram to a member from the proxy socket of its sender.
    fn forward(&self, from: usize, to: usize, bytes: &[u8]) {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
        // A datagram to a member that does not run is lost, as on a real network.
        let _ = self.sockets[from].send_to(bytes, self.bound[to]);
    }

    /// Queues a datagram until it is due; drops it if the queue is full.
    fn schedule(&self, due: Instant, from: usize, to: usize, bytes: &[u8]) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.datagrams.len() < MAX_DELAYED {
            queue.last_sequence += 1;
            let sequence = queue.last_sequence;
            queue.datagrams.push(DelayedDatagram {
                due,
                sequence,
                from,
                to,
                bytes: bytes.to_vec(),
            });
            self.wake.notify_one();
        }
    }

    /// Forwards delayed datagrams when they are due, until stopped.
    fn send_delayed(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        while !self.is_stopping.load(Ordering::Relaxed) {
            let now = Instant::now();
            let wait = match queue.datagrams.peek() {
                Some(delayed) if delayed.due <= now => {
                    if let Some(delayed) = queue.datagrams.pop() {
                        drop(queue);
                        // A link that was cut during the delay loses the datagram.
                        if !self.links[delayed.from][delayed.to].get().cut {
                            self.forward(delayed.from, delayed.to, &delayed.bytes);
                        }
                        queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
                    }
                    continue;
                }
                Some(delayed) => delayed.due - now,
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
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests;
