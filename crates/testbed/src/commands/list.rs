//! `testbed list`: lists the scenarios and the trials in virtual time.

use super::CommandResult;
use std::process::ExitCode;
use testbed::scenario_catalog;
use testbed::simulation::trials;

pub fn run() -> CommandResult {
    for name in scenario_catalog::names() {
        println!("{name:14} {}", scenario_catalog::find(name)?.about);
    }
    for (name, _) in trials::TRIALS {
        println!("{name:14} in virtual time");
    }
    Ok(ExitCode::SUCCESS)
}
