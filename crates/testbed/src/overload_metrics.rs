//! Metrics of a whole fleet by second and by span, from the counts of members and caches and the
//! results of clients.

use crate::simulated_services::cache::CacheCounts;
use crate::simulated_services::clients::{ClientRequest, RequestOutcome};
use serde::Serialize;
use std::collections::BTreeMap;

/// A class's priority weight, and its latency objective in seconds; as in the members'
/// settings.
pub const CLASSES: [(&str, f64, f64); 3] = [
    ("tile-read", 3.0, 0.3),
    ("status-set", 10.0, 0.3),
    ("map-publish", 5.0, 0.6),
];

/// A balancer's share of rejections counts from so many requests on.
const MIN_REQUESTS_FOR_SHARE: u64 = 20;

/// Sums over the fleet at one moment, since the start.
#[derive(Clone, Debug, Default)]
pub struct ClusterSample {
    /// Seconds since the start of the timeline.
    pub at: f64,
    /// What came to all caches.
    pub caches: CacheCounts,
    /// Fetches and writes at the origin, and those that timed out in its queue.
    pub origin: (u64, u64),
    /// The members' counters, summed over all their processes.
    pub members: BTreeMap<String, u64>,
}

/// One second of the fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecondMetrics {
    /// Since the start of the timeline.
    pub at: u64,
    /// Requests of clients, without returns; and returns.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// See `requests`.
    #[serde(rename = "again")]
    pub client_retries: u64,
    /// Attempts at caches, and those rejected there.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// See `attempts`.
    #[serde(rename = "turned_away")]
    pub rejected_by_caches: u64,
    /// Hedged requests that members sent.
    #[serde(rename = "hedges")]
    pub hedges: u64,
    /// Health checks at caches.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Connections at caches.
    #[serde(rename = "connects")]
    pub connections: u64,
    /// Fetches and writes at the origin.
    pub fetches: u64,
    /// Weight of first requests, and weight of answers in time.
    #[serde(rename = "worth_asked")]
    pub requested_weight: f64,
    /// See `requested_weight`.
    #[serde(rename = "worth")]
    pub served_weight: f64,
}

/// Results of one class in a span.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassMetrics {
    /// First requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Of all requests, those served in time, served late, rejected, failed, and without an answer.
    pub served: u64,
    /// See `served`.
    pub late: u64,
    /// See `served`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// See `served`.
    pub failed: u64,
    /// See `served`.
    pub unanswered: u64,
    /// The share that was rejected at the balancer that rejected least, and at the one that
    /// rejected most; of those with twenty requests or more.
    #[serde(rename = "refused_least")]
    pub rejected_share_min: f64,
    /// See `rejected_share_min`.
    #[serde(rename = "refused_most")]
    pub rejected_share_max: f64,
}

/// Metrics of one span.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SpanMetrics {
    /// From when to when, in seconds since the start of the timeline.
    pub from: f64,
    /// See `from`.
    pub to: f64,
    /// Weight served in time over weight requested.
    #[serde(rename = "worth_share")]
    pub served_weight_share: f64,
    /// Weight served in time over what the caches' capacity could earn.
    #[serde(rename = "of_perfect")]
    pub share_of_optimum: f64,
    /// Attempts at caches for each first request.
    #[serde(rename = "tries_per_request")]
    pub attempts_per_request: f64,
    /// Hedged requests for each first request.
    #[serde(rename = "copies_per_request")]
    pub hedges_per_request: f64,
    /// Health checks a cache a second.
    #[serde(rename = "probes_per_cache_s")]
    pub health_checks_per_cache_s: f64,
    /// Connections for each first request.
    #[serde(rename = "connects_per_request")]
    pub connections_per_request: f64,
    /// By class.
    pub classes: BTreeMap<String, ClassMetrics>,
    /// Rejections by reason, from the counters of members.
    #[serde(rename = "refused_by_reason")]
    pub rejections_by_reason: BTreeMap<String, u64>,
}

fn class_weight_and_objective(name: &str) -> (f64, f64) {
    CLASSES
        .iter()
        .find(|(n, ..)| *n == name)
        .map_or((0.0, 0.0), |(_, weight, objective)| (*weight, *objective))
}

fn in_time(one: &ClientRequest) -> bool {
    one.outcome == RequestOutcome::Served
        && one.latency_s <= class_weight_and_objective(one.class).1
}

fn delta(before: &BTreeMap<String, u64>, after: &BTreeMap<String, u64>, name: &str) -> u64 {
    let get = |counts: &BTreeMap<String, u64>| counts.get(name).copied().unwrap_or(0);
    get(after).saturating_sub(get(before))
}

/// The fleet second by second; `begun` is the start of the timeline in the clients' time.
#[must_use]
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
                attempts: b.caches.attempts.saturating_sub(a.caches.attempts),
                rejected_by_caches: b.caches.rejected.saturating_sub(a.caches.rejected),
                hedges: delta(&a.members, &b.members, "hedges"),
                health_checks: b
                    .caches
                    .health_checks
                    .saturating_sub(a.caches.health_checks),
                connections: b.caches.connections.saturating_sub(a.caches.connections),
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
        let weight = class_weight_and_objective(one.class).0;
        if one.is_retry {
            seconds[i].client_retries += 1;
        } else {
            seconds[i].requests += 1;
            seconds[i].requested_weight += weight;
        }
        if in_time(one) {
            seconds[i].served_weight += weight;
        }
    }
    seconds
}

/// The most weight that so much capacity can earn: heaviest classes first, one unit of capacity a
/// request.
#[must_use]
pub fn perfect(asked: &BTreeMap<String, ClassMetrics>, capacity: f64) -> f64 {
    let mut classes: Vec<(f64, f64)> = asked
        .iter()
        .map(|(name, class)| (class_weight_and_objective(name).0, class.requests as f64))
        .collect();
    classes.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut left = capacity;
    let mut weight = 0.0;
    for (each, many) in classes {
        let taken = many.min(left);
        weight += each * taken;
        left -= taken;
    }
    weight
}

/// What is known of a timeline when its spans are evaluated.
pub struct Observations<'a> {
    /// The fleet, once a second.
    pub samples: &'a [ClusterSample],
    /// The clients' requests.
    pub requests: &'a [ClientRequest],
    /// The start of the timeline in the clients' time.
    pub timeline_start: f64,
    /// How many requests all caches serve a second when warm.
    pub capacity: f64,
    /// How many caches there are.
    pub caches: usize,
}

/// Sums over the requests of a span.
#[derive(Default)]
struct RequestSums {
    classes: BTreeMap<String, ClassMetrics>,
    requested_weight: f64,
    served_weight: f64,
    /// Requests that are no retries.
    requests: u64,
}

impl Observations<'_> {
    /// Evaluates one span, in seconds since the start of the timeline.
    #[must_use]
    pub fn span(&self, from: f64, to: f64) -> SpanMetrics {
        let sums = self.request_sums(from, to);
        let (a, b) = (self.sample_near(from), self.sample_near(to));
        let per_request = |count: u64| count as f64 / sums.requests.max(1) as f64;
        let length = (b.at - a.at).max(0.001);
        let optimum = perfect(&sums.classes, self.capacity * (to - from));
        let reasons = b
            .members
            .keys()
            .filter_map(|name| name.strip_prefix("rejected."));
        let health_checks = b
            .caches
            .health_checks
            .saturating_sub(a.caches.health_checks);
        SpanMetrics {
            from,
            to,
            served_weight_share: sums.served_weight / sums.requested_weight.max(0.001),
            share_of_optimum: sums.served_weight / optimum.max(0.001),
            attempts_per_request: per_request(b.caches.attempts.saturating_sub(a.caches.attempts)),
            hedges_per_request: per_request(delta(&a.members, &b.members, "hedges")),
            health_checks_per_cache_s: health_checks as f64 / length / self.caches as f64,
            connections_per_request: per_request(
                b.caches.connections.saturating_sub(a.caches.connections),
            ),
            rejections_by_reason: reasons
                .map(|reason| {
                    let count = delta(&a.members, &b.members, &format!("rejected.{reason}"));
                    (reason.to_string(), count)
                })
                .filter(|(_, count)| *count > 0)
                .collect(),
            classes: sums.classes,
        }
    }

    fn sample_near(&self, at: f64) -> ClusterSample {
        let distance = |sample: &ClusterSample| (sample.at - at).abs();
        let nearest = self
            .samples
            .iter()
            .min_by(|a, b| distance(a).total_cmp(&distance(b)));
        nearest.cloned().unwrap_or_default()
    }

    fn request_sums(&self, from: f64, to: f64) -> RequestSums {
        let mut sums = RequestSums::default();
        // By class and balancer: all requests, and those rejected.
        let mut balancers: BTreeMap<(String, usize), (u64, u64)> = BTreeMap::new();
        let in_span = |one: &&ClientRequest| (from..to).contains(&(one.at - self.timeline_start));
        for one in self.requests.iter().filter(in_span) {
            let class = sums.classes.entry(one.class.into()).or_default();
            if !one.is_retry {
                class.requests += 1;
                sums.requests += 1;
                sums.requested_weight += class_weight_and_objective(one.class).0;
            }
            match one.outcome {
                RequestOutcome::Served if in_time(one) => {
                    class.served += 1;
                    sums.served_weight += class_weight_and_objective(one.class).0;
                }
                RequestOutcome::Served => class.late += 1,
                RequestOutcome::Refused => class.rejected += 1,
                RequestOutcome::Failed | RequestOutcome::Wrong => class.failed += 1,
                RequestOutcome::Broken | RequestOutcome::NoConnection | RequestOutcome::Never => {
                    class.unanswered += 1;
                }
            }
            let of = balancers
                .entry((one.class.into(), one.balancer))
                .or_default();
            of.0 += 1;
            of.1 += u64::from(one.outcome == RequestOutcome::Refused);
        }
        for (name, class) in &mut sums.classes {
            let shares = balancers
                .iter()
                .filter(|((n, _), (all, _))| n == name && *all >= MIN_REQUESTS_FOR_SHARE);
            let shares: Vec<f64> = shares
                .map(|(_, (all, rejected))| *rejected as f64 / *all as f64)
                .collect();
            class.rejected_share_min = shares.iter().copied().reduce(f64::min).unwrap_or(0.0);
            class.rejected_share_max = shares.iter().copied().reduce(f64::max).unwrap_or(0.0);
        }
        sums
    }
}

/// Seconds from `end` until, for two seconds on end, at least nine tenths of the weight share from
/// before the disturbance is served; `None` if that never comes.
#[must_use]
pub fn recovery(seconds: &[SecondMetrics], before: (f64, f64), end: f64) -> Option<f64> {
    let share = |of: &[&SecondMetrics]| {
        let (weight, asked) = of.iter().fold((0.0, 0.0), |sum, s| {
            (sum.0 + s.served_weight, sum.1 + s.requested_weight)
        });
        if asked > 0.0 { weight / asked } else { 1.0 }
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
