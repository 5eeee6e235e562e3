//! The clock, and timers. Whoever sets a timer ignores it once it is out of date; those that would
//! stand for long are cancelled, or many short requests with long deadlines would pile them up.

use routing::{AttemptNumber, Nanos, RequestId, TimerToken};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One millisecond.
pub const MS: Nanos = 1_000_000;

/// Unix time in nanoseconds that never goes back: the system's clock is read once, at the start.
pub struct Clock {
    started_at: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts now.
    #[must_use]
    pub fn start() -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: unix_time.as_nanos() as Nanos,
            start: Instant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.started_at + self.start.elapsed().as_nanos() as Nanos
    }
}

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimerKind {
    /// The engine set it.
    Engine(TimerToken),
    /// The timeout of an attempt.
    Attempt(RequestId, AttemptNumber),
    /// The timeout of a health check, by its number.
    HealthCheck(u64),
    /// The connect timeout of an upstream connection, by its number.
    Connect(u64),
    /// A response that has begun may have stalled, by its connection's number.
    ResponseStall(u64),
    /// The silence timeout of a discovery connection, by its number.
    Discovery(u64),
    /// Where lists are pushed, the next watch starts.
    Watch,
    /// Idle and stuck connections are looked for.
    ReapIdle,
    /// The other process of a hot restart is checked on.
    CheckOtherProcess,
    /// The lifecycle changes by time alone.
    Lifecycle,
    /// Gossip takes its turn.
    Gossip,
}

/// The place of a timer in the queue: its time, then the order in which timers were set.
type Position = (Nanos, u64);

/// All timers.
#[derive(Default)]
pub struct Timers {
    queue: BTreeMap<Position, TimerKind>,
    positions: HashMap<TimerKind, Position>,
    next_sequence: u64,
}

impl Timers {
    /// Sets a timer, or moves it if it is set.
    pub fn set(&mut self, at: Nanos, kind: TimerKind) {
        self.cancel(kind);
        self.next_sequence += 1;
        let position = (at, self.next_sequence);
        self.queue.insert(position, kind);
        self.positions.insert(kind, position);
    }

    /// Cancels a timer, if it is set.
    pub fn cancel(&mut self, kind: TimerKind) {
        if let Some(position) = self.positions.remove(&kind) {
            self.queue.remove(&position);
        }
    }

    /// Takes the next timer that has expired at `now`; among equals the one set first.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<TimerKind> {
        let next = self
            .queue
            .first_entry()
            .filter(|next| next.key().0 <= now)?;
        let kind = next.remove();
        self.positions.remove(&kind);
        Some(kind)
    }

    /// How long until the next timer expires.
    #[must_use]
    pub fn time_to_next(&self, now: Nanos) -> Option<Duration> {
        let (at, _) = self.queue.first_key_value()?.0;
        Some(Duration::from_nanos(at.saturating_sub(now)))
    }
}

#[cfg(test)]
mod tests;
