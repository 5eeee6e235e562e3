//! Every decision of the balancer, top to bottom. Its interface (settings, events, actions) is `src/api.rs`.
//! The records it keeps of servers and requests are plain types in `src/state.rs`.
//!
//! A state machine without I/O, clock or shared state: the same settings, seed and events give the same
//! actions. A read goes to one of its slot's three candidates; after T one copy goes to another.

use crate::api::*;
use crate::state::*;
use crate::stats::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slots::{Candidates, Ranking, SLOTS};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const MS: Nanos = 1_000_000;
const SEC: f64 = 1e9;
const QUANTILE: f64 = 0.99; // T is this quantile of the record, by the design.
const HOPELESS: f64 = 2.5; // Over T by this factor, an attempt is given up while another may be made.
const FIRST_SAMPLES: u64 = 20; // Until the record has this many samples, T is its cap, by the design.
const MEMORY: f64 = 500.0; // Samples until one weighs 1/e: by count, so that little traffic does not swing T.
const COPY_SHARE: f64 = 0.1; // Copies per first send, so that they cannot double an overload ...
const COPY_BURST: f64 = 6.0; // ... beyond a burst that covers finding out that a server or two went silent.
const RETRY_SHARE: f64 = 0.2; // Retries per first send, so that failures do not feed on themselves ...
const RETRY_BURST: f64 = 8.0; // ... beyond a burst that covers a crash.
const BURST_LEAST: f64 = 3.0; // Of both at each of many routers: failures come a few at a time.
const STRIKES: f64 = 2.0; // Failures or overdue silences in a row before a server is suspected.
const BAD_GAIN: f64 = 0.1; // Weight of a new attempt in the share of those that come to nothing.
const CALM: f64 = 0.3; // A server that turns away more is no place for a copy or for what was turned away.
const SLOW: f64 = 3.0; // Slower than the usual server by this factor, it is one that is failing.
const TURNED_FADE: f64 = 0.98; // A server's share is forgotten at this pace, or one left out never came back.
const TURNED_LEAST: f64 = 0.05; // A server's share that counts as trouble: an error in the last seconds.
const SPREAD: f64 = 0.5; // With trouble at this part of the servers its cause is behind them all.
const CHANCE: f64 = 0.05; // Strikes in a row that by that share come more often say nothing of a server.
const ERROR_STRIKE: f64 = 0.5; // An error may be the origin's doing: less than a broken connection.
const VOID_SHARE: f64 = 0.75; // With more of the fleet suspected, suspicion says nothing.
const BACKOFF: Nanos = 1_000 * MS; // First wait before a suspected server gets a trial; doubles each time.
const BACKOFF_MAX: Nanos = 8_000 * MS; // Longest such wait, about what a restart takes to be listed.
const LATENCY_GAIN: f64 = 0.1; // Weight of a new sample in a server's mean latency.
const PACE_GAIN: f64 = 0.05; // The same in how long its answers take for the work that was guessed.
const HOLDER_WEIGHT: f64 = 1e4; // Draw weight of a server that answered the key lately: far over others.
const HEAVY: f64 = 30.0; // Work guessed to take a thirtieth of the aim halves a draw weight.
const HITS_START: f64 = 0.5; // Hit share of a server until told, the same for all.
/// Hit share of a rank until told: routers that see too little to be told gather at first ranks all the same.
const RANK_HITS: [f64; CANDIDATES] = [0.9, 0.5, 0.5];
const HITS_GAIN: f64 = 0.02; // Weight of a new answer in a hit share.
const LEAST_MISSES: f64 = 0.03; // The least miss share that is believed.
const GATHER: i32 = 4; // How steeply draws follow the miss share of a rank.
const LEAST_WEIGHT: f64 = 0.05; // Least reported hit share that counts, so that one that fills gets reads.
const OWNER_ROOM: f64 = 1.25; // Part of a limit open to reads that probably hit there ...
const SPILL_ROOM: f64 = 0.6; // ... and to others, while the origin is well: spilled, they would ask it again.
const LIMIT_START: f64 = 4.0; // In flight at a server of mean size, over all routers, until more is known.
const LIMIT_MIN: f64 = 0.2; // Under 1, sends are spaced: many routers with one each would choke a server.
const LIMIT_MAX: f64 = 16.0; // At mean size: what one router may fill.
const LIMIT_FADE: f64 = 0.98; // An unused limit goes back to the start at this pace, half in some 3 s.
const LIMIT_STEP: f64 = 0.5; // Growth of a reached limit for an easy hit.
const LIMIT_STEP_MISS: f64 = 0.1; // The same for a miss, which tells less of the cache's own load.
const LIMIT_STEP_HIGH: f64 = 0.05; // Beyond the knee: a surge choked all servers before latency told of it.
const EASY: f64 = 1.2; // Mean latency over the unloaded one up to which a limit grows ...
const CROWDED: f64 = 1.8; // ... and from which on it shrinks,
const EASY_PART: f64 = 0.13; // The same as parts of the shortest aim, if that is more: a wait that no
const CROWDED_PART: f64 = 0.2; // answer is late for is no reason to refuse, however quick it is alone.
const CROWDED_CUT: f64 = 0.92; // by this factor for an answer,
const REJECT_CUT: f64 = 0.7; // and by this one for a time-out, or a rejection of what it most likely holds.
const BASE_CREEP: f64 = 0.0003; // The unloaded latency creeps up so each answer, to forget a lucky low.
const ORIGIN_CUT: f64 = 0.9; // An error's factor on the share of reads with unknown keys let through.
const ORIGIN_RISE: f64 = 0.02; // A working fetch's: it settles where a sixth fail; rare errors are borne.
const ORIGIN_SLOW: f64 = 0.97; // The same for a fetch while fetches take long: the queue at the origin grows.
const ORIGIN_CROWDED: f64 = 2.5; // Fetch time over the unloaded one for that: a crowded cache stays under.
const ORIGIN_LEAST: f64 = 0.05;
const BORNE: f64 = 0.8; // Above this share nothing is refused: a time-out or two are no evidence of overload.
const DISTRESS: f64 = 0.6; // Under this share the origin is in distress: no copies, and no retries of errors.
const KNOWN_FOR: Nanos = 4_000 * MS; // A key answered in this or the last such period is probably held.
const IDLE_CONNECTIONS: usize = 60; // Left open at a server over all routers: a handshake has its price.
const IDLE_MOST: usize = 64; // ... and of one router this many in all: each is a descriptor.
const IDLE_LEAST: Nanos = 500 * MS; // Those beyond it are closed once idle for this long.
const HOUSEKEEPING: Nanos = 100 * MS; // Short against every deadline, long enough to cost nothing.
const RATE_TAU: f64 = 2.0 * SEC; // Memory of request rates: under a cold window, and quick to grow back.
const COLD_PART: f64 = 1.2; // A cold server's due, of what ready ones of its size are served, ...
const ASKED_SHARE: f64 = 0.5; // ... or of what is asked, if more: a fleet that is all cold must grow.
const USEFUL: f64 = 2.0; // Let through for each that was useful: a share that is well again doubles in 2 s.
const LEAST_SHARE: f64 = 0.3; // Clients repeat a few times, no more; some failures are not of our making.
const UNSEEN: f64 = 1.0; // Let through besides, in the memory of a rate, to see whether it works again.
/// The most of a tier that is shed: what is shut out whole is never seen to have room again.
pub const MAX_SHED_FRACTION: f64 = 0.95;
const SHED_TURN: f64 = 0.55; // Of the circle: over half, or turns would shed the same halves for ever.
const HOLD_PART: Nanos = 2; // A request waits for room at most this part of its aim ...
const HOLD_PART_OVER: Nanos = 8; // ... or this, beyond its tenant's share; later it would come late anyway.
const LISTED_WITHIN: Nanos = 6_000 * MS; // What comes while lists are told started so long before at most.
const CALL_BACKOFF: Nanos = 400 * MS; // First wait after a failed list call; doubles up to the next.
const CALL_BACKOFF_MAX: Nanos = 2_500 * MS; // Or twice the time for asking; half more at most, and a call
// that hangs is given up after 1.6 s: all within the 6 s after which a change counts as told.
const CALL_SPREAD: Nanos = 300 * MS; // Routers restarted together spread their first list call over it.

fn unknown_server(entry: Endpoint, is_news: bool, now: Nanos, fill: f64) -> Server {
    let told = Server {
        entry,
        listed: now,
        is_news,
        hits: HITS_START,
        backoff: BACKOFF,
        ..Server::default()
    };
    Server {
        cold_budget: fill,
        cold_budget_at: now,
        ..told
    }
}

impl Engine {
    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.next_token == 0 {
            self.timer(HOUSEKEEPING, Timer::Housekeeping);
            if matches!(self.settings.discovery, DiscoveryMode::Poll { .. }) {
                let spread = self.random_below(CALL_SPREAD);
                self.timer(spread, Timer::Call);
            }
        }
        match event {
            Event::EndpointUpdate {
                kind: scope,
                endpoints: entries,
            } => self.on_list(scope, entries),
            Event::RequestArrived(new) => self.on_request(new),
            Event::AttemptEnded(end) => {
                self.judge(&end);
                self.with(end.request, |me, r| me.on_ended(r, &end));
                self.release_held();
            }
            Event::ResponseStarted { request, attempt } => {
                self.with(request, |me, r| me.on_begun(r, attempt))
            }
            Event::ClientDisconnected(id) => self.with(id, |me, r| me.close(r, None)),
            Event::HealthCheckEnded {
                endpoint: server,
                outcome,
                ..
            } => self.on_probed(server, outcome),
            Event::ShuttingDown(by) => {
                for id in self.requests.keys().copied().collect::<Vec<_>>() {
                    self.with(id, |me, r| me.hurry(r, by));
                }
            }
            Event::DiscoveryAvailable => self.call_backoff = CALL_BACKOFF,
            Event::BalancerCount(routers) => {
                self.settings.balancers = routers.max(1);
                self.routers_root = (self.settings.balancers as f64).sqrt();
            }
            Event::FleetShedding(allowance) => self.allowance = allowance,
            Event::TimerFired(TimerToken(token)) => match self.timers.remove(&token) {
                Some(Timer::Deadline(id)) => self.with(id, |me, r| me.on_deadline(r)),
                Some(Timer::Copy(id)) => self.with(id, |me, r| me.on_late(r)),
                Some(Timer::Housekeeping) => self.housekeeping(),
                Some(Timer::Call) => self.actions.push(Action::QueryDiscovery),
                None => {}
            },
        }
        actions.append(&mut self.actions);
    }

    // ---- legality: every send, copy and refusal passes here ----

    fn legal(&self, r: &Request, step: Step) -> bool {
        if r.done || r.streaming {
            return false;
        }
        let effect = self.settings.classes[r.new.class.0].idempotency;
        let server = match step {
            // A refusal says that a retry is harmless: not so once an unsafe attempt may have run.
            Step::Refuse => {
                return match effect {
                    Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: DeduplicationScope::All,
                        ..
                    } => true,
                    _ => !r.attempts.iter().any(Attempt::may_have_run),
                };
            }
            Step::Send(id) | Step::Copy(id) => match self.servers.get(&id) {
                // A draining or removed server gets nothing from the moment the router is told.
                Some(s) if s.entry.state == EndpointState::Active => s,
                _ => return false,
            },
        };
        if self.now >= r.deadline
            || r.attempts.len() >= self.settings.capabilities.max_attempts as usize
        {
            return false;
        }
        let two_out =
            effect == Idempotency::Idempotent && self.settings.capabilities.hedging && r.out() < 2;
        if r.out() > 0 && !two_out
            || matches!(step, Step::Copy(_)) && effect != Idempotency::Idempotent
        {
            return false;
        }
        let mut ran = r.attempts.iter().filter(|a| a.may_have_run());
        match effect {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => ran.next().is_none(),
            // The servers forget a repeat `window` after the first send that may have run.
            Idempotency::Keyed {
                scope: group,
                window,
            } => {
                r.first_run()
                    .is_none_or(|first| self.now < first.sent.saturating_add(window))
                    && ran.all(|a| match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => a.zone == server.entry.zone,
                        DeduplicationScope::Cell => a.cell == server.entry.cell,
                    })
            }
        }
    }

    // ---- placement ----

    fn is_origin(&self, entry: &Endpoint) -> bool {
        matches!(self.settings.origin, OriginMode::CacheAside { kind } if kind == entry.kind)
    }

    /// The slot's servers in rank order: by a hash of slot and server id, stretched by the stated weight so
    /// that a server's share of slots follows its size. The list alone decides, never health.
    fn ranking(&self, slot: usize) -> Ranking {
        self.slots.ranking(slot)
    }

    fn weight(&self, entry: &Endpoint) -> f64 {
        let stated = if self.settings.dynamic_weights {
            1.0
        } else {
            entry.weight
        };
        if stated.is_finite() {
            stated.clamp(0.01, 100.0)
        } else {
            1.0
        }
    }

    fn candidates(&mut self, slot: usize) -> Candidates {
        self.slots.candidates(slot)
    }

    /// How long a server has run: by its stated start, as far as that fits with when it was listed.
    /// Starts are told by a clock that all machines read; this machine's may have been off when the process
    /// started.
    fn age(&self, s: &Server) -> Nanos {
        let stated = self.now.saturating_sub(s.entry.started);
        let listed = self.now.saturating_sub(s.listed);
        let most = if s.is_news {
            listed.saturating_add(LISTED_WITHIN)
        } else {
            Nanos::MAX
        };
        stated.clamp(listed, most)
    }

    /// Share of its capacity that a server has at least, by the stated cold share and warm-up.
    fn ramp(&self, s: &Server) -> f64 {
        let rules = &self.settings.rules;
        let age = self.age(s);
        if s.entry.started == 0 || age >= rules.slow_start_duration {
            return 1.0;
        }
        let cold = rules.slow_start_fraction.clamp(0.01, 1.0);
        cold + (1.0 - cold) * age as f64 / rules.slow_start_duration as f64
    }

    /// Tops up and tells a cold server's hard budget: what ready ones of its size get, by its ramp (what
    /// is asked may be many times that). Each router keeps to its part, so together they stay far under what
    /// tips it, and starts at a random fill, so that hundreds do not send their first at once.
    fn cold_room(&mut self, id: EndpointId) -> bool {
        let Some(s) = self.servers.get(&id) else {
            return false;
        };
        let ramp = self.ramp(s);
        if ramp >= 1.0 {
            return true;
        }
        let served = COLD_PART * self.served.per_s(self.now) / self.ready_weight.max(0.01);
        let asked = ASKED_SHARE * self.asked.per_s(self.now) / self.total_weight.max(0.01);
        let due = served.max(asked) * self.weight(&s.entry) * ramp;
        let most = (due * self.settings.rules.overload_window as f64 / SEC / 2.0).max(1.0);
        let Some(s) = self.servers.get_mut(&id) else {
            return false;
        };
        let gained = due * self.now.saturating_sub(s.cold_budget_at) as f64 / SEC;
        s.cold_budget = (s.cold_budget + gained).min(most);
        s.cold_budget_at = self.now;
        s.cold_budget >= 1.0
    }

    fn fitness(&mut self, r: &Request, id: EndpointId, owner: bool) -> Fitness {
        let safe = self.settings.classes[r.new.class.0].idempotency == Idempotency::Idempotent;
        let cold_room = self.cold_room(id);
        let Some(s) = self.servers.get(&id) else {
            return Fitness::Suspect;
        };
        // One trial at a time, after the back-off, and only with a request that a copy can save.
        let trial = s.proven && s.out.is_empty() && safe;
        let suspect = s
            .suspect_until
            .is_some_and(|until| !trial || self.now < until);
        if suspect && !self.suspicion_void {
            Fitness::Suspect
        } else if !cold_room {
            Fitness::Crowded(DecisionReason::SlowStart)
        } else {
            match self.room(s, if owner { OWNER_ROOM } else { self.spill_room() }) {
                None => Fitness::Open,
                Some(short) => Fitness::Crowded(short),
            }
        }
    }

    /// Part of a limit for reads that would be fetched: less as fetches fail or slow down.
    fn spill_room(&self) -> f64 {
        SPILL_ROOM * self.origin_room * self.fetch.base.max(1.0) / self.fetch.now.max(1.0)
    }

    /// Why this part of the in-flight limit leaves no room for one more; none if it does.
    fn room(&self, s: &Server, part: f64) -> Option<DecisionReason> {
        let limit = s.limit * part;
        let spacing = if limit < 1.0 {
            s.latency.now * (1.0 / limit - 1.0)
        } else {
            0.0
        };
        let spaced = (self.now as f64) < s.last_answer as f64 + spacing;
        let full = s.out.len() as f64 >= limit.max(1.0);
        if full {
            Some(DecisionReason::ConcurrencyLimit)
        } else {
            spaced.then_some(DecisionReason::Pacing)
        }
    }

    /// Draw weight: by the hit share that the server reports and that answers told at this rank, steeply, so
    /// that a key's reads gather where it is held; cut by a cold start and, where clients guess the work, by
    /// how much of the aim it takes there: heavy work is for the quick.
    fn draw_weight(&self, s: &Server, rank: usize, work: Option<Nanos>) -> f64 {
        let misses = (1.0 - self.hits[rank]).max(LEAST_MISSES).powi(GATHER);
        let takes = work.and_then(|w| s.pace.expect(w as f64)).unwrap_or(0.0);
        self.ramp(s) * s.hits.max(LEAST_WEIGHT) / misses / (1.0 + HEAVY * takes / self.aim.max(1.0))
    }

    /// Two draws among the fit candidates; fewer of our requests in flight wins, on a tie the better rank.
    /// Who holds the key most likely hits, others miss: a fetch they would have to make counts as one in
    /// flight. For a key that nobody answered here, the first rank is where other routers ask for it.
    fn draw(
        &mut self,
        fit: &[(usize, EndpointId)],
        key: Option<Key>,
        work: Option<Nanos>,
    ) -> Option<EndpointId> {
        let weigh = |(rank, id): &(usize, EndpointId)| {
            let told = self.draw_weight(&self.servers[id], *rank, work);
            (
                *rank,
                *id,
                if self.known.held(key, *id) {
                    told * HOLDER_WEIGHT
                } else {
                    told
                },
            )
        };
        let (mut pool, mut drawn): (Vec<_>, Vec<_>) = (fit.iter().map(weigh).collect(), Vec::new());
        while drawn.len() < 2 && !pool.is_empty() {
            let total: f64 = pool.iter().map(|p| p.2).sum();
            let mut left = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64 * total;
            let at = pool.iter().position(|p| {
                left -= p.2;
                left < 0.0
            });
            drawn.push(pool.remove(at.unwrap_or(pool.len() - 1)));
        }
        let nobody = !fit.iter().any(|(_, id)| self.known.held(key, *id));
        let fetch = |rank: usize, id| !(self.known.held(key, id) || nobody && rank == 0);
        let load =
            |rank, id: EndpointId| self.servers[&id].out.len() + usize::from(fetch(rank, id));
        drawn
            .into_iter()
            .min_by_key(|(rank, id, _)| (load(*rank, *id), *rank))
            .map(|(_, id, _)| id)
    }

    /// Where the next attempt goes: a fit candidate; beyond the three only when none of them is usable.
    fn pick(&mut self, r: &Request, copy: bool) -> Pick {
        let step = |id| if copy { Step::Copy(id) } else { Step::Send(id) };
        let mut three: Vec<(usize, EndpointId)> =
            self.candidates(r.slot).into_iter().enumerate().collect();
        three.retain(|(_, id)| self.legal(r, step(*id)));
        let untried: Vec<(usize, EndpointId)> = three
            .iter()
            .copied()
            .filter(|(_, id)| !r.tried(*id))
            .collect();
        if copy || !untried.is_empty() {
            three = untried;
        }
        let mut open = Vec::new();
        let mut crowded = None;
        for (rank, id) in three {
            let owner = self.known.held(r.new.key, id) || rank == 0;
            match self.fitness(r, id, owner) {
                Fitness::Open => open.push((rank, id)),
                Fitness::Crowded(why) => crowded = crowded.or(Some(why)),
                Fitness::Suspect => {}
            }
        }
        // Of those that turn much away none is drawn while another candidate is open.
        if !self.suspicion_void && open.iter().any(|(_, id)| self.is_calm(*id)) {
            open.retain(|(_, id)| self.is_calm(*id));
        }
        if let Some(id) = self.draw(&open, r.new.key, r.new.estimated_work) {
            return Pick::To(id);
        }
        // Room comes within milliseconds, a cold one's due within seconds: if the first lacks that, go on.
        if let Some(why) = crowded.filter(|why| *why != DecisionReason::SlowStart) {
            return Pick::Wait(why);
        } else if copy {
            return Pick::Nowhere;
        }
        let mut first_legal = None;
        for id in self.ranking(r.slot) {
            if !self.legal(r, step(id)) {
                continue;
            }
            first_legal = first_legal.or(Some(id));
            if self.fitness(r, id, false) == Fitness::Open {
                return Pick::To(id);
            }
        }
        // Nobody is usable: fail open rather than turn everything away.
        match first_legal {
            Some(id) if self.cold_room(id) => Pick::To(id),
            Some(_) => Pick::Wait(DecisionReason::SlowStart),
            None => Pick::Nowhere,
        }
    }

    // ---- requests ----

    fn on_request(&mut self, new: NewRequest) {
        if self.requests.contains_key(&new.id) {
            return;
        }
        if new.class.0 >= self.settings.classes.len() {
            let why = Explanation {
                reason: DecisionReason::UnknownClass,
                ..Explanation::default()
            };
            return self.actions.push(Action::Fail {
                request: new.id,
                explanation: why,
            });
        }
        self.asked.add(self.now);
        let mut over_share = false;
        if let Some(TenantId(t)) = new.tenant.filter(|t| t.0 < self.tenants.len()) {
            self.tenants[t].add(self.now);
            let mine =
                self.settings.tenants[t].quota_per_second / self.settings.balancers.max(1) as f64;
            over_share = self.tenants[t].per_s(self.now) > mine;
        }
        let most = |burst: f64| (burst / self.routers_root).max(BURST_LEAST);
        self.copy_budget = (self.copy_budget + COPY_SHARE).min(most(COPY_BURST));
        self.retry_budget = (self.retry_budget + RETRY_SHARE).min(most(RETRY_BURST));
        let slot = match new.key {
            Some(Key(k)) => xxh3_64_with_seed(&k.to_le_bytes(), 0) as usize % SLOTS,
            None => self.random_below(SLOTS as u64) as usize,
        };
        let r = Request::new(new, self.now, slot, over_share);
        // With slack enough, a last answer may still come in at the deadline itself.
        let tight = self.settings.rules.final_answer_grace < 2 * self.settings.tick;
        let early = if tight { 2 * self.settings.tick } else { 0 };
        self.timer(
            new.client_timeout.saturating_sub(early),
            Timer::Deadline(new.id),
        );
        let shed = self.sheds(&r);
        self.tally.admitted[self.tier(&r).min(COUNTED_TIERS - 1)] += u32::from(!shed);
        let spared = if shed {
            Some(DecisionReason::FleetShedding)
        } else if !self.fleet_bears() {
            Some(DecisionReason::FleetOverload)
        } else {
            (!self.origin_bears(&r)).then_some(DecisionReason::OriginProtection)
        };
        self.requests.insert(new.id, r);
        self.with(new.id, |me, r| match spared {
            Some(reason) => me.finish(r, reason),
            None => me.advance(r),
        });
    }

    /// Whether all routers shed this request: the tiers of least worth first, and of the last one those whose
    /// key is in the part of the circle that is shed at this turn, so it fares alike wherever it is asked.
    /// The part moves by about half: who comes back at the next turn is let in, as long as half is enough.
    fn sheds(&self, r: &Request) -> bool {
        let part = (self.allowance.level - self.tier(r) as f64).clamp(0.0, MAX_SHED_FRACTION);
        if part == 0.0 {
            return false;
        }
        let of = r
            .new
            .key
            .map_or(r.new.id.0, |key| u128::from(key.0))
            .to_le_bytes();
        let place = xxh3_64_with_seed(&of, r.new.class.0 as u64) as f64 / u64::MAX as f64;
        (place + SHED_TURN * (self.allowance.rotation % 1_000) as f64).fract() < part
    }

    /// Whether the fleet, as far as this router saw, has room for one more request. Where routers are so many
    /// that their least limits exceed a server's start, each learns of no server in time, but of all of them.
    fn fleet_bears(&mut self) -> bool {
        let [taken, served] =
            [&self.taken, &self.served].map(|rate| rate.per_s(self.now) * RATE_TAU / SEC);
        let share = ((USEFUL * served + UNSEEN) / taken.max(0.1)).max(LEAST_SHARE);
        let few = self.settings.balancers as f64 * LIMIT_MIN <= LIMIT_START;
        let bears = few || (self.random_below(1000) as f64) < share * 1000.0;
        (!bears).then(|| self.taken.add(self.now));
        bears
    }

    /// Whether a read may go on although the origin may have to fetch it. In distress the origin works on
    /// what nobody waits for any more, and clients' retries keep it there; only fewer misses let it recover.
    fn origin_bears(&mut self, r: &Request) -> bool {
        let known = self
            .candidates(r.slot)
            .into_iter()
            .any(|id| self.known.held(r.new.key, id));
        let safe = self.settings.classes[r.new.class.0].idempotency == Idempotency::Idempotent;
        let let_through = self.origin_room / BORNE;
        known || !safe || r.new.is_write || (self.random_below(1000) as f64) < let_through * 1000.0
    }

    fn move_origin_room(&mut self, factor: f64) {
        let step = factor.powf((self.routers_root - 2.0).max(1.0)); // One of many routers sees few fetches.
        self.origin_room = (self.origin_room * step).clamp(ORIGIN_LEAST, 1.0);
    }

    fn judge_origin(&mut self, r: &Request, end: &AttemptResult) {
        self.known.age(self.now);
        let sent = r.attempts[end.attempt.0 as usize].sent;
        let alive = self
            .servers
            .get(&end.endpoint)
            .is_some_and(|s| s.last_answer > sent);
        match (end.outcome, end.cache_status, r.new.key) {
            // The server answered others meanwhile: no silence, but fetches that take too long.
            (AttemptOutcome::Timeout, _, key)
                if alive && self.tells(&r.new) && !self.known.held(key, end.endpoint) =>
            {
                self.move_origin_room(ORIGIN_CUT);
            }
            (AttemptOutcome::Error, _, key) => {
                // What fails at one server and not at others is not the origin's doing.
                if self.trouble_is_spread() {
                    self.move_origin_room(ORIGIN_CUT);
                }
                self.candidates(r.slot)
                    .into_iter()
                    .for_each(|id| self.known.remove(key, id));
            }
            (AttemptOutcome::Ok, note, key) => {
                if note != Some(CacheStatus::Hit) {
                    // Where answers do not tell, a slow one says nothing of fetches.
                    if note.is_some() {
                        self.fetch.add(end.latency as f64, LATENCY_GAIN, BASE_CREEP);
                    }
                    let slow = self.fetch.now > ORIGIN_CROWDED * self.fetch.base;
                    self.move_origin_room(if slow { ORIGIN_SLOW } else { 1.0 + ORIGIN_RISE });
                }
                self.known
                    .insert(key.filter(|_| !r.new.is_write), end.endpoint);
            }
            _ => {}
        }
    }

    /// Sends the next attempt, holds the request for room, or ends it.
    fn advance(&mut self, r: &mut Request) {
        self.held.remove(&r.new.id);
        let aside = matches!(self.settings.origin, OriginMode::CacheAside { .. });
        if aside
            && (r.new.is_write
                || r.attempts
                    .iter()
                    .any(|a| a.ended == Some(AttemptOutcome::CacheMiss)))
        {
            return self.ask_origin(r);
        }
        match self.pick(r, false) {
            Pick::To(id) => self.send(r, id, false),
            Pick::Wait(reason) => self.hold(r, reason),
            Pick::Nowhere if self.total_weight == 0.0 && r.attempts.is_empty() => {
                self.hold(r, DecisionReason::NoEndpoints)
            }
            Pick::Nowhere => self.finish(r, DecisionReason::NoEligibleEndpoint),
        }
    }

    /// Aside mode: the origin gets a missed read once, and every write.
    fn ask_origin(&mut self, r: &mut Request) {
        let asked = r
            .attempts
            .iter()
            .any(|a| a.origin && a.ended != Some(AttemptOutcome::Rejected));
        let usable =
            |id: EndpointId, s: &Server| self.is_origin(&s.entry) && self.legal(r, Step::Send(id));
        let origins = self.servers.iter().filter(|(id, s)| usable(**id, s));
        let origin = origins.min_by_key(|(id, s)| (s.out.len(), **id));
        let origin = origin.map(|(id, s)| (*id, self.room(s, 1.0)));
        match origin {
            Some((id, None)) if !asked || r.new.is_write => self.send(r, id, true),
            Some((_, Some(reason))) if !asked || r.new.is_write => self.hold(r, reason),
            _ if r.out() > 0 => {}
            _ => self.finish(r, DecisionReason::NoEligibleEndpoint),
        }
    }

    fn hold(&mut self, r: &mut Request, reason: DecisionReason) {
        let since = r.held_since.map_or(self.now, |(since, _)| since);
        if r.held_since
            .replace((since, reason))
            .is_none_or(|before| before.1 != reason)
        {
            self.note(r, Deferral::Queued, reason);
        }
        self.held.insert(r.new.id);
    }

    fn send(&mut self, r: &mut Request, id: EndpointId, origin: bool) {
        let number = AttemptNumber(r.attempts.len() as u32);
        let class = &self.settings.classes[r.new.class.0];
        let left = r.deadline.saturating_sub(self.now);
        // Far beyond T it will most likely never be answered: given up in time for another, if lawful.
        let hopeless = (self.overdue() as f64 * HOPELESS) as Nanos;
        let timeout = match class.idempotency {
            Idempotency::Keyed { window, .. } if r.attempts.is_empty() => {
                Some((left.min(window) / 4 * 3).min(hopeless).max(1))
            }
            Idempotency::Idempotent
                if r.attempts.len() + 1 < self.settings.capabilities.max_attempts as usize =>
            {
                Some(hopeless).filter(|t| *t < left)
            }
            _ => None,
        };
        let safe = class.idempotency == Idempotency::Idempotent;
        let begin_within = match class.idempotency {
            Idempotency::Keyed { window, .. } => r
                .first_run()
                .map(|first| first.sent.saturating_add(window).saturating_sub(self.now)),
            _ => None,
        };
        let Some(s) = self.servers.get_mut(&id) else {
            return;
        };
        s.out.push((self.now, r.new.id, number));
        s.idle_since = None;
        s.cold_budget -= 1.0;
        let (zone, cell) = (s.entry.zone, s.entry.cell);
        r.attempts.push(Attempt {
            server: id,
            zone,
            cell,
            sent: self.now,
            ended: None,
            origin,
        });
        r.held_since = None;
        let (request, attempt, server) = (r.new.id, number, id);
        self.actions.push(Action::Send {
            request,
            attempt,
            endpoint: server,
            timeout,
            write_within: begin_within,
        });
        if safe && !origin && !r.copied && self.settings.capabilities.hedging {
            self.timer(self.late_after(left), Timer::Copy(r.new.id));
        }
    }

    /// T: when a read counts as late.
    fn late_after(&self, left: Nanos) -> Nanos {
        let cap = left / 2;
        self.overdue().min(cap)
    }

    fn on_late(&mut self, r: &mut Request) {
        let single = r.out() == 1 && !r.copied && !r.attempts.iter().any(|a| a.origin);
        if !single {
            return;
        }
        let reason = match self.pick(r, true) {
            _ if self.copy_budget < 1.0 => DecisionReason::BudgetExhausted,
            _ if self.origin_room < DISTRESS => DecisionReason::OriginOverload,
            Pick::To(server)
                if self.bad <= CALM || self.is_calm(server) && !self.trouble_is_spread() =>
            {
                self.copy_budget -= 1.0;
                r.copied = true;
                return self.send(r, server, false);
            }
            Pick::To(_) => DecisionReason::RetryFutile,
            Pick::Wait(reason) => {
                // No room is no reason to give a late read up: the same copy is asked for again.
                let left = r.deadline.saturating_sub(self.now);
                let again = self.late_after(left).max(self.settings.tick);
                if again < left {
                    self.timer(again, Timer::Copy(r.new.id));
                }
                reason
            }
            Pick::Nowhere => DecisionReason::NoEligibleEndpoint,
        };
        self.note(r, Deferral::HedgeSuppressed, reason);
    }

    fn on_ended(&mut self, r: &mut Request, end: &AttemptResult) {
        let Some(a) = r
            .attempts
            .get_mut(end.attempt.0 as usize)
            .filter(|a| a.ended.is_none())
        else {
            return;
        };
        a.ended = Some(end.outcome);
        let origin = a.origin;
        self.judge_origin(r, end);
        let used = end.outcome == AttemptOutcome::Ok && end.request_finished && !r.done;
        let class = &self.settings.classes[r.new.class.0];
        if used
            && (class.late_value_fraction > 0.0
                || self.now.saturating_sub(r.arrived) <= class.latency_objective)
        {
            self.served.add(self.now);
        }
        if used && !origin && !r.new.is_write {
            self.record.add(end.latency);
        }
        if end.request_finished || r.done {
            self.close(r, None);
        } else if end.outcome == AttemptOutcome::InvalidRequest {
            let why = self.why(r, DecisionReason::InvalidRequest);
            self.close(
                r,
                Some(Action::Fail {
                    request: r.new.id,
                    explanation: why,
                }),
            );
        } else if end.outcome == AttemptOutcome::CacheMiss
            && self.settings.origin != OriginMode::ReadThrough
        {
            self.advance(r);
        } else if r.out() == 0 {
            // Nothing is out: another attempt, within the budget that keeps retries from feeding overload.
            let crowded = matches!(
                end.outcome,
                AttemptOutcome::Rejected | AttemptOutcome::Timeout
            );
            let calm = self.calm_place(r);
            // No charge for what took no server's time: no connection, or rejected with a calm place next.
            let free = end.outcome == AttemptOutcome::ConnectFailed
                || end.outcome == AttemptOutcome::Rejected && calm.is_some();
            let no_retry = match end.outcome {
                _ if self.now >= r.deadline => Some(DecisionReason::DeadlineExceeded),
                _ if crowded && calm.is_none() && self.bad > CALM => {
                    Some(DecisionReason::RetryFutile)
                }
                AttemptOutcome::Error if self.origin_room < DISTRESS => {
                    Some(DecisionReason::OriginOverload)
                }
                _ => (!free && self.retry_budget < 1.0).then_some(DecisionReason::BudgetExhausted),
            };
            if let Some(reason) = no_retry {
                return self.finish(r, reason);
            }
            self.retry_budget -= if free { 0.0 } else { 1.0 };
            // Who refused a connection refuses the next at once: all attempts go within a millisecond.
            let elsewhere = crowded || end.outcome == AttemptOutcome::ConnectFailed;
            match calm {
                Some(id) if elsewhere => self.send(r, id, false),
                _ => self.advance(r),
            }
        }
    }

    /// Where a request that was turned away most likely is not again: a candidate, or if they turn much away,
    /// the next in rank.
    fn calm_place(&mut self, r: &Request) -> Option<EndpointId> {
        // With most of the fleet in trouble the few that seem well are not given all the load.
        if self.suspicion_void {
            return None;
        }
        let fresh = |me: &Self, id: &EndpointId| me.is_calm(*id) && !r.tried(*id);
        if let Pick::To(id) = self.pick(r, false)
            && fresh(self, &id)
        {
            return Some(id);
        }
        self.elsewhere(r)
    }

    /// The first in rank, beyond the candidates too, not tried yet, that turns little away and has room.
    fn elsewhere(&mut self, r: &Request) -> Option<EndpointId> {
        self.ranking(r.slot).find(|id| {
            self.legal(r, Step::Send(*id))
                && self.is_calm(*id)
                && !r.tried(*id)
                && self.fitness(r, *id, false) == Fitness::Open
        })
    }

    fn on_begun(&mut self, r: &mut Request, number: AttemptNumber) {
        if !r.done
            && r.attempts
                .get(number.0 as usize)
                .is_some_and(|a| a.ended.is_none())
        {
            r.streaming = true;
            self.cancel_others(r, Some(number));
        }
    }

    fn on_deadline(&mut self, r: &mut Request) {
        let left = r.deadline.saturating_sub(self.now);
        if left > 2 * self.settings.tick && !r.done {
            // The caller's timers have an upper limit; a longer patience is waited out in parts.
            self.timer(left, Timer::Deadline(r.new.id));
        } else if !r.done && !r.streaming {
            self.finish(r, DecisionReason::DeadlineExceeded);
        }
    }

    fn hurry(&mut self, r: &mut Request, by: Nanos) {
        if by < r.deadline {
            r.deadline = by;
            self.timer(by.saturating_sub(self.now), Timer::Deadline(r.new.id));
        }
    }

    /// The router's own final answer: a refusal where that is legal, else a failure.
    fn finish(&mut self, r: &mut Request, reason: DecisionReason) {
        let short = matches!(
            reason,
            DecisionReason::FleetOverload
                | DecisionReason::ConcurrencyLimit
                | DecisionReason::Pacing
                | DecisionReason::RetryFutile
        );
        self.tally.capacity_rejections += u32::from(short);
        let why = self.why(r, reason);
        let answer = if self.legal(r, Step::Refuse) {
            let wait = if self.settings.capabilities.retry_after {
                self.advice(r, reason)
            } else {
                0
            };
            let retry_after = wait.min(self.settings.capabilities.max_retry_after);
            Action::Reject {
                request: r.new.id,
                retry_after,
                explanation: why,
            }
        } else {
            Action::Fail {
                request: r.new.id,
                explanation: why,
            }
        };
        self.close(r, Some(answer));
    }

    /// When a client may come back, spread so that not all do at once: within its aim if room may appear by
    /// then, beyond it if the fleet or the origin is overloaded, which an answer in time would only prolong.
    fn advice(&mut self, r: &Request, reason: DecisionReason) -> Nanos {
        let aim = self.settings.classes[r.new.class.0].latency_objective;
        let left = aim.saturating_sub(self.now.saturating_sub(r.arrived));
        match reason {
            DecisionReason::DeadlineExceeded
            | DecisionReason::NoEligibleEndpoint
            | DecisionReason::InvalidRequest
            | DecisionReason::UnknownClass => 0,
            DecisionReason::FleetShedding => {
                let turn_ends = self.allowance.rotation_ends.saturating_sub(self.now);
                turn_ends + self.random_below(aim)
            }
            DecisionReason::ConcurrencyLimit
            | DecisionReason::Pacing
            | DecisionReason::SlowStart
            | DecisionReason::NoEndpoints
            | DecisionReason::BudgetExhausted
                if left > 0 =>
            {
                left / 4 + self.random_below(left / 2)
            }
            _ => aim / 2 + self.random_below(aim),
        }
    }

    /// Nothing more happens for this request; what is still out is called back.
    fn close(&mut self, r: &mut Request, answer: Option<Action>) {
        self.held.remove(&r.new.id);
        if !r.done {
            self.actions.extend(answer);
            r.done = true;
            // Only what took a server's time: rejections and errors are answered elsewhere.
            if r.attempts.iter().any(|a| {
                matches!(
                    a.ended,
                    None | Some(AttemptOutcome::Ok | AttemptOutcome::Timeout)
                )
            }) {
                self.taken.add(self.now);
            }
            self.cancel_others(r, None);
        }
    }

    fn cancel_others(&mut self, r: &Request, except: Option<AttemptNumber>) {
        for (i, a) in r.attempts.iter().enumerate() {
            let attempt = AttemptNumber(i as u32);
            if self.settings.capabilities.cancellation
                && a.ended.is_none()
                && Some(attempt) != except
            {
                self.actions.push(Action::Cancel {
                    request: r.new.id,
                    attempt,
                });
            }
        }
    }

    /// Held requests go on as room appears, the most worth first; who waited too long is turned away.
    fn release_held(&mut self) {
        let worth = |r: &Request| self.settings.classes[r.new.class.0].priority_weight;
        let held = self.held.iter().filter_map(|id| self.requests.get(id));
        let mut order: Vec<_> = held
            .map(|r| (r.over_share, -worth(r), r.arrived, r.new.id))
            .collect();
        order.sort_by(|a, b| {
            a.0.cmp(&b.0)
                .then(a.1.total_cmp(&b.1))
                .then((a.2, a.3).cmp(&(b.2, b.3)))
        });
        for (over, _, _, id) in order {
            self.with(id, |me, r| {
                me.advance(r);
                let part = if over { HOLD_PART_OVER } else { HOLD_PART };
                let patience = (me.settings.classes[r.new.class.0].latency_objective / part)
                    .min(r.new.client_timeout / 5 * 2);
                let late = r
                    .held_since
                    .filter(|(since, _)| me.now.saturating_sub(*since) >= patience);
                // Not sent to whoever has room: reads that scatter while all are crowded push out what others
                // hold, and ever more has to be fetched.
                if let Some((_, reason)) = late.filter(|_| r.out() == 0 && !r.done) {
                    me.finish(r, reason);
                }
            });
        }
    }

    // ---- health ----

    /// Other routers are taken to send likewise, so each starts with its part of what a server can hold.
    fn start_limit(&self, size: f64) -> f64 {
        (LIMIT_START / self.settings.balancers as f64 * size).max(LIMIT_MIN)
    }

    /// What an attempt's end says of its server.
    fn judge(&mut self, end: &AttemptResult) {
        let overdue = self.overdue();
        let ended = self.requests.get(&end.request).map(|r| (r.new, r.slot));
        let rank = ended
            .filter(|(new, _)| !new.is_write)
            .and_then(|(_, slot)| {
                self.candidates(slot)
                    .iter()
                    .position(|id| *id == end.endpoint)
            });
        let new = ended.map(|(new, _)| new);
        let size = self.size(end.endpoint);
        let knee = LIMIT_START / self.routers_root * size;
        let telling = new.is_none_or(|new| self.tells(&new));
        // With no place for another fetch a server still serves hits: that says nothing of its room.
        let holds = new.is_some_and(|new| !new.is_write && self.known.held(new.key, end.endpoint));
        let fetches = self.settings.origin == OriginMode::ReadThrough && !holds;
        let Some(s) = self.servers.get_mut(&end.endpoint) else {
            return;
        };
        let before = s.strikes;
        let Some(at) = s
            .out
            .iter()
            .position(|o| (o.1, o.2) == (end.request, end.attempt))
        else {
            return;
        };
        let (sent, ..) = s.out.remove(at);
        s.idle_since = Some(self.now)
            .filter(|_| s.out.is_empty() && end.outcome != AttemptOutcome::ConnectFailed);
        let told = end
            .load_report
            .and_then(|l| l.hit_ratio)
            .filter(|h| (0.0..=1.0).contains(h));
        s.hits = told.unwrap_or(s.hits);
        if let (Some(rank), Some(note)) = (rank, end.cache_status) {
            self.hits[rank] += HITS_GAIN * (f64::from(note == CacheStatus::Hit) - self.hits[rank]);
        }
        match end.outcome {
            AttemptOutcome::Ok | AttemptOutcome::CacheMiss => {
                s.last_answer = self.now;
                s.strikes = 0.0;
                s.backoff = BACKOFF;
                if s.suspect_until.take().is_some() {
                    self.actions.push(Action::Log(format!(
                        "server {} answers again",
                        end.endpoint.0
                    )));
                }
                // A miss is as slow as the origin: it cannot say that the cache is crowded.
                let hit = end.cache_status.is_none_or(|n| n == CacheStatus::Hit);
                if hit {
                    s.latency.add(end.latency as f64, LATENCY_GAIN, BASE_CREEP);
                    if let Some(work) = new.and_then(|new| new.estimated_work) {
                        s.pace.add(end.latency as f64, work as f64, PACE_GAIN);
                    }
                }
                let mean = if hit { &s.latency } else { &self.fetch };
                if hit && mean.now > (CROWDED * mean.base).max(CROWDED_PART * self.aim) {
                    s.limit = (s.limit * CROWDED_CUT).max(LIMIT_MIN);
                } else if mean.now
                    < (EASY * mean.base).max(if hit { EASY_PART * self.aim } else { 0.0 })
                    && s.out.len() as f64 + 1.0 >= s.limit
                {
                    // Only a limit that was reached has shown that it may grow.
                    let low = if hit { LIMIT_STEP } else { LIMIT_STEP_MISS };
                    let step = if s.limit > knee { LIMIT_STEP_HIGH } else { low };
                    s.limit = (s.limit + step / s.limit.max(1.0)).min((LIMIT_MAX * size).max(1.0));
                }
            }
            AttemptOutcome::Error => s.strikes += ERROR_STRIKE,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => s.strikes += 1.0,
            AttemptOutcome::Timeout => s.strikes += f64::from(telling && s.last_answer <= sent),
            // Cancelled when overdue and nothing heard since: silence, though nobody waited for its end.
            AttemptOutcome::Cancelled if end.latency >= overdue && s.last_answer <= sent => {
                s.strikes += 1.0
            }
            // What can't be read, or suits no server, speaks against none.
            AttemptOutcome::Rejected
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::Unreadable
            | AttemptOutcome::InvalidRequest => {}
        }
        if end.outcome == AttemptOutcome::Rejected && !fetches
            || end.outcome == AttemptOutcome::Timeout && telling
        {
            s.limit = (s.limit * REJECT_CUT).max(LIMIT_MIN);
        }
        let full = f64::from(end.outcome == AttemptOutcome::Rejected);
        let failed = (full + s.strikes - before).clamp(0.0, 1.0);
        if failed > 0.0 || matches!(end.outcome, AttemptOutcome::Ok | AttemptOutcome::CacheMiss) {
            self.bad += BAD_GAIN * (failed - self.bad);
            s.turned += BAD_GAIN * (f64::from(failed > 0.0) - s.turned);
        }
        self.with_server(end.endpoint, |me, s| me.suspect(end.endpoint, s, 0.0));
    }

    /// Whether its time-outs speak against servers: those of a client that waits less long than answers take
    /// do not.
    fn tells(&self, new: &NewRequest) -> bool {
        self.record.samples < FIRST_SAMPLES
            || new.client_timeout
                >= self
                    .record
                    .t
                    .min(self.settings.classes[new.class.0].latency_objective)
    }

    /// Whether a server turns little away and is not far slower than the others.
    fn is_calm(&self, id: EndpointId) -> bool {
        self.servers
            .get(&id)
            .is_some_and(|s| s.turned <= CALM && s.latency.now <= SLOW * self.usual)
    }

    /// Whether so many servers lately turned something away or failed it that it is not their own doing.
    fn trouble_is_spread(&self) -> bool {
        let troubled = self
            .servers
            .values()
            .filter(|s| s.turned >= TURNED_LEAST)
            .count();
        troubled as f64 >= SPREAD * self.servers.len() as f64
    }

    /// When an unanswered attempt is late: T, once it is known.
    fn overdue(&self) -> Nanos {
        if self.record.samples < FIRST_SAMPLES {
            Nanos::MAX
        } else {
            self.record.t
        }
    }

    /// Suspicion once strikes suffice: no draw until a trial after a growing, jittered wait.
    fn suspect(&mut self, id: EndpointId, s: &mut Server, silent: f64) {
        self.suspect_beyond(self.strikes_enough(), id, s, silent);
    }

    /// Strikes in a row that are seldom chance, by the share of attempts that come to nothing anywhere.
    fn strikes_enough(&self) -> f64 {
        STRIKES.max(CHANCE.ln() / self.bad.clamp(0.01, 0.99).ln())
    }

    fn suspect_beyond(&mut self, enough: f64, id: EndpointId, s: &mut Server, silent: f64) {
        let jitter = self.random_below(1000) as f64 / 1000.0;
        let waiting = s.suspect_until.is_some_and(|until| self.now < until);
        if s.strikes + silent < enough || waiting {
            return;
        }
        if s.suspect_until.is_none() {
            self.actions.push(Action::Log(format!(
                "server {} suspected: no good answer lately",
                id.0
            )));
        }
        s.proven = !self.settings.capabilities.health_checks;
        s.suspect_until = Some(self.now + (s.backoff as f64 * (0.75 + 0.5 * jitter)) as Nanos);
        s.backoff = (s.backoff * 2).min(BACKOFF_MAX);
        s.strikes = STRIKES - 1.0;
    }

    /// A suspected server is probed first, so that no client pays for finding out that it is still gone.
    fn on_probed(&mut self, id: EndpointId, outcome: AttemptOutcome) {
        let Some(s) = self
            .servers
            .get_mut(&id)
            .filter(|s| s.suspect_until.is_some())
        else {
            return;
        };
        s.suspect_until = Some(self.now);
        if outcome == AttemptOutcome::Ok {
            s.proven = true;
        } else {
            self.with_server(id, |me, s| me.suspect(id, s, f64::INFINITY));
        }
    }

    fn on_list(&mut self, scope: UpdateKind, entries: Vec<Endpoint>) {
        match scope {
            UpdateKind::Failed => {
                let wait = self.call_backoff / 2 + self.random_below(self.call_backoff);
                let most = match self.settings.discovery {
                    DiscoveryMode::Poll {
                        staleness_limit: within @ 1..,
                    } => CALL_BACKOFF_MAX.min(within.saturating_mul(2)),
                    _ => CALL_BACKOFF_MAX,
                };
                self.call_backoff = (self.call_backoff * 2).min(most);
                // One call waits at a time, or a reload beside it would have two fail for good.
                self.timers.retain(|_, timer| !matches!(timer, Timer::Call));
                return self.timer(wait, Timer::Call);
            }
            UpdateKind::Delta => {}
            UpdateKind::Full | UpdateKind::Stale => {
                let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.id).collect();
                self.servers.retain(|id, _| listed.contains(id));
            }
        }
        if scope != UpdateKind::Stale {
            self.call_backoff = CALL_BACKOFF;
        }
        // What the first list names may have run for as long as it says.
        let is_news = !self.servers.is_empty();
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.servers.remove(&entry.id);
                continue;
            }
            let fill = self.random_below(1000) as f64 / 1000.0;
            let known = self
                .servers
                .entry(entry.id)
                .or_insert_with(|| unknown_server(entry, is_news, self.now, fill));
            // Same id, new start: another process, of which nothing is known.
            if known.entry.started != entry.started {
                let out = std::mem::take(&mut known.out);
                *known = Server {
                    out,
                    ..unknown_server(entry, is_news, self.now, fill)
                };
            }
            known.entry = entry;
        }
        let caches: Vec<(EndpointId, f64)> = self
            .caches()
            .map(|(id, s)| (*id, self.weight(&s.entry)))
            .collect();
        self.total_weight = caches.iter().map(|(_, weight)| weight).sum();
        self.ready_weight = self.total_weight;
        self.mean_weight = self.total_weight / caches.len().max(1) as f64;
        let unknown = self
            .servers
            .iter()
            .filter(|(_, s)| s.limit == 0.0)
            .map(|(id, _)| *id);
        for id in unknown.collect::<Vec<_>>() {
            let start = self.start_limit(self.size(id));
            self.servers.entry(id).and_modify(|s| s.limit = start);
        }
        self.slots.set_caches(&caches);
        self.release_held();
    }
}

mod housekeeping;
mod learnt;
mod plumbing;
mod slots;
mod tables;
mod why;
pub use learnt::Snapshot;
pub use tables::Engine;

#[cfg(test)]
mod tests;
