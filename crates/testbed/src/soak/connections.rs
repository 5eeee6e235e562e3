//! Shared parts of the simulated services of a soak: a clock, polling of many sockets, and
//! non-blocking connections.

use super::records::Nanos;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::time::Instant;

/// Maximum time that a service waits in one poll, in milliseconds. It bounds, apart from delays of
/// the service itself, how long data can have been available before it is read.
const MAX_WAIT_MS: u8 = 2;
/// Maximum number of bytes per read.
const READ_SIZE: usize = 64 * 1024;

/// Clock of a soak.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock at 0.
    #[must_use]
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.0.elapsed().as_nanos() as Nanos
    }
}

/// Waits up to 2 ms until a socket is readable. Returns for each socket whether it is.
///
/// # Errors
///
/// Returns an error if the system call fails.
pub fn readable<'a>(sockets: impl Iterator<Item = BorrowedFd<'a>>) -> io::Result<Vec<bool>> {
    let mut fds: Vec<PollFd> = sockets
        .map(|fd| PollFd::new(fd, PollFlags::POLLIN))
        .collect();
    match poll(&mut fds, PollTimeout::from(MAX_WAIT_MS)) {
        Ok(_) | Err(nix::errno::Errno::EINTR) => {}
        Err(e) => return Err(e.into()),
    }
    Ok(fds.iter().map(|fd| fd.any().unwrap_or(false)).collect())
}

/// State of a connection after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Open; more data may arrive.
    Open,
    /// Closed by the peer after it had read all data.
    Ended,
    /// Broken, or closed by the peer before it had read all data.
    Reset,
}

/// A non-blocking connection of a simulated service.
pub struct Connection {
    stream: TcpStream,
    /// Received bytes that are not processed yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of the output that are written.
    written: usize,
}

impl Connection {
    /// Creates a connection from a connected socket.
    ///
    /// # Errors
    ///
    /// Returns an error if a system call fails.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
        })
    }

    /// Returns the file descriptor, for [`readable`].
    #[must_use]
    pub fn fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    /// Reads at most this number of available bytes into `input`.
    pub fn read_at_most(&mut self, length: usize) -> ConnectionState {
        let mut bytes = vec![0; length];
        match self.stream.read(&mut bytes) {
            Ok(0) => ConnectionState::Ended,
            Ok(n) => {
                self.input.extend_from_slice(&bytes[..n]);
                ConnectionState::Open
            }
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => {
                ConnectionState::Open
            }
            Err(_) => ConnectionState::Reset,
        }
    }

    /// Reads all available bytes into `input`.
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

    /// Writes bytes after those that could not be written yet. Returns whether all are written; a
    /// broken connection is detected by the next read.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.output.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes the remaining bytes. Returns whether all are written.
    pub fn flush(&mut self) -> bool {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        (self.output, self.written) = (Vec::new(), 0);
        true
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Closes the connection.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
