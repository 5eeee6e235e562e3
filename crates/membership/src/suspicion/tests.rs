//! Tests of `suspicion`.

use super::*;
use crate::MS;

fn id(n: u8) -> Identity {
    Identity {
        address: SocketAddr::from(([127, 0, 0, n], 1)),
        generation: 1,
    }
}

fn policy(timeout_multiplier: u64, may_suspect: bool) -> SuspicionPolicy {
    SuspicionPolicy {
        timeout_multiplier,
        may_suspect,
    }
}

fn suspect(n: u8, incarnation: u16) -> Suspect {
    Suspect {
        id: id(n),
        incarnation,
    }
}

fn suspects(of: &[(u8, u16)]) -> BTreeMap<SocketAddr, Suspect> {
    of.iter()
        .map(|(n, incarnation)| (id(*n).address, suspect(*n, *incarnation)))
        .collect()
}

#[test]
fn a_watcher_probes_and_confirms_after_the_timeout_and_others_after_three() {
    let mut mine = SuspicionTimers::new(1_000 * MS);
    mine.update(0, &suspects(&[(1, 7), (2, 0)]));
    let mut due = |now: u64| mine.due(now * MS, policy(1, true), |a| a == id(1).address, |_| 0);
    assert_eq!(due(0), [SuspicionAction::Probe(suspect(1, 7))]);
    assert_eq!(due(99), []);
    assert_eq!(due(1_000), [SuspicionAction::ConfirmDead(suspect(1, 7))]);
    assert_eq!(due(2_999), []);
    assert_eq!(due(3_000), [SuspicionAction::ConfirmDead(suspect(2, 0))]);
    assert_eq!((mine.begun, mine.confirmed_dead), (2, 2));
}

#[test]
fn a_datagram_a_stall_or_poor_health_delay_a_suspicion_and_a_refutation_ends_it() {
    let mut mine = SuspicionTimers::new(1_000 * MS);
    mine.update(0, &suspects(&[(1, 7)]));
    let confirms = |mine: &mut SuspicionTimers, now: u64, multiplier, may_suspect, heard: u64| {
        let policy = policy(multiplier, may_suspect);
        let actions = mine.due(now * MS, policy, |_| true, |_| heard * MS);
        actions
            .iter()
            .any(|s| matches!(s, SuspicionAction::ConfirmDead(..)))
    };
    assert!(!confirms(&mut mine, 1_500, 1, true, 501), "heard since");
    assert!(
        !confirms(&mut mine, 1_999, 2, true, 0),
        "degraded local health"
    );
    assert!(!confirms(&mut mine, 5_000, 1, false, 0), "isolated");
    mine.restart(5_000 * MS);
    assert!(!confirms(&mut mine, 5_999, 1, true, 0), "stalled until 5 s");
    mine.update(5_999 * MS, &suspects(&[(1, 8)]));
    assert!(
        !confirms(&mut mine, 6_900, 1, true, 0),
        "refuted once, and suspect again"
    );
    mine.update(6_950 * MS, &suspects(&[]));
    assert!(!confirms(&mut mine, 99_000, 1, true, 0));
}
