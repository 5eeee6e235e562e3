//! `testbed convergence`: which views are wrong, step by step.

use super::CommandResult;
use membership::MS;
use std::process::ExitCode;
use testbed::simulation::trials;

#[derive(clap::Args)]
pub struct ConvergenceArguments {
    /// Members.
    #[arg(long, default_value_t = 100)]
    members: usize,
    /// The share of datagrams that is lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// For all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The time between two lines, in milliseconds.
    #[arg(long, default_value_t = 200)]
    every: u64,
    /// A step that has not settled is ended after this; in seconds.
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
