//! `testbed hollow`: the control plane without data traffic, over real sockets.

use super::{CommandResult, print_json};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use testbed::hollow::{self, HollowEvent, HollowPlan};

#[derive(clap::Args)]
pub struct HollowArguments {
    #[command(flatten)]
    layout: Layout,
    /// How long nothing happens, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// What happens then.
    #[arg(long, value_enum, default_value_t = HollowEvent::None)]
    event: HollowEvent,
}

#[derive(clap::Args)]
pub struct HollowMembersArguments {
    #[command(flatten)]
    layout: Layout,
    /// Which of the processes this is.
    #[arg(long)]
    share: usize,
}

/// How hollow members are laid out.
#[derive(clap::Args)]
struct Layout {
    /// Members in all.
    #[arg(long, default_value_t = 120)]
    members: usize,
    /// Regions, uneven; 1: without regions.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// Processes among which the members are divided.
    #[arg(long, default_value_t = 4)]
    processes: usize,
    /// For all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Layout {
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
    let plan = arguments.layout.plan(arguments.seconds, arguments.event);
    print_json(&hollow::run(plan, interrupted)?)?;
    Ok(ExitCode::SUCCESS)
}

pub fn run_members(arguments: &HollowMembersArguments) -> CommandResult {
    let plan = arguments.layout.plan(0, HollowEvent::None);
    hollow::serve(plan, arguments.share)?;
    Ok(ExitCode::SUCCESS)
}
