//! Two processes of one balancer during an upgrade, without I/O: it is told what stands in the other's seat, and when.

use crate::timers::MS;
use routing::Nanos;
use serde::{Deserialize, Serialize};

/// How often a process looks whether the other lives.
const LOOK: Nanos = 100 * MS;
/// How often a newcomer looks for the notes that are due to it.
const LOOK_FOR_NOTES: Nanos = 10 * MS;
/// How long a newcomer waits for them.
const NOTES_WAIT: Nanos = 500 * MS;

/// The other process, as its seat tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherProcess {
    /// A name of its own for each start; empty as long as its seat can't be read.
    pub process: String,
    /// It is ready to serve.
    pub ready: bool,
}

/// What is to be done after a look.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HotRestartActions {
    /// Limits are to be split anew.
    pub split: bool,
    /// Notes are to be written for this process.
    pub write_notes_for: Option<String>,
    /// The notes that were waited for are due: read them, or go on without.
    pub go_on: bool,
}

/// What one process knows of the other.
#[derive(Debug)]
pub struct HotRestart {
    other: Option<OtherProcess>,
    /// Until when notes are waited for: only by who found another at its start.
    notes_until: Option<Nanos>,
    first: bool,
    /// The process that notes were last written for.
    served: Option<String>,
}

impl HotRestart {
    /// Nothing is seen yet.
    pub fn new() -> Self {
        HotRestart {
            other: None,
            notes_until: None,
            first: true,
            served: None,
        }
    }

    /// Takes in what stands in the other's seat, and whether notes for this process are there. Only who `serves` writes
    /// notes.
    pub fn look(
        &mut self,
        now: Nanos,
        other: Option<OtherProcess>,
        notes_there: bool,
        serves: bool,
    ) -> HotRestartActions {
        let mut todo = HotRestartActions {
            split: other.is_some() != self.other.is_some(),
            ..HotRestartActions::default()
        };
        // One whose seat can't be read yet may serve, or may be the newcomer: what it is to be told waits until it can.
        let unknown = other.as_ref().is_some_and(|o| o.process.is_empty());
        if std::mem::take(&mut self.first) && other.as_ref().is_some_and(|o| o.ready || unknown) {
            self.notes_until = Some(now + NOTES_WAIT);
        }
        self.other = other;
        if let Some(until) = self.notes_until
            && (notes_there || now >= until || self.other.is_none())
        {
            self.notes_until = None;
            todo.go_on = true;
        }
        if let Some(other) = self
            .other
            .as_ref()
            .filter(|o| serves && !o.ready && !unknown)
            && self.served.as_ref() != Some(&other.process)
        {
            self.served = Some(other.process.clone());
            todo.write_notes_for = self.served.clone();
        }
        todo
    }

    /// Another process lives beside this one.
    pub fn is_beside(&self) -> bool {
        self.other.is_some()
    }

    /// The other process takes clients.
    pub fn other_serves(&self) -> bool {
        self.other.as_ref().is_some_and(|o| o.ready)
    }

    /// Notes may still come; until then this process is not ready.
    pub fn waits(&self) -> bool {
        self.notes_until.is_some()
    }

    /// When to look again.
    pub fn next_look(&self) -> Nanos {
        if self.waits() { LOOK_FOR_NOTES } else { LOOK }
    }
}

#[cfg(test)]
mod tests;
