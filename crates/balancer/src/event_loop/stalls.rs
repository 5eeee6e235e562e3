//! Detection of stalls: a long gap between two polls, or a long turn. After a stall, attempts are
//! held back until the discovery messages that arrived meanwhile are read.

use super::EventLoop;
use super::turn_meter::{StepTime, TurnMeter, TurnStep};
use crate::poll::PollOutcome;
use crate::timers::MS;
use routing::Nanos;

/// Duration above which a turn is counted, and logged with its longest step.
const LONG_TURN: Nanos = 20 * MS;
/// Maximum number of polls after a stall for which attempts are held back. Each poll reads 32 KiB
/// of discovery messages; all of them together read half of the longest list.
const CATCH_UP_POLLS: u32 = 64;

impl EventLoop {
    /// Records when a wait for ready sockets started and returned, counts and logs a stall, and
    /// starts measuring the next turn.
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
            "the event loop stalled for {ms} ms between two polls of its sockets"
        );
    }

    /// Returns whether discovery messages that arrived during a stall may still be unread.
    pub(super) fn is_catching_up(&self) -> bool {
        self.catch_up_polls_left > 0
    }

    /// Updates the number of polls for which attempts are held back, after a poll was processed.
    /// The hold ends as soon as no discovery message is pending.
    pub(super) fn update_catch_up(&mut self) {
        self.catch_up_polls_left = if self.discovery.has_unprocessed_data() {
            self.catch_up_polls_left.saturating_sub(1)
        } else {
            0
        };
    }

    /// Ends the measurement of a turn, and counts and logs the turn if it was long.
    pub(super) fn end_turn(&mut self) {
        let now = self.clock.now();
        // Starting another step ends the measurement of the last one.
        self.turn_meter.step(TurnStep::AdminCalls, now);
        let elapsed = self.turn_meter.elapsed(now);
        self.counters.longest_turn_us = self.counters.longest_turn_us.max(elapsed / 1_000);
        if elapsed > LONG_TURN {
            self.counters.long_turns += 1;
            let StepTime { step, time } = self.turn_meter.longest();
            log::log!(
                sampled_level(self.counters.long_turns),
                "a turn of the event loop took {} ms; its longest step took {} ms: {step:?}",
                elapsed / MS,
                time / MS
            );
        }
    }
}

/// Returns the log level of the `count`th line of its kind: `warn` for the first, second, fourth,
/// eighth and so on, `debug` for the others. An overloaded machine would log one in each turn.
fn sampled_level(count: u64) -> log::Level {
    if count.is_power_of_two() {
        log::Level::Warn
    } else {
        log::Level::Debug
    }
}
