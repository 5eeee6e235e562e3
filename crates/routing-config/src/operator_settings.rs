//! The operators' settings object, key by key. Keys that are not named here are skipped, missing
//! ones take the default that their field names; where it names none, the default is 0, `false` or
//! empty.

use routing::Nanos;
use serde::Deserialize;

/// Discovery pushes endpoint lists without being asked.
pub(crate) const DISCOVERY_PUSHED: &str = "automatic";
/// The balancer has to query discovery.
pub(crate) const DISCOVERY_POLLED: &str = "subscribe";

/// The settings object, with the operators' own names as its fields.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct OperatorSettings {
    /// The tenants.
    pub(crate) accounts: Vec<Account>,
    /// Names of the zones.
    pub(crate) areas: Vec<String>,
    /// What the balancer may do.
    pub(crate) caps: Caps,
    /// What load reports hold.
    pub(crate) feedback: Feedback,
    /// How many balancers share quotas and limits; 0 counts as 1.
    pub(crate) group_size: usize,
    /// Names of the kinds of machine.
    pub(crate) machine_types: Vec<String>,
    /// How endpoint lists come: `automatic` is pushed, anything else is polled.
    pub(crate) membership_mode: String,
    /// Times and factors that the service promises or demands.
    pub(crate) obligations: Obligations,
    /// Factor on the priority weight of a request beyond its tenant's quota.
    pub(crate) over_share_worth: f64,
    /// The request classes.
    pub(crate) profiles: Vec<Profile>,
    /// Where values come from when a cache misses.
    pub(crate) specifics: Specifics,
    /// Resolution of timers, in ns.
    pub(crate) step_ns: Nanos,
    /// `live` if the weights of endpoints change while they serve.
    pub(crate) weights: String,
}

/// A tenant.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Account {
    /// The name by which requests speak of it.
    pub(crate) name: String,
    /// Its quota over all balancers, in requests a second.
    pub(crate) allowance_per_s: f64,
}

/// What the balancer may do, and limits on its connections.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Caps {
    /// Attempts can be cancelled.
    pub(crate) may_cancel: bool,
    /// Endpoints answer health checks.
    pub(crate) may_probe: bool,
    /// Rejections carry a retry-after time.
    pub(crate) retry_after: bool,
    /// The longest retry-after time, in ns.
    pub(crate) max_retry_after_ns: Nanos,
    /// Reads may be hedged.
    pub(crate) second_copies: bool,
    /// Attempts for one request at most; default 1.
    pub(crate) max_attempts: Option<u32>,
    /// Endpoints close connections that were idle for so long, in ns; default 10 s.
    pub(crate) conn_idle_ns: Option<Nanos>,
    /// Limit on establishing a connection, in ns; default 500 ms.
    pub(crate) connect_timeout_ns: Option<Nanos>,
    /// Open requests at most; default 10,000.
    pub(crate) max_open: Option<usize>,
}

/// What load reports hold.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Feedback {
    /// The columns of a load report, in order.
    pub(crate) columns: Vec<String>,
}

/// Times and factors that the service promises or demands.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Obligations {
    /// How long after its deadline a request may still be answered, in ns.
    pub(crate) grace_to_answer_ns: Nanos,
    /// The staleness limit of a polled endpoint list, in ns.
    pub(crate) must_ask_in_ns: Nanos,
    /// The fraction of its speed at which a fresh cache begins; default 1.
    pub(crate) cold_from: Option<f64>,
    /// How long a fresh cache takes to warm up, in ns.
    pub(crate) warm_after_ns: Nanos,
    /// How long a draining endpoint still finishes its attempts, in ns.
    pub(crate) drain_grace_ns: Nanos,
    /// The load beyond capacity, as a factor, from which an endpoint is overloaded; default 1.
    pub(crate) overload_factor: Option<f64>,
    /// How long that load has to last, in ns.
    pub(crate) tip_after_ns: Nanos,
}

/// A request class.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Profile {
    /// The name by which requests speak of it.
    pub(crate) name: String,
    /// `safe` is idempotent, `keyed` is idempotent by key within `group`; anything else must not be
    /// repeated.
    pub(crate) repeat: String,
    /// Deduplication scope of keyed requests: `all`, `zone` or `cell`.
    pub(crate) group: String,
    /// Deduplication window of keyed requests, in ns.
    pub(crate) memory_span_ns: Nanos,
    /// Latency objective, in ns.
    pub(crate) goal_time_ns: Nanos,
    /// Deadline, in ns from the request's arrival; has to be over 0.
    pub(crate) give_up_ns: Nanos,
    /// Priority weight.
    pub(crate) worth: f64,
    /// The fraction of its weight that an answer past the objective still earns.
    pub(crate) late_value: f64,
}

/// Where values come from when a cache misses.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Specifics {
    /// `aside` if the balancer fetches from the origin; anything else reads through.
    pub(crate) mode: String,
    /// The origin's index in `machine_types`; without it `aside` is not in force.
    pub(crate) origin_kind: Option<i64>,
}

impl OperatorSettings {
    /// Settings that are accepted and yet worth a warning: the key, its value, and what follows.
    #[must_use]
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        let mode = self.membership_mode.as_str();
        if ![DISCOVERY_PUSHED, DISCOVERY_POLLED].contains(&mode) {
            warnings.push(format!(
                "membership_mode: \"{mode}\" is no known way; lists are asked for as by \"{DISCOVERY_POLLED}\""
            ));
        }
        if self.group_size == 0 {
            warnings.push("group_size: 0 or missing; this balancer counts as the only one".into());
        }
        if self.obligations.drain_grace_ns == 0 {
            warnings.push(
                "obligations.drain_grace_ns: 0 or missing; what is under way at the news comes too late"
                    .into(),
            );
        }
        warnings
    }
}
