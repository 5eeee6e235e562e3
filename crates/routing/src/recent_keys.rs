//! Record of which endpoint recently answered which key and so probably has it cached.

use crate::identifiers::{EndpointId, Key, Nanos};
use std::collections::BTreeSet;

/// Length of a period, in nanoseconds. A key is remembered for one to two periods after its last
/// answer.
const PERIOD: Nanos = 4_000_000_000;

/// Pairs of key and endpoint of the current and the previous period; dropping older periods bounds
/// the memory.
pub(crate) struct RecentKeys {
    current: BTreeSet<(Key, EndpointId)>,
    previous: BTreeSet<(Key, EndpointId)>,
    period_started: Nanos,
}

impl RecentKeys {
    pub(crate) fn new(now: Nanos) -> Self {
        RecentKeys {
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            period_started: now,
        }
    }

    /// Begins a new period if the current one has ended, and drops the pairs of the previous one.
    pub(crate) fn expire(&mut self, now: Nanos) {
        if now.saturating_sub(self.period_started) > PERIOD {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
            self.period_started = now;
        }
    }

    /// Returns whether the endpoint recently answered this key and so probably still has it cached.
    pub(crate) fn is_cached(&self, key: Option<Key>, endpoint: EndpointId) -> bool {
        key.is_some_and(|key| {
            let pair = (key, endpoint);
            self.current.contains(&pair) || self.previous.contains(&pair)
        })
    }

    pub(crate) fn insert(&mut self, key: Option<Key>, endpoint: EndpointId) {
        self.current.extend(key.map(|key| (key, endpoint)));
    }

    pub(crate) fn remove(&mut self, key: Option<Key>, endpoint: EndpointId) {
        if let Some(key) = key {
            self.current.remove(&(key, endpoint));
            self.previous.remove(&(key, endpoint));
        }
    }
}
