//! Tests of `chart`.

use super::*;

#[test]
fn the_table_shows_median_and_longest_time_and_charts_are_written() {
    let report = |seconds: f64, instances: u64| serde_json::json!({"scenario": "split", "instances": instances, "settled": {"healed": seconds, "join": 0.5}});
    let convergence = convergence_times(&[
        report(1.0, 12),
        report(3.0, 12),
        report(2.0, 12),
        report(0.5, 40),
    ]);
    let text = table(&convergence);
    assert!(
        text.contains("| split: healed | 12 | 3 | 2.00 | 3.00 |"),
        "{text}"
    );
    assert!(text.contains("| join | 40 | 1 | 0.50 | 0.50 |"), "{text}");
    let folder = std::env::temp_dir().join(format!("pipitrun-chart-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    draw_convergence(&convergence, 3.0, &folder.join("a.svg")).unwrap();
    let rows: Vec<Value> = [10, 100]
        .map(|n| serde_json::json!({"members": n, "loss": 0.2, "bytes_per_s": 7.0}))
        .into();
    draw_measured(&rows, "bytes_per_s", "bytes", &folder.join("b.svg")).unwrap();
    assert!(draw_measured(&rows, "nothing", "bytes", &folder.join("c.svg")).is_err());
    for file in ["a.svg", "b.svg"] {
        assert!(
            std::fs::read_to_string(folder.join(file))
                .unwrap()
                .contains("</svg>")
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
