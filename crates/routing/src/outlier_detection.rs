//! Outlier detection: consecutive failures eject an endpoint; after a growing backoff a recovery
//! probe, a health check or a request, decides whether it is readmitted.

use crate::endpoints::EndpointRecord;
use crate::events::AttemptOutcome;
use crate::identifiers::Nanos;
use crate::random::Random;

/// The least number of consecutive failures that ejects an endpoint.
const MIN_CONSECUTIVE_FAILURES: f64 = 2.0;
/// As many failures in a row eject as come by chance less often than this.
const CHANCE_PROBABILITY: f64 = 0.05;
/// Bounds of the failure ratio that chance is computed from.
const MIN_FAILURE_RATIO: f64 = 0.01;
const MAX_FAILURE_RATIO: f64 = 0.99;
/// Weight of a new attempt in a failure ratio.
const FAILURE_RATIO_GAIN: f64 = 0.1;
/// An endpoint that fails more is not used for hedges and retries.
const MAX_HEALTHY_FAILURE_RATIO: f64 = 0.3;
/// Nor is one that is slower than the median endpoint by this factor.
const MAX_HEALTHY_LATENCY_FACTOR: f64 = 3.0;
/// Factor of an endpoint's failure ratio at each housekeeping: one that gets no requests recovers.
pub(crate) const IDLE_DECAY: f64 = 0.98;
/// The failure ratio of an endpoint that has failed an attempt in the last seconds.
const MIN_FAILING_RATIO: f64 = 0.05;
/// With this fraction of the endpoints failing the cause lies behind them all.
const FLEET_WIDE_FRACTION: f64 = 0.5;
/// With more of the fleet unhealthy, ejection says nothing. Half of it may be cut off with a zone.
const MAX_EJECTED_FRACTION: f64 = 0.75;
/// First wait before an ejected endpoint is probed, in nanoseconds; doubles each time.
pub(crate) const MIN_BACKOFF: Nanos = 1_000_000_000;
/// Longest such wait, in nanoseconds: about what a restart takes to be listed.
pub(crate) const MAX_BACKOFF: Nanos = 8_000_000_000;
/// The wait is spread by this factor at least ...
const MIN_BACKOFF_FACTOR: f64 = 0.75;
/// ... and by up to so much more.
const BACKOFF_FACTOR_SPREAD: f64 = 0.5;

/// What a failed attempt counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FailureEvidence {
    /// The attempt says nothing against its endpoint.
    None,
    /// An error answer, which may be the origin's doing.
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

    /// The evidence of an outcome alone: none for timeouts and cancellations, which depend on
    /// whether the endpoint was silent, nor for what would suit no other endpoint either.
    pub(crate) fn of(outcome: AttemptOutcome) -> Self {
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

/// The health of one endpoint.
#[derive(Default)]
pub(crate) struct EndpointHealth {
    consecutive_failures: f64,
    /// Fraction of recent attempts that were rejected or failed.
    failure_ratio: f64,
    /// Ejected at least until then; a recovery probe is due after.
    ejected_until: Option<Nanos>,
    /// A health check has succeeded since, or none may be sent: a request may be the probe.
    may_probe_with_request: bool,
    backoff: Nanos,
}

/// An endpoint's health as it is stored in a snapshot.
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

    /// Counts an answer. Returns whether it readmits an ejected endpoint.
    #[must_use]
    pub(crate) fn record_success(&mut self) -> bool {
        self.consecutive_failures = 0.0;
        self.backoff = MIN_BACKOFF;
        self.ejected_until.take().is_some()
    }

    pub(crate) fn record_failure(&mut self, evidence: FailureEvidence) {
        self.consecutive_failures += evidence.weight();
    }

    /// Counts an attempt in the failure ratio.
    pub(crate) fn update_failure_ratio(&mut self, has_failed: bool) {
        self.failure_ratio += FAILURE_RATIO_GAIN * (f64::from(has_failed) - self.failure_ratio);
    }

    pub(crate) fn decay_failure_ratio(&mut self) {
        self.failure_ratio *= IDLE_DECAY;
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether a request may go to the endpoint, if it is ejected only as a recovery probe.
    pub(crate) fn accepts_request(&self, now: Nanos, may_be_probe: bool) -> bool {
        self.ejected_until
            .is_none_or(|until| self.may_probe_with_request && may_be_probe && now >= until)
    }

    /// Whether a health check is due.
    pub(crate) fn is_health_check_due(&self, now: Nanos) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.may_probe_with_request
    }

    /// A health check has been sent; until it ends, no other is due.
    pub(crate) fn begin_health_check(&mut self, now: Nanos) {
        self.ejected_until = Some(now + MAX_BACKOFF);
    }

    /// The wait is over; after a successful health check a request may be the probe.
    pub(crate) fn end_health_check(&mut self, now: Nanos, is_success: bool) {
        self.ejected_until = Some(now);
        self.may_probe_with_request |= is_success;
    }

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

    /// The health that another process has stored. Its clock may have been ahead: no time goes
    /// further than one of this process could.
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

/// Outlier detection over all endpoints.
pub(crate) struct OutlierDetection {
    has_health_checks: bool,
    /// Fraction of recent attempts, at any endpoint, that were rejected or failed.
    failure_ratio: f64,
    /// The median of the endpoints' recent mean latencies, in nanoseconds.
    median_latency: f64,
    /// Most of the fleet is unhealthy: the fault lies elsewhere, and ejection is ignored.
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

    /// Counts an attempt in the fleet's failure ratio; a failure counts from 0 to 1.
    pub(crate) fn update_failure_ratio(&mut self, failure: f64) {
        self.failure_ratio += FAILURE_RATIO_GAIN * (failure - self.failure_ratio);
    }

    /// Whether endpoints anywhere reject or fail much.
    pub(crate) fn is_fleet_failing(&self) -> bool {
        self.failure_ratio > MAX_HEALTHY_FAILURE_RATIO
    }

    pub(crate) fn is_suspended(&self) -> bool {
        self.is_suspended
    }

    /// Takes over what one pass over the endpoints has gathered.
    pub(crate) fn update_fleet(
        &mut self,
        median_latency: Option<f64>,
        unhealthy: usize,
        endpoints: usize,
    ) {
        self.median_latency = median_latency.unwrap_or(f64::MAX / MAX_HEALTHY_LATENCY_FACTOR);
        self.is_suspended = unhealthy as f64 > MAX_EJECTED_FRACTION * endpoints as f64;
    }

    /// Whether an endpoint fails little and is not far slower than the others.
    pub(crate) fn is_healthy(&self, record: &EndpointRecord) -> bool {
        record.health.failure_ratio <= MAX_HEALTHY_FAILURE_RATIO
            && record.latency.recent() <= MAX_HEALTHY_LATENCY_FACTOR * self.median_latency
    }

    /// How many failures in a row are seldom chance, by the fleet's failure ratio.
    pub(crate) fn ejection_threshold(&self) -> f64 {
        let ratio = self
            .failure_ratio
            .clamp(MIN_FAILURE_RATIO, MAX_FAILURE_RATIO);
        MIN_CONSECUTIVE_FAILURES.max(CHANCE_PROBABILITY.ln() / ratio.ln())
    }

    /// Ejects an endpoint whose failures reach the threshold, together with attempts that are
    /// overdue in silence, unless it is waiting already. Returns whether it was not ejected before.
    #[must_use]
    pub(crate) fn eject_if_due(
        &self,
        health: &mut EndpointHealth,
        silent_attempts: f64,
        threshold: f64,
        now: Nanos,
        random: &mut Random,
    ) -> bool {
        let spread = random.coarse_fraction();
        let is_waiting = health.ejected_until.is_some_and(|until| now < until);
        if health.consecutive_failures + silent_attempts < threshold || is_waiting {
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

/// Whether so many endpoints failed an attempt lately that it is not their own doing.
pub(crate) fn is_fault_fleet_wide<'a>(
    endpoints: impl ExactSizeIterator<Item = &'a EndpointRecord>,
) -> bool {
    let count = endpoints.len();
    let failing = endpoints
        .filter(|record| record.health.failure_ratio >= MIN_FAILING_RATIO)
        .count();
    failing as f64 >= FLEET_WIDE_FRACTION * count as f64
}
