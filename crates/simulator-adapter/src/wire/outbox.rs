//! Serialization of an engine's actions as rows of a reply.

use super::request_id;
use routing::{Action, AttemptNumber, EndpointId, Nanos, RequestId, TimerToken};
use serde::{Serialize, Serializer};

/// Maximum duration of a timer, in nanoseconds. The wire allows up to 71 minutes; the engine sets
/// another timer if its deadline is later.
const MAX_TIMER_NS: Nanos = 70 * 60 * 1_000_000_000;

/// Action with the instance it belongs to.
pub struct OutboxMessage<'a> {
    instance: &'a str,
    action: WireAction,
}

/// Actions that the wire protocol supports.
enum WireAction {
    /// `deliver`: sends an attempt; a timeout of 0 means none.
    Send {
        request: RequestId,
        endpoint: EndpointId,
        timeout: Nanos,
    },
    /// `report_failure`: answers a request as failed.
    Fail(RequestId),
    /// `overload_reply`: rejects a request.
    Reject {
        request: RequestId,
        retry_after: Nanos,
    },
    /// `withdraw`: cancels an attempt.
    Cancel {
        request: RequestId,
        attempt: AttemptNumber,
    },
    /// `ping`: sends a health check.
    HealthCheck(EndpointId),
    /// `let_go`: closes the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// `observe`: queries discovery.
    QueryDiscovery,
    /// `notify_me`: sets a timer.
    SetTimer { after: Nanos, token: TimerToken },
    /// `emit`: writes a log line.
    Log(String),
}

impl<'a> OutboxMessage<'a> {
    /// Creates the message for an action; returns `None` for an action without a counterpart on the
    /// wire.
    pub fn new(instance: &'a str, action: Action) -> Option<Self> {
        let action = match action {
            // The simulator itself forwards long values; it reports none to the engine.
            Action::Defer { .. } | Action::ForwardLongValue { .. } => return None,
            Action::Send {
                request,
                endpoint,
                timeout,
                ..
            } => WireAction::Send {
                request,
                endpoint,
                timeout: timeout.unwrap_or(0),
            },
            Action::Fail { request, .. } => WireAction::Fail(request),
            Action::Reject {
                request,
                retry_after,
                ..
            } => WireAction::Reject {
                request,
                retry_after,
            },
            Action::Cancel { request, attempt } => WireAction::Cancel { request, attempt },
            Action::HealthCheck(endpoint) => WireAction::HealthCheck(endpoint),
            Action::CloseIdleConnections(endpoint) => WireAction::CloseIdleConnections(endpoint),
            Action::QueryDiscovery => WireAction::QueryDiscovery,
            Action::SetTimer { after, token } => WireAction::SetTimer {
                after: after.min(MAX_TIMER_NS),
                token,
            },
            Action::Log(text) => WireAction::Log(text),
        };
        Some(OutboxMessage { instance, action })
    }
}

impl Serialize for OutboxMessage<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let instance = self.instance;
        let id = request_id::format;
        match &self.action {
            WireAction::Send {
                request,
                endpoint,
                timeout,
            } => ("deliver", instance, id(*request), endpoint.0, timeout).serialize(serializer),
            WireAction::Fail(request) => {
                ("report_failure", instance, id(*request)).serialize(serializer)
            }
            WireAction::Reject {
                request,
                retry_after,
            } => ("overload_reply", instance, id(*request), retry_after).serialize(serializer),
            WireAction::Cancel { request, attempt } => {
                ("withdraw", instance, id(*request), attempt.0).serialize(serializer)
            }
            WireAction::HealthCheck(endpoint) => {
                ("ping", instance, endpoint.0).serialize(serializer)
            }
            WireAction::CloseIdleConnections(endpoint) => {
                ("let_go", instance, endpoint.0).serialize(serializer)
            }
            WireAction::QueryDiscovery => ("observe", instance, true).serialize(serializer),
            WireAction::SetTimer { after, token } => {
                ("notify_me", instance, after, token.0).serialize(serializer)
            }
            WireAction::Log(text) => ("emit", instance, text).serialize(serializer),
        }
    }
}
