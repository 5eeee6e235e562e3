//! Messages between the parent and the processes of hollow members, a line of JSON each.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// From the parent to a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum MemberCommand {
    /// These members start, as far as they are of this process.
    Start(Vec<usize>),
    /// These are killed.
    Kill(Vec<usize>),
    /// Nothing passes between this region and the others; `None`: all passes.
    Cut(Option<usize>),
    /// What is true from now on.
    Expect {
        /// Counts up; reports say which one they were held against.
        epoch: u64,
        /// Members that run, by region.
        living: BTreeMap<usize, usize>,
    },
}

/// From a process to the parent, some times a second; counts are since its start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct MemberReport {
    /// What the views were held against.
    pub(super) epoch: u64,
    /// All views of its members are true.
    pub(super) settled: bool,
    /// Processor time, without that of the look at the views.
    pub(super) busy_ns: u64,
    /// Datagrams sent.
    pub(super) datagrams: u64,
    /// Their bytes.
    pub(super) bytes: u64,
    /// Bytes of the member that sent most in the last whole second.
    pub(super) worst: u64,
    /// Living members that were taken for dead.
    pub(super) false_deaths: u64,
    /// Resident memory.
    pub(super) resident_kb: usize,
}
