//! The settings of one engine.

use crate::identifiers::{ClassId, Nanos};

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries an idempotency key: the endpoints of `scope` discard repeats for `window` after the
    /// first attempt that may have run.
    Keyed {
        /// Which endpoints discard a repeat.
        scope: DeduplicationScope,
        /// For how long they do.
        window: Nanos,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The endpoints that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every endpoint.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Whether a repeat is harmless.
    pub idempotency: Idempotency,
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Nanos,
    /// How long the client waits, over all its attempts; must not be 0.
    pub deadline: Nanos,
    /// What one request is worth against others.
    pub priority_weight: f64,
    /// The fraction of the weight that an answer past the objective still earns.
    pub late_value_fraction: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all balancers, that lie within its quota.
    pub quota_per_second: f64,
}

/// How a read that a cache lacks is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginMode {
    /// The cache fetches the value and answers.
    ReadThrough,
    /// The cache answers [`AttemptOutcome::CacheMiss`](crate::AttemptOutcome::CacheMiss) and the
    /// balancer reads from the origin.
    CacheAside {
        /// The kind of machine that is the origin.
        kind: usize,
    },
}

/// How the endpoint list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes changes.
    Push,
    /// Changes arrive in response to [`Action::QueryDiscovery`](crate::Action::QueryDiscovery).
    Poll {
        /// How long without a call until the balancer counts as notified.
        staleness_limit: Nanos,
    },
}

/// What the deployment supports.
#[derive(Clone, Debug, PartialEq)]
pub struct Capabilities {
    /// Most attempts for one request, hedges included.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// [`Action::Cancel`](crate::Action::Cancel) is supported.
    pub cancellation: bool,
    /// [`Action::HealthCheck`](crate::Action::HealthCheck) is supported.
    pub health_checks: bool,
    /// Clients receive the `retry_after` of [`Action::Reject`](crate::Action::Reject).
    pub retry_after: bool,
    /// The longest `retry_after` that a client respects.
    pub max_retry_after: Nanos,
}

/// The limits that the service agreement sets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRules {
    /// A final answer still counts this long after the deadline.
    pub final_answer_grace: Nanos,
    /// Nothing new may reach a draining endpoint later than this after the balancer was notified.
    pub drain_grace: Nanos,
    /// The least fraction of its capacity that a fresh endpoint starts with.
    pub slow_start_fraction: f64,
    /// A fresh endpoint is warm this long after its start at the latest.
    pub slow_start_duration: Nanos,
    /// An endpoint in slow start collapses when sent more than this multiple of its present
    /// capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Nanos,
}

/// The settings of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its priority weight that a request beyond its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// How many balancers share the endpoints, this one included.
    pub balancers: usize,
    /// How reads that a cache lacks are served.
    pub origin: OriginMode,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// Whether the listed weights follow the load; such weights are left out of the hashing.
    pub dynamic_weights: bool,
    /// What the deployment supports.
    pub capabilities: Capabilities,
    /// The limits that the service agreement sets.
    pub rules: ServiceRules,
    /// The shortest time between two calls of `handle`; a timer may fire this much late.
    pub tick: Nanos,
}

impl Settings {
    /// How many tiers a [`SheddingLevel`](crate::SheddingLevel) has: each class, within and beyond
    /// its tenant's quota.
    #[must_use]
    pub fn tiers(&self) -> usize {
        2 * self.classes.len()
    }

    /// Whether the settings are consistent.
    ///
    /// # Errors
    ///
    /// Names the first field that contradicts the rest.
    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |field: String, problem| Err(SettingsError { field, problem });
        if self.classes.is_empty() {
            return invalid("classes".into(), "there is no class");
        }
        if let Some(index) = self.classes.iter().position(|class| class.deadline == 0) {
            return invalid(format!("classes[{index}].deadline"), "must be over 0");
        }
        if self.capabilities.max_attempts == 0 {
            return invalid("capabilities.max_attempts".into(), "must be over 0");
        }
        if self.balancers == 0 {
            return invalid("balancers".into(), "must be over 0: this one counts");
        }
        Ok(())
    }

    /// The class with this index.
    pub(crate) fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[id.0]
    }

    /// The shortest latency objective of a class, in nanoseconds.
    pub(crate) fn shortest_latency_objective(&self) -> f64 {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(0) as f64
    }
}

/// A setting that contradicts itself or the rest.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// The field, as a path such as `classes[0].deadline`.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}
