//! Trials in virtual time, each with a verdict: what real processes can't be brought to in a few
//! seconds, or only by luck.

use super::SimulationFailure;
use crate::process;
use crate::simulation::fleet::{NetworkConditions, SimulatedFleet, address};
use crate::simulation::region_trials as regions;
use membership::{MS, Nanos};
use serde::Serialize;

const S: Nanos = 1_000 * MS;
/// Wide ceilings: how long things take is measured by [`measure`].
const CEILING: Nanos = 60 * S;
/// The bound on the sum of shares through any split.
const MAX_SHARE_SUM: f64 = 1.5;

/// A trial, by a seed; what broke if it failed.
type SimulationTrial = fn(u64) -> Result<(), SimulationFailure>;

/// All of them, by name.
pub const TRIALS: [(&str, SimulationTrial); 13] = [
    ("virtual-lossy", lossy),
    ("virtual-deaf", deaf),
    ("virtual-asleep", asleep),
    ("virtual-newcomer", newcomer),
    ("virtual-split", split),
    ("virtual-return", returns),
    ("virtual-overload", crate::simulation::shedding::overload),
    ("regions-split", regions::split),
    ("regions-delegates", regions::delegates_die),
    ("regions-lossy", regions::lossy),
    ("regions-lies", regions::lies),
    ("regions-referral", regions::referral),
    ("regions-overview", regions::overview),
];

fn settled(n: usize, seed: u64) -> Result<SimulatedFleet, SimulationFailure> {
    let mut fleet = SimulatedFleet::new(n, 3, seed);
    fleet.start_all();
    settle(&mut fleet, "join")?;
    Ok(fleet)
}

fn settle(fleet: &mut SimulatedFleet, what: &str) -> Result<Nanos, SimulationFailure> {
    fleet
        .advance_until(CEILING, SimulatedFleet::settled)
        .ok_or_else(|| SimulationFailure::NotSettled {
            phase: what.into(),
            ceiling_s: CEILING / S,
        })
}

fn no_false_death(fleet: &SimulatedFleet) -> Result<(), SimulationFailure> {
    match fleet.false_deaths() {
        0 => Ok(()),
        n => Err(SimulationFailure::FalseDeaths(n)),
    }
}

/// Six in ten datagrams are lost and all are late: nobody is declared dead in five minutes.
fn lossy(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = settled(12, seed)?;
    fleet.network = NetworkConditions {
        loss: 0.6,
        delay: 50 * MS,
        jitter: 10 * MS,
        duplicates: 0.02,
        ..NetworkConditions::default()
    };
    fleet.advance_to(fleet.now + 300 * S);
    no_false_death(&fleet)
}

/// One is heard by all and hears nobody: it declares nobody dead, and rejoins.
fn deaf(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = settled(8, seed)?;
    (1..8).for_each(|n| fleet.cut(n, 0, true));
    fleet.advance_to(fleet.now + 8 * S);
    if let Some(seen) = fleet
        .view(0)
        .members
        .iter()
        .find(|seen| !seen.status.is_present())
    {
        return Err(SimulationFailure::AccusedWhileIsolated(seen.id.address));
    }
    no_false_death(&fleet)?;
    (1..8).for_each(|n| fleet.cut(n, 0, false));
    settle(&mut fleet, "hears again").map(|_| ())
}

/// A member stalls, and what is sent to it meanwhile is lost: when it resumes it suspects nobody.
fn asleep(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = settled(8, seed)?;
    let before = fleet.statistics(4).suspicions;
    fleet.split(|n| usize::from(n == 4), true);
    fleet.stall(4, 11 * S);
    fleet.advance_to(fleet.now + 11 * S);
    fleet.split(|n| usize::from(n == 4), false);
    settle(&mut fleet, "awake")?;
    fleet.advance_to(fleet.now + 3 * S);
    match fleet.statistics(4).suspicions - before {
        0 => no_false_death(&fleet),
        n => Err(SimulationFailure::SuspectedAfterStall(n)),
    }
}

/// A member joins a fleet in which nothing has changed for long: it gets the metadata of all
/// members.
fn newcomer(seed: u64) -> Result<(), SimulationFailure> {
    let mut fleet = SimulatedFleet::new(12, 3, seed);
    (0..11).for_each(|n| fleet.start(n, 0));
    settle(&mut fleet, "the first eleven")?;
    fleet.advance_to(fleet.now + 30 * S);
    fleet.start(11, 0);
    settle(&mut fleet, "the twelfth")?;
    let view = fleet.view(11);
    let heard = view
        .members
        .iter()
        .filter(|seen| seen.metadata.is_some())
        .count();
    if heard == 11 {
        Ok(())
    } else {
        Err(SimulationFailure::MissingMetadata {
            member: address(11),
            known: heard,
            expected: 11,
        })
    }
}

/// Many return at once: each is known to all soon, though gossip broadcasts die out now and then
/// before they have reached all.
fn returns(seed: u64) -> Result<(), SimulationFailure> {
    // By gossip broadcasts and the round of records alone it takes 2.2 s and more.
    const SOON: Nanos = 1_500 * MS;
    let mut fleet = settled(100, seed)?;
    (90..100).for_each(|n| fleet.kill(n));
    settle(&mut fleet, "death")?;
    (90..100).for_each(|n| fleet.start(n, 0));
    let back = settle(&mut fleet, "back")?;
    if back > SOON {
        Err(SimulationFailure::SlowReturn(back / MS))
    } else {
        Ok(())
    }
}

/// Parts of a fleet don't hear each other: whatever the parts, the shares keep their sum.
fn split(seed: u64) -> Result<(), SimulationFailure> {
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

/// The greatest sums of shares that were seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareSums {
    /// By the share count that members use.
    pub with_retention: f64,
    /// If members divided by those they see alive.
    pub without_retention: f64,
}

impl ShareSums {
    /// The greater of each.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        ShareSums {
            with_retention: self.with_retention.max(other.with_retention),
            without_retention: self.without_retention.max(other.without_retention),
        }
    }
}

/// The greatest sums of shares through a split into so many parts and its healing.
///
/// # Errors
///
/// If views are not true in time.
pub fn share_sums(n: usize, parts: usize, seed: u64) -> Result<ShareSums, SimulationFailure> {
    let mut fleet = settled(n, seed)?;
    fleet.advance_to(fleet.now + 20 * S);
    // Parts of different size: the worst for the rule is one that just has more than half.
    let side = move |m: usize| {
        if parts == 2 {
            usize::from(m > n / 2)
        } else {
            m % parts
        }
    };
    let mut most = ShareSums::default();
    let mut observe = |fleet: &SimulatedFleet| {
        let views: Vec<_> = fleet.running().into_iter().map(|m| fleet.view(m)).collect();
        let share = |count: usize| 1.0 / count.max(1) as f64;
        most = most.max(ShareSums {
            with_retention: views.iter().map(|v| share(v.share_count)).sum(),
            without_retention: views.iter().map(|v| share(v.alive)).sum(),
        });
    };
    fleet.split(side, true);
    for _ in 0..300 {
        fleet.advance_to(fleet.now + S / 10);
        observe(&fleet);
    }
    fleet.split(side, false);
    for _ in 0..100 {
        fleet.advance_to(fleet.now + S / 10);
        observe(&fleet);
    }
    settle(&mut fleet, "healed")?;
    Ok(most)
}

/// What a fleet of one size does at one rate of loss; times in seconds, `None` if it took over a
/// minute.
#[derive(Clone, Debug, Serialize)]
pub struct DetectionMeasurement {
    /// Members.
    pub members: usize,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// By which seed.
    pub seed: u64,
    /// All start at once until all see each other.
    pub join_s: Option<f64>,
    /// A tenth is killed at once until all know.
    pub death_s: Option<f64>,
    /// They start again until all see them.
    pub back_s: Option<f64>,
    /// A split in halves heals until all see each other.
    pub healed_s: Option<f64>,
    /// Datagrams sent a member a second, when nothing happens.
    pub packets_per_s: f64,
    /// Their bytes.
    pub bytes_per_s: f64,
    /// Growth of this process by then, a member, in KB: the network's queue is in it, and memory
    /// that earlier rows freed is not.
    pub memory_kb: Option<f64>,
    /// Suspicions that began at a member in an hour, of members that lived.
    pub suspicions_per_h: f64,
    /// False deaths until the split: a death that a member learns of late, after the split, was
    /// real when it was declared.
    pub false_deaths: u64,
}

/// Measures one fleet; the calm span lasts `calm` seconds.
pub fn measure(members: usize, loss: f64, seed: u64, calm: u64) -> DetectionMeasurement {
    let seconds = |t: Option<Nanos>| t.map(|t| (t / MS) as f64 / 1e3);
    let resident = process::own_resident_kb();
    let mut fleet = SimulatedFleet::new(members, 3, seed);
    fleet.network.loss = loss;
    fleet.start_all();
    let join_s = seconds(fleet.advance_until(CEILING, SimulatedFleet::settled));
    // Rumours of the beginning run out.
    fleet.advance_to(fleet.now + 8 * S);
    let sum = |fleet: &SimulatedFleet| {
        fleet
            .running()
            .iter()
            .map(|n| fleet.statistics(*n))
            .fold((0, 0, 0), |sum, t| {
                (sum.0 + t.sent, sum.1 + t.sent_bytes, sum.2 + t.suspicions)
            })
    };
    let before = sum(&fleet);
    fleet.advance_to(fleet.now + calm * S);
    let after = sum(&fleet);
    let memory_kb = resident
        .zip(process::own_resident_kb())
        .map(|(from, to)| (to as f64 - from as f64) / members as f64);
    let per_s = |before: u64, after: u64| (after - before) as f64 / members as f64 / calm as f64;
    let tenth = members - members.div_ceil(10)..members;
    tenth.clone().for_each(|n| fleet.kill(n));
    let death_s = seconds(fleet.advance_until(CEILING, SimulatedFleet::settled));
    tenth.for_each(|n| fleet.start(n, 0));
    let back_s = seconds(fleet.advance_until(CEILING, SimulatedFleet::settled));
    let false_deaths = fleet.false_deaths();
    fleet.advance_to(fleet.now + 2 * S);
    let half = move |n: usize| usize::from(n >= members / 2);
    fleet.split(half, true);
    fleet.advance_to(fleet.now + 10 * S);
    fleet.split(half, false);
    let healed_s = seconds(fleet.advance_until(CEILING, SimulatedFleet::settled));
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

/// A trace of what `measure` simulates: which views are wrong in how many pairs of members, each
/// `every` until all views are true, at most for `most`.
pub struct ConvergenceTrace {
    /// Members.
    pub members: usize,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// For all that is drawn.
    pub seed: u64,
    /// The time between two lines.
    pub interval: Nanos,
    /// A step that has not settled is ended after this.
    pub step_limit: Nanos,
}

impl ConvergenceTrace {
    /// Runs the steps and reports each line.
    pub fn run(&self, mut report: impl FnMut(&str)) {
        let mut fleet = SimulatedFleet::new(self.members, 3, self.seed);
        fleet.network.loss = self.loss;
        fleet.start_all();
        self.step(&mut fleet, "join", &mut report);
        fleet.advance_to(fleet.now + 8 * S);
        let tenth = self.members - self.members.div_ceil(10)..self.members;
        tenth.clone().for_each(|n| fleet.kill(n));
        self.step(&mut fleet, "death", &mut report);
        tenth.for_each(|n| fleet.start(n, 0));
        self.step(&mut fleet, "back", &mut report);
    }

    fn step(&self, fleet: &mut SimulatedFleet, name: &str, report: &mut impl FnMut(&str)) {
        let begun = fleet.now;
        while fleet.now - begun < self.step_limit {
            fleet.advance_to(fleet.now + self.interval);
            let untrue = fleet.wrong_views();
            let elapsed_s = ((fleet.now - begun) / MS) as f64 / 1e3;
            report(&format!("{name} {elapsed_s:6.2} s {untrue:?}"));
            if fleet.settled() {
                break;
            }
        }
    }
}
