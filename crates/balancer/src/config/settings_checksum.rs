//! Checksum of the settings, by which members of a fleet detect that their settings differ.
//!
//! The checksum is sent to other members, so it must be the same in all versions. It is computed
//! from a text that contains the names which the settings had when the checksum was introduced.

use routing::{
    Capabilities, DeduplicationScope, DiscoveryMode, Idempotency, OriginMode, RequestClass,
    ServiceRules, Settings, Tenant,
};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the checksum of the settings.
#[must_use]
pub fn settings_checksum(settings: &Settings) -> u64 {
    xxh3_64(canonical_text(settings).as_bytes())
}

fn canonical_text(settings: &Settings) -> String {
    format!("{:?}", Canonical(settings))
}

/// Formats a part of the settings in the canonical form.
struct Canonical<'a, T>(&'a T);

impl fmt::Debug for Canonical<'_, Settings> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Settings {
            classes,
            tenants,
            over_quota_weight,
            balancers,
            origin,
            discovery,
            dynamic_weights,
            capabilities,
            rules,
            tick,
        } = self.0;
        let classes: Vec<_> = classes.iter().map(Canonical).collect();
        let tenants: Vec<_> = tenants.iter().map(Canonical).collect();
        f.debug_struct("Settings")
            .field("classes", &classes)
            .field("tenants", &tenants)
            .field("over_share_worth", over_quota_weight)
            .field("routers", balancers)
            .field("origin", &Canonical(origin))
            .field("discovery", &Canonical(discovery))
            .field("live_weights", dynamic_weights)
            .field("limits", &Canonical(capabilities))
            .field("rules", &Canonical(rules))
            .field("tick", tick)
            .finish()
    }
}

impl fmt::Debug for Canonical<'_, RequestClass> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestClass {
            idempotency,
            latency_objective,
            deadline,
            priority_weight,
            late_value_fraction,
        } = self.0;
        f.debug_struct("Class")
            .field("effect", &Canonical(idempotency))
            .field("aim", latency_objective)
            .field("deadline", deadline)
            .field("worth", priority_weight)
            .field("late_value", late_value_fraction)
            .finish()
    }
}

impl fmt::Debug for Canonical<'_, Idempotency> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Idempotency::Idempotent => f.write_str("Safe"),
            Idempotency::Keyed { scope, window } => f
                .debug_struct("Keyed")
                .field("group", &Canonical(scope))
                .field("window", window)
                .finish(),
            Idempotency::NotIdempotent => f.write_str("Unsafe"),
        }
    }
}

impl fmt::Debug for Canonical<'_, DeduplicationScope> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            DeduplicationScope::All => "All",
            DeduplicationScope::Zone => "Zone",
            DeduplicationScope::Cell => "Cell",
        })
    }
}

impl fmt::Debug for Canonical<'_, Tenant> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tenant { quota_per_second } = self.0;
        f.debug_struct("Tenant")
            .field("allowance_per_s", quota_per_second)
            .finish()
    }
}

impl fmt::Debug for Canonical<'_, OriginMode> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            OriginMode::ReadThrough => f.write_str("Through"),
            OriginMode::CacheAside { kind } => f.debug_struct("Aside").field("kind", kind).finish(),
        }
    }
}

impl fmt::Debug for Canonical<'_, DiscoveryMode> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            DiscoveryMode::Push => f.write_str("Pushed"),
            DiscoveryMode::Poll { staleness_limit } => f
                .debug_struct("Asked")
                .field("within", staleness_limit)
                .finish(),
        }
    }
}

impl fmt::Debug for Canonical<'_, Capabilities> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Capabilities {
            max_attempts,
            hedging,
            cancellation,
            health_checks,
            retry_after,
            max_retry_after,
        } = self.0;
        f.debug_struct("Limits")
            .field("max_attempts", max_attempts)
            .field("second_copies", hedging)
            .field("cancel", cancellation)
            .field("probes", health_checks)
            .field("retry_after", retry_after)
            .field("max_retry_after", max_retry_after)
            .finish()
    }
}

impl fmt::Debug for Canonical<'_, ServiceRules> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ServiceRules {
            final_answer_grace,
            drain_grace,
            slow_start_fraction,
            slow_start_duration,
            overload_factor,
            overload_window,
        } = self.0;
        f.debug_struct("Rules")
            .field("answer_slack", final_answer_grace)
            .field("drain_grace", drain_grace)
            .field("cold_from", slow_start_fraction)
            .field("warm_after", slow_start_duration)
            .field("overload_factor", overload_factor)
            .field("tip_after", overload_window)
            .finish()
    }
}

#[cfg(test)]
mod tests;
