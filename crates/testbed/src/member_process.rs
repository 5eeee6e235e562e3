//! One balancer process of a cluster: its configuration, signals, log, counters and fleet view.

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

/// Timeout of a request to the admin listener; a stopped process does not answer.
const ADMIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of log lines that are kept per member.
const MAX_LOG_LINES: usize = 100_000;

/// Configuration and environment of a process.
#[derive(Clone, Debug)]
pub struct MemberSpec {
    /// Name of the member.
    pub name: String,
    /// Path of the pipitrun program.
    pub program: PathBuf,
    /// Folder in which the configuration file is written.
    pub folder: PathBuf,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Value of the key `fleet` in the configuration; `None` to omit the key.
    pub fleet: Option<serde_json::Value>,
    /// Address to which the other members send datagrams.
    pub advertised: SocketAddr,
    /// Number of balancers in the settings (`group_size`).
    pub group_size: usize,
    /// Base of the member's random seed; each start uses a different seed.
    pub seed: u64,
    /// Fault to inject, passed in `PIPITRUN_PLANTED`.
    pub injected_fault: Option<String>,
}

/// A line of a member's log with the time at which it was read.
#[derive(Clone, Debug, Serialize)]
pub struct LogLine {
    /// Seconds since the start of the trial.
    pub at: f64,
    /// Text of the line.
    pub text: String,
}

/// Answer of `/admin/fleet`: a member's view of the fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct MemberView {
    /// Name of the answering member.
    pub name: String,
    /// Generation of the answering member.
    pub generation: u64,
    /// Number of members among which this member divides fleet-wide limits.
    #[serde(rename = "shared_by")]
    pub share_count: usize,
    /// Number of members present, the answering member included.
    pub living: usize,
    /// Whether the member receives no datagrams from other members.
    #[serde(rename = "cut_off")]
    pub isolated: bool,
    /// Shedding level that the member applies.
    pub level: f64,
    /// Other members.
    pub members: Vec<PeerView>,
    /// Counters of sent and received datagrams, by name.
    pub datagrams: serde_json::Map<String, serde_json::Value>,
}

/// State of another member in a member's view.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerView {
    /// Name of the other member.
    pub name: String,
    /// Address to which datagrams to it are sent.
    pub address: SocketAddr,
    /// Generation of the other member.
    pub generation: u64,
    /// Status of the other member, for example `serving` or `dead`.
    pub state: String,
}

/// State of a process that the trial set by starting the process or sending it a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntendedState {
    /// Not started yet, or killed.
    Down,
    /// Started and running.
    Up,
    /// Stopped by SIGSTOP; SIGCONT resumes it.
    Stopped,
    /// Shutdown was requested by SIGTERM; the process may have exited.
    Left,
}

/// A balancer process and its log. Dropping it kills the process.
pub struct MemberProcess {
    /// Configuration and environment of the process.
    pub spec: MemberSpec,
    /// State that the trial has set.
    pub intended: IntendedState,
    child: Option<ChildGuard>,
    begin: Instant,
    lines: Arc<Mutex<Vec<LogLine>>>,
    /// Last printed counters, one entry per start.
    counters: Arc<Mutex<Vec<BTreeMap<String, u64>>>>,
    starts: u64,
}

impl Drop for MemberProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl MemberProcess {
    /// Returns a member whose process is not started yet.
    #[must_use]
    pub fn new(spec: MemberSpec) -> Self {
        let (begin, lines, counters) = (Instant::now(), Arc::default(), Arc::default());
        MemberProcess {
            spec,
            intended: IntendedState::Down,
            child: None,
            begin,
            lines,
            counters,
            starts: 0,
        }
    }

    /// Kills a running process and starts a new one: same name and addresses, different seed.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration cannot be written or the program cannot be started.
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
            let (lines, begin) = (Arc::clone(&self.lines), self.begin);
            // Keeps reading the log: the program would block on a full pipe.
            std::thread::spawn(move || {
                for text in BufReader::new(log).lines().map_while(Result::ok) {
                    let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
                    if lines.len() < MAX_LOG_LINES {
                        lines.push(LogLine {
                            at: begin.elapsed().as_secs_f64(),
                            text,
                        });
                    }
                }
            });
        }
        if let Some(output) = child.stdout.take() {
            let counters = Arc::clone(&self.counters);
            let start = {
                let mut counters = counters.lock().unwrap_or_else(PoisonError::into_inner);
                counters.push(BTreeMap::new());
                counters.len() - 1
            };
            std::thread::spawn(move || {
                for text in BufReader::new(output).lines().map_while(Result::ok) {
                    if let Some(parsed) = process::parse_counters(&text) {
                        counters.lock().unwrap_or_else(PoisonError::into_inner)[start] = parsed;
                    }
                }
            });
        }
        self.child = Some(child);
        self.intended = IntendedState::Up;
        Ok(())
    }

    /// Makes a running process print its counters (SIGUSR1).
    pub fn request_counters(&self) {
        if self.intended == IntendedState::Up {
            self.signal(Signal::SIGUSR1);
        }
    }

    /// Returns the last printed counters, summed over all starts.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for counters in self
            .counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            for (name, count) in counters {
                *sum.entry(name.clone()).or_insert(0) += count;
            }
        }
        sum
    }

    /// Returns the log lines so far, of all starts.
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

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if self.child.take().is_some() {
            self.intended = IntendedState::Down;
        }
    }

    /// Stops the process by SIGSTOP until it is resumed.
    pub fn stop(&mut self) {
        self.signal(Signal::SIGSTOP);
        self.intended = IntendedState::Stopped;
    }

    /// Resumes a stopped process by SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::SIGCONT);
        self.intended = IntendedState::Up;
    }

    /// Requests a graceful shutdown by SIGTERM.
    pub fn request_shutdown(&mut self) {
        self.signal(Signal::SIGTERM);
        self.intended = IntendedState::Left;
    }

    /// Waits up to `timeout` for the process to exit and returns its exit status; `None` if it is
    /// still running or was not started.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let begin = Instant::now();
        let child = self.child.as_mut()?;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if begin.elapsed() >= timeout => return None,
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Returns the number of open file descriptors of the process.
    #[must_use]
    pub fn descriptors(&self) -> Option<usize> {
        process::open_descriptors(self.child.as_ref()?.id())
    }

    /// Returns the resident memory of the process, in bytes.
    #[must_use]
    pub fn memory(&self) -> Option<u64> {
        Some(process::resident_kb(self.child.as_ref()?.id())? * 1_024)
    }

    /// Sends `GET path` to the admin listener and returns the body of a 200 answer.
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

    /// Returns the member's view of the fleet; `None` unless the process runs and answers.
    #[must_use]
    pub fn view(&self) -> Option<MemberView> {
        if self.intended != IntendedState::Up {
            return None;
        }
        serde_json::from_str(&self.admin_get("/admin/fleet")?).ok()
    }
}

/// Returns the settings of all members. The classes are those of `simulated_services::clients`.
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
