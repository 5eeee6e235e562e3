//! Stalls of the process: a long gap between two polls, or a long turn. After a stall attempts wait
//! until the discovery messages that came meanwhile are read.

use super::EventLoop;
use super::turn_meter::{StepTime, TurnMeter, TurnStep};
use crate::poll::PollOutcome;
use crate::timers::MS;
use routing::Nanos;

/// A longer turn is counted, and logged with its longest step.
const LONG_TURN: Nanos = 20 * MS;
/// For how many polls after a stall attempts wait for discovery messages. Each poll reads 32 KiB,
/// all together half of the longest list.
const CATCH_UP_POLLS: u32 = 64;

impl EventLoop {
    /// Records when a wait for ready sockets started and returned; a new turn starts then.
    pub(super) fn record_poll(
        &mut self,
        started_at: Nanos,
        returned_at: Nanos,
        outcome: PollOutcome,
    ) {
        let stalled_for = self
            .poll_timestamps
            .record_poll(started_at, returned_at, outcome);
        self.turn_meter = TurnMeter::start(returned_at);
        if stalled_for == 0 {
            return;
        }
        self.catch_up_polls_left = CATCH_UP_POLLS;
        let ms = stalled_for / MS;
        self.counters.stalls += 1;
        self.counters.longest_stall_ms = self.counters.longest_stall_ms.max(ms);
        log::log!(
            sampled_level(self.counters.stalls),
            "stalled for {ms} ms between two polls of the sockets"
        );
    }

    /// Whether the process stalled, and discovery messages that came meanwhile may be unread.
    pub(super) fn is_catching_up(&self) -> bool {
        self.catch_up_polls_left > 0
    }

    /// A poll was processed: the wait ends early once no more of a discovery message is pending.
    pub(super) fn update_catch_up(&mut self) {
        self.catch_up_polls_left = if self.discovery.has_unprocessed_data() {
            self.catch_up_polls_left.saturating_sub(1)
        } else {
            0
        };
    }

    /// Ends a turn, and logs it if it was long.
    pub(super) fn end_turn(&mut self) {
        let now = self.clock.now();
        // Ends the last step.
        self.turn_meter.step(TurnStep::AdminCalls, now);
        let elapsed = self.turn_meter.elapsed(now);
        self.counters.longest_turn_us = self.counters.longest_turn_us.max(elapsed / 1_000);
        if elapsed > LONG_TURN {
            self.counters.long_turns += 1;
            let StepTime { step, time } = self.turn_meter.longest();
            log::log!(
                sampled_level(self.counters.long_turns),
                "a turn took {} ms, {} of them for {step:?}",
                elapsed / MS,
                time / MS
            );
        }
    }
}

/// Shows the first, second, fourth and so on of such lines: a machine without spare time would
/// log one in each turn.
fn sampled_level(count: u64) -> log::Level {
    if count.is_power_of_two() {
        log::Level::Warn
    } else {
        log::Level::Debug
    }
}
