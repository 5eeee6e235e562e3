//! `testbed mutations`: checks that each injected fault is detected by its trial.

use super::CommandResult;
use std::path::PathBuf;
use std::process::ExitCode;
use testbed::error::TestbedError;
use testbed::mutations;

#[derive(clap::Args)]
pub struct MutationsArguments {
    /// Path of the pipitrun program, also built with the feature; by default the one in this
    /// executable's folder.
    #[arg(long)]
    program: Option<PathBuf>,
}

pub fn run(arguments: &MutationsArguments) -> CommandResult {
    let own = std::env::current_exe().map_err(|e| TestbedError::io("this program", e))?;
    let results = mutations::check(&own, arguments.program.as_deref())?;
    for result in &results {
        let found = if result.found { "found" } else { "NOT FOUND" };
        println!(
            "| `{}` | `{}` | {found} | {} |",
            result.fault, result.trial, result.verdict_with_fault
        );
    }
    let found = results.iter().filter(|result| result.found).count();
    println!("{found} of {} found", results.len());
    Ok(if found == results.len() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
