//! The rows of the page: how each figure follows from the plan and the slopes.

mod balancers;
mod caches;
mod control_machines;

use super::{CapacityPlan, CapacityRow, FleetSize};
use crate::slopes::{Slopes, UnknownSlope};

/// The roles, in the order of the page.
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

/// Connections that stay open at a cache over all balancers, and for how long each
/// (`IDLE_CONNECTIONS`, `IDLE_LEAST` of the decision module).
const IDLE_CONNECTIONS: f64 = 60.0;
const IDLE_LEAST_S: f64 = 0.5;
/// Rounds of housekeeping of the decision module a second.
const HOUSEKEEPING_PER_S: f64 = 10.0;
/// The table of candidates: ten bytes for each of 65,536 slots.
const SLOT_TABLE_BYTES: f64 = 655_360.0;
const DAY_S: f64 = 86_400.0;
const MB: f64 = 1e6;

/// Figures of one size that several rows need.
struct Derived {
    size: FleetSize,
    /// Requests a second of one balancer.
    requests: f64,
}

impl Derived {
    fn new(size: FleetSize) -> Self {
        Derived {
            size,
            requests: size.requests_per_s / size.balancers,
        }
    }

    /// Handshakes with caches a second of one balancer that sends to so many: those that find no
    /// connection left open.
    fn handshakes(&self, caches: f64) -> f64 {
        let each = self.requests / caches;
        let kept = (IDLE_CONNECTIONS * caches / self.size.balancers).min(caches);
        let stays_open = 1.0 - (-each * IDLE_LEAST_S).exp();
        let share_kept = (kept / caches).max(stays_open);
        self.requests * (1.0 - share_kept)
    }
}

/// All rows.
pub(super) fn all(plan: &CapacityPlan, slopes: &Slopes) -> Result<Vec<CapacityRow>, UnknownSlope> {
    let context = Context {
        plan,
        slopes,
        today: Derived::new(plan.today),
        planned: Derived::new(plan.plan),
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
    today: Derived,
    planned: Derived,
}

impl Context<'_> {
    fn at(&self, name: &str, size: f64) -> Result<f64, UnknownSlope> {
        Ok(self.slopes.find(name)?.at(size))
    }

    /// Where a figure comes from: the slope, and whether the size lies beyond what was measured.
    fn source(&self, name: &str, size: f64) -> Result<String, UnknownSlope> {
        let (_, most) = self.slopes.find(name)?.range();
        let beyond = if size > most {
            format!(", measured up to {most}")
        } else {
            String::new()
        };
        Ok(format!("`{name}`{beyond}"))
    }

    fn core_of_decisions(&self, of: &Derived) -> Result<f64, UnknownSlope> {
        let caches = of.size.caches;
        let requests = of.requests * self.at("decision_request", caches)? / 1e6;
        let rounds = HOUSEKEEPING_PER_S * self.at("decision_housekeeping", caches)? / 1e3;
        Ok((requests + rounds) * 100.0)
    }
}
