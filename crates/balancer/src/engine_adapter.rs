//! Adapter to the decision engine: translates names to the engine's ids, passes events to the
//! engine and returns its actions.

use crate::discovery::{EndpointList, ListedEndpoint};
use crate::request::IncomingRequest;
use routing::{
    Action, AdmissionCounts, ClassId, Endpoint, EndpointId, EndpointState, Engine, Event, Key,
    Nanos, NewRequest, Snapshot, SnapshotError, TenantId, UpdateKind,
};
use routing_config::NameTables;
use xxhash_rust::xxh3::xxh3_64;

/// Bit that is set in the numbers of zones that are not in the settings, so that they differ from
/// the indices of those that are.
const UNLISTED_ZONE_BIT: u64 = 1 << 63;
/// Length of a key that consists of hexadecimal digits, in bytes.
const HEX_KEY_LENGTH: usize = 16;

/// Source of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// A message of discovery.
    Discovery,
    /// A state transfer or the configuration; the list may be outdated.
    Stored,
}

/// The engine, with the names of classes, tenants, zones and machine kinds from the settings.
pub struct EngineAdapter {
    engine: Engine,
    names: NameTables,
}

impl EngineAdapter {
    /// Creates an adapter for an engine whose settings have these names.
    #[must_use]
    pub fn new(engine: Engine, names: NameTables) -> Self {
        EngineAdapter { engine, names }
    }

    /// Returns the names of classes, tenants, zones and machine kinds in the settings.
    #[must_use]
    pub fn names(&self) -> &NameTables {
        &self.names
    }

    /// Passes events to the engine and returns the actions to be executed, in order.
    pub fn decide(&mut self, now: Nanos, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            self.engine.handle(now, event, &mut actions);
        }
        actions
    }

    /// Returns the numbers of requests that the engine admitted, and rejected for lack of capacity,
    /// since the last call.
    pub fn take_admission_counts(&mut self) -> AdmissionCounts {
        self.engine.take_admission_counts()
    }

    /// Returns a snapshot of the engine's state for the next process of this balancer.
    pub fn take_snapshot(&mut self) -> Snapshot {
        self.engine.take_snapshot()
    }

    /// Restores a snapshot of another process's engine.
    ///
    /// # Errors
    ///
    /// If a part of the snapshot is invalid; then nothing is restored.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        self.engine.restore(snapshot)
    }

    /// Returns the engine's event for a client's request; `None` if its class is not in the
    /// settings.
    #[must_use]
    pub fn request_event(&self, incoming: &IncomingRequest) -> Option<Event> {
        let class = position(&self.names.classes, &incoming.class)?;
        let tenant = incoming.tenant.as_ref();
        let tenant = tenant.and_then(|name| position(&self.names.tenants, name));
        Some(Event::RequestArrived(NewRequest {
            id: incoming.answer_token.request,
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            key: Some(key(&incoming.command.key)),
            client_timeout: incoming.client_timeout,
            estimated_work: incoming.estimated_work,
            is_write: incoming.command.value.is_some(),
        }))
    }

    /// Returns the engine's event for an endpoint list.
    #[must_use]
    pub fn update_event(&self, list: &EndpointList, source: ListSource) -> Event {
        let kind = match (source, list.is_full) {
            (ListSource::Stored, _) => UpdateKind::Stale,
            (ListSource::Discovery, true) => UpdateKind::Full,
            (ListSource::Discovery, false) => UpdateKind::Delta,
        };
        Event::EndpointUpdate {
            kind,
            endpoints: list.endpoints.iter().map(|e| self.endpoint(e)).collect(),
        }
    }

    fn endpoint(&self, listed: &ListedEndpoint) -> Endpoint {
        // Each zone that is not in the settings gets a number of its own, and an endpoint without
        // a zone is alone in its zone; the same holds for cells. If two zones shared a number, the
        // engine would assume that their caches discard each other's repeated writes.
        let unique_number = |name: &str| {
            let name = if name.is_empty() { &listed.name } else { name };
            xxh3_64(name.as_bytes())
        };
        let zone = position(&self.names.zones, &listed.zone);
        let cell = || match &listed.cell {
            serde_json::Value::Null => unique_number(""),
            other => unique_number(&other.to_string()),
        };
        Endpoint {
            id: endpoint_id(&listed.name),
            zone: zone
                .unwrap_or_else(|| (unique_number(&listed.zone) | UNLISTED_ZONE_BIT) as usize),
            kind: position(&self.names.kinds, &listed.kind).unwrap_or(usize::MAX),
            cell: listed.cell.as_u64().unwrap_or_else(cell),
            state: endpoint_state(&listed.state),
            weight: listed.weight,
            started: listed.started(),
        }
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Returns the state of a listed endpoint. An endpoint with an unknown state counts as draining, so
/// that it gets no new requests.
#[must_use]
pub fn endpoint_state(text: &str) -> EndpointState {
    parse_endpoint_state(text).unwrap_or(EndpointState::Draining)
}

/// Parses the state of a listed endpoint; `None` if this version does not know the state.
#[must_use]
pub fn parse_endpoint_state(text: &str) -> Option<EndpointState> {
    match text {
        "in_service" => Some(EndpointState::Active),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Removed),
        _ => None,
    }
}

/// Returns the engine's id of an endpoint, a hash of its name. Unlike its address, the name is the
/// same at all balancers.
#[must_use]
pub fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(xxh3_64(name.as_bytes()))
}

/// Returns the engine's key for a client's key: the value of 16 hexadecimal digits, or the hash of
/// any other text.
fn key(text: &[u8]) -> Key {
    let digits = std::str::from_utf8(text).ok();
    let digits = digits.filter(|digits| digits.len() == HEX_KEY_LENGTH);
    let number = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
    Key(number.unwrap_or_else(|| xxh3_64(text)))
}

#[cfg(test)]
mod tests;
