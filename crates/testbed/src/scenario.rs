//! Scenarios: the cluster of a trial and the timeline of its actions, parsed from TOML.

use crate::network_emulation::faults::LinkFaults;
use crate::simulated_services::cache::CacheOptions;
use crate::simulated_services::clients::ClientOptions;
use crate::simulated_services::origin::OriginOptions;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Scenario of a trial with real processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name on the command line and in reports.
    pub name: String,
    /// One-line description.
    pub about: String,
    /// Number of balancer processes; `--instances` overrides it.
    pub instances: usize,
    /// Number of tile caches.
    #[serde(default = "default_caches")]
    pub caches: usize,
    /// Request rate of all clients together, per second; 0 for no clients.
    #[serde(default)]
    pub rate: f64,
    /// Faults of all datagram links between members from the start; `heal` restores them.
    #[serde(default)]
    pub links: LinkFaults,
    /// Number of fleets. Instances are assigned to them in turn; all have the same join addresses.
    #[serde(default = "default_fleets")]
    pub fleets: usize,
    /// Further entries of the members' `fleet` setting, such as `hold_ms`.
    #[serde(default)]
    pub fleet: serde_json::Map<String, serde_json::Value>,
    /// Whether a member that is listed as suspect counts as correctly listed. Set where datagram
    /// loss causes suspicions that are refuted soon afterwards.
    #[serde(default)]
    pub suspicions: bool,
    /// Maximum sum of all balancers' shares. A balancer's share is 1 divided by its share count;
    /// the shares of one fleet sum to 1 if each balancer counts exactly the running ones.
    #[serde(default = "default_max_share_sum", rename = "shares_most")]
    pub max_share_sum: f64,
    /// Timeout of each wait for convergence, in seconds. It guards against endless waits and is no
    /// target for the convergence time.
    #[serde(default = "default_convergence_timeout", rename = "ceiling")]
    pub convergence_timeout_s: f64,
    /// Capacity and speed of the caches.
    #[serde(default)]
    pub cache: CacheProfile,
    /// Origin behind the caches; without one a cache simulates the time of a fetch.
    pub origin: Option<OriginProfile>,
    /// Behaviour of the clients.
    #[serde(default)]
    pub clients: ClientOptions,
    /// Start and end of the disturbance, in seconds of the timeline. If set, the fleet is measured
    /// once a second, and the spans before, during and after the disturbance are evaluated.
    #[serde(rename = "trouble")]
    pub disturbance: Option<(f64, f64)>,
    /// Timeline, ordered by time.
    #[serde(default, rename = "step")]
    pub steps: Vec<ScenarioStep>,
}

fn default_caches() -> usize {
    4
}

/// Capacity and speed of a cache.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CacheProfile {
    /// Maximum number of requests processed concurrently.
    pub slots: usize,
    /// Maximum number of queued requests; further ones are rejected.
    pub queue: usize,
    /// Processing time of a request at a warm cache, in milliseconds.
    pub service_ms: u64,
    /// Speed of a cache right after a restart, as a fraction of the warm speed.
    pub cold_from: f64,
    /// Time after a restart until the cache runs at full speed, in seconds.
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
    /// Returns the options of a warm cache, or of one that starts cold.
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

    /// Returns the capacity of one warm cache, in requests per second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.slots as f64 * 1_000.0 / self.service_ms.max(1) as f64
    }
}

/// Capacity and speed of the origin.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OriginProfile {
    /// Maximum number of fetches and writes processed concurrently.
    pub slots: usize,
    /// Processing time of a fetch or write, in milliseconds.
    pub service_ms: u64,
    /// Maximum time in the queue before a fetch or write fails, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

impl OriginProfile {
    /// Converts the profile to the options of the simulated origin.
    #[must_use]
    pub fn options(&self) -> OriginOptions {
        OriginOptions {
            slots: self.slots,
            service_time: Duration::from_millis(self.service_ms),
            timeout: Duration::from_millis(self.timeout_ms),
        }
    }
}

fn default_fleets() -> usize {
    1
}

fn default_max_share_sum() -> f64 {
    1.7
}

fn default_convergence_timeout() -> f64 {
    30.0
}

/// One action of the timeline.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioStep {
    /// Scheduled time, in seconds since the fleet first converged. The step runs later if an
    /// earlier step still waits for convergence.
    pub at: f64,
    /// Action.
    #[serde(rename = "do")]
    pub action: ScenarioAction,
    /// Members or caches that the action applies to, as accepted by [`parse_member_set`]; for
    /// links, the sending members.
    #[serde(default = "all_members")]
    pub members: String,
    /// For links: receiving members.
    #[serde(default = "all_members")]
    pub to: String,
    /// For links: whether the opposite direction changes as well.
    #[serde(default)]
    pub both: bool,
    /// For `load`: new request rate of all clients together, per second.
    pub rate: Option<f64>,
    /// For `slow-origin`: factor applied to the origin's processing time, 1 or more.
    pub slow: Option<f64>,
    /// For `link`: new faults of the links.
    #[serde(default)]
    pub faults: LinkFaults,
    /// If set, the step waits until all views are correct, and the report lists the time that took
    /// under this name.
    #[serde(rename = "settles")]
    pub convergence_name: Option<String>,
}

fn all_members() -> String {
    "all".into()
}

/// Action of a step.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioAction {
    /// Sends SIGKILL to members.
    Kill,
    /// Sends SIGSTOP to members.
    Stop,
    /// Sends SIGCONT to members.
    GoOn,
    /// Sends SIGTERM to members.
    Term,
    /// Starts members again under the same name and address.
    Start,
    /// Restarts members one after the other: SIGTERM, wait for the exit, start.
    Roll,
    /// Drops all datagrams on links.
    Cut,
    /// Sets the faults of links to those of the step.
    Link,
    /// Resets the faults of links to those of the scenario.
    Heal,
    /// Changes the clients' request rate.
    Load,
    /// Stops the caches in `members`. They are removed from the endpoint list two seconds later.
    KillCaches,
    /// Starts the caches in `members` cold. They are added to the endpoint list a second later.
    StartCaches,
    /// Changes the speed of the origin.
    SlowOrigin,
    /// Does nothing: extends the timeline, or waits for convergence.
    Wait,
}

/// Maximum request rate, per second. It is limited because each outstanding request occupies a
/// thread.
pub const REQUEST_RATE_MAX: f64 = 1_000.0;

/// Rejection of a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is not valid TOML or does not have the expected keys.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// The number of fleets is 0.
    #[error("fleets: is 0, expected 1 or more")]
    NoFleets,
    /// A value of a step is out of range.
    #[error("step[{index}].{key}: {problem}")]
    Step {
        /// Index of the step, from 0.
        index: usize,
        /// Key within the step.
        key: String,
        /// The value and the expected range.
        problem: String,
    },
}

/// Rejection of a text that does not denote a set of members.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "\"{text}\" is not a set of members; expected all, none, first-half, second-half, \
     last-quarter, or numbers and ranges such as 0,3-5"
)]
pub struct MemberSetError {
    /// The rejected text.
    pub text: String,
}

/// Parses and validates a scenario.
///
/// # Errors
///
/// Fails on invalid TOML, unknown or missing keys, and values out of range.
pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
    let scenario: Scenario = toml::from_str(text)?;
    if scenario.fleets == 0 {
        return Err(ScenarioError::NoFleets);
    }
    let mut previous_at = 0.0;
    for (i, step) in scenario.steps.iter().enumerate() {
        let reject = |key: &str, problem: String| {
            Err(ScenarioError::Step {
                index: i,
                key: key.into(),
                problem,
            })
        };
        if !step.at.is_finite() || step.at < previous_at {
            return reject(
                "at",
                format!(
                    "is {}, expected the time of the previous step, {previous_at}, or later",
                    step.at
                ),
            );
        }
        previous_at = step.at;
        for (key, text) in [("members", &step.members), ("to", &step.to)] {
            if let Err(problem) = parse_member_set(text, scenario.instances) {
                return reject(key, problem.to_string());
            }
        }
        if step.action == ScenarioAction::Load
            && step
                .rate
                .is_none_or(|rate| !(0.0..=REQUEST_RATE_MAX).contains(&rate))
        {
            return reject(
                "rate",
                format!(
                    "is {:?}, expected 0 to {REQUEST_RATE_MAX} requests per second",
                    step.rate
                ),
            );
        }
        if step.action == ScenarioAction::SlowOrigin && step.slow.is_none_or(|slow| slow < 1.0) {
            return reject("slow", format!("is {:?}, expected 1 or more", step.slow));
        }
        for (key, fraction) in [
            ("drop", step.faults.drop),
            ("duplicate", step.faults.duplicate),
            ("reorder", step.faults.reorder),
        ] {
            if !(0.0..=1.0).contains(&fraction) {
                return reject(
                    &format!("faults.{key}"),
                    format!("is {fraction}, expected a fraction from 0 to 1"),
                );
            }
        }
    }
    Ok(scenario)
}

/// Parses a set of `n` members: `all`, `none`, `first-half`, `second-half`, `last-quarter`, or
/// numbers and ranges such as `0,3-5`. Numbers of `n` or more are ignored, so that a scenario fits
/// any number of instances.
///
/// # Errors
///
/// Fails if the text has none of these forms.
pub fn parse_member_set(text: &str, n: usize) -> Result<Vec<usize>, MemberSetError> {
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
    let mut members = Vec::new();
    for part in text.split(',') {
        let (from, to) = match part.split_once('-') {
            Some((from, to)) => (number(from)?, number(to)?),
            None => (number(part)?, number(part)?),
        };
        members.extend((from..=to.min(n.saturating_sub(1))).filter(|m| *m < n));
    }
    Ok(members)
}

#[cfg(test)]
mod tests;
