//! `testbed detection-latency`: how fast the membership crate alone detects deaths and returns.

use super::{CommandResult, print_json, sizes_and_losses};
use std::process::ExitCode;
use testbed::simulation::trials;

#[derive(clap::Args)]
pub struct DetectionLatencyArguments {
    /// Sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100])]
    members: Vec<usize>,
    /// Shares of datagrams that are lost.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.1, 0.2, 0.3])]
    loss: Vec<f64>,
    /// How many seeds.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// How long nothing happens, for the figures a second; in seconds.
    #[arg(long, default_value_t = 30)]
    calm: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
}

pub fn run(arguments: &DetectionLatencyArguments) -> CommandResult {
    for (members, loss) in sizes_and_losses(&arguments.members, &arguments.loss) {
        for seed in arguments.first..arguments.first + arguments.seeds {
            print_json(&trials::measure(members, loss, seed, arguments.calm))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}
