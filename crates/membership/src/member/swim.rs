//! SWIM by the library `foca`: its datagrams, timers, rejoins and updates.

mod joining;

use super::context::{Context, GOSSIP_INTERVAL};
use super::foca_adapter::{Runtime, Swim, foca_config};
use super::membership_table::MembershipTable;
use super::roster::Roster;
use crate::envelope::MessageKind;
use crate::identity::{KnownAddresses, MembershipCodec, ObservedGeneration};
use crate::payload::PayloadError;
use crate::{Identity, MS, MembershipEvent, MembershipSettings, Nanos};
use foca::{Foca, OwnedNotification, Timer};
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A death is gossiped at once, yet at most this often.
const EARLY_GOSSIP_INTERVAL: Nanos = 20 * MS;
/// The own generation is raised past a greater one of the same address at most this often: two
/// processes at one address would raise each other's without end.
const GENERATION_RAISE_INTERVAL: Nanos = 1_000 * MS;

/// SWIM at one member. Errors of `foca` are those of sending or of outdated timers, and are ignored
/// but for datagrams.
pub(super) struct SwimProtocol {
    foca: Swim,
    roster: Roster,
    observed_generation: ObservedGeneration,
    known_addresses: KnownAddresses,
    own_address: SocketAddr,
    members_max: usize,
    probe_interval: Nanos,
    /// Timers of `foca` by due time: a handful, and one for each dead member.
    timers: BTreeMap<(Nanos, u64), Timer<Identity>>,
    timer_sequence: u64,
    join_addresses: Vec<SocketAddr>,
    next_join: Nanos,
    join_backoff: Nanos,
    /// Whether any other member was ever known.
    has_met: bool,
    last_generation_raise: Nanos,
    next_dead_announcement: Nanos,
    /// The dead members of the table's last update.
    dead: Vec<Identity>,
    /// A death is to be gossiped without waiting for the next periodic gossip.
    early_gossip_due: Option<Nanos>,
    last_early_gossip: Nanos,
    /// Set when a tick is wanted earlier than scheduled.
    wake_up: Option<Nanos>,
    pending_rejoins: usize,
}

impl SwimProtocol {
    pub(super) fn new(
        settings: &MembershipSettings,
        id: Identity,
        rng: Xoshiro256PlusPlus,
        first_join: Nanos,
    ) -> Self {
        let observed_generation = ObservedGeneration::default();
        let known_addresses = KnownAddresses::default();
        let codec = MembershipCodec::new(
            settings.address,
            observed_generation.clone(),
            known_addresses.clone(),
            settings.members_max,
        );
        SwimProtocol {
            foca: Foca::new(id, foca_config(settings), rng, codec),
            roster: Roster::new(),
            observed_generation,
            known_addresses,
            own_address: settings.address,
            members_max: settings.members_max,
            probe_interval: settings.timing.probe_interval,
            timers: BTreeMap::new(),
            timer_sequence: 0,
            join_addresses: settings.join.clone(),
            next_join: first_join,
            join_backoff: joining::JOIN_BACKOFF_MIN,
            has_met: false,
            last_generation_raise: 0,
            next_dead_announcement: first_join,
            dead: Vec::new(),
            early_gossip_due: None,
            last_early_gossip: 0,
            wake_up: None,
            pending_rejoins: 0,
        }
    }

    pub(super) fn id(&self) -> Identity {
        *self.foca.identity()
    }

    /// The number of the others that are alive, suspects included.
    pub(super) fn alive(&self) -> usize {
        self.foca.num_members()
    }

    /// The others that are alive, suspects included.
    pub(super) fn live_members(&self) -> impl Iterator<Item = &foca::Member<Identity>> {
        self.foca.iter_members()
    }

    /// All others, dead ones included.
    pub(super) fn all_members(&self) -> impl Iterator<Item = &foca::Member<Identity>> {
        self.foca.iter_membership_state()
    }

    pub(super) fn is_alive(&self, address: SocketAddr) -> bool {
        self.live_members().any(|m| m.id().address == address)
    }

    /// Whether a member is alive in this very generation.
    pub(super) fn is_alive_as(&self, id: &Identity) -> bool {
        self.live_members().any(|m| m.id() == id)
    }

    /// The generation by which a member is known, dead or alive.
    pub(super) fn known_generation(&self, address: SocketAddr) -> Option<u64> {
        self.all_members()
            .find(|m| m.id().address == address)
            .map(|m| m.id().generation)
    }

    pub(super) fn observed_generation(&self) -> &ObservedGeneration {
        &self.observed_generation
    }

    /// Whether an address is known, or there is capacity for it.
    pub(super) fn admit(&self, address: SocketAddr) -> bool {
        self.known_addresses.admit(address, self.members_max)
    }

    pub(super) fn has_met(&self) -> bool {
        self.has_met
    }

    pub(super) fn update_has_met(&mut self) {
        self.has_met |= self.alive() > 0;
    }

    /// The snapshot of the membership, read again if it may have changed.
    pub(super) fn refreshed_roster(&mut self) -> &Roster {
        self.roster.refresh(&self.foca);
        &self.roster
    }

    pub(super) fn roster(&self) -> &Roster {
        &self.roster
    }

    /// One of the others that are alive, at random.
    pub(super) fn random_member(&self, context: &mut Context) -> Option<SocketAddr> {
        let others = self.alive();
        let chosen = (others > 0).then(|| context.rng.random_range(0..others))?;
        self.live_members().nth(chosen).map(|m| m.id().address)
    }

    /// Takes over what the table found: the dead, and which addresses are known.
    pub(super) fn update_known(&mut self, dead: Vec<Identity>) {
        self.dead = dead;
        let addresses = self.foca.iter_membership_state();
        self.known_addresses
            .replace(addresses.map(|m| m.id().address));
    }

    /// How often this member rejoined since the last call.
    pub(super) fn take_rejoins(&mut self) -> usize {
        std::mem::take(&mut self.pending_rejoins)
    }

    /// An earlier time for the next tick, if one is wanted since the last call.
    pub(super) fn take_wake_up(&mut self) -> Option<Nanos> {
        self.wake_up.take()
    }

    /// When a timer or an early gossip is due.
    pub(super) fn next_due(&self) -> Nanos {
        let timer = self.timers.first_key_value();
        let timer = timer.map_or(Nanos::MAX, |((at, _), _)| *at);
        timer.min(self.early_gossip_due.unwrap_or(Nanos::MAX))
    }

    /// Receives a datagram of SWIM.
    pub(super) fn receive(
        &mut self,
        context: &mut Context,
        table: &MembershipTable,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let is_full = self.all_members().count() >= self.members_max;
        if is_full && self.known_generation(from).is_none() {
            // The oldest dead member makes room for a new one.
            let Some(dead) = self.oldest_dead(table) else {
                context.statistics.over_capacity += 1;
                return Ok(());
            };
            self.handle_timer(context, Timer::RemoveDown(dead));
            self.known_addresses.remove(dead.address);
        }
        self.known_addresses.insert(from);
        let mut runtime = Runtime::default();
        let result = self.foca.handle_data(payload, &mut runtime);
        self.roster.invalidate();
        self.process(context, runtime);
        self.raise_generation(context);
        result.map_err(|error| PayloadError::Swim(error.to_string()))
    }

    fn oldest_dead(&self, table: &MembershipTable) -> Option<Identity> {
        // The table may still contain members that `foca` has removed since its last update.
        let is_down = |id: &Identity| {
            self.all_members()
                .any(|m| m.id() == id && m.state() == foca::State::Down)
        };
        table
            .members()
            .filter(|member| is_down(&member.id))
            .min_by_key(|member| member.since)
            .map(|member| member.id)
    }

    /// Raises the own generation past a greater one that others know of this address.
    pub(super) fn raise_generation(&mut self, context: &mut Context) {
        let observed = self.observed_generation.get();
        let recent =
            context.now.saturating_sub(self.last_generation_raise) < GENERATION_RAISE_INTERVAL;
        if observed <= self.id().generation || recent {
            return;
        }
        self.last_generation_raise = context.now;
        let id = Identity {
            generation: observed + 1,
            ..self.id()
        };
        let mut runtime = Runtime::default();
        self.roster.invalidate();
        if self.foca.change_identity(id, &mut runtime).is_ok() {
            self.process(context, runtime);
            self.rejoined(context);
        }
    }

    fn rejoined(&mut self, context: &mut Context) {
        context.statistics.rejoins += 1;
        context.events.push(MembershipEvent::Rejoined {
            generation: self.id().generation,
        });
        self.pending_rejoins += 1;
        self.announce_to_random_dead(context);
    }

    /// Applies updates of members, and broadcasts them.
    pub(super) fn apply(&mut self, context: &mut Context, updates: Vec<foca::Member<Identity>>) {
        let mut runtime = Runtime::default();
        let _ = self
            .foca
            .apply_many(updates.into_iter(), true, &mut runtime);
        self.roster.invalidate();
        self.process(context, runtime);
    }

    /// Refutes a suspicion of this member; `prober` learns of it first.
    pub(super) fn refute(
        &mut self,
        context: &mut Context,
        suspicion: foca::Member<Identity>,
        prober: Identity,
    ) {
        let mut runtime = Runtime::default();
        let updates = std::iter::once(suspicion);
        let _ = self.foca.apply_many(updates, true, &mut runtime);
        self.roster.invalidate();
        context.statistics.refutations += 1;
        // The header carries the new incarnation; gossip spreads it to the others.
        let _ = self.foca.announce(prober, &mut runtime);
        self.process(context, runtime);
    }

    /// Broadcasts the state of a live member, by this member's own judgement.
    pub(super) fn declare(&mut self, context: &mut Context, of: SocketAddr, state: foca::State) {
        let member = self.live_members().find(|m| m.id().address == of);
        if let Some(member) = member {
            let update = foca::Member::new(*member.id(), member.incarnation(), state);
            self.apply(context, vec![update]);
        }
    }

    /// Asks members to let this one in.
    pub(super) fn announce(
        &mut self,
        context: &mut Context,
        to: impl IntoIterator<Item = Identity>,
    ) {
        let mut runtime = Runtime::default();
        for id in to {
            let _ = self.foca.announce(id, &mut runtime);
        }
        self.process(context, runtime);
    }

    /// Broadcasts that this member leaves.
    pub(super) fn leave(&mut self, context: &mut Context) {
        let mut runtime = Runtime::default();
        let _ = self.foca.leave_cluster(&mut runtime);
        self.roster.invalidate();
        self.process(context, runtime);
    }

    /// After a stall of this member: what was due during it gets its whole time again.
    pub(super) fn restart_timers(&mut self, now: Nanos) {
        let due: Vec<(Nanos, u64)> = self
            .timers
            .range(..=(now, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let Some(timer) = self.timers.remove(&key) else {
                continue;
            };
            let delay = match timer {
                // The acknowledgement may have come meanwhile, and is read first.
                Timer::ProbeRandomMember(_) => self.probe_interval,
                Timer::SendIndirectProbe { .. } => MS,
                _ => 0,
            };
            self.set_timer(now + delay, timer);
        }
    }

    fn set_timer(&mut self, at: Nanos, timer: Timer<Identity>) {
        self.timer_sequence += 1;
        self.timers.insert((at, self.timer_sequence), timer);
    }

    /// Handles the timers that are due.
    pub(super) fn handle_timers(&mut self, context: &mut Context) {
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= context.now)
        {
            let timer = entry.remove();
            if matches!(timer, Timer::PeriodicGossip(_)) && !context.may_send() {
                self.set_timer(context.now + GOSSIP_INTERVAL, timer);
                continue;
            }
            self.handle_timer(context, timer);
        }
    }

    fn handle_timer(&mut self, context: &mut Context, timer: Timer<Identity>) {
        // The other timers send, and change nothing.
        if matches!(
            timer,
            Timer::ProbeRandomMember(_) | Timer::ChangeSuspectToDown { .. } | Timer::RemoveDown(_)
        ) {
            self.roster.invalidate();
        }
        let mut runtime = Runtime::default();
        let _ = self.foca.handle_timer(timer, &mut runtime);
        self.process(context, runtime);
    }

    /// Gossips a death without waiting for the next periodic gossip.
    pub(super) fn gossip_early(&mut self, context: &mut Context) {
        if self.early_gossip_due.is_none_or(|at| context.now < at) {
            return;
        }
        if !context.may_send() {
            self.early_gossip_due = Some(context.now + GOSSIP_INTERVAL);
            return;
        }
        self.early_gossip_due = None;
        self.last_early_gossip = context.now;
        let mut runtime = Runtime::default();
        let _ = self.foca.gossip(&mut runtime);
        self.process(context, runtime);
    }

    /// Carries out what `foca` hands out.
    fn process(&mut self, context: &mut Context, runtime: Runtime) {
        for (to, payload) in runtime.datagrams {
            context.send(to.address, MessageKind::Swim, &payload);
        }
        for (delay, timer) in runtime.timers {
            // `suspicion` decides when a suspect is dead.
            if !matches!(timer, Timer::ChangeSuspectToDown { .. }) {
                self.set_timer(context.now + delay.as_nanos() as Nanos, timer);
            }
        }
        for notification in runtime.notifications {
            match notification {
                OwnedNotification::Rejoin(_) => self.rejoined(context),
                OwnedNotification::MemberDown(_) => {
                    let at = context
                        .now
                        .max(self.last_early_gossip + EARLY_GOSSIP_INTERVAL);
                    self.early_gossip_due.get_or_insert(at);
                    let wake_up = at + MS;
                    self.wake_up = Some(self.wake_up.map_or(wake_up, |due| due.min(wake_up)));
                }
                _ => {}
            }
        }
    }
}
