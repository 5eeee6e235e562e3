//! Invariants of a cluster: what the trial did is what is true; what members, clients and caches
//! saw is held against it.

use crate::cluster::Cluster;
use crate::member_process::{IntendedState, MemberView};
use crate::simulated_services::clients::{ClientRequest, RequestOutcome, class_deadline_s};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Violations that are kept in full; the others are counted.
const REPORTED_FAILURES_MAX: usize = 50;
/// Seconds before and after a stall in which no violation is counted: a member that stalled reports
/// it itself.
const NEAR: f64 = 12.0;
/// An answer that comes this much after its deadline is counted as late. It is no failure: how fast
/// a machine is must not decide a verdict; none at all, or a connection that breaks though nothing
/// was done to its balancer, does.
const SLACK: f64 = 0.05;

/// What went wrong.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantViolation {
    /// Seconds since the start of the trial.
    pub at: f64,
    /// Which invariant.
    pub invariant: &'static str,
    /// Who, and what was seen.
    #[serde(rename = "what")]
    pub detail: String,
}

/// A span in which something was wrong with a member, by the trial's doing.
#[derive(Clone, Copy, Debug)]
struct TimeSpan {
    from: f64,
    to: Option<f64>,
}

/// What is true, since when, and what broke.
#[derive(Default)]
pub struct InvariantChecker {
    /// By member: when it was down, stopped or leaving.
    away_spans: HashMap<usize, Vec<TimeSpan>>,
    /// By pair, in one direction: when it was cut.
    cut_spans: HashMap<(usize, usize), Vec<TimeSpan>>,
    failures: Vec<InvariantViolation>,
    count: usize,
    /// The greatest sum of shares that was seen.
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

/// Whether any of these spans reaches into that time.
fn near(spans: Option<&Vec<TimeSpan>>, from: f64, to: f64) -> bool {
    spans.is_some_and(|spans| {
        spans
            .iter()
            .any(|s| s.from <= to && s.to.is_none_or(|end| end >= from))
    })
}

impl InvariantChecker {
    /// A member is away from now on, or back.
    pub fn set_unavailable(&mut self, at: f64, member: usize, away: bool) {
        let spans = self.away_spans.entry(member).or_default();
        if away {
            begin(spans, at);
        } else {
            end(spans, at);
        }
    }

    /// A link is cut from now on, or open.
    pub fn set_cut(&mut self, at: f64, from: usize, to: usize, cut: bool) {
        let spans = self.cut_spans.entry((from, to)).or_default();
        if cut {
            begin(spans, at);
        } else {
            end(spans, at);
        }
    }

    /// Notes a failure.
    pub fn record_violation(&mut self, at: f64, invariant: &'static str, detail: String) {
        self.count += 1;
        if self.failures.len() < REPORTED_FAILURES_MAX {
            self.failures.push(InvariantViolation {
                at,
                invariant,
                detail,
            });
        }
    }

    /// What broke, and how often in all.
    #[must_use]
    pub fn violations(&self) -> (&[InvariantViolation], usize) {
        (&self.failures, self.count)
    }

    fn is_open(&self, from: usize, to: usize) -> bool {
        self.cut_spans
            .get(&(from, to))
            .and_then(|spans| spans.last())
            .is_none_or(|span| span.to.is_some())
    }

    /// Who is reached from whom, over others too, by ways that are open in both directions: a
    /// number for each side.
    #[must_use]
    pub fn sides(&self, n: usize) -> Vec<usize> {
        let mut side: Vec<usize> = (0..n).collect();
        loop {
            let mut changed = false;
            for i in 0..n {
                for j in 0..n {
                    if side[j] < side[i] && self.is_open(i, j) && self.is_open(j, i) {
                        side[i] = side[j];
                        changed = true;
                    }
                }
            }
            if !changed {
                return side;
            }
        }
    }

    /// The first thing in which a member's view is not true, if any.
    #[must_use]
    pub fn first_incorrect_view(
        &self,
        cluster: &Cluster,
        views: &[Option<MemberView>],
        suspicions: bool,
    ) -> Option<String> {
        let n = cluster.members.len();
        let side = self.sides(n);
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
                let right = match other.intended {
                    IntendedState::Up if side[i] != side[j] => matches!(state, Some("dead") | None),
                    IntendedState::Up => {
                        let same = views[j].as_ref().map(|v| v.generation);
                        let life = seen.get(&other.spec.advertised).map(|m| m.generation);
                        (state == Some("serving") || suspicions && state == Some("stalled"))
                            && same == life
                    }
                    IntendedState::Stopped => matches!(state, Some("stalled" | "dead")),
                    IntendedState::Left => matches!(state, Some("left" | "draining") | None),
                    IntendedState::Down => matches!(state, Some("dead" | "left") | None),
                };
                if !right {
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

    /// Holds the sum of all shares against its bound.
    pub fn check_shares(&mut self, at: f64, views: &[Option<MemberView>], most: f64) {
        let sum: f64 = views
            .iter()
            .flatten()
            .map(|v| 1.0 / v.share_count.max(1) as f64)
            .sum();
        self.max_share_sum = self.max_share_sum.max(sum);
        if sum > most {
            let divisors: Vec<usize> = views.iter().flatten().map(|v| v.share_count).collect();
            self.record_violation(
                at,
                "shares",
                format!("the shares sum to {sum:.2}, over {most}: divided by {divisors:?}"),
            );
        }
    }

    /// Reads the members' logs for deaths that were none: of a member that was there, stood not
    /// still, and could be reached, for as long as it takes to find a death.
    pub fn check_false_deaths(&mut self, cluster: &Cluster) -> usize {
        let n = cluster.members.len();
        let logs: Vec<Vec<crate::member_process::LogLine>> = cluster
            .members
            .iter()
            .map(super::member_process::MemberProcess::log)
            .collect();
        let stood: Vec<Vec<f64>> = logs
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
                let (from, to) = (line.at - NEAR, line.at);
                let excused = near(self.away_spans.get(&j), from, to)
                    || near(self.away_spans.get(&i), from, to)
                    || near(self.cut_spans.get(&(i, j)), from, to)
                    || near(self.cut_spans.get(&(j, i)), from, to)
                    || stood[j]
                        .iter()
                        .chain(&stood[i])
                        .any(|at| (at - line.at).abs() < NEAR);
                if !excused {
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

    /// Judges what the clients saw: one answer at most, a true one, and in time unless its balancer
    /// was away.
    pub fn check_clients(&mut self, asked: &[ClientRequest]) -> BTreeMap<String, usize> {
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for one in asked {
            *ends.entry(one.outcome.report_key().into()).or_default() += 1;
            let what = || {
                format!(
                    "{} ({}) at n{}: {:?} after {:.3} s",
                    one.id, one.class, one.balancer, one.outcome, one.latency_s
                )
            };
            if one.extra_data {
                self.record_violation(
                    one.at,
                    "one-answer",
                    format!("more than one answer: {}", what()),
                );
            }
            if one.outcome == RequestOutcome::Wrong {
                self.record_violation(one.at, "true-answer", what());
            }
            let away = near(
                self.away_spans.get(&one.balancer),
                one.at - 1.0,
                one.at + one.latency_s,
            );
            let answered = matches!(
                one.outcome,
                RequestOutcome::Served | RequestOutcome::Refused | RequestOutcome::Failed
            );
            if answered && one.latency_s > class_deadline_s(one.class) + SLACK && !away {
                *ends.entry("late".into()).or_default() += 1;
            }
            if matches!(
                one.outcome,
                RequestOutcome::Never | RequestOutcome::Broken | RequestOutcome::NoConnection
            ) && !away
            {
                self.record_violation(one.at, "answered", what());
            }
        }
        ends
    }

    /// Judges what the caches did: a write that must not run twice ran at most once.
    pub fn check_caches(&mut self, at: f64, cluster: &Cluster) {
        let mut effects: HashMap<String, u32> = HashMap::new();
        for cache in cluster.caches.iter().flatten() {
            for (id, done) in cache.executed_requests() {
                if done.class == "map-publish" {
                    *effects.entry(id).or_default() += done.effects;
                }
            }
        }
        for (id, times) in effects.into_iter().filter(|(_, times)| *times > 1) {
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
