//! The loop: gather what is ready, hand it to the module in one go, carry out what came back.

mod admin;
mod attempts;
mod discovery;
mod gossip;
mod hot_restart;
mod requests;
mod turns;

use crate::attempt_tracker::AttemptTracker;
use crate::config::Config;
use crate::counters::{Counters, DecisionStep};
use crate::discovery::DiscoveryClient;
use crate::engine_adapter::EngineAdapter;
use crate::gossip::GossipTransport;
use crate::hot_restart::HotRestart;
use crate::lifecycle::Lifecycle;
use crate::listener::admin::{AdminListener, CALLERS_MAX};
use crate::listener::resp::RespListener;
use crate::poll::{EventSource, Poll, Readiness, Registered};
use crate::poll_timestamps::{PollTimestamps, WAIT_MOST};
use crate::process_slots::ProcessSlots;
use crate::request::FinalAnswer;
use crate::timers::{Clock, MS, TimerKind, Timers};
use crate::upstream_pool::{UpstreamJob, UpstreamPool};
use crate::watch_backoff::WatchBackoff;
use attempts::Wanted;
use hot_restart::{clients_socket, take_seat};
use polling::Events;
use routing::{Action, AttemptOutcome, Deferral, DiscoveryMode, Engine, Event, Nanos, TimerToken};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::time::Duration;
use turns::{TurnMeter, TurnStep};

/// Descriptors kept for the listener, the poller, discovery, signals and the standard streams.
const SOCKETS_KEPT: usize = 32;
/// However few descriptors there are, peers and clients get this many.
const SOCKETS_LEAST: usize = 12;
/// Of the other descriptors peers get this part: most tries end before the next command of their client comes.
const PEERS_PART: usize = 3;
/// Of the memory, requests and answers together may hold this part.
const MEMORY_PART: usize = 4;
/// How often idle and stuck connections are looked for.
const SWEEP: Nanos = 50 * MS;

/// The balancer at work.
pub struct EventLoop {
    /// What the program runs by; `known` is taken out.
    config: Config,
    clock: Clock,
    poll: Poll,
    timers: Timers,
    counters: Counters,
    decide: EngineAdapter,
    front: RespListener,
    group: DiscoveryClient,
    peers: UpstreamPool,
    tries: AttemptTracker,
    stop: Registered<UnixStream>,
    report: Registered<UnixStream>,
    reload: Registered<UnixStream>,
    /// What has happened and isn't told to the module yet.
    news: Vec<Event>,
    /// When the sockets were last looked at.
    looks: PollTimestamps,
    /// How long turns take.
    turns: TurnMeter,
    /// Jobs whose connections are up and of which nothing is written.
    up: VecDeque<UpstreamJob>,
    /// For how many turns some of these have waited for a look that is recent enough.
    postponed_turns: u32,
    /// The process was held up, and not all that came meanwhile is taken in.
    catching_up: bool,
    /// For how many more looks that may last.
    looks_to_catch_up: u32,
    memory: usize,
    max_open: usize,
    life: Lifecycle,
    management: Option<AdminListener>,
    /// The talk with the other balancers, if it is set.
    fleet: Option<GossipTransport>,
    /// The other process of an upgrade, where there can be one.
    seats: Option<ProcessSlots>,
    hand_over: HotRestart,
}

/// How many descriptors peers and clients get, after the door for operators if there is one.
fn split_sockets(sockets: usize, management: bool) -> (usize, usize) {
    // The listener and the callers.
    let kept = SOCKETS_KEPT + if management { 1 + CALLERS_MAX } else { 0 };
    let left = sockets.saturating_sub(kept).max(SOCKETS_LEAST);
    let for_peers = left / PEERS_PART;
    (for_peers, left - for_peers)
}

/// A pipe that becomes readable with each of these signals.
fn signals(
    poll: &Poll,
    numbers: &[i32],
    source: EventSource,
) -> io::Result<Registered<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    for number in numbers {
        signal_hook::low_level::pipe::register(*number, write.try_clone()?)?;
    }
    poll.watch(read, source, true, false)
}

fn what<T>(result: io::Result<T>, what: &str) -> Result<T, String> {
    result.map_err(|e| format!("{what}: {e}"))
}

impl EventLoop {
    /// Opens all that is needed before the first client can be served.
    pub fn new(mut config: Config) -> Result<Self, String> {
        let clock = Clock::start();
        let now = clock.now();
        let looks = PollTimestamps::start(now);
        let poll = what(Poll::new(), "poller")?;
        let (for_peers, for_clients) = split_sockets(config.sockets, config.management.is_some());
        let brain =
            Engine::new(config.settings.clone(), config.seed, now).map_err(|e| e.to_string())?;
        let transport = config.transport;
        let known = config.known.take();
        let deadlines = config.settings.classes.iter().map(|class| class.deadline);
        let life = Lifecycle::new(
            config.socket_fd.is_some(),
            deadlines.max().unwrap_or_default(),
        );
        let grace = config.settings.rules.drain_grace;
        let pace =
            (config.settings.discovery == DiscoveryMode::Push).then(|| WatchBackoff::new(grace));
        let management = |address| {
            let key = "configuration: management (GW_MANAGEMENT)";
            AdminListener::listen(&poll, address, config.fleet.is_some()).map_err(|e| {
                format!("{key}: {address}: {e}; a free address of this machine is expected")
            })
        };
        let mut me = EventLoop {
            stop: what(
                signals(&poll, &[SIGTERM, SIGINT], EventSource::Stop),
                "signals",
            )?,
            report: what(signals(&poll, &[SIGUSR1], EventSource::Report), "signals")?,
            reload: what(signals(&poll, &[SIGHUP], EventSource::Reload), "signals")?,
            front: what(
                RespListener::listen(
                    &poll,
                    clients_socket(&config)?,
                    for_clients,
                    life.stance(now),
                    looks,
                ),
                &format!("listening on {}", config.listen),
            )?,
            seats: take_seat(&config, now),
            hand_over: HotRestart::new(),
            group: DiscoveryClient::new(&poll, config.discovery, pace),
            peers: UpstreamPool::new(
                &poll,
                for_peers,
                transport.connect_timeout,
                transport.idle_timeout,
            ),
            decide: EngineAdapter::new(brain, config.names.clone()),
            tries: AttemptTracker::default(),
            timers: Timers::default(),
            counters: Counters::default(),
            news: Vec::new(),
            looks,
            turns: TurnMeter::start(now),
            up: VecDeque::new(),
            postponed_turns: 0,
            catching_up: false,
            looks_to_catch_up: 0,
            // By `split`.
            memory: 0,
            max_open: transport.max_open_requests,
            management: config.management.map(management).transpose()?,
            fleet: None,
            life,
            clock,
            poll,
            config,
        };
        me.split();
        me.timers.set(now + SWEEP, TimerKind::Sweep);
        me.look(now);
        me.join_fleet(now)?;
        match known {
            Some(list) => me.known_list(list),
            // The module begins with its first event. Without a list there would be none until a client comes, and
            // none is sent to who isn't ready.
            None => me.news.push(Event::TimerFired(TimerToken(0))),
        }
        if me.group.is_pushed() {
            me.watch(now);
        }
        Ok(me)
    }

    /// Works until a request to stop is carried out.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Events::new();
        let mut ready = Vec::new();
        while !self.is_over() {
            self.settle();
            self.end_turn();
            let looked = what(self.look_at_sockets(&mut events, &mut ready), "waiting")?;
            self.gather(&mut ready, looked);
        }
        self.leave_fleet();
        self.print_counters();
        Ok(())
    }

    /// How long to wait for sockets: not at all while something is left to do.
    fn wait(&self) -> Duration {
        if self.catching_up || !self.up.is_empty() || self.group.has_pending() {
            return Duration::ZERO;
        }
        let most = Duration::from_nanos(WAIT_MOST);
        self.timers
            .wait(self.clock.now())
            .map_or(most, |wait| wait.min(most))
    }

    /// Waits for ready sockets. False if a signal cut the wait short.
    fn look_at_sockets(
        &mut self,
        events: &mut Events,
        ready: &mut Vec<Readiness>,
    ) -> io::Result<bool> {
        let wait = self.wait();
        let began = self.clock.now();
        let looked = self.poll.wait(events, Some(wait), ready)?;
        self.note_look(began, self.clock.now(), looked);
        Ok(looked)
    }

    /// After a request to stop: no new clients, all that was taken is answered, and every answer is out.
    fn is_over(&self) -> bool {
        self.life.is_over(self.clock.now(), !self.front.is_empty())
    }

    /// Tells the module what happened and does what it says, until nothing is left to tell.
    fn settle(&mut self) {
        self.turns.step(TurnStep::Decisions, self.clock.now());
        while !self.news.is_empty() {
            let now = self.clock.now();
            let mut news = std::mem::take(&mut self.news);
            for event in &mut news {
                // Since it was read its time has run on.
                if let Event::RequestArrived(new) = event
                    && let Some(left) = self.tries.left(now, new.id)
                {
                    new.client_timeout = left;
                }
            }
            for action in self.decide.decide(now, news) {
                self.carry_out(now, action);
            }
        }
    }

    /// Takes in all that is ready. Lists go first. Outcomes go before new requests, so that the module decides by the latest.
    /// What waits to be written goes last, behind the closes of clients and the lists that were found with it.
    fn gather(&mut self, ready: &mut Vec<Readiness>, looked: bool) {
        let now = self.clock.now();
        if looked {
            let somebody_waits = ready.iter().any(|one| one.source == EventSource::Listener);
            self.front.set_looks(self.looks, somebody_waits);
        }
        self.tries.set_lost(self.looks.lost());
        // The operators' calls go first: whatever the load, an answer waits for one turn at most.
        for one in ready.iter().filter(|one| {
            matches!(
                one.source,
                EventSource::AdminListener | EventSource::Caller(_)
            )
        }) {
            self.management(now, *one);
        }
        self.turns.step(TurnStep::Lists, now);
        for one in ready
            .iter()
            .filter(|one| matches!(one.source, EventSource::Discovery(_)))
        {
            let mut events = Vec::new();
            self.group.ready(now, *one, &mut events, &mut self.counters);
            self.group_events(events);
        }
        self.take_list();
        self.turns.step(TurnStep::UpstreamPool, self.clock.now());
        let mut clients = Vec::new();
        for one in ready.drain(..) {
            match one.source {
                EventSource::AdminListener | EventSource::Caller(_) | EventSource::Discovery(_) => {
                }
                EventSource::Peer(_) => {
                    let mut events = Vec::new();
                    self.peers
                        .ready(now, one, &mut self.timers, &mut events, &mut self.counters);
                    self.peer_events(now, events);
                }
                EventSource::Stop => self.stop(now),
                EventSource::Report => {
                    drain(&self.report);
                    self.print_counters();
                }
                EventSource::Reload => self.reload(now),
                EventSource::Gossip => self.fleet_ready(now),
                EventSource::Listener => self.front.accept(now, &mut self.counters),
                EventSource::Client(_) => clients.push(one),
            }
        }
        self.turns.step(TurnStep::Timers, self.clock.now());
        // Who waits for something to come has waited until the last look that did not report it, no longer.
        while let Some(due) = self.timers.pop(self.looks.quiet()) {
            self.due(now, due);
        }
        self.turns.step(TurnStep::Clients, self.clock.now());
        for one in clients {
            let mut events = Vec::new();
            self.front.ready(now, one, &mut events, &mut self.counters);
            self.front_events(now, events);
        }
        if looked {
            self.has_caught_up();
            self.begin_jobs(true);
        }
    }

    fn due(&mut self, now: Nanos, due: TimerKind) {
        match due {
            TimerKind::Module(token) => self.news.push(Event::TimerFired(token)),
            TimerKind::Attempt(request, attempt) => {
                // What was not sent whole never ran, and may be repeated.
                let unsent = self.peers.is_unsent(UpstreamJob::Attempt(request, attempt));
                let outcome = if unsent {
                    AttemptOutcome::ConnectFailed
                } else {
                    AttemptOutcome::Timeout
                };
                if let Some(event) =
                    self.tries
                        .give_up(now, request, attempt, outcome, &mut self.counters)
                {
                    self.peers
                        .abandon(UpstreamJob::Attempt(request, attempt), &mut self.counters);
                    self.news.push(event);
                }
            }
            TimerKind::Probe(probe) => {
                if let Some(event) = self.tries.probe_due(probe) {
                    self.peers
                        .abandon(UpstreamJob::Probe(probe), &mut self.counters);
                    self.news.push(event);
                }
            }
            TimerKind::Connect(number) => {
                let mut events = Vec::new();
                self.peers
                    .connect_due(number, &mut events, &mut self.counters);
                self.peer_events(now, events);
            }
            TimerKind::Stall(number) => {
                let mut events = Vec::new();
                // What came since the last look is not read yet.
                let seen = self.looks.quiet();
                self.peers
                    .stall_due(seen, number, &mut events, &mut self.counters);
                self.peer_events(now, events);
            }
            TimerKind::Discovery(number) => {
                let mut events = Vec::new();
                let seen = self.looks.quiet();
                self.group.due(
                    seen,
                    number,
                    &mut self.timers,
                    &mut events,
                    &mut self.counters,
                );
                self.group_events(events);
            }
            TimerKind::Watch => self.watch(now),
            TimerKind::Sweep => {
                let mut events = Vec::new();
                self.front.sweep(now, &mut events, &mut self.counters);
                self.peers.sweep(now, &mut self.counters);
                if let Some(management) = &mut self.management {
                    management.sweep(now, &mut self.counters);
                }
                self.front_events(now, events);
                self.timers.set(now + SWEEP, TimerKind::Sweep);
            }
            TimerKind::Lifecycle => self.follow(now),
            TimerKind::Look => self.look(now),
            TimerKind::Gossip => self.fleet_turn(now),
        }
    }

    fn carry_out(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send {
                request,
                attempt,
                endpoint: server,
                timeout,
                write_within: begin_within,
            } => {
                self.send(
                    now,
                    Wanted {
                        request,
                        attempt,
                        server,
                        timeout,
                        begin_within,
                    },
                );
            }
            Action::Fail {
                request,
                explanation: why,
            } => {
                self.explain(request, DecisionStep::Failed, &why);
                if let Some(answer) = self.tries.answer(request, FinalAnswer::Failed) {
                    self.answer(now, answer);
                }
            }
            Action::Defer {
                request,
                deferral: withheld,
                explanation: why,
            } => {
                let step = match withheld {
                    Deferral::Queued => DecisionStep::Held,
                    Deferral::HedgeSuppressed => DecisionStep::NoCopy,
                };
                self.explain(request, step, &why);
            }
            Action::Reject {
                request,
                retry_after,
                explanation: why,
            } => {
                self.explain(request, DecisionStep::Refused, &why);
                if let Some(answer) = self
                    .tries
                    .answer(request, FinalAnswer::Refused { retry_after })
                {
                    self.answer(now, answer);
                }
            }
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            Action::HealthCheck(server) => self.probe(now, server),
            Action::CloseIdleConnections(server) => {
                self.peers.close_idle(server, &mut self.counters)
            }
            Action::QueryDiscovery => self.watch(now),
            Action::SetTimer { after, token } => self
                .timers
                .set(now.saturating_add(after), TimerKind::Module(token)),
            Action::Log(text) => log::info!("{text}"),
        }
    }

    fn stop(&mut self, now: Nanos) {
        drain(&self.stop);
        // The platform may have asked at any time since the look before.
        if self.life.stop(self.looks.arrived()) {
            log::info!("asked to stop: answering what was taken");
            // The process may be killed then, with what was taken before and has longer.
            if let Some(by) = self.life.answer_by() {
                self.tries.hurry(by);
                self.news.push(Event::ShuttingDown(by));
            }
            // The platform may have asked as soon as the newcomer was ready.
            self.look(now);
            self.follow(now);
        }
    }

    /// Reads the configuration again and takes over what applies live. Client connections, the list and all tries
    /// stay; so does everything if the file is faulty.
    fn reload(&mut self, now: Nanos) {
        drain(&self.reload);
        match self.config.reload(|name| std::env::var(name).ok()) {
            Ok(new) => self.run_by(new, now),
            Err(e) => {
                self.counters.reloads_failed += 1;
                log::error!("{e}; the old configuration stays");
            }
        }
    }

    fn run_by(&mut self, mut new: Config, now: Nanos) {
        self.counters.reloads += 1;
        log::info!("the configuration was read again");
        // What the watch has told since is newer.
        new.known = None;
        let later = new.start_only(&self.config);
        if !later.is_empty() {
            log::warn!(
                "changed, but heeded at the next start only: {}",
                later.join(", ")
            );
        }
        if new.discovery != self.config.discovery {
            self.news.push(Event::DiscoveryAvailable);
        }
        let failed = self
            .group
            .move_to(new.discovery, now, &mut self.timers, &mut self.counters);
        self.group_events(failed.into_iter().collect());
        self.config = new;
        self.split();
    }

    /// On standard output, so that no choice of log level hides them.
    fn print_counters(&self) {
        // Nobody may be reading any more; that is no reason to fail.
        let _ = writeln!(io::stdout(), "{}", self.counters);
        if let Some(fleet) = &self.fleet {
            let _ = writeln!(io::stdout(), "{fleet}");
        }
    }
}

/// Empties a signal pipe: several signals may have come.
fn drain(pipe: &Registered<UnixStream>) {
    let mut bytes = [0; 64];
    while matches!(pipe.socket().read(&mut bytes), Ok(n) if n > 0) {}
}

#[cfg(test)]
mod tests;
