//! The settings as they stand in JSON, on the simulator's wire and in a balancer's configuration alike, and
//! their translation into what the decision module is told.
#![forbid(unsafe_code)]

use routing::{
    Class, Discovery, Effect, Group, Limits, Load, Nanos, Origin, Rules, Settings, SettingsError,
    Tenant,
};
use serde::Deserialize;

/// The settings object; keys that are not named here are skipped, missing ones take a cautious default.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Setup {
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
pub struct Names {
    /// Request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Data centres.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// The columns of a load report.
    pub report: Vec<String>,
}

/// What only the network side needs of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// A peer closes a connection that has stood idle this long.
    pub conn_idle: Nanos,
    /// A connection that is not up within this has failed.
    pub connect_timeout: Nanos,
    /// The most requests that may be open at once.
    pub max_open: usize,
}

const PUSHED: &str = "automatic";
const ASKED: &str = "subscribe";
const IDLE_DEFAULT: Nanos = 10_000_000_000;
const CONNECT_DEFAULT: Nanos = 500_000_000;
const OPEN_DEFAULT: usize = 10_000;

/// A load report from its named values; unknown names are skipped, as are values that are no number.
pub fn load<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> Load {
    let mut load = Load::default();
    for (column, value) in values {
        let value = Some(value).filter(|v| v.is_finite());
        match column {
            "concurrent" => load.in_flight = value,
            "depth" => load.queue = value,
            "load_share" => load.busy = value,
            "mean_ms" => load.latency_ms = value,
            "tps" => load.per_s = value,
            "err_ps" => load.errors_per_s = value,
            "x0" => load.hit_share = value,
            "x1" => load.fetches = value,
            _ => {}
        }
    }
    load
}

/// The module's complaint about a setting, under the name that the key has in JSON.
pub fn key_of(error: &SettingsError) -> String {
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

impl Setup {
    /// What stands in the settings that is borne and yet should be known: the key, what it says, and what follows.
    pub fn remarks(&self) -> Vec<String> {
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
    pub fn translate(self) -> Result<(Settings, Names, Transport), String> {
        let transport = Transport {
            conn_idle: self.caps.conn_idle_ns.unwrap_or(IDLE_DEFAULT),
            connect_timeout: self.caps.connect_timeout_ns.unwrap_or(CONNECT_DEFAULT),
            max_open: self.caps.max_open.unwrap_or(OPEN_DEFAULT),
        };
        let names = Names {
            classes: self.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: self.accounts.iter().map(|a| a.name.clone()).collect(),
            zones: self.areas,
            kinds: self.machine_types,
            report: self.feedback.columns,
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
                    allowance_per_s: a.allowance_per_s,
                })
                .collect(),
            over_share_worth: self.over_share_worth,
            routers: self.group_size.max(1),
            origin: match (self.specifics.mode.as_str(), origin_kind) {
                ("aside", Some(kind)) => Origin::Aside { kind },
                _ => Origin::Through,
            },
            // Whatever else it says: to ask, with its back-off, suits both an agent and a service that all share.
            discovery: match self.membership_mode.as_str() {
                PUSHED => Discovery::Pushed,
                _ => Discovery::Asked {
                    within: self.obligations.must_ask_in_ns,
                },
            },
            live_weights: self.weights == "live",
            limits: Limits {
                max_attempts: self.caps.max_attempts.unwrap_or(1),
                second_copies: self.caps.second_copies,
                cancel: self.caps.may_cancel,
                probes: self.caps.may_probe,
                retry_after: self.caps.retry_after,
                max_retry_after: self.caps.max_retry_after_ns,
            },
            rules: Rules {
                answer_slack: self.obligations.grace_to_answer_ns,
                drain_grace: self.obligations.drain_grace_ns,
                cold_from: self.obligations.cold_from.unwrap_or(1.0),
                warm_after: self.obligations.warm_after_ns,
                overload_factor: self.obligations.overload_factor.unwrap_or(1.0),
                tip_after: self.obligations.tip_after_ns,
            },
            tick: self.step_ns,
        };
        Ok((settings, names, transport))
    }
}

fn class(p: &Profile) -> Result<Class, String> {
    let group = match p.group.as_str() {
        "all" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ if p.repeat == "keyed" => return Err(format!("profiles: {}: unknown group", p.name)),
        _ => Group::Cell,
    };
    Ok(Class {
        effect: match p.repeat.as_str() {
            "safe" => Effect::Safe,
            "keyed" => Effect::Keyed {
                group,
                window: p.memory_span_ns,
            },
            _ => Effect::Unsafe,
        },
        aim: p.goal_time_ns,
        deadline: p.give_up_ns,
        worth: p.worth,
        late_value: p.late_value,
    })
}
