//! The loop: gather what is ready, hand it to the module in one go, carry out what came back.

mod fleet;
mod operators;
mod upgrade;

use crate::agent::Pace;
use crate::config::Config;
use crate::counters::{Counters, Step};
use crate::decide::{Decide, known_phase, phase, server_id};
use crate::fleet::Fleet;
use crate::front::management::{CALLERS_MAX, Management};
use crate::front::resp::{FrontEvent, RespFront};
use crate::hand_over::HandOver;
use crate::life_cycle::LifeCycle;
use crate::peers::{Job, JobEnd, Outgoing, PeerEvent, Peers};
use crate::poll::{Poll, Ready, Source, Watched};
use crate::request::{FinalAnswer, Incoming};
use crate::resp::write_command;
use crate::seats::Seats;
use crate::timers::{Clock, Due, MS, Timers};
use crate::tries::{Answer, Tries};
use crate::upstream_group::{GroupEvent, HostList, UpstreamGroup};
use finchyard::{Action, Brain, Discovery, Event, Nanos, Outcome, Phase, RequestId, Token, Why, Withheld};
use polling::Events;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use upgrade::{clients_socket, take_seat};

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
/// A probe is given up after this.
const PROBE_TIMEOUT: Nanos = 500 * MS;

/// The balancer at work.
pub struct EventLoop {
    /// What the program runs by; `known` is taken out.
    config: Config,
    clock: Clock,
    poll: Poll,
    timers: Timers,
    counters: Counters,
    decide: Decide,
    front: RespFront,
    group: UpstreamGroup,
    peers: Peers,
    tries: Tries,
    stop: Watched<UnixStream>,
    report: Watched<UnixStream>,
    reload: Watched<UnixStream>,
    /// What has happened and isn't told to the module yet.
    news: Vec<Event>,
    memory: usize,
    max_open: usize,
    life: LifeCycle,
    management: Option<Management>,
    /// The talk with the other balancers, if it is set.
    fleet: Option<Fleet>,
    /// The other process of an upgrade, where there can be one.
    seats: Option<Seats>,
    hand_over: HandOver,
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
fn signals(poll: &Poll, numbers: &[i32], source: Source) -> io::Result<Watched<UnixStream>> {
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
        let poll = what(Poll::new(), "poller")?;
        let (for_peers, for_clients) = split_sockets(config.sockets, config.management.is_some());
        let brain = Brain::new(config.settings.clone(), config.seed, now).map_err(|e| e.to_string())?;
        let transport = config.transport;
        let known = config.known.take();
        let deadlines = config.settings.classes.iter().map(|class| class.deadline);
        let life = LifeCycle::new(config.socket_fd.is_some(), deadlines.max().unwrap_or_default());
        let grace = config.settings.rules.drain_grace;
        let pace = (config.settings.discovery == Discovery::Pushed).then(|| Pace::new(grace));
        let management = |address| {
            let key = "configuration: management (GW_MANAGEMENT)";
            Management::listen(&poll, address, config.fleet.is_some())
                .map_err(|e| format!("{key}: {address}: {e}; a free address of this machine is expected"))
        };
        let mut me = EventLoop {
            stop: what(signals(&poll, &[SIGTERM, SIGINT], Source::Stop), "signals")?,
            report: what(signals(&poll, &[SIGUSR1], Source::Report), "signals")?,
            reload: what(signals(&poll, &[SIGHUP], Source::Reload), "signals")?,
            front: what(
                RespFront::listen(&poll, clients_socket(&config)?, for_clients, life.stance(now)),
                &format!("listening on {}", config.listen),
            )?,
            seats: take_seat(&config, now),
            hand_over: HandOver::new(),
            group: UpstreamGroup::new(&poll, config.discovery, pace),
            peers: Peers::new(&poll, for_peers, transport.connect_timeout, transport.conn_idle),
            decide: Decide::new(brain, config.names.clone()),
            tries: Tries::default(),
            timers: Timers::default(),
            counters: Counters::default(),
            news: Vec::new(),
            // By `split`.
            memory: 0,
            max_open: transport.max_open,
            management: config.management.map(management).transpose()?,
            fleet: None,
            life,
            clock,
            poll,
            config,
        };
        me.split();
        me.timers.set(now + SWEEP, Due::Sweep);
        me.look(now);
        me.join_fleet(now)?;
        match known {
            Some(list) => me.list(list, true),
            // The module begins with its first event. Without a list there would be none until a client comes, and
            // none is sent to who isn't ready.
            None => me.news.push(Event::Timer(Token(0))),
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
            let wait = self.timers.wait(self.clock.now());
            what(self.poll.wait(&mut events, wait, &mut ready), "waiting")?;
            self.gather(&mut ready);
        }
        self.leave_fleet();
        self.print_counters();
        Ok(())
    }

    /// After a request to stop: no new clients, all that was taken is answered, and every answer is out.
    fn is_over(&self) -> bool {
        self.life.is_over(self.clock.now(), !self.front.is_empty())
    }

    /// Tells the module what happened and does what it says, until nothing is left to tell.
    fn settle(&mut self) {
        while !self.news.is_empty() {
            let now = self.clock.now();
            let news = std::mem::take(&mut self.news);
            for action in self.decide.decide(now, news) {
                self.carry_out(now, action);
            }
        }
    }

    /// Takes in all that is ready: outcomes before new requests, so that the module decides by the latest.
    fn gather(&mut self, ready: &mut Vec<Ready>) {
        let now = self.clock.now();
        let mut clients = Vec::new();
        // The operators' calls go first: whatever the load, an answer waits for one turn at most.
        for one in ready.iter().filter(|one| matches!(one.source, Source::Management | Source::Caller(_))) {
            self.management(now, *one);
        }
        for one in ready.drain(..) {
            match one.source {
                Source::Management | Source::Caller(_) => {}
                Source::Peer(_) => {
                    let mut events = Vec::new();
                    self.peers.ready(now, one, &mut self.timers, &mut events, &mut self.counters);
                    self.peer_events(now, events);
                }
                Source::Discovery(_) => {
                    let mut events = Vec::new();
                    self.group.ready(now, one, &mut events, &mut self.counters);
                    self.group_events(events);
                }
                Source::Stop => self.stop(now),
                Source::Report => {
                    drain(&self.report);
                    self.print_counters();
                }
                Source::Reload => self.reload(now),
                Source::Fleet => self.fleet_ready(now),
                Source::Listener => self.front.accept(now, &mut self.counters),
                Source::Client(_) => clients.push(one),
            }
        }
        while let Some(due) = self.timers.pop(now) {
            self.due(now, due);
        }
        for one in clients {
            let mut events = Vec::new();
            self.front.ready(now, one, &mut events, &mut self.counters);
            self.front_events(now, events);
        }
    }

    fn due(&mut self, now: Nanos, due: Due) {
        match due {
            Due::Module(token) => self.news.push(Event::Timer(token)),
            Due::Try(request, attempt) => {
                // What was not sent whole never ran, and may be repeated.
                let unsent = self.peers.is_unsent(Job::Try(request, attempt));
                let outcome = if unsent { Outcome::ConnectFailed } else { Outcome::Timeout };
                if let Some(event) = self.tries.give_up(now, request, attempt, outcome, &mut self.counters) {
                    self.peers.abandon(Job::Try(request, attempt), &mut self.counters);
                    self.news.push(event);
                }
            }
            Due::Probe(probe) => {
                if let Some(event) = self.tries.probe_due(probe) {
                    self.peers.abandon(Job::Probe(probe), &mut self.counters);
                    self.news.push(event);
                }
            }
            Due::Connect(number) => {
                let mut events = Vec::new();
                self.peers.connect_due(number, &mut events, &mut self.counters);
                self.peer_events(now, events);
            }
            Due::Stall(number) => {
                let mut events = Vec::new();
                self.peers.stall_due(now, number, &mut events, &mut self.counters);
                self.peer_events(now, events);
            }
            Due::Discovery(number) => {
                let mut events = Vec::new();
                self.group.due(now, number, &mut self.timers, &mut events, &mut self.counters);
                self.group_events(events);
            }
            Due::Watch => self.watch(now),
            Due::Sweep => {
                let mut events = Vec::new();
                self.front.sweep(now, &mut events, &mut self.counters);
                self.peers.sweep(now, &mut self.counters);
                if let Some(management) = &mut self.management {
                    management.sweep(now, &mut self.counters);
                }
                self.front_events(now, events);
                self.timers.set(now + SWEEP, Due::Sweep);
            }
            Due::LifeCycle => self.follow(now),
            Due::Look => self.look(now),
            Due::Fleet => self.fleet_turn(now),
        }
    }

    fn front_events(&mut self, now: Nanos, events: Vec<FrontEvent>) {
        let mut events = VecDeque::from(events);
        while let Some(event) = events.pop_front() {
            match event {
                FrontEvent::Request(mut incoming) => {
                    if let Some(by) = self.life.answer_by() {
                        incoming.patience = incoming.patience.min(by.saturating_sub(now));
                    }
                    // More would end the process for its memory, and with it all that was taken.
                    let full = self.tries.held() + self.front.buffered() > self.memory;
                    let full = full || self.tries.open() >= self.max_open;
                    let event = self.decide.request(&incoming);
                    if let Some(answer) = self.turn_away(&incoming, event.is_some(), full) {
                        // Not by `answer`: a long pipeline would have it call itself for each command.
                        let mut more = Vec::new();
                        let connection = incoming.ticket.connection;
                        self.front.answer(incoming.ticket, answer);
                        self.front.flush(connection, now, &mut more, &mut self.counters);
                        events.extend(more);
                        continue;
                    }
                    log::trace!(
                        class = incoming.class.as_str(), tenant = incoming.tenant.as_deref(),
                        patience_ms = incoming.patience / MS;
                        "request {} taken", incoming.ticket.request.0
                    );
                    self.news.extend(event);
                    self.tries.take(now, incoming);
                }
                FrontEvent::Gone(request) => {
                    if let Some(job) = self.tries.passing_try(request) {
                        self.tries.passed(request);
                        self.peers.abandon(job, &mut self.counters);
                    } else {
                        self.tries.gone(now, request);
                        self.news.push(Event::Gone(request));
                    }
                }
                FrontEvent::Room(request) => {
                    if let Some(job) = self.tries.passing_try(request) {
                        self.peers.pause(now, job, false, &mut self.timers);
                    }
                }
            }
        }
    }

    /// The answer to a request that isn't taken. One without a known class, or with the id of an open one, must
    /// reach no peer: that would take it for the other, or complain, and the module would think ill of the peer.
    fn turn_away(&mut self, incoming: &Incoming, class_known: bool, full: bool) -> Option<FinalAnswer> {
        if !class_known {
            self.counters.class_unknown += 1;
            Some(FinalAnswer::Invalid("unknown class"))
        } else if self.tries.is_open(&incoming.order.id) {
            self.counters.id_open += 1;
            Some(FinalAnswer::Invalid("a request with this id is open"))
        } else if full {
            self.counters.overfull += 1;
            Some(FinalAnswer::Refused { retry_after: 0 })
        } else {
            None
        }
    }

    fn peer_events(&mut self, now: Nanos, events: Vec<PeerEvent>) {
        for event in events {
            match event {
                PeerEvent::Up { job } => self.first_byte(now, job),
                PeerEvent::Begun { job, length } => self.begun(now, job, length),
                PeerEvent::Part { job, bytes } => self.part(now, job, &bytes),
                PeerEvent::End { job, end } => self.job_ended(now, job, end),
            }
        }
    }

    /// The connection of a job is up: the job begins, unless it is not wanted any more.
    fn first_byte(&mut self, now: Nanos, job: Job) {
        let command = match job {
            Job::Try(request, attempt) => self.tries.first_byte(now, request, attempt, &mut self.counters),
            Job::Probe(_) => {
                // Where load is reported the probe asks for it.
                let load = !self.decide.names().report.is_empty();
                let words: &[&[u8]] = if load { &[b"INFO", b"load"] } else { &[b"PING"] };
                Ok(write_command(words))
            }
        };
        match command {
            Ok(command) => {
                let mut events = Vec::new();
                self.peers.begin(job, command, &mut events, &mut self.counters);
                self.peer_events(now, events);
            }
            Err(never_sent) => {
                if let Job::Try(request, attempt) = job {
                    self.timers.cancel(Due::Try(request, attempt));
                }
                self.peers.abandon(job, &mut self.counters);
                self.news.extend(never_sent.map(|event| *event));
            }
        }
    }

    fn job_ended(&mut self, now: Nanos, job: Job, end: JobEnd) {
        if let Job::Try(request, attempt) = job {
            self.timers.cancel(Due::Try(request, attempt));
            if let Some(connection) = self.tries.passing((request, attempt)) {
                self.tries.passed(request);
                let whole = matches!(end, JobEnd::Answer(_));
                self.counters.broken_off += u64::from(!whole);
                let mut events = Vec::new();
                self.front.finish(connection, request, whole, now, &mut events, &mut self.counters);
                return self.front_events(now, events);
            }
        }
        self.counters.no_place += u64::from(end == JobEnd::NoPlace);
        let (event, answer) = self.tries.finished(now, job, end, &mut self.counters);
        self.news.extend(event);
        if let Some(answer) = answer {
            self.answer(now, answer);
        }
    }

    /// A long value has begun to come.
    fn begun(&mut self, now: Nanos, job: Job, length: usize) {
        let Job::Try(request, attempt) = job else { return };
        self.timers.cancel(Due::Try(request, attempt));
        match self.tries.begun(now, (request, attempt), length, &mut self.counters) {
            Some((event, answer)) => {
                self.news.push(event);
                self.answer(now, answer);
            }
            // Another try has answered, or the client has left.
            None => {
                self.peers.abandon(job, &mut self.counters);
                let outcome = Outcome::Cancelled;
                self.news.extend(self.tries.give_up(now, request, attempt, outcome, &mut self.counters));
            }
        }
    }

    /// Passes on the next bytes of a long value, and stops reading its cache while the client can't take more.
    fn part(&mut self, now: Nanos, job: Job, bytes: &[u8]) {
        let Job::Try(request, attempt) = job else { return };
        let Some(connection) = self.tries.passing((request, attempt)) else { return };
        self.front.part(connection, request, bytes);
        let mut events = Vec::new();
        self.front.flush(connection, now, &mut events, &mut self.counters);
        // At half of what would have requests refused: long values must not cause that.
        let waits = self.front.waits(connection, request) > 0;
        let tight = waits && self.tries.held() + self.front.buffered() > self.memory / 2;
        if self.front.holds_back(connection, request, tight) {
            self.peers.pause(now, job, true, &mut self.timers);
        }
        self.front_events(now, events);
    }

    fn group_events(&mut self, events: Vec<GroupEvent>) {
        for event in events {
            match event {
                GroupEvent::Stands => self.news.push(Event::DiscoveryAnew),
                GroupEvent::News(list) => self.list(list, false),
                GroupEvent::Failed => match self.group.again(self.clock.now()) {
                    Some(at) => self.timers.set(at, Due::Watch),
                    None => {
                        let entries = Vec::new();
                        self.news.push(Event::List { scope: finchyard::ListScope::Failed, entries });
                    }
                },
            }
        }
    }

    /// Begins a watch, unless one is open.
    fn watch(&mut self, now: Nanos) {
        let failed = self.group.watch(now, &mut self.timers, &mut self.counters);
        self.group_events(failed.into_iter().collect());
    }

    /// Tells the module of a list, and the pools what it says of their peers.
    fn list(&mut self, list: HostList, stale: bool) {
        let now = self.clock.now();
        self.group.learn(&list);
        let mut events = Vec::new();
        let mut listed = BTreeSet::new();
        for host in &list.hosts {
            let server = server_id(&host.host);
            let phase = phase(&host.health);
            listed.insert(server);
            if known_phase(&host.health).is_none() {
                let health = &host.health;
                log::warn!(
                    "upstream group: {}: health \"{health}\" is unknown; it gets nothing new",
                    host.host
                );
            }
            match host.dial.parse() {
                Ok(address) => {
                    if self.peers.set_address(server, address, &mut events, &mut self.counters) {
                        // The module's log lines name servers by their numbers only.
                        log::info!("upstream group: {} is server {}, at {address}", host.host, server.0);
                    }
                }
                Err(_) => {
                    log::warn!("upstream group: {}: \"{}\" is no address with a port", host.host, host.dial)
                }
            }
            if phase != Phase::Up {
                self.peers.withdraw(server, &mut events, &mut self.counters);
            }
            if phase == Phase::Removed {
                self.peers.forget(server);
            }
        }
        if list.whole {
            for server in self.peers.listed().into_iter().filter(|s| !listed.contains(s)) {
                self.peers.withdraw(server, &mut events, &mut self.counters);
                self.peers.forget(server);
            }
        }
        self.news.push(self.decide.list(&list, stale));
        self.peer_events(now, events);
        if !list.hosts.is_empty() {
            self.life.listed();
            self.follow(now);
        }
    }

    fn carry_out(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send { request, attempt, server, timeout, begin_within } => {
                let bounds = (timeout, begin_within);
                match self.tries.start(now, (request, attempt), server, bounds, &mut self.counters) {
                    Ok(outgoing) => {
                        if let Job::Try(request, attempt) = outgoing.job {
                            self.timers.set(outgoing.until, Due::Try(request, attempt));
                        }
                        self.dispatch(now, outgoing);
                    }
                    Err(never_sent) => self.news.push(*never_sent),
                }
            }
            Action::Fail { request, why } => {
                self.explain(request, Step::Failed, &why);
                if let Some(answer) = self.tries.answer(request, FinalAnswer::Failed) {
                    self.answer(now, answer);
                }
            }
            Action::Note { request, withheld, why } => {
                let step = match withheld {
                    Withheld::Held => Step::Held,
                    Withheld::Copy => Step::NoCopy,
                };
                self.explain(request, step, &why);
            }
            Action::Refuse { request, retry_after, why } => {
                self.explain(request, Step::Refused, &why);
                if let Some(answer) = self.tries.answer(request, FinalAnswer::Refused { retry_after }) {
                    self.answer(now, answer);
                }
            }
            Action::Cancel { request, attempt } => {
                if self.peers.is_unsent(Job::Try(request, attempt)) {
                    self.tries.count_unsent(now, request, &mut self.counters);
                }
                let outcome = Outcome::Cancelled;
                if let Some(event) = self.tries.give_up(now, request, attempt, outcome, &mut self.counters) {
                    self.timers.cancel(Due::Try(request, attempt));
                    self.peers.abandon(Job::Try(request, attempt), &mut self.counters);
                    self.news.push(event);
                }
            }
            Action::Probe(server) => {
                let job = self.tries.probe(server, &mut self.counters);
                if let Job::Probe(probe) = job {
                    self.timers.set(now + PROBE_TIMEOUT, Due::Probe(probe));
                }
                self.dispatch(now, Outgoing { job, server, until: now + PROBE_TIMEOUT });
            }
            Action::Close(server) => self.peers.close_idle(server, &mut self.counters),
            Action::Watch => self.watch(now),
            Action::Timer { after, token } => self.timers.set(now.saturating_add(after), Due::Module(token)),
            Action::Log(text) => log::info!("{text}"),
        }
    }

    /// Counts a step that the module took for a reason, and logs it with the figures that it was decided by.
    fn explain(&mut self, request: RequestId, step: Step, why: &Why) {
        self.counters.steps.count(step, why.reason);
        log::debug!(
            step = step.name(), reason = why.reason.name(), out = why.out, limit = why.limit, room = why.room,
            base_us = why.base / 1_000, now_us = why.now / 1_000;
            "request {}", request.0
        );
    }

    fn dispatch(&mut self, now: Nanos, outgoing: Outgoing) {
        let mut events = Vec::new();
        self.peers.dispatch(now, outgoing, &mut self.timers, &mut events, &mut self.counters);
        self.peer_events(now, events);
    }

    fn answer(&mut self, now: Nanos, (ticket, answer): Answer) {
        match answer {
            FinalAnswer::Served(_) | FinalAnswer::Coming(_) => self.counters.served += 1,
            FinalAnswer::Refused { .. } => self.counters.refused += 1,
            FinalAnswer::Failed | FinalAnswer::Invalid(_) => self.counters.failed += 1,
        }
        let connection = ticket.connection;
        self.front.answer(ticket, answer);
        let mut events = Vec::new();
        self.front.flush(connection, now, &mut events, &mut self.counters);
        self.front_events(now, events);
    }

    fn stop(&mut self, now: Nanos) {
        drain(&self.stop);
        if self.life.stop(now) {
            log::info!("asked to stop: answering what was taken");
            // The process may be killed then, with what was taken before and has longer.
            if let Some(by) = self.life.answer_by() {
                self.tries.hurry(by);
                self.news.push(Event::Ending(by));
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
            log::warn!("changed, but heeded at the next start only: {}", later.join(", "));
        }
        if new.discovery != self.config.discovery {
            self.news.push(Event::DiscoveryAnew);
        }
        let failed = self.group.move_to(new.discovery, now, &mut self.timers, &mut self.counters);
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
fn drain(pipe: &Watched<UnixStream>) {
    let mut bytes = [0; 64];
    while matches!(pipe.socket().read(&mut bytes), Ok(n) if n > 0) {}
}

#[cfg(test)]
mod tests;
