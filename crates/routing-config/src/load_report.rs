//! Load reports, by the column names that the operators give to their values.

use routing::LoadReport;

/// Builds a load report from named values; unknown names are skipped, as are values that are not
/// finite.
#[must_use]
pub fn parse_load_report<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in values {
        let value = Some(value).filter(|v| v.is_finite());
        match column {
            "concurrent" => report.in_flight = value,
            "depth" => report.queue_depth = value,
            "load_share" => report.utilization = value,
            "mean_ms" => report.service_time_ms = value,
            "tps" => report.requests_per_second = value,
            "err_ps" => report.errors_per_second = value,
            "x0" => report.hit_ratio = value,
            "x1" => report.origin_fetches = value,
            _ => {}
        }
    }
    report
}
