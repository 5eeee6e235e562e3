//! Tests of `scenario`.

use super::*;

const GOOD: &str = "name='a'\nabout='b'\ninstances=8\n[[step]]\nat=4\ndo='cut'\nmembers='0,2-3'\nboth=true\nsettles='cut'\n[[step]]\nat=9.5\ndo='heal'\n";

#[test]
fn a_scenario_is_parsed_and_a_faulty_one_rejected_by_name() {
    let scenario = read(GOOD).unwrap();
    assert_eq!(members(&scenario.steps[0].members, 8).unwrap(), [0, 2, 3]);
    assert_eq!(
        (scenario.steps[0].act, scenario.steps[1].act),
        (ScenarioAction::Cut, ScenarioAction::Heal)
    );
    for (from, to, message) in [
        (
            "at=9.5",
            "at=3",
            "step[1].at: 3 comes before the step above, at 4",
        ),
        ("'0,2-3'", "'x'", "step[0].members: \"x\" is no member"),
        (
            "both=true",
            "faults={drop=1.5}",
            "step[0].faults.drop: 1.5 is no share of 0 to 1",
        ),
    ] {
        let error = read(&GOOD.replace(from, to)).unwrap_err().to_string();
        assert!(error.starts_with(message), "{error}");
    }
    assert!(
        read(&GOOD.replace("'heal'", "'mend'"))
            .unwrap_err()
            .to_string()
            .contains("unknown variant `mend`")
    );
}

#[test]
fn member_sets_are_parsed_from_words_and_numbers() {
    assert_eq!(members("last-quarter", 12).unwrap(), [9, 10, 11]);
    assert_eq!(members("second-half", 5).unwrap(), [2, 3, 4]);
    assert_eq!(members("1,7-9", 8).unwrap(), [1, 7]);
    assert!(members("none", 8).unwrap().is_empty());
}
