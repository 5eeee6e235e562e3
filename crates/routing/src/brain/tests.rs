//! Exact values of the parts: percentile and decay, cap, draw, ranking, ramp and budget.

use super::*;

pub(super) fn settings() -> Settings {
    Settings {
        classes: vec![RequestClass {
            idempotency: Idempotency::Idempotent,
            latency_objective: 200 * MS,
            deadline: 1_000 * MS,
            priority_weight: 1.0,
            late_value_fraction: 0.0,
        }],
        tenants: Vec::new(),
        over_quota_weight: 0.0,
        balancers: 2,
        origin: OriginMode::ReadThrough,
        discovery: DiscoveryMode::Push,
        dynamic_weights: false,
        capabilities: Capabilities {
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            health_checks: false,
            retry_after: false,
            max_retry_after: 0,
        },
        rules: ServiceRules {
            final_answer_grace: 20 * MS,
            drain_grace: 250 * MS,
            slow_start_fraction: 0.2,
            slow_start_duration: 10_000 * MS,
            overload_factor: 2.5,
            overload_window: 3_000 * MS,
        },
        tick: 5 * MS,
    }
}

pub(super) fn brain(servers: u64) -> Engine {
    let mut brain = Engine::new(settings(), 1, 0).expect("settings make sense");
    let entries = (1..=servers).map(|i| Endpoint {
        id: EndpointId(i),
        weight: 1.0,
        ..Endpoint::default()
    });
    brain.on_list(UpdateKind::Full, entries.collect());
    brain
}

/// A read of this key.
fn new_read(id: u128, key: u64, patience: Nanos) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        key: Some(Key(key)),
        client_timeout: patience,
        estimated_work: None,
        is_write: false,
    }
}

/// The candidates for key 9.
fn candidates_of_9(brain: &mut Engine) -> Vec<EndpointId> {
    brain.candidates(slot_of_9()).to_vec()
}

fn slot_of_9() -> usize {
    xxh3_64_with_seed(&9u64.to_le_bytes(), 0) as usize % SLOTS
}

/// A read with key 9, and what its arrival leads to.
fn read(brain: &mut Engine, id: u128) -> Vec<Action> {
    let new = new_read(id, 9, 1_000 * MS);
    let mut actions = Vec::new();
    brain.handle(brain.now, Event::RequestArrived(new), &mut actions);
    actions
}

/// The end of its first attempt.
fn end(brain: &mut Engine, id: u128, outcome: AttemptOutcome) -> Vec<Action> {
    let server = brain.requests[&RequestId(id)].attempts[0].server;
    let (request, attempt, latency) = (RequestId(id), AttemptNumber(0), 10 * MS);
    let finished = outcome == AttemptOutcome::Ok;
    let mut actions = Vec::new();
    let end = AttemptResult {
        request,
        attempt,
        endpoint: server,
        outcome,
        latency,
        request_finished: finished,
        cache_status: None,
        load_report: None,
    };
    brain.handle(brain.now, Event::AttemptEnded(end), &mut actions);
    actions
}

/// Where the first attempt that these send goes.
fn sent_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::Send {
            endpoint: server, ..
        } => Some(*server),
        _ => None,
    })
}

#[test]
fn the_record_tells_the_99th_percentile() {
    let mut record = Record::new(MEMORY, QUANTILE);
    for i in 0..200 {
        record.add(if i % 50 == 49 { 400 * MS } else { 10 * MS });
    }
    // Two in a hundred are slow: the 99th percentile is theirs.
    assert_eq!(record.t, Record::edge(400.0));
    let mut record = Record::new(MEMORY, QUANTILE);
    for i in 0..400 {
        record.add(if i == 0 { 400 * MS } else { 10 * MS });
    }
    assert_eq!(record.t, Record::edge(10.0));
}

#[test]
fn old_samples_fade_by_count() {
    let mut record = Record::new(MEMORY, QUANTILE);
    for _ in 0..500 {
        record.add(400 * MS);
    }
    let mut needed = 0;
    while record.t == Record::edge(400.0) {
        record.add(10 * MS);
        needed += 1;
    }
    // Weight of the old after n new ones: (1 - 1/e) e^(-n/500) of 1 - e^(-1 - n/500), 1 % at n = 2079.
    assert!((2_050..2_100).contains(&needed), "{needed}");
    let mut long = Record::new(MEMORY, QUANTILE);
    for _ in 0..100_000 {
        long.add(10 * MS);
    }
    assert!(long.buckets.iter().sum::<f64>() < MEMORY + 1.0 && long.t == Record::edge(10.0));
}

#[test]
fn t_is_the_cap_until_twenty_samples_and_never_above_it() {
    let mut brain = brain(3);
    assert_eq!(brain.late_after(1_000 * MS), 500 * MS);
    for _ in 0..19 {
        brain.record.add(10 * MS);
    }
    assert_eq!(brain.late_after(1_000 * MS), 500 * MS);
    brain.record.add(10 * MS);
    assert_eq!(brain.late_after(1_000 * MS), Record::edge(10.0));
    assert_eq!(brain.late_after(12 * MS), 6 * MS);
}

#[test]
fn ranking_keeps_its_order_when_one_server_leaves() {
    let mut brain = brain(10);
    let before: Vec<_> = (0..SLOTS)
        .map(|s| brain.ranking(s).collect::<Vec<_>>())
        .collect();
    let gone = Endpoint {
        id: EndpointId(4),
        state: EndpointState::Removed,
        ..Endpoint::default()
    };
    brain.on_list(UpdateKind::Delta, vec![gone]);
    for (slot, mut ranked) in before.into_iter().enumerate() {
        ranked.retain(|id| *id != EndpointId(4));
        assert!(brain.ranking(slot).eq(ranked.iter().copied()));
        assert_eq!(*brain.candidates(slot), ranked[..3]);
    }
}

#[test]
fn a_servers_share_of_first_ranks_follows_its_weight() {
    let mut brain = brain(3);
    let big = Endpoint {
        id: EndpointId(3),
        weight: 2.0,
        ..Endpoint::default()
    };
    brain.on_list(UpdateKind::Delta, vec![big]);
    let first = (0..SLOTS)
        .filter(|s| brain.ranking(*s).next() == Some(EndpointId(3)))
        .count();
    assert!(
        (SLOTS * 45 / 100..SLOTS * 55 / 100).contains(&first),
        "{first}"
    );
}

#[test]
fn of_two_draws_fewer_in_flight_wins_and_rank_breaks_ties() {
    let mut brain = brain(3);
    let two = [(0, EndpointId(2)), (1, EndpointId(1))];
    assert_eq!(brain.draw(&two, None, None), Some(EndpointId(2)));
    // One in flight at the first rank is what a fetch elsewhere counts for; the second decides.
    for expected in [EndpointId(2), EndpointId(1)] {
        let first = brain.servers.get_mut(&EndpointId(2)).expect("listed");
        first.out.push((0, RequestId(1), AttemptNumber(0)));
        assert_eq!(brain.draw(&two, None, None), Some(expected));
    }
    assert_eq!(brain.draw(&[], None, None), None);
}

#[test]
fn draws_follow_the_reported_hit_share() {
    let mut brain = brain(3);
    brain.hits = [0.5; CANDIDATES]; // Told alike of all ranks.
    brain.servers.get_mut(&EndpointId(3)).expect("listed").hits = 0.25;
    let three = [(0, EndpointId(3)), (1, EndpointId(1)), (2, EndpointId(2))];
    let won = (0..4_000)
        .filter(|_| brain.draw(&three, None, None) == Some(EndpointId(3)))
        .count();
    // Weights 1, 2, 2: drawn first 1/5, or second 2 x 2/5 x 1/3; best rank, so it wins when drawn: 46.7 %.
    assert!((1_800..1_940).contains(&won), "{won}");
}

#[test]
fn the_ramp_rises_evenly_from_the_cold_share() {
    let mut brain = brain(3);
    let entry = Endpoint {
        started: 50_000 * MS,
        ..Endpoint::default()
    };
    let server = Server {
        entry,
        listed: 50_000 * MS,
        ..Server::default()
    };
    for (age, ramp) in [(0, 0.2), (5_000, 0.6), (10_000, 1.0), (60_000, 1.0)] {
        brain.now = (50_000 + age) * MS;
        assert!((brain.ramp(&server) - ramp).abs() < 1e-9);
    }
    assert_eq!(brain.ramp(&Server::default()), 1.0);
}

#[test]
fn a_second_attempt_at_once_is_legal_only_as_a_safe_copy_where_allowed() {
    for (effect, allowed, legal) in [
        (Idempotency::Idempotent, true, true),
        (Idempotency::Idempotent, false, false),
        (
            Idempotency::Keyed {
                scope: DeduplicationScope::All,
                window: 500 * MS,
            },
            true,
            false,
        ),
        (Idempotency::NotIdempotent, true, false),
    ] {
        let mut brain = brain(3);
        brain.settings.classes[0].idempotency = effect;
        brain.settings.capabilities.hedging = allowed;
        brain.on_request(new_read(1, 1, 1_000 * MS));
        let r = &brain.requests[&RequestId(1)];
        assert_eq!(r.out(), 1);
        for id in 1..=3 {
            assert_eq!(brain.legal(r, Step::Copy(EndpointId(id))), legal);
            assert_eq!(brain.legal(r, Step::Send(EndpointId(id))), legal);
        }
    }
}

#[test]
fn unused_limits_fade_to_the_start_and_used_ones_stay() {
    let mut brain = brain(2);
    for id in 1..=2 {
        brain
            .servers
            .get_mut(&EndpointId(id))
            .expect("listed")
            .limit = 12.0;
    }
    let busy = brain.servers.get_mut(&EndpointId(2)).expect("listed");
    busy.out = (0..8)
        .map(|n| (0, RequestId(n), AttemptNumber(0)))
        .collect();
    for _ in 0..30 {
        brain.housekeeping();
    }
    let limit = |n| brain.servers[&EndpointId(n)].limit;
    assert!((limit(1) - 12.0 * 0.98f64.powi(30)).abs() < 1e-9);
    assert_eq!(limit(2), 12.0);
    for _ in 0..300 {
        brain.housekeeping();
    }
    assert_eq!(brain.servers[&EndpointId(1)].limit, LIMIT_START / 2.0);
}

#[test]
fn a_key_goes_back_to_who_answered_it_lately() {
    let mut brain = brain(3);
    let three = [(0, EndpointId(2)), (1, EndpointId(1)), (2, EndpointId(3))];
    brain.known.insert(Some(Key(5)), EndpointId(3));
    let stayed = (0..1_000)
        .filter(|_| brain.draw(&three, Some(Key(5)), None) == Some(EndpointId(3)))
        .count();
    assert!(stayed > 990, "{stayed}");
    // Far busier than the others, it is passed over.
    let holder = brain.servers.get_mut(&EndpointId(3)).expect("listed");
    holder.out = (0..3)
        .map(|n| (0, RequestId(n), AttemptNumber(0)))
        .collect();
    let stayed = (0..1_000)
        .filter(|_| brain.draw(&three, Some(Key(5)), None) == Some(EndpointId(3)))
        .count();
    assert!(stayed < 10, "{stayed}");
}

#[test]
fn one_lucky_answer_does_not_make_all_others_look_slow() {
    let mut brain = brain(3);
    let mut r = Vec::new();
    for id in 1..=200u128 {
        brain.on_request(new_read(id, id as u64, 1_000 * MS));
        let latency = if id == 1 { 10 } else { 100 } * MS;
        let Some(out) = brain.requests.get(&RequestId(id)) else {
            continue;
        };
        let end = AttemptResult {
            request: RequestId(id),
            attempt: AttemptNumber(0),
            endpoint: out.attempts[0].server,
            outcome: AttemptOutcome::Ok,
            latency,
            request_finished: true,
            cache_status: Some(CacheStatus::Miss),
            load_report: None,
        };
        brain.handle(id as u64 * 100 * MS, Event::AttemptEnded(end), &mut r);
    }
    assert_eq!(brain.origin_room, 1.0);
}

#[test]
fn finished_requests_and_gone_servers_leave_nothing_behind() {
    let mut brain = brain(3);
    let mut r = Vec::new();
    for id in 1..=300u128 {
        let new = new_read(id, id as u64, 100 * MS);
        brain.handle(id as u64 * MS, Event::RequestArrived(new), &mut r);
        let sent: Vec<_> = brain
            .requests
            .get(&RequestId(id))
            .into_iter()
            .flat_map(|r| &r.attempts)
            .collect();
        let Some(server) = sent.first().map(|a| a.server) else {
            continue;
        };
        let end = AttemptResult {
            request: RequestId(id),
            attempt: AttemptNumber(0),
            endpoint: server,
            outcome: AttemptOutcome::Ok,
            latency: MS,
            request_finished: true,
            cache_status: None,
            load_report: None,
        };
        brain.handle(id as u64 * MS, Event::AttemptEnded(end), &mut r);
    }
    for token in 1..=brain.next_token {
        brain.handle(60_000 * MS, Event::TimerFired(TimerToken(token)), &mut r);
    }
    brain.handle(
        60_000 * MS,
        Event::EndpointUpdate {
            kind: UpdateKind::Full,
            endpoints: Vec::new(),
        },
        &mut r,
    );
    assert!(brain.requests.is_empty() && brain.held.is_empty() && brain.servers.is_empty());
    assert!(brain.timers.len() <= 1, "housekeeping alone");
}

#[test]
fn a_limit_leaves_more_room_to_reads_that_hit_than_to_those_that_spill() {
    let mut brain = brain(3);
    let mut open = |limit: f64, out: u128, owner: bool| {
        let s = brain.servers.get_mut(&EndpointId(1)).expect("listed");
        s.limit = limit;
        s.out = (0..out)
            .map(|n| (0, RequestId(n), AttemptNumber(0)))
            .collect();
        let s = &brain.servers[&EndpointId(1)];
        brain
            .room(
                s,
                if owner {
                    OWNER_ROOM
                } else {
                    brain.spill_room()
                },
            )
            .is_none()
    };
    assert!(open(8.0, 9, true) && !open(8.0, 10, true));
    assert!(open(8.0, 4, false) && !open(8.0, 5, false));
    // The same at work: a key's owner with 3 of 4 in flight takes its next read, no other candidate would.
    let three = candidates_of_9(&mut brain);
    for id in &three {
        let s = brain.servers.get_mut(id).expect("listed");
        s.limit = 4.0;
        s.out = (0..3)
            .map(|n| (0, RequestId(100 + n), AttemptNumber(0)))
            .collect();
    }
    let to: Vec<EndpointId> = (0..3)
        .flat_map(|id| read(&mut brain, id))
        .filter_map(|a| match a {
            Action::Send {
                endpoint: server, ..
            } => Some(server),
            _ => None,
        })
        .collect();
    assert_eq!(
        to,
        [three[0], three[0]],
        "two more fit at the owner, none elsewhere"
    );
}

#[test]
fn spills_get_less_room_as_fetches_fail_or_slow_down() {
    let mut brain = brain(3);
    assert_eq!(brain.spill_room(), SPILL_ROOM);
    brain.move_origin_room(0.5);
    assert_eq!(brain.spill_room(), SPILL_ROOM / 2.0);
    for latency in std::iter::repeat_n(50e6, 20).chain(std::iter::repeat_n(100e6, 200)) {
        brain.fetch.add(latency, LATENCY_GAIN, 0.0);
    }
    assert!(
        (brain.spill_room() - SPILL_ROOM / 4.0).abs() < 1e-3,
        "{}",
        brain.spill_room()
    );
}

#[test]
fn limits_grow_quickly_to_a_knee_and_slowly_beyond() {
    let mut brain = brain(1);
    let knee = LIMIT_START / 2f64.sqrt();
    let mut grown = Vec::new();
    for limit in [knee - 0.1, knee + 0.1] {
        let s = brain.servers.get_mut(&EndpointId(1)).expect("listed");
        s.limit = limit;
        s.latency = Mean::default();
        s.latency.add(10e6, LATENCY_GAIN, 0.0);
        s.out = (0..4)
            .map(|n| (0, RequestId(n), AttemptNumber(0)))
            .collect();
        brain.judge(&AttemptResult {
            request: RequestId(0),
            attempt: AttemptNumber(0),
            endpoint: EndpointId(1),
            outcome: AttemptOutcome::Ok,
            latency: 10 * MS,
            request_finished: true,
            cache_status: Some(CacheStatus::Hit),
            load_report: None,
        });
        grown.push((brain.servers[&EndpointId(1)].limit - limit) * limit);
    }
    assert!(
        (grown[0] - LIMIT_STEP).abs() < 1e-6 && (grown[1] - LIMIT_STEP_HIGH).abs() < 1e-6,
        "{grown:?}"
    );
}

/// What an answered read that hits, after this long, makes of a limit of 2 that is reached; alone it takes 10 ms.
fn limit_after(latency: Nanos, aim: Nanos) -> f64 {
    let mut settings = settings();
    settings
        .classes
        .iter_mut()
        .for_each(|c| c.latency_objective = aim);
    let mut brain = Engine::new(settings, 1, 0).expect("settings make sense");
    brain.on_list(
        UpdateKind::Full,
        vec![Endpoint {
            id: EndpointId(1),
            weight: 1.0,
            ..Endpoint::default()
        }],
    );
    let s = brain.servers.get_mut(&EndpointId(1)).expect("listed");
    s.limit = 2.0;
    s.latency = Mean::of([10e6, 10e6, 1000.0]);
    s.out = (0..2)
        .map(|n| (0, RequestId(n), AttemptNumber(0)))
        .collect();
    for n in 0..2 {
        let (request, attempt, server) = (RequestId(n), AttemptNumber(0), EndpointId(1));
        let (outcome, finished, note) = (AttemptOutcome::Ok, true, Some(CacheStatus::Hit));
        brain.judge(&AttemptResult {
            request,
            attempt,
            endpoint: server,
            outcome,
            latency,
            request_finished: finished,
            cache_status: note,
            load_report: None,
        });
    }
    brain.servers[&EndpointId(1)].limit
}

#[test]
fn a_wait_far_under_the_aim_crowds_no_server() {
    // After two answers of 100 ms the mean is at 27 ms, 2.7 times what it is alone.
    assert!(
        limit_after(100 * MS, 100 * MS) < 2.0,
        "more than a fifth of the aim"
    );
    assert!(
        limit_after(100 * MS, 1_200 * MS) > 2.0,
        "less than an eighth of the aim"
    );
    assert_eq!(limit_after(100 * MS, 140 * MS), 2.0, "between the two");
    assert!(limit_after(3_000 * MS, 1_200 * MS) < 2.0);
}

#[test]
fn a_rejection_cuts_the_room_only_of_a_server_that_holds_the_key() {
    for (holds, write, cut) in [
        (false, false, false),
        (true, false, true),
        (true, true, false),
    ] {
        let mut brain = brain(1);
        if holds {
            brain.known.insert(Some(Key(9)), EndpointId(1));
        }
        let new = NewRequest {
            is_write: write,
            ..new_read(1, 9, 1_000 * MS)
        };
        brain.handle(0, Event::RequestArrived(new), &mut Vec::new());
        let before = brain.servers[&EndpointId(1)].limit;
        end(&mut brain, 1, AttemptOutcome::Rejected);
        let after = brain.servers[&EndpointId(1)].limit;
        assert_eq!(after < before, cut, "holds {holds}, write {write}");
    }
}

#[test]
fn heavy_work_is_drawn_to_the_quick_and_light_work_hardly() {
    let mut brain = brain(3);
    let three = [(1, EndpointId(1)), (1, EndpointId(2)), (1, EndpointId(3))];
    for (id, took) in [(1, 100e6), (2, 50e6), (3, 50e6)] {
        brain
            .servers
            .get_mut(&EndpointId(id))
            .expect("listed")
            .pace
            .add(took, 50e6, PACE_GAIN);
    }
    brain.aim = 1_000e6;
    let mut slow = |work| {
        (0..3_000)
            .filter(|_| brain.draw(&three, None, work) == Some(EndpointId(1)))
            .count()
    };
    let [unknown, light, heavy] = [None, Some(MS), Some(500 * MS)].map(&mut slow);
    assert!(
        unknown.abs_diff(1_000) < 120 && light.abs_diff(1_000) < 120,
        "{unknown} {light}"
    );
    assert!(heavy < 700, "{heavy}");
}

#[test]
fn where_all_three_refuse_connections_a_read_goes_on_to_others() {
    let mut brain = brain(9);
    brain.settings.capabilities.max_attempts = 6;
    let three = candidates_of_9(&mut brain);
    let mut sent = vec![sent_to(&read(&mut brain, 1)).expect("sent")];
    while three.contains(&sent[sent.len() - 1]) {
        let (request, attempt) = (RequestId(1), AttemptNumber(sent.len() as u32 - 1));
        let (server, outcome) = (sent[sent.len() - 1], AttemptOutcome::ConnectFailed);
        let (latency, finished, note, load) = (0, false, None, None);
        let end = AttemptResult {
            request,
            attempt,
            endpoint: server,
            outcome,
            latency,
            request_finished: finished,
            cache_status: note,
            load_report: load,
        };
        let mut actions = Vec::new();
        brain.handle(brain.now, Event::AttemptEnded(end), &mut actions);
        sent.push(sent_to(&actions).expect("not given up"));
        assert!(sent.len() <= 4, "{sent:?}");
    }
    assert_eq!(sent.len(), 4, "each of the three once: {sent:?}");
}

#[test]
fn an_error_is_retried_but_not_while_the_origin_is_in_distress_and_forgets_the_key() {
    for (room, retried) in [(1.0, true), (DISTRESS - 0.1, false)] {
        let mut brain = brain(3);
        let holder = candidates_of_9(&mut brain)[0];
        brain.known.insert(Some(Key(9)), holder);
        brain.origin_room = room;
        read(&mut brain, 1);
        let sends = end(&mut brain, 1, AttemptOutcome::Error)
            .iter()
            .any(|a| matches!(a, Action::Send { .. }));
        assert_eq!(sends, retried);
        assert!(!brain.known.held(Some(Key(9)), holder));
    }
}

#[test]
fn a_time_out_at_a_server_that_answers_others_speaks_against_the_origin() {
    let mut brain = brain(1);
    read(&mut brain, 1);
    read(&mut brain, 2);
    brain.now += 20 * MS;
    end(&mut brain, 2, AttemptOutcome::Ok);
    assert_eq!(brain.origin_room, 1.0);
    end(&mut brain, 1, AttemptOutcome::Timeout);
    // The server answered this key just now: it did not have to fetch it.
    assert_eq!(brain.origin_room, 1.0);
    brain.known.remove(Some(Key(9)), EndpointId(1));
    read(&mut brain, 3);
    read(&mut brain, 4);
    brain.now += 20 * MS;
    brain
        .servers
        .get_mut(&EndpointId(1))
        .expect("listed")
        .last_answer = brain.now;
    end(&mut brain, 3, AttemptOutcome::Timeout);
    assert_eq!(brain.origin_room, ORIGIN_CUT);
    assert_eq!(brain.servers[&EndpointId(1)].strikes, 0.0);
}

#[test]
fn time_outs_of_clients_in_a_hurry_speak_against_nobody() {
    for (patience, cut) in [(5 * MS, false), (400 * MS, true)] {
        let mut brain = brain(3);
        for _ in 0..FIRST_SAMPLES {
            brain.record.add(10 * MS);
        }
        let mut actions = Vec::new();
        let mut to = BTreeSet::new();
        for id in 1..=40u128 {
            brain.handle(
                brain.now,
                Event::RequestArrived(new_read(id, 9, patience)),
                &mut actions,
            );
            let Some(r) = brain.requests.get(&RequestId(id)) else {
                continue;
            };
            let Some(server) = r.attempts.first().map(|a| a.server) else {
                continue;
            };
            to.insert(server);
            brain.now += patience;
            // At first it answers others, then nobody.
            if id <= 20 {
                brain.servers.get_mut(&server).expect("listed").last_answer = brain.now;
            }
            end(&mut brain, id, AttemptOutcome::Timeout);
        }
        let limits: Vec<f64> = to.iter().map(|id| brain.servers[id].limit).collect();
        assert_eq!(
            limits.iter().any(|l| *l < LIMIT_START / 2.0),
            cut,
            "{limits:?}"
        );
        assert_eq!(brain.origin_room < 1.0, cut);
        assert_eq!(
            brain
                .servers
                .values()
                .any(|s| s.strikes > 0.0 || s.suspect_until.is_some()),
            cut
        );
    }
}

#[test]
fn a_few_time_outs_spare_the_origin_nothing_and_many_do() {
    let mut brain = brain(3);
    let r = Request::new(new_read(1, 9, 1_000 * MS), 0, slot_of_9(), false);
    let borne = |brain: &mut Engine| (0..1_000).filter(|_| brain.origin_bears(&r)).count();
    for (cuts, least, most) in [(2, 1_000, 1_000), (5, 690, 780), (10, 400, 470)] {
        brain.origin_room = ORIGIN_CUT.powi(cuts);
        let let_through = borne(&mut brain);
        assert!(
            (least..=most).contains(&let_through),
            "{cuts}: {let_through}"
        );
    }
}

#[test]
fn a_late_read_gets_its_copy_once_there_is_room() {
    let mut brain = brain(3);
    for _ in 0..FIRST_SAMPLES {
        brain.record.add(10 * MS);
    }
    let three = candidates_of_9(&mut brain);
    read(&mut brain, 1);
    let first = brain.requests[&RequestId(1)].attempts[0].server;
    let routers_root = |brain: &mut Engine, n: u128| {
        for id in three.iter().filter(|id| **id != first) {
            let s = brain.servers.get_mut(id).expect("listed");
            s.out = (0..n)
                .map(|n| (brain.now, RequestId(100 + n), AttemptNumber(0)))
                .collect();
        }
    };
    routers_root(&mut brain, 20);
    let late = |brain: &mut Engine| {
        brain.now += 11 * MS;
        let due: Vec<u64> = brain
            .timers
            .iter()
            .filter(|(_, t)| matches!(t, Timer::Copy(_)))
            .map(|t| *t.0)
            .collect();
        let mut actions = Vec::new();
        due.into_iter()
            .for_each(|t| brain.handle(brain.now, Event::TimerFired(TimerToken(t)), &mut actions));
        actions
            .iter()
            .filter(|a| matches!(a, Action::Send { .. }))
            .count()
    };
    assert_eq!((late(&mut brain), late(&mut brain)), (0, 0), "no room yet");
    routers_root(&mut brain, 0);
    assert_eq!(
        (late(&mut brain), late(&mut brain)),
        (1, 0),
        "one copy and no more"
    );
}

#[test]
fn an_attempt_far_beyond_t_is_given_up_while_another_may_be_made() {
    let mut brain = brain(3);
    let timeout = |actions: Vec<Action>| {
        actions.into_iter().find_map(|a| {
            if let Action::Send { timeout, .. } = a {
                Some(timeout)
            } else {
                None
            }
        })
    };
    assert_eq!(
        timeout(read(&mut brain, 1)),
        Some(None),
        "T is not known yet"
    );
    for _ in 0..FIRST_SAMPLES {
        brain.record.add(10 * MS);
    }
    let hopeless = (Record::edge(10.0) as f64 * HOPELESS) as Nanos;
    assert_eq!(timeout(read(&mut brain, 2)), Some(Some(hopeless)));
    assert_eq!(
        timeout(end(&mut brain, 2, AttemptOutcome::Timeout)),
        Some(Some(hopeless))
    );
    brain.settings.capabilities.max_attempts = 1;
    assert_eq!(
        timeout(read(&mut brain, 3)),
        Some(None),
        "there would be no other"
    );
}

#[test]
fn a_read_that_was_held_in_vain_is_refused_and_not_scattered_over_other_servers() {
    for out_elsewhere in [0, 3] {
        let mut brain = brain(9);
        let three = candidates_of_9(&mut brain);
        for id in brain.servers.keys().copied().collect::<Vec<_>>() {
            let out = if three.contains(&id) {
                20
            } else {
                out_elsewhere
            };
            let s = brain.servers.get_mut(&id).expect("listed");
            s.out = (0..out)
                .map(|n| (0, RequestId(100 + n), AttemptNumber(0)))
                .collect();
        }
        assert!(
            !read(&mut brain, 1)
                .iter()
                .any(|a| matches!(a, Action::Send { .. })),
            "held first"
        );
        brain.now += 150 * MS;
        brain.release_held();
        assert!(
            !brain
                .actions
                .iter()
                .any(|a| matches!(a, Action::Send { .. })),
            "{out_elsewhere}"
        );
        let refused = brain
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count();
        assert_eq!(refused, 1);
    }
}

#[test]
fn advice_is_within_the_aim_for_want_of_room_and_beyond_it_in_overload() {
    let mut brain = brain(3);
    brain.settings.capabilities.retry_after = true;
    let r = Request::new(new_read(1, 9, 1_000 * MS), 0, slot_of_9(), false);
    brain.now = 100 * MS;
    for _ in 0..200 {
        assert!((25 * MS..75 * MS).contains(&brain.advice(&r, DecisionReason::ConcurrencyLimit)));
        assert!((100 * MS..300 * MS).contains(&brain.advice(&r, DecisionReason::OriginProtection)));
        assert_eq!(
            brain.advice(&r, DecisionReason::DeadlineExceeded),
            0,
            "nobody waits any more"
        );
    }
}

#[test]
fn one_trial_at_a_time() {
    let mut brain = brain(1);
    read(&mut brain, 1);
    let r = brain.requests.remove(&RequestId(1)).expect("open");
    let s = brain.servers.get_mut(&EndpointId(1)).expect("listed");
    (s.suspect_until, s.proven) = (Some(0), true);
    assert!(brain.fitness(&r, EndpointId(1), true) == Fitness::Suspect);
    brain
        .servers
        .get_mut(&EndpointId(1))
        .expect("listed")
        .out
        .clear();
    assert!(brain.fitness(&r, EndpointId(1), true) == Fitness::Open);
}

#[test]
fn strikes_that_chance_brings_everywhere_eject_nobody_and_earn_no_copies_or_retries() {
    let strikes = |bad: f64| {
        let mut brain = brain(3);
        brain.bad = bad;
        let mut n = 0;
        while brain.servers[&EndpointId(1)].suspect_until.is_none() {
            brain
                .servers
                .get_mut(&EndpointId(1))
                .expect("listed")
                .strikes += 1.0;
            brain.with_server(EndpointId(1), |me, s| me.suspect(EndpointId(1), s, 0.0));
            n += 1;
        }
        n
    };
    assert_eq!(
        (strikes(0.0), strikes(0.15), strikes(0.5), strikes(0.7)),
        (2, 2, 5, 9)
    );
    for (bad, sends) in [(0.1, 1), (0.6, 0)] {
        let mut brain = brain(3);
        brain.bad = bad;
        brain.servers.values_mut().for_each(|s| s.turned = bad);
        let sent = |actions: &[Action]| {
            actions
                .iter()
                .filter(|a| matches!(a, Action::Send { .. }))
                .count()
        };
        read(&mut brain, 1);
        assert_eq!(
            sent(&end(&mut brain, 1, AttemptOutcome::Rejected)),
            sends,
            "after a rejection"
        );
        read(&mut brain, 2);
        brain.with(RequestId(2), |me, r| me.on_late(r));
        assert_eq!(sent(&brain.actions), sends, "when late");
    }
}

#[test]
fn what_some_servers_turn_away_goes_to_one_that_does_not_at_once_and_beyond_the_budget() {
    let mut brain = brain(9);
    let three = candidates_of_9(&mut brain);
    brain.bad = 0.6;
    for id in &three {
        brain.servers.get_mut(id).expect("listed").turned = 0.6;
    }
    brain.retry_budget = 0.0;
    read(&mut brain, 1);
    let sent = sent_to(&end(&mut brain, 1, AttemptOutcome::Rejected));
    assert!(sent.is_some_and(|id| !three.contains(&id)), "{sent:?}");
    // With one calm candidate reads go there in the first place, and back to the others as that is long ago.
    brain.servers.get_mut(&three[2]).expect("listed").turned = 0.0;
    let r = Request::new(new_read(2, 9, 1_000 * MS), 0, slot_of_9(), false);
    let picked = |brain: &mut Engine| match brain.pick(&r, false) {
        Pick::To(id) => Some(id),
        _ => None,
    };
    assert_eq!(picked(&mut brain), Some(three[2]));
    (0..100).for_each(|_| brain.housekeeping());
    assert_eq!(picked(&mut brain), Some(three[0]));
}

#[test]
fn a_refused_connection_is_no_charge_on_the_budget_for_retries() {
    for (outcome, goes_on) in [
        (AttemptOutcome::ConnectFailed, true),
        (AttemptOutcome::Reset, false),
    ] {
        let mut brain = brain(9);
        brain.retry_budget = 0.0;
        read(&mut brain, 1);
        let first = brain.requests[&RequestId(1)].attempts[0].server;
        let actions = end(&mut brain, 1, outcome);
        let next = sent_to(&actions);
        assert_eq!(
            next.is_some_and(|id| id != first),
            goes_on,
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn a_read_whose_candidates_are_cold_and_have_had_their_due_goes_beyond_them_at_once() {
    let mut brain = brain(9);
    brain.now = 1_000 * MS;
    let three = candidates_of_9(&mut brain);
    for id in &three {
        let s = brain.servers.get_mut(id).expect("listed");
        (s.entry.started, s.cold_budget, s.cold_budget_at) = (999 * MS, 0.0, 1_000 * MS);
    }
    let actions = read(&mut brain, 1);
    let sent = sent_to(&actions);
    assert!(sent.is_some_and(|id| !three.contains(&id)), "{actions:?}");
    // A copy stays among the candidates: there is none, and none is asked for again while a due is waited for.
    brain.copy_budget = 1.0;
    brain.with(RequestId(1), |me, r| me.on_late(r));
    assert!(
        matches!(
            brain.actions[..],
            [Action::Defer {
                deferral: Deferral::HedgeSuppressed,
                ..
            }]
        ),
        "{:?}",
        brain.actions
    );
}

#[test]
fn a_few_failures_at_once_can_be_retried_and_copied_at_one_of_many_routers_and_no_flood() {
    for (routers, saved) in [
        (4, (COPY_BURST / 2.0, RETRY_BURST / 2.0)),
        (100, (3.0, 3.0)),
    ] {
        let mut brain = Engine::new(
            Settings {
                balancers: routers,
                ..settings()
            },
            1,
            0,
        )
        .expect("settings make sense");
        brain.on_list(
            UpdateKind::Full,
            (1..=9)
                .map(|n| Endpoint {
                    id: EndpointId(n),
                    ..Endpoint::default()
                })
                .collect(),
        );
        for id in 1..=100 {
            read(&mut brain, id);
        }
        assert_eq!(
            (brain.copy_budget, brain.retry_budget),
            saved,
            "{routers} routers"
        );
    }
}

#[test]
fn errors_of_few_servers_are_their_own_and_those_of_many_the_origins() {
    for (servers, room) in [(1, 1.0), (4, 1.0), (5, ORIGIN_CUT)] {
        let mut brain = brain(9);
        for id in 1..=servers {
            let s = brain.servers.get_mut(&EndpointId(id)).expect("listed");
            (s.turned, s.entry.state) = (0.5, EndpointState::Active);
        }
        let r = Request::new(new_read(1, 9, 1_000 * MS), 0, 0, false);
        let attempt = Attempt {
            server: EndpointId(1),
            zone: 0,
            cell: 0,
            sent: 0,
            ended: None,
            origin: false,
        };
        let r = Request {
            attempts: vec![attempt],
            ..r
        };
        let (request, outcome) = (RequestId(1), AttemptOutcome::Error);
        let (attempt, server, latency) = (AttemptNumber(0), EndpointId(1), MS);
        let end = AttemptResult {
            request,
            attempt,
            endpoint: server,
            outcome,
            latency,
            request_finished: false,
            cache_status: None,
            load_report: None,
        };
        brain.judge_origin(&r, &end);
        assert_eq!(brain.origin_room, room, "errors at {servers} of 9");
    }
}

#[test]
fn a_server_that_comes_while_lists_are_told_is_cold_whatever_the_wall_clock_said() {
    let rules = || ServiceRules {
        slow_start_duration: 20_000 * MS,
        slow_start_fraction: 0.1,
        ..settings().rules
    };
    let begin = 10_000_000 * MS;
    // The process started while its machine's wall clock was ahead, or behind, by so much; the list tells true starts.
    for (ahead, behind) in [
        (0, 0),
        (3_600_000, 0),
        (0, 3_600_000),
        (5_000, 0),
        (0, 5_000),
    ] {
        let settings = Settings {
            rules: rules(),
            ..settings()
        };
        let mut brain = Engine::new(settings, 1, 0).expect("settings make sense");
        let own = |time: Nanos| time + ahead * MS - behind * MS;
        brain.now = own(begin);
        brain.on_list(
            UpdateKind::Full,
            vec![Endpoint {
                id: EndpointId(1),
                ..Endpoint::default()
            }],
        );
        let started = begin + 1_000 * MS;
        // It is listed a second after its start.
        brain.now = own(begin + 2_000 * MS);
        brain.on_list(
            UpdateKind::Delta,
            vec![Endpoint {
                id: EndpointId(2),
                started,
                ..Endpoint::default()
            }],
        );
        let part = |brain: &Engine| brain.ramp(&brain.servers[&EndpointId(2)]);
        let at = |age: f64| 0.1 + 0.9 * age / 20.0 + 1e-9;
        assert!(
            part(&brain) <= at(6.0),
            "{ahead} {behind}: {}",
            part(&brain)
        );
        brain.now = own(begin + 12_000 * MS);
        assert!(
            (at(9.9)..at(16.0)).contains(&part(&brain)),
            "{ahead} {behind}: {}",
            part(&brain)
        );
        brain.now = own(begin + 22_000 * MS);
        assert_eq!(
            part(&brain),
            1.0,
            "{ahead} {behind}: in time, however far behind the clock was"
        );
    }
}

#[test]
fn hundreds_of_routers_leave_few_connections_idle_and_a_few_routers_theirs() {
    for (routers, servers, left) in [
        (2, 40, 40),
        (200, 40, 12),
        (2, 400, IDLE_MOST),
        (300, 3_200, IDLE_MOST),
    ] {
        let mut brain = Engine::new(
            Settings {
                balancers: routers,
                ..settings()
            },
            1,
            0,
        )
        .expect("settings make sense");
        let entries = (0..servers)
            .map(|n| Endpoint {
                id: EndpointId(n),
                ..Endpoint::default()
            })
            .collect();
        brain.on_list(UpdateKind::Full, entries);
        brain.now = 1_000 * MS;
        brain
            .servers
            .values_mut()
            .for_each(|s| s.idle_since = Some(400 * MS + s.entry.id.0));
        brain.actions.clear();
        let idle = brain
            .servers
            .iter()
            .filter_map(|(id, s)| Some((s.idle_since?, *id)))
            .collect();
        brain.close_idle(idle);
        let closed: Vec<&Action> = brain
            .actions
            .iter()
            .filter(|a| matches!(a, Action::CloseIdleConnections(_)))
            .collect();
        let beyond = servers as usize - left;
        assert_eq!((closed.len(), brain.actions.len()), (beyond, beyond));
        assert!(
            !closed.contains(&&Action::CloseIdleConnections(EndpointId(servers - 1))),
            "the last used stay"
        );
    }
}

#[test]
fn the_told_number_of_routers_goes_before_the_settings_and_stands_from_then_on() {
    let at = |routers| {
        Engine::new(
            Settings {
                balancers: routers,
                ..settings()
            },
            1,
            0,
        )
        .expect("settings make sense")
    };
    let mut told = at(2);
    let mut actions = Vec::new();
    told.handle(0, Event::BalancerCount(100), &mut actions);
    let many = at(100);
    assert_eq!(
        (told.settings.balancers, told.routers_root),
        (many.settings.balancers, many.routers_root)
    );
    told.handle(0, Event::BalancerCount(0), &mut actions);
    assert_eq!(told.settings.balancers, 1, "this one counts");
}

#[test]
fn an_unused_limit_stays_above_the_least_among_hundreds_of_routers() {
    let mut brain = Engine::new(
        Settings {
            balancers: 900,
            ..settings()
        },
        1,
        0,
    )
    .expect("settings make sense");
    brain.on_list(UpdateKind::Full, vec![Endpoint::default()]);
    (0..1_000).for_each(|_| brain.housekeeping());
    assert_eq!(brain.servers[&EndpointId(0)].limit, LIMIT_MIN);
}

#[test]
fn every_server_has_its_even_share_of_slots_in_a_large_fleet() {
    let mut brain = brain(150);
    let mut first = BTreeMap::new();
    for key in 0..60_000u64 {
        let slot = xxh3_64_with_seed(&key.to_le_bytes(), 0) as usize % SLOTS;
        *first.entry(brain.candidates(slot)[0]).or_insert(0) += 1;
    }
    assert!(
        first.len() == 150 && first.values().all(|n| (300..=500).contains(n)),
        "{first:?}"
    );
}

#[test]
fn a_share_is_turned_away_at_once_while_too_little_is_served_in_time() {
    let mut brain = Engine::new(
        Settings {
            balancers: 300,
            ..settings()
        },
        1,
        0,
    )
    .expect("settings make sense");
    brain.on_list(UpdateKind::Full, vec![Endpoint::default()]);
    let bears = |brain: &mut Engine| (0..1_000).filter(|_| brain.fleet_bears()).count();
    assert_eq!(bears(&mut brain), 1_000, "nothing is known yet");
    for (served, least, most) in [(48, 1_000, 1_000), (10, 240, 400), (0, 240, 360)] {
        brain.now += 100_000 * MS;
        (0..60).for_each(|_| brain.taken.add(brain.now));
        (0..served).for_each(|_| brain.served.add(brain.now));
        let let_through = bears(&mut brain);
        assert!(
            (least..=most).contains(&let_through),
            "{served} of 60 in time: {let_through}"
        );
    }
    // Rejections cost a server nothing: they do not count.
    brain.now += 100_000 * MS;
    read(&mut brain, 1);
    brain.retry_budget = 0.0;
    end(&mut brain, 1, AttemptOutcome::Rejected);
    assert!(brain.requests.is_empty() && brain.taken.per_s(brain.now) < 1e-6);
}

#[test]
fn when_what_is_let_through_is_served_again_the_share_is_back_within_seconds() {
    // Twenty of a hundred routers side by side, 20 requests a second each, of which nine in ten are useful again.
    let mut let_through = 0;
    for seed in 0..20 {
        let settings = Settings {
            balancers: 100,
            ..settings()
        };
        let mut brain = Engine::new(settings, seed, 0).expect("settings make sense");
        (0..60).for_each(|_| brain.taken.add(0));
        for n in 1..=160u64 {
            brain.now = n * 50 * MS;
            if brain.fleet_bears() {
                brain.taken.add(brain.now);
                let_through += u32::from(n > 120);
                if n % 10 > 0 {
                    brain.served.add(brain.now);
                }
            }
        }
    }
    assert!(let_through >= 720, "after 6 s, of 800: {let_through}");
}

#[test]
fn the_share_for_the_origin_moves_faster_at_one_of_many_routers() {
    for (routers, errors, back) in [(2, 5, 80), (100, 1, 11)] {
        let mut brain = Engine::new(
            Settings {
                balancers: routers,
                ..settings()
            },
            1,
            0,
        )
        .expect("settings make sense");
        let steps = |brain: &mut Engine, factor: f64, until: fn(f64) -> bool| {
            (1..).find(|_| {
                brain.move_origin_room(factor);
                until(brain.origin_room)
            })
        };
        assert_eq!(
            steps(&mut brain, ORIGIN_CUT, |room| room < DISTRESS),
            Some(errors)
        );
        brain.origin_room = 0.2;
        assert!(steps(&mut brain, 1.0 + ORIGIN_RISE, |room| room > 0.9).is_some_and(|n| n <= back));
    }
}

#[test]
fn a_server_far_slower_than_the_others_is_drawn_last_until_that_is_forgotten() {
    let mut brain = brain(9);
    let three = candidates_of_9(&mut brain);
    let set = |brain: &mut Engine, id: EndpointId, ms: f64| {
        let s = brain.servers.get_mut(&id).expect("listed");
        s.latency = Mean::default();
        s.latency.add(10e6, LATENCY_GAIN, 0.0);
        s.latency.now = ms * 1e6;
    };
    let picked = |brain: &mut Engine| {
        let r = Request::new(new_read(2, 9, 1_000 * MS), 0, slot_of_9(), false);
        match brain.pick(&r, false) {
            Pick::To(id) => Some(id),
            _ => None,
        }
    };
    brain.known.insert(Some(Key(9)), three[0]);
    // All alike slow is the load, not the server.
    for (others, to_slow) in [(100.0, true), (10.0, false)] {
        (1..=9).for_each(|id| set(&mut brain, EndpointId(id), others));
        set(&mut brain, three[0], 100.0);
        brain.housekeeping();
        let to = (0..100)
            .filter(|_| picked(&mut brain) == Some(three[0]))
            .count();
        assert_eq!(to > 90, to_slow, "{to}");
    }
    (0..100).for_each(|_| brain.housekeeping());
    assert_eq!(picked(&mut brain), Some(three[0]), "it gets its trial");
}

// ---- the level that all routers shed by ----

/// Two classes, of which the first is worth less, and a tenant that may ask for little.
fn two_classes() -> Settings {
    let mut settings = settings();
    settings.classes.push(RequestClass {
        priority_weight: 10.0,
        ..settings.classes[0].clone()
    });
    settings.tenants.push(Tenant {
        quota_per_second: 0.001,
    });
    (
        settings.over_quota_weight,
        settings.capabilities.retry_after,
    ) = (0.2, true);
    settings.capabilities.max_retry_after = 5_000 * MS;
    settings
}

fn listed(settings: Settings, seed: u64) -> Engine {
    let mut brain = Engine::new(settings, seed, 0).expect("settings make sense");
    let entries = (1..=9).map(|i| Endpoint {
        id: EndpointId(i),
        weight: 1.0,
        ..Endpoint::default()
    });
    brain.on_list(UpdateKind::Full, entries.collect());
    brain.servers.values_mut().for_each(|s| s.limit = 1e6);
    brain
}

fn allow(level: f64, turn: u64) -> Event {
    Event::FleetShedding(SheddingLevel {
        level,
        rotation: turn,
        rotation_ends: (turn + 1) * 1_000 * MS,
    })
}

/// Which of the keys 0 to 999 are shed of a class.
fn shed(brain: &mut Engine, class: usize, tenant: Option<TenantId>) -> Vec<u64> {
    let mut shed = Vec::new();
    for key in 0..1_000 {
        let id = (brain.next_token as u128) << 32 | u128::from(key);
        let new = NewRequest {
            class: ClassId(class),
            tenant,
            ..new_read(id, key, 1_000 * MS)
        };
        let mut actions = Vec::new();
        brain.handle(brain.now, Event::RequestArrived(new), &mut actions);
        let level = |a: &Action| matches!(a, Action::Reject { explanation: why, .. } if why.reason == DecisionReason::FleetShedding);
        shed.extend(actions.iter().any(level).then_some(key));
    }
    shed
}

#[test]
fn all_routers_shed_the_same_requests_those_of_least_worth_first_and_others_at_the_next_turn() {
    let (mut one, mut other) = (listed(two_classes(), 1), listed(two_classes(), 2));
    // The tiers: beyond the share 0 and 1, within it 2 (or 1) and 3.
    assert_eq!(one.tiers, [1, 0, 3, 2], "0.2, 1.0, 2.0, 10.0");
    let mut events = Vec::new();
    for brain in [&mut one, &mut other] {
        brain.handle(0, allow(1.4, 6), &mut events);
    }
    let before = shed(&mut one, 0, None);
    assert_eq!(before, shed(&mut other, 0, None), "the same at both");
    assert!((350..450).contains(&before.len()), "{}", before.len());
    assert_eq!(shed(&mut one, 1, None), [0; 0], "worth ten times as much");
    let over = shed(&mut one, 0, Some(TenantId(0)));
    assert!(
        (930..970).contains(&over.len()),
        "beyond its share, and some still get in: {}",
        over.len()
    );
    one.handle(1_000 * MS, allow(1.4, 7), &mut events);
    let after = shed(&mut one, 0, None);
    assert!(
        !after.iter().any(|key| before.contains(key)),
        "who comes back at the next turn is let in"
    );
    one.handle(1_000 * MS, allow(0.0, 8), &mut events);
    assert_eq!(shed(&mut one, 0, None), [0; 0]);
}

#[test]
fn who_is_shed_is_told_to_come_back_after_the_turn() {
    let mut brain = listed(two_classes(), 1);
    let mut actions = Vec::new();
    brain.handle(300 * MS, allow(4.0, 0), &mut actions);
    let mut waits = Vec::new();
    for id in 0..200 {
        brain.handle(
            300 * MS,
            Event::RequestArrived(new_read(id, id as u64, 500 * MS)),
            &mut actions,
        );
    }
    for action in &actions {
        if let Action::Reject { retry_after, .. } = action {
            waits.push(*retry_after);
        }
    }
    assert!(waits.len() > 180);
    assert!(
        waits.iter().all(|w| (700 * MS..900 * MS).contains(w)),
        "0.7 s are left, and the aim is spread over"
    );
    let tally = brain.take_admission_counts();
    assert_eq!(
        tally.admitted.iter().sum::<u32>() as usize + waits.len(),
        200
    );
    assert_eq!(
        (tally.capacity_rejections, brain.take_admission_counts()),
        (0, AdmissionCounts::default()),
        "shed is not short"
    );
}

#[test]
fn an_allowance_for_all_changes_no_decision() {
    let (mut without, mut with) = (listed(two_classes(), 7), listed(two_classes(), 7));
    let (mut a, mut b) = (Vec::new(), Vec::new());
    with.handle(0, allow(0.0, 3), &mut b);
    for id in 0..300u64 {
        let now = id * 3 * MS;
        let new = NewRequest {
            class: ClassId(id as usize % 2),
            ..new_read(id.into(), id % 40, 300 * MS)
        };
        without.handle(now, Event::RequestArrived(new), &mut a);
        with.handle(now, Event::RequestArrived(new), &mut b);
        if id % 100 == 99 {
            with.handle(now, allow(0.0, id), &mut b);
        }
    }
    assert_eq!(a, b);
    assert!(a.len() > 600);
}

#[test]
fn a_keyed_repeat_begins_within_its_window_and_what_never_ran_does_not_bound_it() {
    for (outcome, bound) in [
        (AttemptOutcome::Reset, Some(250 * MS)),
        (AttemptOutcome::ConnectFailed, None),
    ] {
        let mut brain = brain(3);
        brain.settings.classes[0].idempotency = Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: 300 * MS,
        };
        let within = |actions: Vec<Action>| {
            let send = |a| {
                if let Action::Send {
                    write_within: begin_within,
                    ..
                } = a
                {
                    Some(begin_within)
                } else {
                    None
                }
            };
            actions.into_iter().find_map(send)
        };
        assert_eq!(
            within(read(&mut brain, 1)),
            Some(None),
            "the first is no repeat"
        );
        brain.now += 50 * MS;
        assert_eq!(
            within(end(&mut brain, 1, outcome)),
            Some(bound),
            "{outcome:?}"
        );
    }
}

#[test]
fn after_failed_calls_the_next_comes_before_a_failed_call_counts_as_told() {
    // 3.75 s, and 1.6 s for a call that hangs: under the 6 s after which a change counts as told whatever failed.
    for (within, longest) in [(10_000, 3_750), (1_000, 3_000), (0, 3_750)] {
        let mut brain = brain(1);
        brain.settings.discovery = DiscoveryMode::Poll {
            staleness_limit: within * MS,
        };
        let mut most = 0;
        for _ in 0..200 {
            let mut actions = Vec::new();
            let failed = Event::EndpointUpdate {
                kind: UpdateKind::Failed,
                endpoints: Vec::new(),
            };
            brain.handle(brain.now, failed, &mut actions);
            let call = |a| {
                if let Action::SetTimer { after, token } = a {
                    Some((after, token))
                } else {
                    None
                }
            };
            let waits = actions.into_iter().filter_map(call);
            let waits =
                waits.filter(|(_, token)| matches!(brain.timers.get(&token.0), Some(Timer::Call)));
            most = most.max(waits.map(|(after, _)| after).max().unwrap_or(0));
        }
        assert!(
            most > longest * MS / 2 && most <= longest * MS,
            "{within}: {most}"
        );
    }
}

#[test]
fn what_is_open_when_the_router_ends_is_answered_by_then_and_what_ends_sooner_when_it_would() {
    let by = 400 * MS;
    // One is out, one waits for room, one has little time anyway.
    for (patience, answered) in [(60_000, 400), (300, 300)] {
        for servers in [0, 3] {
            let mut brain = brain(servers);
            let mut actions = Vec::new();
            brain.handle(
                0,
                Event::RequestArrived(new_read(1, 9, patience * MS)),
                &mut actions,
            );
            brain.handle(100 * MS, Event::ShuttingDown(by), &mut actions);
            let timer = |a: &Action| {
                if let Action::SetTimer { token, .. } = a {
                    Some(*token)
                } else {
                    None
                }
            };
            let deadline =
                |t: &TimerToken| matches!(brain.timers.get(&t.0), Some(Timer::Deadline(_)));
            let tokens: Vec<TimerToken> =
                actions.iter().filter_map(timer).filter(deadline).collect();
            let answers = |actions: &[Action]| {
                let is_one = |a: &&Action| matches!(a, Action::Reject { .. } | Action::Fail { .. });
                actions.iter().filter(is_one).count()
            };
            assert_eq!(answers(&actions), 0, "{patience} {servers}: not before");
            let mut all = Vec::new();
            for token in tokens {
                brain.handle(answered * MS, Event::TimerFired(token), &mut all);
            }
            assert_eq!(answers(&all), 1, "{patience} {servers}: {all:?}");
        }
    }
}

#[test]
fn what_failed_before_discovery_moved_or_answered_delays_no_call_from_then_on() {
    let mut brain = brain(1);
    brain.settings.discovery = DiscoveryMode::Poll {
        staleness_limit: 10_000 * MS,
    };
    let failed = || Event::EndpointUpdate {
        kind: UpdateKind::Failed,
        endpoints: Vec::new(),
    };
    let mut actions = Vec::new();
    for _ in 0..9 {
        brain.handle(0, failed(), &mut actions);
    }
    assert_eq!(brain.call_backoff, CALL_BACKOFF_MAX);
    brain.handle(0, Event::DiscoveryAvailable, &mut actions);
    actions.clear();
    brain.handle(0, failed(), &mut actions);
    let after = |a: &Action| {
        if let Action::SetTimer { after, .. } = a {
            Some(*after)
        } else {
            None
        }
    };
    let wait = actions.iter().filter_map(after).max();
    assert!(
        wait.is_some_and(|wait| wait <= 600 * MS),
        "{wait:?}: what it tells counts as told 4 s after a move, or 6 s after it fell silent"
    );
}

#[test]
fn of_several_failed_calls_one_is_made_again() {
    let mut brain = brain(1);
    brain.settings.discovery = DiscoveryMode::Poll {
        staleness_limit: 10_000 * MS,
    };
    let mut actions = Vec::new();
    // A call failed, and the one at the new address that a reload began meanwhile.
    for _ in 0..2 {
        brain.handle(
            0,
            Event::EndpointUpdate {
                kind: UpdateKind::Failed,
                endpoints: Vec::new(),
            },
            &mut actions,
        );
    }
    let token = |a: &Action| {
        if let Action::SetTimer { token, .. } = a {
            Some(*token)
        } else {
            None
        }
    };
    let tokens: Vec<TimerToken> = actions.iter().filter_map(token).collect();
    actions.clear();
    for token in tokens {
        brain.handle(10_000 * MS, Event::TimerFired(token), &mut actions);
    }
    assert_eq!(
        actions
            .iter()
            .filter(|a| **a == Action::QueryDiscovery)
            .count(),
        1
    );
}
