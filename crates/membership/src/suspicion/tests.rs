//! Tests of `suspicion`.

use super::*;
use crate::MS;

fn id(n: u8) -> Identity {
    Identity {
        address: SocketAddr::from(([127, 0, 0, n], 1)),
        generation: 1,
    }
}

fn suspects(of: &[(u8, u16)]) -> BTreeMap<SocketAddr, (Identity, u16)> {
    of.iter()
        .map(|(n, incarnation)| (id(*n).address, (id(*n), *incarnation)))
        .collect()
}

#[test]
fn a_watcher_asks_and_gives_up_after_its_time_and_others_after_three() {
    let mut mine = Suspicions::new(1_000 * MS);
    mine.hold(0, &suspects(&[(1, 7), (2, 0)]));
    let mut due = |now: u64| mine.due(now * MS, 1, true, |a| a == id(1).address, |_| 0);
    assert_eq!(due(0), [Step::Ask(id(1), 7)]);
    assert_eq!(due(99), []);
    assert_eq!(due(1_000), [Step::GiveUp(id(1), 7)]);
    assert_eq!(due(2_999), []);
    assert_eq!(due(3_000), [Step::GiveUp(id(2), 0)]);
    assert_eq!((mine.begun, mine.given_up), (2, 2));
}

#[test]
fn a_word_a_stall_or_doubt_put_it_off_and_a_refutation_ends_it() {
    let mut mine = Suspicions::new(1_000 * MS);
    mine.hold(0, &suspects(&[(1, 7)]));
    let gives_up = |mine: &mut Suspicions, now: u64, patience, may, heard: u64| {
        let steps = mine.due(now * MS, patience, may, |_| true, |_| heard * MS);
        steps.iter().any(|s| matches!(s, Step::GiveUp(..)))
    };
    assert!(!gives_up(&mut mine, 1_500, 1, true, 501), "heard since");
    assert!(
        !gives_up(&mut mine, 1_999, 2, true, 0),
        "in doubt of itself"
    );
    assert!(!gives_up(&mut mine, 5_000, 1, false, 0), "cut off itself");
    mine.begin_anew(5_000 * MS);
    assert!(
        !gives_up(&mut mine, 5_999, 1, true, 0),
        "stood still until 5 s"
    );
    mine.hold(5_999 * MS, &suspects(&[(1, 8)]));
    assert!(
        !gives_up(&mut mine, 6_900, 1, true, 0),
        "refuted once, and suspect anew"
    );
    mine.hold(6_950 * MS, &suspects(&[]));
    assert!(!gives_up(&mut mine, 99_000, 1, true, 0));
}
