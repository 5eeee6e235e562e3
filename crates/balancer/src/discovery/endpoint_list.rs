//! The endpoint list: its JSON format in discovery, the configuration and state transfers, and the
//! list as received so far.

use super::messages::{ListPart, Message, MessageError};
use crate::timers::MS;
use routing::Nanos;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Value of `health` for an endpoint that was removed from the list.
pub(super) const REMOVED: &str = "terminated";

/// An endpoint list, or a delta of one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointList {
    /// Version of the list, or of the list after the delta.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether `endpoints` has all endpoints. Otherwise it has only those that changed.
    #[serde(default, rename = "whole")]
    pub is_full: bool,
    /// Endpoints of the list or delta.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint in a list of discovery. Only the name is required.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedEndpoint {
    /// Name of the endpoint, the same at every balancer.
    #[serde(rename = "host")]
    pub name: String,
    /// Address of the endpoint, which may differ between balancers.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// Zone of the endpoint.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Machine type of the endpoint.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// Cell of the endpoint, as any JSON value.
    #[serde(default, rename = "block")]
    pub cell: Value,
    /// `in_service`, `terminating` or `terminated`. Later versions of discovery may add others.
    #[serde(default = "in_service", rename = "health")]
    pub state: String,
    /// Relative capacity of the endpoint; 1 is usual.
    #[serde(default = "full_weight", rename = "share")]
    pub weight: f64,
    /// Start of the endpoint as Unix time in milliseconds; 0 if it started long ago.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
}

impl ListedEndpoint {
    /// Returns the start of the endpoint as Unix time in nanoseconds; 0 if it started long ago.
    #[must_use]
    pub fn started(&self) -> Nanos {
        (self.started_ms.max(0.0) * MS as f64) as Nanos
    }
}

fn in_service() -> String {
    "in_service".into()
}

fn full_weight() -> f64 {
    1.0
}

/// The endpoint list received so far, and the pending messages.
#[derive(Default)]
pub(super) struct ListState {
    /// Version up to which all changes are applied.
    version: Option<u64>,
    /// Listed endpoints by name, as of `version` and the applied part of the first pending message.
    endpoints: BTreeMap<String, ListedEndpoint>,
    /// Received messages that are not completely applied.
    pending: VecDeque<Message>,
}

impl ListState {
    pub(super) fn version(&self) -> Option<u64> {
        self.version
    }

    pub(super) fn endpoints(&self) -> &BTreeMap<String, ListedEndpoint> {
        &self.endpoints
    }

    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds a received message.
    pub(super) fn push(&mut self, message: Message) {
        self.pending.push_back(message);
    }

    /// Drops all pending messages.
    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Applies a list from the configuration or a state transfer.
    pub(super) fn apply(&mut self, list: &EndpointList) {
        if list.is_full {
            self.endpoints.clear();
        }
        self.apply_endpoints(&list.endpoints);
        self.version = Some(list.version);
    }

    fn apply_endpoints(&mut self, endpoints: &[ListedEndpoint]) {
        for endpoint in endpoints {
            if endpoint.state == REMOVED {
                self.endpoints.remove(&endpoint.name);
            } else {
                self.endpoints
                    .insert(endpoint.name.clone(), endpoint.clone());
            }
        }
    }

    /// Applies and returns the next endpoints of the pending messages, at most `limit`. The first
    /// list is returned in one part of any size, as no request can be served without it. The list
    /// gets the version of a message with the last part of the message.
    ///
    /// # Errors
    ///
    /// Returns an error that names the endpoint and key if a value is invalid.
    pub(super) fn take_part(&mut self, limit: usize) -> Result<Option<ListPart>, MessageError> {
        let limit = self.version.map_or(usize::MAX, |_| limit);
        let Some(message) = self.pending.front_mut() else {
            return Ok(None);
        };
        let part = message.take(limit, &self.endpoints)?;
        self.apply_endpoints(&part.endpoints);
        if part.is_last {
            self.version = Some(part.version);
            self.pending.pop_front();
        }
        Ok(Some(part))
    }

    /// Returns the full list, if one was received.
    pub(super) fn full_list(&self) -> Option<EndpointList> {
        Some(EndpointList {
            version: self.version?,
            is_full: true,
            endpoints: self.endpoints.values().cloned().collect(),
        })
    }
}
