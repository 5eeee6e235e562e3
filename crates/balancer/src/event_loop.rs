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
use crate::listener::admin::{AdminListener, CONNECTIONS_MAX};
use crate::listener::resp::RespListener;
use crate::poll::{EventSource, Poll, Readiness, Registered};
use crate::poll_timestamps::{PollTimestamps, WAIT_MOST};
use crate::process_slots::ProcessSlots;
use crate::request::FinalAnswer;
use crate::timers::{Clock, MS, TimerKind, Timers};
use crate::upstream_pool::{UpstreamJob, UpstreamPool};
use crate::watch_backoff::WatchBackoff;
use attempts::AttemptOrder;
use hot_restart::{client_listener, take_process_slot};
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
    engine: EngineAdapter,
    listener: RespListener,
    discovery: DiscoveryClient,
    upstream_pool: UpstreamPool,
    attempt_tracker: AttemptTracker,
    stop_signal: Registered<UnixStream>,
    counters_signal: Registered<UnixStream>,
    reload_signal: Registered<UnixStream>,
    /// What has happened and isn't told to the module yet.
    pending_events: Vec<Event>,
    /// When the sockets were last looked at.
    poll_timestamps: PollTimestamps,
    /// How long turns take.
    turn_meter: TurnMeter,
    /// Jobs whose connections are up and of which nothing is written.
    connected_jobs: VecDeque<UpstreamJob>,
    /// For how many turns some of these have waited for a look that is recent enough.
    postponed_turns: u32,
    /// The process was held up, and not all that came meanwhile is taken in.
    catching_up: bool,
    /// For how many more looks that may last.
    catch_up_polls_left: u32,
    memory_limit: usize,
    open_requests_max: usize,
    lifecycle: Lifecycle,
    admin_listener: Option<AdminListener>,
    /// The talk with the other balancers, if it is set.
    gossip: Option<GossipTransport>,
    /// The other process of an upgrade, where there can be one.
    process_slots: Option<ProcessSlots>,
    hot_restart: HotRestart,
}

/// How many descriptors peers and clients get, after the door for operators if there is one.
fn split_sockets(sockets: usize, management: bool) -> (usize, usize) {
    // The listener and the callers.
    let kept = SOCKETS_KEPT + if management { 1 + CONNECTIONS_MAX } else { 0 };
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
            stop_signal: what(
                signals(&poll, &[SIGTERM, SIGINT], EventSource::Stop),
                "signals",
            )?,
            counters_signal: what(
                signals(&poll, &[SIGUSR1], EventSource::PrintCounters),
                "signals",
            )?,
            reload_signal: what(signals(&poll, &[SIGHUP], EventSource::Reload), "signals")?,
            listener: what(
                RespListener::listen(
                    &poll,
                    client_listener(&config)?,
                    for_clients,
                    life.policy(now),
                    looks,
                ),
                &format!("listening on {}", config.listen),
            )?,
            process_slots: take_process_slot(&config, now),
            hot_restart: HotRestart::new(),
            discovery: DiscoveryClient::new(&poll, config.discovery, pace),
            upstream_pool: UpstreamPool::new(
                &poll,
                for_peers,
                transport.connect_timeout,
                transport.idle_timeout,
            ),
            engine: EngineAdapter::new(brain, config.names.clone()),
            attempt_tracker: AttemptTracker::default(),
            timers: Timers::default(),
            counters: Counters::default(),
            pending_events: Vec::new(),
            poll_timestamps: looks,
            turn_meter: TurnMeter::start(now),
            connected_jobs: VecDeque::new(),
            postponed_turns: 0,
            catching_up: false,
            catch_up_polls_left: 0,
            // By `split`.
            memory_limit: 0,
            open_requests_max: transport.max_open_requests,
            admin_listener: config.management.map(management).transpose()?,
            gossip: None,
            lifecycle: life,
            clock,
            poll,
            config,
        };
        me.apply_limits();
        me.timers.set(now + SWEEP, TimerKind::ReapIdle);
        me.check_other_process(now);
        me.join_fleet(now)?;
        match known {
            Some(list) => me.load_known_list(list),
            // The module begins with its first event. Without a list there would be none until a client comes, and
            // none is sent to who isn't ready.
            None => me.pending_events.push(Event::TimerFired(TimerToken(0))),
        }
        if me.discovery.is_pushed() {
            me.start_watch(now);
        }
        Ok(me)
    }

    /// Works until a request to stop is carried out.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Events::new();
        let mut ready = Vec::new();
        while !self.is_finished() {
            self.run_decisions();
            self.end_turn();
            let looked = what(self.poll_sockets(&mut events, &mut ready), "waiting")?;
            self.process_ready(&mut ready, looked);
        }
        self.leave_fleet();
        self.print_counters();
        Ok(())
    }

    /// How long to wait for sockets: not at all while something is left to do.
    fn poll_timeout(&self) -> Duration {
        if self.catching_up || !self.connected_jobs.is_empty() || self.discovery.has_pending() {
            return Duration::ZERO;
        }
        let most = Duration::from_nanos(WAIT_MOST);
        self.timers
            .time_to_next(self.clock.now())
            .map_or(most, |wait| wait.min(most))
    }

    /// Waits for ready sockets. False if a signal cut the wait short.
    fn poll_sockets(
        &mut self,
        events: &mut Events,
        ready: &mut Vec<Readiness>,
    ) -> io::Result<bool> {
        let wait = self.poll_timeout();
        let began = self.clock.now();
        let looked = self.poll.wait(events, Some(wait), ready)?;
        self.record_poll(began, self.clock.now(), looked);
        Ok(looked)
    }

    /// After a request to stop: no new clients, all that was taken is answered, and every answer is out.
    fn is_finished(&self) -> bool {
        self.lifecycle
            .is_finished(self.clock.now(), !self.listener.is_empty())
    }

    /// Tells the module what happened and does what it says, until nothing is left to tell.
    fn run_decisions(&mut self) {
        self.turn_meter.step(TurnStep::Decisions, self.clock.now());
        while !self.pending_events.is_empty() {
            let now = self.clock.now();
            let mut news = std::mem::take(&mut self.pending_events);
            for event in &mut news {
                // Since it was read its time has run on.
                if let Event::RequestArrived(new) = event
                    && let Some(left) = self.attempt_tracker.left(now, new.id)
                {
                    new.client_timeout = left;
                }
            }
            for action in self.engine.decide(now, news) {
                self.execute(now, action);
            }
        }
    }

    /// Takes in all that is ready. Lists go first. Outcomes go before new requests, so that the module decides by the latest.
    /// What waits to be written goes last, behind the closes of clients and the lists that were found with it.
    fn process_ready(&mut self, ready: &mut Vec<Readiness>, looked: bool) {
        let now = self.clock.now();
        if looked {
            let somebody_waits = ready.iter().any(|one| one.source == EventSource::Listener);
            self.listener
                .set_poll_timestamps(self.poll_timestamps, somebody_waits);
        }
        self.attempt_tracker.set_lost(self.poll_timestamps.lost());
        // The operators' calls go first: whatever the load, an answer waits for one turn at most.
        for one in ready.iter().filter(|one| {
            matches!(
                one.source,
                EventSource::AdminListener | EventSource::AdminConnection(_)
            )
        }) {
            self.handle_admin(now, *one);
        }
        self.turn_meter.step(TurnStep::DiscoveryUpdates, now);
        for one in ready
            .iter()
            .filter(|one| matches!(one.source, EventSource::Discovery(_)))
        {
            let mut events = Vec::new();
            self.discovery
                .ready(now, *one, &mut events, &mut self.counters);
            self.handle_discovery_events(events);
        }
        self.apply_next_list_part();
        self.turn_meter.step(TurnStep::Upstreams, self.clock.now());
        let mut clients = Vec::new();
        for one in ready.drain(..) {
            match one.source {
                EventSource::AdminListener
                | EventSource::AdminConnection(_)
                | EventSource::Discovery(_) => {}
                EventSource::Upstream(_) => {
                    let mut events = Vec::new();
                    self.upstream_pool.ready(
                        now,
                        one,
                        &mut self.timers,
                        &mut events,
                        &mut self.counters,
                    );
                    self.handle_upstream_events(now, events);
                }
                EventSource::Stop => self.begin_shutdown(now),
                EventSource::PrintCounters => {
                    drain(&self.counters_signal);
                    self.print_counters();
                }
                EventSource::Reload => self.reload_config(now),
                EventSource::Gossip => self.receive_gossip(now),
                EventSource::Listener => self.listener.accept(now, &mut self.counters),
                EventSource::Client(_) => clients.push(one),
            }
        }
        self.turn_meter.step(TurnStep::Timers, self.clock.now());
        // Who waits for something to come has waited until the last look that did not report it, no longer.
        while let Some(due) = self.timers.pop_expired(self.poll_timestamps.quiet()) {
            self.timer_expired(now, due);
        }
        self.turn_meter.step(TurnStep::Clients, self.clock.now());
        for one in clients {
            let mut events = Vec::new();
            self.listener
                .ready(now, one, &mut events, &mut self.counters);
            self.handle_listener_events(now, events);
        }
        if looked {
            self.update_catch_up();
            self.start_connected_jobs(true);
        }
    }

    fn timer_expired(&mut self, now: Nanos, due: TimerKind) {
        match due {
            TimerKind::Engine(token) => self.pending_events.push(Event::TimerFired(token)),
            TimerKind::Attempt(request, attempt) => {
                // What was not sent whole never ran, and may be repeated.
                let unsent = self
                    .upstream_pool
                    .is_unsent(UpstreamJob::Attempt(request, attempt));
                let outcome = if unsent {
                    AttemptOutcome::ConnectFailed
                } else {
                    AttemptOutcome::Timeout
                };
                if let Some(event) =
                    self.attempt_tracker
                        .give_up(now, request, attempt, outcome, &mut self.counters)
                {
                    self.upstream_pool
                        .abandon(UpstreamJob::Attempt(request, attempt), &mut self.counters);
                    self.pending_events.push(event);
                }
            }
            TimerKind::HealthCheck(probe) => {
                if let Some(event) = self.attempt_tracker.probe_due(probe) {
                    self.upstream_pool
                        .abandon(UpstreamJob::Probe(probe), &mut self.counters);
                    self.pending_events.push(event);
                }
            }
            TimerKind::Connect(number) => {
                let mut events = Vec::new();
                self.upstream_pool
                    .connect_due(number, &mut events, &mut self.counters);
                self.handle_upstream_events(now, events);
            }
            TimerKind::ResponseStall(number) => {
                let mut events = Vec::new();
                // What came since the last look is not read yet.
                let seen = self.poll_timestamps.quiet();
                self.upstream_pool
                    .stall_due(seen, number, &mut events, &mut self.counters);
                self.handle_upstream_events(now, events);
            }
            TimerKind::Discovery(number) => {
                let mut events = Vec::new();
                let seen = self.poll_timestamps.quiet();
                self.discovery.due(
                    seen,
                    number,
                    &mut self.timers,
                    &mut events,
                    &mut self.counters,
                );
                self.handle_discovery_events(events);
            }
            TimerKind::Watch => self.start_watch(now),
            TimerKind::ReapIdle => {
                let mut events = Vec::new();
                self.listener.reap(now, &mut events, &mut self.counters);
                self.upstream_pool.sweep(now, &mut self.counters);
                if let Some(management) = &mut self.admin_listener {
                    management.sweep(now, &mut self.counters);
                }
                self.handle_listener_events(now, events);
                self.timers.set(now + SWEEP, TimerKind::ReapIdle);
            }
            TimerKind::Lifecycle => self.apply_lifecycle(now),
            TimerKind::CheckOtherProcess => self.check_other_process(now),
            TimerKind::Gossip => self.run_gossip_turn(now),
        }
    }

    fn execute(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send {
                request,
                attempt,
                endpoint: server,
                timeout,
                write_within: begin_within,
            } => {
                self.start_attempt(
                    now,
                    AttemptOrder {
                        request,
                        attempt,
                        endpoint: server,
                        timeout,
                        write_within: begin_within,
                    },
                );
            }
            Action::Fail {
                request,
                explanation: why,
            } => {
                self.record_decision(request, DecisionStep::Failed, &why);
                if let Some(answer) = self.attempt_tracker.answer(request, FinalAnswer::Failed) {
                    self.send_answer(now, answer);
                }
            }
            Action::Defer {
                request,
                deferral: withheld,
                explanation: why,
            } => {
                let step = match withheld {
                    Deferral::Queued => DecisionStep::Queued,
                    Deferral::HedgeSuppressed => DecisionStep::HedgeSuppressed,
                };
                self.record_decision(request, step, &why);
            }
            Action::Reject {
                request,
                retry_after,
                explanation: why,
            } => {
                self.record_decision(request, DecisionStep::Rejected, &why);
                if let Some(answer) = self
                    .attempt_tracker
                    .answer(request, FinalAnswer::Rejected { retry_after })
                {
                    self.send_answer(now, answer);
                }
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(now, request, attempt),
            Action::HealthCheck(server) => self.start_health_check(now, server),
            Action::CloseIdleConnections(server) => {
                self.upstream_pool.close_idle(server, &mut self.counters)
            }
            Action::QueryDiscovery => self.start_watch(now),
            Action::SetTimer { after, token } => self
                .timers
                .set(now.saturating_add(after), TimerKind::Engine(token)),
            Action::Log(text) => log::info!("{text}"),
        }
    }

    fn begin_shutdown(&mut self, now: Nanos) {
        drain(&self.stop_signal);
        // The platform may have asked at any time since the look before.
        if self.lifecycle.stop(self.poll_timestamps.arrived()) {
            log::info!("asked to stop: answering what was taken");
            // The process may be killed then, with what was taken before and has longer.
            if let Some(by) = self.lifecycle.answer_deadline() {
                self.attempt_tracker.hurry(by);
                self.pending_events.push(Event::ShuttingDown(by));
            }
            // The platform may have asked as soon as the newcomer was ready.
            self.check_other_process(now);
            self.apply_lifecycle(now);
        }
    }

    /// Reads the configuration again and takes over what applies live. Client connections, the list and all tries
    /// stay; so does everything if the file is faulty.
    fn reload_config(&mut self, now: Nanos) {
        drain(&self.reload_signal);
        match self.config.reload(|name| std::env::var(name).ok()) {
            Ok(new) => self.apply_config(new, now),
            Err(e) => {
                self.counters.reloads_failed += 1;
                log::error!("{e}; the old configuration stays");
            }
        }
    }

    fn apply_config(&mut self, mut new: Config, now: Nanos) {
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
            self.pending_events.push(Event::DiscoveryAvailable);
        }
        let failed =
            self.discovery
                .move_to(new.discovery, now, &mut self.timers, &mut self.counters);
        self.handle_discovery_events(failed.into_iter().collect());
        self.config = new;
        self.apply_limits();
    }

    /// On standard output, so that no choice of log level hides them.
    fn print_counters(&self) {
        // Nobody may be reading any more; that is no reason to fail.
        let _ = writeln!(io::stdout(), "{}", self.counters);
        if let Some(fleet) = &self.gossip {
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
