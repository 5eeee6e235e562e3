//! Addresses of endpoints, and the pool's connections to each endpoint.

use super::ConnectionId;
use routing::{EndpointId, Nanos};
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Default)]
struct EndpointRecord {
    /// `None` after the endpoint has left the endpoint list.
    address: Option<SocketAddr>,
    /// Whether the endpoint accepts no new commands. The engine may have chosen it before the
    /// drain.
    draining: bool,
    /// Idle connections, ordered by last use; the most recently used is last.
    idle: Vec<ConnectionId>,
    connections: usize,
    /// Shortest time in which a connection was established. Longer times may include delays in the
    /// network.
    round_trip: Option<Nanos>,
}

/// Relation of an address to the former one of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AddressChange {
    /// The endpoint had no address.
    New,
    /// The endpoint had another address.
    Moved,
    Unchanged,
}

/// All endpoints that have an address or open connections.
#[derive(Default)]
pub(super) struct AddressBook {
    endpoints: HashMap<EndpointId, EndpointRecord>,
}

impl AddressBook {
    /// Sets the address of an endpoint and marks it as accepting commands.
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

    /// Marks an endpoint as accepting no new commands.
    pub(super) fn set_draining(&mut self, endpoint: EndpointId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.draining = true;
        }
    }

    /// Removes the address of an endpoint. Its record is removed with its last connection.
    pub(super) fn remove(&mut self, endpoint: EndpointId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.address = None;
            self.remove_if_unused(endpoint);
        }
    }

    /// Returns the endpoints that have an address.
    pub(super) fn listed_endpoints(&self) -> impl Iterator<Item = EndpointId> {
        let listed = self.endpoints.iter().filter(|(_, r)| r.address.is_some());
        listed.map(|(id, _)| *id)
    }

    /// Returns the address for a new command, if the endpoint accepts commands.
    pub(super) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let record = self.endpoints.get(&endpoint)?;
        record.address.filter(|_| !record.draining)
    }

    /// Returns the number of connections to the endpoint.
    pub(super) fn connections(&self, endpoint: EndpointId) -> usize {
        self.endpoints.get(&endpoint).map_or(0, |r| r.connections)
    }

    /// Records that a connection to the endpoint was opened.
    pub(super) fn add_connection(&mut self, endpoint: EndpointId) {
        self.endpoints.entry(endpoint).or_default().connections += 1;
    }

    /// Records that a connection to the endpoint was closed.
    pub(super) fn remove_connection(&mut self, endpoint: EndpointId, connection: ConnectionId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.idle.retain(|idle| *idle != connection);
            record.connections -= 1;
            self.remove_if_unused(endpoint);
        }
    }

    fn remove_if_unused(&mut self, endpoint: EndpointId) {
        let unused = |r: &EndpointRecord| r.connections == 0 && r.address.is_none();
        if self.endpoints.get(&endpoint).is_some_and(unused) {
            self.endpoints.remove(&endpoint);
        }
    }

    /// Records that a connection is idle and can carry further commands.
    pub(super) fn add_idle(&mut self, endpoint: EndpointId, connection: ConnectionId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.idle.push(connection);
        }
    }

    /// Removes and returns the most recently used idle connection for which `is_reusable` is true.
    pub(super) fn take_idle(
        &mut self,
        endpoint: EndpointId,
        is_reusable: impl FnMut(&ConnectionId) -> bool,
    ) -> Option<ConnectionId> {
        let idle = &mut self.endpoints.get_mut(&endpoint)?.idle;
        let position = idle.iter().rposition(is_reusable)?;
        Some(idle.remove(position))
    }

    /// Removes and returns all idle connections.
    pub(super) fn take_all_idle(&mut self, endpoint: EndpointId) -> Vec<ConnectionId> {
        let record = self.endpoints.get_mut(&endpoint);
        record
            .map(|r| std::mem::take(&mut r.idle))
            .unwrap_or_default()
    }

    /// Records the time in which a connection was established.
    pub(super) fn record_connect_time(&mut self, endpoint: EndpointId, connect_time: Nanos) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            let shortest = record.round_trip.unwrap_or(connect_time);
            record.round_trip = Some(shortest.min(connect_time));
        }
    }

    /// Returns the shortest time in which a connection was established.
    pub(super) fn round_trip(&self, endpoint: EndpointId) -> Option<Nanos> {
        self.endpoints.get(&endpoint)?.round_trip
    }
}
