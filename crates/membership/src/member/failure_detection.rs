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

/// Probe sent by a watcher.
#[derive(Serialize, Deserialize)]
pub(crate) struct WatcherProbe {
    pub(crate) sender: Identity,
    /// Suspect that the probed member may refute. If absent, the answer is a heartbeat.
    pub(crate) suspect: Option<Suspect>,
}

/// Failure detector of one member.
pub(super) struct FailureDetector {
    monitor: HeartbeatMonitor,
    pub(super) suspicions: SuspicionTimers,
    pub(super) health: LocalHealth,
    /// Time of the last datagram received directly from each member.
    last_received: BTreeMap<SocketAddr, Nanos>,
}

impl FailureDetector {
    pub(super) fn new(settings: &MembershipSettings, now: Nanos) -> Self {
        FailureDetector {
            monitor: HeartbeatMonitor::new(settings.address),
            suspicions: SuspicionTimers::new(settings.timing.suspicion_timeout),
            health: LocalHealth::new(now),
            last_received: BTreeMap::new(),
        }
    }

    /// Restarts the counting of silence after a stall or isolation of this member.
    pub(super) fn restart(&mut self, now: Nanos) {
        self.suspicions.restart(now);
        self.monitor.restart(now);
    }

    pub(super) fn record_received(&mut self, now: Nanos, member: SocketAddr) {
        self.last_received.insert(member, now);
    }

    pub(super) fn last_received(&self, member: &SocketAddr) -> Option<Nanos> {
        self.last_received.get(member).copied()
    }

    /// Removes members that are no longer tracked.
    pub(super) fn retain(&mut self, is_tracked: impl Fn(&SocketAddr) -> bool) {
        self.last_received.retain(|address, _| is_tracked(address));
    }

    /// Answers the probe of a watcher; a suspected member refutes.
    pub(super) fn receive_probe(
        &self,
        context: &mut Context,
        swim: &mut SwimProtocol,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let probe: WatcherProbe = decode(payload)?;
        let own = swim.id();
        if probe.sender.address == own.address {
            return Ok(());
        }
        let Some(suspect) = probe.suspect else {
            context.send_message(probe.sender.address, MessageKind::Heartbeat, &own);
            return Ok(());
        };
        if suspect.id == own && !is_injected(InjectedFault::NeverRefutes) {
            let suspicion =
                foca::Member::new(suspect.id, suspect.incarnation, foca::State::Suspect);
            swim.refute(context, suspicion, probe.sender);
        }
        Ok(())
    }

    /// Sends the heartbeats and probes that are due, and declares members suspect or dead.
    pub(super) fn tick(&mut self, context: &mut Context, swim: &mut SwimProtocol) {
        let now = context.now;
        let roster = swim.refreshed_roster();
        let suspects = roster.suspects();
        self.monitor
            .update_selection(now, roster.alive(), |address| {
                suspects.contains_key(&address)
            });
        self.suspicions.update(now, suspects);
        let last_received = |address| self.last_received.get(&address).copied().unwrap_or(0);
        let policy = self.health.suspicion_policy(now);
        let monitor_actions = self.monitor.due(now, policy, last_received);
        let watches = |address| self.monitor.watches(address);
        let suspicion_actions = self.suspicions.due(now, policy, watches, last_received);
        for action in monitor_actions {
            match action {
                HeartbeatAction::SendHeartbeat(to) => {
                    context.send_message(to, MessageKind::Heartbeat, &swim.id());
                }
                // Suspects are probed by their suspicion timers below.
                HeartbeatAction::Probe(to) if swim.roster().suspects().contains_key(&to) => {}
                HeartbeatAction::Probe(to) => send_probe(context, swim, to, None),
                HeartbeatAction::Suspect(address) => {
                    swim.declare(context, address, foca::State::Suspect);
                }
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
    let sender = swim.id();
    context.statistics.watcher_probes += 1;
    context.send_message(
        to,
        MessageKind::WatcherProbe,
        &WatcherProbe { sender, suspect },
    );
}
