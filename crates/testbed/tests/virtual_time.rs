//! The fleet crate alone, in virtual time: the same seed plays the same course everywhere.

use membership::{MS, MemberStatus};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use testbed::simulation::fleet::{NetworkConditions, SimulatedFleet, address};

const S: u64 = 1_000 * MS;
const LOSSY: NetworkConditions = NetworkConditions {
    loss: 0.2,
    delay: 50 * MS,
    jitter: 10 * MS,
    duplicates: 0.02,
    load_loss: 0.0,
};

fn settled(n: usize, seed: u64, network: NetworkConditions) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(n, 3, seed);
    fleet.network = network;
    fleet.start_all();
    fleet
        .advance_until(60 * S, SimulatedFleet::settled)
        .expect("all meet");
    fleet
}

#[test]
fn no_false_deaths_in_ten_minutes_with_a_fifth_of_datagrams_lost() {
    let mut fleet = settled(12, 1, LOSSY);
    fleet.advance_to(fleet.now + 600 * S);
    assert_eq!(fleet.false_deaths(), 0);
    assert!(
        fleet.statistics(0).suspicions > 0,
        "there was something to refute"
    );
    fleet
        .advance_until(10 * S, SimulatedFleet::settled)
        .expect("and all still see each other");
}

#[test]
fn deaths_and_returns_are_known_to_all_in_time() {
    for seed in 0..5 {
        let mut fleet = settled(40, seed, NetworkConditions::default());
        (30..40).for_each(|n| fleet.kill(n));
        let known = fleet
            .advance_until(60 * S, SimulatedFleet::settled)
            .expect("the death is known");
        assert!(known <= 3 * S, "seed {seed}: {known}");
        (30..40).for_each(|n| fleet.start(n, 0));
        let back = fleet
            .advance_until(60 * S, SimulatedFleet::settled)
            .expect("they are back");
        assert!(back <= 3 * S, "seed {seed}: {back}");
    }
}

/// A rumour dies out now and then before it has reached all of so many: who is missed is found by
/// comparing lists.
#[test]
fn simultaneous_returns_to_a_fleet_of_a_hundred_are_known_to_all_soon() {
    for seed in 1..4 {
        let mut fleet = settled(100, seed, NetworkConditions::default());
        (90..100).for_each(|n| fleet.kill(n));
        fleet
            .advance_until(60 * S, SimulatedFleet::settled)
            .expect("the death is known");
        (90..100).for_each(|n| fleet.start(n, 0));
        let back = fleet
            .advance_until(60 * S, SimulatedFleet::settled)
            .expect("they are back");
        assert!(
            back <= S,
            "seed {seed}: {back}; 2.2 s and more where rumours alone tell of them"
        );
        fleet.advance_to(fleet.now + 20 * S);
        let (before, calm) = (fleet.statistics(3).digests, 10);
        fleet.advance_to(fleet.now + calm * S);
        let asked = fleet.statistics(3).digests - before;
        assert!(asked <= calm, "{asked} questions in {calm} calm seconds");
    }
}

#[test]
fn a_partition_converges_on_both_sides_and_heals_with_bounded_shares() {
    for seed in 0..5 {
        let mut fleet = settled(12, seed, NetworkConditions::default());
        let side = |n: usize| usize::from(n >= 5);
        fleet.split(side, true);
        let sum = |fleet: &SimulatedFleet| -> f64 {
            fleet
                .running()
                .iter()
                .map(|n| 1.0 / fleet.view(*n).share_count as f64)
                .sum()
        };
        fleet
            .advance_until(60 * S, |f| f.settled_by(side))
            .expect("each side knows");
        for _ in 0..40 {
            fleet.advance_to(fleet.now + S);
            assert!(sum(&fleet) <= 1.5, "seed {seed}: {}", sum(&fleet));
        }
        fleet.split(side, false);
        let healed = fleet
            .advance_until(60 * S, SimulatedFleet::settled)
            .expect("they find each other");
        assert!(healed <= 3 * S, "seed {seed}: {healed}");
        assert!((sum(&fleet) - 1.0).abs() < 1e-9);
    }
}

/// In a large fleet some are told of by the other side before they have returned under a new life.
#[test]
fn stale_records_of_a_partition_kill_nobody_when_it_heals() {
    for seed in 0..2 {
        let mut fleet = settled(40, seed, NetworkConditions::default());
        let side = |n: usize| usize::from(n >= 19);
        fleet.split(side, true);
        fleet
            .advance_until(60 * S, |f| f.settled_by(side))
            .expect("each side knows");
        // Rumours of it run out.
        fleet.advance_to(fleet.now + 10 * S);
        let before = fleet.false_deaths();
        fleet.split(side, false);
        fleet
            .advance_until(60 * S, SimulatedFleet::settled)
            .expect("they find each other");
        assert_eq!(fleet.false_deaths(), before, "seed {seed}");
    }
}

#[test]
fn isolated_members_suspect_nobody_and_deaf_members_rejoin() {
    let mut fleet = settled(8, 3, NetworkConditions::default());
    // It is heard by all and hears nobody.
    (1..8).for_each(|n| fleet.cut(n, 0, true));
    fleet.advance_to(fleet.now + 8 * S);
    assert!(fleet.view(0).isolated);
    assert!(
        fleet.view(0).members.iter().all(|m| m.status.is_present()),
        "it blames itself"
    );
    assert_eq!(
        fleet.false_deaths(),
        0,
        "and nobody else is given up for its sake"
    );
    (1..8).for_each(|n| fleet.cut(n, 0, false));
    fleet
        .advance_until(10 * S, SimulatedFleet::settled)
        .expect("taken back");
}

#[test]
fn a_stalled_member_is_suspected_and_suspects_nobody() {
    for seed in 0..5 {
        let mut fleet = settled(12, seed, NetworkConditions::default());
        fleet.stall(4, 10 * S);
        fleet.advance_to(fleet.now + 10 * S);
        assert!(
            !fleet
                .view(0)
                .members
                .iter()
                .any(|m| m.id.address == address(4) && m.status == MemberStatus::Serving)
        );
        fleet
            .advance_until(10 * S, SimulatedFleet::settled)
            .expect("taken back");
        fleet.advance_to(fleet.now + 5 * S);
        assert!(fleet.settled() && fleet.false_deaths() == 0 && fleet.statistics(4).stalls > 0);
    }
}

#[test]
fn a_restart_is_a_new_generation_although_the_clock_was_set_back() {
    let mut fleet = settled(6, 1, NetworkConditions::default());
    for clock in [-3_600_000, 0, 5_000] {
        let before = fleet.member(2).unwrap().id().generation;
        fleet.kill(2);
        // At once, and after its death is known.
        fleet.start(2, clock);
        fleet
            .advance_until(20 * S, SimulatedFleet::settled)
            .unwrap_or_else(|| panic!("clock {clock}"));
        assert!(
            fleet.member(2).unwrap().id().generation > before,
            "clock {clock}"
        );
        fleet.kill(2);
        fleet.advance_to(fleet.now + 6 * S);
        fleet.start(2, clock);
        fleet
            .advance_until(20 * S, SimulatedFleet::settled)
            .unwrap_or_else(|| panic!("late, clock {clock}"));
    }
}

#[test]
fn a_leave_is_announced_and_frees_its_place_at_once() {
    let mut fleet = settled(10, 1, NetworkConditions::default());
    fleet.leave(9);
    fleet
        .advance_until(S, SimulatedFleet::settled)
        .expect("told, not detected");
    fleet.advance_to(fleet.now + S);
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
    fleet.advance_to(20 * S);
    for n in 0..60 {
        let members = fleet.view(n).members.len();
        assert!(
            members <= 10 + 1,
            "{members}: ten, and the sender of a datagram at the bound"
        );
    }
    assert!(
        fleet.view(0).members.len() >= 10 && fleet.statistics(0).over_capacity > 0,
        "the others are counted"
    );
}

#[test]
fn malformed_foreign_and_replayed_datagrams_are_counted_and_change_nothing() {
    let mut fleet = settled(6, 1, NetworkConditions::default());
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let (before, seen) = (fleet.statistics(0), fleet.view(0).members.len());
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
            // A whole frame with anything in it.
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
        .advance_until(20 * S, SimulatedFleet::settled)
        .expect("all see each other as before");
    assert_eq!(fleet.view(0).members.len(), seen, "nobody was made up");
}

/// Old datagrams come again, of lives that have ended and of suspicions long refuted: nobody
/// believes them for good.
#[test]
fn replayed_datagrams_neither_revive_nor_kill_members() {
    let mut fleet = settled(6, 1, LOSSY);
    fleet.kill(5);
    fleet.advance_to(fleet.now + 10 * S);
    fleet.start(5, 0);
    fleet.leave(4);
    fleet
        .advance_until(20 * S, SimulatedFleet::settled)
        .expect("a new life, and a leave");
    let tape = fleet.tape();
    assert!(tape.len() > 1_000);
    fleet.network = NetworkConditions::default();
    for to in [0, 3, 5] {
        for (from, datagram) in &tape {
            fleet.inject(to, *from, datagram);
        }
        fleet.advance_to(fleet.now + 20 * MS);
    }
    fleet
        .advance_until(20 * S, SimulatedFleet::settled)
        .expect("as before");
    fleet.advance_to(fleet.now + 5 * S);
    assert!(fleet.settled());
    assert!(
        fleet
            .view(0)
            .members
            .iter()
            .any(|m| m.id.address == address(4) && m.status == MemberStatus::Left)
    );
}
