//! The one wrapper round `polling`: sockets are watched as long as they live, and no longer.

use polling::{AsSource, Event, Events, PollMode, Poller};
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::ioctl::{Getter, Opcode};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::ffi::c_int;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::rc::Rc;
use std::time::Duration;

/// What a non-blocking connect answers while it is under way (Linux; std has no stable name for it).
const EINPROGRESS: i32 = 115;

/// Begins a connection without waiting for it: once the socket is writable, it is up or has failed.
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

/// The listening TCP socket that this process was started with under that number, or why it is none.
#[allow(unsafe_code)]
pub fn inherit_listener(number: RawFd) -> Result<TcpListener, String> {
    if number <= 2 {
        return Err("is a standard stream".into());
    }
    // SAFETY: the number is only looked at until it is known to be an open socket, and never closed by this.
    let looked_at = unsafe { BorrowedFd::borrow_raw(number) };
    let socket = SockRef::from(&looked_at);
    let kind = socket
        .r#type()
        .map_err(|e| format!("is no open socket: {e}"))?;
    if kind != Type::STREAM || !socket.is_listener().unwrap_or(false) {
        return Err("is no listening TCP socket".into());
    }
    socket
        .local_addr()
        .ok()
        .and_then(|a| a.as_socket())
        .ok_or("is no listening TCP socket")?;
    // SAFETY: it is open and listens, so it was given to this process by whoever started it: this is called once, before
    // the program listens anywhere itself, and nothing else here holds it.
    Ok(unsafe { TcpListener::from_raw_fd(number) })
}

/// Whether a connection stands and nothing waits to be read on it.
pub fn is_open_without_input(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether the other end sends nothing more, or has closed. Unlike a read this sees it past bytes that wait to be read.
pub fn has_peer_closed(stream: &TcpStream) -> bool {
    let mut one = [PollFd::new(stream, PollFlags::RDHUP)];
    matches!(rustix::event::poll(&mut one, Some(&Timespec::default())), Ok(ready) if ready > 0)
}

/// Whether something that was written still waits here because the other end takes no more for now. Closed then, a byte from there
/// would destroy it. Where the kernel can't tell, nothing waits.
#[allow(unsafe_code)]
pub fn has_unsent_output(stream: &TcpStream) -> bool {
    // Linux's SIOCOUTQNSD: bytes not sent yet. Those that were sent and not confirmed arrive before any reset.
    const UNSENT: Opcode = 0x894B;
    // SAFETY: the kernel writes one int for this request, and that is what the getter holds; it touches nothing else.
    let unsent = unsafe { rustix::ioctl::ioctl(stream, Getter::<UNSENT, c_int>::new()) };
    unsent.is_ok_and(|bytes| bytes > 0)
}

/// Takes what has come and will not be read, at most so much: closing over it would reset the connection, and who is at its
/// other end might lose the last answer. False once it has ended, or if it sends on and on.
pub fn discard(mut stream: &TcpStream, most: usize) -> bool {
    let mut bytes = [0; 4096];
    for _ in 0..most / bytes.len() {
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return false,
        }
    }
    false
}

/// Whose socket became ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The socket on which clients connect.
    Listener,
    /// A client connection, by its number.
    Client(u64),
    /// A connection to a peer, by its number.
    Upstream(u64),
    /// A connection to discovery, by its number.
    Discovery(u64),
    /// The request to stop.
    Stop,
    /// The request for the counters.
    PrintCounters,
    /// The request to read the configuration again.
    Reload,
    /// The socket on which the operators call.
    AdminListener,
    /// A connection of an operator's call, by its number.
    AdminConnection(u64),
    /// The socket of the fleet's talk.
    Gossip,
}

impl EventSource {
    const KINDS: u64 = 10;

    fn key(self) -> usize {
        let (number, kind) = match self {
            EventSource::Listener => (0, 0),
            EventSource::Client(n) => (n, 1),
            EventSource::Upstream(n) => (n, 2),
            EventSource::Discovery(n) => (n, 3),
            EventSource::Stop => (0, 4),
            EventSource::PrintCounters => (0, 5),
            EventSource::Reload => (0, 6),
            EventSource::AdminListener => (0, 7),
            EventSource::AdminConnection(n) => (n, 8),
            EventSource::Gossip => (0, 9),
        };
        (number * Self::KINDS + kind) as usize
    }

    fn of(key: usize) -> Self {
        let number = key as u64 / Self::KINDS;
        match key as u64 % Self::KINDS {
            0 => EventSource::Listener,
            1 => EventSource::Client(number),
            2 => EventSource::Upstream(number),
            3 => EventSource::Discovery(number),
            4 => EventSource::Stop,
            5 => EventSource::PrintCounters,
            6 => EventSource::Reload,
            7 => EventSource::AdminListener,
            8 => EventSource::AdminConnection(number),
            _ => EventSource::Gossip,
        }
    }
}

/// What one socket is ready for. A broken one is reported as ready for both.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    /// Whose socket.
    pub source: EventSource,
    /// It can be read, or has ended.
    pub readable: bool,
    /// It can be written, or has broken.
    pub writable: bool,
}

/// The set of watched sockets.
#[derive(Clone)]
pub struct Poll {
    poller: Rc<Poller>,
}

impl Poll {
    /// An empty set.
    pub fn new() -> io::Result<Self> {
        Ok(Poll {
            poller: Rc::new(Poller::new()?),
        })
    }

    /// Watches a socket until the returned guard is dropped.
    #[allow(unsafe_code)]
    pub fn watch<S: AsSource>(
        &self,
        socket: S,
        source: EventSource,
        readable: bool,
        writable: bool,
    ) -> io::Result<Registered<S>> {
        let interest = Event::new(source.key(), readable, writable);
        // SAFETY: the socket must leave the poller before it is closed. It moves into `Registered`, which owns it,
        // never lets it out, and removes it from the poller when dropped, before the socket itself is dropped.
        unsafe {
            self.poller
                .add_with_mode(&socket.source(), interest, PollMode::Level)?;
        }
        Ok(Registered {
            socket,
            source,
            interest: (readable, writable),
            poller: Rc::clone(&self.poller),
        })
    }

    /// Waits until a socket is ready or the time is over, and appends what is ready. False if a signal came in between: then
    /// the sockets were not looked at. `events` has room for more than a process may have descriptors.
    pub fn wait(
        &self,
        events: &mut Events,
        timeout: Option<Duration>,
        ready: &mut Vec<Readiness>,
    ) -> io::Result<bool> {
        events.clear();
        match self.poller.wait(events, timeout) {
            Ok(_) => {}
            // A signal came in; its pipe is ready at the next turn.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(false),
            Err(e) => return Err(e),
        }
        ready.extend(events.iter().map(|e| Readiness {
            source: EventSource::of(e.key),
            readable: e.readable,
            writable: e.writable,
        }));
        Ok(true)
    }
}

/// A socket that is watched as long as this lives.
pub struct Registered<S: AsSource> {
    socket: S,
    source: EventSource,
    interest: (bool, bool),
    poller: Rc<Poller>,
}

impl<S: AsSource> Registered<S> {
    /// The socket.
    pub fn socket(&self) -> &S {
        &self.socket
    }

    /// Changes what the socket is watched for.
    pub fn interest(&mut self, readable: bool, writable: bool) -> io::Result<()> {
        if self.interest != (readable, writable) {
            let event = Event::new(self.source.key(), readable, writable);
            self.poller
                .modify_with_mode(&self.socket, event, PollMode::Level)?;
            self.interest = (readable, writable);
        }
        Ok(())
    }
}

impl<S: AsSource> Drop for Registered<S> {
    fn drop(&mut self) {
        // It fails only for a socket that is not in the set; then there is nothing to take out.
        let _ = self.poller.delete(&self.socket);
    }
}

#[cfg(test)]
mod tests;
