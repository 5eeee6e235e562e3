//! `testbed chart`: charts and a table of recorded measurements.

use super::{CommandResult, read_json_lines};
use std::path::PathBuf;
use std::process::ExitCode;
use testbed::chart;

/// The time within which views are to settle, as a line in the chart.
const SETTLING_OBJECTIVE_S: f64 = 3.0;

#[derive(clap::Args)]
pub struct ChartArguments {
    /// The folder of reports.
    reports: PathBuf,
    /// Rows of `detection-latency`.
    #[arg(long)]
    measured: Option<PathBuf>,
    /// Where the charts go.
    #[arg(long, default_value = ".")]
    out: PathBuf,
}

pub fn run(arguments: &ChartArguments) -> CommandResult {
    let out = &arguments.out;
    let settled = chart::settled(&chart::reports(&arguments.reports)?);
    print!("{}", chart::table(&settled));
    chart::draw_settled(
        &settled,
        SETTLING_OBJECTIVE_S,
        &out.join("fleet-settled.svg"),
    )?;
    if let Some(path) = &arguments.measured {
        let rows = read_json_lines(path)?;
        let title = "Bytes sent a member a second in calm";
        chart::draw_measured(&rows, "bytes_per_s", title, &out.join("fleet-bytes.svg"))?;
        let title = "Seconds until a tenth's death is known to all";
        chart::draw_measured(&rows, "death_s", title, &out.join("fleet-death.svg"))?;
    }
    Ok(ExitCode::SUCCESS)
}
