//! Soak trials: real balancers on loopback with simulated caches, discovery and clients. Faults are
//! randomly generated from a seed, and the records of all services are checked against rules.

pub mod balancers;
pub mod caches;
pub mod clients;
pub mod command;
pub mod connections;
pub mod discovery;
pub mod growth;
mod injection;
pub mod load;
pub mod plan;
pub mod records;
pub mod responses;
pub mod rule_checker;
mod run;
pub mod theme;

use crate::error::TestbedError;
use balancers::ProcessUsage;
use clients::Clients;
use plan::SoakPlan;
use records::Records;
use rule_checker::RuleViolation;
use run::SoakRun;
use std::collections::BTreeMap;
use std::path::Path;

/// Results of one seed.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Violations of the rules, in order of time.
    pub violations: Vec<RuleViolation>,
    /// Number of requests by [`RequestEnd`](records::RequestEnd).
    pub ends: BTreeMap<String, usize>,
    /// Number of attempts that caches received.
    pub attempts: usize,
    /// Resources that the last process of each balancer used; descriptors are the maximum seen.
    pub usage: Vec<ProcessUsage>,
    /// Counters of the last process of each balancer.
    pub counters: Vec<BTreeMap<String, u64>>,
    /// Number of bytes of list changes that discovery wrote, full lists not included.
    pub change_bytes: u64,
    /// Records of all services and processes.
    pub records: Records,
}

/// Runs a plan with this program. Configurations and logs of the balancers are written to `folder`.
///
/// # Errors
///
/// Returns an error if the trial itself could not be run.
pub fn run_plan(
    plan: SoakPlan,
    program: &Path,
    folder: &Path,
) -> Result<SoakOutcome, TestbedError> {
    std::fs::create_dir_all(folder).map_err(|e| TestbedError::file(folder, e))?;
    let mut run = SoakRun::set_up(plan, program, folder)?;
    run.start()?;
    let clients = Clients::start(
        run.client_addresses(),
        run.plan.client_behavior.clone(),
        run.status.clone(),
        run.clock,
        run.plan.seed,
    );
    run.run_events();
    Ok(run.finish(clients.stop()))
}
