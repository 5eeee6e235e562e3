//! Accepted configurations, and the key and problem that errors report for invalid ones.

use super::*;
use routing::DiscoveryMode;

const VALID: &str = r#"{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.2:8500",
    "seed":"ff",
    "limits":{"cores":1.0,"memory_mb":128,"sockets":512},
    "known":{"seq":4,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.3:1"}]},
    "settings":{"profiles":[{"name":"read","repeat":"safe","give_up_ns":1000}],
        "caps":{"max_attempts":3}}}"#;

fn load(from: &str, to: &str) -> Result<Config, String> {
    assert!(VALID.contains(from), "{from}");
    Config::parse(&VALID.replace(from, to), |_| None).map_err(|e| e.to_string())
}

#[test]
fn valid_configuration_is_read_and_overridden_by_the_environment() {
    let variable = |name: &str| (name == "GW_LISTEN").then(|| "127.0.0.9:1".to_string());
    let config = Config::parse(VALID, variable).unwrap();
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
fn unusual_settings_yield_warnings() {
    let load_with = |settings: &str| {
        let text = VALID.replace("\"settings\":{", &format!("\"settings\":{{{settings}"));
        Config::parse(&text, |_| None).unwrap()
    };
    let usual = "\"group_size\":3,\"obligations\":{\"drain_grace_ns\":5},\"membership_mode\":";
    for (mode, discovery) in [
        ("automatic", DiscoveryMode::Push),
        ("subscribe", DiscoveryMode::Poll { staleness_limit: 0 }),
        ("carrier", DiscoveryMode::Poll { staleness_limit: 0 }),
    ] {
        let config = load_with(&format!("{usual}\"{mode}\","));
        assert_eq!(config.settings.discovery, discovery);
        let mode_warnings = config
            .warnings
            .iter()
            .filter(|warning| warning.contains("membership_mode: \"carrier\""))
            .count();
        assert_eq!(
            (mode_warnings, config.warnings.len()),
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
            .all(|(warning, key)| warning.starts_with(key)),
        "{:?}",
        bare.warnings
    );
    assert_eq!((bare.warnings.len(), bare.settings.balancers), (3, 1));
}

#[test]
fn inherited_socket_is_configured_by_its_descriptor_number() {
    let fd = |text: &str| {
        let variable = |name: &str| (name == "GW_SOCKET_FD").then(|| text.to_string());
        Config::parse(VALID, variable)
            .map(|c| c.socket_fd)
            .map_err(|e| e.to_string())
    };
    assert_eq!(fd("7"), Ok(Some(7)));
    let error = "configuration: GW_SOCKET_FD: \"seven\" is not a descriptor number; \
                 expected that of a listening TCP socket";
    assert_eq!(fd("seven"), Err(error.into()));
}

#[test]
fn new_discovery_address_in_the_file_overrides_the_environment_at_a_reload() {
    let variable = |name: &str| (name == "GW_DISCOVERY").then(|| "127.0.0.9:1".to_string());
    let first = Config::parse(VALID, variable).unwrap();
    let same = first
        .with_current_discovery(Config::parse(VALID, variable).unwrap())
        .unwrap();
    assert_eq!(
        same.discovery.to_string(),
        "127.0.0.9:1",
        "the address in the file has not changed"
    );
    let moved = VALID
        .replace("127.0.0.2:8500", "127.0.0.4:8500")
        .replace("\"ff\"", "\"fe\"");
    let moved = same
        .with_current_discovery(Config::parse(&moved, variable).unwrap())
        .unwrap();
    assert_eq!(moved.discovery.to_string(), "127.0.0.4:8500");
    assert_eq!(moved.changed_startup_keys(&first), ["seed"]);
    let again = moved
        .with_current_discovery(Config::parse(VALID, variable).unwrap())
        .unwrap();
    assert_eq!(
        again.discovery.to_string(),
        "127.0.0.2:8500",
        "the address in the file has changed back"
    );
    let bad = Config::parse(&VALID.replace("127.0.0.2:8500", "there"), variable).unwrap();
    let error = again.with_current_discovery(bad).unwrap_err().to_string();
    assert_eq!(
        error,
        "configuration: discovery: \"there\" is not an IP address with a port"
    );
}

#[test]
fn error_reports_the_invalid_key_and_its_problem() {
    let cases = [
        (
            "\"listen\":\"127.0.0.1:6379\",",
            "",
            "listen: is missing from the file, and GW_LISTEN is not set",
        ),
        (
            "127.0.0.2:8500",
            "there",
            "discovery: \"there\" is not an IP address with a port",
        ),
        (
            "\"seed\"",
            "\"management\":\"x:1\",\"seed\"",
            "management: \"x:1\" is not an IP address with a port",
        ),
        (
            "\"seed\"",
            "\"management\":\"127.0.0.1:6379\",\"seed\"",
            "management: \"127.0.0.1:6379\" is the address of the client listener; \
             expected a different address",
        ),
        (
            "\"sockets\":512",
            "\"sockets\":5",
            "limits.sockets: 5 is below the minimum of 64",
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
