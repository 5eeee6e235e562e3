//! Tests of `fleet`.

use super::*;

#[test]
fn traffic_is_told_to_two_figures() {
    for (tenths, told) in [(0, 0), (7, 7), (99, 99), (123, 120), (98_765, 98_000)] {
        assert_eq!(rounded(tenths), told);
    }
}

#[test]
fn statistics_keep_their_names_in_json() {
    let shown = serde_json::to_value(membership::MemberStatistics::default()).unwrap();
    let mut names: Vec<&str> = shown
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    names.sort_unstable();
    assert_eq!(
        names.join(" "),
        "asked compared foreign full gaps given_up heard heard_bytes load malformed put_off refuted \
         regions_asked returned sent sent_bytes suspicions torn version"
    );
}

#[test]
fn statuses_keep_their_names_in_json() {
    for (status, name) in [
        (MemberStatus::Joining, "joining"),
        (MemberStatus::Serving, "serving"),
        (MemberStatus::Stalled, "stalled"),
        (MemberStatus::Draining, "draining"),
        (MemberStatus::Left, "left"),
        (MemberStatus::Dead, "dead"),
    ] {
        assert_eq!(serde_json::to_value(status).unwrap(), name);
        assert_eq!(status.name(), name);
    }
}
