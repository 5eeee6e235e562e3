//! Plays a scenario and gives the verdict.

use crate::cluster::{Cluster, ClusterPlan};
use crate::error::TestbedError;
use crate::invariants::{InvariantChecker, InvariantViolation};
use crate::member_process::IntendedState;
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
    pub shares_most: f64,
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
    pub done: Vec<(f64, String)>,
    /// What broke; at most fifty are told.
    pub failures: Vec<InvariantViolation>,
    /// How much broke in all.
    pub failed: usize,
}

impl ScenarioReport {
    /// The verdict's line.
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
    ground: Cluster,
    referee: InvariantChecker,
    scenario: &'a Scenario,
    done: Vec<(f64, String)>,
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
pub fn play(
    scenario: &Scenario,
    plan: ClusterPlan,
    interrupted: &AtomicBool,
) -> Result<ScenarioReport, TestbedError> {
    let ground = Cluster::lay_out(plan)?;
    let (referee, done, settled) = (InvariantChecker::default(), Vec::new(), BTreeMap::new());
    let mut play = ScenarioRun {
        ground,
        referee,
        scenario,
        done,
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
    if let Some(folder) = &play.ground.plan.logs {
        play.write_logs(folder)?;
    }
    played?;
    Ok(play.report())
}

impl ScenarioRun<'_> {
    /// What all members logged, by the time at which it came.
    fn write_logs(&self, folder: &Path) -> Result<(), TestbedError> {
        let mut lines: Vec<(f64, String)> = Vec::new();
        for member in &self.ground.members {
            let of = |line: crate::member_process::LogLine| {
                (line.at, format!("{} {}", member.spec.name, line.text))
            };
            lines.extend(member.log().into_iter().map(of));
        }
        lines.extend(
            self.done
                .iter()
                .map(|(at, what)| (*at, format!("TRIAL {what}"))),
        );
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{at:8.3} {text}\n"))
            .collect();
        let plan = &self.ground.plan;
        let file = folder.join(format!(
            "{}-{}-{}.log",
            self.scenario.name, plan.instances, plan.seed
        ));
        std::fs::create_dir_all(folder)
            .and_then(|()| std::fs::write(&file, text))
            .map_err(|e| TestbedError::file(&file, e))
    }

    fn now(&self) -> f64 {
        self.ground.begun.elapsed().as_secs_f64()
    }

    fn run(&mut self) -> Result<(), TestbedError> {
        let n = self.ground.plan.instances;
        let everyone: Vec<usize> = (0..n).collect();
        self.ground
            .set_links(&everyone, &everyone, self.scenario.links);
        (0..n).for_each(|i| self.referee.away(0.0, i, true));
        // Members of two fleets are to each other as if there were no way.
        let fleets = self.ground.plan.fleets;
        for (i, j) in (0..n)
            .flat_map(|i| (0..n).map(move |j| (i, j)))
            .filter(|(i, j)| i % fleets != j % fleets)
        {
            self.referee.cut(0.0, i, j, true);
        }
        self.ground.start_all()?;
        self.note("all started".into());
        let started = Instant::now();
        self.settle("join", started);
        let now = self.now();
        (0..n).for_each(|i| self.referee.away(now, i, false));
        self.ground.start_clients();
        self.begun = Instant::now();
        let offset = self.now();
        for step in &self.scenario.steps {
            while self.begun.elapsed().as_secs_f64() < step.at {
                if self.scenario.trouble.is_some() {
                    self.sample();
                } else {
                    self.look();
                }
                self.listings()?;
                std::thread::sleep(LOOK);
                self.check_interrupted()?;
            }
            self.step(step)?;
        }
        let (at, asked) = (self.now(), self.ground.stop_clients());
        self.referee.caches(at, &self.ground);
        self.referee.false_deaths(&self.ground);
        self.requests = self.referee.clients(&asked);
        self.judge(&asked, offset);
        Ok(())
    }

    /// Once a second: what the fleet did so far.
    fn sample(&mut self) {
        let at = self.begun.elapsed().as_secs_f64();
        if at < self.samples.len() as f64 {
            return;
        }
        let (caches, members) = (self.ground.cache_counts(), self.ground.member_counts());
        let origin = self
            .ground
            .origin
            .as_ref()
            .map(|o| o.counts())
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
                self.ground.list_cache(cache, born.as_millis() as u64);
            } else {
                self.ground.unlist_cache(cache);
            }
        }
        Ok(())
    }

    /// Judges the spans before, in and after the trouble, where there is one.
    fn judge(&mut self, asked: &[crate::simulated_services::clients::ClientRequest], offset: f64) {
        let Some((from, to)) = self.scenario.trouble else {
            return;
        };
        let last = self.samples.last().map_or(to, |sample| sample.at);
        let caches = self.ground.plan.caches;
        let room = self.scenario.cache.room() * caches as f64;
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
        self.done.push((self.now(), what));
    }

    /// Holds what members see now against the invariants that always hold.
    fn look(&mut self) -> Vec<Option<crate::member_process::MemberView>> {
        let views = self.ground.views();
        let at = self.now();
        self.referee.shares(at, &views, self.scenario.shares_most);
        views
    }

    /// Waits until all views agree and are true.
    fn settle(&mut self, name: &str, since: Instant) {
        let ceiling = Duration::from_secs_f64(self.scenario.ceiling);
        loop {
            let views = self.look();
            // What was true when the last member was asked was so a little earlier.
            let took = since.elapsed();
            let untrue = if self.ground.plan.fleet {
                self.referee
                    .untrue(&self.ground, &views, self.scenario.suspicions)
            } else {
                let away = |m: &&crate::member_process::MemberProcess| {
                    m.meant == IntendedState::Up && m.call("/admin/health").is_none()
                };
                self.ground
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
                return self.referee.fail(at, "settles", what);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn step(&mut self, step: &ScenarioStep) -> Result<(), TestbedError> {
        let n = self.ground.plan.instances;
        let (from, to) = (members(&step.members, n)?, members(&step.to, n)?);
        self.note(format!(
            "{:?} {} {}",
            step.act,
            step.members,
            if step.both { "both ways" } else { "" }
        ));
        match step.act {
            ScenarioAction::Kill => self.each(&from, true, |m| m.kill()),
            ScenarioAction::Stop => self.each(&from, true, |m| m.stop()),
            ScenarioAction::GoOn => self.each(&from, false, |m| m.go_on()),
            ScenarioAction::Term => self.each(&from, true, |m| m.term()),
            ScenarioAction::Start => {
                for i in &from {
                    self.ground.members[*i].start()?;
                }
                self.back(&from);
            }
            ScenarioAction::Roll => {
                for i in &from {
                    self.roll(*i)?;
                    self.look();
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
                .ground
                .load
                .set(step.rate.unwrap_or(self.scenario.rate)),
            ScenarioAction::KillCaches => {
                for cache in members(&step.members, self.ground.plan.caches)? {
                    self.ground.kill_cache(cache);
                    self.listings
                        .push((Instant::now() + UNLISTED_AFTER, cache, false));
                }
            }
            ScenarioAction::StartCaches => {
                for cache in members(&step.members, self.ground.plan.caches)? {
                    self.ground.start_cache(cache)?;
                    self.listings
                        .push((Instant::now() + LISTED_AFTER, cache, true));
                }
            }
            ScenarioAction::SlowOrigin => {
                if let Some(origin) = &self.ground.origin {
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

    fn each(
        &mut self,
        who: &[usize],
        away: bool,
        act: impl Fn(&mut crate::member_process::MemberProcess),
    ) {
        for i in who {
            // What is seen of it lies between the two, whatever else the machine does.
            let before = self.now();
            act(&mut self.ground.members[*i]);
            let at = if away { before } else { self.now() };
            self.referee.away(at, *i, away);
        }
    }

    /// They were started: until they are ready they count as away.
    fn back(&mut self, who: &[usize]) {
        let ready = |ground: &Cluster| {
            who.iter()
                .all(|i| ground.members[*i].call("/admin/health").is_some())
        };
        if self.ground.wait(END_MOST, ready).is_none() {
            let at = self.now();
            self.referee
                .fail(at, "starts", format!("{who:?}: not ready in time"));
        }
        let at = self.now();
        who.iter().for_each(|i| self.referee.away(at, *i, false));
    }

    fn roll(&mut self, i: usize) -> Result<(), TestbedError> {
        let at = self.now();
        self.referee.away(at, i, true);
        self.ground.members[i].term();
        let ended = self.ground.members[i].ended(END_MOST);
        if !ended.is_some_and(|status| status.success()) {
            self.referee
                .fail(at, "ends", format!("n{i}: {ended:?} after SIGTERM"));
        }
        self.ground.members[i].start()?;
        self.back(&[i]);
        Ok(())
    }

    fn links(&mut self, from: &[usize], to: &[usize], both: bool, faults: LinkFaults) {
        let at = self.now();
        for i in from {
            for j in to.iter().filter(|j| *j != i) {
                self.ground.link(*i, *j).set(faults);
                self.referee.cut(at, *i, *j, faults.cut);
                if both {
                    self.ground.link(*j, *i).set(faults);
                    self.referee.cut(at, *j, *i, faults.cut);
                }
            }
        }
    }

    fn report(self) -> ScenarioReport {
        let mut member: BTreeMap<String, f64> = BTreeMap::new();
        let views: Vec<_> = self.ground.views().into_iter().flatten().collect();
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
            .ground
            .members
            .iter()
            .filter_map(|m| m.memory())
            .map(|b| b as f64)
            .collect();
        member.insert("memory".into(), mean(memory));
        let (failures, failed) = self.referee.failures();
        ScenarioReport {
            scenario: self.scenario.name.clone(),
            instances: self.ground.plan.instances,
            seed: self.ground.plan.seed,
            planted: self.ground.plan.planted.clone(),
            settled: self.settled,
            shares_most: self.referee.shares,
            false_deaths: failures
                .iter()
                .filter(|f| f.invariant == "false-death")
                .count(),
            requests: self.requests,
            datagrams: self.ground.datagrams(),
            seconds: self.seconds,
            spans: self.spans,
            recovered_s: self.recovered_s,
            member,
            done: self.done,
            failures: failures.to_vec(),
            failed,
        }
    }
}
