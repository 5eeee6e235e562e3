//! The two processes of one balancer during a hot restart, without I/O: fed with what the other's
//! process slot says, and when.

use crate::timers::MS;
use routing::Nanos;
use serde::{Deserialize, Serialize};

/// How often a process checks on the other one.
const CHECK_INTERVAL: Nanos = 100 * MS;
/// How often a new process checks for the state transfer that it awaits.
const TRANSFER_CHECK_INTERVAL: Nanos = 10 * MS;
/// How long a new process awaits it.
const TRANSFER_TIMEOUT: Nanos = 500 * MS;

/// The other process, as its slot describes it. The fields are the keys in the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherProcess {
    /// A name of its own for each start; empty as long as its slot can't be read.
    pub process: String,
    /// It is ready to serve.
    pub ready: bool,
}

impl OtherProcess {
    /// A process that holds a slot which can't be read yet.
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

/// What a check on the other process found.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The other process, if one lives.
    pub other: Option<OtherProcess>,
    /// A state transfer is there, which may be for this process.
    pub has_transfer: bool,
    /// This process serves clients.
    pub is_serving: bool,
}

/// What is to be done after a check.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HotRestartActions {
    /// The limits are to be divided anew.
    pub apply_limits: bool,
    /// State is to be written for this process.
    pub write_state_for: Option<String>,
    /// The state that was awaited is to be read, if it is there.
    pub read_state: bool,
}

/// What one process knows of the other.
#[derive(Debug)]
pub struct HotRestart {
    other: Option<OtherProcess>,
    /// Until when state is awaited: only by a process that found another one at its start.
    transfer_deadline: Option<Nanos>,
    is_first_check: bool,
    /// The process that state was last written for.
    last_recipient: Option<String>,
}

impl HotRestart {
    /// A process that has not checked yet.
    #[must_use]
    pub fn new() -> Self {
        HotRestart {
            other: None,
            transfer_deadline: None,
            is_first_check: true,
            last_recipient: None,
        }
    }

    /// Decides what follows from a check on the other process.
    pub fn observe(&mut self, now: Nanos, observation: Observation) -> HotRestartActions {
        let Observation {
            other,
            has_transfer,
            is_serving,
        } = observation;
        let apply_limits = other.is_some() != self.other.is_some();
        // One whose slot can't be read may serve, or may be the new process; state for it waits
        // until that is known.
        let may_serve = |other: &OtherProcess| other.ready || other.is_unknown();
        if std::mem::take(&mut self.is_first_check) && other.as_ref().is_some_and(may_serve) {
            self.transfer_deadline = Some(now + TRANSFER_TIMEOUT);
        }
        self.other = other;
        HotRestartActions {
            apply_limits,
            read_state: self.ends_waiting(now, has_transfer),
            write_state_for: is_serving.then(|| self.next_recipient()).flatten(),
        }
    }

    /// Whether the awaited state is there, overdue, or will not come.
    fn ends_waiting(&mut self, now: Nanos, has_transfer: bool) -> bool {
        let Some(deadline) = self.transfer_deadline else {
            return false;
        };
        let is_over = has_transfer || now >= deadline || self.other.is_none();
        if is_over {
            self.transfer_deadline = None;
        }
        is_over
    }

    /// The new process that state is to be written for: once for each.
    fn next_recipient(&mut self) -> Option<String> {
        let is_new = |other: &&OtherProcess| !other.ready && !other.is_unknown();
        let recipient = &self.other.as_ref().filter(is_new)?.process;
        if self.last_recipient.as_ref() == Some(recipient) {
            return None;
        }
        self.last_recipient = Some(recipient.clone());
        self.last_recipient.clone()
    }

    /// Another process lives beside this one.
    #[must_use]
    pub fn has_other(&self) -> bool {
        self.other.is_some()
    }

    /// The other process serves clients.
    #[must_use]
    pub fn other_serves(&self) -> bool {
        self.other.as_ref().is_some_and(|other| other.ready)
    }

    /// State may still come; until then this process is not ready.
    #[must_use]
    pub fn awaits_state(&self) -> bool {
        self.transfer_deadline.is_some()
    }

    /// How long until the next check.
    #[must_use]
    pub fn check_interval(&self) -> Nanos {
        if self.awaits_state() {
            TRANSFER_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        }
    }
}

#[cfg(test)]
mod tests;
