//! The open requests and their tries: what the module sends is begun here, and what becomes of it is told in
//! the module's outcomes. Nothing is sent again from here; tries are the module's.

use crate::counters::Counters;
use crate::request::{AttemptRecord, FinalAnswer, IncomingRequest, RequestContext, Ticket};
use crate::resp::{Answer as PeerAnswer, Reply};
use crate::timers::MS;
use crate::upstream_pool::{ExchangeResult, OutboundCommand, UpstreamJob};
use routing::{
    AttemptNumber, AttemptOutcome, AttemptResult, CacheStatus, EndpointId, Event, LoadReport,
    Nanos, RequestId,
};
use std::collections::{HashMap, HashSet};

/// A final answer that is due now.
pub type Answer = (Ticket, FinalAnswer);

/// All requests that are owed an answer or have tries out, and the probes that are out.
#[derive(Default)]
pub struct AttemptTracker {
    contexts: HashMap<RequestId, RequestContext>,
    /// The clients' ids of all contexts.
    ids: HashSet<Vec<u8>>,
    probes: HashMap<u64, EndpointId>,
    next_probe: u64,
    /// Long values on their way to clients, the answer to which client connection, and from which try.
    passing: HashMap<RequestId, (u64, AttemptNumber)>,
    /// Bytes of all contexts.
    held: usize,
    /// For how long the process was held up so far, in all: no cache is to be blamed for that.
    lost: Nanos,
}

impl AttemptTracker {
    /// How many requests are open.
    pub fn open(&self) -> usize {
        self.contexts.len()
    }

    /// Bytes that the open requests hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether a request with this id of a client's is open: a second one would be taken for the first.
    pub fn is_open(&self, id: &[u8]) -> bool {
        self.ids.contains(id)
    }

    /// For how long the process was held up so far, in all.
    pub fn set_lost(&mut self, lost: Nanos) {
        self.lost = lost;
    }

    /// Takes a request. Its time counts from when it can have come.
    pub fn take(&mut self, incoming: IncomingRequest) {
        let deadline = incoming.arrived_at.saturating_add(incoming.client_timeout);
        self.held += incoming.command.byte_size();
        self.ids.insert(incoming.command.request_id.clone());
        let id = incoming.ticket.request;
        self.contexts.insert(
            id,
            RequestContext::new(incoming.ticket, incoming.command, deadline),
        );
    }

    /// A long value has begun to come: it is the request's answer, unless there is one. The cache has done its work, so the
    /// module is told of the success now; how long the rest takes is the client's pace too.
    pub fn begun(
        &mut self,
        now: Nanos,
        (request, attempt): (RequestId, AttemptNumber),
        length: usize,
        counters: &mut Counters,
    ) -> Option<(Event, Answer)> {
        let ticket = self.contexts.get_mut(&request)?.ticket.take()?;
        let event = self.give_up(now, request, attempt, AttemptOutcome::Ok, counters)?;
        counters.passed_on += 1;
        self.passing.insert(request, (ticket.connection, attempt));
        Some((event, (ticket, FinalAnswer::Streaming(length))))
    }

    /// The client connection to which this try's value is on its way.
    pub fn passing(&self, (request, attempt): (RequestId, AttemptNumber)) -> Option<u64> {
        self.passing
            .get(&request)
            .filter(|(_, passing)| *passing == attempt)
            .map(|(connection, _)| *connection)
    }

    /// The try whose value is on its way for this request.
    pub fn passing_try(&self, request: RequestId) -> Option<UpstreamJob> {
        self.passing
            .get(&request)
            .map(|(_, attempt)| UpstreamJob::Attempt(request, *attempt))
    }

    /// The value is through, broken off or not wanted any more.
    pub fn passed(&mut self, request: RequestId) {
        self.passing.remove(&request);
    }

    /// The client has left: nothing is owed any more.
    pub fn gone(&mut self, now: Nanos, request: RequestId) {
        if let Some(context) = self.contexts.get_mut(&request) {
            (context.ticket, context.client_left_at) = (None, Some(now));
        }
        self.clear(request);
    }

    /// The module's own final answer.
    pub fn answer(&mut self, request: RequestId, answer: FinalAnswer) -> Option<Answer> {
        let ticket = self.contexts.get_mut(&request)?.ticket.take()?;
        self.clear(request);
        Some((ticket, answer))
    }

    /// How much of a request's time is left, while it is open.
    pub fn left(&self, now: Nanos, request: RequestId) -> Option<Nanos> {
        Some(self.contexts.get(&request)?.deadline.saturating_sub(now))
    }

    /// The client connection to which an answer is owed.
    pub fn owed_to(&self, request: RequestId) -> Option<u64> {
        Some(self.contexts.get(&request)?.ticket.as_ref()?.connection)
    }

    fn clear(&mut self, request: RequestId) {
        if self
            .contexts
            .get(&request)
            .is_some_and(RequestContext::is_finished)
            && let Some(context) = self.contexts.remove(&request)
        {
            self.held -= context.command.byte_size();
            self.ids.remove(&context.command.request_id);
        }
    }

    /// Whatever is open ends by then: its tries are told so too.
    pub fn hurry(&mut self, by: Nanos) {
        for context in self.contexts.values_mut() {
            context.deadline = context.deadline.min(by);
            for one in context.attempts.values_mut() {
                one.deadline = one.deadline.min(by);
            }
        }
    }

    /// Begins a try: it gets a connection next. One that has no request or no time any more is never sent, and the module
    /// is told so.
    pub fn start(
        &mut self,
        now: Nanos,
        (request, attempt): (RequestId, AttemptNumber),
        server: EndpointId,
        (timeout, begin_within): (Option<Nanos>, Option<Nanos>),
        counters: &mut Counters,
    ) -> Result<OutboundCommand, Box<Event>> {
        // The attempt is the module's own number: with a wrong one it would wait for its end for good.
        let moot = |finished| {
            Box::new(ended(
                request,
                attempt,
                server,
                0,
                AttemptOutcome::NotSent,
                finished,
            ))
        };
        let Some(context) = self.contexts.get_mut(&request) else {
            return Err(moot(true));
        };
        // A peer is told whole milliseconds, and one that answers within microseconds may well need one once.
        let time = timeout.map_or(Nanos::MAX, |t| t.max(MS));
        let until = now.saturating_add(time).min(context.deadline);
        if context.ticket.is_none() || until < now + MS {
            counters.try_moot += 1;
            return Err(moot(context.ticket.is_none()));
        }
        counters.tries += 1;
        counters.copies += u64::from(!context.attempts.is_empty());
        let begin_by = begin_within.map_or(Nanos::MAX, |within| now.saturating_add(within));
        let lost = self.lost;
        context.attempts.insert(
            attempt,
            AttemptRecord {
                endpoint: server,
                sent_at: now,
                stalled_before: lost,
                deadline: until,
                write_deadline: begin_by,
            },
        );
        Ok(OutboundCommand {
            job: UpstreamJob::Attempt(request, attempt),
            server,
            until,
        })
    }

    /// What is written for a try whose connection is up. A connection may come up long after the module decided, so all that
    /// can have changed is asked again now: whether an answer is still owed, and whether there is time. A try that
    /// comes too late for that is never sent, and the module is told so.
    pub fn first_byte(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
        counters: &mut Counters,
    ) -> Result<Vec<u8>, Option<Box<Event>>> {
        let wanted = self.contexts.get(&request).and_then(|context| {
            let one = context.attempts.get(&attempt)?;
            // A peer is told whole milliseconds.
            let in_time = one.deadline >= now + MS && now < one.write_deadline;
            (context.ticket.is_some() && in_time)
                .then(|| context.command.encode((one.deadline - now) / MS))
        });
        wanted.ok_or_else(|| {
            self.count_unsent(now, request, counters);
            self.give_up(now, request, attempt, AttemptOutcome::NotSent, counters)
                .map(Box::new)
        })
    }

    /// A try of this request ends unsent: counts it if its client had left.
    pub fn count_unsent(&self, now: Nanos, request: RequestId, counters: &mut Counters) {
        if let Some(left) = self
            .contexts
            .get(&request)
            .and_then(|context| context.client_left_at)
        {
            counters.left_unsent += 1;
            counters.left_unsent_ms = counters
                .left_unsent_ms
                .max(now.saturating_sub(left).div_ceil(MS));
        }
    }

    /// A try is over without an answer: by its time-out, by the module's will or for want of a connection.
    pub fn give_up(
        &mut self,
        now: Nanos,
        request: RequestId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        counters: &mut Counters,
    ) -> Option<Event> {
        let context = self.contexts.get_mut(&request)?;
        let AttemptRecord {
            endpoint: server,
            sent_at: sent,
            stalled_before: lost,
            ..
        } = context.attempts.remove(&attempt)?;
        let finished = context.ticket.is_none();
        self.clear(request);
        let latency = now.saturating_sub(sent).saturating_sub(self.lost - lost);
        let ms = latency / MS;
        log::trace!(
            "request {} try {} at {}: {outcome:?} after {ms} ms",
            request.0,
            attempt.0,
            server.0
        );
        count(outcome, counters);
        Some(ended(request, attempt, server, latency, outcome, finished))
    }

    /// Begins a probe.
    pub fn probe(&mut self, server: EndpointId, counters: &mut Counters) -> UpstreamJob {
        self.next_probe += 1;
        self.probes.insert(self.next_probe, server);
        counters.probes += 1;
        UpstreamJob::Probe(self.next_probe)
    }

    /// A probe has had its time.
    pub fn probe_due(&mut self, probe: u64) -> Option<Event> {
        let server = self.probes.remove(&probe)?;
        Some(Event::HealthCheckEnded {
            endpoint: server,
            outcome: AttemptOutcome::Timeout,
            load_report: None,
        })
    }

    /// What a peer did with a job, as the module is told it, and the final answer that comes with it.
    pub fn finished(
        &mut self,
        now: Nanos,
        job: UpstreamJob,
        end: ExchangeResult,
        counters: &mut Counters,
    ) -> (Option<Event>, Option<Answer>) {
        let (request, attempt) = match job {
            UpstreamJob::Attempt(request, attempt) => (request, attempt),
            UpstreamJob::Probe(probe) => {
                let told = self.probes.remove(&probe).map(|server| probed(server, end));
                return (told, None);
            }
        };
        let (outcome, served) = match end {
            ExchangeResult::Answer(answer) => read_outcome(answer),
            ExchangeResult::Spoilt | ExchangeResult::Reply(_) => (AttemptOutcome::Unreadable, None),
            ExchangeResult::NeverSent => (AttemptOutcome::ConnectFailed, None),
            ExchangeResult::Broken => (AttemptOutcome::Reset, None),
            ExchangeResult::NoPlace => (AttemptOutcome::NotSent, None),
        };
        let Some(Served { value, note, load }) = served else {
            return (self.give_up(now, request, attempt, outcome, counters), None);
        };
        // The first answer is the request's; of a copy that was served too only the outcome is told.
        let ticket = self
            .contexts
            .get_mut(&request)
            .and_then(|c| c.ticket.take());
        let event =
            self.give_up(now, request, attempt, outcome, counters)
                .map(|event| match event {
                    Event::AttemptEnded(end) => Event::AttemptEnded(AttemptResult {
                        cache_status: note,
                        load_report: load,
                        ..end
                    }),
                    other => other,
                });
        (
            event,
            ticket.map(|ticket| (ticket, FinalAnswer::Served(value))),
        )
    }
}

fn count(outcome: AttemptOutcome, counters: &mut Counters) {
    *match outcome {
        AttemptOutcome::Ok => &mut counters.try_ok,
        AttemptOutcome::Error | AttemptOutcome::CacheMiss => &mut counters.try_error,
        AttemptOutcome::Unreadable => &mut counters.try_spoilt,
        AttemptOutcome::InvalidRequest => &mut counters.try_unfit,
        AttemptOutcome::Rejected => &mut counters.try_full,
        AttemptOutcome::Timeout => &mut counters.try_timeout,
        AttemptOutcome::ConnectFailed => &mut counters.try_connect_failed,
        AttemptOutcome::Reset => &mut counters.try_reset,
        AttemptOutcome::Cancelled => &mut counters.try_cancelled,
        AttemptOutcome::NotSent => &mut counters.try_moot,
    } += 1;
}

fn ended(
    request: RequestId,
    attempt: AttemptNumber,
    server: EndpointId,
    latency: Nanos,
    outcome: AttemptOutcome,
    finished: bool,
) -> Event {
    Event::AttemptEnded(AttemptResult {
        request,
        attempt,
        endpoint: server,
        outcome,
        latency,
        request_finished: finished,
        cache_status: None,
        load_report: None,
    })
}

/// What a peer made for a request.
struct Served {
    value: Vec<u8>,
    note: Option<CacheStatus>,
    load: Option<LoadReport>,
}

/// The protocol's table of what comes back.
fn read_outcome(answer: PeerAnswer) -> (AttemptOutcome, Option<Served>) {
    let (value, note, load) = match answer {
        PeerAnswer::Served { value, note, load } => (value, note, load),
        PeerAnswer::Error(text) => {
            let word = text.split(' ').next().unwrap_or_default();
            let outcome = match (word, text.as_str()) {
                ("BUSY", _) => AttemptOutcome::Rejected,
                (_, "ERR failed") => AttemptOutcome::Error,
                // Another complaint is of the command; no peer takes it, and this one is as well as before.
                _ => AttemptOutcome::InvalidRequest,
            };
            if outcome == AttemptOutcome::InvalidRequest {
                log::debug!("a peer answers: {text}");
            }
            return (outcome, None);
        }
    };
    let note = match note.as_deref() {
        Some(b"hit") => Some(CacheStatus::Hit),
        Some(b"miss") => Some(CacheStatus::Miss),
        Some(b"pending") => Some(CacheStatus::MissPending),
        _ => None,
    };
    let load = load.map(|text| read_load(&String::from_utf8_lossy(&text)));
    (AttemptOutcome::Ok, Some(Served { value, note, load }))
}

/// A load report: names and values, parted by commas.
fn read_load(text: &str) -> LoadReport {
    let pairs = text
        .split([',', ' '])
        .filter_map(|pair| pair.split_once('='));
    routing_config::parse_load_report(
        pairs.filter_map(|(name, value)| Some((name, value.parse().ok()?))),
    )
}

fn probed(server: EndpointId, end: ExchangeResult) -> Event {
    let (outcome, load) = match end {
        ExchangeResult::Reply(Reply::Status(_)) => (AttemptOutcome::Ok, None),
        ExchangeResult::Reply(Reply::Bulk(Some(report))) => (
            AttemptOutcome::Ok,
            Some(read_load(&String::from_utf8_lossy(&report))),
        ),
        ExchangeResult::Reply(_) => (AttemptOutcome::Error, None),
        ExchangeResult::NeverSent => (AttemptOutcome::ConnectFailed, None),
        ExchangeResult::Broken => (AttemptOutcome::Reset, None),
        ExchangeResult::Spoilt | ExchangeResult::Answer(_) => (AttemptOutcome::Unreadable, None),
        ExchangeResult::NoPlace => (AttemptOutcome::NotSent, None),
    };
    Event::HealthCheckEnded {
        endpoint: server,
        outcome,
        load_report: load,
    }
}

#[cfg(test)]
mod tests;
