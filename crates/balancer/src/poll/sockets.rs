//! Non-blocking operations on TCP sockets that the standard library lacks.

use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::ioctl::{Getter, Opcode};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::ffi::c_int;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};

/// Error number of a non-blocking connect in progress on Linux; std has no stable name for it.
const EINPROGRESS: i32 = 115;

/// Reason why an inherited descriptor can't be used as a listener. The text completes a sentence
/// whose subject is the descriptor.
#[derive(Debug, thiserror::Error)]
pub enum InheritError {
    /// The descriptor is standard input, output or error.
    #[error("is a standard stream")]
    StandardStream,
    /// The descriptor is closed, or not a socket.
    #[error("is not an open socket: {0}")]
    NotASocket(#[source] io::Error),
    /// The socket is not a TCP socket, or not listening.
    #[error("is not a listening TCP socket")]
    NotListening,
}

/// Starts to connect to `address` without blocking. Once the socket is writable, the connection is
/// established or has failed.
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

/// Takes ownership of the listening TCP socket that this process inherited under this descriptor.
/// Must be called once, before the process opens any listener itself.
///
/// # Errors
/// If the descriptor is not a listening TCP socket.
#[allow(unsafe_code)]
pub fn inherit_listener(descriptor: RawFd) -> Result<TcpListener, InheritError> {
    if descriptor <= 2 {
        return Err(InheritError::StandardStream);
    }
    // SAFETY: the descriptor is only inspected through this borrow, and never closed through it.
    // If it is not open, the inspection fails with an error.
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
    // SAFETY: the descriptor is an open listener, so it was passed by the parent process. Nothing
    // else in this process owns it, as this function is called once, before the process opens a
    // listener itself.
    Ok(unsafe { TcpListener::from_raw_fd(descriptor) })
}

/// Returns whether a connection is open in both directions and has no unread input.
#[must_use]
pub fn is_open_without_input(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether the peer has closed its sending direction. Unlike a read, this detects the end
/// of the stream behind input that is still unread.
#[must_use]
pub fn has_peer_closed(stream: &TcpStream) -> bool {
    let mut watched = [PollFd::new(stream, PollFlags::RDHUP)];
    let polled = rustix::event::poll(&mut watched, Some(&Timespec::default()));
    matches!(polled, Ok(ready) if ready > 0)
}

/// Returns whether the kernel's send buffer holds bytes that it has not sent yet. They would be
/// lost if the connection were closed now and the peer sent another byte, which resets the
/// connection. Returns false if the kernel can't report it.
#[must_use]
#[allow(unsafe_code)]
pub fn has_unsent_output(stream: &TcpStream) -> bool {
    // Linux's SIOCOUTQNSD. It does not count sent but unacknowledged bytes, which arrive before any
    // reset.
    const UNSENT: Opcode = 0x894B;
    // SAFETY: for this request the kernel writes one int, which is the getter's type.
    let unsent = unsafe { rustix::ioctl::ioctl(stream, Getter::<UNSENT, c_int>::new()) };
    unsent.is_ok_and(|bytes| bytes > 0)
}

/// Reads and discards up to `bytes_max` bytes of input. Closing a connection with unread input
/// resets it, and the peer could lose the last answer. Returns false if the connection has ended,
/// or if there is more input than that.
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
