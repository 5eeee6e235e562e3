//! Which configurations are accepted, and which key is named otherwise.

use super::*;
use routing::DiscoveryMode;

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.2:8500","seed":"ff",
    "limits":{"cores":1.0,"memory_mb":128,"sockets":512},
    "known":{"seq":4,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.3:1"}]},
    "settings":{"profiles":[{"name":"read","repeat":"safe","give_up_ns":1000}],"caps":{"max_attempts":3}}}"#;

fn load(from: &str, to: &str) -> Result<Config, String> {
    assert!(GOOD.contains(from), "{from}");
    Config::parse(&GOOD.replace(from, to), |_| None).map_err(|e| e.to_string())
}

#[test]
fn valid_configuration_is_read_and_overridden_by_the_environment() {
    let variable = |name: &str| (name == "GW_LISTEN").then(|| "127.0.0.9:1".to_string());
    let config = Config::parse(GOOD, variable).unwrap();
    assert_eq!(
        (config.listen.to_string().as_str(), config.seed),
        ("127.0.0.9:1", 255)
    );
    assert_eq!(
        (
            config.descriptors_max,
            config.memory_max,
            config.name.as_str()
        ),
        (512, 128 << 20, "n3")
    );
    assert_eq!(config.settings.capabilities.max_attempts, 3);
}

#[test]
fn doubtful_settings_yield_warnings() {
    let load_with = |settings: &str| {
        let text = GOOD.replace("\"settings\":{", &format!("\"settings\":{{{settings}"));
        Config::parse(&text, |_| None).unwrap()
    };
    let sound = "\"group_size\":3,\"obligations\":{\"drain_grace_ns\":5},\"membership_mode\":";
    for (mode, discovery) in [
        ("automatic", DiscoveryMode::Push),
        ("subscribe", DiscoveryMode::Poll { staleness_limit: 0 }),
        ("carrier", DiscoveryMode::Poll { staleness_limit: 0 }),
    ] {
        let config = load_with(&format!("{sound}\"{mode}\","));
        assert_eq!(config.settings.discovery, discovery);
        let named = config
            .warnings
            .iter()
            .filter(|r| r.contains("membership_mode: \"carrier\""))
            .count();
        assert_eq!(
            (named, config.warnings.len()),
            if mode == "carrier" { (1, 1) } else { (0, 0) }
        );
    }
    let bare = load_with("");
    let keys = [
        "membership_mode: \"\"",
        "group_size: 0",
        "obligations.drain_grace_ns: 0",
    ];
    assert!(
        bare.warnings
            .iter()
            .zip(keys)
            .all(|(r, key)| r.starts_with(key)),
        "{:?}",
        bare.warnings
    );
    assert_eq!((bare.warnings.len(), bare.settings.balancers), (3, 1));
}

#[test]
fn inherited_socket_is_named_by_its_descriptor() {
    let fd = |text: &str| {
        let variable = |name: &str| (name == "GW_SOCKET_FD").then(|| text.to_string());
        Config::parse(GOOD, variable)
            .map(|c| c.socket_fd)
            .map_err(|e| e.to_string())
    };
    assert_eq!(fd("7"), Ok(Some(7)));
    let error = "configuration: GW_SOCKET_FD: \"seven\" is no number of a descriptor; a listening TCP socket is expected";
    assert_eq!(fd("seven"), Err(error.into()));
}

#[test]
fn new_discovery_address_in_the_file_overrides_the_environment_at_a_reload() {
    let variable = |name: &str| (name == "GW_DISCOVERY").then(|| "127.0.0.9:1".to_string());
    let first = Config::parse(GOOD, variable).unwrap();
    let same = first
        .successor(Config::parse(GOOD, variable).unwrap())
        .unwrap();
    assert_eq!(
        same.discovery.to_string(),
        "127.0.0.9:1",
        "the file says nothing new"
    );
    let moved = GOOD
        .replace("127.0.0.2:8500", "127.0.0.4:8500")
        .replace("\"ff\"", "\"fe\"");
    let moved = same
        .successor(Config::parse(&moved, variable).unwrap())
        .unwrap();
    assert_eq!(moved.discovery.to_string(), "127.0.0.4:8500");
    assert_eq!(moved.start_only(&first), ["seed"]);
    let again = moved
        .successor(Config::parse(GOOD, variable).unwrap())
        .unwrap();
    assert_eq!(
        again.discovery.to_string(),
        "127.0.0.2:8500",
        "moved back, in the file"
    );
    let bad = Config::parse(&GOOD.replace("127.0.0.2:8500", "there"), variable).unwrap();
    let error = again.successor(bad).unwrap_err().to_string();
    assert_eq!(
        error,
        "configuration: discovery: \"there\" is no address with a port"
    );
}

#[test]
fn faulty_key_is_named() {
    let cases = [
        (
            "\"listen\":\"127.0.0.1:6379\",",
            "",
            "listen: is missing, and GW_LISTEN is not set",
        ),
        (
            "127.0.0.2:8500",
            "there",
            "discovery: \"there\" is no address with a port",
        ),
        (
            "\"seed\"",
            "\"management\":\"x:1\",\"seed\"",
            "management: \"x:1\" is no address with a port",
        ),
        (
            "\"seed\"",
            "\"management\":\"127.0.0.1:6379\",\"seed\"",
            "management: \"127.0.0.1:6379\" is where clients connect; it must be another address",
        ),
        (
            "\"sockets\":512",
            "\"sockets\":5",
            "limits.sockets: 5 is too little, 64 is the least",
        ),
        (
            "\"give_up_ns\":1000",
            "\"give_up_ns\":0",
            "settings.profiles[0].give_up_ns: must be over 0",
        ),
        (
            "\"max_attempts\":3",
            "\"max_attempts\":0",
            "settings.caps.max_attempts: must be over 0",
        ),
    ];
    for (from, to, message) in cases {
        assert_eq!(
            load(from, to).unwrap_err(),
            format!("configuration: {message}")
        );
    }
    let error = load("\"give_up_ns\":1000", "\"give_up_ns\":\"x\"").unwrap_err();
    assert!(
        error.starts_with("configuration: settings.profiles[0].give_up_ns: invalid type"),
        "{error}"
    );
    let error = load("\"seq\":4", "\"seq\":\"4\"").unwrap_err();
    assert!(
        error.starts_with("configuration: known.seq: invalid type"),
        "{error}"
    );
}
