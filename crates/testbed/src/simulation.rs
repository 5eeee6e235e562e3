//! Simulation of a fleet of `membership` members in virtual time, reproducible by its seed.

pub mod fleet;
pub mod region_trials;
pub mod regions;
pub mod shedding;
pub mod trials;

use std::net::SocketAddr;
use thiserror::Error;

/// Failure of a simulation trial.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SimulationFailure {
    /// The members' views were still wrong at the timeout.
    #[error("{phase}: views have not converged after {timeout_s} s")]
    NotConverged {
        /// Phase of the trial.
        phase: String,
        /// Timeout in virtual time, in seconds.
        timeout_s: u64,
    },
    /// Running members were declared dead this many times.
    #[error("running members were declared dead {0} times")]
    FalseDeaths(u64),
    /// A member whose inbound datagrams were cut off declared another member dead.
    #[error("the member with inbound traffic cut off declared {0} dead")]
    DeclaredDeadWhileIsolated(SocketAddr),
    /// A member suspected others after its own stall.
    #[error("the stalled member suspected {0} other members after its own stall")]
    SuspectedAfterStall(u64),
    /// A new member lacks the metadata of other members.
    #[error("{member}: has the metadata of {known} of {expected} members")]
    MissingMetadata {
        /// The new member.
        member: SocketAddr,
        /// Number of other members whose metadata it has.
        known: usize,
        /// Number of other members.
        expected: usize,
    },
    /// Restarted members were in all views only after this time, in milliseconds, which exceeds
    /// the maximum.
    #[error("restarted members were in all views only after {0} ms")]
    SlowRejoin(u64),
    /// The sum of shares exceeds its bound.
    #[error("{context}the shares sum to {sum:.2}, which exceeds their bound")]
    ShareSum {
        /// Checked case, followed by a colon and a space; empty if there is only one.
        context: String,
        /// Sum of the shares of all members.
        sum: f64,
    },
    /// The share count of a member exceeds the number of running members.
    #[error("share count is {count}, but only {members} members run")]
    ShareCount {
        /// Greatest share count of a member.
        count: usize,
        /// Number of running members.
        members: usize,
    },
    /// A region has no delegate.
    #[error("the first region has no delegate")]
    NoDelegate,
    /// A delegate sees no region other than its own.
    #[error("the delegate sees no other region")]
    SingleRegion,
    /// Shared shedding missed a target.
    #[error("{problem}: {details}")]
    Shedding {
        /// Description of the missed target.
        problem: &'static str,
        /// The injected disturbance and the measurement.
        details: String,
    },
    /// The shedding level still follows expired reports of dead members.
    #[error("expired reports of dead members are still used: shedding level {0:.2}")]
    StaleReports(f64),
}
