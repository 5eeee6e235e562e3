//! Readiness of sockets: a wrapper around `polling` in which a socket is registered exactly as long
//! as its guard exists.
//!
//! This module and its child `sockets` contain all unsafe code of the workspace.

pub mod sockets;

use polling::{AsSource, Event, Events, PollMode, Poller};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The socket that a readiness event is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The client listener's socket.
    Listener,
    /// A client connection, by its number.
    Client(u64),
    /// An upstream connection, by its number.
    Upstream(u64),
    /// A connection to discovery, by its number.
    Discovery(u64),
    /// The signal pipe for starting a graceful shutdown.
    Shutdown,
    /// The signal pipe for printing the counters.
    PrintCounters,
    /// The signal pipe for reloading the configuration.
    Reload,
    /// The admin listener's socket.
    AdminListener,
    /// A connection to the admin listener, by its number.
    AdminConnection(u64),
    /// The gossip socket.
    Gossip,
}

impl EventSource {
    /// Number of kinds of sources. The key of a source is the number of its connection times this,
    /// plus the number of its kind.
    const KINDS: u64 = 10;

    fn key(self) -> usize {
        let (number, kind) = match self {
            EventSource::Listener => (0, 0),
            EventSource::Client(n) => (n, 1),
            EventSource::Upstream(n) => (n, 2),
            EventSource::Discovery(n) => (n, 3),
            EventSource::Shutdown => (0, 4),
            EventSource::PrintCounters => (0, 5),
            EventSource::Reload => (0, 6),
            EventSource::AdminListener => (0, 7),
            EventSource::AdminConnection(n) => (n, 8),
            EventSource::Gossip => (0, 9),
        };
        (number * Self::KINDS + kind) as usize
    }

    fn from_key(key: usize) -> Self {
        let number = key as u64 / Self::KINDS;
        match key as u64 % Self::KINDS {
            0 => EventSource::Listener,
            1 => EventSource::Client(number),
            2 => EventSource::Upstream(number),
            3 => EventSource::Discovery(number),
            4 => EventSource::Shutdown,
            5 => EventSource::PrintCounters,
            6 => EventSource::Reload,
            7 => EventSource::AdminListener,
            8 => EventSource::AdminConnection(number),
            _ => EventSource::Gossip,
        }
    }
}

/// Readiness of one socket. A socket with an error is reported as both readable and writable.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    /// Source of the event.
    pub source: EventSource,
    /// Whether the socket can be read, or its peer has closed.
    pub readable: bool,
    /// Whether the socket can be written, or has failed.
    pub writable: bool,
}

/// Kinds of readiness that a socket is registered for. Hang-ups and errors are always reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Report the socket when it can be read.
    pub readable: bool,
    /// Report the socket when it can be written.
    pub writable: bool,
}

impl Interest {
    /// Only hang-ups and errors.
    pub const NONE: Interest = Interest {
        readable: false,
        writable: false,
    };
    /// Readable sockets.
    pub const READABLE: Interest = Interest {
        readable: true,
        writable: false,
    };
    /// Writable sockets.
    pub const WRITABLE: Interest = Interest {
        readable: false,
        writable: true,
    };

    /// Returns the interest in reading and, if `has_unsent` output, in writing.
    #[must_use]
    pub fn readable_and(has_unsent: bool) -> Self {
        Interest {
            readable: true,
            writable: has_unsent,
        }
    }

    fn event(self, source: EventSource) -> Event {
        Event::new(source.key(), self.readable, self.writable)
    }
}

/// Outcome of a wait for ready sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// All sockets were checked.
    Completed,
    /// A signal interrupted the wait; the sockets may not have been checked.
    Interrupted,
}

/// The set of registered sockets.
#[derive(Clone)]
pub struct Poll {
    poller: Rc<Poller>,
}

impl Poll {
    /// Creates an empty set.
    ///
    /// # Errors
    /// If the kernel can't create the poller, for example for lack of descriptors.
    pub fn new() -> io::Result<Self> {
        Ok(Poll {
            poller: Rc::new(Poller::new()?),
        })
    }

    /// Registers a socket until the returned guard is dropped.
    ///
    /// # Errors
    /// If the kernel refuses the registration.
    #[allow(unsafe_code)]
    pub fn register<S: AsSource>(
        &self,
        socket: S,
        source: EventSource,
        interest: Interest,
    ) -> io::Result<Registered<S>> {
        // SAFETY: the socket must be removed from the poller before it is closed. `Registered`
        // takes ownership of the socket, never releases it, and removes it from the poller when
        // dropped, before the socket itself is dropped.
        unsafe {
            self.poller
                .add_with_mode(&socket.source(), interest.event(source), PollMode::Level)?;
        }
        Ok(Registered {
            socket,
            source,
            interest,
            poller: Rc::clone(&self.poller),
        })
    }

    /// Waits until a socket is ready or the timeout has passed, and appends all ready sockets to
    /// `ready`. The capacity of `events` exceeds the number of descriptors of a process, so that
    /// one wait reports every ready socket.
    ///
    /// # Errors
    /// If the wait fails for a reason other than a signal.
    pub fn wait(
        &self,
        events: &mut Events,
        timeout: Option<Duration>,
        ready: &mut Vec<Readiness>,
    ) -> io::Result<PollOutcome> {
        events.clear();
        match self.poller.wait(events, timeout) {
            Ok(_) => {}
            // The signal's pipe is reported as readable by the next poll.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {
                return Ok(PollOutcome::Interrupted);
            }
            Err(e) => return Err(e),
        }
        ready.extend(events.iter().map(|event| Readiness {
            source: EventSource::from_key(event.key),
            readable: event.readable,
            writable: event.writable,
        }));
        Ok(PollOutcome::Completed)
    }
}

/// Guard that owns a registered socket. Dropping the guard removes the registration.
pub struct Registered<S: AsSource> {
    socket: S,
    source: EventSource,
    interest: Interest,
    poller: Rc<Poller>,
}

impl<S: AsSource> Registered<S> {
    /// Returns the registered socket.
    #[must_use]
    pub fn socket(&self) -> &S {
        &self.socket
    }

    /// Changes the interest that the socket is registered with.
    ///
    /// # Errors
    /// If the kernel refuses the change.
    pub fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        if self.interest != interest {
            self.poller.modify_with_mode(
                &self.socket,
                interest.event(self.source),
                PollMode::Level,
            )?;
            self.interest = interest;
        }
        Ok(())
    }
}

impl<S: AsSource> Drop for Registered<S> {
    fn drop(&mut self) {
        // Fails only if the socket is not in the set, in which case nothing has to be removed.
        let _ = self.poller.delete(&self.socket);
    }
}
