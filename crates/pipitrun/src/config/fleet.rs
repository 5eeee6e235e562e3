//! The key `fleet`: the talk with other balancers. Off unless it is there.

use super::{ConfigError, parse_address, wrong};
use pipitrun_fleet::{FleetSettings, MS, Timing};
use serde::Deserialize;
use std::net::SocketAddr;

/// The longest name of a fleet, in bytes.
const NAME_MAX: usize = 64;
/// The most join addresses.
const JOIN_MAX: usize = 64;
/// The members that are held where the key does not say, and at most.
const MEMBERS_DEFAULT: usize = 1_024;
const MEMBERS_MOST: usize = 4_096;

/// The key as it is written; times are in milliseconds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FileFleet {
    name: String,
    bind: String,
    advertise: Option<String>,
    #[serde(default)]
    join: Vec<String>,
    members_max: Option<usize>,
    suspect_ms: Option<u64>,
    hold_ms: Option<u64>,
    forget_ms: Option<u64>,
    #[serde(default)]
    shed_together: bool,
}

/// How this balancer talks with the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The one address that the talk is bound to.
    pub bind: SocketAddr,
    name: String,
    advertise: SocketAddr,
    join: Vec<SocketAddr>,
    members_max: usize,
    timing: Timing,
    /// Load is shed by a level that all agree on.
    pub shed_together: bool,
}

impl FleetConfig {
    /// What a member is told: this balancer's name, and the settings' number of balancers.
    pub fn settings(&self, name: &str, configured: usize) -> FleetSettings {
        FleetSettings {
            fleet: self.name.clone(),
            name: name.into(),
            address: self.advertise,
            join: self.join.clone(),
            members_max: self.members_max,
            configured,
            timing: self.timing,
        }
    }
}

impl FileFleet {
    pub(super) fn check(self) -> Result<FleetConfig, ConfigError> {
        if self.name.is_empty() || self.name.len() > NAME_MAX {
            let problem = format!("has {} bytes; 1 to {NAME_MAX} are expected", self.name.len());
            return Err(wrong("fleet.name", problem));
        }
        let bind = parse_address("fleet.bind", &self.bind)?;
        let (key, text) = match &self.advertise {
            Some(text) => ("fleet.advertise", text),
            None => ("fleet.bind", &self.bind),
        };
        let advertise = parse_address(key, text)?;
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            let problem =
                format!("\"{text}\" is no address that others can send to; name one in fleet.advertise");
            return Err(wrong(key, problem));
        }
        if self.join.len() > JOIN_MAX {
            let problem = format!("names {} addresses; {JOIN_MAX} are the most", self.join.len());
            return Err(wrong("fleet.join", problem));
        }
        let join =
            self.join.iter().enumerate().map(|(i, text)| parse_address(&format!("fleet.join[{i}]"), text));
        let join = join.collect::<Result<Vec<_>, _>>()?;
        let members_max = self.members_max.unwrap_or(MEMBERS_DEFAULT);
        if !(2..=MEMBERS_MOST).contains(&members_max) {
            return Err(wrong("fleet.members_max", format!("{members_max} is not in 2 to {MEMBERS_MOST}")));
        }
        let default = Timing::default();
        let span = |key: &str, value: Option<u64>, default: u64, least: u64, most: u64| {
            let value = value.unwrap_or(default / MS);
            if (least..=most).contains(&value) {
                return Ok(value * MS);
            }
            Err(wrong(key, format!("{value} ms is not in {least} to {most}")))
        };
        let suspect = span("fleet.suspect_ms", self.suspect_ms, default.suspect, 300, 60_000)?;
        let hold = span("fleet.hold_ms", self.hold_ms, default.hold, suspect / MS, 3_600_000)?;
        let forget = span("fleet.forget_ms", self.forget_ms, default.forget, 2 * hold / MS, 86_400_000)?;
        let timing = Timing { suspect, hold, forget, ..default };
        Ok(FleetConfig {
            bind,
            name: self.name,
            advertise,
            join,
            members_max,
            timing,
            shed_together: self.shed_together,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::super::Config;

    fn parse(fleet: &str) -> Result<Config, String> {
        let text = format!(
            r#"{{"listen":"127.0.0.1:6379","discovery":"127.0.0.2:8500","fleet":{fleet},
            "settings":{{"group_size":3,"profiles":[{{"name":"read","repeat":"safe","give_up_ns":1000}}]}}}}"#
        );
        Config::parse(&text, |_| None).map_err(|e| e.to_string())
    }

    #[test]
    fn a_good_key_is_read_and_a_missing_one_is_off() {
        let config = parse(r#"{"name":"a","bind":"127.0.0.1:7946","join":["127.0.0.2:7946"]}"#).unwrap();
        let settings = config.fleet.unwrap().settings("n1", 3);
        assert_eq!((settings.address.port(), settings.join.len(), settings.configured), (7946, 1, 3));
        let behind =
            r#"{"name":"a","bind":"0.0.0.0:7946","advertise":"127.0.0.9:7","hold_ms":2000,"forget_ms":4000}"#;
        let settings = parse(behind).unwrap().fleet.unwrap().settings("n1", 3);
        assert_eq!((settings.address.port(), settings.timing.hold), (7, 2_000_000_000));
        let key = |more: &str| parse(&format!(r#"{{"name":"a","bind":"127.0.0.1:7946"{more}}}"#)).unwrap();
        assert!(!key("").fleet.unwrap().shed_together);
        assert!(key(r#","shed_together":true"#).fleet.unwrap().shed_together);
        assert!(parse("null").unwrap().fleet.is_none());
    }

    #[test]
    fn a_faulty_key_is_named() {
        let good = r#""name":"a","bind":"127.0.0.1:7946""#;
        let cases = [
            (r#"{"bind":"127.0.0.1:7946"}"#.to_string(), "fleet: missing field `name`"),
            (r#"{"name":"","bind":"127.0.0.1:1"}"#.into(), "fleet.name: has 0 bytes; 1 to 64 are expected"),
            (r#"{"name":"a","bind":"here"}"#.into(), "fleet.bind: \"here\" is no address with a port"),
            (
                r#"{"name":"a","bind":"0.0.0.0:1"}"#.into(),
                "fleet.bind: \"0.0.0.0:1\" is no address that others can send to; name one in fleet.advertise",
            ),
            (format!("{{{good},\"join\":[\"x\"]}}"), "fleet.join[0]: \"x\" is no address with a port"),
            (format!("{{{good},\"members_max\":1}}"), "fleet.members_max: 1 is not in 2 to 4096"),
            (format!("{{{good},\"suspect_ms\":9}}"), "fleet.suspect_ms: 9 ms is not in 300 to 60000"),
            (format!("{{{good},\"hold_ms\":900}}"), "fleet.hold_ms: 900 ms is not in 1000 to 3600000"),
            (
                format!("{{{good},\"forget_ms\":20000}}"),
                "fleet.forget_ms: 20000 ms is not in 30000 to 86400000",
            ),
            (format!("{{{good},\"seeds\":[]}}"), "fleet.seeds: unknown field"),
        ];
        for (fleet, message) in cases {
            let error = parse(&fleet).unwrap_err();
            assert!(error.starts_with(&format!("configuration: {message}")), "{error}");
        }
    }
}
