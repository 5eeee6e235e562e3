//! Measures how long a turn of the event loop takes, and which of its steps takes longest.

use routing::Nanos;

/// A step of a turn. The variant names appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnStep {
    /// Processing of admin calls.
    AdminCalls,
    /// Processing of discovery messages.
    DiscoveryUpdates,
    /// Processing of upstream connections, signals, gossip and new clients.
    Upstreams,
    /// Processing of expired timers.
    Timers,
    /// Processing of client commands and disconnects, and writing of connected attempts.
    Clients,
    /// Decisions of the engine and execution of its actions.
    Decisions,
}

/// A step with its start time or its duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StepTime {
    pub(super) step: TurnStep,
    pub(super) time: Nanos,
}

/// Time measurement of one turn and its steps.
#[derive(Debug)]
pub(super) struct TurnMeter {
    started_at: Nanos,
    /// Current step with its start time.
    current: StepTime,
    /// Longest completed step with its duration.
    longest: StepTime,
}

impl TurnMeter {
    /// Starts the measurement of a turn at `now`, in its first step.
    pub(super) fn start(now: Nanos) -> Self {
        let step = TurnStep::AdminCalls;
        TurnMeter {
            started_at: now,
            current: StepTime { step, time: now },
            longest: StepTime { step, time: 0 },
        }
    }

    /// Ends the current step and starts `step`.
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

    /// Returns the time since the start of the turn.
    pub(super) fn elapsed(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.started_at)
    }

    /// Returns the longest completed step with its duration.
    pub(super) fn longest(&self) -> StepTime {
        self.longest
    }
}

#[cfg(test)]
mod tests;
