//! What a turn's figures say.

use super::*;

#[test]
fn a_turn_is_measured_from_its_beginning_and_named_by_its_longest_step() {
    let mut turn = TurnMeter::start(5 * MS);
    for (step, ms) in [
        (TurnStep::Lists, 6),
        (TurnStep::UpstreamPool, 30),
        (TurnStep::Clients, 31),
        (TurnStep::Decisions, 40),
    ] {
        turn.step(step, ms * MS);
    }
    turn.step(TurnStep::Operators, 45 * MS);
    assert_eq!(
        (turn.took(45 * MS), turn.longest()),
        (40 * MS, (TurnStep::Lists, 24 * MS))
    );
}
