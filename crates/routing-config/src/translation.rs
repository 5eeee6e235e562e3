//! Translation of the operators' settings into those of the routing engine and the transport.

use crate::operator_settings::{
    CapabilitySettings, ClassSettings, DISCOVERY_PUSHED, OperatorSettings, OriginSettings,
    ServiceRuleSettings, TenantSettings,
};
use routing::{
    Capabilities, DeduplicationScope, DiscoveryMode, Idempotency, Nanos, OriginMode, RequestClass,
    ServiceRules, Settings, SettingsError, Tenant,
};
use thiserror::Error;

const DEFAULT_IDLE_TIMEOUT_NS: Nanos = 10_000_000_000;
const DEFAULT_CONNECT_TIMEOUT_NS: Nanos = 500_000_000;
const DEFAULT_MAX_OPEN_REQUESTS: usize = 10_000;
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// Translated settings, grouped by the component that uses them.
#[derive(Clone, Debug)]
pub struct TranslatedSettings {
    /// Settings of the routing engine.
    pub settings: Settings,
    /// Names that messages use in place of indices.
    pub names: NameTables,
    /// Settings of the transport only.
    pub transport: TransportSettings,
}

/// Tables that map the names in messages to the engine's indices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameTables {
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
    /// Names of the columns of a load report, in order.
    pub report_columns: Vec<String>,
}

/// Settings of the transport, which the engine does not use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// Idle time after which endpoints close a connection, in nanoseconds.
    pub idle_timeout: Nanos,
    /// Timeout for establishing a connection, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
}

/// Error for settings that cannot be translated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TranslationError {
    /// A keyed class has an unknown deduplication scope.
    #[error("profiles: {profile}: group must be \"all\", \"zone\" or \"cell\" for keyed requests")]
    UnknownDeduplicationScope {
        /// Name of the class.
        profile: String,
    },
}

/// Names in paths of the routing engine's settings, with the operators' keys for them.
const OPERATOR_KEYS: [(&str, &str); 4] = [
    ("classes", "profiles"),
    ("deadline", "give_up_ns"),
    ("capabilities", "caps"),
    ("balancers", "group_size"),
];

/// Returns the path of a rejected setting in the operators' keys.
#[must_use]
pub fn operator_key(error: &SettingsError) -> String {
    OPERATOR_KEYS
        .iter()
        .fold(error.field.clone(), |path, (engine_name, operator_key)| {
            path.replace(engine_name, operator_key)
        })
}

impl OperatorSettings {
    /// Translates the settings. Their consistency is checked separately by [`Settings::check`].
    ///
    /// # Errors
    ///
    /// Returns an error if a value without a default is unknown.
    pub fn translate(self) -> Result<TranslatedSettings, TranslationError> {
        let classes = self.profiles.iter().map(RequestClass::try_from);
        let settings = Settings {
            classes: classes.collect::<Result<_, _>>()?,
            tenants: self.accounts.iter().map(Tenant::from).collect(),
            over_quota_weight: self.over_share_worth,
            balancers: self.group_size.max(1),
            origin: OriginMode::from(&self.specifics),
            // Unknown modes poll, because polling with backoff suits a local agent and a shared
            // service alike.
            discovery: match self.membership_mode.as_str() {
                DISCOVERY_PUSHED => DiscoveryMode::Push,
                _ => DiscoveryMode::Poll {
                    staleness_limit: self.obligations.must_ask_in_ns,
                },
            },
            dynamic_weights: self.weights == "live",
            capabilities: Capabilities::from(&self.caps),
            rules: ServiceRules::from(&self.obligations),
            tick: self.step_ns,
        };
        let transport = TransportSettings::from(&self.caps);
        let names = NameTables {
            classes: self.profiles.into_iter().map(|class| class.name).collect(),
            tenants: self
                .accounts
                .into_iter()
                .map(|tenant| tenant.name)
                .collect(),
            zones: self.areas,
            kinds: self.machine_types,
            report_columns: self.feedback.columns,
        };
        Ok(TranslatedSettings {
            settings,
            names,
            transport,
        })
    }
}

impl From<&TenantSettings> for Tenant {
    fn from(tenant: &TenantSettings) -> Self {
        Tenant {
            quota_per_second: tenant.allowance_per_s,
        }
    }
}

impl From<&OriginSettings> for OriginMode {
    fn from(origin: &OriginSettings) -> Self {
        let kind = origin
            .origin_kind
            .and_then(|kind| usize::try_from(kind).ok());
        match (origin.mode.as_str(), kind) {
            ("aside", Some(kind)) => OriginMode::CacheAside { kind },
            _ => OriginMode::ReadThrough,
        }
    }
}

impl From<&CapabilitySettings> for Capabilities {
    fn from(caps: &CapabilitySettings) -> Self {
        Capabilities {
            max_attempts: caps.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
            hedging: caps.second_copies,
            cancellation: caps.may_cancel,
            health_checks: caps.may_probe,
            retry_after: caps.retry_after,
            max_retry_after: caps.max_retry_after_ns,
        }
    }
}

impl From<&CapabilitySettings> for TransportSettings {
    fn from(caps: &CapabilitySettings) -> Self {
        TransportSettings {
            idle_timeout: caps.conn_idle_ns.unwrap_or(DEFAULT_IDLE_TIMEOUT_NS),
            connect_timeout: caps
                .connect_timeout_ns
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT_NS),
            max_open_requests: caps.max_open.unwrap_or(DEFAULT_MAX_OPEN_REQUESTS),
        }
    }
}

impl From<&ServiceRuleSettings> for ServiceRules {
    fn from(rules: &ServiceRuleSettings) -> Self {
        ServiceRules {
            final_answer_grace: rules.grace_to_answer_ns,
            drain_grace: rules.drain_grace_ns,
            slow_start_fraction: rules.cold_from.unwrap_or(1.0),
            slow_start_duration: rules.warm_after_ns,
            overload_factor: rules.overload_factor.unwrap_or(1.0),
            overload_window: rules.tip_after_ns,
        }
    }
}

impl TryFrom<&ClassSettings> for RequestClass {
    type Error = TranslationError;

    fn try_from(class: &ClassSettings) -> Result<Self, Self::Error> {
        let is_keyed = class.repeat == "keyed";
        let scope = match class.group.as_str() {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ if is_keyed => {
                return Err(TranslationError::UnknownDeduplicationScope {
                    profile: class.name.clone(),
                });
            }
            _ => DeduplicationScope::Cell,
        };
        Ok(RequestClass {
            idempotency: match class.repeat.as_str() {
                "safe" => Idempotency::Idempotent,
                "keyed" => Idempotency::Keyed {
                    scope,
                    window: class.memory_span_ns,
                },
                _ => Idempotency::NotIdempotent,
            },
            latency_objective: class.goal_time_ns,
            deadline: class.give_up_ns,
            priority_weight: class.worth,
            late_value_fraction: class.late_value,
        })
    }
}
