//! Signal handling: each signal writes to a pipe that the event loop polls.

use crate::poll::{EventSource, Interest, Poll, Registered};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// The read end of a pipe that becomes readable when one of its signals arrives.
pub(super) struct SignalPipe(Registered<UnixStream>);

impl SignalPipe {
    fn register(poll: &Poll, signals: &[i32], source: EventSource) -> io::Result<Self> {
        let (read, write) = UnixStream::pair()?;
        read.set_nonblocking(true)?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
        }
        Ok(SignalPipe(poll.register(
            read,
            source,
            Interest::READABLE,
        )?))
    }

    /// Empties the pipe, as several signals may have arrived since the last turn.
    pub(super) fn drain(&self) {
        let mut bytes = [0; 64];
        while matches!(self.0.socket().read(&mut bytes), Ok(count) if count > 0) {}
    }
}

/// The signals that the process handles.
pub(super) struct SignalPipes {
    /// Pipe of `SIGTERM` and `SIGINT`.
    pub(super) shutdown: SignalPipe,
    /// Pipe of `SIGUSR1`.
    pub(super) print_counters: SignalPipe,
    /// Pipe of `SIGHUP`.
    pub(super) reload: SignalPipe,
}

impl SignalPipes {
    pub(super) fn register(poll: &Poll) -> io::Result<Self> {
        Ok(SignalPipes {
            shutdown: SignalPipe::register(poll, &[SIGTERM, SIGINT], EventSource::Shutdown)?,
            print_counters: SignalPipe::register(poll, &[SIGUSR1], EventSource::PrintCounters)?,
            reload: SignalPipe::register(poll, &[SIGHUP], EventSource::Reload)?,
        })
    }
}
