//! Tests of `overload_metrics`.

use super::*;

fn one(
    at: f64,
    class: &'static str,
    end: RequestOutcome,
    took: f64,
    balancer: usize,
) -> ClientRequest {
    ClientRequest {
        id: "1".into(),
        class,
        balancer,
        at,
        latency_s: took,
        outcome: end,
        extra_data: false,
        is_retry: false,
        retry_after_ms: None,
    }
}

fn sample(at: f64, attempts: u64, refused: u64) -> ClusterSample {
    let members = [
        ("rejected.concurrency_limit".to_string(), refused),
        ("hedges".to_string(), attempts / 10),
    ]
    .into();
    ClusterSample {
        at,
        caches: CacheCounts {
            attempts,
            health_checks: attempts,
            ..CacheCounts::default()
        },
        origin: (0, 0),
        members,
    }
}

#[test]
fn a_span_is_evaluated_by_weight_capacity_and_counters() {
    let samples: Vec<ClusterSample> = (0..=4).map(|s| sample(s as f64, 30 * s, 5 * s)).collect();
    let mut asked = Vec::new();
    for i in 0..40 {
        let at = 100.0 + i as f64 / 10.0;
        let end = if i % 2 == 0 {
            RequestOutcome::Served
        } else {
            RequestOutcome::Refused
        };
        asked.push(one(at, "tile-read", end, 0.1, i % 2));
    }
    asked.push(one(100.5, "status-set", RequestOutcome::Served, 0.31, 0));
    let observations = Observations {
        samples: &samples,
        requests: &asked,
        timeline_start: 100.0,
        capacity: 5.0,
        caches: 2,
    };
    let span = observations.span(0.0, 4.0);
    assert_eq!(span.classes["tile-read"].served, 20);
    assert_eq!(span.classes["status-set"].late, 1, "past its aim");
    assert_eq!(
        (
            span.classes["tile-read"].rejected_share_min,
            span.classes["tile-read"].rejected_share_max
        ),
        (0.0, 1.0)
    );
    // Room for 20: the one status-set and 19 reads.
    assert!(
        (span.share_of_optimum - 60.0 / 67.0).abs() < 1e-9,
        "{}",
        span.share_of_optimum
    );
    assert!((span.attempts_per_request - 120.0 / 41.0).abs() < 1e-9);
    assert_eq!(span.rejections_by_reason["concurrency_limit"], 20);
    assert!((span.health_checks_per_cache_s - 15.0).abs() < 1e-9);
}

#[test]
fn recovery_is_the_first_two_good_seconds_after_the_disturbance() {
    let second = |at: u64, weight: f64| SecondMetrics {
        at,
        served_weight: weight,
        requested_weight: 10.0,
        ..SecondMetrics::default()
    };
    let seconds: Vec<SecondMetrics> = [10.0, 10.0, 2.0, 2.0, 9.0, 4.0, 9.0, 9.5, 10.0]
        .iter()
        .enumerate()
        .map(|(i, w)| second(i as u64, *w))
        .collect();
    assert_eq!(recovery(&seconds, (0.0, 2.0), 3.0), Some(3.0));
    assert_eq!(
        recovery(&seconds[..6], (0.0, 2.0), 3.0),
        None,
        "it stays bad"
    );
}

#[test]
fn seconds_collect_client_requests_and_cache_counts() {
    let samples: Vec<ClusterSample> = (0..=2).map(|s| sample(s as f64, 30 * s, 0)).collect();
    let mut again = one(101.2, "tile-read", RequestOutcome::Served, 0.1, 0);
    again.is_retry = true;
    let asked = [
        one(100.2, "tile-read", RequestOutcome::Refused, 0.1, 0),
        again,
    ];
    let seconds = seconds(&samples, &asked, 100.0);
    assert_eq!(
        (
            seconds[0].requests,
            seconds[0].served_weight,
            seconds[1].client_retries,
            seconds[1].served_weight
        ),
        (1, 0.0, 1, 3.0)
    );
    assert_eq!(seconds[1].attempts, 30);
}
