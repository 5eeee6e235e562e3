//! Measures how costs grow with the size of a fleet. Each quantity that docs/CAPACITY.md uses is
//! measured at several sizes, and a line is fitted through the values.

use crate::decisions;
use crate::error::TestbedError;
use crate::hollow;
use crate::simulated_services::discovery::{EndpointList, ListedHost};
use crate::simulation::regions::{self, RegionEvents, RegionMeasurement};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;

/// One measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size, in the unit of [`Slope::by`].
    pub size: f64,
    /// Random seed of the measurement.
    pub seed: u64,
    /// Measured value, in the unit of the slope.
    pub value: f64,
}

/// Least-squares line through the points of a slope.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LinearFit {
    /// Value of the line at size 0.
    pub at_zero: f64,
    /// Growth of the value per unit of size.
    #[serde(rename = "each")]
    pub per_unit: f64,
    /// Root mean square deviation of the points from the line, divided by the mean value.
    pub residual: f64,
}

/// One quantity, measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Name of the quantity, unique in a file.
    pub name: String,
    /// Unit of the values, for example `bytes/s`.
    pub unit: String,
    /// Unit of the sizes, for example `caches`.
    pub by: String,
    /// Method of the measurement.
    pub how: String,
    /// Measured values.
    pub points: Vec<Point>,
    /// Line through the points.
    pub fit: LinearFit,
}

impl Slope {
    fn new(name: &str, unit: &str, by: &str, how: &str, points: Vec<Point>) -> Self {
        let fit = fit_line(&points);
        Slope {
            name: name.into(),
            unit: unit.into(),
            by: by.into(),
            how: how.into(),
            points,
            fit,
        }
    }

    /// Returns the value at a size: the largest measured value if the size was measured, otherwise
    /// the value of the line, at least 0. Above the largest measured size the result is at least
    /// the largest measured value of any size, because a falling line must not be extrapolated.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        let max_value = |is_selected: &dyn Fn(&&Point) -> bool| {
            self.points
                .iter()
                .filter(is_selected)
                .map(|point| point.value)
                .fold(f64::NEG_INFINITY, f64::max)
        };
        let measured = max_value(&|point| point.size == size);
        if measured.is_finite() {
            return measured;
        }
        let line = (self.fit.at_zero + self.fit.per_unit * size).max(0.0);
        if size > self.size_range().1 {
            line.max(max_value(&|_| true))
        } else {
            line
        }
    }

    /// Returns the smallest and the largest measured size.
    #[must_use]
    pub fn size_range(&self) -> (f64, f64) {
        let sizes = self.points.iter().map(|point| point.size);
        sizes.fold((f64::INFINITY, 0.0), |(min, max), size| {
            (min.min(size), max.max(size))
        })
    }
}

/// Returns the least-squares line through the points.
#[must_use]
pub fn fit_line(points: &[Point]) -> LinearFit {
    let count = points.len().max(1) as f64;
    let mean = |value: &dyn Fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (size, value) = (mean(&|point| point.size), mean(&|point| point.value));
    let variance = mean(&|point| (point.size - size).powi(2));
    let per_unit = match variance {
        0.0 => 0.0,
        variance => mean(&|point| (point.size - size) * (point.value - value)) / variance,
    };
    let at_zero = value - per_unit * size;
    let deviation = mean(&|point| (point.value - at_zero - per_unit * point.size).powi(2)).sqrt();
    LinearFit {
        at_zero,
        per_unit,
        residual: if value == 0.0 {
            0.0
        } else {
            deviation / value.abs()
        },
    }
}

/// Contents of a file of slopes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// Slopes, in the order in which they were measured.
    pub slopes: Vec<Slope>,
}

/// A slope that is missing from a file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the file of slopes contains no slope \"{name}\"")]
pub struct UnknownSlope {
    /// Name of the missing slope.
    pub name: String,
}

impl Slopes {
    /// Reads a file of slopes.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or does not contain slopes.
    pub fn read(path: &Path) -> Result<Self, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(|e| TestbedError::file(path, e))?;
        serde_json::from_str(&text).map_err(|e| TestbedError::json(path, e))
    }

    /// Returns the slope of this name.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such slope.
    pub fn find(&self, name: &str) -> Result<&Slope, UnknownSlope> {
        let found = self.slopes.iter().find(|slope| slope.name == name);
        found.ok_or_else(|| UnknownSlope { name: name.into() })
    }
}

/// Sizes to measure.
#[derive(Clone, Debug)]
pub struct SlopeSizes {
    /// Numbers of caches for the decision engine.
    pub caches: Vec<usize>,
    /// Numbers of members of a fleet of one region, in virtual time.
    pub one_region: Vec<usize>,
    /// Numbers of members of a fleet with `regions` regions, in virtual time.
    pub in_regions: Vec<usize>,
    /// Numbers of hollow members of a fleet with `regions` regions, over real sockets.
    pub hollow: Vec<usize>,
    /// Number of regions.
    pub regions: usize,
}

/// Measures all slopes at these sizes.
///
/// # Errors
///
/// Returns the error of the first measurement that fails.
pub fn measure(sizes: &SlopeSizes, interrupted: &AtomicBool) -> Result<Slopes, TestbedError> {
    let mut slopes = decision_slopes(&sizes.caches)?;
    slopes.push(list_slope(&sizes.caches));
    let plan = |members, regions, loss| regions::RegionPlan {
        members,
        regions,
        seed: 1,
        loss,
        loss_between: 0.0,
        delay_between_ms: 40,
        calm_s: 20,
        events: if regions > 1 {
            RegionEvents::ALL
        } else {
            RegionEvents::default()
        },
    };
    let one_region: Vec<RegionMeasurement> = sizes
        .one_region
        .iter()
        .map(|members| regions::measure(plan(*members, 1, 0.0)))
        .collect();
    slopes.extend(view_slopes(
        "one_region",
        "members of one region",
        &one_region,
    ));
    let mut in_regions: Vec<RegionMeasurement> = Vec::new();
    for members in &sizes.in_regions {
        in_regions.push(regions::measure(plan(*members, sizes.regions, 0.0)));
        in_regions.push(regions::measure(plan(*members, sizes.regions, 0.1)));
    }
    slopes.extend(region_slopes(&in_regions));
    slopes.extend(hollow_slopes(sizes, interrupted)?);
    Ok(Slopes { slopes })
}

/// Adds measurements of simulated fleets with regions to existing slopes. Large fleets take long
/// and are measured in separate runs.
#[must_use]
pub fn extend(mut slopes: Slopes, rows: &[RegionMeasurement]) -> Slopes {
    // Each of these ran in a separate process, so its memory growth is not reduced by memory that
    // an earlier measurement freed.
    let without_loss: Vec<RegionMeasurement> =
        rows.iter().filter(|row| row.loss == 0.0).cloned().collect();
    let memory = points(
        &without_loss,
        |row| row.members as f64,
        |row| row.memory_kb.unwrap_or(0.0),
    );
    let how = "virtual time, the network's queue included (`regions`)";
    let memory = Slope::new("regions_memory", "KB", "members in 26 regions", how, memory);
    for added in region_slopes(rows).into_iter().chain([memory]) {
        match slopes
            .slopes
            .iter_mut()
            .find(|slope| slope.name == added.name)
        {
            Some(slope) => {
                slope.points.extend(added.points);
                slope.fit = fit_line(&slope.points);
            }
            None => slopes.slopes.push(added),
        }
    }
    slopes
}

/// Returns the slopes of fleets with regions, in virtual time.
fn region_slopes(rows: &[RegionMeasurement]) -> Vec<Slope> {
    let without_loss: Vec<RegionMeasurement> =
        rows.iter().filter(|row| row.loss == 0.0).cloned().collect();
    let with_loss: Vec<RegionMeasurement> =
        rows.iter().filter(|row| row.loss > 0.0).cloned().collect();
    let mut slopes = view_slopes("regions", "members in 26 regions", &without_loss);
    slopes.extend(view_slopes(
        "regions_lossy",
        "members in 26 regions, a tenth lost",
        &with_loss,
    ));
    slopes.extend(event_slopes(&without_loss));
    slopes
}

fn points<T>(rows: &[T], size: impl Fn(&T) -> f64, value: impl Fn(&T) -> f64) -> Vec<Point> {
    rows.iter()
        .map(|row| Point {
            size: size(row),
            seed: 1,
            value: value(row),
        })
        .collect()
}

fn decision_slopes(caches: &[usize]) -> Result<Vec<Slope>, TestbedError> {
    let costs = decisions::measure(caches, 30, 3)?;
    let slope = |name: &str, unit: &str, value: fn(&decisions::DecisionCost) -> f64| {
        let how = "the module driven by hand, least of three rounds (`decisions`)";
        Slope::new(
            name,
            unit,
            "caches",
            how,
            points(&costs, |cost| cost.caches as f64, value),
        )
    };
    Ok(vec![
        slope("decision_request", "us", |cost| cost.request_us),
        slope("decision_first_request", "us", |cost| cost.first_request_us),
        slope("decision_change", "ms", |cost| cost.change_ms),
        slope("decision_whole_list", "ms", |cost| cost.full_list_ms),
        slope("decision_housekeeping", "ms", |cost| cost.housekeeping_ms),
    ])
}

/// Returns the slope of the size of a full endpoint list, in bytes.
fn list_slope(caches: &[usize]) -> Slope {
    let bytes = |count: usize| {
        let list = EndpointList::default();
        for n in 0..count {
            list.insert(
                &format!("cache-{n:04}"),
                ListedHost {
                    health: "in_service",
                    born_ms: 1_700_000_000_000,
                },
            );
        }
        let address = SocketAddr::from(([10, 250, 250, 250], 7_100));
        list.encode_if_newer(0, &|_: &str| Some(address))
            .map_or(0, |(_, line)| line.len())
    };
    let points = points(caches, |count| *count as f64, |count| bytes(*count) as f64);
    Slope::new(
        "list_bytes",
        "bytes",
        "caches",
        "the stand-in's list, counted",
        points,
    )
}

fn view_slopes(prefix: &str, by: &str, rows: &[RegionMeasurement]) -> Vec<Slope> {
    let slope = |name: &str, unit: &str, value: fn(&RegionMeasurement) -> f64| {
        let how = "virtual time, calm (`regions`)";
        Slope::new(
            &format!("{prefix}_{name}"),
            unit,
            by,
            how,
            points(rows, |row| row.members as f64, value),
        )
    };
    vec![
        slope("datagrams", "datagrams/s", |row| row.datagrams_per_s),
        slope("bytes", "bytes/s", |row| row.bytes_per_s),
        slope("bytes_delegates", "bytes/s", |row| {
            row.bytes_per_s_delegates
        }),
        slope("cpu", "% of a core", |row| row.cpu_percent),
        slope("cpu_worst", "% of a core", |row| row.cpu_percent_worst),
        slope("entries", "entries", |row| row.entries as f64),
    ]
}

/// Returns the slopes of convergence time, traffic and CPU time after events in a fleet with
/// regions.
fn event_slopes(rows: &[RegionMeasurement]) -> Vec<Slope> {
    let by = "members in 26 regions";
    let slope =
        |name: &str, unit: &str, event: &str, value: fn(&regions::RegionEvent) -> Option<f64>| {
            let point = |row: &RegionMeasurement| {
                let measured = row.events.iter().find(|measured| measured.what == event)?;
                Some(Point {
                    size: row.members as f64,
                    seed: row.seed,
                    value: value(measured)?,
                })
            };
            let points = rows.iter().filter_map(point).collect();
            Slope::new(
                name,
                unit,
                by,
                &format!("virtual time: {event} (`regions`)"),
                points,
            )
        };
    vec![
        slope("death_region", "s", "one dies", |event| event.region_s),
        slope("death_settled", "s", "one dies", |event| event.settled_s),
        slope("leader_settled", "s", "the leader dies", |event| {
            event.settled_s
        }),
        slope("rack_settled", "s", "a rack dies", |event| event.settled_s),
        slope("zone_settled", "s", "a zone dies", |event| event.settled_s),
        slope("zone_bytes", "bytes/s", "a zone dies", |event| {
            Some(event.bytes_per_s_most)
        }),
        slope("zone_cpu_mean", "% of a core", "a zone dies", |event| {
            Some(event.cpu_percent)
        }),
        slope("returning_bytes", "bytes/s", "it is back", |event| {
            Some(event.bytes_per_s_most)
        }),
        slope("healed_settled", "s", "it is heard again", |event| {
            event.settled_s
        }),
    ]
}

fn hollow_slopes(sizes: &SlopeSizes, interrupted: &AtomicBool) -> Result<Vec<Slope>, TestbedError> {
    let mut rows = Vec::new();
    for members in &sizes.hollow {
        let plan = hollow::HollowPlan {
            members: *members,
            regions: sizes.regions.min(*members / 2),
            processes: 6,
            seed: 1,
            seconds: 20,
            event: hollow::HollowEvent::None,
        };
        rows.push(hollow::run(plan, interrupted)?);
    }
    let slope = |name: &str, unit: &str, value: fn(&hollow::HollowMeasurement) -> f64| {
        let how = "real sockets on loopback (`hollow`)";
        let points = points(&rows, |row| row.members as f64, value);
        Slope::new(name, unit, "members in 26 regions", how, points)
    };
    Ok(vec![
        slope("hollow_cpu", "% of a core", |row| row.cpu_percent),
        slope("hollow_memory", "KB", |row| row.memory_kb),
        slope("hollow_bytes", "bytes/s", |row| row.bytes_per_s),
    ])
}
