//! Rules on responses that have begun: no response that its cache still writes is cut off, the first
//! bytes of a long value arrive in time, and nothing is sent to a former process of a cache.

use super::{RuleViolation, is_excused, notified_at, process_of, stalled_time};
use crate::soak::records::{
    AttemptRecord, CacheState, MS, Nanos, Records, RequestEnd, RequestRecord, TimeSpan,
};

/// Time by which the records of a cache and of a client may differ for the same event.
const RECORD_SLACK: Nanos = 60 * MS;
/// Maximum time by which the first bytes of a long value may exceed the deadline of the request.
const FIRST_BYTES_SLACK: Nanos = 50 * MS;
/// Maximum time from the first byte of a long value until the rest of its header.
const REST_HELD_BACK_MAX: Nanos = 2_000 * MS;
/// Minimum time between the head of a long value and the deadline for the value to count as begun in
/// time.
const HEAD_MARGIN: Nanos = 60 * MS;
/// Maximum time for which a client may have been waiting to be accepted, as far as a balancer knows.
const BACKLOG_WAIT_MAX: Nanos = 250 * MS;
/// Maximum time from the notification of a change until the last attempt to a former process.
const FORMER_PROCESS_SLACK: Nanos = 150 * MS;

/// Returns the time at which a request was answered, from the first byte of a streamed value.
fn answered_at(request: &RequestRecord) -> Nanos {
    request.streamed_since.unwrap_or(request.ended)
}

/// Returns the earliest deadline that the balancer may count with: a request behind others arrives
/// when it is sent, and the first one on a connection may have arrived with the connection.
fn own_deadline(records: &Records, request: &RequestRecord) -> Nanos {
    let covers = |span: &TimeSpan, at: Nanos| span.from <= at && at < span.to + RECORD_SLACK;
    let arrived = request.connected.unwrap_or(request.sent);
    // While clients wait to be accepted, a balancer does not know since when each of them has.
    let mut loads = records.loads.get(request.balancer).into_iter().flatten();
    let load = loads.find(|load| request.connected.is_some() && covers(&load.span, arrived));
    let waiting = load.map_or(0, |load| (arrived - load.span.from).min(BACKLOG_WAIT_MAX));
    // What arrives during a stall may have arrived at its start.
    let mut stalls = records.stalls.get(request.balancer).into_iter().flatten();
    let stall = stalls.find(|stall| covers(stall, arrived));
    let stalled = stall.map_or(0, |stall| arrived - stall.from);
    arrived + request.timeout.saturating_sub(waiting.max(stalled))
}

/// Checks the responses to one request.
pub(super) fn check_responses(
    records: &Records,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<RuleViolation> {
    let process = process_of(records, request)?;
    let ends_with_process = |at: Nanos| {
        let killed = process
            .killed
            .is_some_and(|killed| killed <= at + RECORD_SLACK);
        killed || is_excused(request, process, at)
    };
    if ends_with_process(request.ended.max(own_deadline(records, request))) {
        return None;
    }
    let cut_off = attempts
        .iter()
        .find(|attempt| is_cut_off(records, request, attempt, attempts));
    let problem = if cut_off.is_some() {
        Some("a response was cut off that its cache was still writing".to_string())
    } else {
        check_long_value(records, request, attempts)
    };
    let RequestRecord {
        id, balancer, kind, ..
    } = request;
    problem.map(|problem| RuleViolation {
        rule: "cutoff",
        at: request.ended,
        detail: format!(
            "{problem}: request {id} ({kind:?}) at n{balancer}, sent at {:.3} s, {:?}",
            request.sent as f64 / 1e9,
            request.end
        ),
    })
}

/// Returns whether the balancer closed the connection of an attempt whose response had begun, before
/// the deadline, while the client was waiting, and without another answer for it.
fn is_cut_off(
    records: &Records,
    request: &RequestRecord,
    attempt: &AttemptRecord,
    attempts: &[&AttemptRecord],
) -> bool {
    let Some(at) = attempt.response.cut_off else {
        return false;
    };
    let stalled = stalled_time(records, request.balancer, request.sent, at);
    let is_before_deadline = at + RECORD_SLACK < own_deadline(records, request);
    // The other answer may wait for earlier responses of its connection.
    let has_answer = |other: &&&AttemptRecord| {
        let response = &other.response;
        let answered = if response.is_long {
            response.begun
        } else {
            other.finished
        };
        response.cut_off.is_none()
            && response.begun.is_some()
            && answered.is_some_and(|answered| answered <= at + RECORD_SLACK + stalled)
    };
    let is_forwarded = request
        .streamed_since
        .is_some_and(|since| since <= at + RECORD_SLACK);
    let is_replaced = is_forwarded
        || request.end == RequestEnd::Served && attempts.iter().any(|other| has_answer(&other));
    let has_left = request
        .closed
        .is_some_and(|closed| closed <= at + RECORD_SLACK);
    // A cache that reads slowly detects late that its connection was closed, maybe before it answered.
    let is_known = !attempt.response.is_spoilt && !attempt.is_read_slowly;
    is_known && is_before_deadline && !is_replaced && !has_left
}

/// Checks that a long value that has begun in time reaches the client: its first bytes in time, and
/// the rest at any time.
fn check_long_value(
    records: &Records,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<String> {
    let deadline = own_deadline(records, request);
    let has_begun_in_time = |attempt: &&&AttemptRecord| {
        let response = &attempt.response;
        let is_known = !response.is_spoilt && !attempt.is_read_slowly;
        let begun = response.begun.filter(|_| response.is_long && is_known);
        let is_in_time = |begun| begun + HEAD_MARGIN <= deadline && begun < answered_at(request);
        begun.is_some_and(is_in_time)
    };
    attempts.iter().find(has_begun_in_time)?;
    let is_any_spoilt = attempts.iter().any(|attempt| attempt.response.is_spoilt);
    match request.end {
        RequestEnd::Left | RequestEnd::BehindTruncated => None,
        RequestEnd::Truncated | RequestEnd::Never if is_any_spoilt => None,
        RequestEnd::Served | RequestEnd::Truncated | RequestEnd::Never
            if request.streamed_since.is_some() =>
        {
            let limit = request.deadline() + FIRST_BYTES_SLACK;
            let answered = answered_at(request);
            let stalled = stalled_time(records, request.balancer, request.sent, answered);
            if answered > limit + stalled {
                let late = (answered - request.deadline()) / MS;
                return Some(format!(
                    "the first bytes of a long value came {late} ms late"
                ));
            }
            let held_back = request.header_since.unwrap_or(answered) - answered;
            if held_back > REST_HELD_BACK_MAX {
                let held_back = held_back / MS;
                return Some(format!("a long value was held back for {held_back} ms"));
            }
            (request.end != RequestEnd::Served).then(|| "a long value is incomplete".to_string())
        }
        _ => Some("a long value had begun, and the client did not get it".to_string()),
    }
}

/// Checks that an attempt was not sent on a connection to a former process of a cache after the
/// balancer was notified of its successor.
pub(super) fn check_process(
    records: &Records,
    request: &RequestRecord,
    attempt: &AttemptRecord,
) -> Option<RuleViolation> {
    if !attempt.to_former_process {
        return None;
    }
    let is_restart = |state| matches!(state, CacheState::Up { born_ms: 1.. });
    let change = records.changes.iter().rev().find(|change| {
        // The connections fall silent right before discovery records the change.
        change.at <= attempt.began + RECORD_SLACK
            && is_restart(change.state)
            && change.caches.contains(&attempt.listener)
    })?;
    let notified = notified_at(records, request.balancer, change.version, change.at);
    let stalled = stalled_time(records, request.balancer, change.at, attempt.began);
    let limit = notified.saturating_add(FORMER_PROCESS_SLACK + stalled);
    (attempt.began > limit).then(|| RuleViolation {
        rule: "former",
        at: attempt.began,
        detail: format!(
            "n{} sent an attempt of request {} to a former process of cache {} {} ms after it was \
             notified of the new one",
            request.balancer,
            request.id,
            attempt.listener,
            (attempt.began - notified) / MS
        ),
    })
}
