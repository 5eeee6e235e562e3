//! The scenarios that come with the trials.

use crate::timeline::{Scenario, read};

const ALL: [(&str, &str); 17] = [
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

/// Their names.
pub fn names() -> impl Iterator<Item = &'static str> {
    ALL.iter().map(|(name, _)| *name)
}

/// One by its name, or else from a file.
pub fn find(name: &str) -> Result<Scenario, String> {
    if let Some((_, text)) = ALL.iter().find(|(n, _)| *n == name) {
        return read(text).map_err(|e| format!("{name}: {e}"));
    }
    let text = std::fs::read_to_string(name).map_err(|e| {
        let names: Vec<&str> = names().collect();
        format!(
            "{name}: {e}; a file or one of {} is expected",
            names.join(", ")
        )
    })?;
    read(&text).map_err(|e| format!("{name}: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_scenario_is_sound_and_bears_its_name() {
        for name in names() {
            assert_eq!(find(name).unwrap().name, name);
        }
        assert!(
            find("/nowhere")
                .unwrap_err()
                .contains("one of join, kill-quarter")
        );
    }
}
