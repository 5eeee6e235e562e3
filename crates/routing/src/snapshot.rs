//! Serialized form of an engine's learnt state, for transfer to the process that replaces this one.
//! The stored field names are part of the format.

use crate::estimators::{StoredHistogram, StoredLatencyMean};
use crate::identifiers::Nanos;
use crate::rendezvous::CANDIDATES;
use crate::traffic::StoredRates;
use serde::{Deserialize, Serialize};

/// Learnt state of an engine about endpoints, latencies and load. It contains no requests and no
/// keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    #[serde(rename = "servers")]
    pub(crate) endpoints: Vec<EndpointSnapshot>,
    #[serde(rename = "record")]
    pub(crate) latency_histogram: StoredHistogram,
    #[serde(rename = "fetch")]
    pub(crate) fetch_latency: StoredLatencyMean,
    #[serde(rename = "hits")]
    pub(crate) rank_hit_ratios: Vec<f64>,
    #[serde(rename = "origin_room")]
    pub(crate) origin_admitted_fraction: f64,
    #[serde(rename = "bad")]
    pub(crate) failure_ratio: f64,
    #[serde(rename = "usual")]
    pub(crate) median_latency: f64,
    /// Tokens for hedges, then tokens for retries.
    pub(crate) budgets: [f64; 2],
    pub(crate) rates: StoredRates,
}

/// Learnt state about one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointSnapshot {
    pub(crate) id: u64,
    /// Start time; after a restart nothing is restored, because the endpoint is a new process.
    pub(crate) started: Nanos,
    pub(crate) latency: StoredLatencyMean,
    #[serde(rename = "hits")]
    pub(crate) hit_ratio: f64,
    pub(crate) limit: f64,
    #[serde(rename = "strikes")]
    pub(crate) consecutive_failures: f64,
    #[serde(rename = "turned")]
    pub(crate) failure_ratio: f64,
    #[serde(rename = "suspect_until")]
    pub(crate) ejected_until: Option<Nanos>,
    #[serde(rename = "proven")]
    pub(crate) may_probe_with_request: bool,
    pub(crate) backoff: Nanos,
    #[serde(rename = "cold_budget")]
    pub(crate) slow_start_tokens: f64,
    #[serde(rename = "cold_budget_at")]
    pub(crate) slow_start_refilled_at: Nanos,
}

/// Reason why a snapshot was not restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// A value of an endpoint is negative or not finite.
    #[error("servers: a value is negative or not a finite number")]
    InvalidEndpointValue,
    /// A value that belongs to no endpoint is negative or not finite.
    #[error("a value outside of servers is negative or not a finite number")]
    InvalidValue,
    /// The number of hit ratios differs from the number of ranks.
    #[error("hits: expected one hit ratio for each rank")]
    RankCount,
    /// The latency histogram has an invalid weight or another number of buckets.
    #[error("record: the latency histogram is invalid or of another version")]
    InvalidHistogram,
}

impl Snapshot {
    /// Checks the values and returns the hit ratios of the ranks.
    pub(crate) fn check(&self) -> Result<[f64; CANDIDATES], SnapshotError> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        let mut endpoint_values = self.endpoints.iter().flat_map(EndpointSnapshot::values);
        if !endpoint_values.all(is_valid) {
            return Err(SnapshotError::InvalidEndpointValue);
        }
        if !self.values().all(is_valid) {
            return Err(SnapshotError::InvalidValue);
        }
        let ratios = self.rank_hit_ratios.as_slice().try_into();
        ratios.map_err(|_| SnapshotError::RankCount)
    }

    fn values(&self) -> impl Iterator<Item = f64> {
        [
            self.origin_admitted_fraction,
            self.failure_ratio,
            self.median_latency,
        ]
        .into_iter()
        .chain(self.fetch_latency)
        .chain(self.budgets)
        .chain(self.rates)
        .chain(self.rank_hit_ratios.iter().copied())
    }
}

impl EndpointSnapshot {
    fn values(&self) -> impl Iterator<Item = f64> {
        let values = [
            self.hit_ratio,
            self.limit,
            self.consecutive_failures,
            self.failure_ratio,
            // The tokens may be negative, if more attempts were sent than the budget allowed.
            self.slow_start_tokens.abs(),
        ];
        self.latency.into_iter().chain(values)
    }
}
