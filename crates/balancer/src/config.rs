//! The configuration: the only place where the environment and the configuration file are read,
//! checked and given defaults.

mod error;
mod fleet;
mod settings_checksum;

pub use error::{ConfigError, ConfigProblem};
pub use fleet::FleetConfig;
pub use settings_checksum::settings_checksum;

use crate::discovery::EndpointList;
use fleet::FleetFile;
use routing::Settings;
use routing_config::{
    NameTables, OperatorSettings, TranslatedSettings, TransportSettings, operator_key,
};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use xxhash_rust::xxh3::xxh3_64;

/// Descriptors, where the configuration has no limit.
const DESCRIPTORS_DEFAULT: usize = 1024;
/// With fewer descriptors there is not enough for clients, caches and the rest.
const DESCRIPTORS_MIN: usize = 64;
/// Memory in MiB, where the configuration has no limit.
const MEMORY_MIB_DEFAULT: usize = 192;
/// The lowest limit of memory, in MiB.
const MEMORY_MIB_MIN: usize = 16;
const MIB: usize = 1 << 20;

/// The configuration of the process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// The address of the client listener.
    pub listen: SocketAddr,
    /// The address of the admin listener, if there is one.
    pub management: Option<SocketAddr>,
    /// The descriptor of the client listener's socket, if the process was started with it.
    pub socket_fd: Option<RawFd>,
    /// The directory through which two processes of one balancer exchange state.
    pub hot_restart_directory: Option<PathBuf>,
    /// Membership in a fleet, if configured.
    pub fleet: Option<FleetConfig>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of discovery in the file, whether or not the environment overrides it.
    discovery_in_file: Option<String>,
    /// The seed of the engine's random numbers.
    pub seed: u64,
    /// How many file descriptors the process may hold.
    pub descriptors_max: usize,
    /// How much memory the process may use, in bytes.
    pub memory_max: usize,
    /// The endpoint list as this balancer last had it.
    pub known_endpoints: Option<EndpointList>,
    /// The engine's settings.
    pub settings: Settings,
    /// The names that messages use in place of the engine's indices.
    pub names: NameTables,
    /// The settings of the network side.
    pub transport: TransportSettings,
    /// What in the settings is accepted, but probably not meant.
    pub warnings: Vec<String>,
}

/// The configuration file.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    management: Option<String>,
    discovery: Option<String>,
    fleet: Option<FleetFile>,
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
    /// Reads the file that `GW_CONFIG` names. `GW_NAME`, `GW_LISTEN`, `GW_MANAGEMENT` and
    /// `GW_DISCOVERY` override the file.
    ///
    /// # Errors
    /// If the file can't be read, or a value is missing or wrong.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = variable("GW_CONFIG")
            .ok_or_else(|| ConfigError::new("GW_CONFIG", ConfigProblem::NotSet))?;
        let text = std::fs::read_to_string(&path).map_err(|source| {
            ConfigError::new("GW_CONFIG", ConfigProblem::Unreadable { path, source })
        })?;
        Config::parse(&text, variable)
    }

    /// Reads the file again for a process that runs by `self`. A new address of discovery in the
    /// file overrides the environment too: that can't change while the process runs, so the file is
    /// the later source.
    ///
    /// # Errors
    /// As for [`Config::load`].
    pub fn reload(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        self.successor(Config::load(variable)?)
    }

    fn successor(&self, mut new: Config) -> Result<Config, ConfigError> {
        new.discovery = match &new.discovery_in_file {
            Some(text) if new.discovery_in_file != self.discovery_in_file => {
                parse_address("discovery", text)?
            }
            _ => self.discovery,
        };
        Ok(new)
    }

    /// The keys that differ from `former` and take effect at the start only.
    #[must_use]
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

    /// The configuration in this text, without an environment.
    #[cfg(test)]
    pub fn read(text: &str) -> Result<Config, ConfigError> {
        Config::parse(text, |_| None)
    }

    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let file = File::parse(text)?;
        let sources = Sources { variable };
        let listen = sources.required_address("GW_LISTEN", "listen", file.listen)?;
        let management = sources.admin_address(file.management, listen)?;
        let socket_fd = sources.socket_fd()?;
        let warnings = file.settings.warnings();
        let TranslatedSettings {
            settings,
            names,
            transport,
        } = translate(file.settings)?;
        Ok(Config {
            name: (sources.variable)("GW_NAME")
                .or(file.name)
                .unwrap_or_else(|| "balancer".into()),
            listen,
            management,
            socket_fd,
            hot_restart_directory: (sources.variable)("TMPDIR")
                .filter(|directory| !directory.is_empty())
                .map(PathBuf::from),
            fleet: file.fleet.map(FleetFile::check).transpose()?,
            discovery: sources.required_address(
                "GW_DISCOVERY",
                "discovery",
                file.discovery.clone(),
            )?,
            discovery_in_file: file.discovery,
            seed: parse_seed(&file.seed),
            descriptors_max: file.limits.descriptors_max()?,
            memory_max: file.limits.memory_max()?,
            known_endpoints: file.known,
            settings,
            names,
            transport,
            warnings,
        })
    }
}

impl File {
    fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| ConfigError::new(e.path().to_string(), e.into_inner().into()))?;
        json.end()
            .map_err(|e| ConfigError::new("GW_CONFIG", e.into()))?;
        Ok(file)
    }
}

impl FileLimits {
    fn descriptors_max(&self) -> Result<usize, ConfigError> {
        match self.sockets {
            None => Ok(DESCRIPTORS_DEFAULT),
            Some(value) => at_least("limits.sockets", value, DESCRIPTORS_MIN),
        }
    }

    fn memory_max(&self) -> Result<usize, ConfigError> {
        let mib = match self.memory_mb {
            None => MEMORY_MIB_DEFAULT,
            Some(value) => at_least("limits.memory_mb", value, MEMORY_MIB_MIN)?,
        };
        Ok(mib.saturating_mul(MIB))
    }
}

fn at_least(key: &str, value: f64, minimum: usize) -> Result<usize, ConfigError> {
    if value >= minimum as f64 {
        Ok(value as usize)
    } else {
        Err(ConfigError::new(
            key,
            ConfigProblem::TooLow { value, minimum },
        ))
    }
}

/// The environment, which overrides the file.
struct Sources<V> {
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Sources<V> {
    /// A value with the key or variable that it comes from.
    fn value(
        &self,
        variable: &'static str,
        key: &'static str,
        in_file: Option<String>,
    ) -> Option<(&'static str, String)> {
        match (self.variable)(variable) {
            Some(text) => Some((variable, text)),
            None => in_file.map(|text| (key, text)),
        }
    }

    fn required_address(
        &self,
        variable: &'static str,
        key: &'static str,
        in_file: Option<String>,
    ) -> Result<SocketAddr, ConfigError> {
        let (key, text) = self
            .value(variable, key, in_file)
            .ok_or_else(|| ConfigError::new(key, ConfigProblem::Missing { variable }))?;
        parse_address(key, &text)
    }

    fn admin_address(
        &self,
        in_file: Option<String>,
        listen: SocketAddr,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        let Some((key, text)) = self.value("GW_MANAGEMENT", "management", in_file) else {
            return Ok(None);
        };
        let address = parse_address(key, &text)?;
        if address == listen && address.port() != 0 {
            return Err(ConfigError::new(key, ConfigProblem::ClientAddress(text)));
        }
        Ok(Some(address))
    }

    fn socket_fd(&self) -> Result<Option<RawFd>, ConfigError> {
        const VARIABLE: &str = "GW_SOCKET_FD";
        let Some(text) = (self.variable)(VARIABLE) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(descriptor) => Ok(Some(descriptor)),
            Err(_) => Err(ConfigError::new(
                VARIABLE,
                ConfigProblem::NotADescriptor(text),
            )),
        }
    }
}

fn translate(settings: OperatorSettings) -> Result<TranslatedSettings, ConfigError> {
    let translated = settings
        .translate()
        .map_err(|e| ConfigError::new("settings", e.into()))?;
    translated.settings.check().map_err(|e| {
        let key = format!("settings.{}", operator_key(&e));
        ConfigError::new(key, ConfigProblem::Rejected(e.problem))
    })?;
    Ok(translated)
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::new(key, ConfigProblem::NotAnAddress(text.to_string())))
}

/// The seed is hex digits; any other text is hashed.
fn parse_seed(value: &Value) -> u64 {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}

#[cfg(test)]
mod tests;
