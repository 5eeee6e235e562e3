//! Rows of the caches and of purges.

use super::{Context, DerivedLoad, MAX_IDLE_PER_CACHE, MIN_IDLE_S};
use crate::capacity::{CapacityRow, MechanismState};

fn purge_row(
    quantity: &str,
    plan: f64,
    worst: f64,
    budget: Option<f64>,
    source: &str,
) -> CapacityRow {
    CapacityRow {
        role: "purges",
        quantity: quantity.into(),
        today: None,
        plan,
        worst,
        budget,
        source: source.into(),
        mechanism: "a numbered stream of purges a region, gaps asked for again",
        state: MechanismState::Missing,
    }
}

impl Context<'_> {
    pub(super) fn purges(&self) -> Vec<CapacityRow> {
        let (plan, demand, assumed) = (self.plan.plan, self.plan.demand, self.plan.assumed);
        let to_all = demand.purges_per_s * plan.caches;
        let to_replicas = demand.purges_per_s * demand.replicas_a_region * plan.regions;
        let backlog = demand.purges_per_s * demand.region_cut_minutes * 60.0;
        let calls = self.plan.budget.control_machines * assumed.machine_calls_per_s;
        vec![
            purge_row(
                "deliveries a second to all caches; worst: a tenth lost and sent again",
                to_all,
                to_all / 0.9,
                Some(calls),
                "plan; assumed: calls that a machine answers",
            ),
            purge_row(
                "deliveries a second to the replicas of each region",
                to_replicas,
                to_replicas / 0.9,
                Some(calls),
                "plan; assumed: calls that a machine answers",
            ),
            purge_row(
                "bytes a second at one balancer, if all purges pass through each",
                demand.purges_per_s * assumed.purge_bytes,
                demand.purges_per_s * assumed.purge_bytes / 0.9,
                Some(self.plan.budget.control_bytes_per_s),
                "plan; assumed: bytes of a purge",
            ),
            purge_row(
                "purges that a region cut off has missed when it is back",
                0.0,
                backlog,
                None,
                "plan",
            ),
            purge_row(
                "a second to catch up within the purge's time, at one region",
                demand.purges_per_s,
                backlog / demand.purge_within_s,
                Some(assumed.machine_calls_per_s),
                "plan; assumed: calls that a machine answers",
            ),
            purge_row(
                "a region back: until its purges are done, s of staleness",
                demand.purge_within_s,
                demand.region_cut_minutes * 60.0,
                Some(demand.purge_within_s),
                "plan: what is cut off can't be purged; reads there have to be refused or bounded by age",
            ),
        ]
    }

    pub(super) fn caches(&self) -> Vec<CapacityRow> {
        let (today, plan, assumed) = (self.plan.today, self.plan.plan, self.plan.assumed);
        let role = "caches";
        let handshakes = |load: &DerivedLoad| {
            load.handshakes(load.size.caches) * load.size.balancers / load.size.caches
        };
        let in_flight = |load: &DerivedLoad| {
            load.size.requests_per_s * assumed.answer_ms / 1e3 / load.size.caches
        };
        let open = |load: &DerivedLoad| {
            in_flight(load) + MAX_IDLE_PER_CACHE + handshakes(load) * MIN_IDLE_S
        };
        let doubled = DerivedLoad {
            requests: 2.0 * self.planned.requests,
            ..DerivedLoad::new(plan)
        };
        vec![
            CapacityRow {
                role,
                quantity: "requests a second at one cache".into(),
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
                quantity: "handshakes a second at one cache".into(),
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
                quantity: "connections open at one cache".into(),
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
}
