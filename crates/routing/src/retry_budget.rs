//! Budget for retries, so that retries do not multiply the load that causes failures.

use crate::attempt_budget::AttemptBudget;
use crate::fleet_size::FleetSize;

/// Retries allowed per request, in addition to the burst.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Burst of retries over all balancers; sufficient for the attempts that fail when an endpoint
/// crashes.
pub(crate) const RETRY_BURST: f64 = 8.0;

/// Creates a full budget for retries.
pub(crate) fn new(fleet: FleetSize) -> AttemptBudget {
    AttemptBudget::new(RETRIES_PER_REQUEST, RETRY_BURST, fleet)
}
