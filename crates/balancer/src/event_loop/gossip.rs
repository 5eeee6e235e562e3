//! The loop's part in the fleet's talk: it feeds it, hears it, and tells the module by how many shares are divided.

use super::EventLoop;
use crate::gossip::GossipTransport;
use crate::timers::TimerKind;
use membership::{MemberMetadata, ServingPhase};
use routing::{Event, Nanos};
use xxhash_rust::xxh3::xxh3_64;

impl EventLoop {
    /// Begins the talk, where the configuration has the key.
    pub(super) fn join_fleet(&mut self, now: Nanos) -> Result<(), String> {
        let Some(config) = &self.config.fleet else {
            return Ok(());
        };
        let door = self.listener.address().unwrap_or(self.config.listen);
        // Balancers of one fleet differ in their names and addresses, and in nothing of the settings.
        let checksum = xxh3_64(format!("{:?}", self.config.settings).as_bytes());
        let soft = MemberMetadata {
            name: self.config.name.clone(),
            listen_address: door,
            phase: ServingPhase::Joining,
            build: env!("CARGO_PKG_VERSION").into(),
            config_checksum: checksum,
            request_rate_tenths: 0,
            places: 1,
            extension: Vec::new(),
        };
        let routers = self.config.settings.balancers;
        let beside = self.config.socket_fd.is_some();
        let tiers = self.config.settings.tiers();
        let mut fleet = GossipTransport::open(
            &self.poll,
            config,
            soft,
            routers,
            self.config.seed,
            now,
            beside,
        )
        .map_err(|e| format!("configuration: fleet.bind: {}: {e}", config.bind))?;
        if config.shed_together {
            fleet.share_overload(tiers);
        }
        self.gossip = Some(fleet);
        self.timers.set(now, TimerKind::Gossip);
        Ok(())
    }

    pub(super) fn run_gossip_turn(&mut self, now: Nanos) {
        let Some(fleet) = &mut self.gossip else {
            return;
        };
        fleet.count(self.engine.take_tally());
        if let Some(routers) = fleet.turn(now, &self.lifecycle, self.counters.taken) {
            self.pending_events.push(Event::BalancerCount(routers));
        }
        self.pending_events
            .extend(fleet.allowance(now).map(Event::FleetShedding));
        self.timers.set(fleet.due(), TimerKind::Gossip);
    }

    pub(super) fn receive_gossip(&mut self, now: Nanos) {
        if let Some(fleet) = &mut self.gossip {
            fleet.ready(now);
        }
    }

    pub(super) fn leave_fleet(&mut self) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.gossip {
            fleet.leave(now);
        }
    }
}
