//! What is due when. A timer is never taken back: who gets one that is out of date ignores it.

use finchyard::{AttemptNo, Nanos, RequestId, Token};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_nanos() as Nanos, start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.unix + self.start.elapsed().as_nanos() as Nanos
    }
}

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module wants to be woken.
    Module(Token),
    /// A try has had its time.
    Try(RequestId, AttemptNo),
    /// A probe has had its time, by its number.
    Probe(u64),
    /// A connection to a peer must be up by now, by its number.
    Connect(u64),
    /// A connection to discovery has been silent for long, by its number.
    Discovery(u64),
    /// Idle and stuck connections are looked for.
    Sweep,
    /// The last new client connection has been taken after a request to stop.
    StopAccepting,
}

/// All timers.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    set: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Nanos, due: Due) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, due)));
    }

    /// The next one that is due at `now`; among equals the one set first.
    pub fn pop(&mut self, now: Nanos) -> Option<Due> {
        let due = self.heap.peek().is_some_and(|Reverse((at, ..))| *at <= now);
        if due { self.heap.pop().map(|Reverse((.., due))| due) } else { None }
    }

    /// How long until the next one.
    pub fn wait(&self, now: Nanos) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, ..))| Duration::from_nanos(at.saturating_sub(now)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_come_when_due_and_in_order() {
        let mut timers = Timers::default();
        timers.set(20, Due::Sweep);
        timers.set(10, Due::Connect(1));
        timers.set(10, Due::Connect(0));
        assert_eq!(timers.pop(9), None);
        assert_eq!(timers.wait(4), Some(Duration::from_nanos(6)));
        assert_eq!([timers.pop(10), timers.pop(10)], [Some(Due::Connect(1)), Some(Due::Connect(0))]);
        assert_eq!([timers.pop(19), timers.pop(30)], [None, Some(Due::Sweep)]);
    }
}
