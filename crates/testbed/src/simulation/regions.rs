//! Measurements of a fleet in regions in virtual time: costs per member and convergence times, for
//! fleet sizes that do not fit on one machine as real processes.

use crate::process;
use crate::simulation::fleet::{NetworkConditions, SimulatedFleet};
use membership::{MS, Nanos};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const SECOND: Nanos = 1_000 * MS;
/// Timeout of a wait for convergence; generous, because the times themselves are measured.
const CONVERGENCE_TIMEOUT: Nanos = 60 * SECOND;
/// Number of members in a rack.
const RACK_SIZE: usize = 20;
/// Maximum random delay of datagrams between regions, added to the fixed delay.
const INTER_REGION_JITTER: Nanos = 5 * MS;
/// Exponent of the region sizes: region `n`, counted from 1, has `n` to this power times the
/// members of region 1.
const SIZE_EXPONENT: f64 = -0.6;
/// Time for which a region stays isolated after its isolation has been measured.
const ISOLATION_TIME: Nanos = 60 * SECOND;
/// Interval of convergence checks after an event.
const CHECK_INTERVAL: Nanos = 100 * MS;
/// Number of convergence checks per second; follows from [`CHECK_INTERVAL`].
const CHECKS_PER_S: u64 = 10;
/// Span after an event in which traffic and processor time are measured, in seconds.
const COST_SPAN_S: u64 = 10;

/// Fleet, network and events of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct RegionPlan {
    /// Number of members of the whole fleet.
    pub members: usize,
    /// Number of regions, of unequal sizes; 1 for a fleet without regions.
    pub regions: usize,
    /// Seed of the simulation.
    pub seed: u64,
    /// Fraction of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Fraction of datagrams between regions lost, if greater than `loss`.
    pub loss_between: f64,
    /// Fixed delay of datagrams between regions, in milliseconds.
    pub delay_between_ms: u64,
    /// Duration of the calm span, in which no event occurs, in seconds.
    pub calm_s: u64,
    /// Events after the calm span.
    pub events: RegionEvents,
}

/// Selection of the events after the calm span.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionEvents {
    /// Death and restart of a member, then of the leader of the largest region.
    pub member_deaths: bool,
    /// Death and restart of a rack, then of a zone.
    pub group_deaths: bool,
    /// Isolation of a region for a minute, and its end.
    pub region_cut: bool,
}

impl RegionEvents {
    /// All events.
    pub const ALL: RegionEvents = RegionEvents {
        member_deaths: true,
        group_deaths: true,
        region_cut: true,
    };
}

/// Measured costs and convergence times. Times are in seconds; `None` if convergence took more than
/// 60 s.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegionMeasurement {
    /// Number of members.
    pub members: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of members of the largest region.
    pub largest: usize,
    /// Fraction of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Seed of the simulation.
    pub seed: u64,
    /// Time from the simultaneous start of all members until convergence.
    pub join_s: Option<f64>,
    /// Datagrams sent per member and second in the calm span, on average.
    pub datagrams_per_s: f64,
    /// Bytes sent per member and second in the calm span, on average.
    pub bytes_per_s: f64,
    /// Maximum of the bytes that one member sent in one second of the calm span.
    pub bytes_per_s_worst: u64,
    /// Bytes sent per delegate and second in the calm span, on average.
    pub bytes_per_s_delegates: f64,
    /// Processor time per member in the calm span, in percent of a core, on average.
    pub cpu_percent: f64,
    /// Processor time of the member that used the most, in percent of a core.
    pub cpu_percent_worst: f64,
    /// Growth of this process's resident memory until the end of the calm span, per member, in KiB,
    /// including the queue of the simulated network.
    pub memory_kb: Option<f64>,
    /// Maximum number of entries that a member holds: members, regions and announcements.
    pub entries: usize,
    /// False deaths in the calm span.
    pub false_deaths: u64,
    /// Measurements of the events after the calm span, in order.
    pub events: Vec<RegionEvent>,
}

/// Measurement of one event.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegionEvent {
    /// Description of the event.
    pub what: String,
    /// Time until the member lists of the affected region are correct, in seconds.
    pub region_s: Option<f64>,
    /// Time until the views of all members are correct, in seconds.
    pub settled_s: Option<f64>,
    /// Maximum of the bytes that one member sent in one second of the ten seconds after the event.
    pub bytes_per_s_worst: u64,
    /// Bytes per second of the member that sent the most in these ten seconds, on average.
    pub bytes_per_s_most: f64,
    /// Bytes sent per member and second in these ten seconds, on average.
    pub bytes_per_s: f64,
    /// Processor time per member in these ten seconds, in percent of a core, on average.
    pub cpu_percent: f64,
    /// Processor time of the member that used the most, in percent of a core.
    pub cpu_percent_worst: f64,
    /// False deaths from the event until the end of its measurement.
    pub false_deaths: u64,
}

/// Returns the sizes of `regions` regions of unequal size that have `members` members in total.
#[must_use]
pub fn region_sizes(members: usize, regions: usize) -> Vec<usize> {
    let weights: Vec<f64> = (1..=regions)
        .map(|n| (n as f64).powf(SIZE_EXPONENT))
        .collect();
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

/// Sent traffic and processor time of members in a span.
struct Cost {
    /// Maximum of the bytes that one member sent in one second.
    bytes_worst: u64,
    /// Bytes per second of the member that sent the most, on average.
    bytes_most: f64,
    /// Bytes per second, on average.
    bytes: f64,
    /// Datagrams per second, on average.
    datagrams: f64,
    /// Bytes per second of delegates, on average.
    bytes_delegates: f64,
    /// Processor time in percent of a core, on average.
    cpu: f64,
    /// Percent of a core of the member that used the most, on average.
    cpu_worst: f64,
}

/// Measures the traffic and processor time of all members from its creation on. Vectors are indexed
/// by slot.
struct TrafficMeter {
    start: Nanos,
    /// Sent bytes at the start.
    initial_bytes: Vec<u64>,
    /// Sent bytes at the last full second.
    last_bytes: Vec<u64>,
    /// Processor time at the start.
    initial_cpu: Vec<Duration>,
    /// Datagrams sent by all members at the start.
    initial_datagrams: u64,
    /// Maximum of the bytes that one member sent in one second.
    max_bytes_per_s: u64,
}

fn sent_bytes(fleet: &SimulatedFleet) -> Vec<u64> {
    (0..fleet.len())
        .map(|n| fleet.statistics(n).sent_bytes)
        .collect()
}

fn sent_datagrams(fleet: &SimulatedFleet) -> u64 {
    (0..fleet.len()).map(|n| fleet.statistics(n).sent).sum()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn is_delegate(fleet: &SimulatedFleet, n: usize) -> bool {
    fleet
        .member(n)
        .is_some_and(|member| member.delegates().contains(&member.id().address))
}

impl TrafficMeter {
    fn new(fleet: &SimulatedFleet) -> Self {
        let bytes = sent_bytes(fleet);
        TrafficMeter {
            start: fleet.now,
            last_bytes: bytes.clone(),
            initial_bytes: bytes,
            initial_cpu: (0..fleet.len()).map(|n| fleet.cpu_time(n)).collect(),
            initial_datagrams: sent_datagrams(fleet),
            max_bytes_per_s: 0,
        }
    }

    /// Records the bytes sent since the last call; called once per virtual second.
    fn record_second(&mut self, fleet: &SimulatedFleet) {
        let now = sent_bytes(fleet);
        let max = now
            .iter()
            .zip(&self.last_bytes)
            .map(|(now, last)| now.saturating_sub(*last))
            .max();
        self.max_bytes_per_s = self.max_bytes_per_s.max(max.unwrap_or(0));
        self.last_bytes = now;
    }

    /// Returns the cost since the creation of the meter.
    fn cost(&self, fleet: &SimulatedFleet) -> Cost {
        let span_s = (fleet.now - self.start) as f64 / SECOND as f64;
        let now = sent_bytes(fleet);
        let running = fleet.running();
        let bytes = |n: usize| now[n].saturating_sub(self.initial_bytes[n]) as f64 / span_s;
        let cpu = |n: usize| {
            fleet
                .cpu_time(n)
                .saturating_sub(self.initial_cpu[n])
                .as_secs_f64()
                / span_s
                * 100.0
        };
        let per_member =
            |value: &dyn Fn(usize) -> f64| running.iter().map(|n| value(*n)).collect::<Vec<f64>>();
        let cpu_percents = per_member(&cpu);
        let delegates: Vec<f64> = running
            .iter()
            .filter(|n| is_delegate(fleet, **n))
            .map(|n| bytes(*n))
            .collect();
        Cost {
            bytes_worst: self.max_bytes_per_s,
            bytes_most: per_member(&bytes).into_iter().fold(0.0, f64::max),
            bytes: mean(&per_member(&bytes)),
            datagrams: (sent_datagrams(fleet) - self.initial_datagrams) as f64
                / running.len().max(1) as f64
                / span_s,
            bytes_delegates: mean(&delegates),
            cpu: mean(&cpu_percents),
            cpu_worst: cpu_percents.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// Starts a fleet and runs it until all views are correct; returns the virtual time until then,
/// or `None` on timeout.
fn start_fleet(plan: RegionPlan) -> (SimulatedFleet, Option<Nanos>) {
    let mut fleet = if plan.regions > 1 {
        SimulatedFleet::with_regions(&region_sizes(plan.members, plan.regions), plan.seed)
    } else {
        SimulatedFleet::new(plan.members, 3, plan.seed)
    };
    fleet.set_members_max(plan.members.max(2_048));
    fleet.network.loss = plan.loss;
    fleet.between_regions = (plan.regions > 1).then_some(NetworkConditions {
        loss: plan.loss.max(plan.loss_between),
        delay: plan.delay_between_ms * MS,
        jitter: INTER_REGION_JITTER,
        ..NetworkConditions::default()
    });
    fleet.vary_request_rates();
    fleet.start_all();
    let joined = fleet.advance_until(CONVERGENCE_TIMEOUT, SimulatedFleet::converged);
    (fleet, joined)
}

/// Applies an event, then measures the cost of the ten seconds after it and the convergence times.
/// `side` maps each slot to its side of the partition that exists after the event.
fn measure_event(
    fleet: &mut SimulatedFleet,
    description: &'static str,
    region: usize,
    side: impl Fn(usize) -> usize + Copy,
    apply: impl FnOnce(&mut SimulatedFleet),
) -> RegionEvent {
    let false_before = fleet.false_deaths();
    let start = fleet.now;
    apply(fleet);
    let mut meter = TrafficMeter::new(fleet);
    let mut cost = None;
    let (mut region_s, mut settled_s) = (None, None);
    for step in 1.. {
        fleet.advance_to(start + step * CHECK_INTERVAL);
        if region_s.is_none() && fleet.region_converged(region, side) {
            region_s = Some(fleet.now - start);
        }
        if settled_s.is_none() && fleet.converged_by_side(side) {
            settled_s = Some(fleet.now - start);
        }
        if cost.is_none() && step % CHECKS_PER_S == 0 {
            meter.record_second(fleet);
        }
        if step == COST_SPAN_S * CHECKS_PER_S {
            cost = Some(meter.cost(fleet));
        }
        let converged = region_s.is_some() && settled_s.is_some();
        if cost.is_some() && (converged || fleet.now - start >= CONVERGENCE_TIMEOUT) {
            break;
        }
    }
    let cost = cost.unwrap_or_else(|| meter.cost(fleet));
    RegionEvent {
        what: description.into(),
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

fn measure_events(fleet: &mut SimulatedFleet, selected: RegionEvents) -> Vec<RegionEvent> {
    let mut events = Vec::new();
    if selected.member_deaths {
        events.extend(measure_member_deaths(fleet));
    }
    if selected.group_deaths {
        events.extend(measure_group_deaths(fleet));
    }
    if selected.region_cut {
        events.extend(measure_region_cut(fleet));
    }
    events
}

/// Index of the region that the events affect: the largest one.
const AFFECTED_REGION: usize = 0;

/// Measures the death and restart of a member, then of the leader of the affected region.
fn measure_member_deaths(fleet: &mut SimulatedFleet) -> Vec<RegionEvent> {
    let one_side = |_: usize| 0;
    let members = fleet.slots_in_region(AFFECTED_REGION);
    let member = members[members.len() / 2];
    let mut events = vec![
        measure_event(fleet, "one dies", AFFECTED_REGION, one_side, |fleet| {
            fleet.kill(member);
        }),
        measure_event(fleet, "it is back", AFFECTED_REGION, one_side, |fleet| {
            fleet.start(member, 0);
        }),
    ];
    let is_leader = |n: &usize| {
        let member = fleet.member(*n);
        member.is_some_and(|member| member.delegates().first() == Some(&member.id().address))
    };
    if let Some(leader) = members.iter().copied().find(is_leader) {
        events.push(measure_event(
            fleet,
            "the leader dies",
            AFFECTED_REGION,
            one_side,
            |fleet| {
                fleet.kill(leader);
            },
        ));
        events.push(measure_event(
            fleet,
            "it is back",
            AFFECTED_REGION,
            one_side,
            |fleet| {
                fleet.start(leader, 0);
            },
        ));
    }
    events
}

/// Measures the death and restart of a rack, then of a zone with half of the region's members.
fn measure_group_deaths(fleet: &mut SimulatedFleet) -> Vec<RegionEvent> {
    let members = fleet.slots_in_region(AFFECTED_REGION);
    let rack: Vec<usize> = members
        .iter()
        .copied()
        .rev()
        .take(RACK_SIZE.min(members.len() / 2))
        .collect();
    let zone: Vec<usize> = members
        .iter()
        .copied()
        .skip(members.len().div_ceil(2))
        .collect();
    let mut events = Vec::new();
    for (description, group) in [("a rack dies", rack), ("a zone dies", zone)] {
        let kill = |fleet: &mut SimulatedFleet| group.iter().for_each(|n| fleet.kill(*n));
        let start = |fleet: &mut SimulatedFleet| group.iter().for_each(|n| fleet.start(*n, 0));
        events.push(measure_event(
            fleet,
            description,
            AFFECTED_REGION,
            |_| 0,
            kill,
        ));
        events.push(measure_event(
            fleet,
            "it is back",
            AFFECTED_REGION,
            |_| 0,
            start,
        ));
    }
    events
}

/// Measures the isolation of the affected region and, a minute after that measurement, its end.
fn measure_region_cut(fleet: &mut SimulatedFleet) -> Vec<RegionEvent> {
    let regions: Vec<usize> = (0..fleet.len()).map(|n| fleet.region(n)).collect();
    let side = |n: usize| usize::from(regions[n] == AFFECTED_REGION);
    let isolation = measure_event(
        fleet,
        "a region is cut off",
        AFFECTED_REGION,
        side,
        |fleet| {
            fleet.set_partition(side, true);
        },
    );
    fleet.advance_to(fleet.now + ISOLATION_TIME);
    let rejoin = measure_event(
        fleet,
        "it is heard again",
        AFFECTED_REGION,
        |_| 0,
        |fleet| fleet.set_partition(side, false),
    );
    vec![isolation, rejoin]
}

/// Runs a plan and returns its measurements.
#[must_use]
pub fn measure(plan: RegionPlan) -> RegionMeasurement {
    let resident = process::own_resident_kb();
    let (mut fleet, joined) = start_fleet(plan);
    // Gossip broadcasts of the join have ended after 8 s.
    fleet.advance_to(fleet.now + 8 * SECOND);
    let false_before = fleet.false_deaths();
    let mut meter = TrafficMeter::new(&fleet);
    for _ in 0..plan.calm_s {
        fleet.advance_to(fleet.now + SECOND);
        meter.record_second(&fleet);
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
        events: measure_events(&mut fleet, plan.events),
    }
}
