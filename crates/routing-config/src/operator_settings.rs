//! The operators' settings object. Unknown keys are ignored. Missing keys take the default stated
//! at their field; where none is stated, the default is 0, `false` or empty.

use routing::Nanos;
use serde::Deserialize;

/// Value of `membership_mode`: discovery pushes endpoint lists without being queried.
pub(crate) const DISCOVERY_PUSHED: &str = "automatic";
/// Value of `membership_mode`: the balancer queries discovery.
pub(crate) const DISCOVERY_POLLED: &str = "subscribe";

/// The settings object; its field names are the operators' JSON keys.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct OperatorSettings {
    /// Tenants.
    pub(crate) accounts: Vec<TenantSettings>,
    /// Names of the zones.
    pub(crate) areas: Vec<String>,
    /// Features that the balancer may use, and limits.
    pub(crate) caps: CapabilitySettings,
    /// Contents of load reports.
    pub(crate) feedback: LoadReportSettings,
    /// Number of balancers that share quotas and limits; 0 counts as 1.
    pub(crate) group_size: usize,
    /// Names of the kinds of machine.
    pub(crate) machine_types: Vec<String>,
    /// How endpoint lists are received: `automatic` means pushed by discovery, any other value
    /// polled.
    pub(crate) membership_mode: String,
    /// Times and factors set by the service agreement.
    pub(crate) obligations: ServiceRuleSettings,
    /// Factor on the priority weight of a request beyond its tenant's quota.
    pub(crate) over_share_worth: f64,
    /// Classes of requests.
    pub(crate) profiles: Vec<ClassSettings>,
    /// Source of values that are not cached.
    pub(crate) specifics: OriginSettings,
    /// Resolution of timers, in nanoseconds.
    pub(crate) step_ns: Nanos,
    /// `live` if the weights of endpoints change while they are in service; such weights are
    /// ignored.
    pub(crate) weights: String,
}

/// Tenant with its quota.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct TenantSettings {
    /// Name of the tenant in requests.
    pub(crate) name: String,
    /// Quota over all balancers, in requests per second.
    pub(crate) allowance_per_s: f64,
}

/// Features that the balancer may use, and limits on attempts and connections.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct CapabilitySettings {
    /// Whether attempts can be cancelled.
    pub(crate) may_cancel: bool,
    /// Whether endpoints answer health checks.
    pub(crate) may_probe: bool,
    /// Whether rejections contain a retry-after time.
    pub(crate) retry_after: bool,
    /// Maximum retry-after time, in nanoseconds.
    pub(crate) max_retry_after_ns: Nanos,
    /// Whether reads may be hedged.
    pub(crate) second_copies: bool,
    /// Maximum number of attempts for one request; default 1.
    pub(crate) max_attempts: Option<u32>,
    /// Idle time after which endpoints close a connection, in nanoseconds; default 10 s.
    pub(crate) conn_idle_ns: Option<Nanos>,
    /// Timeout for establishing a connection, in nanoseconds; default 500 ms.
    pub(crate) connect_timeout_ns: Option<Nanos>,
    /// Maximum number of open requests; default 10,000.
    pub(crate) max_open: Option<usize>,
}

/// Contents of load reports.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct LoadReportSettings {
    /// Names of the columns of a load report, in order.
    pub(crate) columns: Vec<String>,
}

/// Times and factors set by the service agreement.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct ServiceRuleSettings {
    /// Time after its deadline during which a request may still be answered, in nanoseconds.
    pub(crate) grace_to_answer_ns: Nanos,
    /// Staleness limit of a polled endpoint list, in nanoseconds: time without a call to discovery
    /// after which the balancer counts as notified of every change.
    pub(crate) must_ask_in_ns: Nanos,
    /// Fraction of its capacity with which a cache starts; default 1.
    pub(crate) cold_from: Option<f64>,
    /// Time from a cache's start until it has its full capacity, in nanoseconds.
    pub(crate) warm_after_ns: Nanos,
    /// Time after the balancer is notified that an endpoint drains or was removed, during which
    /// attempts may still be sent to it, in nanoseconds; afterwards none may. The engine does not
    /// read this value, because it sends nothing new from the notification on; the balancer paces
    /// the reopening of discovery watches by it.
    pub(crate) drain_grace_ns: Nanos,
    /// Multiple of its present capacity above which load makes a cache in slow start fail, if the
    /// load lasts for `tip_after_ns`; default 1. The engine does not read this value, because it
    /// keeps the slow start budget far below this load.
    pub(crate) overload_factor: Option<f64>,
    /// Time for which such a load has to last for the cache to fail, in nanoseconds.
    pub(crate) tip_after_ns: Nanos,
}

/// Class of requests.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct ClassSettings {
    /// Name of the class in requests.
    pub(crate) name: String,
    /// `safe` means idempotent, `keyed` means deduplicated by idempotency key within `group`;
    /// requests with any other value must not be repeated.
    pub(crate) repeat: String,
    /// Deduplication scope of keyed requests: `all`, `zone` or `cell`.
    pub(crate) group: String,
    /// Deduplication window of keyed requests, in nanoseconds.
    pub(crate) memory_span_ns: Nanos,
    /// Latency objective, in nanoseconds.
    pub(crate) goal_time_ns: Nanos,
    /// Deadline, in nanoseconds from the request's arrival; must be over 0.
    pub(crate) give_up_ns: Nanos,
    /// Priority weight of a request.
    pub(crate) worth: f64,
    /// Fraction of the priority weight that an answer after the latency objective still has.
    pub(crate) late_value: f64,
}

/// Source of values that are not cached.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct OriginSettings {
    /// `aside` if the balancer fetches missing values from the origin itself; with any other value
    /// the caches fetch them.
    pub(crate) mode: String,
    /// Index of the origin's kind in `machine_types`; without it `aside` has no effect.
    pub(crate) origin_kind: Option<i64>,
}

impl OperatorSettings {
    /// Returns warnings about accepted settings that are probably mistakes: the key, its value and
    /// the consequence.
    #[must_use]
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        let mode = self.membership_mode.as_str();
        if ![DISCOVERY_PUSHED, DISCOVERY_POLLED].contains(&mode) {
            warnings.push(format!(
                "membership_mode: \"{mode}\" is unknown; \
                 lists are polled as with \"{DISCOVERY_POLLED}\""
            ));
        }
        if self.group_size == 0 {
            warnings.push(
                "group_size: 0 or missing; the balancer assumes that it is the only one".into(),
            );
        }
        if self.obligations.drain_grace_ns == 0 {
            warnings.push(
                "obligations.drain_grace_ns: 0 or missing; \
                 attempts already on their way when an endpoint starts to drain arrive too late"
                    .into(),
            );
        }
        warnings
    }
}
