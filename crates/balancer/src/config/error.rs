//! Configuration errors.

use routing_config::TranslationError;
use std::io;

/// Error in the configuration, with the key that it concerns.
#[derive(Debug, thiserror::Error)]
#[error("configuration: {key}: {problem}")]
pub struct ConfigError {
    /// Path of the key in the file, or name of the environment variable.
    pub key: String,
    /// Problem with the value of the key.
    #[source]
    pub problem: ConfigProblem,
}

impl ConfigError {
    pub(super) fn new(key: impl Into<String>, problem: ConfigProblem) -> Self {
        ConfigError {
            key: key.into(),
            problem,
        }
    }
}

/// Problem with the value of a key. The text follows the key in the message of [`ConfigError`].
#[derive(Debug, thiserror::Error)]
pub enum ConfigProblem {
    /// The environment variable is not set.
    #[error("is not set; expected the path of the configuration file")]
    NotSet,
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not valid JSON, or a value is of a wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Neither the file nor the environment has the value.
    #[error("is missing from the file, and {variable} is not set")]
    Missing {
        /// Name of the environment variable.
        variable: &'static str,
    },
    /// The value is not an IP address with a port.
    #[error("\"{0}\" is not an IP address with a port")]
    NotAnAddress(String),
    /// The admin listener has the address of the client listener.
    #[error("\"{0}\" is the address of the client listener; expected a different address")]
    ClientListenerAddress(String),
    /// The value is not the number of a descriptor.
    #[error("\"{0}\" is not a descriptor number; expected that of a listening TCP socket")]
    NotADescriptor(String),
    /// The settings can't be translated.
    #[error(transparent)]
    Translation(#[from] TranslationError),
    /// The engine rejects the value.
    #[error("{0}")]
    Rejected(&'static str),
    /// The limit is below its minimum.
    #[error("{value} is below the minimum of {minimum}")]
    BelowMinimum {
        /// The configured value.
        value: f64,
        /// Minimum value.
        minimum: usize,
    },
    /// The name is empty or too long.
    #[error("the name has {length} bytes; expected 1 to {maximum}")]
    NameLength {
        /// Length of the name in bytes.
        length: usize,
        /// Maximum length in bytes.
        maximum: usize,
    },
    /// Other members can't send to the address: its IP address is unspecified or its port is 0.
    #[error(
        "other members can't send to \"{0}\"; set fleet.advertise to an address that they can reach"
    )]
    NotReachable(String),
    /// The list has too many addresses.
    #[error("has {count} addresses; the maximum is {maximum}")]
    TooManyAddresses {
        /// Number of addresses in the list.
        count: usize,
        /// Maximum number of addresses.
        maximum: usize,
    },
    /// The number is out of range.
    #[error("{value} is out of range; expected {minimum} to {maximum}")]
    OutOfRange {
        /// The configured value.
        value: usize,
        /// Minimum value.
        minimum: usize,
        /// Maximum value.
        maximum: usize,
    },
    /// The time is out of range.
    #[error("{value} ms is out of range; expected {minimum} to {maximum} ms")]
    TimeOutOfRange {
        /// The configured value, in milliseconds.
        value: u64,
        /// Minimum value, in milliseconds.
        minimum: u64,
        /// Maximum value, in milliseconds.
        maximum: u64,
    },
    /// A zone or site is configured without a region.
    #[error("is set without fleet.region; a zone or site requires a region")]
    WithoutRegion,
}
