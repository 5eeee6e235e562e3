//! Simulation of shared shedding in virtual time: members of the `membership` crate, and a model of
//! caches with a fixed capacity. Requests admitted beyond the capacity are rejected, as the same
//! fraction of each member's requests. Nine tenths of the requests are reads of weight 3, one tenth
//! are writes of weight 10.

use super::SimulationFailure;
use crate::simulation::fleet::SimulatedFleet;
use membership::shedding::{AdmissionCounts, COUNTED_TIERS, MAX_SHED_FRACTION, REPORT_TTL};
use membership::{MS, Nanos};
use serde::Serialize;

const SECOND: Nanos = 1_000 * MS;
const CONVERGENCE_TIMEOUT: Nanos = 60 * SECOND;
/// Number of shedding tiers: two for each of three request classes, for requests beyond and within
/// their tenant's quota.
const TIERS: usize = 6;
/// Tier of reads.
const READ_TIER: usize = 3;
/// Tier of writes.
const WRITE_TIER: usize = 5;
const READ_WEIGHT: f64 = 3.0;
const WRITE_WEIGHT: f64 = 10.0;
/// Fraction of requests that are writes.
const WRITE_FRACTION: f64 = 0.1;
/// Duration of the overload, in seconds.
const OVERLOAD_S: u64 = 15;
/// Time step of the model.
const TICK: Nanos = 50 * MS;
/// Request rate outside the overload, per member and second.
const NORMAL_RATE: f64 = 15.0;
/// Capacity of the caches, in requests per member and second.
const MEMBER_CAPACITY: f64 = 25.0;

/// Disturbance injected during the overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedDisturbance {
    /// No disturbance.
    None,
    /// The fleet is partitioned into halves for 5 s.
    Split,
    /// All level reports are lost for 3 s.
    Silence,
    /// The first member receives five times as many requests as each other member.
    Uneven,
    /// A quarter of the members is killed and restarted 3 s later.
    Restarts,
}

/// All disturbances, in the order in which they are measured.
pub const DISTURBANCES: [InjectedDisturbance; 5] = [
    InjectedDisturbance::None,
    InjectedDisturbance::Split,
    InjectedDisturbance::Silence,
    InjectedDisturbance::Uneven,
    InjectedDisturbance::Restarts,
];

/// Measurement of one fleet through an overload of twice the capacity.
#[derive(Clone, Debug, Serialize)]
pub struct SheddingMeasurement {
    /// Number of members.
    pub members: usize,
    /// Fraction of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Seed of the simulation.
    pub seed: u64,
    /// Injected disturbance.
    #[serde(rename = "trouble")]
    pub disturbance: InjectedDisturbance,
    /// Weight served during the overload, as a fraction of the maximum that the capacity allows.
    #[serde(rename = "of_perfect")]
    pub share_of_optimum: f64,
    /// The same fraction when each member sheds by its own counts alone.
    #[serde(rename = "of_perfect_apart")]
    pub share_of_separate_optimum: f64,
    /// Admitted requests during the overload, as a multiple of the capacity.
    #[serde(rename = "tries_of_room")]
    pub attempts_per_capacity: f64,
    /// Maximum difference between two members' shed fractions of reads, averaged over the overload
    /// from its 3rd second on.
    pub spread: f64,
    /// Seconds from the end of the overload until no member sheds; `None` if more than 30 s.
    #[serde(rename = "over_s")]
    pub shedding_end_s: Option<f64>,
    /// Datagrams sent per member and second during the overload.
    pub datagrams_per_s: f64,
}

/// Sums of the model over all members and ticks. Attempts are admitted requests.
#[derive(Default)]
struct Totals {
    served_weight: f64,
    optimal_weight: f64,
    attempts: f64,
    capacity: f64,
    /// Sum of the sampled spreads.
    spread: f64,
    spread_samples: f64,
}

/// Returns the fraction of a tier that is shed at this level.
fn shed_fraction(level: f64, tier: usize) -> f64 {
    (level - tier as f64).clamp(0.0, MAX_SHED_FRACTION)
}

/// Advances the model and the fleet by one [`TICK`]. The request rate of the fleet is
/// `rate_per_member` times the number of slots, divided among the running members by `weights`.
/// `carried` holds the fractional parts of each member's counts until the next tick.
fn tick(
    fleet: &mut SimulatedFleet,
    carried: &mut [[f64; 3]],
    weights: &[f64],
    rate_per_member: f64,
    totals: &mut Totals,
) {
    let seconds = TICK as f64 / SECOND as f64;
    let running = fleet.running();
    // Clients of members that are down use the running members.
    let running_weight: f64 = running.iter().map(|n| weights[*n]).sum();
    let total = weights.iter().sum::<f64>() * rate_per_member * seconds;
    let capacity = weights.len() as f64 * MEMBER_CAPACITY * seconds;
    let mut admitted = Vec::new();
    for n in &running {
        let requests = total * weights[*n] / running_weight;
        let level = fleet.shedding_level(*n);
        let reads = requests * (1.0 - WRITE_FRACTION) * (1.0 - shed_fraction(level, READ_TIER));
        let writes = requests * WRITE_FRACTION * (1.0 - shed_fraction(level, WRITE_TIER));
        admitted.push((*n, reads, writes));
    }
    let attempts: f64 = admitted
        .iter()
        .map(|(_, reads, writes)| reads + writes)
        .sum();
    let served = (capacity / attempts.max(1e-9)).min(1.0);
    for (n, reads, writes) in admitted {
        totals.served_weight += served * (reads * READ_WEIGHT + writes * WRITE_WEIGHT);
        // Counts are integers: the fractional part is carried to the next tick.
        let increments = [reads, writes, (reads + writes) * (1.0 - served)];
        let mut whole = [0; 3];
        for ((carried, increment), whole) in carried[n].iter_mut().zip(increments).zip(&mut whole) {
            *carried += increment;
            *whole = carried.floor() as u32;
            *carried -= carried.floor();
        }
        let mut counts = AdmissionCounts {
            capacity_rejections: whole[2],
            ..AdmissionCounts::default()
        };
        (counts.admitted[READ_TIER], counts.admitted[WRITE_TIER]) = (whole[0], whole[1]);
        fleet.record_admissions(n, counts);
    }
    let writes = (total * WRITE_FRACTION).min(capacity);
    let reads = (total * (1.0 - WRITE_FRACTION)).min(capacity - writes);
    totals.optimal_weight += writes * WRITE_WEIGHT + reads * READ_WEIGHT;
    totals.attempts += attempts;
    totals.capacity += capacity;
    fleet.advance_to(fleet.now + TICK);
}

/// Returns the greatest difference between two members' shed fractions of reads.
fn shed_spread(fleet: &SimulatedFleet) -> f64 {
    let fractions = fleet
        .running()
        .into_iter()
        .map(|n| shed_fraction(fleet.shedding_level(n), READ_TIER));
    let (min, max) = fractions.fold((f64::MAX, 0f64), |(min, max), fraction| {
        (min.min(fraction), max.max(fraction))
    });
    (max - min).max(0.0)
}

/// Starts a fleet with shared shedding and waits until its views converge.
fn converged_fleet(members: usize, loss: f64, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(members, 3, seed);
    fleet.network.loss = loss;
    fleet.set_shedding_tiers(TIERS);
    fleet.start_all();
    fleet.advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged);
    fleet
}

/// Result of one simulated overload.
struct OverloadRun {
    /// Totals of the overload.
    totals: Totals,
    /// Seconds from the end of the overload until no member sheds.
    shedding_end_s: Option<f64>,
    /// Datagrams sent per member and second during the overload.
    datagrams_per_s: f64,
}

/// Whether members share level reports.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Coordination {
    /// Members exchange level reports and agree on one shedding level.
    Shared,
    /// All level reports are lost, so that each member sheds by its own counts.
    Separate,
}

/// Progress of a disturbance.
struct DisturbanceProgress {
    disturbance: InjectedDisturbance,
    coordination: Coordination,
    /// Number of changes applied so far, at most two: start and end of the disturbance.
    changes_applied: u32,
}

impl DisturbanceProgress {
    /// Applies the changes that are due `elapsed` after the start of the overload.
    fn advance(&mut self, fleet: &mut SimulatedFleet, elapsed: Nanos) {
        let members = fleet.len();
        let side = |n: usize| usize::from(n >= members / 2);
        let quarter = members - members.div_ceil(4)..members;
        match self.disturbance {
            InjectedDisturbance::Split if self.changes_applied == 0 && elapsed >= 5 * SECOND => {
                fleet.set_partition(side, true);
                self.changes_applied = 1;
            }
            InjectedDisturbance::Split if self.changes_applied == 1 && elapsed >= 10 * SECOND => {
                fleet.set_partition(side, false);
                self.changes_applied = 2;
            }
            InjectedDisturbance::Silence => {
                let reports_lost = (5 * SECOND..8 * SECOND).contains(&elapsed);
                let separate = self.coordination == Coordination::Separate;
                fleet.network.level_report_loss = f64::from(reports_lost || separate);
            }
            InjectedDisturbance::Restarts if self.changes_applied == 0 && elapsed >= 5 * SECOND => {
                quarter.for_each(|n| fleet.kill(n));
                self.changes_applied = 1;
            }
            InjectedDisturbance::Restarts if self.changes_applied == 1 && elapsed >= 8 * SECOND => {
                quarter.for_each(|n| fleet.start(n, 0));
                self.changes_applied = 2;
            }
            _ => {}
        }
    }
}

/// Returns the request rate of each member relative to the mean.
fn member_weights(members: usize, disturbance: InjectedDisturbance) -> Vec<f64> {
    let mut weights = vec![1.0; members];
    if disturbance == InjectedDisturbance::Uneven {
        weights[0] = 5.0;
        let sum: f64 = weights.iter().sum();
        weights.iter_mut().for_each(|w| *w *= members as f64 / sum);
    }
    weights
}

/// Returns the number of datagrams sent by all running members since their start.
fn datagrams_sent(fleet: &SimulatedFleet) -> u64 {
    let running = fleet.running();
    running.iter().map(|n| fleet.statistics(*n).sent).sum()
}

/// Simulates the normal request rate, then an overload of twice the capacity, then the normal rate
/// until no member sheds.
fn simulate_overload(
    members: usize,
    loss: f64,
    seed: u64,
    disturbance: InjectedDisturbance,
    coordination: Coordination,
) -> OverloadRun {
    let mut fleet = converged_fleet(members, loss, seed);
    fleet.network.level_report_loss = f64::from(coordination == Coordination::Separate);
    let weights = member_weights(members, disturbance);
    let mut carried = vec![[0.0; 3]; members];
    let mut ignored = Totals::default();
    for _ in 0..5 * SECOND / TICK {
        tick(
            &mut fleet,
            &mut carried,
            &weights,
            NORMAL_RATE,
            &mut ignored,
        );
    }
    let mut totals = Totals::default();
    let (overload_start, sent_before) = (fleet.now, datagrams_sent(&fleet));
    let mut progress = DisturbanceProgress {
        disturbance,
        coordination,
        changes_applied: 0,
    };
    while fleet.now - overload_start < OVERLOAD_S * SECOND {
        let elapsed = fleet.now - overload_start;
        progress.advance(&mut fleet, elapsed);
        tick(
            &mut fleet,
            &mut carried,
            &weights,
            2.0 * MEMBER_CAPACITY,
            &mut totals,
        );
        if elapsed >= 3 * SECOND {
            totals.spread += shed_spread(&fleet);
            totals.spread_samples += 1.0;
        }
    }
    let sent = datagrams_sent(&fleet) - sent_before;
    let overload_end = fleet.now;
    let mut shedding_end_s = None;
    while shedding_end_s.is_none() && fleet.now - overload_end < 30 * SECOND {
        tick(
            &mut fleet,
            &mut carried,
            &weights,
            NORMAL_RATE,
            &mut ignored,
        );
        let running = fleet.running();
        let none_shed = running.iter().all(|n| fleet.shedding_level(*n) == 0.0);
        shedding_end_s = none_shed.then(|| ((fleet.now - overload_end) / MS) as f64 / 1e3);
    }
    OverloadRun {
        totals,
        shedding_end_s,
        datagrams_per_s: sent as f64 / members as f64 / OVERLOAD_S as f64,
    }
}

/// Measures one fleet through one disturbance, with shared and with separate shedding.
#[must_use]
pub fn measure(
    members: usize,
    loss: f64,
    seed: u64,
    disturbance: InjectedDisturbance,
) -> SheddingMeasurement {
    let OverloadRun {
        totals,
        shedding_end_s,
        datagrams_per_s,
    } = simulate_overload(members, loss, seed, disturbance, Coordination::Shared);
    let separate =
        simulate_overload(members, loss, seed, disturbance, Coordination::Separate).totals;
    SheddingMeasurement {
        members,
        loss,
        seed,
        disturbance,
        share_of_optimum: totals.served_weight / totals.optimal_weight,
        share_of_separate_optimum: separate.served_weight / separate.optimal_weight,
        attempts_per_capacity: totals.attempts / totals.capacity,
        spread: totals.spread / totals.spread_samples.max(1.0),
        shedding_end_s,
        datagrams_per_s,
    }
}

/// Checks shared shedding under each disturbance: members shed nearly equal fractions, mostly
/// requests of low weight, and shedding ends after the overload. Also checks that expired reports
/// are ignored.
///
/// # Errors
///
/// Returns the first failed check.
pub fn overload(seed: u64) -> Result<(), SimulationFailure> {
    for disturbance in DISTURBANCES {
        let measurement = measure(12, 0.0, seed, disturbance);
        let failure = |problem| SimulationFailure::Shedding {
            problem,
            details: format!("{disturbance:?}: {measurement:?}"),
        };
        if measurement.share_of_optimum < 0.85 {
            return Err(failure("the served weight is below 0.85 of the optimum"));
        }
        if measurement.spread > 0.1 {
            return Err(failure(
                "the shed fractions of two members differ by more than 0.1 on average",
            ));
        }
        if measurement.shedding_end_s.is_none() {
            return Err(failure(
                "shedding does not end within 30 s after the overload",
            ));
        }
    }
    expired_reports(seed)
}

/// Checks that the only survivor of an overloaded fleet stops shedding once the reports of the dead
/// members have expired.
fn expired_reports(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = converged_fleet(6, 0.0, seed);
    let (mut carried, weights) = (vec![[0.0; 3]; 6], vec![1.0; 6]);
    for _ in 0..5 * SECOND / TICK {
        tick(
            &mut fleet,
            &mut carried,
            &weights,
            8.0 * MEMBER_CAPACITY,
            &mut Totals::default(),
        );
    }
    (1..6).for_each(|n| fleet.kill(n));
    let killed_at = fleet.now;
    while fleet.shedding_level(0) > 0.0 && fleet.now - killed_at < REPORT_TTL + 15 * SECOND {
        fleet.record_admissions(
            0,
            AdmissionCounts {
                admitted: [4; COUNTED_TIERS],
                capacity_rejections: 0,
            },
        );
        fleet.advance_to(fleet.now + TICK);
    }
    match fleet.shedding_level(0) {
        0.0 => Ok(()),
        level => Err(SimulationFailure::StaleReports(level)),
    }
}
