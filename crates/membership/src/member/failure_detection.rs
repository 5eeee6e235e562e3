//! Failure detection at one member: heartbeats, probes by watchers, suspicions and refutations.

use super::context::Context;
use super::swim::SwimProtocol;
use crate::envelope::MessageKind;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::heartbeat::{HeartbeatAction, HeartbeatMonitor};
use crate::local_health::LocalHealth;
use crate::payload::{PayloadError, decode};
use crate::suspicion::{Suspect, SuspicionAction, SuspicionTimers};
use crate::{Identity, MembershipSettings, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A probe by a watcher.
#[derive(Serialize, Deserialize)]
pub(crate) struct WatcherProbe {
    pub(crate) by: Identity,
    /// Without a suspect a heartbeat is the answer.
    pub(crate) suspect: Option<Suspect>,
}

/// The failure detector of one member.
pub(super) struct FailureDetector {
    monitor: HeartbeatMonitor,
    pub(super) suspicions: SuspicionTimers,
    pub(super) health: LocalHealth,
    /// When each member was last heard directly.
    last_heard: BTreeMap<SocketAddr, Nanos>,
}

impl FailureDetector {
    pub(super) fn new(settings: &MembershipSettings, now: Nanos) -> Self {
        FailureDetector {
            monitor: HeartbeatMonitor::new(settings.address),
            suspicions: SuspicionTimers::new(settings.timing.suspicion_timeout),
            health: LocalHealth::new(now),
            last_heard: BTreeMap::new(),
        }
    }

    /// Silence counts from now on: this member itself stalled or was isolated.
    pub(super) fn restart(&mut self, now: Nanos) {
        self.suspicions.restart(now);
        self.monitor.restart(now);
    }

    pub(super) fn record_heard(&mut self, now: Nanos, member: SocketAddr) {
        self.last_heard.insert(member, now);
    }

    pub(super) fn last_heard(&self, member: &SocketAddr) -> Option<Nanos> {
        self.last_heard.get(member).copied()
    }

    /// Forgets members that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&SocketAddr) -> bool) {
        self.last_heard.retain(|address, _| is_known(address));
    }

    /// Answers the probe of a watcher. A suspect refutes.
    pub(super) fn receive_probe(
        &self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let probe: WatcherProbe = decode(payload)?;
        let own = swim.id();
        if probe.by.address == own.address {
            return Ok(());
        }
        let Some(suspect) = probe.suspect else {
            context.send_message(probe.by.address, MessageKind::Heartbeat, &own);
            return Ok(());
        };
        if suspect.id == own && !is_injected(InjectedFault::NeverRefutes) {
            let suspicion =
                foca::Member::new(suspect.id, suspect.incarnation, foca::State::Suspect);
            swim.refute(context, suspicion, probe.by);
        }
        Ok(())
    }

    /// Sends heartbeats and probes, and declares members suspect or dead.
    pub(super) fn tick(&mut self, context: &mut Context, swim: &mut SwimProtocol) {
        let now = context.now;
        let roster = swim.refreshed_roster();
        let suspects = roster.suspects();
        self.monitor.draw(now, roster.alive(), |address| {
            suspects.contains_key(&address)
        });
        self.suspicions.update(now, suspects);
        let last_heard = |address| self.last_heard.get(&address).copied().unwrap_or(0);
        let policy = self.health.suspicion_policy(now);
        let monitor_actions = self.monitor.due(now, policy, last_heard);
        let watches = |address| self.monitor.watches(address);
        let suspicion_actions = self.suspicions.due(now, policy, watches, last_heard);
        for action in monitor_actions {
            match action {
                HeartbeatAction::SendHeartbeat(to) => {
                    context.send_message(to, MessageKind::Heartbeat, &swim.id());
                }
                // Suspects are probed below.
                HeartbeatAction::Probe(of) if swim.roster().suspects().contains_key(&of) => {}
                HeartbeatAction::Probe(of) => send_probe(context, swim, of, None),
                HeartbeatAction::Suspect(of) => swim.declare(context, of, foca::State::Suspect),
            }
        }
        for action in suspicion_actions {
            match action {
                SuspicionAction::Probe(suspect) => {
                    send_probe(context, swim, suspect.id.address, Some(suspect));
                }
                SuspicionAction::ConfirmDead(suspect) => {
                    swim.declare(context, suspect.id.address, foca::State::Down);
                }
            }
        }
    }
}

fn send_probe(
    context: &mut Context,
    swim: &SwimProtocol,
    to: SocketAddr,
    suspect: Option<Suspect>,
) {
    let by = swim.id();
    context.statistics.watcher_probes += 1;
    context.send_message(to, MessageKind::WatcherProbe, &WatcherProbe { by, suspect });
}
