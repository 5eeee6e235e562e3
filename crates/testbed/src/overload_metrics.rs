//! What a whole fleet does second by second, and what its clients got: the figures by which
//! overload is judged.

use crate::simulated_services::cache::CacheCounts;
use crate::simulated_services::clients::{ClientRequest, RequestEnd};
use serde::Serialize;
use std::collections::BTreeMap;

/// A class's worth, and the time within which an answer earns it, in seconds; as in the members'
/// settings.
pub const CLASSES: [(&str, f64, f64); 3] = [
    ("tile-read", 3.0, 0.3),
    ("status-set", 10.0, 0.3),
    ("map-publish", 5.0, 0.6),
];

/// Sums over the fleet at one moment, since the start.
#[derive(Clone, Debug, Default)]
pub struct ClusterSample {
    /// Seconds since the start of the timeline.
    pub at: f64,
    /// What came to all caches.
    pub caches: CacheCounts,
    /// Fetches and writes at the origin, and those that waited there in vain.
    pub origin: (u64, u64),
    /// The members' counters, summed over all their lives.
    pub members: BTreeMap<String, u64>,
}

/// One second of the fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecondMetrics {
    /// Since the start of the timeline.
    pub at: u64,
    /// Requests of clients, without returns; and returns.
    pub asked: u64,
    /// See `asked`.
    pub again: u64,
    /// Tries at caches, and those turned away there.
    pub tries: u64,
    /// See `tries`.
    pub turned_away: u64,
    /// Copies that members sent.
    pub copies: u64,
    /// Probes at caches.
    pub probes: u64,
    /// Connections at caches.
    pub connects: u64,
    /// Fetches and writes at the origin.
    pub fetches: u64,
    /// Worth asked for by first requests, and worth served in time.
    pub worth_asked: f64,
    /// See `worth_asked`.
    pub worth: f64,
}

/// What one class got, in the span that is judged.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassMetrics {
    /// First requests.
    pub asked: u64,
    /// Of all requests, those served in time, served late, refused, failed, and without an answer.
    pub served: u64,
    /// See `served`.
    pub late: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// See `served`.
    pub unanswered: u64,
    /// The share that was refused at the balancer that refused least, and at the one that refused
    /// most; of those with twenty requests or more.
    pub refused_least: f64,
    /// See `refused_least`.
    pub refused_most: f64,
}

/// The judgement of one span.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SpanMetrics {
    /// From when to when, in seconds since the start of the timeline.
    pub from: f64,
    /// See `from`.
    pub to: f64,
    /// Worth served in time over worth asked for.
    pub worth_share: f64,
    /// Worth served in time over what the caches' room would bear with perfect choice.
    pub of_perfect: f64,
    /// Tries at caches for each first request.
    pub tries_per_request: f64,
    /// Copies for each first request.
    pub copies_per_request: f64,
    /// Probes a cache a second.
    pub probes_per_cache_s: f64,
    /// Connections for each first request.
    pub connects_per_request: f64,
    /// By class.
    pub classes: BTreeMap<String, ClassMetrics>,
    /// Why members refused, by their counters.
    pub refused_by_reason: BTreeMap<String, u64>,
}

fn class_of(name: &str) -> (f64, f64) {
    CLASSES
        .iter()
        .find(|(n, ..)| *n == name)
        .map_or((0.0, 0.0), |(_, worth, goal)| (*worth, *goal))
}

fn in_time(one: &ClientRequest) -> bool {
    one.end == RequestEnd::Served && one.took <= class_of(one.class).1
}

fn delta(before: &BTreeMap<String, u64>, after: &BTreeMap<String, u64>, name: &str) -> u64 {
    let get = |counts: &BTreeMap<String, u64>| counts.get(name).copied().unwrap_or(0);
    get(after).saturating_sub(get(before))
}

/// The fleet second by second; `begun` is the start of the timeline in the clients' time.
pub fn seconds(
    samples: &[ClusterSample],
    asked: &[ClientRequest],
    begun: f64,
) -> Vec<SecondMetrics> {
    let mut seconds: Vec<SecondMetrics> = samples
        .windows(2)
        .map(|pair| {
            let (a, b) = (&pair[0], &pair[1]);
            SecondMetrics {
                at: a.at.round() as u64,
                tries: b.caches.tries.saturating_sub(a.caches.tries),
                turned_away: b.caches.turned_away.saturating_sub(a.caches.turned_away),
                copies: delta(&a.members, &b.members, "hedges"),
                probes: b.caches.probes.saturating_sub(a.caches.probes),
                connects: b.caches.connections.saturating_sub(a.caches.connections),
                fetches: b.origin.0.saturating_sub(a.origin.0),
                ..SecondMetrics::default()
            }
        })
        .collect();
    for one in asked {
        let at = one.at - begun;
        let Some(i) = samples
            .windows(2)
            .position(|pair| (pair[0].at..pair[1].at).contains(&at))
        else {
            continue;
        };
        let worth = class_of(one.class).0;
        if one.again {
            seconds[i].again += 1;
        } else {
            seconds[i].asked += 1;
            seconds[i].worth_asked += worth;
        }
        if in_time(one) {
            seconds[i].worth += worth;
        }
    }
    seconds
}

/// What so much room would earn with perfect choice: the dearest first. A request takes one unit of
/// it.
pub fn perfect(asked: &BTreeMap<String, ClassMetrics>, room: f64) -> f64 {
    let mut classes: Vec<(f64, f64)> = asked
        .iter()
        .map(|(name, class)| (class_of(name).0, class.asked as f64))
        .collect();
    classes.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut left = room;
    let mut worth = 0.0;
    for (each, many) in classes {
        let taken = many.min(left);
        worth += each * taken;
        left -= taken;
    }
    worth
}

/// Judges one span; `room` is how many requests all caches serve a second when warm.
pub fn span(
    (from, to): (f64, f64),
    samples: &[ClusterSample],
    asked: &[ClientRequest],
    begun: f64,
    room: f64,
    caches: usize,
) -> SpanMetrics {
    let mut classes: BTreeMap<String, ClassMetrics> = BTreeMap::new();
    let mut balancers: BTreeMap<(String, usize), (u64, u64)> = BTreeMap::new();
    let (mut worth_asked, mut worth, mut first) = (0.0, 0.0, 0u64);
    for one in asked
        .iter()
        .filter(|one| (from..to).contains(&(one.at - begun)))
    {
        let class = classes.entry(one.class.into()).or_default();
        if !one.again {
            class.asked += 1;
            first += 1;
            worth_asked += class_of(one.class).0;
        }
        match one.end {
            RequestEnd::Served if in_time(one) => {
                class.served += 1;
                worth += class_of(one.class).0;
            }
            RequestEnd::Served => class.late += 1,
            RequestEnd::Refused => class.refused += 1,
            RequestEnd::Failed | RequestEnd::Wrong => class.failed += 1,
            RequestEnd::Broken | RequestEnd::NoDoor | RequestEnd::Never => class.unanswered += 1,
        }
        let of = balancers
            .entry((one.class.into(), one.balancer))
            .or_default();
        of.0 += 1;
        of.1 += u64::from(one.end == RequestEnd::Refused);
    }
    for (name, class) in &mut classes {
        let shares = balancers
            .iter()
            .filter(|((n, _), (all, _))| n == name && *all >= 20);
        let shares: Vec<f64> = shares
            .map(|(_, (all, refused))| *refused as f64 / *all as f64)
            .collect();
        class.refused_least = shares.iter().copied().reduce(f64::min).unwrap_or(0.0);
        class.refused_most = shares.iter().copied().reduce(f64::max).unwrap_or(0.0);
    }
    let sample = |at: f64| {
        samples
            .iter()
            .min_by(|a, b| (a.at - at).abs().total_cmp(&(b.at - at).abs()))
    };
    let (a, b) = (
        sample(from).cloned().unwrap_or_default(),
        sample(to).cloned().unwrap_or_default(),
    );
    let per_request = |count: u64| count as f64 / first.max(1) as f64;
    let length = (b.at - a.at).max(0.001);
    let reasons = b
        .members
        .keys()
        .filter_map(|name| name.strip_prefix("rejected."));
    SpanMetrics {
        from,
        to,
        worth_share: worth / worth_asked.max(0.001),
        of_perfect: worth / perfect(&classes, room * (to - from)).max(0.001),
        tries_per_request: per_request(b.caches.tries.saturating_sub(a.caches.tries)),
        copies_per_request: per_request(delta(&a.members, &b.members, "hedges")),
        probes_per_cache_s: b.caches.probes.saturating_sub(a.caches.probes) as f64
            / length
            / caches as f64,
        connects_per_request: per_request(
            b.caches.connections.saturating_sub(a.caches.connections),
        ),
        refused_by_reason: reasons
            .map(|reason| {
                (
                    reason.to_string(),
                    delta(&a.members, &b.members, &format!("rejected.{reason}")),
                )
            })
            .filter(|(_, count)| *count > 0)
            .collect(),
        classes,
    }
}

/// Seconds from `end` until, for two seconds on end, at least nine tenths of the worth share from
/// before the trouble is served; `None` if that never comes.
pub fn recovery(seconds: &[SecondMetrics], before: (f64, f64), end: f64) -> Option<f64> {
    let share = |of: &[&SecondMetrics]| {
        let (worth, asked) = of.iter().fold((0.0, 0.0), |sum, s| {
            (sum.0 + s.worth, sum.1 + s.worth_asked)
        });
        if asked > 0.0 { worth / asked } else { 1.0 }
    };
    let usual: Vec<&SecondMetrics> = seconds
        .iter()
        .filter(|s| (before.0..before.1).contains(&(s.at as f64)))
        .collect();
    let wanted = 0.9 * share(&usual);
    let after: Vec<&SecondMetrics> = seconds.iter().filter(|s| s.at as f64 >= end).collect();
    after
        .windows(2)
        .find(|pair| share(pair) >= wanted)
        .map(|pair| (pair[0].at as f64 - end).max(0.0))
}

#[cfg(test)]
mod tests;
