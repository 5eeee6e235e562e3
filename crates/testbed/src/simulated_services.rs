//! Simulated services round a balancer: tile caches, origin, discovery and clients. They speak the
//! published protocol, over loopback, and keep count of all that they saw.

pub mod cache;
pub mod clients;
pub mod discovery;
pub mod origin;
pub mod resp;

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// A listening thread and the connections it took; all end with this.
pub struct TcpService {
    end: Arc<AtomicBool>,
    address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl TcpService {
    /// Takes connections at an address, each in a thread of its own.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(
        address: SocketAddr,
        serve: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)
            .map_err(|e| io::Error::new(e.kind(), format!("{address}: {e}")))?;
        let address = listener.local_addr()?;
        let (end, open) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::<TcpStream>::new())),
        );
        let (ending, taken) = (Arc::clone(&end), Arc::clone(&open));
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ending.load(Ordering::Relaxed) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    let mut open = taken.lock().unwrap_or_else(PoisonError::into_inner);
                    open.retain(|s| s.peer_addr().is_ok());
                    open.push(clone);
                }
                let serve = serve.clone();
                std::thread::spawn(move || {
                    let _ = serve(stream.try_clone()?);
                    // The clone above must not keep an ended connection open.
                    stream.shutdown(Shutdown::Both)
                });
            }
        });
        Ok(TcpService {
            end,
            address,
            open,
            thread: Some(thread),
        })
    }
}

impl Drop for TcpService {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        // Whoever waits for a connection gets one, and sees that it is over.
        let _ = TcpStream::connect(self.address);
        // The listener is gone once its thread has ended; connections that came last are among the
        // taken.
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self
            .open
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain(..)
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
