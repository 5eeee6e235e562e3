//! Translation of the operators' settings into those of the decision module.

use crate::operator_settings::{
    Account, Caps, DISCOVERY_PUSHED, Obligations, OperatorSettings, Profile, Specifics,
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

/// The settings, sorted by who needs them.
#[derive(Clone, Debug)]
pub struct TranslatedSettings {
    /// The decision module's settings.
    pub settings: Settings,
    /// The names that messages use in place of indices.
    pub names: NameTables,
    /// What only the network side needs.
    pub transport: TransportSettings,
}

/// The names by which events of one instance speak of classes, tenants, zones and kinds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameTables {
    /// Request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// The columns of a load report.
    pub report_columns: Vec<String>,
}

/// What only the network side needs of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// Endpoints close a connection that was idle for so long.
    pub idle_timeout: Nanos,
    /// A connection that is not established within this has failed.
    pub connect_timeout: Nanos,
    /// Open requests at most.
    pub max_open_requests: usize,
}

/// Settings that have no translation.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TranslationError {
    /// A keyed class with an unknown deduplication scope.
    #[error("profiles: {profile}: unknown group")]
    UnknownDeduplicationScope {
        /// The class's name.
        profile: String,
    },
}

/// Paths of the decision module's settings, and the operators' keys for them.
const OPERATOR_KEYS: [(&str, &str); 4] = [
    ("classes", "profiles"),
    ("deadline", "give_up_ns"),
    ("capabilities", "caps"),
    ("balancers", "group_size"),
];

/// The path of a rejected setting, in the operators' keys.
#[must_use]
pub fn operator_key(error: &SettingsError) -> String {
    OPERATOR_KEYS
        .iter()
        .fold(error.field.clone(), |path, (module, operator)| {
            path.replace(module, operator)
        })
}

impl OperatorSettings {
    /// Translates the settings; whether they contradict each other is for [`Settings::check`] to
    /// say.
    ///
    /// # Errors
    ///
    /// If a value that can't be defaulted is unknown.
    pub fn translate(self) -> Result<TranslatedSettings, TranslationError> {
        let classes = self.profiles.iter().map(RequestClass::try_from);
        let settings = Settings {
            classes: classes.collect::<Result<_, _>>()?,
            tenants: self.accounts.iter().map(Tenant::from).collect(),
            over_quota_weight: self.over_share_worth,
            balancers: self.group_size.max(1),
            origin: OriginMode::from(&self.specifics),
            // Unknown modes poll: with its backoff that suits a local agent and a shared service
            // alike.
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
            classes: self.profiles.into_iter().map(|p| p.name).collect(),
            tenants: self.accounts.into_iter().map(|a| a.name).collect(),
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

impl From<&Account> for Tenant {
    fn from(account: &Account) -> Self {
        Tenant {
            quota_per_second: account.allowance_per_s,
        }
    }
}

impl From<&Specifics> for OriginMode {
    fn from(specifics: &Specifics) -> Self {
        let kind = specifics
            .origin_kind
            .and_then(|kind| usize::try_from(kind).ok());
        match (specifics.mode.as_str(), kind) {
            ("aside", Some(kind)) => OriginMode::CacheAside { kind },
            _ => OriginMode::ReadThrough,
        }
    }
}

impl From<&Caps> for Capabilities {
    fn from(caps: &Caps) -> Self {
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

impl From<&Caps> for TransportSettings {
    fn from(caps: &Caps) -> Self {
        TransportSettings {
            idle_timeout: caps.conn_idle_ns.unwrap_or(DEFAULT_IDLE_TIMEOUT_NS),
            connect_timeout: caps
                .connect_timeout_ns
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT_NS),
            max_open_requests: caps.max_open.unwrap_or(DEFAULT_MAX_OPEN_REQUESTS),
        }
    }
}

impl From<&Obligations> for ServiceRules {
    fn from(obligations: &Obligations) -> Self {
        ServiceRules {
            final_answer_grace: obligations.grace_to_answer_ns,
            drain_grace: obligations.drain_grace_ns,
            slow_start_fraction: obligations.cold_from.unwrap_or(1.0),
            slow_start_duration: obligations.warm_after_ns,
            overload_factor: obligations.overload_factor.unwrap_or(1.0),
            overload_window: obligations.tip_after_ns,
        }
    }
}

impl TryFrom<&Profile> for RequestClass {
    type Error = TranslationError;

    fn try_from(profile: &Profile) -> Result<Self, Self::Error> {
        let keyed = profile.repeat == "keyed";
        let scope = match profile.group.as_str() {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ if keyed => {
                return Err(TranslationError::UnknownDeduplicationScope {
                    profile: profile.name.clone(),
                });
            }
            _ => DeduplicationScope::Cell,
        };
        Ok(RequestClass {
            idempotency: match profile.repeat.as_str() {
                "safe" => Idempotency::Idempotent,
                "keyed" => Idempotency::Keyed {
                    scope,
                    window: profile.memory_span_ns,
                },
                _ => Idempotency::NotIdempotent,
            },
            latency_objective: profile.goal_time_ns,
            deadline: profile.give_up_ns,
            priority_weight: profile.worth,
            late_value_fraction: profile.late_value,
        })
    }
}
