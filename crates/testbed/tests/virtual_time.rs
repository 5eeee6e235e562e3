//! Tests of the `membership` crate in virtual time; each run is reproducible by its seed.

use membership::{MS, MemberStatus};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use testbed::simulation::fleet::{NetworkConditions, SimulatedFleet, address};

const SECOND: u64 = 1_000 * MS;
const LOSSY: NetworkConditions = NetworkConditions {
    loss: 0.2,
    delay: 50 * MS,
    jitter: 10 * MS,
    duplicates: 0.02,
    level_report_loss: 0.0,
};

fn converged_fleet(n: usize, seed: u64, network: NetworkConditions) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(n, 3, seed);
    fleet.network = network;
    fleet.start_all();
    fleet
        .advance_until(60 * SECOND, SimulatedFleet::converged)
        .expect("all members join");
    fleet
}

#[test]
fn no_false_deaths_in_ten_minutes_with_a_fifth_of_datagrams_lost() {
    let mut fleet = converged_fleet(12, 1, LOSSY);
    fleet.advance_to(fleet.now + 600 * SECOND);
    assert_eq!(fleet.false_deaths(), 0);
    assert!(
        fleet.statistics(0).suspicions > 0,
        "the loss causes no suspicions, so that the test checks no refutation"
    );
    fleet
        .advance_until(10 * SECOND, SimulatedFleet::converged)
        .expect("all views are correct after the loss");
}

#[test]
fn deaths_and_restarts_reach_all_views_in_time() {
    for seed in 0..5 {
        let mut fleet = converged_fleet(40, seed, NetworkConditions::default());
        (30..40).for_each(|n| fleet.kill(n));
        let detected = fleet
            .advance_until(60 * SECOND, SimulatedFleet::converged)
            .expect("all views show the deaths");
        assert!(
            detected <= 3 * SECOND,
            "seed {seed}: deaths are in all views after {detected} ns"
        );
        (30..40).for_each(|n| fleet.start(n, 0));
        let rejoined = fleet
            .advance_until(60 * SECOND, SimulatedFleet::converged)
            .expect("all views show the restarted members");
        assert!(
            rejoined <= 3 * SECOND,
            "seed {seed}: restarts are in all views after {rejoined} ns"
        );
    }
}

/// Guards against members that miss a restart for good: in a fleet of a hundred, a gossip broadcast
/// sometimes ends before it has reached every member. Anti-entropy must find the difference.
#[test]
fn simultaneous_restarts_in_a_fleet_of_a_hundred_reach_all_views_soon() {
    for seed in 1..4 {
        let mut fleet = converged_fleet(100, seed, NetworkConditions::default());
        (90..100).for_each(|n| fleet.kill(n));
        fleet
            .advance_until(60 * SECOND, SimulatedFleet::converged)
            .expect("all views show the deaths");
        (90..100).for_each(|n| fleet.start(n, 0));
        let rejoined = fleet
            .advance_until(60 * SECOND, SimulatedFleet::converged)
            .expect("all views show the restarted members");
        assert!(
            rejoined <= SECOND,
            "seed {seed}: restarts are in all views after {rejoined} ns; without anti-entropy it \
             takes 2.2 s or more"
        );
        fleet.advance_to(fleet.now + 20 * SECOND);
        let (digests_before, calm_s) = (fleet.statistics(3).digests, 10);
        fleet.advance_to(fleet.now + calm_s * SECOND);
        let digests = fleet.statistics(3).digests - digests_before;
        assert!(
            digests <= calm_s,
            "{digests} digests in {calm_s} s without a change"
        );
    }
}

#[test]
fn a_partition_converges_on_both_sides_and_heals_with_bounded_shares() {
    for seed in 0..5 {
        let mut fleet = converged_fleet(12, seed, NetworkConditions::default());
        let side = |n: usize| usize::from(n >= 5);
        fleet.set_partition(side, true);
        let share_sum = |fleet: &SimulatedFleet| -> f64 {
            fleet
                .running()
                .iter()
                .map(|n| 1.0 / fleet.view(*n).share_count as f64)
                .sum()
        };
        fleet
            .advance_until(60 * SECOND, |f| f.converged_by_side(side))
            .expect("both sides converge");
        for _ in 0..40 {
            fleet.advance_to(fleet.now + SECOND);
            assert!(
                share_sum(&fleet) <= 1.5,
                "seed {seed}: the shares sum to {}",
                share_sum(&fleet)
            );
        }
        fleet.set_partition(side, false);
        let healed = fleet
            .advance_until(60 * SECOND, SimulatedFleet::converged)
            .expect("the sides converge after the partition");
        assert!(
            healed <= 3 * SECOND,
            "seed {seed}: converged after {healed} ns"
        );
        assert!((share_sum(&fleet) - 1.0).abs() < 1e-9);
    }
}

/// Guards against false deaths after a partition: in a large fleet, a member may receive a stale
/// record of another member from the other side before that member has rejoined under a new
/// generation.
#[test]
fn stale_records_of_a_partition_cause_no_false_deaths_when_it_heals() {
    for seed in 0..2 {
        let mut fleet = converged_fleet(40, seed, NetworkConditions::default());
        let side = |n: usize| usize::from(n >= 19);
        fleet.set_partition(side, true);
        fleet
            .advance_until(60 * SECOND, |f| f.converged_by_side(side))
            .expect("both sides converge");
        // Gossip broadcasts of the partition have ended after 10 s.
        fleet.advance_to(fleet.now + 10 * SECOND);
        let before = fleet.false_deaths();
        fleet.set_partition(side, false);
        fleet
            .advance_until(60 * SECOND, SimulatedFleet::converged)
            .expect("the sides converge after the partition");
        assert_eq!(fleet.false_deaths(), before, "seed {seed}");
    }
}

#[test]
fn a_member_with_inbound_traffic_cut_off_declares_no_member_dead_and_rejoins() {
    let mut fleet = converged_fleet(8, 3, NetworkConditions::default());
    // Member 0 sends to all members but receives nothing.
    (1..8).for_each(|n| fleet.set_link_cut(n, 0, true));
    fleet.advance_to(fleet.now + 8 * SECOND);
    assert!(fleet.view(0).isolated);
    assert!(
        fleet.view(0).members.iter().all(|m| m.status.is_present()),
        "the isolated member declares another one dead"
    );
    assert_eq!(fleet.false_deaths(), 0, "a member is falsely declared dead");
    (1..8).for_each(|n| fleet.set_link_cut(n, 0, false));
    fleet
        .advance_until(10 * SECOND, SimulatedFleet::converged)
        .expect("all views are correct after the cut");
}

#[test]
fn a_stalled_member_is_suspected_and_suspects_no_member() {
    for seed in 0..5 {
        let mut fleet = converged_fleet(12, seed, NetworkConditions::default());
        fleet.stall(4, 10 * SECOND);
        fleet.advance_to(fleet.now + 10 * SECOND);
        assert!(
            !fleet
                .view(0)
                .members
                .iter()
                .any(|m| m.id.address == address(4) && m.status == MemberStatus::Serving)
        );
        fleet
            .advance_until(10 * SECOND, SimulatedFleet::converged)
            .expect("all views are correct after the stall");
        fleet.advance_to(fleet.now + 5 * SECOND);
        assert!(fleet.converged() && fleet.false_deaths() == 0 && fleet.statistics(4).stalls > 0);
    }
}

#[test]
fn a_restart_is_a_new_generation_although_the_clock_was_set_back() {
    let mut fleet = converged_fleet(6, 1, NetworkConditions::default());
    for clock_offset_ms in [-3_600_000, 0, 5_000] {
        let before = fleet.member(2).unwrap().id().generation;
        fleet.kill(2);
        // Restart at once, then restart after the death has been detected.
        fleet.start(2, clock_offset_ms);
        fleet
            .advance_until(20 * SECOND, SimulatedFleet::converged)
            .unwrap_or_else(|| {
                panic!("restart at once, clock {clock_offset_ms} ms: no convergence")
            });
        assert!(
            fleet.member(2).unwrap().id().generation > before,
            "clock {clock_offset_ms} ms: the generation does not increase"
        );
        fleet.kill(2);
        fleet.advance_to(fleet.now + 6 * SECOND);
        fleet.start(2, clock_offset_ms);
        fleet
            .advance_until(20 * SECOND, SimulatedFleet::converged)
            .unwrap_or_else(|| {
                panic!("restart after detection, clock {clock_offset_ms} ms: no convergence")
            });
    }
}

#[test]
fn a_leave_is_announced_and_frees_its_place_at_once() {
    let mut fleet = converged_fleet(10, 1, NetworkConditions::default());
    fleet.leave(9);
    fleet
        .advance_until(SECOND, SimulatedFleet::converged)
        .expect("the announcement reaches all members within a second");
    fleet.advance_to(fleet.now + SECOND);
    for n in 0..9 {
        let view = fleet.view(n);
        assert_eq!(view.share_count, 9);
        assert!(
            view.members
                .iter()
                .any(|m| m.id.address == address(9) && m.status == MemberStatus::Left)
        );
    }
}

#[test]
fn members_beyond_the_limit_are_rejected_and_counted() {
    let mut fleet = SimulatedFleet::new(60, 3, 1);
    fleet.set_members_max(10);
    fleet.start_all();
    fleet.advance_to(20 * SECOND);
    for n in 0..60 {
        let members = fleet.view(n).members.len();
        assert!(
            members <= 10 + 1,
            "{members} members are tracked; expected at most ten and the sender of a datagram"
        );
    }
    assert!(
        fleet.view(0).members.len() >= 10 && fleet.statistics(0).over_capacity > 0,
        "fewer than ten members are tracked, or the members beyond the limit are not counted"
    );
}

#[test]
fn malformed_foreign_and_replayed_datagrams_are_counted_and_change_nothing() {
    let mut fleet = converged_fleet(6, 1, NetworkConditions::default());
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let (before, members) = (fleet.statistics(0), fleet.view(0).members.len());
    // `PIPITRUN_DATAGRAMS` sets another number of datagrams, for longer runs.
    let rounds = std::env::var("PIPITRUN_DATAGRAMS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(20_000);
    let fleets =
        ["trial", "another"].map(|name| membership::envelope::EnvelopeScope::new(name, ""));
    let kinds = {
        use membership::envelope::MessageKind::*;
        [
            Swim,
            MetadataRecords,
            MetadataRequest,
            WatcherProbe,
            Heartbeat,
            MemberListDigest,
            MemberListDelta,
            LevelReports,
            RegionAnnouncements,
            Overview,
        ]
    };
    for round in 0..rounds {
        let length = rng.random_range(0..1_500);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        if round % 2 == 0 {
            // A valid envelope with a random payload.
            bytes.truncate(membership::envelope::PAYLOAD_MAX);
            bytes = membership::envelope::seal(
                fleets[round / 2 % 2],
                kinds[round / 4 % kinds.len()],
                &bytes,
            );
        }
        fleet.inject(0, address(9), &bytes);
        if round % 500 == 0 {
            fleet.advance_to(fleet.now + 10 * MS);
        }
    }
    let after = fleet.statistics(0);
    assert!(
        after.corrupt > before.corrupt
            && after.foreign > before.foreign
            && after.malformed > before.malformed
    );
    fleet
        .advance_until(20 * SECOND, SimulatedFleet::converged)
        .expect("all views are still correct");
    assert_eq!(
        fleet.view(0).members.len(),
        members,
        "random datagrams add members"
    );
}

/// Guards against old state taking effect again: datagrams about earlier generations and refuted
/// suspicions are delivered a second time and must not change the views for good.
#[test]
fn replayed_datagrams_neither_revive_nor_kill_members() {
    let mut fleet = converged_fleet(6, 1, LOSSY);
    fleet.kill(5);
    fleet.advance_to(fleet.now + 10 * SECOND);
    fleet.start(5, 0);
    fleet.leave(4);
    fleet
        .advance_until(20 * SECOND, SimulatedFleet::converged)
        .expect("all views show the new generation and the departed member");
    let recorded = fleet.recorded_datagrams();
    assert!(recorded.len() > 1_000);
    fleet.network = NetworkConditions::default();
    for to in [0, 3, 5] {
        for (from, datagram) in &recorded {
            fleet.inject(to, *from, datagram);
        }
        fleet.advance_to(fleet.now + 20 * MS);
    }
    fleet
        .advance_until(20 * SECOND, SimulatedFleet::converged)
        .expect("all views are correct after the replay");
    fleet.advance_to(fleet.now + 5 * SECOND);
    assert!(fleet.converged());
    assert!(
        fleet
            .view(0)
            .members
            .iter()
            .any(|m| m.id.address == address(4) && m.status == MemberStatus::Left)
    );
}
