//! Checks what a soak recorded against the rules.
//!
//! A balancer that the trial stalled is given as much longer to answer, and no more. Where
//! a record has an earliest and a latest time, the one counts that speaks for the balancer.

use super::plan::CheckedRules;
use super::records::{
    AttemptEnd, AttemptRecord, CacheState, MS, Nanos, ProcessRecord, Records, RequestEnd,
    RequestKind, RequestRecord,
};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// An answer is lost when it comes so long after its time.
const ANSWER_SLACK: Nanos = 550 * MS;
/// An attempt may begin so long after its client has closed.
const CLOSED_SLACK: Nanos = 100 * MS;
/// An attempt may be given so much more time than is left.
const TIMEOUT_SLACK: Nanos = 150 * MS;
/// Windows and the grace of drains allow for a stall of that length between the clock and the
/// write.
const WINDOW_SLACK: Nanos = 150 * MS;
const DRAIN_SLACK: Nanos = 50 * MS;
/// A change counts as notified after this, if it can be reached.
const NOTIFIED_AT_LATEST: Nanos = 6_000 * MS;
/// Requests that come later than this behind the request to end are owed an answer whatever ends
/// the process.
const ACCEPT_AFTER_END: Nanos = 700 * MS;
/// Of a cold cache's requests so many came from notified balancers, if its overload breaks
/// the rule.
const INFORMED_PART: f64 = 2.0 / 3.0;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RuleViolation {
    /// Which rule.
    pub rule: &'static str,
    /// When.
    pub at: Nanos,
    /// What happened.
    pub what: String,
}

/// Checks all rules; the violations in order of time.
#[must_use]
pub fn check(records: &Records, rules: &CheckedRules) -> Vec<RuleViolation> {
    let mut by_id: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &records.attempts {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut violations = Vec::new();
    for request in &records.requests {
        let attempts = by_id
            .get(request.id.as_str())
            .map(Vec::as_slice)
            .unwrap_or_default();
        violations.extend(check_answer(records, request, attempts));
        for attempt in attempts {
            violations.extend(check_attempt(request, attempt));
        }
        violations.extend(check_duplicates(rules, request, attempts));
    }
    let requests: HashMap<&str, &RequestRecord> = records
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    violations.extend(check_drains(records, rules, &requests));
    violations.extend(check_slow_start(records, rules, &requests));
    violations.extend(check_processes(records, rules));
    violations.sort_by_key(|violation| violation.at);
    violations
}

fn process_of<'a>(records: &'a Records, request: &RequestRecord) -> Option<&'a ProcessRecord> {
    records
        .processes
        .get(request.balancer)?
        .get(request.generation)
}

/// How long the balancer was stalled in this time.
fn stalled_time(records: &Records, balancer: usize, from: Nanos, to: Nanos) -> Nanos {
    records.stalls.get(balancer).map_or(0, |stalls| {
        stalls.iter().map(|stall| stall.within(from, to)).sum()
    })
}

/// Whether the process was gone before it had to have answered, by no fault of its own.
fn is_excused(request: &RequestRecord, process: &ProcessRecord, limit: Nanos) -> bool {
    let Some(killed) = process.killed.filter(|killed| *killed <= limit) else {
        return false;
    };
    match process.asked_to_end {
        Some(end) => request.sent <= end + ACCEPT_AFTER_END && killed >= request.sent,
        None => true,
    }
}

/// By when a request has to be answered.
fn answer_limit(records: &Records, request: &RequestRecord) -> Nanos {
    let due = request.deadline() + ANSWER_SLACK;
    let mut limit = due;
    // A stall moves the limit, and the balancer may be stalled again until then.
    loop {
        let moved = due + stalled_time(records, request.balancer, request.sent, limit);
        if moved == limit {
            return limit;
        }
        limit = moved;
    }
}

/// Requests that are owed an answer and did not get theirs in time.
fn check_answer(
    records: &Records,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<RuleViolation> {
    let limit = answer_limit(records, request);
    let excused =
        process_of(records, request).is_some_and(|process| is_excused(request, process, limit));
    let violation = |at, what: &str| {
        let RequestRecord {
            id, balancer, sent, ..
        } = request;
        let what = format!(
            "{what}: {id} of {:?} at n{balancer}, sent {:.3}",
            request.kind,
            *sent as f64 / 1e9
        );
        Some(RuleViolation {
            rule: "lost",
            at,
            what,
        })
    };
    match request.end {
        RequestEnd::Wrong => violation(request.ended, "a value that was made for another request"),
        RequestEnd::Never if !excused => violation(limit, "no answer"),
        // Between two requests a balancer may end its sending; a request that crosses that is not
        // read.
        RequestEnd::Closed if !excused && (request.first_on_connection || !attempts.is_empty()) => {
            violation(
                request.ended,
                "read, and its connection closed with no answer",
            )
        }
        RequestEnd::Reset if !excused && !attempts.is_empty() => violation(
            request.ended,
            "forwarded, and its connection reset with no answer",
        ),
        RequestEnd::Served | RequestEnd::Refused | RequestEnd::Failed if request.ended > limit => {
            let ms = (request.ended - request.deadline()) / MS;
            violation(request.ended, &format!("answered {ms} ms after its time"))
        }
        _ => None,
    }
}

/// An attempt that begins after its client has closed, or is given more time than is left.
fn check_attempt(request: &RequestRecord, attempt: &AttemptRecord) -> Option<RuleViolation> {
    let id = &request.id;
    if let Some(closed) = request
        .closed
        .filter(|closed| attempt.began > closed + CLOSED_SLACK)
    {
        let ms = (attempt.began - closed) / MS;
        let what = format!(
            "attempt of {id} at n{} began {ms} ms after its client had closed",
            request.balancer
        );
        return Some(RuleViolation {
            rule: "lost",
            at: attempt.began,
            what,
        });
    }
    let left = request.deadline().saturating_sub(attempt.began);
    let given = attempt.deadline_ms.saturating_mul(MS);
    if given <= left + TIMEOUT_SLACK {
        return None;
    }
    let what = format!(
        "attempt of {id} at n{} is told {} ms, {} are left",
        request.balancer,
        attempt.deadline_ms,
        left / MS
    );
    Some(RuleViolation {
        rule: "lost",
        at: attempt.began,
        what,
    })
}

/// Attempts of a request that must not run twice, or only within the deduplication window.
fn check_duplicates(
    rules: &CheckedRules,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<RuleViolation> {
    if request.kind == RequestKind::Safe {
        return None;
    }
    let mut ran: Vec<&&AttemptRecord> = attempts
        .iter()
        .filter(|a| a.end != AttemptEnd::TurnedAway)
        .collect();
    ran.sort_by_key(|attempt| attempt.began);
    let violation = |at, what: String| {
        Some(RuleViolation {
            rule: "duplicate",
            at,
            what,
        })
    };
    let (first, rest) = ran.split_first()?;
    let mut former = first;
    for attempt in rest {
        if request.kind == RequestKind::Unsafe {
            return violation(attempt.began, format!("{} may have run twice", request.id));
        }
        if attempt.began > first.received + rules.window + WINDOW_SLACK {
            let ms = (attempt.began - first.received) / MS;
            return violation(
                attempt.began,
                format!("{} repeated {ms} ms after it may have run", request.id),
            );
        }
        if former
            .over
            .is_none_or(|over| over > attempt.received + TIMEOUT_SLACK)
        {
            return violation(
                attempt.began,
                format!("{} sent while another was out", request.id),
            );
        }
        former = attempt;
    }
    None
}

/// When a balancer counts as notified of a change.
fn notified_at(records: &Records, balancer: usize, version: u64, changed: Nanos) -> Nanos {
    let written = records
        .notifications
        .iter()
        .filter(|n| n.balancer == balancer && n.version >= version);
    let written = written.map(|n| n.at).min().unwrap_or(Nanos::MAX);
    let had = |at: Nanos| {
        let down = records
            .discovery_outages
            .iter()
            .find(|span| span.from <= at && at < span.to);
        down.map_or(at, |span| span.to)
    };
    // Counted anew from each moment from which discovery could be reached.
    let mut reachable = had(changed);
    for span in &records.discovery_outages {
        if span.from > reachable && span.from < reachable.saturating_add(NOTIFIED_AT_LATEST) {
            reachable = span.to;
        }
    }
    written.min(reachable.saturating_add(NOTIFIED_AT_LATEST))
}

/// The balancer that sent an attempt, by its request's id.
fn sender(requests: &HashMap<&str, &RequestRecord>, attempt: &AttemptRecord) -> Option<usize> {
    requests
        .get(attempt.id.as_str())
        .map(|request| request.balancer)
}

/// Attempts at draining or removed caches after the grace.
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
            // Until it is at work again.
            let back = records.changes.iter().find(|later| {
                later.version > change.version
                    && later.caches.contains(cache)
                    && matches!(later.state, CacheState::Up { .. })
            });
            let until = back.map_or(Nanos::MAX, |back| back.at);
            let at_cache = records
                .attempts
                .iter()
                .filter(|a| a.listener == *cache && a.began < until);
            for attempt in at_cache.filter(|attempt| attempt.began > change.at) {
                let Some(balancer) = sender(requests, attempt) else {
                    continue;
                };
                let notified = notified_at(records, balancer, change.version, change.at);
                let limit = notified.saturating_add(rules.grace + DRAIN_SLACK);
                if attempt.began > limit {
                    let ms = (attempt.began - notified) / MS;
                    let what = format!(
                        "{} sent by n{balancer} to cache {cache} {ms} ms after it was told that it is {:?}",
                        attempt.id, change.state
                    );
                    violations.push(RuleViolation {
                        rule: "drain",
                        at: attempt.began,
                        what,
                    });
                }
            }
        }
    }
    violations
}

/// Cold caches that get more, from all balancers together, than the settings allow them at their
/// age.
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
            let came = records
                .attempts
                .iter()
                .filter(|a| a.listener == *cache && cold.contains(&a.began));
            let mut came: Vec<&AttemptRecord> = came.collect();
            came.sort_by_key(|attempt| attempt.began);
            let fall = (0..came.len()).find_map(|last| {
                let now = came[last].began;
                let window = came[..=last]
                    .iter()
                    .filter(|a| a.began + rules.overload_window > now);
                let window: Vec<&AttemptRecord> = window.copied().collect();
                let age = (now - change.at) as f64 / rules.slow_start_duration as f64;
                (window.len() as f64 > rules.allowed(age)).then_some((now, window))
            });
            let Some((at, window)) = fall else { continue };
            let knew = |attempt: &&&AttemptRecord| {
                let balancer = sender(requests, attempt);
                balancer.is_some_and(|b| {
                    notified_at(records, b, change.version, change.at) <= attempt.began
                })
            };
            let informed = window.iter().filter(knew).count();
            if informed as f64 > INFORMED_PART * window.len() as f64 {
                let what = format!(
                    "cold cache {cache} got {} requests in a window, {informed} of them by who knew",
                    window.len()
                );
                violations.push(RuleViolation {
                    rule: "failback",
                    at,
                    what,
                });
            }
        }
    }
    violations
}

/// Processes that ended by themselves or became ready too late.
fn check_processes(records: &Records, rules: &CheckedRules) -> Vec<RuleViolation> {
    let mut violations = Vec::new();
    for (balancer, processes) in records.processes.iter().enumerate() {
        for process in processes {
            if let Some((at, false)) = process.ended {
                violations.push(RuleViolation {
                    rule: "crash",
                    at,
                    what: format!("n{balancer} ended by itself"),
                });
            }
            let over = process
                .killed
                .or(process.ended.map(|(at, _)| at))
                .or(process.asked_to_end)
                .unwrap_or(rules.length);
            let ready = process.ready.unwrap_or(over);
            let late = process.started + rules.ready_within;
            if ready > late + stalled_time(records, balancer, process.started, ready) {
                let ms = (ready - process.started) / MS;
                violations.push(RuleViolation {
                    rule: "ready",
                    at: ready,
                    what: format!("n{balancer} not ready after {ms} ms"),
                });
            }
        }
    }
    violations
}

/// How many requests ended how, for the figures.
#[must_use]
pub fn ends(requests: &[RequestRecord]) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for request in requests {
        *ends.entry(format!("{:?}", request.end)).or_insert(0) += 1;
    }
    ends
}

#[cfg(test)]
mod tests;
