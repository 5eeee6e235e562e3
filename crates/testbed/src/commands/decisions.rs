//! `testbed decisions`: measures the CPU time of the decision engine by the number of caches.

use super::CommandResult;
use std::process::ExitCode;
use testbed::decisions;

#[derive(clap::Args)]
pub struct DecisionsArguments {
    /// Numbers of caches to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [13, 50, 200, 1_300])]
    caches: Vec<usize>,
    /// Duration of each measurement, in seconds of virtual time.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Number of rounds; the minimum of each value is printed.
    #[arg(long, default_value_t = 5)]
    rounds: u64,
}

pub fn run(arguments: &DecisionsArguments) -> CommandResult {
    let costs = decisions::measure(&arguments.caches, arguments.seconds, arguments.rounds)?;
    println!("caches  request us  first request us  change ms  housekeeping ms  core %");
    for cost in &costs {
        println!(
            "{:6}  {:10.2}  {:16.2}  {:9.3}  {:15.3}  {:6.2}",
            cost.caches,
            cost.request_us,
            cost.first_request_us,
            cost.change_ms,
            cost.housekeeping_ms,
            cost.core_percent
        );
    }
    let smallest = costs.iter().min_by_key(|cost| cost.caches);
    let largest = costs.iter().max_by_key(|cost| cost.caches);
    if let (Some(smallest), Some(largest)) = (smallest, largest) {
        println!("ratio {:.2}", largest.request_us / smallest.request_us);
    }
    Ok(ExitCode::SUCCESS)
}
