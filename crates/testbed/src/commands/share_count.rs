//! `testbed share-count`: measures the largest sum of shares during splits, in virtual time.

use super::CommandResult;
use std::process::ExitCode;
use testbed::simulation::trials;

/// Numbers of partitions into which the fleet is split.
const PARTITION_COUNTS: [usize; 3] = [2, 3, 5];

#[derive(clap::Args)]
pub struct ShareCountArguments {
    /// Number of members.
    #[arg(long, default_value_t = 12)]
    members: usize,
    /// Number of seeds; the first is 1.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
}

pub fn run(arguments: &ShareCountArguments) -> CommandResult {
    let ShareCountArguments { members, seeds } = *arguments;
    for partitions in PARTITION_COUNTS {
        let mut max_sums = trials::ShareSums::default();
        for seed in 1..=seeds {
            max_sums = max_sums.max(trials::share_sums(members, partitions, seed)?);
        }
        println!(
            "{members} members in {partitions} partitions, {seeds} seeds: largest sum of shares \
             {:.2} without share retention, {:.2} with it",
            max_sums.without_retention, max_sums.with_retention
        );
    }
    Ok(ExitCode::SUCCESS)
}
