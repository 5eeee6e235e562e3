//! The level by which members shed load together, in virtual time: members of the `fleet` crate,
//! and a model of caches of so much capacity. What is admitted beyond it is rejected in equal
//! parts; requests are of two kinds, reads worth 3 and, a tenth, writes worth 10.

use super::SimulationFailure;
use crate::simulation::fleet::SimulatedFleet;
use membership::shedding::{AdmissionCounts, COUNTED_TIERS, MAX_SHED_FRACTION, REPORT_TTL};
use membership::{MS, Nanos};
use serde::Serialize;

const S: Nanos = 1_000 * MS;
const CEILING: Nanos = 60 * S;
/// The tiers of the model: the module's of three classes with shares; those of reads and of writes.
const TIERS: usize = 6;
const READS: usize = 3;
const WRITES: usize = 5;
const READ_WEIGHT: f64 = 3.0;
const WRITE_WEIGHT: f64 = 10.0;
const WRITE_PART: f64 = 0.1;
/// The model moves on by so much at a time.
/// How long the overload lasts, in seconds.
const OVERLOAD_S: u64 = 15;
const TICK: Nanos = 50 * MS;
/// Requests in calm, and the capacity of the caches, for each member and second.
const CALM: f64 = 15.0;
const MEMBER_CAPACITY: f64 = 25.0;

/// What disturbs gossip in the middle of the overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedDisturbance {
    /// Nothing.
    None,
    /// It is cut in halves for 5 s.
    Split,
    /// All of it is lost for 3 s.
    Silence,
    /// The first member asks for five times as much as the others.
    Uneven,
    /// A quarter of the members is killed and starts again after 3 s.
    Restarts,
}

/// All of them, in the order of the table.
pub const DISTURBANCES: [InjectedDisturbance; 5] = [
    InjectedDisturbance::None,
    InjectedDisturbance::Split,
    InjectedDisturbance::Silence,
    InjectedDisturbance::Uneven,
    InjectedDisturbance::Restarts,
];

/// What a fleet's level did through an overload of twice the capacity.
#[derive(Clone, Debug, Serialize)]
pub struct SheddingMeasurement {
    /// Members.
    pub members: usize,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// By which seed.
    pub seed: u64,
    /// What disturbed gossip.
    #[serde(rename = "trouble")]
    pub disturbance: InjectedDisturbance,
    /// Weight served over the most that could have been served, over the overload.
    #[serde(rename = "of_perfect")]
    pub share_of_optimum: f64,
    /// The same if each went by its own counts alone.
    #[serde(rename = "of_perfect_apart")]
    pub share_of_separate_optimum: f64,
    /// Attempts at caches over their capacity.
    #[serde(rename = "tries_of_room")]
    pub attempts_per_capacity: f64,
    /// The greatest difference between the shares of reads that two members shed, in the mean over
    /// the time from 3 s on.
    pub spread: f64,
    /// Seconds from the end of the overload until nothing is shed.
    pub over_s: Option<f64>,
    /// Datagrams that a member sent a second in it.
    pub datagrams_per_s: f64,
}

#[derive(Default)]
struct Sum {
    weight: f64,
    perfect: f64,
    attempts: f64,
    capacity: f64,
    spread: f64,
    samples: f64,
}

/// The part of a tier that is shed.
fn shed(level: f64, tier: usize) -> f64 {
    (level - tier as f64).clamp(0.0, MAX_SHED_FRACTION)
}

/// One tick of the model over the members that run: each asks for `asked` times its weight.
fn tick(
    fleet: &mut SimulatedFleet,
    carried: &mut [[f64; 3]],
    weights: &[f64],
    asked: f64,
    sum: &mut Sum,
) {
    let seconds = TICK as f64 / S as f64;
    let running = fleet.running();
    // Clients of those that are away ask the others.
    let here: f64 = running.iter().map(|n| weights[*n]).sum();
    let total = weights.iter().sum::<f64>() * asked * seconds;
    let capacity = weights.len() as f64 * MEMBER_CAPACITY * seconds;
    let mut admitted = Vec::new();
    for n in &running {
        let mine = total * weights[*n] / here;
        let level = fleet.shedding_level(*n);
        let reads = mine * (1.0 - WRITE_PART) * (1.0 - shed(level, READS));
        let writes = mine * WRITE_PART * (1.0 - shed(level, WRITES));
        admitted.push((*n, reads, writes));
    }
    let attempts: f64 = admitted
        .iter()
        .map(|(_, reads, writes)| reads + writes)
        .sum();
    let served = (capacity / attempts.max(1e-9)).min(1.0);
    for (n, reads, writes) in admitted {
        sum.weight += served * (reads * READ_WEIGHT + writes * WRITE_WEIGHT);
        // Requests are whole; what is left over counts next time.
        let more = [reads, writes, (reads + writes) * (1.0 - served)];
        let mut whole = [0; 3];
        for ((carried, more), whole) in carried[n].iter_mut().zip(more).zip(&mut whole) {
            *carried += more;
            *whole = carried.floor() as u32;
            *carried -= carried.floor();
        }
        let mut tally = AdmissionCounts {
            capacity_rejections: whole[2],
            ..AdmissionCounts::default()
        };
        (tally.admitted[READS], tally.admitted[WRITES]) = (whole[0], whole[1]);
        fleet.record_admissions(n, tally);
    }
    let writes = (total * WRITE_PART).min(capacity);
    let reads = (total * (1.0 - WRITE_PART)).min(capacity - writes);
    sum.perfect += writes * WRITE_WEIGHT + reads * READ_WEIGHT;
    (sum.attempts, sum.capacity) = (sum.attempts + attempts, sum.capacity + capacity);
    fleet.advance_to(fleet.now + TICK);
}

fn spread(fleet: &SimulatedFleet) -> f64 {
    let levels = fleet
        .running()
        .into_iter()
        .map(|n| shed(fleet.shedding_level(n), READS));
    let (least, most) = levels.fold((f64::MAX, 0f64), |(a, b), level| {
        (a.min(level), b.max(level))
    });
    (most - least).max(0.0)
}

/// A fleet whose members have met, and agree on a level.
fn met(members: usize, loss: f64, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(members, 3, seed);
    fleet.network.loss = loss;
    fleet.set_tiers(TIERS);
    fleet.start_all();
    fleet.advance_until(CEILING, SimulatedFleet::settled);
    fleet
}

/// What one run showed.
struct ShedRun {
    sum: Sum,
    /// Seconds from the end of the overload until nothing is shed.
    over_s: Option<f64>,
    datagrams_per_s: f64,
}

/// How members shed: by the level that all agree on, or each by its own counts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Coordination {
    Shared,
    Separate,
}

/// A disturbance as it goes on.
struct DisturbanceCourse {
    disturbance: InjectedDisturbance,
    coordination: Coordination,
    /// How many of its changes have been made.
    stage: u32,
}

impl DisturbanceCourse {
    /// Makes the changes that are due at this time since the overload's start.
    fn advance(&mut self, fleet: &mut SimulatedFleet, at: Nanos) {
        let members = fleet.len();
        let half = |n: usize| usize::from(n >= members / 2);
        let quarter = members - members.div_ceil(4)..members;
        match self.disturbance {
            InjectedDisturbance::Split if self.stage == 0 && at >= 5 * S => {
                fleet.split(half, true);
                self.stage = 1;
            }
            InjectedDisturbance::Split if self.stage == 1 && at >= 10 * S => {
                fleet.split(half, false);
                self.stage = 2;
            }
            InjectedDisturbance::Silence => {
                let silent = (5 * S..8 * S).contains(&at);
                let separate = self.coordination == Coordination::Separate;
                fleet.network.load_loss = f64::from(silent || separate);
            }
            InjectedDisturbance::Restarts if self.stage == 0 && at >= 5 * S => {
                quarter.for_each(|n| fleet.kill(n));
                self.stage = 1;
            }
            InjectedDisturbance::Restarts if self.stage == 1 && at >= 8 * S => {
                quarter.for_each(|n| fleet.start(n, 0));
                self.stage = 2;
            }
            _ => {}
        }
    }
}

/// How much each member is asked for, against the others.
fn member_weights(members: usize, disturbance: InjectedDisturbance) -> Vec<f64> {
    let mut weights = vec![1.0; members];
    if disturbance == InjectedDisturbance::Uneven {
        weights[0] = 5.0;
        let sum: f64 = weights.iter().sum();
        weights.iter_mut().for_each(|w| *w *= members as f64 / sum);
    }
    weights
}

fn datagrams_sent(fleet: &SimulatedFleet) -> u64 {
    let running = fleet.running();
    running.iter().map(|n| fleet.statistics(*n).sent).sum()
}

/// Plays calm, an overload of twice the capacity, and calm until nothing is shed.
fn run(
    members: usize,
    loss: f64,
    seed: u64,
    disturbance: InjectedDisturbance,
    coordination: Coordination,
) -> ShedRun {
    let mut fleet = met(members, loss, seed);
    fleet.network.load_loss = f64::from(coordination == Coordination::Separate);
    let weights = member_weights(members, disturbance);
    let mut carried = vec![[0.0; 3]; members];
    let mut calm_sum = Sum::default();
    for _ in 0..5 * S / TICK {
        tick(&mut fleet, &mut carried, &weights, CALM, &mut calm_sum);
    }
    let mut sum = Sum::default();
    let (begun, before) = (fleet.now, datagrams_sent(&fleet));
    let mut course = DisturbanceCourse {
        disturbance,
        coordination,
        stage: 0,
    };
    while fleet.now - begun < OVERLOAD_S * S {
        let at = fleet.now - begun;
        course.advance(&mut fleet, at);
        tick(
            &mut fleet,
            &mut carried,
            &weights,
            2.0 * MEMBER_CAPACITY,
            &mut sum,
        );
        if at >= 3 * S {
            sum.spread += spread(&fleet);
            sum.samples += 1.0;
        }
    }
    let sent = datagrams_sent(&fleet) - before;
    let over = fleet.now;
    let mut over_s = None;
    while over_s.is_none() && fleet.now - over < 30 * S {
        tick(&mut fleet, &mut carried, &weights, CALM, &mut calm_sum);
        let running = fleet.running();
        let done = running.iter().all(|n| fleet.shedding_level(*n) == 0.0);
        over_s = done.then(|| ((fleet.now - over) / MS) as f64 / 1e3);
    }
    ShedRun {
        sum,
        over_s,
        datagrams_per_s: sent as f64 / members as f64 / OVERLOAD_S as f64,
    }
}

/// Plays one fleet through one disturbance, together and each by itself.
#[must_use]
pub fn measure(
    members: usize,
    loss: f64,
    seed: u64,
    disturbance: InjectedDisturbance,
) -> SheddingMeasurement {
    let ShedRun {
        sum,
        over_s,
        datagrams_per_s,
    } = run(members, loss, seed, disturbance, Coordination::Shared);
    let apart = run(members, loss, seed, disturbance, Coordination::Separate).sum;
    SheddingMeasurement {
        members,
        loss,
        seed,
        disturbance,
        share_of_optimum: sum.weight / sum.perfect,
        share_of_separate_optimum: apart.weight / apart.perfect,
        attempts_per_capacity: sum.attempts / sum.capacity,
        spread: sum.spread / sum.samples.max(1.0),
        over_s,
        datagrams_per_s,
    }
}

/// A trial with a verdict: the overload is shed by all alike, the dearest is kept, and it ends when
/// its cause does.
///
/// # Errors
///
/// What the trial found wrong.
pub fn overload(seed: u64) -> Result<(), SimulationFailure> {
    for disturbance in DISTURBANCES {
        let figures = measure(12, 0.0, seed, disturbance);
        let failure = |problem| SimulationFailure::Shedding {
            problem,
            details: format!("{disturbance:?}: {figures:?}"),
        };
        if figures.share_of_optimum < 0.85 {
            return Err(failure("too little worth"));
        }
        if figures.spread > 0.1 {
            return Err(failure("members shed unlike parts"));
        }
        if figures.over_s.is_none() {
            return Err(failure("it goes on being shed"));
        }
    }
    stale(seed)
}

/// All but one are gone after they shed much; the one that is left follows their reports no longer
/// than they are fresh.
fn stale(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = met(6, 0.0, seed);
    let (mut carried, weights) = (vec![[0.0; 3]; 6], vec![1.0; 6]);
    for _ in 0..5 * S / TICK {
        tick(
            &mut fleet,
            &mut carried,
            &weights,
            8.0 * MEMBER_CAPACITY,
            &mut Sum::default(),
        );
    }
    (1..6).for_each(|n| fleet.kill(n));
    let gone = fleet.now;
    while fleet.shedding_level(0) > 0.0 && fleet.now - gone < REPORT_TTL + 15 * S {
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
