//! Token budget for attempts beyond the first one of each request.

use crate::fleet_size::FleetSize;

/// Minimum burst of a balancer, regardless of the number of balancers: failures come a few at a
/// time.
const MIN_BURST: f64 = 3.0;

/// Budget that gains a fraction of a token with each request and loses one token with each attempt
/// that is charged to it.
pub(crate) struct AttemptBudget {
    tokens: f64,
    tokens_per_request: f64,
    fleet_burst: f64,
}

impl AttemptBudget {
    /// Creates a full budget. `fleet_burst` is the burst in tokens that is divided among the
    /// balancers of the fleet.
    pub(crate) fn new(tokens_per_request: f64, fleet_burst: f64, fleet: FleetSize) -> Self {
        AttemptBudget {
            tokens: fleet_burst / fleet.square_root(),
            tokens_per_request,
            fleet_burst,
        }
    }

    /// Adds the tokens of one request, up to the burst.
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

    /// Halves the tokens; the process that takes over gets the other half.
    pub(crate) fn halve(&mut self) {
        self.tokens /= 2.0;
    }

    /// Reduces the tokens to at most the number that another process handed over.
    pub(crate) fn limit_to(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }

    #[cfg(test)]
    pub(crate) fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }
}
