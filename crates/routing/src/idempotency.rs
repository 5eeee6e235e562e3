//! Rules for the attempts and rejections that a request permits: a request that must not run twice
//! never does, and attempts go only to active endpoints and only before the deadline.

use crate::events::{Endpoint, EndpointState};
use crate::identifiers::Nanos;
use crate::request::{Attempt, Request};
use crate::settings::{Capabilities, DeduplicationScope, Idempotency};

/// Purpose of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptKind {
    /// The first attempt or a retry.
    Regular,
    /// A second attempt of a read while the first is in flight.
    Hedge,
    /// A second attempt while the response to the first is stalled.
    StallBackup,
}

/// Returns whether a request may be rejected. A rejection tells the client that a retry is
/// harmless, which is not true if an attempt may have run and endpoints would not recognise the
/// repeat.
pub(crate) fn permits_rejection(idempotency: Idempotency, request: &Request) -> bool {
    if request.is_closed || request.is_streaming {
        return false;
    }
    match idempotency {
        Idempotency::Idempotent
        | Idempotency::Keyed {
            scope: DeduplicationScope::All,
            ..
        } => true,
        _ => !request.attempts.iter().any(Attempt::may_have_run),
    }
}

/// Returns whether an attempt may be sent to an endpoint.
pub(crate) fn permits_attempt(
    idempotency: Idempotency,
    capabilities: &Capabilities,
    request: &Request,
    endpoint: &Endpoint,
    kind: AttemptKind,
    now: Nanos,
) -> bool {
    !request.is_closed
        && !request.is_streaming
        && endpoint.state == EndpointState::Active
        && now < request.deadline
        && request.attempts.len() < capabilities.max_attempts as usize
        && permits_concurrency(idempotency, capabilities, request, kind)
        && permits_repeat(idempotency, request, endpoint, now)
}

/// Returns whether one more attempt may be in flight concurrently.
fn permits_concurrency(
    idempotency: Idempotency,
    capabilities: &Capabilities,
    request: &Request,
    kind: AttemptKind,
) -> bool {
    let is_idempotent = idempotency == Idempotency::Idempotent;
    let is_keyed = matches!(idempotency, Idempotency::Keyed { .. });
    match request.in_flight() {
        0 => is_idempotent || kind == AttemptKind::Regular,
        1 => {
            let is_repeatable = is_idempotent || is_keyed && kind == AttemptKind::StallBackup;
            is_repeatable && capabilities.hedging
        }
        _ => false,
    }
}

/// Returns whether the endpoint may receive the request even though earlier attempts may have run.
fn permits_repeat(
    idempotency: Idempotency,
    request: &Request,
    endpoint: &Endpoint,
    now: Nanos,
) -> bool {
    let Idempotency::Keyed { scope, window } = idempotency else {
        return idempotency == Idempotency::Idempotent || request.first_possible_effect().is_none();
    };
    let is_within_window = request
        .first_possible_effect()
        .is_none_or(|first| now < first.sent_at.saturating_add(window));
    let is_in_scope = |attempt: &Attempt| match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => attempt.zone == endpoint.zone,
        DeduplicationScope::Cell => attempt.cell == endpoint.cell,
    };
    let mut earlier = request.attempts.iter();
    is_within_window && earlier.all(|attempt| !attempt.may_have_run() || is_in_scope(attempt))
}
