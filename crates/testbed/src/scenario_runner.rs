//! Plays a scenario and gives the verdict.

mod report;
mod steps;

pub use report::ScenarioReport;

use crate::cluster::{Cluster, ClusterPlan};
use crate::error::TestbedError;
use crate::invariants::InvariantChecker;
use crate::member_process::{IntendedState, LogLine, MemberProcess, MemberView};
use crate::overload_metrics::{self, ClusterSample, Observations, SecondMetrics, SpanMetrics};
use crate::scenario::Scenario;
use crate::simulated_services::clients::ClientRequest;
use crate::simulated_services::origin::Origin;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How much later than a cache's start the endpoint list names it.
const LISTING_DELAY: Duration = Duration::from_secs(1);
/// Seconds of the timeline in which caches fill; not evaluated.
const WARM_UP_S: f64 = 6.0;
/// How often views are read for the sum of shares while nothing is waited for.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);

struct ScenarioRun<'a> {
    cluster: Cluster,
    invariants: InvariantChecker,
    scenario: &'a Scenario,
    timeline: Vec<(f64, String)>,
    converged_s: BTreeMap<String, f64>,
    requests: BTreeMap<String, usize>,
    interrupted: &'a AtomicBool,
    /// The start of the timeline.
    begun: Instant,
    samples: Vec<ClusterSample>,
    /// What the list is to say of a cache, and when: whether it is there.
    listings: Vec<(Instant, usize, bool)>,
    seconds: Vec<SecondMetrics>,
    spans: BTreeMap<String, SpanMetrics>,
    recovered_s: Option<f64>,
}

/// Plays a scenario on a cluster by this plan. `interrupted` ends it early.
///
/// # Errors
///
/// If the trial can't be played to its end; what it finds wrong stands in the report.
pub fn run_scenario(
    scenario: &Scenario,
    plan: ClusterPlan,
    interrupted: &AtomicBool,
) -> Result<ScenarioReport, TestbedError> {
    let cluster = Cluster::lay_out(plan)?;
    let mut play = ScenarioRun {
        cluster,
        invariants: InvariantChecker::default(),
        scenario,
        timeline: Vec::new(),
        converged_s: BTreeMap::new(),
        requests: BTreeMap::new(),
        interrupted,
        begun: Instant::now(),
        samples: Vec::new(),
        listings: Vec::new(),
        seconds: Vec::new(),
        spans: BTreeMap::new(),
        recovered_s: None,
    };
    let played = play.run();
    if let Some(folder) = &play.cluster.plan.log_dir {
        play.write_logs(folder)?;
    }
    played?;
    Ok(play.report())
}

impl ScenarioRun<'_> {
    /// What all members logged, by the time at which it came.
    fn write_logs(&self, folder: &Path) -> Result<(), TestbedError> {
        let mut lines: Vec<(f64, String)> = Vec::new();
        for member in &self.cluster.members {
            let of = |line: LogLine| (line.at, format!("{} {}", member.spec.name, line.text));
            lines.extend(member.log().into_iter().map(of));
        }
        lines.extend(
            self.timeline
                .iter()
                .map(|(at, what)| (*at, format!("TRIAL {what}"))),
        );
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{at:8.3} {text}\n"))
            .collect();
        let plan = &self.cluster.plan;
        let file = folder.join(format!(
            "{}-{}-{}.log",
            self.scenario.name, plan.instances, plan.seed
        ));
        std::fs::create_dir_all(folder)
            .and_then(|()| std::fs::write(&file, text))
            .map_err(|e| TestbedError::file(&file, e))
    }

    fn now(&self) -> f64 {
        self.cluster.begun.elapsed().as_secs_f64()
    }

    fn run(&mut self) -> Result<(), TestbedError> {
        let n = self.cluster.plan.instances;
        let everyone: Vec<usize> = (0..n).collect();
        self.cluster
            .set_links(&everyone, &everyone, self.scenario.links);
        (0..n).for_each(|i| self.invariants.set_unavailable(0.0, i, true));
        // Members of two fleets are to each other as if there were no way.
        let fleets = self.cluster.plan.fleets;
        for (i, j) in (0..n)
            .flat_map(|i| (0..n).map(move |j| (i, j)))
            .filter(|(i, j)| i % fleets != j % fleets)
        {
            self.invariants.set_cut(0.0, i, j, true);
        }
        self.cluster.start_all()?;
        self.note("all started".into());
        let started = Instant::now();
        self.settle("join", started);
        let now = self.now();
        (0..n).for_each(|i| self.invariants.set_unavailable(now, i, false));
        self.cluster.start_clients();
        self.begun = Instant::now();
        let offset = self.now();
        for step in &self.scenario.steps {
            while self.begun.elapsed().as_secs_f64() < step.at {
                if self.scenario.disturbance.is_some() {
                    self.sample();
                } else {
                    self.observe();
                }
                self.listings()?;
                std::thread::sleep(OBSERVE_INTERVAL);
                self.check_interrupted()?;
            }
            self.step(step)?;
        }
        let (at, asked) = (self.now(), self.cluster.stop_clients());
        self.invariants.check_caches(at, &self.cluster);
        self.invariants.check_false_deaths(&self.cluster);
        self.requests = self.invariants.check_clients(&asked);
        self.evaluate_spans(&asked, offset);
        Ok(())
    }

    /// Once a second: what the fleet did so far.
    fn sample(&mut self) {
        let at = self.begun.elapsed().as_secs_f64();
        if at < self.samples.len() as f64 {
            return;
        }
        let (caches, members) = (self.cluster.cache_counts(), self.cluster.member_counts());
        let origin = self
            .cluster
            .origin
            .as_ref()
            .map(Origin::counts)
            .unwrap_or_default();
        self.samples.push(ClusterSample {
            at,
            caches,
            origin,
            members,
        });
    }

    /// Carries out what the list is to say by now.
    fn listings(&mut self) -> Result<(), TestbedError> {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.listings)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.listings = later;
        for (at, cache, there) in due {
            if there {
                let age = now.saturating_duration_since(at) + LISTING_DELAY;
                let born = SystemTime::now().duration_since(UNIX_EPOCH)? - age;
                self.cluster.list_cache(cache, born.as_millis() as u64);
            } else {
                self.cluster.unlist_cache(cache);
            }
        }
        Ok(())
    }

    /// Evaluates the spans before, in and after the disturbance, where there is one.
    fn evaluate_spans(&mut self, requests: &[ClientRequest], begun: f64) {
        let Some((from, to)) = self.scenario.disturbance else {
            return;
        };
        let last = self.samples.last().map_or(to, |sample| sample.at);
        let caches = self.cluster.plan.caches;
        let before = (WARM_UP_S.min(from), from);
        let observations = Observations {
            samples: &self.samples,
            requests,
            timeline_start: begun,
            capacity: self.scenario.cache.capacity() * caches as f64,
            caches,
        };
        for (name, (from, to)) in [
            ("before", before),
            ("trouble", (from, to)),
            ("after", (to, last)),
        ] {
            self.spans.insert(name.into(), observations.span(from, to));
        }
        self.seconds = overload_metrics::seconds(&self.samples, requests, begun);
        self.recovered_s = overload_metrics::recovery(&self.seconds, before, to);
    }

    fn check_interrupted(&self) -> Result<(), TestbedError> {
        if self.interrupted.load(Ordering::Relaxed) {
            Err(TestbedError::Interrupted)
        } else {
            Ok(())
        }
    }

    fn note(&mut self, what: String) {
        self.timeline.push((self.now(), what));
    }

    /// Holds what members see now against the invariants that always hold.
    fn observe(&mut self) -> Vec<Option<MemberView>> {
        let views = self.cluster.views();
        let at = self.now();
        self.invariants
            .check_shares(at, &views, self.scenario.max_share_sum);
        views
    }

    /// Waits until all views agree and are true.
    fn settle(&mut self, name: &str, since: Instant) {
        let ceiling = Duration::from_secs_f64(self.scenario.ceiling);
        loop {
            let views = self.observe();
            // What was true when the last member was asked was so a little earlier.
            let took = since.elapsed();
            let untrue = if self.cluster.plan.fleet_enabled {
                self.invariants.first_incorrect_view(
                    &self.cluster,
                    &views,
                    self.scenario.suspicions,
                )
            } else {
                let away = |m: &&MemberProcess| {
                    m.intended == IntendedState::Up && m.admin_get("/admin/health").is_none()
                };
                self.cluster
                    .members
                    .iter()
                    .find(away)
                    .map(|m| format!("{} is not ready", m.spec.name))
            };
            let Some(untrue) = untrue else {
                self.converged_s.insert(name.into(), took.as_secs_f64());
                return self.note(format!("{name}: settled"));
            };
            if took >= ceiling || self.interrupted.load(Ordering::Relaxed) {
                let at = self.now();
                let what = format!(
                    "{name}: not settled after {:.0} s: {untrue}",
                    took.as_secs_f64()
                );
                return self.invariants.record_violation(at, "settles", what);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
