//! Configuration: reads the environment and the configuration file, validates them and applies
//! defaults. No other module reads them.

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

/// Default for `limits.sockets`, the maximum number of file descriptors.
const DESCRIPTORS_DEFAULT: usize = 1024;
/// Minimum of `limits.sockets`. Fewer descriptors don't suffice for clients, caches and the
/// process's other sockets.
const DESCRIPTORS_MIN: usize = 64;
/// Default for `limits.memory_mb`, in MiB.
const MEMORY_MIB_DEFAULT: usize = 192;
/// Minimum of `limits.memory_mb`, in MiB.
const MEMORY_MIB_MIN: usize = 16;
const MIB: usize = 1 << 20;

/// Validated configuration of the process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the balancer; `balancer` if neither the file nor `GW_NAME` sets one.
    pub name: String,
    /// Address of the client listener.
    pub listen: SocketAddr,
    /// Address of the admin listener; `None` if there is no admin listener.
    pub management: Option<SocketAddr>,
    /// Descriptor of the inherited client listener, from `GW_SOCKET_FD`.
    pub socket_fd: Option<RawFd>,
    /// Directory of the files by which two processes of one balancer exchange state, from `TMPDIR`.
    pub hot_restart_directory: Option<PathBuf>,
    /// Membership in a fleet, if configured.
    pub fleet: Option<FleetConfig>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the discovery service in the file, even if the environment overrides it.
    discovery_in_file: Option<String>,
    /// Seed of the engine's random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub descriptors_max: usize,
    /// Memory limit of the process, in bytes.
    pub memory_max: usize,
    /// Endpoint list from the configuration file (key `known`), which may be outdated.
    pub stored_endpoint_list: Option<EndpointList>,
    /// Settings of the engine.
    pub settings: Settings,
    /// Names in messages that correspond to the engine's indices.
    pub names: NameTables,
    /// Settings of connections and request limits.
    pub transport: TransportSettings,
    /// Warnings about settings that are valid but probably unintended.
    pub warnings: Vec<String>,
}

/// Content of the configuration file.
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
    /// Loads the file at the path in `GW_CONFIG`. The variables `GW_NAME`, `GW_LISTEN`,
    /// `GW_MANAGEMENT` and `GW_DISCOVERY` override the file.
    ///
    /// # Errors
    /// If the file can't be read, or a value is missing or invalid.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = variable("GW_CONFIG")
            .ok_or_else(|| ConfigError::new("GW_CONFIG", ConfigProblem::NotSet))?;
        let text = std::fs::read_to_string(&path).map_err(|source| {
            ConfigError::new("GW_CONFIG", ConfigProblem::Unreadable { path, source })
        })?;
        Config::parse(&text, variable)
    }

    /// Loads the file again for a running process whose configuration is `self`. A discovery
    /// address that has changed in the file overrides the environment, because the environment
    /// can't change while the process runs and the file is therefore the later source.
    ///
    /// # Errors
    /// As for [`Config::load`].
    pub fn reload(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        self.with_current_discovery(Config::load(variable)?)
    }

    /// Returns `new` with the discovery address of `self`, unless the address in the file has
    /// changed.
    fn with_current_discovery(&self, mut new: Config) -> Result<Config, ConfigError> {
        new.discovery = match &new.discovery_in_file {
            Some(text) if new.discovery_in_file != self.discovery_in_file => {
                parse_address("discovery", text)?
            }
            _ => self.discovery,
        };
        Ok(new)
    }

    /// Returns the keys that differ from `former` and take effect only at startup.
    #[must_use]
    pub fn changed_startup_keys(&self, former: &Config) -> Vec<&'static str> {
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

    /// Parses a configuration file without any environment variables.
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
            stored_endpoint_list: file.known,
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
            ConfigProblem::BelowMinimum { value, minimum },
        ))
    }
}

/// Access to environment variables, whose values override the file.
struct Sources<V> {
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Sources<V> {
    /// Returns the value in effect with the name of the variable or key that it comes from.
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
            let problem = ConfigProblem::ClientListenerAddress(text);
            return Err(ConfigError::new(key, problem));
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

/// Returns the seed: the value of a text of hexadecimal digits, or the hash of any other text.
fn parse_seed(value: &Value) -> u64 {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}

#[cfg(test)]
mod tests;
