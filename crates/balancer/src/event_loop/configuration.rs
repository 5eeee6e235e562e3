//! Reload of the configuration.

use super::EventLoop;
use crate::config::Config;
use routing::{Event, Nanos};

impl EventLoop {
    /// Reads the configuration again and applies what can change at run time. Client connections,
    /// the endpoint list and all attempts stay; so does everything if the file is faulty.
    pub(super) fn reload_config(&mut self, now: Nanos) {
        match self.config.reload(|name| std::env::var(name).ok()) {
            Ok(config) => self.apply_config(config, now),
            Err(e) => {
                self.counters.reloads_failed += 1;
                log::error!("{e}; the old configuration stays");
            }
        }
    }

    pub(super) fn apply_config(&mut self, mut config: Config, now: Nanos) {
        self.counters.reloads += 1;
        log::info!("the configuration was read again");
        // What discovery has sent since is newer.
        config.known_endpoints = None;
        let start_only = config.start_only(&self.config);
        if !start_only.is_empty() {
            log::warn!(
                "changed, but heeded at the next start only: {}",
                start_only.join(", ")
            );
        }
        if config.discovery != self.config.discovery {
            self.pending_events.push(Event::DiscoveryAvailable);
        }
        let failed = self.discovery.change_address(
            config.discovery,
            now,
            &mut self.timers,
            &mut self.counters,
        );
        self.handle_discovery_events(failed.into_iter().collect());
        self.config = config;
        self.apply_limits();
    }
}
