//! Actions that the engine returns to the balancer, and the reasons for its decisions.

use crate::identifiers::{AttemptNumber, EndpointId, Nanos, RequestId, TimerToken};

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// Reason for rejecting, queueing or failing a request, or for not making an attempt.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub enum DecisionReason {
            $($(#[$doc])* $variant,)*
        }

        impl DecisionReason {
            /// All reasons, ordered by their number (`reason as usize`).
            pub const ALL: [DecisionReason; [$(DecisionReason::$variant),*].len()] =
                [$(DecisionReason::$variant),*];

            /// Returns the name of the reason in logs and counters.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self {
                    $(DecisionReason::$variant => $name,)*
                }
            }
        }
    };
}

reasons! {
    /// The fraction of recent requests that were answered in time is too low.
    FleetOverload = "fleet_overload",
    /// All balancers currently shed requests of this tier.
    FleetShedding = "fleet_shedding",
    /// The key is probably not cached, and fetches from the origin currently fail or are slow.
    OriginProtection = "origin_protection",
    /// Every eligible candidate is at its concurrency limit.
    ConcurrencyLimit = "concurrency_limit",
    /// A candidate's concurrency limit is below one, and the pause that this requires between an
    /// answer and the next attempt has not passed yet.
    Pacing = "pacing",
    /// A candidate is in slow start and its token budget is exhausted.
    SlowStart = "slow_start",
    /// The endpoint list is empty.
    NoEndpoints = "no_endpoints",
    /// No endpoint may receive the request, or the request has used up its attempts.
    NoEligibleEndpoint = "no_eligible_endpoint",
    /// The deadline has passed.
    #[default]
    DeadlineExceeded = "deadline_exceeded",
    /// Endpoints reject so many attempts that another would most likely fail too.
    RetryFutile = "retry_futile",
    /// Fetches from the origin fail so often that another attempt would prolong its overload.
    OriginOverload = "origin_overload",
    /// The budget for hedges or retries is exhausted.
    BudgetExhausted = "budget_exhausted",
    /// An endpoint reported that the request itself is invalid.
    InvalidRequest = "invalid_request",
    /// The settings do not contain the request's class.
    UnknownClass = "unknown_class",
}

/// Reason for a decision, with the values that the decision was based on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Explanation {
    /// Reason for the decision.
    pub reason: DecisionReason,
    /// Number of attempts in flight at the request's first candidate.
    pub in_flight: usize,
    /// Concurrency limit of the first candidate.
    pub limit: f64,
    /// Admitted fraction, 0 to 1, of the reads whose key is not known to be cached.
    pub origin_admitted_fraction: f64,
    /// Mean latency with little queueing, in nanoseconds: of fetches from the origin if the reason
    /// concerns the origin, otherwise of the first candidate.
    pub baseline_latency: Nanos,
    /// Recent mean latency in nanoseconds, of the same source as `baseline_latency`.
    pub recent_latency: Nanos,
}

/// Decision not to send an attempt now, although the request stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// The request waits for capacity instead of being sent.
    Queued,
    /// The request's attempt is overdue, but no hedge is sent.
    HedgeSuppressed,
}

/// Instruction to the balancer; instructions are executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request.
    Send {
        /// Identifier of the request.
        request: RequestId,
        /// Number of this attempt within the request.
        attempt: AttemptNumber,
        /// Endpoint that receives the attempt.
        endpoint: EndpointId,
        /// Time within which the response has to begin; with `None` the client's timeout. A
        /// response that has begun is not ended by this timeout.
        timeout: Option<Nanos>,
        /// Maximum time until the first byte is written; if it cannot be kept, the attempt must not
        /// be sent, because endpoints would no longer discard it as a repeat. `None` sets no bound.
        write_within: Option<Nanos>,
    },
    /// Answer the request as failed: it may have had an effect. This is its final answer.
    Fail {
        /// Identifier of the request.
        request: RequestId,
        /// Reason, with the values it is based on.
        explanation: Explanation,
    },
    /// Reject the request: a retry by the client is harmless. This is its final answer.
    Reject {
        /// Identifier of the request.
        request: RequestId,
        /// Time after which the client should retry; 0 gives no advice.
        retry_after: Nanos,
        /// Reason, with the values it is based on.
        explanation: Explanation,
    },
    /// Count or log that no attempt is sent now; nothing else has to be done.
    Defer {
        /// Identifier of the request.
        request: RequestId,
        /// Whether the request is queued or its hedge is suppressed.
        deferral: Deferral,
        /// Reason, with the values it is based on.
        explanation: Explanation,
    },
    /// Forward the long value of this attempt from now on, however little of it has arrived. The
    /// attempt then ends successfully and completes the request.
    ForwardLongValue {
        /// Identifier of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// Identifier of the request.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Query discovery for the endpoint list and subscribe to its changes.
    QueryDiscovery,
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) after the given time.
    SetTimer {
        /// Time from now until the timer fires.
        after: Nanos,
        /// Token that the event returns.
        token: TimerToken,
    },
    /// Write this log line for operators.
    Log(String),
}
