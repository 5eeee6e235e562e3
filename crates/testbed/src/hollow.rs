//! Hollow balancers: the real control code over real sockets, many in a process and without the
//! data path, for sizes at which whole balancers don't fit on a machine.
//!
//! The parent ([`run`]) lays the fleet out, starts processes that run a share of the members each
//! ([`members`]), sends them what happens, and compares what they report with what is true. A
//! process ends when its standard input ends, so that nothing stays behind whatever becomes of the
//! parent.

pub mod members;
mod messages;
mod processes;

use crate::simulation::regions::region_sizes;
use membership::MS;
use messages::{MemberCommand, MemberReport};
use processes::Processes;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use thiserror::Error;

/// What a member takes in memory at most, in KB: a share for itself, and one for each member of its
/// region.
const MEMBER_KB: usize = 160;
const ENTRY_KB: f64 = 1.6;
/// The part of the machine's memory that a run may take.
const MEMORY_PART: usize = 2;
/// Members of a process at most: each has a socket, and processes have 1,024 descriptors.
const PER_PROCESS_MAX: usize = 900;
/// The most processes.
const PROCESSES_MAX: usize = 300;
/// Members that share a rack.
const RACK: usize = 20;
/// How long views may take to be true.
const CEILING: Duration = Duration::from_secs(90);
/// Rumours of the beginning run out for so long before anything is measured.
const SETTLING: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What happens after the calm stretch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum HollowEvent {
    /// Nothing.
    None,
    /// Twenty members die at once.
    Rack,
    /// Half of the largest region dies at once.
    Zone,
    /// The largest region is cut off from the others for ten seconds, and heals.
    Cut,
}

/// A run.
#[derive(Clone, Copy, Debug)]
pub struct HollowPlan {
    /// Members in all.
    pub members: usize,
    /// Regions, uneven; 1: without regions.
    pub regions: usize,
    /// Processes that the members are dealt out over.
    pub processes: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// How long the calm stretch lasts, in seconds.
    pub seconds: u64,
    /// What happens after it.
    pub event: HollowEvent,
}

/// What a run measured.
#[derive(Clone, Debug, Serialize)]
pub struct HollowMeasurement {
    /// Members.
    pub members: usize,
    /// Regions.
    pub regions: usize,
    /// Processor time a member in calm, sockets included, in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory a member, in KB.
    pub memory_kb: f64,
    /// Datagrams sent a member a second in calm.
    pub datagrams_per_s: f64,
    /// Bytes sent a member a second in calm.
    pub bytes_per_s: f64,
    /// The same of the worst member in its worst second, in calm and in the ten seconds behind the
    /// event.
    pub bytes_per_s_worst: u64,
    /// From the joint start until all views were true.
    pub joined_s: Option<f64>,
    /// From the event, or the healing of the cut, until all views were true; the joint start's
    /// where nothing happens.
    pub settled_s: Option<f64>,
    /// Living members that were taken for dead.
    pub false_deaths: u64,
}

/// The address of the n-th member of a region.
#[must_use]
pub fn address(region: usize, n: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 1 + region as u8, (n / 250) as u8, (n % 250) as u8 + 1],
        17_946,
    ))
}

/// One member of the layout.
#[derive(Clone, Copy, Debug)]
struct MemberPlacement {
    region: usize,
    address: SocketAddr,
}

fn layout(plan: &HollowPlan) -> Vec<MemberPlacement> {
    let sizes = if plan.regions > 1 {
        region_sizes(plan.members, plan.regions)
    } else {
        vec![plan.members]
    };
    let of_region = |(region, size): (usize, &usize)| {
        (0..*size)
            .map(move |n| MemberPlacement {
                region,
                address: address(region, n),
            })
            .collect::<Vec<_>>()
    };
    sizes.iter().enumerate().flat_map(of_region).collect()
}

/// What a run of these members takes in memory at most, in KB.
fn expected_kb(sizes: &[usize]) -> usize {
    sizes
        .iter()
        .map(|size| size * (MEMBER_KB + (*size as f64 * ENTRY_KB) as usize))
        .sum()
}

fn machine_kb() -> Result<usize, HollowError> {
    let text = std::fs::read_to_string("/proc/meminfo")
        .map_err(|e| HollowError::io("/proc/meminfo", e))?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok());
    kb.ok_or(HollowError::NoMemTotal)
}

impl HollowPlan {
    fn check(&self) -> Result<(), HollowError> {
        if self.members < 2 || self.regions == 0 || self.regions > self.members || self.regions > 64
        {
            return Err(HollowError::NoFleet {
                members: self.members,
                regions: self.regions,
            });
        }
        let least = self.members.div_ceil(PER_PROCESS_MAX);
        if !(least..=PROCESSES_MAX).contains(&self.processes) {
            return Err(HollowError::ProcessCount {
                processes: self.processes,
                least,
                members: self.members,
            });
        }
        let sizes = if self.regions > 1 {
            region_sizes(self.members, self.regions)
        } else {
            vec![self.members]
        };
        let (expected, most) = (expected_kb(&sizes), machine_kb()? / MEMORY_PART);
        if expected > most {
            return Err(HollowError::TooLarge {
                members: self.members,
                regions: self.regions,
                expected_mb: expected / 1_024,
                available_mb: most / 1_024,
            });
        }
        Ok(())
    }
}

/// Why hollow members could not be run.
#[derive(Debug, Error)]
pub enum HollowError {
    /// The plan's sizes make no fleet.
    #[error("{members} members in {regions} regions make no fleet")]
    NoFleet {
        /// Members.
        members: usize,
        /// Regions.
        regions: usize,
    },
    /// The plan has too few or too many processes.
    #[error("--processes {processes}: {least} to {PROCESSES_MAX} for {members} members")]
    ProcessCount {
        /// Processes.
        processes: usize,
        /// The fewest that can run the members.
        least: usize,
        /// Members.
        members: usize,
    },
    /// The plan needs more memory than may be taken.
    #[error(
        "{members} members in {regions} regions take up to {expected_mb} MB, and half of the \
         machine's memory is {available_mb} MB"
    )]
    TooLarge {
        /// Members.
        members: usize,
        /// Regions.
        regions: usize,
        /// What they take, in MB.
        expected_mb: usize,
        /// What may be taken, in MB.
        available_mb: usize,
    },
    /// The run takes more memory than may be taken.
    #[error("{resident_mb} MB are taken, more than half of the machine's memory")]
    OutOfMemory {
        /// What is taken, in MB.
        resident_mb: usize,
    },
    /// The machine does not say how much memory it has.
    #[error("/proc/meminfo: no MemTotal")]
    NoMemTotal,
    /// A process of members ended by itself.
    #[error("process {index} of members: {status}")]
    ProcessEnded {
        /// Which one.
        index: usize,
        /// How.
        status: ExitStatus,
    },
    /// A socket, pipe or process could not be set up or used.
    #[error("{context}: {source}")]
    Io {
        /// What for.
        context: String,
        /// Why.
        source: io::Error,
    },
    /// A message could not be written as JSON.
    #[error("JSON: {0}")]
    Serialize(#[from] serde_json::Error),
    /// The clock of the machine stands before 1970.
    #[error("clock: {0}")]
    Clock(#[from] std::time::SystemTimeError),
    /// A signal ended the run.
    #[error("interrupted")]
    Interrupted,
}

impl HollowError {
    fn io(context: impl Into<String>, source: impl Into<io::Error>) -> Self {
        HollowError::Io {
            context: context.into(),
            source: source.into(),
        }
    }
}

/// A run under way.
struct Run<'a> {
    plan: HollowPlan,
    places: Vec<MemberPlacement>,
    processes: Processes,
    /// Who runs, by place.
    alive: Vec<bool>,
    cut: Option<usize>,
    interrupted: &'a AtomicBool,
    memory_most_kb: usize,
}

/// Plays a plan on real sockets and measures it.
///
/// # Errors
///
/// Says what of the plan does not fit the machine, which process failed, or that it was
/// interrupted.
pub fn run(plan: HollowPlan, interrupted: &AtomicBool) -> Result<HollowMeasurement, HollowError> {
    plan.check()?;
    let places = layout(&plan);
    let processes = Processes::start(&plan)?;
    let alive = vec![false; places.len()];
    let memory_most_kb = machine_kb()? / MEMORY_PART;
    let mut run = Run {
        plan,
        places,
        processes,
        alive,
        cut: None,
        interrupted,
        memory_most_kb,
    };
    let result = run.measure();
    run.processes.end();
    result
}

impl Run<'_> {
    fn measure(&mut self) -> Result<HollowMeasurement, HollowError> {
        let empty_kb = self.processes.resident_kb();
        self.start(0..self.places.len())?;
        let joined = self.until_settled()?;
        self.wait(SETTLING)?;
        let calm = self.measured(Duration::from_secs(self.plan.seconds))?;
        let memory_kb = (self.processes.resident_kb().saturating_sub(empty_kb)) as f64
            / self.plan.members as f64;
        let before = self.processes.false_deaths();
        let (event, settled) = self.event(joined)?;
        let members = self.plan.members as f64;
        let span = calm.span.as_secs_f64();
        Ok(HollowMeasurement {
            members: self.plan.members,
            regions: self.plan.regions,
            cpu_percent: calm.cpu_time.as_secs_f64() / span / members * 100.0,
            memory_kb,
            datagrams_per_s: calm.datagrams as f64 / span / members,
            bytes_per_s: calm.bytes as f64 / span / members,
            bytes_per_s_worst: calm.max_bytes_per_s.max(event),
            joined_s: seconds(joined),
            settled_s: seconds(settled),
            false_deaths: before.max(self.processes.false_deaths()),
        })
    }

    /// What happens after the calm, and how long until all views were true; the worst second's
    /// bytes in it.
    fn event(&mut self, joined: Option<Duration>) -> Result<(u64, Option<Duration>), HollowError> {
        let largest: Vec<usize> = (0..self.places.len())
            .filter(|n| self.places[*n].region == 0)
            .collect();
        match self.plan.event {
            HollowEvent::None => return Ok((0, joined)),
            HollowEvent::Rack => {
                self.kill(&largest[largest.len().saturating_sub(RACK.min(largest.len() / 2))..])?;
            }
            HollowEvent::Zone => self.kill(&largest[largest.len().div_ceil(2)..])?,
            HollowEvent::Cut => {
                self.set_cut(Some(0))?;
                self.wait(Duration::from_secs(10))?;
                self.set_cut(None)?;
            }
        }
        self.processes.reset();
        let settled = self.until_settled()?;
        let rest = Duration::from_secs(10).saturating_sub(settled.unwrap_or_default());
        self.wait(rest)?;
        Ok((self.processes.max_bytes_per_s(), settled))
    }

    fn start(&mut self, who: std::ops::Range<usize>) -> Result<(), HollowError> {
        who.clone().for_each(|n| self.alive[n] = true);
        self.expect()?;
        self.processes.send(&MemberCommand::Start(who.collect()))
    }

    fn kill(&mut self, who: &[usize]) -> Result<(), HollowError> {
        who.iter().for_each(|n| self.alive[*n] = false);
        self.expect()?;
        self.processes.send(&MemberCommand::Kill(who.to_vec()))
    }

    fn set_cut(&mut self, region: Option<usize>) -> Result<(), HollowError> {
        self.cut = region;
        self.expect()?;
        self.processes.send(&MemberCommand::Cut(region))
    }

    /// Tells all what is true from now on.
    fn expect(&mut self) -> Result<(), HollowError> {
        let mut living: BTreeMap<usize, usize> = BTreeMap::new();
        for (place, _) in self
            .places
            .iter()
            .zip(&self.alive)
            .filter(|(_, alive)| **alive)
        {
            *living.entry(place.region).or_default() += 1;
        }
        self.processes.expect(living)
    }

    fn until_settled(&mut self) -> Result<Option<Duration>, HollowError> {
        let begun = Instant::now();
        while begun.elapsed() < CEILING {
            if let Some(settled) = self.processes.settled_at() {
                return Ok(Some(settled.saturating_duration_since(begun)));
            }
            self.wait(POLL_INTERVAL)?;
        }
        Ok(None)
    }

    fn measured(&mut self, span: Duration) -> Result<Calm, HollowError> {
        self.processes.reset();
        let (first, begun) = (self.processes.sums(), Instant::now());
        self.wait(span)?;
        let last = self.processes.sums();
        Ok(Calm {
            span: begun.elapsed(),
            cpu_time: Duration::from_nanos(last.busy_ns.saturating_sub(first.busy_ns)),
            datagrams: last.datagrams - first.datagrams,
            bytes: last.bytes - first.bytes,
            max_bytes_per_s: self.processes.max_bytes_per_s(),
        })
    }

    /// Waits, unless it is interrupted, a process fails, or memory runs short.
    fn wait(&mut self, span: Duration) -> Result<(), HollowError> {
        let until = Instant::now() + span;
        loop {
            self.processes.check()?;
            if self.interrupted.load(Ordering::Relaxed) {
                return Err(HollowError::Interrupted);
            }
            let resident = self.processes.resident_kb();
            if resident > self.memory_most_kb {
                return Err(HollowError::OutOfMemory {
                    resident_mb: resident / 1_024,
                });
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
    }
}

struct Calm {
    span: Duration,
    cpu_time: Duration,
    datagrams: u64,
    bytes: u64,
    max_bytes_per_s: u64,
}

fn seconds(span: Option<Duration>) -> Option<f64> {
    span.map(|span| (span.as_millis() as f64) / 1e3)
}

/// The time between two reports of a process, in nanoseconds.
const REPORT: u64 = 100 * MS;

/// Runs a share of the members, as a process of its own; ends when standard input does.
///
/// # Errors
///
/// If a socket or the standard streams fail.
pub fn serve(plan: HollowPlan, share: usize) -> Result<(), HollowError> {
    let places = layout(&plan);
    let own = (share..places.len()).step_by(plan.processes).collect();
    members::serve(&plan, &places, own)
}

impl MemberReport {
    /// Adds up what processes have sent and taken.
    fn add(&mut self, other: &MemberReport) {
        self.busy_ns += other.busy_ns;
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
        self.false_deaths += other.false_deaths;
        self.resident_kb += other.resident_kb;
    }
}
