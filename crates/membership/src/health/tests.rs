//! Tests of `health`.

use super::*;

#[test]
fn a_gap_is_seen_doubted_and_forgotten() {
    let mut health = Health::new(0);
    assert!(!health.turn(50 * MS), "nothing was due yet");
    health.expect(100 * MS);
    assert!(!health.turn(100 * MS + GAP), "as late as a busy machine is");
    health.expect(500 * MS);
    assert!(health.turn(501 * MS + GAP));
    assert_eq!((health.patience(), health.gaps), (2, 1));
    let later = 502 * MS + GAP + DOUBT_FADES;
    health.expect(later);
    assert!(!health.turn(later));
    assert_eq!(health.patience(), 1);
    for n in 0..9 {
        health.doubt(n);
    }
    assert_eq!(health.patience(), u64::from(DOUBT_MAX));
}

#[test]
fn who_hears_nobody_accuses_nobody_until_the_others_must_be_dead() {
    let mut health = Health::new(0);
    assert!(health.may_accuse(799 * MS));
    assert!(!health.may_accuse(800 * MS) && !health.may_accuse(SILENT_MAX - 1));
    assert!(health.may_accuse(SILENT_MAX));
    health.heard(2_000 * MS);
    assert!(health.may_accuse(2_700 * MS));
    // After a stall the silence was its own.
    health.expect(3_000 * MS);
    health.turn(9_000 * MS);
    assert!(health.may_accuse(9_100 * MS));
}
