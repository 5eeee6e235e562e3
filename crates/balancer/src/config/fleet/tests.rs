//! Which `fleet` keys are accepted, and which key is named otherwise.

use super::super::Config;

fn parse(fleet: &str) -> Result<Config, String> {
    let text = format!(
        r#"{{"listen":"127.0.0.1:6379","discovery":"127.0.0.2:8500","fleet":{fleet},
        "settings":{{"group_size":3,"profiles":[{{"name":"read","repeat":"safe","give_up_ns":1000}}]}}}}"#
    );
    Config::parse(&text, |_| None).map_err(|e| e.to_string())
}

#[test]
fn valid_key_is_read_and_a_missing_one_is_off() {
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
    let behind = r#"{"name":"a","bind":"0.0.0.0:7946","advertise":"127.0.0.9:7","hold_ms":2000,"forget_ms":4000}"#;
    let settings = parse(behind).unwrap().fleet.unwrap().settings("n1", 3);
    assert_eq!(
        (settings.address.port(), settings.timing.share_retention),
        (7, 2_000_000_000)
    );
    let key =
        |more: &str| parse(&format!(r#"{{"name":"a","bind":"127.0.0.1:7946"{more}}}"#)).unwrap();
    assert!(!key("").fleet.unwrap().shed_together);
    assert!(key("").fleet.unwrap().settings("n1", 3).location.is_none());
    let placed = key(r#","region":"north","zone":"z1","site":"s7""#)
        .fleet
        .unwrap();
    let location = placed.settings("n1", 3).location;
    assert_eq!(
        (&*location.region, &*location.zone, &*location.site),
        ("north", "z1", "s7")
    );
    assert!(key(r#","shed_together":true"#).fleet.unwrap().shed_together);
    assert!(parse("null").unwrap().fleet.is_none());
}

/// Values of the key `fleet`, each with the complaint about it.
fn faulty_keys() -> Vec<(String, &'static str)> {
    let good = r#""name":"a","bind":"127.0.0.1:7946""#;
    vec![
        (
            r#"{"bind":"127.0.0.1:7946"}"#.to_string(),
            "fleet: missing field `name`",
        ),
        (
            r#"{"name":"","bind":"127.0.0.1:1"}"#.into(),
            "fleet.name: has 0 bytes; 1 to 64 are expected",
        ),
        (
            r#"{"name":"a","bind":"here"}"#.into(),
            "fleet.bind: \"here\" is no address with a port",
        ),
        (
            r#"{"name":"a","bind":"0.0.0.0:1"}"#.into(),
            "fleet.bind: \"0.0.0.0:1\" is no address that others can send to; name one in fleet.advertise",
        ),
        (
            format!("{{{good},\"join\":[\"x\"]}}"),
            "fleet.join[0]: \"x\" is no address with a port",
        ),
        (
            format!("{{{good},\"members_max\":1}}"),
            "fleet.members_max: 1 is not in 2 to 8192",
        ),
        (
            format!("{{{good},\"suspect_ms\":9}}"),
            "fleet.suspect_ms: 9 ms is not in 300 to 60000",
        ),
        (
            format!("{{{good},\"hold_ms\":900}}"),
            "fleet.hold_ms: 900 ms is not in 1000 to 3600000",
        ),
        (
            format!("{{{good},\"forget_ms\":20000}}"),
            "fleet.forget_ms: 20000 ms is not in 30000 to 86400000",
        ),
        (
            format!("{{{good},\"region\":\"\"}}"),
            "fleet.region: has 0 bytes; 1 to 20 are expected",
        ),
        (
            format!("{{{good},\"region\":\"north\",\"site\":\"a-name-of-21-bytes-xx\"}}"),
            "fleet.site: has 21 bytes; 1 to 20 are expected",
        ),
        (
            format!("{{{good},\"zone\":\"z1\"}}"),
            "fleet.zone: says where in a region, and fleet.region is not set",
        ),
        (
            format!("{{{good},\"seeds\":[]}}"),
            "fleet.seeds: unknown field",
        ),
    ]
}

#[test]
fn faulty_key_is_named() {
    for (fleet, message) in faulty_keys() {
        let error = parse(&fleet).unwrap_err();
        assert!(
            error.starts_with(&format!("configuration: {message}")),
            "{error}"
        );
    }
}
