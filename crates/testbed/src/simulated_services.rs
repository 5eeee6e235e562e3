//! Simulated services around a balancer: tile caches, origin, discovery and clients. They use the
//! published protocols over loopback and count all requests.

pub mod cache;
pub mod clients;
pub mod discovery;
pub mod origin;
pub mod resp;

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// TCP server with one thread per connection. Dropping it closes the listener and all connections.
pub struct TcpService {
    is_closing: Arc<AtomicBool>,
    address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl TcpService {
    /// Listens on an address and calls `serve` for each accepted connection in a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start(
        address: SocketAddr,
        serve: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)
            .map_err(|e| io::Error::new(e.kind(), format!("{address}: {e}")))?;
        let address = listener.local_addr()?;
        let (is_closing, connections) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::<TcpStream>::new())),
        );
        let (closing, accepted) = (Arc::clone(&is_closing), Arc::clone(&connections));
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if closing.load(Ordering::Relaxed) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    let mut open = accepted.lock().unwrap_or_else(PoisonError::into_inner);
                    open.retain(|stream| stream.peer_addr().is_ok());
                    open.push(clone);
                }
                let serve = serve.clone();
                std::thread::spawn(move || {
                    let _ = serve(stream.try_clone()?);
                    // The clone in the list would otherwise keep the connection open.
                    stream.shutdown(Shutdown::Both)
                });
            }
        });
        Ok(TcpService {
            is_closing,
            address,
            connections,
            thread: Some(thread),
        })
    }
}

impl Drop for TcpService {
    fn drop(&mut self) {
        self.is_closing.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which then sees the flag.
        let _ = TcpStream::connect(self.address);
        // Once the thread has ended the listener is closed, and the list holds every accepted
        // connection.
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain(..)
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
