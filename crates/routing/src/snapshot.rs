//! What an engine has learnt, in the form in which it is handed over to the process that replaces
//! this one. The names of the fields in stored form are part of the format.

use crate::estimators::{StoredHistogram, StoredLatencyMean};
use crate::identifiers::Nanos;
use crate::rendezvous::CANDIDATES;
use crate::traffic::StoredRates;
use serde::{Deserialize, Serialize};

/// What an engine has learnt of endpoints, of latencies and of load. It contains nothing of
/// requests and keys.
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
    /// Tokens for hedges and for retries.
    pub(crate) budgets: [f64; 2],
    pub(crate) rates: StoredRates,
}

/// What an engine has learnt of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointSnapshot {
    pub(crate) id: u64,
    /// Another start is another process, of which nothing is known.
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

/// Why a snapshot was not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// A figure of an endpoint is negative or no number.
    #[error("servers: a figure is negative or no number")]
    InvalidEndpointFigure,
    /// Another figure is negative or no number.
    #[error("a figure is negative or no number")]
    InvalidFigure,
    /// There is not one hit ratio for each rank.
    #[error("hits: not one for each rank")]
    RankCount,
    /// The histogram of latencies is of another form.
    #[error("record: not a histogram of this version")]
    InvalidHistogram,
}

impl Snapshot {
    /// Checks the figures and returns the hit ratios of the ranks.
    pub(crate) fn check(&self) -> Result<[f64; CANDIDATES], SnapshotError> {
        let is_valid = |figure: f64| figure.is_finite() && figure >= 0.0;
        let mut of_endpoints = self.endpoints.iter().flat_map(EndpointSnapshot::figures);
        if !of_endpoints.all(is_valid) {
            return Err(SnapshotError::InvalidEndpointFigure);
        }
        if !self.figures().all(is_valid) {
            return Err(SnapshotError::InvalidFigure);
        }
        let ratios = self.rank_hit_ratios.as_slice().try_into();
        ratios.map_err(|_| SnapshotError::RankCount)
    }

    fn figures(&self) -> impl Iterator<Item = f64> {
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
    fn figures(&self) -> impl Iterator<Item = f64> {
        let figures = [
            self.hit_ratio,
            self.limit,
            self.consecutive_failures,
            self.failure_ratio,
            // Under 0 if more attempts were sent than were due.
            self.slow_start_tokens.abs(),
        ];
        self.latency.into_iter().chain(figures)
    }
}
