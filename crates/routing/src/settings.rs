//! Settings of one engine.

use crate::identifiers::{ClassId, Nanos};

/// Whether and how a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request carries an idempotency key: the endpoints of `scope` discard repeats for
    /// `window` after the first attempt that may have run.
    Keyed {
        /// Endpoints that discard a repeat.
        scope: DeduplicationScope,
        /// Time during which they discard repeats, from the sending of that first attempt.
        window: Nanos,
    },
    /// The request must never run twice.
    NotIdempotent,
}

/// Set of endpoints that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of the same zone.
    Zone,
    /// The endpoints of the same cell.
    Cell,
}

/// Class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Whether a request of this class may run more than once.
    pub idempotency: Idempotency,
    /// Time from arrival within which an answer has its full value, the priority weight.
    pub latency_objective: Nanos,
    /// Maximum time that the client waits, over all attempts of the request; must not be 0.
    pub deadline: Nanos,
    /// Value of one request relative to those of other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still has.
    pub late_value_fraction: f64,
}

/// Tenant with its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second, over all balancers.
    pub quota_per_second: f64,
}

/// Handling of reads whose value is not cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginMode {
    /// The cache fetches the value and answers.
    ReadThrough,
    /// The cache answers [`AttemptOutcome::CacheMiss`](crate::AttemptOutcome::CacheMiss) and the
    /// balancer reads from the origin.
    CacheAside {
        /// Index of the kind of machine that origin servers have.
        kind: usize,
    },
}

/// Way in which the balancer receives the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes changes without being queried.
    Push,
    /// Changes are received in response to
    /// [`Action::QueryDiscovery`](crate::Action::QueryDiscovery).
    Poll {
        /// Time without a call to discovery after which the balancer counts as notified of every
        /// change; 0 if there is no such limit.
        staleness_limit: Nanos,
    },
}

/// Features that the deployment supports, with their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Capabilities {
    /// Maximum number of attempts for one request, including hedges.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight concurrently.
    pub hedging: bool,
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is supported.
    pub cancellation: bool,
    /// Whether [`Action::HealthCheck`](crate::Action::HealthCheck) is supported.
    pub health_checks: bool,
    /// Whether clients receive the `retry_after` of [`Action::Reject`](crate::Action::Reject).
    pub retry_after: bool,
    /// Maximum `retry_after` that clients respect.
    pub max_retry_after: Nanos,
}

/// Limits set by the service agreement.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRules {
    /// Time after the deadline during which a final answer still counts.
    pub final_answer_grace: Nanos,
    /// Time after the balancer is notified that an endpoint drains or was removed, during which
    /// attempts may still be sent to it; afterwards none may. The engine does not read this value,
    /// because it sends nothing new from the notification on; the balancer paces the reopening of
    /// discovery watches by it.
    pub drain_grace: Nanos,
    /// Minimum fraction of its capacity with which an endpoint starts.
    pub slow_start_fraction: f64,
    /// Maximum time from an endpoint's start until it has its full capacity.
    pub slow_start_duration: Nanos,
    /// Multiple of its present capacity above which load makes an endpoint in slow start fail, if
    /// the load lasts for `overload_window`. The engine does not read this value, because it keeps
    /// the slow start budget far below this load.
    pub overload_factor: f64,
    /// Time for which such a load has to last for the endpoint to fail.
    pub overload_window: Nanos,
}

/// Settings of one engine, checked by [`Settings::check`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Fraction of its priority weight that a request beyond its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Number of balancers that share the endpoints, including this one.
    pub balancers: usize,
    /// Handling of reads whose value is not cached.
    pub origin: OriginMode,
    /// Way in which the balancer receives the endpoint list.
    pub discovery: DiscoveryMode,
    /// Whether the weights in the endpoint list follow the load. Such weights are ignored: all
    /// endpoints then have the same weight.
    pub dynamic_weights: bool,
    /// Features that the deployment supports.
    pub capabilities: Capabilities,
    /// Limits set by the service agreement.
    pub rules: ServiceRules,
    /// Resolution of timers and minimum interval between two calls of `handle`; a timer may fire
    /// this much late.
    pub tick: Nanos,
}

impl Settings {
    /// Returns the number of tiers of a [`SheddingLevel`](crate::SheddingLevel): each class has
    /// two, within and beyond its tenant's quota.
    #[must_use]
    pub fn tiers(&self) -> usize {
        2 * self.classes.len()
    }

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first field that is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |field: String, problem| Err(SettingsError { field, problem });
        if self.classes.is_empty() {
            return invalid("classes".into(), "must list at least one class");
        }
        if let Some(index) = self.classes.iter().position(|class| class.deadline == 0) {
            return invalid(format!("classes[{index}].deadline"), "must be over 0");
        }
        if self.capabilities.max_attempts == 0 {
            return invalid("capabilities.max_attempts".into(), "must be over 0");
        }
        if self.balancers == 0 {
            return invalid(
                "balancers".into(),
                "must be over 0, because this balancer is included",
            );
        }
        Ok(())
    }

    /// Returns the class with this index.
    pub(crate) fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[id.0]
    }

    /// Returns the shortest latency objective of all classes, in nanoseconds.
    pub(crate) fn shortest_latency_objective(&self) -> f64 {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(0) as f64
    }
}

/// Error for a setting that is invalid or inconsistent with others.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// Path of the field, such as `classes[0].deadline`.
    pub field: String,
    /// Requirement that the field violates.
    pub problem: &'static str,
}
