//! What can be wrong on one direction of one link, and may change while it is in use.

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// What is wrong on one direction of a link. Shares are 0 to 1; times are milliseconds. What makes
/// no sense for the kind of link is left: a stream has no datagrams to lose, a datagram can't drip.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Datagrams: the share that is lost.
    pub drop: f64,
    /// Each datagram or piece of a stream comes this much later.
    pub delay_ms: u64,
    /// And up to this much more, at random.
    pub jitter_ms: u64,
    /// Datagrams: the share that comes twice.
    pub duplicate: f64,
    /// Datagrams: the share that is held back behind those after it.
    pub reorder: f64,
    /// Nothing passes, without an error.
    pub cut: bool,
    /// Streams: each connection is reset.
    pub reset: bool,
    /// Streams: one byte passes in this time.
    pub drip_ms: u64,
}

/// One direction of a link, shared by who changes it and who carries it out.
#[derive(Clone, Debug, Default)]
pub struct Link(Arc<Mutex<LinkFaults>>);

impl Link {
    /// What is wrong now.
    pub fn get(&self) -> LinkFaults {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes it.
    pub fn set(&self, faults: LinkFaults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }
}
