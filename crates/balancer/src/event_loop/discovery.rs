//! Endpoint updates: what discovery sends goes to the engine and to the upstream pool, a part at a
//! time.

use super::EventLoop;
use crate::discovery::{DiscoveryEvent, EndpointList, ListPart, ListedEndpoint};
use crate::engine_adapter::{ListSource, endpoint_id, endpoint_state, known_endpoint_state};
use crate::timers::TimerKind;
use crate::upstream_pool::UpstreamEvent;
use routing::{EndpointId, EndpointState, Event, Nanos, UpdateKind};
use std::collections::BTreeSet;

/// Endpoints of a list that are applied in one turn: at some microseconds each, they delay nothing
/// else.
const ENDPOINTS_PER_TURN: usize = 128;

/// In a part with more endpoints than this each is logged at the level `debug` only.
const LOGGED_ENDPOINTS_MAX: usize = 32;

impl EventLoop {
    pub(super) fn handle_discovery_events(&mut self, events: Vec<DiscoveryEvent>) {
        for event in events {
            match event {
                DiscoveryEvent::Established => self.pending_events.push(Event::DiscoveryAvailable),
                DiscoveryEvent::ListPart(part) => self.apply_list_part(part),
                DiscoveryEvent::Failed => self.watch_failed(),
            }
        }
    }

    /// Schedules the next watch, or tells the engine, which schedules it where lists are polled.
    fn watch_failed(&mut self) {
        match self.discovery.next_watch(self.clock.now()) {
            Some(at) => self.timers.set(at, TimerKind::Watch),
            None => self.pending_events.push(Event::EndpointUpdate {
                kind: UpdateKind::Failed,
                endpoints: Vec::new(),
            }),
        }
    }

    /// Starts a watch, unless one is open.
    pub(super) fn start_watch(&mut self, now: Nanos) {
        let failed = self
            .discovery
            .watch(now, &mut self.timers, &mut self.counters);
        self.handle_discovery_events(failed.into_iter().collect());
    }

    /// Applies the next part of a discovery message, if one is pending.
    pub(super) fn apply_next_list_part(&mut self) {
        let event = self
            .discovery
            .take_part(ENDPOINTS_PER_TURN, &mut self.counters);
        self.handle_discovery_events(event.into_iter().collect());
    }

    fn apply_list_part(&mut self, part: ListPart) {
        let ListPart {
            version,
            is_full,
            endpoints,
            is_last,
        } = part;
        log::debug!(
            version, is_full, endpoints = endpoints.len(), is_last;
            "discovery: a part of a message"
        );
        let delta = EndpointList {
            version,
            is_full: false,
            endpoints,
        };
        self.apply_list(&delta, ListSource::Discovery);
        if is_last && self.discovery.has_endpoints() {
            self.endpoints_listed();
        }
    }

    /// Applies a list that is known from before, in one turn: no client is served before it.
    pub(super) fn load_known_list(&mut self, list: &EndpointList) {
        self.discovery.apply(list);
        self.apply_list(list, ListSource::Remembered);
        if !list.endpoints.is_empty() {
            self.endpoints_listed();
        }
    }

    /// Endpoints are known: the process may serve.
    fn endpoints_listed(&mut self) {
        let now = self.clock.now();
        self.lifecycle.endpoints_listed();
        self.apply_lifecycle(now);
    }

    /// Tells the engine and the upstream pool of endpoints.
    fn apply_list(&mut self, list: &EndpointList, source: ListSource) {
        let mut events = Vec::new();
        let level = log_level(list);
        if level == log::Level::Debug {
            log::info!(
                "discovery: version {}: {} endpoints",
                list.version,
                list.endpoints.len()
            );
        }
        let mut listed = BTreeSet::new();
        for endpoint in &list.endpoints {
            listed.insert(self.apply_endpoint(endpoint, level, &mut events));
        }
        if list.is_full {
            self.remove_unlisted(&listed, &mut events);
        }
        self.pending_events
            .push(self.engine.update_event(list, source));
        self.handle_upstream_events(self.clock.now(), events);
    }

    fn remove_unlisted(&mut self, listed: &BTreeSet<EndpointId>, events: &mut Vec<UpstreamEvent>) {
        for endpoint in self.upstream_pool.listed_endpoints() {
            if !listed.contains(&endpoint) {
                self.upstream_pool
                    .drain(endpoint, events, &mut self.counters);
                self.upstream_pool.remove_endpoint(endpoint);
            }
        }
    }

    /// Tells the upstream pool of one endpoint.
    fn apply_endpoint(
        &mut self,
        endpoint: &ListedEndpoint,
        level: log::Level,
        events: &mut Vec<UpstreamEvent>,
    ) -> EndpointId {
        let id = endpoint_id(&endpoint.name);
        let name = &endpoint.name;
        if known_endpoint_state(&endpoint.state).is_none() {
            let health = &endpoint.state;
            log::warn!("discovery: {name}: health \"{health}\" is unknown; it gets nothing new");
        }
        match endpoint.address.parse() {
            Ok(address) => {
                let is_new =
                    self.upstream_pool
                        .set_address(id, address, events, &mut self.counters);
                if is_new {
                    // The engine's log lines name endpoints by their numbers only.
                    log::log!(
                        level,
                        "discovery: {name} is endpoint {}, at {address}",
                        id.0
                    );
                }
            }
            Err(_) => {
                let dial = &endpoint.address;
                log::warn!("discovery: {name}: \"{dial}\" is no address with a port");
            }
        }
        let state = endpoint_state(&endpoint.state);
        if state != EndpointState::Active {
            self.upstream_pool.drain(id, events, &mut self.counters);
        }
        if state == EndpointState::Removed {
            self.upstream_pool.remove_endpoint(id);
        }
        id
    }
}

/// A line for each of thousands of endpoints would stall the process, and crowd the log.
fn log_level(list: &EndpointList) -> log::Level {
    if list.endpoints.len() > LOGGED_ENDPOINTS_MAX {
        log::Level::Debug
    } else {
        log::Level::Info
    }
}
