//! Holds what a soak saw against the rules.
//!
//! A balancer that the trial let stand still is given as much longer to answer, and no more. Where
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
/// An attempt may be told so much more than is left.
const TOLD_SLACK: Nanos = 150 * MS;
/// Windows and the grace of drains bear a hold-up of that length between the clock and the write.
const WINDOW_SLACK: Nanos = 150 * MS;
const DRAIN_SLACK: Nanos = 50 * MS;
/// What discovery has counts as told after this, if it can be reached.
const TOLD_AT_LATEST: Nanos = 6_000 * MS;
/// Requests that come later than this behind the request to end are owed an answer whatever ends
/// the process.
const ACCEPT_ON: Nanos = 700 * MS;
/// Of a cold cache's requests so many came from balancers that had been told, if its fall breaks
/// the rule.
const TOLD_PART: f64 = 2.0 / 3.0;

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

/// All breaches, in order of time.
pub fn judge(records: &Records, rules: &CheckedRules) -> Vec<RuleViolation> {
    let mut by_id: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &records.attempts {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut breaches = Vec::new();
    for asked in &records.asked {
        let attempts = by_id
            .get(asked.id.as_str())
            .map(Vec::as_slice)
            .unwrap_or_default();
        breaches.extend(lost(records, asked, attempts));
        for attempt in attempts {
            breaches.extend(sent_too_late(asked, attempt));
        }
        breaches.extend(duplicate(rules, asked, attempts));
    }
    let asked: HashMap<&str, &RequestRecord> = records
        .asked
        .iter()
        .map(|asked| (asked.id.as_str(), asked))
        .collect();
    breaches.extend(drains(records, rules, &asked));
    breaches.extend(failbacks(records, rules, &asked));
    breaches.extend(lives(records, rules));
    breaches.sort_by_key(|breach| breach.at);
    breaches
}

fn life<'a>(records: &'a Records, asked: &RequestRecord) -> Option<&'a ProcessRecord> {
    records.lives.get(asked.balancer)?.get(asked.life)
}

/// How long the balancer stood still in this time.
fn stood_still(records: &Records, balancer: usize, from: Nanos, to: Nanos) -> Nanos {
    records.stops.get(balancer).map_or(0, |stops| {
        stops.iter().map(|stop| stop.within(from, to)).sum()
    })
}

/// Whether the process was gone before it had to have answered, by no fault of its own.
fn is_excused(asked: &RequestRecord, life: &ProcessRecord, limit: Nanos) -> bool {
    let Some(killed) = life.killed.filter(|killed| *killed <= limit) else {
        return false;
    };
    match life.asked_to_end {
        Some(end) => asked.sent <= end + ACCEPT_ON && killed >= asked.sent,
        None => true,
    }
}

/// By when a request has to be answered.
fn answer_limit(records: &Records, asked: &RequestRecord) -> Nanos {
    let due = asked.deadline() + ANSWER_SLACK;
    let mut limit = due;
    // Standing still moves the limit, and the balancer may stand still until then too.
    loop {
        let moved = due + stood_still(records, asked.balancer, asked.sent, limit);
        if moved == limit {
            return limit;
        }
        limit = moved;
    }
}

fn lost(
    records: &Records,
    asked: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<RuleViolation> {
    let limit = answer_limit(records, asked);
    let excused = life(records, asked).is_some_and(|life| is_excused(asked, life, limit));
    let breach = |at, what: &str| {
        let RequestRecord {
            id, balancer, sent, ..
        } = asked;
        let what = format!(
            "{what}: {id} of {:?} at n{balancer}, sent {:.3}",
            asked.effect,
            *sent as f64 / 1e9
        );
        Some(RuleViolation {
            rule: "lost",
            at,
            what,
        })
    };
    match asked.end {
        RequestEnd::Wrong => breach(asked.ended, "a value that was made for another request"),
        RequestEnd::Never if !excused => breach(limit, "no answer"),
        // Between two requests a balancer may end its sending; a request that crosses that is not
        // read.
        RequestEnd::Closed if !excused && (asked.fresh || !attempts.is_empty()) => breach(
            asked.ended,
            "read, and its connection closed with no answer",
        ),
        RequestEnd::Reset if !excused && !attempts.is_empty() => breach(
            asked.ended,
            "forwarded, and its connection reset with no answer",
        ),
        RequestEnd::Served | RequestEnd::Refused | RequestEnd::Failed if asked.ended > limit => {
            let ms = (asked.ended - asked.deadline()) / MS;
            breach(asked.ended, &format!("answered {ms} ms after its time"))
        }
        _ => None,
    }
}

/// An attempt that begins after its client has closed, or is told more time than is left.
fn sent_too_late(asked: &RequestRecord, attempt: &AttemptRecord) -> Option<RuleViolation> {
    let id = &asked.id;
    if let Some(closed) = asked
        .closed
        .filter(|closed| attempt.began > closed + CLOSED_SLACK)
    {
        let ms = (attempt.began - closed) / MS;
        let what = format!(
            "attempt of {id} at n{} began {ms} ms after its client had closed",
            asked.balancer
        );
        return Some(RuleViolation {
            rule: "lost",
            at: attempt.began,
            what,
        });
    }
    let left = asked.deadline().saturating_sub(attempt.began);
    let told = attempt.told_ms.saturating_mul(MS);
    if told <= left + TOLD_SLACK {
        return None;
    }
    let what = format!(
        "attempt of {id} at n{} is told {} ms, {} are left",
        asked.balancer,
        attempt.told_ms,
        left / MS
    );
    Some(RuleViolation {
        rule: "lost",
        at: attempt.began,
        what,
    })
}

/// Attempts that came whole and may have run, each with the one before it.
fn duplicate(
    rules: &CheckedRules,
    asked: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<RuleViolation> {
    if asked.effect == RequestKind::Safe {
        return None;
    }
    let mut ran: Vec<&&AttemptRecord> = attempts
        .iter()
        .filter(|a| a.end != AttemptEnd::TurnedAway)
        .collect();
    ran.sort_by_key(|attempt| attempt.began);
    let breach = |at, what: String| {
        Some(RuleViolation {
            rule: "duplicate",
            at,
            what,
        })
    };
    let (first, rest) = ran.split_first()?;
    let mut former = first;
    for attempt in rest {
        if asked.effect == RequestKind::Unsafe {
            return breach(attempt.began, format!("{} may have run twice", asked.id));
        }
        if attempt.began > first.whole + rules.window + WINDOW_SLACK {
            let ms = (attempt.began - first.whole) / MS;
            return breach(
                attempt.began,
                format!("{} repeated {ms} ms after it may have run", asked.id),
            );
        }
        if former
            .over
            .is_none_or(|over| over > attempt.whole + TOLD_SLACK)
        {
            return breach(
                attempt.began,
                format!("{} sent while another was out", asked.id),
            );
        }
        former = attempt;
    }
    None
}

/// When a change counts as told to a balancer.
fn told(records: &Records, balancer: usize, version: u64, changed: Nanos) -> Nanos {
    let written = records
        .told
        .iter()
        .filter(|told| told.balancer == balancer && told.version >= version);
    let written = written.map(|told| told.at).min().unwrap_or(Nanos::MAX);
    let had = |at: Nanos| {
        let down = records
            .down
            .iter()
            .find(|span| span.from <= at && at < span.to);
        down.map_or(at, |span| span.to)
    };
    // Counted anew from each moment from which discovery could be reached.
    let mut reachable = had(changed);
    for span in &records.down {
        if span.from > reachable && span.from < reachable.saturating_add(TOLD_AT_LATEST) {
            reachable = span.to;
        }
    }
    written.min(reachable.saturating_add(TOLD_AT_LATEST))
}

/// The balancer that sent an attempt, by its request's id.
fn sender(asked: &HashMap<&str, &RequestRecord>, attempt: &AttemptRecord) -> Option<usize> {
    asked.get(attempt.id.as_str()).map(|asked| asked.balancer)
}

fn drains(
    records: &Records,
    rules: &CheckedRules,
    asked: &HashMap<&str, &RequestRecord>,
) -> Vec<RuleViolation> {
    let mut breaches = Vec::new();
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
                let Some(balancer) = sender(asked, attempt) else {
                    continue;
                };
                let told = told(records, balancer, change.version, change.at);
                let limit = told.saturating_add(rules.grace + DRAIN_SLACK);
                if attempt.began > limit {
                    let ms = (attempt.began - told) / MS;
                    let what = format!(
                        "{} sent by n{balancer} to cache {cache} {ms} ms after it was told that it is {:?}",
                        attempt.id, change.state
                    );
                    breaches.push(RuleViolation {
                        rule: "drain",
                        at: attempt.began,
                        what,
                    });
                }
            }
        }
    }
    breaches
}

/// Cold caches that get more, from all balancers together, than the settings allow them at their
/// age.
fn failbacks(
    records: &Records,
    rules: &CheckedRules,
    asked: &HashMap<&str, &RequestRecord>,
) -> Vec<RuleViolation> {
    let mut breaches = Vec::new();
    for change in &records.changes {
        let CacheState::Up { born_ms: 1.. } = change.state else {
            continue;
        };
        for cache in change
            .caches
            .iter()
            .filter(|cache| **cache < rules.own_listeners)
        {
            let cold = change.at..change.at + rules.warm_after;
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
                    .filter(|a| a.began + rules.tip_after > now);
                let window: Vec<&AttemptRecord> = window.copied().collect();
                let age = (now - change.at) as f64 / rules.warm_after as f64;
                (window.len() as f64 > rules.allowed(age)).then_some((now, window))
            });
            let Some((at, window)) = fall else { continue };
            let knew = |attempt: &&&AttemptRecord| {
                let balancer = sender(asked, attempt);
                balancer
                    .is_some_and(|b| told(records, b, change.version, change.at) <= attempt.began)
            };
            let told = window.iter().filter(knew).count();
            if told as f64 > TOLD_PART * window.len() as f64 {
                let what = format!(
                    "cold cache {cache} got {} requests in a window, {told} of them by who knew",
                    window.len()
                );
                breaches.push(RuleViolation {
                    rule: "failback",
                    at,
                    what,
                });
            }
        }
    }
    breaches
}

fn lives(records: &Records, rules: &CheckedRules) -> Vec<RuleViolation> {
    let mut breaches = Vec::new();
    for (balancer, lives) in records.lives.iter().enumerate() {
        for life in lives {
            if let Some((at, false)) = life.ended {
                breaches.push(RuleViolation {
                    rule: "crash",
                    at,
                    what: format!("n{balancer} ended by itself"),
                });
            }
            let over = life
                .killed
                .or(life.ended.map(|(at, _)| at))
                .or(life.asked_to_end)
                .unwrap_or(rules.length);
            let ready = life.ready.unwrap_or(over);
            let late = life.started + rules.ready_within;
            if ready > late + stood_still(records, balancer, life.started, ready) {
                let ms = (ready - life.started) / MS;
                breaches.push(RuleViolation {
                    rule: "ready",
                    at: ready,
                    what: format!("n{balancer} not ready after {ms} ms"),
                });
            }
        }
    }
    breaches
}

/// How many requests ended how, for the figures.
pub fn ends(asked: &[RequestRecord]) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for one in asked {
        *ends.entry(format!("{:?}", one.end)).or_insert(0) += 1;
    }
    ends
}

#[cfg(test)]
mod tests;
