//! The values with which logs and counters explain a decision.

use crate::actions::{DecisionReason, Explanation};
use crate::endpoints::EndpointRecord;
use crate::identifiers::Nanos;
use crate::origin_protection::OriginProtection;

/// Returns a reason with the values of the request's first candidate; if the reason concerns the
/// origin, the latencies are those of fetches.
pub(crate) fn explain(
    reason: DecisionReason,
    first_candidate: Option<&EndpointRecord>,
    origin: &OriginProtection,
) -> Explanation {
    let is_about_origin = matches!(
        reason,
        DecisionReason::OriginProtection | DecisionReason::OriginOverload
    );
    let latency = first_candidate
        .filter(|_| !is_about_origin)
        .map_or(origin.fetch_latency(), |record| &record.latency);
    Explanation {
        reason,
        in_flight: first_candidate.map_or(0, |record| record.in_flight.len()),
        limit: first_candidate.map_or(0.0, |record| record.limit.value()),
        origin_admitted_fraction: origin.admitted_fraction(),
        baseline_latency: latency.baseline() as Nanos,
        recent_latency: latency.recent() as Nanos,
    }
}
