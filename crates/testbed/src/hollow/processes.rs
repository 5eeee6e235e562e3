//! The processes that run hollow members, as the parent sees them.

use super::messages::{MemberCommand, MemberReport};
use super::{HollowError, HollowPlan};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What a process last reported.
#[derive(Default)]
struct Last {
    report: MemberReport,
    /// When its views were first true, by the last expectation.
    settled: Option<Instant>,
    max_bytes_per_s: u64,
}

struct Process {
    child: Child,
    input: Option<ChildStdin>,
    last: Arc<Mutex<Last>>,
}

/// All processes of a run. They end with their standard input, also if this one is killed.
pub(super) struct Processes {
    all: Vec<Process>,
    epoch: u64,
}

impl Processes {
    pub(super) fn start(plan: &HollowPlan) -> Result<Self, HollowError> {
        let own = std::env::current_exe().map_err(|e| HollowError::io("this program", e))?;
        let mut processes = Processes {
            all: Vec::new(),
            epoch: 0,
        };
        for share in 0..plan.processes {
            let mut command = std::process::Command::new(&own);
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
                .map_err(|e| HollowError::io(own.display().to_string(), e))?;
            let (input, output) = (child.stdin.take(), child.stdout.take());
            let last = Arc::new(Mutex::new(Last::default()));
            if let Some(output) = output {
                let last = Arc::clone(&last);
                std::thread::spawn(move || listen(BufReader::new(output), &last));
            }
            processes.all.push(Process { child, input, last });
        }
        Ok(processes)
    }

    pub(super) fn send(&mut self, command: &MemberCommand) -> Result<(), HollowError> {
        let line = serde_json::to_string(command)?;
        for process in &mut self.all {
            let Some(input) = &mut process.input else {
                continue;
            };
            writeln!(input, "{line}").map_err(|e| HollowError::io("a process of members", e))?;
        }
        Ok(())
    }

    /// What is true from now on.
    pub(super) fn expect(&mut self, living: BTreeMap<usize, usize>) -> Result<(), HollowError> {
        self.epoch += 1;
        self.send(&MemberCommand::Expect {
            epoch: self.epoch,
            living,
        })
    }

    /// A process that ended by itself is named.
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

    fn lasts(&self) -> impl Iterator<Item = std::sync::MutexGuard<'_, Last>> {
        self.all
            .iter()
            .filter_map(|process| process.last.lock().ok())
    }

    /// When the last process's views came to be true, if all are.
    pub(super) fn settled_at(&self) -> Option<Instant> {
        let settled = |last: std::sync::MutexGuard<'_, Last>| {
            last.settled.filter(|_| last.report.epoch == self.epoch)
        };
        let all: Option<Vec<Instant>> = self.lasts().map(settled).collect();
        all.and_then(|all| all.into_iter().max())
    }

    pub(super) fn sums(&self) -> MemberReport {
        let mut sum = MemberReport::default();
        self.lasts().for_each(|last| sum.add(&last.report));
        sum
    }

    pub(super) fn resident_kb(&self) -> usize {
        self.sums().resident_kb
    }

    pub(super) fn false_deaths(&self) -> u64 {
        self.sums().false_deaths
    }

    /// The most that a member sent in a second since the last reset.
    pub(super) fn max_bytes_per_s(&self) -> u64 {
        self.lasts()
            .map(|last| last.max_bytes_per_s)
            .max()
            .unwrap_or(0)
    }

    pub(super) fn reset(&mut self) {
        self.lasts().for_each(|mut last| last.max_bytes_per_s = 0);
    }

    /// Ends all and waits for them.
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

/// Reads the reports of one process until it ends.
fn listen(output: impl BufRead, last: &Mutex<Last>) {
    for line in output.lines().map_while(Result::ok) {
        let Ok(report) = serde_json::from_str::<MemberReport>(&line) else {
            continue;
        };
        let Ok(mut last) = last.lock() else { return };
        let same = last.report.epoch == report.epoch;
        last.settled = match (report.settled, last.settled.filter(|_| same)) {
            (false, _) => None,
            (true, Some(since)) => Some(since),
            (true, None) => Some(Instant::now()),
        };
        last.max_bytes_per_s = last.max_bytes_per_s.max(report.worst);
        last.report = report;
    }
}
