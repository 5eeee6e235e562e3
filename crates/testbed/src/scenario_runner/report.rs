//! What a played scenario showed.

use super::ScenarioRun;
use crate::invariants::InvariantViolation;
use crate::member_process::MemberProcess;
use crate::overload_metrics::{SecondMetrics, SpanMetrics};
use serde::Serialize;
use std::collections::BTreeMap;

/// The figures by which a member's counts are averaged, by their names in `/admin/fleet`.
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

/// What a played scenario showed.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioReport {
    /// The scenario.
    pub scenario: String,
    /// How many processes.
    pub instances: usize,
    /// By which seed.
    pub seed: u64,
    /// The fault that was injected.
    #[serde(rename = "planted")]
    pub injected_fault: Option<String>,
    /// Seconds from each measured step until all views agreed and were true.
    #[serde(rename = "settled")]
    pub converged_s: BTreeMap<String, f64>,
    /// The greatest sum of shares that was seen.
    #[serde(rename = "shares_most")]
    pub max_share_sum: f64,
    /// Living members declared dead.
    pub false_deaths: usize,
    /// How requests ended.
    pub requests: BTreeMap<String, usize>,
    /// Datagrams passed on, and those lost by faults.
    pub datagrams: (u64, u64),
    /// Means over the members that ran to the end, since their start.
    pub member: BTreeMap<String, f64>,
    /// What the fleet did second by second, where it was metered.
    pub seconds: Vec<SecondMetrics>,
    /// The metrics before, in and after the disturbance.
    pub spans: BTreeMap<String, SpanMetrics>,
    /// Seconds from the disturbance's end until nine tenths of the weight were back; absent where
    /// they never came.
    pub recovered_s: Option<f64>,
    /// What was done, and when, in seconds.
    #[serde(rename = "done")]
    pub timeline: Vec<(f64, String)>,
    /// The violations; at most fifty are listed.
    pub failures: Vec<InvariantViolation>,
    /// How many violations there were in all.
    pub failed: usize,
}

impl ScenarioReport {
    /// The verdict's line.
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
    /// Builds the report from what was collected.
    pub(super) fn report(self) -> ScenarioReport {
        let mut member: BTreeMap<String, f64> = BTreeMap::new();
        let views: Vec<_> = self.cluster.views().into_iter().flatten().collect();
        let mean = |of: Vec<f64>| of.iter().sum::<f64>() / of.len().max(1) as f64;
        for name in DATAGRAM_COUNTS {
            let figures = views
                .iter()
                .filter_map(|v| v.datagrams.get(name)?.as_f64())
                .collect();
            member.insert(name.into(), mean(figures));
        }
        let memory = self
            .cluster
            .members
            .iter()
            .filter_map(MemberProcess::memory)
            .map(|b| b as f64)
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
