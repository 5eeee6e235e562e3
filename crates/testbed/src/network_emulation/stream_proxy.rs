//! Streams between a process and what it calls, each direction with faults of its own.

use crate::network_emulation::faults::Link;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often a thread that waits looks whether it is to end, and what is wrong now.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// What is read at once.
const BUFFER_SIZE: usize = 16 * 1024;

/// A proxy in front of one address; it ends with this, and so do its connections.
pub struct StreamProxy {
    end: Arc<AtomicBool>,
    listen: SocketAddr,
    /// From who connects to who is called.
    pub to_target: Link,
    /// The way back.
    pub from_target: Link,
}

impl StreamProxy {
    /// Takes connections at one address and passes them on to another.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(listen: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let relay = StreamProxy {
            end: Arc::default(),
            listen: listener.local_addr()?,
            to_target: Link::default(),
            from_target: Link::default(),
        };
        let (end, there, back) = (
            Arc::clone(&relay.end),
            relay.to_target.clone(),
            relay.from_target.clone(),
        );
        std::thread::spawn(move || {
            let mut number = seed;
            for stream in listener.incoming().flatten() {
                if end.load(Ordering::Relaxed) {
                    return;
                }
                number = number.wrapping_add(2);
                let (end, there, back) = (Arc::clone(&end), there.clone(), back.clone());
                std::thread::spawn(move || carry(&stream, target, &end, [there, back], number));
            }
        });
        Ok(relay)
    }
}

impl Drop for StreamProxy {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        // Whoever waits for a connection gets one, and sees that it is over.
        let _ = TcpStream::connect(self.listen);
    }
}

fn reset(stream: &TcpStream) {
    // With no time to linger the close is a reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn carry(
    near: &TcpStream,
    target: SocketAddr,
    end: &Arc<AtomicBool>,
    [there, back]: [Link; 2],
    seed: u64,
) {
    // While the way is cut a connection is established at the proxy and then hears nothing.
    while there.get().cut && !end.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
    }
    let Ok(far) = TcpStream::connect(target) else {
        return reset(near);
    };
    let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    // A reset of either direction ends both.
    let over = Arc::new(AtomicBool::new(false));
    let ends = [Arc::clone(end), Arc::clone(&over)];
    let thread = std::thread::spawn(move || pump(&far2, &near2, &back, &ends, seed + 1));
    pump(near, &far, &there, &[Arc::clone(end), over], seed);
    let _ = thread.join();
}

/// Passes bytes on until either side ends, with what is wrong on the way now.
fn pump(
    mut from: &TcpStream,
    mut to: &TcpStream,
    link: &Link,
    ends: &[Arc<AtomicBool>; 2],
    seed: u64,
) {
    let ended = || ends.iter().any(|end| end.load(Ordering::Relaxed));
    let break_off = || {
        reset(from);
        reset(to);
        ends[1].store(true, Ordering::Relaxed);
    };
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut bytes = [0; BUFFER_SIZE];
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = to.set_nodelay(true);
    loop {
        let faults = link.get();
        if faults.reset || ended() {
            return break_off();
        }
        if faults.cut {
            // Bytes wait in the system's buffers; keep-alive notices nothing.
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        let length = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(length) => length,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => return break_off(),
        };
        let wait = faults.delay_ms + rng.random_range(0..=faults.jitter_ms);
        std::thread::sleep(Duration::from_millis(wait));
        let step = if faults.drip_ms > 0 { 1 } else { length };
        let mut broken = false;
        for piece in bytes[..length].chunks(step) {
            std::thread::sleep(Duration::from_millis(faults.drip_ms));
            broken |= to.write_all(piece).is_err();
            if broken || ended() {
                break;
            }
        }
        if broken {
            return break_off();
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

#[cfg(test)]
mod tests;
