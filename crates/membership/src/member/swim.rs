//! Membership by SWIM: the library `foca`, its timers, and what it hands out.

use super::Member;
use crate::envelope::{self, MessageKind};
use crate::fault_injection::{self, InjectedFault};
use crate::identity::Wire;
use crate::{
    Identity, MS, MemberStatus, MemberView, MembershipEvent, MembershipSettings, Nanos, heartbeat,
};
use foca::{Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, Timer};
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// News is passed on this often, to so many members.
pub(super) const GOSSIP: Nanos = 100 * MS;
pub(super) const GOSSIP_TO: usize = 3;
/// A death is passed on at once, yet at most this often.
const PASS_ON: Nanos = 20 * MS;
/// Members believed dead are asked this often, each by a few that are drawn: a healed split settles by it.
const ASK_DEAD: Nanos = 500 * MS;
/// Besides, so many of all members ask one of the dead each time, whoever is drawn: the drawn may be cut off from it.
const ASK_DEAD_AT_RANDOM: usize = 4;
/// So many of them are asked at once by who returns itself.
const RETURN_TO: usize = 6;
/// Join addresses that do not answer are asked again after this, doubled each time up to the second.
pub(super) const JOIN_FIRST: Nanos = 200 * MS;
const JOIN_MOST: Nanos = 5_000 * MS;
/// A generation that stands behind another of the same address is raised at most this often: two processes at one
/// address would raise each other without end.
const LEAP_EVERY: Nanos = 1_000 * MS;
/// `foca` spreads each update so many times, and once more for each doubling of the fleet.
const SPREAD: u32 = 6;
/// In a fleet of regions so often at most, and each record this often.
const SPREAD_IN_REGIONS: u32 = 10;
pub(super) const RUMOURS_IN_REGIONS: u32 = 4;

pub(super) type Swim = Foca<Identity, Wire, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// What `foca` hands out in one call.
#[derive(Default)]
pub(super) struct Runtime {
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

/// How often `foca` spreads each update. Where the fleet has regions bytes are bounded, and a rumour that dies out is found
/// by comparing lists.
fn transmissions(settings: &MembershipSettings) -> u8 {
    let spread = SPREAD + settings.members_max.max(2).ilog2();
    if settings.location.is_none() {
        spread as u8
    } else {
        spread.min(SPREAD_IN_REGIONS) as u8
    }
}

/// What `foca` is told of the times and bounds.
pub(super) fn config(settings: &MembershipSettings) -> foca::Config {
    let span = Duration::from_nanos;
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let every = |nanos, num| {
        Some(PeriodicParams {
            frequency: span(nanos),
            num_members: some(num),
        })
    };
    foca::Config {
        probe_period: span(settings.timing.probe_interval),
        probe_rtt: span(settings.timing.ack_timeout),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(transmissions(settings)).unwrap_or(NonZeroU8::MIN),
        // Not heeded: see `suspicion`.
        suspect_to_down_after: span(settings.timing.suspicion_timeout),
        remove_down_after: Some(span(settings.timing.tombstone_retention)),
        max_packet_size: some(envelope::PAYLOAD_MAX),
        notify_down_members: true,
        periodic_announce: every(5_000 * MS, 1),
        // Not by all members: see `ask_drawn_dead`.
        periodic_announce_to_down_members: None,
        periodic_gossip: every(GOSSIP, GOSSIP_TO),
    }
}

impl Member {
    pub(super) fn take_swim(&mut self, from: SocketAddr, payload: &[u8]) -> bool {
        // The dead are let go of first where there is no place for a newcomer.
        let held = self.swim.iter_membership_state().len();
        if held >= self.settings.members_max && !self.knows(from) {
            let Some(dead) = self.oldest_dead() else {
                self.statistics.over_capacity += 1;
                return true;
            };
            self.swim_timer(Timer::RemoveDown(dead));
            self.held.remove(dead.address);
        }
        self.held.insert(from);
        let mut runtime = Runtime::default();
        let result = self.swim.handle_data(payload, &mut runtime);
        self.roster.touch();
        self.carry_out(runtime);
        self.leap();
        result.is_ok()
    }

    pub(super) fn knows(&self, address: SocketAddr) -> bool {
        self.swim
            .iter_membership_state()
            .any(|m| m.id().address == address)
    }

    pub(super) fn oldest_dead(&self) -> Option<Identity> {
        // The table may still show one that was let go of since the last look.
        let down = |seen: &&MemberView| {
            let mut all = self.swim.iter_membership_state();
            all.any(|m| *m.id() == seen.id && m.state() == foca::State::Down)
        };
        let dead = self.table.members().filter(down);
        dead.min_by_key(|seen| seen.since).map(|seen| seen.id)
    }

    /// Another life of this address is said to be later than this one: the clock was stepped back between the two.
    pub(super) fn leap(&mut self) {
        let named = self.named.get();
        let own = self.id().generation;
        if named > own && self.now.saturating_sub(self.leapt) >= LEAP_EVERY {
            self.leapt = self.now;
            let id = Identity {
                generation: named + 1,
                ..self.id()
            };
            let mut runtime = Runtime::default();
            self.roster.touch();
            if self.swim.change_identity(id, &mut runtime).is_ok() {
                self.carry_out(runtime);
                self.returned();
            }
        }
    }

    pub(super) fn returned(&mut self) {
        self.statistics.rejoins += 1;
        self.changes.push(MembershipEvent::Rejoined {
            generation: self.id().generation,
        });
        self.put_own();
        self.ask_dead(RETURN_TO);
    }

    fn dead(&self) -> Vec<Identity> {
        self.table
            .members()
            .filter(|seen| seen.status == MemberStatus::Dead)
            .map(|seen| seen.id)
            .collect()
    }

    /// Asks those believed dead whom this member is drawn to ask. If all members asked each of the dead, who returns would
    /// have to answer as many as there are members, each with a datagram of the longest.
    pub(super) fn ask_drawn_dead(&mut self) {
        if self.now < self.ask_dead_due
            || fault_injection::is_injected(InjectedFault::NeverContactsDeadMembers)
        {
            return;
        }
        self.ask_dead_due = self.now + ASK_DEAD;
        let dead = self.dead();
        if dead.is_empty() {
            return;
        }
        let addresses: Vec<SocketAddr> = dead.iter().map(|id| id.address).collect();
        let mut drawn =
            heartbeat::drawn_for(&addresses, self.settings.address, self.roster.living());
        let living = self.roster.living().len() + 1;
        if self.rng.random_range(0..living) < ASK_DEAD_AT_RANDOM {
            drawn.push(self.rng.random_range(0..dead.len()));
        }
        let mut runtime = Runtime::default();
        for chosen in drawn {
            let _ = self.swim.announce(dead[chosen], &mut runtime);
        }
        self.carry_out(runtime);
    }

    /// Asks some of those believed dead: who was given up was cut off from more than one, most likely.
    pub(super) fn ask_dead(&mut self, most: usize) {
        if fault_injection::is_injected(InjectedFault::NeverContactsDeadMembers) {
            return;
        }
        let mut dead = self.dead();
        let mut runtime = Runtime::default();
        for _ in 0..most.min(dead.len()) {
            let id = dead.swap_remove(self.rng.random_range(0..dead.len()));
            let _ = self.swim.announce(id, &mut runtime);
        }
        self.carry_out(runtime);
    }

    /// After a stall of its own: what was waited for gets its whole time again.
    pub(super) fn begin_anew(&mut self) {
        self.suspicions.begin_anew(self.now);
        self.watch.begin_anew(self.now);
        let late: Vec<(Nanos, u64)> = self
            .timers
            .range(..=(self.now, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            let Some(timer) = self.timers.remove(&key) else {
                continue;
            };
            let after = match timer {
                // The answer may have come meanwhile, and is read before this.
                Timer::ProbeRandomMember(_) => self.settings.timing.probe_interval,
                Timer::SendIndirectProbe { .. } => MS,
                _ => 0,
            };
            self.set += 1;
            self.timers.insert((self.now + after, self.set), timer);
        }
    }

    pub(super) fn swim_timers(&mut self) {
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let timer = entry.remove();
            if matches!(timer, Timer::PeriodicGossip(_)) && !self.may_send() {
                self.set += 1;
                self.timers.insert((self.now + GOSSIP, self.set), timer);
                continue;
            }
            self.swim_timer(timer);
        }
    }

    pub(super) fn swim_timer(&mut self, timer: Timer<Identity>) {
        // The other timers send, and change nothing.
        if matches!(
            timer,
            Timer::ProbeRandomMember(_) | Timer::ChangeSuspectToDown { .. } | Timer::RemoveDown(_)
        ) {
            self.roster.touch();
        }
        let mut runtime = Runtime::default();
        // Its errors say that a timer came too late for a cycle; it has begun the next one by itself.
        let _ = self.swim.handle_timer(timer, &mut runtime);
        self.carry_out(runtime);
    }

    /// Asks the join addresses: soon while nobody is known, ever more seldom while some of them are not.
    pub(super) fn join(&mut self) {
        if self.now < self.join.0 {
            return;
        }
        let alone = self.swim.num_members() == 0;
        let own = self.settings.address;
        let there =
            |address: &SocketAddr| self.swim.iter_members().any(|m| m.id().address == *address);
        let missing: Vec<SocketAddr> = self
            .settings
            .join
            .iter()
            .copied()
            .filter(|a| *a != own && !there(a) && !self.is_foreign(a))
            .collect();
        if self.met && fault_injection::is_injected(InjectedFault::NeverContactsDeadMembers) {
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
            let _ = self.swim.announce(
                Identity {
                    address,
                    generation: 0,
                },
                &mut runtime,
            );
        }
        self.carry_out(runtime);
        let wait = self.join.1;
        self.join = (
            self.now + wait / 2 + self.rng.random_range(0..wait),
            (wait * 2).min(JOIN_MOST),
        );
        if alone {
            self.join.1 = self.join.1.min(JOIN_MOST / 2);
        }
    }

    /// Passes a death on without waiting for the next round of gossip.
    pub(super) fn pass_on(&mut self) {
        if self.pass_on.is_none_or(|at| self.now < at) {
            return;
        }
        if !self.may_send() {
            self.pass_on = Some(self.now + GOSSIP);
            return;
        }
        (self.pass_on, self.passed_on) = (None, self.now);
        let mut runtime = Runtime::default();
        let _ = self.swim.gossip(&mut runtime);
        self.carry_out(runtime);
    }

    pub(super) fn carry_out(&mut self, runtime: Runtime) {
        for (to, payload) in runtime.sends {
            self.send(to.address, MessageKind::Swim, &payload);
        }
        for (after, timer) in runtime.timers {
            // Who gives a suspect up is decided in `suspicion`.
            if matches!(timer, Timer::ChangeSuspectToDown { .. }) {
                continue;
            }
            self.set += 1;
            self.timers
                .insert((self.now + after.as_nanos() as Nanos, self.set), timer);
        }
        for news in runtime.news {
            match news {
                OwnedNotification::Rejoin(_) => self.returned(),
                OwnedNotification::MemberDown(_) => {
                    let at = self.now.max(self.passed_on + PASS_ON);
                    self.pass_on.get_or_insert(at);
                    self.next_tick = self.next_tick.min(at + MS);
                }
                _ => {}
            }
        }
    }
}
