//! Rows of a batch as events of an engine.

use super::fields::Fields;
use routing::{
    AttemptOutcome, AttemptResult, CacheStatus, ClassId, Endpoint, EndpointState, Event, Key,
    NewRequest, SettingsError, TenantId, TimerToken, UpdateKind,
};
use routing_config::{NameTables, OperatorSettings, TranslationError};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Bits of a request's `flags`.
const FLAG_WORK_IS_ESTIMATED: u64 = 1;
const FLAG_IS_WRITE: u64 = 4;

/// An arrival that was rejected.
#[derive(Debug, Error)]
pub enum ArrivalError {
    /// The row does not begin with a name.
    #[error("event has no name")]
    Unnamed,
    /// No event has this name.
    #[error("{0}: unknown event")]
    UnknownEvent(String),
    /// A value of the row is of the wrong form.
    #[error("{event}.{field}: {problem}: {value}")]
    Field {
        /// The event's name.
        event: String,
        /// The field's name.
        field: &'static str,
        /// What is wrong.
        problem: &'static str,
        /// The value, as JSON.
        value: String,
    },
    /// An entry of an endpoint list is not an array.
    #[error("peers_known.nodes_list: a line is not a row: {0}")]
    EndpointNotARow(Value),
    /// The settings object can't be read.
    #[error("enlist.setup: {0}")]
    MalformedSettings(#[source] serde_json::Error),
    /// The settings have no translation.
    #[error("enlist.setup: {0}")]
    UntranslatableSettings(#[from] TranslationError),
    /// The settings contradict themselves.
    #[error("enlist.setup: {0}")]
    InvalidSettings(#[from] SettingsError),
}

impl ArrivalError {
    /// The event speaks of an instance that is not enlisted.
    pub fn unknown_instance(event: &str, instance: &str) -> Self {
        ArrivalError::Field {
            event: event.into(),
            field: "router_id",
            problem: "unknown instance",
            value: instance.into(),
        }
    }
}

/// One row of a batch.
pub enum Arrival<'a> {
    /// `enlist`: starts an instance.
    Enlist {
        /// Its name.
        instance: &'a str,
        /// For its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<OperatorSettings>,
    },
    /// `stop`: ends an instance.
    Stop(&'a str),
    /// `note_from`: a message from another instance.
    PeerMessage(&'a str),
    /// Any other event.
    Engine(EngineEvent<'a>),
}

/// An event for an instance's engine. Its values are read with the instance's name tables.
pub struct EngineEvent<'a> {
    /// The instance.
    pub instance: &'a str,
    fields: Fields<'a>,
}

impl<'a> Arrival<'a> {
    /// Parses a row.
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

/// Any JSON number is a seed.
fn seed(fields: &Fields) -> Result<u64, ArrivalError> {
    let value = fields.get(1);
    value
        .as_u64()
        .or(value.as_i64().map(|i| i as u64))
        .or(value.as_f64().map(f64::to_bits))
        .ok_or_else(|| fields.error(1, "prng", "not a number"))
}

impl EngineEvent<'_> {
    /// The event's name on the wire.
    pub fn name(&self) -> &str {
        self.fields.event
    }

    /// The event for the engine, with names replaced by their indices.
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
            _ => return Err(fields.error(1, "scope", "unknown")),
        },
        endpoints: match fields.get(3) {
            Value::Array(rows) => rows
                .iter()
                .map(|row| endpoint(row, names))
                .collect::<Result<_, _>>()?,
            Value::Null => Vec::new(),
            _ => return Err(fields.error(3, "nodes_list", "not a list")),
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
    // A zone or kind that the settings don't name equals none of theirs.
    let index = |at: usize, names: &[String]| {
        let name = fields.get(at).as_str();
        name.and_then(|name| names.iter().position(|n| n == name))
            .unwrap_or(usize::MAX)
    };
    Ok(Endpoint {
        state: match fields.text(4, "phase")? {
            "up" => EndpointState::Active,
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Removed,
            _ => return Err(fields.error(4, "phase", "unknown")),
        },
        id: fields.endpoint_id(0)?,
        zone: index(1, &names.zones),
        kind: index(2, &names.kinds),
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
            _ => return Err(fields.error(3, "customer", "not a name")),
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
        .map_err(|_| fields.error(4, "target_key", "not hex digits"))
}

fn attempt_result(fields: &Fields, names: &NameTables) -> Result<AttemptResult, ArrivalError> {
    Ok(AttemptResult {
        request: fields.request_id(1)?,
        attempt: fields.attempt_number(2)?,
        endpoint: fields.endpoint_id(3)?,
        outcome: attempt_outcome(fields.text(4, "disposition")?),
        latency: fields.integer(5, "delay_seen_ns")?,
        request_finished: match fields.get(6) {
            Value::Bool(settled) => *settled,
            Value::Null => false,
            _ => return Err(fields.error(6, "settled", "not true or false")),
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

/// An outcome by its name; one that is not known may have run.
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
