//! `testbed stall`: measures how long a balancer stalls while it processes a large change of the
//! endpoint list.

use super::CommandResult;
use std::path::PathBuf;
use std::process::ExitCode;
use testbed::{process, stall};

#[derive(clap::Args)]
pub struct StallArguments {
    /// Numbers of listed caches and sizes of the added batch, as in `3200:1000`.
    #[arg(
        long,
        value_delimiter = ',',
        default_values = ["200:60", "400:150", "1300:400", "3200:1000"]
    )]
    sizes: Vec<stall::BatchSize>,
    /// Path of the pipitrun program; by default the one in this executable's folder.
    #[arg(long)]
    program: Option<PathBuf>,
}

pub fn run(arguments: &StallArguments) -> CommandResult {
    let program = process::find_program(arguments.program.as_deref())?;
    stall::print_table(&program, &arguments.sizes)?;
    Ok(ExitCode::SUCCESS)
}
