//! Coordination of the two processes of one balancer during a hot restart.
//!
//! This module does no I/O: the caller passes the content of the other process's slot with the time
//! of each check.

use crate::timers::MS;
use routing::Nanos;
use serde::{Deserialize, Serialize};

/// Interval between checks for the other process.
const CHECK_INTERVAL: Nanos = 100 * MS;
/// Interval between checks of a new process while it awaits the other one.
const TRANSFER_CHECK_INTERVAL: Nanos = 10 * MS;
/// Maximum time that a new process waits for a state transfer.
const TRANSFER_TIMEOUT: Nanos = 500 * MS;
/// Time in which a running process notices a new one and locks the ids of its open requests.
const NOTICE_TIME: Nanos = 2 * CHECK_INTERVAL;
/// Time for which ids are shared after the other process was last seen. A third process may be running
/// that takes the free slot at its next check.
const ID_SHARING_LINGER: Nanos = 1_000 * MS;

/// The other process, as described by its slot file. The field names are the keys in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherProcess {
    /// Name of the process, different for each start; empty while its slot can't be read.
    pub process: String,
    /// Whether the process is ready to serve.
    pub ready: bool,
}

impl OtherProcess {
    /// Returns the description of a process that holds a slot but has not written it yet.
    #[must_use]
    pub fn unknown() -> Self {
        OtherProcess {
            process: String::new(),
            ready: false,
        }
    }

    fn is_unknown(&self) -> bool {
        self.process.is_empty()
    }
}

/// Result of a check for the other process.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The other process, if one is running.
    pub other: Option<OtherProcess>,
    /// Whether a state transfer file exists. Its recipient is known only once it is read.
    pub has_transfer: bool,
    /// Whether this process serves clients.
    pub is_serving: bool,
}

/// Actions to be executed after a check.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HotRestartActions {
    /// The limits must be applied again, as the other process appeared or disappeared.
    pub apply_limits: bool,
    /// State must be written for the process of this name.
    pub write_state_for: Option<String>,
    /// The wait for a state transfer is over; the transfer must be read, if there is one.
    pub read_state: bool,
}

/// State of one process in a hot restart.
#[derive(Debug)]
pub struct HotRestart {
    other: Option<OtherProcess>,
    /// Time until which a state transfer is awaited; `None` if none is awaited. Only a process that
    /// finds a serving process at its start awaits one.
    transfer_deadline: Option<Nanos>,
    /// Time until which a new process leaves a process that writes no state time to notice it.
    notice_until: Option<Nanos>,
    /// Time at which another process was last seen.
    other_seen_at: Option<Nanos>,
    is_first_check: bool,
    /// Process that state was last written for.
    last_recipient: Option<String>,
}

impl HotRestart {
    /// Creates the state of a process that has not checked for another one yet.
    #[must_use]
    pub fn new() -> Self {
        HotRestart {
            other: None,
            transfer_deadline: None,
            notice_until: None,
            other_seen_at: None,
            is_first_check: true,
            last_recipient: None,
        }
    }

    /// Records the result of a check and returns the actions that follow from it.
    pub fn observe(&mut self, now: Nanos, observation: Observation) -> HotRestartActions {
        let Observation {
            other,
            has_transfer,
            is_serving,
        } = observation;
        let apply_limits = other.is_some() != self.other.is_some();
        // A process whose slot can't be read yet may be serving, or may be a new process. State is
        // awaited from it, but is written for it only once its slot can be read.
        let may_serve = |other: &OtherProcess| other.ready || other.is_unknown();
        if std::mem::take(&mut self.is_first_check)
            && let Some(other) = &other
        {
            if may_serve(other) {
                self.transfer_deadline = Some(now + TRANSFER_TIMEOUT);
            } else {
                self.notice_until = Some(now + NOTICE_TIME);
            }
        }
        self.notice_until = self
            .notice_until
            .filter(|until| now < *until && other.is_some());
        if other.is_some() {
            self.other_seen_at = Some(now);
        }
        self.other = other;
        HotRestartActions {
            apply_limits,
            read_state: self.end_transfer_wait(now, has_transfer),
            write_state_for: is_serving.then(|| self.next_recipient()).flatten(),
        }
    }

    /// Ends the wait for a state transfer if the transfer has arrived, is overdue, or its sender has
    /// died. Returns whether a wait ended now.
    fn end_transfer_wait(&mut self, now: Nanos, has_transfer: bool) -> bool {
        let Some(deadline) = self.transfer_deadline else {
            return false;
        };
        let is_over = has_transfer || now >= deadline || self.other.is_none();
        if is_over {
            self.transfer_deadline = None;
        }
        is_over
    }

    /// Returns the name of the other process if it is new and state must be written for it. Each
    /// process is returned once.
    fn next_recipient(&mut self) -> Option<String> {
        let is_new = |other: &&OtherProcess| !other.ready && !other.is_unknown();
        let recipient = &self.other.as_ref().filter(is_new)?.process;
        if self.last_recipient.as_ref() == Some(recipient) {
            return None;
        }
        self.last_recipient = Some(recipient.clone());
        self.last_recipient.clone()
    }

    /// Returns whether another process of this balancer is running.
    #[must_use]
    pub fn has_other(&self) -> bool {
        self.other.is_some()
    }

    /// Returns whether the other process serves clients.
    #[must_use]
    pub fn other_process_serves(&self) -> bool {
        self.other.as_ref().is_some_and(|other| other.ready)
    }

    /// Returns whether a state transfer is awaited.
    #[must_use]
    pub fn awaits_state(&self) -> bool {
        self.transfer_deadline.is_some()
    }

    /// Returns whether the other process is given time to transfer its state, or to notice this
    /// process; meanwhile this process is not ready.
    #[must_use]
    pub fn awaits_other(&self) -> bool {
        self.awaits_state() || self.notice_until.is_some()
    }

    /// Returns whether the ids of open requests are shared with other processes.
    #[must_use]
    pub fn shares_ids(&self, now: Nanos) -> bool {
        let seen_at = self.other_seen_at;
        seen_at.is_some_and(|seen_at| now < seen_at + ID_SHARING_LINGER)
    }

    /// Returns the time until the next check.
    #[must_use]
    pub fn check_interval(&self) -> Nanos {
        if self.awaits_other() {
            TRANSFER_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        }
    }
}

#[cfg(test)]
mod tests;
