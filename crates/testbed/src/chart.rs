//! Charts and tables of measurements: reports as `run --out` writes them, rows as
//! `detection-latency` prints them.

use crate::error::TestbedError;
use plotters::prelude::*;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::path::Path;

/// Seconds until all views were true, by what was waited for and the number of processes.
pub type Settled = BTreeMap<(String, u64), Vec<f64>>;

/// Reads all reports of a folder.
///
/// # Errors
///
/// If the file can't be read or drawn, or holds nothing to draw.
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

/// Gathers the times of all reports.
#[must_use]
pub fn settled(reports: &[Value]) -> Settled {
    let mut all = Settled::new();
    for report in reports {
        let scenario = report["scenario"].as_str().unwrap_or_default();
        let instances = report["instances"].as_u64().unwrap_or_default();
        for (what, seconds) in report["settled"].as_object().into_iter().flatten() {
            let Some(seconds) = seconds.as_f64() else {
                continue;
            };
            let name = if what == "join" {
                "join".into()
            } else {
                format!("{scenario}: {what}")
            };
            all.entry((name, instances)).or_default().push(seconds);
        }
    }
    all.values_mut()
        .for_each(|times| times.sort_by(f64::total_cmp));
    all
}

/// A table of medians and worst cases, as Markdown.
#[must_use]
pub fn table(settled: &Settled) -> String {
    let mut text = String::from(
        "| all views true after | processes | plays | median s | worst s |\n| --- | --- | --- | --- | --- |\n",
    );
    for ((name, instances), times) in settled {
        let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
        text.push_str(&format!(
            "| {name} | {instances} | {} | {median:.2} | {worst:.2} |\n",
            times.len()
        ));
    }
    text
}

const COLOURS: [RGBColor; 5] = [
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

/// Draws the legend of a chart's series.
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

/// Draws each run as a dot, with a row for each condition that was waited for.
///
/// # Errors
///
/// If the file can't be read or drawn, or holds nothing to draw.
pub fn draw_settled(settled: &Settled, aim: f64, file: &Path) -> Result<(), TestbedError> {
    let problem = |e: &dyn Display| chart_error(file, e);
    let names: BTreeSet<&String> = settled.keys().map(|(name, _)| name).collect();
    let names: Vec<&String> = names.into_iter().collect();
    let sizes: BTreeSet<u64> = settled.keys().map(|(_, n)| *n).collect();
    let most = settled.values().flatten().copied().fold(aim, f64::max) * 1.05;
    let height = 90 + 34 * names.len() as u32;
    let root = SVGBackend::new(file, (860, height)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| problem(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Seconds until all views are true; each dot a play",
            ("sans-serif", 17),
        )
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(200)
        .build_cartesian_2d(0.0..most, 0.0..names.len() as f64)
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
        let colour = COLOURS[i % COLOURS.len()];
        let dots = settled
            .iter()
            .filter(|((_, n), _)| n == size)
            .flat_map(|((name, _), times)| {
                let row = names.iter().position(|n| *n == name).unwrap_or(0) as f64;
                let y = row + (i as f64 + 1.0) / (sizes.len() as f64 + 1.0);
                times.iter().map(move |x| (*x, y))
            });
        chart
            .draw_series(dots.map(|(x, y)| Circle::new((x, y), 3, colour.mix(0.6).filled())))
            .map_err(|e| problem(&e))?
            .label(format!("{size} processes"))
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
    }
    draw_legend(&mut chart, SeriesLabelPosition::UpperRight).map_err(|e| problem(&e))?;
    root.present().map_err(|e| problem(&e))
}

/// The values of a figure by loss and number of members.
fn measured_lines(rows: &[Value], figure: &str) -> BTreeMap<String, BTreeMap<u64, Vec<f64>>> {
    let mut lines: BTreeMap<String, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for row in rows {
        let (Some(members), Some(value)) = (row["members"].as_u64(), row[figure].as_f64()) else {
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

/// Draws one figure of the measured rows over the number of members, a line for each rate of loss.
///
/// # Errors
///
/// If the file can't be read or drawn, or holds nothing to draw.
pub fn draw_measured(
    rows: &[Value],
    figure: &str,
    title: &str,
    file: &Path,
) -> Result<(), TestbedError> {
    let problem = |e: &dyn Display| chart_error(file, e);
    let lines = measured_lines(rows, figure);
    let members = lines.values().flat_map(|line| line.keys().copied());
    let (least, most) = members.fold((u64::MAX, 1), |(a, b), n| (a.min(n), b.max(n)));
    let highest = lines
        .values()
        .flat_map(|l| l.values())
        .flatten()
        .copied()
        .fold(0.0, f64::max)
        * 1.1;
    if highest <= 0.0 {
        return Err(TestbedError::MissingFigure(figure.into()));
    }
    let root = SVGBackend::new(file, (720, 380)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| problem(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 17))
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(56)
        .build_cartesian_2d((least as f64..most as f64 * 1.1).log_scale(), 0.0..highest)
        .map_err(|e| problem(&e))?;
    chart
        .configure_mesh()
        .x_desc("members")
        .draw()
        .map_err(|e| problem(&e))?;
    for (i, (name, line)) in lines.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
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
            .draw_series(LineSeries::new(points, colour.stroke_width(2)).point_size(3))
            .map_err(|e| problem(&e))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    draw_legend(&mut chart, SeriesLabelPosition::UpperLeft).map_err(|e| problem(&e))?;
    root.present().map_err(|e| problem(&e))
}

#[cfg(test)]
mod tests;
