//! Tests of local health.

use super::*;

#[test]
fn a_stall_degrades_local_health_temporarily() {
    let mut health = LocalHealth::new(0);
    assert!(!health.begin_tick(50 * MS), "no tick was scheduled yet");
    health.schedule_tick(100 * MS);
    assert!(
        !health.begin_tick(100 * MS + STALL_THRESHOLD),
        "a delay up to the threshold is not a stall"
    );
    health.schedule_tick(500 * MS);
    let now = 501 * MS + STALL_THRESHOLD;
    assert!(health.begin_tick(now));
    assert_eq!(
        (
            health.suspicion_policy(now).timeout_multiplier,
            health.stalls
        ),
        (2, 1)
    );
    let later = 502 * MS + STALL_THRESHOLD + RECOVERY_INTERVAL;
    health.schedule_tick(later);
    assert!(!health.begin_tick(later));
    assert_eq!(health.suspicion_policy(now).timeout_multiplier, 1);
    for n in 0..9 {
        health.degrade(n);
    }
    assert_eq!(
        health.suspicion_policy(now).timeout_multiplier,
        u64::from(TIMEOUT_MULTIPLIER_MAX)
    );
}

#[test]
fn an_isolated_member_suspects_nobody_for_a_limited_time() {
    let mut health = LocalHealth::new(0);
    assert!(health.suspicion_policy(799 * MS).may_suspect);
    assert!(
        !health.suspicion_policy(800 * MS).may_suspect
            && !health.suspicion_policy(ISOLATED_UNTIL - 1).may_suspect
    );
    assert!(health.suspicion_policy(ISOLATED_UNTIL).may_suspect);
    health.record_received(2_000 * MS);
    assert!(health.suspicion_policy(2_700 * MS).may_suspect);
    // Silence during a stall of this process is not counted.
    health.schedule_tick(3_000 * MS);
    health.begin_tick(9_000 * MS);
    assert!(health.suspicion_policy(9_100 * MS).may_suspect);
}
