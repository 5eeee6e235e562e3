//! One member: datagrams and time in; datagrams, wake-ups and changes of the view out.

mod agree;
mod table;

use crate::compare::{Pace, Sums};
use crate::count::Count;
use crate::envelope::{self, Kind, Refusal};
use crate::health::Health;
use crate::identity::{Held, Named, Wire};
use crate::overload::Overload;
use crate::planted::{self, Fault};
use crate::records::{BUILD_MAX, EXTRA_MAX, NAME_MAX, Phase, Record, Records, Soft, cut};
use crate::suspicion::{self, Suspicions};
use crate::watch::{self, Watch};
use crate::{Change, FleetSettings, Identity, MS, Nanos, Seen, State, View};
use foca::{Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, Timer};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;
use table::Table;

/// A member wakes at least this often.
const TURN: Nanos = 50 * MS;
/// News is passed on this often, to so many members.
const GOSSIP: Nanos = 100 * MS;
const GOSSIP_TO: usize = 3;
/// A death is passed on at once, yet at most this often.
const PASS_ON: Nanos = 20 * MS;
/// Records that are no news are told once more this often, to one member.
const ROUND: Nanos = 500 * MS;
/// Members believed dead are asked this often, so many at a time: a healed split settles by it.
const ASK_DEAD: Nanos = 500 * MS;
const ASK_DEAD_OF: usize = 3;
/// So many of them are asked at once by who returns itself.
const RETURN_TO: usize = 6;
/// Join addresses that do not answer are asked again after this, doubled each time up to the second.
const JOIN_FIRST: Nanos = 200 * MS;
const JOIN_MOST: Nanos = 5_000 * MS;
/// So many members are told of a leave at once; the others hear of it from them.
const LEAVE_TOLD: usize = 12;
/// A generation that stands behind another of the same address is raised at most this often: two processes at one
/// address would raise each other without end.
const LEAP_EVERY: Nanos = 1_000 * MS;
/// Without a word from anybody for this long the view is stale.
const STALE: Nanos = 10_000 * MS;
/// `foca` spreads each update so many times, and once more for each doubling of the fleet.
const SPREAD: u32 = 6;

/// Datagrams, as counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[allow(missing_docs)]
pub struct Traffic {
    /// Sent, and their bytes.
    pub sent: u64,
    pub sent_bytes: u64,
    /// Read, and their bytes.
    pub heard: u64,
    pub heard_bytes: u64,
    /// Dropped: not of this protocol, torn, too long.
    pub torn: u64,
    /// Dropped: of another fleet.
    pub foreign: u64,
    /// Dropped: of another version of the format.
    pub version: u64,
    /// Dropped: whole, yet not to be understood, or in this member's own name.
    pub malformed: u64,
    /// Dropped: they would have brought more members than are held.
    pub full: u64,
    /// Questions to suspects.
    pub asked: u64,
    /// Questions whether another holds the same.
    pub compared: u64,
    /// Words of load sent.
    pub load: u64,
    /// Suspicions that began, and suspects given up.
    pub suspicions: u64,
    pub given_up: u64,
    /// Suspicions of this member that it refuted.
    pub refuted: u64,
    /// Returns after it was given up by others.
    pub returned: u64,
    /// Times it stood still itself.
    pub gaps: u64,
}

/// A question of a watcher.
#[derive(Serialize, Deserialize)]
struct Ask {
    by: Identity,
    /// Who is suspect, and by which incarnation; without it only a word is wanted.
    suspect: Option<(Identity, u16)>,
}

type Swim = Foca<Identity, Wire, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// What `foca` hands out in one call.
#[derive(Default)]
struct Runtime {
    sends: Vec<(Identity, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Identity>)>,
    news: Vec<OwnedNotification<Identity>>,
}

impl foca::Runtime<Identity> for &mut Runtime {
    fn notify(&mut self, notification: foca::Notification<'_, Identity>) {
        self.news.push(notification.to_owned());
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// One member of a fleet.
pub struct Member {
    settings: FleetSettings,
    fleet: u64,
    swim: Swim,
    named: Named,
    held: Held,
    /// What `foca` wants to be woken for; at most a handful, and one for each dead member.
    timers: BTreeMap<(Nanos, u64), Timer<Identity>>,
    set: u64,
    suspicions: Suspicions,
    watch: Watch,
    health: Health,
    records: Records,
    own: Record,
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
    overload: Option<Overload>,
    tell_load: Nanos,
    /// A death came in: it is passed on at once, from then on.
    pass_on: Option<Nanos>,
    passed_on: Nanos,
    join: (Nanos, Nanos),
    leapt: Nanos,
    due: Nanos,
    now: Nanos,
    started: Nanos,
    met: bool,
    gone: bool,
    outputs: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<Change>,
    traffic: Traffic,
}

fn config(settings: &FleetSettings) -> foca::Config {
    let span = Duration::from_nanos;
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let every = |nanos, num| Some(PeriodicParams { frequency: span(nanos), num_members: some(num) });
    let asks_dead = !planted::is(Fault::NeverAsksTheDead);
    foca::Config {
        probe_period: span(settings.timing.probe),
        probe_rtt: span(settings.timing.answer),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new((SPREAD + settings.members_max.max(2).ilog2()) as u8)
            .unwrap_or(NonZeroU8::MIN),
        // Not heeded: see `suspicion`.
        suspect_to_down_after: span(settings.timing.suspect),
        remove_down_after: Some(span(settings.timing.forget)),
        max_packet_size: some(envelope::PAYLOAD_MAX),
        notify_down_members: true,
        periodic_announce: every(5_000 * MS, 1),
        periodic_announce_to_down_members: every(ASK_DEAD, ASK_DEAD_OF).filter(|_| asks_dead),
        periodic_gossip: every(GOSSIP, GOSSIP_TO),
    }
}

impl Member {
    /// A member that starts at `now`, which is also its first generation if the clock is Unix time: `unix_ms` is that in
    /// milliseconds. `soft` is what it tells of itself; names that are too long are cut.
    pub fn new(settings: FleetSettings, soft: Soft, unix_ms: u64, seed: u64, now: Nanos) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let id = Identity { address: settings.address, generation: unix_ms };
        let (named, held) = (Named::default(), Held::default());
        let wire = Wire::new(settings.address, named.clone(), held.clone(), settings.members_max);
        let swim_rng = Xoshiro256PlusPlus::seed_from_u64(rng.random());
        let own = Record { of: id, version: 1, soft: bounded(soft) };
        let timing = settings.timing;
        let spread = rng.random_range(0..JOIN_FIRST / 2);
        Member {
            fleet: envelope::fleet_number(&settings.fleet),
            swim: Foca::new(id, config(&settings), swim_rng, wire),
            named,
            held,
            timers: BTreeMap::new(),
            set: 0,
            suspicions: Suspicions::new(timing.suspect),
            watch: Watch::new(settings.address),
            health: Health::new(now),
            records: Records::new(own.clone()),
            own,
            count: Count::new(timing.hold, timing.forget),
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
            join: (now + spread, JOIN_FIRST),
            leapt: 0,
            due: now,
            now,
            started: now,
            met: false,
            gone: false,
            outputs: Vec::new(),
            changes: Vec::new(),
            traffic: Traffic::default(),
            settings,
        }
    }

    /// Who it is now.
    pub fn id(&self) -> Identity {
        *self.swim.identity()
    }

    /// What it tells of itself.
    pub fn soft(&self) -> &Soft {
        &self.own.soft
    }

    /// The fleet's name.
    pub fn fleet(&self) -> &str {
        &self.settings.fleet
    }

    /// Datagrams since the start.
    pub fn traffic(&self) -> Traffic {
        Traffic {
            suspicions: self.suspicions.begun,
            given_up: self.suspicions.given_up,
            gaps: self.health.gaps,
            ..self.traffic
        }
    }

    /// When it wants its next [`Member::turn`].
    pub fn due(&self) -> Nanos {
        self.due
    }

    /// Datagrams that are to be sent, since the last call.
    pub fn take_outputs(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outputs)
    }

    /// Changes of the view, since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The others as it sees them, by address.
    pub fn seen(&self) -> impl Iterator<Item = &Seen> {
        self.table.members()
    }

    /// What it sees.
    pub fn view(&self) -> View {
        View {
            members: self.table.members().cloned().collect(),
            count: self.table.count(),
            living: self.count.living(),
            places: self.count.places(),
            cut_off: self.is_cut_off(),
        }
    }

    fn is_cut_off(&self) -> bool {
        self.swim.num_members() > 0 && self.health.is_cut_off(self.now)
    }

    /// By how many shares are divided: the count while somebody was heard lately; before the first meeting the settings'
    /// figure; the greater of both in a member's first seconds (as long as a place is held), when it has not met all, and
    /// once nobody is heard for 10 s, since either may be far too small for a fleet that goes on elsewhere.
    pub fn shared_by(&self) -> usize {
        let configured = self.settings.configured.max(1);
        if !self.met {
            return configured;
        }
        let count = self.table.count();
        let new = self.now.saturating_sub(self.started) < self.settings.timing.hold;
        let stale = self.now.saturating_sub(self.health.last_heard()) > STALE;
        if new || stale { count.max(configured) } else { count }
    }

    /// Tells something new of itself, if it is new.
    pub fn tell(&mut self, change: impl FnOnce(&mut Soft)) {
        let mut soft = self.own.soft.clone();
        change(&mut soft);
        let soft = bounded(soft);
        if soft != self.own.soft {
            self.own.soft = soft;
            self.put_own();
        }
    }

    fn put_own(&mut self) {
        self.own.version += 1;
        self.own.of = self.id();
        self.records.put(self.own.clone(), self.swim.num_members());
    }

    /// Takes a datagram in. Whatever is in it, it is counted and never ends the member.
    pub fn datagram(&mut self, now: Nanos, from: SocketAddr, datagram: &[u8]) {
        self.now = self.now.max(now);
        self.traffic.heard += 1;
        self.traffic.heard_bytes += datagram.len() as u64;
        let (kind, payload) = match envelope::open(self.fleet, datagram) {
            Ok(opened) => opened,
            Err(Refusal::Torn) => return self.traffic.torn += 1,
            Err(Refusal::Foreign) => return self.traffic.foreign += 1,
            Err(Refusal::Version) => return self.traffic.version += 1,
        };
        if self.gone {
            return;
        }
        let taken = match kind {
            Kind::Swim => self.take_swim(from, payload),
            Kind::Records => self.take_records(payload),
            Kind::Want => match self.records.answer(payload) {
                Some(answers) => {
                    answers.iter().for_each(|answer| self.send(from, Kind::Records, answer));
                    true
                }
                None => false,
            },
            Kind::Compare => self.take_compare(from, payload),
            Kind::Told => self.take_told(from, payload),
            Kind::Load => self.take_load(payload),
            Kind::Ask => self.take_ask(payload),
            // That it came is all it says.
            Kind::Beat => postcard::from_bytes::<Identity>(payload).is_ok(),
        };
        if !taken {
            return self.traffic.malformed += 1;
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

    fn take_swim(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        // The dead are let go of first where there is no place for a newcomer.
        let held = self.swim.iter_membership_state().len();
        if held >= self.settings.members_max && !self.knows(from) {
            let Some(dead) = self.oldest_dead() else {
                self.traffic.full += 1;
                return true;
            };
            self.swim_timer(Timer::RemoveDown(dead));
            self.held.remove(dead.address);
        }
        self.held.insert(from);
        let mut runtime = Runtime::default();
        let result = self.swim.handle_data(payload, &mut runtime);
        self.carry_out(runtime);
        self.leap();
        result.is_ok()
    }

    fn knows(&self, address: SocketAddr) -> bool {
        self.swim.iter_membership_state().any(|m| m.id().address == address)
    }

    fn oldest_dead(&self) -> Option<Identity> {
        // The table may still show one that was let go of since the last look.
        let down = |seen: &&Seen| {
            let mut all = self.swim.iter_membership_state();
            all.any(|m| *m.id() == seen.id && m.state() == foca::State::Down)
        };
        let dead = self.table.members().filter(down);
        dead.min_by_key(|seen| seen.since).map(|seen| seen.id)
    }

    /// Another life of this address is said to be later than this one: the clock was stepped back between the two.
    fn leap(&mut self) {
        let named = self.named.get();
        let own = self.id().generation;
        if named > own && self.now.saturating_sub(self.leapt) >= LEAP_EVERY {
            self.leapt = self.now;
            let id = Identity { generation: named + 1, ..self.id() };
            let mut runtime = Runtime::default();
            if self.swim.change_identity(id, &mut runtime).is_ok() {
                self.carry_out(runtime);
                self.returned();
            }
        }
    }

    fn returned(&mut self) {
        self.traffic.returned += 1;
        self.changes.push(Change::Returned { generation: self.id().generation });
        self.put_own();
        self.ask_dead(RETURN_TO);
    }

    /// Asks some of those believed dead: who was given up was cut off from more than one, most likely.
    fn ask_dead(&mut self, most: usize) {
        if planted::is(Fault::NeverAsksTheDead) {
            return;
        }
        let mut dead: Vec<Identity> =
            self.table.members().filter(|seen| seen.state == State::Dead).map(|seen| seen.id).collect();
        let mut runtime = Runtime::default();
        for _ in 0..most.min(dead.len()) {
            let id = dead.swap_remove(self.rng.random_range(0..dead.len()));
            let _ = self.swim.announce(id, &mut runtime);
        }
        self.carry_out(runtime);
    }

    fn take_records(&mut self, payload: &[u8]) -> bool {
        let swim = &self.swim;
        let known = |address: SocketAddr| {
            let mut all = swim.iter_membership_state();
            all.find(|m| m.id().address == address).map(|m| m.id().generation)
        };
        let taken = self.records.take(self.settings.address, payload, known, swim.num_members());
        let Some(unknown) = taken else { return false };
        if unknown > 0 {
            self.pace.stir(self.now);
        }
        true
    }

    /// A watcher asks whether this member lives. One that is suspect raises its incarnation.
    fn take_ask(&mut self, payload: &[u8]) -> bool {
        let Ok(ask) = postcard::from_bytes::<Ask>(payload) else { return false };
        if ask.by.address == self.settings.address {
            return true;
        }
        let Some((suspect, incarnation)) = ask.suspect else {
            self.beat(ask.by.address);
            return true;
        };
        if suspect != self.id() || planted::is(Fault::ForgetsRefutation) {
            return true;
        }
        let mut runtime = Runtime::default();
        let said = foca::Member::new(suspect, incarnation, foca::State::Suspect);
        let _ = self.swim.apply_many(std::iter::once(said), true, &mut runtime);
        self.traffic.refuted += 1;
        // Its header carries the new incarnation; the gossip that goes on tells the others.
        let _ = self.swim.announce(ask.by, &mut runtime);
        self.carry_out(runtime);
        true
    }

    /// A turn of the member's own clock: what is due is done.
    pub fn turn(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        if self.gone {
            self.due = self.now + TURN;
            return;
        }
        if self.health.turn(self.now) {
            self.changes.push(Change::StoodStill);
            self.begin_anew();
        }
        self.swim_timers();
        self.listen();
        self.join();
        self.pass_on();
        self.spread();
        self.look();
        self.compare();
        self.shed();
        let next = self.timers.first_key_value().map_or(Nanos::MAX, |((at, _), _)| *at);
        let pass_on = self.pass_on.unwrap_or(Nanos::MAX);
        self.due = next.min(pass_on).clamp(self.now + MS, self.now + TURN);
        self.health.expect(self.due);
    }

    /// After a stall of its own: what was waited for gets its whole time again.
    fn begin_anew(&mut self) {
        self.suspicions.begin_anew(self.now);
        self.watch.begin_anew(self.now);
        let late: Vec<(Nanos, u64)> =
            self.timers.range(..=(self.now, u64::MAX)).map(|(key, _)| *key).collect();
        for key in late {
            let Some(timer) = self.timers.remove(&key) else { continue };
            let after = match timer {
                // The answer may have come meanwhile, and is read before this.
                Timer::ProbeRandomMember(_) => self.settings.timing.probe,
                Timer::SendIndirectProbe { .. } => MS,
                _ => 0,
            };
            self.set += 1;
            self.timers.insert((self.now + after, self.set), timer);
        }
    }

    fn swim_timers(&mut self) {
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let timer = entry.remove();
            self.swim_timer(timer);
        }
    }

    fn swim_timer(&mut self, timer: Timer<Identity>) {
        let mut runtime = Runtime::default();
        // Its errors say that a timer came too late for a cycle; it has begun the next one by itself.
        let _ = self.swim.handle_timer(timer, &mut runtime);
        self.carry_out(runtime);
    }

    /// Listens for whom it watches, and asks and gives up who is suspect.
    fn listen(&mut self) {
        let mut living = Vec::new();
        let mut suspects = BTreeMap::new();
        for member in self.swim.iter_members() {
            match member.state() {
                foca::State::Alive => living.push(member.id().address),
                _ => {
                    suspects.insert(member.id().address, (*member.id(), member.incarnation()));
                }
            }
        }
        living.sort_unstable();
        self.watch.draw(self.now, &living, |address| suspects.contains_key(&address));
        self.suspicions.hold(self.now, &suspects);
        let heard = |address: SocketAddr| self.heard.get(&address).copied().unwrap_or(0);
        let (patience, may) = (self.health.patience(), self.health.may_accuse(self.now));
        let steps = self.watch.due(self.now, patience, may, heard);
        let watch = &self.watch;
        let verdicts = self.suspicions.due(self.now, patience, may, |a| watch.watches(a), heard);
        for step in steps {
            match step {
                watch::Step::Beat(to) => self.beat(to),
                // A suspect is asked below.
                watch::Step::Ask(of) if suspects.contains_key(&of) => {}
                watch::Step::Ask(of) => self.ask(of, None),
                watch::Step::Suspect(of) => self.say(of, foca::State::Suspect),
            }
        }
        for step in verdicts {
            match step {
                suspicion::Step::Ask(suspect, incarnation) => {
                    self.ask(suspect.address, Some((suspect, incarnation)));
                }
                suspicion::Step::GiveUp(suspect, _) => self.say(suspect.address, foca::State::Down),
            }
        }
    }

    fn beat(&mut self, to: SocketAddr) {
        let payload = postcard::to_stdvec(&self.id()).unwrap_or_default();
        self.send(to, Kind::Beat, &payload);
    }

    fn ask(&mut self, of: SocketAddr, suspect: Option<(Identity, u16)>) {
        let payload = postcard::to_stdvec(&Ask { by: self.id(), suspect }).unwrap_or_default();
        self.traffic.asked += 1;
        self.send(of, Kind::Ask, &payload);
    }

    /// Tells all of what a member is, by the word of this one.
    fn say(&mut self, of: SocketAddr, state: foca::State) {
        let Some(member) = self.swim.iter_members().find(|m| m.id().address == of) else { return };
        let said = foca::Member::new(*member.id(), member.incarnation(), state);
        let mut runtime = Runtime::default();
        // Its errors are those of sending.
        let _ = self.swim.apply_many(std::iter::once(said), true, &mut runtime);
        self.carry_out(runtime);
    }

    /// Asks the join addresses: soon while nobody is known, ever more seldom while some of them are not.
    fn join(&mut self) {
        if self.now < self.join.0 {
            return;
        }
        let alone = self.swim.num_members() == 0;
        let own = self.settings.address;
        let there = |address: &SocketAddr| self.swim.iter_members().any(|m| m.id().address == *address);
        let missing: Vec<SocketAddr> =
            self.settings.join.iter().copied().filter(|a| *a != own && !there(a)).collect();
        if self.met && planted::is(Fault::NeverAsksTheDead) {
            return;
        }
        let mut runtime = Runtime::default();
        // While alone all are asked; later one is enough, in case two parts of the fleet never met.
        let chosen = if alone || missing.is_empty() {
            missing
        } else {
            vec![missing[self.rng.random_range(0..missing.len())]]
        };
        for address in chosen {
            let _ = self.swim.announce(Identity { address, generation: 0 }, &mut runtime);
        }
        self.carry_out(runtime);
        let wait = self.join.1;
        self.join = (self.now + wait / 2 + self.rng.random_range(0..wait), (wait * 2).min(JOIN_MOST));
        if alone {
            self.join.1 = self.join.1.min(JOIN_MOST / 2);
        }
    }

    /// Passes a death on without waiting for the next round of gossip.
    fn pass_on(&mut self) {
        if self.pass_on.is_none_or(|at| self.now < at) {
            return;
        }
        (self.pass_on, self.passed_on) = (None, self.now);
        let mut runtime = Runtime::default();
        let _ = self.swim.gossip(&mut runtime);
        self.carry_out(runtime);
    }

    /// One of the others who are there, at random.
    fn somebody(&mut self) -> Option<SocketAddr> {
        let others = self.swim.num_members();
        let chosen = (others > 0).then(|| self.rng.random_range(0..others))?;
        self.swim.iter_members().nth(chosen).map(|m| m.id().address)
    }

    /// Passes records on.
    fn spread(&mut self) {
        if self.swim.num_members() == 0 {
            return;
        }
        if self.now >= self.gossip {
            self.gossip = self.now + GOSSIP;
            for _ in 0..GOSSIP_TO {
                if self.records.has_news()
                    && let Some(to) = self.somebody()
                {
                    self.tell_records(to, false);
                }
            }
        }
        if self.now >= self.round && !planted::is(Fault::TellsRecordsOnce) {
            self.round = self.now + ROUND;
            if let Some(to) = self.somebody() {
                self.tell_records(to, true);
            }
        }
        if let Some(want) = self.records.want(self.now, self.swim.iter_members().map(|m| m.id()))
            && let Some(to) = self.somebody()
        {
            self.send(to, Kind::Want, &want);
        }
    }

    fn tell_records(&mut self, to: SocketAddr, with_round: bool) {
        let payload = self.records.tell(self.settings.address, with_round);
        self.send(to, Kind::Records, &payload);
    }

    /// Compares what `foca` and the records say with what was seen before.
    fn look(&mut self) {
        self.met |= self.swim.num_members() > 0;
        let id = self.id();
        self.table.look(self.now, id, &self.swim, &self.records, &mut self.count, &mut self.changes);
        let places = self.count.places().min(usize::from(u16::MAX)) as u16;
        self.tell(|soft| soft.places = places);
        if self.table.turned() {
            self.held.set(self.swim.iter_membership_state().map(|m| m.id().address));
            let table = &self.table;
            self.heard.retain(|address, _| table.knows(address));
            let own = self.settings.address;
            self.records.retain(|address| address == own || table.knows(&address));
            let sums = Sums::of(self.entries());
            if sums != self.sums {
                self.sums = sums;
                self.pace.stir(self.now);
            }
        }
    }

    /// Goes, and says so. The member answers nothing from then on; its last outputs are to be sent.
    pub fn leave(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        if self.gone {
            return;
        }
        self.gone = true;
        if planted::is(Fault::LeavesSilently) {
            return;
        }
        self.tell(|soft| soft.phase = Phase::Leaving);
        let own = self.own.of.address;
        let mut others: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().address).collect();
        for _ in 0..LEAVE_TOLD.min(others.len()) {
            let to = others.swap_remove(self.rng.random_range(0..others.len()));
            let payload = self.records.tell(own, true);
            self.send(to, Kind::Records, &payload);
        }
        let mut runtime = Runtime::default();
        // The word that it is down goes to a few at a time; some of it gets lost.
        let _ = self.swim.leave_cluster(&mut runtime);
        self.carry_out(runtime);
    }

    fn carry_out(&mut self, runtime: Runtime) {
        for (to, payload) in runtime.sends {
            self.send(to.address, Kind::Swim, &payload);
        }
        for (after, timer) in runtime.timers {
            // Who gives a suspect up is decided in `suspicion`.
            if matches!(timer, Timer::ChangeSuspectToDown { .. }) {
                continue;
            }
            self.set += 1;
            self.timers.insert((self.now + after.as_nanos() as Nanos, self.set), timer);
        }
        for news in runtime.news {
            match news {
                OwnedNotification::Rejoin(_) => self.returned(),
                OwnedNotification::MemberDown(_) => {
                    let at = self.now.max(self.passed_on + PASS_ON);
                    self.pass_on.get_or_insert(at);
                    self.due = self.due.min(at + MS);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, to: SocketAddr, kind: Kind, payload: &[u8]) {
        let datagram = envelope::seal(self.fleet, kind, payload);
        self.traffic.sent += 1;
        self.traffic.sent_bytes += datagram.len() as u64;
        self.outputs.push((to, datagram));
    }
}

fn bounded(mut soft: Soft) -> Soft {
    soft.name = cut(&soft.name, NAME_MAX);
    soft.build = cut(&soft.build, BUILD_MAX);
    soft.extra.truncate(EXTRA_MAX);
    soft
}
