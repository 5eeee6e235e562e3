//! Tests of suspicion timers.

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

fn suspects(list: &[(u8, u16)]) -> BTreeMap<SocketAddr, Suspect> {
    list.iter()
        .map(|(n, incarnation)| (id(*n).address, suspect(*n, *incarnation)))
        .collect()
}

#[test]
fn a_watcher_probes_and_confirms_after_the_timeout_and_other_members_after_three_timeouts() {
    let mut timers = SuspicionTimers::new(1_000 * MS);
    timers.update(0, &suspects(&[(1, 7), (2, 0)]));
    let mut due = |now: u64| {
        timers.due(
            now * MS,
            policy(1, true),
            |address| address == id(1).address,
            |_| 0,
        )
    };
    assert_eq!(due(0), [SuspicionAction::Probe(suspect(1, 7))]);
    assert_eq!(due(99), []);
    assert_eq!(due(1_000), [SuspicionAction::ConfirmDead(suspect(1, 7))]);
    assert_eq!(due(2_999), []);
    assert_eq!(due(3_000), [SuspicionAction::ConfirmDead(suspect(2, 0))]);
    assert_eq!((timers.started, timers.confirmed_dead), (2, 2));
}

#[test]
fn a_datagram_a_stall_or_degraded_health_delays_a_confirmation_and_a_refutation_prevents_it() {
    let mut timers = SuspicionTimers::new(1_000 * MS);
    timers.update(0, &suspects(&[(1, 7)]));
    let confirms =
        |timers: &mut SuspicionTimers, now: u64, multiplier, may_suspect, received: u64| {
            let policy = policy(multiplier, may_suspect);
            let actions = timers.due(now * MS, policy, |_| true, |_| received * MS);
            actions
                .iter()
                .any(|action| matches!(action, SuspicionAction::ConfirmDead(..)))
        };
    assert!(
        !confirms(&mut timers, 1_500, 1, true, 501),
        "a datagram was received since"
    );
    assert!(
        !confirms(&mut timers, 1_999, 2, true, 0),
        "degraded local health"
    );
    assert!(!confirms(&mut timers, 5_000, 1, false, 0), "isolated");
    timers.restart(5_000 * MS);
    assert!(
        !confirms(&mut timers, 5_999, 1, true, 0),
        "the timer restarts after a stall"
    );
    timers.update(5_999 * MS, &suspects(&[(1, 8)]));
    assert!(
        !confirms(&mut timers, 6_900, 1, true, 0),
        "the timer restarts for a suspicion of a new incarnation"
    );
    timers.update(6_950 * MS, &suspects(&[]));
    assert!(!confirms(&mut timers, 99_000, 1, true, 0));
}
