//! `testbed soak`: runs a range of seeds, prints a row and the violations of each, and the verdict.

use super::plan::generate;
use super::{SoakOutcome, run_plan};
use crate::error::TestbedError;
use crate::process;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Maximum number of violations that are printed per seed.
const PRINTED_VIOLATIONS_MAX: usize = 6;

/// Arguments of `testbed soak`.
#[derive(clap::Args)]
pub struct SoakArguments {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Runs only 2 to 4 balancers, as in CI.
    #[arg(long)]
    short: bool,
    /// Number of seeds that run concurrently.
    #[arg(long, default_value_t = 1)]
    at_once: usize,
    /// Folder in which the logs, configurations and records of each seed are kept.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Path of the pipitrun program; by default the one in this executable's folder.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Runs all seeds. A trial that could not be run counts as a failed seed.
///
/// # Errors
///
/// Returns an error if the program is not found.
pub fn run(arguments: &SoakArguments) -> Result<ExitCode, TestbedError> {
    let program = process::find_program(arguments.program.as_deref())?;
    let next = AtomicU64::new(arguments.seed);
    let end = arguments.seed + arguments.seeds;
    let failed: Mutex<Vec<String>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..arguments.at_once.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    if let Some(failure) = run_seed(seed, arguments, &program)
                        && let Ok(mut failed) = failed.lock()
                    {
                        failed.push(failure);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap_or_else(PoisonError::into_inner);
    if failed.is_empty() {
        println!("verdict: passed");
        return Ok(ExitCode::SUCCESS);
    }
    println!("verdict: failed {}", failed.join(", "));
    Ok(ExitCode::FAILURE)
}

/// Runs one seed. Returns the seed and the violated rules for the verdict; `None` if it passed.
fn run_seed(seed: u64, arguments: &SoakArguments, program: &Path) -> Option<String> {
    let plan = generate(seed, arguments.short);
    let (balancers, caches) = (plan.balancers, plan.caches);
    let temporary_folder =
        std::env::temp_dir().join(format!("pipitrun-soak-{}-{seed}", std::process::id()));
    let kept_folder = arguments
        .out
        .as_ref()
        .map(|out| out.join(format!("seed-{seed}")));
    let folder = kept_folder.clone().unwrap_or(temporary_folder);
    let outcome = match run_plan(plan, program, &folder) {
        Ok(outcome) => outcome,
        Err(e) => {
            println!("seed {seed}: the trial could not be run: {e}");
            return Some(format!("seed {seed} (trial)"));
        }
    };
    let ends: Vec<String> = outcome
        .ends
        .iter()
        .map(|(end, count)| format!("{end} {count}"))
        .collect();
    println!(
        "seed {seed}: {balancers} balancers, {caches} caches, {} attempts, {}, {} violations",
        outcome.attempts,
        ends.join(" "),
        outcome.violations.len()
    );
    for violation in outcome.violations.iter().take(PRINTED_VIOLATIONS_MAX) {
        println!(
            "  {:.3} {}: {}",
            violation.at as f64 / 1e9,
            violation.rule,
            violation.detail
        );
    }
    match &kept_folder {
        Some(folder) => write_records(&outcome, folder),
        None => drop(std::fs::remove_dir_all(&folder)),
    }
    let mut rules: Vec<&str> = outcome
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect();
    rules.sort_unstable();
    rules.dedup();
    (!rules.is_empty()).then(|| format!("seed {seed} ({})", rules.join(" ")))
}

/// Writes the records into the folder of the logs.
fn write_records(outcome: &SoakOutcome, folder: &Path) {
    let written = serde_json::to_vec(&outcome.records)
        .map_err(std::io::Error::from)
        .and_then(|json| std::fs::write(folder.join("records.json"), json));
    if let Err(e) = written {
        println!(
            "  the records could not be written to {}: {e}",
            folder.display()
        );
    }
}
