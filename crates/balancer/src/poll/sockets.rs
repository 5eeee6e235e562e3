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
pub fn has_unsent_output(stream: &TcpStream) -> bool {
    unsent_bytes(stream) > 0
}

/// Returns the number of bytes in the kernel's send buffer that it has not sent yet. Returns 0 if the
/// kernel can't report it.
#[must_use]
#[allow(unsafe_code)]
pub fn unsent_bytes(stream: &TcpStream) -> usize {
    // Linux's SIOCOUTQNSD. It does not count sent but unacknowledged bytes, which arrive before any
    // reset.
    const UNSENT: Opcode = 0x894B;
    // SAFETY: for this request the kernel writes one int, which is the getter's type.
    let unsent = unsafe { rustix::ioctl::ioctl(stream, Getter::<UNSENT, c_int>::new()) };
    unsent.map_or(0, |bytes| usize::try_from(bytes).unwrap_or(0))
}

/// Returns the number of bytes that the peer's kernel has not acknowledged, including the end of the
/// stream once the sending side is shut down. A reset would stop their transmission. Returns 0 if the
/// kernel can't report it.
#[must_use]
#[allow(unsafe_code)]
pub fn unacknowledged_bytes(stream: &TcpStream) -> usize {
    // Linux's SIOCOUTQ.
    const UNACKNOWLEDGED: Opcode = 0x5411;
    // SAFETY: for this request the kernel writes one int, which is the getter's type.
    let bytes = unsafe { rustix::ioctl::ioctl(stream, Getter::<UNACKNOWLEDGED, c_int>::new()) };
    bytes.map_or(0, |bytes| usize::try_from(bytes).unwrap_or(0))
}

/// Returns the number of bytes that have arrived and are unread. Returns 0 if the kernel can't report
/// it.
#[must_use]
pub fn unread_bytes(stream: &TcpStream) -> usize {
    let unread = rustix::io::ioctl_fionread(stream);
    unread.map_or(0, |bytes| usize::try_from(bytes).unwrap_or(usize::MAX))
}

/// What is left of a connection's input after a call of [`discard`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remaining {
    /// All input that has arrived is discarded.
    Nothing,
    /// More input may have arrived.
    Input,
    /// The peer has closed the connection, or it is broken.
    Ended,
}

/// Reads and discards up to `bytes_max` bytes of input. Closing a connection with unread input
/// resets it, and the peer could lose the last answer.
pub fn discard(mut stream: &TcpStream, bytes_max: usize) -> Remaining {
    let mut bytes = [0; 4096];
    for _ in 0..bytes_max / bytes.len() {
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Remaining::Nothing,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return Remaining::Ended,
        }
    }
    Remaining::Input
}

/// Discards input before a connection is closed. Returns whether the connection has to stay open: it
/// has not ended, and closing it could destroy output, or its input is discarded and the peer may
/// still close it first.
pub fn discard_before_close(stream: &TcpStream, bytes_max: usize) -> bool {
    match discard(stream, bytes_max) {
        Remaining::Nothing => true,
        Remaining::Input => unacknowledged_bytes(stream) > 0,
        Remaining::Ended => false,
    }
}

#[cfg(test)]
mod tests;
