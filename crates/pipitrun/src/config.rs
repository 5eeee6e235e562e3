//! The one place where the environment and the configuration file are read, checked and given defaults.

mod fleet;

pub use fleet::FleetConfig;

use crate::upstream_group::HostList;
use finchyard::Settings;
use finchyard_settings::{Names, Setup, Transport, key_of};
use fleet::FileFleet;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

/// Descriptors and memory where the configuration names no limits.
const SOCKETS_DEFAULT: usize = 1024;
const MEMORY_DEFAULT: usize = 192;
/// With fewer descriptors there is no room for clients, peers and the rest.
const SOCKETS_LEAST: usize = 64;

/// What the program is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// The clients' listening socket, if this process was started with it.
    pub socket_fd: Option<RawFd>,
    /// A folder for what two processes of one balancer tell each other.
    pub folder: Option<PathBuf>,
    /// The talk with other balancers, if any.
    pub fleet: Option<FleetConfig>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// What the file says of that, whether or not the environment goes before it.
    discovery_in_file: Option<String>,
    /// For the module's random numbers.
    pub seed: u64,
    /// File descriptors the process may hold.
    pub sockets: usize,
    /// Memory the process may use, in bytes.
    pub memory: usize,
    /// The list as this balancer last had it.
    pub known: Option<HostList>,
    /// What the module is told.
    pub settings: Settings,
    /// The names in messages.
    pub names: Names,
    /// What the network side needs of the settings.
    pub transport: Transport,
    /// What the settings say that is borne and yet should be known.
    pub remarks: Vec<String>,
}

/// An unusable configuration: which key, and what is wrong with it.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    key: String,
    problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

fn wrong(key: &str, problem: impl fmt::Display) -> ConfigError {
    ConfigError { key: key.into(), problem: problem.to_string() }
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    management: Option<String>,
    discovery: Option<String>,
    fleet: Option<FileFleet>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: FileLimits,
    known: Option<HostList>,
    settings: Setup,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FileLimits {
    memory_mb: Option<f64>,
    sockets: Option<f64>,
}

impl Config {
    /// Reads `GW_CONFIG` and the file it names; `GW_NAME`, `GW_LISTEN`, `GW_MANAGEMENT` and
    /// `GW_DISCOVERY` go before the file.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = variable("GW_CONFIG").ok_or_else(|| wrong("GW_CONFIG", "is not set"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| wrong("GW_CONFIG", format!("{path}: {e}")))?;
        Config::parse(&text, variable)
    }

    /// Reads the file again for a program that runs by `self`. An address of discovery that is new in the file goes
    /// before the environment too: that can't change while the program runs, so the file is the later word.
    pub fn reload(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        self.follow(Config::load(variable)?)
    }

    fn follow(&self, mut new: Config) -> Result<Config, ConfigError> {
        new.discovery = match &new.discovery_in_file {
            Some(text) if new.discovery_in_file != self.discovery_in_file => {
                parse_address("discovery", text)?
            }
            _ => self.discovery,
        };
        Ok(new)
    }

    /// The keys that differ from `former` and are heeded at the start only.
    pub fn start_only(&self, former: &Config) -> Vec<&'static str> {
        let settings = self.settings != former.settings
            || self.names != former.names
            || self.transport != former.transport;
        let keys = [
            ("name", self.name != former.name),
            ("listen", self.listen != former.listen),
            ("management", self.management != former.management),
            ("seed", self.seed != former.seed),
            ("settings", settings),
            ("fleet", self.fleet != former.fleet),
        ];
        keys.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// The configuration in this text, with no environment.
    #[cfg(test)]
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        Config::parse(text, |_| None)
    }

    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| wrong(&e.path().to_string(), e.inner()))?;
        json.end().map_err(|e| wrong("GW_CONFIG", e))?;
        // Which key tells something, and what: the environment goes before the file.
        let told = |name: &'static str, key: &'static str, in_file: Option<String>| match variable(name) {
            Some(text) => Some((name, text)),
            None => in_file.map(|text| (key, text)),
        };
        let address = |name, key, in_file| {
            let missing = || wrong(key, format!("is missing, and {name} is not set"));
            let (key, text) = told(name, key, in_file).ok_or_else(missing)?;
            parse_address(key, &text)
        };
        let listen = address("GW_LISTEN", "listen", file.listen)?;
        let management = match told("GW_MANAGEMENT", "management", file.management) {
            Some((key, text)) => {
                let address = parse_address(key, &text)?;
                if address == listen && address.port() != 0 {
                    let problem = format!("\"{text}\" is where clients connect; it must be another address");
                    return Err(wrong(key, problem));
                }
                Some(address)
            }
            None => None,
        };
        let descriptor = |text: String| {
            let problem =
                || format!("\"{text}\" is no number of a descriptor; a listening TCP socket is expected");
            text.parse().map_err(|_| wrong("GW_SOCKET_FD", problem()))
        };
        let socket_fd = variable("GW_SOCKET_FD").map(descriptor).transpose()?;
        let remarks = file.settings.remarks();
        let (settings, names, transport) = file.settings.translate().map_err(|e| wrong("settings", e))?;
        settings.check().map_err(|e| wrong(&format!("settings.{}", key_of(&e)), e.problem))?;
        let figure = |key: &str, value: Option<f64>, default: usize, least: usize| match value {
            None => Ok(default),
            Some(v) if v >= least as f64 => Ok(v as usize),
            Some(v) => Err(wrong(key, format!("{v} is too little, {least} is the least"))),
        };
        Ok(Config {
            name: variable("GW_NAME").or(file.name).unwrap_or_else(|| "balancer".into()),
            listen,
            management,
            socket_fd,
            folder: variable("TMPDIR").filter(|f| !f.is_empty()).map(PathBuf::from),
            fleet: file.fleet.map(FileFleet::check).transpose()?,
            discovery: address("GW_DISCOVERY", "discovery", file.discovery.clone())?,
            discovery_in_file: file.discovery,
            seed: seed(&file.seed),
            sockets: figure("limits.sockets", file.limits.sockets, SOCKETS_DEFAULT, SOCKETS_LEAST)?,
            memory: figure("limits.memory_mb", file.limits.memory_mb, MEMORY_DEFAULT, 16)?
                .saturating_mul(1 << 20),
            known: file.known,
            settings,
            names,
            transport,
            remarks,
        })
    }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| wrong(key, format!("\"{text}\" is no address with a port")))
}

/// The seed is hex digits; whatever else stands there still tells one start from another.
fn seed(value: &Value) -> u64 {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use finchyard::Discovery;

    const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.2:8500","seed":"ff",
        "limits":{"cores":1.0,"memory_mb":128,"sockets":512},
        "known":{"seq":4,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.3:1"}]},
        "settings":{"profiles":[{"name":"read","repeat":"safe","give_up_ns":1000}],"caps":{"max_attempts":3}}}"#;

    fn load(from: &str, to: &str) -> Result<Config, String> {
        assert!(GOOD.contains(from), "{from}");
        Config::parse(&GOOD.replace(from, to), |_| None).map_err(|e| e.to_string())
    }

    #[test]
    fn a_good_configuration_is_read_and_the_environment_goes_before_it() {
        let variable = |name: &str| (name == "GW_LISTEN").then(|| "127.0.0.9:1".to_string());
        let config = Config::parse(GOOD, variable).unwrap();
        assert_eq!((config.listen.to_string().as_str(), config.seed), ("127.0.0.9:1", 255));
        assert_eq!((config.sockets, config.memory, config.name.as_str()), (512, 128 << 20, "n3"));
        assert_eq!(config.settings.limits.max_attempts, 3);
    }

    #[test]
    fn settings_that_are_borne_and_should_be_known_are_named() {
        let told = |settings: &str| {
            let text = GOOD.replace("\"settings\":{", &format!("\"settings\":{{{settings}"));
            Config::parse(&text, |_| None).unwrap()
        };
        let sound = "\"group_size\":3,\"obligations\":{\"drain_grace_ns\":5},\"membership_mode\":";
        for (mode, discovery) in [
            ("automatic", Discovery::Pushed),
            ("subscribe", Discovery::Asked { within: 0 }),
            ("carrier", Discovery::Asked { within: 0 }),
        ] {
            let config = told(&format!("{sound}\"{mode}\","));
            assert_eq!(config.settings.discovery, discovery);
            let named = config.remarks.iter().filter(|r| r.contains("membership_mode: \"carrier\"")).count();
            assert_eq!((named, config.remarks.len()), if mode == "carrier" { (1, 1) } else { (0, 0) });
        }
        let bare = told("");
        let keys = ["membership_mode: \"\"", "group_size: 0", "obligations.drain_grace_ns: 0"];
        assert!(bare.remarks.iter().zip(keys).all(|(r, key)| r.starts_with(key)), "{:?}", bare.remarks);
        assert_eq!((bare.remarks.len(), bare.settings.routers), (3, 1));
    }

    #[test]
    fn the_inherited_socket_is_told_by_number() {
        let fd = |text: &str| {
            let variable = |name: &str| (name == "GW_SOCKET_FD").then(|| text.to_string());
            Config::parse(GOOD, variable).map(|c| c.socket_fd).map_err(|e| e.to_string())
        };
        assert_eq!(fd("7"), Ok(Some(7)));
        let error = "configuration: GW_SOCKET_FD: \"seven\" is no number of a descriptor; a listening TCP socket is expected";
        assert_eq!(fd("seven"), Err(error.into()));
    }

    #[test]
    fn a_new_address_of_discovery_in_the_file_goes_before_the_environment_at_a_reload() {
        let variable = |name: &str| (name == "GW_DISCOVERY").then(|| "127.0.0.9:1".to_string());
        let first = Config::parse(GOOD, variable).unwrap();
        let same = first.follow(Config::parse(GOOD, variable).unwrap()).unwrap();
        assert_eq!(same.discovery.to_string(), "127.0.0.9:1", "the file says nothing new");
        let moved = GOOD.replace("127.0.0.2:8500", "127.0.0.4:8500").replace("\"ff\"", "\"fe\"");
        let moved = same.follow(Config::parse(&moved, variable).unwrap()).unwrap();
        assert_eq!(moved.discovery.to_string(), "127.0.0.4:8500");
        assert_eq!(moved.start_only(&first), ["seed"]);
        let again = moved.follow(Config::parse(GOOD, variable).unwrap()).unwrap();
        assert_eq!(again.discovery.to_string(), "127.0.0.2:8500", "moved back, in the file");
        let bad = Config::parse(&GOOD.replace("127.0.0.2:8500", "there"), variable).unwrap();
        let error = again.follow(bad).unwrap_err().to_string();
        assert_eq!(error, "configuration: discovery: \"there\" is no address with a port");
    }

    #[test]
    fn a_faulty_key_is_named() {
        let cases = [
            ("\"listen\":\"127.0.0.1:6379\",", "", "listen: is missing, and GW_LISTEN is not set"),
            ("127.0.0.2:8500", "there", "discovery: \"there\" is no address with a port"),
            ("\"seed\"", "\"management\":\"x:1\",\"seed\"", "management: \"x:1\" is no address with a port"),
            (
                "\"seed\"",
                "\"management\":\"127.0.0.1:6379\",\"seed\"",
                "management: \"127.0.0.1:6379\" is where clients connect; it must be another address",
            ),
            ("\"sockets\":512", "\"sockets\":5", "limits.sockets: 5 is too little, 64 is the least"),
            ("\"give_up_ns\":1000", "\"give_up_ns\":0", "settings.profiles[0].give_up_ns: must be over 0"),
            ("\"max_attempts\":3", "\"max_attempts\":0", "settings.caps.max_attempts: must be over 0"),
        ];
        for (from, to, message) in cases {
            assert_eq!(load(from, to).unwrap_err(), format!("configuration: {message}"));
        }
        let error = load("\"give_up_ns\":1000", "\"give_up_ns\":\"x\"").unwrap_err();
        assert!(error.starts_with("configuration: settings.profiles[0].give_up_ns: invalid type"), "{error}");
        let error = load("\"seq\":4", "\"seq\":\"4\"").unwrap_err();
        assert!(error.starts_with("configuration: known.seq: invalid type"), "{error}");
    }
}
