//! Tests of the engine's behaviour during overload, outliers and outages.

mod common;

use common::{IDEMPOTENT, KEYED, MS, NOT_IDEMPOTENT, TestBalancer, balancer, endpoint, settings};
use routing::{
    Action, AttemptNumber, AttemptOutcome, ClassId, DiscoveryMode, Endpoint, EndpointId,
    EndpointState, Event, OriginMode, RequestId, Settings, UpdateKind,
};

const ENDPOINT_1: EndpointId = EndpointId(1);

/// Returns settings without health checks, so that requests serve as recovery probes.
fn settings_without_health_checks() -> Settings {
    let mut settings = settings();
    settings.capabilities.health_checks = false;
    settings
}

/// Returns a successful outcome, or `failure` if `fails` is set.
fn ok_or(failure: AttemptOutcome, fails: bool) -> AttemptOutcome {
    if fails { failure } else { AttemptOutcome::Ok }
}

/// Counts of the attempts and of the engine's final answers of some reads.
#[derive(Debug, PartialEq)]
struct ReadCounts {
    attempts: usize,
    final_answers: usize,
}

/// Sends `count` reads of new keys, 10 ms apart, and ends each attempt immediately with this
/// outcome.
fn run_reads(
    balancer: &mut TestBalancer,
    first: u128,
    count: u128,
    outcome: AttemptOutcome,
) -> ReadCounts {
    let mut counts = ReadCounts {
        attempts: 0,
        final_answers: 0,
    };
    for id in first..first + count {
        balancer.read(id);
        balancer.run_for(10 * MS);
        let mut attempt = 0;
        while balancer.final_answers(id) == 0 && attempt < balancer.sends(id).len() {
            balancer.end_as_miss(id, attempt as u32, outcome);
            attempt += 1;
        }
        counts.attempts += balancer.sends(id).len();
        counts.final_answers += balancer.final_answers(id);
    }
    counts
}

#[test]
fn overloaded_origin_receives_few_fetches() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4]);
    run_reads(&mut balancer, 1, 200, AttemptOutcome::Ok);
    run_reads(&mut balancer, 1_000, 100, AttemptOutcome::Error);
    // All fetches fail: few of the next hundred reads of uncached keys are sent, and none is
    // retried.
    let counts = run_reads(&mut balancer, 2_000, 100, AttemptOutcome::Error);
    assert!(counts.attempts < 25, "{counts:?}");
    assert_eq!(counts.final_answers, 100);
    // A read of a recently answered key is still admitted.
    balancer.request(5_000, IDEMPOTENT, Some(200), 1_000 * MS);
    assert_eq!(balancer.sends(5_000).len(), 1);
}

#[test]
fn recovered_origin_is_used_again() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4]);
    run_reads(&mut balancer, 1, 100, AttemptOutcome::Error);
    run_reads(&mut balancer, 1_000, 1_000, AttemptOutcome::Ok);
    let counts = run_reads(&mut balancer, 5_000, 100, AttemptOutcome::Ok);
    let all_answered = ReadCounts {
        attempts: 100,
        final_answers: 0,
    };
    assert_eq!(counts, all_answered);
}

#[test]
fn endpoint_that_refuses_connections_is_ejected_and_probed() {
    let mut balancer = balancer(settings_without_health_checks());
    balancer.list_endpoints(&[1, 2, 3, 4]);
    let mut tried_at = Vec::new();
    for id in 1..=1_200u128 {
        balancer.read(id);
        let now = balancer.now;
        balancer.end_attempts(id, |endpoint| {
            let refuses = endpoint == ENDPOINT_1;
            tried_at.extend(refuses.then_some(now));
            ok_or(AttemptOutcome::ConnectFailed, refuses)
        });
        assert_eq!(
            balancer.final_answers(id),
            0,
            "read {id} is retried at another endpoint"
        );
        balancer.run_for(10 * MS);
    }
    // Expected in 12 s: two failures, then single probes after 1, 2, 4 s and more.
    assert!((3..=7).contains(&tried_at.len()), "{tried_at:?}");
    let mut intervals = tried_at.windows(2).skip(1).map(|pair| pair[1] - pair[0]);
    assert!(
        intervals.all(|interval| interval >= 750 * MS),
        "{tried_at:?}"
    );
}

#[test]
fn with_health_checks_no_client_request_probes_a_failed_endpoint() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4]);
    let (mut attempts_at_failed, mut health_checks) = (0, 0);
    for id in 1..=2_000u128 {
        let has_failed = id < 1_000;
        balancer.read(id);
        balancer.end_attempts(id, |endpoint| {
            let fails = endpoint == ENDPOINT_1 && has_failed;
            attempts_at_failed += usize::from(fails);
            ok_or(AttemptOutcome::ConnectFailed, fails)
        });
        let before = balancer.issued.len();
        balancer.run_for(10 * MS);
        if balancer.has_issued_since(before, &Action::HealthCheck(ENDPOINT_1)) {
            health_checks += 1;
            balancer.handle(Event::HealthCheckEnded {
                endpoint: ENDPOINT_1,
                outcome: ok_or(AttemptOutcome::Timeout, has_failed),
                load_report: None,
            });
        }
    }
    assert_eq!(
        attempts_at_failed, 2,
        "two failures, then only health checks"
    );
    assert!((3..=8).contains(&health_checks), "{health_checks}");
    let recovered = (1_900..2_000)
        .filter(|id| balancer.sends(*id).contains(&ENDPOINT_1))
        .count();
    assert!(recovered > 5, "{recovered}");
}

#[test]
fn unreachable_zone_stays_ejected_even_if_it_has_more_than_half_of_the_endpoints() {
    let mut balancer = balancer(settings_without_health_checks());
    balancer.list_endpoints(&[1, 2, 3, 4, 5, 7, 9]);
    let mut attempts_at_unreachable = 0;
    for id in 1..=1_000u128 {
        balancer.read(id);
        balancer.end_attempts(id, |endpoint| {
            let is_unreachable = endpoint.0 % 2 == 1;
            attempts_at_unreachable += usize::from(is_unreachable && id > 500);
            ok_or(AttemptOutcome::ConnectFailed, is_unreachable)
        });
        balancer.run_for(10 * MS);
    }
    // Five unreachable endpoints for 5 s: only single probes, some seconds apart.
    assert!(attempts_at_unreachable <= 20, "{attempts_at_unreachable}");
}

#[test]
fn no_endpoint_is_ejected_when_all_fail() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4]);
    let reset_attempts = |balancer: &mut TestBalancer, id| {
        for attempt in 0..balancer.sends(id).len() {
            balancer.end(id, attempt as u32, AttemptOutcome::Reset);
        }
        balancer.run_for(100 * MS);
    };
    for id in 1..=100u128 {
        balancer.read(id);
        reset_attempts(&mut balancer, id);
    }
    // Most reads are rejected because nothing is served; some are still sent, to detect recovery.
    for id in 1_000..1_100u128 {
        balancer.request(id, IDEMPOTENT, Some(3), 1_000 * MS);
        reset_attempts(&mut balancer, id);
    }
    let sent = (1_000..1_100).filter(|id| !balancer.sends(*id).is_empty());
    assert!(sent.count() >= 3);
}

#[test]
fn unresponsive_endpoint_is_ejected_although_its_overdue_reads_were_cancelled() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4]);
    let mut sent_to_unresponsive = 0;
    for id in 1..=400u128 {
        balancer.read(id);
        balancer.run_for(5 * MS);
        if balancer.sends(id)[0] == ENDPOINT_1 && id > 200 {
            sent_to_unresponsive += 1;
            balancer.run_for(600 * MS);
            assert_eq!(balancer.sends(id).len(), 2, "an overdue read is hedged");
            balancer.end(id, 1, AttemptOutcome::Ok);
            balancer.end_finished(id, 0, AttemptOutcome::Cancelled);
        } else {
            balancer.end(id, 0, AttemptOutcome::Ok);
        }
    }
    assert!(
        (1..=6).contains(&sent_to_unresponsive),
        "{sent_to_unresponsive}"
    );
}

#[test]
fn hedges_are_limited_when_all_attempts_are_overdue() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4, 5, 6]);
    for id in 1..=100u128 {
        balancer.read(id);
        balancer.end(id, 0, AttemptOutcome::Ok);
    }
    let mut hedges = 0;
    for id in 1_000..1_100u128 {
        balancer.read(id);
        balancer.run_for(1_000 * MS);
        hedges += balancer.sends(id).len().saturating_sub(1);
        for attempt in 0..balancer.sends(id).len() {
            balancer.end(id, attempt as u32, AttemptOutcome::Timeout);
        }
    }
    assert!((1..=6).contains(&hedges), "{hedges}");
}

#[test]
fn hedges_do_not_raise_the_hedge_delay() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3]);
    // One endpoint is unresponsive, the others answer within 10 ms. The latency of a hedge is
    // measured from its own start.
    let mut delays = Vec::new();
    for id in 1..=600u128 {
        balancer.read(id);
        balancer.run_for(10 * MS);
        if balancer.sends(id)[0] != EndpointId(2) || id < 100 {
            balancer.end(id, 0, AttemptOutcome::Ok);
            continue;
        }
        let start = balancer.now - 10 * MS;
        for _ in 0..600 {
            if balancer.sends(id).len() < 2 {
                balancer.run_for(MS);
            }
        }
        assert_eq!(balancer.sends(id).len(), 2);
        delays.push(balancer.now - start);
        balancer.run_for(10 * MS);
        balancer.end(id, 1, AttemptOutcome::Ok);
        balancer.end_finished(id, 0, AttemptOutcome::Cancelled);
    }
    assert!(delays.len() >= 2);
    assert!(delays.iter().all(|delay| *delay <= 15 * MS), "{delays:?}");
}

#[test]
fn requests_beyond_the_capacity_are_queued_and_then_rejected() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1]);
    for id in 1..=50u128 {
        balancer.read(id);
    }
    let sent: usize = (1..=50).map(|id| balancer.sends(id).len()).sum();
    assert_eq!(sent, 5);
    balancer.run_until(300 * MS);
    let rejected: usize = (1..=50).map(|id| balancer.final_answers(id)).sum();
    assert_eq!(rejected, 45);
    assert!(balancer.issued.iter().all(|issued| {
        !matches!(issued.action, Action::Reject { .. }) || issued.at <= 200 * MS
    }));
}

#[test]
fn capacity_goes_to_the_highest_priority_weight_first() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1]);
    for id in 1..=10u128 {
        let class = if id == 10 { NOT_IDEMPOTENT } else { IDEMPOTENT };
        balancer.request(id, class, Some(id as u64), 1_000 * MS);
    }
    let actions = balancer.end(1, 0, AttemptOutcome::Ok);
    let sent = actions.iter().find_map(|action| match action {
        Action::Send { request, .. } => Some(*request),
        _ => None,
    });
    assert_eq!(
        sent,
        Some(RequestId(10)),
        "the request with the highest weight is sent before earlier ones"
    );
    assert_eq!(
        balancer.sends(9).len(),
        0,
        "there is not enough capacity for all requests"
    );
}

#[test]
fn failed_discovery_call_is_repeated_with_backoff() {
    let mut balancer = balancer(Settings {
        discovery: DiscoveryMode::Poll {
            staleness_limit: 10_000 * MS,
        },
        ..settings()
    });
    let entry = || vec![endpoint(1, EndpointState::Active, 0)];
    balancer.update_endpoints(UpdateKind::Stale, entry());
    let mut calls = Vec::new();
    for _ in 0..600 {
        let before = balancer.issued.len();
        balancer.run_for(100 * MS);
        if balancer.has_issued_since(before, &Action::QueryDiscovery) {
            calls.push(balancer.now);
            balancer.update_endpoints(UpdateKind::Failed, Vec::new());
        }
    }
    assert!((16..40).contains(&calls.len()), "{calls:?}");
    let intervals: Vec<u64> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        intervals.iter().all(|interval| *interval <= 4_000 * MS),
        "an interval plus 1.6 s for a call without a response must stay within 6 s: {intervals:?}"
    );
    assert!(intervals[intervals.len() - 1] >= 1_200 * MS);
    balancer.run_for(10_000 * MS);
    balancer.update_endpoints(UpdateKind::Full, entry());
    let before = balancer.issued.len();
    balancer.run_for(60_000 * MS);
    assert!(
        !balancer.has_issued_since(before, &Action::QueryDiscovery),
        "discovery is not queried while the watch is working"
    );
}

#[test]
fn cache_aside_reads_go_to_the_origin_once_and_are_not_hedged_there() {
    let mut balancer = balancer(Settings {
        origin: OriginMode::CacheAside { kind: 9 },
        ..settings()
    });
    let origin = EndpointId(99);
    let mut entries: Vec<Endpoint> = (1..=4)
        .map(|id| endpoint(id, EndpointState::Active, 0))
        .collect();
    entries.push(Endpoint {
        kind: 9,
        ..endpoint(99, EndpointState::Active, 0)
    });
    balancer.update_endpoints(UpdateKind::Full, entries);
    for id in 1..=200u128 {
        balancer.read(id);
        assert_ne!(balancer.sends(id)[0], origin);
        balancer.end(id, 0, AttemptOutcome::CacheMiss);
        assert_eq!(balancer.sends(id)[1], origin);
        balancer.run_for(600 * MS);
        assert_eq!(
            balancer.sends(id).len(),
            2,
            "attempts at the origin are not hedged"
        );
        let fails = id == 200;
        balancer.end(id, 1, ok_or(AttemptOutcome::Error, fails));
        assert_eq!(
            balancer.final_answers(id),
            usize::from(fails),
            "a failed attempt at the origin is not retried"
        );
    }
    balancer.request(1_000, NOT_IDEMPOTENT, Some(5), 1_000 * MS);
    assert_eq!(balancer.sends(1_000), [origin]);
}

#[test]
fn few_healthy_endpoints_do_not_receive_the_whole_load() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4, 5]);
    let healthy = EndpointId(5);
    for id in 1..=100u128 {
        balancer.read(id);
        balancer.end_attempts(id, |endpoint| {
            ok_or(AttemptOutcome::Reset, endpoint != healthy)
        });
        balancer.run_for(20 * MS);
    }
    let is_first_elsewhere = |id: &u128| {
        let sends = balancer.sends(*id);
        sends.first().is_some_and(|endpoint| *endpoint != healthy)
    };
    let first_elsewhere = (80..=100).filter(is_first_elsewhere).count();
    assert!(first_elsewhere > 10, "{first_elsewhere}");
}

#[test]
fn extreme_but_valid_values_are_tolerated() {
    let mut settings = settings();
    settings.rules.slow_start_duration = 0;
    settings.rules.slow_start_fraction = f64::NAN;
    settings.rules.overload_window = 0;
    settings.tenants[0].quota_per_second = f64::NAN;
    let mut balancer = balancer(settings);
    let weights = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300];
    let entries = (1..=3_000u64).map(|id| Endpoint {
        weight: weights[id as usize % 5],
        zone: usize::MAX,
        started: u64::MAX * (id % 2),
        ..endpoint(id, EndpointState::Active, 0)
    });
    balancer.update_endpoints(UpdateKind::Full, entries.collect());
    let clock_step = 3 * 3_600_000 * MS;
    for id in 1..=6u128 {
        balancer.request(id, ClassId(id as usize % 3), Some(7), 1_000 * MS);
        balancer.run_for(1_100 * MS);
        // The clock jumps by three hours, during which no timer fires.
        balancer.now += clock_step;
        balancer.timers.delay(clock_step);
        assert_eq!(balancer.final_answers(id), 1);
    }
    balancer.request(100, ClassId(9), None, 1_000 * MS);
    assert_eq!(balancer.final_answers(100), 1);
    balancer.request(101, IDEMPOTENT, None, u64::MAX / 2);
    balancer.handle(Event::ClientDisconnected(RequestId(101)));
}

#[test]
fn retries_are_limited_when_all_attempts_fail() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3, 4, 5, 6]);
    run_reads(&mut balancer, 1, 100, AttemptOutcome::Unreadable);
    let retries: usize = (1..=100)
        .map(|id| balancer.sends(id).len().saturating_sub(1))
        .sum();
    assert!((8..=29).contains(&retries), "{retries}");
}

#[test]
fn attempt_is_cancelled_when_its_hedge_is_answered_first() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3]);
    balancer.read(1);
    balancer.run_until(600 * MS);
    assert_eq!(balancer.sends(1).len(), 2);
    let cancel = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNumber(0),
    };
    let actions = balancer.end(1, 1, AttemptOutcome::Ok);
    assert!(actions.contains(&cancel));
}

#[test]
fn two_timeouts_of_an_unresponsive_endpoint_eject_it() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1]);
    let mut logs = 0;
    for id in 1..=2u128 {
        balancer.read(id);
        balancer.run_for(10 * MS);
        let actions = balancer.end_finished(id, 0, AttemptOutcome::Timeout);
        let is_log = |action: &&Action| matches!(action, Action::Log(_));
        logs += actions.iter().filter(is_log).count();
        assert_eq!(logs, usize::from(id == 2));
    }
}

#[test]
fn keyed_attempt_times_out_while_its_repeat_is_permitted() {
    let mut balancer = balancer(settings());
    balancer.list_endpoints(&[1, 2, 3]);
    balancer.request(1, KEYED, Some(1), 1_000 * MS);
    let timeouts: Vec<_> = balancer
        .actions()
        .filter_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
        .collect();
    // Three quarters of the window of 500 ms, which is shorter than the client's timeout.
    assert_eq!(timeouts, [Some(375 * MS)]);
}
