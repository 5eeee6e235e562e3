//! Tests of `heartbeat`.

use super::*;

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 1))
}

fn policy(timeout_multiplier: u64, may_suspect: bool) -> SuspicionPolicy {
    SuspicionPolicy {
        timeout_multiplier,
        may_suspect,
    }
}

fn monitors(alive: &[u8]) -> Vec<HeartbeatMonitor> {
    let monitor = |n: &u8| {
        let mut monitor = HeartbeatMonitor::new(at(*n));
        let others: Vec<SocketAddr> = alive.iter().filter(|m| *m != n).map(|m| at(*m)).collect();
        monitor.draw(0, &others, |_| true);
        monitor
    };
    alive.iter().map(monitor).collect()
}

fn watchers_of(monitors: &[HeartbeatMonitor], n: u8) -> Vec<SocketAddr> {
    monitors
        .iter()
        .filter(|w| w.watches(at(n)))
        .map(|w| w.own)
        .collect()
}

#[test]
fn all_members_draw_the_same_watchers_and_a_death_moves_few() {
    let alive: Vec<u8> = (1..=40).collect();
    let before = monitors(&alive);
    let after = monitors(&alive[1..]);
    let mut moved = 0;
    for n in 2..=40 {
        let mut watchers = before[usize::from(n) - 1].watchers.clone();
        watchers.sort();
        assert_eq!(
            watchers,
            watchers_of(&before, n),
            "both sides agree on the watchers of {n}"
        );
        assert_eq!(watchers.len(), WATCHERS);
        moved += watchers_of(&after, n)
            .iter()
            .filter(|w| !watchers.contains(w))
            .count();
    }
    assert!(moved <= 3 * WATCHERS, "{moved} of {} moved", 39 * WATCHERS);
    assert_eq!(
        watchers_of(&monitors(&[1, 2, 3]), 3),
        [at(1), at(2)],
        "in a small fleet all watch"
    );
}

#[test]
fn a_new_draw_keeps_the_silence_already_counted() {
    let mut mine = HeartbeatMonitor::new(at(1));
    let alive: Vec<SocketAddr> = (2..=6).map(at).collect();
    mine.draw(PROBE_AFTER, &alive, |_| false);
    // All are silent from 500 ms on; some are suspect elsewhere already, and missing from the draw.
    for (now, gone) in [(900, 2), (1_250, 3)] {
        mine.draw(now * MS, &alive[gone..], |_| false);
    }
    let actions = mine.due(1_401 * MS, policy(1, true), |_| 500 * MS);
    assert!(
        actions.contains(&HeartbeatAction::Suspect(at(6))),
        "{actions:?}"
    );
    assert!(
        !actions.contains(&HeartbeatAction::Suspect(at(2))),
        "missing from the draw, and not suspected here"
    );
}

#[test]
fn a_silent_member_is_probed_then_suspected_once_until_it_is_heard() {
    let mut mine = HeartbeatMonitor::new(at(1));
    mine.draw(PROBE_AFTER, &[at(2)], |_| true);
    let mut due = |now: u64, multiplier, may_suspect, heard: u64| {
        let policy = policy(multiplier, may_suspect);
        let mut actions = mine.due(now * MS, policy, |_| heard * MS);
        actions.retain(|action| !matches!(action, HeartbeatAction::SendHeartbeat(_)));
        actions
    };
    assert_eq!(due(499, 1, true, 0), []);
    assert_eq!(due(500, 1, true, 0), [HeartbeatAction::Probe(at(2))]);
    assert_eq!(due(599, 1, true, 0), []);
    assert_eq!(
        due(900, 2, true, 0),
        [HeartbeatAction::Probe(at(2))],
        "degraded local health"
    );
    assert_eq!(due(901, 1, false, 0), [], "isolated");
    assert_eq!(due(902, 1, true, 0), [HeartbeatAction::Suspect(at(2))]);
    assert_eq!(due(903, 1, true, 0), [], "suspected once");
    assert_eq!(due(1_400, 1, true, 1_000), []);
    assert_eq!(
        due(2_000, 1, true, 1_000),
        [
            HeartbeatAction::Probe(at(2)),
            HeartbeatAction::Suspect(at(2))
        ],
        "silent again"
    );
    mine.restart(2_000 * MS);
    let actions = mine.due(2_499 * MS, policy(1, true), |_| 0);
    assert!(
        !actions
            .iter()
            .any(|s| matches!(s, HeartbeatAction::Probe(_))),
        "the silence was the stall's: {actions:?}"
    );
}
