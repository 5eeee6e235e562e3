//! The mutation check: each fault that can be injected has to be found by a trial that passes
//! without it.

use crate::error::TestbedError;
use crate::simulation::{SimulationFailure, trials};
use membership::fault_injection::InjectedFault;
use serde::Serialize;
use std::path::Path;
use std::process::Command;

/// Which trial detects which fault.
const DETECTING_TRIALS: [(InjectedFault, &str); 22] = [
    (InjectedFault::NeverRefutes, "lossy"),
    (InjectedFault::PrefersOlderGeneration, "rolling"),
    (InjectedFault::CountsOwnPartitionOnly, "split"),
    (InjectedFault::NeverContactsDeadMembers, "split"),
    (InjectedFault::IgnoresOwnStall, "virtual-asleep"),
    (InjectedFault::SuspectsWhileIsolated, "virtual-deaf"),
    (InjectedFault::SkipsFinalProbe, "virtual-lossy"),
    (InjectedFault::AcceptsForeignFleets, "strangers"),
    (InjectedFault::LeavesSilently, "leave"),
    (InjectedFault::GossipsRecordsOnce, "virtual-newcomer"),
    (InjectedFault::SkipsAntiEntropy, "virtual-return"),
    (InjectedFault::WithholdsShedLevel, "virtual-overload"),
    (InjectedFault::NeverLowersShedLevel, "virtual-overload"),
    (InjectedFault::AcceptsExpiredReports, "virtual-overload"),
    (InjectedFault::ShedsAllTiersAtOnce, "virtual-overload"),
    (
        InjectedFault::DropsSilentRegionsImmediately,
        "regions-split",
    ),
    (InjectedFault::NeverReplacesDelegates, "regions-delegates"),
    (InjectedFault::SkipsRegionAntiEntropy, "regions-lossy"),
    (InjectedFault::AcceptsOlderAnnouncements, "regions-lies"),
    (InjectedFault::AcceptsInvalidAnnouncements, "regions-lies"),
    (InjectedFault::WithholdsOverview, "regions-overview"),
    (InjectedFault::IgnoresReferrals, "regions-referral"),
];

/// One row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct MutationResult {
    /// The injected fault.
    pub fault: &'static str,
    /// The trial.
    pub trial: &'static str,
    /// Its verdict without.
    pub without: String,
    /// Its verdict with it.
    pub with: String,
    /// It passes without and fails with it.
    pub found: bool,
}

/// Runs each fault's trial without and with it, by this very command in processes of its own.
///
/// # Errors
///
/// If a trial can't be started, or faults can't be injected.
pub fn check(own: &Path, program: Option<&Path>) -> Result<Vec<MutationResult>, TestbedError> {
    if !cfg!(feature = "fault-injection") {
        return Err(TestbedError::NoFaultInjection);
    }
    let play = |trial: &str, fault: Option<&str>| -> Result<String, TestbedError> {
        let mut command = Command::new(own);
        command.args(["run", trial]).env_remove("PIPITRUN_PLANTED");
        if let Some(program) = program {
            command.arg("--program").arg(program);
        }
        if let Some(fault) = fault {
            // For the members, which are processes or run in this one.
            command
                .args(["--planted", fault])
                .env("PIPITRUN_PLANTED", fault);
        }
        let output = command.output().map_err(|e| TestbedError::file(own, e))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.lines()
            .last()
            .map(str::to_string)
            .ok_or_else(|| TestbedError::NoVerdict {
                trial: trial.into(),
            })
    };
    DETECTING_TRIALS
        .iter()
        .map(|(fault, trial)| {
            let name = InjectedFault::ALL
                .iter()
                .find(|(f, _)| f == fault)
                .map_or("", |(_, name)| name);
            let (without, with) = (play(trial, None)?, play(trial, Some(name))?);
            let found = without == "verdict: passed"
                && with.starts_with("verdict: failed ")
                && !with.ends_with("to play");
            Ok(MutationResult {
                fault: name,
                trial,
                without,
                with,
                found,
            })
        })
        .collect()
}

/// Plays a trial in virtual time, if there is one of this name.
pub fn play_virtual(name: &str, seed: u64) -> Option<Result<(), SimulationFailure>> {
    trials::TRIALS
        .iter()
        .find(|(n, _)| *n == name)
        .map(|(_, trial)| trial(seed))
}

#[cfg(test)]
mod tests;
