//! Limits of the process: file descriptors and memory, divided among the listener and the upstream
//! pool.

use super::EventLoop;
use crate::listener::admin::{AdminListener, CONNECTIONS_MAX};

/// Number of descriptors reserved for the client listener, the poller, discovery, signals and the
/// standard streams.
const RESERVED_DESCRIPTORS: usize = 32;
/// Number of descriptors of the admin listener: its socket and its connections.
pub(super) const ADMIN_DESCRIPTORS: usize = 1 + CONNECTIONS_MAX;
/// Minimum number of descriptors for upstream and client connections together.
const CONNECTION_DESCRIPTORS_MIN: usize = 12;
/// Upstream connections get 1/3 of the connection descriptors, clients the others: most attempts
/// end before the next command of their client arrives.
const UPSTREAM_DIVISOR: usize = 3;
/// Requests and responses together may hold 3/8 of the process's memory limit.
const REQUEST_MEMORY_EIGHTHS: usize = 3;
/// Incomplete responses of caches may hold 1/8 of the process's memory limit.
const UPSTREAM_MEMORY_EIGHTHS: usize = 1;
/// Number of processes of this balancer during a hot restart.
const HOT_RESTART_PROCESSES: usize = 2;

/// Returns the number of descriptors to reserve for the admin listener.
fn admin_descriptors(listener: Option<&AdminListener>) -> usize {
    listener.map_or(0, |_| ADMIN_DESCRIPTORS)
}

/// Maximum numbers of upstream and client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorBudget {
    pub(super) upstream: usize,
    pub(super) clients: usize,
}

impl DescriptorBudget {
    /// Divides `descriptors` among upstream and client connections, after subtracting the reserved
    /// descriptors and those of the admin listener.
    pub(super) fn new(descriptors: usize, admin_descriptors: usize) -> Self {
        let available = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS + admin_descriptors)
            .max(CONNECTION_DESCRIPTORS_MIN);
        let upstream = available / UPSTREAM_DIVISOR;
        DescriptorBudget {
            upstream,
            clients: available - upstream,
        }
    }
}

impl EventLoop {
    /// Applies the configured limits. Each is halved while another process of this balancer runs.
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
        let memory_eighth = self.config.memory_max / processes / 8;
        self.memory_limit = memory_eighth * REQUEST_MEMORY_EIGHTHS;
        self.upstream_pool.set_max_connections(descriptors.upstream);
        self.upstream_pool
            .set_max_buffered_bytes(memory_eighth * UPSTREAM_MEMORY_EIGHTHS);
        self.listener.set_memory_limit(self.memory_limit);
        self.listener.set_connections_max(descriptors.clients);
    }
}
