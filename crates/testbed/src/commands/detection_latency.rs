//! `testbed detection-latency`: measures how fast the membership crate alone detects deaths and
//! rejoins.

use super::{CommandResult, print_json, sizes_and_losses};
use std::process::ExitCode;
use testbed::simulation::trials;

#[derive(clap::Args)]
pub struct DetectionLatencyArguments {
    /// Numbers of members to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100])]
    members: Vec<usize>,
    /// Ratios of datagrams that are lost, from 0 to 1.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.1, 0.2, 0.3])]
    loss: Vec<f64>,
    /// Number of seeds.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Duration of the span without events in which the rates are measured, in seconds of virtual
    /// time.
    #[arg(long, default_value_t = 30)]
    calm: u64,
    /// First seed; the others follow it.
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
