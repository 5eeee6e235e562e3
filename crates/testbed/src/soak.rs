//! A soak: real balancers on loopback between caches, a discovery and clients that go wrong as a
//! seed draws it, and a referee that holds what all of them saw against the rules.

pub mod balancers;
pub mod caches;
pub mod clients;
pub mod command;
pub mod connections;
pub mod discovery;
pub mod growth;
pub mod plan;
pub mod records;
pub mod rule_checker;

use crate::cluster::LoopbackNetwork;
use crate::error::TestbedError;
use crate::simulated_services::TcpService;
use balancers::{Balancer, ProcessUsage, StatusBoard};
use caches::Caches;
use clients::Clients;
use connections::Clock;
use discovery::{DiscoveryFault, DiscoveryService};
use nix::sys::signal::Signal;
use plan::{SHARED_LISTENERS, SoakEvent, SoakPlan};
use records::{CacheState, MS, Nanos, Records};
use rule_checker::RuleViolation;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How long processes may take to become ready before the timeline begins.
const READY_MOST: Duration = Duration::from_secs(30);
/// Where clients and discovery are at each balancer's address.
const CLIENTS_PORT: u16 = 6_379;
const DISCOVERY_PORTS: [u16; 2] = [8_500, 8_501];
/// How often the timeline and the processes are looked at.
const LOOK: Duration = Duration::from_millis(3);
/// Before a shutdown caches hang for this long, so that requests are out.
const HANG_BEFORE: Nanos = 100 * MS;
/// Connections are reset for so long.
const RESET: Nanos = 30 * MS;
/// How often descriptors are counted.
const SAMPLE: Nanos = 100 * MS;
/// The processor share is kept over periods of this length.
const SHARE_PERIOD: Duration = Duration::from_millis(50);
/// By the protocol a process is killed no sooner than this and the longest deadline (3 s at most)
/// after the request to end.
const KILL_AFTER: Nanos = 700 * MS;
const DEADLINE_MOST: Nanos = 3_000 * MS;

/// What one seed showed.
#[derive(Debug)]
pub struct SoakOutcome {
    /// The rules that were broken.
    pub violations: Vec<RuleViolation>,
    /// How many requests ended how.
    pub ends: BTreeMap<String, usize>,
    /// Attempts.
    pub attempts: usize,
    /// By balancer: what its process had used at the end, with the most descriptors that were seen.
    pub usage: Vec<ProcessUsage>,
    /// By balancer: the counters of its last life.
    pub counters: Vec<BTreeMap<String, u64>>,
    /// Bytes of changes that discovery wrote.
    pub change_bytes: u64,
    /// All that was seen.
    pub records: Records,
}

/// A balancer that a thread may have standing still.
type SharedBalancer = Arc<Mutex<Balancer>>;

struct SoakRun {
    plan: SoakPlan,
    clock: Clock,
    caches: Caches,
    discovery: DiscoveryService,
    status: StatusBoard,
    balancers: Vec<SharedBalancer>,
    /// Two doors of discovery for each balancer, and which it is told of.
    discovery_addresses: Vec<[SocketAddr; 2]>,
    discovery_in_use: Vec<usize>,
    _open: Vec<TcpService>,
    _network: LoopbackNetwork,
    next_cache: usize,
    oldest_cache: usize,
    /// What a later time brings.
    deferred: Vec<(Nanos, DeferredEvent)>,
    threads: Vec<std::thread::JoinHandle<()>>,
    events: Vec<(Nanos, String)>,
    /// By balancer: the most descriptors that were seen.
    descriptors: Vec<usize>,
}

enum DeferredEvent {
    Gone(Vec<usize>),
    /// They are down for a moment, so that what is out there is reset long after it came, and then
    /// work.
    Reset(Vec<usize>),
    Work(Vec<usize>),
    Whole,
    Discovery,
    Term(usize),
    Kill(usize),
    Start(usize),
}

/// Plays a plan with this program; the balancers' logs go to the folder.
///
/// # Errors
///
/// Says which part of the trial itself failed.
pub fn play(plan: SoakPlan, program: &Path, folder: &Path) -> Result<SoakOutcome, TestbedError> {
    std::fs::create_dir_all(folder).map_err(|e| TestbedError::file(folder, e))?;
    let mut run = SoakRun::lay_out(plan, program, folder)?;
    run.start()?;
    let addresses = run.balancers.iter().map(|b| lock(b).listen).collect();
    let behavior = run.plan.client_behavior.clone();
    let clients = Clients::start(
        addresses,
        behavior,
        run.status.clone(),
        run.clock,
        run.plan.seed,
    );
    run.run();
    let asked = clients.stop();
    run.finish(asked)
}

fn lock(balancer: &SharedBalancer) -> std::sync::MutexGuard<'_, Balancer> {
    balancer.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SoakRun {
    fn lay_out(plan: SoakPlan, program: &Path, folder: &Path) -> Result<Self, TestbedError> {
        let clock = Clock::start();
        let own = plan.rules.own_listeners;
        let caches = Caches::start(own + SHARED_LISTENERS, clock, plan.seed)
            .map_err(|e| TestbedError::io("caches", e))?;
        let addresses = caches.addresses.clone();
        let dial = move |cache: usize| {
            addresses[if cache < own {
                cache
            } else {
                own + cache % SHARED_LISTENERS
            }]
        };
        let list = DiscoveryService::new(clock, dial);
        list.change((0..plan.caches).collect(), CacheState::Up { born_ms: 0 });
        list.set_format(plan.list_format);
        let board = StatusBoard::new(plan.balancers);
        let network =
            LoopbackNetwork::take().map_err(|e| TestbedError::io("a loopback network", e))?;
        let (mut balancers, mut addresses, mut open) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..plan.balancers {
            let pair = DISCOVERY_PORTS.map(|port| network.member(number, port));
            for door in pair {
                open.push(
                    list.listen(door, number)
                        .map_err(|e| TestbedError::io(format!("discovery at {door}"), e))?,
                );
            }
            let listen = network.member(number, CLIENTS_PORT);
            let config = serde_json::json!({
                "name": format!("n{number}"), "listen": listen, "discovery": pair[0],
                "seed": format!("{:x}", plan.seed.wrapping_mul(7_919) + number as u64),
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": plan.settings,
            });
            let (program, folder): (PathBuf, PathBuf) = (program.into(), folder.into());
            let balancer = Balancer::new(
                number,
                listen,
                program,
                config,
                folder,
                clock,
                board.clone(),
            );
            balancers.push(Arc::new(Mutex::new(balancer)));
            addresses.push(pair);
        }
        let next_cache = plan.caches;
        let door_now = vec![0; plan.balancers];
        let descriptors = vec![0; plan.balancers];
        Ok(SoakRun {
            plan,
            clock,
            caches,
            discovery: list,
            status: board,
            balancers,
            discovery_addresses: addresses,
            discovery_in_use: door_now,
            _open: open,
            _network: network,
            next_cache,
            oldest_cache: 0,
            deferred: Vec::new(),
            threads: Vec::new(),
            events: Vec::new(),
            descriptors,
        })
    }

    fn start(&mut self) -> Result<(), TestbedError> {
        let known = self.discovery.known();
        for balancer in &self.balancers {
            lock(balancer).start(known.clone())?;
        }
        let asked = std::time::Instant::now();
        while self
            .status
            .lock()
            .iter()
            .any(|me| me.access == balancers::ClientAccess::Shut)
        {
            if asked.elapsed() > READY_MOST {
                return Err(TestbedError::NotReady);
            }
            self.poll_balancers();
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Looks at all processes that no thread has standing still.
    fn poll_balancers(&self) {
        for balancer in self
            .balancers
            .iter()
            .filter_map(|balancer| balancer.try_lock().ok())
        {
            let mut balancer = balancer;
            if balancer.is_running() {
                balancer.update_readiness();
            }
        }
    }

    /// Plays the timeline.
    fn run(&mut self) {
        let begun = self.clock.now();
        let mut sample = begun;
        let mut events = self.plan.events.clone().into_iter().peekable();
        while self.clock.now() < begun + self.plan.rules.length {
            let now = self.clock.now();
            while let Some((_, event)) = events.next_if(|(at, _)| begun + at <= now) {
                self.events.push((now, format!("{event:?}")));
                self.inject(event);
            }
            let (due, later): (Vec<_>, Vec<_>) =
                self.deferred.drain(..).partition(|(at, _)| *at <= now);
            self.deferred = later;
            due.into_iter()
                .for_each(|(_, what)| self.run_deferred(what));
            self.poll_balancers();
            if now >= sample {
                sample = now + SAMPLE;
                self.count_descriptors();
            }
            std::thread::sleep(LOOK);
        }
        // Everything is well again, so that what is open can be answered.
        *self.caches.faults.lock() = caches::CacheFaults::default();
        self.discovery.set_fault(DiscoveryFault::None);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
        let later = std::mem::take(&mut self.deferred);
        for (at, what) in later {
            if matches!(what, DeferredEvent::Kill(_)) {
                let now = self.clock.now();
                std::thread::sleep(Duration::from_nanos(at.saturating_sub(now)));
                self.run_deferred(what);
            }
        }
    }

    fn count_descriptors(&mut self) {
        for (balancer, most) in self.balancers.iter().zip(&mut self.descriptors) {
            let usage = balancer
                .try_lock()
                .ok()
                .and_then(|balancer| balancer.usage());
            *most = usage.map_or(*most, |usage| usage.descriptors.max(*most));
        }
    }

    fn own(&self, count: usize) -> Vec<usize> {
        (0..count.min(self.plan.rules.own_listeners)).collect()
    }

    fn defer(&mut self, span: Nanos, what: DeferredEvent) {
        self.deferred.push((self.clock.now() + span, what));
    }

    fn inject(&mut self, event: SoakEvent) {
        match event {
            SoakEvent::Joins(count) => {
                let new: Vec<usize> = (self.next_cache..self.next_cache + count).collect();
                self.next_cache += count;
                self.discovery.change(new, CacheState::Up { born_ms: 0 });
            }
            SoakEvent::Replaced(count) => {
                let old: Vec<usize> = (self.oldest_cache..self.oldest_cache + count).collect();
                self.oldest_cache += count;
                self.discovery.change(old.clone(), CacheState::Draining);
                self.defer(1_000 * MS, DeferredEvent::Gone(old));
                self.inject(SoakEvent::Joins(count));
            }
            SoakEvent::Drains(count, span) => {
                let caches = self.own(count);
                self.discovery.change(caches.clone(), CacheState::Draining);
                self.defer(span, DeferredEvent::Gone(caches));
            }
            SoakEvent::Cold(count) => {
                let born = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                let born_ms = born.as_millis() as u64;
                self.discovery
                    .change(self.own(count), CacheState::Up { born_ms });
            }
            SoakEvent::Hangs(count, span) => {
                let caches = self.own(count);
                self.caches.faults.lock().hanging.extend(&caches);
                self.defer(span, DeferredEvent::Reset(caches));
            }
            SoakEvent::CachesDown(count, span) => {
                let caches = self.own(count);
                self.caches.faults.lock().down.extend(&caches);
                self.defer(span, DeferredEvent::Work(caches));
            }
            SoakEvent::Spoilt(span) => {
                let mut faults = self.caches.faults.lock();
                (faults.busy, faults.error, faults.reset) = (0.1, 0.05, 0.05);
                (faults.cut, faults.second, faults.close) = (0.03, 0.05, 0.1);
                drop(faults);
                self.defer(span, DeferredEvent::Whole);
            }
            SoakEvent::Silence => self.discovery.silence(),
            SoakEvent::WatchesReset => {
                self.discovery.set_fault(DiscoveryFault::Down);
                self.defer(30 * MS, DeferredEvent::Discovery);
            }
            SoakEvent::DiscoveryDown(span) => {
                self.discovery.set_fault(DiscoveryFault::Down);
                self.defer(span, DeferredEvent::Discovery);
            }
            SoakEvent::DiscoveryCrowded(span) => {
                self.discovery.set_fault(DiscoveryFault::Crowded(300));
                self.defer(span, DeferredEvent::Discovery);
            }
            SoakEvent::Restart(one) => self.restart(one),
            SoakEvent::Kill(one) => {
                self.run_deferred(DeferredEvent::Kill(one));
                self.defer(200 * MS, DeferredEvent::Start(one));
            }
            SoakEvent::Reload(one) => self.reload(one),
            SoakEvent::HoldUp(one, span) => {
                let balancer = Arc::clone(&self.balancers[one]);
                let span = Duration::from_nanos(span);
                self.threads
                    .push(std::thread::spawn(move || lock(&balancer).stall(span)));
            }
            SoakEvent::Share(one, share, span) => self.limit_cpu(one, share, span),
        }
    }

    fn run_deferred(&mut self, what: DeferredEvent) {
        match what {
            DeferredEvent::Gone(caches) => self.discovery.change(caches, CacheState::Gone),
            DeferredEvent::Reset(caches) => {
                self.caches.faults.lock().down.extend(&caches);
                self.defer(RESET, DeferredEvent::Work(caches));
            }
            DeferredEvent::Work(caches) => {
                let mut faults = self.caches.faults.lock();
                for cache in &caches {
                    faults.hanging.remove(cache);
                    faults.down.remove(cache);
                }
            }
            DeferredEvent::Whole => {
                let mut faults = self.caches.faults.lock();
                let (hanging, down) = (faults.hanging.clone(), faults.down.clone());
                *faults = caches::CacheFaults {
                    hanging,
                    down,
                    ..Default::default()
                };
            }
            DeferredEvent::Discovery => self.discovery.set_fault(DiscoveryFault::None),
            DeferredEvent::Term(one) => self.term(one),
            DeferredEvent::Kill(one) => lock(&self.balancers[one]).kill(),
            DeferredEvent::Start(one) => {
                let known = self.discovery.known();
                if let Err(e) = lock(&self.balancers[one]).start(known) {
                    self.events.push((self.clock.now(), e.to_string()));
                }
            }
        }
    }

    /// How long after the request to end a process is killed: as early as may be.
    fn kill_after(&self) -> Nanos {
        let longest = self
            .plan
            .client_behavior
            .timeouts
            .iter()
            .max()
            .copied()
            .unwrap_or_default();
        longest.min(DEADLINE_MOST) + KILL_AFTER
    }

    fn restart(&mut self, one: usize) {
        let kill = self.kill_after();
        let is_open = self.status.lock()[one].access == balancers::ClientAccess::Open;
        if !is_open {
            return;
        }
        // Caches that hang through the whole of a shutdown.
        self.inject(SoakEvent::Hangs(self.plan.rules.own_listeners, kill));
        let started = self.clock.now() + HANG_BEFORE;
        self.deferred.push((started, DeferredEvent::Term(one)));
    }

    fn term(&mut self, one: usize) {
        let kill = self.kill_after();
        lock(&self.balancers[one]).term();
        self.defer(kill, DeferredEvent::Kill(one));
        self.defer(kill + 50 * MS, DeferredEvent::Start(one));
    }

    fn reload(&mut self, one: usize) {
        self.discovery_in_use[one] = 1 - self.discovery_in_use[one];
        let door = self.discovery_addresses[one][self.discovery_in_use[one]];
        let mut balancer = lock(&self.balancers[one]);
        match balancer.configure("discovery", serde_json::json!(door)) {
            Ok(_) => balancer.signal(Signal::SIGHUP),
            Err(e) => self.events.push((self.clock.now(), e.to_string())),
        }
    }

    fn limit_cpu(&mut self, one: usize, share: u64, span: Nanos) {
        let balancer = Arc::clone(&self.balancers[one]);
        let clock = self.clock;
        let until = clock.now() + span;
        self.threads.push(std::thread::spawn(move || {
            let runs = SHARE_PERIOD.mul_f64(share as f64 / 100.0);
            while clock.now() < until {
                lock(&balancer).stall(SHARE_PERIOD - runs);
                std::thread::sleep(runs);
            }
        }));
    }

    fn finish(self, asked: Vec<records::RequestRecord>) -> Result<SoakOutcome, TestbedError> {
        self.poll_balancers();
        let with_most = |(balancer, most): (&SharedBalancer, &usize)| {
            let usage = lock(balancer).usage().unwrap_or_default();
            ProcessUsage {
                descriptors: *most,
                ..usage
            }
        };
        let usage = self
            .balancers
            .iter()
            .zip(&self.descriptors)
            .map(with_most)
            .collect();
        let counters = self
            .balancers
            .iter()
            .map(|balancer| lock(balancer).counters())
            .collect();
        let change_bytes = self.discovery.change_bytes();
        let attempts = self.caches.stop();
        let (changes, notifications, down) = self.discovery.log();
        let public = self.status.lock().clone();
        let (stalls, processes) = public
            .into_iter()
            .map(|me| (me.stalls, me.processes))
            .unzip();
        let events = self.events;
        let records = Records {
            requests: asked,
            attempts,
            changes,
            notifications,
            discovery_outages: down,
            stalls,
            processes,
            events,
        };
        let violations = rule_checker::check(&records, &self.plan.rules);
        let ends = rule_checker::ends(&records.requests);
        let attempts = records.attempts.len();
        Ok(SoakOutcome {
            violations,
            ends,
            attempts,
            usage,
            counters,
            change_bytes,
            records,
        })
    }
}
