//! Actions of an engine as rows of a reply.

use super::request_id;
use routing::{Action, AttemptNumber, EndpointId, Nanos, RequestId, TimerToken};
use serde::{Serialize, Serializer};

/// The longest timer on the wire is 71 minutes; the engine sets a longer one again.
const MAX_TIMER_NS: Nanos = 70 * 60 * 1_000_000_000;

/// An action and the instance that takes it.
pub struct OutboxMessage<'a> {
    instance: &'a str,
    action: WireAction,
}

/// The actions that the wire has.
enum WireAction {
    /// `deliver`: sends an attempt; a timeout of 0 is none.
    Send {
        request: RequestId,
        endpoint: EndpointId,
        timeout: Nanos,
    },
    /// `report_failure`
    Fail(RequestId),
    /// `overload_reply`
    Reject {
        request: RequestId,
        retry_after: Nanos,
    },
    /// `withdraw`
    Cancel {
        request: RequestId,
        attempt: AttemptNumber,
    },
    /// `ping`
    HealthCheck(EndpointId),
    /// `let_go`
    CloseIdleConnections(EndpointId),
    /// `observe`
    QueryDiscovery,
    /// `notify_me`
    SetTimer { after: Nanos, token: TimerToken },
    /// `emit`
    Log(String),
}

impl<'a> OutboxMessage<'a> {
    /// The message for an action; `None` for one that stays within the balancer.
    pub fn new(instance: &'a str, action: Action) -> Option<Self> {
        let action = match action {
            Action::Defer { .. } => return None,
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
