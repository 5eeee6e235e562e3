//! `testbed regions`: measures a fleet in regions.

use super::{CommandResult, print_json, sizes_and_losses};
use std::process::ExitCode;
use testbed::simulation::regions::{self, RegionEvents, RegionPlan};

#[derive(clap::Args)]
pub struct RegionsArguments {
    /// Sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 600, 1_150])]
    members: Vec<usize>,
    /// Regions, uneven; 1: one region, as without the key.
    #[arg(long, default_value_t = 26)]
    regions: usize,
    /// Shares of datagrams that are lost.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0])]
    loss: Vec<f64>,
    /// The share that is lost between regions, where that is more.
    #[arg(long, default_value_t = 0.0)]
    loss_between: f64,
    /// How long datagrams take from one region to another, in milliseconds.
    #[arg(long, default_value_t = 40)]
    delay_between: u64,
    /// Seeds, from 1.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long nothing happens, in seconds.
    #[arg(long, default_value_t = 30)]
    calm: u64,
    /// What happens after the calm.
    #[arg(
        long,
        value_enum,
        value_delimiter = ',',
        default_values_t = [EventChoice::Deaths, EventChoice::Losses, EventChoice::Cut]
    )]
    events: Vec<EventChoice>,
}

/// What happens after the calm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum EventChoice {
    /// Nothing.
    None,
    /// One dies and is back, then the leader of the largest region.
    Deaths,
    /// A rack dies and is back, then a zone.
    Losses,
    /// A region is cut off for a minute and is back.
    Cut,
}

impl RegionsArguments {
    fn events(&self) -> RegionEvents {
        let has = |choice| self.events.contains(&choice);
        RegionEvents {
            member_deaths: has(EventChoice::Deaths),
            group_deaths: has(EventChoice::Losses),
            region_cut: has(EventChoice::Cut),
        }
    }
}

pub fn run(arguments: &RegionsArguments) -> CommandResult {
    for (members, loss) in sizes_and_losses(&arguments.members, &arguments.loss) {
        for seed in 1..=arguments.seeds {
            print_json(&regions::measure(RegionPlan {
                members,
                regions: arguments.regions,
                seed,
                loss,
                loss_between: arguments.loss_between,
                delay_between_ms: arguments.delay_between,
                calm_s: arguments.calm,
                events: arguments.events(),
            }))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}
