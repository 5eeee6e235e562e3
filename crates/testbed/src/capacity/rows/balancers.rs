//! Rows of the balancers: data path, control plane and delegates.

use super::{Context, Derived, MB, SLOT_TABLE_BYTES};
use crate::capacity::{CapacityRow, MechanismState};
use crate::slopes::UnknownSlope;

impl Context<'_> {
    pub(super) fn data_path(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (today, plan) = (self.plan.today, self.plan.plan);
        let role = "data path";
        // A zone of the largest region is gone: its other half takes all of that region's requests.
        let doubled = Derived {
            requests: 2.0 * self.planned.requests,
            ..Derived::new(plan)
        };
        let regional = plan.caches / plan.regions;
        Ok(vec![
            CapacityRow {
                role,
                what: "decisions, % of a core".into(),
                today: Some(self.core_of_decisions(&self.today)?),
                plan: self.core_of_decisions(&self.planned)?,
                worst: self.core_of_decisions(&doubled)?,
                budget: None,
                source: self.source("decision_request", plan.caches)?,
                mechanism: "table of candidates mended in place",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                what: "one cache comes or goes, ms of a core".into(),
                today: Some(self.at("decision_change", today.caches)?),
                plan: self.at("decision_change", plan.caches)?,
                worst: self.at("decision_whole_list", plan.caches)?,
                budget: None,
                source: self.source("decision_change", plan.caches)?,
                mechanism: "table of candidates mended in place",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                what: "table of candidates, MB".into(),
                today: Some(SLOT_TABLE_BYTES / MB),
                plan: SLOT_TABLE_BYTES / MB,
                worst: SLOT_TABLE_BYTES / MB,
                budget: None,
                source: "counted: 10 bytes for each of 65,536 slots".into(),
                mechanism: "table of candidates mended in place",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                what: "handshakes with caches, a second, all caches seen".into(),
                today: Some(self.today.handshakes(today.caches)),
                plan: self.planned.handshakes(plan.caches),
                worst: doubled.handshakes(plan.caches),
                budget: Some(
                    self.plan.assumed.cache_handshakes_per_s * plan.caches / plan.balancers,
                ),
                source: "assumed: keys spread evenly; `IDLE_CONNECTIONS`, `IDLE_LEAST`".into(),
                mechanism: "caches of the own region only",
                state: MechanismState::Missing,
            },
            CapacityRow {
                role,
                what: "the same, only its region's caches seen".into(),
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
        ])
    }

    pub(super) fn control(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (today, plan, budget) = (
            self.plan.today.balancers,
            self.plan.plan.balancers,
            self.plan.budget,
        );
        let role = "control";
        let levels = "a view in two levels";
        let row = |what: &str, today, plan, worst, budget, source| CapacityRow {
            role,
            what: what.into(),
            today,
            plan,
            worst,
            budget: Some(budget),
            source,
            mechanism: levels,
            state: MechanismState::Built,
        };
        let memory = |kb: f64| kb / 1e3;
        Ok(vec![
            row(
                "processor time with sockets, % of a core",
                Some(self.at("one_region_cpu", today)?),
                self.at("hollow_cpu", plan)?,
                self.at("hollow_cpu", plan)? + self.at("zone_cpu_mean", plan)?,
                budget.control_core_percent,
                format!("{}, `zone_cpu_mean`", self.source("hollow_cpu", plan)?),
            ),
            row(
                "memory, MB",
                None,
                memory(self.at("regions_memory", plan)?),
                memory(self.at("regions_memory", plan)?),
                budget.control_memory_mb,
                self.source("regions_memory", plan)?,
            ),
            row(
                "bytes sent, a second; worst: who sends most, ten seconds from a zone's loss",
                Some(self.at("one_region_bytes", today)?),
                self.at("regions_bytes", plan)?,
                self.at("zone_bytes", plan)?,
                budget.control_bytes_per_s,
                format!("{}, `zone_bytes`", self.source("regions_bytes", plan)?),
            ),
            CapacityRow {
                state: MechanismState::Part,
                ..row(
                    "bytes sent, a second, by who returns, in its first ten seconds",
                    None,
                    self.at("returning_bytes", plan)?,
                    self.at("returning_bytes", plan)?,
                    budget.control_bytes_per_s,
                    self.source("returning_bytes", plan)?,
                )
            },
            row(
                "bytes sent, a second, a tenth of all datagrams lost",
                None,
                self.at("regions_lossy_bytes", plan)?,
                self.at("regions_lossy_bytes", plan)?,
                budget.control_bytes_per_s,
                self.source("regions_lossy_bytes", plan)?,
            ),
            row(
                "a death known in its region, s",
                None,
                self.at("death_region", plan)?,
                self.at("death_region", plan)?,
                budget.death_in_region_s,
                self.source("death_region", plan)?,
            ),
            row(
                "a death's change of the summary known everywhere, s; worst: a zone's loss",
                None,
                self.at("death_settled", plan)?,
                self.at("zone_settled", plan)?,
                budget.summary_everywhere_s,
                format!("{}, `zone_settled`", self.source("death_settled", plan)?),
            ),
            row(
                "a region heard again, all views true, s",
                None,
                self.at("healed_settled", plan)?,
                self.at("healed_settled", plan)?,
                budget.healed_s,
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
                what: "bytes sent, a second".into(),
                today: None,
                plan: self.at("regions_bytes_delegates", plan)?,
                worst: self.at("zone_bytes", plan)?,
                budget: Some(self.plan.budget.control_bytes_per_s),
                source: self.source("regions_bytes_delegates", plan)?,
                mechanism: "three of each region exchange summaries",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                what: "entries held by who holds most: members, regions, announcements".into(),
                today: None,
                plan: self.at("regions_entries", plan)?,
                worst: self.at("regions_entries", plan)?,
                budget: None,
                source: self.source("regions_entries", plan)?,
                mechanism: "three of each region exchange summaries",
                state: MechanismState::Built,
            },
        ])
    }
}
