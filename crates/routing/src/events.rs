//! The events that the balancer reports to the engine.

use crate::identifiers::{
    AttemptNumber, ClassId, EndpointId, Key, Nanos, RequestId, TenantId, TimerToken,
};

/// The state of an endpoint as discovery lists it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    #[default]
    Active,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Gone.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Its identifier.
    pub id: EndpointId,
    /// Its zone.
    pub zone: usize,
    /// Its kind of machine.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// Its stated capacity, comparable across endpoints.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started: Nanos,
}

/// What the entries of an endpoint update stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The changed entries only.
    Delta,
    /// All entries; an endpoint without one is gone.
    Full,
    /// All entries as this balancer last had them; may be out of date.
    Stale,
    /// A call failed or the watch broke; no entries.
    Failed,
}

/// An endpoint's report of its load; what it does not state is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight there.
    pub in_flight: Option<f64>,
    /// Requests waiting there.
    pub queue_depth: Option<f64>,
    /// How busy its cores are.
    pub utilization: Option<f64>,
    /// Its recent service time in milliseconds, without waiting.
    pub service_time_ms: Option<f64>,
    /// Requests it serves a second.
    pub requests_per_second: Option<f64>,
    /// Errors a second.
    pub errors_per_second: Option<f64>,
    /// Fraction of recent reads that hit.
    pub hit_ratio: Option<f64>,
    /// Fetches in flight to the origin.
    pub origin_fetches: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered.
    Ok,
    /// The endpoint answered with an error; may have run.
    Error,
    /// Rejected before it ran.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by the balancer; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The cache has no value for the key.
    CacheMiss,
    /// Unknown to this version, or not readable; may have run.
    Unreadable,
    /// The request itself is invalid; every other endpoint would say so too.
    InvalidRequest,
}

impl AttemptOutcome {
    /// Whether the endpoint answered the attempt.
    pub(crate) fn is_answer(self) -> bool {
        matches!(self, AttemptOutcome::Ok | AttemptOutcome::CacheMiss)
    }

    /// Whether this outcome proves that the attempt had no effect.
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

/// What the endpoint says of its cache with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// The value was cached.
    Hit,
    /// It was not.
    Miss,
    /// It was not, and another request is fetching it.
    MissPending,
}

/// A client request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Its identifier.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// The key that it concerns, if any.
    pub key: Option<Key>,
    /// How long until the client gives up.
    pub client_timeout: Nanos,
    /// The client's estimate of the work on a standard core.
    pub estimated_work: Option<Nanos>,
    /// Whether it changes the value of its key.
    pub is_write: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNumber,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub latency: Nanos,
    /// Whether the request has its final answer, by this attempt or before.
    pub request_finished: bool,
    /// What the cache said.
    pub cache_status: Option<CacheStatus>,
    /// The load report that came along.
    pub load_report: Option<LoadReport>,
}

/// How far all balancers of a fleet shed load together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingLevel {
    /// How many tiers are shed: 0 for none,
    /// [`Settings::tiers`](crate::Settings::tiers) for all. A tier is a class within or beyond its
    /// tenant's quota, in ascending order of priority weight; of the last tier the fractional part
    /// is shed. A twentieth of every tier is always admitted.
    pub level: f64,
    /// Selects which requests of a tier are shed; the same at all balancers at a time.
    pub rotation: u64,
    /// When the next rotation begins, on the caller's clock.
    pub rotation_ends: Nanos,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or could not be read.
    EndpointUpdate {
        /// What the entries stand for.
        kind: UpdateKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client request arrived; exactly one final answer is owed from now on.
    RequestArrived(NewRequest),
    /// An attempt ended; each `Send` leads to exactly one of these.
    AttemptEnded(AttemptResult),
    /// The first byte of a streamed answer has reached the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// The client disconnected; no answer is owed any more.
    ClientDisconnected(RequestId),
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report that came along.
        load_report: Option<LoadReport>,
    },
    /// A timer is due.
    TimerFired(TimerToken),
    /// The balancer shuts down at this time: open requests are answered by then.
    ShuttingDown(Nanos),
    /// Discovery answers or has moved: earlier failures say nothing of it.
    DiscoveryAvailable,
    /// How many balancers share the endpoints now, this one included; replaces
    /// [`Settings::balancers`](crate::Settings::balancers).
    BalancerCount(usize),
    /// The shedding level that all balancers apply from now on; none is shed without it.
    FleetShedding(SheddingLevel),
}
