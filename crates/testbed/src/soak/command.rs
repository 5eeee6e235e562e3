//! `testbed soak`: runs seeds and prints a row for each, the violations, and the verdict.

use super::plan::draw;
use super::{SoakOutcome, play};
use crate::error::TestbedError;
use crate::process;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Breaches of one seed that are printed.
const BREACHES_PRINTED: usize = 6;

/// What is played.
#[derive(clap::Args)]
pub struct SoakArguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from the first on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// A few balancers only, as in CI.
    #[arg(long)]
    short: bool,
    /// Seeds that are played side by side.
    #[arg(long, default_value_t = 1)]
    at_once: usize,
    /// Where logs, configurations and the records of seeds that failed are kept.
    #[arg(long)]
    out: Option<PathBuf>,
    /// The program, if not the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Plays all seeds.
///
/// # Errors
///
/// Says which part of a trial itself failed; the verdict counts that as a failure too.
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
                    if let Some(why) = play_seed(seed, arguments, &program)
                        && let Ok(mut failed) = failed.lock()
                    {
                        failed.push(why);
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

/// Plays one; the seed with the rules that it broke, if any.
fn play_seed(seed: u64, arguments: &SoakArguments, program: &Path) -> Option<String> {
    let plan = draw(seed, arguments.short);
    let (balancers, caches) = (plan.balancers, plan.caches);
    let own = std::env::temp_dir().join(format!("pipitrun-soak-{}-{seed}", std::process::id()));
    let kept = arguments
        .out
        .as_ref()
        .map(|out| out.join(format!("seed-{seed}")));
    let folder = kept.clone().unwrap_or(own);
    let played = play(plan, program, &folder);
    let outcome = match played {
        Ok(outcome) => outcome,
        Err(e) => {
            println!("seed {seed}: the trial failed: {e}");
            return Some(format!("seed {seed} (trial)"));
        }
    };
    let ends: Vec<String> = outcome
        .ends
        .iter()
        .map(|(end, count)| format!("{end} {count}"))
        .collect();
    println!(
        "seed {seed}: {balancers} balancers, {caches} caches, {} attempts, {}, {} breaches",
        outcome.attempts,
        ends.join(" "),
        outcome.violations.len()
    );
    for breach in outcome.violations.iter().take(BREACHES_PRINTED) {
        println!(
            "  {:.3} {}: {}",
            breach.at as f64 / 1e9,
            breach.rule,
            breach.what
        );
    }
    match &kept {
        Some(folder) => keep(&outcome, folder),
        None => drop(std::fs::remove_dir_all(&folder)),
    }
    let mut rules: Vec<&str> = outcome
        .violations
        .iter()
        .map(|breach| breach.rule)
        .collect();
    rules.sort_unstable();
    rules.dedup();
    (!rules.is_empty()).then(|| format!("seed {seed} ({})", rules.join(" ")))
}

/// Writes the records beside the logs.
fn keep(outcome: &SoakOutcome, folder: &Path) {
    let written = serde_json::to_vec(&outcome.records)
        .map_err(std::io::Error::from)
        .and_then(|json| std::fs::write(folder.join("records.json"), json));
    if let Err(e) = written {
        println!("  records: {e}");
    }
}
