//! `testbed shedding`: measures the shedding level of a fleet during an overload, in virtual time.

use super::{CommandResult, print_json, sizes_and_losses};
use std::process::ExitCode;
use testbed::simulation::shedding;

#[derive(clap::Args)]
pub struct SheddingArguments {
    /// Numbers of members to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [4, 12, 40])]
    members: Vec<usize>,
    /// Ratios of datagrams that are lost, from 0 to 1.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.3])]
    loss: Vec<f64>,
    /// Number of seeds; the first is 1.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

pub fn run(arguments: &SheddingArguments) -> CommandResult {
    for (members, loss) in sizes_and_losses(&arguments.members, &arguments.loss) {
        for disturbance in shedding::DISTURBANCES {
            for seed in 1..=arguments.seeds {
                print_json(&shedding::measure(members, loss, seed, disturbance))?;
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
