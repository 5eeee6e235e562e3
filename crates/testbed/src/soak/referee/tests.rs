//! Records that break each rule, and the same a little earlier, which do not.

use super::*;
use crate::soak::draw::draw;
use crate::soak::records::{Change, Span, Told};

const S: Time = 1_000 * MS;

fn rules() -> Rules {
    let drawn = draw(1, true).rules;
    let (grace, window, own_listeners) = (500 * MS, 600 * MS, 5);
    let (cold_from, overload_factor, capacity) = (0.1, 2.0, 10.0);
    let (tip_after, warm_after) = (S, 10 * S);
    Rules {
        grace,
        window,
        own_listeners,
        cold_from,
        overload_factor,
        capacity,
        tip_after,
        warm_after,
        ..drawn
    }
}

fn asked(effect: Effect) -> Asked {
    Asked {
        id: "b0r0".into(),
        balancer: 0,
        life: 0,
        effect,
        sent: 2 * S,
        behind: 0,
        fresh: true,
        patience: 400 * MS,
        closed: None,
        end: End::Served,
        ended: 2 * S + 10 * MS,
    }
}

fn attempt(began: Time) -> Attempt {
    let (id, over) = ("b0r0".into(), Some(began + 10 * MS));
    Attempt {
        id,
        listener: 0,
        began,
        whole: began,
        told_ms: 0,
        end: AttemptEnd::Ran,
        over,
    }
}

/// What the referee finds in one request and its attempts.
fn found(
    asked: Asked,
    attempts: Vec<Attempt>,
    with: impl FnOnce(&mut Records),
) -> Vec<&'static str> {
    let life = Life {
        ready: Some(1),
        ..Life::default()
    };
    let lives = vec![vec![life]];
    let mut records = Records {
        asked: vec![asked],
        attempts,
        lives,
        stops: vec![Vec::new()],
        ..Records::default()
    };
    with(&mut records);
    judge(&records, &rules())
        .into_iter()
        .map(|breach| breach.rule)
        .collect()
}

#[test]
fn a_request_must_get_its_answer_in_time_unless_the_trial_held_its_balancer_up_or_killed_it() {
    let late = |ms: u64| Asked {
        ended: 2 * S + (400 + ms) * MS,
        ..asked(Effect::Safe)
    };
    assert!(found(late(550), vec![], |_| {}).is_empty());
    assert_eq!(found(late(551), vec![], |_| {}), ["lost"]);
    let held = |records: &mut Records| {
        records.stops[0].push(Span {
            from: 2 * S,
            to: 2 * S + 300 * MS,
        })
    };
    assert!(found(late(850), vec![], held).is_empty());
    assert_eq!(found(late(851), vec![], held), ["lost"]);
    let held_on = |records: &mut Records| {
        let spans = [(2_000, 2_900), (2_900, 4_000), (4_000, 5_000)];
        records.stops[0].extend(spans.map(|(from, to)| Span {
            from: from * MS,
            to: to * MS,
        }));
    };
    assert!(found(late(3_550), vec![], held_on).is_empty());
    assert_eq!(found(late(3_551), vec![], held_on), ["lost"]);
    for end in [End::Never, End::Closed, End::Wrong] {
        assert_eq!(
            found(
                Asked {
                    end,
                    ..asked(Effect::Safe)
                },
                vec![],
                |_| {}
            ),
            ["lost"],
            "{end:?}"
        );
    }
    let crossed = || Asked {
        end: End::Closed,
        fresh: false,
        ..asked(Effect::Safe)
    };
    assert!(
        found(crossed(), vec![], |_| {}).is_empty(),
        "the balancer ended its sending between two requests"
    );
    assert_eq!(found(crossed(), vec![attempt(2 * S)], |_| {}), ["lost"]);
    let reset = || Asked {
        end: End::Reset,
        ..asked(Effect::Safe)
    };
    assert!(found(reset(), vec![], |_| {}).is_empty(), "it was not read");
    assert_eq!(
        found(reset(), vec![attempt(2 * S)], |_| {}),
        ["lost"],
        "it was forwarded"
    );
    let killed = |asked_to_end: Option<Time>| {
        move |records: &mut Records| {
            records.lives[0][0] = Life {
                ready: Some(1),
                asked_to_end,
                killed: Some(2 * S),
                ..Life::default()
            };
        }
    };
    assert!(found(reset(), vec![attempt(2 * S)], killed(None)).is_empty());
    assert_eq!(
        found(reset(), vec![attempt(2 * S)], killed(Some(S))),
        ["lost"],
        "it came 1 s behind the request to end"
    );
}

#[test]
fn nothing_begins_for_who_has_closed_or_is_told_more_than_is_left() {
    let left = || Asked {
        closed: Some(2 * S),
        end: End::Left,
        ..asked(Effect::Safe)
    };
    assert!(found(left(), vec![attempt(2 * S + 100 * MS)], |_| {}).is_empty());
    assert_eq!(
        found(left(), vec![attempt(2 * S + 101 * MS)], |_| {}),
        ["lost"]
    );
    let told = |told_ms| Attempt {
        told_ms,
        ..attempt(2 * S + 300 * MS)
    };
    assert!(found(asked(Effect::Safe), vec![told(250)], |_| {}).is_empty());
    assert_eq!(
        found(asked(Effect::Safe), vec![told(251)], |_| {}),
        ["lost"]
    );
}

#[test]
fn what_may_have_run_is_repeated_only_as_its_class_permits() {
    let twice = |effect, after: Time| {
        found(
            asked(effect),
            vec![attempt(2 * S), attempt(2 * S + after)],
            |_| {},
        )
    };
    assert!(twice(Effect::Safe, 5 * S).is_empty());
    assert!(twice(Effect::Keyed, 750 * MS).is_empty());
    assert_eq!(twice(Effect::Keyed, 751 * MS), ["duplicate"]);
    assert_eq!(twice(Effect::Unsafe, 20 * MS), ["duplicate"]);
    let turned_away = Attempt {
        end: AttemptEnd::TurnedAway,
        ..attempt(2 * S)
    };
    let second = attempt(2 * S + 20 * MS);
    assert!(
        found(
            asked(Effect::Unsafe),
            vec![turned_away, second.clone()],
            |_| {}
        )
        .is_empty()
    );
    let open = Attempt {
        over: None,
        ..attempt(2 * S)
    };
    assert_eq!(
        found(asked(Effect::Keyed), vec![open, second], |_| {}),
        ["duplicate"],
        "two are out"
    );
}

#[test]
fn a_cache_that_drains_gets_nothing_new_once_that_was_told_and_its_grace_is_over() {
    let drain = |written: Option<Time>, down: Option<Span>| {
        move |records: &mut Records| {
            let (version, at, caches) = (7, S, vec![0]);
            records.changes.push(Change {
                version,
                at,
                caches,
                state: CacheState::Draining,
            });
            records.told.extend(written.map(|at| Told {
                balancer: 0,
                version,
                at,
            }));
            records.down.extend(down);
        }
    };
    let late = |began, with: Box<dyn FnOnce(&mut Records)>| {
        let asked = Asked {
            sent: began,
            ended: began,
            ..asked(Effect::Safe)
        };
        found(asked, vec![attempt(began)], with)
    };
    let told = Some(2 * S);
    assert!(late(2 * S + 550 * MS, Box::new(drain(told, None))).is_empty());
    assert_eq!(
        late(2 * S + 551 * MS, Box::new(drain(told, None))),
        ["drain"]
    );
    assert!(late(7 * S + 550 * MS, Box::new(drain(None, None))).is_empty());
    assert_eq!(
        late(7 * S + 551 * MS, Box::new(drain(None, None))),
        ["drain"],
        "told at the latest 6 s later"
    );
    let down = Some(Span {
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
fn a_cold_cache_bears_what_the_settings_allow_it_from_all_balancers_together() {
    let rules = rules();
    let most = rules.allowed(0.0) as usize;
    let cold = |records: &mut Records| {
        let (version, at, caches) = (7, 2 * S, vec![0]);
        records.changes.push(Change {
            version,
            at,
            caches,
            state: CacheState::Up { born_ms: 1 },
        });
        records.told.push(Told {
            balancer: 0,
            version,
            at,
        });
    };
    let burst = |count| (0..count).map(|_| attempt(2 * S + MS)).collect();
    assert!(found(asked(Effect::Safe), burst(most), cold).is_empty());
    assert_eq!(
        found(asked(Effect::Safe), burst(most + 2), cold),
        ["failback"]
    );
}

#[test]
fn a_process_must_not_end_by_itself_and_has_to_be_ready_in_time() {
    let life = |life: Life| move |records: &mut Records| records.lives[0][0] = life;
    let crashed = Life {
        ready: Some(1),
        ended: Some((S, false)),
        ..Life::default()
    };
    assert_eq!(found(asked(Effect::Safe), vec![], life(crashed)), ["crash"]);
    let late = Life {
        ready: Some(7 * S),
        ..Life::default()
    };
    assert_eq!(found(asked(Effect::Safe), vec![], life(late)), ["ready"]);
}
