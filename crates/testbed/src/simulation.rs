//! Simulation of a fleet: members of the `membership` crate side by side in virtual time, seeded
//! and without a machine's pace.

pub mod fleet;
pub mod region_trials;
pub mod regions;
pub mod shedding;
pub mod trials;

use std::net::SocketAddr;
use thiserror::Error;

/// What a simulation trial found.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SimulationFailure {
    /// Views were not true in time.
    #[error("{phase}: not settled after {ceiling_s} s")]
    NotSettled {
        /// What was waited for.
        phase: String,
        /// For how long, in seconds.
        ceiling_s: u64,
    },
    /// Living members were taken for dead.
    #[error("{0} deaths that were none")]
    FalseDeaths(u64),
    /// A member that hears nobody declared another one dead.
    #[error("the deaf one gave {0} up")]
    AccusedWhileIsolated(SocketAddr),
    /// A member suspected others because it had stalled itself.
    #[error("it suspected {0} others for its own sleep")]
    SuspectedAfterStall(u64),
    /// A new member lacks metadata of others.
    #[error("{member}: {known} of {expected} records")]
    MissingMetadata {
        /// The new member.
        member: SocketAddr,
        /// Whose metadata it has.
        known: usize,
        /// How many there are.
        expected: usize,
    },
    /// Returned members were known to all too late.
    #[error("back: known to all after {0} ms")]
    SlowReturn(u64),
    /// Shares sum to more than their bound.
    #[error("{context}the shares sum to {sum:.2}")]
    ShareSum {
        /// In which case, with a colon and a space; may be empty.
        context: String,
        /// The sum.
        sum: f64,
    },
    /// Members count more than there are.
    #[error("shares are divided by {count}, and {members} members run")]
    ShareCount {
        /// The count.
        count: usize,
        /// Members that run.
        members: usize,
    },
    /// A region has no delegate.
    #[error("nobody speaks for the first region")]
    NoDelegate,
    /// The fleet has no second region.
    #[error("one region only")]
    OneRegion,
    /// Shedding did not do what it should.
    #[error("{problem}: {details}")]
    Shedding {
        /// What was wrong.
        problem: &'static str,
        /// The disturbance and what was measured.
        details: String,
    },
    /// The shedding level follows reports of dead members.
    #[error("words of the dead are believed: level {0:.2}")]
    StaleReports(f64),
}
