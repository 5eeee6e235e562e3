//! The steps of a scenario: actions on members, links and services.

use super::{LISTING_DELAY, ScenarioRun};
use crate::cluster::Cluster;
use crate::error::TestbedError;
use crate::member_process::MemberProcess;
use crate::network_emulation::faults::LinkFaults;
use crate::scenario::{ScenarioAction, ScenarioStep, members};
use std::time::{Duration, Instant};

/// A process that is asked to end has this long; requests of the longest class and the platform's
/// slack fit in.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// How much later than a cache's death the endpoint list drops it.
const UNLISTING_DELAY: Duration = Duration::from_secs(2);

impl ScenarioRun<'_> {
    /// Carries out one step and waits until views have settled, where the step says so.
    pub(super) fn step(&mut self, step: &ScenarioStep) -> Result<(), TestbedError> {
        let n = self.cluster.plan.instances;
        let (from, to) = (members(&step.members, n)?, members(&step.to, n)?);
        self.note(format!(
            "{:?} {} {}",
            step.act,
            step.members,
            if step.both { "both ways" } else { "" }
        ));
        match step.act {
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
        if let Some(name) = &step.settles {
            // From the last of it on: processes are killed one after the other.
            self.settle(name, step_done);
        }
        self.check_interrupted()
    }

    /// Actions on members; ignores all others.
    fn change_members(&mut self, step: &ScenarioStep, from: &[usize]) -> Result<(), TestbedError> {
        match step.act {
            ScenarioAction::Kill => self.apply(from, true, MemberProcess::kill),
            ScenarioAction::Stop => self.apply(from, true, MemberProcess::stop),
            ScenarioAction::GoOn => self.apply(from, false, MemberProcess::resume),
            ScenarioAction::Term => self.apply(from, true, MemberProcess::request_shutdown),
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

    /// Actions on links between members; ignores all others.
    fn change_links(&mut self, step: &ScenarioStep, from: &[usize], to: &[usize]) {
        match step.act {
            ScenarioAction::Cut => self.links(
                from,
                to,
                step.both,
                LinkFaults {
                    cut: true,
                    ..self.scenario.links
                },
            ),
            ScenarioAction::Link => self.links(from, to, step.both, step.faults),
            ScenarioAction::Heal => self.links(from, to, step.both, self.scenario.links),
            _ => {}
        }
    }

    /// Actions on clients, caches and the origin; ignores all others.
    fn change_services(&mut self, step: &ScenarioStep) -> Result<(), TestbedError> {
        match step.act {
            ScenarioAction::Load => self
                .cluster
                .request_rate
                .set(step.rate.unwrap_or(self.scenario.rate)),
            ScenarioAction::KillCaches => {
                for cache in members(&step.members, self.cluster.plan.caches)? {
                    self.cluster.kill_cache(cache);
                    self.listings
                        .push((Instant::now() + UNLISTING_DELAY, cache, false));
                }
            }
            ScenarioAction::StartCaches => {
                for cache in members(&step.members, self.cluster.plan.caches)? {
                    self.cluster.start_cache(cache)?;
                    self.listings
                        .push((Instant::now() + LISTING_DELAY, cache, true));
                }
            }
            ScenarioAction::SlowOrigin => {
                if let Some(origin) = &self.cluster.origin {
                    origin.slow(step.slow.unwrap_or(1.0));
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Applies a signal to members and notes when each was away.
    fn apply(&mut self, who: &[usize], away: bool, act: impl Fn(&mut MemberProcess)) {
        for i in who {
            // What is seen of it lies between the two, whatever else the machine does.
            let before = self.now();
            act(&mut self.cluster.members[*i]);
            let at = if away { before } else { self.now() };
            self.invariants.set_unavailable(at, *i, away);
        }
    }

    /// Waits for members that were started; until they are ready they count as away.
    fn wait_until_ready(&mut self, who: &[usize]) {
        let ready = |cluster: &Cluster| {
            who.iter()
                .all(|i| cluster.members[*i].admin_get("/admin/health").is_some())
        };
        if self.cluster.wait(SHUTDOWN_TIMEOUT, ready).is_none() {
            let at = self.now();
            self.invariants
                .record_violation(at, "starts", format!("{who:?}: not ready in time"));
        }
        let at = self.now();
        who.iter()
            .for_each(|i| self.invariants.set_unavailable(at, *i, false));
    }

    fn restart_gracefully(&mut self, i: usize) -> Result<(), TestbedError> {
        let at = self.now();
        self.invariants.set_unavailable(at, i, true);
        self.cluster.members[i].request_shutdown();
        let ended = self.cluster.members[i].wait_for_exit(SHUTDOWN_TIMEOUT);
        if !ended.is_some_and(|status| status.success()) {
            self.invariants
                .record_violation(at, "ends", format!("n{i}: {ended:?} after SIGTERM"));
        }
        self.cluster.members[i].start()?;
        self.wait_until_ready(&[i]);
        Ok(())
    }

    fn links(&mut self, from: &[usize], to: &[usize], both: bool, faults: LinkFaults) {
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
