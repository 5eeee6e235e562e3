//! The balancers of a soak: real processes with signals, and what was done to them.

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

/// What a balancer's clients may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAccess {
    /// It is not there, or not ready.
    Shut,
    /// It serves.
    Open,
    /// It was asked to end: open connections are used on.
    Ending,
}

/// What others may know of a balancer while the soak goes on.
#[derive(Clone, Debug)]
pub struct BalancerStatus {
    /// What its clients may do.
    pub access: ClientAccess,
    /// Its processes so far.
    pub processes: Vec<ProcessRecord>,
    /// When it was stalled.
    pub stalls: Vec<TimeSpan>,
}

/// The same, shared.
#[derive(Clone)]
pub struct StatusBoard(Arc<Mutex<Vec<BalancerStatus>>>);

impl StatusBoard {
    /// For so many balancers.
    #[must_use]
    pub fn new(balancers: usize) -> Self {
        let none = BalancerStatus {
            access: ClientAccess::Shut,
            processes: Vec::new(),
            stalls: Vec::new(),
        };
        StatusBoard(Arc::new(Mutex::new(vec![none; balancers])))
    }

    /// To look or change.
    pub fn lock(&self) -> MutexGuard<'_, Vec<BalancerStatus>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor seconds.
    pub cpu_s: f64,
    /// Peak memory in MB.
    pub peak_mb: f64,
    /// Descriptors open now.
    pub descriptors: usize,
}

/// What a balancer is started with.
pub struct BalancerSpec {
    /// Its number, from 0.
    pub number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The program.
    pub program: PathBuf,
    /// Its configuration.
    pub config: Value,
    /// Where its configuration and its log are written.
    pub folder: PathBuf,
    /// The clock of the trial.
    pub clock: Clock,
    /// Where its status is shown.
    pub status: StatusBoard,
}

/// One balancer.
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
    /// One that is not started yet.
    #[must_use]
    pub fn new(spec: BalancerSpec) -> Self {
        Balancer { spec, child: None }
    }

    /// Where clients connect.
    #[must_use]
    pub fn listen(&self) -> SocketAddr {
        self.spec.listen
    }

    fn public<T>(&self, change: impl FnOnce(&mut BalancerStatus) -> T) -> T {
        change(&mut self.spec.status.lock()[self.spec.number])
    }

    /// Writes a key of its configuration; heeded at its next start, or when it is read again.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn configure(&mut self, key: &str, value: Value) -> Result<PathBuf, TestbedError> {
        self.spec.config[key] = value;
        let path = self.spec.folder.join(format!("n{}.json", self.spec.number));
        std::fs::write(&path, self.spec.config.to_string())
            .map_err(|e| TestbedError::file(&path, e))?;
        Ok(path)
    }

    /// Starts it; it is open to clients once it says that it is ready.
    ///
    /// # Errors
    ///
    /// If the configuration can't be written, or the program not be started.
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
        self.public(|me| {
            me.processes.push(ProcessRecord {
                started,
                ..ProcessRecord::default()
            });
        });
        Ok(())
    }

    /// Asks whether it is ready, if it is not known to be.
    pub fn update_readiness(&mut self) {
        let shut = self.public(|me| {
            me.access == ClientAccess::Shut
                && me.processes.last().is_some_and(|l| l.ready.is_none())
        });
        if self.child.is_none() || !shut || !self.says_ready() {
            return;
        }
        let now = self.spec.clock.now();
        self.public(|me| {
            me.access = ClientAccess::Open;
            if let Some(life) = me.processes.last_mut() {
                life.ready = Some(now);
            }
        });
    }

    fn says_ready(&self) -> bool {
        let wait = Duration::from_millis(20);
        let asked = TcpStream::connect_timeout(&self.spec.listen, wait).and_then(|mut stream| {
            stream.set_read_timeout(Some(wait))?;
            stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
            let mut answer = [0; 7];
            stream.read_exact(&mut answer)?;
            Ok(&answer == b"+PONG\r\n")
        });
        matches!(asked, Ok(true))
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            child.signal(signal);
        }
    }

    /// Asks it to end.
    pub fn term(&mut self) {
        let now = self.spec.clock.now();
        self.public(|me| {
            me.access = ClientAccess::Ending;
            if let Some(life) = me.processes.last_mut() {
                life.asked_to_end = Some(now);
            }
        });
        self.signal(Signal::SIGTERM);
    }

    /// Stalls the process for this long.
    pub fn stall(&self, span: Duration) {
        let from = self.spec.clock.now();
        self.signal(Signal::SIGSTOP);
        std::thread::sleep(span);
        self.signal(Signal::SIGCONT);
        let to = self.spec.clock.now();
        self.public(|me| me.stalls.push(TimeSpan { from, to }));
    }

    /// Whether it runs; notes its end.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return true;
        };
        let now = self.spec.clock.now();
        self.child = None;
        self.public(|me| {
            me.access = ClientAccess::Shut;
            if let Some(life) = me.processes.last_mut() {
                let asked = life.asked_to_end.is_some();
                life.ended = Some((now, asked && status.success()));
            }
        });
        false
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if !self.is_running() {
            return;
        }
        let Some(child) = self.child.take() else {
            return;
        };
        let now: Nanos = self.spec.clock.now();
        self.public(|me| {
            me.access = ClientAccess::Shut;
            if let Some(life) = me.processes.last_mut() {
                life.killed = Some(now);
            }
        });
        drop(child);
    }

    /// Its counters as it prints them now.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        self.signal(Signal::SIGUSR1);
        std::thread::sleep(Duration::from_millis(100));
        let log = self.spec.folder.join(format!("n{}.log", self.spec.number));
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let counters = text.lines().rev().find_map(process::parse_counters);
        counters.unwrap_or_default()
    }

    /// What it has used so far.
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
