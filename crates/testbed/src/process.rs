//! Processes of the program: location of the executable, start, signals, and resource usage as
//! reported by the operating system.

use crate::error::TestbedError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// File name of the program in the build folder.
const PROGRAM: &str = "pipitrun";
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Returns the path of the program: the given one, or else the one in the build folder of this
/// executable.
///
/// # Errors
///
/// Fails if there is no such file.
pub fn find_program(given: Option<&Path>) -> Result<PathBuf, TestbedError> {
    if let Some(path) = given {
        return if path.is_file() {
            Ok(path.into())
        } else {
            Err(TestbedError::ProgramNotAFile(path.into()))
        };
    }
    let executable = std::env::current_exe()
        .map_err(|e| TestbedError::io("finding the path of this executable", e))?;
    // Test executables are in a subfolder of the build folder.
    let program = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(PROGRAM))
        .find(|path| path.is_file());
    program.ok_or(TestbedError::ProgramNotFound(executable))
}

/// Returns the command that starts a balancer with this configuration file. The caller must
/// redirect its output.
#[must_use]
pub fn balancer_command(program: &Path, config: &Path) -> Command {
    let mut command = Command::new(program);
    command
        .env_clear()
        .env("GW_CONFIG", config)
        .env("RUST_LOG", "info")
        .stdin(Stdio::null());
    command
}

/// Child process that is killed and reaped on drop.
#[derive(Debug)]
pub struct ChildGuard(Child);

impl ChildGuard {
    /// Starts a command.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn spawn(command: &mut Command) -> Result<Self, TestbedError> {
        let child = command.spawn().map_err(|source| TestbedError::File {
            path: command.get_program().into(),
            source,
        })?;
        Ok(ChildGuard(child))
    }

    /// Sends a signal; has no effect on a process that has exited.
    pub fn signal(&self, signal: Signal) {
        if let Ok(pid) = i32::try_from(self.0.id()) {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }
}

impl Deref for ChildGuard {
    type Target = Child;

    fn deref(&self) -> &Child {
        &self.0
    }
}

impl DerefMut for ChildGuard {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Parses the `counters:` line that the program prints on SIGUSR1; returns `None` for other lines.
#[must_use]
pub fn parse_counters(line: &str) -> Option<BTreeMap<String, u64>> {
    let pairs = line.strip_prefix("counters: ")?;
    let parse = |pair: &str| {
        let (name, count) = pair.split_once('=')?;
        Some((name.to_string(), count.parse().ok()?))
    };
    Some(pairs.split(' ').filter_map(parse).collect())
}

/// Returns the resident memory of a process, in KiB.
#[must_use]
pub fn resident_kb(pid: u32) -> Option<u64> {
    status_kb(&pid.to_string(), "VmRSS:")
}

/// Returns the resident memory of this process, in KiB.
#[must_use]
pub fn own_resident_kb() -> Option<u64> {
    status_kb("self", "VmRSS:")
}

/// Returns the peak resident memory of a process, in KiB.
#[must_use]
pub fn peak_resident_kb(pid: u32) -> Option<u64> {
    status_kb(&pid.to_string(), "VmHWM:")
}

fn status_kb(process: &str, key: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(key))?;
    value.trim().strip_suffix(" kB")?.trim().parse().ok()
}

/// Returns the number of open file descriptors of a process.
#[must_use]
pub fn open_descriptors(pid: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}

/// Returns the user and system time of a process, in seconds.
#[must_use]
pub fn cpu_seconds(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The program name in parentheses may contain spaces, so the fields are counted from its end.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = fields.get(11..13)?.iter();
    let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Some(ticks / TICKS_PER_S)
}
