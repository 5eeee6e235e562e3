//! Tests of `overload`.

use super::*;

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_946))
}

fn member(n: u8) -> SharedShedding {
    SharedShedding::new(6, at(n), 1, 0)
}

/// Reads are on tier 3, writes worth more on tier 5; the others are empty.
fn tally(reads: u32, writes: u32, short: u32) -> AdmissionCounts {
    let mut tally = AdmissionCounts {
        capacity_rejections: short,
        ..AdmissionCounts::default()
    };
    (tally.admitted[3], tally.admitted[5]) = (reads, writes);
    tally
}

fn word(n: u8, step: u32, tally: AdmissionCounts, level: f32) -> LevelReport {
    LevelReport {
        of: at(n),
        generation: 1,
        step,
        age_ms: 0,
        tally,
        level,
    }
}

fn exchange(members: &mut [SharedShedding], now: Nanos) {
    for i in 0..members.len() {
        for word in members[i].words(now) {
            members.iter_mut().for_each(|m| assert!(m.hear(now, word)));
        }
    }
}

fn shed(level: f64, tier: f64) -> f64 {
    (level - tier).clamp(0.0, MAX_SHED_FRACTION)
}

/// Members that hear all of each other, under a load of which `room` a step can be served; a tenth are writes. What is
/// let in in each step, of reads and of writes.
fn play(
    members: &mut [SharedShedding],
    asked: impl Fn(u64) -> f64,
    room: f64,
    until: u64,
) -> Vec<(f64, f64)> {
    let mut all = Vec::new();
    let n = members.len() as f64;
    for step in 1..=until {
        let now = step * ROUND_INTERVAL;
        let mut let_in = (0.0, 0.0);
        for member in members.iter_mut() {
            let reads = 0.9 * asked(step) / n * (1.0 - shed(member.level(), 3.0));
            let writes = 0.1 * asked(step) / n * (1.0 - shed(member.level(), 5.0));
            let_in = (let_in.0 + reads, let_in.1 + writes);
            let short = (reads + writes - room / n).max(0.0);
            member.count(tally(reads as u32, writes as u32, short as u32));
        }
        exchange(members, now);
        members.iter_mut().enumerate().for_each(|(i, m)| {
            m.turn(now, i as f64 / n);
        });
        all.push(let_in);
    }
    all
}

#[test]
fn twice_the_room_is_shed_by_half_soon_the_least_worth_first_and_let_in_again_when_it_is_over() {
    let mut members: Vec<SharedShedding> = (1..=12).map(member).collect();
    let asked = |step| if step <= 40 { 2_400.0 } else { 600.0 };
    let let_in = play(&mut members, asked, 1_200.0, 70);
    for (step, (reads, writes)) in let_in.iter().enumerate().take(40).skip(4) {
        assert!(
            (1_100.0..1_400.0).contains(&(reads + writes)),
            "step {step}: {let_in:?}"
        );
        assert!((writes - 240.0).abs() < 1.0, "no write is shed: {let_in:?}");
    }
    assert_eq!(members[0].level(), 0.0, "{let_in:?}");
    let back = let_in
        .iter()
        .rposition(|(reads, _)| *reads < 539.0)
        .unwrap();
    assert!(back < 40 + 15, "all is let in within 6 s: {back}");
}

#[test]
fn where_reads_alone_are_not_enough_writes_are_shed_too_and_none_is_shut_out() {
    let mut members: Vec<SharedShedding> = (1..=4).map(member).collect();
    let let_in = play(&mut members, |_| 20_000.0, 1_500.0, 40);
    let (reads, writes) = let_in[39];
    assert!(
        (reads - 900.0).abs() < 10.0 && (400.0..900.0).contains(&writes),
        "{reads} {writes}"
    );
}

#[test]
fn members_with_uneven_traffic_go_by_one_level() {
    let mut members: Vec<SharedShedding> = (1..=4).map(member).collect();
    for step in 1..=20u64 {
        let now = step * ROUND_INTERVAL;
        members[0].count(tally(900, 0, 300));
        members[1..]
            .iter_mut()
            .for_each(|m| m.count(tally(30, 0, 0)));
        exchange(&mut members, now);
        members.iter_mut().for_each(|m| {
            m.turn(now, 0.5);
        });
    }
    let levels: Vec<f64> = members.iter().map(SharedShedding::level).collect();
    let (least, most) = levels
        .iter()
        .fold((f64::MAX, 0f64), |(a, b), l| (a.min(*l), b.max(*l)));
    assert!(
        least > 3.5 && most - least < 0.05 && most <= 4.0,
        "writes are not shed unseen: {levels:?}"
    );
}

#[test]
fn little_traffic_a_few_refusals_and_calm_raise_nothing() {
    let mut mine = member(1);
    let calm = [
        tally(19, 0, 19),
        tally(900, 100, 49),
        tally(1_000, 0, 0),
        tally(0, 0, 0),
    ];
    for (step, tally) in calm.into_iter().enumerate() {
        mine.count(tally);
        assert!(mine.turn((step as u64 + 1) * ROUND_INTERVAL, 0.5));
        assert_eq!(mine.level(), 0.0);
    }
    assert!(!mine.is_loud());
    assert!(
        !mine.turn(4 * ROUND_INTERVAL + 1, 0.5),
        "not before the step ends"
    );
}

#[test]
fn a_word_is_believed_while_it_is_fresh_and_none_that_makes_no_sense() {
    let mut mine = member(1);
    assert!(mine.hear(0, word(2, 5, tally(100, 0, 50), 3.0)));
    assert!(
        mine.hear(0, word(2, 4, tally(100, 0, 0), 0.0)),
        "older, and left"
    );
    mine.turn(ROUND_INTERVAL, 0.5);
    assert!(mine.level() > 1.5, "{}", mine.level());
    for wrong in [f32::NAN, -0.1, 6.1, f32::INFINITY] {
        assert!(!mine.hear(ROUND_INTERVAL, word(3, 1, tally(1, 0, 0), wrong)));
    }
    let old = LevelReport {
        age_ms: 1_500,
        ..word(3, 1, tally(1_000, 0, 1_000), 6.0)
    };
    assert!(mine.hear(ROUND_INTERVAL, old));
    assert_eq!(mine.hears(ROUND_INTERVAL), 1, "too old when it came");
    // Alone it goes by itself, and lets go of what nobody says any more.
    for step in 5..60 {
        mine.count(tally(100, 0, 0));
        mine.turn(step * ROUND_INTERVAL, 0.5);
    }
    assert_eq!((mine.hears(60 * ROUND_INTERVAL), mine.level()), (0, 0.0));
    assert!(
        mine.hear(60 * ROUND_INTERVAL, word(2, 1, tally(1, 0, 0), 1.0)),
        "who began anew, once its old word is stale"
    );
    assert_eq!(mine.hears(60 * ROUND_INTERVAL), 1);
}

#[test]
fn what_is_told_is_bounded_and_grows_older_on_its_way() {
    let mut mine = member(1);
    let much = AdmissionCounts {
        admitted: [u32::MAX; COUNTED_TIERS],
        capacity_rejections: u32::MAX,
    };
    (2..=100).for_each(|n| assert!(mine.hear(u64::from(n) * MS, word(n, 1, much, 0.0))));
    let words = mine.words(200 * MS);
    assert_eq!(
        (words[0].of, words[1].of, words[1].age_ms),
        (at(1), at(100), 100)
    );
    let bytes = postcard::to_stdvec(&words).unwrap().len();
    assert!(
        words.len() >= 10 && (PAYLOAD_MAX - 150..=PAYLOAD_MAX).contains(&bytes),
        "{bytes}"
    );
    mine.turn(ROUND_INTERVAL, 0.5);
    assert!(
        mine.level() > 0.8,
        "sums that overflow are the most there is: {}",
        mine.level()
    );
}
