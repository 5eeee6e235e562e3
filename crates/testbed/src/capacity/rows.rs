//! The rows of the page: how each figure follows from the plan and the slopes.

use super::{CapacityPlan, CapacityRow, FleetSize, MechanismState};
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

    fn data_path(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
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

    fn control(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
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

    fn delegates(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
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

    fn discovery(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (today, plan, assumed) = (self.plan.today, self.plan.plan, self.plan.assumed);
        let role = "discovery";
        let list = |caches: f64| self.at("list_bytes", caches);
        let per_s = assumed.cache_changes_per_day / DAY_S;
        let egress = self.plan.budget.control_machines * assumed.machine_egress_bytes_per_s;
        Ok(vec![
            CapacityRow {
                role,
                what: "a whole list, bytes".into(),
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
                what: "whole lists at each change, bytes a second to all; worst: all call anew within 1 s"
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

    fn configuration(&self) -> Vec<CapacityRow> {
        let (plan, demand, assumed) = (self.plan.plan, self.plan.demand, self.plan.assumed);
        let role = "configuration";
        let egress = self.plan.budget.control_machines * assumed.machine_egress_bytes_per_s;
        let bytes = assumed.config_bytes * plan.balancers;
        let cut = demand.config_changes_per_day / DAY_S * demand.region_cut_minutes * 60.0;
        vec![
            CapacityRow {
                role,
                what: "deliveries a second; worst: one change within its time".into(),
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
                what: "bytes a second; worst: one whole configuration to all within its time"
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
                what: "in force after a change, s; today at the next start only".into(),
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
                what: "changes that a region cut off has missed when it is back".into(),
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

    fn purges(&self) -> Vec<CapacityRow> {
        let (plan, demand, assumed) = (self.plan.plan, self.plan.demand, self.plan.assumed);
        let role = "purges";
        let to_all = demand.purges_per_s * plan.caches;
        let to_replicas = demand.purges_per_s * demand.replicas_a_region * plan.regions;
        let backlog = demand.purges_per_s * demand.region_cut_minutes * 60.0;
        let calls = self.plan.budget.control_machines * assumed.machine_calls_per_s;
        let missing = |what: &str, plan: f64, worst: f64, budget, source: &str| CapacityRow {
            role,
            what: what.into(),
            today: None,
            plan,
            worst,
            budget,
            source: source.into(),
            mechanism: "a numbered stream of purges a region, gaps asked for again",
            state: MechanismState::Missing,
        };
        vec![
            missing(
                "deliveries a second to all caches; worst: a tenth lost and sent again",
                to_all,
                to_all / 0.9,
                Some(calls),
                "plan; assumed: calls that a machine answers",
            ),
            missing(
                "deliveries a second to the replicas of each region",
                to_replicas,
                to_replicas / 0.9,
                Some(calls),
                "plan; assumed: calls that a machine answers",
            ),
            missing(
                "bytes a second at one balancer, if all purges pass through each",
                demand.purges_per_s * assumed.purge_bytes,
                demand.purges_per_s * assumed.purge_bytes / 0.9,
                Some(self.plan.budget.control_bytes_per_s),
                "plan; assumed: bytes of a purge",
            ),
            missing(
                "purges that a region cut off has missed when it is back",
                0.0,
                backlog,
                None,
                "plan",
            ),
            missing(
                "a second to catch up within the purge's time, at one region",
                demand.purges_per_s,
                backlog / demand.purge_within_s,
                Some(assumed.machine_calls_per_s),
                "plan; assumed: calls that a machine answers",
            ),
            missing(
                "a region back: until its purges are done, s of staleness",
                demand.purge_within_s,
                demand.region_cut_minutes * 60.0,
                Some(demand.purge_within_s),
                "plan: what is cut off can't be purged; reads there have to be refused or bounded by age",
            ),
        ]
    }

    fn caches(&self) -> Vec<CapacityRow> {
        let (today, plan, assumed) = (self.plan.today, self.plan.plan, self.plan.assumed);
        let role = "caches";
        let handshakes =
            |of: &Derived| of.handshakes(of.size.caches) * of.size.balancers / of.size.caches;
        let in_flight =
            |of: &Derived| of.size.requests_per_s * assumed.answer_ms / 1e3 / of.size.caches;
        let open = |of: &Derived| in_flight(of) + IDLE_CONNECTIONS + handshakes(of) * IDLE_LEAST_S;
        let doubled = Derived {
            requests: 2.0 * self.planned.requests,
            ..Derived::new(plan)
        };
        vec![
            CapacityRow {
                role,
                what: "requests a second at one cache".into(),
                today: Some(today.requests_per_s / today.caches),
                plan: plan.requests_per_s / plan.caches,
                worst: 2.0 * plan.requests_per_s / plan.caches,
                budget: None,
                source: "plan; worst: a region's caches with twice their load".into(),
                mechanism: "limits by latency, refusals",
                state: MechanismState::Built,
            },
            CapacityRow {
                role,
                what: "handshakes a second at one cache".into(),
                today: Some(handshakes(&self.today)),
                plan: handshakes(&self.planned),
                worst: handshakes(&doubled),
                budget: Some(assumed.cache_handshakes_per_s),
                source: "assumed: keys spread evenly, handshakes that a cache bears".into(),
                mechanism: "caches of the own region only",
                state: MechanismState::Missing,
            },
            CapacityRow {
                role,
                what: "connections open at one cache".into(),
                today: Some(open(&self.today)),
                plan: open(&self.planned),
                worst: open(&doubled),
                budget: Some(assumed.cache_connections),
                source: "assumed: answers after 8 ms, connections that a cache bears".into(),
                mechanism: "idle connections closed by share",
                state: MechanismState::Built,
            },
        ]
    }

    fn machines(&self) -> Result<Vec<CapacityRow>, UnknownSlope> {
        let (plan, budget, assumed) = (self.plan.plan, self.plan.budget, self.plan.assumed);
        let role = "machines";
        let list = self.at("list_bytes", plan.caches)?;
        let egress = assumed.machine_egress_bytes_per_s;
        // All call anew within five seconds, as they do after an outage.
        let lists = list * plan.balancers / 5.0 / egress;
        let config =
            assumed.config_bytes * plan.balancers / self.plan.demand.config_within_s / egress;
        let purges = self.plan.demand.purges_per_s * plan.caches / assumed.machine_calls_per_s;
        let row = |what: &str, plan: f64, worst: f64, state| CapacityRow {
            role,
            what: what.into(),
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
