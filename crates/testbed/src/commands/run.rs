//! `testbed run`: runs one scenario with real processes, or one simulation trial.

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
    /// The scenario.
    scenario: String,
    /// Processes; as many as the scenario says if not given.
    #[arg(long)]
    instances: Option<usize>,
    /// For all that is drawn; with --repeat the first of several.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How often, each time by the next seed.
    #[arg(long, default_value_t = 1)]
    repeat: u64,
    /// Where figures and the record of faults are written, one JSON file for each play.
    #[arg(long)]
    out: Option<PathBuf>,
    /// The program, if not the one beside this.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Without the key `fleet`: what the members did before they had a view.
    #[arg(long)]
    no_fleet: bool,
    /// With the key `shed_together`: load is shed by a level that all agree on.
    #[arg(long)]
    shed_together: bool,
    /// Where the members' log lines are written, one file for each play.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// A fault to inject; the program must have been built with the feature `fault-injection`.
    #[arg(long)]
    planted: Option<String>,
}

pub fn run(arguments: &RunArguments, interrupted: &AtomicBool) -> CommandResult {
    if let Some(result) = mutations::play_virtual(&arguments.scenario, arguments.seed) {
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
    for (at, what) in &report.timeline {
        println!("  {at:7.2} s  {what}");
    }
    for (what, seconds) in &report.converged_s {
        println!("  {what}: all views true after {seconds:.2} s");
    }
    println!(
        "  greatest sum of shares {:.2}; requests {:?}",
        report.max_share_sum, report.requests
    );
    for (name, span) in &report.spans {
        print_span(name, span);
    }
    if !report.spans.is_empty() {
        match report.recovered_s {
            Some(seconds) => {
                println!("  nine tenths of the worth back {seconds:.0} s after the trouble");
            }
            None => println!("  nine tenths of the worth did not come back"),
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
        "  {name}: worth {:.2}, of perfect {:.2}; tries {:.2}, copies {:.2}, connections {:.2} a request; probes {:.2} a cache a second",
        span.served_weight_share,
        span.share_of_optimum,
        span.attempts_per_request,
        span.hedges_per_request,
        span.connections_per_request,
        span.health_checks_per_cache_s
    );
    for (class, of) in &span.classes {
        println!(
            "    {class}: asked {}, served {}, late {}, refused {}, failed {}, unanswered {}; refused {:.2} to {:.2} by balancer",
            of.requests,
            of.served,
            of.late,
            of.rejected,
            of.failed,
            of.unanswered,
            of.rejected_share_min,
            of.rejected_share_max
        );
    }
    println!("    refused for {:?}", span.rejections_by_reason);
}

fn write_report(out: &Path, report: &ScenarioReport) -> Result<(), TestbedError> {
    let problem = |e: std::io::Error| TestbedError::io(format!("--out {}", out.display()), e);
    std::fs::create_dir_all(out).map_err(problem)?;
    let planted = report
        .injected_fault
        .as_ref()
        .map(|fault| format!("-{fault}"))
        .unwrap_or_default();
    let file = format!(
        "{}-{}-{}{planted}.json",
        report.scenario, report.instances, report.seed
    );
    let json = serde_json::to_string_pretty(report)?;
    std::fs::write(out.join(file), json + "\n").map_err(problem)
}

fn print_summary(reports: &[ScenarioReport]) {
    let names: BTreeSet<&String> = reports.iter().flat_map(|r| r.converged_s.keys()).collect();
    for name in names {
        let mut all: Vec<f64> = reports
            .iter()
            .filter_map(|r| r.converged_s.get(name).copied())
            .collect();
        all.sort_by(f64::total_cmp);
        let (median, worst) = (all[all.len() / 2], all[all.len() - 1]);
        println!(
            "{name}: median {median:.2} s, worst {worst:.2} s of {}",
            all.len()
        );
    }
    let shares = reports.iter().map(|r| r.max_share_sum).fold(0.0, f64::max);
    let passed = reports.iter().filter(|r| r.failed == 0).count();
    println!(
        "greatest sum of shares {shares:.2}; {passed} of {} passed",
        reports.len()
    );
}
