//! Reload of the configuration on SIGHUP.

use super::EventLoop;
use crate::config::Config;
use routing::{Event, Nanos};

impl EventLoop {
    /// Reloads the configuration and applies the keys that can change at run time. Client
    /// connections, the endpoint list and all attempts are kept. If the file is invalid, nothing
    /// changes.
    pub(super) fn reload_config(&mut self, now: Nanos) {
        match self.config.reload(|name| std::env::var(name).ok()) {
            Ok(config) => self.apply_config(config, now),
            Err(e) => {
                self.counters.reloads_failed += 1;
                log::error!("reload failed: {e}; the current configuration stays in force");
            }
        }
    }

    pub(super) fn apply_config(&mut self, mut config: Config, now: Nanos) {
        self.counters.reloads += 1;
        log::info!("configuration reloaded");
        // The list from discovery is newer than the one in the file.
        config.stored_endpoint_list = None;
        let changed_keys = config.changed_startup_keys(&self.config);
        if !changed_keys.is_empty() {
            log::warn!(
                "these changed keys take effect only after a restart: {}",
                changed_keys.join(", ")
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
