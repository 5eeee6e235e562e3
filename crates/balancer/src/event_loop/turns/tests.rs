//! What a turn's figures say.

use super::*;

#[test]
fn a_turn_is_measured_from_its_beginning_and_named_by_its_longest_step() {
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
    assert_eq!(
        (turn.elapsed(45 * MS), turn.longest()),
        (40 * MS, (TurnStep::DiscoveryUpdates, 24 * MS))
    );
}
