//! Rows of the balancers: data path, control plane and delegates.

use super::{Context, DerivedLoad, MB, SLOT_TABLE_BYTES};
use crate::capacity::{CapacityRow, MechanismState};
use crate::slopes::UnknownSlope;

/// Values of a row of the control plane.
struct ControlValues {
    today: Option<f64>,
    plan: f64,
    worst: f64,
    budget: f64,
}

fn control_row(quantity: &str, values: &ControlValues, source: String) -> CapacityRow {
    CapacityRow {
        role: "control",
        quantity: quantity.into(),
        today: values.today,
        plan: values.plan,
        worst: values.worst,
        budget: Some(values.budget),
        source,
        mechanism: "a view in two levels",
        state: MechanismState::Built,
    }
}

impl Context<'_> {
    pub(super) fn data_path(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        // Worst case: a zone of the largest region fails, and the other half of the region's
        // balancers receives all its requests.
        let doubled = DerivedLoad {
            requests: 2.0 * self.planned.requests,
            ..DerivedLoad::new(self.plan.plan)
        };
        let mut rows = self.decisions(&doubled)?;
        rows.extend(self.handshakes(&doubled));
        Ok(rows)
    }

    /// Computes the rows for the decision engine of a balancer.
    fn decisions(&self, doubled: &DerivedLoad) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (today, plan) = (self.plan.today, self.plan.plan);
        let role = "data path";
        Ok(vec![
            CapacityRow {
                role,
                quantity: "decisions, % of a core".into(),
                today: Some(self.decision_core_percent(&self.today)?),
                plan: self.decision_core_percent(&self.planned)?,
                worst: self.decision_core_percent(doubled)?,
                budget: None,
                source: self.source("decision_request", plan.caches)?,
                mechanism: "table of candidates mended in place",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                quantity: "one cache comes or goes, ms of a core".into(),
                today: Some(self.slope_value("decision_change", today.caches)?),
                plan: self.slope_value("decision_change", plan.caches)?,
                worst: self.slope_value("decision_whole_list", plan.caches)?,
                budget: None,
                source: self.source("decision_change", plan.caches)?,
                mechanism: "table of candidates mended in place",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                quantity: "table of candidates, MB".into(),
                today: Some(SLOT_TABLE_BYTES / MB),
                plan: SLOT_TABLE_BYTES / MB,
                worst: SLOT_TABLE_BYTES / MB,
                budget: None,
                source: "counted: 10 bytes for each of 65,536 slots".into(),
                mechanism: "table of candidates mended in place",
                state: MechanismState::Built,
            },
        ])
    }

    /// Computes the rows for the handshakes of a balancer with caches.
    fn handshakes(&self, doubled: &DerivedLoad) -> Vec<CapacityRow> {
        let (today, plan) = (self.plan.today, self.plan.plan);
        let role = "data path";
        let regional = plan.caches / plan.regions;
        vec![
            CapacityRow {
                role,
                quantity: "handshakes with caches, a second, all caches seen".into(),
                today: Some(self.today.handshakes(today.caches)),
                plan: self.planned.handshakes(plan.caches),
                worst: doubled.handshakes(plan.caches),
                budget: Some(
                    self.plan.assumed.cache_handshakes_per_s * plan.caches / plan.balancers,
                ),
                source: "assumed: keys spread evenly; `MAX_IDLE_PER_ENDPOINT`, `MIN_IDLE_TIME`"
                    .into(),
                mechanism: "caches of the own region only",
                state: MechanismState::Missing,
            },
            CapacityRow {
                role,
                quantity: "the same, only its region's caches seen".into(),
                today: None,
                plan: self.planned.handshakes(regional),
                worst: doubled.handshakes(regional),
                budget: Some(
                    self.plan.assumed.cache_handshakes_per_s * plan.caches / plan.balancers,
                ),
                source: "assumed: keys spread evenly".into(),
                mechanism: "a list of its region's caches alone, by discovery",
                state: MechanismState::Part,
            },
        ]
    }

    pub(super) fn control(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let mut rows = self.control_costs()?;
        rows.extend(self.control_times()?);
        Ok(rows)
    }

    /// Computes the rows for CPU time, memory and traffic of membership at a balancer.
    fn control_costs(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (today, plan) = (self.plan.today.balancers, self.plan.plan.balancers);
        let budget = self.plan.budget;
        let memory = |kb: f64| kb / 1e3;
        Ok(vec![
            control_row(
                "processor time with sockets, % of a core",
                &ControlValues {
                    today: Some(self.slope_value("one_region_cpu", today)?),
                    plan: self.slope_value("hollow_cpu", plan)?,
                    worst: self.slope_value("hollow_cpu", plan)?
                        + self.slope_value("zone_cpu_mean", plan)?,
                    budget: budget.control_core_percent,
                },
                format!("{}, `zone_cpu_mean`", self.source("hollow_cpu", plan)?),
            ),
            control_row(
                "memory, MB",
                &ControlValues {
                    today: None,
                    plan: memory(self.slope_value("regions_memory", plan)?),
                    worst: memory(self.slope_value("regions_memory", plan)?),
                    budget: budget.control_memory_mb,
                },
                self.source("regions_memory", plan)?,
            ),
            control_row(
                "bytes sent, a second; worst: who sends most, ten seconds from a zone's loss",
                &ControlValues {
                    today: Some(self.slope_value("one_region_bytes", today)?),
                    plan: self.slope_value("regions_bytes", plan)?,
                    worst: self.slope_value("zone_bytes", plan)?,
                    budget: budget.control_bytes_per_s,
                },
                format!("{}, `zone_bytes`", self.source("regions_bytes", plan)?),
            ),
            CapacityRow {
                state: MechanismState::Part,
                ..control_row(
                    "bytes sent, a second, by who returns, in its first ten seconds",
                    &ControlValues {
                        today: None,
                        plan: self.slope_value("returning_bytes", plan)?,
                        worst: self.slope_value("returning_bytes", plan)?,
                        budget: budget.control_bytes_per_s,
                    },
                    self.source("returning_bytes", plan)?,
                )
            },
            control_row(
                "bytes sent, a second, a tenth of all datagrams lost",
                &ControlValues {
                    today: None,
                    plan: self.slope_value("regions_lossy_bytes", plan)?,
                    worst: self.slope_value("regions_lossy_bytes", plan)?,
                    budget: budget.control_bytes_per_s,
                },
                self.source("regions_lossy_bytes", plan)?,
            ),
        ])
    }

    /// Computes the rows for the time until members detect a change.
    fn control_times(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (plan, budget) = (self.plan.plan.balancers, self.plan.budget);
        Ok(vec![
            control_row(
                "a death known in its region, s",
                &ControlValues {
                    today: None,
                    plan: self.slope_value("death_region", plan)?,
                    worst: self.slope_value("death_region", plan)?,
                    budget: budget.death_in_region_s,
                },
                self.source("death_region", plan)?,
            ),
            control_row(
                "a death's change of the summary known everywhere, s; worst: a zone's loss",
                &ControlValues {
                    today: None,
                    plan: self.slope_value("death_settled", plan)?,
                    worst: self.slope_value("zone_settled", plan)?,
                    budget: budget.summary_everywhere_s,
                },
                format!("{}, `zone_settled`", self.source("death_settled", plan)?),
            ),
            control_row(
                "a region heard again, all views true, s",
                &ControlValues {
                    today: None,
                    plan: self.slope_value("healed_settled", plan)?,
                    worst: self.slope_value("healed_settled", plan)?,
                    budget: budget.healed_s,
                },
                self.source("healed_settled", plan)?,
            ),
        ])
    }

    pub(super) fn delegates(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let plan = self.plan.plan.balancers;
        let role = "delegates";
        Ok(vec![
            CapacityRow {
                role,
                quantity: "bytes sent, a second".into(),
                today: None,
                plan: self.slope_value("regions_bytes_delegates", plan)?,
                worst: self.slope_value("zone_bytes", plan)?,
                budget: Some(self.plan.budget.control_bytes_per_s),
                source: self.source("regions_bytes_delegates", plan)?,
                mechanism: "three of each region exchange summaries",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                quantity: "entries held by who holds most: members, regions, announcements".into(),
                today: None,
                plan: self.slope_value("regions_entries", plan)?,
                worst: self.slope_value("regions_entries", plan)?,
                budget: None,
                source: self.source("regions_entries", plan)?,
                mechanism: "three of each region exchange summaries",
                state: MechanismState::Built,
            },
        ])
    }
}
