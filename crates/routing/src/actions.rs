//! The actions that the engine asks the balancer to take, and the reasons it gives.

use crate::identifiers::{AttemptNumber, EndpointId, Nanos, RequestId, TimerToken};

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// Why a request was rejected, queued or failed, or why an attempt was not made.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub enum DecisionReason {
            $($(#[$doc])* $variant,)*
        }

        impl DecisionReason {
            /// Every reason, in the order of its number (`reason as usize`).
            pub const ALL: [DecisionReason; [$(DecisionReason::$variant),*].len()] =
                [$(DecisionReason::$variant),*];

            /// The name of the reason in logs and counters.
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
    /// Too small a fraction of recent requests was answered in time.
    FleetOverload = "fleet_overload",
    /// All balancers shed requests of this tier for now.
    FleetShedding = "fleet_shedding",
    /// The key is probably not cached, and fetches from the origin fail or are slow.
    OriginProtection = "origin_protection",
    /// Every eligible candidate is at its concurrency limit.
    ConcurrencyLimit = "concurrency_limit",
    /// A candidate's limit is under one, and the time between two attempts has not passed.
    Pacing = "pacing",
    /// A candidate is in slow start and its budget is spent.
    SlowStart = "slow_start",
    /// The endpoint list is empty.
    NoEndpoints = "no_endpoints",
    /// No endpoint may receive the request, or all attempts are used.
    NoEligibleEndpoint = "no_eligible_endpoint",
    /// The deadline has passed.
    #[default]
    DeadlineExceeded = "deadline_exceeded",
    /// Endpoints reject so much that another attempt would most likely fail.
    RetryFutile = "retry_futile",
    /// Fetches fail so often that another attempt would prolong the origin's overload.
    OriginOverload = "origin_overload",
    /// The budget for hedges or retries is spent.
    BudgetExhausted = "budget_exhausted",
    /// An endpoint answered that the request itself is invalid.
    InvalidRequest = "invalid_request",
    /// The settings have no such class.
    UnknownClass = "unknown_class",
}

/// A reason with the figures that the decision was based on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Explanation {
    /// The reason.
    pub reason: DecisionReason,
    /// Attempts in flight at the request's first candidate.
    pub in_flight: usize,
    /// That candidate's concurrency limit.
    pub limit: f64,
    /// Fraction of reads of keys not known to be cached that is admitted, 0 to 1.
    pub origin_admitted_fraction: f64,
    /// Mean latency with little queueing: of the candidate, or of fetches where the origin is the
    /// reason.
    pub baseline_latency: Nanos,
    /// The same mean lately.
    pub recent_latency: Nanos,
}

/// What was not done for a request that is still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// It waits for capacity.
    Queued,
    /// It was late and was not hedged.
    HedgeSuppressed,
}

/// What the balancer is to do, in the given order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request.
    Send {
        /// The request.
        request: RequestId,
        /// Which of its attempts this is.
        attempt: AttemptNumber,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The attempt's timeout; `None`: until the client gives up.
        timeout: Option<Nanos>,
        /// The first byte has to be written within this time, or the attempt must not be sent:
        /// later the endpoints no longer discard it as a repeat. `None`: no such bound.
        write_within: Option<Nanos>,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        explanation: Explanation,
    },
    /// Final answer: rejected, a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait; 0 for no advice.
        retry_after: Nanos,
        /// Why.
        explanation: Explanation,
    },
    /// Nothing to do; for counters and logs.
    Defer {
        /// The request.
        request: RequestId,
        /// What was not done.
        deferral: Deferral,
        /// Why.
        explanation: Explanation,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Ask discovery for the endpoint list and for changes from now on.
    QueryDiscovery,
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) after this time.
    SetTimer {
        /// How long from now.
        after: Nanos,
        /// Comes back with the event.
        token: TimerToken,
    },
    /// A log line for operators.
    Log(String),
}
