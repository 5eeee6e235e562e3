//! The clock and the timers of the event loop.
//!
//! The handler of an expired timer ignores it if the attempt, health check or connection that it was
//! set for has ended. Timers with long deadlines are cancelled at that end; otherwise those of many
//! short requests would accumulate.

use routing::{AttemptNumber, Nanos, RequestId, TimerToken};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One millisecond.
pub const MS: Nanos = 1_000_000;

/// Monotonic clock that returns Unix time in nanoseconds. The system's clock is read only once, at
/// the start.
pub struct Clock {
    started_at: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts the clock with the current Unix time.
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

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.started_at + self.start.elapsed().as_nanos() as Nanos
    }
}

/// Purpose of a timer. At most one timer of each value is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimerKind {
    /// A timer of the engine.
    Engine(TimerToken),
    /// Timeout of an attempt.
    Attempt(RequestId, AttemptNumber),
    /// Timeout of a health check, by its number.
    HealthCheck(u64),
    /// Connect timeout of an upstream connection, by its number.
    Connect(u64),
    /// Stall timeout of a response that has started to arrive, by the number of its connection.
    ResponseStall(u64),
    /// Silence timeout of a discovery connection, by its number.
    Discovery(u64),
    /// Start of the next watch, where lists are pushed.
    Watch,
    /// Next check of the requests whose ids are open at another process.
    RetryDeferred,
    /// Next check for idle and incomplete connections.
    ReapIdle,
    /// Next check for the other process of a hot restart.
    CheckOtherProcess,
    /// Next change of the lifecycle policy.
    Lifecycle,
    /// Next gossip tick.
    Gossip,
}

/// Position of a timer in the queue: its time, then a sequence number in the order of setting.
type Position = (Nanos, u64);

/// Queue of timers, ordered by time.
#[derive(Default)]
pub struct Timers {
    queue: BTreeMap<Position, TimerKind>,
    positions: HashMap<TimerKind, Position>,
    next_sequence: u64,
}

impl Timers {
    /// Sets a timer to expire at `at`, replacing an earlier setting.
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

    /// Removes and returns the earliest timer that has expired by `now`. Among timers of equal time
    /// the one set first comes first.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<TimerKind> {
        let next = self
            .queue
            .first_entry()
            .filter(|next| next.key().0 <= now)?;
        let kind = next.remove();
        self.positions.remove(&kind);
        Some(kind)
    }

    /// Returns the time until the next timer expires; `None` if no timer is set.
    #[must_use]
    pub fn time_to_next(&self, now: Nanos) -> Option<Duration> {
        let (at, _) = self.queue.first_key_value()?.0;
        Some(Duration::from_nanos(at.saturating_sub(now)))
    }
}

#[cfg(test)]
mod tests;
