//! How costs grow: each quantity that docs/CAPACITY.md uses, measured at several sizes and fitted
//! by a line.

use crate::decisions;
use crate::error::TestbedError;
use crate::hollow;
use crate::simulated_services::discovery::{EndpointList, ListedHost};
use crate::simulation::regions::{self, RegionEvents, RegionMeasurement};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicBool;

/// One value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in the unit that the slope names.
    pub size: f64,
    /// By which seed.
    pub seed: u64,
    /// What was measured.
    pub value: f64,
}

/// A line through the points.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LinearFit {
    /// The value at size 0.
    pub at_zero: f64,
    /// What it grows by for each step of size 1.
    #[serde(rename = "each")]
    pub per_unit: f64,
    /// The root of the mean square of what the points lie beside the line, over their mean.
    pub residual: f64,
}

/// One quantity and how it grows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its name.
    pub name: String,
    /// The unit of its values.
    pub unit: String,
    /// What its sizes count.
    pub by: String,
    /// How it was measured.
    pub how: String,
    /// What was measured.
    pub points: Vec<Point>,
    /// The line.
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

    /// The value at a size: the greatest measured there, or that of the line where it was not
    /// measured. Beyond the sizes that were measured it is not under the greatest value of any: a
    /// line that falls is no promise.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        let greatest = |of: &dyn Fn(&&Point) -> bool| {
            self.points
                .iter()
                .filter(of)
                .map(|point| point.value)
                .fold(f64::NEG_INFINITY, f64::max)
        };
        let there = greatest(&|point| point.size == size);
        if there.is_finite() {
            return there;
        }
        let line = (self.fit.at_zero + self.fit.per_unit * size).max(0.0);
        if size > self.range().1 {
            line.max(greatest(&|_| true))
        } else {
            line
        }
    }

    /// The least and the greatest size that was measured.
    #[must_use]
    pub fn range(&self) -> (f64, f64) {
        let sizes = self.points.iter().map(|point| point.size);
        sizes.fold((f64::INFINITY, 0.0), |(least, most), size| {
            (least.min(size), most.max(size))
        })
    }
}

/// The line of least squares.
#[must_use]
pub fn fit_line(points: &[Point]) -> LinearFit {
    let count = points.len().max(1) as f64;
    let mean = |of: &dyn Fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (size, value) = (mean(&|point| point.size), mean(&|point| point.value));
    let spread = mean(&|point| (point.size - size).powi(2));
    let per_unit = match spread {
        0.0 => 0.0,
        spread => mean(&|point| (point.size - size) * (point.value - value)) / spread,
    };
    let at_zero = value - per_unit * size;
    let beside = mean(&|point| (point.value - at_zero - per_unit * point.size).powi(2)).sqrt();
    LinearFit {
        at_zero,
        per_unit,
        residual: if value == 0.0 {
            0.0
        } else {
            beside / value.abs()
        },
    }
}

/// All slopes, as they stand in a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// In the order in which they were measured.
    pub slopes: Vec<Slope>,
}

/// A slope that is not there.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slope is called \"{name}\"")]
pub struct UnknownSlope {
    /// Its name.
    pub name: String,
}

impl Slopes {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Names the file, and what is wrong in it.
    pub fn read(path: &Path) -> Result<Self, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(|e| TestbedError::file(path, e))?;
        serde_json::from_str(&text).map_err(|e| TestbedError::json(path, e))
    }

    /// The slope of this name.
    ///
    /// # Errors
    ///
    /// Names it if there is none.
    pub fn find(&self, name: &str) -> Result<&Slope, UnknownSlope> {
        let found = self.slopes.iter().find(|slope| slope.name == name);
        found.ok_or_else(|| UnknownSlope { name: name.into() })
    }
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct SlopeSizes {
    /// Numbers of caches for the decision module.
    pub caches: Vec<usize>,
    /// Members of one region, in virtual time.
    pub one_region: Vec<usize>,
    /// Members of a fleet in regions, in virtual time.
    pub in_regions: Vec<usize>,
    /// Members of a fleet in regions, hollow, over real sockets.
    pub hollow: Vec<usize>,
    /// Regions of a fleet in regions.
    pub regions: usize,
}

/// Measures all.
///
/// # Errors
///
/// Says which measurement failed, and why.
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
    let one: Vec<RegionMeasurement> = sizes
        .one_region
        .iter()
        .map(|members| regions::measure(plan(*members, 1, 0.0)))
        .collect();
    slopes.extend(view_slopes("one_region", "members of one region", &one));
    let mut many: Vec<RegionMeasurement> = Vec::new();
    for members in &sizes.in_regions {
        many.push(regions::measure(plan(*members, sizes.regions, 0.0)));
        many.push(regions::measure(plan(*members, sizes.regions, 0.1)));
    }
    slopes.extend(row_slopes(&many));
    slopes.extend(hollow_slopes(sizes, interrupted)?);
    Ok(Slopes { slopes })
}

/// Adds rows of simulated fleets in regions, which run apart since they take long, to slopes that
/// were measured before.
#[must_use]
pub fn extend(mut slopes: Slopes, rows: &[RegionMeasurement]) -> Slopes {
    // Each ran in a process of its own, in which no memory was freed before.
    let alone: Vec<RegionMeasurement> =
        rows.iter().filter(|row| row.loss == 0.0).cloned().collect();
    let memory = points(
        &alone,
        |row| row.members as f64,
        |row| row.memory_kb.unwrap_or(0.0),
    );
    let how = "virtual time, the network's queue included (`regions`)";
    let memory = Slope::new("regions_memory", "KB", "members in 26 regions", how, memory);
    for more in row_slopes(rows).into_iter().chain([memory]) {
        match slopes
            .slopes
            .iter_mut()
            .find(|slope| slope.name == more.name)
        {
            Some(slope) => {
                slope.points.extend(more.points);
                slope.fit = fit_line(&slope.points);
            }
            None => slopes.slopes.push(more),
        }
    }
    slopes
}

/// The slopes of fleets in regions, in virtual time.
fn row_slopes(rows: &[RegionMeasurement]) -> Vec<Slope> {
    let calm: Vec<RegionMeasurement> = rows.iter().filter(|row| row.loss == 0.0).cloned().collect();
    let lossy: Vec<RegionMeasurement> = rows.iter().filter(|row| row.loss > 0.0).cloned().collect();
    let mut slopes = view_slopes("regions", "members in 26 regions", &calm);
    slopes.extend(view_slopes(
        "regions_lossy",
        "members in 26 regions, a tenth lost",
        &lossy,
    ));
    slopes.extend(event_slopes(&calm));
    slopes
}

fn points<T>(of: &[T], size: impl Fn(&T) -> f64, value: impl Fn(&T) -> f64) -> Vec<Point> {
    of.iter()
        .map(|one| Point {
            size: size(one),
            seed: 1,
            value: value(one),
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

/// The bytes of a whole list.
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

/// What events cost in a fleet in regions.
fn event_slopes(rows: &[RegionMeasurement]) -> Vec<Slope> {
    let by = "members in 26 regions";
    let slope =
        |name: &str, unit: &str, what: &str, value: fn(&regions::RegionEvent) -> Option<f64>| {
            let of = |row: &RegionMeasurement| {
                let event = row.events.iter().find(|event| event.what == what)?;
                Some(Point {
                    size: row.members as f64,
                    seed: row.seed,
                    value: value(event)?,
                })
            };
            let points = rows.iter().filter_map(of).collect();
            Slope::new(
                name,
                unit,
                by,
                &format!("virtual time: {what} (`regions`)"),
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
