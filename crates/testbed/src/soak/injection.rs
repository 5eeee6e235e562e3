//! Injection of a soak's events into caches, discovery and balancers.

use super::balancers::ClientAccess;
use super::caches::CacheFaults;
use super::discovery::DiscoveryFault;
use super::plan::SoakEvent;
use super::records::{CacheState, MS, Nanos};
use super::run::{SoakRun, lock};
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Before a shutdown caches hang for this long, so that requests are open.
const HANG_BEFORE_SHUTDOWN: Nanos = 100 * MS;
/// Connections are reset for so long.
const RESET_DURATION: Nanos = 30 * MS;
/// The share of a processor is kept over periods of this length.
const CPU_PERIOD: Duration = Duration::from_millis(50);
/// By the protocol a process is killed no sooner than this and the longest deadline after the
/// request to end.
const KILL_AFTER: Nanos = 700 * MS;
/// The longest deadline that counts for it.
const MAX_DEADLINE: Nanos = 3_000 * MS;

/// What follows from an event some time later.
pub(super) enum DeferredEvent {
    /// These caches are removed from the list.
    RemoveCaches(Vec<usize>),
    /// These caches go down for a moment, so that what is open there is reset long after it
    /// arrived.
    ResetCaches(Vec<usize>),
    /// These caches work again.
    RestoreCaches(Vec<usize>),
    /// Answers are right again.
    EndCorruption,
    /// Discovery works again.
    RestoreDiscovery,
    /// This balancer is asked to end.
    Terminate(usize),
    /// This balancer is killed, if it still runs.
    Kill(usize),
    /// This balancer is started.
    Start(usize),
}

impl SoakRun {
    fn own(&self, count: usize) -> Vec<usize> {
        (0..count.min(self.plan.rules.own_listeners)).collect()
    }

    fn defer(&mut self, span: Nanos, what: DeferredEvent) {
        self.deferred.push((self.clock.now() + span, what));
    }

    /// Has an event happen.
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
            | SoakEvent::Share(..) => self.inject_at_balancer(event),
            _ => self.inject_at_caches(event),
        }
    }

    /// Events of caches; ignores all others.
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
                let caches = self.own(count);
                self.discovery.change(caches.clone(), CacheState::Draining);
                self.defer(span, DeferredEvent::RemoveCaches(caches));
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
                self.defer(span, DeferredEvent::ResetCaches(caches));
            }
            SoakEvent::CachesDown(count, span) => {
                let caches = self.own(count);
                self.caches.faults.lock().down.extend(&caches);
                self.defer(span, DeferredEvent::RestoreCaches(caches));
            }
            SoakEvent::Spoilt(span) => {
                let mut faults = self.caches.faults.lock();
                (faults.busy, faults.error, faults.reset) = (0.1, 0.05, 0.05);
                (faults.cut, faults.second, faults.close) = (0.03, 0.05, 0.1);
                drop(faults);
                self.defer(span, DeferredEvent::EndCorruption);
            }
            _ => {}
        }
    }

    /// Events of discovery; ignores all others.
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
                self.discovery.set_fault(DiscoveryFault::Crowded(300));
                self.defer(span, DeferredEvent::RestoreDiscovery);
            }
            _ => {}
        }
    }

    /// Events of balancers; ignores all others.
    fn inject_at_balancer(&mut self, event: &SoakEvent) {
        match *event {
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
            _ => {}
        }
    }

    /// Has happen what follows from an earlier event.
    pub(super) fn run_deferred(&mut self, what: DeferredEvent) {
        match what {
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
            DeferredEvent::EndCorruption => {
                let mut faults = self.caches.faults.lock();
                let (hanging, down) = (faults.hanging.clone(), faults.down.clone());
                *faults = CacheFaults {
                    hanging,
                    down,
                    ..Default::default()
                };
            }
            DeferredEvent::RestoreDiscovery => self.discovery.set_fault(DiscoveryFault::None),
            DeferredEvent::Terminate(one) => self.term(one),
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
        longest.min(MAX_DEADLINE) + KILL_AFTER
    }

    fn restart(&mut self, one: usize) {
        let kill = self.kill_after();
        let is_open = self.status.lock()[one].access == ClientAccess::Open;
        if !is_open {
            return;
        }
        // Caches that hang through the whole of a shutdown.
        self.inject(&SoakEvent::Hangs(self.plan.rules.own_listeners, kill));
        let started = self.clock.now() + HANG_BEFORE_SHUTDOWN;
        self.deferred.push((started, DeferredEvent::Terminate(one)));
    }

    fn term(&mut self, one: usize) {
        let kill = self.kill_after();
        lock(&self.balancers[one]).term();
        self.defer(kill, DeferredEvent::Kill(one));
        self.defer(kill + 50 * MS, DeferredEvent::Start(one));
    }

    fn reload(&mut self, one: usize) {
        self.discovery_in_use[one] = 1 - self.discovery_in_use[one];
        let address = self.discovery_addresses[one][self.discovery_in_use[one]];
        let mut balancer = lock(&self.balancers[one]);
        match balancer.configure("discovery", serde_json::json!(address)) {
            Ok(_) => balancer.signal(Signal::SIGHUP),
            Err(e) => self.events.push((self.clock.now(), e.to_string())),
        }
    }

    fn limit_cpu(&mut self, one: usize, share: u64, span: Nanos) {
        let balancer = Arc::clone(&self.balancers[one]);
        let clock = self.clock;
        let until = clock.now() + span;
        self.threads.push(std::thread::spawn(move || {
            let runs = CPU_PERIOD.mul_f64(share as f64 / 100.0);
            while clock.now() < until {
                lock(&balancer).stall(CPU_PERIOD - runs);
                std::thread::sleep(runs);
            }
        }));
    }
}
