//! SWIM with the library `foca`: its datagrams, timers, rejoins and updates.

mod joining;

use super::context::{Context, GOSSIP_INTERVAL};
use super::foca_adapter::{CollectingRuntime, FocaInstance, foca_config};
use super::membership_table::MembershipTable;
use super::roster::Roster;
use crate::envelope::MessageKind;
use crate::identity::{MembershipCodec, ObservedGeneration, TrackedAddresses};
use crate::payload::PayloadError;
use crate::{Identity, MS, MembershipEvent, MembershipSettings, Nanos};
use foca::{Foca, OwnedNotification, Timer};
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Minimum interval between early gossips, by which a death is broadcast without waiting for the
/// next periodic gossip.
const EARLY_GOSSIP_INTERVAL: Nanos = 20 * MS;
/// Minimum interval between raises of this member's generation above a greater one of the same
/// address. Without it, two processes at one address would raise each other's generation endlessly.
const GENERATION_RAISE_INTERVAL: Nanos = 1_000 * MS;

/// SWIM at one member. Errors of `foca`, other than those for received datagrams, come from sending
/// or from outdated timers and are ignored.
pub(super) struct SwimProtocol {
    foca: FocaInstance,
    roster: Roster,
    observed_generation: ObservedGeneration,
    tracked_addresses: TrackedAddresses,
    own_address: SocketAddr,
    members_max: usize,
    probe_interval: Nanos,
    /// Timers of `foca` by due time: a few, and one for each dead member.
    timers: BTreeMap<(Nanos, u64), Timer<Identity>>,
    timer_sequence: u64,
    join_addresses: Vec<SocketAddr>,
    next_join: Nanos,
    join_backoff: Nanos,
    /// Whether this member has ever known another live member.
    has_joined: bool,
    last_generation_raise: Nanos,
    next_dead_announcement: Nanos,
    /// Dead members at the last full update of the table.
    dead: Vec<Identity>,
    /// Time at which a death is gossiped without waiting for the next periodic gossip.
    early_gossip_due: Option<Nanos>,
    last_early_gossip: Nanos,
    /// Time of the requested tick, if one is needed earlier than scheduled.
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
        let tracked_addresses = TrackedAddresses::default();
        let codec = MembershipCodec::new(
            settings.address,
            observed_generation.clone(),
            tracked_addresses.clone(),
            settings.members_max,
        );
        SwimProtocol {
            foca: Foca::new(id, foca_config(settings), rng, codec),
            roster: Roster::new(),
            observed_generation,
            tracked_addresses,
            own_address: settings.address,
            members_max: settings.members_max,
            probe_interval: settings.timing.probe_interval,
            timers: BTreeMap::new(),
            timer_sequence: 0,
            join_addresses: settings.join.clone(),
            next_join: first_join,
            join_backoff: joining::JOIN_BACKOFF_MIN,
            has_joined: false,
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

    /// Returns the number of other live members, suspects included.
    pub(super) fn alive(&self) -> usize {
        self.foca.num_members()
    }

    /// Returns the other live members, suspects included.
    pub(super) fn live_members(&self) -> impl Iterator<Item = &foca::Member<Identity>> {
        self.foca.iter_members()
    }

    /// Returns all other members, dead ones included.
    pub(super) fn all_members(&self) -> impl Iterator<Item = &foca::Member<Identity>> {
        self.foca.iter_membership_state()
    }

    pub(super) fn is_alive(&self, address: SocketAddr) -> bool {
        self.live_members().any(|m| m.id().address == address)
    }

    /// Returns whether a member is alive in exactly this generation.
    pub(super) fn is_alive_as(&self, id: &Identity) -> bool {
        self.live_members().any(|m| m.id() == id)
    }

    /// Returns the generation in which a member is tracked, whether it is alive or dead.
    pub(super) fn tracked_generation(&self, address: SocketAddr) -> Option<u64> {
        self.all_members()
            .find(|m| m.id().address == address)
            .map(|m| m.id().generation)
    }

    pub(super) fn observed_generation(&self) -> &ObservedGeneration {
        &self.observed_generation
    }

    /// Adds an address to the tracked ones if there is capacity. Returns whether it is tracked
    /// afterwards.
    pub(super) fn admit(&self, address: SocketAddr) -> bool {
        self.tracked_addresses.admit(address, self.members_max)
    }

    pub(super) fn has_joined(&self) -> bool {
        self.has_joined
    }

    pub(super) fn update_has_joined(&mut self) {
        self.has_joined |= self.alive() > 0;
    }

    /// Returns the snapshot of the membership, after reading it again if it may have changed.
    pub(super) fn refreshed_roster(&mut self) -> &Roster {
        self.roster.refresh(&self.foca);
        &self.roster
    }

    pub(super) fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns a random live member other than this one.
    pub(super) fn random_member(&self, context: &mut Context) -> Option<SocketAddr> {
        let others = self.alive();
        let chosen = (others > 0).then(|| context.rng.random_range(0..others))?;
        self.live_members().nth(chosen).map(|m| m.id().address)
    }

    /// Replaces the dead members and the tracked addresses after a full update of the table.
    pub(super) fn update_tracked(&mut self, dead: Vec<Identity>) {
        self.dead = dead;
        let addresses = self.foca.iter_membership_state();
        self.tracked_addresses
            .replace(addresses.map(|m| m.id().address));
    }

    /// Returns the number of rejoins since the last call.
    pub(super) fn take_rejoins(&mut self) -> usize {
        std::mem::take(&mut self.pending_rejoins)
    }

    /// Returns the time of a tick requested since the last call, if any.
    pub(super) fn take_wake_up(&mut self) -> Option<Nanos> {
        self.wake_up.take()
    }

    /// Returns when the next timer or early gossip is due.
    pub(super) fn next_due(&self) -> Nanos {
        let timer = self.timers.first_key_value();
        let timer = timer.map_or(Nanos::MAX, |((at, _), _)| *at);
        timer.min(self.early_gossip_due.unwrap_or(Nanos::MAX))
    }

    /// Receives a SWIM message.
    pub(super) fn receive(
        &mut self,
        context: &mut Context,
        table: &MembershipTable,
        from: SocketAddr,
        payload: &[u8],
    ) -> Result<(), PayloadError> {
        let is_full = self.all_members().count() >= self.members_max;
        if is_full && self.tracked_generation(from).is_none() {
            // The member that has been dead the longest is removed to make room for the new one.
            let Some(dead) = self.oldest_dead(table) else {
                context.statistics.over_capacity += 1;
                return Ok(());
            };
            self.handle_timer(context, Timer::RemoveDown(dead));
            self.tracked_addresses.remove(dead.address);
        }
        self.tracked_addresses.insert(from);
        let mut runtime = CollectingRuntime::default();
        let result = self.foca.handle_data(payload, &mut runtime);
        self.roster.invalidate();
        self.handle_output(context, runtime);
        self.raise_generation(context);
        result.map_err(|error| PayloadError::Swim(error.to_string()))
    }

    fn oldest_dead(&self, table: &MembershipTable) -> Option<Identity> {
        // The table may contain members that `foca` has removed since the last update of the table.
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

    /// Raises this member's generation above a greater one that other members report for its
    /// address.
    pub(super) fn raise_generation(&mut self, context: &mut Context) {
        let observed = self.observed_generation.get();
        let too_early =
            context.now.saturating_sub(self.last_generation_raise) < GENERATION_RAISE_INTERVAL;
        if observed <= self.id().generation || too_early {
            return;
        }
        self.last_generation_raise = context.now;
        let id = Identity {
            generation: observed + 1,
            ..self.id()
        };
        let mut runtime = CollectingRuntime::default();
        self.roster.invalidate();
        if self.foca.change_identity(id, &mut runtime).is_ok() {
            self.handle_output(context, runtime);
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
        let mut runtime = CollectingRuntime::default();
        let _ = self
            .foca
            .apply_many(updates.into_iter(), true, &mut runtime);
        self.roster.invalidate();
        self.handle_output(context, runtime);
    }

    /// Refutes a suspicion of this member, and notifies `prober` first.
    pub(super) fn refute(
        &mut self,
        context: &mut Context,
        suspicion: foca::Member<Identity>,
        prober: Identity,
    ) {
        let mut runtime = CollectingRuntime::default();
        let updates = std::iter::once(suspicion);
        let _ = self.foca.apply_many(updates, true, &mut runtime);
        self.roster.invalidate();
        context.statistics.refutations += 1;
        // The header of the announcement carries the new incarnation; gossip spreads it to the
        // other members.
        let _ = self.foca.announce(prober, &mut runtime);
        self.handle_output(context, runtime);
    }

    /// Broadcasts a state that this member itself detected for a live member.
    pub(super) fn declare(
        &mut self,
        context: &mut Context,
        address: SocketAddr,
        state: foca::State,
    ) {
        let member = self.live_members().find(|m| m.id().address == address);
        if let Some(member) = member {
            let update = foca::Member::new(*member.id(), member.incarnation(), state);
            self.apply(context, vec![update]);
        }
    }

    /// Announces this member to other members so that they add it.
    pub(super) fn announce(
        &mut self,
        context: &mut Context,
        to: impl IntoIterator<Item = Identity>,
    ) {
        let mut runtime = CollectingRuntime::default();
        for id in to {
            let _ = self.foca.announce(id, &mut runtime);
        }
        self.handle_output(context, runtime);
    }

    /// Broadcasts that this member leaves.
    pub(super) fn leave(&mut self, context: &mut Context) {
        let mut runtime = CollectingRuntime::default();
        let _ = self.foca.leave_cluster(&mut runtime);
        self.roster.invalidate();
        self.handle_output(context, runtime);
    }

    /// Reschedules the timers that became due during a stall of this process. The end of a probe is
    /// postponed by a full probe interval, and an indirect probe to the next tick, so that
    /// acknowledgements which arrived during the stall are read first. All other timers run at
    /// once.
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
                // This timer ends the previous probe, and starts the next one.
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
        // The other timers only send, and do not change the membership.
        if matches!(
            timer,
            Timer::ProbeRandomMember(_) | Timer::ChangeSuspectToDown { .. } | Timer::RemoveDown(_)
        ) {
            self.roster.invalidate();
        }
        let mut runtime = CollectingRuntime::default();
        let _ = self.foca.handle_timer(timer, &mut runtime);
        self.handle_output(context, runtime);
    }

    /// Gossips a death, if one is pending, without waiting for the next periodic gossip.
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
        let mut runtime = CollectingRuntime::default();
        let _ = self.foca.gossip(&mut runtime);
        self.handle_output(context, runtime);
    }

    /// Sends the datagrams, sets the timers and handles the notifications that `foca` produced.
    fn handle_output(&mut self, context: &mut Context, runtime: CollectingRuntime) {
        for (to, payload) in runtime.datagrams {
            context.send(to.address, MessageKind::Swim, &payload);
        }
        for (delay, timer) in runtime.timers {
            // Dropped: the suspicion timers of this crate decide when a suspect is dead.
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
