//! Tests of `watch`.

use super::*;

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}

fn all(living: &[u8]) -> Vec<Watch> {
    let watch = |n: &u8| {
        let mut watch = Watch::new(at(*n));
        let others: Vec<SocketAddr> = living.iter().filter(|m| *m != n).map(|m| at(*m)).collect();
        watch.draw(0, &others, |_| true);
        watch
    };
    living.iter().map(watch).collect()
}

fn watchers_of(watches: &[Watch], n: u8) -> Vec<SocketAddr> {
    watches
        .iter()
        .filter(|w| w.watches(at(n)))
        .map(|w| w.own)
        .collect()
}

#[test]
fn all_name_the_same_few_watchers_and_a_death_moves_few() {
    let living: Vec<u8> = (1..=40).collect();
    let before = all(&living);
    let after = all(&living[1..]);
    let mut moved = 0;
    for n in 2..=40 {
        let mut named = before[usize::from(n) - 1].watchers.clone();
        named.sort();
        assert_eq!(
            named,
            watchers_of(&before, n),
            "the watched and the watchers agree on {n}"
        );
        assert_eq!(named.len(), WATCHERS);
        moved += watchers_of(&after, n)
            .iter()
            .filter(|w| !named.contains(w))
            .count();
    }
    assert!(moved <= 3 * WATCHERS, "{moved} of {} moved", 39 * WATCHERS);
    assert_eq!(
        watchers_of(&all(&[1, 2, 3]), 3),
        [at(1), at(2)],
        "where they are few all watch"
    );
}

#[test]
fn a_draw_for_the_sake_of_others_leaves_the_silence_that_was_counted() {
    let mut mine = Watch::new(at(1));
    let living: Vec<SocketAddr> = (2..=6).map(at).collect();
    mine.draw(QUIET, &living, |_| false);
    // All are silent from 500 ms on; some are suspect for others already, and gone from the draw.
    for (now, gone) in [(900, 2), (1_250, 3)] {
        mine.draw(now * MS, &living[gone..], |_| false);
    }
    let steps = mine.due(1_401 * MS, 1, true, |_| 500 * MS);
    assert!(steps.contains(&Step::Suspect(at(6))), "{steps:?}");
    assert!(
        !steps.contains(&Step::Suspect(at(2))),
        "gone from the draw, and no suspect of this one"
    );
}

#[test]
fn a_silent_member_is_asked_then_suspected_once_and_a_word_ends_it() {
    let mut mine = Watch::new(at(1));
    mine.draw(QUIET, &[at(2)], |_| true);
    let mut due = |now: u64, patience, may, heard: u64| {
        let mut steps = mine.due(now * MS, patience, may, |_| heard * MS);
        steps.retain(|step| !matches!(step, Step::Beat(_)));
        steps
    };
    assert_eq!(due(499, 1, true, 0), []);
    assert_eq!(due(500, 1, true, 0), [Step::Ask(at(2))]);
    assert_eq!(due(599, 1, true, 0), []);
    assert_eq!(
        due(900, 2, true, 0),
        [Step::Ask(at(2))],
        "in doubt of itself"
    );
    assert_eq!(due(901, 1, false, 0), [], "cut off itself");
    assert_eq!(due(902, 1, true, 0), [Step::Suspect(at(2))]);
    assert_eq!(due(903, 1, true, 0), [], "said once");
    assert_eq!(due(1_400, 1, true, 1_000), []);
    assert_eq!(
        due(2_000, 1, true, 1_000),
        [Step::Ask(at(2)), Step::Suspect(at(2))],
        "silent again"
    );
    mine.begin_anew(2_000 * MS);
    let steps = mine.due(2_499 * MS, 1, true, |_| 0);
    assert!(
        !steps.iter().any(|s| matches!(s, Step::Ask(_))),
        "the silence was its own: {steps:?}"
    );
}
