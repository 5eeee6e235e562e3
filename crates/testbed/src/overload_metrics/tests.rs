//! Tests of `overload_metrics`.

use super::*;

fn client_request(
    at: f64,
    class: &'static str,
    outcome: RequestOutcome,
    latency_s: f64,
    balancer: usize,
) -> ClientRequest {
    ClientRequest {
        id: "1".into(),
        class,
        balancer,
        at,
        latency_s,
        outcome,
        extra_data: false,
        is_retry: false,
        retry_after_ms: None,
    }
}

fn sample(at: f64, attempts: u64, rejected: u64) -> ClusterSample {
    let members = [
        ("rejected.concurrency_limit".to_string(), rejected),
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
fn a_span_combines_request_weights_capacity_and_counters() {
    let samples: Vec<ClusterSample> = (0..=4).map(|s| sample(s as f64, 30 * s, 5 * s)).collect();
    let mut requests = Vec::new();
    for i in 0..40 {
        let at = 100.0 + i as f64 / 10.0;
        let outcome = if i % 2 == 0 {
            RequestOutcome::Served
        } else {
            RequestOutcome::Refused
        };
        requests.push(client_request(at, "tile-read", outcome, 0.1, i % 2));
    }
    requests.push(client_request(
        100.5,
        "status-set",
        RequestOutcome::Served,
        0.31,
        0,
    ));
    let observations = Observations {
        samples: &samples,
        requests: &requests,
        timeline_start: 100.0,
        capacity: 5.0,
        caches: 2,
    };
    let span = observations.span(0.0, 4.0);
    assert_eq!(span.classes["tile-read"].served, 20);
    assert_eq!(
        span.classes["status-set"].late, 1,
        "0.31 s is after the objective of 0.3 s"
    );
    assert_eq!(
        (
            span.classes["tile-read"].rejected_share_min,
            span.classes["tile-read"].rejected_share_max
        ),
        (0.0, 1.0)
    );
    // The capacity is 20 requests; the optimum serves the status-set and 19 reads.
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
fn recovery_is_at_the_first_two_consecutive_seconds_above_the_threshold() {
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
        "the served ratio stays below the threshold"
    );
}

#[test]
fn seconds_collect_client_requests_client_retries_and_cache_counts() {
    let samples: Vec<ClusterSample> = (0..=2).map(|s| sample(s as f64, 30 * s, 0)).collect();
    let mut retry = client_request(101.2, "tile-read", RequestOutcome::Served, 0.1, 0);
    retry.is_retry = true;
    let requests = [
        client_request(100.2, "tile-read", RequestOutcome::Refused, 0.1, 0),
        retry,
    ];
    let seconds = seconds(&samples, &requests, 100.0);
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
