//! Pass/fail trials in virtual time, for conditions that real processes reach only after minutes or
//! by chance.

use super::SimulationFailure;
use crate::process;
use crate::simulation::fleet::{NetworkConditions, SimulatedFleet, address};
use crate::simulation::region_trials as regions;
use membership::{MS, Nanos};
use serde::Serialize;

const SECOND: Nanos = 1_000 * MS;
/// Timeout of a wait for convergence; generous, because [`measure`] measures the actual times.
const CONVERGENCE_TIMEOUT: Nanos = 60 * SECOND;
/// Maximum sum of shares during any partition. A member's share is 1 divided by its share count;
/// the shares sum to 1 if each member counts exactly the running ones.
const MAX_SHARE_SUM: f64 = 1.5;

/// Runs a trial with a seed.
type SimulationTrial = fn(u64) -> Result<(), SimulationFailure>;

/// All trials, by their names on the command line.
pub const TRIALS: [(&str, SimulationTrial); 13] = [
    ("virtual-lossy", lossy),
    ("virtual-deaf", inbound_cut_off),
    ("virtual-asleep", stalled_member),
    ("virtual-newcomer", late_joiner),
    ("virtual-split", partition),
    ("virtual-return", simultaneous_rejoin),
    ("virtual-overload", crate::simulation::shedding::overload),
    ("regions-split", regions::partitions),
    ("regions-delegates", regions::simultaneous_delegate_death),
    ("regions-lossy", regions::lossy),
    ("regions-lies", regions::invalid_announcements),
    ("regions-referral", regions::referral),
    ("regions-overview", regions::overview_propagation),
];

/// Starts a fleet and waits until all views are correct.
fn converged_fleet(n: usize, seed: u64) -> Result<SimulatedFleet, SimulationFailure> {
    let mut fleet = SimulatedFleet::new(n, 3, seed);
    fleet.start_all();
    wait_for_convergence(&mut fleet, "join")?;
    Ok(fleet)
}

/// Runs the fleet until all views are correct; returns the virtual time until then. `phase` names
/// the wait in the failure.
fn wait_for_convergence(
    fleet: &mut SimulatedFleet,
    phase: &str,
) -> Result<Nanos, SimulationFailure> {
    fleet
        .advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged)
        .ok_or_else(|| SimulationFailure::NotConverged {
            phase: phase.into(),
            timeout_s: CONVERGENCE_TIMEOUT / SECOND,
        })
}

fn check_no_false_deaths(fleet: &SimulatedFleet) -> Result<(), SimulationFailure> {
    match fleet.false_deaths() {
        0 => Ok(()),
        n => Err(SimulationFailure::FalseDeaths(n)),
    }
}

/// Checks that no member is declared dead within five minutes in which 60% of the datagrams are
/// lost and the others delayed.
fn lossy(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = converged_fleet(12, seed)?;
    fleet.network = NetworkConditions {
        loss: 0.6,
        delay: 50 * MS,
        jitter: 10 * MS,
        duplicates: 0.02,
        ..NetworkConditions::default()
    };
    fleet.advance_to(fleet.now + 300 * SECOND);
    check_no_false_deaths(&fleet)
}

/// Checks that a member whose inbound datagrams are cut off, while its own ones arrive, declares no
/// member dead, and rejoins afterwards.
fn inbound_cut_off(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = converged_fleet(8, seed)?;
    (1..8).for_each(|n| fleet.set_link_cut(n, 0, true));
    fleet.advance_to(fleet.now + 8 * SECOND);
    if let Some(seen) = fleet
        .view(0)
        .members
        .iter()
        .find(|seen| !seen.status.is_present())
    {
        return Err(SimulationFailure::DeclaredDeadWhileIsolated(
            seen.id.address,
        ));
    }
    check_no_false_deaths(&fleet)?;
    (1..8).for_each(|n| fleet.set_link_cut(n, 0, false));
    wait_for_convergence(&mut fleet, "inbound traffic restored").map(|_| ())
}

/// Checks that a member that stalls, and loses all datagrams sent to it meanwhile, suspects no
/// other member when it resumes.
fn stalled_member(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = converged_fleet(8, seed)?;
    let before = fleet.statistics(4).suspicions;
    fleet.set_partition(|n| usize::from(n == 4), true);
    fleet.stall(4, 11 * SECOND);
    fleet.advance_to(fleet.now + 11 * SECOND);
    fleet.set_partition(|n| usize::from(n == 4), false);
    wait_for_convergence(&mut fleet, "resume after a stall")?;
    fleet.advance_to(fleet.now + 3 * SECOND);
    match fleet.statistics(4).suspicions - before {
        0 => check_no_false_deaths(&fleet),
        n => Err(SimulationFailure::SuspectedAfterStall(n)),
    }
}

/// Checks that a member receives the metadata of all members when it joins a fleet in which nothing
/// has changed for 30 s, so that no gossip broadcasts are left to carry it.
fn late_joiner(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = SimulatedFleet::new(12, 3, seed);
    (0..11).for_each(|n| fleet.start(n, 0));
    wait_for_convergence(&mut fleet, "join of the first eleven")?;
    fleet.advance_to(fleet.now + 30 * SECOND);
    fleet.start(11, 0);
    wait_for_convergence(&mut fleet, "join of the twelfth")?;
    let view = fleet.view(11);
    let known = view
        .members
        .iter()
        .filter(|seen| seen.metadata.is_some())
        .count();
    if known == 11 {
        Ok(())
    } else {
        Err(SimulationFailure::MissingMetadata {
            member: address(11),
            known,
            expected: 11,
        })
    }
}

/// Checks that members that restart at the same time are in all views soon, although some gossip
/// broadcasts end before they have reached every member.
fn simultaneous_rejoin(seed: u64) -> Result<(), SimulationFailure> {
    // Without anti-entropy, broadcasts and the periodic metadata exchange take 2.2 s or more.
    const REJOIN_TIME_MAX: Nanos = 1_500 * MS;
    let mut fleet = converged_fleet(100, seed)?;
    (90..100).for_each(|n| fleet.kill(n));
    wait_for_convergence(&mut fleet, "death")?;
    (90..100).for_each(|n| fleet.start(n, 0));
    let rejoined = wait_for_convergence(&mut fleet, "rejoin")?;
    if rejoined > REJOIN_TIME_MAX {
        Err(SimulationFailure::SlowRejoin(rejoined / MS))
    } else {
        Ok(())
    }
}

/// Checks that the sum of shares stays bounded while a fleet is partitioned into 2, 3 or 5 parts.
fn partition(seed: u64) -> Result<(), SimulationFailure> {
    for parts in [2, 3, 5] {
        let sum = share_sums(12, parts, seed)?.with_retention;
        if sum > MAX_SHARE_SUM {
            return Err(SimulationFailure::ShareSum {
                context: format!("{parts} parts: "),
                sum,
            });
        }
    }
    Ok(())
}

/// Greatest observed sums of shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareSums {
    /// Sum with the share counts that members use, which include vanished members for a time
    /// (share retention).
    pub with_retention: f64,
    /// Sum as it would be if each member divided by the number of members that it sees alive.
    pub without_retention: f64,
}

impl ShareSums {
    /// Returns the maximum of each field.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        ShareSums {
            with_retention: self.with_retention.max(other.with_retention),
            without_retention: self.without_retention.max(other.without_retention),
        }
    }
}

/// Measures the greatest sums of shares during a partition of `n` members into `parts` parts and
/// after its end.
///
/// # Errors
///
/// Fails if views do not converge in time.
pub fn share_sums(n: usize, parts: usize, seed: u64) -> Result<ShareSums, SimulationFailure> {
    let mut fleet = converged_fleet(n, seed)?;
    fleet.advance_to(fleet.now + 20 * SECOND);
    // Two parts are of unequal size: the worst case for share retention is a part with just over
    // half of the members.
    let side = move |m: usize| {
        if parts == 2 {
            usize::from(m > n / 2)
        } else {
            m % parts
        }
    };
    let mut greatest = ShareSums::default();
    let mut observe = |fleet: &SimulatedFleet| {
        let views: Vec<_> = fleet.running().into_iter().map(|m| fleet.view(m)).collect();
        let share = |count: usize| 1.0 / count.max(1) as f64;
        greatest = greatest.max(ShareSums {
            with_retention: views.iter().map(|v| share(v.share_count)).sum(),
            without_retention: views.iter().map(|v| share(v.alive)).sum(),
        });
    };
    fleet.set_partition(side, true);
    for _ in 0..300 {
        fleet.advance_to(fleet.now + SECOND / 10);
        observe(&fleet);
    }
    fleet.set_partition(side, false);
    for _ in 0..100 {
        fleet.advance_to(fleet.now + SECOND / 10);
        observe(&fleet);
    }
    wait_for_convergence(&mut fleet, "end of the partition")?;
    Ok(greatest)
}

/// Measured convergence times and costs of a fleet of one size at one loss rate. Times are in
/// seconds; `None` if convergence took more than 60 s.
#[derive(Clone, Debug, Serialize)]
pub struct DetectionMeasurement {
    /// Number of members.
    pub members: usize,
    /// Fraction of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Seed of the simulation.
    pub seed: u64,
    /// Time from the simultaneous start of all members until convergence.
    pub join_s: Option<f64>,
    /// Time from the simultaneous death of a tenth of the members until convergence.
    pub death_s: Option<f64>,
    /// Time from the restart of these members until convergence.
    pub back_s: Option<f64>,
    /// Time from the end of a partition into halves until convergence.
    pub healed_s: Option<f64>,
    /// Datagrams sent per member and second while nothing changes.
    pub packets_per_s: f64,
    /// Bytes sent per member and second while nothing changes.
    pub bytes_per_s: f64,
    /// Growth of this process's resident memory until the end of the calm span, per member, in KiB.
    /// It includes the queue of the simulated network, but not memory that earlier measurements
    /// freed.
    pub memory_kb: Option<f64>,
    /// Suspicions of running members that a member started, per hour, while nothing changes.
    pub suspicions_per_h: f64,
    /// False deaths before the partition. Later ones are not counted, because a member may receive
    /// the record of a death only after the partition, although the death was declared correctly
    /// during it.
    pub false_deaths: u64,
}

/// Measures one fleet. Traffic is measured over a span of `calm_s` seconds in which nothing
/// changes.
pub fn measure(members: usize, loss: f64, seed: u64, calm_s: u64) -> DetectionMeasurement {
    let seconds = |t: Option<Nanos>| t.map(|t| (t / MS) as f64 / 1e3);
    let resident = process::own_resident_kb();
    let mut fleet = SimulatedFleet::new(members, 3, seed);
    fleet.network.loss = loss;
    fleet.start_all();
    let join_s = seconds(fleet.advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged));
    // Gossip broadcasts of the join have ended after 8 s.
    fleet.advance_to(fleet.now + 8 * SECOND);
    let sum = |fleet: &SimulatedFleet| {
        fleet
            .running()
            .iter()
            .map(|n| fleet.statistics(*n))
            .fold((0, 0, 0), |sum, member| {
                (
                    sum.0 + member.sent,
                    sum.1 + member.sent_bytes,
                    sum.2 + member.suspicions,
                )
            })
    };
    let before = sum(&fleet);
    fleet.advance_to(fleet.now + calm_s * SECOND);
    let after = sum(&fleet);
    let memory_kb = resident
        .zip(process::own_resident_kb())
        .map(|(from, to)| (to as f64 - from as f64) / members as f64);
    let per_s = |before: u64, after: u64| (after - before) as f64 / members as f64 / calm_s as f64;
    let affected = members - members.div_ceil(10)..members;
    affected.clone().for_each(|n| fleet.kill(n));
    let death_s = seconds(fleet.advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged));
    affected.for_each(|n| fleet.start(n, 0));
    let back_s = seconds(fleet.advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged));
    let false_deaths = fleet.false_deaths();
    fleet.advance_to(fleet.now + 2 * SECOND);
    let side = move |n: usize| usize::from(n >= members / 2);
    fleet.set_partition(side, true);
    fleet.advance_to(fleet.now + 10 * SECOND);
    fleet.set_partition(side, false);
    let healed_s = seconds(fleet.advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged));
    DetectionMeasurement {
        members,
        loss,
        seed,
        join_s,
        death_s,
        back_s,
        healed_s,
        packets_per_s: per_s(before.0, after.0),
        bytes_per_s: per_s(before.1, after.1),
        memory_kb,
        suspicions_per_h: per_s(before.2, after.2) * 3_600.0,
        false_deaths,
    }
}

/// Trace of the convergence that [`measure`] measures: counts of wrong views by kind, at an
/// interval, for the join, the death of a tenth of the members and their restart.
pub struct ConvergenceTrace {
    /// Number of members.
    pub members: usize,
    /// Fraction of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Seed of the simulation.
    pub seed: u64,
    /// Virtual time between two lines of the trace.
    pub interval: Nanos,
    /// Maximum virtual time of a phase; a phase that has not converged by then is ended.
    pub step_limit: Nanos,
}

impl ConvergenceTrace {
    /// Runs all phases and passes each line of the trace to `report`.
    pub fn run(&self, mut report: impl FnMut(&str)) {
        let mut fleet = SimulatedFleet::new(self.members, 3, self.seed);
        fleet.network.loss = self.loss;
        fleet.start_all();
        self.trace_phase(&mut fleet, "join", &mut report);
        fleet.advance_to(fleet.now + 8 * SECOND);
        let affected = self.members - self.members.div_ceil(10)..self.members;
        affected.clone().for_each(|n| fleet.kill(n));
        self.trace_phase(&mut fleet, "death", &mut report);
        affected.for_each(|n| fleet.start(n, 0));
        self.trace_phase(&mut fleet, "back", &mut report);
    }

    fn trace_phase(&self, fleet: &mut SimulatedFleet, name: &str, report: &mut impl FnMut(&str)) {
        let start = fleet.now;
        while fleet.now - start < self.step_limit {
            fleet.advance_to(fleet.now + self.interval);
            let wrong = fleet.count_wrong_views();
            let elapsed_s = ((fleet.now - start) / MS) as f64 / 1e3;
            report(&format!("{name} {elapsed_s:6.2} s {wrong:?}"));
            if fleet.converged() {
                break;
            }
        }
    }
}
