//! `testbed run`: runs one scenario with real processes, or one trial in virtual time.

use super::CommandResult;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use testbed::cluster::ClusterPlan;
use testbed::error::TestbedError;
use testbed::overload_metrics::SpanMetrics;
use testbed::scenario::Scenario;
use testbed::scenario_runner::{ScenarioReport, run_scenario};
use testbed::{mutations, scenario_catalog};

#[derive(clap::Args)]
pub struct RunArguments {
    /// Name of a scenario or a trial in virtual time, or path of a scenario file.
    scenario: String,
    /// Number of balancer processes; by default that of the scenario.
    #[arg(long)]
    instances: Option<usize>,
    /// Seed of all random choices; with `--repeat` the first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, each with the next seed.
    #[arg(long, default_value_t = 1)]
    repeat: u64,
    /// Folder in which the report of each run is written as a JSON file.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Path of the pipitrun program; by default the one in this executable's folder.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Omits the key `fleet` from the configuration, so that the members have no view of the fleet.
    #[arg(long)]
    no_fleet: bool,
    /// Sets the key `shed_together`, so that all members shed load by a common level.
    #[arg(long)]
    shed_together: bool,
    /// Folder in which the members' log lines are written, one file per run.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Name of a fault to inject; the program must be built with the feature `fault-injection`.
    #[arg(long)]
    planted: Option<String>,
}

pub fn run(arguments: &RunArguments, interrupted: &AtomicBool) -> CommandResult {
    if let Some(result) = mutations::run_virtual(&arguments.scenario, arguments.seed) {
        return Ok(match result {
            Ok(()) => {
                println!("verdict: passed");
                ExitCode::SUCCESS
            }
            Err(e) => {
                println!("verdict: failed {e}");
                ExitCode::FAILURE
            }
        });
    }
    let scenario = scenario_catalog::find(&arguments.scenario)?;
    let mut reports = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.repeat {
        let report = run_scenario(&scenario, arguments.plan(&scenario, seed), interrupted)?;
        print_report(&report);
        if let Some(out) = &arguments.out {
            write_report(out, &report)?;
        }
        if arguments.repeat > 1 {
            println!("  {}", report.verdict());
        }
        reports.push(report);
        if interrupted.load(Ordering::Relaxed) {
            break;
        }
    }
    if reports.len() > 1 {
        print_summary(&reports);
    }
    let failed = reports.iter().find(|report| report.failed > 0);
    let verdict = failed.or(reports.last()).map(ScenarioReport::verdict);
    println!("{}", verdict.unwrap_or_default());
    Ok(if failed.is_some() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

impl RunArguments {
    fn plan(&self, scenario: &Scenario, seed: u64) -> ClusterPlan {
        let mut plan = ClusterPlan::from_scenario(scenario);
        if self.shed_together {
            plan.fleet_keys.insert("shed_together".into(), true.into());
        }
        ClusterPlan {
            instances: self.instances.unwrap_or(plan.instances),
            seed,
            program: self.program.clone(),
            fleet_enabled: !self.no_fleet,
            injected_fault: self.planted.clone(),
            log_dir: self.logs.clone(),
            ..plan
        }
    }
}

fn print_report(report: &ScenarioReport) {
    println!(
        "{} with {} instances, seed {}",
        report.scenario, report.instances, report.seed
    );
    for (at, event) in &report.timeline {
        println!("  {at:7.2} s  {event}");
    }
    for (condition, seconds) in &report.converged_s {
        println!("  {condition}: all views correct after {seconds:.2} s");
    }
    println!(
        "  largest sum of shares {:.2}; requests by outcome {:?}",
        report.max_share_sum, report.requests
    );
    for (name, span) in &report.spans {
        print_span(name, span);
    }
    if !report.spans.is_empty() {
        match report.recovered_s {
            Some(seconds) => {
                println!(
                    "  served weight back to 0.9 of before {seconds:.0} s after the disturbance"
                );
            }
            None => {
                println!("  served weight did not return to 0.9 of before the disturbance");
            }
        }
    }
    for failure in &report.failures {
        println!(
            "  {:7.2} s  {}: {}",
            failure.at, failure.invariant, failure.detail
        );
    }
}

fn print_span(name: &str, span: &SpanMetrics) {
    println!(
        "  {name}: served weight {:.2} of requested, {:.2} of optimum; per request {:.2} attempts, \
         {:.2} hedges, {:.2} connections; {:.2} health checks per cache per second",
        span.served_weight_share,
        span.share_of_optimum,
        span.attempts_per_request,
        span.hedges_per_request,
        span.connections_per_request,
        span.health_checks_per_cache_s
    );
    for (class, results) in &span.classes {
        println!(
            "    {class}: {} requests, {} served, {} late, {} rejected, {} failed, {} unanswered; \
             rejected ratio by balancer {:.2} to {:.2}",
            results.requests,
            results.served,
            results.late,
            results.rejected,
            results.failed,
            results.unanswered,
            results.rejected_share_min,
            results.rejected_share_max
        );
    }
    println!("    rejections by reason {:?}", span.rejections_by_reason);
}

fn write_report(out: &Path, report: &ScenarioReport) -> Result<(), TestbedError> {
    let problem = |e: std::io::Error| TestbedError::io(format!("--out {}", out.display()), e);
    std::fs::create_dir_all(out).map_err(problem)?;
    let fault_suffix = report
        .injected_fault
        .as_ref()
        .map(|fault| format!("-{fault}"))
        .unwrap_or_default();
    let file = format!(
        "{}-{}-{}{fault_suffix}.json",
        report.scenario, report.instances, report.seed
    );
    let json = serde_json::to_string_pretty(report)?;
    std::fs::write(out.join(file), json + "\n").map_err(problem)
}

fn print_summary(reports: &[ScenarioReport]) {
    let names: BTreeSet<&String> = reports.iter().flat_map(|r| r.converged_s.keys()).collect();
    for name in names {
        let mut times: Vec<f64> = reports
            .iter()
            .filter_map(|r| r.converged_s.get(name).copied())
            .collect();
        times.sort_by(f64::total_cmp);
        let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "{name}: median {median:.2} s, longest {longest:.2} s of {} runs",
            times.len()
        );
    }
    let max_share_sum = reports.iter().map(|r| r.max_share_sum).fold(0.0, f64::max);
    let passed = reports.iter().filter(|r| r.failed == 0).count();
    println!(
        "largest sum of shares {max_share_sum:.2}; {passed} of {} passed",
        reports.len()
    );
}
