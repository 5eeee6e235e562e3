//! Metrics of a whole fleet per second and per time span, computed from the counters of members and
//! caches and the results of client requests.

use crate::simulated_services::cache::CacheCounts;
use crate::simulated_services::clients::{ClientRequest, RequestOutcome};
use serde::Serialize;
use std::collections::BTreeMap;

/// Name, priority weight and latency objective (in seconds) of each class; must equal the members'
/// settings.
pub const CLASSES: [(&str, f64, f64); 3] = [
    ("tile-read", 3.0, 0.3),
    ("status-set", 10.0, 0.3),
    ("map-publish", 5.0, 0.6),
];

/// Minimum number of requests of a class at a balancer for its ratio of rejections to be compared.
const MIN_REQUESTS_FOR_SHARE: u64 = 20;

/// Counters summed over the fleet at one moment, counted since the start of the trial.
#[derive(Clone, Debug, Default)]
pub struct ClusterSample {
    /// Seconds since the start of the timeline.
    pub at: f64,
    /// Counters summed over all caches.
    pub caches: CacheCounts,
    /// Number of fetches and writes at the origin, and number of them that timed out in its queue.
    pub origin: (u64, u64),
    /// Counters of all members, summed over all their processes.
    pub members: BTreeMap<String, u64>,
}

/// Metrics of one second, over the whole fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SecondMetrics {
    /// Start of the second, in seconds since the start of the timeline.
    pub at: u64,
    /// Number of client requests, client retries not included.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Number of client retries.
    #[serde(rename = "again")]
    pub client_retries: u64,
    /// Number of attempts that caches received.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Number of attempts that caches rejected.
    #[serde(rename = "turned_away")]
    pub rejected_by_caches: u64,
    /// Number of hedged requests that members sent.
    #[serde(rename = "hedges")]
    pub hedges: u64,
    /// Number of health checks that caches received.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Number of connections that caches accepted.
    #[serde(rename = "connects")]
    pub connections: u64,
    /// Number of fetches and writes at the origin.
    pub fetches: u64,
    /// Sum of the weights of requests, client retries not included.
    #[serde(rename = "worth_asked")]
    pub requested_weight: f64,
    /// Sum of the weights of requests served within their latency objective.
    #[serde(rename = "worth")]
    pub served_weight: f64,
}

/// Results of one class in a time span.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassMetrics {
    /// Number of requests, client retries not included.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Number of requests served within the latency objective, client retries included.
    pub served: u64,
    /// Number of requests served after the latency objective.
    pub late: u64,
    /// Number of requests rejected with `-BUSY`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of requests answered with another error or a wrong value.
    pub failed: u64,
    /// Number of requests without an answer.
    pub unanswered: u64,
    /// Lowest ratio of rejected requests at any balancer that received 20 requests or more of this
    /// class.
    #[serde(rename = "refused_least")]
    pub rejected_share_min: f64,
    /// Highest ratio of rejected requests at any such balancer.
    #[serde(rename = "refused_most")]
    pub rejected_share_max: f64,
}

/// Metrics of one time span.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SpanMetrics {
    /// Start, in seconds since the start of the timeline.
    pub from: f64,
    /// End, in seconds since the start of the timeline.
    pub to: f64,
    /// Ratio of the weight served within the latency objectives to the requested weight.
    #[serde(rename = "worth_share")]
    pub served_weight_share: f64,
    /// Ratio of the weight served within the latency objectives to [`optimal_weight`].
    #[serde(rename = "of_perfect")]
    pub share_of_optimum: f64,
    /// Attempts at caches per request; client retries do not count as requests.
    #[serde(rename = "tries_per_request")]
    pub attempts_per_request: f64,
    /// Hedged requests per request.
    #[serde(rename = "copies_per_request")]
    pub hedges_per_request: f64,
    /// Health checks per cache per second.
    #[serde(rename = "probes_per_cache_s")]
    pub health_checks_per_cache_s: f64,
    /// Connections to caches per request.
    #[serde(rename = "connects_per_request")]
    pub connections_per_request: f64,
    /// Results by class.
    pub classes: BTreeMap<String, ClassMetrics>,
    /// Number of rejections by reason, from the counters of members.
    #[serde(rename = "refused_by_reason")]
    pub rejections_by_reason: BTreeMap<String, u64>,
}

fn class_weight_and_objective(name: &str) -> (f64, f64) {
    CLASSES
        .iter()
        .find(|(n, ..)| *n == name)
        .map_or((0.0, 0.0), |(_, weight, objective)| (*weight, *objective))
}

fn in_time(request: &ClientRequest) -> bool {
    request.outcome == RequestOutcome::Served
        && request.latency_s <= class_weight_and_objective(request.class).1
}

fn delta(before: &BTreeMap<String, u64>, after: &BTreeMap<String, u64>, name: &str) -> u64 {
    let get = |counts: &BTreeMap<String, u64>| counts.get(name).copied().unwrap_or(0);
    get(after).saturating_sub(get(before))
}

/// Computes the metrics of each second. `timeline_start` is the start of the timeline on the
/// clients' clock, in seconds.
#[must_use]
pub fn seconds(
    samples: &[ClusterSample],
    requests: &[ClientRequest],
    timeline_start: f64,
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
    for request in requests {
        let at = request.at - timeline_start;
        let Some(i) = samples
            .windows(2)
            .position(|pair| (pair[0].at..pair[1].at).contains(&at))
        else {
            continue;
        };
        let weight = class_weight_and_objective(request.class).0;
        if request.is_retry {
            seconds[i].client_retries += 1;
        } else {
            seconds[i].requests += 1;
            seconds[i].requested_weight += weight;
        }
        if in_time(request) {
            seconds[i].served_weight += weight;
        }
    }
    seconds
}

/// Returns the maximum weight that `capacity` requests can serve if the classes with the highest
/// weight are served first.
#[must_use]
pub fn optimal_weight(classes: &BTreeMap<String, ClassMetrics>, capacity: f64) -> f64 {
    let mut weights_and_counts: Vec<(f64, f64)> = classes
        .iter()
        .map(|(name, class)| (class_weight_and_objective(name).0, class.requests as f64))
        .collect();
    weights_and_counts.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut remaining = capacity;
    let mut weight = 0.0;
    for (class_weight, requests) in weights_and_counts {
        let served = requests.min(remaining);
        weight += class_weight * served;
        remaining -= served;
    }
    weight
}

/// Observations of a whole timeline, from which time spans are evaluated.
pub struct Observations<'a> {
    /// Counters of the fleet, sampled once a second.
    pub samples: &'a [ClusterSample],
    /// Requests of all clients.
    pub requests: &'a [ClientRequest],
    /// Start of the timeline on the clients' clock, in seconds.
    pub timeline_start: f64,
    /// Requests per second that all caches together serve when warm.
    pub capacity: f64,
    /// Number of caches.
    pub caches: usize,
}

/// Sums over the requests of a time span.
#[derive(Default)]
struct RequestSums {
    classes: BTreeMap<String, ClassMetrics>,
    requested_weight: f64,
    served_weight: f64,
    /// Number of requests, client retries not included.
    requests: u64,
}

impl Observations<'_> {
    /// Computes the metrics of one time span, given in seconds since the start of the timeline.
    #[must_use]
    pub fn span(&self, from: f64, to: f64) -> SpanMetrics {
        let sums = self.request_sums(from, to);
        let (a, b) = (self.sample_near(from), self.sample_near(to));
        let per_request = |count: u64| count as f64 / sums.requests.max(1) as f64;
        let length = (b.at - a.at).max(0.001);
        let optimum = optimal_weight(&sums.classes, self.capacity * (to - from));
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
        // Number of requests and of rejected requests, by class and balancer.
        let mut balancers: BTreeMap<(String, usize), (u64, u64)> = BTreeMap::new();
        let in_span =
            |request: &&ClientRequest| (from..to).contains(&(request.at - self.timeline_start));
        for request in self.requests.iter().filter(in_span) {
            let class = sums.classes.entry(request.class.into()).or_default();
            if !request.is_retry {
                class.requests += 1;
                sums.requests += 1;
                sums.requested_weight += class_weight_and_objective(request.class).0;
            }
            match request.outcome {
                RequestOutcome::Served if in_time(request) => {
                    class.served += 1;
                    sums.served_weight += class_weight_and_objective(request.class).0;
                }
                RequestOutcome::Served => class.late += 1,
                RequestOutcome::Refused => class.rejected += 1,
                RequestOutcome::Failed | RequestOutcome::Wrong => class.failed += 1,
                RequestOutcome::Broken | RequestOutcome::NoConnection | RequestOutcome::Never => {
                    class.unanswered += 1;
                }
            }
            let counts = balancers
                .entry((request.class.into(), request.balancer))
                .or_default();
            counts.0 += 1;
            counts.1 += u64::from(request.outcome == RequestOutcome::Refused);
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

/// Returns the time in seconds from `end` until, for two consecutive seconds, the ratio of served
/// to requested weight is at least 0.9 of that in the span `before` the disturbance; `None` if it
/// does not recover.
#[must_use]
pub fn recovery(seconds: &[SecondMetrics], before: (f64, f64), end: f64) -> Option<f64> {
    let served_ratio = |seconds: &[&SecondMetrics]| {
        let (served, requested) = seconds.iter().fold((0.0, 0.0), |sum, s| {
            (sum.0 + s.served_weight, sum.1 + s.requested_weight)
        });
        if requested > 0.0 {
            served / requested
        } else {
            1.0
        }
    };
    let baseline: Vec<&SecondMetrics> = seconds
        .iter()
        .filter(|s| (before.0..before.1).contains(&(s.at as f64)))
        .collect();
    let threshold = 0.9 * served_ratio(&baseline);
    let after: Vec<&SecondMetrics> = seconds.iter().filter(|s| s.at as f64 >= end).collect();
    after
        .windows(2)
        .find(|pair| served_ratio(pair) >= threshold)
        .map(|pair| (pair[0].at as f64 - end).max(0.0))
}

#[cfg(test)]
mod tests;
