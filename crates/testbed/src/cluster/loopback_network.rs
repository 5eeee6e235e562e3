//! Loopback networks, one for each trial on the machine.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Loopback network `127.a.b.0/24`, reserved for one trial on this machine until it is dropped.
pub(crate) struct LoopbackNetwork {
    pub(super) a: u8,
    pub(super) b: u8,
    /// Listener on a fixed address of the network, which marks it as reserved.
    _lock: TcpListener,
}

impl LoopbackNetwork {
    /// Reserves a free network. The search starts at a position that depends on the process id, so
    /// that concurrent trials rarely try the same networks.
    pub(crate) fn reserve() -> io::Result<Self> {
        static RESERVED: AtomicU32 = AtomicU32::new(0);
        let start = std::process::id()
            .wrapping_mul(7)
            .wrapping_add(RESERVED.fetch_add(1, Ordering::Relaxed));
        for step in 0..1_000 {
            let n = start.wrapping_add(step * 131);
            let (a, b) = (64 + (n >> 8) as u8 % 128, n as u8);
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, a, b, 254), 1_999)) {
                return Ok(LoopbackNetwork { a, b, _lock: lock });
            }
        }
        Err(io::Error::other(
            "all 1,000 loopback networks tried are in use",
        ))
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.a, self.b, host as u8], port))
    }

    /// Returns an address of member `n`.
    pub(crate) fn member(&self, n: usize, port: u16) -> SocketAddr {
        self.address(n + 1, port)
    }

    /// Returns the address of cache `n`.
    pub(super) fn cache(&self, n: usize) -> SocketAddr {
        self.address(200 + n, 7_000)
    }
}
