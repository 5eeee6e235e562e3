//! The steps of a scenario: actions on members, links and services.

use super::{LISTING_DELAY, ScenarioRun};
use crate::cluster::Cluster;
use crate::error::TestbedError;
use crate::member_process::MemberProcess;
use crate::network_emulation::faults::LinkFaults;
use crate::scenario::{ScenarioAction, ScenarioStep, parse_member_set};
use std::time::{Duration, Instant};

/// Maximum time for a process to exit after SIGTERM, and to become ready after a start. It
/// exceeds the longest deadline of a request class plus the platform's slack.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay from the death of a cache until it is removed from the endpoint list.
const UNLISTING_DELAY: Duration = Duration::from_secs(2);

impl ScenarioRun<'_> {
    /// Executes one step and waits for convergence if the step requires it.
    pub(super) fn execute_step(&mut self, step: &ScenarioStep) -> Result<(), TestbedError> {
        let n = self.cluster.plan.instances;
        let (from, to) = (
            parse_member_set(&step.members, n)?,
            parse_member_set(&step.to, n)?,
        );
        self.record_action(format!(
            "{:?} {} {}",
            step.action,
            step.members,
            if step.both { "both ways" } else { "" }
        ));
        match step.action {
            ScenarioAction::Cut | ScenarioAction::Link | ScenarioAction::Heal => {
                self.change_links(step, &from, &to);
            }
            ScenarioAction::Load
            | ScenarioAction::KillCaches
            | ScenarioAction::StartCaches
            | ScenarioAction::SlowOrigin => self.change_services(step)?,
            ScenarioAction::Wait => {}
            _ => self.change_members(step, &from)?,
        }
        let step_done = Instant::now();
        if let Some(name) = &step.convergence_name {
            // Measured from the end of the action, because processes are signalled one after the
            // other.
            self.wait_for_convergence(name, step_done);
        }
        self.check_interrupted()
    }

    /// Executes actions on members; ignores all others.
    fn change_members(&mut self, step: &ScenarioStep, from: &[usize]) -> Result<(), TestbedError> {
        match step.action {
            ScenarioAction::Kill => self.signal_members(from, true, MemberProcess::kill),
            ScenarioAction::Stop => self.signal_members(from, true, MemberProcess::stop),
            ScenarioAction::GoOn => self.signal_members(from, false, MemberProcess::resume),
            ScenarioAction::Term => {
                self.signal_members(from, true, MemberProcess::request_shutdown);
            }
            ScenarioAction::Start => {
                for i in from {
                    self.cluster.members[*i].start()?;
                }
                self.wait_until_ready(from);
            }
            ScenarioAction::Roll => {
                for i in from {
                    self.restart_gracefully(*i)?;
                    self.observe();
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Executes actions on links between members; ignores all others.
    fn change_links(&mut self, step: &ScenarioStep, from: &[usize], to: &[usize]) {
        match step.action {
            ScenarioAction::Cut => self.set_links(
                from,
                to,
                step.both,
                LinkFaults {
                    cut: true,
                    ..self.scenario.links
                },
            ),
            ScenarioAction::Link => self.set_links(from, to, step.both, step.faults),
            ScenarioAction::Heal => self.set_links(from, to, step.both, self.scenario.links),
            _ => {}
        }
    }

    /// Executes actions on clients, caches and the origin; ignores all others.
    fn change_services(&mut self, step: &ScenarioStep) -> Result<(), TestbedError> {
        match step.action {
            ScenarioAction::Load => self
                .cluster
                .request_rate
                .set(step.rate.unwrap_or(self.scenario.rate)),
            ScenarioAction::KillCaches => {
                for cache in parse_member_set(&step.members, self.cluster.plan.caches)? {
                    self.cluster.kill_cache(cache);
                    self.pending_listings
                        .push((Instant::now() + UNLISTING_DELAY, cache, false));
                }
            }
            ScenarioAction::StartCaches => {
                for cache in parse_member_set(&step.members, self.cluster.plan.caches)? {
                    self.cluster.start_cache(cache)?;
                    self.pending_listings
                        .push((Instant::now() + LISTING_DELAY, cache, true));
                }
            }
            ScenarioAction::SlowOrigin => {
                if let Some(origin) = &self.cluster.origin {
                    origin.set_slowdown(step.slow.unwrap_or(1.0));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Signals members and records for the invariants whether they are unavailable from now on.
    fn signal_members(
        &mut self,
        selected: &[usize],
        unavailable: bool,
        signal: impl Fn(&mut MemberProcess),
    ) {
        for i in selected {
            // The signal takes effect between the two times. Unavailability starts at the earlier
            // and ends at the later one, so that it covers all effects on a slow machine too.
            let before = self.now();
            signal(&mut self.cluster.members[*i]);
            let at = if unavailable { before } else { self.now() };
            self.invariants.set_unavailable(at, *i, unavailable);
        }
    }

    /// Waits until started members are ready; they count as unavailable until then.
    fn wait_until_ready(&mut self, started: &[usize]) {
        let ready = |cluster: &Cluster| {
            started
                .iter()
                .all(|i| cluster.members[*i].admin_get("/admin/health").is_some())
        };
        if self.cluster.wait_until(PROCESS_TIMEOUT, ready).is_none() {
            let at = self.now();
            self.invariants.record_violation(
                at,
                "starts",
                format!("members {started:?} are not ready after {PROCESS_TIMEOUT:?}"),
            );
        }
        let at = self.now();
        started
            .iter()
            .for_each(|i| self.invariants.set_unavailable(at, *i, false));
    }

    /// Restarts a member with SIGTERM; an exit that fails or takes too long is a violation.
    fn restart_gracefully(&mut self, i: usize) -> Result<(), TestbedError> {
        let at = self.now();
        self.invariants.set_unavailable(at, i, true);
        self.cluster.members[i].request_shutdown();
        let exit_status = self.cluster.members[i].wait_for_exit(PROCESS_TIMEOUT);
        if !exit_status.is_some_and(|status| status.success()) {
            self.invariants.record_violation(
                at,
                "ends",
                format!("n{i} has exit status {exit_status:?} after SIGTERM, expected success"),
            );
        }
        self.cluster.members[i].start()?;
        self.wait_until_ready(&[i]);
        Ok(())
    }

    /// Sets the faults of the links from one set of members to another, and in the opposite
    /// direction if `both` is set.
    fn set_links(&mut self, from: &[usize], to: &[usize], both: bool, faults: LinkFaults) {
        let at = self.now();
        for i in from {
            for j in to.iter().filter(|j| *j != i) {
                self.cluster.link(*i, *j).set(faults);
                self.invariants.set_cut(at, *i, *j, faults.cut);
                if both {
                    self.cluster.link(*j, *i).set(faults);
                    self.invariants.set_cut(at, *j, *i, faults.cut);
                }
            }
        }
    }
}
