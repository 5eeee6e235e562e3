//! Tests of `shedding`.

use super::*;

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_946))
}

fn member(n: u8) -> SharedShedding {
    SharedShedding::new(6, at(n), 1, 0)
}

/// Reads are tier 3, writes of greater weight tier 5; the others are empty.
fn counts(reads: u32, writes: u32, rejected: u32) -> AdmissionCounts {
    let mut counts = AdmissionCounts {
        capacity_rejections: rejected,
        ..AdmissionCounts::default()
    };
    (counts.admitted[3], counts.admitted[5]) = (reads, writes);
    counts
}

fn report(n: u8, round: u32, counts: AdmissionCounts, level: f32) -> LevelReport {
    LevelReport {
        member: at(n),
        generation: 1,
        round,
        age_ms: 0,
        counts,
        level,
    }
}

fn exchange(members: &mut [SharedShedding], now: Nanos) {
    for i in 0..members.len() {
        for report in members[i].reports(now) {
            members
                .iter_mut()
                .for_each(|m| m.receive(now, report).unwrap());
        }
    }
}

fn shed(level: f64, tier: f64) -> f64 {
    (level - tier).clamp(0.0, MAX_SHED_FRACTION)
}

/// Members that receive all reports, under a load of which `capacity` a round can be served; a
/// tenth are writes. The reads and writes that are admitted in each round.
fn play(
    members: &mut [SharedShedding],
    offered: impl Fn(u64) -> f64,
    capacity: f64,
    until: u64,
) -> Vec<(f64, f64)> {
    let mut all = Vec::new();
    let n = members.len() as f64;
    for round in 1..=until {
        let now = round * ROUND_INTERVAL;
        let mut admitted = (0.0, 0.0);
        for member in members.iter_mut() {
            let reads = 0.9 * offered(round) / n * (1.0 - shed(member.level(), 3.0));
            let writes = 0.1 * offered(round) / n * (1.0 - shed(member.level(), 5.0));
            admitted = (admitted.0 + reads, admitted.1 + writes);
            let rejected = (reads + writes - capacity / n).max(0.0);
            member.add_counts(counts(reads as u32, writes as u32, rejected as u32));
        }
        exchange(members, now);
        members.iter_mut().enumerate().for_each(|(i, m)| {
            m.tick(now, i as f64 / n);
        });
        all.push(admitted);
    }
    all
}

#[test]
fn twice_the_capacity_is_shed_by_half_lowest_weights_first_and_admitted_again_afterwards() {
    let mut members: Vec<SharedShedding> = (1..=12).map(member).collect();
    let offered = |round| if round <= 40 { 2_400.0 } else { 600.0 };
    let admitted = play(&mut members, offered, 1_200.0, 70);
    for (round, (reads, writes)) in admitted.iter().enumerate().take(40).skip(4) {
        assert!(
            (1_100.0..1_400.0).contains(&(reads + writes)),
            "round {round}: {admitted:?}"
        );
        assert!(
            (writes - 240.0).abs() < 1.0,
            "no write is shed: {admitted:?}"
        );
    }
    assert_eq!(members[0].level(), 0.0, "{admitted:?}");
    let back = admitted
        .iter()
        .rposition(|(reads, _)| *reads < 539.0)
        .unwrap();
    assert!(back < 40 + 15, "all is let in within 6 s: {back}");
}

#[test]
fn writes_are_shed_where_reads_are_not_enough_and_no_tier_is_shut_out() {
    let mut members: Vec<SharedShedding> = (1..=4).map(member).collect();
    let admitted = play(&mut members, |_| 20_000.0, 1_500.0, 40);
    let (reads, writes) = admitted[39];
    assert!(
        (reads - 900.0).abs() < 10.0 && (400.0..900.0).contains(&writes),
        "{reads} {writes}"
    );
}

#[test]
fn members_with_uneven_traffic_share_one_level() {
    let mut members: Vec<SharedShedding> = (1..=4).map(member).collect();
    for round in 1..=20u64 {
        let now = round * ROUND_INTERVAL;
        members[0].add_counts(counts(900, 0, 300));
        members[1..]
            .iter_mut()
            .for_each(|m| m.add_counts(counts(30, 0, 0)));
        exchange(&mut members, now);
        members.iter_mut().for_each(|m| {
            m.tick(now, 0.5);
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
fn little_traffic_and_few_rejections_do_not_raise_the_level() {
    let mut mine = member(1);
    let calm = [
        counts(19, 0, 19),
        counts(900, 100, 49),
        counts(1_000, 0, 0),
        counts(0, 0, 0),
    ];
    for (round, counts) in calm.into_iter().enumerate() {
        mine.add_counts(counts);
        assert!(mine.tick((round as u64 + 1) * ROUND_INTERVAL, 0.5));
        assert_eq!(mine.level(), 0.0);
    }
    assert!(!mine.has_report());
    assert!(
        !mine.tick(4 * ROUND_INTERVAL + 1, 0.5),
        "not before the round ends"
    );
}

#[test]
fn reports_count_while_they_are_fresh_and_in_range() {
    let mut mine = member(1);
    mine.receive(0, report(2, 5, counts(100, 0, 50), 3.0))
        .unwrap();
    mine.receive(0, report(2, 4, counts(100, 0, 0), 0.0))
        .expect("an older report is no error");
    mine.tick(ROUND_INTERVAL, 0.5);
    assert!(mine.level() > 1.5, "{}", mine.level());
    for wrong in [f32::NAN, -0.1, 6.1, f32::INFINITY] {
        let result = mine.receive(ROUND_INTERVAL, report(3, 1, counts(1, 0, 0), wrong));
        assert!(matches!(result, Err(PayloadError::LevelOutOfRange(_))));
    }
    let old = LevelReport {
        age_ms: 1_500,
        ..report(3, 1, counts(1_000, 0, 1_000), 6.0)
    };
    mine.receive(ROUND_INTERVAL, old).unwrap();
    assert_eq!(mine.fresh_reports(ROUND_INTERVAL), 1, "expired on arrival");
    // Isolated it goes by its own counts, and forgets expired reports.
    for round in 5..60 {
        mine.add_counts(counts(100, 0, 0));
        mine.tick(round * ROUND_INTERVAL, 0.5);
    }
    assert_eq!(
        (mine.fresh_reports(60 * ROUND_INTERVAL), mine.level()),
        (0, 0.0)
    );
    mine.receive(60 * ROUND_INTERVAL, report(2, 1, counts(1, 0, 0), 1.0))
        .expect("a restarted member counts once its old report has expired");
    assert_eq!(mine.fresh_reports(60 * ROUND_INTERVAL), 1);
}

#[test]
fn reports_fit_into_a_datagram_and_carry_their_age() {
    let mut mine = member(1);
    let much = AdmissionCounts {
        admitted: [u32::MAX; COUNTED_TIERS],
        capacity_rejections: u32::MAX,
    };
    for n in 2..=100 {
        mine.receive(u64::from(n) * MS, report(n, 1, much, 0.0))
            .unwrap();
    }
    let reports = mine.reports(200 * MS);
    assert_eq!(
        (reports[0].member, reports[1].member, reports[1].age_ms),
        (at(1), at(100), 100)
    );
    let bytes = postcard::to_stdvec(&reports).unwrap().len();
    assert!(
        reports.len() >= 10 && (PAYLOAD_MAX - 150..=PAYLOAD_MAX).contains(&bytes),
        "{bytes}"
    );
    mine.tick(ROUND_INTERVAL, 0.5);
    assert!(mine.level() > 0.8, "sums saturate: {}", mine.level());
}
