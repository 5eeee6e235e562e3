//! Messages between the parent and the member processes, one line of JSON each.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Message from the parent to a member process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum MemberCommand {
    /// Starts these members; a process starts only its own.
    Start(Vec<usize>),
    /// Kills these members.
    Kill(Vec<usize>),
    /// Drops all datagrams between this region and the others; `None` ends the cut.
    Cut(Option<usize>),
    /// Sets the state that the members' views must show from now on.
    Expect {
        /// Number of the expected state, counted up; reports name the state they refer to.
        epoch: u64,
        /// Number of running members, by region.
        #[serde(rename = "living")]
        running: BTreeMap<usize, usize>,
    },
}

/// Message from a member process to the parent, sent every 100 ms. Counters are since the start of
/// the process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct MemberReport {
    /// Number of the expected state that the views were compared with.
    pub(super) epoch: u64,
    /// Whether the views of all members of the process are correct.
    #[serde(rename = "settled")]
    pub(super) converged: bool,
    /// CPU time of the process in nanoseconds, without that of creating the reports.
    #[serde(rename = "busy_ns")]
    pub(super) cpu_ns: u64,
    /// Number of datagrams sent.
    pub(super) datagrams: u64,
    /// Number of bytes sent.
    pub(super) bytes: u64,
    /// Maximum number of bytes that any member sent in the last complete second.
    #[serde(rename = "worst")]
    pub(super) max_bytes_per_s: u64,
    /// Number of times that a running member was reported dead.
    pub(super) false_deaths: u64,
    /// Resident memory of the process, in KB.
    pub(super) resident_kb: usize,
}
