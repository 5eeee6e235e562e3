//! Processing of ready sockets in a fixed order, so that the engine decides on the latest state:
//! endpoint updates come before outcomes of attempts, and these before new requests. Postponed
//! attempts are written last, after the disconnects and endpoint updates of the same poll.

use super::EventLoop;
use super::dispatch::PollState;
use super::turn_meter::TurnStep;
use crate::poll::{EventSource, PollOutcome, Readiness};
use routing::Nanos;

impl EventLoop {
    /// Processes the ready sockets and the expired timers.
    pub(super) fn process_ready(&mut self, ready: &mut Vec<Readiness>, outcome: PollOutcome) {
        let now = self.clock.now();
        if outcome == PollOutcome::Completed {
            self.listener.set_poll_timestamps(self.poll_timestamps);
            if !ready.iter().any(|r| r.source == EventSource::Listener) {
                self.listener.record_empty_backlog();
            }
        }
        self.attempt_tracker
            .set_total_stall(self.poll_timestamps.total_stall());
        self.process_admin_calls(now, ready);
        self.process_discovery(now, ready);
        let clients = self.process_upstreams(now, ready);
        self.process_timers(now);
        self.upstream_pool.resume_inputs(now, &mut self.timers);
        self.process_clients(now, clients);
        if outcome == PollOutcome::Completed {
            self.update_catch_up();
            self.start_connected_jobs(PollState::JustProcessed);
        }
    }

    /// Processes admin calls. They come first, so that under any load their answer is delayed by at
    /// most one turn.
    fn process_admin_calls(&mut self, now: Nanos, ready: &[Readiness]) {
        for readiness in ready {
            if matches!(
                readiness.source,
                EventSource::AdminListener | EventSource::AdminConnection(_)
            ) {
                self.handle_admin(now, *readiness);
            }
        }
    }

    fn process_discovery(&mut self, now: Nanos, ready: &[Readiness]) {
        self.turn_meter.step(TurnStep::DiscoveryUpdates, now);
        for readiness in ready {
            if matches!(readiness.source, EventSource::Discovery(_)) {
                let mut events = Vec::new();
                self.discovery
                    .handle_ready(now, *readiness, &mut events, &mut self.counters);
                self.handle_discovery_events(events);
            }
        }
        self.apply_next_list_part();
    }

    /// Processes upstream connections, signals, gossip and new clients; returns the client
    /// connections that are ready.
    fn process_upstreams(&mut self, now: Nanos, ready: &mut Vec<Readiness>) -> Vec<Readiness> {
        self.turn_meter.step(TurnStep::Upstreams, self.clock.now());
        let mut clients = Vec::new();
        for readiness in ready.drain(..) {
            match readiness.source {
                EventSource::AdminListener
                | EventSource::AdminConnection(_)
                | EventSource::Discovery(_) => {}
                EventSource::Upstream(_) => self.process_upstream(now, readiness),
                EventSource::Shutdown => {
                    self.signals.shutdown.drain();
                    self.begin_shutdown(now);
                }
                EventSource::PrintCounters => {
                    self.signals.print_counters.drain();
                    self.print_counters();
                }
                EventSource::Reload => {
                    self.signals.reload.drain();
                    self.reload_config(now);
                }
                EventSource::Gossip => self.receive_gossip(now),
                EventSource::Listener => self.listener.accept(now, &mut self.counters),
                EventSource::Client(_) => clients.push(readiness),
            }
        }
        clients
    }

    fn process_upstream(&mut self, now: Nanos, readiness: Readiness) {
        let mut events = Vec::new();
        let memory = self.memory_pressure();
        self.upstream_pool.set_memory_pressure(memory);
        self.upstream_pool.handle_ready(
            now,
            readiness,
            &mut self.timers,
            &mut events,
            &mut self.counters,
        );
        self.handle_upstream_events(now, events);
    }

    /// Processes the timers that had expired by the last poll. A timer that has expired since then
    /// may be a timeout for input that has arrived but is not polled yet, so it must not fire
    /// before the next poll.
    fn process_timers(&mut self, now: Nanos) {
        self.turn_meter.step(TurnStep::Timers, self.clock.now());
        while let Some(timer) = self.timers.pop_expired(self.poll_timestamps.last_poll()) {
            self.timer_expired(now, timer);
        }
    }

    fn process_clients(&mut self, now: Nanos, clients: Vec<Readiness>) {
        self.turn_meter.step(TurnStep::Clients, self.clock.now());
        for readiness in clients {
            let mut events = Vec::new();
            self.listener
                .handle_ready(now, readiness, &mut events, &mut self.counters);
            self.handle_listener_events(now, events);
        }
    }
}
