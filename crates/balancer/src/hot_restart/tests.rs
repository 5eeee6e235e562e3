//! Tests of `hand_over`.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn other(process: &str, ready: bool) -> Option<OtherProcess> {
    Some(OtherProcess {
        process: process.into(),
        ready,
    })
}

#[test]
fn a_newcomer_waits_for_its_notes_but_not_for_long_nor_for_the_dead() {
    let there = |s: &mut HotRestart| s.look(1, other("a", true), true, false);
    let late = |s: &mut HotRestart| s.look(NOTES_WAIT, other("a", true), false, false);
    let dead = |s: &mut HotRestart| s.look(1, None, false, false);
    for (end, beside) in [
        (
            &there as &dyn Fn(&mut HotRestart) -> HotRestartActions,
            true,
        ),
        (&late, true),
        (&dead, false),
    ] {
        let mut hand_over = HotRestart::new();
        let first = hand_over.look(0, other("a", true), false, false);
        assert_eq!(
            first,
            HotRestartActions {
                split: true,
                ..HotRestartActions::default()
            }
        );
        assert!(hand_over.waits() && hand_over.next_look() == LOOK_FOR_NOTES);
        assert!(
            !hand_over
                .look(NOTES_WAIT - 1, other("a", true), false, false)
                .go_on
        );
        assert!(end(&mut hand_over).go_on);
        assert_eq!((hand_over.waits(), hand_over.is_beside()), (false, beside));
        assert!(
            !hand_over
                .look(2 * NOTES_WAIT, other("a", true), true, false)
                .go_on,
            "only once"
        );
    }
}

#[test]
fn who_is_alone_or_beside_one_that_never_served_waits_for_nothing() {
    for found in [None, other("a", false)] {
        let mut hand_over = HotRestart::new();
        assert!(!hand_over.look(0, found, false, false).go_on);
        assert!(!hand_over.waits());
    }
}

#[test]
fn who_serves_writes_notes_once_for_each_newcomer() {
    let mut hand_over = HotRestart::new();
    assert_eq!(
        hand_over.look(0, None, false, true),
        HotRestartActions::default()
    );
    let todo = hand_over.look(1, other("b", false), false, true);
    assert_eq!(
        todo,
        HotRestartActions {
            split: true,
            write_notes_for: Some("b".into()),
            go_on: false
        }
    );
    assert_eq!(
        hand_over.look(2, other("b", false), false, true),
        HotRestartActions::default()
    );
    assert!(!hand_over.other_serves());
    assert_eq!(
        hand_over.look(3, other("b", true), false, true),
        HotRestartActions::default()
    );
    assert!(hand_over.other_serves());
    // It was killed, and another one came.
    assert!(hand_over.look(4, None, false, true).split && !hand_over.is_beside());
    assert_eq!(
        hand_over
            .look(5, other("c", false), false, true)
            .write_notes_for,
        Some("c".into())
    );
    let mut idle = HotRestart::new();
    assert_eq!(
        idle.look(0, other("c", false), false, false)
            .write_notes_for,
        None,
        "it serves nobody"
    );
}

#[test]
fn one_whose_seat_can_not_be_read_yet_is_neither_written_to_nor_taken_for_one_that_never_served() {
    // The old one looks when the newcomer has its seat and has not written its name.
    let mut old = HotRestart::new();
    old.look(0, None, false, true);
    assert_eq!(
        old.look(1, other("", false), false, true),
        HotRestartActions {
            split: true,
            ..HotRestartActions::default()
        }
    );
    assert_eq!(
        old.look(2, other("b", false), false, true).write_notes_for,
        Some("b".into())
    );
    // The newcomer looks when the old one writes its seat anew.
    let mut new = HotRestart::new();
    new.look(0, other("", false), false, false);
    assert!(new.waits());
    assert!(new.look(1, other("a", true), true, false).go_on);
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default()
    })]
    #[test]
    fn whatever_is_seen_nobody_waits_for_long_or_writes_twice(
        seen in prop::collection::vec((prop::option::of((0..3u8, any::<bool>())), any::<bool>(), any::<bool>()), 1..40),
    ) {
        let mut hand_over = HotRestart::new();
        let (mut beside, mut went_on, mut last) = (false, 0, None);
        for (turn, (who, there, serves)) in seen.into_iter().enumerate() {
            let now = turn as Nanos * LOOK;
            let other = who.map(|(name, ready)| OtherProcess { process: name.to_string(), ready });
            let todo = hand_over.look(now, other.clone(), there, serves);
            prop_assert_eq!(todo.split, other.is_some() != beside, "limits follow whether the other lives");
            beside = other.is_some();
            went_on += u32::from(todo.go_on);
            prop_assert!(!hand_over.waits() || now < NOTES_WAIT && beside);
            if let Some(to) = todo.write_notes_for {
                prop_assert!(serves && last.as_ref() != Some(&to), "written twice in a row");
                prop_assert_eq!(other, Some(OtherProcess { process: to.clone(), ready: false }));
                last = Some(to);
            }
        }
        prop_assert!(went_on <= 1);
    }
}
