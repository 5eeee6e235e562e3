//! Arrival and admission of requests. Requests that can't be forwarded are answered at once; the
//! others are passed to the engine.

use super::EventLoop;
use super::deferred_requests::ID_RELEASE_WAIT;
use crate::listener::resp::{IdState, ListenerEvent};
use crate::request::{ClientHistory, FinalAnswer, IncomingRequest, REQUEST_OVERHEAD};
use crate::timers::MS;
use crate::upstream_pool::CloseReason;
use routing::{ClassId, Event, Idempotency, Nanos, RequestId};
use std::collections::VecDeque;

/// Decision on a request that has arrived.
enum Admission {
    /// The request is passed to the engine.
    Admit,
    /// The request is answered at once.
    Answer(FinalAnswer),
    /// The request waits for another process that has its id open.
    Defer,
}

impl EventLoop {
    pub(super) fn handle_listener_events(&mut self, now: Nanos, events: Vec<ListenerEvent>) {
        let mut events = VecDeque::from(events);
        while let Some(event) = events.pop_front() {
            match event {
                ListenerEvent::Request(incoming) => {
                    let further = self.handle_request(now, *incoming);
                    events.extend(further);
                }
                ListenerEvent::ClientDisconnected(request) => {
                    self.handle_client_disconnect(now, request);
                }
                ListenerEvent::CapacityAvailable(request) => {
                    if let Some(job) = self.attempt_tracker.stream_job(request) {
                        self.upstream_pool.resume(now, job, &mut self.timers);
                    }
                }
                ListenerEvent::HoldOver {
                    connection,
                    request,
                } => events.extend(self.end_hold(now, connection, request)),
            }
        }
    }

    fn handle_request(&mut self, now: Nanos, incoming: IncomingRequest) -> Vec<ListenerEvent> {
        self.admit_request(now, incoming, now + ID_RELEASE_WAIT)
    }

    /// Admits a request, answers it at once, or defers it while its id is open at another process,
    /// until `defer_until` at most. Returns further events of client connections.
    pub(super) fn admit_request(
        &mut self,
        now: Nanos,
        mut incoming: IncomingRequest,
        defer_until: Nanos,
    ) -> Vec<ListenerEvent> {
        if let Some(deadline) = self.lifecycle.answer_deadline() {
            let time_left = deadline.saturating_sub(incoming.arrived_at);
            incoming.client_timeout = incoming.client_timeout.min(time_left);
        }
        let event = self.engine.request_event(&incoming);
        let class = event.as_ref().and_then(class_of);
        let mut events = Vec::new();
        match self.decide_admission(now, &incoming, class, defer_until, &mut events) {
            Admission::Admit => {}
            Admission::Defer => {
                self.defer_request(now, incoming, defer_until);
                return events;
            }
            Admission::Answer(answer) => {
                // Calling `send_answer` here would recurse for each command of a long pipeline.
                let connection = incoming.answer_token.connection;
                self.listener.answer(incoming.answer_token, answer, now);
                self.listener
                    .flush(connection, now, &mut events, &mut self.counters);
                return events;
            }
        }
        log::debug!(
            id:% = incoming.command.request_id.escape_ascii(),
            client = incoming.answer_token.connection,
            class = incoming.class.as_str(),
            tenant = incoming.tenant.as_deref(),
            client_timeout_ms = incoming.client_timeout / MS;
            "request {} admitted", incoming.answer_token.request.0
        );
        self.pending_events.extend(event);
        let is_idempotent = class.is_some_and(|class| self.is_idempotent(class));
        let class = class.and_then(|class| self.config.settings.classes.get(class.0));
        let latency_objective = class.map_or(0, |class| class.latency_objective);
        self.attempt_tracker
            .add_request(incoming, is_idempotent, latency_objective);
        events
    }

    /// Returns whether requests of a class may run more than once without harm.
    fn is_idempotent(&self, class: ClassId) -> bool {
        let class = self.config.settings.classes.get(class.0);
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// Decides whether a request is admitted.
    ///
    /// A request of an unknown class, or with the id of an open request, must not be forwarded: the
    /// cache would confuse the two requests, or respond with an error that the engine would count
    /// against that cache. Nor must the repeat of a request that must not run twice.
    fn decide_admission(
        &mut self,
        now: Nanos,
        incoming: &IncomingRequest,
        class: Option<ClassId>,
        defer_until: Nanos,
        events: &mut Vec<ListenerEvent>,
    ) -> Admission {
        let Some(class) = class else {
            self.counters.unknown_class += 1;
            return Admission::Answer(FinalAnswer::Invalid("unknown class"));
        };
        let id = &incoming.command.request_id;
        let token = &incoming.answer_token;
        let id_state = self
            .listener
            .open_id(token, id, now, events, &mut self.counters);
        if id_state == IdState::OpenHere {
            return self.reject_open_id();
        }
        if !self.is_idempotent(class) && self.forwarded_ids.contains(id) {
            self.counters.repeated_id += 1;
            return Admission::Answer(FinalAnswer::Invalid(
                "a request with this id was forwarded before",
            ));
        }
        if id_state == IdState::OpenAtOther {
            return if self.may_defer_request(now, incoming, defer_until) {
                Admission::Defer
            } else {
                self.reject_open_id()
            };
        }
        if self.is_over_limits(incoming) {
            self.counters.rejected_at_limits += 1;
            Admission::Answer(FinalAnswer::Rejected { retry_after: 0 })
        } else if incoming.arrived_at.saturating_add(incoming.client_timeout) <= self.clock.now() {
            // The request was waiting in the socket while the process was stalled.
            self.counters.expired_when_read += 1;
            Admission::Answer(FinalAnswer::Rejected { retry_after: 0 })
        } else {
            Admission::Admit
        }
    }

    fn reject_open_id(&mut self) -> Admission {
        self.counters.duplicate_id += 1;
        Admission::Answer(FinalAnswer::Invalid("a request with this id is open"))
    }

    /// Returns whether a request would exceed the limit of memory or of open requests, or take a
    /// connection to a cache that is reserved for clients known to read. Exceeding the
    /// memory limit could get the process killed, and all open requests would be lost. Above half of
    /// the memory limit, a connection may hold only its share.
    fn is_over_limits(&self, incoming: &IncomingRequest) -> bool {
        let size = incoming.command.byte_size();
        let held = self.held_bytes() + size;
        let connection = incoming.answer_token.connection;
        // The listener already counts the state of this request.
        let command = size - REQUEST_OVERHEAD;
        let lacks_connections =
            incoming.client == ClientHistory::New && self.upstream_pool.is_only_reserve_left();
        lacks_connections
            || held > self.memory_limit
            || held > self.memory_limit / 2 && self.listener.exceeds_share(connection, command)
            || self.attempt_tracker.open_requests() >= self.open_requests_max
    }

    /// Returns the number of bytes that requests and responses hold.
    pub(super) fn held_bytes(&self) -> usize {
        self.attempt_tracker.buffered_bytes() + self.listener.buffered_bytes()
    }

    fn handle_client_disconnect(&mut self, now: Nanos, request: RequestId) {
        if let Some(job) = self.attempt_tracker.stream_job(request) {
            self.attempt_tracker.end_stream(request);
            self.upstream_pool
                .abandon(job, CloseReason::ClientDisconnected, &mut self.counters);
        } else {
            self.attempt_tracker.client_disconnected(now, request);
            self.pending_events.push(Event::ClientDisconnected(request));
        }
    }
}

/// Returns the class of a request event.
fn class_of(event: &Event) -> Option<ClassId> {
    match event {
        Event::RequestArrived(request) => Some(request.class),
        _ => None,
    }
}
