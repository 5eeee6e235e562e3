//! Report of a scenario run.

use super::ScenarioRun;
use crate::invariants::InvariantViolation;
use crate::member_process::MemberProcess;
use crate::overload_metrics::{SecondMetrics, SpanMetrics};
use serde::Serialize;
use std::collections::BTreeMap;

/// Datagram counters that the report averages over members, by their names in `/admin/fleet`.
const DATAGRAM_COUNTS: [&str; 8] = [
    "sent",
    "sent_bytes",
    "heard",
    "suspicions",
    "given_up",
    "refuted",
    "returned",
    "gaps",
];

/// Report of a scenario run.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Number of balancer processes.
    pub instances: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Fault injected into each balancer process.
    #[serde(rename = "planted")]
    pub injected_fault: Option<String>,
    /// Seconds from each measured step until all views were correct, by the step's name.
    #[serde(rename = "settled")]
    pub converged_s: BTreeMap<String, f64>,
    /// Greatest observed sum of shares.
    #[serde(rename = "shares_most")]
    pub max_share_sum: f64,
    /// Number of running members declared dead, among the listed violations.
    pub false_deaths: usize,
    /// Number of client requests by outcome.
    pub requests: BTreeMap<String, usize>,
    /// Datagrams that the proxy forwarded, and those it dropped because of faults.
    pub datagrams: (u64, u64),
    /// Counters since the start of each member's process, and memory in bytes, averaged over the
    /// members that answer at the end.
    pub member: BTreeMap<String, f64>,
    /// Metrics of the fleet for each second, if the scenario has a disturbance.
    pub seconds: Vec<SecondMetrics>,
    /// Metrics of the spans before, during and after the disturbance.
    pub spans: BTreeMap<String, SpanMetrics>,
    /// Seconds from the end of the disturbance until, for two consecutive seconds, the ratio of
    /// served to requested weight is at least nine tenths of that before the disturbance; `None`
    /// if it does not recover.
    pub recovered_s: Option<f64>,
    /// Actions of the trial, each with its time in seconds.
    #[serde(rename = "done")]
    pub timeline: Vec<(f64, String)>,
    /// Violations of invariants, at most fifty.
    pub failures: Vec<InvariantViolation>,
    /// Total number of violations.
    pub failed: usize,
}

impl ScenarioReport {
    /// Returns the verdict line that the command prints last.
    #[must_use]
    pub fn verdict(&self) -> String {
        match self.failures.first() {
            None => "verdict: passed".into(),
            Some(first) => format!(
                "verdict: failed {} ({} in all; first at {:.1} s: {})",
                first.invariant, self.failed, first.at, first.detail
            ),
        }
    }
}

impl ScenarioRun<'_> {
    /// Builds the report of the finished run.
    pub(super) fn report(self) -> ScenarioReport {
        let mut member: BTreeMap<String, f64> = BTreeMap::new();
        let views: Vec<_> = self.cluster.views().into_iter().flatten().collect();
        let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len().max(1) as f64;
        for name in DATAGRAM_COUNTS {
            let values = views
                .iter()
                .filter_map(|v| v.datagrams.get(name)?.as_f64())
                .collect();
            member.insert(name.into(), mean(values));
        }
        let memory = self
            .cluster
            .members
            .iter()
            .filter_map(MemberProcess::memory)
            .map(|bytes| bytes as f64)
            .collect();
        member.insert("memory".into(), mean(memory));
        let (failures, failed) = self.invariants.violations();
        ScenarioReport {
            scenario: self.scenario.name.clone(),
            instances: self.cluster.plan.instances,
            seed: self.cluster.plan.seed,
            injected_fault: self.cluster.plan.injected_fault.clone(),
            converged_s: self.converged_s,
            max_share_sum: self.invariants.max_share_sum,
            false_deaths: failures
                .iter()
                .filter(|f| f.invariant == "false-death")
                .count(),
            requests: self.requests,
            datagrams: self.cluster.datagrams(),
            seconds: self.seconds,
            spans: self.spans,
            recovered_s: self.recovered_s,
            member,
            timeline: self.timeline,
            failures: failures.to_vec(),
            failed,
        }
    }
}
