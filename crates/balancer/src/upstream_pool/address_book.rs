//! The endpoints by their addresses, and which of the pool's connections lead to each.

use super::ConnectionId;
use routing::{EndpointId, Nanos};
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Default)]
struct EndpointRecord {
    /// None once the endpoint left the list.
    address: Option<SocketAddr>,
    /// It takes no new commands; the engine may have decided for it before it knew.
    draining: bool,
    /// Idle connections, the one used last at the end.
    idle: Vec<ConnectionId>,
    connections: usize,
    /// The time that its quickest connection took to come up; others may be delayed on their way.
    round_trip: Option<Nanos>,
}

/// How an address relates to the one that was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressChange {
    /// None was known.
    New,
    /// It is another one.
    Moved,
    Unchanged,
}

/// All endpoints that are listed or still have connections.
#[derive(Default)]
pub(super) struct AddressBook {
    endpoints: HashMap<EndpointId, EndpointRecord>,
}

impl AddressBook {
    /// Notes an endpoint's address and that it takes commands.
    pub(super) fn set_address(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
    ) -> AddressChange {
        let record = self.endpoints.entry(endpoint).or_default();
        record.draining = false;
        match record.address.replace(address) {
            None => AddressChange::New,
            Some(former) if former == address => AddressChange::Unchanged,
            Some(_) => {
                record.round_trip = None;
                AddressChange::Moved
            }
        }
    }

    /// The endpoint takes no new commands.
    pub(super) fn set_draining(&mut self, endpoint: EndpointId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.draining = true;
        }
    }

    /// The endpoint left the list; it is forgotten with its last connection.
    pub(super) fn remove(&mut self, endpoint: EndpointId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.address = None;
            self.forget_if_unused(endpoint);
        }
    }

    /// The endpoints with an address.
    pub(super) fn listed_endpoints(&self) -> impl Iterator<Item = EndpointId> {
        let listed = self.endpoints.iter().filter(|(_, r)| r.address.is_some());
        listed.map(|(id, _)| *id)
    }

    /// The address for a new command, if the endpoint takes one.
    pub(super) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let record = self.endpoints.get(&endpoint)?;
        record.address.filter(|_| !record.draining)
    }

    /// How many connections lead to the endpoint.
    pub(super) fn connections(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(0, |r| r.connections)
    }

    /// A connection to the endpoint was begun.
    pub(super) fn add_connection(&mut self, endpoint: EndpointId) {
        self.endpoints.entry(endpoint).or_default().connections += 1;
    }

    /// A connection to the endpoint was closed.
    pub(super) fn remove_connection(&mut self, endpoint: EndpointId, connection: ConnectionId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.idle.retain(|idle| *idle != connection);
            record.connections -= 1;
            self.forget_if_unused(endpoint);
        }
    }

    fn forget_if_unused(&mut self, endpoint: EndpointId) {
        let unused = |r: &EndpointRecord| r.connections == 0 && r.address.is_none();
        if self.endpoints.get(&endpoint).is_some_and(unused) {
            self.endpoints.remove(&endpoint);
        }
    }

    /// A connection may carry further commands.
    pub(super) fn add_idle(&mut self, endpoint: EndpointId, connection: ConnectionId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.idle.push(connection);
        }
    }

    /// Takes the idle connection that was used last among those that are fit.
    pub(super) fn take_idle(
        &mut self,
        endpoint: EndpointId,
        is_fit: impl FnMut(&ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let idle = &mut self.endpoints.get_mut(&endpoint)?.idle;
        let position = idle.iter().rposition(is_fit)?;
        Some(idle.remove(position))
    }

    /// Takes all idle connections.
    pub(super) fn take_all_idle(&mut self, endpoint: EndpointId) -> Vec<ConnectionId> {
        let record = self.endpoints.get_mut(&endpoint);
        record
            .map(|r| std::mem::take(&mut r.idle))
            .unwrap_or_default()
    }

    /// A connection came up after this time.
    pub(super) fn record_connect_time(&mut self, endpoint: EndpointId, took: Nanos) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.round_trip = Some(record.round_trip.map_or(took, |least| least.min(took)));
        }
    }

    /// The shortest time in which a connection came up.
    pub(super) fn round_trip(&self, endpoint: EndpointId) -> Option<Nanos> {
        self.endpoints.get(&endpoint)?.round_trip
    }
}
