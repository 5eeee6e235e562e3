//! The tables of docs/CAPACITY.md: what each role costs at today's size, at the plan's and in the
//! plan's worst hour, worked out from the plan and the measured slopes.

mod rows;

use crate::error::TestbedError;
use crate::slopes::{Slopes, UnknownSlope};
use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// A size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Balancers.
    pub balancers: f64,
    /// Regions.
    pub regions: f64,
    /// Caches.
    pub caches: f64,
    /// Requests of all clients.
    pub requests_per_s: f64,
    /// Balancers of the largest region.
    pub largest_region_balancers: f64,
}

/// What the fleet has to carry beside requests.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlDemand {
    /// Purges.
    pub purges_per_s: f64,
    /// Within which each is done everywhere.
    pub purge_within_s: f64,
    /// Caches of a region that hold an object.
    pub replicas_a_region: f64,
    /// Changes of configuration.
    pub config_changes_per_day: f64,
    /// Within which each is in force everywhere.
    pub config_within_s: f64,
    /// Machines that fail on an ordinary day.
    pub machines_that_fail_per_day: f64,
    /// Machines that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// How long a region is cut off.
    pub region_cut_minutes: f64,
}

/// What is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceBudget {
    /// Processor time of control a balancer, in percent of a core.
    pub control_core_percent: f64,
    /// Memory of control a balancer.
    pub control_memory_mb: f64,
    /// Bytes of control that a balancer sends a second.
    pub control_bytes_per_s: f64,
    /// Machines for control.
    pub control_machines: f64,
    /// Until a death is known in its region.
    pub death_in_region_s: f64,
    /// Until a change of a region's summary is known everywhere.
    pub summary_everywhere_s: f64,
    /// Until a healed cut has settled.
    pub healed_s: f64,
}

/// What is assumed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// How long a cache takes to answer.
    pub answer_ms: f64,
    /// The message of one purge.
    pub purge_bytes: f64,
    /// One configuration.
    pub config_bytes: f64,
    /// Caches that come or go on an ordinary day.
    pub cache_changes_per_day: f64,
    /// What a machine for control sends at most.
    pub machine_egress_bytes_per_s: f64,
    /// Calls that it answers at most.
    pub machine_calls_per_s: f64,
    /// Handshakes that a cache bears beside its work.
    pub cache_handshakes_per_s: f64,
    /// Connections that a cache bears.
    pub cache_connections: f64,
}

/// The plan, as it stands in its file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityPlan {
    /// Today's fleet.
    pub today: FleetSize,
    /// The fleet to design for.
    pub plan: FleetSize,
    /// What it has to carry.
    pub demand: ControlDemand,
    /// What is allowed.
    pub budget: ResourceBudget,
    /// What is assumed.
    pub assumed: Assumptions,
}

impl CapacityPlan {
    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// Names the file, and the key that is missing, unknown or makes no sense.
    pub fn read(path: &Path) -> Result<Self, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(|e| TestbedError::file(path, e))?;
        let plan: CapacityPlan = toml::from_str(&text).map_err(|source| TestbedError::Toml {
            path: path.into(),
            source,
        })?;
        for (name, size) in [("today", plan.today), ("plan", plan.plan)] {
            let figures = [
                ("balancers", size.balancers),
                ("regions", size.regions),
                ("caches", size.caches),
                ("requests_per_s", size.requests_per_s),
                ("largest_region_balancers", size.largest_region_balancers),
            ];
            for (key, value) in figures {
                if !(value >= 1.0 && value.is_finite()) {
                    let invalid = CapacityError::InvalidSize { name, key, value };
                    return Err(invalid.in_file(path));
                }
            }
        }
        Ok(plan)
    }
}

/// Why tables could not be computed, checked or written.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CapacityError {
    /// A size of the plan is out of range.
    #[error("{name}.{key}: {value} is not 1 or more")]
    InvalidSize {
        /// Which size.
        name: &'static str,
        /// Which figure of it.
        key: &'static str,
        /// The figure.
        value: f64,
    },
    /// A row needs a slope that was not measured.
    #[error(transparent)]
    UnknownSlope(#[from] UnknownSlope),
    /// The page lacks the line that begins a table.
    #[error("no line \"{line}\"")]
    MissingLine {
        /// The line.
        line: String,
    },
    /// The page lacks the line that ends a table.
    #[error("table \"{name}\" has no end")]
    NoTableEnd {
        /// The table.
        name: String,
    },
    /// A line of the page is not the table's.
    #[error("line {number}: \"{found}\" stands there, and \"{expected}\" is right")]
    LineDiffers {
        /// Its number in the page, from 1.
        number: usize,
        /// The page's line.
        found: String,
        /// The table's line.
        expected: String,
    },
}

impl CapacityError {
    /// The error with the file it was found in.
    #[must_use]
    pub fn in_file(self, path: &Path) -> TestbedError {
        TestbedError::CapacityPage {
            path: path.into(),
            source: self,
        }
    }
}

/// Whether there is a mechanism that carries a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MechanismState {
    /// There is.
    Built,
    /// It carries a part.
    Part,
    /// There is none.
    Missing,
}

impl MechanismState {
    fn name(self) -> &'static str {
        match self {
            MechanismState::Built => "built",
            MechanismState::Part => "part",
            MechanismState::Missing => "missing",
        }
    }
}

/// One figure of the page.
#[derive(Clone, Debug)]
pub struct CapacityRow {
    /// Who pays it.
    pub role: &'static str,
    /// What it is, with its unit.
    pub what: String,
    /// At today's size.
    pub today: Option<f64>,
    /// At the plan's.
    pub plan: f64,
    /// At the plan's in its worst hour.
    pub worst: f64,
    /// What is allowed, if the plan or an assumption says.
    pub budget: Option<f64>,
    /// The slope, or the assumption, that it comes from.
    pub source: String,
    /// What carries it.
    pub mechanism: &'static str,
    /// Whether that is there.
    pub state: MechanismState,
}

impl CapacityRow {
    /// The need in the worst hour over what is allowed.
    #[must_use]
    pub fn over(&self) -> Option<f64> {
        self.budget.map(|budget| self.worst / budget)
    }
}

/// A figure as the page shows it: three figures, or whole thousands.
fn figure(value: f64) -> String {
    match value {
        0.0 => "0".into(),
        v if v >= 1e9 => format!("{:.2} G", v / 1e9),
        v if v >= 1e6 => format!("{:.2} M", v / 1e6),
        v if v >= 1e4 => format!("{:.1} k", v / 1e3),
        v if v >= 100.0 => format!("{v:.0}"),
        v if v >= 1.0 => format!("{v:.1}"),
        v => format!("{v:.3}"),
    }
}

fn table(rows: &[CapacityRow]) -> Vec<String> {
    let mut lines = vec![
        "| figure | today | plan | plan, worst hour | allowed | need over allowed | from | carried by | |"
            .to_string(),
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |".into(),
    ];
    let shown = |value: Option<f64>| value.map_or_else(|| "-".into(), figure);
    for row in rows {
        lines.push(format!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            row.what,
            shown(row.today),
            figure(row.plan),
            figure(row.worst),
            shown(row.budget),
            row.over()
                .map_or_else(|| "-".into(), |over| format!("{over:.2}")),
            row.source,
            row.mechanism,
            row.state.name()
        ));
    }
    lines
}

/// What is missing or only in part there, the greatest need over what is allowed first.
fn missing(rows: &[CapacityRow]) -> Vec<String> {
    let mut open: Vec<&CapacityRow> = rows
        .iter()
        .filter(|row| row.state != MechanismState::Built)
        .collect();
    open.sort_by(|a, b| {
        let worst = |row: &CapacityRow| row.over().unwrap_or(0.0);
        worst(b).total_cmp(&worst(a))
    });
    let line = |row: &&CapacityRow| {
        let over = row
            .over()
            .map_or_else(|| "-".into(), |over| format!("{over:.2}"));
        format!(
            "| {} | {} | {} | {over} | {} |",
            row.role,
            row.what,
            row.mechanism,
            row.state.name()
        )
    };
    let mut lines = vec![
        "| role | figure | mechanism | need over allowed | |".to_string(),
        "| --- | --- | --- | --- | --- |".into(),
    ];
    lines.extend(open.iter().map(line));
    lines
}

/// The slopes with the sizes that were measured.
fn measured(slopes: &Slopes) -> Vec<String> {
    let mut lines = vec![
        "| slope | unit | by | measured from, to | at 0 | for each | residual | how |".to_string(),
        "| --- | --- | --- | --- | --- | --- | --- | --- |".into(),
    ];
    for slope in slopes
        .slopes
        .iter()
        .filter(|slope| !slope.points.is_empty())
    {
        let (least, most) = slope.range();
        lines.push(format!(
            "| `{}` | {} | {} | {least}, {most} | {:.4} | {:.6} | {:.2} | {} |",
            slope.name,
            slope.unit,
            slope.by,
            slope.fit.at_zero,
            slope.fit.per_unit,
            slope.fit.residual,
            slope.how
        ));
    }
    lines
}

/// All tables of the page, by name, each as its lines.
///
/// # Errors
///
/// Names a slope that is missing.
pub fn tables(
    plan: &CapacityPlan,
    slopes: &Slopes,
) -> Result<Vec<(String, Vec<String>)>, CapacityError> {
    let rows = rows::all(plan, slopes)?;
    let mut tables = Vec::new();
    for role in rows::ROLES {
        let of_role: Vec<CapacityRow> = rows
            .iter()
            .filter(|row| row.role == role)
            .cloned()
            .collect();
        tables.push((role.to_string(), table(&of_role)));
    }
    tables.push(("missing".into(), missing(&rows)));
    tables.push(("slopes".into(), measured(slopes)));
    Ok(tables)
}

fn begins(name: &str) -> String {
    format!("<!-- table: {name} -->")
}

const ENDS: &str = "<!-- end of table -->";

/// Holds a page against the tables.
///
/// # Errors
///
/// Names the first line of the page that differs, or a table that it lacks.
pub fn check(page: &str, tables: &[(String, Vec<String>)]) -> Result<(), CapacityError> {
    let lines: Vec<&str> = page.lines().collect();
    for (name, expected) in tables {
        let begin = begins(name);
        let at = lines.iter().position(|line| *line == begin);
        let at = at.ok_or(CapacityError::MissingLine { line: begin })? + 1;
        for (n, expected) in expected
            .iter()
            .map(String::as_str)
            .chain([ENDS])
            .enumerate()
        {
            let is = lines.get(at + n).copied().unwrap_or_default();
            if is != expected {
                return Err(CapacityError::LineDiffers {
                    number: at + n + 1,
                    found: is.into(),
                    expected: expected.into(),
                });
            }
        }
    }
    Ok(())
}

/// The page with its tables replaced by these; what stands outside them stays.
///
/// # Errors
///
/// Names a table that has no place in the page, or no end.
pub fn rewrite(page: &str, tables: &[(String, Vec<String>)]) -> Result<String, CapacityError> {
    let mut page = page.to_string();
    for (name, lines) in tables {
        let begin = begins(name) + "\n";
        let from = page
            .find(&begin)
            .ok_or_else(|| CapacityError::MissingLine { line: begins(name) })?
            + begin.len();
        let to = page[from..]
            .find(ENDS)
            .ok_or_else(|| CapacityError::NoTableEnd { name: name.clone() })?
            + from;
        page.replace_range(from..to, &(lines.join("\n") + "\n"));
    }
    Ok(page)
}
