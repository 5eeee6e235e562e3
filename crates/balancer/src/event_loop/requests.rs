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
    pub(super) fn front_events(&mut self, now: Nanos, events: Vec<ListenerEvent>) {
        let mut events = VecDeque::from(events);
        while let Some(event) = events.pop_front() {
            match event {
                ListenerEvent::Request(mut incoming) => {
                    if let Some(by) = self.life.answer_by() {
                        incoming.patience =
                            incoming.patience.min(by.saturating_sub(incoming.arrived));
                    }
                    // More would end the process for its memory, and with it all that was taken.
                    let full = self.tries.held() + self.front.buffered() > self.memory;
                    let full = full || self.tries.open() >= self.max_open;
                    let event = self.decide.request(&incoming);
                    if let Some(answer) = self.turn_away(&incoming, event.is_some(), full) {
                        // Not by `answer`: a long pipeline would have it call itself for each command.
                        let mut more = Vec::new();
                        let connection = incoming.ticket.connection;
                        self.front.answer(incoming.ticket, answer);
                        self.front
                            .flush(connection, now, &mut more, &mut self.counters);
                        events.extend(more);
                        continue;
                    }
                    log::trace!(
                        class = incoming.class.as_str(), tenant = incoming.tenant.as_deref(),
                        patience_ms = incoming.patience / MS;
                        "request {} taken", incoming.ticket.request.0
                    );
                    self.news.extend(event);
                    self.tries.take(incoming);
                }
                ListenerEvent::Gone(request) => {
                    if let Some(job) = self.tries.passing_try(request) {
                        self.tries.passed(request);
                        self.peers.abandon(job, &mut self.counters);
                    } else {
                        self.tries.gone(now, request);
                        self.news.push(Event::ClientDisconnected(request));
                    }
                }
                ListenerEvent::Room(request) => {
                    if let Some(job) = self.tries.passing_try(request) {
                        self.peers.pause(now, job, false, &mut self.timers);
                    }
                }
            }
        }
    }

    /// The answer to a request that isn't taken. One without a known class, or with the id of an open one, must
    /// reach no peer: that would take it for the other, or complain, and the module would think ill of the peer.
    fn turn_away(
        &mut self,
        incoming: &IncomingRequest,
        class_known: bool,
        full: bool,
    ) -> Option<FinalAnswer> {
        if !class_known {
            self.counters.class_unknown += 1;
            Some(FinalAnswer::Invalid("unknown class"))
        } else if self.tries.is_open(&incoming.order.id) {
            self.counters.id_open += 1;
            Some(FinalAnswer::Invalid("a request with this id is open"))
        } else if full {
            self.counters.overfull += 1;
            Some(FinalAnswer::Refused { retry_after: 0 })
        } else if incoming.arrived.saturating_add(incoming.patience) <= self.clock.now() {
            // It waited to be read while the process was held up.
            self.counters.over_when_read += 1;
            Some(FinalAnswer::Refused { retry_after: 0 })
        } else {
            None
        }
    }

    /// Counts a step that the module took for a reason, and logs it with the figures that it was decided by.
    pub(super) fn explain(&mut self, request: RequestId, step: DecisionStep, why: &Explanation) {
        self.counters.steps.count(step, why.reason);
        log::debug!(
            step = step.name(), reason = why.reason.name(), out = why.in_flight, limit = why.limit, room = why.origin_admitted_fraction,
            base_us = why.baseline_latency / 1_000, now_us = why.recent_latency / 1_000;
            "request {}", request.0
        );
    }

    pub(super) fn answer(&mut self, now: Nanos, (ticket, answer): Answer) {
        match answer {
            FinalAnswer::Served(_) | FinalAnswer::Coming(_) => self.counters.served += 1,
            FinalAnswer::Refused { .. } => self.counters.refused += 1,
            FinalAnswer::Failed | FinalAnswer::Invalid(_) => self.counters.failed += 1,
        }
        let connection = ticket.connection;
        self.front.answer(ticket, answer);
        let mut events = Vec::new();
        self.front
            .flush(connection, now, &mut events, &mut self.counters);
        self.front_events(now, events);
    }
}
