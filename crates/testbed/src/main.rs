//! Command line of the testbed. The last line of a trial's output is its verdict, that of a
//! measurement its result.

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
