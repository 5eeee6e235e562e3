//! Computes the tables of docs/CAPACITY.md from the plan and the measured slopes: the cost of each
//! role at today's size, at the planned size, and at the planned size in the worst hour.

mod rows;

use crate::error::TestbedError;
use crate::slopes::{Slopes, UnknownSlope};
use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Number of balancers.
    pub balancers: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of caches.
    pub caches: f64,
    /// Requests per second of all clients together.
    pub requests_per_s: f64,
    /// Number of balancers in the largest region.
    pub largest_region_balancers: f64,
}

/// Load of the fleet other than client requests.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlDemand {
    /// Purges per second.
    pub purges_per_s: f64,
    /// Maximum time until all caches have applied a purge, in seconds.
    pub purge_within_s: f64,
    /// Number of caches in each region that hold a copy of an object.
    pub replicas_a_region: f64,
    /// Configuration changes per day.
    pub config_changes_per_day: f64,
    /// Maximum time until a configuration change applies at all balancers, in seconds.
    pub config_within_s: f64,
    /// Machine failures on an ordinary day.
    pub machines_that_fail_per_day: f64,
    /// Machine restarts and replacements on an ordinary day.
    pub restarts_per_day: f64,
    /// Time that a region is cut off from the others, in minutes.
    pub region_cut_minutes: f64,
}

/// Limits that the costs must not exceed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceBudget {
    /// CPU time of the control plane per balancer, in percent of a core.
    pub control_core_percent: f64,
    /// Memory of the control plane per balancer, in MB.
    pub control_memory_mb: f64,
    /// Control-plane bytes that a balancer sends per second.
    pub control_bytes_per_s: f64,
    /// Number of machines for discovery, configuration and purges.
    pub control_machines: f64,
    /// Time until a member's death is known in its region, in seconds.
    pub death_in_region_s: f64,
    /// Time until a change of a region's summary is known in all regions, in seconds.
    pub summary_everywhere_s: f64,
    /// Time until all views are correct after a cut region is reconnected, in seconds.
    pub healed_s: f64,
}

/// Values that are assumed rather than measured.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// Response time of a cache, in milliseconds.
    pub answer_ms: f64,
    /// Size of the message of one purge, in bytes.
    pub purge_bytes: f64,
    /// Size of one configuration, in bytes.
    pub config_bytes: f64,
    /// Number of caches that are added or removed on an ordinary day.
    pub cache_changes_per_day: f64,
    /// Maximum bytes per second that a control machine sends.
    pub machine_egress_bytes_per_s: f64,
    /// Maximum calls per second that a control machine answers.
    pub machine_calls_per_s: f64,
    /// Maximum TCP handshakes per second that a cache can accept in addition to its requests.
    pub cache_handshakes_per_s: f64,
    /// Maximum number of open connections of a cache.
    pub cache_connections: f64,
}

/// Contents of the plan file.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityPlan {
    /// Size of today's fleet.
    pub today: FleetSize,
    /// Size of the fleet to design for.
    pub plan: FleetSize,
    /// Load of the planned fleet other than client requests.
    pub demand: ControlDemand,
    /// Limits that the costs must not exceed.
    pub budget: ResourceBudget,
    /// Values that are assumed rather than measured.
    pub assumed: Assumptions,
}

impl CapacityPlan {
    /// Reads a plan file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, a key is missing or unknown, or a size is less
    /// than 1.
    pub fn read(path: &Path) -> Result<Self, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(|e| TestbedError::file(path, e))?;
        let plan: CapacityPlan = toml::from_str(&text).map_err(|source| TestbedError::Toml {
            path: path.into(),
            source,
        })?;
        for (name, size) in [("today", plan.today), ("plan", plan.plan)] {
            let values = [
                ("balancers", size.balancers),
                ("regions", size.regions),
                ("caches", size.caches),
                ("requests_per_s", size.requests_per_s),
                ("largest_region_balancers", size.largest_region_balancers),
            ];
            for (key, value) in values {
                if !(value >= 1.0 && value.is_finite()) {
                    let invalid = CapacityError::InvalidSize { name, key, value };
                    return Err(invalid.in_file(path));
                }
            }
        }
        Ok(plan)
    }
}

/// Reason why tables could not be computed, checked or written.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CapacityError {
    /// A size in the plan is less than 1 or not finite.
    #[error("{name}.{key}: {value} is not 1 or more")]
    InvalidSize {
        /// Name of the size: `today` or `plan`.
        name: &'static str,
        /// Key of the value.
        key: &'static str,
        /// Value in the plan.
        value: f64,
    },
    /// A row needs a slope that the file of slopes does not contain.
    #[error(transparent)]
    UnknownSlope(#[from] UnknownSlope),
    /// The page does not contain the line that begins a table.
    #[error("no line \"{line}\", which must begin a table")]
    MissingLine {
        /// Text of the missing line.
        line: String,
    },
    /// The page does not contain the line that ends a table.
    #[error("the table \"{name}\" is not followed by the line \"{END_LINE}\"")]
    NoTableEnd {
        /// Name of the table.
        name: String,
    },
    /// A line of the page differs from the computed table.
    #[error("line {number}: found \"{found}\", expected \"{expected}\"")]
    LineDiffers {
        /// Line number in the page, from 1.
        number: usize,
        /// Line of the page.
        found: String,
        /// Line of the computed table.
        expected: String,
    },
}

impl CapacityError {
    /// Adds the file in which the error was found.
    #[must_use]
    pub fn in_file(self, path: &Path) -> TestbedError {
        TestbedError::CapacityPage {
            path: path.into(),
            source: self,
        }
    }
}

/// Implementation state of the mechanism that a row depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MechanismState {
    /// Implemented.
    Built,
    /// Partly implemented.
    Part,
    /// Not implemented.
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

/// One row of a table.
#[derive(Clone, Debug)]
pub struct CapacityRow {
    /// Role that bears the cost, for example `caches`; each role has one table.
    pub role: &'static str,
    /// Name of the quantity, with its unit.
    pub quantity: String,
    /// Value at today's size, if known.
    pub today: Option<f64>,
    /// Value at the planned size.
    pub plan: f64,
    /// Value at the planned size in the worst hour.
    pub worst: f64,
    /// Limit from the plan's budget or its assumptions, if there is one.
    pub budget: Option<f64>,
    /// Slopes or assumptions from which the values are computed.
    pub source: String,
    /// Mechanism that handles the load.
    pub mechanism: &'static str,
    /// Implementation state of the mechanism.
    pub state: MechanismState,
}

impl CapacityRow {
    /// Returns the ratio of the value in the worst hour to the limit.
    #[must_use]
    pub fn budget_ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.worst / budget)
    }
}

/// Formats a value for a table cell, with a unit prefix (k, M, G) from 10,000.
fn format_value(value: f64) -> String {
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
    let format_optional = |value: Option<f64>| value.map_or_else(|| "-".into(), format_value);
    for row in rows {
        lines.push(format!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} |",
            row.quantity,
            format_optional(row.today),
            format_value(row.plan),
            format_value(row.worst),
            format_optional(row.budget),
            row.budget_ratio()
                .map_or_else(|| "-".into(), |ratio| format!("{ratio:.2}")),
            row.source,
            row.mechanism,
            row.state.name()
        ));
    }
    lines
}

/// Returns the table of mechanisms that are not or only partly implemented, highest budget ratio
/// first.
fn missing_mechanisms(rows: &[CapacityRow]) -> Vec<String> {
    let mut not_built: Vec<&CapacityRow> = rows
        .iter()
        .filter(|row| row.state != MechanismState::Built)
        .collect();
    not_built.sort_by(|a, b| {
        let ratio = |row: &CapacityRow| row.budget_ratio().unwrap_or(0.0);
        ratio(b).total_cmp(&ratio(a))
    });
    let line = |row: &&CapacityRow| {
        let ratio = row
            .budget_ratio()
            .map_or_else(|| "-".into(), |ratio| format!("{ratio:.2}"));
        format!(
            "| {} | {} | {} | {ratio} | {} |",
            row.role,
            row.quantity,
            row.mechanism,
            row.state.name()
        )
    };
    let mut lines = vec![
        "| role | figure | mechanism | need over allowed | |".to_string(),
        "| --- | --- | --- | --- | --- |".into(),
    ];
    lines.extend(not_built.iter().map(line));
    lines
}

/// Returns the table of the slopes, with the range of their measured sizes.
fn slope_table(slopes: &Slopes) -> Vec<String> {
    let mut lines = vec![
        "| slope | unit | by | measured from, to | at 0 | for each | residual | how |".to_string(),
        "| --- | --- | --- | --- | --- | --- | --- | --- |".into(),
    ];
    for slope in slopes
        .slopes
        .iter()
        .filter(|slope| !slope.points.is_empty())
    {
        let (min, max) = slope.size_range();
        lines.push(format!(
            "| `{}` | {} | {} | {min}, {max} | {:.4} | {:.6} | {:.2} | {} |",
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

/// Returns all tables of the page, each as its name and its lines.
///
/// # Errors
///
/// Returns an error if a slope that a row needs is missing.
pub fn tables(
    plan: &CapacityPlan,
    slopes: &Slopes,
) -> Result<Vec<(String, Vec<String>)>, CapacityError> {
    let rows = rows::all(plan, slopes)?;
    let mut tables = Vec::new();
    for role in rows::ROLES {
        let role_rows: Vec<CapacityRow> = rows
            .iter()
            .filter(|row| row.role == role)
            .cloned()
            .collect();
        tables.push((role.to_string(), table(&role_rows)));
    }
    tables.push(("missing".into(), missing_mechanisms(&rows)));
    tables.push(("slopes".into(), slope_table(slopes)));
    Ok(tables)
}

fn begin_line(name: &str) -> String {
    format!("<!-- table: {name} -->")
}

const END_LINE: &str = "<!-- end of table -->";

/// Checks that a page contains the tables.
///
/// # Errors
///
/// Returns the first line of the page that differs, or a table that the page does not contain.
pub fn check(page: &str, tables: &[(String, Vec<String>)]) -> Result<(), CapacityError> {
    let lines: Vec<&str> = page.lines().collect();
    for (name, expected) in tables {
        let begin = begin_line(name);
        let at = lines.iter().position(|line| *line == begin);
        let at = at.ok_or(CapacityError::MissingLine { line: begin })? + 1;
        for (n, expected) in expected
            .iter()
            .map(String::as_str)
            .chain([END_LINE])
            .enumerate()
        {
            let found = lines.get(at + n).copied().unwrap_or_default();
            if found != expected {
                return Err(CapacityError::LineDiffers {
                    number: at + n + 1,
                    found: found.into(),
                    expected: expected.into(),
                });
            }
        }
    }
    Ok(())
}

/// Returns the page with its tables replaced by these. Text outside the tables is unchanged.
///
/// # Errors
///
/// Returns an error if the page lacks the line that begins or ends a table.
pub fn rewrite(page: &str, tables: &[(String, Vec<String>)]) -> Result<String, CapacityError> {
    let mut page = page.to_string();
    for (name, lines) in tables {
        let begin = begin_line(name) + "\n";
        let from = page
            .find(&begin)
            .ok_or_else(|| CapacityError::MissingLine {
                line: begin_line(name),
            })?
            + begin.len();
        let to = page[from..]
            .find(END_LINE)
            .ok_or_else(|| CapacityError::NoTableEnd { name: name.clone() })?
            + from;
        page.replace_range(from..to, &(lines.join("\n") + "\n"));
    }
    Ok(page)
}
