//! One member: datagrams and time in; datagrams, wake-ups and changes of the view out.

mod anti_entropy;
mod dissemination;
mod failure_detection;
mod federation;
mod membership_table;
mod region_delegate;
mod region_overview;
mod roster;
mod send_budget;
mod statistics;
mod swim;

use crate::anti_entropy::{Pace, Sums};
use crate::envelope::{self, EnvelopeError, EnvelopeScope, MessageKind};
use crate::health::Health;
use crate::heartbeat::Watch;
use crate::identity::{Held, Named, Wire};
use crate::metadata::{MemberMetadata, MetadataRecord, MetadataStore};
use crate::share_count::Count;
use crate::shedding::SharedShedding;
use crate::suspicion::Suspicions;
use crate::{Identity, MS, MemberView, MembershipEvent, MembershipSettings, Nanos, View};
#[cfg(test)]
pub(crate) use failure_detection::Ask;
use federation::Regional;
use foca::{Foca, Timer};
use membership_table::{Sources, Table};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
#[cfg(test)]
pub(crate) use region_delegate::Referral;
use roster::Roster;
use send_budget::Budget;
pub use statistics::MemberStatistics;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use swim::Swim;

/// A member wakes at least this often.
const TURN: Nanos = 50 * MS;
/// Without a word from anybody for this long the view is stale.
const STALE: Nanos = 10_000 * MS;

/// One member of a fleet.
pub struct Member {
    settings: MembershipSettings,
    numbers: EnvelopeScope,
    swim: Swim,
    roster: Roster,
    named: Named,
    held: Held,
    /// What `foca` wants to be woken for; at most a handful, and one for each dead member.
    timers: BTreeMap<(Nanos, u64), Timer<Identity>>,
    set: u64,
    suspicions: Suspicions,
    watch: Watch,
    health: Health,
    records: MetadataStore,
    own: MetadataRecord,
    count: Count,
    table: Table,
    /// When each member was last heard itself.
    heard: BTreeMap<SocketAddr, Nanos>,
    rng: Xoshiro256PlusPlus,
    gossip: Nanos,
    round: Nanos,
    /// What it holds, summed up at the last look.
    sums: Sums,
    pace: Pace,
    /// The level that all shed load by, where it is agreed on, and when it is told again.
    overload: Option<SharedShedding>,
    tell_load: Nanos,
    /// A death came in: it is passed on at once, from then on.
    pass_on: Option<Nanos>,
    passed_on: Nanos,
    join: (Nanos, Nanos),
    leapt: Nanos,
    ask_dead_due: Nanos,
    next_tick: Nanos,
    now: Nanos,
    started: Nanos,
    met: bool,
    gone: bool,
    outputs: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<MembershipEvent>,
    statistics: MemberStatistics,
    /// The other regions, where the fleet has regions.
    regional: Option<Regional>,
    /// What it sends at most, where the fleet has regions.
    budget: Option<Budget>,
    /// By how many the whole fleet's shares are divided.
    total: usize,
}

impl Member {
    /// A member that starts at `now`, which is also its first generation if the clock is Unix time: `unix_ms` is that in
    /// milliseconds. `soft` is what it tells of itself; names that are too long are cut.
    pub fn new(
        settings: MembershipSettings,
        soft: MemberMetadata,
        unix_ms: u64,
        seed: u64,
        now: Nanos,
    ) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let id = Identity {
            address: settings.address,
            generation: unix_ms,
        };
        let (named, held) = (Named::default(), Held::default());
        let wire = Wire::new(
            settings.address,
            named.clone(),
            held.clone(),
            settings.members_max,
        );
        let swim_rng = Xoshiro256PlusPlus::seed_from_u64(rng.random());
        let mut own = MetadataRecord {
            member: id,
            version: 1,
            metadata: dissemination::bounded(soft),
        };
        if !settings.location.is_none() {
            own.metadata.extension = settings.location.encode();
        }
        let timing = settings.timing;
        let mut records = MetadataStore::new(own.clone());
        if !settings.location.is_none() {
            records.bound_rumours(swim::RUMOURS_IN_REGIONS);
        }
        let join_delay = rng.random_range(0..swim::JOIN_FIRST / 2);
        Member {
            numbers: EnvelopeScope::new(&settings.fleet, &settings.location.region),
            regional: Regional::new(&settings, unix_ms, now),
            swim: Foca::new(id, swim::config(&settings), swim_rng, wire),
            roster: Roster::new(),
            named,
            held,
            timers: BTreeMap::new(),
            set: 0,
            suspicions: Suspicions::new(timing.suspicion_timeout),
            watch: Watch::new(settings.address),
            health: Health::new(now),
            records,
            own,
            count: Count::new(timing.share_retention, timing.tombstone_retention),
            table: Table::default(),
            heard: BTreeMap::new(),
            rng,
            gossip: now,
            round: now,
            sums: Sums::default(),
            pace: Pace::new(now),
            overload: None,
            tell_load: now,
            pass_on: None,
            passed_on: 0,
            // All of a fleet that start at once don't ask in step.
            join: (now + join_delay, swim::JOIN_FIRST),
            leapt: 0,
            ask_dead_due: now + join_delay,
            next_tick: now,
            now,
            started: now,
            met: false,
            gone: false,
            outputs: Vec::new(),
            changes: Vec::new(),
            statistics: MemberStatistics::default(),
            budget: (!settings.location.is_none()).then(|| Budget::new(now)),
            total: 0,
            settings,
        }
    }

    /// Who it is now.
    pub fn id(&self) -> Identity {
        *self.swim.identity()
    }

    /// What it tells of itself.
    pub fn metadata(&self) -> &MemberMetadata {
        &self.own.metadata
    }

    /// The fleet's name.
    pub fn fleet_name(&self) -> &str {
        &self.settings.fleet
    }

    /// Datagrams since the start.
    pub fn statistics(&self) -> MemberStatistics {
        MemberStatistics {
            suspicions: self.suspicions.begun,
            confirmed_dead: self.suspicions.given_up,
            stalls: self.health.gaps,
            ..self.statistics
        }
    }

    /// When it wants its next [`Member::turn`].
    pub fn next_tick(&self) -> Nanos {
        self.next_tick
    }

    /// Datagrams that are to be sent, since the last call.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outputs)
    }

    /// Changes of the view, since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.changes)
    }

    /// The others as it sees them, by address.
    pub fn members(&self) -> impl Iterator<Item = &MemberView> {
        self.table.members()
    }

    /// What it sees.
    pub fn view(&self) -> View {
        View {
            members: self.table.members().cloned().collect(),
            regions: self.regions_seen(),
            delegates: self.delegates().to_vec(),
            share_count: self.total,
            alive: self.count.living() + self.living_elsewhere(),
            places: self.count.places() + self.places_elsewhere(),
            isolated: self.is_cut_off(),
        }
    }

    fn is_cut_off(&self) -> bool {
        self.swim.num_members() > 0 && self.health.is_cut_off(self.now)
    }

    /// By how many shares are divided: the count while somebody was heard lately; before the first meeting the settings'
    /// figure; the greater of both in a member's first seconds (as long as a place is held), when it has not met all, and
    /// once nobody is heard for 10 s, since either may be far too small for a fleet that goes on elsewhere.
    pub fn share_count(&self) -> usize {
        let configured = self.settings.configured_balancers.max(1);
        if !self.met {
            return configured;
        }
        let count = self.total;
        let new = self.now.saturating_sub(self.started) < self.settings.timing.share_retention;
        let stale = self.now.saturating_sub(self.health.last_heard()) > STALE;
        if new || stale {
            count.max(configured)
        } else {
            count
        }
    }

    /// Takes a datagram in. Whatever is in it, it is counted and never ends the member.
    pub fn receive(&mut self, now: Nanos, from: SocketAddr, datagram: &[u8]) {
        self.now = self.now.max(now);
        self.statistics.received += 1;
        self.statistics.received_bytes += datagram.len() as u64;
        let (kind, payload) = match envelope::open(self.numbers, datagram) {
            Ok(opened) => opened,
            Err(EnvelopeError::Corrupt) => return self.statistics.corrupt += 1,
            Err(EnvelopeError::Foreign) => return self.statistics.foreign += 1,
            Err(EnvelopeError::UnsupportedVersion) => {
                return self.statistics.unsupported_version += 1;
            }
        };
        if self.gone {
            return;
        }
        let taken = match kind {
            MessageKind::Swim => self.take_swim(from, payload),
            MessageKind::MetadataRecords => self.take_records(payload),
            MessageKind::MetadataRequest => self.take_want(from, payload),
            MessageKind::MemberListDigest => self.take_compare(from, payload),
            MessageKind::MemberListDelta => self.take_told(from, payload),
            MessageKind::LevelReports => self.take_load(payload),
            MessageKind::WatcherProbe => self.take_ask(payload),
            // That it came is all it says.
            MessageKind::Heartbeat => postcard::from_bytes::<Identity>(payload).is_ok(),
            MessageKind::RegionDigest => self.take_region_question(from, payload),
            MessageKind::RegionDelta => self.take_region_answer(from, payload),
            MessageKind::RegionAnnouncements => self.take_region_news(payload),
            MessageKind::RegionReferral => self.take_region_referral(from, payload),
            MessageKind::Overview => self.take_overview(from, payload),
            MessageKind::OverviewDigest => self.take_overview_question(from, payload),
        };
        if !taken {
            return self.statistics.malformed += 1;
        }
        if self.is_cut_off() {
            // The silence was its own.
            self.suspicions.begin_anew(self.now);
            self.watch.begin_anew(self.now);
        }
        self.health.heard(self.now);
        if self.table.knows(&from) {
            self.heard.insert(from, self.now);
        }
    }

    /// A turn of the member's own clock: what is due is done.
    pub fn tick(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        if self.gone {
            self.next_tick = self.now + TURN;
            return;
        }
        if self.health.turn(self.now) {
            self.changes.push(MembershipEvent::Stalled);
            self.begin_anew();
        }
        self.swim_timers();
        self.listen();
        self.join();
        self.ask_drawn_dead();
        self.pass_on();
        self.spread();
        self.look();
        self.regional();
        self.recount();
        self.compare();
        self.shed();
        let next = self
            .timers
            .first_key_value()
            .map_or(Nanos::MAX, |((at, _), _)| *at);
        let pass_on = self.pass_on.unwrap_or(Nanos::MAX);
        self.next_tick = next.min(pass_on).clamp(self.now + MS, self.now + TURN);
        self.health.expect(self.next_tick);
    }

    /// Compares what `foca` and the records say with what was seen before.
    fn look(&mut self) {
        self.met |= self.swim.num_members() > 0;
        self.roster.refresh(&self.swim);
        let own = self.id();
        let Member {
            now,
            swim,
            records,
            count,
            ..
        } = self;
        let sources = Sources {
            now: *now,
            own,
            swim,
            records,
            count,
        };
        self.table
            .look(self.roster.mark(), sources, &mut self.changes);
        let places = self.count.places().min(usize::from(u16::MAX)) as u16;
        if places != self.own.metadata.places {
            self.update_metadata(|soft| soft.places = places);
        }
        if self.table.turned() {
            self.held
                .set(self.swim.iter_membership_state().map(|m| m.id().address));
            let table = &self.table;
            self.heard.retain(|address, _| table.knows(address));
            let own = self.settings.address;
            self.records
                .retain(|address| address == own || table.knows(&address));
            let sums = Sums::of(self.entries());
            if sums != self.sums {
                self.sums = sums;
                self.pace.stir(self.now);
            }
        }
    }

    /// By how many shares are divided in the whole fleet.
    fn recount(&mut self) {
        let was = self.total;
        self.total = self.total_count();
        if self.total != was {
            let living = self.count.living() + self.living_elsewhere();
            self.changes.push(MembershipEvent::ShareCountChanged {
                was,
                is: self.total,
                alive: living,
            });
        }
    }

    /// Whether rumours and comparisons may be sent now; without regions always.
    fn may_send(&mut self) -> bool {
        let allowed = self
            .budget
            .as_mut()
            .is_none_or(|budget| budget.allows(self.now));
        self.statistics.deferred += u64::from(!allowed);
        allowed
    }

    fn send(&mut self, to: SocketAddr, kind: MessageKind, payload: &[u8]) {
        let datagram = envelope::seal(self.numbers, kind, payload);
        self.statistics.sent += 1;
        self.statistics.sent_bytes += datagram.len() as u64;
        if let Some(budget) = &mut self.budget {
            budget.spend(datagram.len());
        }
        self.outputs.push((to, datagram));
    }
}
