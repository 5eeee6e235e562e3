//! Why a trial could not be run or evaluated. A trial that ran and failed is no error; see its
//! report.

use crate::capacity::CapacityError;
use crate::hollow::HollowError;
use crate::scenario::{MemberSetError, ScenarioError};
use crate::simulation::SimulationFailure;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a trial could not be run or evaluated.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A file or folder could not be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Which one.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file holds no JSON of the expected form.
    #[error("{}: {source}", path.display())]
    Json {
        /// Which one.
        path: PathBuf,
        /// Where and why.
        source: serde_json::Error,
    },
    /// A file holds no TOML of the expected form.
    #[error("{}: {source}", path.display())]
    Toml {
        /// Which one.
        path: PathBuf,
        /// Where and why.
        source: toml::de::Error,
    },
    /// A socket, thread or process could not be set up or used.
    #[error("{context}: {source}")]
    Io {
        /// What for.
        context: String,
        /// Why.
        source: io::Error,
    },
    /// A record could not be written as JSON.
    #[error("JSON: {0}")]
    Serialize(#[from] serde_json::Error),
    /// The clock of the machine stands before 1970.
    #[error("clock: {0}")]
    Clock(#[from] std::time::SystemTimeError),
    /// The program that was named is not there.
    #[error("{} is no file", .0.display())]
    ProgramNotAFile(PathBuf),
    /// The program was looked for beside this one.
    #[error(
        "no pipitrun beside {}; build the workspace first, or name it with --program",
        .0.display()
    )]
    ProgramNotFound(PathBuf),
    /// A scenario is neither known by name nor a readable file.
    #[error("{name}: {source}; a file or one of {known} is expected")]
    ScenarioNotFound {
        /// The name.
        name: String,
        /// Why it could not be read as a file.
        source: io::Error,
        /// The names that are known.
        known: String,
    },
    /// A scenario is not valid.
    #[error("{name}: {source}")]
    InvalidScenario {
        /// The scenario.
        name: String,
        /// What is wrong.
        source: ScenarioError,
    },
    /// A set of members is not valid.
    #[error(transparent)]
    MemberSet(#[from] MemberSetError),
    /// More instances or caches than the loopback network has addresses for.
    #[error("1 to {max_instances} instances and 1 to {max_caches} caches have room")]
    ClusterSize {
        /// Instances at most.
        max_instances: usize,
        /// Caches at most.
        max_caches: usize,
    },
    /// The tables of the capacity page could not be computed.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// The tables of a page could not be checked or written.
    #[error("{}: {source}", path.display())]
    CapacityPage {
        /// The page.
        path: PathBuf,
        /// What is wrong.
        source: CapacityError,
    },
    /// A run of hollow members failed.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// Settings of the decision module contradict themselves.
    #[error(transparent)]
    Settings(#[from] routing::SettingsError),
    /// A simulation that a measurement needs failed.
    #[error(transparent)]
    Simulation(#[from] SimulationFailure),
    /// Balancers did not become ready in time.
    #[error("the balancers do not become ready")]
    NotReady,
    /// A balancer's log does not name the address it listens on.
    #[error("the program does not say where it listens")]
    NoListenAddress,
    /// Fault injection is not compiled in.
    #[error("built without the feature fault-injection")]
    NoFaultInjection,
    /// A trial in a process of its own printed nothing.
    #[error("{trial}: no verdict")]
    NoVerdict {
        /// The trial.
        trial: String,
    },
    /// A chart could not be drawn.
    #[error("{}: {problem}", path.display())]
    Chart {
        /// Its file.
        path: PathBuf,
        /// Why.
        problem: String,
    },
    /// No row holds the figure that a chart is to show.
    #[error("no row has {0}")]
    MissingFigure(String),
    /// A signal ended the trial.
    #[error("interrupted")]
    Interrupted,
}

impl TestbedError {
    /// An error of a file or folder.
    #[must_use]
    pub fn file(path: &Path, source: io::Error) -> Self {
        TestbedError::File {
            path: path.into(),
            source,
        }
    }

    /// An error of a file of JSON.
    #[must_use]
    pub fn json(path: &Path, source: serde_json::Error) -> Self {
        TestbedError::Json {
            path: path.into(),
            source,
        }
    }

    /// An error of a socket, thread or process.
    #[must_use]
    pub fn io(context: impl Into<String>, source: io::Error) -> Self {
        TestbedError::Io {
            context: context.into(),
            source,
        }
    }
}
