//! Trials of a fleet in regions, in virtual time, each with a verdict.

use super::SimulationFailure;
use crate::simulation::fleet::{NetworkConditions, SimulatedFleet, address, region_name};
use membership::envelope::{EnvelopeScope, MessageKind, seal};
use membership::regions::exchange::AgedAnnouncement;
use membership::regions::{Announcement, AnnouncementPayload, RegionSummary};
use membership::{MS, Nanos};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;

const S: Nanos = 1_000 * MS;
/// Wide ceilings: how long things take is measured elsewhere.
const CEILING: Nanos = 60 * S;

/// A fleet in regions of these sizes in which all views are true.
///
/// # Errors
///
/// What the trial found wrong.
pub fn settled(sizes: &[usize], seed: u64) -> Result<SimulatedFleet, SimulationFailure> {
    let mut fleet = SimulatedFleet::in_regions(sizes, seed);
    fleet.between_regions = Some(NetworkConditions {
        delay: 40 * MS,
        jitter: 5 * MS,
        ..NetworkConditions::default()
    });
    fleet.start_all();
    settle(&mut fleet, "the regions meet")?;
    Ok(fleet)
}

fn settle(fleet: &mut SimulatedFleet, what: &str) -> Result<(), SimulationFailure> {
    let settled = fleet.advance_until(CEILING, SimulatedFleet::settled);
    settled
        .map(|_| ())
        .ok_or_else(|| SimulationFailure::NotSettled {
            phase: what.into(),
            ceiling_s: CEILING / S,
        })
}

/// Regions are cut apart, and one of them in two, in a row drawn by the seed: the shares keep their
/// bound.
///
/// # Errors
///
/// What the trial found wrong.
pub fn split(seed: u64) -> Result<(), SimulationFailure> {
    const BOUND: f64 = 2.0;
    let sizes = [24, 12, 9, 6];
    let mut fleet = settled(&sizes, seed)?;
    fleet.advance_to(fleet.now + 20 * S);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    for _ in 0..3 {
        let sides: Vec<usize> = sizes.iter().map(|_| rng.random_range(0..3)).collect();
        let (in_two, at) = (
            rng.random_range(0..sizes.len()),
            rng.random_range(0..sizes[0]),
        );
        let regions: Vec<usize> = (0..fleet.len()).map(|n| fleet.region(n)).collect();
        let side = |n: usize| {
            2 * sides[regions[n]] + usize::from(regions[n] == in_two && n % sizes[0] < at)
        };
        fleet.split(side, true);
        for _ in 0..rng.random_range(5..60) {
            fleet.advance_to(fleet.now + S);
            let sum: f64 = fleet
                .running()
                .iter()
                .map(|n| 1.0 / fleet.view(*n).share_count.max(1) as f64)
                .sum();
            if sum >= BOUND {
                return Err(SimulationFailure::ShareSum {
                    context: String::new(),
                    sum,
                });
            }
        }
        fleet.split(side, false);
        settle(&mut fleet, "healed")?;
    }
    Ok(())
}

/// All who speak for a region die at once: others do, and its new figures are known everywhere.
///
/// # Errors
///
/// What the trial found wrong.
pub fn delegates_die(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = settled(&[20, 8, 8], seed)?;
    fleet.advance_to(fleet.now + 10 * S);
    let named: Vec<SocketAddr> = fleet
        .member(0)
        .map(|m| m.delegates().to_vec())
        .unwrap_or_default();
    for n in (0..20).filter(|n| named.contains(&address(*n))) {
        fleet.kill(n);
    }
    settle(&mut fleet, "all delegates of a region are dead")
}

/// Half of all datagrams between regions are lost: changes get through, though each is sent once
/// only.
///
/// # Errors
///
/// What the trial found wrong.
pub fn lossy(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = settled(&[12, 12, 6, 6], seed)?;
    fleet.between_regions = Some(NetworkConditions {
        loss: 0.5,
        delay: 40 * MS,
        jitter: 5 * MS,
        ..NetworkConditions::default()
    });
    for n in [3, 15, 25, 31] {
        fleet.kill(n);
        settle(&mut fleet, "a death with half of the datagrams lost")?;
        fleet.start(n, 0);
        settle(&mut fleet, "a return with half of the datagrams lost")?;
    }
    Ok(())
}

/// Announcements with figures beyond their bounds, and old ones, change nothing.
///
/// # Errors
///
/// What the trial found wrong.
pub fn lies(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = settled(&[12, 6], seed)?;
    fleet.advance_to(fleet.now + 20 * S);
    let speaks = |n: &usize| {
        fleet
            .member(*n)
            .is_some_and(|m| m.delegates().contains(&address(*n)))
    };
    let delegate = (0..12).find(speaks).ok_or(SimulationFailure::NoDelegate)?;
    let row = fleet
        .view(delegate)
        .regions
        .first()
        .map(|seen| seen.status.clone())
        .ok_or(SimulationFailure::OneRegion)?;
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
    for lie in [
        announcement(row.version + 1, u32::MAX / 2),
        announcement(row.version - 1, 500),
    ] {
        let payload = AgedAnnouncement::encode(&[AgedAnnouncement::new(lie)]);
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
        fleet.advance_to(fleet.now + S / 10);
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

/// Members that have join addresses in another region only find their own by what those refer them
/// to.
///
/// # Errors
///
/// What the trial found wrong.
pub fn referral(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = SimulatedFleet::in_regions(&[8, 8], seed);
    fleet.between_regions = Some(NetworkConditions {
        delay: 40 * MS,
        jitter: 5 * MS,
        ..NetworkConditions::default()
    });
    fleet.join_at(&[0, 1]);
    fleet.start_all();
    settle(&mut fleet, "a region that knows addresses of another only")
}

/// What the delegates know all members of the region know soon.
///
/// # Errors
///
/// What the trial found wrong.
pub fn overview(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = settled(&[20, 12], seed)?;
    fleet.kill(25);
    settle(&mut fleet, "a death in the other region")
}
