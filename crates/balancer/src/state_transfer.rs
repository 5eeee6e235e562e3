//! The state that one process of a balancer hands to its successor during a hot restart.

use crate::discovery::EndpointList;
use routing::Snapshot;
use serde::{Deserialize, Serialize};

/// What one process of a balancer leaves for the next. The keys are those of the file.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateTransfer {
    /// The endpoints that the old process knows.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointList,
    /// What its engine has learnt.
    #[serde(rename = "learnt")]
    pub snapshot: Snapshot,
}

#[cfg(test)]
mod tests;
