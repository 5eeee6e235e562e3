//! `testbed chart`: draws charts and prints a table of recorded measurements.

use super::{CommandResult, read_json_lines};
use std::path::PathBuf;
use std::process::ExitCode;
use testbed::chart;

/// Time within which views should become correct, in seconds; also the minimum length of the
/// chart's time axis.
const CONVERGENCE_OBJECTIVE_S: f64 = 3.0;

#[derive(clap::Args)]
pub struct ChartArguments {
    /// Folder of the JSON reports that `run --out` wrote.
    reports: PathBuf,
    /// File of JSON rows that `detection-latency` printed.
    #[arg(long)]
    measured: Option<PathBuf>,
    /// Folder in which the SVG charts are written.
    #[arg(long, default_value = ".")]
    out: PathBuf,
}

pub fn run(arguments: &ChartArguments) -> CommandResult {
    let out = &arguments.out;
    let convergence = chart::convergence_times(&chart::reports(&arguments.reports)?);
    print!("{}", chart::table(&convergence));
    chart::draw_convergence(
        &convergence,
        CONVERGENCE_OBJECTIVE_S,
        &out.join("fleet-settled.svg"),
    )?;
    if let Some(path) = &arguments.measured {
        let rows = read_json_lines(path)?;
        let title = "Bytes sent per member per second without events";
        chart::draw_measured(&rows, "bytes_per_s", title, &out.join("fleet-bytes.svg"))?;
        let title = "Seconds until all members detect the death of a tenth";
        chart::draw_measured(&rows, "death_s", title, &out.join("fleet-death.svg"))?;
    }
    Ok(ExitCode::SUCCESS)
}
