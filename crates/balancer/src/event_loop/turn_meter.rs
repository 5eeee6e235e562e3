//! How long the turns of the event loop take, and which step of a turn takes longest.

use routing::Nanos;

/// A step of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnStep {
    /// Admin calls.
    AdminCalls,
    /// Messages of discovery.
    DiscoveryUpdates,
    /// Upstream connections, signals and new clients.
    Upstreams,
    /// Expired timers.
    Timers,
    /// Commands and disconnects of clients, and attempts that start.
    Clients,
    /// Decisions of the engine, and their execution.
    Decisions,
}

/// A step with a time: when it started, or how long it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StepTime {
    pub(super) step: TurnStep,
    pub(super) time: Nanos,
}

/// Measures a turn by its steps.
#[derive(Debug)]
pub(super) struct TurnMeter {
    started_at: Nanos,
    /// The current step, and when it started.
    current: StepTime,
    /// The longest step so far, and how long it took.
    longest: StepTime,
}

impl TurnMeter {
    /// Starts a turn.
    pub(super) fn start(now: Nanos) -> Self {
        let step = TurnStep::AdminCalls;
        TurnMeter {
            started_at: now,
            current: StepTime { step, time: now },
            longest: StepTime { step, time: 0 },
        }
    }

    /// Ends the current step and starts the next.
    pub(super) fn step(&mut self, step: TurnStep, now: Nanos) {
        let duration = now.saturating_sub(self.current.time);
        if duration > self.longest.time {
            self.longest = StepTime {
                step: self.current.step,
                time: duration,
            };
        }
        self.current = StepTime { step, time: now };
    }

    /// How long the turn has taken.
    pub(super) fn elapsed(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.started_at)
    }

    /// The longest step, and how long it took.
    pub(super) fn longest(&self) -> StepTime {
        self.longest
    }
}

#[cfg(test)]
mod tests;
