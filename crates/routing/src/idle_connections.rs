//! Selection of the idle connections to close. Without it, hundreds of balancers would fill an
//! endpoint's connection table with connections that they hardly use.

use crate::fleet_size::FleetSize;
use crate::identifiers::{EndpointId, Nanos};

/// Maximum number of idle connections to one endpoint, over all balancers.
const MAX_IDLE_PER_ENDPOINT: usize = 60;
/// Maximum number of idle connections of one balancer; each occupies a file descriptor.
pub(crate) const MAX_IDLE_PER_BALANCER: usize = 64;
/// Minimum idle time before an excess connection is closed, in nanoseconds.
const MIN_IDLE_TIME: Nanos = 500_000_000;

/// Endpoint without attempts in flight that may have an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct IdleEndpoint {
    pub(crate) since: Nanos,
    pub(crate) id: EndpointId,
}

/// Returns the endpoints whose connections are to be closed, longest idle first.
pub(crate) fn endpoints_to_close(
    mut idle: Vec<IdleEndpoint>,
    endpoints: usize,
    fleet: FleetSize,
    now: Nanos,
) -> impl Iterator<Item = EndpointId> {
    let fair_share = MAX_IDLE_PER_ENDPOINT * endpoints / fleet.balancers();
    let excess = idle
        .len()
        .saturating_sub(fair_share.min(MAX_IDLE_PER_BALANCER));
    if excess == 0 {
        idle.clear();
    }
    idle.retain(|endpoint| now.saturating_sub(endpoint.since) >= MIN_IDLE_TIME);
    idle.sort_unstable();
    idle.into_iter().take(excess).map(|endpoint| endpoint.id)
}
