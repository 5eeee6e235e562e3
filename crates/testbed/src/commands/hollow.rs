//! `testbed hollow`: runs and measures the control plane without data traffic, over real sockets.

use super::{CommandResult, print_json};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use testbed::hollow::{self, HollowEvent, HollowPlan};

#[derive(clap::Args)]
pub struct HollowArguments {
    #[command(flatten)]
    size: FleetArguments,
    /// Duration of the span without events, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Event that is injected after the span without events.
    #[arg(long, value_enum, default_value_t = HollowEvent::None)]
    event: HollowEvent,
}

#[derive(clap::Args)]
pub struct HollowMembersArguments {
    #[command(flatten)]
    size: FleetArguments,
    /// Index of this process, from 0.
    #[arg(long)]
    share: usize,
}

/// Size of the fleet and its distribution over processes.
#[derive(clap::Args)]
struct FleetArguments {
    /// Number of members.
    #[arg(long, default_value_t = 120)]
    members: usize,
    /// Number of regions, which differ in size; 1 disables regions.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// Number of processes among which the members are divided.
    #[arg(long, default_value_t = 4)]
    processes: usize,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl FleetArguments {
    fn plan(&self, seconds: u64, event: HollowEvent) -> HollowPlan {
        HollowPlan {
            members: self.members,
            regions: self.regions,
            processes: self.processes,
            seed: self.seed,
            seconds,
            event,
        }
    }
}

pub fn run(arguments: &HollowArguments, interrupted: &AtomicBool) -> CommandResult {
    let plan = arguments.size.plan(arguments.seconds, arguments.event);
    print_json(&hollow::run(plan, interrupted)?)?;
    Ok(ExitCode::SUCCESS)
}

pub fn run_members(arguments: &HollowMembersArguments) -> CommandResult {
    let plan = arguments.size.plan(0, HollowEvent::None);
    hollow::serve(plan, arguments.share)?;
    Ok(ExitCode::SUCCESS)
}
