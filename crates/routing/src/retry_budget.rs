//! The budget for retries, which keeps failures from feeding on themselves.

use crate::attempt_budget::AttemptBudget;
use crate::fleet_size::FleetSize;

/// Retries per request ...
const RETRIES_PER_REQUEST: f64 = 0.2;
/// ... beyond a burst that covers the crash of an endpoint.
pub(crate) const RETRY_BURST: f64 = 8.0;

/// A full budget for retries.
pub(crate) fn new(fleet: FleetSize) -> AttemptBudget {
    AttemptBudget::new(RETRIES_PER_REQUEST, RETRY_BURST, fleet)
}
