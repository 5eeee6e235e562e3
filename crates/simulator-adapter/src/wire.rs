//! The simulator's wire protocol: one JSON object per line in each direction. Events and actions
//! are arrays ("rows") whose first value is their name and whose second is the instance
//! (`router_id`) they belong to.

mod arrival;
mod fields;
mod outbox;
mod request_id;

pub use arrival::{Arrival, ArrivalError, EngineEvent};
pub use outbox::OutboxMessage;

use routing::Nanos;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Batch of events that happened at the same time.
#[derive(Deserialize)]
pub struct Batch {
    /// Simulated time, in nanoseconds.
    pub moment_ns: Nanos,
    /// Serial number, which the reply repeats.
    pub serial: u64,
    /// Events, each as a row.
    pub arrivals: Vec<Vec<Value>>,
}

/// Reply to a batch.
#[derive(Serialize)]
pub struct Reply<'a> {
    /// Actions, each as a row.
    pub outbox: Vec<OutboxMessage<'a>>,
    /// Serial number of the batch.
    pub serial: u64,
}
