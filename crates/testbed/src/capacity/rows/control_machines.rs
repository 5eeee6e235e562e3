//! Rows of discovery, configuration and the control machines.

use super::{Context, DAY_S};
use crate::capacity::{CapacityRow, MechanismState};
use crate::slopes::UnknownSlope;

impl Context<'_> {
    pub(super) fn discovery(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (today, plan, assumed) = (self.plan.today, self.plan.plan, self.plan.assumed);
        let role = "discovery";
        let list = |caches: f64| self.slope_value("list_bytes", caches);
        let per_s = assumed.cache_changes_per_day / DAY_S;
        let egress = self.plan.budget.control_machines * assumed.machine_egress_bytes_per_s;
        Ok(vec![
            CapacityRow {
                role,
                quantity: "a whole list, bytes".into(),
                today: Some(list(today.caches)?),
                plan: list(plan.caches)?,
                worst: list(plan.caches)?,
                budget: None,
                source: self.source("list_bytes", plan.caches)?,
                mechanism: "watches that tell changes alone",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                quantity: "whole lists at each change, bytes a second to all; worst: all call anew within 1 s"
                    .into(),
                today: Some(list(today.caches)? * today.balancers * per_s),
                plan: list(plan.caches)? * plan.balancers * per_s,
                worst: list(plan.caches)? * plan.balancers,
                budget: Some(egress),
                source: "`list_bytes`; assumed: changes a day, what a machine sends".into(),
                mechanism: "changes alone; calls anew spread over 0.3 s to 5 s",
                state: MechanismState::Part,
            },
        ])
    }

    pub(super) fn configuration(&self) -> Vec<CapacityRow> {
        let (plan, demand, assumed) = (self.plan.plan, self.plan.demand, self.plan.assumed);
        let role = "configuration";
        let egress = self.plan.budget.control_machines * assumed.machine_egress_bytes_per_s;
        let bytes = assumed.config_bytes * plan.balancers;
        let cut = demand.config_changes_per_day / DAY_S * demand.region_cut_minutes * 60.0;
        vec![
            CapacityRow {
                role,
                quantity: "deliveries a second; worst: one change within its time".into(),
                today: None,
                plan: demand.config_changes_per_day / DAY_S * plan.balancers,
                worst: plan.balancers / demand.config_within_s,
                budget: Some(self.plan.budget.control_machines * assumed.machine_calls_per_s),
                source: "plan; assumed: calls that a machine answers".into(),
                mechanism: "versions from one place to all, as a payload between regions",
                state: MechanismState::Missing,
            },
            CapacityRow {
                role,
                quantity: "bytes a second; worst: one whole configuration to all within its time"
                    .into(),
                today: None,
                plan: demand.config_changes_per_day / DAY_S * bytes,
                worst: bytes / demand.config_within_s,
                budget: Some(egress),
                source: "plan; assumed: bytes of a configuration".into(),
                mechanism: "versions from one place to all, as a payload between regions",
                state: MechanismState::Missing,
            },
            CapacityRow {
                role,
                quantity: "in force after a change, s; today at the next start only".into(),
                today: Some(DAY_S),
                plan: DAY_S,
                worst: DAY_S,
                budget: Some(demand.config_within_s),
                source: "counted: `settings` are heeded at the next start, assumed one a day"
                    .into(),
                mechanism: "settings that apply live",
                state: MechanismState::Missing,
            },
            CapacityRow {
                role,
                quantity: "changes that a region cut off has missed when it is back".into(),
                today: None,
                plan: 0.0,
                worst: cut,
                budget: None,
                source: "plan".into(),
                mechanism: "the last version alone is told",
                state: MechanismState::Missing,
            },
        ]
    }

    pub(super) fn machines(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (plan, budget, assumed) = (self.plan.plan, self.plan.budget, self.plan.assumed);
        let role = "machines";
        let list = self.slope_value("list_bytes", plan.caches)?;
        let egress = assumed.machine_egress_bytes_per_s;
        // After a discovery outage all balancers fetch the full list within 5 s.
        let lists = list * plan.balancers / 5.0 / egress;
        let config =
            assumed.config_bytes * plan.balancers / self.plan.demand.config_within_s / egress;
        let purges = self.plan.demand.purges_per_s * plan.caches / assumed.machine_calls_per_s;
        let row = |quantity: &str, plan: f64, worst: f64, state| CapacityRow {
            role,
            quantity: quantity.into(),
            today: None,
            plan,
            worst,
            budget: Some(budget.control_machines),
            source: "assumed: what a machine sends and answers".into(),
            mechanism: "the machines set aside; any of them serves any balancer",
            state,
        };
        Ok(vec![
            row(
                "machines that lists take; worst: all call anew within 5 s",
                lists / 10.0,
                lists,
                MechanismState::Part,
            ),
            row(
                "machines that configuration takes; worst: one change to all",
                config / 10.0,
                config,
                MechanismState::Missing,
            ),
            row(
                "machines that purges to all caches take",
                purges,
                purges / 0.9,
                MechanismState::Missing,
            ),
            row(
                "machines that all of it takes together",
                (lists + config) / 10.0 + purges,
                lists + config + purges / 0.9,
                MechanismState::Missing,
            ),
        ])
    }
}
