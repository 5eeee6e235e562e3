//! Plays a scenario and gives the verdict.

use crate::cluster::{Cluster, ClusterPlan};
use crate::error::TestbedError;
use crate::invariants::{InvariantChecker, InvariantViolation};
use crate::member_process::{IntendedState, MemberProcess};
use crate::network_emulation::faults::LinkFaults;
use crate::overload_metrics::{self, ClusterSample, SecondMetrics, SpanMetrics};
use crate::scenario::{Scenario, ScenarioAction, ScenarioStep, members};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A process that is asked to end has this long; requests of the longest class and the platform's
/// slack fit in.
const END_MOST: Duration = Duration::from_secs(10);
/// The list knows of a death this late, and of a start.
const UNLISTED_AFTER: Duration = Duration::from_secs(2);
const LISTED_AFTER: Duration = Duration::from_secs(1);
/// Seconds of the timeline in which caches fill; not judged.
const WARM_UP: f64 = 6.0;
/// The members' logs are read this often for the sum of shares while nothing is waited for.
const LOOK: Duration = Duration::from_millis(100);

/// What a trial showed.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioReport {
    /// The scenario.
    pub scenario: String,
    /// How many processes.
    pub instances: usize,
    /// By which seed.
    pub seed: u64,
    /// A mistake that was planted.
    pub planted: Option<String>,
    /// Seconds from each measured step until all views agreed and were true.
    pub settled: BTreeMap<String, f64>,
    /// The greatest sum of shares that was seen.
    #[serde(rename = "shares_most")]
    pub max_share_sum: f64,
    /// Deaths that were none.
    pub false_deaths: usize,
    /// How requests ended.
    pub requests: BTreeMap<String, usize>,
    /// Datagrams passed on, and those lost by faults.
    pub datagrams: (u64, u64),
    /// Means over the members that ran to the end, since their start.
    pub member: BTreeMap<String, f64>,
    /// What the fleet did second by second, where it was metered.
    pub seconds: Vec<SecondMetrics>,
    /// The judgement before, in and after the trouble.
    pub spans: BTreeMap<String, SpanMetrics>,
    /// Seconds from the trouble's end until nine tenths of the worth were back; absent where they
    /// never came.
    pub recovered_s: Option<f64>,
    /// What was done, and when, in seconds.
    #[serde(rename = "done")]
    pub timeline: Vec<(f64, String)>,
    /// What broke; at most fifty are told.
    pub failures: Vec<InvariantViolation>,
    /// How much broke in all.
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
                first.invariant, self.failed, first.at, first.what
            ),
        }
    }
}

struct ScenarioRun<'a> {
    cluster: Cluster,
    invariants: InvariantChecker,
    scenario: &'a Scenario,
    timeline: Vec<(f64, String)>,
    settled: BTreeMap<String, f64>,
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

/// Plays a scenario on a ground by this plan. `interrupted` ends it early.
///
/// # Errors
///
/// If the trial can't be played to its end; what it finds wrong stands in the report.
pub fn play(
    scenario: &Scenario,
    plan: ClusterPlan,
    interrupted: &AtomicBool,
) -> Result<ScenarioReport, TestbedError> {
    let cluster = Cluster::lay_out(plan)?;
    let (checker, done, settled) = (InvariantChecker::default(), Vec::new(), BTreeMap::new());
    let mut play = ScenarioRun {
        cluster,
        invariants: checker,
        scenario,
        timeline: done,
        settled,
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
    if let Some(folder) = &play.cluster.plan.logs {
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
            let of = |line: crate::member_process::LogLine| {
                (line.at, format!("{} {}", member.spec.name, line.text))
            };
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
        (0..n).for_each(|i| self.invariants.set_away(0.0, i, true));
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
        (0..n).for_each(|i| self.invariants.set_away(now, i, false));
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
                std::thread::sleep(LOOK);
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
            .map(super::simulated_services::origin::Origin::counts)
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
                let age = now.saturating_duration_since(at) + LISTED_AFTER;
                let born = SystemTime::now().duration_since(UNIX_EPOCH)? - age;
                self.cluster.list_cache(cache, born.as_millis() as u64);
            } else {
                self.cluster.unlist_cache(cache);
            }
        }
        Ok(())
    }

    /// Judges the spans before, in and after the trouble, where there is one.
    fn evaluate_spans(
        &mut self,
        asked: &[crate::simulated_services::clients::ClientRequest],
        offset: f64,
    ) {
        let Some((from, to)) = self.scenario.disturbance else {
            return;
        };
        let last = self.samples.last().map_or(to, |sample| sample.at);
        let caches = self.cluster.plan.caches;
        let room = self.scenario.cache.capacity() * caches as f64;
        let before = (WARM_UP.min(from), from);
        for (name, span) in [
            ("before", before),
            ("trouble", (from, to)),
            ("after", (to, last)),
        ] {
            let judged = overload_metrics::span(span, &self.samples, asked, offset, room, caches);
            self.spans.insert(name.into(), judged);
        }
        self.seconds = overload_metrics::seconds(&self.samples, asked, offset);
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
    fn observe(&mut self) -> Vec<Option<crate::member_process::MemberView>> {
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
            let untrue = if self.cluster.plan.fleet {
                self.invariants
                    .first_wrong_view(&self.cluster, &views, self.scenario.suspicions)
            } else {
                let away = |m: &&MemberProcess| {
                    m.intended == IntendedState::Up && m.call("/admin/health").is_none()
                };
                self.cluster
                    .members
                    .iter()
                    .find(away)
                    .map(|m| format!("{} is not ready", m.spec.name))
            };
            let Some(untrue) = untrue else {
                self.settled.insert(name.into(), took.as_secs_f64());
                return self.note(format!("{name}: settled"));
            };
            if took >= ceiling || self.interrupted.load(Ordering::Relaxed) {
                let at = self.now();
                let what = format!(
                    "{name}: not settled after {:.0} s: {untrue}",
                    took.as_secs_f64()
                );
                return self.invariants.fail(at, "settles", what);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn step(&mut self, step: &ScenarioStep) -> Result<(), TestbedError> {
        let n = self.cluster.plan.instances;
        let (from, to) = (members(&step.members, n)?, members(&step.to, n)?);
        self.note(format!(
            "{:?} {} {}",
            step.act,
            step.members,
            if step.both { "both ways" } else { "" }
        ));
        match step.act {
            ScenarioAction::Kill => self.apply(&from, true, MemberProcess::kill),
            ScenarioAction::Stop => self.apply(&from, true, MemberProcess::stop),
            ScenarioAction::GoOn => self.apply(&from, false, MemberProcess::go_on),
            ScenarioAction::Term => self.apply(&from, true, MemberProcess::term),
            ScenarioAction::Start => {
                for i in &from {
                    self.cluster.members[*i].start()?;
                }
                self.wait_until_ready(&from);
            }
            ScenarioAction::Roll => {
                for i in &from {
                    self.restart_gracefully(*i)?;
                    self.observe();
                }
            }
            ScenarioAction::Cut => self.links(
                &from,
                &to,
                step.both,
                LinkFaults {
                    cut: true,
                    ..self.scenario.links
                },
            ),
            ScenarioAction::Link => self.links(&from, &to, step.both, step.faults),
            ScenarioAction::Heal => self.links(&from, &to, step.both, self.scenario.links),
            ScenarioAction::Load => self
                .cluster
                .request_rate
                .set(step.rate.unwrap_or(self.scenario.rate)),
            ScenarioAction::KillCaches => {
                for cache in members(&step.members, self.cluster.plan.caches)? {
                    self.cluster.kill_cache(cache);
                    self.listings
                        .push((Instant::now() + UNLISTED_AFTER, cache, false));
                }
            }
            ScenarioAction::StartCaches => {
                for cache in members(&step.members, self.cluster.plan.caches)? {
                    self.cluster.start_cache(cache)?;
                    self.listings
                        .push((Instant::now() + LISTED_AFTER, cache, true));
                }
            }
            ScenarioAction::SlowOrigin => {
                if let Some(origin) = &self.cluster.origin {
                    origin.slow(step.slow.unwrap_or(1.0));
                }
            }
            ScenarioAction::Wait => {}
        }
        let step_done = Instant::now();
        if let Some(name) = &step.settles {
            // From the last of it on: processes are killed one after the other.
            self.settle(name, step_done);
        }
        self.check_interrupted()
    }

    fn apply(&mut self, who: &[usize], away: bool, act: impl Fn(&mut MemberProcess)) {
        for i in who {
            // What is seen of it lies between the two, whatever else the machine does.
            let before = self.now();
            act(&mut self.cluster.members[*i]);
            let at = if away { before } else { self.now() };
            self.invariants.set_away(at, *i, away);
        }
    }

    /// They were started: until they are ready they count as away.
    fn wait_until_ready(&mut self, who: &[usize]) {
        let ready = |cluster: &Cluster| {
            who.iter()
                .all(|i| cluster.members[*i].call("/admin/health").is_some())
        };
        if self.cluster.wait(END_MOST, ready).is_none() {
            let at = self.now();
            self.invariants
                .fail(at, "starts", format!("{who:?}: not ready in time"));
        }
        let at = self.now();
        who.iter()
            .for_each(|i| self.invariants.set_away(at, *i, false));
    }

    fn restart_gracefully(&mut self, i: usize) -> Result<(), TestbedError> {
        let at = self.now();
        self.invariants.set_away(at, i, true);
        self.cluster.members[i].term();
        let ended = self.cluster.members[i].ended(END_MOST);
        if !ended.is_some_and(|status| status.success()) {
            self.invariants
                .fail(at, "ends", format!("n{i}: {ended:?} after SIGTERM"));
        }
        self.cluster.members[i].start()?;
        self.wait_until_ready(&[i]);
        Ok(())
    }

    fn links(&mut self, from: &[usize], to: &[usize], both: bool, faults: LinkFaults) {
        let at = self.now();
        for i in from {
            for j in to.iter().filter(|j| *j != i) {
                self.cluster.link(*i, *j).set(faults);
                self.invariants.set_cut(at, *i, *j, faults.cut);
                if both {
                    self.cluster.link(*j, *i).set(faults);
                    self.invariants.set_cut(at, *j, *i, faults.cut);
                }
            }
        }
    }

    fn report(self) -> ScenarioReport {
        let mut member: BTreeMap<String, f64> = BTreeMap::new();
        let views: Vec<_> = self.cluster.views().into_iter().flatten().collect();
        let mean = |of: Vec<f64>| of.iter().sum::<f64>() / of.len().max(1) as f64;
        for name in [
            "sent",
            "sent_bytes",
            "heard",
            "suspicions",
            "given_up",
            "refuted",
            "returned",
            "gaps",
        ] {
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
        let (failures, failed) = self.invariants.failures();
        ScenarioReport {
            scenario: self.scenario.name.clone(),
            instances: self.cluster.plan.instances,
            seed: self.cluster.plan.seed,
            planted: self.cluster.plan.planted.clone(),
            settled: self.settled,
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
