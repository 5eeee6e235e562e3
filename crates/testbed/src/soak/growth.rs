//! What one balancer needs of the same day with few caches and with many, held against what it may.

use super::plan::growth;
use super::{SoakOutcome, play};
use crate::error::TestbedError;
use crate::process;
use std::path::PathBuf;
use std::process::ExitCode;

/// What is played.
#[derive(clap::Args)]
pub struct GrowthArguments {
    /// Numbers of caches: the usual one, then the larger ones.
    #[arg(long, value_delimiter = ',', default_values_t = [200, 3_200])]
    caches: Vec<usize>,
    /// Requests a second at the balancer.
    #[arg(long, default_value_t = 30.0)]
    per_s: f64,
    /// For all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The program, if not the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// What was needed.
#[derive(Clone, Copy, Debug)]
struct ResourceUse {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kb: f64,
    served: f64,
}

impl ResourceUse {
    fn of(outcome: &SoakOutcome) -> Self {
        let usage = outcome.usage.first().copied().unwrap_or_default();
        let counter = |name: &str| {
            outcome
                .counters
                .first()
                .and_then(|c| c.get(name))
                .copied()
                .unwrap_or(0)
        };
        let served = outcome.ends.get("Served").copied().unwrap_or(0);
        let asked: usize = outcome.ends.values().sum();
        ResourceUse {
            cpu_s: usage.cpu_s,
            memory_mb: usage.peak_mb,
            descriptors: usage.descriptors as f64,
            connections: counter("upstream_opened") as f64,
            list_kb: outcome.change_bytes as f64 / 1_024.0,
            served: served as f64 / asked.max(1) as f64,
        }
    }

    /// What may be needed with so many caches, by what was needed with the usual number.
    fn allowed(&self, caches: usize) -> Self {
        let thousands = caches as f64 / 1_000.0;
        ResourceUse {
            cpu_s: 1.4 * self.cpu_s + 0.02 + 0.03 * thousands,
            memory_mb: 1.5 * self.memory_mb + 8.0 + 4.0 * thousands,
            descriptors: 2.0 * self.descriptors + 40.0,
            connections: 2.5 * self.connections + 40.0,
            list_kb: 2.0 * self.list_kb + 64.0 + 500.0 * thousands,
            served: 0.85 * self.served,
        }
    }

    /// Each figure by its name; of the last one more is better.
    fn figures(&self) -> [(&'static str, f64); 6] {
        [
            ("cpu_s", self.cpu_s),
            ("memory_mb", self.memory_mb),
            ("descriptors", self.descriptors),
            ("connections", self.connections),
            ("list_kb", self.list_kb),
            ("served", self.served),
        ]
    }
}

/// Plays all sizes and prints what each needed beside what it may.
///
/// # Errors
///
/// Says which part of a trial itself failed.
pub fn run(arguments: &GrowthArguments) -> Result<ExitCode, TestbedError> {
    let program = process::find_program(arguments.program.as_deref())?;
    let mut usual: Option<ResourceUse> = None;
    let mut over = Vec::new();
    for caches in &arguments.caches {
        let folder =
            std::env::temp_dir().join(format!("pipitrun-growth-{}-{caches}", std::process::id()));
        let outcome = play(
            growth(arguments.seed, *caches, arguments.per_s),
            &program,
            &folder,
        )?;
        let _ = std::fs::remove_dir_all(&folder);
        let need = ResourceUse::of(&outcome);
        let allowed = usual.map(|usual| usual.allowed(*caches));
        println!("{caches} caches, {} breaches", outcome.violations.len());
        for (place, (name, figure)) in need.figures().into_iter().enumerate() {
            let limit = allowed.map(|allowed| allowed.figures()[place].1);
            let fails = limit.is_some_and(|limit| {
                if name == "served" {
                    figure < limit
                } else {
                    figure > limit
                }
            });
            let limit = limit.map_or(String::new(), |limit| format!("  allowed {limit:.3}"));
            println!(
                "  {name:12} {figure:9.3}{limit}{}",
                if fails { "  OVER" } else { "" }
            );
            if fails {
                over.push(format!("{name} at {caches}"));
            }
        }
        usual = usual.or(Some(need));
    }
    if over.is_empty() {
        println!("verdict: passed");
        return Ok(ExitCode::SUCCESS);
    }
    println!("verdict: failed {}", over.join(", "));
    Ok(ExitCode::FAILURE)
}
