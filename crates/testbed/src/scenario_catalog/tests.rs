//! Tests of `scenario_catalog`.

use super::*;

#[test]
fn each_scenario_is_valid_and_has_its_name() {
    for name in names() {
        assert_eq!(find(name).unwrap().name, name);
    }
    assert!(
        find("/nowhere")
            .unwrap_err()
            .to_string()
            .contains("one of join, kill-quarter")
    );
}
