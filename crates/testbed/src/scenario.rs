//! Scenarios: what happens in a trial and when, read from a TOML file.

use crate::network_emulation::faults::LinkFaults;
use crate::simulated_services::cache::CacheOptions;
use crate::simulated_services::clients::ClientOptions;
use crate::simulated_services::origin::OriginOptions;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// A scenario: its cluster, and its timeline.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it shows, in a line.
    pub about: String,
    /// Processes, unless the command says otherwise.
    pub instances: usize,
    /// Caches.
    #[serde(default = "four")]
    pub caches: usize,
    /// Requests a second over all.
    #[serde(default)]
    pub rate: f64,
    /// What is wrong on every link of datagrams from the start.
    #[serde(default)]
    pub links: LinkFaults,
    /// Members are of so many fleets, in turn; all have the same join addresses.
    #[serde(default = "one")]
    pub fleets: usize,
    /// Further figures of the members' key `fleet`, such as `hold_ms`.
    #[serde(default)]
    pub fleet: serde_json::Map<String, serde_json::Value>,
    /// Suspicions that are refuted at once are no error: datagrams get lost in this scenario.
    #[serde(default)]
    pub suspicions: bool,
    /// The greatest sum of all balancers' shares that is borne.
    #[serde(default = "bound", rename = "shares_most")]
    pub max_share_sum: f64,
    /// The longest any `settles` may take, in seconds: a wide ceiling, no aim.
    #[serde(default = "ceiling")]
    pub ceiling: f64,
    /// How the caches work.
    #[serde(default)]
    pub cache: CacheProfile,
    /// The origin behind the caches, if there is one.
    pub origin: Option<OriginProfile>,
    /// How clients behave.
    #[serde(default)]
    pub clients: ClientOptions,
    /// The disturbance lasts from then to then, in seconds of the timeline: what the fleet does is
    /// measured second by second and evaluated before, in and after it.
    #[serde(rename = "trouble")]
    pub disturbance: Option<(f64, f64)>,
    /// The timeline, in order.
    #[serde(default, rename = "step")]
    pub steps: Vec<ScenarioStep>,
}

fn four() -> usize {
    4
}

/// A cache's figures; times are in milliseconds, the warm-up in seconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CacheProfile {
    /// Requests at work at a time.
    pub slots: usize,
    /// Requests that wait; more are rejected.
    pub queue: usize,
    /// What a request takes.
    pub service_ms: u64,
    /// The share of its speed that a cache starts with when it comes back.
    pub cold_from: f64,
    /// It is warm after this.
    pub warm_s: f64,
}

impl Default for CacheProfile {
    fn default() -> Self {
        CacheProfile {
            slots: 4,
            queue: 32,
            service_ms: 8,
            cold_from: 1.0,
            warm_s: 0.0,
        }
    }
}

impl CacheProfile {
    /// As a cache takes them: one that has been there for long, or one that has just started.
    #[must_use]
    pub fn options(&self, cold: bool) -> CacheOptions {
        CacheOptions {
            slots: self.slots,
            queue: self.queue,
            service_time: Duration::from_millis(self.service_ms),
            slow_start_fraction: if cold { self.cold_from } else { 1.0 },
            slow_start_duration: Duration::from_secs_f64(self.warm_s),
            ..CacheOptions::default()
        }
    }

    /// Requests a second that one warm cache serves.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.slots as f64 * 1_000.0 / self.service_ms.max(1) as f64
    }
}

/// The origin's figures; times are in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OriginProfile {
    /// Fetches and writes at a time.
    pub slots: usize,
    /// What one takes.
    pub service_ms: u64,
    /// One that has waited so long fails.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

impl OriginProfile {
    /// As the origin takes them.
    #[must_use]
    pub fn options(&self) -> OriginOptions {
        OriginOptions {
            slots: self.slots,
            service_time: Duration::from_millis(self.service_ms),
            timeout: Duration::from_millis(self.timeout_ms),
        }
    }
}

fn one() -> usize {
    1
}

fn bound() -> f64 {
    1.7
}

fn ceiling() -> f64 {
    30.0
}

/// One thing that happens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioStep {
    /// When, in seconds since all views first agreed. Later than that where a step before it waits
    /// longer.
    pub at: f64,
    /// What.
    #[serde(rename = "do")]
    pub act: ScenarioAction,
    /// With whom, as in [`members`]; for links: from whom.
    #[serde(default = "all")]
    pub members: String,
    /// For links: to whom.
    #[serde(default = "all")]
    pub to: String,
    /// For links: the way back too.
    #[serde(default)]
    pub both: bool,
    /// For `load`: requests a second from then on.
    pub rate: Option<f64>,
    /// For `slow-origin`: how many times as long each fetch takes from then on.
    pub slow: Option<f64>,
    /// For `link`: what is wrong from then on.
    #[serde(default)]
    pub faults: LinkFaults,
    /// How long until all views agree and are true after this is measured under this name, and
    /// waited for.
    pub settles: Option<String>,
}

fn all() -> String {
    "all".into()
}

/// What can happen.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioAction {
    /// SIGKILL.
    Kill,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    GoOn,
    /// SIGTERM.
    Term,
    /// Started again, under the same name and address.
    Start,
    /// SIGTERM, its end, and a start, one after the other.
    Roll,
    /// Links are cut.
    Cut,
    /// Links have the faults that the step names.
    Link,
    /// Links have what was wrong with them at the start.
    Heal,
    /// Clients send so many requests a second.
    Load,
    /// Caches die; `members` names them. The list says so two seconds later.
    KillCaches,
    /// Caches come back, cold; the list says so a second later.
    StartCaches,
    /// The origin is slowed.
    SlowOrigin,
    /// Nothing: for `settles` alone, or to let time pass.
    Wait,
}

/// The most requests a second: each that is out has a thread of its own.
pub const RATE_MAX: f64 = 1_000.0;

/// A scenario that is not valid.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// It is no TOML of the expected form.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// Members have to belong to a fleet.
    #[error("fleets: 0; 1 or more are expected")]
    NoFleets,
    /// A value of a step is out of range.
    #[error("step[{index}].{key}: {problem}")]
    Step {
        /// Which step, from 0.
        index: usize,
        /// Which key.
        key: String,
        /// The value, and what is expected.
        problem: String,
    },
}

/// A text that names no set of members.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "\"{text}\" is no member; a number, a range such as 3-5, all, none, first-half, second-half or \
     last-quarter is expected"
)]
pub struct MemberSetError {
    /// The text.
    pub text: String,
}

/// Reads a scenario.
///
/// # Errors
///
/// Says what is wrong and where.
pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
    let scenario: Scenario = toml::from_str(text)?;
    if scenario.fleets == 0 {
        return Err(ScenarioError::NoFleets);
    }
    let mut before = 0.0;
    for (i, step) in scenario.steps.iter().enumerate() {
        let wrong = |key: &str, problem: String| {
            Err(ScenarioError::Step {
                index: i,
                key: key.into(),
                problem,
            })
        };
        if !step.at.is_finite() || step.at < before {
            return wrong(
                "at",
                format!("{} comes before the step above, at {before}", step.at),
            );
        }
        before = step.at;
        for (key, text) in [("members", &step.members), ("to", &step.to)] {
            if let Err(problem) = members(text, scenario.instances) {
                return wrong(key, problem.to_string());
            }
        }
        if step.act == ScenarioAction::Load
            && step
                .rate
                .is_none_or(|rate| !(0.0..=RATE_MAX).contains(&rate))
        {
            return wrong(
                "rate",
                format!(
                    "{:?}; 0 to {RATE_MAX} requests a second are expected",
                    step.rate
                ),
            );
        }
        if step.act == ScenarioAction::SlowOrigin && step.slow.is_none_or(|slow| slow < 1.0) {
            return wrong("slow", format!("{:?}; 1 or more is expected", step.slow));
        }
        for (key, share) in [
            ("drop", step.faults.drop),
            ("duplicate", step.faults.duplicate),
            ("reorder", step.faults.reorder),
        ] {
            if !(0.0..=1.0).contains(&share) {
                return wrong(
                    &format!("faults.{key}"),
                    format!("{share} is no share of 0 to 1"),
                );
            }
        }
    }
    Ok(scenario)
}

/// Members by words, of `n`: `all`, `none`, `first-half`, `second-half`, `last-quarter`, or numbers
/// such as `0,3-5`; numbers beyond the last count for nobody, so that a scenario fits any number of
/// instances.
///
/// # Errors
///
/// If the text is none of these.
pub fn members(text: &str, n: usize) -> Result<Vec<usize>, MemberSetError> {
    let range = |from: usize, to: usize| Ok((from.min(n)..to.min(n)).collect());
    match text {
        "all" => return range(0, n),
        "none" => return Ok(Vec::new()),
        "first-half" => return range(0, n / 2),
        "second-half" => return range(n / 2, n),
        "last-quarter" => return range(n - n.div_ceil(4), n),
        _ => {}
    }
    let number = |text: &str| {
        text.trim()
            .parse::<usize>()
            .map_err(|_| MemberSetError { text: text.into() })
    };
    let mut found = Vec::new();
    for part in text.split(',') {
        let (from, to) = match part.split_once('-') {
            Some((from, to)) => (number(from)?, number(to)?),
            None => (number(part)?, number(part)?),
        };
        found.extend((from..=to.min(n.saturating_sub(1))).filter(|m| *m < n));
    }
    Ok(found)
}

#[cfg(test)]
mod tests;
