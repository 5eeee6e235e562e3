//! How the process's descriptors and memory are divided among listener and upstream pool.

use super::EventLoop;
use crate::listener::admin::{AdminListener, CONNECTIONS_MAX};

/// Descriptors reserved for the client listener, the poller, discovery, signals and the standard
/// streams.
const RESERVED_DESCRIPTORS: usize = 32;
/// Descriptors of the admin listener: its socket and its connections.
pub(super) const ADMIN_DESCRIPTORS: usize = 1 + CONNECTIONS_MAX;
/// However few descriptors there are, upstream and client connections get this many.
const CONNECTION_DESCRIPTORS_MIN: usize = 12;
/// One in so many of the other descriptors is for upstream connections: most attempts end before
/// the next command of their client comes.
const UPSTREAM_SHARE: usize = 3;
/// Requests and responses together may hold one in so many bytes of the memory.
const REQUEST_MEMORY_SHARE: usize = 4;
/// Processes of this balancer during a hot restart.
const HOT_RESTART_PROCESSES: usize = 2;

/// Descriptors that an admin listener needs, if there is one.
fn admin_descriptors(listener: Option<&AdminListener>) -> usize {
    listener.map_or(0, |_| ADMIN_DESCRIPTORS)
}

/// How many connections the descriptors allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorBudget {
    pub(super) upstream: usize,
    pub(super) clients: usize,
}

impl DescriptorBudget {
    /// Divides this many descriptors, of which some are reserved for the admin listener.
    pub(super) fn new(descriptors: usize, admin_descriptors: usize) -> Self {
        let available = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS + admin_descriptors)
            .max(CONNECTION_DESCRIPTORS_MIN);
        let upstream = available / UPSTREAM_SHARE;
        DescriptorBudget {
            upstream,
            clients: available - upstream,
        }
    }
}

impl EventLoop {
    /// Applies the configured limits: half of each while another process of this balancer lives.
    pub(super) fn apply_limits(&mut self) {
        let processes = if self.hot_restart.has_other() {
            HOT_RESTART_PROCESSES
        } else {
            1
        };
        let descriptors = DescriptorBudget::new(
            self.config.descriptors_max / processes,
            admin_descriptors(self.admin_listener.as_ref()),
        );
        self.memory_limit = self.config.memory_max / processes / REQUEST_MEMORY_SHARE;
        self.upstream_pool.set_max_connections(descriptors.upstream);
        self.upstream_pool
            .set_max_buffered_bytes(self.memory_limit / 2);
        self.listener.set_connections_max(descriptors.clients);
    }
}
