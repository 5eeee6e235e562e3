//! Errors of the testbed: a trial could not be run or evaluated. A trial that ran and failed is not
//! an error; its report lists the violations.

use crate::capacity::CapacityError;
use crate::hollow::HollowError;
use crate::scenario::{MemberSetError, ScenarioError};
use crate::simulation::SimulationFailure;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Reason why a trial could not be run or evaluated.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A file or folder could not be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file does not contain JSON of the expected form.
    #[error("{}: {source}", path.display())]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// Position and reason, from the JSON parser.
        source: serde_json::Error,
    },
    /// A file does not contain TOML of the expected form.
    #[error("{}: {source}", path.display())]
    Toml {
        /// Path of the file.
        path: PathBuf,
        /// Position and reason, from the TOML parser.
        source: toml::de::Error,
    },
    /// A socket, thread or process could not be set up or used.
    #[error("{context}: {source}")]
    Io {
        /// Name or purpose of the socket, thread or process.
        context: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A record could not be written as JSON.
    #[error("a record cannot be written as JSON: {0}")]
    Serialize(#[from] serde_json::Error),
    /// The machine's clock is set to a time before 1970.
    #[error("the machine's clock is set before 1970: {0}")]
    Clock(#[from] std::time::SystemTimeError),
    /// `--program` does not name an existing file.
    #[error("{} is not a file; --program expects the path of the pipitrun program", .0.display())]
    ProgramNotAFile(PathBuf),
    /// The folder of this executable does not contain the pipitrun program.
    #[error(
        "the program pipitrun is not in the folder of {}; build the workspace first, or pass its \
         path with --program",
        .0.display()
    )]
    ProgramNotFound(PathBuf),
    /// A scenario is neither one of the built-in names nor a readable file.
    #[error("{name}: {source}; a file or one of {known} is expected")]
    ScenarioNotFound {
        /// Name or path that was passed.
        name: String,
        /// Error from reading `name` as a file.
        source: io::Error,
        /// Names of the built-in scenarios, for the message.
        known: String,
    },
    /// A scenario is not valid.
    #[error("{name}: {source}")]
    InvalidScenario {
        /// Name or path of the scenario.
        name: String,
        /// Error that names the invalid setting.
        source: ScenarioError,
    },
    /// A set of members is not valid.
    #[error(transparent)]
    MemberSet(#[from] MemberSetError),
    /// The number of instances or caches is outside the range for which the loopback network has
    /// addresses.
    #[error(
        "the loopback network has addresses for 1 to {max_instances} instances and 1 to \
         {max_caches} caches"
    )]
    ClusterSize {
        /// Maximum number of instances.
        max_instances: usize,
        /// Maximum number of caches.
        max_caches: usize,
    },
    /// The tables of the capacity page could not be computed.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// The plan or the page that holds the tables is invalid.
    #[error("{}: {source}", path.display())]
    CapacityPage {
        /// Path of the plan or the page.
        path: PathBuf,
        /// Error that names the invalid value or the line that differs.
        source: CapacityError,
    },
    /// A run of hollow members failed.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// The settings of the decision engine are invalid.
    #[error(transparent)]
    Settings(#[from] routing::SettingsError),
    /// A simulation run as part of a measurement failed.
    #[error(transparent)]
    Simulation(#[from] SimulationFailure),
    /// The balancers did not become ready within the timeout.
    #[error("the balancers did not become ready in time")]
    NotReady,
    /// A balancer's log ended without a line that contains its listen address.
    #[error("the program's log contains no listen address")]
    NoListenAddress,
    /// The testbed was built without the feature `fault-injection`.
    #[error("the testbed was built without the feature fault-injection")]
    NoFaultInjection,
    /// A trial that ran in a separate process printed no output, so it has no verdict.
    #[error("the trial {trial} printed no verdict")]
    NoVerdict {
        /// Name of the trial.
        trial: String,
    },
    /// A chart could not be drawn.
    #[error("{}: {problem}", path.display())]
    Chart {
        /// Path of the chart's file.
        path: PathBuf,
        /// Error of the drawing library.
        problem: String,
    },
    /// None of the measured rows contains the metric of a chart.
    #[error("none of the measured rows contains a value above 0 for {0}")]
    MissingMetric(String),
    /// SIGINT or SIGTERM ended the trial early.
    #[error("interrupted by a signal")]
    Interrupted,
}

impl TestbedError {
    /// Returns an error of reading or writing a file or folder.
    #[must_use]
    pub fn file(path: &Path, source: io::Error) -> Self {
        TestbedError::File {
            path: path.into(),
            source,
        }
    }

    /// Returns an error of parsing a file as JSON.
    #[must_use]
    pub fn json(path: &Path, source: serde_json::Error) -> Self {
        TestbedError::Json {
            path: path.into(),
            source,
        }
    }

    /// Returns an error of a socket, thread or process.
    #[must_use]
    pub fn io(context: impl Into<String>, source: io::Error) -> Self {
        TestbedError::Io {
            context: context.into(),
            source,
        }
    }
}
