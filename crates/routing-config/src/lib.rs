//! The settings as they stand in JSON, on the simulator's wire and in a balancer's configuration alike, and
//! their translation into what the decision module is told.
#![forbid(unsafe_code)]

use routing::{
    Capabilities, DeduplicationScope, DiscoveryMode, Idempotency, LoadReport, Nanos, OriginMode,
    RequestClass, ServiceRules, Settings, SettingsError, Tenant,
};
use serde::Deserialize;

/// The settings object; keys that are not named here are skipped, missing ones take a cautious default.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct OperatorSettings {
    accounts: Vec<Account>,
    areas: Vec<String>,
    caps: Caps,
    feedback: Feedback,
    group_size: usize,
    machine_types: Vec<String>,
    membership_mode: String,
    obligations: Obligations,
    over_share_worth: f64,
    profiles: Vec<Profile>,
    specifics: Specifics,
    step_ns: Nanos,
    weights: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Account {
    name: String,
    allowance_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Caps {
    may_cancel: bool,
    may_probe: bool,
    retry_after: bool,
    max_retry_after_ns: Nanos,
    second_copies: bool,
    max_attempts: Option<u32>,
    conn_idle_ns: Option<Nanos>,
    connect_timeout_ns: Option<Nanos>,
    max_open: Option<usize>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Feedback {
    columns: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Obligations {
    grace_to_answer_ns: Nanos,
    must_ask_in_ns: Nanos,
    cold_from: Option<f64>,
    warm_after_ns: Nanos,
    drain_grace_ns: Nanos,
    overload_factor: Option<f64>,
    tip_after_ns: Nanos,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Profile {
    name: String,
    repeat: String,
    group: String,
    memory_span_ns: Nanos,
    goal_time_ns: Nanos,
    give_up_ns: Nanos,
    worth: f64,
    late_value: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Specifics {
    mode: String,
    origin_kind: Option<i64>,
}

/// The names by which events of one instance speak of classes, tenants, zones and kinds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameTables {
    /// Request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Data centres.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// The columns of a load report.
    pub report_columns: Vec<String>,
}

/// What only the network side needs of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransportSettings {
    /// A peer closes a connection that has stood idle this long.
    pub idle_timeout: Nanos,
    /// A connection that is not up within this has failed.
    pub connect_timeout: Nanos,
    /// The most requests that may be open at once.
    pub max_open_requests: usize,
}

const PUSHED: &str = "automatic";
const ASKED: &str = "subscribe";
const IDLE_DEFAULT: Nanos = 10_000_000_000;
const CONNECT_DEFAULT: Nanos = 500_000_000;
const OPEN_DEFAULT: usize = 10_000;

/// A load report from its named values; unknown names are skipped, as are values that are no number.
pub fn parse_load_report<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut load = LoadReport::default();
    for (column, value) in values {
        let value = Some(value).filter(|v| v.is_finite());
        match column {
            "concurrent" => load.in_flight = value,
            "depth" => load.queue_depth = value,
            "load_share" => load.utilization = value,
            "mean_ms" => load.service_time_ms = value,
            "tps" => load.requests_per_second = value,
            "err_ps" => load.errors_per_second = value,
            "x0" => load.hit_ratio = value,
            "x1" => load.origin_fetches = value,
            _ => {}
        }
    }
    load
}

/// The module's complaint about a setting, under the name that the key has in JSON.
pub fn operator_key(error: &SettingsError) -> String {
    let renamed = [
        ("classes", "profiles"),
        ("deadline", "give_up_ns"),
        ("limits", "caps"),
        ("routers", "group_size"),
    ];
    renamed
        .iter()
        .fold(error.field.clone(), |key, (module, json)| {
            key.replace(module, json)
        })
}

impl OperatorSettings {
    /// What stands in the settings that is borne and yet should be known: the key, what it says, and what follows.
    pub fn warnings(&self) -> Vec<String> {
        let mut remarks = Vec::new();
        let mode = self.membership_mode.as_str();
        if ![PUSHED, ASKED].contains(&mode) {
            remarks.push(format!(
                "membership_mode: \"{mode}\" is no known way; lists are asked for as by \"{ASKED}\""
            ));
        }
        if self.group_size == 0 {
            remarks.push("group_size: 0 or missing; this balancer counts as the only one".into());
        }
        if self.obligations.drain_grace_ns == 0 {
            remarks.push(
                "obligations.drain_grace_ns: 0 or missing; what is under way at the news comes too late"
                    .into(),
            );
        }
        remarks
    }

    /// What the brain is told, the names that only messages use, and what only the network side needs.
    pub fn translate(self) -> Result<(Settings, NameTables, TransportSettings), String> {
        let transport = TransportSettings {
            idle_timeout: self.caps.conn_idle_ns.unwrap_or(IDLE_DEFAULT),
            connect_timeout: self.caps.connect_timeout_ns.unwrap_or(CONNECT_DEFAULT),
            max_open_requests: self.caps.max_open.unwrap_or(OPEN_DEFAULT),
        };
        let names = NameTables {
            classes: self.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: self.accounts.iter().map(|a| a.name.clone()).collect(),
            zones: self.areas,
            kinds: self.machine_types,
            report_columns: self.feedback.columns,
        };
        let origin_kind = self
            .specifics
            .origin_kind
            .and_then(|k| usize::try_from(k).ok());
        let settings = Settings {
            classes: self.profiles.iter().map(class).collect::<Result<_, _>>()?,
            tenants: self
                .accounts
                .iter()
                .map(|a| Tenant {
                    quota_per_second: a.allowance_per_s,
                })
                .collect(),
            over_quota_weight: self.over_share_worth,
            balancers: self.group_size.max(1),
            origin: match (self.specifics.mode.as_str(), origin_kind) {
                ("aside", Some(kind)) => OriginMode::CacheAside { kind },
                _ => OriginMode::ReadThrough,
            },
            // Whatever else it says: to ask, with its back-off, suits both an agent and a service that all share.
            discovery: match self.membership_mode.as_str() {
                PUSHED => DiscoveryMode::Push,
                _ => DiscoveryMode::Poll {
                    staleness_limit: self.obligations.must_ask_in_ns,
                },
            },
            dynamic_weights: self.weights == "live",
            capabilities: Capabilities {
                max_attempts: self.caps.max_attempts.unwrap_or(1),
                hedging: self.caps.second_copies,
                cancellation: self.caps.may_cancel,
                health_checks: self.caps.may_probe,
                retry_after: self.caps.retry_after,
                max_retry_after: self.caps.max_retry_after_ns,
            },
            rules: ServiceRules {
                final_answer_grace: self.obligations.grace_to_answer_ns,
                drain_grace: self.obligations.drain_grace_ns,
                slow_start_fraction: self.obligations.cold_from.unwrap_or(1.0),
                slow_start_duration: self.obligations.warm_after_ns,
                overload_factor: self.obligations.overload_factor.unwrap_or(1.0),
                overload_window: self.obligations.tip_after_ns,
            },
            tick: self.step_ns,
        };
        Ok((settings, names, transport))
    }
}

fn class(p: &Profile) -> Result<RequestClass, String> {
    let group = match p.group.as_str() {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ if p.repeat == "keyed" => return Err(format!("profiles: {}: unknown group", p.name)),
        _ => DeduplicationScope::Cell,
    };
    Ok(RequestClass {
        idempotency: match p.repeat.as_str() {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::Keyed {
                scope: group,
                window: p.memory_span_ns,
            },
            _ => Idempotency::NotIdempotent,
        },
        latency_objective: p.goal_time_ns,
        deadline: p.give_up_ns,
        priority_weight: p.worth,
        late_value_fraction: p.late_value,
    })
}
