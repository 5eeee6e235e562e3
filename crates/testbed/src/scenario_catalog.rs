//! Built-in scenarios.

use crate::error::TestbedError;
use crate::scenario::{Scenario, ScenarioError, parse};

/// Names and TOML texts of the built-in scenarios.
const SCENARIOS: [(&str, &str); 17] = [
    ("join", include_str!("../scenarios/join.toml")),
    (
        "kill-quarter",
        include_str!("../scenarios/kill-quarter.toml"),
    ),
    ("stall", include_str!("../scenarios/stall.toml")),
    ("split", include_str!("../scenarios/split.toml")),
    ("one-way", include_str!("../scenarios/one-way.toml")),
    ("lossy", include_str!("../scenarios/lossy.toml")),
    ("rolling", include_str!("../scenarios/rolling.toml")),
    ("leave", include_str!("../scenarios/leave.toml")),
    ("strangers", include_str!("../scenarios/strangers.toml")),
    ("lossy-long", include_str!("../scenarios/lossy-long.toml")),
    ("overload", include_str!("../scenarios/overload.toml")),
    ("cold-return", include_str!("../scenarios/cold-return.toml")),
    ("slow-origin", include_str!("../scenarios/slow-origin.toml")),
    ("uneven", include_str!("../scenarios/uneven.toml")),
    (
        "overload-restarts",
        include_str!("../scenarios/overload-restarts.toml"),
    ),
    ("insist", include_str!("../scenarios/insist.toml")),
    ("bursts", include_str!("../scenarios/bursts.toml")),
];

/// Returns the names of the built-in scenarios.
pub fn names() -> impl Iterator<Item = &'static str> {
    SCENARIOS.iter().map(|(name, _)| *name)
}

/// Returns the built-in scenario of this name; if there is none, reads the file at this path.
///
/// # Errors
///
/// Fails if there is neither, or if the scenario is not valid.
pub fn find(name: &str) -> Result<Scenario, TestbedError> {
    if let Some((_, text)) = SCENARIOS.iter().find(|(n, _)| *n == name) {
        return parse(text).map_err(|e| invalid(name, e));
    }
    let text = std::fs::read_to_string(name).map_err(|source| {
        let names: Vec<&str> = names().collect();
        TestbedError::ScenarioNotFound {
            name: name.into(),
            source,
            known: names.join(", "),
        }
    })?;
    parse(&text).map_err(|e| invalid(name, e))
}

fn invalid(name: &str, source: ScenarioError) -> TestbedError {
    TestbedError::InvalidScenario {
        name: name.into(),
        source,
    }
}

#[cfg(test)]
mod tests;
