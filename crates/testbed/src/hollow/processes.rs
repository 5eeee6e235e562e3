//! Member processes as the parent controls them: their start, commands, reports and end.

use super::messages::{MemberCommand, MemberReport};
use super::{HollowError, HollowPlan};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// State of a process according to its reports.
#[derive(Default)]
struct ProcessState {
    /// Last received report.
    report: MemberReport,
    /// Time since which the views of its members have been correct.
    converged: Option<Instant>,
    /// Maximum number of bytes that any member sent in a second since the last reset.
    max_bytes_per_s: u64,
}

struct Process {
    child: Child,
    input: Option<ChildStdin>,
    state: Arc<Mutex<ProcessState>>,
}

/// All member processes of a run. They exit when their standard input is closed, even if the parent
/// is killed.
pub(super) struct Processes {
    all: Vec<Process>,
    /// Number of the last expected state that was sent.
    epoch: u64,
}

impl Processes {
    pub(super) fn start(plan: &HollowPlan) -> Result<Self, HollowError> {
        let executable = std::env::current_exe().map_err(|e| HollowError::io("this program", e))?;
        let mut processes = Processes {
            all: Vec::new(),
            epoch: 0,
        };
        for share in 0..plan.processes {
            let mut command = std::process::Command::new(&executable);
            command
                .arg("hollow-members")
                .args(["--share", &share.to_string()]);
            command.args([
                "--members",
                &plan.members.to_string(),
                "--regions",
                &plan.regions.to_string(),
            ]);
            command.args([
                "--processes",
                &plan.processes.to_string(),
                "--seed",
                &plan.seed.to_string(),
            ]);
            command.stdin(Stdio::piped()).stdout(Stdio::piped());
            let mut child = command
                .spawn()
                .map_err(|e| HollowError::io(executable.display().to_string(), e))?;
            let (input, output) = (child.stdin.take(), child.stdout.take());
            let state = Arc::new(Mutex::new(ProcessState::default()));
            if let Some(output) = output {
                let state = Arc::clone(&state);
                std::thread::spawn(move || read_reports(BufReader::new(output), &state));
            }
            processes.all.push(Process {
                child,
                input,
                state,
            });
        }
        Ok(processes)
    }

    pub(super) fn send(&mut self, command: &MemberCommand) -> Result<(), HollowError> {
        let line = serde_json::to_string(command)?;
        for process in &mut self.all {
            let Some(input) = &mut process.input else {
                continue;
            };
            writeln!(input, "{line}")
                .map_err(|e| HollowError::io("standard input of a member process", e))?;
        }
        Ok(())
    }

    /// Sends the expected state of the fleet: the number of running members by region.
    pub(super) fn expect(&mut self, running: BTreeMap<usize, usize>) -> Result<(), HollowError> {
        self.epoch += 1;
        self.send(&MemberCommand::Expect {
            epoch: self.epoch,
            running,
        })
    }

    /// Returns an error if a process has exited.
    pub(super) fn check(&mut self) -> Result<(), HollowError> {
        for (share, process) in self.all.iter_mut().enumerate() {
            if let Ok(Some(status)) = process.child.try_wait() {
                return Err(HollowError::ProcessEnded {
                    index: share,
                    status,
                });
            }
        }
        Ok(())
    }

    fn states(&self) -> impl Iterator<Item = std::sync::MutexGuard<'_, ProcessState>> {
        self.all
            .iter()
            .filter_map(|process| process.state.lock().ok())
    }

    /// Returns the time since which all views have matched the expected state; `None` if any view
    /// does not.
    pub(super) fn converged_at(&self) -> Option<Instant> {
        let converged = |state: std::sync::MutexGuard<'_, ProcessState>| {
            state.converged.filter(|_| state.report.epoch == self.epoch)
        };
        let times: Option<Vec<Instant>> = self.states().map(converged).collect();
        times.and_then(|times| times.into_iter().max())
    }

    /// Returns the sum of the counters of all processes.
    pub(super) fn sums(&self) -> MemberReport {
        let mut sum = MemberReport::default();
        self.states().for_each(|state| sum.add(&state.report));
        sum
    }

    pub(super) fn resident_kb(&self) -> usize {
        self.sums().resident_kb
    }

    pub(super) fn false_deaths(&self) -> u64 {
        self.sums().false_deaths
    }

    /// Returns the maximum number of bytes that any member sent in a second since the last reset.
    pub(super) fn max_bytes_per_s(&self) -> u64 {
        self.states()
            .map(|state| state.max_bytes_per_s)
            .max()
            .unwrap_or(0)
    }

    /// Resets the maximum number of bytes sent in a second.
    pub(super) fn reset_max_bytes(&mut self) {
        self.states()
            .for_each(|mut state| state.max_bytes_per_s = 0);
    }

    /// Closes the standard input of all processes and waits for their exit.
    pub(super) fn end(&mut self) {
        for process in &mut self.all {
            process.input = None;
        }
        for process in &mut self.all {
            let _ = process.child.wait();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.end();
    }
}

/// Reads the reports of one process until it exits.
fn read_reports(output: impl BufRead, state: &Mutex<ProcessState>) {
    for line in output.lines().map_while(Result::ok) {
        let Ok(report) = serde_json::from_str::<MemberReport>(&line) else {
            continue;
        };
        let Ok(mut state) = state.lock() else { return };
        let same_epoch = state.report.epoch == report.epoch;
        state.converged = match (report.converged, state.converged.filter(|_| same_epoch)) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            (true, None) => Some(Instant::now()),
        };
        state.max_bytes_per_s = state.max_bytes_per_s.max(report.max_bytes_per_s);
        state.report = report;
    }
}
