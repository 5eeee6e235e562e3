//! One soak trial, from the start of its services to the check of its records.

use super::SoakOutcome;
use super::balancers::{Balancer, BalancerSpec, ClientAccess, ProcessUsage, StatusBoard};
use super::caches::{CacheFaults, Caches};
use super::connections::Clock;
use super::discovery::{DiscoveryFault, DiscoveryService};
use super::injection::DeferredEvent;
use super::plan::{SHARED_LISTENERS, SoakPlan};
use super::records::{CacheState, LoadRecord, MS, Nanos, Records, RequestRecord};
use super::rule_checker;
use crate::cluster::LoopbackNetwork;
use crate::error::TestbedError;
use crate::simulated_services::TcpService;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time until all processes are ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Port on which each balancer listens for clients.
const CLIENT_PORT: u16 = 6_379;
/// Ports on which discovery listens at the address of each balancer.
const DISCOVERY_PORTS: [u16; 2] = [8_500, 8_501];
/// Interval between checks of the timeline and the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Interval between counts of open descriptors.
const DESCRIPTOR_SAMPLE_INTERVAL: Nanos = 100 * MS;

/// A balancer, shared with threads that stall it.
pub(super) type SharedBalancer = Arc<Mutex<Balancer>>;

/// State of a soak trial.
pub(super) struct SoakRun {
    pub(super) plan: SoakPlan,
    pub(super) clock: Clock,
    pub(super) caches: Caches,
    pub(super) discovery: DiscoveryService,
    pub(super) status: StatusBoard,
    pub(super) balancers: Vec<SharedBalancer>,
    /// The two discovery addresses of each balancer.
    pub(super) discovery_addresses: Vec<[SocketAddr; 2]>,
    /// Index of the discovery address in the configuration of each balancer.
    pub(super) discovery_in_use: Vec<usize>,
    _services: Vec<TcpService>,
    _network: LoopbackNetwork,
    /// Number of the next new cache.
    pub(super) next_cache: usize,
    /// Number of the oldest cache that was not replaced yet.
    pub(super) oldest_cache: usize,
    /// Follow-up actions of earlier events, with the times at which they are due.
    pub(super) deferred: Vec<(Nanos, DeferredEvent)>,
    pub(super) threads: Vec<std::thread::JoinHandle<()>>,
    pub(super) events: Vec<(Nanos, String)>,
    /// Loads, by balancer.
    pub(super) loads: Vec<Vec<LoadRecord>>,
    /// Maximum number of open descriptors seen, by balancer.
    pub(super) descriptors: Vec<usize>,
}

/// Locks a balancer. A thread that stalls the balancer holds the lock for the whole stall.
pub(super) fn lock(balancer: &SharedBalancer) -> MutexGuard<'_, Balancer> {
    balancer.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_discovery(plan: &SoakPlan, caches: &Caches, clock: Clock) -> DiscoveryService {
    let own_listeners = plan.rules.own_listeners;
    let addresses = caches.addresses.clone();
    let cache_address = move |cache: usize| {
        addresses[if cache < own_listeners {
            cache
        } else {
            own_listeners + cache % SHARED_LISTENERS
        }]
    };
    let discovery = DiscoveryService::new(clock, cache_address);
    discovery.change((0..plan.caches).collect(), CacheState::Up { born_ms: 0 });
    discovery.set_format(plan.list_format);
    discovery
}

fn balancer_config(
    plan: &SoakPlan,
    number: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Value {
    serde_json::json!({
        "name": format!("n{number}"), "listen": listen, "discovery": discovery,
        "seed": format!("{:x}", plan.seed.wrapping_mul(7_919) + number as u64),
        "limits": {"cores": 1.0, "memory_mb": plan.rules.memory_mb, "sockets": plan.descriptors_max},
        "settings": plan.settings,
    })
}

impl SoakRun {
    /// Starts the simulated services and prepares the balancers without starting their processes.
    pub(super) fn set_up(
        plan: SoakPlan,
        program: &Path,
        folder: &Path,
    ) -> Result<Self, TestbedError> {
        let clock = Clock::start();
        let caches = Caches::start(
            plan.rules.own_listeners + SHARED_LISTENERS,
            plan.response_mix.clone(),
            clock,
            plan.seed,
        )
        .map_err(|e| TestbedError::io("caches", e))?;
        let discovery = start_discovery(&plan, &caches, clock);
        let status = StatusBoard::new(plan.balancers);
        let network =
            LoopbackNetwork::reserve().map_err(|e| TestbedError::io("a loopback network", e))?;
        let (mut balancers, mut addresses, mut services) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..plan.balancers {
            let pair = DISCOVERY_PORTS.map(|port| network.member(number, port));
            for address in pair {
                let service = discovery.listen(address, number);
                services.push(
                    service.map_err(|e| TestbedError::io(format!("discovery at {address}"), e))?,
                );
            }
            let listen = network.member(number, CLIENT_PORT);
            let balancer = Balancer::new(BalancerSpec {
                number,
                listen,
                program: program.into(),
                config: balancer_config(&plan, number, listen, pair[0]),
                folder: folder.into(),
                clock,
                status: status.clone(),
            });
            balancers.push(Arc::new(Mutex::new(balancer)));
            addresses.push(pair);
        }
        Ok(SoakRun {
            next_cache: plan.caches,
            discovery_in_use: vec![0; plan.balancers],
            loads: vec![Vec::new(); plan.balancers],
            descriptors: vec![0; plan.balancers],
            plan,
            clock,
            caches,
            discovery,
            status,
            balancers,
            discovery_addresses: addresses,
            _services: services,
            _network: network,
            oldest_cache: 0,
            deferred: Vec::new(),
            threads: Vec::new(),
            events: Vec::new(),
        })
    }

    /// Returns the listen addresses for clients, by balancer.
    pub(super) fn client_addresses(&self) -> Vec<SocketAddr> {
        self.balancers.iter().map(|b| lock(b).listen()).collect()
    }

    /// Starts all balancers and waits until they are ready.
    pub(super) fn start(&mut self) -> Result<(), TestbedError> {
        let known = self.discovery.full_list();
        for balancer in &self.balancers {
            lock(balancer).start(known.clone())?;
        }
        let begin = Instant::now();
        while self
            .status
            .lock()
            .iter()
            .any(|status| status.access == ClientAccess::Unavailable)
        {
            if begin.elapsed() > READY_TIMEOUT {
                return Err(TestbedError::NotReady);
            }
            self.poll_balancers();
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Updates the status of all processes that are not stalled by a thread.
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

    /// Injects the events of the plan at their times, then ends all faults.
    pub(super) fn run_events(&mut self) {
        let begin = self.clock.now();
        let mut next_sample = begin;
        let mut events = self.plan.events.clone().into_iter().peekable();
        while self.clock.now() < begin + self.plan.rules.duration {
            let now = self.clock.now();
            while let Some((_, event)) = events.next_if(|(at, _)| begin + at <= now) {
                self.events.push((now, format!("{event:?}")));
                self.inject(&event);
            }
            let (due, later): (Vec<_>, Vec<_>) =
                self.deferred.drain(..).partition(|(at, _)| *at <= now);
            self.deferred = later;
            due.into_iter()
                .for_each(|(_, event)| self.run_deferred(event));
            self.poll_balancers();
            if now >= next_sample {
                next_sample = now + DESCRIPTOR_SAMPLE_INTERVAL;
                self.count_descriptors();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        // Ends all faults, so that open requests can be answered.
        *self.caches.faults.lock() = CacheFaults::default();
        self.discovery.set_fault(DiscoveryFault::None);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
        // A shutdown that was requested must still end in a kill at its time.
        let remaining = std::mem::take(&mut self.deferred);
        for (at, event) in remaining {
            if matches!(event, DeferredEvent::Kill(_)) {
                let now = self.clock.now();
                std::thread::sleep(Duration::from_nanos(at.saturating_sub(now)));
                self.run_deferred(event);
            }
        }
    }

    fn count_descriptors(&mut self) {
        for (balancer, max) in self.balancers.iter().zip(&mut self.descriptors) {
            let Ok(balancer) = balancer.try_lock() else {
                continue;
            };
            balancer.record_memory();
            let usage = balancer.usage();
            *max = usage.map_or(*max, |usage| usage.descriptors.max(*max));
        }
    }

    /// Collects all records and checks them.
    pub(super) fn finish(self, requests: Vec<RequestRecord>) -> SoakOutcome {
        self.poll_balancers();
        let usage_with_max = |(balancer, max_descriptors): (&SharedBalancer, &usize)| {
            let usage = lock(balancer).usage().unwrap_or_default();
            ProcessUsage {
                descriptors: *max_descriptors,
                ..usage
            }
        };
        let usage = self
            .balancers
            .iter()
            .zip(&self.descriptors)
            .map(usage_with_max)
            .collect();
        let counters = self
            .balancers
            .iter()
            .map(|balancer| lock(balancer).counters())
            .collect();
        let change_bytes = self.discovery.change_bytes();
        let attempts = self.caches.stop();
        let (changes, notifications, discovery_outages) = self.discovery.log();
        let statuses = self.status.lock().clone();
        let (stalls, processes) = statuses
            .into_iter()
            .map(|status| (status.stalls, status.processes))
            .unzip();
        let events = self.events;
        let records = Records {
            requests,
            attempts,
            changes,
            notifications,
            discovery_outages,
            stalls,
            loads: self.loads,
            processes,
            events,
        };
        let violations = rule_checker::check(&records, &self.plan.rules);
        let ends = rule_checker::count_by_end(&records.requests);
        let attempts = records.attempts.len();
        SoakOutcome {
            violations,
            ends,
            attempts,
            usage,
            counters,
            change_bytes,
            records,
        }
    }
}
