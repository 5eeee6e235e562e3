//! Soak trials: real balancers on loopback between simulated caches, discovery and clients, with
//! faults drawn from a seed, and rules that all that was recorded is checked against.

pub mod balancers;
pub mod caches;
pub mod clients;
pub mod command;
pub mod connections;
pub mod discovery;
pub mod growth;
mod injection;
pub mod plan;
pub mod records;
pub mod rule_checker;
mod run;

use crate::error::TestbedError;
use balancers::ProcessUsage;
use clients::Clients;
use plan::SoakPlan;
use records::Records;
use rule_checker::RuleViolation;
use run::SoakRun;
use std::collections::BTreeMap;
use std::path::Path;

/// What one seed showed.
#[derive(Debug)]
pub struct SoakOutcome {
    /// The rules that were broken.
    pub violations: Vec<RuleViolation>,
    /// How many requests ended how.
    pub ends: BTreeMap<String, usize>,
    /// Attempts.
    pub attempts: usize,
    /// By balancer: what its process had used at the end, with the most descriptors that were seen.
    pub usage: Vec<ProcessUsage>,
    /// By balancer: the counters of its last process.
    pub counters: Vec<BTreeMap<String, u64>>,
    /// Bytes of changes that discovery wrote.
    pub change_bytes: u64,
    /// All that was seen.
    pub records: Records,
}

/// Plays a plan with this program; the balancers' logs go to the folder.
///
/// # Errors
///
/// Says which part of the trial itself failed.
pub fn play(plan: SoakPlan, program: &Path, folder: &Path) -> Result<SoakOutcome, TestbedError> {
    std::fs::create_dir_all(folder).map_err(|e| TestbedError::file(folder, e))?;
    let mut run = SoakRun::lay_out(plan, program, folder)?;
    run.start()?;
    let clients = Clients::start(
        run.client_addresses(),
        run.plan.client_behavior.clone(),
        run.status.clone(),
        run.clock,
        run.plan.seed,
    );
    run.play_events();
    Ok(run.finish(clients.stop()))
}
