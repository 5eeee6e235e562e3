//! Accepted values of the key `fleet`, and the key and problem that errors report for invalid ones.

use super::super::Config;

fn parse(fleet: &str) -> Result<Config, String> {
    let text = format!(
        r#"{{"listen":"127.0.0.1:6379","discovery":"127.0.0.2:8500","fleet":{fleet},
        "settings":{{"group_size":3,
            "profiles":[{{"name":"read","repeat":"safe","give_up_ns":1000}}]}}}}"#
    );
    Config::parse(&text, |_| None).map_err(|e| e.to_string())
}

#[test]
fn valid_key_is_read_and_without_it_membership_is_off() {
    let config =
        parse(r#"{"name":"a","bind":"127.0.0.1:7946","join":["127.0.0.2:7946"]}"#).unwrap();
    let settings = config.fleet.unwrap().settings("n1", 3);
    assert_eq!(
        (
            settings.address.port(),
            settings.join.len(),
            settings.configured_balancers
        ),
        (7946, 1, 3)
    );
    let advertised = r#"{"name":"a","bind":"0.0.0.0:7946","advertise":"127.0.0.9:7",
        "hold_ms":2000,"forget_ms":4000}"#;
    let settings = parse(advertised).unwrap().fleet.unwrap().settings("n1", 3);
    assert_eq!(
        (settings.address.port(), settings.timing.share_retention),
        (7, 2_000_000_000)
    );
    let key =
        |more: &str| parse(&format!(r#"{{"name":"a","bind":"127.0.0.1:7946"{more}}}"#)).unwrap();
    assert!(!key("").fleet.unwrap().shed_together);
    assert!(key("").fleet.unwrap().settings("n1", 3).location.is_none());
    let located = key(r#","region":"north","zone":"z1","site":"s7""#)
        .fleet
        .unwrap();
    let location = located.settings("n1", 3).location;
    assert_eq!(
        (&*location.region, &*location.zone, &*location.site),
        ("north", "z1", "s7")
    );
    assert!(key(r#","shed_together":true"#).fleet.unwrap().shed_together);
    assert!(parse("null").unwrap().fleet.is_none());
}

/// Returns invalid values of the key `fleet`, each with the beginning of its error message.
fn invalid_values() -> Vec<(String, &'static str)> {
    let valid = r#""name":"a","bind":"127.0.0.1:7946""#;
    vec![
        (
            r#"{"bind":"127.0.0.1:7946"}"#.to_string(),
            "fleet: missing field `name`",
        ),
        (
            r#"{"name":"","bind":"127.0.0.1:1"}"#.into(),
            "fleet.name: the name has 0 bytes; expected 1 to 64",
        ),
        (
            r#"{"name":"a","bind":"here"}"#.into(),
            "fleet.bind: \"here\" is not an IP address with a port",
        ),
        (
            r#"{"name":"a","bind":"0.0.0.0:1"}"#.into(),
            "fleet.bind: other members can't send to \"0.0.0.0:1\"; \
             set fleet.advertise to an address that they can reach",
        ),
        (
            format!("{{{valid},\"join\":[\"x\"]}}"),
            "fleet.join[0]: \"x\" is not an IP address with a port",
        ),
        (
            format!("{{{valid},\"members_max\":1}}"),
            "fleet.members_max: 1 is out of range; expected 2 to 8192",
        ),
        (
            format!("{{{valid},\"suspect_ms\":9}}"),
            "fleet.suspect_ms: 9 ms is out of range; expected 300 to 60000 ms",
        ),
        (
            format!("{{{valid},\"hold_ms\":900}}"),
            "fleet.hold_ms: 900 ms is out of range; expected 1000 to 3600000 ms",
        ),
        (
            format!("{{{valid},\"forget_ms\":20000}}"),
            "fleet.forget_ms: 20000 ms is out of range; expected 30000 to 86400000 ms",
        ),
        (
            format!("{{{valid},\"region\":\"\"}}"),
            "fleet.region: the name has 0 bytes; expected 1 to 20",
        ),
        (
            format!("{{{valid},\"region\":\"north\",\"site\":\"a-name-of-21-bytes-xx\"}}"),
            "fleet.site: the name has 21 bytes; expected 1 to 20",
        ),
        (
            format!("{{{valid},\"zone\":\"z1\"}}"),
            "fleet.zone: is set without fleet.region; a zone or site requires a region",
        ),
        (
            format!("{{{valid},\"seeds\":[]}}"),
            "fleet.seeds: unknown field",
        ),
    ]
}

#[test]
fn error_reports_the_invalid_key_and_its_problem() {
    for (fleet, message) in invalid_values() {
        let error = parse(&fleet).unwrap_err();
        assert!(
            error.starts_with(&format!("configuration: {message}")),
            "{error}"
        );
    }
}
