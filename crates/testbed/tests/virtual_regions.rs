//! A fleet in regions, in virtual time: the same seed plays the same course everywhere.

use membership::envelope::{EnvelopeScope, MessageKind, seal};
use membership::regions::exchange::AgedAnnouncement;
use membership::regions::{Announcement, AnnouncementPayload, RegionSummary};
use membership::{MS, Nanos};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use testbed::simulation::fleet::{NetworkConditions, SimulatedFleet, address, region_name};
use testbed::simulation::region_trials as trials;
use testbed::simulation::regions::{RegionEvents, RegionPlan, measure, region_sizes};

const S: Nanos = 1_000 * MS;
const CEILING: Nanos = 60 * S;

fn settled_regions(sizes: &[usize], seed: u64) -> SimulatedFleet {
    trials::settled(sizes, seed).unwrap_or_else(|e| panic!("{e}"))
}

fn sum_of_shares(fleet: &SimulatedFleet) -> f64 {
    fleet
        .running()
        .iter()
        .map(|n| 1.0 / fleet.view(*n).share_count.max(1) as f64)
        .sum()
}

fn delegates(fleet: &SimulatedFleet, region: usize) -> Vec<usize> {
    let first = fleet
        .of_region(region)
        .into_iter()
        .find_map(|n| fleet.member(n))
        .expect("one runs");
    let named: BTreeSet<SocketAddr> = first.delegates().iter().copied().collect();
    fleet
        .running()
        .into_iter()
        .filter(|n| named.contains(&address(*n)))
        .collect()
}

/// The living that a member sees in another region.
fn living_in(fleet: &SimulatedFleet, n: usize, region: usize) -> Option<u32> {
    let name = region_name(region);
    fleet
        .member(n)?
        .other_regions()
        .find(|(row, _)| row.region == name)
        .map(|(row, _)| row.alive)
}

#[test]
fn regions_converge_on_the_same_delegates_and_share_count() {
    let mut fleet = settled_regions(&[20, 12, 5], 1);
    fleet.advance_to(fleet.now + 20 * S);
    for region in 0..3 {
        let named: BTreeSet<Vec<SocketAddr>> = fleet
            .of_region(region)
            .iter()
            .filter_map(|n| fleet.member(*n))
            .map(|m| m.delegates().to_vec())
            .collect();
        assert_eq!(named.len(), 1, "{named:?}");
        assert_eq!(named.first().map(Vec::len), Some(3));
    }
    for n in fleet.running() {
        let view = fleet.view(n);
        assert_eq!(
            (view.share_count, view.alive, view.regions.len()),
            (37, 37, 2)
        );
        assert_eq!(
            view.members.len() + 1,
            fleet.of_region(fleet.region(n)).len(),
            "of others it knows no member"
        );
    }
    assert_eq!(fleet.false_deaths(), 0);
}

#[test]
fn simultaneous_death_of_all_delegates_is_survived() {
    for seed in 0..3 {
        let mut fleet = settled_regions(&[30, 12, 12], seed);
        let dead = delegates(&fleet, 0);
        assert_eq!(dead.len(), 3);
        dead.iter().for_each(|n| fleet.kill(*n));
        fleet
            .advance_until(CEILING, SimulatedFleet::settled)
            .expect("others speak for it");
        assert!(delegates(&fleet, 0).iter().all(|n| !dead.contains(n)));
        assert_eq!(living_in(&fleet, 45, 0), Some(27));
    }
}

#[test]
fn a_region_isolated_for_minutes_keeps_its_places_and_heals() {
    for seed in 0..3 {
        let mut fleet = settled_regions(&[30, 12, 12], seed);
        fleet.advance_to(fleet.now + 20 * S);
        let apart = |n: usize| usize::from(n < 30);
        fleet.split(apart, true);
        for _ in 0..180 {
            fleet.advance_to(fleet.now + S);
            let sum = sum_of_shares(&fleet);
            assert!(sum <= 1.5, "seed {seed}: {sum}");
        }
        let count = |n: usize| fleet.view(n).share_count;
        // The larger part holds more than half of all places and counts the others out; they go on
        // dividing by all.
        assert_eq!((count(0), count(31), count(45)), (30, 54, 54));
        assert!(
            fleet
                .view(0)
                .regions
                .iter()
                .all(|seen| seen.silent_since.is_some())
        );
        fleet.split(apart, false);
        let healed = fleet
            .advance_until(CEILING, SimulatedFleet::settled)
            .expect("they hear each other");
        assert!(healed <= 5 * S, "seed {seed}: {healed}");
        fleet.advance_to(fleet.now + S);
        assert!(
            fleet
                .running()
                .iter()
                .all(|n| fleet.view(*n).share_count == 54)
        );
    }
}

#[test]
fn a_partitioned_region_is_announced_as_one_and_its_places_count_once() {
    for seed in 0..3 {
        let mut fleet = settled_regions(&[24, 12, 12], seed);
        fleet.advance_to(fleet.now + 20 * S);
        let half = |n: usize| usize::from((12..24).contains(&n));
        // The halves don't hear each other; both hear the other regions.
        let cut = |fleet: &mut SimulatedFleet, is: bool| {
            for a in 0..12 {
                for b in 12..24 {
                    fleet.cut(a, b, is);
                    fleet.cut(b, a, is);
                }
            }
        };
        cut(&mut fleet, true);
        let mut told = BTreeSet::new();
        for second in 0..90 {
            fleet.advance_to(fleet.now + S);
            let sum = sum_of_shares(&fleet);
            assert!(sum <= 1.5, "seed {seed}: {sum}");
            if second >= 30 {
                let row = fleet
                    .view(30)
                    .regions
                    .iter()
                    .find(|seen| seen.status.region == region_name(0))
                    .cloned();
                let row = row.expect("it is told of").status;
                told.insert((row.alive, row.places, row.authors));
            }
        }
        assert_eq!(
            told,
            BTreeSet::from([(12, 24, 2)]),
            "the same all the time, and two speak for it"
        );
        let halves: BTreeSet<Vec<SocketAddr>> = (0..24)
            .filter_map(|n| fleet.member(n))
            .map(|m| m.delegates().to_vec())
            .collect();
        assert_eq!(halves.len(), 2, "each half has delegates of its own");
        assert_eq!(half(12), 1);
        cut(&mut fleet, false);
        fleet
            .advance_until(CEILING, SimulatedFleet::settled)
            .expect("one again");
    }
}

#[test]
fn loss_and_return_of_a_rack_and_a_zone() {
    let mut fleet = settled_regions(&[60, 12, 12], 2);
    for lost in [20..40, 30..60] {
        lost.clone().for_each(|n| fleet.kill(n));
        let known = fleet
            .advance_until(CEILING, SimulatedFleet::settled)
            .expect("all know");
        assert!(known <= 5 * S, "{known}");
        lost.for_each(|n| fleet.start(n, 0));
        let back = fleet
            .advance_until(CEILING, SimulatedFleet::settled)
            .expect("all are back");
        assert!(back <= 5 * S, "{back}");
    }
    assert_eq!(fleet.false_deaths(), 0);
}

#[test]
fn a_member_that_returns_in_another_region_counts_only_there() {
    let mut fleet = settled_regions(&[20, 12], 3);
    fleet.advance_to(fleet.now + 20 * S);
    fleet.kill(7);
    fleet.set_region(7, 1);
    fleet.start(7, 0);
    fleet
        .advance_until(CEILING, SimulatedFleet::settled)
        .expect("it has moved");
    assert_eq!(
        (living_in(&fleet, 25, 0), living_in(&fleet, 0, 1)),
        (Some(19), Some(13))
    );
    fleet.advance_to(fleet.now + 30 * S);
    assert!(
        fleet
            .running()
            .iter()
            .all(|n| fleet.view(*n).share_count == 32),
        "its former place is given up"
    );
}

#[test]
fn members_with_join_addresses_in_another_region_are_referred_to_their_own() {
    for seed in 0..4 {
        trials::referral(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
    let mut fleet = SimulatedFleet::in_regions(&[12, 12], 4);
    fleet.join_at(&[0, 1]);
    fleet.start_all();
    fleet
        .advance_until(CEILING, SimulatedFleet::settled)
        .expect("those of the second region meet through the first");
    // And one that comes when all is calm.
    fleet.kill(20);
    fleet
        .advance_until(CEILING, SimulatedFleet::settled)
        .expect("its death is known");
    fleet.start(20, 0);
    fleet
        .advance_until(CEILING, SimulatedFleet::settled)
        .expect("it is back");
}

#[test]
fn a_large_region_beside_a_small_one_converges() {
    let mut fleet = settled_regions(&[150, 4], 5);
    fleet.kill(151);
    fleet
        .advance_until(CEILING, SimulatedFleet::settled)
        .expect("a death in the small one is known to all");
    fleet.kill(9);
    fleet
        .advance_until(CEILING, SimulatedFleet::settled)
        .expect("and one in the large one");
}

/// The bound that `regions::count` states, through splits of regions and within one.
#[test]
fn sum_of_shares_stays_bounded_through_partitions_between_and_within_regions() {
    for seed in 0..20 {
        trials::split(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

#[test]
fn no_false_deaths_with_distant_regions_and_loss_between_them() {
    let mut fleet = settled_regions(&[40, 20, 20], 6);
    fleet.between_regions = Some(NetworkConditions {
        loss: 0.01,
        delay: 80 * MS,
        jitter: 10 * MS,
        ..NetworkConditions::default()
    });
    fleet.advance_to(fleet.now + 60 * S);
    assert_eq!(fleet.false_deaths(), 0);
    assert!(fleet.settled(), "and no region for silent");
}

/// An announcement as it stands on the wire, with a sign of life.
fn sealed_announcement(fleet: &str, announcement: &Announcement) -> Vec<u8> {
    let payload = AgedAnnouncement::encode(&[AgedAnnouncement::new(announcement.clone())]);
    seal(
        EnvelopeScope::new(fleet, "any"),
        MessageKind::RegionAnnouncements,
        &payload,
    )
}

fn summary(living: u32, places: u32) -> RegionSummary {
    RegionSummary {
        alive: living,
        places,
        config_checksum: 7,
        config_minority: 0,
        request_rate_tenths: 0,
        delegates: Vec::new(),
        replaces: None,
    }
}

/// The next announcement of the same author, with other figures.
fn newer_announcement(sound: &Announcement, alive: u32, places: u32) -> Announcement {
    Announcement {
        version: sound.version + 1,
        payload: AnnouncementPayload::Summary(summary(alive, places)),
        ..sound.clone()
    }
}

/// Announcements whose figures, version or region are out of bounds.
fn unsound_announcements(sound: &Announcement) -> [Announcement; 5] {
    let year_ms = 31_536_000_000;
    let mut far_future = sound.clone();
    far_future.version += year_ms;
    let mut long_name = sound.clone();
    long_name.region = "x".repeat(21);
    [
        newer_announcement(sound, 6, u32::MAX),
        newer_announcement(sound, 7, 6),
        newer_announcement(sound, 0, 0),
        far_future,
        long_name,
    ]
}

#[test]
fn unsound_announcements_are_dropped_and_counted() {
    let mut fleet = settled_regions(&[12, 6], 7);
    fleet.advance_to(fleet.now + 20 * S);
    let delegate = delegates(&fleet, 0)[0];
    let leader = fleet.view(delegate).regions[0].status.clone();
    let author = leader.delegates[0];
    let sound = Announcement {
        region: region_name(1),
        author,
        version: leader.version,
        payload: AnnouncementPayload::Summary(summary(6, 6)),
    };
    let with = |living, places| newer_announcement(&sound, living, places);
    let before = fleet.member(delegate).expect("it runs").regions_dropped().0;
    let unsound = unsound_announcements(&sound);
    for announcement in &unsound {
        fleet.inject(
            delegate,
            author,
            &sealed_announcement("trial", announcement),
        );
    }
    let old = Announcement {
        version: leader.version - 1,
        payload: AnnouncementPayload::Summary(summary(1, 1)),
        ..sound.clone()
    };
    fleet.inject(delegate, author, &sealed_announcement("trial", &old));
    let foreign = fleet.statistics(delegate).foreign;
    fleet.inject(
        delegate,
        author,
        &sealed_announcement("another", &with(1, 1)),
    );
    let after = fleet.member(delegate).expect("it runs").regions_dropped().0;
    assert_eq!(
        (
            after.invalid - before.invalid,
            after.outdated - before.outdated
        ),
        (unsound.len() as u64, 1)
    );
    assert_eq!(
        fleet.statistics(delegate).foreign,
        foreign + 1,
        "of another fleet"
    );
    fleet.advance_to(fleet.now + 10 * S);
    assert!(fleet.settled());
    assert!(
        fleet
            .running()
            .iter()
            .all(|n| fleet.view(*n).share_count == 18),
        "nobody divides by what was made up"
    );
}

/// What a member holds and sends follows its region and the number of regions, not the size of the
/// fleet.
#[test]
fn cost_of_a_member_does_not_grow_with_the_fleet() {
    let plan = |members, regions| RegionPlan {
        members,
        regions,
        seed: 1,
        loss: 0.0,
        loss_between: 0.0,
        delay_between_ms: 40,
        calm_s: 20,
        events: RegionEvents::default(),
    };
    let small = measure(plan(80, 4));
    let large = measure(plan(240, 12));
    assert!(large.join_s.is_some() && small.join_s.is_some());
    let ratio = |large: f64, small: f64| large / small;
    assert!(
        ratio(large.bytes_per_s, small.bytes_per_s) < 1.3,
        "{} {}",
        small.bytes_per_s,
        large.bytes_per_s
    );
    assert!(ratio(large.datagrams_per_s, small.datagrams_per_s) < 1.2);
    assert!(
        large.entries < small.entries + 80,
        "{} {}",
        small.entries,
        large.entries
    );
    assert_eq!(region_sizes(4_600, 26).iter().sum::<usize>(), 4_600);
}
