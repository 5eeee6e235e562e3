//! The mutation check: for each fault that can be injected, a trial must pass without the fault and
//! fail with it.

use crate::error::TestbedError;
use crate::simulation::{SimulationFailure, trials};
use membership::fault_injection::InjectedFault;
use serde::Serialize;
use std::path::Path;
use std::process::Command;

/// Each fault with the trial that must detect it.
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

/// Result of one fault and its trial.
#[derive(Clone, Debug, Serialize)]
pub struct MutationResult {
    /// Name of the injected fault.
    pub fault: &'static str,
    /// Name of the trial.
    pub trial: &'static str,
    /// Verdict line of the trial without the fault.
    #[serde(rename = "without")]
    pub verdict_without_fault: String,
    /// Verdict line of the trial with the fault.
    #[serde(rename = "with")]
    pub verdict_with_fault: String,
    /// Whether the trial passed without the fault and failed with it.
    pub found: bool,
}

/// Runs the trial of each fault without and with the fault, as child processes of `executable`.
///
/// # Errors
///
/// Returns an error if a trial cannot be started or prints nothing, or if the testbed was built
/// without the feature `fault-injection`.
pub fn check(
    executable: &Path,
    program: Option<&Path>,
) -> Result<Vec<MutationResult>, TestbedError> {
    if !cfg!(feature = "fault-injection") {
        return Err(TestbedError::NoFaultInjection);
    }
    let run_trial = |trial: &str, fault: Option<&str>| -> Result<String, TestbedError> {
        let mut command = Command::new(executable);
        command.args(["run", trial]).env_remove("PIPITRUN_PLANTED");
        if let Some(program) = program {
            command.arg("--program").arg(program);
        }
        if let Some(fault) = fault {
            // The flag injects the fault into member processes, the variable into members that run
            // inside the trial's own process.
            command
                .args(["--planted", fault])
                .env("PIPITRUN_PLANTED", fault);
        }
        let output = command
            .output()
            .map_err(|e| TestbedError::file(executable, e))?;
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
            let verdict_without_fault = run_trial(trial, None)?;
            let verdict_with_fault = run_trial(trial, Some(name))?;
            // `verdict: failed to play` means that the trial could not be run; it detected nothing.
            let found = verdict_without_fault == "verdict: passed"
                && verdict_with_fault.starts_with("verdict: failed ")
                && !verdict_with_fault.ends_with("to play");
            Ok(MutationResult {
                fault: name,
                trial,
                verdict_without_fault,
                verdict_with_fault,
                found,
            })
        })
        .collect()
}

/// Runs the trial in virtual time of this name; `None` if there is no such trial.
pub fn run_virtual(name: &str, seed: u64) -> Option<Result<(), SimulationFailure>> {
    trials::TRIALS
        .iter()
        .find(|(n, _)| *n == name)
        .map(|(_, trial)| trial(seed))
}

#[cfg(test)]
mod tests;
