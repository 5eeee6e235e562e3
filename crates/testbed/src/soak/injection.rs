//! Injects the events of a soak into caches, discovery and balancers.

use super::balancers::ClientAccess;
use super::caches::CacheFaults;
use super::discovery::DiscoveryFault;
use super::load::{self, LoadKind};
use super::plan::SoakEvent;
use super::records::{CacheState, LoadRecord, MS, Nanos, TimeSpan};
use super::run::{SoakRun, lock};
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time that caches hang before a shutdown is requested, so that requests are open.
const HANG_BEFORE_SHUTDOWN: Nanos = 100 * MS;
/// Time for which connections to caches are reset.
const RESET_DURATION: Nanos = 30 * MS;
/// Period over which the CPU share of a balancer is limited.
const CPU_PERIOD: Duration = Duration::from_millis(50);
/// Minimum time, in addition to the longest deadline, that the protocol requires between a shutdown
/// request and the kill of the process.
const KILL_DELAY: Nanos = 700 * MS;
/// Signals after a shutdown request, with their delays.
const SIGNAL_SERIES: [(Nanos, Signal); 4] = [
    (20 * MS, Signal::SIGHUP),
    (40 * MS, Signal::SIGTERM),
    (150 * MS, Signal::SIGHUP),
    (300 * MS, Signal::SIGTERM),
];
/// Maximum deadline that is added to [`KILL_DELAY`].
const MAX_DEADLINE: Nanos = 3_000 * MS;

/// Follow-up action of an event, run some time after it.
pub(super) enum DeferredEvent {
    /// Removes these caches from the list.
    RemoveCaches(Vec<usize>),
    /// Resets the connections of these caches, so that requests open there end by a reset long
    /// after they arrived.
    ResetCaches(Vec<usize>),
    /// Ends the hang or outage of these caches.
    RestoreCaches(Vec<usize>),
    /// Ends the slow reading of all caches.
    EndSlowReading,
    /// Ends faulty answers of all caches.
    EndCorruption,
    /// Ends all faults of discovery.
    RestoreDiscovery,
    /// Requests the shutdown of this balancer.
    RequestShutdown(usize),
    /// Sends a signal to this balancer.
    Signal(usize, Signal),
    /// Kills this balancer if it still runs.
    Kill(usize),
    /// Starts this balancer.
    Start(usize),
}

impl SoakRun {
    /// Returns the first `count` caches that have a listener of their own.
    fn own_caches(&self, count: usize) -> Vec<usize> {
        (0..count.min(self.plan.rules.own_listeners)).collect()
    }

    fn defer(&mut self, delay: Nanos, event: DeferredEvent) {
        self.deferred.push((self.clock.now() + delay, event));
    }

    /// Injects an event.
    pub(super) fn inject(&mut self, event: &SoakEvent) {
        match event {
            SoakEvent::Silence
            | SoakEvent::WatchesReset
            | SoakEvent::DiscoveryDown(_)
            | SoakEvent::DiscoveryCrowded(_) => self.inject_at_discovery(event),
            SoakEvent::Restart(_)
            | SoakEvent::Kill(_)
            | SoakEvent::Reload(_)
            | SoakEvent::HoldUp(..)
            | SoakEvent::Load(..)
            | SoakEvent::Share(..) => self.inject_at_balancer(event),
            _ => self.inject_at_caches(event),
        }
    }

    /// Injects an event of caches; ignores other events.
    fn inject_at_caches(&mut self, event: &SoakEvent) {
        match *event {
            SoakEvent::Joins(count) => {
                let new: Vec<usize> = (self.next_cache..self.next_cache + count).collect();
                self.next_cache += count;
                self.discovery.change(new, CacheState::Up { born_ms: 0 });
            }
            SoakEvent::Replaced(count) => {
                let old: Vec<usize> = (self.oldest_cache..self.oldest_cache + count).collect();
                self.oldest_cache += count;
                self.discovery.change(old.clone(), CacheState::Draining);
                self.defer(1_000 * MS, DeferredEvent::RemoveCaches(old));
                self.inject(&SoakEvent::Joins(count));
            }
            SoakEvent::Drains(count, span) => {
                let caches = self.own_caches(count);
                self.discovery.change(caches.clone(), CacheState::Draining);
                self.defer(span, DeferredEvent::RemoveCaches(caches));
            }
            SoakEvent::Cold(count) => {
                let start = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                let born_ms = start.as_millis() as u64;
                self.discovery
                    .change(self.own_caches(count), CacheState::Up { born_ms });
            }
            SoakEvent::Restarted(count) => {
                let caches = self.own_caches(count);
                self.caches.faults.lock().replaced.extend(&caches);
                self.inject(&SoakEvent::Cold(count));
            }
            SoakEvent::SlowReading(count, span) => {
                let caches = self.own_caches(count);
                self.caches.faults.lock().slow_reading.extend(&caches);
                self.defer(span, DeferredEvent::EndSlowReading);
            }
            SoakEvent::Hangs(count, span) => {
                let caches = self.own_caches(count);
                self.caches.faults.lock().hanging.extend(&caches);
                self.defer(span, DeferredEvent::ResetCaches(caches));
            }
            SoakEvent::CachesDown(count, span) => {
                let caches = self.own_caches(count);
                self.caches.faults.lock().down.extend(&caches);
                self.defer(span, DeferredEvent::RestoreCaches(caches));
            }
            SoakEvent::Spoilt(span) => {
                let mut faults = self.caches.faults.lock();
                (faults.busy, faults.error, faults.reset) = (0.1, 0.05, 0.05);
                (faults.truncated, faults.answered_twice, faults.close) = (0.03, 0.05, 0.1);
                drop(faults);
                self.defer(span, DeferredEvent::EndCorruption);
            }
            _ => {}
        }
    }

    /// Injects an event of discovery; ignores other events.
    fn inject_at_discovery(&mut self, event: &SoakEvent) {
        match *event {
            SoakEvent::Silence => self.discovery.silence(),
            SoakEvent::WatchesReset => {
                self.discovery.set_fault(DiscoveryFault::Down);
                self.defer(30 * MS, DeferredEvent::RestoreDiscovery);
            }
            SoakEvent::DiscoveryDown(span) => {
                self.discovery.set_fault(DiscoveryFault::Down);
                self.defer(span, DeferredEvent::RestoreDiscovery);
            }
            SoakEvent::DiscoveryCrowded(span) => {
                self.discovery.set_fault(DiscoveryFault::SlowCalls(300));
                self.defer(span, DeferredEvent::RestoreDiscovery);
            }
            _ => {}
        }
    }

    /// Injects an event of balancers; ignores other events.
    fn inject_at_balancer(&mut self, event: &SoakEvent) {
        match *event {
            SoakEvent::Restart(number) => self.restart(number),
            SoakEvent::Kill(number) => {
                self.run_deferred(DeferredEvent::Kill(number));
                self.defer(200 * MS, DeferredEvent::Start(number));
            }
            SoakEvent::Reload(number) => self.reload(number),
            SoakEvent::HoldUp(number, span) => {
                let balancer = Arc::clone(&self.balancers[number]);
                let span = Duration::from_nanos(span);
                self.threads
                    .push(std::thread::spawn(move || lock(&balancer).stall(span)));
            }
            SoakEvent::Share(number, share, span) => self.limit_cpu(number, share, span),
            SoakEvent::Load(number, load) => {
                let address = lock(&self.balancers[number]).listen();
                let clock = self.clock;
                let from = clock.now();
                let to = from + load.span;
                self.loads[number].push(LoadRecord {
                    span: TimeSpan { from, to },
                    occupies_caches: load.kind == LoadKind::UnreadLongValues,
                });
                self.threads
                    .push(std::thread::spawn(move || load::run(load, address, clock)));
            }
            _ => {}
        }
    }

    /// Runs the follow-up action of an earlier event.
    pub(super) fn run_deferred(&mut self, event: DeferredEvent) {
        match event {
            DeferredEvent::RemoveCaches(caches) => self.discovery.change(caches, CacheState::Gone),
            DeferredEvent::ResetCaches(caches) => {
                self.caches.faults.lock().down.extend(&caches);
                self.defer(RESET_DURATION, DeferredEvent::RestoreCaches(caches));
            }
            DeferredEvent::RestoreCaches(caches) => {
                let mut faults = self.caches.faults.lock();
                for cache in &caches {
                    faults.hanging.remove(cache);
                    faults.down.remove(cache);
                }
            }
            DeferredEvent::EndSlowReading => self.caches.faults.lock().slow_reading.clear(),
            DeferredEvent::EndCorruption => {
                let mut faults = self.caches.faults.lock();
                let CacheFaults {
                    hanging,
                    down,
                    slow_reading,
                    replaced,
                    ..
                } = std::mem::take(&mut *faults);
                *faults = CacheFaults {
                    hanging,
                    down,
                    slow_reading,
                    replaced,
                    ..CacheFaults::default()
                };
            }
            DeferredEvent::RestoreDiscovery => self.discovery.set_fault(DiscoveryFault::None),
            DeferredEvent::RequestShutdown(number) => self.request_shutdown(number),
            DeferredEvent::Signal(number, signal) => lock(&self.balancers[number]).signal(signal),
            DeferredEvent::Kill(number) => lock(&self.balancers[number]).kill(),
            DeferredEvent::Start(number) => {
                let known = self.discovery.full_list();
                if let Err(e) = lock(&self.balancers[number]).start(known) {
                    self.events.push((self.clock.now(), e.to_string()));
                }
            }
        }
    }

    /// Returns the time between a shutdown request and the kill: the minimum that the protocol
    /// permits.
    fn kill_delay(&self) -> Nanos {
        let longest_deadline = self
            .plan
            .client_behavior
            .timeouts
            .iter()
            .max()
            .copied()
            .unwrap_or_default();
        longest_deadline.min(MAX_DEADLINE) + KILL_DELAY
    }

    fn restart(&mut self, number: usize) {
        let kill_delay = self.kill_delay();
        let is_available = self.status.lock()[number].access == ClientAccess::Available;
        if !is_available {
            return;
        }
        // Caches hang during the whole shutdown.
        let own_listeners = self.plan.rules.own_listeners;
        self.inject(&SoakEvent::Hangs(own_listeners, kill_delay));
        self.defer(HANG_BEFORE_SHUTDOWN, DeferredEvent::RequestShutdown(number));
    }

    fn request_shutdown(&mut self, number: usize) {
        let kill_delay = self.kill_delay();
        lock(&self.balancers[number]).request_shutdown();
        // Further signals must change nothing.
        for (delay, signal) in SIGNAL_SERIES {
            self.defer(delay, DeferredEvent::Signal(number, signal));
        }
        self.defer(kill_delay, DeferredEvent::Kill(number));
        self.defer(kill_delay + 50 * MS, DeferredEvent::Start(number));
    }

    /// Changes the discovery address in the configuration of a balancer and makes the balancer
    /// reload it.
    fn reload(&mut self, number: usize) {
        self.discovery_in_use[number] = 1 - self.discovery_in_use[number];
        let address = self.discovery_addresses[number][self.discovery_in_use[number]];
        let mut balancer = lock(&self.balancers[number]);
        match balancer.configure("discovery", serde_json::json!(address)) {
            Ok(_) => balancer.signal(Signal::SIGHUP),
            Err(e) => self.events.push((self.clock.now(), e.to_string())),
        }
    }

    /// Limits a balancer to a share of the CPU, in percent, by stalling it in each period.
    fn limit_cpu(&mut self, number: usize, share: u64, span: Nanos) {
        let balancer = Arc::clone(&self.balancers[number]);
        let clock = self.clock;
        let until = clock.now() + span;
        self.threads.push(std::thread::spawn(move || {
            let run_time = CPU_PERIOD.mul_f64(share as f64 / 100.0);
            while clock.now() < until {
                lock(&balancer).stall(CPU_PERIOD - run_time);
                std::thread::sleep(run_time);
            }
        }));
    }
}
