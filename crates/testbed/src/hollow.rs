//! Hollow balancers: the control plane over real sockets without the data path, many members per
//! process, for fleet sizes at which complete balancers do not fit on one machine.
//!
//! The parent ([`run`]) starts processes that each run a share of the members ([`members`]), sends
//! them commands and the expected state of the fleet, and collects their reports. A process exits
//! when its standard input is closed, so no process outlives the parent.

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

/// Maximum memory of a member in KB, without its entries for other members.
const MEMBER_KB: usize = 160;
/// Maximum memory in KB that a member needs per member of its region.
const ENTRY_KB: f64 = 1.6;
/// Divisor of the machine's memory that yields the maximum memory of a run.
const MEMORY_DIVISOR: usize = 2;
/// Maximum number of members per process: each member has a socket, and a process may have 1,024
/// file descriptors.
const PER_PROCESS_MAX: usize = 900;
/// Maximum number of processes.
const PROCESSES_MAX: usize = 300;
/// Number of members in a rack.
const RACK_SIZE: usize = 20;
/// Maximum time to wait until all views are correct.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(90);
/// Time between the convergence after the start and the measurement, in which gossip broadcasts
/// about the start end.
const START_GOSSIP_DURATION: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Event that is injected after the span without events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum HollowEvent {
    /// No event.
    None,
    /// Twenty members of the largest region die at once, or half of it if it is smaller than 40.
    Rack,
    /// Half of the largest region dies at once.
    Zone,
    /// The largest region is cut off from the others for ten seconds and reconnected.
    Cut,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct HollowPlan {
    /// Number of members.
    pub members: usize,
    /// Number of regions, which differ in size; 1 disables regions.
    pub regions: usize,
    /// Number of processes among which the members are divided.
    pub processes: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the span without events, in seconds.
    pub seconds: u64,
    /// Event that is injected after the span without events.
    pub event: HollowEvent,
}

/// Measurements of a run.
#[derive(Clone, Debug, Serialize)]
pub struct HollowMeasurement {
    /// Number of members.
    pub members: usize,
    /// Number of regions.
    pub regions: usize,
    /// Mean CPU time per member without events, sockets included, in percent of a core.
    pub cpu_percent: f64,
    /// Mean resident memory per member, in KB.
    pub memory_kb: f64,
    /// Mean number of datagrams sent per member per second without events.
    pub datagrams_per_s: f64,
    /// Mean number of bytes sent per member per second without events.
    pub bytes_per_s: f64,
    /// Maximum number of bytes that any member sent in any second, without events and in the ten
    /// seconds after the event.
    pub bytes_per_s_worst: u64,
    /// Time from the start of all members until all views were correct, in seconds; `None` if it
    /// exceeded the timeout.
    pub joined_s: Option<f64>,
    /// Time from the event, or from the end of the cut, until all views were correct, in seconds;
    /// equals `joined_s` without an event.
    #[serde(rename = "settled_s")]
    pub converged_s: Option<f64>,
    /// Number of times that a running member was reported dead.
    pub false_deaths: u64,
}

/// Returns the address of the n-th member of a region.
#[must_use]
pub fn address(region: usize, n: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 1 + region as u8, (n / 250) as u8, (n % 250) as u8 + 1],
        17_946,
    ))
}

/// Region and address of one member.
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
    let region_members = |(region, size): (usize, &usize)| {
        (0..*size)
            .map(move |n| MemberPlacement {
                region,
                address: address(region, n),
            })
            .collect::<Vec<_>>()
    };
    sizes.iter().enumerate().flat_map(region_members).collect()
}

/// Returns the maximum memory of a run with regions of these sizes, in KB.
fn max_expected_kb(sizes: &[usize]) -> usize {
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
            return Err(HollowError::InvalidSize {
                members: self.members,
                regions: self.regions,
            });
        }
        let min = self.members.div_ceil(PER_PROCESS_MAX);
        if !(min..=PROCESSES_MAX).contains(&self.processes) {
            return Err(HollowError::ProcessCount {
                processes: self.processes,
                min,
                members: self.members,
            });
        }
        let sizes = if self.regions > 1 {
            region_sizes(self.members, self.regions)
        } else {
            vec![self.members]
        };
        let (expected, available) = (max_expected_kb(&sizes), machine_kb()? / MEMORY_DIVISOR);
        if expected > available {
            return Err(HollowError::TooLarge {
                members: self.members,
                regions: self.regions,
                expected_mb: expected / 1_024,
                available_mb: available / 1_024,
            });
        }
        Ok(())
    }
}

/// Reason why hollow members could not be run.
#[derive(Debug, Error)]
pub enum HollowError {
    /// The numbers of members and regions are invalid.
    #[error(
        "{members} members in {regions} regions: at least 2 members, and 1 to 64 regions but no \
         more than members, are expected"
    )]
    InvalidSize {
        /// Number of members.
        members: usize,
        /// Number of regions.
        regions: usize,
    },
    /// The plan has too few or too many processes.
    #[error("--processes {processes}: {min} to {PROCESSES_MAX} are expected for {members} members")]
    ProcessCount {
        /// Number of processes.
        processes: usize,
        /// Minimum number of processes for the members.
        min: usize,
        /// Number of members.
        members: usize,
    },
    /// The run would need more memory than it may use.
    #[error(
        "{members} members in {regions} regions need up to {expected_mb} MB, but the limit of \
         half of the machine's memory is {available_mb} MB"
    )]
    TooLarge {
        /// Number of members.
        members: usize,
        /// Number of regions.
        regions: usize,
        /// Maximum memory of the run, in MB.
        expected_mb: usize,
        /// Memory that a run may use, in MB.
        available_mb: usize,
    },
    /// The run uses more memory than it may.
    #[error("the run uses {resident_mb} MB, more than half of the machine's memory, and is ended")]
    OutOfMemory {
        /// Resident memory of all processes, in MB.
        resident_mb: usize,
    },
    /// `/proc/meminfo` does not contain the machine's memory size.
    #[error("/proc/meminfo contains no valid line MemTotal")]
    NoMemTotal,
    /// A member process exited before the end of the run.
    #[error("member process {index} exited before the end of the run: {status}")]
    ProcessEnded {
        /// Index of the process.
        index: usize,
        /// Exit status.
        status: ExitStatus,
    },
    /// A socket, pipe or process could not be set up or used.
    #[error("{context}: {source}")]
    Io {
        /// Name or purpose of the socket, pipe or process.
        context: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A message could not be written as JSON.
    #[error("a message cannot be written as JSON: {0}")]
    Serialize(#[from] serde_json::Error),
    /// The machine's clock is set to a time before 1970.
    #[error("the machine's clock is set before 1970: {0}")]
    Clock(#[from] std::time::SystemTimeError),
    /// SIGINT or SIGTERM ended the run early.
    #[error("interrupted by a signal")]
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

/// State of a run in the parent process.
struct Run<'a> {
    plan: HollowPlan,
    placements: Vec<MemberPlacement>,
    processes: Processes,
    /// Whether each member runs, by its index in `placements`.
    alive: Vec<bool>,
    /// Region that is cut off from the others.
    cut: Option<usize>,
    interrupted: &'a AtomicBool,
    memory_max_kb: usize,
}

/// Runs a plan over real sockets and measures it.
///
/// # Errors
///
/// Returns an error if the plan is invalid or too large for the machine, a process fails, or the
/// run is interrupted.
pub fn run(plan: HollowPlan, interrupted: &AtomicBool) -> Result<HollowMeasurement, HollowError> {
    plan.check()?;
    let placements = layout(&plan);
    let processes = Processes::start(&plan)?;
    let alive = vec![false; placements.len()];
    let memory_max_kb = machine_kb()? / MEMORY_DIVISOR;
    let mut run = Run {
        plan,
        placements,
        processes,
        alive,
        cut: None,
        interrupted,
        memory_max_kb,
    };
    let result = run.measure();
    run.processes.end();
    result
}

impl Run<'_> {
    fn measure(&mut self) -> Result<HollowMeasurement, HollowError> {
        let empty_kb = self.processes.resident_kb();
        self.start(0..self.placements.len())?;
        let joined = self.wait_for_convergence()?;
        self.wait(START_GOSSIP_DURATION)?;
        let calm = self.measure_calm(Duration::from_secs(self.plan.seconds))?;
        let memory_kb = (self.processes.resident_kb().saturating_sub(empty_kb)) as f64
            / self.plan.members as f64;
        let before = self.processes.false_deaths();
        let (event_bytes_per_s, converged) = self.run_event(joined)?;
        let members = self.plan.members as f64;
        let span = calm.span.as_secs_f64();
        Ok(HollowMeasurement {
            members: self.plan.members,
            regions: self.plan.regions,
            cpu_percent: calm.cpu_time.as_secs_f64() / span / members * 100.0,
            memory_kb,
            datagrams_per_s: calm.datagrams as f64 / span / members,
            bytes_per_s: calm.bytes as f64 / span / members,
            bytes_per_s_worst: calm.max_bytes_per_s.max(event_bytes_per_s),
            joined_s: seconds(joined),
            converged_s: seconds(converged),
            false_deaths: before.max(self.processes.false_deaths()),
        })
    }

    /// Injects the event of the plan. Returns the maximum number of bytes that any member sent in a
    /// second after it, and the time until all views were correct.
    fn run_event(
        &mut self,
        joined: Option<Duration>,
    ) -> Result<(u64, Option<Duration>), HollowError> {
        let largest_region: Vec<usize> = (0..self.placements.len())
            .filter(|n| self.placements[*n].region == 0)
            .collect();
        match self.plan.event {
            HollowEvent::None => return Ok((0, joined)),
            HollowEvent::Rack => {
                self.kill(
                    &largest_region[largest_region
                        .len()
                        .saturating_sub(RACK_SIZE.min(largest_region.len() / 2))..],
                )?;
            }
            HollowEvent::Zone => self.kill(&largest_region[largest_region.len().div_ceil(2)..])?,
            HollowEvent::Cut => {
                self.set_cut(Some(0))?;
                self.wait(Duration::from_secs(10))?;
                self.set_cut(None)?;
            }
        }
        self.processes.reset_max_bytes();
        let converged = self.wait_for_convergence()?;
        let remaining = Duration::from_secs(10).saturating_sub(converged.unwrap_or_default());
        self.wait(remaining)?;
        Ok((self.processes.max_bytes_per_s(), converged))
    }

    fn start(&mut self, members: std::ops::Range<usize>) -> Result<(), HollowError> {
        members.clone().for_each(|n| self.alive[n] = true);
        self.send_expected_state()?;
        self.processes
            .send(&MemberCommand::Start(members.collect()))
    }

    fn kill(&mut self, members: &[usize]) -> Result<(), HollowError> {
        members.iter().for_each(|n| self.alive[*n] = false);
        self.send_expected_state()?;
        self.processes.send(&MemberCommand::Kill(members.to_vec()))
    }

    fn set_cut(&mut self, region: Option<usize>) -> Result<(), HollowError> {
        self.cut = region;
        self.send_expected_state()?;
        self.processes.send(&MemberCommand::Cut(region))
    }

    /// Sends the number of running members by region, with which the processes compare the views of
    /// their members.
    fn send_expected_state(&mut self) -> Result<(), HollowError> {
        let mut running: BTreeMap<usize, usize> = BTreeMap::new();
        for (placement, _) in self
            .placements
            .iter()
            .zip(&self.alive)
            .filter(|(_, alive)| **alive)
        {
            *running.entry(placement.region).or_default() += 1;
        }
        self.processes.expect(running)
    }

    /// Waits until all views are correct and returns the time that it took; `None` on a timeout.
    fn wait_for_convergence(&mut self) -> Result<Option<Duration>, HollowError> {
        let begin = Instant::now();
        while begin.elapsed() < CONVERGENCE_TIMEOUT {
            if let Some(converged) = self.processes.converged_at() {
                return Ok(Some(converged.saturating_duration_since(begin)));
            }
            self.wait(POLL_INTERVAL)?;
        }
        Ok(None)
    }

    /// Measures CPU time and traffic over a span without events.
    fn measure_calm(&mut self, span: Duration) -> Result<CalmMeasurement, HollowError> {
        self.processes.reset_max_bytes();
        let (first, begin) = (self.processes.sums(), Instant::now());
        self.wait(span)?;
        let last = self.processes.sums();
        Ok(CalmMeasurement {
            span: begin.elapsed(),
            cpu_time: Duration::from_nanos(last.cpu_ns.saturating_sub(first.cpu_ns)),
            datagrams: last.datagrams - first.datagrams,
            bytes: last.bytes - first.bytes,
            max_bytes_per_s: self.processes.max_bytes_per_s(),
        })
    }

    /// Waits for a span; fails if the run is interrupted, a process exits, or the run uses too much
    /// memory.
    fn wait(&mut self, span: Duration) -> Result<(), HollowError> {
        let until = Instant::now() + span;
        loop {
            self.processes.check()?;
            if self.interrupted.load(Ordering::Relaxed) {
                return Err(HollowError::Interrupted);
            }
            let resident = self.processes.resident_kb();
            if resident > self.memory_max_kb {
                return Err(HollowError::OutOfMemory {
                    resident_mb: resident / 1_024,
                });
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            std::thread::sleep(remaining.min(POLL_INTERVAL));
        }
    }
}

/// CPU time and traffic of all members over a span without events.
struct CalmMeasurement {
    span: Duration,
    cpu_time: Duration,
    datagrams: u64,
    bytes: u64,
    max_bytes_per_s: u64,
}

fn seconds(span: Option<Duration>) -> Option<f64> {
    span.map(|span| (span.as_millis() as f64) / 1e3)
}

/// Interval between two reports of a process, in nanoseconds.
const REPORT_INTERVAL: u64 = 100 * MS;

/// Runs a share of the members in this process until standard input is closed.
///
/// # Errors
///
/// Returns an error if a socket or a standard stream fails.
pub fn serve(plan: HollowPlan, share: usize) -> Result<(), HollowError> {
    let placements = layout(&plan);
    let own_members = (share..placements.len()).step_by(plan.processes).collect();
    members::serve(&plan, &placements, own_members)
}

impl MemberReport {
    /// Adds the counters of another process.
    fn add(&mut self, other: &MemberReport) {
        self.cpu_ns += other.cpu_ns;
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
        self.false_deaths += other.false_deaths;
        self.resident_kb += other.resident_kb;
    }
}
