//! Draws charts and prints tables of measurements: the reports that `run --out` writes and the rows
//! that `detection-latency` prints.

use crate::error::TestbedError;
use plotters::prelude::*;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::path::Path;

/// Seconds until all views were correct, by the awaited condition and the number of processes.
pub type ConvergenceTimes = BTreeMap<(String, u64), Vec<f64>>;

/// Reads all JSON reports of a folder, in the order of their file names.
///
/// # Errors
///
/// Returns an error if the folder or a file cannot be read, or a file is not JSON.
pub fn reports(folder: &Path) -> Result<Vec<Value>, TestbedError> {
    let problem = |e| TestbedError::file(folder, e);
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .map_err(problem)?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|e| e == "json"))
        .collect();
    files.sort();
    files
        .iter()
        .map(|path| {
            let text = std::fs::read_to_string(path).map_err(|e| TestbedError::file(path, e))?;
            serde_json::from_str(&text).map_err(|e| TestbedError::json(path, e))
        })
        .collect()
}

/// Collects the convergence times of all reports, each list sorted.
#[must_use]
pub fn convergence_times(reports: &[Value]) -> ConvergenceTimes {
    let mut all = ConvergenceTimes::new();
    for report in reports {
        let scenario = report["scenario"].as_str().unwrap_or_default();
        let instances = report["instances"].as_u64().unwrap_or_default();
        for (condition, seconds) in report["settled"].as_object().into_iter().flatten() {
            let Some(seconds) = seconds.as_f64() else {
                continue;
            };
            let name = if condition == "join" {
                "join".into()
            } else {
                format!("{scenario}: {condition}")
            };
            all.entry((name, instances)).or_default().push(seconds);
        }
    }
    all.values_mut()
        .for_each(|times| times.sort_by(f64::total_cmp));
    all
}

/// Returns a Markdown table of the median and the longest convergence times.
#[must_use]
pub fn table(convergence: &ConvergenceTimes) -> String {
    let mut text = String::from(
        "| all views correct after | processes | runs | median s | longest s |\n| --- | --- | --- | --- | --- |\n",
    );
    for ((name, instances), times) in convergence {
        let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
        text.push_str(&format!(
            "| {name} | {instances} | {} | {median:.2} | {worst:.2} |\n",
            times.len()
        ));
    }
    text
}

const COLORS: [RGBColor; 5] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(90, 90, 90),
];

fn chart_error(file: &Path, problem: &dyn Display) -> TestbedError {
    TestbedError::Chart {
        path: file.into(),
        problem: problem.to_string(),
    }
}

/// Draws the legend of the series of a chart.
fn draw_legend<'a, 'b, C: CoordTranslate>(
    chart: &mut ChartContext<'a, SVGBackend<'b>, C>,
    position: SeriesLabelPosition,
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'b> as DrawingBackend>::ErrorType>>
where
    'b: 'a,
{
    chart
        .configure_series_labels()
        .position(position)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
}

/// Draws the convergence time of each run as a dot, in one row per awaited condition. The time axis
/// reaches at least to `objective` seconds.
///
/// # Errors
///
/// Returns an error if the chart cannot be drawn or written.
pub fn draw_convergence(
    convergence: &ConvergenceTimes,
    objective: f64,
    file: &Path,
) -> Result<(), TestbedError> {
    let problem = |e: &dyn Display| chart_error(file, e);
    let names: BTreeSet<&String> = convergence.keys().map(|(name, _)| name).collect();
    let names: Vec<&String> = names.into_iter().collect();
    let sizes: BTreeSet<u64> = convergence.keys().map(|(_, n)| *n).collect();
    let max_seconds = convergence
        .values()
        .flatten()
        .copied()
        .fold(objective, f64::max)
        * 1.05;
    let height = 90 + 34 * names.len() as u32;
    let root = SVGBackend::new(file, (860, height)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| problem(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Seconds until all views are correct; each dot is one run",
            ("sans-serif", 17),
        )
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(200)
        .build_cartesian_2d(0.0..max_seconds, 0.0..names.len() as f64)
        .map_err(|e| problem(&e))?;
    let label = |y: &f64| {
        let row = y.floor() as usize;
        if (y - y.floor() - 0.5).abs() < 0.01 {
            names
                .get(row)
                .map_or(String::new(), std::string::ToString::to_string)
        } else {
            String::new()
        }
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc("seconds")
        .y_labels(2 * names.len() + 1)
        .y_label_formatter(&label)
        .draw()
        .map_err(|e| problem(&e))?;
    for (i, size) in sizes.iter().enumerate() {
        let color = COLORS[i % COLORS.len()];
        let dots =
            convergence
                .iter()
                .filter(|((_, n), _)| n == size)
                .flat_map(|((name, _), times)| {
                    let row = names.iter().position(|n| *n == name).unwrap_or(0) as f64;
                    let y = row + (i as f64 + 1.0) / (sizes.len() as f64 + 1.0);
                    times.iter().map(move |x| (*x, y))
                });
        chart
            .draw_series(dots.map(|(x, y)| Circle::new((x, y), 3, color.mix(0.6).filled())))
            .map_err(|e| problem(&e))?
            .label(format!("{size} processes"))
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
    }
    draw_legend(&mut chart, SeriesLabelPosition::UpperRight).map_err(|e| problem(&e))?;
    root.present().map_err(|e| problem(&e))
}

/// Returns the values of a metric by loss ratio and number of members.
fn values_by_loss(rows: &[Value], metric: &str) -> BTreeMap<String, BTreeMap<u64, Vec<f64>>> {
    let mut lines: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for row in rows {
        let (Some(members), Some(value)) = (row["members"].as_u64(), row[metric].as_f64()) else {
            continue;
        };
        let loss = format!(
            "{:.0} % lost",
            row["loss"].as_f64().unwrap_or_default() * 100.0
        );
        lines
            .entry(loss)
            .or_default()
            .entry(members)
            .or_default()
            .push(value);
    }
    lines
}

/// Draws the mean of one metric of the measured rows over the number of members, one line per loss
/// ratio.
///
/// # Errors
///
/// Returns an error if the chart cannot be drawn or written, or no row has a value above 0 for the
/// metric.
pub fn draw_measured(
    rows: &[Value],
    metric: &str,
    title: &str,
    file: &Path,
) -> Result<(), TestbedError> {
    let problem = |e: &dyn Display| chart_error(file, e);
    let lines = values_by_loss(rows, metric);
    let members = lines.values().flat_map(|line| line.keys().copied());
    let (min_members, max_members) =
        members.fold((u64::MAX, 1), |(min, max), n| (min.min(n), max.max(n)));
    let max_value = lines
        .values()
        .flat_map(|l| l.values())
        .flatten()
        .copied()
        .fold(0.0, f64::max)
        * 1.1;
    if max_value <= 0.0 {
        return Err(TestbedError::MissingMetric(metric.into()));
    }
    let root = SVGBackend::new(file, (720, 380)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| problem(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 17))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(56)
        .build_cartesian_2d(
            (min_members as f64..max_members as f64 * 1.1).log_scale(),
            0.0..max_value,
        )
        .map_err(|e| problem(&e))?;
    chart
        .configure_mesh()
        .x_desc("members")
        .draw()
        .map_err(|e| problem(&e))?;
    for (i, (name, line)) in lines.iter().enumerate() {
        let color = COLORS[i % COLORS.len()];
        let points: Vec<(f64, f64)> = line
            .iter()
            .map(|(members, values)| {
                (
                    *members as f64,
                    values.iter().sum::<f64>() / values.len() as f64,
                )
            })
            .collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)).point_size(3))
            .map_err(|e| problem(&e))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    draw_legend(&mut chart, SeriesLabelPosition::UpperLeft).map_err(|e| problem(&e))?;
    root.present().map_err(|e| problem(&e))
}

#[cfg(test)]
mod tests;
