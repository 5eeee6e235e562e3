//! Measurement of a turn and its steps.

use super::*;
use crate::timers::MS;

#[test]
fn turn_is_measured_from_its_start_and_reports_its_longest_step() {
    let mut turn = TurnMeter::start(5 * MS);
    for (step, ms) in [
        (TurnStep::DiscoveryUpdates, 6),
        (TurnStep::Upstreams, 30),
        (TurnStep::Clients, 31),
        (TurnStep::Decisions, 40),
    ] {
        turn.step(step, ms * MS);
    }
    turn.step(TurnStep::AdminCalls, 45 * MS);
    let longest = StepTime {
        step: TurnStep::DiscoveryUpdates,
        time: 24 * MS,
    };
    assert_eq!((turn.elapsed(45 * MS), turn.longest()), (40 * MS, longest));
}
