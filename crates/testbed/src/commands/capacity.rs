//! `testbed capacity`: prints, checks or writes the tables of docs/CAPACITY.md.

use super::CommandResult;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use testbed::capacity::{self, CapacityPlan};
use testbed::error::TestbedError;
use testbed::slopes::Slopes;

#[derive(clap::Args)]
pub struct CapacityArguments {
    /// File of the plan (TOML).
    #[arg(long)]
    plan: PathBuf,
    /// File of the slopes (JSON).
    #[arg(long)]
    slopes: PathBuf,
    /// Page to compare with the computed tables; the first line that differs is an error.
    #[arg(long)]
    check: Option<PathBuf>,
    /// Page in which the tables are replaced by the computed ones.
    #[arg(long, conflicts_with = "check")]
    write: Option<PathBuf>,
}

pub fn run(arguments: &CapacityArguments) -> CommandResult {
    let plan = CapacityPlan::read(&arguments.plan)?;
    let tables = capacity::tables(&plan, &Slopes::read(&arguments.slopes)?)?;
    if let Some(path) = &arguments.check {
        capacity::check(&read_page(path)?, &tables).map_err(|e| e.in_file(path))?;
    } else if let Some(path) = &arguments.write {
        let page = capacity::rewrite(&read_page(path)?, &tables).map_err(|e| e.in_file(path))?;
        std::fs::write(path, page).map_err(|e| TestbedError::file(path, e))?;
    } else {
        for (name, lines) in &tables {
            println!("{name}\n\n{}\n", lines.join("\n"));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn read_page(path: &Path) -> Result<String, TestbedError> {
    std::fs::read_to_string(path).map_err(|e| TestbedError::file(path, e))
}
