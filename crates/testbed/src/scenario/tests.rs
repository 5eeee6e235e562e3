//! Tests of `scenario`.

use super::*;

const VALID: &str = "name='a'\nabout='b'\ninstances=8\n[[step]]\nat=4\ndo='cut'\nmembers='0,2-3'\nboth=true\nsettles='cut'\n[[step]]\nat=9.5\ndo='heal'\n";

#[test]
fn a_scenario_is_parsed_and_an_invalid_one_is_rejected_with_the_key() {
    let scenario = parse(VALID).unwrap();
    assert_eq!(
        parse_member_set(&scenario.steps[0].members, 8).unwrap(),
        [0, 2, 3]
    );
    assert_eq!(
        (scenario.steps[0].action, scenario.steps[1].action),
        (ScenarioAction::Cut, ScenarioAction::Heal)
    );
    for (from, to, message) in [
        (
            "at=9.5",
            "at=3",
            "step[1].at: is 3, expected the time of the previous step, 4, or later",
        ),
        (
            "'0,2-3'",
            "'x'",
            "step[0].members: \"x\" is not a set of members",
        ),
        (
            "both=true",
            "faults={drop=1.5}",
            "step[0].faults.drop: is 1.5, expected a fraction from 0 to 1",
        ),
    ] {
        let error = parse(&VALID.replace(from, to)).unwrap_err().to_string();
        assert!(error.starts_with(message), "{error}");
    }
    assert!(
        parse(&VALID.replace("'heal'", "'mend'"))
            .unwrap_err()
            .to_string()
            .contains("unknown variant `mend`")
    );
}

#[test]
fn member_sets_are_parsed_from_words_and_numbers() {
    assert_eq!(parse_member_set("last-quarter", 12).unwrap(), [9, 10, 11]);
    assert_eq!(parse_member_set("second-half", 5).unwrap(), [2, 3, 4]);
    assert_eq!(parse_member_set("1,7-9", 8).unwrap(), [1, 7]);
    assert!(parse_member_set("none", 8).unwrap().is_empty());
}
