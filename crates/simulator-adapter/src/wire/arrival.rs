//! Parsing of the rows of a batch into events for an engine.

use super::fields::Fields;
use routing::{
    AttemptOutcome, AttemptResult, CacheStatus, ClassId, Endpoint, EndpointState, Event, Key,
    NewRequest, SettingsError, TenantId, TimerToken, UpdateKind,
};
use routing_config::{NameTables, OperatorSettings, TranslationError};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Bit of a request's `flags`: `predicted_ns` contains an estimate of the request's work.
const FLAG_WORK_IS_ESTIMATED: u64 = 1;
/// Bit of a request's `flags`: the request is a write.
const FLAG_IS_WRITE: u64 = 4;

/// Error in an arrival.
#[derive(Debug, Error)]
pub enum ArrivalError {
    /// The first value of the row is not an event name.
    #[error("event has no name: the first value of a row must be a string")]
    Unnamed,
    /// There is no event of this name.
    #[error("unknown event \"{0}\"")]
    UnknownEvent(String),
    /// A value of the row is invalid.
    #[error("{event}.{field}: {problem}, but it is {value}")]
    Field {
        /// Name of the event.
        event: String,
        /// Name of the field.
        field: &'static str,
        /// Requirement that the value violates.
        problem: &'static str,
        /// The invalid value, as JSON.
        value: String,
    },
    /// An entry of an endpoint list is not an array.
    #[error("peers_known.nodes_list: an entry must be an array, but it is {0}")]
    EndpointNotARow(Value),
    /// The settings object is malformed.
    #[error("enlist.setup: malformed settings: {0}")]
    MalformedSettings(#[source] serde_json::Error),
    /// The settings cannot be translated.
    #[error("enlist.setup: invalid settings: {0}")]
    UntranslatableSettings(#[from] TranslationError),
    /// The settings are inconsistent.
    #[error("enlist.setup: inconsistent settings: {0}")]
    InvalidSettings(#[from] SettingsError),
}

impl ArrivalError {
    /// Creates the error for an event of an instance that is not enlisted.
    pub fn unknown_instance(event: &str, instance: &str) -> Self {
        ArrivalError::Field {
            event: event.into(),
            field: "router_id",
            problem: "must be an enlisted instance",
            value: instance.into(),
        }
    }
}

/// Parsed row of a batch.
pub enum Arrival<'a> {
    /// `enlist`: starts an instance.
    Enlist {
        /// Name of the instance.
        instance: &'a str,
        /// Seed of the engine's random numbers.
        seed: u64,
        /// Settings of the instance.
        settings: Box<OperatorSettings>,
    },
    /// `stop`: ends an instance.
    Stop(&'a str),
    /// `note_from`: delivers a message from another instance.
    PeerMessage(&'a str),
    /// Any other event, which the instance's engine handles.
    Engine(EngineEvent<'a>),
}

/// Event for an instance's engine. Its values are parsed later, with the instance's name tables.
pub struct EngineEvent<'a> {
    /// Name of the instance.
    pub instance: &'a str,
    fields: Fields<'a>,
}

impl<'a> Arrival<'a> {
    /// Parses a row: its event name, its instance, and for `enlist` the settings.
    pub fn parse(row: &'a [Value]) -> Result<Self, ArrivalError> {
        let Some((Value::String(event), values)) = row.split_first() else {
            return Err(ArrivalError::Unnamed);
        };
        let fields = Fields { event, values };
        let instance = fields.text(0, "router_id")?;
        Ok(match event.as_str() {
            "enlist" => Arrival::Enlist {
                instance,
                seed: seed(&fields)?,
                settings: OperatorSettings::deserialize(fields.get(2))
                    .map(Box::new)
                    .map_err(ArrivalError::MalformedSettings)?,
            },
            "stop" => Arrival::Stop(instance),
            "note_from" => Arrival::PeerMessage(instance),
            _ => Arrival::Engine(EngineEvent { instance, fields }),
        })
    }
}

/// Returns the seed of an `enlist` row; any JSON number is accepted.
fn seed(fields: &Fields) -> Result<u64, ArrivalError> {
    let value = fields.get(1);
    value
        .as_u64()
        .or(value.as_i64().map(|signed| signed as u64))
        .or(value.as_f64().map(f64::to_bits))
        .ok_or_else(|| fields.error(1, "prng", "must be a number"))
}

impl EngineEvent<'_> {
    /// Returns the event's name on the wire.
    pub fn name(&self) -> &str {
        self.fields.event
    }

    /// Converts the event into one for the engine, with names replaced by their indices.
    pub fn translate(&self, names: &NameTables) -> Result<Event, ArrivalError> {
        let fields = &self.fields;
        Ok(match fields.event {
            "peers_known" => endpoint_update(fields, names)?,
            "inbound" => Event::RequestArrived(new_request(fields, names)?),
            "attempt_end" => Event::AttemptEnded(attempt_result(fields, names)?),
            "aborted" => Event::ClientDisconnected(fields.request_id(1)?),
            "pong" => Event::HealthCheckEnded {
                outcome: attempt_outcome(fields.text(2, "disposition")?),
                endpoint: fields.endpoint_id(3)?,
                load_report: fields.load_report(4, names)?,
            },
            "deadline_hit" => Event::TimerFired(TimerToken(fields.integer(1, "cookie")?)),
            "begun" => Event::ResponseStarted {
                request: fields.request_id(1)?,
                attempt: fields.attempt_number(2)?,
            },
            unknown => return Err(ArrivalError::UnknownEvent(unknown.into())),
        })
    }
}

fn endpoint_update(fields: &Fields, names: &NameTables) -> Result<Event, ArrivalError> {
    Ok(Event::EndpointUpdate {
        kind: match fields.text(1, "scope")? {
            "patch" => UpdateKind::Delta,
            "whole" => UpdateKind::Full,
            "stale_copy" => UpdateKind::Stale,
            "broken" => UpdateKind::Failed,
            _ => {
                return Err(fields.error(
                    1,
                    "scope",
                    "must be \"patch\", \"whole\", \"stale_copy\" or \"broken\"",
                ));
            }
        },
        endpoints: match fields.get(3) {
            Value::Array(rows) => rows
                .iter()
                .map(|row| endpoint(row, names))
                .collect::<Result<_, _>>()?,
            Value::Null => Vec::new(),
            _ => return Err(fields.error(3, "nodes_list", "must be an array or null")),
        },
    })
}

fn endpoint(row: &Value, names: &NameTables) -> Result<Endpoint, ArrivalError> {
    let Value::Array(values) = row else {
        return Err(ArrivalError::EndpointNotARow(row.clone()));
    };
    let fields = Fields {
        event: "peers_known.nodes_list",
        values,
    };
    // A zone or kind that the settings do not name gets an index that differs from all of theirs.
    let name_index = |column: usize, names: &[String]| {
        let name = fields.get(column).as_str();
        name.and_then(|name| names.iter().position(|candidate| candidate == name))
            .unwrap_or(usize::MAX)
    };
    Ok(Endpoint {
        state: match fields.text(4, "phase")? {
            "up" => EndpointState::Active,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Removed,
            _ => {
                return Err(fields.error(
                    4,
                    "phase",
                    "must be \"up\", \"draining\" or \"removed\"",
                ));
            }
        },
        id: fields.endpoint_id(0)?,
        zone: name_index(1, &names.zones),
        kind: name_index(2, &names.kinds),
        cell: fields.optional_integer(3, "bay")?.unwrap_or(0),
        weight: fields.get(5).as_f64().unwrap_or(1.0),
        started: fields.optional_integer(6, "up_since_ns")?.unwrap_or(0),
    })
}

fn new_request(fields: &Fields, names: &NameTables) -> Result<NewRequest, ArrivalError> {
    let flags = fields.optional_integer(8, "flags")?.unwrap_or(0);
    let work_is_estimated = flags & FLAG_WORK_IS_ESTIMATED != 0;
    Ok(NewRequest {
        key: key(fields)?,
        id: fields.request_id(1)?,
        class: ClassId(fields.name_index(2, "profile", &names.classes)?),
        tenant: match fields.get(3) {
            Value::String(_) => {
                let index = fields.name_index(3, "customer", &names.tenants)?;
                Some(TenantId(index))
            }
            Value::Null | Value::Number(_) => None,
            _ => return Err(fields.error(3, "customer", "must be a name, a number or null")),
        },
        client_timeout: fields.integer(5, "grace_ns")?,
        estimated_work: fields
            .optional_integer(6, "predicted_ns")?
            .filter(|_| work_is_estimated),
        is_write: flags & FLAG_IS_WRITE != 0,
    })
}

fn key(fields: &Fields) -> Result<Option<Key>, ArrivalError> {
    if fields.get(4).is_null() {
        return Ok(None);
    }
    u64::from_str_radix(fields.text(4, "target_key")?, 16)
        .map(|key| Some(Key(key)))
        .map_err(|_| fields.error(4, "target_key", "must be 1 to 16 hexadecimal digits"))
}

fn attempt_result(fields: &Fields, names: &NameTables) -> Result<AttemptResult, ArrivalError> {
    Ok(AttemptResult {
        request: fields.request_id(1)?,
        attempt: fields.attempt_number(2)?,
        endpoint: fields.endpoint_id(3)?,
        outcome: attempt_outcome(fields.text(4, "disposition")?),
        latency: fields.integer(5, "delay_seen_ns")?,
        request_finished: match fields.get(6) {
            Value::Bool(is_finished) => *is_finished,
            Value::Null => false,
            _ => return Err(fields.error(6, "settled", "must be true, false or null")),
        },
        cache_status: match fields.optional_integer(7, "remark")? {
            Some(1) => Some(CacheStatus::Hit),
            Some(2) => Some(CacheStatus::Miss),
            Some(3) => Some(CacheStatus::MissPending),
            _ => None,
        },
        load_report: fields.load_report(8, names)?,
    })
}

/// Returns the outcome of this name. An unknown name counts as unreadable, so the attempt may have
/// run.
fn attempt_outcome(name: &str) -> AttemptOutcome {
    match name {
        "delivered" => AttemptOutcome::Ok,
        "app_error" => AttemptOutcome::Error,
        "shed" => AttemptOutcome::Rejected,
        "expired" => AttemptOutcome::Timeout,
        "dial_failed" => AttemptOutcome::ConnectFailed,
        "dropped" => AttemptOutcome::Reset,
        "revoked" => AttemptOutcome::Cancelled,
        "unused" => AttemptOutcome::NotSent,
        "empty" => AttemptOutcome::CacheMiss,
        _ => AttemptOutcome::Unreadable,
    }
}
