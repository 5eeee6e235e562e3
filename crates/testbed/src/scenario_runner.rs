//! Runs a scenario on a cluster and reports the result.

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

/// Delay from the start of a cache until it is added to the endpoint list.
const LISTING_DELAY: Duration = Duration::from_secs(1);
/// Start of the timeline in which caches fill, in seconds; excluded from the span before the
/// disturbance.
const WARM_UP_S: f64 = 6.0;
/// Interval at which views are read between steps, to check the sum of shares.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);

/// State of a scenario run. Times are in seconds since the creation of the cluster.
struct ScenarioRun<'a> {
    cluster: Cluster,
    invariants: InvariantChecker,
    scenario: &'a Scenario,
    timeline: Vec<(f64, String)>,
    converged_s: BTreeMap<String, f64>,
    requests: BTreeMap<String, usize>,
    interrupted: &'a AtomicBool,
    /// Start of the timeline of steps.
    timeline_start: Instant,
    /// Counters of the fleet, one sample per second of the timeline.
    samples: Vec<ClusterSample>,
    /// Scheduled changes of the endpoint list: time, cache, and whether the cache is added (true)
    /// or removed.
    pending_listings: Vec<(Instant, usize, bool)>,
    seconds: Vec<SecondMetrics>,
    spans: BTreeMap<String, SpanMetrics>,
    recovered_s: Option<f64>,
}

/// Runs a scenario on a cluster created from this plan. Setting `interrupted` ends the run early.
///
/// # Errors
///
/// Fails if the trial can't be completed. Violations of invariants are no errors; the report lists
/// them.
pub fn run_scenario(
    scenario: &Scenario,
    plan: ClusterPlan,
    interrupted: &AtomicBool,
) -> Result<ScenarioReport, TestbedError> {
    let cluster = Cluster::create(plan)?;
    let mut run = ScenarioRun {
        cluster,
        invariants: InvariantChecker::default(),
        scenario,
        timeline: Vec::new(),
        converged_s: BTreeMap::new(),
        requests: BTreeMap::new(),
        interrupted,
        timeline_start: Instant::now(),
        samples: Vec::new(),
        pending_listings: Vec::new(),
        seconds: Vec::new(),
        spans: BTreeMap::new(),
        recovered_s: None,
    };
    let result = run.run();
    if let Some(folder) = &run.cluster.plan.log_dir {
        run.write_logs(folder)?;
    }
    result?;
    Ok(run.report())
}

impl ScenarioRun<'_> {
    /// Writes the log lines of all members and the timeline to one file, ordered by time.
    fn write_logs(&self, folder: &Path) -> Result<(), TestbedError> {
        let mut lines: Vec<(f64, String)> = Vec::new();
        for member in &self.cluster.members {
            let prefixed = |line: LogLine| (line.at, format!("{} {}", member.spec.name, line.text));
            lines.extend(member.log().into_iter().map(prefixed));
        }
        lines.extend(
            self.timeline
                .iter()
                .map(|(at, entry)| (*at, format!("TRIAL {entry}"))),
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

    /// Returns the time since the creation of the cluster, in seconds.
    fn now(&self) -> f64 {
        self.cluster.created.elapsed().as_secs_f64()
    }

    /// Starts the members, executes the timeline, and checks the invariants.
    fn run(&mut self) -> Result<(), TestbedError> {
        let n = self.cluster.plan.instances;
        let all_members: Vec<usize> = (0..n).collect();
        self.cluster
            .set_links(&all_members, &all_members, self.scenario.links);
        (0..n).for_each(|i| self.invariants.set_unavailable(0.0, i, true));
        // Members of different fleets must not see each other, as if their links were cut.
        let fleets = self.cluster.plan.fleets;
        for (i, j) in (0..n)
            .flat_map(|i| (0..n).map(move |j| (i, j)))
            .filter(|(i, j)| i % fleets != j % fleets)
        {
            self.invariants.set_cut(0.0, i, j, true);
        }
        self.cluster.start_all()?;
        self.record_action("all started".into());
        let started = Instant::now();
        self.wait_for_convergence("join", started);
        let now = self.now();
        (0..n).for_each(|i| self.invariants.set_unavailable(now, i, false));
        self.cluster.start_clients();
        self.timeline_start = Instant::now();
        let timeline_offset = self.now();
        for step in &self.scenario.steps {
            while self.timeline_start.elapsed().as_secs_f64() < step.at {
                if self.scenario.disturbance.is_some() {
                    self.sample();
                } else {
                    self.observe();
                }
                self.apply_due_listings()?;
                std::thread::sleep(OBSERVE_INTERVAL);
                self.check_interrupted()?;
            }
            self.execute_step(step)?;
        }
        let (at, requests) = (self.now(), self.cluster.stop_clients());
        self.invariants.check_caches(at, &self.cluster);
        self.invariants.check_false_deaths(&self.cluster);
        self.requests = self.invariants.check_clients(&requests);
        self.evaluate_spans(&requests, timeline_offset);
        Ok(())
    }

    /// Records the counters of caches, origin and members, at most once a second.
    fn sample(&mut self) {
        let at = self.timeline_start.elapsed().as_secs_f64();
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

    /// Applies the changes of the endpoint list that are due.
    fn apply_due_listings(&mut self) -> Result<(), TestbedError> {
        let now = Instant::now();
        let (due, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_listings)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.pending_listings = pending;
        for (at, cache, is_listed) in due {
            if is_listed {
                let age = now.saturating_duration_since(at) + LISTING_DELAY;
                let born = SystemTime::now().duration_since(UNIX_EPOCH)? - age;
                self.cluster.list_cache(cache, born.as_millis() as u64);
            } else {
                self.cluster.unlist_cache(cache);
            }
        }
        Ok(())
    }

    /// Evaluates the spans before, during and after the disturbance, if the scenario has one.
    /// `timeline_offset` is the start of the timeline in the time of the requests.
    fn evaluate_spans(&mut self, requests: &[ClientRequest], timeline_offset: f64) {
        let Some((from, to)) = self.scenario.disturbance else {
            return;
        };
        let last = self.samples.last().map_or(to, |sample| sample.at);
        let caches = self.cluster.plan.caches;
        let before = (WARM_UP_S.min(from), from);
        let observations = Observations {
            samples: &self.samples,
            requests,
            timeline_start: timeline_offset,
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
        self.seconds = overload_metrics::seconds(&self.samples, requests, timeline_offset);
        self.recovered_s = overload_metrics::recovery(&self.seconds, before, to);
    }

    fn check_interrupted(&self) -> Result<(), TestbedError> {
        if self.interrupted.load(Ordering::Relaxed) {
            Err(TestbedError::Interrupted)
        } else {
            Ok(())
        }
    }

    /// Adds an entry to the timeline of the report.
    fn record_action(&mut self, action: String) {
        self.timeline.push((self.now(), action));
    }

    /// Reads the views of all members and checks the sum of shares.
    fn observe(&mut self) -> Vec<Option<MemberView>> {
        let views = self.cluster.views();
        let at = self.now();
        self.invariants
            .check_shares(at, &views, self.scenario.max_share_sum);
        views
    }

    /// Waits until all views are correct; a timeout is a violation. `since` is the start of the
    /// measured time.
    fn wait_for_convergence(&mut self, name: &str, since: Instant) {
        let timeout = Duration::from_secs_f64(self.scenario.convergence_timeout_s);
        loop {
            let views = self.observe();
            // Taken after all views were read: the views may have been correct slightly earlier, so
            // the reported time is never too short.
            let elapsed = since.elapsed();
            let problem = if self.cluster.plan.fleet_enabled {
                self.invariants.first_incorrect_view(
                    &self.cluster,
                    &views,
                    self.scenario.suspicions,
                )
            } else {
                let not_ready = |m: &&MemberProcess| {
                    m.intended == IntendedState::Up && m.admin_get("/admin/health").is_none()
                };
                self.cluster
                    .members
                    .iter()
                    .find(not_ready)
                    .map(|m| format!("{} is not ready", m.spec.name))
            };
            let Some(problem) = problem else {
                self.converged_s.insert(name.into(), elapsed.as_secs_f64());
                return self.record_action(format!("{name}: views converged"));
            };
            if elapsed >= timeout || self.interrupted.load(Ordering::Relaxed) {
                let at = self.now();
                let message = format!(
                    "{name}: views have not converged after {:.0} s: {problem}",
                    elapsed.as_secs_f64()
                );
                return self.invariants.record_violation(at, "settles", message);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
