//! Which endpoint answered which key lately, and so probably has it cached.

use crate::identifiers::{EndpointId, Key, Nanos};
use std::collections::BTreeSet;

/// A key is remembered for one to two such periods after its last answer.
const PERIOD: Nanos = 4_000_000_000;

/// Pairs of key and endpoint of the current period and of the one before, so that memory stays
/// bounded.
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

    /// Begins a new period when it is time.
    pub(crate) fn expire(&mut self, now: Nanos) {
        if now.saturating_sub(self.period_started) > PERIOD {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
            self.period_started = now;
        }
    }

    /// Whether the endpoint answered this key lately, so that it probably still has it cached.
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
