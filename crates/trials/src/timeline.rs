//! What happens in a trial and when, as a file tells it.

use crate::faults::Faults;
use serde::{Deserialize, Serialize};

/// A scenario: what is on the ground, and its timeline.
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
    pub links: Faults,
    /// Members are of so many fleets, in turn; all are told the same addresses to ask.
    #[serde(default = "one")]
    pub fleets: usize,
    /// Suspicions that are refuted at once are no error: datagrams get lost on this ground.
    #[serde(default)]
    pub suspicions: bool,
    /// The greatest sum of all balancers' shares that is borne.
    #[serde(default = "bound")]
    pub shares_most: f64,
    /// The longest any `settles` may take, in seconds: a wide ceiling, no aim.
    #[serde(default = "ceiling")]
    pub ceiling: f64,
    /// The timeline, in order.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

fn four() -> usize {
    4
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
pub struct Step {
    /// When, in seconds since all views first agreed. Later than that where a step before it waits longer.
    pub at: f64,
    /// What.
    #[serde(rename = "do")]
    pub act: Act,
    /// With whom, as in [`members`]; for links: from whom.
    #[serde(default = "all")]
    pub members: String,
    /// For links: to whom.
    #[serde(default = "all")]
    pub to: String,
    /// For links: the way back too.
    #[serde(default)]
    pub both: bool,
    /// For `link`: what is wrong from then on.
    #[serde(default)]
    pub faults: Faults,
    /// How long until all views agree and are true after this is measured under this name, and waited for.
    pub settles: Option<String>,
}

fn all() -> String {
    "all".into()
}

/// What can happen.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
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
    /// Nothing: for `settles` alone, or to let time pass.
    Wait,
}

/// Reads a scenario; the error names what is wrong and where.
pub fn read(text: &str) -> Result<Scenario, String> {
    let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
    if scenario.fleets == 0 {
        return Err("fleets: 0; 1 or more are expected".into());
    }
    let mut before = 0.0;
    for (i, step) in scenario.steps.iter().enumerate() {
        let wrong = |key: &str, problem: String| Err(format!("step[{i}].{key}: {problem}"));
        if !step.at.is_finite() || step.at < before {
            return wrong("at", format!("{} comes before the step above, at {before}", step.at));
        }
        before = step.at;
        for (key, text) in [("members", &step.members), ("to", &step.to)] {
            if let Err(problem) = members(text, scenario.instances) {
                return wrong(key, problem);
            }
        }
        for (key, share) in [
            ("drop", step.faults.drop),
            ("duplicate", step.faults.duplicate),
            ("reorder", step.faults.reorder),
        ] {
            if !(0.0..=1.0).contains(&share) {
                return wrong(&format!("faults.{key}"), format!("{share} is no share of 0 to 1"));
            }
        }
    }
    Ok(scenario)
}

/// Members by words, of `n`: `all`, `none`, `first-half`, `second-half`, `last-quarter`, or numbers such as `0,3-5`; numbers
/// beyond the last count for nobody, so that a scenario fits any number of instances.
pub fn members(text: &str, n: usize) -> Result<Vec<usize>, String> {
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
        text.trim().parse::<usize>().map_err(|_| {
            format!("\"{text}\" is no member; a number, a range such as 3-5, all, none, first-half, second-half or last-quarter is expected")
        })
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
mod tests {
    use super::*;

    const GOOD: &str = "name='a'\nabout='b'\ninstances=8\n[[step]]\nat=4\ndo='cut'\nmembers='0,2-3'\nboth=true\nsettles='cut'\n[[step]]\nat=9.5\ndo='heal'\n";

    #[test]
    fn a_timeline_is_read_and_a_faulty_one_named() {
        let scenario = read(GOOD).unwrap();
        assert_eq!(members(&scenario.steps[0].members, 8).unwrap(), [0, 2, 3]);
        assert_eq!((scenario.steps[0].act, scenario.steps[1].act), (Act::Cut, Act::Heal));
        for (from, to, message) in [
            ("at=9.5", "at=3", "step[1].at: 3 comes before the step above, at 4"),
            ("'0,2-3'", "'x'", "step[0].members: \"x\" is no member"),
            ("both=true", "faults={drop=1.5}", "step[0].faults.drop: 1.5 is no share of 0 to 1"),
        ] {
            let error = read(&GOOD.replace(from, to)).unwrap_err();
            assert!(error.starts_with(message), "{error}");
        }
        assert!(read(&GOOD.replace("'heal'", "'mend'")).unwrap_err().contains("unknown variant `mend`"));
    }

    #[test]
    fn members_are_told_by_words_and_numbers() {
        assert_eq!(members("last-quarter", 12).unwrap(), [9, 10, 11]);
        assert_eq!(members("second-half", 5).unwrap(), [2, 3, 4]);
        assert_eq!(members("1,7-9", 8).unwrap(), [1, 7]);
        assert!(members("none", 8).unwrap().is_empty());
    }
}
