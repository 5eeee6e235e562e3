//! Handling of expired timers.

use super::EventLoop;
use crate::attempt_tracker::BegunResponseTimeout;
use crate::timers::{MS, TimerKind};
use crate::upstream_pool::{CloseReason, UpstreamJob};
use routing::{AttemptNumber, AttemptOutcome, Event, Nanos, RequestId};

/// Interval between checks for connections that are idle or incomplete for too long.
pub(super) const REAP_INTERVAL: Nanos = 50 * MS;

impl EventLoop {
    pub(super) fn timer_expired(&mut self, now: Nanos, timer: TimerKind) {
        match timer {
            TimerKind::Engine(token) => self.pending_events.push(Event::TimerFired(token)),
            TimerKind::Attempt(request, attempt) => self.attempt_timed_out(now, request, attempt),
            TimerKind::HealthCheck(number) => self.health_check_timed_out(number),
            TimerKind::Connect(connection) => self.connect_timed_out(now, connection),
            TimerKind::ResponseStall(connection) => self.response_stalled(now, connection),
            TimerKind::Discovery(connection) => self.discovery_timed_out(connection),
            TimerKind::Watch => self.start_watch(now),
            TimerKind::RetryDeferred => self.retry_deferred_requests(now),
            TimerKind::ReapIdle => self.reap_connections(now),
            TimerKind::Lifecycle => self.apply_lifecycle(now),
            TimerKind::CheckOtherProcess => self.check_other_process(now),
            TimerKind::Gossip => self.run_gossip_tick(now),
        }
    }

    fn attempt_timed_out(&mut self, now: Nanos, request: RequestId, attempt: AttemptNumber) {
        let job = UpstreamJob::Attempt(request, attempt);
        if self.upstream_pool.has_response_begun(job) {
            match self
                .attempt_tracker
                .time_out_begun_response(request, attempt)
            {
                BegunResponseTimeout::Extend(deadline) => {
                    let timer = TimerKind::Attempt(request, attempt);
                    return self.timers.set(deadline, timer);
                }
                BegunResponseTimeout::Forward => return,
                BegunResponseTimeout::End => {}
            }
        }
        // A command that was not sent completely has not run, so the request may be retried.
        let outcome = if self.upstream_pool.is_unsent(job) {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Timeout
        };
        if let Some(event) =
            self.attempt_tracker
                .end_attempt(now, request, attempt, outcome, &mut self.counters)
        {
            self.upstream_pool
                .abandon(job, CloseReason::TimedOut, &mut self.counters);
            self.pending_events.push(event);
        }
    }

    fn health_check_timed_out(&mut self, number: u64) {
        if let Some(event) = self.attempt_tracker.time_out_health_check(number) {
            self.upstream_pool.abandon(
                UpstreamJob::HealthCheck(number),
                CloseReason::TimedOut,
                &mut self.counters,
            );
            self.pending_events.push(event);
        }
    }

    fn connect_timed_out(&mut self, now: Nanos, connection: u64) {
        let mut events = Vec::new();
        self.upstream_pool
            .handle_connect_timeout(connection, &mut events, &mut self.counters);
        self.handle_upstream_events(now, events);
    }

    fn response_stalled(&mut self, now: Nanos, connection: u64) {
        let mut events = Vec::new();
        // Bytes that arrived since the last poll are not read yet, so the time since then does not
        // count.
        let polled_at = self.poll_timestamps.last_poll();
        self.upstream_pool.handle_stall_timeout(
            polled_at,
            connection,
            &mut events,
            &mut self.counters,
        );
        self.handle_upstream_events(now, events);
    }

    fn discovery_timed_out(&mut self, connection: u64) {
        let mut events = Vec::new();
        // As for responses, the time since the last poll does not count.
        let polled_at = self.poll_timestamps.last_poll();
        self.discovery.handle_silence_timeout(
            polled_at,
            connection,
            &mut self.timers,
            &mut events,
            &mut self.counters,
        );
        self.handle_discovery_events(events);
    }

    fn reap_connections(&mut self, now: Nanos) {
        let mut events = Vec::new();
        self.listener.reap(now, &mut events, &mut self.counters);
        self.upstream_pool.close_expired(now, &mut self.counters);
        if let Some(admin_listener) = &mut self.admin_listener {
            admin_listener.reap(now, &mut self.counters);
        }
        self.handle_listener_events(now, events);
        self.timers.set(now + REAP_INTERVAL, TimerKind::ReapIdle);
    }
}
