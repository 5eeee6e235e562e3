//! What a process does once it sees the other one.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

impl HotRestart {
    fn check(
        &mut self,
        now: Nanos,
        other: Option<OtherProcess>,
        has_transfer: bool,
        is_serving: bool,
    ) -> HotRestartActions {
        let observation = Observation {
            other,
            has_transfer,
            is_serving,
        };
        self.observe(now, observation)
    }
}

fn other(process: &str, ready: bool) -> Option<OtherProcess> {
    Some(OtherProcess {
        process: process.into(),
        ready,
    })
}

#[test]
fn a_new_process_awaits_state_but_not_for_long_nor_from_a_dead_one() {
    let there = |s: &mut HotRestart| s.check(1, other("a", true), true, false);
    let late = |s: &mut HotRestart| s.check(TRANSFER_TIMEOUT, other("a", true), false, false);
    let dead = |s: &mut HotRestart| s.check(1, None, false, false);
    for (end, beside) in [
        (
            &there as &dyn Fn(&mut HotRestart) -> HotRestartActions,
            true,
        ),
        (&late, true),
        (&dead, false),
    ] {
        let mut process = HotRestart::new();
        let first = process.check(0, other("a", true), false, false);
        assert_eq!(
            first,
            HotRestartActions {
                apply_limits: true,
                ..HotRestartActions::default()
            }
        );
        assert!(process.awaits_state() && process.check_interval() == TRANSFER_CHECK_INTERVAL);
        assert!(
            !process
                .check(TRANSFER_TIMEOUT - 1, other("a", true), false, false)
                .read_state
        );
        assert!(end(&mut process).read_state);
        assert_eq!(
            (process.awaits_state(), process.has_other()),
            (false, beside)
        );
        assert!(
            !process
                .check(2 * TRANSFER_TIMEOUT, other("a", true), true, false)
                .read_state,
            "only once"
        );
    }
}

#[test]
fn a_process_alone_or_beside_one_that_never_served_awaits_nothing() {
    for found in [None, other("a", false)] {
        let mut process = HotRestart::new();
        assert!(!process.check(0, found, false, false).read_state);
        assert!(!process.awaits_state());
    }
}

#[test]
fn a_serving_process_writes_state_once_for_each_new_one() {
    let mut process = HotRestart::new();
    assert_eq!(
        process.check(0, None, false, true),
        HotRestartActions::default()
    );
    let actions = process.check(1, other("b", false), false, true);
    assert_eq!(
        actions,
        HotRestartActions {
            apply_limits: true,
            write_state_for: Some("b".into()),
            read_state: false
        }
    );
    assert_eq!(
        process.check(2, other("b", false), false, true),
        HotRestartActions::default()
    );
    assert!(!process.other_serves());
    assert_eq!(
        process.check(3, other("b", true), false, true),
        HotRestartActions::default()
    );
    assert!(process.other_serves());
    // It was killed, and another one started.
    assert!(process.check(4, None, false, true).apply_limits && !process.has_other());
    assert_eq!(
        process
            .check(5, other("c", false), false, true)
            .write_state_for,
        Some("c".into())
    );
    let mut idle = HotRestart::new();
    assert_eq!(
        idle.check(0, other("c", false), false, false)
            .write_state_for,
        None,
        "it serves no clients"
    );
}

#[test]
fn state_is_neither_written_for_nor_ruled_out_from_a_process_whose_slot_can_not_be_read_yet() {
    // The old process checks when the new one has its slot and has not written its name.
    let mut old = HotRestart::new();
    old.check(0, None, false, true);
    assert_eq!(
        old.check(1, other("", false), false, true),
        HotRestartActions {
            apply_limits: true,
            ..HotRestartActions::default()
        }
    );
    assert_eq!(
        old.check(2, other("b", false), false, true).write_state_for,
        Some("b".into())
    );
    // The new process checks when the old one rewrites its slot.
    let mut new = HotRestart::new();
    new.check(0, other("", false), false, false);
    assert!(new.awaits_state());
    assert!(new.check(1, other("a", true), true, false).read_state);
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default()
    })]
    #[test]
    fn whatever_is_observed_no_process_waits_for_long_or_writes_twice(
        seen in prop::collection::vec(
            (prop::option::of((0..3u8, any::<bool>())), any::<bool>(), any::<bool>()),
            1..40,
        ),
    ) {
        let mut process = HotRestart::new();
        let (mut beside, mut went_on, mut last) = (false, 0, None);
        for (turn, (who, there, serves)) in seen.into_iter().enumerate() {
            let now = turn as Nanos * CHECK_INTERVAL;
            let other = who.map(|(name, ready)| OtherProcess { process: name.to_string(), ready });
            let actions = process.check(now, other.clone(), there, serves);
            let has_changed = other.is_some() != beside;
            prop_assert_eq!(
                actions.apply_limits, has_changed, "limits follow whether the other lives"
            );
            beside = other.is_some();
            went_on += u32::from(actions.read_state);
            prop_assert!(!process.awaits_state() || now < TRANSFER_TIMEOUT && beside);
            if let Some(to) = actions.write_state_for {
                prop_assert!(serves && last.as_ref() != Some(&to), "written twice in a row");
                prop_assert_eq!(other, Some(OtherProcess { process: to.clone(), ready: false }));
                last = Some(to);
            }
        }
        prop_assert!(went_on <= 1);
    }
}
