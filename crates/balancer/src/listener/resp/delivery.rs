//! Delivery of responses by the kernel after they are written, and the end of closing connections.
//!
//! A socket that is closed over unread input is reset, and the kernel drops what it has not
//! delivered. A closing connection therefore stays open until the client's kernel has everything.

use super::connection::ClientConnection;
use crate::listener::CLOSE_TIMEOUT;
use crate::poll::sockets::{has_peer_closed, unacknowledged_bytes};
use crate::timers::MS;
use routing::Nanos;

/// Maximum time for which a client may read nothing while output for it is not delivered.
pub(super) const UNREAD_OUTPUT_TIMEOUT: Nanos = 10_000 * MS;
/// Maximum time between the shutdown of the sending side and the close, for a client that reads
/// slowly.
pub(super) const DELIVERY_MAX: Nanos = 60_000 * MS;

/// State of a connection whose sending side is shut down.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closing {
    /// Time at which the connection is closed unless the client closes it earlier.
    pub(super) close_by: Nanos,
    /// Latest time of the close.
    ends_at: Nanos,
}

impl Closing {
    pub(super) fn begin(now: Nanos) -> Self {
        Closing {
            close_by: now + CLOSE_TIMEOUT,
            ends_at: now + DELIVERY_MAX,
        }
    }
}

/// Delivery of the written output, as observed by the idle reaper.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Delivery {
    /// Number of bytes that the client's kernel had not acknowledged.
    undelivered: usize,
    /// Time at which bytes were last found delivered.
    progress_at: Nanos,
    /// Whether everything that was written had been delivered.
    is_complete: bool,
}

impl Delivery {
    /// Records that the socket has accepted further output.
    pub(super) fn record_write(&mut self) {
        self.is_complete = false;
    }
}

impl ClientConnection {
    /// Returns whether written output is not delivered. Records the progress since the last call, so
    /// that a client that reads slowly does not count as inactive.
    pub(super) fn has_undelivered_output(&mut self, now: Nanos) -> bool {
        if self.delivery.is_complete {
            return false;
        }
        // The end of the stream counts as a byte. Nothing is lost if it does not arrive.
        let end_length = usize::from(self.is_closing());
        let undelivered = unacknowledged_bytes(self.stream.socket()).saturating_sub(end_length);
        if undelivered < self.delivery.undelivered {
            self.delivery.progress_at = now;
            self.last_active = now;
        }
        self.delivery.undelivered = undelivered;
        self.delivery.is_complete = undelivered == 0;
        undelivered > 0
    }

    /// Returns whether the client has read nothing of its output for too long.
    pub(super) fn is_output_unread(&self, now: Nanos) -> bool {
        let progress_at = self.delivery.progress_at.max(self.last_active);
        now.saturating_sub(progress_at) > UNREAD_OUTPUT_TIMEOUT
    }

    /// Returns whether a closing connection has to be closed now. While output is delivered, the
    /// close is put off; afterwards the client has [`CLOSE_TIMEOUT`] to close the connection itself.
    pub(super) fn is_close_due(&mut self, now: Nanos) -> bool {
        let Some(mut closing) = self.closing else {
            return false;
        };
        if has_peer_closed(self.stream.socket()) || now >= closing.ends_at {
            return true;
        }
        if self.has_undelivered_output(now) && !self.is_output_unread(now) {
            closing.close_by = now + CLOSE_TIMEOUT;
            self.closing = Some(closing);
        }
        now >= closing.close_by
    }
}
