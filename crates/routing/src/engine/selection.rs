//! Selection of the endpoint for the next attempt: it must be permitted, healthy and have capacity.

use super::Engine;
use crate::actions::DecisionReason;
use crate::concurrency_limit::HIT_LIMIT_FRACTION;
use crate::idempotency::{self, AttemptKind};
use crate::identifiers::EndpointId;
use crate::placement::{PlacementRequest, RankedEndpoint};
use crate::request::Request;
use crate::settings::Idempotency;
use crate::slow_start::warm_rate;

/// Result of selecting an endpoint for the next attempt.
pub(super) enum Selection {
    Endpoint(EndpointId),
    /// No usable endpoint has capacity; this is the reason at the first of them.
    AtCapacity(DecisionReason),
    NoneEligible,
}

/// Availability of an endpoint for one more attempt.
#[derive(PartialEq)]
pub(super) enum Availability {
    Available,
    AtCapacity(DecisionReason),
    Ejected,
}

/// Expected cache status of a read.
#[derive(Clone, Copy)]
pub(super) enum CacheExpectation {
    Hit,
    Miss,
}

impl Engine {
    /// Returns whether an attempt of this kind may be sent to an endpoint.
    pub(super) fn permits_attempt(
        &self,
        request: &Request,
        id: EndpointId,
        kind: AttemptKind,
    ) -> bool {
        let class = self.settings.class(request.details.class);
        self.endpoints.get(id).is_some_and(|record| {
            idempotency::permits_attempt(
                class.idempotency,
                &self.settings.capabilities,
                request,
                &record.entry,
                kind,
                self.now,
            )
        })
    }

    /// Selects an available candidate by placement. An endpoint beyond the candidates is selected
    /// only if no candidate is usable, and never beside an attempt in flight.
    pub(super) fn select_endpoint(&mut self, request: &Request, kind: AttemptKind) -> Selection {
        let mut available = Vec::new();
        let mut shortage = None;
        for candidate in self.eligible_candidates(request, kind) {
            let expectation = self.cache_expectation(request, candidate);
            match self.availability(request, candidate.id, expectation) {
                Availability::Available => available.push(candidate),
                Availability::AtCapacity(reason) => shortage = shortage.or(Some(reason)),
                Availability::Ejected => {}
            }
        }
        self.prefer_healthy(&mut available);
        if let Some(id) = self.place(request, &available) {
            return Selection::Endpoint(id);
        }
        // Queueing is worthwhile only for capacity, which returns within milliseconds; a slow start
        // budget takes seconds to refill.
        if let Some(reason) = shortage.filter(|reason| *reason != DecisionReason::SlowStart) {
            return Selection::AtCapacity(reason);
        }
        match kind {
            AttemptKind::Hedge | AttemptKind::StallBackup => Selection::NoneEligible,
            AttemptKind::Regular => self.select_beyond_candidates(request),
        }
    }

    /// Returns the candidates that may receive the attempt. Candidates that were already tried are
    /// included only if there is no other, and never for a hedge.
    fn eligible_candidates(&mut self, request: &Request, kind: AttemptKind) -> Vec<RankedEndpoint> {
        let candidates = self.placement.candidates(request.slot).into_iter();
        let mut eligible: Vec<RankedEndpoint> = candidates
            .enumerate()
            .map(|(rank, id)| RankedEndpoint { rank, id })
            .filter(|candidate| self.permits_attempt(request, candidate.id, kind))
            .collect();
        let is_untried = |candidate: &RankedEndpoint| !request.has_tried(candidate.id);
        if kind == AttemptKind::Hedge || eligible.iter().any(is_untried) {
            eligible.retain(is_untried);
        }
        eligible
    }

    fn cache_expectation(&self, request: &Request, candidate: RankedEndpoint) -> CacheExpectation {
        let keys = &self.placement.recent_keys;
        if keys.is_cached(request.details.key, candidate.id) || candidate.rank == 0 {
            CacheExpectation::Hit
        } else {
            CacheExpectation::Miss
        }
    }

    /// Removes unhealthy candidates if a healthy one is available, unless outlier detection is
    /// suspended.
    fn prefer_healthy(&self, available: &mut Vec<RankedEndpoint>) {
        if !self.outliers.is_suspended()
            && available
                .iter()
                .any(|candidate| self.is_healthy(candidate.id))
        {
            available.retain(|candidate| self.is_healthy(candidate.id));
        }
    }

    pub(super) fn place(
        &mut self,
        request: &Request,
        available: &[RankedEndpoint],
    ) -> Option<EndpointId> {
        let placement_request = PlacementRequest {
            key: request.details.key,
            estimated_work: request.details.estimated_work,
            now: self.now,
            rules: &self.settings.rules,
            latency_objective: self.latency_objective,
        };
        self.placement.choose(
            available,
            placement_request,
            &self.endpoints,
            &mut self.random,
        )
    }

    /// Selects the first available endpoint in rank order. If none is available, selects the first
    /// permitted one: failing open is better than rejecting everything.
    fn select_beyond_candidates(&mut self, request: &Request) -> Selection {
        let mut first_permitted = None;
        for id in self.placement.ranking(request.slot) {
            if !self.permits_attempt(request, id, AttemptKind::Regular) {
                continue;
            }
            first_permitted = first_permitted.or(Some(id));
            if self.is_available_for_miss(request, id) {
                return Selection::Endpoint(id);
            }
        }
        match first_permitted {
            Some(id) if self.has_slow_start_budget(id) => Selection::Endpoint(id),
            Some(_) => Selection::AtCapacity(DecisionReason::SlowStart),
            None => Selection::NoneEligible,
        }
    }

    fn is_available_for_miss(&mut self, request: &Request, id: EndpointId) -> bool {
        self.availability(request, id, CacheExpectation::Miss) == Availability::Available
    }

    pub(super) fn availability(
        &mut self,
        request: &Request,
        id: EndpointId,
        expectation: CacheExpectation,
    ) -> Availability {
        let has_slow_start_budget = self.has_slow_start_budget(id);
        let Some(record) = self.endpoints.get(id) else {
            return Availability::Ejected;
        };
        // At most one recovery probe is in flight, and only idempotent requests serve as probes,
        // because a hedge can still answer them.
        let class = self.settings.class(request.details.class);
        let may_be_probe =
            record.in_flight.is_empty() && class.idempotency == Idempotency::Idempotent;
        if !record.health.accepts_request(self.now, may_be_probe) && !self.outliers.is_suspended() {
            return Availability::Ejected;
        }
        if !has_slow_start_budget {
            return Availability::AtCapacity(DecisionReason::SlowStart);
        }
        let fraction = match expectation {
            CacheExpectation::Hit => HIT_LIMIT_FRACTION,
            CacheExpectation::Miss => self.origin.miss_limit_fraction(),
        };
        match record.capacity_shortage(fraction, self.now) {
            None => Availability::Available,
            Some(reason) => Availability::AtCapacity(reason),
        }
    }

    /// Refills an endpoint's slow start budget and returns whether it covers one attempt.
    fn has_slow_start_budget(&mut self, id: EndpointId) -> bool {
        let totals = self.endpoints.total_weights();
        let interpretation = self.endpoints.interpretation();
        let (now, traffic) = (self.now, &self.admission.traffic);
        self.endpoints.get_mut(id).is_some_and(|record| {
            let weight = interpretation.weight(&record.entry);
            record.slow_start.has_budget(now, &self.settings.rules, || {
                warm_rate(traffic, totals, weight, now)
            })
        })
    }

    /// Returns whether an endpoint has a low failure ratio and is not much slower than the others.
    pub(super) fn is_healthy(&self, id: EndpointId) -> bool {
        let record = self.endpoints.get(id);
        record.is_some_and(|record| self.outliers.is_healthy(record))
    }

    /// Selects a healthy endpoint that the request has not tried: a candidate, or if all candidates
    /// are unhealthy, the next one in rank order.
    pub(super) fn select_healthy_alternative(&mut self, request: &Request) -> Option<EndpointId> {
        // While most endpoints are unhealthy, the few healthy endpoints must not receive the
        // whole load.
        if self.outliers.is_suspended() {
            return None;
        }
        if let Selection::Endpoint(id) = self.select_endpoint(request, AttemptKind::Regular)
            && self.is_healthy(id)
            && !request.has_tried(id)
        {
            return Some(id);
        }
        self.placement.ranking(request.slot).find(|id| {
            self.permits_attempt(request, *id, AttemptKind::Regular)
                && self.is_healthy(*id)
                && !request.has_tried(*id)
                && self.is_available_for_miss(request, *id)
        })
    }
}
