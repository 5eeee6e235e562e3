//! The endpoint list as discovery, the configuration and a state transfer write it, and the list
//! as it is known so far.

use super::messages::{ListPart, Message, MessageError};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// The `health` of an endpoint that has left the list.
pub(super) const REMOVED: &str = "terminated";

/// The endpoint list, or a delta of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether these are all endpoints; otherwise those that changed.
    #[serde(default, rename = "whole")]
    pub is_full: bool,
    /// The endpoints.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint as discovery knows it. Only its name must be there.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedEndpoint {
    /// Its name, the same at every balancer.
    #[serde(rename = "host")]
    pub name: String,
    /// Its address, which may differ from balancer to balancer.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// Its zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// Its cell.
    #[serde(default, rename = "block")]
    pub cell: Value,
    /// `in_service`, `terminating` or `terminated`; a later version may know others.
    #[serde(default = "in_service", rename = "health")]
    pub state: String,
    /// Its stated capacity, where 1 is usual.
    #[serde(default = "full_weight", rename = "share")]
    pub weight: f64,
    /// Unix time of its start in milliseconds; 0 for long ago.
    #[serde(default, rename = "born_ms")]
    pub started_ms: f64,
}

fn in_service() -> String {
    "in_service".into()
}

fn full_weight() -> f64 {
    1.0
}

/// The endpoint list as it is known so far, and the messages that are still to be taken.
#[derive(Default)]
pub(super) struct ListState {
    /// The version up to which all changes are known.
    version: Option<u64>,
    /// All that are listed, by name, as of that version and what was taken of `pending`.
    endpoints: BTreeMap<String, ListedEndpoint>,
    /// Messages that have arrived and are not all taken.
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

    /// Adds a message that has arrived.
    pub(super) fn push(&mut self, message: Message) {
        self.pending.push_back(message);
    }

    /// Drops the messages that are not all taken.
    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Applies a list from elsewhere.
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

    /// Takes and applies the next endpoints, at most `limit`. The first list is taken at once:
    /// nobody is served before it. Its version counts as known once a message is over.
    ///
    /// # Errors
    ///
    /// Names the endpoint and key that can't be read.
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

    /// The full list as it is known, if one is.
    pub(super) fn full_list(&self) -> Option<EndpointList> {
        Some(EndpointList {
            version: self.version?,
            is_full: true,
            endpoints: self.endpoints.values().cloned().collect(),
        })
    }
}
