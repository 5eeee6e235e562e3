//! Endpoint updates: messages of discovery are applied to the engine and the upstream pool in
//! parts, at most one part per turn.

use super::EventLoop;
use crate::discovery::{DiscoveryEvent, EndpointList, ListPart, ListedEndpoint};
use crate::engine_adapter::{ListSource, endpoint_id, endpoint_state, parse_endpoint_state};
use crate::timers::TimerKind;
use crate::upstream_pool::{EndpointProcess, UpstreamEvent};
use routing::{EndpointId, EndpointState, Event, Nanos, UpdateKind};
use std::collections::BTreeSet;

/// Maximum number of endpoints that are applied in one turn. Each takes a few microseconds, so a
/// part does not delay the other work of a turn noticeably.
const ENDPOINTS_PER_TURN: usize = 128;

/// Maximum number of endpoints in a part that are logged one by one at level `info`; the endpoints
/// of a larger part are logged at level `debug`.
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

    /// Schedules the next watch after one has failed. If lists are polled instead of pushed, the
    /// engine is notified of the failure and schedules the next query itself.
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
            "discovery: applying a part of a message"
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

    /// Applies a list from the configuration or from another process, as a whole: no client is
    /// served before it is applied.
    pub(super) fn load_stored_list(&mut self, list: &EndpointList) {
        self.discovery.apply(list);
        self.apply_list(list, ListSource::Stored);
        if !list.endpoints.is_empty() {
            self.endpoints_listed();
        }
    }

    /// Notifies the lifecycle that endpoints are listed, so that the process may start to serve.
    fn endpoints_listed(&mut self) {
        let now = self.clock.now();
        self.lifecycle.endpoints_listed();
        self.apply_lifecycle(now);
    }

    /// Applies a list to the upstream pool and queues it for the engine.
    fn apply_list(&mut self, list: &EndpointList, source: ListSource) {
        let mut events = Vec::new();
        let level = log_level(list);
        if level == log::Level::Debug {
            log::info!(
                "discovery: applying {} endpoints of list version {}",
                list.endpoints.len(),
                list.version
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

    /// Applies one endpoint to the upstream pool.
    fn apply_endpoint(
        &mut self,
        endpoint: &ListedEndpoint,
        level: log::Level,
        events: &mut Vec<UpstreamEvent>,
    ) -> EndpointId {
        let id = endpoint_id(&endpoint.name);
        let name = &endpoint.name;
        if parse_endpoint_state(&endpoint.state).is_none() {
            let health = &endpoint.state;
            log::warn!(
                "discovery: endpoint {name} has the unknown health \"{health}\"; \
                 it gets no new requests"
            );
        }
        match endpoint.address.parse() {
            Ok(address) => {
                let process = EndpointProcess {
                    address,
                    started: endpoint.started(),
                };
                let is_new =
                    self.upstream_pool
                        .set_process(id, process, events, &mut self.counters);
                if is_new {
                    // Log lines of the engine contain endpoint ids only.
                    log::log!(
                        level,
                        "discovery: endpoint {name} has id {} and address {address}",
                        id.0
                    );
                }
            }
            Err(_) => {
                let dial = &endpoint.address;
                log::warn!(
                    "discovery: endpoint {name}: \"{dial}\" is not an IP address with a port; \
                     ignoring this address"
                );
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

/// Returns the log level for the endpoints of a list. Logging each of thousands of endpoints at
/// level `info` would stall the process and flood the log.
fn log_level(list: &EndpointList) -> log::Level {
    if list.endpoints.len() > LOGGED_ENDPOINTS_MAX {
        log::Level::Debug
    } else {
        log::Level::Info
    }
}
