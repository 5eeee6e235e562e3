//! The adapter to the engine: names become its numbers, events go in together, actions come out.

use crate::discovery::{EndpointList, ListedEndpoint};
use crate::request::IncomingRequest;
use routing::{
    Action, AdmissionCounts, ClassId, Endpoint, EndpointId, EndpointState, Engine, Event, Key,
    Nanos, NewRequest, Snapshot, SnapshotError, TenantId, UpdateKind,
};
use routing_config::NameTables;
use xxhash_rust::xxh3::xxh3_64;

/// Marks the numbers of zones that the settings don't name.
const UNNAMED_ZONE: u64 = 1 << 63;
/// The length of a key that is written as hexadecimal digits.
const HEX_KEY_LENGTH: usize = 16;

/// Where an endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// Discovery.
    Discovery,
    /// An earlier process, or the configuration; it may be out of date.
    Remembered,
}

/// The engine, with the names of its classes, tenants, zones and kinds.
pub struct EngineAdapter {
    engine: Engine,
    names: NameTables,
}

impl EngineAdapter {
    /// An adapter for this engine.
    #[must_use]
    pub fn new(engine: Engine, names: NameTables) -> Self {
        EngineAdapter { engine, names }
    }

    /// The names that the settings give.
    #[must_use]
    pub fn names(&self) -> &NameTables {
        &self.names
    }

    /// Hands the engine all that happened and returns what is to be done, in order.
    pub fn decide(&mut self, now: Nanos, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            self.engine.handle(now, event, &mut actions);
        }
        actions
    }

    /// What the engine admitted and rejected for want of capacity since the last call.
    pub fn take_admission_counts(&mut self) -> AdmissionCounts {
        self.engine.take_admission_counts()
    }

    /// What the engine has learnt, for the next process of this balancer.
    pub fn take_snapshot(&mut self) -> Snapshot {
        self.engine.take_snapshot()
    }

    /// Takes over what another process's engine had learnt.
    ///
    /// # Errors
    ///
    /// Says which part of the snapshot is invalid; then nothing is taken over.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Result<(), SnapshotError> {
        self.engine.restore(snapshot)
    }

    /// A client's request for the engine; none if the settings don't name its class.
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

    /// A list for the engine.
    #[must_use]
    pub fn update_event(&self, list: &EndpointList, source: ListSource) -> Event {
        let kind = match (source, list.is_full) {
            (ListSource::Remembered, _) => UpdateKind::Stale,
            (ListSource::Discovery, true) => UpdateKind::Full,
            (ListSource::Discovery, false) => UpdateKind::Delta,
        };
        Event::EndpointUpdate {
            kind,
            endpoints: list.endpoints.iter().map(|e| self.endpoint(e)).collect(),
        }
    }

    fn endpoint(&self, listed: &ListedEndpoint) -> Endpoint {
        // A zone that the settings don't name counts as one of its own, and an endpoint without one
        // as alone in its zone; cells likewise. If two were taken for one, their caches would be
        // trusted to discard each other's repeats.
        let own_number = |name: &str| {
            let name = if name.is_empty() { &listed.name } else { name };
            xxh3_64(name.as_bytes())
        };
        let zone = position(&self.names.zones, &listed.zone);
        let cell = || match &listed.cell {
            serde_json::Value::Null => own_number(""),
            other => own_number(&other.to_string()),
        };
        Endpoint {
            id: endpoint_id(&listed.name),
            zone: zone.unwrap_or_else(|| (own_number(&listed.zone) | UNNAMED_ZONE) as usize),
            kind: position(&self.names.kinds, &listed.kind).unwrap_or(usize::MAX),
            cell: listed.cell.as_u64().unwrap_or_else(cell),
            state: endpoint_state(&listed.state),
            weight: listed.weight,
            started: (listed.started_ms.max(0.0) * 1e6) as Nanos,
        }
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The state of a listed endpoint. One whose state this version does not know gets nothing new.
#[must_use]
pub fn endpoint_state(text: &str) -> EndpointState {
    known_endpoint_state(text).unwrap_or(EndpointState::Draining)
}

/// The same, for the states that this version knows.
#[must_use]
pub fn known_endpoint_state(text: &str) -> Option<EndpointState> {
    match text {
        "in_service" => Some(EndpointState::Active),
        "terminating" => Some(EndpointState::Draining),
        "terminated" => Some(EndpointState::Removed),
        _ => None,
    }
}

/// The engine's id of an endpoint: from its name, which is the same at every balancer, unlike its
/// address.
#[must_use]
pub fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(xxh3_64(name.as_bytes()))
}

/// Keys are hexadecimal digits; any other text is hashed.
fn key(text: &[u8]) -> Key {
    let digits = std::str::from_utf8(text).ok();
    let digits = digits.filter(|digits| digits.len() == HEX_KEY_LENGTH);
    let number = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
    Key(number.unwrap_or_else(|| xxh3_64(text)))
}

#[cfg(test)]
mod tests;
