//! Errors in the configuration.

use routing_config::TranslationError;
use std::io;

/// An unusable configuration: which key, and what is wrong with it.
#[derive(Debug, thiserror::Error)]
#[error("configuration: {key}: {problem}")]
pub struct ConfigError {
    /// The key in the file, as a path, or the environment variable.
    pub key: String,
    /// What is wrong with its value.
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

/// What is wrong with the value of a key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigProblem {
    /// The environment variable is not set.
    #[error("is not set")]
    NotSet,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file is not valid JSON, or a value is of a wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Neither the file nor the environment has it.
    #[error("is missing, and {variable} is not set")]
    Missing {
        /// The environment variable.
        variable: &'static str,
    },
    /// It is not an address with a port.
    #[error("\"{0}\" is no address with a port")]
    NotAnAddress(String),
    /// The admin listener has the address of the client listener.
    #[error("\"{0}\" is where clients connect; it must be another address")]
    ClientAddress(String),
    /// It is not the number of a descriptor.
    #[error("\"{0}\" is no number of a descriptor; a listening TCP socket is expected")]
    NotADescriptor(String),
    /// The settings can't be translated.
    #[error(transparent)]
    Translation(#[from] TranslationError),
    /// The engine rejects the value.
    #[error("{0}")]
    Rejected(&'static str),
    /// A limit is too low.
    #[error("{value} is too little, {minimum} is the least")]
    TooLow {
        /// The value.
        value: f64,
        /// The lowest value.
        minimum: usize,
    },
    /// A name is empty or too long.
    #[error("has {length} bytes; 1 to {maximum} are expected")]
    NameLength {
        /// Its length in bytes.
        length: usize,
        /// The longest, in bytes.
        maximum: usize,
    },
    /// Other members can't send to the address.
    #[error("\"{0}\" is no address that others can send to; name one in fleet.advertise")]
    NotReachable(String),
    /// There are too many addresses.
    #[error("names {count} addresses; {maximum} are the most")]
    TooManyAddresses {
        /// How many there are.
        count: usize,
        /// How many there may be.
        maximum: usize,
    },
    /// A number is out of range.
    #[error("{value} is not in {minimum} to {maximum}")]
    OutOfRange {
        /// The value.
        value: usize,
        /// The lowest value.
        minimum: usize,
        /// The highest value.
        maximum: usize,
    },
    /// A time is out of range.
    #[error("{value} ms is not in {minimum} to {maximum}")]
    TimeOutOfRange {
        /// The value, in milliseconds.
        value: u64,
        /// The lowest value, in milliseconds.
        minimum: u64,
        /// The highest value, in milliseconds.
        maximum: u64,
    },
    /// It names a part of a region, but there is no region.
    #[error("says where in a region, and fleet.region is not set")]
    WithoutRegion,
}
