//! The subcommands, each with its arguments in a module of its own.

mod capacity;
mod chart;
mod convergence;
mod decisions;
mod detection_latency;
mod hollow;
mod list;
mod mutations;
mod regions;
mod run;
mod share_count;
mod shedding;
mod slopes;
mod stall;

use clap::{Parser, Subcommand};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use testbed::error::TestbedError;
use testbed::soak;

/// What a subcommand returns: the exit code, or why it could not run.
type CommandResult = Result<ExitCode, TestbedError>;

/// Trials of many pipitrun processes, with faults between them.
#[derive(Parser)]
#[command(name = "testbed", version, about)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays one scenario, by its name or from a file.
    Run(run::RunArguments),
    /// Names the scenarios, and the trials in virtual time.
    List,
    /// Measures how fast the membership crate alone detects deaths and returns, in virtual time; a
    /// row of JSON for each size, loss and seed.
    #[command(alias = "measure")]
    DetectionLatency(detection_latency::DetectionLatencyArguments),
    /// Measures a fleet in regions, in virtual time; a row of JSON for each size, loss and seed.
    Regions(regions::RegionsArguments),
    /// Runs hollow balancers, the control plane without data traffic, over real sockets on
    /// loopback; the last line is the measurement as JSON.
    Hollow(hollow::HollowArguments),
    /// One process of `hollow`, which starts it.
    #[command(hide = true)]
    HollowMembers(hollow::HollowMembersArguments),
    /// Measures how costs grow, for docs/CAPACITY.md; takes some minutes on a machine that is
    /// otherwise idle.
    Slopes(slopes::SlopesArguments),
    /// Prints, checks or writes the tables of docs/CAPACITY.md, by the plan and the slopes.
    Capacity(capacity::CapacityArguments),
    /// Measures the level at which members shed load together through an overload of twice the
    /// capacity, in virtual time; a row of JSON for each size, loss, disturbance and seed.
    #[command(alias = "levels")]
    Shedding(shedding::SheddingArguments),
    /// Prints which views are wrong in how many pairs of members, step by step, in virtual time:
    /// for tracing what `detection-latency` shows.
    #[command(alias = "course")]
    Convergence(convergence::ConvergenceArguments),
    /// Measures what a decision costs by the number of caches; the last line is the ratio of a
    /// request's cost, largest over smallest number.
    Decisions(decisions::DecisionsArguments),
    /// Measures the longest time without an answer while discovery notifies one real process of a
    /// batch of caches; a row for each size.
    #[command(alias = "silence")]
    Stall(stall::StallArguments),
    /// Runs real balancers between caches, a discovery and clients with faults drawn from a seed,
    /// and checks what all observed against the rules. The last line is the verdict.
    Soak(soak::command::SoakArguments),
    /// Compares what one balancer uses on the same day with few caches and with many against what
    /// it may use.
    Growth(soak::growth::GrowthArguments),
    /// Prints the greatest sum of shares through splits in virtual time, with share retention and
    /// without it.
    #[command(alias = "shares")]
    ShareCount(share_count::ShareCountArguments),
    /// Draws charts and prints a table of what `run --out` and `detection-latency` have written.
    Chart(chart::ChartArguments),
    /// Injects each fault and plays the trial that has to find it; needs the feature `fault-injection`.
    Mutations(mutations::MutationsArguments),
}

impl Command {
    /// Whether the command has processes to end in order when it is interrupted.
    fn handles_interrupts(&self) -> bool {
        matches!(
            self,
            Command::Run(_) | Command::Hollow(_) | Command::HollowMembers(_) | Command::Slopes(_)
        )
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Says what kept a trial from being run to its end.
pub fn execute(command_line: CommandLine) -> CommandResult {
    let command = command_line.command;
    let interrupted = Arc::new(AtomicBool::new(false));
    if command.handles_interrupts() {
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&interrupted)) {
                eprintln!("testbed: signals: {e}");
            }
        }
    }
    match command {
        Command::Run(arguments) => run::run(&arguments, &interrupted),
        Command::List => list::run(),
        Command::DetectionLatency(arguments) => detection_latency::run(&arguments),
        Command::Regions(arguments) => regions::run(&arguments),
        Command::Hollow(arguments) => hollow::run(&arguments, &interrupted),
        Command::HollowMembers(arguments) => hollow::run_members(&arguments),
        Command::Slopes(arguments) => slopes::run(arguments, &interrupted),
        Command::Capacity(arguments) => capacity::run(&arguments),
        Command::Shedding(arguments) => shedding::run(&arguments),
        Command::Convergence(arguments) => convergence::run(&arguments),
        Command::Decisions(arguments) => decisions::run(&arguments),
        Command::Stall(arguments) => stall::run(&arguments),
        Command::Soak(arguments) => soak::command::run(&arguments),
        Command::Growth(arguments) => soak::growth::run(&arguments),
        Command::ShareCount(arguments) => share_count::run(&arguments),
        Command::Chart(arguments) => chart::run(&arguments),
        Command::Mutations(arguments) => mutations::run(&arguments),
    }
}

/// Prints a row of JSON.
fn print_json(row: &impl Serialize) -> Result<(), TestbedError> {
    println!("{}", serde_json::to_string(row)?);
    Ok(())
}

/// Reads lines of JSON from a file.
fn read_json_lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, TestbedError> {
    let text = std::fs::read_to_string(path).map_err(|e| TestbedError::file(path, e))?;
    text.lines()
        .map(|line| serde_json::from_str(line).map_err(|e| TestbedError::json(path, e)))
        .collect()
}

/// All pairs of a size and a loss.
fn sizes_and_losses<'a>(
    sizes: &'a [usize],
    losses: &'a [f64],
) -> impl Iterator<Item = (usize, f64)> + 'a {
    sizes
        .iter()
        .flat_map(|size| losses.iter().map(|loss| (*size, *loss)))
}
