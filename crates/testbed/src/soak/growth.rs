//! `testbed growth`: measures the resources that one balancer uses for the same traffic with few
//! and with many caches, and checks their growth against limits.

use super::plan::growth_plan;
use super::{SoakOutcome, run_plan};
use crate::error::TestbedError;
use crate::process;
use std::path::PathBuf;
use std::process::ExitCode;

/// Arguments of `testbed growth`.
#[derive(clap::Args)]
pub struct GrowthArguments {
    /// Numbers of caches; the first is the baseline for the limits of the others.
    #[arg(long, value_delimiter = ',', default_values_t = [200, 3_200])]
    caches: Vec<usize>,
    /// Requests per second at the balancer.
    #[arg(long, default_value_t = 30.0)]
    per_s: f64,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Path of the pipitrun program; by default the one in this executable's folder.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Resources that a balancer used in one run.
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
    fn from_outcome(outcome: &SoakOutcome) -> Self {
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
        let requests: usize = outcome.ends.values().sum();
        ResourceUse {
            cpu_s: usage.cpu_s,
            memory_mb: usage.peak_mb,
            descriptors: usage.descriptors as f64,
            connections: counter("upstream_opened") as f64,
            list_kb: outcome.change_bytes as f64 / 1_024.0,
            served: served as f64 / requests.max(1) as f64,
        }
    }

    /// Returns the limits at `caches` caches, given the resources used at the baseline.
    fn limits(&self, caches: usize) -> Self {
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

    /// Returns each value with its name. The limit of `served` is a minimum, the other limits are
    /// maximums.
    fn values(&self) -> [(&'static str, f64); 6] {
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

/// Runs all sizes and prints the used resources with their limits.
///
/// # Errors
///
/// Returns an error if a trial itself could not be run.
pub fn run(arguments: &GrowthArguments) -> Result<ExitCode, TestbedError> {
    let program = process::find_program(arguments.program.as_deref())?;
    let mut baseline: Option<ResourceUse> = None;
    let mut exceeded = Vec::new();
    for caches in &arguments.caches {
        let folder =
            std::env::temp_dir().join(format!("pipitrun-growth-{}-{caches}", std::process::id()));
        let outcome = run_plan(
            growth_plan(arguments.seed, *caches, arguments.per_s),
            &program,
            &folder,
        )?;
        let _ = std::fs::remove_dir_all(&folder);
        let used = ResourceUse::from_outcome(&outcome);
        let limits = baseline.map(|baseline| baseline.limits(*caches));
        println!("{caches} caches, {} violations", outcome.violations.len());
        for (index, (name, value)) in used.values().into_iter().enumerate() {
            let limit = limits.map(|limits| limits.values()[index].1);
            let is_exceeded = limit.is_some_and(|limit| {
                if name == "served" {
                    value < limit
                } else {
                    value > limit
                }
            });
            let limit = limit.map_or(String::new(), |limit| format!("  allowed {limit:.3}"));
            println!(
                "  {name:12} {value:9.3}{limit}{}",
                if is_exceeded { "  OVER" } else { "" }
            );
            if is_exceeded {
                exceeded.push(format!("{name} at {caches}"));
            }
        }
        baseline = baseline.or(Some(used));
    }
    if exceeded.is_empty() {
        println!("verdict: passed");
        return Ok(ExitCode::SUCCESS);
    }
    println!("verdict: failed {}", exceeded.join(", "));
    Ok(ExitCode::FAILURE)
}
