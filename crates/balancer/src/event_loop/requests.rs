//! The loop's part in requests: what the front tells of clients goes to the module, and final answers to the front.

use super::EventLoop;
use crate::attempt_tracker::Answer;
use crate::counters::DecisionStep;
use crate::listener::resp::ListenerEvent;
use crate::request::{FinalAnswer, IncomingRequest};
use crate::timers::MS;
use routing::{Event, Explanation, Nanos, RequestId};
use std::collections::VecDeque;

impl EventLoop {
    pub(super) fn handle_listener_events(&mut self, now: Nanos, events: Vec<ListenerEvent>) {
        let mut events = VecDeque::from(events);
        while let Some(event) = events.pop_front() {
            match event {
                ListenerEvent::Request(mut incoming) => {
                    if let Some(by) = self.lifecycle.answer_deadline() {
                        incoming.client_timeout = incoming
                            .client_timeout
                            .min(by.saturating_sub(incoming.arrived_at));
                    }
                    // More would end the process for its memory, and with it all that was taken.
                    let full =
                        self.attempt_tracker.held() + self.listener.buffered() > self.memory_limit;
                    let full = full || self.attempt_tracker.open() >= self.open_requests_max;
                    let event = self.engine.request(&incoming);
                    if let Some(answer) = self.rejection(&incoming, event.is_some(), full) {
                        // Not by `answer`: a long pipeline would have it call itself for each command.
                        let mut more = Vec::new();
                        let connection = incoming.ticket.connection;
                        self.listener.answer(incoming.ticket, answer);
                        self.listener
                            .flush(connection, now, &mut more, &mut self.counters);
                        events.extend(more);
                        continue;
                    }
                    log::trace!(
                        class = incoming.class.as_str(), tenant = incoming.tenant.as_deref(),
                        patience_ms = incoming.client_timeout / MS;
                        "request {} taken", incoming.ticket.request.0
                    );
                    self.pending_events.extend(event);
                    self.attempt_tracker.take(incoming);
                }
                ListenerEvent::ClientDisconnected(request) => {
                    if let Some(job) = self.attempt_tracker.passing_try(request) {
                        self.attempt_tracker.passed(request);
                        self.upstream_pool.abandon(job, &mut self.counters);
                    } else {
                        self.attempt_tracker.gone(now, request);
                        self.pending_events.push(Event::ClientDisconnected(request));
                    }
                }
                ListenerEvent::CapacityAvailable(request) => {
                    if let Some(job) = self.attempt_tracker.passing_try(request) {
                        self.upstream_pool.pause(now, job, false, &mut self.timers);
                    }
                }
            }
        }
    }

    /// The answer to a request that isn't taken. One without a known class, or with the id of an open one, must
    /// reach no peer: that would take it for the other, or complain, and the module would think ill of the peer.
    fn rejection(
        &mut self,
        incoming: &IncomingRequest,
        class_known: bool,
        full: bool,
    ) -> Option<FinalAnswer> {
        if !class_known {
            self.counters.class_unknown += 1;
            Some(FinalAnswer::Invalid("unknown class"))
        } else if self.attempt_tracker.is_open(&incoming.command.request_id) {
            self.counters.id_open += 1;
            Some(FinalAnswer::Invalid("a request with this id is open"))
        } else if full {
            self.counters.overfull += 1;
            Some(FinalAnswer::Rejected { retry_after: 0 })
        } else if incoming.arrived_at.saturating_add(incoming.client_timeout) <= self.clock.now() {
            // It waited to be read while the process was held up.
            self.counters.over_when_read += 1;
            Some(FinalAnswer::Rejected { retry_after: 0 })
        } else {
            None
        }
    }

    /// Counts a step that the module took for a reason, and logs it with the figures that it was decided by.
    pub(super) fn record_decision(
        &mut self,
        request: RequestId,
        step: DecisionStep,
        why: &Explanation,
    ) {
        self.counters.steps.count(step, why.reason);
        log::debug!(
            step = step.name(), reason = why.reason.name(), out = why.in_flight, limit = why.limit, room = why.origin_admitted_fraction,
            base_us = why.baseline_latency / 1_000, now_us = why.recent_latency / 1_000;
            "request {}", request.0
        );
    }

    pub(super) fn send_answer(&mut self, now: Nanos, (ticket, answer): Answer) {
        match answer {
            FinalAnswer::Served(_) | FinalAnswer::Streaming(_) => self.counters.served += 1,
            FinalAnswer::Rejected { .. } => self.counters.refused += 1,
            FinalAnswer::Failed | FinalAnswer::Invalid(_) => self.counters.failed += 1,
        }
        let connection = ticket.connection;
        self.listener.answer(ticket, answer);
        let mut events = Vec::new();
        self.listener
            .flush(connection, now, &mut events, &mut self.counters);
        self.handle_listener_events(now, events);
    }
}
