//! Tests of fleets in regions in virtual time; each run is reproducible by its seed.

use membership::envelope::{EnvelopeScope, MessageKind, seal};
use membership::regions::exchange::AgedAnnouncement;
use membership::regions::{Announcement, AnnouncementPayload, RegionSummary};
use membership::{MS, Nanos};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use testbed::simulation::fleet::{NetworkConditions, SimulatedFleet, address, region_name};
use testbed::simulation::region_trials as trials;
use testbed::simulation::regions::{RegionEvents, RegionPlan, measure, region_sizes};

const SECOND: Nanos = 1_000 * MS;
const CONVERGENCE_TIMEOUT: Nanos = 60 * SECOND;

fn converged_regions(sizes: &[usize], seed: u64) -> SimulatedFleet {
    trials::converged_fleet(sizes, seed).unwrap_or_else(|e| panic!("{e}"))
}

fn share_sum(fleet: &SimulatedFleet) -> f64 {
    fleet
        .running()
        .iter()
        .map(|n| 1.0 / fleet.view(*n).share_count.max(1) as f64)
        .sum()
}

fn delegates(fleet: &SimulatedFleet, region: usize) -> Vec<usize> {
    let member = fleet
        .slots_in_region(region)
        .into_iter()
        .find_map(|n| fleet.member(n))
        .expect("a member of the region runs");
    let addresses: BTreeSet<SocketAddr> = member.delegates().iter().copied().collect();
    fleet
        .running()
        .into_iter()
        .filter(|n| addresses.contains(&address(*n)))
        .collect()
}

/// Returns the number of alive members that a member sees in another region.
fn alive_in(fleet: &SimulatedFleet, n: usize, region: usize) -> Option<u32> {
    let name = region_name(region);
    fleet
        .member(n)?
        .other_regions()
        .find(|(row, _)| row.region == name)
        .map(|(row, _)| row.alive)
}

#[test]
fn regions_converge_on_the_same_delegates_and_share_count() {
    let mut fleet = converged_regions(&[20, 12, 5], 1);
    fleet.advance_to(fleet.now + 20 * SECOND);
    for region in 0..3 {
        let delegate_lists: BTreeSet<Vec<SocketAddr>> = fleet
            .slots_in_region(region)
            .iter()
            .filter_map(|n| fleet.member(*n))
            .map(|m| m.delegates().to_vec())
            .collect();
        assert_eq!(
            delegate_lists.len(),
            1,
            "region {region} has several delegate lists: {delegate_lists:?}"
        );
        assert_eq!(delegate_lists.first().map(Vec::len), Some(3));
    }
    for n in fleet.running() {
        let view = fleet.view(n);
        assert_eq!(
            (view.share_count, view.alive, view.regions.len()),
            (37, 37, 2)
        );
        assert_eq!(
            view.members.len() + 1,
            fleet.slots_in_region(fleet.region(n)).len(),
            "a member tracks members of another region"
        );
    }
    assert_eq!(fleet.false_deaths(), 0);
}

#[test]
fn simultaneous_death_of_all_delegates_is_survived() {
    for seed in 0..3 {
        let mut fleet = converged_regions(&[30, 12, 12], seed);
        let dead = delegates(&fleet, 0);
        assert_eq!(dead.len(), 3);
        dead.iter().for_each(|n| fleet.kill(*n));
        fleet
            .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
            .expect("other members replace the dead delegates");
        assert!(delegates(&fleet, 0).iter().all(|n| !dead.contains(n)));
        assert_eq!(alive_in(&fleet, 45, 0), Some(27));
    }
}

#[test]
fn a_region_isolated_for_minutes_keeps_its_places_and_heals() {
    for seed in 0..3 {
        let mut fleet = converged_regions(&[30, 12, 12], seed);
        fleet.advance_to(fleet.now + 20 * SECOND);
        let side = |n: usize| usize::from(n < 30);
        fleet.set_partition(side, true);
        for _ in 0..180 {
            fleet.advance_to(fleet.now + SECOND);
            let sum = share_sum(&fleet);
            assert!(sum <= 1.5, "seed {seed}: the shares sum to {sum}");
        }
        let count = |n: usize| fleet.view(n).share_count;
        // The larger part holds more than half of all places and stops counting the other members.
        // The smaller part still divides by all places.
        assert_eq!((count(0), count(31), count(45)), (30, 54, 54));
        assert!(
            fleet
                .view(0)
                .regions
                .iter()
                .all(|seen| seen.silent_since.is_some())
        );
        fleet.set_partition(side, false);
        let healed = fleet
            .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
            .expect("the regions converge after the isolation");
        assert!(
            healed <= 5 * SECOND,
            "seed {seed}: converged after {healed} ns"
        );
        fleet.advance_to(fleet.now + SECOND);
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
        let mut fleet = converged_regions(&[24, 12, 12], seed);
        fleet.advance_to(fleet.now + 20 * SECOND);
        let side = |n: usize| usize::from((12..24).contains(&n));
        // The halves of region 0 can't reach each other; both reach the other regions.
        let set_cut = |fleet: &mut SimulatedFleet, is_cut: bool| {
            for a in 0..12 {
                for b in 12..24 {
                    fleet.set_link_cut(a, b, is_cut);
                    fleet.set_link_cut(b, a, is_cut);
                }
            }
        };
        set_cut(&mut fleet, true);
        let mut summaries = BTreeSet::new();
        for second in 0..90 {
            fleet.advance_to(fleet.now + SECOND);
            let sum = share_sum(&fleet);
            assert!(sum <= 1.5, "seed {seed}: the shares sum to {sum}");
            if second >= 30 {
                let row = fleet
                    .view(30)
                    .regions
                    .iter()
                    .find(|seen| seen.status.region == region_name(0))
                    .cloned();
                let row = row.expect("region 0 is announced").status;
                summaries.insert((row.alive, row.places, row.authors));
            }
        }
        assert_eq!(
            summaries,
            BTreeSet::from([(12, 24, 2)]),
            "the summary changes during the partition, or its number of authors is not two"
        );
        let delegate_lists: BTreeSet<Vec<SocketAddr>> = (0..24)
            .filter_map(|n| fleet.member(n))
            .map(|m| m.delegates().to_vec())
            .collect();
        assert_eq!(
            delegate_lists.len(),
            2,
            "the halves do not have separate delegates"
        );
        assert_eq!(side(12), 1);
        set_cut(&mut fleet, false);
        fleet
            .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
            .expect("the halves converge after the partition");
    }
}

#[test]
fn death_and_restart_of_a_rack_and_a_zone_reach_all_views() {
    let mut fleet = converged_regions(&[60, 12, 12], 2);
    for group in [20..40, 30..60] {
        group.clone().for_each(|n| fleet.kill(n));
        let detected = fleet
            .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
            .expect("all views show the deaths");
        assert!(
            detected <= 5 * SECOND,
            "deaths are in all views after {detected} ns"
        );
        group.for_each(|n| fleet.start(n, 0));
        let rejoined = fleet
            .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
            .expect("all views show the restarts");
        assert!(
            rejoined <= 5 * SECOND,
            "restarts are in all views after {rejoined} ns"
        );
    }
    assert_eq!(fleet.false_deaths(), 0);
}

#[test]
fn a_member_that_restarts_in_another_region_counts_only_there() {
    let mut fleet = converged_regions(&[20, 12], 3);
    fleet.advance_to(fleet.now + 20 * SECOND);
    fleet.kill(7);
    fleet.set_region(7, 1);
    fleet.start(7, 0);
    fleet
        .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
        .expect("all views show the member in its new region");
    assert_eq!(
        (alive_in(&fleet, 25, 0), alive_in(&fleet, 0, 1)),
        (Some(19), Some(13))
    );
    fleet.advance_to(fleet.now + 30 * SECOND);
    assert!(
        fleet
            .running()
            .iter()
            .all(|n| fleet.view(*n).share_count == 32),
        "the member still counts in its former region"
    );
}

#[test]
fn members_with_join_addresses_in_another_region_are_referred_to_their_own() {
    for seed in 0..4 {
        trials::referral(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
    let mut fleet = SimulatedFleet::with_regions(&[12, 12], 4);
    fleet.set_join_slots(&[0, 1]);
    fleet.start_all();
    fleet
        .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
        .expect("the members of the second region find each other through the first");
    // A single member that joins later is referred as well.
    fleet.kill(20);
    fleet
        .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
        .expect("all views show the death");
    fleet.start(20, 0);
    fleet
        .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
        .expect("all views show the restart");
}

#[test]
fn a_large_region_beside_a_small_one_converges() {
    let mut fleet = converged_regions(&[150, 4], 5);
    fleet.kill(151);
    fleet
        .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
        .expect("all views show a death in the small region");
    fleet.kill(9);
    fleet
        .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
        .expect("all views show a death in the large region");
}

/// Checks the bound on the sum of shares that `regions::count` documents.
#[test]
fn sum_of_shares_stays_bounded_through_partitions_between_and_within_regions() {
    for seed in 0..20 {
        trials::partitions(seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

#[test]
fn no_false_deaths_with_distant_regions_and_loss_between_them() {
    let mut fleet = converged_regions(&[40, 20, 20], 6);
    fleet.between_regions = Some(NetworkConditions {
        loss: 0.01,
        delay: 80 * MS,
        jitter: 10 * MS,
        ..NetworkConditions::default()
    });
    fleet.advance_to(fleet.now + 60 * SECOND);
    assert_eq!(fleet.false_deaths(), 0);
    assert!(fleet.converged(), "a region is seen as silent");
}

/// Returns the datagram that carries an announcement.
fn sealed_announcement(fleet: &str, announcement: &Announcement) -> Vec<u8> {
    let payload = AgedAnnouncement::encode(&[AgedAnnouncement::new(announcement.clone())]);
    seal(
        EnvelopeScope::new(fleet, "any"),
        MessageKind::RegionAnnouncements,
        &payload,
    )
}

fn summary(alive: u32, places: u32) -> RegionSummary {
    RegionSummary {
        alive,
        places,
        config_checksum: 7,
        config_minority: 0,
        request_rate_tenths: 0,
        delegates: Vec::new(),
        replaces: None,
    }
}

/// Returns the next announcement of the same author, with other values.
fn newer_announcement(valid: &Announcement, alive: u32, places: u32) -> Announcement {
    Announcement {
        version: valid.version + 1,
        payload: AnnouncementPayload::Summary(summary(alive, places)),
        ..valid.clone()
    }
}

/// Returns announcements whose values, version or region name are out of bounds.
fn invalid_announcements(valid: &Announcement) -> [Announcement; 5] {
    let year_ms = 31_536_000_000;
    let mut far_future = valid.clone();
    far_future.version += year_ms;
    let mut long_name = valid.clone();
    long_name.region = "x".repeat(21);
    [
        newer_announcement(valid, 6, u32::MAX),
        newer_announcement(valid, 7, 6),
        newer_announcement(valid, 0, 0),
        far_future,
        long_name,
    ]
}

#[test]
fn invalid_announcements_are_dropped_and_counted() {
    let mut fleet = converged_regions(&[12, 6], 7);
    fleet.advance_to(fleet.now + 20 * SECOND);
    let delegate = delegates(&fleet, 0)[0];
    let status = fleet.view(delegate).regions[0].status.clone();
    let author = status.delegates[0];
    let valid = Announcement {
        region: region_name(1),
        author,
        version: status.version,
        payload: AnnouncementPayload::Summary(summary(6, 6)),
    };
    let dropped = |fleet: &SimulatedFleet| {
        let member = fleet.member(delegate).expect("the delegate runs");
        member.regions_dropped().0
    };
    let before = dropped(&fleet);
    let invalid = invalid_announcements(&valid);
    for announcement in &invalid {
        fleet.inject(
            delegate,
            author,
            &sealed_announcement("trial", announcement),
        );
    }
    let old = Announcement {
        version: status.version - 1,
        payload: AnnouncementPayload::Summary(summary(1, 1)),
        ..valid.clone()
    };
    fleet.inject(delegate, author, &sealed_announcement("trial", &old));
    let foreign = fleet.statistics(delegate).foreign;
    fleet.inject(
        delegate,
        author,
        &sealed_announcement("another", &newer_announcement(&valid, 1, 1)),
    );
    let after = dropped(&fleet);
    assert_eq!(
        (
            after.invalid - before.invalid,
            after.outdated - before.outdated
        ),
        (invalid.len() as u64, 1)
    );
    assert_eq!(
        fleet.statistics(delegate).foreign,
        foreign + 1,
        "the announcement of another fleet is not counted as foreign"
    );
    fleet.advance_to(fleet.now + 10 * SECOND);
    assert!(fleet.converged());
    assert!(
        fleet
            .running()
            .iter()
            .all(|n| fleet.view(*n).share_count == 18),
        "a rejected announcement changes the share count"
    );
}

/// Checks that the entries and the traffic of a member depend on the size of its region and the
/// number of regions, not on the size of the fleet.
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
        "bytes per second: {} in the small fleet, {} in the large one",
        small.bytes_per_s,
        large.bytes_per_s
    );
    assert!(ratio(large.datagrams_per_s, small.datagrams_per_s) < 1.2);
    assert!(
        large.entries < small.entries + 80,
        "entries: {} in the small fleet, {} in the large one",
        small.entries,
        large.entries
    );
    assert_eq!(region_sizes(4_600, 26).iter().sum::<usize>(), 4_600);
}
