//! Dispatch of attempts and health checks: each gets a connection, and its command is written if
//! the client, the deadlines and the endpoint list still allow it at that moment.

use super::EventLoop;
use crate::attempt_tracker::AttemptSpec;
use crate::poll_timestamps::PollTimestamps;
use crate::resp::write_command;
use crate::timers::{MS, TimerKind};
use crate::upstream_pool::{CloseReason, OutboundCommand, UpstreamJob};
use routing::{AttemptNumber, AttemptOutcome, EndpointId, Event, Nanos, RequestId};

/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Nanos = 500 * MS;
/// Maximum age of the last poll for writing attempts right after its results were processed.
/// Processing them may take longer than a poll counts as fresh, but each client's connection is
/// checked again before its attempt is written.
const PROCESSED_POLL_AGE_MAX: Nanos = 100 * MS;
/// Maximum number of consecutive turns in which attempts are postponed for lack of a recent poll.
/// Without this limit they would never be sent if every turn took longer than
/// [`PROCESSED_POLL_AGE_MAX`].
const POSTPONED_TURNS_MAX: u32 = 3;

/// Whether the sockets that the last poll reported have been processed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PollState {
    /// All of them have just been processed.
    JustProcessed,
    /// Some may be unprocessed, or the loop has done other work since it processed them.
    Earlier,
}

impl EventLoop {
    /// Starts an attempt, unless its request has no time left.
    pub(super) fn start_attempt(&mut self, now: Nanos, spec: AttemptSpec) {
        let started = self
            .attempt_tracker
            .start_attempt(now, spec, &mut self.counters);
        match started {
            Ok(outbound) => {
                if let UpstreamJob::Attempt(request, attempt) = outbound.job {
                    self.timers
                        .set(outbound.deadline, TimerKind::Attempt(request, attempt));
                }
                self.dispatch(now, outbound);
            }
            Err(not_sent) => self.pending_events.push(*not_sent),
        }
    }

    /// Cancels an attempt on the engine's decision.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        let job = UpstreamJob::Attempt(request, attempt);
        if self.upstream_pool.is_unsent(job) {
            self.attempt_tracker
                .count_unsent(now, request, &mut self.counters);
        }
        let outcome = AttemptOutcome::Cancelled;
        if let Some(event) =
            self.attempt_tracker
                .end_attempt(now, request, attempt, outcome, &mut self.counters)
        {
            self.timers.cancel(TimerKind::Attempt(request, attempt));
            self.upstream_pool
                .abandon(job, CloseReason::Cancelled, &mut self.counters);
            self.pending_events.push(event);
        }
    }

    /// Starts a health check.
    pub(super) fn start_health_check(&mut self, now: Nanos, endpoint: EndpointId) {
        let job = self
            .attempt_tracker
            .start_health_check(endpoint, &mut self.counters);
        let deadline = now + HEALTH_CHECK_TIMEOUT;
        if let UpstreamJob::HealthCheck(number) = job {
            self.timers.set(deadline, TimerKind::HealthCheck(number));
        }
        let outbound = OutboundCommand {
            job,
            endpoint,
            deadline,
            may_use_reserve: true,
        };
        self.dispatch(now, outbound);
    }

    fn dispatch(&mut self, now: Nanos, outbound: OutboundCommand) {
        let mut events = Vec::new();
        self.upstream_pool.dispatch(
            now,
            outbound,
            &mut self.timers,
            &mut events,
            &mut self.counters,
        );
        self.handle_upstream_events(now, events);
        self.start_connected_jobs(PollState::Earlier);
    }

    /// Writes the commands of jobs whose connections are established, or postpones them if the last
    /// poll is not recent enough. During a stall clients may disconnect and endpoints may start to
    /// drain, so nothing is sent until these events are polled again.
    pub(super) fn start_connected_jobs(&mut self, poll_state: PollState) {
        while let Some(job) = self.connected_jobs.pop_front() {
            let now = self.clock.now();
            if !self.may_send_now(now, poll_state) {
                self.connected_jobs.push_front(job);
                self.counters.attempts_postponed += 1;
                self.postponed_turns += u32::from(poll_state == PollState::JustProcessed);
                return;
            }
            self.start_job(now, job);
        }
        self.postponed_turns = 0;
    }

    /// Returns whether disconnects and endpoint updates were polled recently enough to write an
    /// attempt.
    fn may_send_now(&self, now: Nanos, poll_state: PollState) -> bool {
        if self.is_catching_up() {
            return false;
        }
        let polled_at = self.poll_timestamps.last_poll();
        PollTimestamps::is_fresh(polled_at, now)
            || poll_state == PollState::JustProcessed
                && (now.saturating_sub(polled_at) <= PROCESSED_POLL_AGE_MAX
                    || self.postponed_turns >= POSTPONED_TURNS_MAX)
    }

    /// Writes a job's command on its established connection, or abandons the job if it must not be
    /// sent any more.
    fn start_job(&mut self, now: Nanos, job: UpstreamJob) {
        match self.command_for(now, job) {
            Ok(command) => {
                let mut events = Vec::new();
                self.upstream_pool
                    .send_command(job, command, &mut events, &mut self.counters);
                self.handle_upstream_events(now, events);
            }
            Err(not_sent) => {
                if let UpstreamJob::Attempt(request, attempt) = job {
                    self.timers.cancel(TimerKind::Attempt(request, attempt));
                }
                self.upstream_pool
                    .abandon(job, CloseReason::NotSent, &mut self.counters);
                self.pending_events.extend(not_sent.map(|event| *event));
            }
        }
    }

    /// Returns a job's command.
    ///
    /// # Errors
    ///
    /// If the job must not be sent any more; the event, if any, reports that to the engine.
    fn command_for(&mut self, now: Nanos, job: UpstreamJob) -> Result<Vec<u8>, Option<Box<Event>>> {
        match job {
            UpstreamJob::Attempt(request, attempt) => {
                self.check_client_connection(now, request);
                let command = self.attempt_tracker.encode_command(
                    now,
                    request,
                    attempt,
                    &mut self.counters,
                )?;
                if self.record_forwarding(now, request) {
                    return Ok(command);
                }
                // The client has disconnected, so this returns the end of the attempt.
                self.attempt_tracker
                    .encode_command(now, request, attempt, &mut self.counters)
            }
            // Where endpoints report their load, the health check requests the load report.
            UpstreamJob::HealthCheck(_) if !self.engine.names().report_columns.is_empty() => {
                Ok(write_command(&[b"INFO", b"load"]))
            }
            UpstreamJob::HealthCheck(_) => Ok(write_command(&[b"PING"])),
        }
    }

    /// Records the id of a request that must not run twice and is about to be forwarded. Returns
    /// whether it may be. During a hot restart a client that has disconnected may already repeat the
    /// request at the other process. Therefore the id is recorded first, and then the kernel is asked
    /// whether the client is still connected: a repeat that is sent later finds the id.
    fn record_forwarding(&mut self, now: Nanos, request: RequestId) -> bool {
        if self.attempt_tracker.is_idempotent(request) {
            return true;
        }
        let recorded = self.attempt_tracker.take_id_to_record(request);
        if let Some(id) = &recorded {
            self.forwarded_ids.add(id);
        }
        if !self.hot_restart.has_other() {
            return true;
        }
        let is_connected = self.confirm_client_connection(now, request);
        if let Some(id) = recorded.filter(|_| !is_connected) {
            self.forwarded_ids.retract(&id);
        }
        is_connected
    }

    /// Asks the kernel whether the client of a request is still connected.
    fn confirm_client_connection(&mut self, now: Nanos, request: RequestId) -> bool {
        let Some(connection) = self.attempt_tracker.waiting_client(request) else {
            return false;
        };
        let mut events = Vec::new();
        let is_connected = self.listener.confirm_client_connected(
            connection,
            now,
            &mut events,
            &mut self.counters,
        );
        self.handle_listener_events(now, events);
        is_connected
    }

    /// Checks whether the client of a request is still connected, and handles a disconnect that has
    /// not been read yet, so that no attempt is sent for a disconnected client.
    fn check_client_connection(&mut self, now: Nanos, request: RequestId) {
        let Some(connection) = self.attempt_tracker.waiting_client(request) else {
            return;
        };
        let mut events = Vec::new();
        self.listener
            .is_client_connected(connection, now, &mut events, &mut self.counters);
        self.handle_listener_events(now, events);
    }
}
