//! The balancers of a soak: real processes, the signals sent to them, and records of both.

use super::connections::Clock;
use super::records::{Nanos, ProcessRecord, TimeSpan};
use crate::error::TestbedError;
use crate::process::{self, ChildGuard};
use nix::sys::signal::Signal;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Whether clients may send requests to a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAccess {
    /// The balancer does not run or is not ready.
    Unavailable,
    /// The balancer is ready.
    Available,
    /// Shutdown was requested: clients keep using open connections.
    ShuttingDown,
}

/// Status of a balancer, shared with the clients during the soak.
#[derive(Clone, Debug)]
pub struct BalancerStatus {
    /// Whether clients may send requests.
    pub access: ClientAccess,
    /// Processes so far; the last is the current one.
    pub processes: Vec<ProcessRecord>,
    /// Spans in which the trial stalled the process.
    pub stalls: Vec<TimeSpan>,
}

/// Status of all balancers, shared between threads.
#[derive(Clone)]
pub struct StatusBoard(Arc<Mutex<Vec<BalancerStatus>>>);

impl StatusBoard {
    /// Creates the status of `balancers` balancers that are not started yet.
    #[must_use]
    pub fn new(balancers: usize) -> Self {
        let not_started = BalancerStatus {
            access: ClientAccess::Unavailable,
            processes: Vec::new(),
            stalls: Vec::new(),
        };
        StatusBoard(Arc::new(Mutex::new(vec![not_started; balancers])))
    }

    /// Locks the status of all balancers.
    pub fn lock(&self) -> MutexGuard<'_, Vec<BalancerStatus>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MB.
    pub peak_mb: f64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// Configuration and environment of a balancer.
pub struct BalancerSpec {
    /// Number of the balancer, from 0.
    pub number: usize,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Path of the pipitrun program.
    pub program: PathBuf,
    /// Configuration, written to a file at each start.
    pub config: Value,
    /// Folder of the configuration file and the log.
    pub folder: PathBuf,
    /// Clock of the soak.
    pub clock: Clock,
    /// Status of all balancers, which this balancer updates.
    pub status: StatusBoard,
}

/// A balancer and its current process.
pub struct Balancer {
    spec: BalancerSpec,
    child: Option<ChildGuard>,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Balancer {
    /// Creates a balancer whose process is not started yet.
    #[must_use]
    pub fn new(spec: BalancerSpec) -> Self {
        Balancer { spec, child: None }
    }

    /// Returns the listen address for clients.
    #[must_use]
    pub fn listen(&self) -> SocketAddr {
        self.spec.listen
    }

    fn update_status<T>(&self, update: impl FnOnce(&mut BalancerStatus) -> T) -> T {
        update(&mut self.spec.status.lock()[self.spec.number])
    }

    /// Sets a key of the configuration and writes the file. The process applies it at its next
    /// start or when it reloads the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn configure(&mut self, key: &str, value: Value) -> Result<PathBuf, TestbedError> {
        self.spec.config[key] = value;
        let path = self.spec.folder.join(format!("n{}.json", self.spec.number));
        std::fs::write(&path, self.spec.config.to_string())
            .map_err(|e| TestbedError::file(&path, e))?;
        Ok(path)
    }

    /// Starts a process with `known` as its initial endpoint list. Clients may connect once it is
    /// ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration cannot be written or the program cannot be started.
    pub fn start(&mut self, known: Value) -> Result<(), TestbedError> {
        self.kill();
        let path = self.configure("known", known)?;
        let log = self.spec.folder.join(format!("n{}.log", self.spec.number));
        let problem = |e| TestbedError::file(&log, e);
        let stderr = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(problem)?;
        let stdout = stderr.try_clone().map_err(problem)?;
        let mut command = process::balancer_command(&self.spec.program, &path);
        self.child = Some(ChildGuard::spawn(command.stdout(stdout).stderr(stderr))?);
        let started = self.spec.clock.now();
        self.update_status(|status| {
            status.processes.push(ProcessRecord {
                started,
                ..ProcessRecord::default()
            });
        });
        Ok(())
    }

    /// Checks by a `PING` whether the process is ready, unless it already is.
    pub fn update_readiness(&mut self) {
        let is_starting = self.update_status(|status| {
            status.access == ClientAccess::Unavailable
                && status
                    .processes
                    .last()
                    .is_some_and(|process| process.ready.is_none())
        });
        if self.child.is_none() || !is_starting || !self.answers_ping() {
            return;
        }
        let now = self.spec.clock.now();
        self.update_status(|status| {
            status.access = ClientAccess::Available;
            if let Some(process) = status.processes.last_mut() {
                process.ready = Some(now);
            }
        });
    }

    fn answers_ping(&self) -> bool {
        let timeout = Duration::from_millis(20);
        let result =
            TcpStream::connect_timeout(&self.spec.listen, timeout).and_then(|mut stream| {
                stream.set_read_timeout(Some(timeout))?;
                stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
                let mut reply = [0; 7];
                stream.read_exact(&mut reply)?;
                Ok(&reply == b"+PONG\r\n")
            });
        matches!(result, Ok(true))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            child.signal(signal);
        }
    }

    /// Requests a graceful shutdown by SIGTERM.
    pub fn request_shutdown(&mut self) {
        let now = self.spec.clock.now();
        self.update_status(|status| {
            status.access = ClientAccess::ShuttingDown;
            if let Some(process) = status.processes.last_mut() {
                process.shutdown_requested = Some(now);
            }
        });
        self.signal(Signal::SIGTERM);
    }

    /// Stalls the process for `span` by SIGSTOP and SIGCONT.
    pub fn stall(&self, span: Duration) {
        let from = self.spec.clock.now();
        self.signal(Signal::SIGSTOP);
        std::thread::sleep(span);
        self.signal(Signal::SIGCONT);
        let to = self.spec.clock.now();
        self.update_status(|status| status.stalls.push(TimeSpan { from, to }));
    }

    /// Returns whether the process runs, and records its exit.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(exit_status)) = child.try_wait() else {
            return true;
        };
        let now = self.spec.clock.now();
        self.child = None;
        self.update_status(|status| {
            status.access = ClientAccess::Unavailable;
            if let Some(process) = status.processes.last_mut() {
                let expected = process.shutdown_requested.is_some();
                process.ended = Some((now, expected && exit_status.success()));
            }
        });
        false
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if !self.is_running() {
            return;
        }
        let Some(child) = self.child.take() else {
            return;
        };
        let now: Nanos = self.spec.clock.now();
        self.update_status(|status| {
            status.access = ClientAccess::Unavailable;
            if let Some(process) = status.processes.last_mut() {
                process.killed = Some(now);
            }
        });
        drop(child);
    }

    /// Makes the process print its counters (SIGUSR1) and returns them from the log.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        self.signal(Signal::SIGUSR1);
        std::thread::sleep(Duration::from_millis(100));
        let log = self.spec.folder.join(format!("n{}.log", self.spec.number));
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let counters = text.lines().rev().find_map(process::parse_counters);
        counters.unwrap_or_default()
    }

    /// Records the peak memory of the process, if it runs.
    pub fn record_memory(&self) {
        let peak = self.child.as_ref();
        let peak = peak.and_then(|child| process::peak_resident_kb(child.id()));
        let peak = peak.unwrap_or(0);
        self.update_status(|status| {
            if let Some(process) = status.processes.last_mut() {
                process.peak_kib = process.peak_kib.max(peak);
            }
        });
    }

    /// Returns the resources that the process has used so far; `None` if it does not run.
    #[must_use]
    pub fn usage(&self) -> Option<ProcessUsage> {
        let pid = self.child.as_ref()?.id();
        Some(ProcessUsage {
            cpu_s: process::cpu_seconds(pid)?,
            peak_mb: process::peak_resident_kb(pid)? as f64 / 1_024.0,
            descriptors: process::open_descriptors(pid)?,
        })
    }
}
