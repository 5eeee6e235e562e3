//! `testbed regions`: measures a fleet with regions, in virtual time.

use super::{CommandResult, print_json, sizes_and_losses};
use std::process::ExitCode;
use testbed::simulation::regions::{self, RegionEvents, RegionPlan};

#[derive(clap::Args)]
pub struct RegionsArguments {
    /// Numbers of members to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 600, 1_150])]
    members: Vec<usize>,
    /// Number of regions, which differ in size; 1 is a fleet without the setting `region`.
    #[arg(long, default_value_t = 26)]
    regions: usize,
    /// Ratios of datagrams that are lost, from 0 to 1.
    #[arg(long, value_delimiter = ',', default_values_t = [0.0])]
    loss: Vec<f64>,
    /// Ratio of datagrams between regions that are lost, if it is higher than `--loss`.
    #[arg(long, default_value_t = 0.0)]
    loss_between: f64,
    /// Delay of datagrams between regions, in milliseconds.
    #[arg(long, default_value_t = 40)]
    delay_between: u64,
    /// Number of seeds; the first is 1.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of the span without events, in seconds of virtual time.
    #[arg(long, default_value_t = 30)]
    calm: u64,
    /// Events that are injected after the span without events.
    #[arg(
        long,
        value_enum,
        value_delimiter = ',',
        default_values_t = [EventChoice::Deaths, EventChoice::Losses, EventChoice::Cut]
    )]
    events: Vec<EventChoice>,
}

/// Events that are injected after the span without events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum EventChoice {
    /// No event.
    None,
    /// A member dies and rejoins, then the leader of the largest region dies.
    Deaths,
    /// A rack of members dies and rejoins, then a zone dies.
    Losses,
    /// A region is cut off for one minute and reconnected.
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
