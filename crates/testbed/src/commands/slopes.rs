//! `testbed slopes`: measures how costs grow.

use super::{CommandResult, read_json_lines};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use testbed::error::TestbedError;
use testbed::simulation::regions::RegionMeasurement;
use testbed::slopes::{self, SlopeSizes, Slopes};

#[derive(clap::Args)]
pub struct SlopesArguments {
    /// Where they are written.
    #[arg(long)]
    out: PathBuf,
    /// Numbers of caches.
    #[arg(long, value_delimiter = ',', default_values_t = [13, 50, 200, 1_300])]
    caches: Vec<usize>,
    /// Members of one region, in virtual time.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 600])]
    one_region: Vec<usize>,
    /// Members of a fleet in regions, in virtual time; larger ones are better measured apart, see
    /// `--add`.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 600])]
    in_regions: Vec<usize>,
    /// Hollow members over real sockets.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 600, 1_150])]
    hollow: Vec<usize>,
    /// Regions.
    #[arg(long, default_value_t = 26)]
    regions: usize,
    /// Measures nothing, and adds these rows that `regions` printed to the file that is there.
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
