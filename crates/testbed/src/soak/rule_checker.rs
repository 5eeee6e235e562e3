//! Checks the records of a soak against the rules.
//!
//! Time limits of a balancer are extended by the time for which the trial stalled it. If a record
//! allows an earlier and a later time of an event, the time that favors the balancer is used.

mod responses;

use super::plan::CheckedRules;
use super::records::{
    AttemptEnd, AttemptRecord, CacheState, LoadRecord, MS, Nanos, ProcessRecord, Records,
    RequestEnd, RequestKind, RequestRecord,
};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Maximum time by which an answer may exceed the deadline of its request; a later answer violates
/// the rule `lost`.
const ANSWER_SLACK: Nanos = 550 * MS;
/// Maximum time by which an attempt may begin after its client has disconnected.
const DISCONNECT_SLACK: Nanos = 100 * MS;
/// Maximum time by which the time sent with an attempt may exceed the remaining time of its
/// request, and by which a repeated keyed attempt may overlap the previous attempt.
const TIMEOUT_SLACK: Nanos = 150 * MS;
/// Tolerance of the deduplication window: the balancer may be delayed by this time between reading
/// its clock and writing an attempt.
const WINDOW_SLACK: Nanos = 150 * MS;
/// Tolerance of the drain grace, for the same reason.
const DRAIN_SLACK: Nanos = 50 * MS;
/// Time after a change, while discovery is reachable, after which a balancer counts as notified
/// even if discovery recorded no message.
const MAX_NOTIFICATION_DELAY: Nanos = 6_000 * MS;
/// Time after a shutdown request within which a request must have been sent for a kill to excuse
/// its missing answer. Later requests must be answered even if the process is killed.
const KILL_EXCUSE_DURATION: Nanos = 700 * MS;
/// Time from the start of clients that read nothing until they occupy connections to caches.
const STARVATION_BEGINS: Nanos = 1_000 * MS;
/// Minimum number of requests for a ratio of rejections.
const STARVATION_REQUESTS_MIN: usize = 10;
/// Ratio of the requests at an overloaded cold cache that must come from notified balancers for the
/// overload to be a violation.
const MIN_NOTIFIED_RATIO: f64 = 2.0 / 3.0;

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleViolation {
    /// Name of the rule: `lost`, `cutoff`, `duplicate`, `drain`, `former`, `failback`, `crash`,
    /// `memory`, `starved` or `ready`.
    pub rule: &'static str,
    /// Time of the violation.
    pub at: Nanos,
    /// Description with the request, balancer or cache concerned.
    #[serde(rename = "what")]
    pub detail: String,
}

/// Checks all rules and returns the violations in order of time.
#[must_use]
pub fn check(records: &Records, rules: &CheckedRules) -> Vec<RuleViolation> {
    let mut attempts_by_id: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &records.attempts {
        attempts_by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut violations = Vec::new();
    let repeats = repeats_by_id(records);
    for request in &records.requests {
        let of_id = attempts_by_id
            .get(request.id.as_str())
            .map(Vec::as_slice)
            .unwrap_or_default();
        let attempts = attempts_of(request, repeats.get(request.id.as_str()).copied(), of_id);
        violations.extend(check_answer(records, request, &attempts));
        violations.extend(responses::check_responses(records, request, &attempts));
        for attempt in &attempts {
            violations.extend(check_attempt(request, attempt));
            violations.extend(responses::check_process(records, request, attempt));
        }
        violations.extend(check_duplicates(rules, request, of_id));
    }
    let requests: HashMap<&str, &RequestRecord> = records
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    violations.extend(check_drains(records, rules, &requests));
    violations.extend(check_slow_start(records, rules, &requests));
    violations.extend(check_processes(records, rules));
    if rules.is_crowd {
        violations.extend(check_starvation(records));
    }
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// Returns the time at which each id was sent once more, if it was.
fn repeats_by_id(records: &Records) -> HashMap<&str, Nanos> {
    let mut seen = HashSet::new();
    let requests = records.requests.iter();
    let repeats = requests.filter(|request| !seen.insert(request.id.as_str()));
    repeats
        .map(|request| (request.id.as_str(), began_at(request)))
        .collect()
}

/// Returns the earliest time at which a client may have sent a request.
fn began_at(request: &RequestRecord) -> Nanos {
    request.connected.unwrap_or(request.sent)
}

/// Returns the attempts that belong to a request and not to another one with the same id, which was
/// sent once more at `repeated_at`.
fn attempts_of<'a>(
    request: &RequestRecord,
    repeated_at: Option<Nanos>,
    of_id: &[&'a AttemptRecord],
) -> Vec<&'a AttemptRecord> {
    let is_of_repeat =
        |attempt: &AttemptRecord| repeated_at.is_some_and(|at| attempt.received >= at);
    let is_repeat = repeated_at == Some(began_at(request));
    of_id
        .iter()
        .copied()
        .filter(|attempt| is_of_repeat(attempt) == is_repeat)
        .collect()
}

/// Returns the process to which a request was sent.
fn process_of<'a>(records: &'a Records, request: &RequestRecord) -> Option<&'a ProcessRecord> {
    records
        .processes
        .get(request.balancer)?
        .get(request.generation)
}

/// Returns the total time for which a balancer was stalled between `from` and `to`.
fn stalled_time(records: &Records, balancer: usize, from: Nanos, to: Nanos) -> Nanos {
    records.stalls.get(balancer).map_or(0, |stalls| {
        stalls.iter().map(|stall| stall.overlap(from, to)).sum()
    })
}

/// Returns whether the trial killed the process before the answer limit and the missing answer is
/// therefore no violation.
fn is_excused(request: &RequestRecord, process: &ProcessRecord, limit: Nanos) -> bool {
    let Some(killed) = process.killed.filter(|killed| *killed <= limit) else {
        return false;
    };
    match process.shutdown_requested {
        Some(at) => request.sent <= at + KILL_EXCUSE_DURATION && killed >= request.sent,
        None => true,
    }
}

/// Returns the time by which a request must be answered.
fn answer_limit(records: &Records, request: &RequestRecord) -> Nanos {
    let limit_without_stalls = request.deadline() + ANSWER_SLACK;
    let mut limit = limit_without_stalls;
    // A stall extends the limit, and the balancer may be stalled again within the extension.
    loop {
        let extended =
            limit_without_stalls + stalled_time(records, request.balancer, request.sent, limit);
        if extended == limit {
            return limit;
        }
        limit = extended;
    }
}

/// Checks that a request got its own answer in time, unless the process was killed.
fn check_answer(
    records: &Records,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<RuleViolation> {
    let limit = answer_limit(records, request);
    let excused =
        process_of(records, request).is_some_and(|process| is_excused(request, process, limit));
    let violation = |at, problem: &str| {
        let RequestRecord {
            id, balancer, sent, ..
        } = request;
        let detail = format!(
            "{problem}: request {id} ({:?}) at n{balancer}, sent at {:.3} s",
            request.kind,
            *sent as f64 / 1e9
        );
        Some(RuleViolation {
            rule: "lost",
            at,
            detail,
        })
    };
    match request.end {
        RequestEnd::Wrong => violation(request.ended, "the answer belongs to another request"),
        RequestEnd::Never if !excused && request.streamed_since.is_none() => {
            violation(limit, "the request was not answered")
        }
        // A balancer may shut down the connection for writing between two requests; a request that
        // arrives then is not read.
        RequestEnd::Closed if !excused && (request.first_on_connection || !attempts.is_empty()) => {
            violation(
                request.ended,
                "the request was read, but the connection was closed without an answer",
            )
        }
        RequestEnd::Reset if !excused && !attempts.is_empty() => violation(
            request.ended,
            "the request was forwarded, but the connection was reset without an answer",
        ),
        // Of a streamed value the first bytes are timed.
        RequestEnd::Served if request.streamed_since.is_some() => None,
        // A value that has begun in time and can't be finished has failed and is not lost.
        RequestEnd::Failed if request.streamed_since.is_some_and(|since| since <= limit) => None,
        RequestEnd::Served | RequestEnd::Refused | RequestEnd::Failed if request.ended > limit => {
            let ms = (request.ended - request.deadline()) / MS;
            violation(
                request.ended,
                &format!("the answer came {ms} ms after the deadline"),
            )
        }
        _ => None,
    }
}

/// Checks that an attempt did not begin after its client disconnected and was not sent with more
/// than the remaining time of its request.
fn check_attempt(request: &RequestRecord, attempt: &AttemptRecord) -> Option<RuleViolation> {
    let id = &request.id;
    if let Some(closed) = request
        .closed
        .filter(|closed| attempt.began > closed + DISCONNECT_SLACK)
    {
        let ms = (attempt.began - closed) / MS;
        let detail = format!(
            "an attempt of request {id} at n{} began {ms} ms after the client disconnected",
            request.balancer
        );
        return Some(RuleViolation {
            rule: "lost",
            at: attempt.began,
            detail,
        });
    }
    let remaining = request.deadline().saturating_sub(attempt.began);
    let sent_time = attempt.deadline_ms.saturating_mul(MS);
    if sent_time <= remaining + TIMEOUT_SLACK {
        return None;
    }
    let detail = format!(
        "an attempt of request {id} at n{} was sent with {} ms, but {} ms remained",
        request.balancer,
        attempt.deadline_ms,
        remaining / MS
    );
    Some(RuleViolation {
        rule: "lost",
        at: attempt.began,
        detail,
    })
}

/// Checks that a request that must not run twice has at most one attempt that may have run, and
/// that a keyed request is repeated only within the deduplication window, one attempt at a time
/// unless the response to the previous one has begun.
fn check_duplicates(
    rules: &CheckedRules,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<RuleViolation> {
    if request.kind == RequestKind::Safe {
        return None;
    }
    let mut executed: Vec<&&AttemptRecord> = attempts
        .iter()
        .filter(|a| a.end != AttemptEnd::TurnedAway)
        .collect();
    executed.sort_by_key(|attempt| attempt.began);
    let violation = |at, detail: String| {
        Some(RuleViolation {
            rule: "duplicate",
            at,
            detail,
        })
    };
    let (first, repeats) = executed.split_first()?;
    let mut previous = first;
    for attempt in repeats {
        if request.kind == RequestKind::Unsafe {
            return violation(
                attempt.began,
                format!("request {} may have run twice", request.id),
            );
        }
        if attempt.began > first.received + rules.deduplication_window + WINDOW_SLACK {
            let ms = (attempt.began - first.received) / MS;
            return violation(
                attempt.began,
                format!(
                    "request {} was repeated {ms} ms after it may have run",
                    request.id
                ),
            );
        }
        // A second attempt is allowed beside one whose response has begun.
        let is_beside_begun = rules.second_copies
            && previous
                .response
                .begun
                .is_some_and(|begun| begun < attempt.received);
        if !is_beside_begun
            && !previous.is_read_slowly
            && previous
                .finished
                .is_none_or(|finished| finished > attempt.received + TIMEOUT_SLACK)
        {
            return violation(
                attempt.began,
                format!(
                    "request {} was repeated before its previous attempt had finished",
                    request.id
                ),
            );
        }
        previous = attempt;
    }
    None
}

/// Returns the time from which a balancer counts as notified of a change: that of the first message
/// with the change, or [`MAX_NOTIFICATION_DELAY`] after the change while discovery is reachable,
/// whichever is earlier.
fn notified_at(records: &Records, balancer: usize, version: u64, changed: Nanos) -> Nanos {
    let notifications = records
        .notifications
        .iter()
        .filter(|n| n.balancer == balancer && n.version >= version);
    let first_notification = notifications.map(|n| n.at).min().unwrap_or(Nanos::MAX);
    let reachable_from = |at: Nanos| {
        let outage = records
            .discovery_outages
            .iter()
            .find(|span| span.from <= at && at < span.to);
        outage.map_or(at, |span| span.to)
    };
    // The delay starts again at the end of each outage.
    let mut reachable = reachable_from(changed);
    for span in &records.discovery_outages {
        if span.from > reachable && span.from < reachable.saturating_add(MAX_NOTIFICATION_DELAY) {
            reachable = span.to;
        }
    }
    first_notification.min(reachable.saturating_add(MAX_NOTIFICATION_DELAY))
}

/// Returns the balancer that sent an attempt.
fn sending_balancer(
    requests: &HashMap<&str, &RequestRecord>,
    attempt: &AttemptRecord,
) -> Option<usize> {
    requests
        .get(attempt.id.as_str())
        .map(|request| request.balancer)
}

/// Checks that draining and removed caches receive no attempts after the drain grace.
fn check_drains(
    records: &Records,
    rules: &CheckedRules,
    requests: &HashMap<&str, &RequestRecord>,
) -> Vec<RuleViolation> {
    let mut violations = Vec::new();
    for change in records
        .changes
        .iter()
        .filter(|c| !matches!(c.state, CacheState::Up { .. }))
    {
        for cache in change
            .caches
            .iter()
            .filter(|cache| **cache < rules.own_listeners)
        {
            // The rule applies until the cache is active again.
            let reactivation = records.changes.iter().find(|later| {
                later.version > change.version
                    && later.caches.contains(cache)
                    && matches!(later.state, CacheState::Up { .. })
            });
            let until = reactivation.map_or(Nanos::MAX, |later| later.at);
            let cache_attempts = records
                .attempts
                .iter()
                .filter(|a| a.listener == *cache && a.began < until);
            for attempt in cache_attempts.filter(|attempt| attempt.began > change.at) {
                let Some(balancer) = sending_balancer(requests, attempt) else {
                    continue;
                };
                let notified = notified_at(records, balancer, change.version, change.at);
                let limit = notified.saturating_add(rules.drain_grace + DRAIN_SLACK);
                if attempt.began > limit {
                    let ms = (attempt.began - notified) / MS;
                    let detail = format!(
                        "n{balancer} sent an attempt of request {} to cache {cache} {ms} ms after \
                         it was notified that the cache is {:?}",
                        attempt.id, change.state
                    );
                    violations.push(RuleViolation {
                        rule: "drain",
                        at: attempt.began,
                        detail,
                    });
                }
            }
        }
    }
    violations
}

/// Checks that all balancers together send a cold cache at most as many requests as the settings
/// permit at its age.
fn check_slow_start(
    records: &Records,
    rules: &CheckedRules,
    requests: &HashMap<&str, &RequestRecord>,
) -> Vec<RuleViolation> {
    let mut violations = Vec::new();
    for change in &records.changes {
        let CacheState::Up { born_ms: 1.. } = change.state else {
            continue;
        };
        for cache in change
            .caches
            .iter()
            .filter(|cache| **cache < rules.own_listeners)
        {
            let cold = change.at..change.at + rules.slow_start_duration;
            let in_slow_start = records
                .attempts
                .iter()
                .filter(|a| a.listener == *cache && cold.contains(&a.began));
            let mut received: Vec<&AttemptRecord> = in_slow_start.collect();
            received.sort_by_key(|attempt| attempt.began);
            let overload = (0..received.len()).find_map(|last| {
                let now = received[last].began;
                let window = received[..=last]
                    .iter()
                    .filter(|a| a.began + rules.overload_window > now);
                let window: Vec<&AttemptRecord> = window.copied().collect();
                let age = (now - change.at) as f64 / rules.slow_start_duration as f64;
                (window.len() as f64 > rules.max_requests(age)).then_some((now, window))
            });
            let Some((at, window)) = overload else {
                continue;
            };
            let by_notified = |attempt: &&&AttemptRecord| {
                let balancer = sending_balancer(requests, attempt);
                balancer.is_some_and(|b| {
                    notified_at(records, b, change.version, change.at) <= attempt.began
                })
            };
            let notified = window.iter().filter(by_notified).count();
            if notified as f64 > MIN_NOTIFIED_RATIO * window.len() as f64 {
                let detail = format!(
                    "cold cache {cache} received {} requests in an overload window, {notified} of \
                     them from notified balancers",
                    window.len()
                );
                violations.push(RuleViolation {
                    rule: "failback",
                    at,
                    detail,
                });
            }
        }
    }
    violations
}

/// Checks that processes do not exit by themselves, become ready in time and stay within their
/// memory limit.
fn check_processes(records: &Records, rules: &CheckedRules) -> Vec<RuleViolation> {
    let mut violations = Vec::new();
    for (balancer, processes) in records.processes.iter().enumerate() {
        for process in processes {
            if let Some((at, false)) = process.ended {
                violations.push(RuleViolation {
                    rule: "crash",
                    at,
                    detail: format!(
                        "n{balancer} exited without a shutdown request or with an error"
                    ),
                });
            }
            if process.peak_kib > rules.memory_mb << 10 {
                violations.push(RuleViolation {
                    rule: "memory",
                    at: process.started,
                    detail: format!(
                        "n{balancer} took {} KiB of memory, over its limit of {} MB",
                        process.peak_kib, rules.memory_mb
                    ),
                });
            }
            let end = process
                .killed
                .or(process.ended.map(|(at, _)| at))
                .or(process.shutdown_requested)
                .unwrap_or(rules.duration);
            let ready = process.ready.unwrap_or(end);
            let limit = process.started + rules.ready_timeout;
            if ready > limit + stalled_time(records, balancer, process.started, ready) {
                let ms = (ready - process.started) / MS;
                violations.push(RuleViolation {
                    rule: "ready",
                    at: ready,
                    detail: format!("n{balancer} was not ready within {ms} ms"),
                });
            }
        }
    }
    violations
}

/// Checks that clients that read nothing do not have most requests of the others rejected.
fn check_starvation(records: &Records) -> Vec<RuleViolation> {
    let loads = records.loads.iter().enumerate();
    let loads = loads.flat_map(|(balancer, loads)| loads.iter().map(move |load| (balancer, load)));
    let is_starved = |(balancer, load): &(usize, &LoadRecord)| {
        let affected = load.span.from + STARVATION_BEGINS..load.span.to;
        let requests = records.requests.iter().filter(|request| {
            request.balancer == *balancer
                && affected.contains(&request.sent)
                && !request.first_on_connection
        });
        let (rejected, others): (Vec<_>, Vec<_>) =
            requests.partition(|request| request.end == RequestEnd::Refused);
        rejected.len() + others.len() >= STARVATION_REQUESTS_MIN && rejected.len() > others.len()
    };
    let starved = loads
        .filter(|(_, load)| load.occupies_caches)
        .filter(is_starved);
    starved
        .map(|(balancer, load)| RuleViolation {
            rule: "starved",
            at: load.span.to,
            detail: format!("n{balancer} rejected most requests while clients read nothing"),
        })
        .collect()
}

/// Returns the number of requests by [`RequestEnd`].
#[must_use]
pub fn count_by_end(requests: &[RequestRecord]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in requests {
        *counts.entry(format!("{:?}", request.end)).or_insert(0) += 1;
    }
    counts
}

#[cfg(test)]
mod tests;
