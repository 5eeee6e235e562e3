//! One member of the fleet. It dispatches datagrams and ticks to its protocols, each of which owns
//! its state.

mod anti_entropy;
mod context;
mod dispatch;
mod dissemination;
mod failure_detection;
mod federation;
mod foca_adapter;
mod membership_table;
mod roster;
mod send_budget;
mod shedding;
mod statistics;
mod swim;

#[cfg(test)]
pub(crate) use failure_detection::WatcherProbe;
#[cfg(test)]
pub(crate) use federation::RegionReferral;
pub use statistics::MemberStatistics;

use crate::envelope::EnvelopeScope;
use crate::fault_injection::{InjectedFault, is_injected};
use crate::metadata::{MemberMetadata, ServingPhase};
use crate::regions::announcement_store::DroppedAnnouncements;
use crate::regions::overview::RegionStatus;
use crate::regions::share_count::RegionSize;
use crate::share_count::ShareCounter;
use crate::shedding::{AdmissionCounts, SharedShedding};
use crate::{
    Identity, Location, MS, MemberView, MembershipEvent, MembershipSettings, Nanos, RegionView,
    View,
};
use anti_entropy::AntiEntropy;
use context::Context;
use dissemination::MetadataGossip;
use failure_detection::FailureDetector;
use federation::{Federation, OwnRegion};
use membership_table::{MembershipTable, UpdateScope, UpdateSources};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use send_budget::SendBudget;
use shedding::SheddingGossip;
use std::net::SocketAddr;
use swim::SwimProtocol;

/// Maximum interval between two ticks.
const TICK_INTERVAL_MAX: Nanos = 50 * MS;
/// Time without a datagram from any member after which the view is stale.
const STALE_AFTER: Nanos = 10_000 * MS;

/// One member of a fleet.
pub struct Member {
    settings: MembershipSettings,
    context: Context,
    swim: SwimProtocol,
    failure_detector: FailureDetector,
    metadata: MetadataGossip,
    anti_entropy: AntiEntropy,
    shedding: SheddingGossip,
    /// State of the federation; present if the fleet has regions.
    federation: Option<Federation>,
    table: MembershipTable,
    share_counter: ShareCounter,
    /// Share count of the whole fleet.
    share_count: usize,
    next_tick: Nanos,
    started: Nanos,
    has_left: bool,
}

impl Member {
    /// Creates a member that starts at `now`. `unix_ms`, the Unix time in milliseconds, is its
    /// first generation. Names in `metadata` that exceed their maximum length are truncated.
    #[must_use]
    pub fn new(
        settings: MembershipSettings,
        metadata: MemberMetadata,
        unix_ms: u64,
        seed: u64,
        now: Nanos,
    ) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let id = Identity {
            address: settings.address,
            generation: unix_ms,
        };
        let swim_rng = Xoshiro256PlusPlus::seed_from_u64(rng.random());
        let first_join = now + SwimProtocol::join_delay(&mut rng);
        let timing = settings.timing;
        let has_regions = !settings.location.is_none();
        let context = Context {
            now,
            rng,
            scope: EnvelopeScope::new(&settings.fleet, &settings.location.region),
            statistics: MemberStatistics::default(),
            datagrams: Vec::new(),
            events: Vec::new(),
            budget: has_regions.then(|| SendBudget::new(now)),
        };
        Member {
            context,
            swim: SwimProtocol::new(&settings, id, swim_rng, first_join),
            failure_detector: FailureDetector::new(&settings, now),
            metadata: MetadataGossip::new(&settings, id, metadata, now),
            anti_entropy: AntiEntropy::new(now),
            shedding: SheddingGossip::new(now),
            federation: Federation::new(&settings, unix_ms, now),
            table: MembershipTable::default(),
            share_counter: ShareCounter::new(timing.share_retention, timing.tombstone_retention),
            share_count: 0,
            next_tick: now,
            started: now,
            has_left: false,
            settings,
        }
    }

    /// Returns the current identity of the member.
    #[must_use]
    pub fn id(&self) -> Identity {
        self.swim.id()
    }

    /// Returns the metadata that the member publishes.
    #[must_use]
    pub fn metadata(&self) -> &MemberMetadata {
        self.metadata.own()
    }

    /// Returns the name of the fleet.
    #[must_use]
    pub fn fleet_name(&self) -> &str {
        &self.settings.fleet
    }

    /// Returns the region, zone and site of this balancer.
    #[must_use]
    pub fn location(&self) -> &Location {
        &self.settings.location
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn statistics(&self) -> MemberStatistics {
        let detector = &self.failure_detector;
        MemberStatistics {
            suspicions: detector.suspicions.started,
            confirmed_dead: detector.suspicions.confirmed_dead,
            stalls: detector.health.stalls,
            ..self.context.statistics
        }
    }

    /// Returns when the next [`Member::tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Nanos {
        self.next_tick
    }

    /// Returns the datagrams to send since the last call, each with its destination.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.context.datagrams)
    }

    /// Returns the changes of the view since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.context.events)
    }

    /// Returns the other members as this member sees them, by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.table.members()
    }

    /// Returns the delegates of this member's region, the leader first; empty if the fleet has no
    /// regions.
    #[must_use]
    pub fn delegates(&self) -> &[SocketAddr] {
        self.federation.as_ref().map_or(&[], Federation::delegates)
    }

    /// Returns the status of each other region, and for a silent region the start of its silence.
    pub fn other_regions(&self) -> impl Iterator<Item = (&RegionStatus, Option<Nanos>)> {
        self.federation.iter().flat_map(Federation::other_regions)
    }

    /// Returns the numbers of dropped announcements, and the number of invalid overview parts.
    #[must_use]
    pub fn regions_dropped(&self) -> (DroppedAnnouncements, u64) {
        let federation = self.federation.as_ref();
        federation.map_or_else(Default::default, |federation| {
            (federation.dropped(), federation.invalid_parts())
        })
    }

    /// Returns the number of announcements that this member stores as a delegate.
    #[must_use]
    pub fn announcement_count(&self) -> usize {
        self.federation
            .as_ref()
            .map_or(0, Federation::announcement_count)
    }

    /// Returns the member's view of the fleet.
    #[must_use]
    pub fn view(&self) -> View {
        let regions = self.other_regions().map(|(row, silent_since)| RegionView {
            status: row.clone(),
            silent_since,
        });
        let places_in_other_regions = self.other_regions().map(|(row, _)| row.places as usize);
        View {
            members: self.table.members().cloned().collect(),
            regions: regions.collect(),
            delegates: self.delegates().to_vec(),
            share_count: self.share_count,
            alive: self.alive(),
            places: self.share_counter.places() + places_in_other_regions.sum::<usize>(),
            isolated: self.is_isolated(),
        }
    }

    /// Returns the number of live members in all reachable regions, this one included.
    fn alive(&self) -> usize {
        let reachable = self
            .other_regions()
            .filter(|(_, silent_since)| silent_since.is_none());
        let alive_in_other_regions = reachable.map(|(row, _)| row.alive as usize);
        self.share_counter.alive() + alive_in_other_regions.sum::<usize>()
    }

    /// Returns the size of this member's region, as this member counts it.
    fn own_region_size(&self) -> RegionSize {
        let alive = self.share_counter.alive();
        RegionSize {
            alive,
            places: self.table.share_count().max(alive),
        }
    }

    fn is_isolated(&self) -> bool {
        self.swim.alive() > 0 && self.failure_detector.health.is_isolated(self.context.now)
    }

    /// Returns the number that quotas, limits and budgets are divided by. It is the configured
    /// number until another member is known. While this member is new, or receives no datagrams, it
    /// is at least the configured number, because the fleet may be larger than the part of it that
    /// this member knows.
    #[must_use]
    pub fn share_count(&self) -> usize {
        let configured = self.settings.configured_balancers.max(1);
        if !self.swim.has_joined() {
            return configured;
        }
        let now = self.context.now;
        let is_new = now.saturating_sub(self.started) < self.settings.timing.share_retention;
        let silence = now.saturating_sub(self.failure_detector.health.last_received());
        if is_new || silence > STALE_AFTER {
            self.share_count.max(configured)
        } else {
            self.share_count
        }
    }

    /// Enables shared shedding; `tiers` is the number of shedding tiers of `routing`.
    pub fn enable_shared_shedding(&mut self, tiers: usize) {
        self.shedding
            .enable(tiers, self.swim.id(), self.context.now);
    }

    /// Adds the numbers of admitted requests and of requests rejected for lack of capacity.
    pub fn add_admission_counts(&mut self, counts: AdmissionCounts) {
        if let Some(shared) = &mut self.shedding.shared {
            shared.add_counts(counts);
        }
    }

    /// Returns the shedding level; 0 if nothing is shed or shared shedding is disabled.
    #[must_use]
    pub fn shedding_level(&self) -> f64 {
        let shared = self.shedding.shared.as_ref();
        shared.map_or(0.0, SharedShedding::level)
    }

    /// Changes the metadata that the member publishes.
    pub fn update_metadata(&mut self, change: impl FnOnce(&mut MemberMetadata)) {
        self.metadata.update(&self.swim, change);
    }

    /// Applies what `foca` requested: publishes the metadata under a new generation, and schedules
    /// an earlier tick.
    fn apply_swim_results(&mut self) {
        for _ in 0..self.swim.take_rejoins() {
            self.metadata.publish(&self.swim);
        }
        if let Some(wake_up) = self.swim.take_wake_up() {
            self.next_tick = self.next_tick.min(wake_up);
        }
    }

    /// Performs all actions that are due, and schedules the next tick.
    pub fn tick(&mut self, now: Nanos) {
        let now = self.context.now.max(now);
        self.context.now = now;
        if self.has_left {
            self.next_tick = now + TICK_INTERVAL_MAX;
            return;
        }
        if self.failure_detector.health.begin_tick(now) {
            self.context.events.push(MembershipEvent::Stalled);
            self.failure_detector.restart(now);
            self.swim.restart_timers(now);
        }
        self.tick_membership();
        self.metadata.tick(&mut self.context, &self.swim);
        self.update_table();
        self.tick_federation();
        self.update_share_count();
        self.anti_entropy.tick(&mut self.context, &self.swim);
        self.shedding
            .tick(&mut self.context, &self.swim, &self.table);
        self.apply_swim_results();
        let next_due = self.swim.next_due();
        self.next_tick = next_due.clamp(now + MS, now + TICK_INTERVAL_MAX);
        self.failure_detector.health.schedule_tick(self.next_tick);
    }

    /// Runs SWIM, failure detection and joins.
    fn tick_membership(&mut self) {
        let Member { context, swim, .. } = self;
        swim.handle_timers(context);
        self.failure_detector.tick(context, swim);
        let federation = self.federation.as_ref();
        swim.join(context, |address| {
            federation.is_some_and(|federation| federation.is_foreign_join_address(address))
        });
        swim.announce_to_assigned_dead(context);
        swim.gossip_early(context);
        self.apply_swim_results();
    }

    /// Updates the table from changes of membership and metadata, and then the state that depends
    /// on it.
    fn update_table(&mut self) {
        self.swim.update_has_joined();
        self.swim.refreshed_roster();
        let scope = self.table.update(UpdateSources {
            now: self.context.now,
            swim: &self.swim,
            metadata: &mut self.metadata.store,
            share_counter: &mut self.share_counter,
            events: &mut self.context.events,
        });
        let places = u16::try_from(self.share_counter.places()).unwrap_or(u16::MAX);
        if places != self.metadata.own().places {
            self.update_metadata(|metadata| metadata.places = places);
        }
        if scope == UpdateScope::Full {
            let table = &self.table;
            self.swim.update_tracked(table.dead());
            self.failure_detector
                .retain(|address| table.contains(address));
            let own_address = self.settings.address;
            self.metadata
                .store
                .retain(|address| address == own_address || table.contains(&address));
            self.anti_entropy
                .update_digest(self.context.now, &self.swim, &self.metadata.store);
        }
    }

    fn tick_federation(&mut self) {
        let size = self.own_region_size();
        if let Some(federation) = &mut self.federation {
            let mut own_region = OwnRegion {
                swim: &mut self.swim,
                table: &self.table,
                metadata: self.metadata.own(),
                size,
            };
            federation.tick(&mut self.context, &mut own_region);
        }
    }

    /// Counts the balancers of the whole fleet, and reports a change.
    fn update_share_count(&mut self) {
        let size = self.own_region_size();
        let previous = self.share_count;
        self.share_count = match &mut self.federation {
            Some(federation) => federation.share_count(self.context.now, size),
            None => self.table.share_count(),
        };
        if self.share_count != previous {
            let event = MembershipEvent::ShareCountChanged {
                previous,
                current: self.share_count,
                alive: self.alive(),
            };
            self.context.events.push(event);
        }
    }

    /// Leaves the fleet gracefully. The member ignores datagrams from then on; the caller must
    /// still send the last datagrams of [`Member::take_datagrams`].
    pub fn leave(&mut self, now: Nanos) {
        self.context.now = self.context.now.max(now);
        if self.has_left {
            return;
        }
        self.has_left = true;
        if is_injected(InjectedFault::LeavesSilently) {
            return;
        }
        self.update_metadata(|metadata| metadata.phase = ServingPhase::Leaving);
        self.metadata.broadcast_leave(&mut self.context, &self.swim);
        self.swim.leave(&mut self.context);
        self.apply_swim_results();
    }
}
