//! Runs trials from the command line; the last line of the output is the verdict or the
//! measurement.

mod commands;

use clap::Parser;
use commands::CommandLine;
use std::process::ExitCode;

fn main() -> ExitCode {
    commands::execute(CommandLine::parse()).unwrap_or_else(|e| {
        eprintln!("testbed: {e}");
        println!("verdict: failed to play");
        ExitCode::FAILURE
    })
}
