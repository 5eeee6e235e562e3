//! Trials in virtual time, each with a verdict: what real processes can't be brought to in a few seconds, or only by luck.

use crate::virtual_region_trials as regions;
use crate::virtual_time::{Fleet, Network, address};
use membership::{MS, Nanos};
use serde::Serialize;

const S: Nanos = 1_000 * MS;
/// Wide ceilings: how long things take is measured by [`measure`].
const CEILING: Nanos = 60 * S;

/// A trial, by a seed; what broke if it failed.
type Trial = fn(u64) -> Result<(), String>;

/// All of them, by name.
pub const ALL: [(&str, Trial); 13] = [
    ("virtual-lossy", lossy),
    ("virtual-deaf", deaf),
    ("virtual-asleep", asleep),
    ("virtual-newcomer", newcomer),
    ("virtual-split", split),
    ("virtual-return", returns),
    ("virtual-overload", crate::virtual_overload::overload),
    ("regions-split", regions::split),
    ("regions-delegates", regions::delegates_die),
    ("regions-lossy", regions::lossy),
    ("regions-lies", regions::lies),
    ("regions-referral", regions::referral),
    ("regions-overview", regions::overview),
];

fn settled(n: usize, seed: u64) -> Result<Fleet, String> {
    let mut fleet = Fleet::new(n, 3, seed);
    fleet.start_all();
    settle(&mut fleet, "join")?;
    Ok(fleet)
}

fn settle(fleet: &mut Fleet, what: &str) -> Result<Nanos, String> {
    fleet
        .until(CEILING, Fleet::settled)
        .ok_or_else(|| format!("{what}: not settled after {} s", CEILING / S))
}

fn no_false_death(fleet: &Fleet) -> Result<(), String> {
    match fleet.false_deaths() {
        0 => Ok(()),
        n => Err(format!("{n} deaths that were none")),
    }
}

/// Six in ten datagrams are lost and all are late: nobody is given up in five minutes.
fn lossy(seed: u64) -> Result<(), String> {
    let mut fleet = settled(12, seed)?;
    fleet.network = Network {
        loss: 0.6,
        delay: 50 * MS,
        jitter: 10 * MS,
        twice: 0.02,
        ..Network::default()
    };
    fleet.play(fleet.now + 300 * S);
    no_false_death(&fleet)
}

/// One is heard by all and hears nobody: it gives nobody up, and is taken back.
fn deaf(seed: u64) -> Result<(), String> {
    let mut fleet = settled(8, seed)?;
    (1..8).for_each(|n| fleet.cut(n, 0, true));
    fleet.play(fleet.now + 8 * S);
    if let Some(seen) = fleet
        .view(0)
        .members
        .iter()
        .find(|seen| !seen.status.is_present())
    {
        return Err(format!("the deaf one gave {} up", seen.id.address));
    }
    no_false_death(&fleet)?;
    (1..8).for_each(|n| fleet.cut(n, 0, false));
    settle(&mut fleet, "hears again").map(|_| ())
}

/// One stands still, and what is sent to it meanwhile is lost: when it goes on it suspects nobody.
fn asleep(seed: u64) -> Result<(), String> {
    let mut fleet = settled(8, seed)?;
    let before = fleet.traffic(4).suspicions;
    fleet.split(|n| usize::from(n == 4), true);
    fleet.stall(4, 11 * S);
    fleet.play(fleet.now + 11 * S);
    fleet.split(|n| usize::from(n == 4), false);
    settle(&mut fleet, "awake")?;
    fleet.play(fleet.now + 3 * S);
    match fleet.traffic(4).suspicions - before {
        0 => no_false_death(&fleet),
        n => Err(format!("it suspected {n} others for its own sleep")),
    }
}

/// One comes to a fleet in which nothing has been news for long: it hears what each member says of itself.
fn newcomer(seed: u64) -> Result<(), String> {
    let mut fleet = Fleet::new(12, 3, seed);
    (0..11).for_each(|n| fleet.start(n, 0));
    settle(&mut fleet, "the first eleven")?;
    fleet.play(fleet.now + 30 * S);
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
        Err(format!("{}: {heard} of 11 records", address(11)))
    }
}

/// Many return at once: each is known to all soon, though rumours die out now and then before they have reached all.
fn returns(seed: u64) -> Result<(), String> {
    // By rumours and the round of records alone it takes 2.2 s and more.
    const SOON: Nanos = 1_500 * MS;
    let mut fleet = settled(100, seed)?;
    (90..100).for_each(|n| fleet.kill(n));
    settle(&mut fleet, "death")?;
    (90..100).for_each(|n| fleet.start(n, 0));
    let back = settle(&mut fleet, "back")?;
    if back > SOON {
        Err(format!("back: known to all after {} ms", back / MS))
    } else {
        Ok(())
    }
}

/// Parts of a fleet don't hear each other: whatever the parts, the shares keep their sum.
fn split(seed: u64) -> Result<(), String> {
    for parts in [2, 3, 5] {
        let (most, _) = shares(12, parts, seed)?;
        if most > 1.5 {
            return Err(format!("{parts} parts: the shares sum to {most:.2}"));
        }
    }
    Ok(())
}

/// The greatest sum of shares through a split into so many parts and its healing: by the rule, and if each part divided by
/// itself at once.
pub fn shares(n: usize, parts: usize, seed: u64) -> Result<(f64, f64), String> {
    let mut fleet = settled(n, seed)?;
    fleet.play(fleet.now + 20 * S);
    // Parts of different size: the worst for the rule is one that just has more than half.
    let side = move |m: usize| {
        if parts == 2 {
            usize::from(m > n / 2)
        } else {
            m % parts
        }
    };
    let (mut by_rule, mut at_once) = (0f64, 0f64);
    let mut look = |fleet: &Fleet| {
        let views: Vec<_> = fleet.running().into_iter().map(|m| fleet.view(m)).collect();
        by_rule = by_rule.max(
            views
                .iter()
                .map(|v| 1.0 / v.share_count.max(1) as f64)
                .sum(),
        );
        at_once = at_once.max(views.iter().map(|v| 1.0 / v.alive.max(1) as f64).sum());
    };
    fleet.split(side, true);
    for _ in 0..300 {
        fleet.play(fleet.now + S / 10);
        look(&fleet);
    }
    fleet.split(side, false);
    for _ in 0..100 {
        fleet.play(fleet.now + S / 10);
        look(&fleet);
    }
    settle(&mut fleet, "healed")?;
    Ok((by_rule, at_once))
}

/// What a fleet of one size does at one rate of loss; times in seconds, `None` if it took over a minute.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
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
    /// Growth of this process by then, a member, in KB: the network's queue is in it, and memory that earlier rows freed is not.
    pub memory_kb: Option<f64>,
    /// Suspicions that began at a member in an hour, of members that lived.
    pub suspicions_per_h: f64,
    /// Deaths that were none, until the split: after it who hears late of a death in it is told of one that was.
    pub false_deaths: u64,
}

/// What this process holds in memory, in KB.
pub(crate) fn resident_kb() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

/// Measures one fleet; the calm span lasts `calm` seconds.
pub fn measure(members: usize, loss: f64, seed: u64, calm: u64) -> Measured {
    let seconds = |t: Option<Nanos>| t.map(|t| (t / MS) as f64 / 1e3);
    let resident = resident_kb();
    let mut fleet = Fleet::new(members, 3, seed);
    fleet.network.loss = loss;
    fleet.start_all();
    let join_s = seconds(fleet.until(CEILING, Fleet::settled));
    // Rumours of the beginning run out.
    fleet.play(fleet.now + 8 * S);
    let sum = |fleet: &Fleet| {
        fleet
            .running()
            .iter()
            .map(|n| fleet.traffic(*n))
            .fold((0, 0, 0), |sum, t| {
                (sum.0 + t.sent, sum.1 + t.sent_bytes, sum.2 + t.suspicions)
            })
    };
    let before = sum(&fleet);
    fleet.play(fleet.now + calm * S);
    let after = sum(&fleet);
    let memory_kb = resident
        .zip(resident_kb())
        .map(|(from, to)| (to - from) / members as f64);
    let per_s = |before: u64, after: u64| (after - before) as f64 / members as f64 / calm as f64;
    let tenth = members - members.div_ceil(10)..members;
    tenth.clone().for_each(|n| fleet.kill(n));
    let death_s = seconds(fleet.until(CEILING, Fleet::settled));
    tenth.for_each(|n| fleet.start(n, 0));
    let back_s = seconds(fleet.until(CEILING, Fleet::settled));
    let false_deaths = fleet.false_deaths();
    fleet.play(fleet.now + 2 * S);
    let half = move |n: usize| usize::from(n >= members / 2);
    fleet.split(half, true);
    fleet.play(fleet.now + 10 * S);
    fleet.split(half, false);
    let healed_s = seconds(fleet.until(CEILING, Fleet::settled));
    Measured {
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

/// The course of what `measure` plays, for tracing: what is untrue in how many pairs of members, each `every` until all is
/// true, at most for `most`.
pub fn course(
    members: usize,
    loss: f64,
    seed: u64,
    (every, most): (Nanos, Nanos),
    mut tell: impl FnMut(&str),
) {
    let mut fleet = Fleet::new(members, 3, seed);
    fleet.network.loss = loss;
    let mut step = |fleet: &mut Fleet, what: &str| {
        let begun = fleet.now;
        while fleet.now - begun < most {
            fleet.play(fleet.now + every);
            let untrue = fleet.untrue();
            tell(&format!(
                "{what} {:6.2} s {untrue:?}",
                ((fleet.now - begun) / MS) as f64 / 1e3
            ));
            if fleet.settled() {
                break;
            }
        }
    };
    fleet.start_all();
    step(&mut fleet, "join");
    fleet.play(fleet.now + 8 * S);
    let tenth = members - members.div_ceil(10)..members;
    tenth.clone().for_each(|n| fleet.kill(n));
    step(&mut fleet, "death");
    tenth.for_each(|n| fleet.start(n, 0));
    step(&mut fleet, "back");
}
