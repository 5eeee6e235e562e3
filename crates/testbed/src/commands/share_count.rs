//! `testbed share-count`: the greatest sum of shares through splits.

use super::CommandResult;
use std::process::ExitCode;
use testbed::simulation::trials;

/// Into how many parts the fleet is split.
const PARTS: [usize; 3] = [2, 3, 5];

#[derive(clap::Args)]
pub struct ShareCountArguments {
    /// Members.
    #[arg(long, default_value_t = 12)]
    members: usize,
    /// Seeds, from 1.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
}

pub fn run(arguments: &ShareCountArguments) -> CommandResult {
    let ShareCountArguments { members, seeds } = *arguments;
    for parts in PARTS {
        let mut most = trials::ShareSums::default();
        for seed in 1..=seeds {
            most = most.max(trials::share_sums(members, parts, seed)?);
        }
        println!(
            "{members} members in {parts} parts, {seeds} seeds: {:.2} at once, {:.2} by the rule",
            most.without_retention, most.with_retention
        );
    }
    Ok(ExitCode::SUCCESS)
}
