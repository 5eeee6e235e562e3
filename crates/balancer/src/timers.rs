//! What is due when. Who gets a timer that is out of date ignores it; those that could stand for long are taken
//! back, or a day of many short requests with long deadlines would heap them up.

use routing::{AttemptNumber, Nanos, RequestId, TimerToken};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One millisecond.
pub const MS: Nanos = 1_000_000;

/// Unix time in nanoseconds that never goes back: the system's clock is read once, at the start.
pub struct Clock {
    unix: Nanos,
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix: unix.as_nanos() as Nanos,
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.unix + self.start.elapsed().as_nanos() as Nanos
    }
}

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TimerKind {
    /// The module wants to be woken.
    Engine(TimerToken),
    /// A try has had its time.
    Attempt(RequestId, AttemptNumber),
    /// A probe has had its time, by its number.
    HealthCheck(u64),
    /// A connection to a peer must be up by now, by its number.
    Connect(u64),
    /// An answer that has begun may have ended short, by its connection's number.
    ResponseStall(u64),
    /// A connection to discovery has been silent for long, by its number.
    Discovery(u64),
    /// The next watch begins where lists are pushed.
    Watch,
    /// Idle and stuck connections are looked for.
    ReapIdle,
    /// Look for the other process of an upgrade.
    CheckOtherProcess,
    /// The life cycle goes on by time alone.
    Lifecycle,
    /// The fleet's talk has its turn.
    Gossip,
}

/// All timers.
#[derive(Default)]
pub struct Timers {
    /// By time, then in the order in which they were set.
    queue: BTreeMap<(Nanos, u64), TimerKind>,
    positions: HashMap<TimerKind, (Nanos, u64)>,
    schedule: u64,
}

impl Timers {
    /// Sets a timer, or sets it anew.
    pub fn set(&mut self, at: Nanos, due: TimerKind) {
        self.cancel(due);
        self.schedule += 1;
        self.queue.insert((at, self.schedule), due);
        self.positions.insert(due, (at, self.schedule));
    }

    /// Takes a timer back, if it is still set.
    pub fn cancel(&mut self, due: TimerKind) {
        if let Some(place) = self.positions.remove(&due) {
            self.queue.remove(&place);
        }
    }

    /// The next one that is due at `now`; among equals the one set first.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<TimerKind> {
        let next = self
            .queue
            .first_entry()
            .filter(|next| next.key().0 <= now)?;
        let due = next.remove();
        self.positions.remove(&due);
        Some(due)
    }

    /// How long until the next one.
    pub fn time_to_next(&self, now: Nanos) -> Option<Duration> {
        let (at, _) = self.queue.first_key_value()?.0;
        Some(Duration::from_nanos(at.saturating_sub(now)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_come_when_due_and_in_order() {
        let mut timers = Timers::default();
        timers.set(20, TimerKind::ReapIdle);
        timers.set(10, TimerKind::Connect(1));
        timers.set(10, TimerKind::Connect(0));
        assert_eq!(timers.pop_expired(9), None);
        assert_eq!(timers.time_to_next(4), Some(Duration::from_nanos(6)));
        assert_eq!(
            [timers.pop_expired(10), timers.pop_expired(10)],
            [Some(TimerKind::Connect(1)), Some(TimerKind::Connect(0))]
        );
        assert_eq!(
            [timers.pop_expired(19), timers.pop_expired(30)],
            [None, Some(TimerKind::ReapIdle)]
        );
        timers.set(40, TimerKind::HealthCheck(1));
        timers.set(50, TimerKind::HealthCheck(2));
        timers.set(60, TimerKind::HealthCheck(1));
        timers.cancel(TimerKind::HealthCheck(2));
        assert_eq!(
            [
                timers.pop_expired(59),
                timers.pop_expired(60),
                timers.pop_expired(99)
            ],
            [None, Some(TimerKind::HealthCheck(1)), None]
        );
        assert!(timers.queue.is_empty() && timers.positions.is_empty());
    }
}
