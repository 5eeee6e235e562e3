//! `testbed slopes`: measures how costs grow with the size of a fleet.

use super::{CommandResult, read_json_lines};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use testbed::error::TestbedError;
use testbed::simulation::regions::RegionMeasurement;
use testbed::slopes::{self, SlopeSizes, Slopes};

#[derive(clap::Args)]
pub struct SlopesArguments {
    /// File to which the slopes are written (JSON).
    #[arg(long)]
    out: PathBuf,
    /// Numbers of caches for the decision engine.
    #[arg(long, value_delimiter = ',', default_values_t = [13, 50, 200, 1_300])]
    caches: Vec<usize>,
    /// Numbers of members of a fleet of one region, in virtual time.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 600])]
    one_region: Vec<usize>,
    /// Numbers of members of a fleet with regions, in virtual time; larger fleets are better
    /// measured by separate runs of `regions` and added with `--add`.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 600])]
    in_regions: Vec<usize>,
    /// Numbers of hollow members of a fleet with regions, over real sockets.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 600, 1_150])]
    hollow: Vec<usize>,
    /// Number of regions.
    #[arg(long, default_value_t = 26)]
    regions: usize,
    /// Files of JSON rows that `regions` printed; adds them to the existing file `--out` instead of
    /// measuring.
    #[arg(long)]
    add: Vec<PathBuf>,
}

pub fn run(arguments: SlopesArguments, interrupted: &AtomicBool) -> CommandResult {
    let mut rows = Vec::<RegionMeasurement>::new();
    for path in &arguments.add {
        rows.extend(read_json_lines(path)?);
    }
    let out = arguments.out;
    let slopes = if arguments.add.is_empty() {
        let sizes = SlopeSizes {
            caches: arguments.caches,
            one_region: arguments.one_region,
            in_regions: arguments.in_regions,
            hollow: arguments.hollow,
            regions: arguments.regions,
        };
        slopes::measure(&sizes, interrupted)?
    } else {
        slopes::extend(Slopes::read(&out)?, &rows)
    };
    let text = serde_json::to_string_pretty(&slopes)?;
    std::fs::write(&out, text + "\n").map_err(|e| TestbedError::file(&out, e))?;
    Ok(ExitCode::SUCCESS)
}
