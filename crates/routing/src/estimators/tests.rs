//! Tests of the latency quantile with exact values.

use super::LatencyQuantile;
use crate::hedging::{OVERDUE_QUANTILE, QUANTILE_MEMORY_SAMPLES};

const MS: u64 = 1_000_000;

fn quantile() -> LatencyQuantile {
    LatencyQuantile::new(QUANTILE_MEMORY_SAMPLES, OVERDUE_QUANTILE)
}

#[test]
fn latency_quantile_is_the_99th_percentile() {
    let mut latencies = quantile();
    for sample in 0..200 {
        latencies.add(if sample % 50 == 49 { 400 * MS } else { 10 * MS });
    }
    // Two in a hundred samples are slow, so the 99th percentile is the slow latency.
    assert_eq!(latencies.value(), LatencyQuantile::bucket_edge(400.0));
    let mut latencies = quantile();
    for sample in 0..400 {
        latencies.add(if sample == 0 { 400 * MS } else { 10 * MS });
    }
    assert_eq!(latencies.value(), LatencyQuantile::bucket_edge(10.0));
}

#[test]
fn old_samples_decay_with_the_number_of_new_ones() {
    let mut latencies = quantile();
    for _ in 0..500 {
        latencies.add(400 * MS);
    }
    let mut new_samples = 0;
    while latencies.value() == LatencyQuantile::bucket_edge(400.0) {
        latencies.add(10 * MS);
        new_samples += 1;
    }
    // After n new samples the old ones have a weight of (1 - 1/e) e^(-n/500), of a total weight of
    // 1 - e^(-1 - n/500) in the same unit. This fraction falls to 1 % at n = 2079.
    assert!((2_050..2_100).contains(&new_samples), "{new_samples}");
    let mut saturated = quantile();
    for _ in 0..100_000 {
        saturated.add(10 * MS);
    }
    assert!(
        saturated.total_weight() < QUANTILE_MEMORY_SAMPLES + 1.0
            && saturated.value() == LatencyQuantile::bucket_edge(10.0)
    );
}
