//! The loop's part in attempts: they get a connection, begin by what is true at their first byte, and end.

use super::EventLoop;
use crate::poll_timestamps::PollTimestamps;
use crate::resp::write_command;
use crate::timers::{MS, TimerKind};
use crate::upstream_pool::{ExchangeResult, OutboundCommand, UpstreamEvent, UpstreamJob};
use routing::{AttemptNumber, AttemptOutcome, EndpointId, Nanos, RequestId};

/// A probe is given up after this.
const PROBE_TIMEOUT: Nanos = 500 * MS;
/// Right behind the gathering attempts begin although it took long, up to this: each client is asked for then.
const GATHERED: Nanos = 100 * MS;
/// So many turns attempts wait for a look that is recent enough; where each takes long, they would wait for good.
const POSTPONED_MOST: u32 = 3;

/// An attempt as the module wants it sent.
pub(super) struct AttemptOrder {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNumber,
    pub(super) endpoint: EndpointId,
    pub(super) timeout: Option<Nanos>,
    pub(super) write_within: Option<Nanos>,
}

impl EventLoop {
    pub(super) fn handle_upstream_events(&mut self, now: Nanos, events: Vec<UpstreamEvent>) {
        for event in events {
            match event {
                // One that waits for a look is reported again by each.
                UpstreamEvent::Up { job } if self.connected_jobs.contains(&job) => {}
                UpstreamEvent::Up { job } => self.connected_jobs.push_back(job),
                UpstreamEvent::Begun { job, length } => self.start_streaming(now, job, length),
                UpstreamEvent::Part { job, bytes } => self.stream_chunk(now, job, &bytes),
                UpstreamEvent::End { job, end } => self.finish_job(now, job, end),
            }
        }
    }

    /// Begins the jobs whose connections are up, as far as what is known is recent enough: nothing is sent by what was
    /// true before the process was held up. `gathered`: all that the last look reported has just been taken in.
    pub(super) fn start_connected_jobs(&mut self, gathered: bool) {
        while let Some(job) = self.connected_jobs.pop_front() {
            let now = self.clock.now();
            if !self.may_send_now(now, gathered) {
                self.connected_jobs.push_front(job);
                self.counters.postponed += 1;
                self.postponed_turns += u32::from(gathered);
                return;
            }
            self.start_job(now, job);
        }
        self.postponed_turns = 0;
    }

    /// Whether closes and lists were looked for recently enough to send something.
    fn may_send_now(&self, now: Nanos, gathered: bool) -> bool {
        let age = now.saturating_sub(self.poll_timestamps.quiet());
        let waited_long = gathered && self.postponed_turns >= POSTPONED_MOST;
        let looked = PollTimestamps::is_fresh(self.poll_timestamps.quiet(), now)
            || gathered && age <= GATHERED;
        !self.catching_up && (looked || waited_long)
    }

    /// The connection of a job is up: the job begins, unless it is not wanted any more.
    fn start_job(&mut self, now: Nanos, job: UpstreamJob) {
        let command = match job {
            UpstreamJob::Attempt(request, attempt) => {
                self.check_client_connection(now, request);
                self.attempt_tracker
                    .first_byte(now, request, attempt, &mut self.counters)
            }
            UpstreamJob::Probe(_) => {
                // Where load is reported the probe asks for it.
                let load = !self.engine.names().report_columns.is_empty();
                let words: &[&[u8]] = if load {
                    &[b"INFO", b"load"]
                } else {
                    &[b"PING"]
                };
                Ok(write_command(words))
            }
        };
        match command {
            Ok(command) => {
                let mut events = Vec::new();
                self.upstream_pool
                    .begin(job, command, &mut events, &mut self.counters);
                self.handle_upstream_events(now, events);
            }
            Err(never_sent) => {
                if let UpstreamJob::Attempt(request, attempt) = job {
                    self.timers.cancel(TimerKind::Attempt(request, attempt));
                }
                self.upstream_pool.abandon(job, &mut self.counters);
                self.pending_events.extend(never_sent.map(|event| *event));
            }
        }
    }

    /// Nothing is owed to a client that has left, though its end has not been read yet.
    fn check_client_connection(&mut self, now: Nanos, request: RequestId) {
        let Some(connection) = self.attempt_tracker.owed_to(request) else {
            return;
        };
        let mut events = Vec::new();
        self.listener
            .is_client_connected(connection, now, &mut events, &mut self.counters);
        self.handle_listener_events(now, events);
    }

    fn finish_job(&mut self, now: Nanos, job: UpstreamJob, end: ExchangeResult) {
        if let UpstreamJob::Attempt(request, attempt) = job {
            self.timers.cancel(TimerKind::Attempt(request, attempt));
            if let Some(connection) = self.attempt_tracker.passing((request, attempt)) {
                self.attempt_tracker.passed(request);
                let whole = matches!(end, ExchangeResult::Answer(_));
                self.counters.broken_off += u64::from(!whole);
                let mut events = Vec::new();
                self.listener.finish_streaming(
                    connection,
                    request,
                    whole,
                    now,
                    &mut events,
                    &mut self.counters,
                );
                return self.handle_listener_events(now, events);
            }
        }
        self.counters.no_place += u64::from(end == ExchangeResult::NoPlace);
        let (event, answer) = self
            .attempt_tracker
            .finished(now, job, end, &mut self.counters);
        self.pending_events.extend(event);
        if let Some(answer) = answer {
            self.send_answer(now, answer);
        }
    }

    /// A long value has begun to come.
    fn start_streaming(&mut self, now: Nanos, job: UpstreamJob, length: usize) {
        let UpstreamJob::Attempt(request, attempt) = job else {
            return;
        };
        self.timers.cancel(TimerKind::Attempt(request, attempt));
        match self
            .attempt_tracker
            .begun(now, (request, attempt), length, &mut self.counters)
        {
            Some((event, answer)) => {
                self.pending_events.push(event);
                self.send_answer(now, answer);
            }
            // Another try has answered, or the client has left.
            None => {
                self.upstream_pool.abandon(job, &mut self.counters);
                let outcome = AttemptOutcome::Cancelled;
                self.pending_events.extend(self.attempt_tracker.give_up(
                    now,
                    request,
                    attempt,
                    outcome,
                    &mut self.counters,
                ));
            }
        }
    }

    /// Passes on the next bytes of a long value, and stops reading its cache while the client can't take more.
    fn stream_chunk(&mut self, now: Nanos, job: UpstreamJob, bytes: &[u8]) {
        let UpstreamJob::Attempt(request, attempt) = job else {
            return;
        };
        let Some(connection) = self.attempt_tracker.passing((request, attempt)) else {
            return;
        };
        self.listener.append_chunk(connection, request, bytes);
        let mut events = Vec::new();
        self.listener
            .flush(connection, now, &mut events, &mut self.counters);
        // At half of what would have requests refused: long values must not cause that.
        let waits = self.listener.pending_bytes(connection, request) > 0;
        let tight =
            waits && self.attempt_tracker.held() + self.listener.buffered() > self.memory_limit / 2;
        if self
            .listener
            .apply_back_pressure(connection, request, tight)
        {
            self.upstream_pool.pause(now, job, true, &mut self.timers);
        }
        self.handle_listener_events(now, events);
    }

    /// Begins an attempt, unless its request has no time any more.
    pub(super) fn start_attempt(&mut self, now: Nanos, wanted: AttemptOrder) {
        let AttemptOrder {
            request,
            attempt,
            endpoint: server,
            timeout,
            write_within: begin_within,
        } = wanted;
        let bounds = (timeout, begin_within);
        match self.attempt_tracker.start(
            now,
            (request, attempt),
            server,
            bounds,
            &mut self.counters,
        ) {
            Ok(outgoing) => {
                if let UpstreamJob::Attempt(request, attempt) = outgoing.job {
                    self.timers
                        .set(outgoing.until, TimerKind::Attempt(request, attempt));
                }
                self.dispatch(now, outgoing);
            }
            Err(never_sent) => self.pending_events.push(*never_sent),
        }
    }

    /// Gives an attempt up, as the module wants.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        if self
            .upstream_pool
            .is_unsent(UpstreamJob::Attempt(request, attempt))
        {
            self.attempt_tracker
                .count_unsent(now, request, &mut self.counters);
        }
        let outcome = AttemptOutcome::Cancelled;
        if let Some(event) =
            self.attempt_tracker
                .give_up(now, request, attempt, outcome, &mut self.counters)
        {
            self.timers.cancel(TimerKind::Attempt(request, attempt));
            self.upstream_pool
                .abandon(UpstreamJob::Attempt(request, attempt), &mut self.counters);
            self.pending_events.push(event);
        }
    }

    /// Probes a cache.
    pub(super) fn start_health_check(&mut self, now: Nanos, server: EndpointId) {
        let job = self.attempt_tracker.probe(server, &mut self.counters);
        if let UpstreamJob::Probe(probe) = job {
            self.timers
                .set(now + PROBE_TIMEOUT, TimerKind::HealthCheck(probe));
        }
        self.dispatch(
            now,
            OutboundCommand {
                job,
                server,
                until: now + PROBE_TIMEOUT,
            },
        );
    }

    fn dispatch(&mut self, now: Nanos, outgoing: OutboundCommand) {
        let mut events = Vec::new();
        self.upstream_pool.dispatch(
            now,
            outgoing,
            &mut self.timers,
            &mut events,
            &mut self.counters,
        );
        self.handle_upstream_events(now, events);
        self.start_connected_jobs(false);
    }
}
