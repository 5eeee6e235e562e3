//! Readiness of sockets: a wrapper round `polling` in which a socket is watched exactly as long as
//! its guard lives.
//!
//! This module and its child `sockets` hold all unsafe code of the workspace.

pub mod sockets;

use polling::{AsSource, Event, Events, PollMode, Poller};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The owner of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The socket on which clients connect.
    Listener,
    /// A client connection, by its number.
    Client(u64),
    /// An upstream connection, by its number.
    Upstream(u64),
    /// A connection to discovery, by its number.
    Discovery(u64),
    /// The signal pipe for a graceful shutdown.
    Stop,
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
    /// Keys carry the number of a connection, times this, plus the kind of the source.
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

    fn from_key(key: usize) -> Self {
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
    /// The owner of the socket.
    pub source: EventSource,
    /// It can be read, or has ended.
    pub readable: bool,
    /// It can be written, or has broken.
    pub writable: bool,
}

/// What a socket is watched for. Its end and its errors are reported in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interest {
    /// Report when it can be read.
    pub readable: bool,
    /// Report when it can be written.
    pub writable: bool,
}

impl Interest {
    /// Nothing but the end and errors.
    pub const NONE: Interest = Interest {
        readable: false,
        writable: false,
    };
    /// Input.
    pub const READABLE: Interest = Interest {
        readable: true,
        writable: false,
    };
    /// Space for output.
    pub const WRITABLE: Interest = Interest {
        readable: false,
        writable: true,
    };

    /// Input, and space for output as long as some is unsent.
    #[must_use]
    pub fn readable_and(unsent: bool) -> Self {
        Interest {
            readable: true,
            writable: unsent,
        }
    }

    fn event(self, source: EventSource) -> Event {
        Event::new(source.key(), self.readable, self.writable)
    }
}

/// Whether a wait saw the state of the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// All sockets were checked.
    Completed,
    /// A signal interrupted the wait before the sockets were checked.
    Interrupted,
}

/// The set of watched sockets.
#[derive(Clone)]
pub struct Poll {
    poller: Rc<Poller>,
}

impl Poll {
    /// Creates an empty set.
    ///
    /// # Errors
    /// If the kernel has no descriptor for it.
    pub fn new() -> io::Result<Self> {
        Ok(Poll {
            poller: Rc::new(Poller::new()?),
        })
    }

    /// Watches a socket until the returned guard is dropped.
    ///
    /// # Errors
    /// If the kernel refuses to watch it.
    #[allow(unsafe_code)]
    pub fn register<S: AsSource>(
        &self,
        socket: S,
        source: EventSource,
        interest: Interest,
    ) -> io::Result<Registered<S>> {
        // SAFETY: the socket must leave the poller before it is closed. It moves into `Registered`,
        // which owns it, never gives it away, and removes it from the poller when dropped, before
        // the socket itself is dropped.
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

    /// Waits until a socket is ready or the time is over, and appends what is ready. `events` has a
    /// capacity beyond the number of descriptors a process may have.
    ///
    /// # Errors
    /// If the wait fails for another reason than a signal.
    pub fn wait(
        &self,
        events: &mut Events,
        timeout: Option<Duration>,
        ready: &mut Vec<Readiness>,
    ) -> io::Result<PollOutcome> {
        events.clear();
        match self.poller.wait(events, timeout) {
            Ok(_) => {}
            // The signal's pipe is readable in the next turn.
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

/// A socket that is watched as long as this lives.
pub struct Registered<S: AsSource> {
    socket: S,
    source: EventSource,
    interest: Interest,
    poller: Rc<Poller>,
}

impl<S: AsSource> Registered<S> {
    /// The socket.
    #[must_use]
    pub fn socket(&self) -> &S {
        &self.socket
    }

    /// Changes what the socket is watched for.
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
        // It fails only for a socket that is not in the set; then there is nothing to remove.
        let _ = self.poller.delete(&self.socket);
    }
}
