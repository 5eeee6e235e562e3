//! What the simulated services of a soak recorded, in nanoseconds since its beginning.
//!
//! Where something can have come earlier than it was read, the record has the earliest time: that
//! of the look before. What the trial itself delays is allowed for by that, and by nothing else.

use serde::Serialize;

/// Nanoseconds since the beginning of the soak.
pub type Nanos = u64;

/// One millisecond.
pub const MS: Nanos = 1_000_000;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RequestKind {
    /// It may be repeated.
    Safe,
    /// It may be repeated within a window.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

impl RequestKind {
    /// All of them, as classes of the settings, by name and `repeat`.
    pub const CLASSES: [(RequestKind, &'static str, &'static str); 3] = [
        (RequestKind::Safe, "read", "safe"),
        (RequestKind::Keyed, "put", "keyed"),
        (RequestKind::Unsafe, "once", "unsafe"),
    ];

    /// The name of its class.
    #[must_use]
    pub fn class(self) -> &'static str {
        Self::CLASSES[self as usize].1
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum RequestEnd {
    /// A value or receipt that a cache made for it.
    Served,
    /// `-BUSY`.
    Refused,
    /// Any other answer.
    Failed,
    /// A value that was made for another request.
    Wrong,
    /// The balancer ended the connection before, having read all that was written.
    Closed,
    /// The connection was reset before.
    Reset,
    /// The client left before.
    Left,
    /// Nothing came until the client gave up waiting, long after its time.
    Never,
}

/// A request as its client saw it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Which balancer, and which of its processes.
    pub balancer: usize,
    /// See `balancer`.
    #[serde(rename = "life")]
    pub generation: usize,
    /// What a repeat may do.
    #[serde(rename = "effect")]
    pub kind: RequestKind,
    /// When its last byte had been written.
    pub sent: Nanos,
    /// When the answer before it on its connection had come, if it was sent behind another: until
    /// then its time stands.
    #[serde(rename = "behind")]
    pub previous_answered: Nanos,
    /// Nothing had been answered on its connection before.
    #[serde(rename = "fresh")]
    pub first_on_connection: bool,
    /// How long its client waits.
    #[serde(rename = "patience")]
    pub timeout: Nanos,
    /// When its client had closed, if it left.
    pub closed: Option<Nanos>,
    /// How it ended, and the earliest time at which that came.
    pub end: RequestEnd,
    /// See `end`.
    pub ended: Nanos,
}

impl RequestRecord {
    /// From when its time counts.
    #[must_use]
    pub fn since(&self) -> Nanos {
        self.sent.max(self.previous_answered)
    }

    /// When its time is over.
    #[must_use]
    pub fn deadline(&self) -> Nanos {
        self.since() + self.timeout
    }
}

/// What a cache made of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AttemptEnd {
    /// Nothing was answered.
    Open,
    /// It was rejected: it never ran.
    TurnedAway,
    /// It ran, whatever came back of it.
    Ran,
}

/// An attempt as a cache saw it.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptRecord {
    /// The request's id.
    pub id: String,
    /// Which listener it came to.
    pub listener: usize,
    /// The earliest time at which its first byte can have come.
    pub began: Nanos,
    /// When its last byte had come.
    #[serde(rename = "whole")]
    pub received: Nanos,
    /// The time that it was given, in milliseconds.
    #[serde(rename = "told_ms")]
    pub deadline_ms: u64,
    /// What was made of it.
    pub end: AttemptEnd,
    /// When its answer was written, or its connection was found to have ended.
    pub over: Option<Nanos>,
}

/// A change of the list, and when discovery had it.
#[derive(Clone, Debug, Serialize)]
pub struct ListChange {
    /// The version that it made.
    pub version: u64,
    /// When.
    pub at: Nanos,
    /// Which caches, by number.
    pub caches: Vec<usize>,
    /// What they are from then on.
    pub state: CacheState,
}

/// What the list says of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum CacheState {
    /// At work; started at this Unix time in milliseconds, or long ago.
    Up {
        /// See there.
        born_ms: u64,
    },
    /// It wants nothing new.
    Draining,
    /// It is gone.
    Gone,
}

/// A version that discovery had written to a balancer.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Notification {
    /// Which balancer.
    pub balancer: usize,
    /// Up to which version.
    pub version: u64,
    /// When.
    pub at: Nanos,
}

/// A time in which something was so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TimeSpan {
    /// From then on.
    pub from: Nanos,
    /// Until then.
    pub to: Nanos,
}

impl TimeSpan {
    /// How much of it lies in another.
    #[must_use]
    pub fn within(&self, from: Nanos, to: Nanos) -> Nanos {
        self.to.min(to).saturating_sub(self.from.max(from))
    }
}

/// One process of a balancer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProcessRecord {
    /// When it was started.
    pub started: Nanos,
    /// When it first answered `PING` with a yes.
    pub ready: Option<Nanos>,
    /// When it was asked to end.
    pub asked_to_end: Option<Nanos>,
    /// When it was killed, asked to end before or not.
    pub killed: Option<Nanos>,
    /// When it was found to have ended by itself, and whether as it should.
    pub ended: Option<(Nanos, bool)>,
}

/// All that was seen.
#[derive(Debug, Default, Serialize)]
pub struct Records {
    /// Requests.
    #[serde(rename = "asked")]
    pub requests: Vec<RequestRecord>,
    /// Attempts.
    pub attempts: Vec<AttemptRecord>,
    /// Changes of the list.
    pub changes: Vec<ListChange>,
    /// What discovery wrote.
    #[serde(rename = "told")]
    pub notifications: Vec<Notification>,
    /// When discovery could not be reached.
    #[serde(rename = "down")]
    pub discovery_outages: Vec<TimeSpan>,
    /// By balancer: when it was stalled.
    #[serde(rename = "stops")]
    pub stalls: Vec<Vec<TimeSpan>>,
    /// By balancer: its processes.
    #[serde(rename = "lives")]
    pub processes: Vec<Vec<ProcessRecord>>,
    /// What happened, for the reader.
    pub events: Vec<(Nanos, String)>,
}
