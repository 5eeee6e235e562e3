//! How many balancers share the endpoints, and how limits follow from it.

/// The number of balancers, this one included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetSize {
    balancers: usize,
    square_root: f64,
}

impl FleetSize {
    /// A fleet of this many balancers; at least one, as this one counts.
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

    /// The square root of the number: what is divided by it lets each balancer use more than its
    /// even share at times, as independent loads seldom peak together.
    pub(crate) fn square_root(self) -> f64 {
        self.square_root
    }
}
