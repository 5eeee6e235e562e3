//! Records that break each rule, and the same a little earlier, which do not.

use super::*;
use crate::soak::plan::draw;
use crate::soak::records::{ListChange, Notification, TimeSpan};

const S: Nanos = 1_000 * MS;

fn rules() -> CheckedRules {
    let drawn = draw(1, true).rules;
    let (grace, window, own_listeners) = (500 * MS, 600 * MS, 5);
    let (cold_from, overload_factor, capacity) = (0.1, 2.0, 10.0);
    let (tip_after, warm_after) = (S, 10 * S);
    CheckedRules {
        grace,
        window,
        own_listeners,
        slow_start_fraction: cold_from,
        overload_factor,
        capacity,
        overload_window: tip_after,
        slow_start_duration: warm_after,
        ..drawn
    }
}

fn asked(effect: RequestKind) -> RequestRecord {
    RequestRecord {
        id: "b0r0".into(),
        balancer: 0,
        generation: 0,
        kind: effect,
        sent: 2 * S,
        previous_answered: 0,
        first_on_connection: true,
        timeout: 400 * MS,
        closed: None,
        end: RequestEnd::Served,
        ended: 2 * S + 10 * MS,
    }
}

fn attempt(began: Nanos) -> AttemptRecord {
    let (id, over) = ("b0r0".into(), Some(began + 10 * MS));
    AttemptRecord {
        id,
        listener: 0,
        began,
        received: began,
        deadline_ms: 0,
        end: AttemptEnd::Ran,
        over,
    }
}

/// A request whose connection was reset.
fn reset_request() -> RequestRecord {
    RequestRecord {
        end: RequestEnd::Reset,
        ..asked(RequestKind::Safe)
    }
}

/// What the checker finds in one request and its attempts.
fn found(
    asked: RequestRecord,
    attempts: Vec<AttemptRecord>,
    with: impl FnOnce(&mut Records),
) -> Vec<&'static str> {
    let life = ProcessRecord {
        ready: Some(1),
        ..ProcessRecord::default()
    };
    let processes = vec![vec![life]];
    let mut records = Records {
        requests: vec![asked],
        attempts,
        processes,
        stalls: vec![Vec::new()],
        ..Records::default()
    };
    with(&mut records);
    check(&records, &rules())
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_request_needs_its_answer_in_time_unless_its_balancer_was_stalled() {
    let late = |ms: u64| RequestRecord {
        ended: 2 * S + (400 + ms) * MS,
        ..asked(RequestKind::Safe)
    };
    assert!(found(late(550), vec![], |_| {}).is_empty());
    assert_eq!(found(late(551), vec![], |_| {}), ["lost"]);
    let stalled = |records: &mut Records| {
        records.stalls[0].push(TimeSpan {
            from: 2 * S,
            to: 2 * S + 300 * MS,
        });
    };
    assert!(found(late(850), vec![], stalled).is_empty());
    assert_eq!(found(late(851), vec![], stalled), ["lost"]);
    let stalled_on = |records: &mut Records| {
        let spans = [(2_000, 2_900), (2_900, 4_000), (4_000, 5_000)];
        records.stalls[0].extend(spans.map(|(from, to)| TimeSpan {
            from: from * MS,
            to: to * MS,
        }));
    };
    assert!(found(late(3_550), vec![], stalled_on).is_empty());
    assert_eq!(found(late(3_551), vec![], stalled_on), ["lost"]);
}

#[test]
fn a_connection_that_ends_without_an_answer_loses_a_request_that_was_read() {
    for end in [RequestEnd::Never, RequestEnd::Closed, RequestEnd::Wrong] {
        assert_eq!(
            found(
                RequestRecord {
                    end,
                    ..asked(RequestKind::Safe)
                },
                vec![],
                |_| {}
            ),
            ["lost"],
            "{end:?}"
        );
    }
    let crossed = || RequestRecord {
        end: RequestEnd::Closed,
        first_on_connection: false,
        ..asked(RequestKind::Safe)
    };
    assert!(
        found(crossed(), vec![], |_| {}).is_empty(),
        "the balancer ended its sending between two requests"
    );
    assert_eq!(found(crossed(), vec![attempt(2 * S)], |_| {}), ["lost"]);
    assert!(
        found(reset_request(), vec![], |_| {}).is_empty(),
        "it was not read"
    );
    assert_eq!(
        found(reset_request(), vec![attempt(2 * S)], |_| {}),
        ["lost"],
        "it was forwarded"
    );
}

#[test]
fn a_killed_balancer_owes_no_answer_unless_it_was_asked_to_end_before() {
    let killed = |asked_to_end: Option<Nanos>| {
        move |records: &mut Records| {
            records.processes[0][0] = ProcessRecord {
                ready: Some(1),
                asked_to_end,
                killed: Some(2 * S),
                ..ProcessRecord::default()
            };
        }
    };
    assert!(found(reset_request(), vec![attempt(2 * S)], killed(None)).is_empty());
    assert_eq!(
        found(reset_request(), vec![attempt(2 * S)], killed(Some(S))),
        ["lost"],
        "it came 1 s behind the request to end"
    );
}

#[test]
fn no_attempt_begins_after_disconnect_or_with_more_than_the_remaining_time() {
    let left = || RequestRecord {
        closed: Some(2 * S),
        end: RequestEnd::Left,
        ..asked(RequestKind::Safe)
    };
    assert!(found(left(), vec![attempt(2 * S + 100 * MS)], |_| {}).is_empty());
    assert_eq!(
        found(left(), vec![attempt(2 * S + 101 * MS)], |_| {}),
        ["lost"]
    );
    let notified = |deadline_ms| AttemptRecord {
        deadline_ms,
        ..attempt(2 * S + 300 * MS)
    };
    assert!(found(asked(RequestKind::Safe), vec![notified(250)], |_| {}).is_empty());
    assert_eq!(
        found(asked(RequestKind::Safe), vec![notified(251)], |_| {}),
        ["lost"]
    );
}

#[test]
fn attempts_that_may_have_run_are_repeated_only_as_their_class_permits() {
    let twice = |effect, after: Nanos| {
        found(
            asked(effect),
            vec![attempt(2 * S), attempt(2 * S + after)],
            |_| {},
        )
    };
    assert!(twice(RequestKind::Safe, 5 * S).is_empty());
    assert!(twice(RequestKind::Keyed, 750 * MS).is_empty());
    assert_eq!(twice(RequestKind::Keyed, 751 * MS), ["duplicate"]);
    assert_eq!(twice(RequestKind::Unsafe, 20 * MS), ["duplicate"]);
    let turned_away = AttemptRecord {
        end: AttemptEnd::TurnedAway,
        ..attempt(2 * S)
    };
    let second = attempt(2 * S + 20 * MS);
    assert!(
        found(
            asked(RequestKind::Unsafe),
            vec![turned_away, second.clone()],
            |_| {}
        )
        .is_empty()
    );
    let open = AttemptRecord {
        over: None,
        ..attempt(2 * S)
    };
    assert_eq!(
        found(asked(RequestKind::Keyed), vec![open, second], |_| {}),
        ["duplicate"],
        "two are out"
    );
}

#[test]
fn a_draining_cache_gets_nothing_new_after_notification_and_grace() {
    let drain = |written: Option<Nanos>, down: Option<TimeSpan>| {
        move |records: &mut Records| {
            let (version, at, caches) = (7, S, vec![0]);
            records.changes.push(ListChange {
                version,
                at,
                caches,
                state: CacheState::Draining,
            });
            records.notifications.extend(written.map(|at| Notification {
                balancer: 0,
                version,
                at,
            }));
            records.discovery_outages.extend(down);
        }
    };
    let late = |began, with: Box<dyn FnOnce(&mut Records)>| {
        let asked = RequestRecord {
            sent: began,
            ended: began,
            ..asked(RequestKind::Safe)
        };
        found(asked, vec![attempt(began)], with)
    };
    let notified = Some(2 * S);
    assert!(late(2 * S + 550 * MS, Box::new(drain(notified, None))).is_empty());
    assert_eq!(
        late(2 * S + 551 * MS, Box::new(drain(notified, None))),
        ["drain"]
    );
    assert!(late(7 * S + 550 * MS, Box::new(drain(None, None))).is_empty());
    assert_eq!(
        late(7 * S + 551 * MS, Box::new(drain(None, None))),
        ["drain"],
        "told at the latest 6 s later"
    );
    let down = Some(TimeSpan {
        from: S / 2,
        to: 3 * S,
    });
    assert!(late(9 * S + 550 * MS, Box::new(drain(None, down))).is_empty());
    assert_eq!(
        late(9 * S + 551 * MS, Box::new(drain(None, down))),
        ["drain"],
        "6 s after it could be reached"
    );
}

#[test]
fn a_cold_cache_gets_no_more_than_slow_start_allows_over_all_balancers() {
    let rules = rules();
    let most = rules.allowed(0.0) as usize;
    let cold = |records: &mut Records| {
        let (version, at, caches) = (7, 2 * S, vec![0]);
        records.changes.push(ListChange {
            version,
            at,
            caches,
            state: CacheState::Up { born_ms: 1 },
        });
        records.notifications.push(Notification {
            balancer: 0,
            version,
            at,
        });
    };
    let burst = |count| (0..count).map(|_| attempt(2 * S + MS)).collect();
    assert!(found(asked(RequestKind::Safe), burst(most), cold).is_empty());
    assert_eq!(
        found(asked(RequestKind::Safe), burst(most + 2), cold),
        ["failback"]
    );
}

#[test]
fn a_process_must_not_exit_by_itself_and_has_to_be_ready_in_time() {
    let life = |life: ProcessRecord| move |records: &mut Records| records.processes[0][0] = life;
    let crashed = ProcessRecord {
        ready: Some(1),
        ended: Some((S, false)),
        ..ProcessRecord::default()
    };
    assert_eq!(
        found(asked(RequestKind::Safe), vec![], life(crashed)),
        ["crash"]
    );
    let late = ProcessRecord {
        ready: Some(7 * S),
        ..ProcessRecord::default()
    };
    assert_eq!(
        found(asked(RequestKind::Safe), vec![], life(late)),
        ["ready"]
    );
}
