//! Processes of endpoints with their addresses, and the pool's connections to each endpoint.

use super::ConnectionId;
use routing::{EndpointId, Nanos};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A process of an endpoint. An endpoint that restarts has another process, mostly at the same
/// address. Connections to the former one may stay open and silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointProcess {
    /// Address at which the process listens.
    pub address: SocketAddr,
    /// Start time of the process according to discovery; 0 if it started long ago.
    pub started: Nanos,
}

#[derive(Default)]
struct EndpointRecord {
    /// `None` after the endpoint has left the endpoint list.
    process: Option<EndpointProcess>,
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

/// Relation of a process to the former one of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessChange {
    /// The endpoint had none.
    New,
    /// The endpoint had another one.
    Replaced,
    Unchanged,
}

/// All endpoints that have a process or open connections.
#[derive(Default)]
pub(super) struct AddressBook {
    endpoints: HashMap<EndpointId, EndpointRecord>,
}

impl AddressBook {
    /// Sets the process of an endpoint and marks it as accepting commands.
    pub(super) fn set_process(
        &mut self,
        endpoint: EndpointId,
        process: EndpointProcess,
    ) -> ProcessChange {
        let record = self.endpoints.entry(endpoint).or_default();
        record.draining = false;
        match record.process.replace(process) {
            None => ProcessChange::New,
            Some(former) if former == process => ProcessChange::Unchanged,
            Some(_) => {
                record.round_trip = None;
                ProcessChange::Replaced
            }
        }
    }

    /// Marks an endpoint as accepting no new commands.
    pub(super) fn set_draining(&mut self, endpoint: EndpointId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.draining = true;
        }
    }

    /// Removes the process of an endpoint. Its record is removed with its last connection.
    pub(super) fn remove(&mut self, endpoint: EndpointId) {
        if let Some(record) = self.endpoints.get_mut(&endpoint) {
            record.process = None;
            self.remove_if_unused(endpoint);
        }
    }

    /// Returns the endpoints that have a process.
    pub(super) fn listed_endpoints(&self) -> impl Iterator<Item = EndpointId> {
        let listed = self.endpoints.iter().filter(|(_, r)| r.process.is_some());
        listed.map(|(id, _)| *id)
    }

    /// Returns the process for a new command, if the endpoint accepts commands.
    pub(super) fn process(&self, endpoint: EndpointId) -> Option<EndpointProcess> {
        let record = self.endpoints.get(&endpoint)?;
        record.process.filter(|_| !record.draining)
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
        let unused = |r: &EndpointRecord| r.connections == 0 && r.process.is_none();
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
