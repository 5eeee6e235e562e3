//! The loop's part in lists of caches: what discovery tells goes to the module and to the pools, a part at a time.

use super::EventLoop;
use crate::discovery::messages::ListPart;
use crate::discovery::{DiscoveryEvent, EndpointList, ListedEndpoint};
use crate::engine_adapter::{known_phase, phase, server_id};
use crate::timers::TimerKind;
use crate::upstream_pool::UpstreamEvent;
use routing::{EndpointId, EndpointState, Event, Nanos, UpdateKind};
use std::collections::BTreeSet;

/// Hosts of a list that are taken in one turn: at some microseconds each, they hold nothing else up.
const HOSTS_A_TURN: usize = 128;

/// Of a part with more hosts than this each has its line in the log at the level `debug` only.
const HOSTS_LOGGED: usize = 32;

impl EventLoop {
    pub(super) fn handle_discovery_events(&mut self, events: Vec<DiscoveryEvent>) {
        for event in events {
            match event {
                DiscoveryEvent::Stands => self.pending_events.push(Event::DiscoveryAvailable),
                DiscoveryEvent::News(part) => self.apply_list_part(part),
                DiscoveryEvent::Failed => match self.discovery.again(self.clock.now()) {
                    Some(at) => self.timers.set(at, TimerKind::Watch),
                    None => {
                        let entries = Vec::new();
                        self.pending_events.push(Event::EndpointUpdate {
                            kind: UpdateKind::Failed,
                            endpoints: entries,
                        });
                    }
                },
            }
        }
    }

    /// Begins a watch, unless one is open.
    pub(super) fn start_watch(&mut self, now: Nanos) {
        let failed = self
            .discovery
            .watch(now, &mut self.timers, &mut self.counters);
        self.handle_discovery_events(failed.into_iter().collect());
    }

    /// Takes the next part of what discovery has told, if something is left.
    pub(super) fn apply_next_list_part(&mut self) {
        let event = self.discovery.take(HOSTS_A_TURN, &mut self.counters);
        self.handle_discovery_events(event.into_iter().collect());
    }

    fn apply_list_part(&mut self, part: ListPart) {
        let ListPart {
            seq,
            whole,
            hosts,
            is_last,
        } = part;
        log::debug!(seq, whole, hosts = hosts.len(), is_last; "upstream group: a part of a message");
        self.apply_list(
            &EndpointList {
                seq,
                whole: false,
                hosts,
            },
            false,
        );
        if is_last && self.discovery.is_listed() {
            self.endpoints_listed();
        }
    }

    /// Takes in a list that is known from before, in one go: nobody is served before it.
    pub(super) fn load_known_list(&mut self, list: EndpointList) {
        self.discovery.learn(&list);
        self.apply_list(&list, true);
        if !list.hosts.is_empty() {
            self.endpoints_listed();
        }
    }

    /// There is a list of caches.
    fn endpoints_listed(&mut self) {
        let now = self.clock.now();
        self.lifecycle.endpoints_listed();
        self.apply_lifecycle(now);
    }

    /// Tells the module of hosts, and the pools what is said of them.
    fn apply_list(&mut self, list: &EndpointList, stale: bool) {
        let mut events = Vec::new();
        let mut listed = BTreeSet::new();
        // A line for each of thousands would hold the process up, and push what matters out of the log.
        let level = if list.hosts.len() > HOSTS_LOGGED {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        if level == log::Level::Debug {
            log::info!(
                "upstream group: version {}: {} hosts",
                list.seq,
                list.hosts.len()
            );
        }
        for host in &list.hosts {
            listed.insert(self.apply_endpoint(host, level, &mut events));
        }
        if list.whole {
            for server in self
                .upstream_pool
                .listed()
                .into_iter()
                .filter(|s| !listed.contains(s))
            {
                self.upstream_pool
                    .withdraw(server, &mut events, &mut self.counters);
                self.upstream_pool.forget(server);
            }
        }
        self.pending_events.push(self.engine.list(list, stale));
        self.handle_upstream_events(self.clock.now(), events);
    }

    /// Tells the pools what is said of one host.
    fn apply_endpoint(
        &mut self,
        host: &ListedEndpoint,
        level: log::Level,
        events: &mut Vec<UpstreamEvent>,
    ) -> EndpointId {
        let server = server_id(&host.host);
        let phase = phase(&host.health);
        if known_phase(&host.health).is_none() {
            let health = &host.health;
            log::warn!(
                "upstream group: {}: health \"{health}\" is unknown; it gets nothing new",
                host.host
            );
        }
        match host.dial.parse() {
            Ok(address) => {
                if self
                    .upstream_pool
                    .set_address(server, address, events, &mut self.counters)
                {
                    // The module's log lines name servers by their numbers only.
                    log::log!(
                        level,
                        "upstream group: {} is server {}, at {address}",
                        host.host,
                        server.0
                    );
                }
            }
            Err(_) => {
                log::warn!(
                    "upstream group: {}: \"{}\" is no address with a port",
                    host.host,
                    host.dial
                )
            }
        }
        if phase != EndpointState::Active {
            self.upstream_pool
                .withdraw(server, events, &mut self.counters);
        }
        if phase == EndpointState::Removed {
            self.upstream_pool.forget(server);
        }
        server
    }
}
