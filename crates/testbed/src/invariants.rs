//! Invariants of a cluster. The expected state follows from the faults that the trial injected; the
//! checks compare it with what members, clients and caches observed.

use crate::cluster::Cluster;
use crate::member_process::{IntendedState, MemberView};
use crate::simulated_services::clients::{ClientRequest, RequestOutcome, class_deadline_s};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of violations that are kept; further violations are only counted.
const REPORTED_VIOLATIONS_MAX: usize = 50;
/// Time in seconds by which a detected death may follow a fault, or precede or follow a stall that
/// a member logged itself, and still be attributed to it.
const FAULT_WINDOW_S: f64 = 12.0;
/// Time in seconds after its deadline from which an answer is counted as late. A late answer is not
/// a violation, because the verdict must not depend on the machine's speed. A missing answer, or a
/// connection that breaks while its balancer had no fault, is one.
const DEADLINE_SLACK_S: f64 = 0.05;

/// One violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantViolation {
    /// Seconds since the start of the trial.
    pub at: f64,
    /// Name of the invariant.
    pub invariant: &'static str,
    /// The members or requests concerned and what was observed.
    #[serde(rename = "what")]
    pub detail: String,
}

/// Span in which an injected fault was active, in seconds since the start of the trial.
#[derive(Clone, Copy, Debug)]
struct TimeSpan {
    from: f64,
    /// `None` while the fault is active.
    to: Option<f64>,
}

/// Injected faults over time, and the violations found so far.
#[derive(Default)]
pub struct InvariantChecker {
    /// Spans in which a member was down, stopped or leaving, by member.
    unavailable_spans: HashMap<usize, Vec<TimeSpan>>,
    /// Spans in which a link was cut, by sender and receiver.
    cut_spans: HashMap<(usize, usize), Vec<TimeSpan>>,
    violations: Vec<InvariantViolation>,
    total_count: usize,
    /// Largest sum of the members' shares in any check.
    pub max_share_sum: f64,
}

fn begin(spans: &mut Vec<TimeSpan>, at: f64) {
    if spans.last().is_none_or(|span| span.to.is_some()) {
        spans.push(TimeSpan { from: at, to: None });
    }
}

fn end(spans: &mut [TimeSpan], at: f64) {
    if let Some(span) = spans.last_mut().filter(|span| span.to.is_none()) {
        span.to = Some(at);
    }
}

/// Returns whether any of the spans overlaps `from` to `to`.
fn overlaps(spans: Option<&Vec<TimeSpan>>, from: f64, to: f64) -> bool {
    spans.is_some_and(|spans| {
        spans
            .iter()
            .any(|s| s.from <= to && s.to.is_none_or(|end| end >= from))
    })
}

impl InvariantChecker {
    /// Records that a member becomes unavailable, or available again, at `at`.
    pub fn set_unavailable(&mut self, at: f64, member: usize, unavailable: bool) {
        let spans = self.unavailable_spans.entry(member).or_default();
        if unavailable {
            begin(spans, at);
        } else {
            end(spans, at);
        }
    }

    /// Records that the link in one direction is cut, or open again, at `at`.
    pub fn set_cut(&mut self, at: f64, from: usize, to: usize, cut: bool) {
        let spans = self.cut_spans.entry((from, to)).or_default();
        if cut {
            begin(spans, at);
        } else {
            end(spans, at);
        }
    }

    /// Adds a violation.
    pub fn record_violation(&mut self, at: f64, invariant: &'static str, detail: String) {
        self.total_count += 1;
        if self.violations.len() < REPORTED_VIOLATIONS_MAX {
            self.violations.push(InvariantViolation {
                at,
                invariant,
                detail,
            });
        }
    }

    /// Returns the kept violations and the number of all violations.
    #[must_use]
    pub fn violations(&self) -> (&[InvariantViolation], usize) {
        (&self.violations, self.total_count)
    }

    fn is_open(&self, from: usize, to: usize) -> bool {
        self.cut_spans
            .get(&(from, to))
            .and_then(|spans| spans.last())
            .is_none_or(|span| span.to.is_some())
    }

    /// Returns the partition of each of `n` members. Members are in the same partition if they are
    /// connected, directly or through other members, by links that are open in both directions. A
    /// partition is identified by its smallest member index.
    #[must_use]
    pub fn partitions(&self, n: usize) -> Vec<usize> {
        let mut partition: Vec<usize> = (0..n).collect();
        loop {
            let mut changed = false;
            for i in 0..n {
                for j in 0..n {
                    if partition[j] < partition[i] && self.is_open(i, j) && self.is_open(j, i) {
                        partition[i] = partition[j];
                        changed = true;
                    }
                }
            }
            if !changed {
                return partition;
            }
        }
    }

    /// Returns a description of the first member view that contradicts the injected faults; `None`
    /// if all views are correct. With `suspicions`, a running member may be seen as stalled.
    #[must_use]
    pub fn first_incorrect_view(
        &self,
        cluster: &Cluster,
        views: &[Option<MemberView>],
        suspicions: bool,
    ) -> Option<String> {
        let n = cluster.members.len();
        let partition = self.partitions(n);
        for (i, view) in views.iter().enumerate() {
            if cluster.members[i].intended != IntendedState::Up {
                continue;
            }
            let Some(view) = view else {
                return Some(format!("n{i} does not answer"));
            };
            let seen: HashMap<_, _> = view.members.iter().map(|m| (m.address, m)).collect();
            for (j, other) in cluster.members.iter().enumerate().filter(|(j, _)| *j != i) {
                let state = seen.get(&other.spec.advertised).map(|m| m.state.as_str());
                let correct = match other.intended {
                    IntendedState::Up if partition[i] != partition[j] => {
                        matches!(state, Some("dead") | None)
                    }
                    IntendedState::Up => {
                        let own_generation = views[j].as_ref().map(|v| v.generation);
                        let seen_generation =
                            seen.get(&other.spec.advertised).map(|m| m.generation);
                        (state == Some("serving") || suspicions && state == Some("stalled"))
                            && own_generation == seen_generation
                    }
                    IntendedState::Stopped => matches!(state, Some("stalled" | "dead")),
                    IntendedState::Left => matches!(state, Some("left" | "draining") | None),
                    IntendedState::Down => matches!(state, Some("dead" | "left") | None),
                };
                if !correct {
                    return Some(format!(
                        "n{i} sees n{j} as {}, which is {:?}",
                        state.unwrap_or("unknown"),
                        other.intended
                    ));
                }
            }
        }
        None
    }

    /// Checks that the shares of all members sum to at most `max_sum`.
    pub fn check_shares(&mut self, at: f64, views: &[Option<MemberView>], max_sum: f64) {
        let sum: f64 = views
            .iter()
            .flatten()
            .map(|v| 1.0 / v.share_count.max(1) as f64)
            .sum();
        self.max_share_sum = self.max_share_sum.max(sum);
        if sum > max_sum {
            let share_counts: Vec<usize> = views.iter().flatten().map(|v| v.share_count).collect();
            self.record_violation(
                at,
                "shares",
                format!("the shares sum to {sum:.2}, over {max_sum}: divided by {share_counts:?}"),
            );
        }
    }

    /// Checks the members' logs for panics and false deaths and returns the number of false deaths.
    /// A death is false if neither the member that reports it nor the member that is reported dead
    /// was unavailable or stalled, and no link between them was cut, within `FAULT_WINDOW_S`.
    pub fn check_false_deaths(&mut self, cluster: &Cluster) -> usize {
        let n = cluster.members.len();
        let logs: Vec<Vec<crate::member_process::LogLine>> = cluster
            .members
            .iter()
            .map(super::member_process::MemberProcess::log)
            .collect();
        let stalls: Vec<Vec<f64>> = logs
            .iter()
            .map(|log| {
                log.iter()
                    .filter(|l| l.text.contains("this process stalled"))
                    .map(|l| l.at)
                    .collect()
            })
            .collect();
        let mut found = 0;
        for (i, log) in logs.iter().enumerate() {
            for line in log
                .iter()
                .filter(|l| l.text.contains("fleet: ") && l.text.contains(" is dead"))
            {
                let Some(j) = (0..n).find(|j| {
                    let address = cluster.members[*j].spec.advertised;
                    line.text.contains(&format!("address={address} "))
                }) else {
                    continue;
                };
                let (from, to) = (line.at - FAULT_WINDOW_S, line.at);
                let explained = overlaps(self.unavailable_spans.get(&j), from, to)
                    || overlaps(self.unavailable_spans.get(&i), from, to)
                    || overlaps(self.cut_spans.get(&(i, j)), from, to)
                    || overlaps(self.cut_spans.get(&(j, i)), from, to)
                    || stalls[j]
                        .iter()
                        .chain(&stalls[i])
                        .any(|at| (at - line.at).abs() < FAULT_WINDOW_S);
                if !explained {
                    found += 1;
                    self.record_violation(
                        line.at,
                        "false-death",
                        format!("n{i} took n{j} for dead: {}", line.text),
                    );
                }
            }
            for line in log.iter().filter(|l| l.text.contains("panicked")) {
                self.record_violation(line.at, "panic", format!("n{i}: {}", line.text));
            }
        }
        found
    }

    /// Checks the results of client requests and returns their number by outcome. A request must
    /// get at most one answer, the answer must belong to it, and it must not stay unanswered unless
    /// its balancer was unavailable.
    pub fn check_clients(&mut self, requests: &[ClientRequest]) -> BTreeMap<String, usize> {
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for request in requests {
            *outcomes
                .entry(request.outcome.report_key().into())
                .or_default() += 1;
            let detail = || {
                format!(
                    "{} ({}) at n{}: {:?} after {:.3} s",
                    request.id, request.class, request.balancer, request.outcome, request.latency_s
                )
            };
            if request.extra_data {
                self.record_violation(
                    request.at,
                    "one-answer",
                    format!("more than one answer: {}", detail()),
                );
            }
            if request.outcome == RequestOutcome::Wrong {
                self.record_violation(request.at, "true-answer", detail());
            }
            let unavailable = overlaps(
                self.unavailable_spans.get(&request.balancer),
                request.at - 1.0,
                request.at + request.latency_s,
            );
            let answered = matches!(
                request.outcome,
                RequestOutcome::Served | RequestOutcome::Refused | RequestOutcome::Failed
            );
            if answered
                && request.latency_s > class_deadline_s(request.class) + DEADLINE_SLACK_S
                && !unavailable
            {
                *outcomes.entry("late".into()).or_default() += 1;
            }
            if matches!(
                request.outcome,
                RequestOutcome::Never | RequestOutcome::Broken | RequestOutcome::NoConnection
            ) && !unavailable
            {
                self.record_violation(request.at, "answered", detail());
            }
        }
        outcomes
    }

    /// Checks that each write of a class that must not run twice ran at most once in all caches.
    pub fn check_caches(&mut self, at: f64, cluster: &Cluster) {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for cache in cluster.caches.iter().flatten() {
            for (id, executed) in cache.executed_requests() {
                if executed.class == "map-publish" {
                    *runs.entry(id).or_default() += executed.effects;
                }
            }
        }
        for (id, times) in runs.into_iter().filter(|(_, times)| *times > 1) {
            self.record_violation(
                at,
                "runs-once",
                format!("{id} (map-publish) ran {times} times"),
            );
        }
    }
}

#[cfg(test)]
mod tests;
