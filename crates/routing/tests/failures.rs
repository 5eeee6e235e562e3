//! Troubles, each played by hand: what a guard in the decision module is there for.

mod common;
use common::*;
use routing::*;

/// Plays `count` reads of ever new keys, 10 ms apart, and ends each attempt at once as told.
fn play(b: &mut Bench, from: u128, count: u128, outcome: AttemptOutcome) -> (usize, usize) {
    let (mut sent, mut refused) = (0, 0);
    for id in from..from + count {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        b.run_to(b.now + 10 * MS);
        let mut attempt = 0;
        while b.finals(id) == 0 && attempt < b.sends(id).len() {
            b.end_noted(
                id,
                attempt as u32,
                outcome,
                outcome == AttemptOutcome::Ok,
                Some(CacheStatus::Miss),
            );
            attempt += 1;
        }
        sent += b.sends(id).len();
        refused += b.finals(id);
    }
    (sent, refused)
}

#[test]
fn an_origin_in_distress_is_spared_what_it_would_have_to_fetch() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3, 4]);
    play(&mut b, 1, 200, AttemptOutcome::Ok);
    play(&mut b, 1_000, 100, AttemptOutcome::Error);
    // All fetches fail: of the next hundred unknown keys few go out, none of them twice.
    let (sent, refused) = play(&mut b, 2_000, 100, AttemptOutcome::Error);
    assert!(sent < 25, "{sent}");
    assert_eq!(refused, 100);
    // A key that was answered lately is let through all the same.
    b.request(5_000, SAFE, Some(200), 1_000 * MS);
    assert_eq!(b.sends(5_000).len(), 1);
}

#[test]
fn an_origin_that_works_again_is_used_again() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3, 4]);
    play(&mut b, 1, 100, AttemptOutcome::Error);
    play(&mut b, 1_000, 1_000, AttemptOutcome::Ok);
    let (sent, refused) = play(&mut b, 5_000, 100, AttemptOutcome::Ok);
    assert_eq!((sent, refused), (100, 0));
}

#[test]
fn a_server_that_refuses_connections_is_left_out_and_tried_again() {
    let mut s = settings();
    s.capabilities.health_checks = false;
    let mut b = bench(s);
    b.list(&[1, 2, 3, 4]);
    let mut tried = Vec::new();
    for id in 1..=1_200u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        for attempt in 0..4 {
            let Some(server) = b.sends(id).get(attempt).copied() else {
                break;
            };
            if server == EndpointId(1) {
                tried.push(b.now);
                b.end(id, attempt as u32, AttemptOutcome::ConnectFailed, false);
            } else {
                b.end(id, attempt as u32, AttemptOutcome::Ok, true);
            }
        }
        assert_eq!(b.finals(id), 0, "another server was there for {id}");
        b.run_to(b.now + 10 * MS);
    }
    // In 12 s: two failures, then single trials after 1, 2, 4 s and more.
    assert!((3..=7).contains(&tried.len()), "{tried:?}");
    assert!(
        tried.windows(2).skip(1).all(|t| t[1] - t[0] >= 750 * MS),
        "{tried:?}"
    );
}

#[test]
fn where_probes_may_be_sent_no_client_pays_for_a_trial_at_a_dead_server() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3, 4]);
    let (mut to_dead, mut probes, mut dead) = (0, 0, true);
    for id in 1..=2_000u128 {
        dead = dead && id < 1_000;
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        for attempt in 0..4 {
            let Some(server) = b.sends(id).get(attempt).copied() else {
                break;
            };
            let down = server == EndpointId(1) && dead;
            to_dead += usize::from(down);
            b.end(
                id,
                attempt as u32,
                if down {
                    AttemptOutcome::ConnectFailed
                } else {
                    AttemptOutcome::Ok
                },
                !down,
            );
        }
        let before = b.at.len();
        b.run_to(b.now + 10 * MS);
        if b.at[before..]
            .iter()
            .any(|(_, a)| *a == Action::HealthCheck(EndpointId(1)))
        {
            probes += 1;
            let outcome = if dead {
                AttemptOutcome::Timeout
            } else {
                AttemptOutcome::Ok
            };
            b.event(Event::HealthCheckEnded {
                endpoint: EndpointId(1),
                outcome,
                load_report: None,
            });
        }
    }
    assert_eq!(to_dead, 2, "two failures, then probes alone");
    assert!((3..=8).contains(&probes), "{probes}");
    let back = (1_900..2_000)
        .filter(|id| b.sends(*id).contains(&EndpointId(1)))
        .count();
    assert!(back > 5, "{back}");
}

#[test]
fn a_zone_cut_off_stays_suspected_though_it_is_more_than_half_the_fleet() {
    let mut s = settings();
    s.capabilities.health_checks = false;
    let mut b = bench(s);
    b.list(&[1, 2, 3, 4, 5, 7, 9]);
    let mut to_cut = 0;
    for id in 1..=1_000u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        for attempt in 0..4 {
            let Some(server) = b.sends(id).get(attempt).copied() else {
                break;
            };
            let cut = server.0 % 2 == 1;
            to_cut += usize::from(cut && id > 500);
            b.end(
                id,
                attempt as u32,
                if cut {
                    AttemptOutcome::ConnectFailed
                } else {
                    AttemptOutcome::Ok
                },
                !cut,
            );
        }
        b.run_to(b.now + 10 * MS);
    }
    // Five servers for 5 s: single trials, some seconds apart.
    assert!(to_cut <= 20, "{to_cut}");
}

#[test]
fn nobody_is_ejected_when_everybody_fails() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3, 4]);
    for id in 1..=100u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        for attempt in 0..b.sends(id).len() {
            b.end(id, attempt as u32, AttemptOutcome::Reset, false);
        }
        b.run_to(b.now + 100 * MS);
    }
    // Most are turned away, for nothing is served; some go on finding a server, to see whether it works again.
    for id in 1_000..1_100u128 {
        b.request(id, SAFE, Some(3), 1_000 * MS);
        for attempt in 0..b.sends(id).len() {
            b.end(id, attempt as u32, AttemptOutcome::Reset, false);
        }
        b.run_to(b.now + 100 * MS);
    }
    assert!((1_000..1_100).filter(|id| !b.sends(*id).is_empty()).count() >= 3);
}

#[test]
fn a_silent_server_is_suspected_though_its_late_reads_were_cancelled() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3, 4]);
    let mut to_silent = 0;
    for id in 1..=400u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        b.run_to(b.now + 5 * MS);
        if b.sends(id)[0] == EndpointId(1) && id > 200 {
            to_silent += 1;
            b.run_to(b.now + 600 * MS);
            assert_eq!(b.sends(id).len(), 2, "a late read gets its copy");
            b.end(id, 1, AttemptOutcome::Ok, true);
            b.end(id, 0, AttemptOutcome::Cancelled, true);
        } else {
            b.end(id, 0, AttemptOutcome::Ok, true);
        }
    }
    assert!((1..=6).contains(&to_silent), "{to_silent}");
}

#[test]
fn copies_stay_a_small_share_when_all_is_late() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3, 4, 5, 6]);
    for id in 1..=100u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        b.end(id, 0, AttemptOutcome::Ok, true);
    }
    let mut copies = 0;
    for id in 1_000..1_100u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        b.run_to(b.now + 1_000 * MS);
        copies += b.sends(id).len().saturating_sub(1);
        for attempt in 0..b.sends(id).len() {
            b.end(id, attempt as u32, AttemptOutcome::Timeout, false);
        }
    }
    assert!((1..=6).contains(&copies), "{copies}");
}

#[test]
fn copies_do_not_raise_t() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3]);
    // One server is silent, the others answer within 10 ms: the copy's time counts from its own send.
    let mut waits = Vec::new();
    for id in 1..=600u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        b.run_to(b.now + 10 * MS);
        if b.sends(id)[0] != EndpointId(2) || id < 100 {
            b.end(id, 0, AttemptOutcome::Ok, true);
            continue;
        }
        let start = b.now - 10 * MS;
        for _ in 0..600 {
            if b.sends(id).len() < 2 {
                b.run_to(b.now + MS);
            }
        }
        assert_eq!(b.sends(id).len(), 2);
        waits.push(b.now - start);
        b.run_to(b.now + 10 * MS);
        b.end(id, 1, AttemptOutcome::Ok, true);
        b.end(id, 0, AttemptOutcome::Cancelled, true);
    }
    assert!(waits.len() >= 2);
    assert!(waits.iter().all(|w| *w <= 15 * MS), "{waits:?}");
}

#[test]
fn a_crowded_fleet_holds_and_then_turns_away() {
    let mut b = bench(settings());
    b.list(&[1]);
    for id in 1..=50u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
    }
    let sent: usize = (1..=50).map(|id| b.sends(id).len()).sum();
    assert_eq!(sent, 5);
    b.run_to(300 * MS);
    let refused: usize = (1..=50).map(|id| b.finals(id)).sum();
    assert_eq!(refused, 45);
    assert!(
        b.at.iter()
            .all(|(t, a)| !matches!(a, Action::Reject { .. }) || *t <= 200 * MS)
    );
}

#[test]
fn room_goes_to_the_most_worth_first() {
    let mut b = bench(settings());
    b.list(&[1]);
    for id in 1..=10u128 {
        b.request(
            id,
            if id == 10 { UNSAFE } else { SAFE },
            Some(id as u64),
            1_000 * MS,
        );
    }
    let actions = b.end(1, 0, AttemptOutcome::Ok, true);
    let sent = actions.iter().find_map(|a| match a {
        Action::Send { request, .. } => Some(*request),
        _ => None,
    });
    assert_eq!(sent, Some(RequestId(10)), "before those that came earlier");
    assert_eq!(b.sends(9).len(), 0, "there is no room for all");
}

#[test]
fn a_failed_list_call_is_repeated_with_growing_pauses() {
    let mut s = settings();
    s.discovery = DiscoveryMode::Poll {
        staleness_limit: 10_000 * MS,
    };
    let mut b = bench(s);
    b.event(Event::EndpointUpdate {
        kind: UpdateKind::Stale,
        endpoints: vec![entry(1, EndpointState::Active, 0)],
    });
    let mut calls = Vec::new();
    for _ in 0..600 {
        let before = b.at.len();
        b.run_to(b.now + 100 * MS);
        if b.at[before..]
            .iter()
            .any(|(_, a)| *a == Action::QueryDiscovery)
        {
            calls.push(b.now);
            b.event(Event::EndpointUpdate {
                kind: UpdateKind::Failed,
                endpoints: Vec::new(),
            });
        }
    }
    assert!((16..40).contains(&calls.len()), "{calls:?}");
    assert!(
        calls.windows(2).all(|c| c[1] - c[0] <= 4_000 * MS),
        "with a call that hangs within 6 s"
    );
    assert!(calls[calls.len() - 1] - calls[calls.len() - 2] >= 1_200 * MS);
    b.run_to(b.now + 10_000 * MS);
    b.event(Event::EndpointUpdate {
        kind: UpdateKind::Full,
        endpoints: vec![entry(1, EndpointState::Active, 0)],
    });
    let before = b.at.len();
    b.run_to(b.now + 60_000 * MS);
    assert!(
        b.at[before..]
            .iter()
            .all(|(_, a)| *a != Action::QueryDiscovery),
        "no call while watching"
    );
}

#[test]
fn aside_reads_go_once_to_the_origin_uncopied() {
    let mut s = settings();
    s.origin = OriginMode::CacheAside { kind: 9 };
    let mut b = bench(s);
    let mut entries: Vec<Endpoint> = (1..=4)
        .map(|i| entry(i, EndpointState::Active, 0))
        .collect();
    entries.push(Endpoint {
        kind: 9,
        ..entry(99, EndpointState::Active, 0)
    });
    b.event(Event::EndpointUpdate {
        kind: UpdateKind::Full,
        endpoints: entries,
    });
    for id in 1..=200u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        assert_ne!(b.sends(id)[0], EndpointId(99));
        b.end(id, 0, AttemptOutcome::CacheMiss, false);
        assert_eq!(b.sends(id)[1], EndpointId(99));
        b.run_to(b.now + 600 * MS);
        assert_eq!(b.sends(id).len(), 2, "no copy beside the origin");
        let failed = id == 200;
        b.end(
            id,
            1,
            if failed {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Ok
            },
            !failed,
        );
        assert_eq!(b.finals(id), usize::from(failed), "not asked again");
    }
    b.request(1_000, UNSAFE, Some(5), 1_000 * MS);
    assert_eq!(b.sends(1_000), [EndpointId(99)]);
}

#[test]
fn the_few_that_seem_well_are_not_given_all_the_load() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3, 4, 5]);
    for id in 1..=100u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        for attempt in 0..4 {
            let Some(server) = b.sends(id).get(attempt).copied() else {
                break;
            };
            let well = server == EndpointId(5);
            b.end(
                id,
                attempt as u32,
                if well {
                    AttemptOutcome::Ok
                } else {
                    AttemptOutcome::Reset
                },
                well,
            );
        }
        b.run_to(b.now + 20 * MS);
    }
    let firsts = (80..=100)
        .filter(|id| b.sends(*id).first().is_some_and(|s| *s != EndpointId(5)))
        .count();
    assert!(firsts > 10, "{firsts}");
}

#[test]
fn absurd_but_legal_values_are_borne() {
    let mut s = settings();
    s.rules.slow_start_duration = 0;
    s.rules.slow_start_fraction = f64::NAN;
    s.rules.overload_window = 0;
    s.tenants[0].quota_per_second = f64::NAN;
    let mut b = bench(s);
    let weights = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300];
    let entries = (1..=3_000u64).map(|n| Endpoint {
        weight: weights[n as usize % 5],
        zone: usize::MAX,
        started: u64::MAX * (n % 2),
        ..entry(n, EndpointState::Active, 0)
    });
    b.event(Event::EndpointUpdate {
        kind: UpdateKind::Full,
        endpoints: entries.collect(),
    });
    for id in 1..=6u128 {
        b.request(id, ClassId(id as usize % 3), Some(7), 1_000 * MS);
        b.run_to(b.now + 1_100 * MS);
        // The clock steps by hours, in which no timer came.
        b.now += 3 * 3_600_000 * MS;
        b.timers.iter_mut().for_each(|t| t.0 += 3 * 3_600_000 * MS);
        assert_eq!(b.finals(id), 1);
    }
    b.request(100, ClassId(9), None, 1_000 * MS);
    assert_eq!(b.finals(100), 1);
    b.request(101, SAFE, None, u64::MAX / 2);
    b.event(Event::ClientDisconnected(RequestId(101)));
}

#[test]
fn retries_stay_a_small_share_when_all_fails() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3, 4, 5, 6]);
    play(&mut b, 1, 100, AttemptOutcome::Unreadable);
    let retries: usize = (1..=100)
        .map(|id| b.sends(id).len().saturating_sub(1))
        .sum();
    assert!((8..=29).contains(&retries), "{retries}");
}

#[test]
fn the_loser_is_called_back() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3]);
    b.request(1, SAFE, Some(1), 1_000 * MS);
    b.run_to(600 * MS);
    assert_eq!(b.sends(1).len(), 2);
    let loser = Action::Cancel {
        request: RequestId(1),
        attempt: AttemptNumber(0),
    };
    assert!(b.end(1, 1, AttemptOutcome::Ok, true).contains(&loser));
}

#[test]
fn two_time_outs_of_a_server_not_heard_of_make_it_suspected() {
    let mut b = bench(settings());
    b.list(&[1]);
    let mut logs = 0;
    for id in 1..=2u128 {
        b.request(id, SAFE, Some(id as u64), 1_000 * MS);
        b.run_to(b.now + 10 * MS);
        logs += b
            .end(id, 0, AttemptOutcome::Timeout, true)
            .iter()
            .filter(|a| matches!(a, Action::Log(_)))
            .count();
        assert_eq!(logs, usize::from(id == 2));
    }
}

#[test]
fn a_keyed_attempt_ends_while_its_repeat_is_lawful() {
    let mut b = bench(settings());
    b.list(&[1, 2, 3]);
    b.request(1, KEYED, Some(1), 1_000 * MS);
    let timeouts: Vec<_> =
        b.at.iter()
            .filter_map(|(_, a)| match a {
                Action::Send { timeout, .. } => Some(*timeout),
                _ => None,
            })
            .collect();
    // Three quarters of the window of 500 ms, which is less than the patience.
    assert_eq!(timeouts, [Some(375 * MS)]);
}
