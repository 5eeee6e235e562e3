//! Outlier detection: consecutive failures eject an endpoint. After a growing backoff a recovery
//! probe, which is a health check or a request, decides whether it is readmitted.

use crate::endpoints::EndpointRecord;
use crate::events::AttemptOutcome;
use crate::identifiers::Nanos;
use crate::random::Random;

/// Minimum number of consecutive failures that ejects an endpoint.
const MIN_CONSECUTIVE_FAILURES: f64 = 2.0;
/// Probability below which a run of consecutive failures counts as more than chance and ejects the
/// endpoint.
const CHANCE_THRESHOLD: f64 = 0.05;
/// Minimum failure ratio from which the probability of a run of failures is computed.
const MIN_FAILURE_RATIO: f64 = 0.01;
/// Maximum failure ratio from which the probability of a run of failures is computed.
const MAX_FAILURE_RATIO: f64 = 0.99;
/// Weight of a new attempt in a failure ratio.
const FAILURE_RATIO_GAIN: f64 = 0.1;
/// Maximum failure ratio of a healthy endpoint; unhealthy endpoints receive no hedges or retries.
const MAX_HEALTHY_FAILURE_RATIO: f64 = 0.3;
/// Maximum ratio of a healthy endpoint's latency to the median latency of all caches.
const MAX_HEALTHY_LATENCY_FACTOR: f64 = 3.0;
/// Factor applied to an endpoint's failure ratio at each housekeeping, so that an endpoint without
/// requests recovers.
pub(crate) const IDLE_DECAY: f64 = 0.98;
/// Failure ratio from which an endpoint counts as failing: it has failed an attempt within the last
/// seconds.
const MIN_FAILING_RATIO: f64 = 0.05;
/// Fraction of failing endpoints from which the cause is assumed to be a dependency that they
/// share.
const WIDESPREAD_FRACTION: f64 = 0.5;
/// Fraction of unhealthy endpoints above which ejection is suspended, because it no longer singles
/// out faulty endpoints. It is above one half because half of the endpoints may become unreachable
/// with a zone.
const MAX_EJECTED_FRACTION: f64 = 0.75;
/// Initial backoff before an ejected endpoint is probed, in nanoseconds; doubles with each further
/// ejection.
pub(crate) const MIN_BACKOFF: Nanos = 1_000_000_000;
/// Longest mean wait before a probe, in nanoseconds; about the time that passes until discovery
/// lists a restarted endpoint again.
pub(crate) const MAX_BACKOFF: Nanos = 8_000_000_000;
/// Minimum random factor applied to a backoff, so that the probes of several balancers are spread.
const MIN_BACKOFF_FACTOR: f64 = 0.75;
/// Width of the range of the random factor above [`MIN_BACKOFF_FACTOR`].
const BACKOFF_FACTOR_SPREAD: f64 = 0.5;

/// Strength of the evidence that a failed attempt gives against its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FailureEvidence {
    /// The attempt is no evidence against its endpoint.
    None,
    /// The endpoint answered with an error, which the origin may have caused.
    Ambiguous,
    /// The endpoint did not answer.
    Strong,
}

impl FailureEvidence {
    pub(crate) fn weight(self) -> f64 {
        match self {
            FailureEvidence::None => 0.0,
            FailureEvidence::Ambiguous => 0.5,
            FailureEvidence::Strong => 1.0,
        }
    }

    /// Returns the evidence that follows from the outcome alone. Timeouts and cancellations give
    /// none, because they count only if the endpoint was unresponsive; neither do outcomes that
    /// every other endpoint would have produced too.
    pub(crate) fn from_outcome(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Error => FailureEvidence::Ambiguous,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => FailureEvidence::Strong,
            AttemptOutcome::Ok
            | AttemptOutcome::CacheMiss
            | AttemptOutcome::Rejected
            | AttemptOutcome::Timeout
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::Unreadable
            | AttemptOutcome::InvalidRequest => FailureEvidence::None,
        }
    }

    pub(crate) fn strong_if(condition: bool) -> Self {
        if condition {
            FailureEvidence::Strong
        } else {
            FailureEvidence::None
        }
    }
}

/// Health of one endpoint.
#[derive(Default)]
pub(crate) struct EndpointHealth {
    consecutive_failures: f64,
    /// Fraction of recent attempts that were rejected or failed.
    failure_ratio: f64,
    /// Earliest time of the next recovery probe; `None` if the endpoint is not ejected.
    ejected_until: Option<Nanos>,
    /// Whether a request may serve as recovery probe: a health check has succeeded since the
    /// ejection, or health checks are not supported.
    may_probe_with_request: bool,
    backoff: Nanos,
}

/// Stored form of an endpoint's health in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StoredHealth {
    pub(crate) consecutive_failures: f64,
    pub(crate) failure_ratio: f64,
    pub(crate) ejected_until: Option<Nanos>,
    pub(crate) may_probe_with_request: bool,
    pub(crate) backoff: Nanos,
}

impl EndpointHealth {
    pub(crate) fn new() -> Self {
        EndpointHealth {
            backoff: MIN_BACKOFF,
            ..EndpointHealth::default()
        }
    }

    /// Records an answer and returns whether it readmits an ejected endpoint.
    #[must_use]
    pub(crate) fn record_success(&mut self) -> bool {
        self.consecutive_failures = 0.0;
        self.backoff = MIN_BACKOFF;
        self.ejected_until.take().is_some()
    }

    pub(crate) fn record_failure(&mut self, evidence: FailureEvidence) {
        self.consecutive_failures += evidence.weight();
    }

    /// Updates the failure ratio with an attempt.
    pub(crate) fn update_failure_ratio(&mut self, has_failed: bool) {
        self.failure_ratio += FAILURE_RATIO_GAIN * (f64::from(has_failed) - self.failure_ratio);
    }

    pub(crate) fn decay_failure_ratio(&mut self) {
        self.failure_ratio *= IDLE_DECAY;
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether a request may be sent to the endpoint; to an ejected one only as a recovery
    /// probe.
    pub(crate) fn accepts_request(&self, now: Nanos, may_be_probe: bool) -> bool {
        self.ejected_until
            .is_none_or(|until| self.may_probe_with_request && may_be_probe && now >= until)
    }

    /// Returns whether a health check is due.
    pub(crate) fn is_health_check_due(&self, now: Nanos) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.may_probe_with_request
    }

    /// Postpones the next health check until the one that was just sent has ended, by at most the
    /// maximum backoff.
    pub(crate) fn begin_health_check(&mut self, now: Nanos) {
        self.ejected_until = Some(now + MAX_BACKOFF);
    }

    /// Ends the backoff. After a successful health check a request may serve as recovery probe.
    pub(crate) fn end_health_check(&mut self, now: Nanos, is_success: bool) {
        self.ejected_until = Some(now);
        self.may_probe_with_request |= is_success;
    }

    /// Returns whether the endpoint is ejected or has a high failure ratio, regardless of its
    /// latency.
    pub(crate) fn is_unhealthy(&self) -> bool {
        self.is_ejected() || self.failure_ratio > MAX_HEALTHY_FAILURE_RATIO
    }

    pub(crate) fn to_stored(&self) -> StoredHealth {
        StoredHealth {
            consecutive_failures: self.consecutive_failures,
            failure_ratio: self.failure_ratio,
            ejected_until: self.ejected_until,
            may_probe_with_request: self.may_probe_with_request,
            backoff: self.backoff,
        }
    }

    /// Restores the health that another process stored. Its clock may have been ahead, so times and
    /// the backoff are limited to the maximum that this process could have set.
    pub(crate) fn from_stored(stored: StoredHealth, now: Nanos) -> Self {
        let latest = now.saturating_add(MAX_BACKOFF);
        EndpointHealth {
            consecutive_failures: stored.consecutive_failures,
            failure_ratio: stored.failure_ratio,
            ejected_until: stored.ejected_until.map(|until| until.min(latest)),
            may_probe_with_request: stored.may_probe_with_request,
            backoff: stored.backoff.clamp(MIN_BACKOFF, MAX_BACKOFF),
        }
    }

    #[cfg(test)]
    pub(crate) fn set_failure_ratio(&mut self, failure_ratio: f64) {
        self.failure_ratio = failure_ratio;
    }
}

/// State of outlier detection over all endpoints.
pub(crate) struct OutlierDetection {
    has_health_checks: bool,
    /// Fraction of recent attempts at all endpoints that were rejected or failed.
    failure_ratio: f64,
    /// Median of the caches' recent mean latencies, in nanoseconds.
    median_latency: f64,
    /// Whether ejection is ignored because most endpoints are unhealthy, which means that the
    /// cause is not a single endpoint.
    is_suspended: bool,
}

impl OutlierDetection {
    pub(crate) fn new(has_health_checks: bool) -> Self {
        OutlierDetection {
            has_health_checks,
            failure_ratio: 0.0,
            median_latency: f64::MAX / MAX_HEALTHY_LATENCY_FACTOR,
            is_suspended: false,
        }
    }

    /// Updates the failure ratio over all endpoints with an attempt; `failure` is its weight, 0 to
    /// 1.
    pub(crate) fn update_failure_ratio(&mut self, failure: f64) {
        self.failure_ratio += FAILURE_RATIO_GAIN * (failure - self.failure_ratio);
    }

    /// Returns whether the failure ratio over all endpoints is high.
    pub(crate) fn is_overall_failure_ratio_high(&self) -> bool {
        self.failure_ratio > MAX_HEALTHY_FAILURE_RATIO
    }

    pub(crate) fn is_suspended(&self) -> bool {
        self.is_suspended
    }

    /// Updates the median latency, and whether ejection is suspended, after a pass over all
    /// endpoints.
    pub(crate) fn update_totals(
        &mut self,
        median_latency: Option<f64>,
        unhealthy: usize,
        endpoints: usize,
    ) {
        self.median_latency = median_latency.unwrap_or(f64::MAX / MAX_HEALTHY_LATENCY_FACTOR);
        self.is_suspended = unhealthy as f64 > MAX_EJECTED_FRACTION * endpoints as f64;
    }

    /// Returns whether an endpoint has a low failure ratio and is not much slower than the others.
    pub(crate) fn is_healthy(&self, record: &EndpointRecord) -> bool {
        record.health.failure_ratio <= MAX_HEALTHY_FAILURE_RATIO
            && record.latency.recent() <= MAX_HEALTHY_LATENCY_FACTOR * self.median_latency
    }

    /// Returns the number of consecutive failures that ejects an endpoint: at the failure ratio
    /// over all endpoints, such a run is unlikely to be chance.
    pub(crate) fn ejection_threshold(&self) -> f64 {
        let ratio = self
            .failure_ratio
            .clamp(MIN_FAILURE_RATIO, MAX_FAILURE_RATIO);
        MIN_CONSECUTIVE_FAILURES.max(CHANCE_THRESHOLD.ln() / ratio.ln())
    }

    /// Ejects an endpoint if its consecutive failures plus its unanswered overdue attempts reach
    /// the threshold, unless its backoff is still running. Returns whether it was not ejected
    /// before.
    #[must_use]
    pub(crate) fn eject_if_due(
        &self,
        health: &mut EndpointHealth,
        unanswered_attempts: f64,
        threshold: f64,
        now: Nanos,
        random: &mut Random,
    ) -> bool {
        let spread = random.coarse_fraction();
        let is_backing_off = health.ejected_until.is_some_and(|until| now < until);
        if health.consecutive_failures + unanswered_attempts < threshold || is_backing_off {
            return false;
        }
        let is_new = !health.is_ejected();
        let factor = MIN_BACKOFF_FACTOR + BACKOFF_FACTOR_SPREAD * spread;
        health.may_probe_with_request = !self.has_health_checks;
        health.ejected_until = Some(now + (health.backoff as f64 * factor) as Nanos);
        health.backoff = (health.backoff * 2).min(MAX_BACKOFF);
        health.consecutive_failures = MIN_CONSECUTIVE_FAILURES - 1.0;
        is_new
    }

    pub(crate) fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    pub(crate) fn median_latency(&self) -> f64 {
        self.median_latency
    }

    pub(crate) fn restore(&mut self, failure_ratio: f64, median_latency: f64) {
        self.failure_ratio = failure_ratio;
        self.median_latency = median_latency;
    }

    #[cfg(test)]
    pub(crate) fn set_failure_ratio(&mut self, failure_ratio: f64) {
        self.failure_ratio = failure_ratio;
    }
}

/// Returns whether so many endpoints recently failed an attempt that a shared cause is likely.
pub(crate) fn is_fault_widespread<'a>(
    endpoints: impl ExactSizeIterator<Item = &'a EndpointRecord>,
) -> bool {
    let count = endpoints.len();
    let failing = endpoints
        .filter(|record| record.health.failure_ratio >= MIN_FAILING_RATIO)
        .count();
    failing as f64 >= WIDESPREAD_FRACTION * count as f64
}
