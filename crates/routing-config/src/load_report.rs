//! Parsing of load reports, whose columns have the operators' names.

use routing::LoadReport;

/// Builds a load report from named values. Unknown names and values that are not finite are
/// ignored.
#[must_use]
pub fn parse_load_report<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in values {
        let value = Some(value).filter(|value| value.is_finite());
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
