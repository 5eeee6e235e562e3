//! One member: dispatches datagrams and ticks to its protocols, each of which owns its state.

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
use membership_table::{MembershipTable, Sources, UpdateScope};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use send_budget::SendBudget;
use shedding::SheddingGossip;
use std::net::SocketAddr;
use swim::SwimProtocol;

/// The longest time between two ticks.
const TICK_INTERVAL_MAX: Nanos = 50 * MS;
/// The view is stale after this long without a datagram of any member.
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
    /// Where the fleet has regions.
    federation: Option<Federation>,
    table: MembershipTable,
    share_counter: ShareCounter,
    /// The share count of the whole fleet.
    share_count: usize,
    next_tick: Nanos,
    started: Nanos,
    has_left: bool,
}

impl Member {
    /// A member that starts at `now`. `unix_ms`, the Unix time in milliseconds, is its first
    /// generation. Names in `metadata` that are too long are truncated.
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

    /// Its identity now.
    #[must_use]
    pub fn id(&self) -> Identity {
        self.swim.id()
    }

    /// The metadata that it publishes.
    #[must_use]
    pub fn metadata(&self) -> &MemberMetadata {
        self.metadata.own()
    }

    /// The fleet's name.
    #[must_use]
    pub fn fleet_name(&self) -> &str {
        &self.settings.fleet
    }

    /// Where this balancer runs.
    #[must_use]
    pub fn location(&self) -> &Location {
        &self.settings.location
    }

    /// Counters since the start.
    #[must_use]
    pub fn statistics(&self) -> MemberStatistics {
        let detector = &self.failure_detector;
        MemberStatistics {
            suspicions: detector.suspicions.begun,
            confirmed_dead: detector.suspicions.confirmed_dead,
            stalls: detector.health.stalls,
            ..self.context.statistics
        }
    }

    /// When the next [`Member::tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Nanos {
        self.next_tick
    }

    /// The datagrams to send since the last call.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.context.datagrams)
    }

    /// The changes of the view since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.context.events)
    }

    /// The other members as it sees them, by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.table.members()
    }

    /// The delegates of the own region, the leader first; empty where there are no regions.
    #[must_use]
    pub fn delegates(&self) -> &[SocketAddr] {
        self.federation.as_ref().map_or(&[], Federation::delegates)
    }

    /// The other regions by the overview, and since when a silent one has been silent.
    pub fn other_regions(&self) -> impl Iterator<Item = (&RegionStatus, Option<Nanos>)> {
        self.federation.iter().flat_map(Federation::other_regions)
    }

    /// Announcements that were dropped, and parts of the overview that were unsound.
    #[must_use]
    pub fn regions_dropped(&self) -> (DroppedAnnouncements, u64) {
        let federation = self.federation.as_ref();
        federation.map_or_else(Default::default, |federation| {
            (federation.dropped(), federation.unsound_parts())
        })
    }

    /// The number of announcements that it stores as a delegate.
    #[must_use]
    pub fn announcement_count(&self) -> usize {
        self.federation
            .as_ref()
            .map_or(0, Federation::announcements)
    }

    /// Its view of the fleet.
    #[must_use]
    pub fn view(&self) -> View {
        let regions = self.other_regions().map(|(row, silent_since)| RegionView {
            status: row.clone(),
            silent_since,
        });
        let places_elsewhere = self.other_regions().map(|(row, _)| row.places as usize);
        View {
            members: self.table.members().cloned().collect(),
            regions: regions.collect(),
            delegates: self.delegates().to_vec(),
            share_count: self.share_count,
            alive: self.alive(),
            places: self.share_counter.places() + places_elsewhere.sum::<usize>(),
            isolated: self.is_isolated(),
        }
    }

    /// Live members in all reachable regions, this one included.
    fn alive(&self) -> usize {
        let reachable = self
            .other_regions()
            .filter(|(_, silent_since)| silent_since.is_none());
        let elsewhere = reachable.map(|(row, _)| row.alive as usize);
        self.share_counter.alive() + elsewhere.sum::<usize>()
    }

    /// The size of the own region, as this member counts it.
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

    /// The number that shares are divided by. Before any other member is known it is the configured
    /// number; while this member is new, or hears nobody, at least that: the fleet may be larger
    /// than what it has met.
    #[must_use]
    pub fn share_count(&self) -> usize {
        let configured = self.settings.configured_balancers.max(1);
        if !self.swim.has_met() {
            return configured;
        }
        let now = self.context.now;
        let is_new = now.saturating_sub(self.started) < self.settings.timing.share_retention;
        let silence = now.saturating_sub(self.failure_detector.health.last_heard());
        if is_new || silence > STALE_AFTER {
            self.share_count.max(configured)
        } else {
            self.share_count
        }
    }

    /// Enables shared shedding; `tiers` is how many tiers `routing` has.
    pub fn enable_shared_shedding(&mut self, tiers: usize) {
        self.shedding
            .enable(tiers, self.swim.id(), self.context.now);
    }

    /// Adds counts of admitted requests and of those rejected for capacity.
    pub fn add_admission_counts(&mut self, counts: AdmissionCounts) {
        if let Some(shared) = &mut self.shedding.shared {
            shared.add_counts(counts);
        }
    }

    /// The shedding level; 0 where nothing is shed or shared shedding is not enabled.
    #[must_use]
    pub fn shedding_level(&self) -> f64 {
        let shared = self.shedding.shared.as_ref();
        shared.map_or(0.0, SharedShedding::level)
    }

    /// Changes the metadata that it publishes.
    pub fn update_metadata(&mut self, change: impl FnOnce(&mut MemberMetadata)) {
        self.metadata.update(&self.swim, change);
    }

    /// Takes over what `foca` asked for: a new generation is published, and an earlier tick is
    /// scheduled.
    fn after_swim(&mut self) {
        for _ in 0..self.swim.take_rejoins() {
            self.metadata.publish(&self.swim);
        }
        if let Some(wake_up) = self.swim.take_wake_up() {
            self.next_tick = self.next_tick.min(wake_up);
        }
    }

    /// Does what is due, and schedules the next tick.
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
        self.after_swim();
        let next_due = self.swim.next_due();
        self.next_tick = next_due.clamp(now + MS, now + TICK_INTERVAL_MAX);
        self.failure_detector.health.schedule_tick(self.next_tick);
    }

    /// SWIM, failure detection and joins.
    fn tick_membership(&mut self) {
        let Member { context, swim, .. } = self;
        swim.handle_timers(context);
        self.failure_detector.tick(context, swim);
        let federation = self.federation.as_ref();
        swim.join(context, |address| {
            federation.is_some_and(|federation| federation.is_foreign_join_address(address))
        });
        swim.announce_to_drawn_dead(context);
        swim.gossip_early(context);
        self.after_swim();
    }

    /// Takes over changes of membership and metadata into the table, and what depends on it.
    fn update_table(&mut self) {
        self.swim.update_has_met();
        self.swim.refreshed_roster();
        let scope = self.table.update(Sources {
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
            self.swim.update_known(table.dead());
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

    /// Counts the balancers of the whole fleet.
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

    /// Leaves the fleet gracefully. The member reads nothing from then on; its last datagrams are
    /// to be sent.
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
        self.after_swim();
    }
}
