//! Tests of shared shedding.

use super::*;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_946))
}

fn member(n: u8) -> SharedShedding {
    SharedShedding::new(6, address(n), 1, 0)
}

/// Returns counts with reads in tier 3 and writes, which have a greater weight, in tier 5; the
/// other tiers are empty.
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
        member: address(n),
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
                .for_each(|member| member.receive(now, report).unwrap());
        }
    }
}

fn shed_fraction(level: f64, tier: f64) -> f64 {
    (level - tier).clamp(0.0, MAX_SHED_FRACTION)
}

/// Simulates members that receive all reports. `offered` returns the number of requests offered in
/// a round, of which a tenth are writes; `capacity` is the number that can be served per round.
/// Returns the reads and writes admitted in each round.
fn simulate(
    members: &mut [SharedShedding],
    offered: impl Fn(u64) -> f64,
    capacity: f64,
    rounds: u64,
) -> Vec<(f64, f64)> {
    let mut admitted_by_round = Vec::new();
    let member_count = members.len() as f64;
    for round in 1..=rounds {
        let now = round * ROUND_INTERVAL;
        let mut admitted = (0.0, 0.0);
        for member in members.iter_mut() {
            let reads =
                0.9 * offered(round) / member_count * (1.0 - shed_fraction(member.level(), 3.0));
            let writes =
                0.1 * offered(round) / member_count * (1.0 - shed_fraction(member.level(), 5.0));
            admitted = (admitted.0 + reads, admitted.1 + writes);
            let rejected = (reads + writes - capacity / member_count).max(0.0);
            member.add_counts(counts(reads as u32, writes as u32, rejected as u32));
        }
        exchange(members, now);
        members.iter_mut().enumerate().for_each(|(i, member)| {
            member.tick(now, i as f64 / member_count);
        });
        admitted_by_round.push(admitted);
    }
    admitted_by_round
}

#[test]
fn load_of_twice_the_capacity_is_halved_lowest_weights_first_and_admitted_again_afterwards() {
    let mut members: Vec<SharedShedding> = (1..=12).map(member).collect();
    let offered = |round| if round <= 40 { 2_400.0 } else { 600.0 };
    let admitted = simulate(&mut members, offered, 1_200.0, 70);
    for (round, (reads, writes)) in admitted.iter().enumerate().take(40).skip(4) {
        assert!(
            (1_100.0..1_400.0).contains(&(reads + writes)),
            "round {round}: {admitted:?}"
        );
        assert!(
            (writes - 240.0).abs() < 1.0,
            "writes must not be shed: {admitted:?}"
        );
    }
    assert_eq!(members[0].level(), 0.0, "{admitted:?}");
    let last_shedding_round = admitted
        .iter()
        .rposition(|(reads, _)| *reads < 539.0)
        .unwrap();
    assert!(
        last_shedding_round < 40 + 15,
        "all requests are admitted within 6 s; last round that shed: {last_shedding_round}"
    );
}

#[test]
fn writes_are_shed_if_shedding_reads_is_not_enough_and_no_tier_is_shed_completely() {
    let mut members: Vec<SharedShedding> = (1..=4).map(member).collect();
    let admitted = simulate(&mut members, |_| 20_000.0, 1_500.0, 40);
    let (reads, writes) = admitted[39];
    assert!(
        (reads - 900.0).abs() < 10.0 && (400.0..900.0).contains(&writes),
        "admitted {reads} reads and {writes} writes"
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
            .for_each(|member| member.add_counts(counts(30, 0, 0)));
        exchange(&mut members, now);
        members.iter_mut().for_each(|member| {
            member.tick(now, 0.5);
        });
    }
    let levels: Vec<f64> = members.iter().map(SharedShedding::level).collect();
    let (least, most) = levels
        .iter()
        .fold((f64::MAX, 0f64), |(least, most), level| {
            (least.min(*level), most.max(*level))
        });
    assert!(
        least > 3.5 && most - least < 0.05 && most <= 4.0,
        "expected nearly equal levels that shed no writes: {levels:?}"
    );
}

#[test]
fn little_traffic_and_few_rejections_do_not_raise_the_level() {
    let mut shedding = member(1);
    let counts_below_thresholds = [
        counts(19, 0, 19),
        counts(900, 100, 49),
        counts(1_000, 0, 0),
        counts(0, 0, 0),
    ];
    for (round, counts) in counts_below_thresholds.into_iter().enumerate() {
        shedding.add_counts(counts);
        assert!(shedding.tick((round as u64 + 1) * ROUND_INTERVAL, 0.5));
        assert_eq!(shedding.level(), 0.0);
    }
    assert!(!shedding.has_report());
    assert!(
        !shedding.tick(4 * ROUND_INTERVAL + 1, 0.5),
        "the round has not ended"
    );
}

#[test]
fn only_fresh_reports_with_a_valid_level_are_used() {
    let mut shedding = member(1);
    shedding
        .receive(0, report(2, 5, counts(100, 0, 50), 3.0))
        .unwrap();
    shedding
        .receive(0, report(2, 4, counts(100, 0, 0), 0.0))
        .expect("an older report is ignored without an error");
    shedding.tick(ROUND_INTERVAL, 0.5);
    assert!(shedding.level() > 1.5, "level: {}", shedding.level());
    for invalid_level in [f32::NAN, -0.1, 6.1, f32::INFINITY] {
        let result = shedding.receive(ROUND_INTERVAL, report(3, 1, counts(1, 0, 0), invalid_level));
        assert!(matches!(result, Err(PayloadError::LevelOutOfRange(_))));
    }
    let expired = LevelReport {
        age_ms: 1_500,
        ..report(3, 1, counts(1_000, 0, 1_000), 6.0)
    };
    shedding.receive(ROUND_INTERVAL, expired).unwrap();
    assert_eq!(
        shedding.fresh_reports(ROUND_INTERVAL),
        1,
        "a report that is expired on arrival is not stored"
    );
    // While isolated, the member uses its own counts only, and drops expired reports.
    for round in 5..60 {
        shedding.add_counts(counts(100, 0, 0));
        shedding.tick(round * ROUND_INTERVAL, 0.5);
    }
    assert_eq!(
        (
            shedding.fresh_reports(60 * ROUND_INTERVAL),
            shedding.level()
        ),
        (0, 0.0)
    );
    shedding
        .receive(60 * ROUND_INTERVAL, report(2, 1, counts(1, 0, 0), 1.0))
        .expect("a restarted member's report is used once its old report has expired");
    assert_eq!(shedding.fresh_reports(60 * ROUND_INTERVAL), 1);
}

#[test]
fn reports_fit_into_a_datagram_and_carry_their_age() {
    let mut shedding = member(1);
    let max_counts = AdmissionCounts {
        admitted: [u32::MAX; COUNTED_TIERS],
        capacity_rejections: u32::MAX,
    };
    for n in 2..=100 {
        shedding
            .receive(u64::from(n) * MS, report(n, 1, max_counts, 0.0))
            .unwrap();
    }
    let reports = shedding.reports(200 * MS);
    assert_eq!(
        (reports[0].member, reports[1].member, reports[1].age_ms),
        (address(1), address(100), 100)
    );
    let bytes = postcard::to_stdvec(&reports).unwrap().len();
    assert!(
        reports.len() >= 10 && (PAYLOAD_MAX - 150..=PAYLOAD_MAX).contains(&bytes),
        "{} reports in {bytes} bytes",
        reports.len()
    );
    shedding.tick(ROUND_INTERVAL, 0.5);
    assert!(
        shedding.level() > 0.8,
        "sums must saturate; level: {}",
        shedding.level()
    );
}
