//! The simulator's wire: one JSON object a line in each direction. Events and actions are rows
//! whose first value is their name and whose second is the instance (`router_id`) they belong to.

mod arrival;
mod fields;
mod outbox;
mod request_id;

pub use arrival::{Arrival, ArrivalError, EngineEvent};
pub use outbox::OutboxMessage;

use routing::Nanos;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Events that happened at one moment.
#[derive(Deserialize)]
pub struct Batch {
    /// The simulator's time.
    pub moment_ns: Nanos,
    /// Pairs the batch with its reply.
    pub serial: u64,
    /// The events, each a row.
    pub arrivals: Vec<Vec<Value>>,
}

/// The actions that a batch led to.
#[derive(Serialize)]
pub struct Reply<'a> {
    /// The actions, each a row.
    pub outbox: Vec<OutboxMessage<'a>>,
    /// The batch's number.
    pub serial: u64,
}
