//! Exact values of the parts: percentile and decay, cap, draw, ranking, ramp and budget.

use super::*;

pub(super) fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            effect: Effect::Safe,
            aim: 200 * MS,
            deadline: 1_000 * MS,
            worth: 1.0,
            late_value: 0.0,
        }],
        tenants: Vec::new(),
        over_share_worth: 0.0,
        routers: 2,
        origin: Origin::Through,
        discovery: Discovery::Pushed,
        live_weights: false,
        limits: Limits {
            max_attempts: 4,
            second_copies: true,
            cancel: true,
            probes: false,
            retry_after: false,
            max_retry_after: 0,
        },
        rules: Rules {
            answer_slack: 20 * MS,
            drain_grace: 250 * MS,
            cold_from: 0.2,
            warm_after: 10_000 * MS,
            overload_factor: 2.5,
            tip_after: 3_000 * MS,
        },
        tick: 5 * MS,
    }
}

pub(super) fn brain(servers: u64) -> Brain {
    let mut brain = Brain::new(settings(), 1, 0).expect("settings make sense");
    let entries = (1..=servers).map(|i| Entry {
        server: ServerId(i),
        weight: 1.0,
        ..Entry::default()
    });
    brain.on_list(ListScope::Whole, entries.collect());
    brain
}

/// A read of this key.
fn new_read(id: u128, key: u64, patience: Nanos) -> NewRequest {
    NewRequest {
        id: RequestId(id),
        class: ClassId(0),
        tenant: None,
        key: Some(Key(key)),
        patience,
        work: None,
        write: false,
    }
}

/// The candidates for key 9.
fn candidates_of_9(brain: &mut Brain) -> Vec<ServerId> {
    brain.candidates(slot_of_9()).to_vec()
}

fn slot_of_9() -> usize {
    xxh3_64_with_seed(&9u64.to_le_bytes(), 0) as usize % SLOTS
}

/// A read with key 9, and what its arrival leads to.
fn read(brain: &mut Brain, id: u128) -> Vec<Action> {
    let new = new_read(id, 9, 1_000 * MS);
    let mut actions = Vec::new();
    brain.handle(brain.now, Event::Request(new), &mut actions);
    actions
}

/// The end of its first attempt.
fn end(brain: &mut Brain, id: u128, outcome: Outcome) -> Vec<Action> {
    let server = brain.requests[&RequestId(id)].attempts[0].server;
    let (request, attempt, latency) = (RequestId(id), AttemptNo(0), 10 * MS);
    let finished = outcome == Outcome::Ok;
    let mut actions = Vec::new();
    let end = Ended {
        request,
        attempt,
        server,
        outcome,
        latency,
        finished,
        note: None,
        load: None,
    };
    brain.handle(brain.now, Event::Ended(end), &mut actions);
    actions
}

/// Where the first attempt that these send goes.
fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
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
    let gone = Entry {
        server: ServerId(4),
        phase: Phase::Removed,
        ..Entry::default()
    };
    brain.on_list(ListScope::Patch, vec![gone]);
    for (slot, mut ranked) in before.into_iter().enumerate() {
        ranked.retain(|id| *id != ServerId(4));
        assert!(brain.ranking(slot).eq(ranked.iter().copied()));
        assert_eq!(*brain.candidates(slot), ranked[..3]);
    }
}

#[test]
fn a_servers_share_of_first_ranks_follows_its_weight() {
    let mut brain = brain(3);
    let big = Entry {
        server: ServerId(3),
        weight: 2.0,
        ..Entry::default()
    };
    brain.on_list(ListScope::Patch, vec![big]);
    let first = (0..SLOTS)
        .filter(|s| brain.ranking(*s).next() == Some(ServerId(3)))
        .count();
    assert!(
        (SLOTS * 45 / 100..SLOTS * 55 / 100).contains(&first),
        "{first}"
    );
}

#[test]
fn of_two_draws_fewer_in_flight_wins_and_rank_breaks_ties() {
    let mut brain = brain(3);
    let two = [(0, ServerId(2)), (1, ServerId(1))];
    assert_eq!(brain.draw(&two, None, None), Some(ServerId(2)));
    // One in flight at the first rank is what a fetch elsewhere counts for; the second decides.
    for expected in [ServerId(2), ServerId(1)] {
        let first = brain.servers.get_mut(&ServerId(2)).expect("listed");
        first.out.push((0, RequestId(1), AttemptNo(0)));
        assert_eq!(brain.draw(&two, None, None), Some(expected));
    }
    assert_eq!(brain.draw(&[], None, None), None);
}

#[test]
fn draws_follow_the_reported_hit_share() {
    let mut brain = brain(3);
    brain.hits = [0.5; CANDIDATES]; // Told alike of all ranks.
    brain.servers.get_mut(&ServerId(3)).expect("listed").hits = 0.25;
    let three = [(0, ServerId(3)), (1, ServerId(1)), (2, ServerId(2))];
    let won = (0..4_000)
        .filter(|_| brain.draw(&three, None, None) == Some(ServerId(3)))
        .count();
    // Weights 1, 2, 2: drawn first 1/5, or second 2 x 2/5 x 1/3; best rank, so it wins when drawn: 46.7 %.
    assert!((1_800..1_940).contains(&won), "{won}");
}

#[test]
fn the_ramp_rises_evenly_from_the_cold_share() {
    let mut brain = brain(3);
    let entry = Entry {
        started: 50_000 * MS,
        ..Entry::default()
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
        (Effect::Safe, true, true),
        (Effect::Safe, false, false),
        (
            Effect::Keyed {
                group: Group::All,
                window: 500 * MS,
            },
            true,
            false,
        ),
        (Effect::Unsafe, true, false),
    ] {
        let mut brain = brain(3);
        brain.settings.classes[0].effect = effect;
        brain.settings.limits.second_copies = allowed;
        brain.on_request(new_read(1, 1, 1_000 * MS));
        let r = &brain.requests[&RequestId(1)];
        assert_eq!(r.out(), 1);
        for id in 1..=3 {
            assert_eq!(brain.legal(r, Step::Copy(ServerId(id))), legal);
            assert_eq!(brain.legal(r, Step::Send(ServerId(id))), legal);
        }
    }
}

#[test]
fn unused_limits_fade_to_the_start_and_used_ones_stay() {
    let mut brain = brain(2);
    for id in 1..=2 {
        brain.servers.get_mut(&ServerId(id)).expect("listed").limit = 12.0;
    }
    let busy = brain.servers.get_mut(&ServerId(2)).expect("listed");
    busy.out = (0..8).map(|n| (0, RequestId(n), AttemptNo(0))).collect();
    for _ in 0..30 {
        brain.housekeeping();
    }
    let limit = |n| brain.servers[&ServerId(n)].limit;
    assert!((limit(1) - 12.0 * 0.98f64.powi(30)).abs() < 1e-9);
    assert_eq!(limit(2), 12.0);
    for _ in 0..300 {
        brain.housekeeping();
    }
    assert_eq!(brain.servers[&ServerId(1)].limit, LIMIT_START / 2.0);
}

#[test]
fn a_key_goes_back_to_who_answered_it_lately() {
    let mut brain = brain(3);
    let three = [(0, ServerId(2)), (1, ServerId(1)), (2, ServerId(3))];
    brain.known.insert(Some(Key(5)), ServerId(3));
    let stayed = (0..1_000)
        .filter(|_| brain.draw(&three, Some(Key(5)), None) == Some(ServerId(3)))
        .count();
    assert!(stayed > 990, "{stayed}");
    // Far busier than the others, it is passed over.
    let holder = brain.servers.get_mut(&ServerId(3)).expect("listed");
    holder.out = (0..3).map(|n| (0, RequestId(n), AttemptNo(0))).collect();
    let stayed = (0..1_000)
        .filter(|_| brain.draw(&three, Some(Key(5)), None) == Some(ServerId(3)))
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
        let end = Ended {
            request: RequestId(id),
            attempt: AttemptNo(0),
            server: out.attempts[0].server,
            outcome: Outcome::Ok,
            latency,
            finished: true,
            note: Some(CacheNote::Miss),
            load: None,
        };
        brain.handle(id as u64 * 100 * MS, Event::Ended(end), &mut r);
    }
    assert_eq!(brain.origin_room, 1.0);
}

#[test]
fn finished_requests_and_gone_servers_leave_nothing_behind() {
    let mut brain = brain(3);
    let mut r = Vec::new();
    for id in 1..=300u128 {
        let new = new_read(id, id as u64, 100 * MS);
        brain.handle(id as u64 * MS, Event::Request(new), &mut r);
        let sent: Vec<_> = brain
            .requests
            .get(&RequestId(id))
            .into_iter()
            .flat_map(|r| &r.attempts)
            .collect();
        let Some(server) = sent.first().map(|a| a.server) else {
            continue;
        };
        let end = Ended {
            request: RequestId(id),
            attempt: AttemptNo(0),
            server,
            outcome: Outcome::Ok,
            latency: MS,
            finished: true,
            note: None,
            load: None,
        };
        brain.handle(id as u64 * MS, Event::Ended(end), &mut r);
    }
    for token in 1..=brain.next_token {
        brain.handle(60_000 * MS, Event::Timer(Token(token)), &mut r);
    }
    brain.handle(
        60_000 * MS,
        Event::List {
            scope: ListScope::Whole,
            entries: Vec::new(),
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
        let s = brain.servers.get_mut(&ServerId(1)).expect("listed");
        s.limit = limit;
        s.out = (0..out).map(|n| (0, RequestId(n), AttemptNo(0))).collect();
        let s = &brain.servers[&ServerId(1)];
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
            .map(|n| (0, RequestId(100 + n), AttemptNo(0)))
            .collect();
    }
    let to: Vec<ServerId> = (0..3)
        .flat_map(|id| read(&mut brain, id))
        .filter_map(|a| match a {
            Action::Send { server, .. } => Some(server),
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
        let s = brain.servers.get_mut(&ServerId(1)).expect("listed");
        s.limit = limit;
        s.latency = Mean::default();
        s.latency.add(10e6, LATENCY_GAIN, 0.0);
        s.out = (0..4).map(|n| (0, RequestId(n), AttemptNo(0))).collect();
        brain.judge(&Ended {
            request: RequestId(0),
            attempt: AttemptNo(0),
            server: ServerId(1),
            outcome: Outcome::Ok,
            latency: 10 * MS,
            finished: true,
            note: Some(CacheNote::Hit),
            load: None,
        });
        grown.push((brain.servers[&ServerId(1)].limit - limit) * limit);
    }
    assert!(
        (grown[0] - LIMIT_STEP).abs() < 1e-6 && (grown[1] - LIMIT_STEP_HIGH).abs() < 1e-6,
        "{grown:?}"
    );
}

/// What an answered read that hits, after this long, makes of a limit of 2 that is reached; alone it takes 10 ms.
fn limit_after(latency: Nanos, aim: Nanos) -> f64 {
    let mut settings = settings();
    settings.classes.iter_mut().for_each(|c| c.aim = aim);
    let mut brain = Brain::new(settings, 1, 0).expect("settings make sense");
    brain.on_list(
        ListScope::Whole,
        vec![Entry {
            server: ServerId(1),
            weight: 1.0,
            ..Entry::default()
        }],
    );
    let s = brain.servers.get_mut(&ServerId(1)).expect("listed");
    s.limit = 2.0;
    s.latency = Mean::of([10e6, 10e6, 1000.0]);
    s.out = (0..2).map(|n| (0, RequestId(n), AttemptNo(0))).collect();
    for n in 0..2 {
        let (request, attempt, server) = (RequestId(n), AttemptNo(0), ServerId(1));
        let (outcome, finished, note) = (Outcome::Ok, true, Some(CacheNote::Hit));
        brain.judge(&Ended {
            request,
            attempt,
            server,
            outcome,
            latency,
            finished,
            note,
            load: None,
        });
    }
    brain.servers[&ServerId(1)].limit
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
            brain.known.insert(Some(Key(9)), ServerId(1));
        }
        let new = NewRequest {
            write,
            ..new_read(1, 9, 1_000 * MS)
        };
        brain.handle(0, Event::Request(new), &mut Vec::new());
        let before = brain.servers[&ServerId(1)].limit;
        end(&mut brain, 1, Outcome::Full);
        let after = brain.servers[&ServerId(1)].limit;
        assert_eq!(after < before, cut, "holds {holds}, write {write}");
    }
}

#[test]
fn heavy_work_is_drawn_to_the_quick_and_light_work_hardly() {
    let mut brain = brain(3);
    let three = [(1, ServerId(1)), (1, ServerId(2)), (1, ServerId(3))];
    for (id, took) in [(1, 100e6), (2, 50e6), (3, 50e6)] {
        brain
            .servers
            .get_mut(&ServerId(id))
            .expect("listed")
            .pace
            .add(took, 50e6, PACE_GAIN);
    }
    brain.aim = 1_000e6;
    let mut slow = |work| {
        (0..3_000)
            .filter(|_| brain.draw(&three, None, work) == Some(ServerId(1)))
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
    brain.settings.limits.max_attempts = 6;
    let three = candidates_of_9(&mut brain);
    let mut sent = vec![sent_to(&read(&mut brain, 1)).expect("sent")];
    while three.contains(&sent[sent.len() - 1]) {
        let (request, attempt) = (RequestId(1), AttemptNo(sent.len() as u32 - 1));
        let (server, outcome) = (sent[sent.len() - 1], Outcome::ConnectFailed);
        let (latency, finished, note, load) = (0, false, None, None);
        let end = Ended {
            request,
            attempt,
            server,
            outcome,
            latency,
            finished,
            note,
            load,
        };
        let mut actions = Vec::new();
        brain.handle(brain.now, Event::Ended(end), &mut actions);
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
        let sends = end(&mut brain, 1, Outcome::Error)
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
    end(&mut brain, 2, Outcome::Ok);
    assert_eq!(brain.origin_room, 1.0);
    end(&mut brain, 1, Outcome::Timeout);
    // The server answered this key just now: it did not have to fetch it.
    assert_eq!(brain.origin_room, 1.0);
    brain.known.remove(Some(Key(9)), ServerId(1));
    read(&mut brain, 3);
    read(&mut brain, 4);
    brain.now += 20 * MS;
    brain
        .servers
        .get_mut(&ServerId(1))
        .expect("listed")
        .last_answer = brain.now;
    end(&mut brain, 3, Outcome::Timeout);
    assert_eq!(brain.origin_room, ORIGIN_CUT);
    assert_eq!(brain.servers[&ServerId(1)].strikes, 0.0);
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
                Event::Request(new_read(id, 9, patience)),
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
            end(&mut brain, id, Outcome::Timeout);
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
    let borne = |brain: &mut Brain| (0..1_000).filter(|_| brain.origin_bears(&r)).count();
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
    let routers_root = |brain: &mut Brain, n: u128| {
        for id in three.iter().filter(|id| **id != first) {
            let s = brain.servers.get_mut(id).expect("listed");
            s.out = (0..n)
                .map(|n| (brain.now, RequestId(100 + n), AttemptNo(0)))
                .collect();
        }
    };
    routers_root(&mut brain, 20);
    let late = |brain: &mut Brain| {
        brain.now += 11 * MS;
        let due: Vec<u64> = brain
            .timers
            .iter()
            .filter(|(_, t)| matches!(t, Timer::Copy(_)))
            .map(|t| *t.0)
            .collect();
        let mut actions = Vec::new();
        due.into_iter()
            .for_each(|t| brain.handle(brain.now, Event::Timer(Token(t)), &mut actions));
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
        timeout(end(&mut brain, 2, Outcome::Timeout)),
        Some(Some(hopeless))
    );
    brain.settings.limits.max_attempts = 1;
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
                .map(|n| (0, RequestId(100 + n), AttemptNo(0)))
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
            .filter(|a| matches!(a, Action::Refuse { .. }))
            .count();
        assert_eq!(refused, 1);
    }
}

#[test]
fn advice_is_within_the_aim_for_want_of_room_and_beyond_it_in_overload() {
    let mut brain = brain(3);
    brain.settings.limits.retry_after = true;
    let r = Request::new(new_read(1, 9, 1_000 * MS), 0, slot_of_9(), false);
    brain.now = 100 * MS;
    for _ in 0..200 {
        assert!((25 * MS..75 * MS).contains(&brain.advice(&r, Reason::Limit)));
        assert!((100 * MS..300 * MS).contains(&brain.advice(&r, Reason::Origin)));
        assert_eq!(brain.advice(&r, Reason::Late), 0, "nobody waits any more");
    }
}

#[test]
fn one_trial_at_a_time() {
    let mut brain = brain(1);
    read(&mut brain, 1);
    let r = brain.requests.remove(&RequestId(1)).expect("open");
    let s = brain.servers.get_mut(&ServerId(1)).expect("listed");
    (s.suspect_until, s.proven) = (Some(0), true);
    assert!(brain.fitness(&r, ServerId(1), true) == Fitness::Suspect);
    brain
        .servers
        .get_mut(&ServerId(1))
        .expect("listed")
        .out
        .clear();
    assert!(brain.fitness(&r, ServerId(1), true) == Fitness::Open);
}

#[test]
fn strikes_that_chance_brings_everywhere_eject_nobody_and_earn_no_copies_or_retries() {
    let strikes = |bad: f64| {
        let mut brain = brain(3);
        brain.bad = bad;
        let mut n = 0;
        while brain.servers[&ServerId(1)].suspect_until.is_none() {
            brain.servers.get_mut(&ServerId(1)).expect("listed").strikes += 1.0;
            brain.with_server(ServerId(1), |me, s| me.suspect(ServerId(1), s, 0.0));
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
            sent(&end(&mut brain, 1, Outcome::Full)),
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
    let sent = sent_to(&end(&mut brain, 1, Outcome::Full));
    assert!(sent.is_some_and(|id| !three.contains(&id)), "{sent:?}");
    // With one calm candidate reads go there in the first place, and back to the others as that is long ago.
    brain.servers.get_mut(&three[2]).expect("listed").turned = 0.0;
    let r = Request::new(new_read(2, 9, 1_000 * MS), 0, slot_of_9(), false);
    let picked = |brain: &mut Brain| match brain.pick(&r, false) {
        Pick::To(id) => Some(id),
        _ => None,
    };
    assert_eq!(picked(&mut brain), Some(three[2]));
    (0..100).for_each(|_| brain.housekeeping());
    assert_eq!(picked(&mut brain), Some(three[0]));
}

#[test]
fn a_refused_connection_is_no_charge_on_the_budget_for_retries() {
    for (outcome, goes_on) in [(Outcome::ConnectFailed, true), (Outcome::Reset, false)] {
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
            [Action::Note {
                withheld: Withheld::Copy,
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
        let mut brain = Brain::new(
            Settings {
                routers,
                ..settings()
            },
            1,
            0,
        )
        .expect("settings make sense");
        brain.on_list(
            ListScope::Whole,
            (1..=9)
                .map(|n| Entry {
                    server: ServerId(n),
                    ..Entry::default()
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
            let s = brain.servers.get_mut(&ServerId(id)).expect("listed");
            (s.turned, s.entry.phase) = (0.5, Phase::Up);
        }
        let r = Request::new(new_read(1, 9, 1_000 * MS), 0, 0, false);
        let attempt = Attempt {
            server: ServerId(1),
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
        let (request, outcome) = (RequestId(1), Outcome::Error);
        let (attempt, server, latency) = (AttemptNo(0), ServerId(1), MS);
        let end = Ended {
            request,
            attempt,
            server,
            outcome,
            latency,
            finished: false,
            note: None,
            load: None,
        };
        brain.judge_origin(&r, &end);
        assert_eq!(brain.origin_room, room, "errors at {servers} of 9");
    }
}

#[test]
fn a_server_that_comes_while_lists_are_told_is_cold_whatever_the_wall_clock_said() {
    let rules = || Rules {
        warm_after: 20_000 * MS,
        cold_from: 0.1,
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
        let mut brain = Brain::new(settings, 1, 0).expect("settings make sense");
        let own = |time: Nanos| time + ahead * MS - behind * MS;
        brain.now = own(begin);
        brain.on_list(
            ListScope::Whole,
            vec![Entry {
                server: ServerId(1),
                ..Entry::default()
            }],
        );
        let started = begin + 1_000 * MS;
        // It is listed a second after its start.
        brain.now = own(begin + 2_000 * MS);
        brain.on_list(
            ListScope::Patch,
            vec![Entry {
                server: ServerId(2),
                started,
                ..Entry::default()
            }],
        );
        let part = |brain: &Brain| brain.ramp(&brain.servers[&ServerId(2)]);
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
        let mut brain = Brain::new(
            Settings {
                routers,
                ..settings()
            },
            1,
            0,
        )
        .expect("settings make sense");
        let entries = (0..servers)
            .map(|n| Entry {
                server: ServerId(n),
                ..Entry::default()
            })
            .collect();
        brain.on_list(ListScope::Whole, entries);
        brain.now = 1_000 * MS;
        brain
            .servers
            .values_mut()
            .for_each(|s| s.idle_since = Some(400 * MS + s.entry.server.0));
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
            .filter(|a| matches!(a, Action::Close(_)))
            .collect();
        let beyond = servers as usize - left;
        assert_eq!((closed.len(), brain.actions.len()), (beyond, beyond));
        assert!(
            !closed.contains(&&Action::Close(ServerId(servers - 1))),
            "the last used stay"
        );
    }
}

#[test]
fn the_told_number_of_routers_goes_before_the_settings_and_stands_from_then_on() {
    let at = |routers| {
        Brain::new(
            Settings {
                routers,
                ..settings()
            },
            1,
            0,
        )
        .expect("settings make sense")
    };
    let mut told = at(2);
    let mut actions = Vec::new();
    told.handle(0, Event::Routers(100), &mut actions);
    let many = at(100);
    assert_eq!(
        (told.settings.routers, told.routers_root),
        (many.settings.routers, many.routers_root)
    );
    told.handle(0, Event::Routers(0), &mut actions);
    assert_eq!(told.settings.routers, 1, "this one counts");
}

#[test]
fn an_unused_limit_stays_above_the_least_among_hundreds_of_routers() {
    let mut brain = Brain::new(
        Settings {
            routers: 900,
            ..settings()
        },
        1,
        0,
    )
    .expect("settings make sense");
    brain.on_list(ListScope::Whole, vec![Entry::default()]);
    (0..1_000).for_each(|_| brain.housekeeping());
    assert_eq!(brain.servers[&ServerId(0)].limit, LIMIT_MIN);
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
    let mut brain = Brain::new(
        Settings {
            routers: 300,
            ..settings()
        },
        1,
        0,
    )
    .expect("settings make sense");
    brain.on_list(ListScope::Whole, vec![Entry::default()]);
    let bears = |brain: &mut Brain| (0..1_000).filter(|_| brain.fleet_bears()).count();
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
    end(&mut brain, 1, Outcome::Full);
    assert!(brain.requests.is_empty() && brain.taken.per_s(brain.now) < 1e-6);
}

#[test]
fn when_what_is_let_through_is_served_again_the_share_is_back_within_seconds() {
    // Twenty of a hundred routers side by side, 20 requests a second each, of which nine in ten are useful again.
    let mut let_through = 0;
    for seed in 0..20 {
        let settings = Settings {
            routers: 100,
            ..settings()
        };
        let mut brain = Brain::new(settings, seed, 0).expect("settings make sense");
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
        let mut brain = Brain::new(
            Settings {
                routers,
                ..settings()
            },
            1,
            0,
        )
        .expect("settings make sense");
        let steps = |brain: &mut Brain, factor: f64, until: fn(f64) -> bool| {
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
    let set = |brain: &mut Brain, id: ServerId, ms: f64| {
        let s = brain.servers.get_mut(&id).expect("listed");
        s.latency = Mean::default();
        s.latency.add(10e6, LATENCY_GAIN, 0.0);
        s.latency.now = ms * 1e6;
    };
    let picked = |brain: &mut Brain| {
        let r = Request::new(new_read(2, 9, 1_000 * MS), 0, slot_of_9(), false);
        match brain.pick(&r, false) {
            Pick::To(id) => Some(id),
            _ => None,
        }
    };
    brain.known.insert(Some(Key(9)), three[0]);
    // All alike slow is the load, not the server.
    for (others, to_slow) in [(100.0, true), (10.0, false)] {
        (1..=9).for_each(|id| set(&mut brain, ServerId(id), others));
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
    settings.classes.push(Class {
        worth: 10.0,
        ..settings.classes[0].clone()
    });
    settings.tenants.push(Tenant {
        allowance_per_s: 0.001,
    });
    (settings.over_share_worth, settings.limits.retry_after) = (0.2, true);
    settings.limits.max_retry_after = 5_000 * MS;
    settings
}

fn listed(settings: Settings, seed: u64) -> Brain {
    let mut brain = Brain::new(settings, seed, 0).expect("settings make sense");
    let entries = (1..=9).map(|i| Entry {
        server: ServerId(i),
        weight: 1.0,
        ..Entry::default()
    });
    brain.on_list(ListScope::Whole, entries.collect());
    brain.servers.values_mut().for_each(|s| s.limit = 1e6);
    brain
}

fn allow(level: f64, turn: u64) -> Event {
    Event::Allowance(Allowance {
        level,
        turn,
        turn_ends: (turn + 1) * 1_000 * MS,
    })
}

/// Which of the keys 0 to 999 are shed of a class.
fn shed(brain: &mut Brain, class: usize, tenant: Option<TenantId>) -> Vec<u64> {
    let mut shed = Vec::new();
    for key in 0..1_000 {
        let id = (brain.next_token as u128) << 32 | u128::from(key);
        let new = NewRequest {
            class: ClassId(class),
            tenant,
            ..new_read(id, key, 1_000 * MS)
        };
        let mut actions = Vec::new();
        brain.handle(brain.now, Event::Request(new), &mut actions);
        let level =
            |a: &Action| matches!(a, Action::Refuse { why, .. } if why.reason == Reason::Level);
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
            Event::Request(new_read(id, id as u64, 500 * MS)),
            &mut actions,
        );
    }
    for action in &actions {
        if let Action::Refuse { retry_after, .. } = action {
            waits.push(*retry_after);
        }
    }
    assert!(waits.len() > 180);
    assert!(
        waits.iter().all(|w| (700 * MS..900 * MS).contains(w)),
        "0.7 s are left, and the aim is spread over"
    );
    let tally = brain.take_tally();
    assert_eq!(tally.let_in.iter().sum::<u32>() as usize + waits.len(), 200);
    assert_eq!(
        (tally.short, brain.take_tally()),
        (0, Tally::default()),
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
        without.handle(now, Event::Request(new), &mut a);
        with.handle(now, Event::Request(new), &mut b);
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
        (Outcome::Reset, Some(250 * MS)),
        (Outcome::ConnectFailed, None),
    ] {
        let mut brain = brain(3);
        brain.settings.classes[0].effect = Effect::Keyed {
            group: Group::All,
            window: 300 * MS,
        };
        let within = |actions: Vec<Action>| {
            let send = |a| {
                if let Action::Send { begin_within, .. } = a {
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
        brain.settings.discovery = Discovery::Asked {
            within: within * MS,
        };
        let mut most = 0;
        for _ in 0..200 {
            let mut actions = Vec::new();
            let failed = Event::List {
                scope: ListScope::Failed,
                entries: Vec::new(),
            };
            brain.handle(brain.now, failed, &mut actions);
            let call = |a| {
                if let Action::Timer { after, token } = a {
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
                Event::Request(new_read(1, 9, patience * MS)),
                &mut actions,
            );
            brain.handle(100 * MS, Event::Ending(by), &mut actions);
            let timer = |a: &Action| {
                if let Action::Timer { token, .. } = a {
                    Some(*token)
                } else {
                    None
                }
            };
            let deadline = |t: &Token| matches!(brain.timers.get(&t.0), Some(Timer::Deadline(_)));
            let tokens: Vec<Token> = actions.iter().filter_map(timer).filter(deadline).collect();
            let answers = |actions: &[Action]| {
                let is_one = |a: &&Action| matches!(a, Action::Refuse { .. } | Action::Fail { .. });
                actions.iter().filter(is_one).count()
            };
            assert_eq!(answers(&actions), 0, "{patience} {servers}: not before");
            let mut all = Vec::new();
            for token in tokens {
                brain.handle(answered * MS, Event::Timer(token), &mut all);
            }
            assert_eq!(answers(&all), 1, "{patience} {servers}: {all:?}");
        }
    }
}

#[test]
fn what_failed_before_discovery_moved_or_answered_delays_no_call_from_then_on() {
    let mut brain = brain(1);
    brain.settings.discovery = Discovery::Asked {
        within: 10_000 * MS,
    };
    let failed = || Event::List {
        scope: ListScope::Failed,
        entries: Vec::new(),
    };
    let mut actions = Vec::new();
    for _ in 0..9 {
        brain.handle(0, failed(), &mut actions);
    }
    assert_eq!(brain.call_backoff, CALL_BACKOFF_MAX);
    brain.handle(0, Event::DiscoveryAnew, &mut actions);
    actions.clear();
    brain.handle(0, failed(), &mut actions);
    let after = |a: &Action| {
        if let Action::Timer { after, .. } = a {
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
    brain.settings.discovery = Discovery::Asked {
        within: 10_000 * MS,
    };
    let mut actions = Vec::new();
    // A call failed, and the one at the new address that a reload began meanwhile.
    for _ in 0..2 {
        brain.handle(
            0,
            Event::List {
                scope: ListScope::Failed,
                entries: Vec::new(),
            },
            &mut actions,
        );
    }
    let token = |a: &Action| {
        if let Action::Timer { token, .. } = a {
            Some(*token)
        } else {
            None
        }
    };
    let tokens: Vec<Token> = actions.iter().filter_map(token).collect();
    actions.clear();
    for token in tokens {
        brain.handle(10_000 * MS, Event::Timer(token), &mut actions);
    }
    assert_eq!(actions.iter().filter(|a| **a == Action::Watch).count(), 1);
}
