//! Operations on TCP sockets that the standard library lacks, all without blocking.

use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::ioctl::{Getter, Opcode};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::ffi::c_int;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};

/// What a non-blocking connect answers while it is under way (Linux; std has no stable name for
/// it).
const EINPROGRESS: i32 = 115;

/// Why an inherited descriptor can't be used as a listener.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// Its number is that of standard input, output or error.
    #[error("is a standard stream")]
    StandardStream,
    /// The descriptor is closed, or something other than a socket.
    #[error("is no open socket: {0}")]
    NotASocket(#[source] io::Error),
    /// The socket is not TCP, or does not listen.
    #[error("is no listening TCP socket")]
    NotListening,
}

/// Starts a connection without waiting for it: once the socket is writable, it is established or
/// has failed.
///
/// # Errors
/// If the connection is refused at once, or the process has no descriptor left.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(EINPROGRESS) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// Takes over the listening TCP socket that this process was started with under this descriptor.
/// Called once, before the process listens anywhere itself.
///
/// # Errors
/// If the descriptor is not a listening TCP socket.
#[allow(unsafe_code)]
pub fn inherit_listener(descriptor: RawFd) -> Result<TcpListener, InheritError> {
    if descriptor <= 2 {
        return Err(InheritError::StandardStream);
    }
    // SAFETY: the descriptor is only inspected until it is known to be an open socket, and never
    // closed through this borrow.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    let socket = SockRef::from(&borrowed);
    let kind = socket.r#type().map_err(InheritError::NotASocket)?;
    if kind != Type::STREAM || !socket.is_listener().unwrap_or(false) {
        return Err(InheritError::NotListening);
    }
    socket
        .local_addr()
        .ok()
        .and_then(|address| address.as_socket())
        .ok_or(InheritError::NotListening)?;
    // SAFETY: it is open and listens, so whoever started this process passed it on; nothing else
    // in this process owns it, as this is called once, before anything else listens.
    Ok(unsafe { TcpListener::from_raw_fd(descriptor) })
}

/// Whether a connection is open in both directions and has no unread input.
#[must_use]
pub fn is_open_without_input(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the peer has closed, or will send nothing more. Unlike a read this sees the end behind
/// input that is still unread.
#[must_use]
pub fn has_peer_closed(stream: &TcpStream) -> bool {
    let mut watched = [PollFd::new(stream, PollFlags::RDHUP)];
    let polled = rustix::event::poll(&mut watched, Some(&Timespec::default()));
    matches!(polled, Ok(ready) if ready > 0)
}

/// Whether the kernel holds written bytes that it has not sent yet. If the connection were closed
/// then, a byte from the peer would destroy them. False where the kernel can't tell.
#[must_use]
#[allow(unsafe_code)]
pub fn has_unsent_output(stream: &TcpStream) -> bool {
    // Linux's SIOCOUTQNSD. Bytes that were sent but not acknowledged arrive before any reset.
    const UNSENT: Opcode = 0x894B;
    // SAFETY: for this request the kernel writes one int, which is what the getter holds.
    let unsent = unsafe { rustix::ioctl::ioctl(stream, Getter::<UNSENT, c_int>::new()) };
    unsent.is_ok_and(|bytes| bytes > 0)
}

/// Reads and drops up to `bytes_max` bytes of input: closing over unread input would reset the
/// connection, and the peer might lose the last answer. False once the connection has ended, or if
/// more than that has come.
pub fn discard(mut stream: &TcpStream, bytes_max: usize) -> bool {
    let mut bytes = [0; 4096];
    for _ in 0..bytes_max / bytes.len() {
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return false,
        }
    }
    false
}

#[cfg(test)]
mod tests;
