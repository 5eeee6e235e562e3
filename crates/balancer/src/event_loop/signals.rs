//! Signals as readable pipes.

use crate::poll::{EventSource, Interest, Poll, Registered};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// A pipe that is readable once one of its signals has come.
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

    /// Empties the pipe: several signals may have come.
    pub(super) fn drain(&self) {
        let mut bytes = [0; 64];
        while matches!(self.0.socket().read(&mut bytes), Ok(count) if count > 0) {}
    }
}

/// The signals that the process handles.
pub(super) struct SignalPipes {
    /// `SIGTERM` and `SIGINT`.
    pub(super) shutdown: SignalPipe,
    /// `SIGUSR1`.
    pub(super) print_counters: SignalPipe,
    /// `SIGHUP`.
    pub(super) reload: SignalPipe,
}

impl SignalPipes {
    pub(super) fn register(poll: &Poll) -> io::Result<Self> {
        Ok(SignalPipes {
            shutdown: SignalPipe::register(poll, &[SIGTERM, SIGINT], EventSource::Stop)?,
            print_counters: SignalPipe::register(poll, &[SIGUSR1], EventSource::PrintCounters)?,
            reload: SignalPipe::register(poll, &[SIGHUP], EventSource::Reload)?,
        })
    }
}
