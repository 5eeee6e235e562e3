//! `testbed convergence`: prints the number of incorrect views at regular intervals.

use super::CommandResult;
use membership::MS;
use std::process::ExitCode;
use testbed::simulation::trials;

#[derive(clap::Args)]
pub struct ConvergenceArguments {
    /// Number of members.
    #[arg(long, default_value_t = 100)]
    members: usize,
    /// Ratio of datagrams that are lost, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Interval between two printed lines, in milliseconds of virtual time.
    #[arg(long, default_value_t = 200)]
    every: u64,
    /// Maximum duration of a step that does not converge, in seconds of virtual time.
    #[arg(long, default_value_t = 60)]
    most: u64,
}

pub fn run(arguments: &ConvergenceArguments) -> CommandResult {
    let trace = trials::ConvergenceTrace {
        members: arguments.members,
        loss: arguments.loss,
        seed: arguments.seed,
        interval: arguments.every.max(1) * MS,
        step_limit: arguments.most * 1_000 * MS,
    };
    trace.run(|line| println!("{line}"));
    Ok(ExitCode::SUCCESS)
}
