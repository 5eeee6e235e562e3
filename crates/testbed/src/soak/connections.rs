//! What the simulated services of a soak share: a clock, polling of many sockets, and connections
//! that never block.

use super::records::Nanos;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::time::Instant;

/// The longest wait of a service, in milliseconds: what it reads has come no longer ago, and then
/// its own lag.
const WAIT_MS: u8 = 2;
/// One read takes at most this much.
const READ_SIZE: usize = 64 * 1024;

/// The soak's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Begins now.
    #[must_use]
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.0.elapsed().as_nanos() as Nanos
    }
}

/// Waits a moment for any of these to become readable; tells which are, by their places.
///
/// # Errors
///
/// If the system call fails.
pub fn readable<'a>(sockets: impl Iterator<Item = BorrowedFd<'a>>) -> io::Result<Vec<bool>> {
    let mut fds: Vec<PollFd> = sockets
        .map(|fd| PollFd::new(fd, PollFlags::POLLIN))
        .collect();
    match poll(&mut fds, PollTimeout::from(WAIT_MS)) {
        Ok(_) | Err(nix::errno::Errno::EINTR) => {}
        Err(e) => return Err(e.into()),
    }
    Ok(fds.iter().map(|fd| fd.any().unwrap_or(false)).collect())
}

/// What a connection is found to be when it is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// More may come.
    Open,
    /// The other end has closed behind all that it had read.
    Ended,
    /// It broke, or the other end closed over bytes that it had not read.
    Reset,
}

/// A non-blocking connection of a simulated service.
pub struct Connection {
    stream: TcpStream,
    /// What has come and is not used yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
}

impl Connection {
    /// Takes a connected socket.
    ///
    /// # Errors
    ///
    /// If the system call fails.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            input: Vec::new(),
            output: Vec::new(),
        })
    }

    /// For looks.
    #[must_use]
    pub fn fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    /// Reads all that has come.
    pub fn read(&mut self) -> ConnectionState {
        let mut bytes = [0; READ_SIZE];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return ConnectionState::Ended,
                Ok(n) => self.input.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ConnectionState::Open,
                Err(_) => return ConnectionState::Reset,
            }
        }
    }

    /// Writes this, behind what could not be written yet. True once all is written; an end is found
    /// by the next read.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.output.extend_from_slice(bytes);
        self.flush()
    }

    /// Goes on writing.
    pub fn flush(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(n) => drop(self.output.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Ends it with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Ends it.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
