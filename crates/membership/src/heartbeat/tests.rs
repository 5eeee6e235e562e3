//! Tests of the selection of watchers and of heartbeat actions.

use super::*;

fn address(n: u8) -> SocketAddr {
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
        let mut monitor = HeartbeatMonitor::new(address(*n));
        let others: Vec<SocketAddr> = alive
            .iter()
            .filter(|m| *m != n)
            .map(|m| address(*m))
            .collect();
        monitor.update_selection(0, &others, |_| true);
        monitor
    };
    alive.iter().map(monitor).collect()
}

fn watchers_of(monitors: &[HeartbeatMonitor], n: u8) -> Vec<SocketAddr> {
    monitors
        .iter()
        .filter(|monitor| monitor.watches(address(n)))
        .map(|monitor| monitor.own)
        .collect()
}

#[test]
fn all_members_select_the_same_watchers_and_a_death_changes_few() {
    let alive: Vec<u8> = (1..=40).collect();
    let before = monitors(&alive);
    let after = monitors(&alive[1..]);
    let mut changed = 0;
    for n in 2..=40 {
        let mut watchers = before[usize::from(n) - 1].watchers.clone();
        watchers.sort();
        assert_eq!(
            watchers,
            watchers_of(&before, n),
            "member {n} and its watchers select the same watchers"
        );
        assert_eq!(watchers.len(), WATCHER_COUNT);
        changed += watchers_of(&after, n)
            .iter()
            .filter(|watcher| !watchers.contains(watcher))
            .count();
    }
    assert!(
        changed <= 3 * WATCHER_COUNT,
        "{changed} of {} watchers changed",
        39 * WATCHER_COUNT
    );
    assert_eq!(
        watchers_of(&monitors(&[1, 2, 3]), 3),
        [address(1), address(2)],
        "in a small fleet all others watch"
    );
}

#[test]
fn a_new_selection_keeps_the_silence_already_counted() {
    let mut monitor = HeartbeatMonitor::new(address(1));
    let alive: Vec<SocketAddr> = (2..=6).map(address).collect();
    monitor.update_selection(PROBE_AFTER, &alive, |_| false);
    // All members are silent from 500 ms on. Some are already suspected by other members, and
    // therefore missing from the selection.
    for (now, missing) in [(900, 2), (1_250, 3)] {
        monitor.update_selection(now * MS, &alive[missing..], |_| false);
    }
    let actions = monitor.due(1_401 * MS, policy(1, true), |_| 500 * MS);
    assert!(
        actions.contains(&HeartbeatAction::Suspect(address(6))),
        "{actions:?}"
    );
    assert!(
        !actions.contains(&HeartbeatAction::Suspect(address(2))),
        "missing from the selection, so not suspected by this member"
    );
}

#[test]
fn a_silent_member_is_probed_then_suspected_once_until_a_datagram_arrives() {
    let mut monitor = HeartbeatMonitor::new(address(1));
    monitor.update_selection(PROBE_AFTER, &[address(2)], |_| true);
    let mut due = |now: u64, multiplier, may_suspect, received: u64| {
        let policy = policy(multiplier, may_suspect);
        let mut actions = monitor.due(now * MS, policy, |_| received * MS);
        actions.retain(|action| !matches!(action, HeartbeatAction::SendHeartbeat(_)));
        actions
    };
    assert_eq!(due(499, 1, true, 0), []);
    assert_eq!(due(500, 1, true, 0), [HeartbeatAction::Probe(address(2))]);
    assert_eq!(due(599, 1, true, 0), []);
    assert_eq!(
        due(900, 2, true, 0),
        [HeartbeatAction::Probe(address(2))],
        "degraded local health"
    );
    assert_eq!(due(901, 1, false, 0), [], "isolated");
    assert_eq!(due(902, 1, true, 0), [HeartbeatAction::Suspect(address(2))]);
    assert_eq!(due(903, 1, true, 0), [], "already suspected");
    assert_eq!(due(1_400, 1, true, 1_000), []);
    assert_eq!(
        due(2_000, 1, true, 1_000),
        [
            HeartbeatAction::Probe(address(2)),
            HeartbeatAction::Suspect(address(2))
        ],
        "silent again"
    );
    monitor.restart(2_000 * MS);
    let actions = monitor.due(2_499 * MS, policy(1, true), |_| 0);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, HeartbeatAction::Probe(_))),
        "silence during the stall of this member must not count: {actions:?}"
    );
}
