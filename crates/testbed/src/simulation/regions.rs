//! What a fleet in regions costs and how soon its views are true, in virtual time: sizes that no
//! machine runs live.

use crate::process;
use crate::simulation::fleet::{NetworkConditions, SimulatedFleet};
use membership::{MS, Nanos};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const S: Nanos = 1_000 * MS;
/// Wide ceilings: how long things take is measured.
const CEILING: Nanos = 60 * S;
/// Members that share a rack or a switch.
const RACK: usize = 20;
/// Between regions datagrams jitter by so much.
const BETWEEN_JITTER: Nanos = 5 * MS;
/// Regions of a plan differ: the n-th has this power of n of the first one's members.
const UNEVEN: f64 = -0.6;
/// How long a region is cut off.
const CUT: Nanos = 60 * S;
/// Views are looked at this often after an event,
const STEP: Nanos = 100 * MS;
const STEPS_A_SECOND: u64 = 10;
/// and so many seconds after it are priced.
const PRICED_S: u64 = 10;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct RegionPlan {
    /// Members in all.
    pub members: usize,
    /// Regions, uneven.
    pub regions: usize,
    /// By which seed.
    pub seed: u64,
    /// The share of datagrams that is lost, everywhere.
    pub loss: f64,
    /// The share that is lost between regions, where that is more.
    pub loss_between: f64,
    /// How long datagrams take from one region to another, in milliseconds.
    pub delay_between_ms: u64,
    /// How long nothing happens, in seconds.
    pub calm_s: u64,
    /// What happens after the calm.
    pub events: RegionEvents,
}

/// What happens after the calm.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionEvents {
    /// One dies and is back, then the leader of the largest region.
    pub member_deaths: bool,
    /// A rack dies and is back, then a zone.
    pub group_deaths: bool,
    /// A region is cut off for a minute and is back.
    pub region_cut: bool,
}

impl RegionEvents {
    /// All of them.
    pub const ALL: RegionEvents = RegionEvents {
        member_deaths: true,
        group_deaths: true,
        region_cut: true,
    };
}

/// What it costs and takes; times in seconds, `None` if it took over a minute.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegionMeasurement {
    /// Members.
    pub members: usize,
    /// Regions.
    pub regions: usize,
    /// Members of the largest region.
    pub largest: usize,
    /// The share of datagrams lost.
    pub loss: f64,
    /// By which seed.
    pub seed: u64,
    /// All start at once until all views are true.
    pub join_s: Option<f64>,
    /// In calm: datagrams and bytes sent a member a second.
    pub datagrams_per_s: f64,
    /// The same, bytes.
    pub bytes_per_s: f64,
    /// The same of the worst member in its worst second.
    pub bytes_per_s_worst: u64,
    /// The same of delegates, in the mean.
    pub bytes_per_s_delegates: f64,
    /// Processor time, as a share of a core in percent, in the mean.
    pub cpu_percent: f64,
    /// The same of the member that took most.
    pub cpu_percent_worst: f64,
    /// Growth of this process a member, in KB, the network's queue included.
    pub memory_kb: Option<f64>,
    /// Entries that a member of the largest region holds: members, regions, announcements.
    pub entries: usize,
    /// Deaths that were none, in calm.
    pub false_deaths: u64,
    /// What happened after the calm.
    pub events: Vec<RegionEvent>,
}

/// One event and its course.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegionEvent {
    /// What happened.
    pub what: String,
    /// Until the members of the region it happened in have true views.
    pub region_s: Option<f64>,
    /// Until all members do.
    pub settled_s: Option<f64>,
    /// In the ten seconds from it on: bytes sent by the worst member in its worst second.
    pub bytes_per_s_worst: u64,
    /// The same of the member that sent most, in the mean over these.
    pub bytes_per_s_most: f64,
    /// Bytes sent a member a second in the mean over these.
    pub bytes_per_s: f64,
    /// Processor time in these in the mean, in percent of a core.
    pub cpu_percent: f64,
    /// The same of the member that took most.
    pub cpu_percent_worst: f64,
    /// Deaths that were none.
    pub false_deaths: u64,
}

/// The sizes of uneven regions that have so many members in all.
#[must_use]
pub fn region_sizes(members: usize, regions: usize) -> Vec<usize> {
    let weights: Vec<f64> = (1..=regions).map(|n| (n as f64).powf(UNEVEN)).collect();
    let sum: f64 = weights.iter().sum();
    let mut sizes: Vec<usize> = weights
        .iter()
        .map(|weight| ((members as f64 * weight / sum) as usize).max(1))
        .collect();
    let missing = members.saturating_sub(sizes.iter().sum());
    (0..missing).for_each(|n| sizes[n % regions] += 1);
    sizes
}

fn seconds(t: Option<Nanos>) -> Option<f64> {
    t.map(|t| (t / MS) as f64 / 1e3)
}

/// What a span cost.
struct Cost {
    bytes_worst: u64,
    bytes_most: f64,
    bytes: f64,
    datagrams: f64,
    bytes_delegates: f64,
    cpu: f64,
    cpu_worst: f64,
}

/// Measures what members send and take of processor time over some seconds.
struct TrafficMeter {
    begun: Nanos,
    bytes: Vec<u64>,
    last: Vec<u64>,
    busy: Vec<Duration>,
    sent: u64,
    worst: u64,
}

fn bytes_of(fleet: &SimulatedFleet) -> Vec<u64> {
    (0..fleet.len())
        .map(|n| fleet.statistics(n).sent_bytes)
        .collect()
}

fn sent_of(fleet: &SimulatedFleet) -> u64 {
    (0..fleet.len()).map(|n| fleet.statistics(n).sent).sum()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn speaks(fleet: &SimulatedFleet, n: usize) -> bool {
    fleet
        .member(n)
        .is_some_and(|member| member.delegates().contains(&member.id().address))
}

impl TrafficMeter {
    fn new(fleet: &SimulatedFleet) -> Self {
        let bytes = bytes_of(fleet);
        TrafficMeter {
            begun: fleet.now,
            last: bytes.clone(),
            bytes,
            busy: (0..fleet.len()).map(|n| fleet.cpu_time(n)).collect(),
            sent: sent_of(fleet),
            worst: 0,
        }
    }

    /// A second has passed.
    fn second(&mut self, fleet: &SimulatedFleet) {
        let now = bytes_of(fleet);
        let most = now
            .iter()
            .zip(&self.last)
            .map(|(now, last)| now.saturating_sub(*last))
            .max();
        self.worst = self.worst.max(most.unwrap_or(0));
        self.last = now;
    }

    fn cost(&self, fleet: &SimulatedFleet) -> Cost {
        let length = (fleet.now - self.begun) as f64 / S as f64;
        let now = bytes_of(fleet);
        let running = fleet.running();
        let bytes = |n: usize| now[n].saturating_sub(self.bytes[n]) as f64 / length;
        let cpu = |n: usize| {
            fleet.cpu_time(n).saturating_sub(self.busy[n]).as_secs_f64() / length * 100.0
        };
        let all = |of: &dyn Fn(usize) -> f64| running.iter().map(|n| of(*n)).collect::<Vec<f64>>();
        let cpus = all(&cpu);
        let delegates: Vec<f64> = running
            .iter()
            .filter(|n| speaks(fleet, **n))
            .map(|n| bytes(*n))
            .collect();
        Cost {
            bytes_worst: self.worst,
            bytes_most: all(&bytes).into_iter().fold(0.0, f64::max),
            bytes: mean(&all(&bytes)),
            datagrams: (sent_of(fleet) - self.sent) as f64 / running.len().max(1) as f64 / length,
            bytes_delegates: mean(&delegates),
            cpu: mean(&cpus),
            cpu_worst: cpus.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// Starts a fleet and plays until all views are true.
fn started(plan: RegionPlan) -> (SimulatedFleet, Option<Nanos>) {
    let mut fleet = if plan.regions > 1 {
        SimulatedFleet::in_regions(&region_sizes(plan.members, plan.regions), plan.seed)
    } else {
        SimulatedFleet::new(plan.members, 3, plan.seed)
    };
    fleet.set_members_max(plan.members.max(2_048));
    fleet.network.loss = plan.loss;
    fleet.between_regions = (plan.regions > 1).then_some(NetworkConditions {
        loss: plan.loss.max(plan.loss_between),
        delay: plan.delay_between_ms * MS,
        jitter: BETWEEN_JITTER,
        ..NetworkConditions::default()
    });
    fleet.vary_request_rates();
    fleet.start_all();
    let joined = fleet.advance_until(CEILING, SimulatedFleet::settled);
    (fleet, joined)
}

/// Plays an event, prices its first ten seconds, and takes how long views take to be true.
fn event(
    fleet: &mut SimulatedFleet,
    what: &'static str,
    region: usize,
    side: impl Fn(usize) -> usize + Copy,
    happen: impl FnOnce(&mut SimulatedFleet),
) -> RegionEvent {
    let false_before = fleet.false_deaths();
    let begun = fleet.now;
    happen(fleet);
    let mut meter = TrafficMeter::new(fleet);
    let mut cost = None;
    let (mut region_s, mut settled_s) = (None, None);
    for step in 1.. {
        fleet.advance_to(begun + step * STEP);
        if region_s.is_none() && fleet.region_settled(region, side) {
            region_s = Some(fleet.now - begun);
        }
        if settled_s.is_none() && fleet.settled_by(side) {
            settled_s = Some(fleet.now - begun);
        }
        if cost.is_none() && step % STEPS_A_SECOND == 0 {
            meter.second(fleet);
        }
        if step == PRICED_S * STEPS_A_SECOND {
            cost = Some(meter.cost(fleet));
        }
        let settled = region_s.is_some() && settled_s.is_some();
        if cost.is_some() && (settled || fleet.now - begun >= CEILING) {
            break;
        }
    }
    let cost = cost.unwrap_or_else(|| meter.cost(fleet));
    RegionEvent {
        what: what.into(),
        region_s: seconds(region_s),
        settled_s: seconds(settled_s),
        bytes_per_s_worst: cost.bytes_worst,
        bytes_per_s_most: cost.bytes_most,
        bytes_per_s: cost.bytes,
        cpu_percent: cost.cpu,
        cpu_percent_worst: cost.cpu_worst,
        false_deaths: fleet.false_deaths() - false_before,
    }
}

fn events(fleet: &mut SimulatedFleet, which: RegionEvents) -> Vec<RegionEvent> {
    let mut events = Vec::new();
    if which.member_deaths {
        events.extend(deaths(fleet));
    }
    if which.group_deaths {
        events.extend(losses(fleet));
    }
    if which.region_cut {
        events.extend(cut(fleet));
    }
    events
}

/// The region that events befall: the largest.
const REGION: usize = 0;

/// One dies and is back, then the leader.
fn deaths(fleet: &mut SimulatedFleet) -> Vec<RegionEvent> {
    let whole = |_: usize| 0;
    let of_region = fleet.of_region(REGION);
    let one = of_region[of_region.len() / 2];
    let mut events = vec![
        event(fleet, "one dies", REGION, whole, |fleet| fleet.kill(one)),
        event(fleet, "it is back", REGION, whole, |fleet| {
            fleet.start(one, 0);
        }),
    ];
    let leads = |n: &usize| {
        let member = fleet.member(*n);
        member.is_some_and(|member| member.delegates().first() == Some(&member.id().address))
    };
    if let Some(leader) = of_region.iter().copied().find(leads) {
        events.push(event(fleet, "the leader dies", REGION, whole, |fleet| {
            fleet.kill(leader);
        }));
        events.push(event(fleet, "it is back", REGION, whole, |fleet| {
            fleet.start(leader, 0);
        }));
    }
    events
}

/// A rack dies and is back, then a zone.
fn losses(fleet: &mut SimulatedFleet) -> Vec<RegionEvent> {
    let of_region = fleet.of_region(REGION);
    let rack: Vec<usize> = of_region
        .iter()
        .copied()
        .rev()
        .take(RACK.min(of_region.len() / 2))
        .collect();
    let zone: Vec<usize> = of_region
        .iter()
        .copied()
        .skip(of_region.len().div_ceil(2))
        .collect();
    let mut events = Vec::new();
    for (what, lost) in [("a rack dies", rack), ("a zone dies", zone)] {
        let kill = |fleet: &mut SimulatedFleet| lost.iter().for_each(|n| fleet.kill(*n));
        let start = |fleet: &mut SimulatedFleet| lost.iter().for_each(|n| fleet.start(*n, 0));
        events.push(event(fleet, what, REGION, |_| 0, kill));
        events.push(event(fleet, "it is back", REGION, |_| 0, start));
    }
    events
}

/// A region is cut off and comes back.
fn cut(fleet: &mut SimulatedFleet) -> Vec<RegionEvent> {
    let regions: Vec<usize> = (0..fleet.len()).map(|n| fleet.region(n)).collect();
    let apart = |n: usize| usize::from(regions[n] == REGION);
    let off = event(fleet, "a region is cut off", REGION, apart, |fleet| {
        fleet.split(apart, true);
    });
    fleet.advance_to(fleet.now + CUT);
    let back = event(
        fleet,
        "it is heard again",
        REGION,
        |_| 0,
        |fleet| fleet.split(apart, false),
    );
    vec![off, back]
}

/// Plays a plan and measures it.
#[must_use]
pub fn measure(plan: RegionPlan) -> RegionMeasurement {
    let resident = process::own_resident_kb();
    let (mut fleet, joined) = started(plan);
    // Rumours of the beginning run out.
    fleet.advance_to(fleet.now + 8 * S);
    let false_before = fleet.false_deaths();
    let mut meter = TrafficMeter::new(&fleet);
    for _ in 0..plan.calm_s {
        fleet.advance_to(fleet.now + S);
        meter.second(&fleet);
    }
    let cost = meter.cost(&fleet);
    let memory_kb = resident
        .zip(process::own_resident_kb())
        .map(|(from, to)| (to as f64 - from as f64) / plan.members as f64);
    let false_deaths = fleet.false_deaths() - false_before;
    let entries = (0..fleet.len()).filter_map(|n| fleet.member(n));
    let entries = entries
        .map(|m| m.members().count() + m.other_regions().count() + m.announcement_count())
        .max();
    RegionMeasurement {
        members: plan.members,
        regions: plan.regions,
        largest: region_sizes(plan.members, plan.regions)
            .into_iter()
            .max()
            .unwrap_or(0),
        loss: plan.loss,
        seed: plan.seed,
        join_s: seconds(joined),
        datagrams_per_s: cost.datagrams,
        bytes_per_s: cost.bytes,
        bytes_per_s_worst: cost.bytes_worst,
        bytes_per_s_delegates: cost.bytes_delegates,
        cpu_percent: cost.cpu,
        cpu_percent_worst: cost.cpu_worst,
        memory_kb,
        entries: entries.unwrap_or(0),
        false_deaths,
        events: events(&mut fleet, plan.events),
    }
}
