//! A token budget for attempts beyond the first of each request.

use crate::fleet_size::FleetSize;

/// The burst of a balancer is at least this, however many share the endpoints: failures come a few
/// at a time.
const MIN_BURST: f64 = 3.0;

/// Gains a fraction of a token with each request and loses one with each attempt it pays for.
pub(crate) struct AttemptBudget {
    tokens: f64,
    tokens_per_request: f64,
    fleet_burst: f64,
}

impl AttemptBudget {
    /// A full budget. `fleet_burst` is what the balancers may save up together.
    pub(crate) fn new(tokens_per_request: f64, fleet_burst: f64, fleet: FleetSize) -> Self {
        AttemptBudget {
            tokens: fleet_burst / fleet.square_root(),
            tokens_per_request,
            fleet_burst,
        }
    }

    /// Credits one request.
    pub(crate) fn refill(&mut self, fleet: FleetSize) {
        let burst = (self.fleet_burst / fleet.square_root()).max(MIN_BURST);
        self.tokens = (self.tokens + self.tokens_per_request).min(burst);
    }

    pub(crate) fn is_exhausted(&self) -> bool {
        self.tokens < 1.0
    }

    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Gives half of the tokens to the process that takes over.
    pub(crate) fn halve(&mut self) {
        self.tokens /= 2.0;
    }

    /// Keeps no more than what another process has handed over.
    pub(crate) fn cap(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }

    #[cfg(test)]
    pub(crate) fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }
}
