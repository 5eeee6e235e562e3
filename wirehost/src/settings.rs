//! The settings as they stand on the wire, and their translation.

use finchyard::{Class, Discovery, Effect, Group, Limits, Nanos, Origin, Rules, Settings, Tenant};
use serde::Deserialize;

/// The wire's settings; keys that are not named here are skipped, missing ones take a cautious default.
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
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report: Vec<String>,
}

impl Setup {
    /// What the brain is told, and the names that only the wire uses.
    pub fn translate(self) -> Result<(Settings, Names), String> {
        let names = Names {
            classes: self.profiles.iter().map(|p| p.name.clone()).collect(),
            tenants: self.accounts.iter().map(|a| a.name.clone()).collect(),
            zones: self.areas,
            kinds: self.machine_types,
            report: self.feedback.columns,
        };
        let origin_kind = self.specifics.origin_kind.and_then(|k| usize::try_from(k).ok());
        let settings = Settings {
            classes: self.profiles.iter().map(class).collect::<Result<_, _>>()?,
            tenants: self.accounts.iter().map(|a| Tenant { allowance_per_s: a.allowance_per_s }).collect(),
            over_share_worth: self.over_share_worth,
            routers: self.group_size.max(1),
            origin: match (self.specifics.mode.as_str(), origin_kind) {
                ("aside", Some(kind)) => Origin::Aside { kind },
                _ => Origin::Through,
            },
            discovery: match self.membership_mode.as_str() {
                "subscribe" => Discovery::Asked { within: self.obligations.must_ask_in_ns },
                _ => Discovery::Pushed,
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
        Ok((settings, names))
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
            "keyed" => Effect::Keyed { group, window: p.memory_span_ns },
            _ => Effect::Unsafe,
        },
        aim: p.goal_time_ns,
        deadline: p.give_up_ns,
        worth: p.worth,
        late_value: p.late_value,
    })
}
