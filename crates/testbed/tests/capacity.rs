//! Tests of the capacity page: fits, tables, and the check that reports the first differing line.

use std::path::{Path, PathBuf};
use testbed::capacity::{CapacityPlan, check, rewrite, tables};
use testbed::slopes::{Point, Slopes, fit_line};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn point(size: f64, value: f64) -> Point {
    Point {
        size,
        seed: 1,
        value,
    }
}

#[test]
fn a_fit_is_the_least_squares_line_with_its_largest_deviation() {
    let line = fit_line(&[point(100.0, 21.0), point(200.0, 41.0), point(300.0, 61.0)]);
    assert!(
        (line.at_zero - 1.0).abs() < 1e-9
            && (line.per_unit - 0.2).abs() < 1e-12
            && line.residual < 1e-12
    );
    let curved = fit_line(&[point(1.0, 1.0), point(2.0, 4.0), point(3.0, 9.0)]);
    assert!(curved.residual > 0.05, "{curved:?}");
    let flat = fit_line(&[point(5.0, 7.0)]);
    assert_eq!(
        (flat.at_zero, flat.per_unit, flat.residual),
        (7.0, 0.0, 0.0)
    );
}

#[test]
fn the_capacity_page_follows_from_the_plan_and_the_slopes() {
    let plan = CapacityPlan::read(&docs().join("capacity/plan.toml")).unwrap();
    let slopes = Slopes::read(&docs().join("capacity/slopes.json")).unwrap();
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let tables = tables(&plan, &slopes).unwrap();
    check(&page, &tables).unwrap_or_else(|e| panic!("docs/CAPACITY.md: {e}"));
    // A line that differs is reported by its number, and rewriting the tables restores the page.
    let (number, line) = page
        .lines()
        .enumerate()
        .find(|(_, line)| line.contains("handshakes with caches"))
        .unwrap();
    let changed_page = page.replace(
        line,
        &line.replace("| data", "| no data").replace(" | ", " |  "),
    );
    let problem = check(&changed_page, &tables).unwrap_err().to_string();
    assert!(
        problem.starts_with(&format!("line {}: ", number + 1)),
        "{problem}"
    );
    assert_eq!(rewrite(&changed_page, &tables).unwrap(), page);
    assert!(
        check("", &tables)
            .unwrap_err()
            .to_string()
            .starts_with("no line \"<!-- table: ")
    );
}

#[test]
fn an_invalid_plan_is_rejected_with_the_key_and_the_file() {
    let text = std::fs::read_to_string(docs().join("capacity/plan.toml")).unwrap();
    let path = std::env::temp_dir().join(format!("pipitrun-plan-{}.toml", std::process::id()));
    let cases = [
        (
            "balancers = 4_600",
            "balancers = 0",
            "plan.balancers: 0 is not 1 or more",
        ),
        ("balancers = 4_600", "ballancers = 4_600", "ballancers"),
        ("regions = 26\n", "", "missing field `regions`"),
    ];
    for (from, to, problem) in cases {
        std::fs::write(&path, text.replace(from, to)).unwrap();
        let error = CapacityPlan::read(&path).unwrap_err().to_string();
        assert!(
            error.contains(problem) && error.contains("pipitrun-plan"),
            "{error}"
        );
    }
    std::fs::remove_file(&path).unwrap();
    assert!(
        CapacityPlan::read(&path)
            .unwrap_err()
            .to_string()
            .contains("pipitrun-plan")
    );
}
