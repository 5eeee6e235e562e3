//! Subcommands of the testbed. Each module holds the arguments and the code of one subcommand.

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

/// Result of a subcommand: the exit code, or the reason why it could not run.
type CommandResult = Result<ExitCode, TestbedError>;

/// Runs trials of many pipitrun processes with injected faults.
#[derive(Parser)]
#[command(name = "testbed", version, about)]
pub struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one scenario, by its name or from a file, and checks the invariants.
    Run(run::RunArguments),
    /// Lists the scenarios and the trials in virtual time.
    List,
    /// Measures how fast the membership crate alone detects deaths and rejoins, in virtual time;
    /// prints one row of JSON per size, loss ratio and seed.
    #[command(alias = "measure")]
    DetectionLatency(detection_latency::DetectionLatencyArguments),
    /// Measures a fleet with regions, in virtual time; prints one row of JSON per size, loss ratio
    /// and seed.
    Regions(regions::RegionsArguments),
    /// Runs hollow balancers (the control plane without data traffic) over real sockets on
    /// loopback; the last line is the measurement as JSON.
    Hollow(hollow::HollowArguments),
    /// Runs one member process; started by `hollow`.
    #[command(hide = true)]
    HollowMembers(hollow::HollowMembersArguments),
    /// Measures how costs grow with the size of a fleet, for docs/CAPACITY.md; takes some minutes
    /// on an otherwise idle machine.
    Slopes(slopes::SlopesArguments),
    /// Prints, checks or writes the tables of docs/CAPACITY.md, computed from the plan and the
    /// slopes.
    Capacity(capacity::CapacityArguments),
    /// Measures the shedding level of a fleet during an overload of twice its capacity, in virtual
    /// time; prints one row of JSON per size, loss ratio, disturbance and seed.
    #[command(alias = "levels")]
    Shedding(shedding::SheddingArguments),
    /// Prints the number of pairs of members with an incorrect view, by kind of view, at regular
    /// intervals of virtual time; traces the steps that `detection-latency` measures.
    #[command(alias = "course")]
    Convergence(convergence::ConvergenceArguments),
    /// Measures the CPU time of the decision engine by the number of caches; the last line is the
    /// ratio of the cost of a request at the largest number to that at the smallest.
    Decisions(decisions::DecisionsArguments),
    /// Measures the longest response time of one real process while discovery notifies it of a
    /// batch of caches; prints one row per size.
    #[command(alias = "silence")]
    Stall(stall::StallArguments),
    /// Runs real balancers between simulated caches, discovery and clients with faults generated
    /// from a seed, and checks the records against the rules; the last line is the verdict.
    Soak(soak::command::SoakArguments),
    /// Measures the resources that one balancer uses for the same traffic with few and with many
    /// caches, and checks their growth against limits; the last line is the verdict.
    Growth(soak::growth::GrowthArguments),
    /// Prints the largest sum of shares during splits in virtual time, with and without share
    /// retention.
    #[command(alias = "shares")]
    ShareCount(share_count::ShareCountArguments),
    /// Draws charts and prints a table of the results of `run --out` and `detection-latency`.
    Chart(chart::ChartArguments),
    /// Injects each fault and runs the trial that must detect it; needs the feature
    /// `fault-injection`.
    Mutations(mutations::MutationsArguments),
}

impl Command {
    /// Returns whether SIGINT and SIGTERM set a flag instead of ending the process at once.
    /// Commands with child processes shut these down first; `hollow-members` exits when its parent
    /// closes its standard input.
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
/// Returns the reason why the subcommand could not complete.
pub fn execute(command_line: CommandLine) -> CommandResult {
    let command = command_line.command;
    let interrupted = Arc::new(AtomicBool::new(false));
    if command.handles_interrupts() {
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&interrupted)) {
                eprintln!(
                    "testbed: cannot register the signal handler: {e}; child processes may keep \
                     running after an interrupt"
                );
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

/// Prints a value as one line of JSON.
fn print_json(row: &impl Serialize) -> Result<(), TestbedError> {
    println!("{}", serde_json::to_string(row)?);
    Ok(())
}

/// Reads a file that contains one JSON value per line.
fn read_json_lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, TestbedError> {
    let text = std::fs::read_to_string(path).map_err(|e| TestbedError::file(path, e))?;
    text.lines()
        .map(|line| serde_json::from_str(line).map_err(|e| TestbedError::json(path, e)))
        .collect()
}

/// Returns all pairs of a size and a loss ratio.
fn sizes_and_losses<'a>(
    sizes: &'a [usize],
    losses: &'a [f64],
) -> impl Iterator<Item = (usize, f64)> + 'a {
    sizes
        .iter()
        .flat_map(|size| losses.iter().map(|loss| (*size, *loss)))
}
