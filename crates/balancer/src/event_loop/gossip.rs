//! Fleet membership: the event loop drives the gossip transport and passes two values of the fleet
//! to the engine, the number of balancers that shares are divided by and the shedding level.

use super::{EventLoop, StartupError};
use crate::config::settings_checksum;
use crate::gossip::{GossipOptions, GossipTransport};
use crate::timers::TimerKind;
use membership::{MemberMetadata, ServingPhase};
use routing::{Event, Nanos};

impl EventLoop {
    /// Joins the fleet, if one is configured.
    pub(super) fn join_fleet(&mut self, now: Nanos) -> Result<(), StartupError> {
        let Some(config) = &self.config.fleet else {
            return Ok(());
        };
        let options = GossipOptions {
            config,
            metadata: self.metadata(),
            configured_balancers: self.config.settings.balancers,
            seed: self.config.seed,
            may_share_address: self.config.socket_fd.is_some(),
        };
        let mut gossip = GossipTransport::open(&self.poll, options, now).map_err(|source| {
            StartupError::Gossip {
                address: config.bind,
                source,
            }
        })?;
        if config.shed_together {
            gossip.enable_shared_shedding(self.config.settings.tiers());
        }
        self.gossip = Some(gossip);
        self.timers.set(now, TimerKind::Gossip);
        Ok(())
    }

    /// Returns the metadata that this balancer announces to other members at its start.
    fn metadata(&self) -> MemberMetadata {
        MemberMetadata {
            name: self.config.name.clone(),
            listen_address: self.listener.address().unwrap_or(self.config.listen),
            phase: ServingPhase::Joining,
            build: env!("CARGO_PKG_VERSION").into(),
            // Balancers of one fleet have different names and addresses, but equal settings.
            config_checksum: settings_checksum(&self.config.settings),
            request_rate_tenths: 0,
            places: 1,
            extension: Vec::new(),
        }
    }

    pub(super) fn run_gossip_turn(&mut self, now: Nanos) {
        let Some(gossip) = &mut self.gossip else {
            return;
        };
        gossip.add_admission_counts(self.engine.take_admission_counts());
        if let Some(balancers) = gossip.tick(now, &self.lifecycle, self.counters.requests) {
            self.pending_events.push(Event::BalancerCount(balancers));
        }
        self.pending_events
            .extend(gossip.shedding_change(now).map(Event::FleetShedding));
        self.timers.set(gossip.next_tick(), TimerKind::Gossip);
    }

    pub(super) fn receive_gossip(&mut self, now: Nanos) {
        if let Some(gossip) = &mut self.gossip {
            gossip.handle_ready(now);
        }
    }

    pub(super) fn leave_fleet(&mut self) {
        let now = self.clock.now();
        if let Some(gossip) = &mut self.gossip {
            gossip.leave(now);
        }
    }
}
