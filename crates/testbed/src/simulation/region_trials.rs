//! Pass/fail trials of a fleet in regions, in virtual time.

use super::SimulationFailure;
use crate::simulation::fleet::{NetworkConditions, SimulatedFleet, address, region_name};
use membership::envelope::{EnvelopeScope, MessageKind, seal};
use membership::regions::exchange::AgedAnnouncement;
use membership::regions::{Announcement, AnnouncementPayload, RegionSummary};
use membership::{MS, Nanos};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;

const SECOND: Nanos = 1_000 * MS;
/// Timeout of a wait for convergence; generous, because `regions::measure` measures the actual
/// times.
const CONVERGENCE_TIMEOUT: Nanos = 60 * SECOND;

/// Starts a fleet with regions of these sizes and waits until all views are correct.
///
/// # Errors
///
/// Fails if the views do not converge in time.
pub fn converged_fleet(sizes: &[usize], seed: u64) -> Result<SimulatedFleet, SimulationFailure> {
    let mut fleet = SimulatedFleet::with_regions(sizes, seed);
    fleet.between_regions = Some(NetworkConditions {
        delay: 40 * MS,
        jitter: 5 * MS,
        ..NetworkConditions::default()
    });
    fleet.start_all();
    wait_for_convergence(&mut fleet, "join of all regions")?;
    Ok(fleet)
}

/// Runs the fleet until all views are correct. `phase` names the wait in the failure.
fn wait_for_convergence(fleet: &mut SimulatedFleet, phase: &str) -> Result<(), SimulationFailure> {
    let converged = fleet.advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged);
    converged
        .map(|_| ())
        .ok_or_else(|| SimulationFailure::NotConverged {
            phase: phase.into(),
            timeout_s: CONVERGENCE_TIMEOUT / SECOND,
        })
}

/// Checks that the sum of shares stays bounded through three random partitions, each of which
/// may separate regions from each other and divide one region.
///
/// # Errors
///
/// Returns the first failed check.
pub fn partitions(seed: u64) -> Result<(), SimulationFailure> {
    const MAX_SHARE_SUM: f64 = 2.0;
    let sizes = [24, 12, 9, 6];
    let mut fleet = converged_fleet(&sizes, seed)?;
    fleet.advance_to(fleet.now + 20 * SECOND);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    for _ in 0..3 {
        let sides: Vec<usize> = sizes.iter().map(|_| rng.random_range(0..3)).collect();
        let (divided_region, cut_index) = (
            rng.random_range(0..sizes.len()),
            rng.random_range(0..sizes[0]),
        );
        let regions: Vec<usize> = (0..fleet.len()).map(|n| fleet.region(n)).collect();
        let side = |n: usize| {
            2 * sides[regions[n]]
                + usize::from(regions[n] == divided_region && n % sizes[0] < cut_index)
        };
        fleet.set_partition(side, true);
        for _ in 0..rng.random_range(5..60) {
            fleet.advance_to(fleet.now + SECOND);
            let sum: f64 = fleet
                .running()
                .iter()
                .map(|n| 1.0 / fleet.view(*n).share_count.max(1) as f64)
                .sum();
            if sum >= MAX_SHARE_SUM {
                return Err(SimulationFailure::ShareSum {
                    context: String::new(),
                    sum,
                });
            }
        }
        fleet.set_partition(side, false);
        wait_for_convergence(&mut fleet, "end of the partition")?;
    }
    Ok(())
}

/// Checks that, after the simultaneous death of all delegates of a region, other members replace
/// them and all regions receive its new summary.
///
/// # Errors
///
/// Returns the first failed check.
pub fn simultaneous_delegate_death(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = converged_fleet(&[20, 8, 8], seed)?;
    fleet.advance_to(fleet.now + 10 * SECOND);
    let delegates: Vec<SocketAddr> = fleet
        .member(0)
        .map(|m| m.delegates().to_vec())
        .unwrap_or_default();
    for n in (0..20).filter(|n| delegates.contains(&address(*n))) {
        fleet.kill(n);
    }
    wait_for_convergence(&mut fleet, "death of all delegates of a region")
}

/// Checks that changes reach all regions although half of the datagrams between regions are lost
/// and each announcement is sent only once.
///
/// # Errors
///
/// Returns the first failed check.
pub fn lossy(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = converged_fleet(&[12, 12, 6, 6], seed)?;
    fleet.between_regions = Some(NetworkConditions {
        loss: 0.5,
        delay: 40 * MS,
        jitter: 5 * MS,
        ..NetworkConditions::default()
    });
    for n in [3, 15, 25, 31] {
        fleet.kill(n);
        wait_for_convergence(&mut fleet, "death with half of the datagrams lost")?;
        fleet.start(n, 0);
        wait_for_convergence(&mut fleet, "restart with half of the datagrams lost")?;
    }
    Ok(())
}

/// Checks that an announcement with values out of bounds, and one with an older version, do not
/// change the share count.
///
/// # Errors
///
/// Returns the first failed check.
pub fn invalid_announcements(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = converged_fleet(&[12, 6], seed)?;
    fleet.advance_to(fleet.now + 20 * SECOND);
    let is_delegate = |n: &usize| {
        fleet
            .member(*n)
            .is_some_and(|m| m.delegates().contains(&address(*n)))
    };
    let delegate = (0..12)
        .find(is_delegate)
        .ok_or(SimulationFailure::NoDelegate)?;
    let row = fleet
        .view(delegate)
        .regions
        .first()
        .map(|seen| seen.status.clone())
        .ok_or(SimulationFailure::SingleRegion)?;
    let author = row.delegates[0];
    let announcement = |version: u64, places: u32| Announcement {
        region: region_name(1),
        author,
        version,
        payload: AnnouncementPayload::Summary(RegionSummary {
            alive: places,
            places,
            config_checksum: 7,
            config_minority: 0,
            request_rate_tenths: 0,
            delegates: row.delegates.clone(),
            replaces: None,
        }),
    };
    for invalid in [
        announcement(row.version + 1, u32::MAX / 2),
        announcement(row.version - 1, 500),
    ] {
        let payload = AgedAnnouncement::encode(&[AgedAnnouncement::new(invalid)]);
        fleet.inject(
            delegate,
            author,
            &seal(
                EnvelopeScope::new("trial", "any"),
                MessageKind::RegionAnnouncements,
                &payload,
            ),
        );
    }
    for _ in 0..100 {
        fleet.advance_to(fleet.now + SECOND / 10);
        let count = fleet
            .running()
            .into_iter()
            .map(|n| fleet.view(n).share_count)
            .max()
            .unwrap_or(0);
        if count > 18 {
            return Err(SimulationFailure::ShareCount { count, members: 18 });
        }
    }
    Ok(())
}

/// Checks that members whose join addresses are all in another region find their own region through
/// referrals.
///
/// # Errors
///
/// Returns the first failed check.
pub fn referral(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = SimulatedFleet::with_regions(&[8, 8], seed);
    fleet.between_regions = Some(NetworkConditions {
        delay: 40 * MS,
        jitter: 5 * MS,
        ..NetworkConditions::default()
    });
    fleet.set_join_slots(&[0, 1]);
    fleet.start_all();
    wait_for_convergence(&mut fleet, "join through addresses in another region only")
}

/// Checks that all members of a region receive the overview of another region that their delegates
/// received.
///
/// # Errors
///
/// Returns the first failed check.
pub fn overview_propagation(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = converged_fleet(&[20, 12], seed)?;
    fleet.kill(25);
    wait_for_convergence(&mut fleet, "death in the other region")
}
