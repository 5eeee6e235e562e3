//! The canonical text must equal the one that commit cab609d produced for the same settings.

use super::*;

const CLASSES: &str = "[Class { effect: Safe, aim: 300, deadline: 600, worth: 1.5, late_value: 0.25 }, \
    Class { effect: Keyed { group: All, window: 2000 }, aim: 301, deadline: 602, worth: 1.5, late_value: 0.25 }, \
    Class { effect: Keyed { group: Zone, window: 2001 }, aim: 302, deadline: 604, worth: 1.5, late_value: 0.25 }, \
    Class { effect: Keyed { group: Cell, window: 2002 }, aim: 303, deadline: 606, worth: 1.5, late_value: 0.25 }, \
    Class { effect: Unsafe, aim: 304, deadline: 608, worth: 1.5, late_value: 0.25 }]";
const REST: &str = "live_weights: true, limits: Limits { max_attempts: 3, second_copies: true, cancel: false, \
    probes: true, retry_after: false, max_retry_after: 1200 }, rules: Rules { answer_slack: 16, \
    drain_grace: 500, cold_from: 0.3, warm_after: 60, overload_factor: 2.0, tip_after: 8 }, tick: 5 }";

fn classes() -> Vec<RequestClass> {
    let keyed = |scope, window| Idempotency::Keyed { scope, window };
    let cases = [
        (Idempotency::Idempotent, 300),
        (keyed(DeduplicationScope::All, 2_000), 301),
        (keyed(DeduplicationScope::Zone, 2_001), 302),
        (keyed(DeduplicationScope::Cell, 2_002), 303),
        (Idempotency::NotIdempotent, 304),
    ];
    let class = |(idempotency, latency_objective)| RequestClass {
        idempotency,
        latency_objective,
        deadline: latency_objective * 2,
        priority_weight: 1.5,
        late_value_fraction: 0.25,
    };
    cases.into_iter().map(class).collect()
}

fn settings(origin: OriginMode, discovery: DiscoveryMode, tenants: Vec<Tenant>) -> Settings {
    Settings {
        classes: classes(),
        tenants,
        over_quota_weight: 0.1,
        balancers: 4,
        origin,
        discovery,
        dynamic_weights: true,
        capabilities: Capabilities {
            max_attempts: 3,
            hedging: true,
            cancellation: false,
            health_checks: true,
            retry_after: false,
            max_retry_after: 1_200,
        },
        rules: ServiceRules {
            final_answer_grace: 16,
            drain_grace: 500,
            slow_start_fraction: 0.3,
            slow_start_duration: 60,
            overload_factor: 2.0,
            overload_window: 8,
        },
        tick: 5,
    }
}

#[test]
fn canonical_text_is_the_same_as_in_former_versions() {
    let alone = settings(OriginMode::ReadThrough, DiscoveryMode::Push, Vec::new());
    assert_eq!(
        canonical_text(&alone),
        format!(
            "Settings {{ classes: {CLASSES}, tenants: [], over_share_worth: 0.1, routers: 4, \
             origin: Through, discovery: Pushed, {REST}"
        )
    );
    let quotas = [9.0, 1e21].map(|quota_per_second| Tenant { quota_per_second });
    let shared = settings(
        OriginMode::CacheAside { kind: 3 },
        DiscoveryMode::Poll { staleness_limit: 7 },
        quotas.to_vec(),
    );
    assert_eq!(
        canonical_text(&shared),
        format!(
            "Settings {{ classes: {CLASSES}, tenants: [Tenant {{ allowance_per_s: 9.0 }}, \
             Tenant {{ allowance_per_s: 1e21 }}], over_share_worth: 0.1, routers: 4, \
             origin: Aside {{ kind: 3 }}, discovery: Asked {{ within: 7 }}, {REST}"
        )
    );
    assert_ne!(settings_checksum(&alone), settings_checksum(&shared));
}
