//! Size of the fleet: the number of balancers that share the endpoints. Limits and budgets of each
//! balancer are derived from it.

/// Number of balancers, including this one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetSize {
    balancers: usize,
    square_root: f64,
}

impl FleetSize {
    /// Creates a fleet of this many balancers; 0 counts as 1 because this balancer is included.
    pub(crate) fn new(balancers: usize) -> Self {
        let balancers = balancers.max(1);
        FleetSize {
            balancers,
            square_root: (balancers as f64).sqrt(),
        }
    }

    pub(crate) fn balancers(self) -> usize {
        self.balancers
    }

    /// Returns the square root of the number of balancers. A budget divided by it lets each
    /// balancer temporarily use more than its even share, because independent loads seldom peak
    /// together.
    pub(crate) fn square_root(self) -> f64 {
        self.square_root
    }
}
