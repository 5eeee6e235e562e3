//! Faults of one direction of a link, adjustable while the link is in use.

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// Faults of one direction of a link. Fractions are from 0 to 1. Faults that do not apply to the
/// kind of link are ignored: a stream loses no datagrams, and a datagram link has no byte rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// Datagrams: fraction lost.
    pub drop: f64,
    /// Fixed delay of each datagram, or of each chunk of a stream, in milliseconds.
    pub delay_ms: u64,
    /// Maximum random delay added to `delay_ms`, in milliseconds.
    pub jitter_ms: u64,
    /// Datagrams: fraction delivered twice.
    pub duplicate: f64,
    /// Datagrams: fraction delayed further, so that later datagrams overtake them.
    pub reorder: f64,
    /// Whether the link delivers nothing; senders see no error.
    pub cut: bool,
    /// Streams: whether each connection is reset.
    pub reset: bool,
    /// Streams: time per byte, in milliseconds; 0 for no limit.
    pub drip_ms: u64,
}

/// Faults of one direction of a link, shared by the proxy and its controllers.
#[derive(Clone, Debug, Default)]
pub struct Link(Arc<Mutex<LinkFaults>>);

impl Link {
    /// Returns the current faults.
    pub fn get(&self) -> LinkFaults {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults.
    pub fn set(&self, faults: LinkFaults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }
}
