//! Loopback networks, one for each trial on a machine.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// A loopback network that no other trial on this machine uses while this lives: 127.A.B.0/24.
pub(crate) struct LoopbackNetwork {
    pub(super) a: u8,
    pub(super) b: u8,
    _lock: TcpListener,
}

impl LoopbackNetwork {
    pub(crate) fn reserve() -> io::Result<Self> {
        static TAKEN: AtomicU32 = AtomicU32::new(0);
        let begin = std::process::id()
            .wrapping_mul(7)
            .wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
        for step in 0..1_000 {
            let n = begin.wrapping_add(step * 131);
            let (a, b) = (64 + (n >> 8) as u8 % 128, n as u8);
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, a, b, 254), 1_999)) {
                return Ok(LoopbackNetwork { a, b, _lock: lock });
            }
        }
        Err(io::Error::other("no loopback network is free"))
    }

    fn at(&self, last: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.a, self.b, last as u8], port))
    }

    pub(crate) fn member(&self, n: usize, port: u16) -> SocketAddr {
        self.at(n + 1, port)
    }

    pub(super) fn cache(&self, n: usize) -> SocketAddr {
        self.at(200 + n, 7_000)
    }
}
