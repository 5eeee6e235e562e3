//! One process of the program: its configuration, its signals, its log, and what it says of the
//! fleet.

use crate::error::TestbedError;
use crate::process::{self, ChildGuard};
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Timeout of a call to the admin listener; a stalled process answers none.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The most log lines that are kept of one member.
const MAX_LOG_LINES: usize = 100_000;

/// How a process is started.
#[derive(Clone, Debug)]
pub struct MemberSpec {
    /// Its name.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// Where its configuration is written.
    pub folder: PathBuf,
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// The address of its admin listener.
    pub admin: SocketAddr,
    /// Where it finds discovery.
    pub discovery: SocketAddr,
    /// The key `fleet`, if it is set.
    pub fleet: Option<serde_json::Value>,
    /// Where the other members send.
    pub advertised: SocketAddr,
    /// The settings' number of balancers.
    pub group_size: usize,
    /// For its random numbers.
    pub seed: u64,
    /// An injected fault.
    pub injected_fault: Option<String>,
}

/// A line of a member's log, and when it came.
#[derive(Clone, Debug, Serialize)]
pub struct LogLine {
    /// Seconds since the start of the trial.
    pub at: f64,
    /// The line.
    pub text: String,
}

/// What `/admin/fleet` shows.
#[derive(Clone, Debug, Deserialize)]
pub struct MemberView {
    /// Its own name.
    pub name: String,
    /// Its generation.
    pub generation: u64,
    /// By how many shares are divided.
    #[serde(rename = "shared_by")]
    pub share_count: usize,
    /// Those who are there.
    pub living: usize,
    /// It hears no other member.
    #[serde(rename = "cut_off")]
    pub isolated: bool,
    /// The level that load is shed by.
    pub level: f64,
    /// The others.
    pub members: Vec<PeerView>,
    /// Its counts.
    pub datagrams: serde_json::Map<String, serde_json::Value>,
}

/// Another member as one sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerView {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its generation.
    pub generation: u64,
    /// What it is.
    pub state: String,
}

/// What a process is meant to do now, as the trial has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntendedState {
    /// Not started yet, or killed.
    Down,
    /// At work.
    Up,
    /// Stopped by a signal; it can be let go on.
    Stopped,
    /// Asked to end, or ended so.
    Left,
}

/// A process and its log; it ends with this.
pub struct MemberProcess {
    /// How it is started.
    pub spec: MemberSpec,
    /// What it is meant to do.
    pub intended: IntendedState,
    child: Option<ChildGuard>,
    begun: Instant,
    lines: Arc<Mutex<Vec<LogLine>>>,
    /// The counters of each process, as last printed.
    counters: Arc<Mutex<Vec<BTreeMap<String, u64>>>>,
    starts: u64,
}

impl Drop for MemberProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl MemberProcess {
    /// A process that is not started yet.
    #[must_use]
    pub fn new(spec: MemberSpec) -> Self {
        let (begun, lines, counters) = (Instant::now(), Arc::default(), Arc::default());
        MemberProcess {
            spec,
            intended: IntendedState::Down,
            child: None,
            begun,
            lines,
            counters,
            starts: 0,
        }
    }

    /// Starts it, under the same name and addresses each time.
    ///
    /// # Errors
    ///
    /// If the configuration can't be written, or the program not be started.
    pub fn start(&mut self) -> Result<(), TestbedError> {
        self.kill();
        self.starts += 1;
        let spec = &self.spec;
        let mut config = serde_json::json!({
            "name": spec.name, "listen": spec.listen, "discovery": spec.discovery, "management": spec.admin,
            "seed": format!("{:x}", spec.seed.wrapping_add(self.starts * 7_919)),
            "settings": settings(spec.group_size),
        });
        if let (Some(fleet), Some(object)) = (&spec.fleet, config.as_object_mut()) {
            object.insert("fleet".into(), fleet.clone());
        }
        let path = spec.folder.join(format!("{}.json", spec.name));
        std::fs::write(&path, config.to_string()).map_err(|e| TestbedError::file(&path, e))?;
        let mut command = process::balancer_command(&spec.program, &path);
        if let Some(fault) = &spec.injected_fault {
            command.env("PIPITRUN_PLANTED", fault);
        }
        let mut child = ChildGuard::spawn(command.stdout(Stdio::piped()).stderr(Stdio::piped()))?;
        if let Some(log) = child.stderr.take() {
            let (lines, begun) = (Arc::clone(&self.lines), self.begun);
            // Read on though nobody asks, or the program would wait for its log to be read.
            std::thread::spawn(move || {
                for text in BufReader::new(log).lines().map_while(Result::ok) {
                    let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
                    if lines.len() < MAX_LOG_LINES {
                        lines.push(LogLine {
                            at: begun.elapsed().as_secs_f64(),
                            text,
                        });
                    }
                }
            });
        }
        if let Some(output) = child.stdout.take() {
            let counters = Arc::clone(&self.counters);
            let life = {
                let mut counters = counters.lock().unwrap_or_else(PoisonError::into_inner);
                counters.push(BTreeMap::new());
                counters.len() - 1
            };
            std::thread::spawn(move || {
                for text in BufReader::new(output).lines().map_while(Result::ok) {
                    if let Some(parsed) = process::parse_counters(&text) {
                        counters.lock().unwrap_or_else(PoisonError::into_inner)[life] = parsed;
                    }
                }
            });
        }
        self.child = Some(child);
        self.intended = IntendedState::Up;
        Ok(())
    }

    /// Has it print its counters, if it is at work.
    pub fn request_counters(&self) {
        if self.intended == IntendedState::Up {
            self.signal(Signal::SIGUSR1);
        }
    }

    /// Its counters as last printed, summed over its processes.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for life in self
            .counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            for (name, count) in life {
                *sum.entry(name.clone()).or_insert(0) += count;
            }
        }
        sum
    }

    /// Its log so far, over all its processes.
    pub fn log(&self) -> Vec<LogLine> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            child.signal(signal);
        }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if self.child.take().is_some() {
            self.intended = IntendedState::Down;
        }
    }

    /// Stops the process until it is resumed.
    pub fn stop(&mut self) {
        self.signal(Signal::SIGSTOP);
        self.intended = IntendedState::Stopped;
    }

    /// It goes on.
    pub fn resume(&mut self) {
        self.signal(Signal::SIGCONT);
        self.intended = IntendedState::Up;
    }

    /// It is asked to end.
    pub fn request_shutdown(&mut self) {
        self.signal(Signal::SIGTERM);
        self.intended = IntendedState::Left;
    }

    /// How it ended, if it has; it is waited for that long.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let begun = Instant::now();
        let child = self.child.as_mut()?;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if begun.elapsed() >= timeout => return None,
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Descriptors that the process holds open.
    #[must_use]
    pub fn descriptors(&self) -> Option<usize> {
        process::open_descriptors(self.child.as_ref()?.id())
    }

    /// Resident memory of the process, in bytes.
    #[must_use]
    pub fn memory(&self) -> Option<u64> {
        Some(process::resident_kb(self.child.as_ref()?.id())? * 1_024)
    }

    /// A call of the operators, and the body of its answer if it is 200.
    #[must_use]
    pub fn admin_get(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.spec.admin, ADMIN_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(ADMIN_TIMEOUT)).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        head.starts_with("HTTP/1.1 200 ").then(|| body.to_string())
    }

    /// What it sees of the fleet, if it is at work and answers.
    #[must_use]
    pub fn view(&self) -> Option<MemberView> {
        if self.intended != IntendedState::Up {
            return None;
        }
        serde_json::from_str(&self.admin_get("/admin/fleet")?).ok()
    }
}

/// The settings of all members; the classes are those of `stand_ins::clients`.
pub(crate) fn settings(group_size: usize) -> serde_json::Value {
    serde_json::json!({
        "areas": ["dc-vake"], "machine_types": ["small-1c"],
        "accounts": [{"name": "kvemo-tetri", "allowance_per_s": 1000.0}],
        "over_share_worth": 0.2, "group_size": group_size, "membership_mode": "subscribe", "step_ns": 1_000_000,
        "caps": {
            "max_attempts": 3, "second_copies": true, "may_cancel": true, "may_probe": true, "retry_after": true,
            "max_retry_after_ns": 1_200_000_000u64, "conn_idle_ns": 30_000_000_000u64,
            "connect_timeout_ns": 150_000_000, "max_open": 10_000,
        },
        "obligations": {
            "grace_to_answer_ns": 16_000_000, "drain_grace_ns": 2_500_000_000u64, "must_ask_in_ns": 10_000_000_000u64,
            "cold_from": 0.12, "warm_after_ns": 23_000_000_000u64, "overload_factor": 2.5,
            "tip_after_ns": 2_000_000_000u64,
        },
        "profiles": [
            {"name": "tile-read", "repeat": "safe", "goal_time_ns": 300_000_000, "give_up_ns": 600_000_000, "worth": 3.0},
            {"name": "status-set", "repeat": "keyed", "group": "all", "memory_span_ns": 2_000_000_000u64,
             "goal_time_ns": 300_000_000, "give_up_ns": 1_000_000_000, "worth": 10.0},
            {"name": "map-publish", "repeat": "unsafe", "goal_time_ns": 600_000_000, "give_up_ns": 2_500_000_000u64,
             "worth": 5.0},
        ],
    })
}
