//! Events that the balancer reports to the engine.

use crate::identifiers::{
    AttemptNumber, ClassId, EndpointId, Key, Nanos, RequestId, TenantId, TimerToken,
};

/// State of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[default]
    Active,
    /// The endpoint finishes its attempts in flight; the engine sends it no new ones.
    Draining,
    /// The endpoint is no longer part of the list.
    Removed,
}

/// Entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Identifier of the endpoint, the same at every balancer.
    pub id: EndpointId,
    /// Index of the endpoint's zone.
    pub zone: usize,
    /// Index of the endpoint's kind of machine.
    pub kind: usize,
    /// Number of the endpoint's cell.
    pub cell: u64,
    /// Whether the endpoint is active, draining or removed.
    pub state: EndpointState,
    /// Capacity relative to other endpoints, as stated by discovery.
    pub weight: f64,
    /// Time of the endpoint's last start; 0 if it started long ago.
    pub started: Nanos,
}

/// Meaning of the entries of an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The entries that changed; all others stay.
    Delta,
    /// The complete list; endpoints without an entry are removed.
    Full,
    /// The complete list as this balancer last received it; it may be out of date.
    Stale,
    /// A call to discovery failed or the watch was interrupted; there are no entries.
    Failed,
}

/// Load reported by an endpoint; values that the report does not contain are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// Number of requests queued at the endpoint.
    pub queue_depth: Option<f64>,
    /// Utilization of the endpoint's cores.
    pub utilization: Option<f64>,
    /// Recent service time without queueing, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Requests served per second.
    pub requests_per_second: Option<f64>,
    /// Errors per second.
    pub errors_per_second: Option<f64>,
    /// Fraction of recent reads that were cache hits, 0 to 1.
    pub hit_ratio: Option<f64>,
    /// Number of fetches in flight to the origin.
    pub origin_fetches: Option<f64>,
}

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered successfully.
    Ok,
    /// The endpoint answered with an error; the attempt may have run.
    Error,
    /// The endpoint rejected the attempt before it ran.
    Rejected,
    /// No answer arrived in time; the attempt may have run.
    Timeout,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was reset; the attempt may have run.
    Reset,
    /// The balancer cancelled the attempt; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The cache has no value for the key.
    CacheMiss,
    /// The answer is unreadable or of a kind unknown to this version; the attempt may have run.
    Unreadable,
    /// The endpoint reported that the request itself is invalid; every other endpoint would report
    /// the same.
    InvalidRequest,
}

impl AttemptOutcome {
    /// Returns whether the endpoint answered without an error. The answer that the cache has no
    /// value for the key counts as well.
    pub(crate) fn is_answer(self) -> bool {
        matches!(self, AttemptOutcome::Ok | AttemptOutcome::CacheMiss)
    }

    /// Returns whether this outcome proves that the attempt had no effect.
    #[must_use]
    pub fn proves_no_effect(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::NotSent
                | AttemptOutcome::CacheMiss
        )
    }
}

/// Cache status that an endpoint states with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// The value was cached.
    Hit,
    /// The value was not cached.
    Miss,
    /// The value was not cached, and another request is already fetching it.
    MissPending,
}

/// Properties of an arriving client request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Identifier of the request; never reused.
    pub id: RequestId,
    /// Index of the request's class.
    pub class: ClassId,
    /// Index of the request's tenant; `None` for requests without a tenant.
    pub tenant: Option<TenantId>,
    /// Hash of the key that the request reads or writes, if any.
    pub key: Option<Key>,
    /// Time from arrival until the client gives up.
    pub client_timeout: Nanos,
    /// Time that the request takes on a standard core, as estimated by the client.
    pub estimated_work: Option<Nanos>,
    /// Whether the request changes the value of its key.
    pub is_write: bool,
}

/// Result of an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Identifier of the request.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub attempt: AttemptNumber,
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Time from sending the attempt to its end.
    pub latency: Nanos,
    /// Whether the request has received its final answer, from this attempt or earlier.
    pub request_finished: bool,
    /// Cache status stated with the answer, if any.
    pub cache_status: Option<CacheStatus>,
    /// Load report sent with the answer, if any.
    pub load_report: Option<LoadReport>,
}

/// Extent to which all balancers of a fleet shed load together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingLevel {
    /// Number of tiers that are shed: 0 for none, [`Settings::tiers`](crate::Settings::tiers) for
    /// all. A tier is the requests of one class that are within their tenant's quota, or those that
    /// exceed it; tiers are ordered by ascending priority weight. A level of 1.4 sheds the first
    /// tier and 40 % of the second, but a twentieth of every tier is always admitted.
    pub level: f64,
    /// Number of the current rotation: each rotation sheds other requests of a tier. All balancers
    /// use the same number at the same time.
    pub rotation: u64,
    /// Start time of the next rotation, on the caller's clock.
    pub rotation_ends: Nanos,
}

/// Event that the balancer reports to the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or a call to discovery failed.
    EndpointUpdate {
        /// Meaning of the entries.
        kind: UpdateKind,
        /// Entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A client request arrived; it must receive exactly one final answer.
    RequestArrived(NewRequest),
    /// An attempt ended; each `Send` leads to exactly one such event.
    AttemptEnded(AttemptResult),
    /// The first byte of a streamed answer has reached the client.
    ResponseStarted {
        /// Identifier of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// The head of a long value has arrived: the attempt succeeds unless its endpoint breaks off.
    /// Nothing of it has reached the client yet.
    LongValueBegun {
        /// Identifier of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// A response that has begun has made no progress for some time. The attempt goes on.
    ResponseStalled {
        /// Identifier of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// The client disconnected; the request no longer needs an answer.
    ClientDisconnected(RequestId),
    /// A health check ended.
    HealthCheckEnded {
        /// Identifier of the endpoint.
        endpoint: EndpointId,
        /// Outcome of the health check.
        outcome: AttemptOutcome,
        /// Load report sent with the answer, if any.
        load_report: Option<LoadReport>,
    },
    /// A timer set by the engine is due.
    TimerFired(TimerToken),
    /// The balancer shuts down at this time; open requests are answered by then.
    ShuttingDown(Nanos),
    /// Discovery is reachable again or has a new address; the backoff from earlier failures no
    /// longer applies.
    DiscoveryAvailable,
    /// Number of balancers that share the endpoints from now on, including this one; replaces
    /// [`Settings::balancers`](crate::Settings::balancers).
    BalancerCount(usize),
    /// Shedding level that all balancers apply from now on; without this event nothing is shed.
    FleetShedding(SheddingLevel),
}
