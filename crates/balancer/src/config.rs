//! The one place where the environment and the configuration file are read, checked and given defaults.

mod fleet;

pub use fleet::FleetConfig;

use crate::discovery::EndpointList;
use fleet::FileFleet;
use routing::Settings;
use routing_config::{
    NameTables, OperatorSettings, TranslatedSettings, TransportSettings, operator_key,
};
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
    pub known: Option<EndpointList>,
    /// What the module is told.
    pub settings: Settings,
    /// The names in messages.
    pub names: NameTables,
    /// What the network side needs of the settings.
    pub transport: TransportSettings,
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
    ConfigError {
        key: key.into(),
        problem: problem.to_string(),
    }
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
    known: Option<EndpointList>,
    settings: OperatorSettings,
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
        let text = std::fs::read_to_string(&path)
            .map_err(|e| wrong("GW_CONFIG", format!("{path}: {e}")))?;
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
        keys.into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(key, _)| key)
            .collect()
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
        let told =
            |name: &'static str, key: &'static str, in_file: Option<String>| match variable(name) {
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
                    let problem =
                        format!("\"{text}\" is where clients connect; it must be another address");
                    return Err(wrong(key, problem));
                }
                Some(address)
            }
            None => None,
        };
        let descriptor = |text: String| {
            let problem = || {
                format!(
                    "\"{text}\" is no number of a descriptor; a listening TCP socket is expected"
                )
            };
            text.parse().map_err(|_| wrong("GW_SOCKET_FD", problem()))
        };
        let socket_fd = variable("GW_SOCKET_FD").map(descriptor).transpose()?;
        let remarks = file.settings.warnings();
        let TranslatedSettings {
            settings,
            names,
            transport,
        } = file
            .settings
            .translate()
            .map_err(|e| wrong("settings", e))?;
        settings
            .check()
            .map_err(|e| wrong(&format!("settings.{}", operator_key(&e)), e.problem))?;
        let figure = |key: &str, value: Option<f64>, default: usize, least: usize| match value {
            None => Ok(default),
            Some(v) if v >= least as f64 => Ok(v as usize),
            Some(v) => Err(wrong(
                key,
                format!("{v} is too little, {least} is the least"),
            )),
        };
        Ok(Config {
            name: variable("GW_NAME")
                .or(file.name)
                .unwrap_or_else(|| "balancer".into()),
            listen,
            management,
            socket_fd,
            folder: variable("TMPDIR")
                .filter(|f| !f.is_empty())
                .map(PathBuf::from),
            fleet: file.fleet.map(FileFleet::check).transpose()?,
            discovery: address("GW_DISCOVERY", "discovery", file.discovery.clone())?,
            discovery_in_file: file.discovery,
            seed: seed(&file.seed),
            sockets: figure(
                "limits.sockets",
                file.limits.sockets,
                SOCKETS_DEFAULT,
                SOCKETS_LEAST,
            )?,
            memory: figure(
                "limits.memory_mb",
                file.limits.memory_mb,
                MEMORY_DEFAULT,
                16,
            )?
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
    text.parse()
        .map_err(|_| wrong(key, format!("\"{text}\" is no address with a port")))
}

/// The seed is hex digits; whatever else stands there still tells one start from another.
fn seed(value: &Value) -> u64 {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}

#[cfg(test)]
mod tests;
