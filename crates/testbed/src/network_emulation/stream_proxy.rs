//! Proxy for TCP connections from a process to one target, with separate faults in each direction.

use crate::network_emulation::faults::Link;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Maximum interval at which a waiting thread checks the stop flag and the current faults.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of bytes per read.
const BUFFER_SIZE: usize = 16 * 1024;

/// Running proxy in front of one address. Dropping it closes the listener and resets its
/// connections.
pub struct StreamProxy {
    is_stopping: Arc<AtomicBool>,
    listen: SocketAddr,
    /// Faults from the connecting process to the target.
    pub to_target: Link,
    /// Faults from the target to the connecting process.
    pub from_target: Link,
}

impl StreamProxy {
    /// Accepts connections at `listen` and forwards them to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start(listen: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let proxy = StreamProxy {
            is_stopping: Arc::default(),
            listen: listener.local_addr()?,
            to_target: Link::default(),
            from_target: Link::default(),
        };
        let (is_stopping, to_target, from_target) = (
            Arc::clone(&proxy.is_stopping),
            proxy.to_target.clone(),
            proxy.from_target.clone(),
        );
        std::thread::spawn(move || {
            let mut connection_seed = seed;
            for stream in listener.incoming().flatten() {
                if is_stopping.load(Ordering::Relaxed) {
                    return;
                }
                connection_seed = connection_seed.wrapping_add(2);
                let is_stopping = Arc::clone(&is_stopping);
                let links = [to_target.clone(), from_target.clone()];
                std::thread::spawn(move || {
                    forward_connection(&stream, target, &is_stopping, links, connection_seed);
                });
            }
        });
        Ok(proxy)
    }
}

impl Drop for StreamProxy {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which then sees the flag.
        let _ = TcpStream::connect(self.listen);
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    // A linger time of zero sends RST instead of FIN.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Connects to the target and copies both directions until both have ended.
fn forward_connection(
    client: &TcpStream,
    target: SocketAddr,
    is_stopping: &Arc<AtomicBool>,
    [to_target, from_target]: [Link; 2],
    seed: u64,
) {
    // While the link is cut, a connection is accepted by the proxy but does not reach the target.
    while to_target.get().cut && !is_stopping.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
    }
    let Ok(server) = TcpStream::connect(target) else {
        return reset(client);
    };
    let (Ok(client_clone), Ok(server_clone)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    // A reset of either direction ends both.
    let is_reset = Arc::new(AtomicBool::new(false));
    let flags = [Arc::clone(is_stopping), Arc::clone(&is_reset)];
    let thread = std::thread::spawn(move || {
        copy_stream(&server_clone, &client_clone, &from_target, &flags, seed + 1);
    });
    let flags = [Arc::clone(is_stopping), is_reset];
    copy_stream(client, &server, &to_target, &flags, seed);
    let _ = thread.join();
}

/// Copies bytes in one direction with the current faults of the link, until either side ends.
/// `flags` are the stop flag of the proxy and the reset flag of the connection.
fn copy_stream(
    mut from: &TcpStream,
    mut to: &TcpStream,
    link: &Link,
    flags: &[Arc<AtomicBool>; 2],
    seed: u64,
) {
    let is_ended = || flags.iter().any(|flag| flag.load(Ordering::Relaxed));
    let reset_both = || {
        reset(from);
        reset(to);
        flags[1].store(true, Ordering::Relaxed);
    };
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut bytes = [0; BUFFER_SIZE];
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = to.set_nodelay(true);
    loop {
        let faults = link.get();
        if faults.reset || is_ended() {
            return reset_both();
        }
        if faults.cut {
            // Bytes stay in the socket buffers; TCP keep-alive does not detect the cut.
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
            Err(_) => return reset_both(),
        };
        let delay_ms = faults.delay_ms + rng.random_range(0..=faults.jitter_ms);
        std::thread::sleep(Duration::from_millis(delay_ms));
        let chunk_size = if faults.drip_ms > 0 { 1 } else { length };
        let mut write_failed = false;
        for chunk in bytes[..length].chunks(chunk_size) {
            std::thread::sleep(Duration::from_millis(faults.drip_ms));
            write_failed |= to.write_all(chunk).is_err();
            if write_failed || is_ended() {
                break;
            }
        }
        if write_failed {
            return reset_both();
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

#[cfg(test)]
mod tests;
