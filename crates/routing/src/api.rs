//! The interface of the decision module: what it is told and what it answers.
//!
//! Times are nanoseconds on the caller's own monotonic clock; spans are nanoseconds too.

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// A client request, by a number the router never uses twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);
/// A cache server (or the origin), the same at every router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);
/// Which attempt of a request, counted from 0 in the order of its `Send`s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);
/// What a request concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);
/// Position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// Position in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
/// Handed out with [`Action::Timer`], given back with [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Repeats are discarded by the servers of `group` for `window` after the first send that may have run.
    Keyed {
        /// Who discards a repeat.
        scope: DeduplicationScope,
        /// For how long.
        window: Nanos,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The servers that share the memory of which keyed requests they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Whether a repeat is harmless.
    pub idempotency: Idempotency,
    /// An answer within this earns the full worth.
    pub latency_objective: Nanos,
    /// The client's whole patience, over all its tries; must not be 0.
    pub deadline: Nanos,
    /// What one request is worth.
    pub priority_weight: f64,
    /// The fraction of the worth that an answer past the aim still earns.
    pub late_value_fraction: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all routers, that lie within its share.
    pub quota_per_second: f64,
}

/// How a read that a cache lacks is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginMode {
    /// The cache fetches it and answers.
    ReadThrough,
    /// The cache answers [`AttemptOutcome::CacheMiss`]; the router asks the listed server of this kind.
    CacheAside {
        /// The kind of machine that is the origin.
        kind: usize,
    },
}

/// How the list of servers comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive by themselves.
    Push,
    /// Changes arrive after [`Action::Watch`]; without it the router counts as told after this long.
    Poll {
        /// How long without a watch or a call until the router counts as told.
        staleness_limit: Nanos,
    },
}

/// What the site allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Capabilities {
    /// Attempts for one request, copies included.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub hedging: bool,
    /// [`Action::Cancel`] may be used.
    pub cancellation: bool,
    /// [`Action::Probe`] may be used.
    pub health_checks: bool,
    /// Clients are told the advice of [`Action::Refuse`].
    pub retry_after: bool,
    /// The longest advice a client follows.
    pub max_retry_after: Nanos,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRules {
    /// A final answer still counts this long after the deadline.
    pub final_answer_grace: Nanos,
    /// Nothing new may reach a draining server later than this after the router was told.
    pub drain_grace: Nanos,
    /// The share of its capacity that a fresh server starts with, at least.
    pub slow_start_fraction: f64,
    /// A fresh server is warm this long after its start, at the latest.
    pub slow_start_duration: Nanos,
    /// A cold server sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long falls over.
    pub overload_window: Nanos,
}

/// All that one router is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction.
    pub over_quota_weight: f64,
    /// How many routers share the fleet, this one included.
    pub balancers: usize,
    /// How reads that a cache lacks are served.
    pub origin: OriginMode,
    /// How the list of servers comes.
    pub discovery: DiscoveryMode,
    /// Whether stated weights change from list to list with load; such weights do not place slots.
    pub dynamic_weights: bool,
    /// What the site allows.
    pub capabilities: Capabilities,
    /// The figures of the rules.
    pub rules: ServiceRules,
    /// The least time between two calls of `handle`; a timer may come this much late.
    pub tick: Nanos,
}

impl Settings {
    /// How many tiers an [`SheddingLevel`] has: each class within and beyond its tenant's share.
    pub fn tiers(&self) -> usize {
        2 * self.classes.len()
    }

    /// Settings that contradict themselves are named, not guessed at.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |field: String, problem| Err(SettingsError { field, problem });
        if self.classes.is_empty() {
            return wrong("classes".into(), "there is no class");
        }
        if let Some(i) = self.classes.iter().position(|c| c.deadline == 0) {
            return wrong(format!("classes[{i}].deadline"), "must be over 0");
        }
        if self.capabilities.max_attempts == 0 {
            return wrong("limits.max_attempts".into(), "must be over 0");
        }
        if self.balancers == 0 {
            return wrong("routers".into(), "must be over 0: this one counts");
        }
        Ok(())
    }
}

/// A setting that contradicts itself or the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, as a path such as `classes[0].deadline`.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}
impl std::error::Error for SettingsError {}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    Active,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Gone.
    Removed,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Which server.
    pub id: EndpointId,
    /// Its zone.
    pub zone: usize,
    /// Its kind of machine.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// What the list says of it.
    pub state: EndpointState,
    /// Stated size, comparable across servers.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started: Nanos,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The changed lines only.
    Delta,
    /// All lines; a server without one is gone.
    Full,
    /// All lines as this router last held them; may be old.
    Stale,
    /// A call failed or the watch broke; no lines.
    Failed,
}

/// A server's report of its load; what it does not state is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests waiting there.
    pub queue_depth: Option<f64>,
    /// How busy its cores are.
    pub utilization: Option<f64>,
    /// Its recent service time in milliseconds, without waiting.
    pub service_time_ms: Option<f64>,
    /// Requests it serves a second.
    pub requests_per_second: Option<f64>,
    /// Errors a second.
    pub errors_per_second: Option<f64>,
    /// Share of reads that hit, lately.
    pub hit_ratio: Option<f64>,
    /// Fetches it has out at the origin.
    pub origin_fetches: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered.
    Ok,
    /// The server answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by us; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The cache holds no value for the key.
    CacheMiss,
    /// Something this version has no name for, or that can't be read; may have run.
    Unreadable,
    /// The server says that the request itself is of no use; so would every other.
    InvalidRequest,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn proves_no_effect(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::NotSent
                | AttemptOutcome::CacheMiss
        )
    }
}

/// What the server says of its cache with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// It held the value.
    Hit,
    /// It did not.
    Miss,
    /// It did not, and has another request fetching it.
    MissPending,
}

/// A client request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// What it concerns, if anything.
    pub key: Option<Key>,
    /// How long until the client gives up on this try.
    pub client_timeout: Nanos,
    /// Estimated work on a standard core.
    pub estimated_work: Option<Nanos>,
    /// Whether it changes what its key names.
    pub is_write: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNumber,
    /// Where it went.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Since its own send.
    pub latency: Nanos,
    /// Whether the request has its final answer, by this or before.
    pub request_finished: bool,
    /// What the cache said.
    pub cache_status: Option<CacheStatus>,
    /// The report that came along.
    pub load_report: Option<LoadReport>,
}

/// What happens to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointUpdate {
        /// What the lines stand for.
        kind: UpdateKind,
        /// The lines.
        endpoints: Vec<Endpoint>,
    },
    /// A client request; exactly one final answer is owed from now on.
    RequestArrived(NewRequest),
    /// An attempt ended; each `Send` brings exactly one.
    AttemptEnded(AttemptResult),
    /// The first byte of a streamed answer has come; the attempt belongs to the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// The client left; nothing is owed any more.
    ClientDisconnected(RequestId),
    /// A probe ended.
    HealthCheckEnded {
        /// Which server.
        endpoint: EndpointId,
        /// How.
        outcome: AttemptOutcome,
        /// The report that came along.
        load_report: Option<LoadReport>,
    },
    /// A timer is due.
    TimerFired(TimerToken),
    /// The router ends: whatever is open is answered by then, if its client waits that long.
    ShuttingDown(Nanos),
    /// Discovery answers, or is another from now on: what failed before says nothing of it.
    DiscoveryAvailable,
    /// So many routers share the fleet now, this one included; goes before [`Settings::routers`].
    BalancerCount(usize),
    /// What all routers agree to let in from now on; without it, all.
    FleetShedding(SheddingLevel),
}

/// Tiers that are counted apart; the dearest beyond them are counted as one.
pub const COUNTED_TIERS: usize = 16;

/// What a router let in, and what of it found no room, since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AdmissionCounts {
    /// Requests let in, by tier (see [`SheddingLevel::level`]).
    pub admitted: [u32; COUNTED_TIERS],
    /// Those that were turned away after that, for want of room at the caches. Late answers are not among them: they tell of
    /// what was let in a second ago, and the level swung by them.
    pub capacity_rejections: u32,
}

impl AdmissionCounts {
    /// Adds another's counts.
    pub fn add(&mut self, other: &AdmissionCounts) {
        self.capacity_rejections = self
            .capacity_rejections
            .saturating_add(other.capacity_rejections);
        for (sum, more) in self.admitted.iter_mut().zip(other.admitted) {
            *sum = sum.saturating_add(more);
        }
    }

    /// All that was let in.
    pub fn total_admitted(&self) -> u32 {
        self.admitted
            .iter()
            .fold(0, |sum, n| sum.saturating_add(*n))
    }
}

/// How far all routers of a fleet shed load together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingLevel {
    /// So many tiers are shed: 0 none, [`Settings::tiers`] all. A tier is a class within or beyond its tenant's share, by
    /// worth; of the last one the fraction is shed. Always a twentieth of a tier gets in.
    pub level: f64,
    /// Which requests of a tier are shed turns with this number, the same at all routers at a time.
    pub rotation: u64,
    /// When the next turn begins, on the caller's clock.
    pub rotation_ends: Nanos,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// Why a request was turned away, made to wait or given up, or why an attempt was not made.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub enum DecisionReason {
            $($(#[$doc])* $variant,)*
        }

        impl DecisionReason {
            /// Every reason, in the order of its number (`reason as usize`).
            pub const ALL: [DecisionReason; [$(DecisionReason::$variant),*].len()] = [$(DecisionReason::$variant),*];

            /// The name by which logs and counters call it.
            pub fn name(self) -> &'static str {
                match self {
                    $(DecisionReason::$variant => $name,)*
                }
            }
        }
    };
}

reasons! {
    /// Too little of what was sent lately was answered in time.
    FleetOverload = "fleet",
    /// All routers shed requests of its class for now, this one among them.
    FleetShedding = "level",
    /// The key is not known to be held, and fetches fail or take long.
    OriginProtection = "origin",
    /// As many attempts are out at each usable candidate as it may have.
    ConcurrencyLimit = "limit",
    /// A candidate's limit is under one, and it was sent something just now.
    Pacing = "spacing",
    /// A candidate has started lately and has had its due.
    SlowStart = "cold",
    /// No server is listed.
    NoEndpoints = "no_list",
    /// No server is left to which it may lawfully go, or all attempts are used.
    NoEligibleEndpoint = "nowhere",
    /// The client's time is up.
    #[default]
    DeadlineExceeded = "late",
    /// The servers turn so much away that another attempt would most likely be in vain.
    RetryFutile = "vain",
    /// Fetches fail so often that another attempt would only keep the origin there.
    OriginOverload = "distress",
    /// The budget for copies or retries is spent.
    BudgetExhausted = "budget",
    /// A server has said that the request itself is of no use.
    InvalidRequest = "unfit",
    /// The settings have no such class.
    UnknownClass = "unknown_class",
}

/// A reason, with the figures that it was decided by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Explanation {
    /// The reason.
    pub reason: DecisionReason,
    /// Attempts out at the request's first candidate.
    pub in_flight: usize,
    /// That candidate's limit of attempts out.
    pub limit: f64,
    /// Share of reads of unknown keys that is let through, 0 to 1.
    pub origin_admitted_fraction: f64,
    /// Mean latency when little waits: of the candidate, or of fetches where the origin is the reason.
    pub baseline_latency: Nanos,
    /// The same mean lately.
    pub recent_latency: Nanos,
}

/// What was not done for a request that is still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deferral {
    /// It waits for room.
    Queued,
    /// It was late and got no copy.
    HedgeSuppressed,
}

/// What the router is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request.
    Send {
        /// The request.
        request: RequestId,
        /// Which of its attempts this is.
        attempt: AttemptNumber,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out; `None`: until the client gives up.
        timeout: Option<Nanos>,
        /// Its first byte is written within this, in nanoseconds, or never: later the servers no longer discard it as a
        /// repeat. `None`: no such bound.
        write_within: Option<Nanos>,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        explanation: Explanation,
    },
    /// Final answer: turned away, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Nanos,
        /// Why.
        explanation: Explanation,
    },
    /// Nothing to do: what was withheld from an open request, for counters and logs.
    Defer {
        /// The request.
        request: RequestId,
        /// What.
        deferral: Deferral,
        /// Why.
        explanation: Explanation,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// Probe a server.
    HealthCheck(EndpointId),
    /// Close the idle connections to a server.
    CloseIdleConnections(EndpointId),
    /// Ask to be told of list changes from now on.
    QueryDiscovery,
    /// Bring back [`Event::Timer`] after this long.
    SetTimer {
        /// How long from now.
        after: Nanos,
        /// Comes back with the event.
        token: TimerToken,
    },
    /// A line for the people on call.
    Log(String),
}
