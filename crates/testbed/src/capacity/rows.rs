//! Rows of the tables: the formulas that compute each value from the plan and the slopes.

mod balancers;
mod caches;
mod control_machines;

use super::{CapacityPlan, CapacityRow, FleetSize};
use crate::slopes::{Slopes, UnknownSlope};

/// Names of the roles, in the order of their tables.
pub(super) const ROLES: [&str; 8] = [
    "data path",
    "control",
    "delegates",
    "discovery",
    "configuration",
    "purges",
    "caches",
    "machines",
];

/// Number of idle connections that all balancers together keep open to one cache. Must equal
/// `MAX_IDLE_PER_ENDPOINT` in `routing::idle_connections`.
const MAX_IDLE_PER_CACHE: f64 = 60.0;
/// Minimum time that an idle connection stays open, in seconds. Must equal `MIN_IDLE_TIME` in
/// `routing::idle_connections`.
const MIN_IDLE_S: f64 = 0.5;
/// Housekeeping rounds of the decision engine per second.
const HOUSEKEEPING_PER_S: f64 = 10.0;
/// Size of the candidate table: 10 bytes for each of 65,536 slots.
const SLOT_TABLE_BYTES: f64 = 655_360.0;
const DAY_S: f64 = 86_400.0;
const MB: f64 = 1e6;

/// Values derived from a fleet size that several rows need.
struct DerivedLoad {
    size: FleetSize,
    /// Requests per second of one balancer.
    requests: f64,
}

impl DerivedLoad {
    fn new(size: FleetSize) -> Self {
        DerivedLoad {
            size,
            requests: size.requests_per_s / size.balancers,
        }
    }

    /// Returns the TCP handshakes per second of one balancer that sends to `caches` caches. A
    /// request needs a handshake if no idle connection to its cache is open.
    fn handshakes(&self, caches: f64) -> f64 {
        let requests_per_cache = self.requests / caches;
        let kept = (MAX_IDLE_PER_CACHE * caches / self.size.balancers).min(caches);
        let reused = 1.0 - (-requests_per_cache * MIN_IDLE_S).exp();
        let reused_share = (kept / caches).max(reused);
        self.requests * (1.0 - reused_share)
    }
}

/// Computes all rows.
pub(super) fn all(plan: &CapacityPlan, slopes: &Slopes) -> Result<Vec<CapacityRow>, UnknownSlope> {
    let context = Context {
        plan,
        slopes,
        today: DerivedLoad::new(plan.today),
        planned: DerivedLoad::new(plan.plan),
    };
    let mut rows = context.data_path()?;
    rows.extend(context.control()?);
    rows.extend(context.delegates()?);
    rows.extend(context.discovery()?);
    rows.extend(context.configuration());
    rows.extend(context.purges());
    rows.extend(context.caches());
    rows.extend(context.machines()?);
    Ok(rows)
}

struct Context<'a> {
    plan: &'a CapacityPlan,
    slopes: &'a Slopes,
    today: DerivedLoad,
    planned: DerivedLoad,
}

impl Context<'_> {
    fn slope_value(&self, name: &str, size: f64) -> Result<f64, UnknownSlope> {
        Ok(self.slopes.find(name)?.value_at(size))
    }

    /// Returns the name of a slope as the source of a value, followed by the largest measured size
    /// if `size` exceeds it.
    fn source(&self, name: &str, size: f64) -> Result<String, UnknownSlope> {
        let (_, max) = self.slopes.find(name)?.size_range();
        let extrapolation = if size > max {
            format!(", measured up to {max}")
        } else {
            String::new()
        };
        Ok(format!("`{name}`{extrapolation}"))
    }

    /// Returns the CPU time of the decision engine of one balancer, in percent of a core.
    fn decision_core_percent(&self, load: &DerivedLoad) -> Result<f64, UnknownSlope> {
        let caches = load.size.caches;
        let requests = load.requests * self.slope_value("decision_request", caches)? / 1e6;
        let rounds = HOUSEKEEPING_PER_S * self.slope_value("decision_housekeeping", caches)? / 1e3;
        Ok((requests + rounds) * 100.0)
    }
}
