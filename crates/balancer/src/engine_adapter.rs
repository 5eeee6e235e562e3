//! The seam to the decision module: names become its numbers, events go in in one go, actions come out.

use crate::discovery::{EndpointList, ListedEndpoint};
use crate::request::IncomingRequest;
use routing::{
    Action, AdmissionCounts, ClassId, Endpoint, EndpointId, EndpointState, Engine, Event, Key,
    Nanos, NewRequest, Snapshot, SnapshotError, TenantId, UpdateKind,
};
use routing_config::NameTables;
use xxhash_rust::xxh3::xxh3_64;

/// The module with the names by which messages speak of its classes, tenants, zones and kinds.
pub struct EngineAdapter {
    brain: Engine,
    names: NameTables,
}

impl EngineAdapter {
    /// Puts the names to a module.
    pub fn new(brain: Engine, names: NameTables) -> Self {
        EngineAdapter { brain, names }
    }

    /// The names of a load report's values.
    pub fn names(&self) -> &NameTables {
        &self.names
    }

    /// Hands the module all that happened and returns what is to be done, in order.
    pub fn decide(&mut self, now: Nanos, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            self.brain.handle(now, event, &mut actions);
        }
        actions
    }

    /// What the module let in and what of it found no room, since the last call.
    pub fn take_tally(&mut self) -> AdmissionCounts {
        self.brain.take_admission_counts()
    }

    /// What the module has learnt, for the next process of this balancer.
    pub fn learnt(&mut self) -> Snapshot {
        self.brain.take_snapshot()
    }

    /// Takes over what another process's module had learnt, or tells what makes no sense of it.
    pub fn recall(&mut self, learnt: &Snapshot) -> Result<(), SnapshotError> {
        self.brain.restore(learnt)
    }

    /// A client's request in the module's terms; none if the settings don't name its class.
    pub fn request(&self, incoming: &IncomingRequest) -> Option<Event> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Some(Event::RequestArrived(NewRequest {
            id: incoming.ticket.request,
            class: ClassId(place(&self.names.classes, &incoming.class)?),
            tenant: incoming
                .tenant
                .as_ref()
                .and_then(|t| place(&self.names.tenants, t))
                .map(TenantId),
            key: Some(key(&incoming.command.key)),
            client_timeout: incoming.client_timeout,
            estimated_work: incoming.estimated_work,
            is_write: incoming.command.value.is_some(),
        }))
    }

    /// A list in the module's terms.
    pub fn list(&self, list: &EndpointList, stale: bool) -> Event {
        let scope = match (stale, list.is_full) {
            (true, _) => UpdateKind::Stale,
            (false, true) => UpdateKind::Full,
            (false, false) => UpdateKind::Delta,
        };
        Event::EndpointUpdate {
            kind: scope,
            endpoints: list.endpoints.iter().map(|h| self.entry(h)).collect(),
        }
    }

    fn entry(&self, host: &ListedEndpoint) -> Endpoint {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        // A zone that the settings don't name is one of its own, and where none is told each host is; so it is with cells. Taken for one,
        // the caches of two would be trusted to discard each other's repeats.
        let own = |told: &str| {
            xxh3_64(if told.is_empty() {
                host.name.as_bytes()
            } else {
                told.as_bytes()
            })
        };
        let zone = || (own(&host.zone) | 1 << 63) as usize;
        let block = || {
            if host.cell.is_null() {
                String::new()
            } else {
                host.cell.to_string()
            }
        };
        Endpoint {
            id: server_id(&host.name),
            zone: place(&self.names.zones, &host.zone).unwrap_or_else(zone),
            kind: place(&self.names.kinds, &host.kind).unwrap_or(usize::MAX),
            cell: host.cell.as_u64().unwrap_or_else(|| own(&block())),
            state: phase(&host.state),
            weight: host.weight,
            started: (host.started_ms.max(0.0) * 1e6) as Nanos,
        }
    }
}

/// What the list says of a host. A word of a later version of the protocol gets nothing new: the cautious side.
pub fn phase(health: &str) -> EndpointState {
    known_phase(health).unwrap_or(EndpointState::Draining)
}

/// The same, for the words of this version.
pub fn known_phase(health: &str) -> Option<EndpointState> {
    match health {
        "in_service" => Some(EndpointState::Active),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Removed),
        _ => None,
    }
}

/// The module's id of a host: from its name, which is the same at every balancer, as its address is not.
pub fn server_id(host: &str) -> EndpointId {
    EndpointId(xxh3_64(host.as_bytes()))
}

/// Keys are hex digits; any other text is as good a key.
fn key(text: &[u8]) -> Key {
    let hex = std::str::from_utf8(text).ok().filter(|t| t.len() == 16);
    Key(hex
        .and_then(|t| u64::from_str_radix(t, 16).ok())
        .unwrap_or_else(|| xxh3_64(text)))
}

#[cfg(test)]
mod tests;
