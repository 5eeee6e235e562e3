//! How long the loop's turns take, and what it does once the process was held up between two looks at the sockets.

use super::EventLoop;
use crate::timers::MS;
use routing::Nanos;

/// A turn that takes longer is counted, and logged with the step that took most of it.
const TURN_LONG: Nanos = 20 * MS;
/// The most looks at the sockets that sending waits for lists that came while the process was held up: each reads 32 KiB,
/// all together half of the longest list.
const CATCH_UP_MOST: u32 = 64;

/// A step of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnStep {
    /// Calls of the operators.
    AdminCalls,
    /// What discovery tells.
    DiscoveryUpdates,
    /// Answers of caches, connections that come up, signals and new clients.
    Upstreams,
    /// What is due.
    Timers,
    /// Commands and ends of clients, and attempts that begin.
    Clients,
    /// What the module decides, and carrying it out.
    Decisions,
}

/// Measures turns by their steps.
#[derive(Debug)]
pub(super) struct TurnMeter {
    started_at: Nanos,
    /// The step at hand, and when it began.
    step: (TurnStep, Nanos),
    /// The longest step so far.
    longest: (TurnStep, Nanos),
}

impl TurnMeter {
    /// A turn begins.
    pub(super) fn start(now: Nanos) -> Self {
        TurnMeter {
            started_at: now,
            step: (TurnStep::AdminCalls, now),
            longest: (TurnStep::AdminCalls, 0),
        }
    }

    /// The next step begins.
    pub(super) fn step(&mut self, step: TurnStep, now: Nanos) {
        let took = now.saturating_sub(self.step.1);
        if took > self.longest.1 {
            self.longest = (self.step.0, took);
        }
        self.step = (step, now);
    }

    /// How long the turn has taken.
    pub(super) fn elapsed(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.started_at)
    }

    /// Its longest step, and how long that took.
    pub(super) fn longest(&self) -> (TurnStep, Nanos) {
        self.longest
    }
}

impl EventLoop {
    /// A wait for ready sockets began and returned then.
    pub(super) fn record_poll(&mut self, began: Nanos, returned: Nanos, looked: bool) {
        let held_up = self.poll_timestamps.waited(began, returned, looked);
        self.turn_meter = TurnMeter::start(returned);
        if held_up == 0 {
            return;
        }
        (self.catching_up, self.catch_up_polls_left) = (true, CATCH_UP_MOST);
        let ms = held_up / MS;
        self.counters.held_up += 1;
        self.counters.held_up_ms = self.counters.held_up_ms.max(ms);
        log::log!(
            level(self.counters.held_up),
            "held up for {ms} ms between two looks at the sockets"
        );
    }

    /// After a hold-up: whether all of the list that had come was taken in.
    pub(super) fn update_catch_up(&mut self) {
        self.catch_up_polls_left = self.catch_up_polls_left.saturating_sub(1);
        self.catching_up &= self.discovery.is_behind() && self.catch_up_polls_left > 0;
    }

    /// A turn is over.
    pub(super) fn end_turn(&mut self) {
        let now = self.clock.now();
        // Closes the last step.
        self.turn_meter.step(TurnStep::AdminCalls, now);
        let took = self.turn_meter.elapsed(now);
        self.counters.turn_longest_us = self.counters.turn_longest_us.max(took / 1_000);
        if took > TURN_LONG {
            self.counters.turns_long += 1;
            let (step, part) = self.turn_meter.longest();
            log::log!(
                level(self.counters.turns_long),
                "a turn took {} ms, {} of them for {step:?}",
                took / MS,
                part / MS
            );
        }
    }
}

/// The first, second, fourth and so on of such lines is seen; where a process is held up all the time, they are many.
fn level(count: u64) -> log::Level {
    if count.is_power_of_two() {
        log::Level::Warn
    } else {
        log::Level::Debug
    }
}

#[cfg(test)]
mod tests;
