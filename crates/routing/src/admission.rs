//! Admission: decides which arriving requests are beyond their tenant's quota, and which are
//! rejected at once because all balancers shed them or the caches lack capacity.

use crate::actions::DecisionReason;
use crate::concurrency_limit::min_limits_exceed_initial;
use crate::estimators::Rate;
use crate::events::SheddingLevel;
use crate::fleet_shedding::FleetShedding;
use crate::fleet_size::FleetSize;
use crate::identifiers::{Nanos, TenantId};
use crate::random::Random;
use crate::request::Request;
use crate::settings::Settings;
use crate::traffic::{Traffic, new_rate};

/// Number of tiers with their own counter; requests of higher tiers share the last counter.
pub const COUNTED_TIERS: usize = 16;

/// Number of requests admitted for each one that is usefully answered. At this value the admitted
/// fraction doubles within the time constant of the rates after an overload.
const ADMITTED_PER_USEFUL: f64 = 2.0;
/// Additional requests admitted within the time constant, to detect that capacity has returned.
const PROBE_REQUESTS: f64 = 1.0;
/// Minimum admitted fraction: clients retry only a few times, and not all failures are caused by
/// overload.
const MIN_ADMITTED_FRACTION: f64 = 0.3;
/// Minimum number of requests that the admitted fraction is computed from; avoids a division by 0.
const MIN_REQUESTS: f64 = 0.1;

/// Counts of the requests that a balancer admitted and of those it rejected for lack of capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AdmissionCounts {
    /// Admitted requests by tier (see [`SheddingLevel::level`]).
    pub admitted: [u32; COUNTED_TIERS],
    /// Admitted requests that were then rejected for lack of capacity at the caches. Late answers
    /// are not counted: they result from requests admitted about a second earlier, and a shedding
    /// level that followed them would oscillate.
    pub capacity_rejections: u32,
}

impl AdmissionCounts {
    /// Adds another balancer's counts.
    pub fn add(&mut self, other: &AdmissionCounts) {
        self.capacity_rejections = self
            .capacity_rejections
            .saturating_add(other.capacity_rejections);
        for (sum, more) in self.admitted.iter_mut().zip(other.admitted) {
            *sum = sum.saturating_add(more);
        }
    }

    /// Returns the number of admitted requests over all tiers.
    #[must_use]
    pub fn total_admitted(&self) -> u32 {
        let counts = self.admitted.iter();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }
}

/// State of admission control.
pub(crate) struct Admission {
    pub(crate) traffic: Traffic,
    tenants: Vec<TenantUsage>,
    shedding: FleetShedding,
    counts: AdmissionCounts,
}

/// Quota of a tenant over all balancers, and the rate of its requests at this balancer.
struct TenantUsage {
    quota_per_second: f64,
    requests: Rate,
}

impl Admission {
    pub(crate) fn new(settings: &Settings, now: Nanos) -> Self {
        let tenants = settings.tenants.iter();
        Admission {
            traffic: Traffic::new(now),
            tenants: tenants
                .map(|tenant| TenantUsage {
                    quota_per_second: tenant.quota_per_second,
                    requests: new_rate(now),
                })
                .collect(),
            shedding: FleetShedding::new(settings),
            counts: AdmissionCounts::default(),
        }
    }

    pub(crate) fn set_shedding_level(&mut self, level: SheddingLevel) {
        self.shedding.set_level(level);
    }

    pub(crate) fn shedding(&self) -> &FleetShedding {
        &self.shedding
    }

    /// Counts an arriving request and returns whether it exceeds its tenant's quota.
    pub(crate) fn record_arrival(
        &mut self,
        tenant: Option<TenantId>,
        fleet: FleetSize,
        now: Nanos,
    ) -> bool {
        self.traffic.record_request(now);
        let Some(usage) = tenant.and_then(|TenantId(index)| self.tenants.get_mut(index)) else {
            return false;
        };
        usage.requests.add(now);
        usage.requests.per_second(now) > usage.quota_per_second / fleet.balancers() as f64
    }

    /// Returns the reason for not admitting an arriving request, or `None` if it is admitted.
    pub(crate) fn check(
        &mut self,
        request: &Request,
        fleet: FleetSize,
        now: Nanos,
        random: &mut Random,
    ) -> Option<DecisionReason> {
        if self.shedding.sheds(request) {
            return Some(DecisionReason::FleetShedding);
        }
        let tier = self.shedding.tier(request).min(COUNTED_TIERS - 1);
        self.counts.admitted[tier] += 1;
        let has_capacity = self.caches_have_capacity(fleet, now, random);
        (!has_capacity).then_some(DecisionReason::FleetOverload)
    }

    /// Returns whether the caches have capacity for one more request, according to this balancer's
    /// rates of consumed and useful requests. Always returns true unless there are so many
    /// balancers that their minimum limits together overload an endpoint. Each of them then sees
    /// too few requests to judge a single endpoint, but enough to judge all of them together.
    pub(crate) fn caches_have_capacity(
        &mut self,
        fleet: FleetSize,
        now: Nanos,
        random: &mut Random,
    ) -> bool {
        let useful = self.traffic.recently_useful(now);
        let consumed = self.traffic.recently_consumed(now).max(MIN_REQUESTS);
        let fraction = (ADMITTED_PER_USEFUL * useful + PROBE_REQUESTS) / consumed;
        let has_capacity =
            !min_limits_exceed_initial(fleet) || random.chance(fraction.max(MIN_ADMITTED_FRACTION));
        if !has_capacity {
            self.traffic.record_consumed(now);
        }
        has_capacity
    }

    /// Counts a final answer given for this reason, if the reason is a lack of capacity.
    pub(crate) fn record_rejection(&mut self, reason: DecisionReason) {
        let is_for_lack_of_capacity = matches!(
            reason,
            DecisionReason::FleetOverload
                | DecisionReason::ConcurrencyLimit
                | DecisionReason::Pacing
                | DecisionReason::RetryFutile
        );
        self.counts.capacity_rejections += u32::from(is_for_lack_of_capacity);
    }

    pub(crate) fn take_counts(&mut self) -> AdmissionCounts {
        std::mem::take(&mut self.counts)
    }
}
