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
pub struct ServerId(pub u64);
/// Which attempt of a request, counted from 0 in the order of its `Send`s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);
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
pub struct Token(pub u64);

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Repeats are discarded by the servers of `group` for `window` after the first send that may have run.
    Keyed {
        /// Who discards a repeat.
        group: Group,
        /// For how long.
        window: Nanos,
    },
    /// Must never run twice.
    Unsafe,
}

/// The servers that share the memory of which keyed requests they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Whether a repeat is harmless.
    pub effect: Effect,
    /// An answer within this earns the full worth.
    pub aim: Nanos,
    /// The client's whole patience, over all its tries; must not be 0.
    pub deadline: Nanos,
    /// What one request is worth.
    pub worth: f64,
    /// The fraction of the worth that an answer past the aim still earns.
    pub late_value: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all routers, that lie within its share.
    pub allowance_per_s: f64,
}

/// How a read that a cache lacks is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The cache fetches it and answers.
    Through,
    /// The cache answers [`Outcome::Miss`]; the router asks the listed server of this kind.
    Aside {
        /// The kind of machine that is the origin.
        kind: usize,
    },
}

/// How the list of servers comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive by themselves.
    Pushed,
    /// Changes arrive after [`Action::Watch`]; without it the router counts as told after this long.
    Asked {
        /// How long without a watch or a call until the router counts as told.
        within: Nanos,
    },
}

/// What the site allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts for one request, copies included.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`Action::Probe`] may be used.
    pub probes: bool,
    /// Clients are told the advice of [`Action::Refuse`].
    pub retry_after: bool,
    /// The longest advice a client follows.
    pub max_retry_after: Nanos,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer still counts this long after the deadline.
    pub answer_slack: Nanos,
    /// Nothing new may reach a draining server later than this after the router was told.
    pub drain_grace: Nanos,
    /// The share of its capacity that a fresh server starts with, at least.
    pub cold_from: f64,
    /// A fresh server is warm this long after its start, at the latest.
    pub warm_after: Nanos,
    /// A cold server sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long falls over.
    pub tip_after: Nanos,
}

/// All that one router is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// How many routers share the fleet, this one included.
    pub routers: usize,
    /// How reads that a cache lacks are served.
    pub origin: Origin,
    /// How the list of servers comes.
    pub discovery: Discovery,
    /// Whether stated weights change from list to list with load; such weights do not place slots.
    pub live_weights: bool,
    /// What the site allows.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// The least time between two calls of `handle`; a timer may come this much late.
    pub tick: Nanos,
}

impl Settings {
    /// How many tiers an [`Allowance`] has: each class within and beyond its tenant's share.
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
        if self.limits.max_attempts == 0 {
            return wrong("limits.max_attempts".into(), "must be over 0");
        }
        if self.routers == 0 {
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
pub enum Phase {
    /// Takes requests.
    #[default]
    Up,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Gone.
    Removed,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: usize,
    /// Its kind of machine.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// What the list says of it.
    pub phase: Phase,
    /// Stated size, comparable across servers.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started: Nanos,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The changed lines only.
    Patch,
    /// All lines; a server without one is gone.
    Whole,
    /// All lines as this router last held them; may be old.
    Stale,
    /// A call failed or the watch broke; no lines.
    Failed,
}

/// A server's report of its load; what it does not state is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests waiting there.
    pub queue: Option<f64>,
    /// How busy its cores are.
    pub busy: Option<f64>,
    /// Its recent service time in milliseconds, without waiting.
    pub latency_ms: Option<f64>,
    /// Requests it serves a second.
    pub per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
    /// Share of reads that hit, lately.
    pub hit_share: Option<f64>,
    /// Fetches it has out at the origin.
    pub fetches: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// The server answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by us; may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// The cache holds no value for the key.
    Miss,
    /// Something this version has no name for, or that can't be read; may have run.
    Unknown,
    /// The server says that the request itself is of no use; so would every other.
    Unfit,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss
        )
    }
}

/// What the server says of its cache with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheNote {
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
    pub patience: Nanos,
    /// Estimated work on a standard core.
    pub work: Option<Nanos>,
    /// Whether it changes what its key names.
    pub write: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// Where it went.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Since its own send.
    pub latency: Nanos,
    /// Whether the request has its final answer, by this or before.
    pub finished: bool,
    /// What the cache said.
    pub note: Option<CacheNote>,
    /// The report that came along.
    pub load: Option<Load>,
}

/// What happens to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    List {
        /// What the lines stand for.
        scope: ListScope,
        /// The lines.
        entries: Vec<Entry>,
    },
    /// A client request; exactly one final answer is owed from now on.
    Request(NewRequest),
    /// An attempt ended; each `Send` brings exactly one.
    Ended(Ended),
    /// The first byte of a streamed answer has come; the attempt belongs to the client.
    Begun {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// The client left; nothing is owed any more.
    Gone(RequestId),
    /// A probe ended.
    Probed {
        /// Which server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// The report that came along.
        load: Option<Load>,
    },
    /// A timer is due.
    Timer(Token),
    /// The router ends: whatever is open is answered by then, if its client waits that long.
    Ending(Nanos),
    /// Discovery answers, or is another from now on: what failed before says nothing of it.
    DiscoveryAnew,
    /// So many routers share the fleet now, this one included; goes before [`Settings::routers`].
    Routers(usize),
    /// What all routers agree to let in from now on; without it, all.
    Allowance(Allowance),
}

/// Tiers that are counted apart; the dearest beyond them are counted as one.
pub const TIERS_COUNTED: usize = 16;

/// What a router let in, and what of it found no room, since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tally {
    /// Requests let in, by tier (see [`Allowance::level`]).
    pub let_in: [u32; TIERS_COUNTED],
    /// Those that were turned away after that, for want of room at the caches. Late answers are not among them: they tell of
    /// what was let in a second ago, and the level swung by them.
    pub short: u32,
}

impl Tally {
    /// Adds another's counts.
    pub fn add(&mut self, other: &Tally) {
        self.short = self.short.saturating_add(other.short);
        for (sum, more) in self.let_in.iter_mut().zip(other.let_in) {
            *sum = sum.saturating_add(more);
        }
    }

    /// All that was let in.
    pub fn all(&self) -> u32 {
        self.let_in.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }
}

/// How far all routers of a fleet shed load together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// So many tiers are shed: 0 none, [`Settings::tiers`] all. A tier is a class within or beyond its tenant's share, by
    /// worth; of the last one the fraction is shed. Always a twentieth of a tier gets in.
    pub level: f64,
    /// Which requests of a tier are shed turns with this number, the same at all routers at a time.
    pub turn: u64,
    /// When the next turn begins, on the caller's clock.
    pub turn_ends: Nanos,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// Why a request was turned away, made to wait or given up, or why an attempt was not made.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Reason {
            $($(#[$doc])* $variant,)*
        }

        impl Reason {
            /// Every reason, in the order of its number (`reason as usize`).
            pub const ALL: [Reason; [$(Reason::$variant),*].len()] = [$(Reason::$variant),*];

            /// The name by which logs and counters call it.
            pub fn name(self) -> &'static str {
                match self {
                    $(Reason::$variant => $name,)*
                }
            }
        }
    };
}

reasons! {
    /// Too little of what was sent lately was answered in time.
    Fleet = "fleet",
    /// All routers shed requests of its class for now, this one among them.
    Level = "level",
    /// The key is not known to be held, and fetches fail or take long.
    Origin = "origin",
    /// As many attempts are out at each usable candidate as it may have.
    Limit = "limit",
    /// A candidate's limit is under one, and it was sent something just now.
    Spacing = "spacing",
    /// A candidate has started lately and has had its due.
    Cold = "cold",
    /// No server is listed.
    NoList = "no_list",
    /// No server is left to which it may lawfully go, or all attempts are used.
    Nowhere = "nowhere",
    /// The client's time is up.
    #[default]
    Late = "late",
    /// The servers turn so much away that another attempt would most likely be in vain.
    Vain = "vain",
    /// Fetches fail so often that another attempt would only keep the origin there.
    Distress = "distress",
    /// The budget for copies or retries is spent.
    Budget = "budget",
    /// A server has said that the request itself is of no use.
    Unfit = "unfit",
    /// The settings have no such class.
    UnknownClass = "unknown_class",
}

/// A reason, with the figures that it was decided by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Why {
    /// The reason.
    pub reason: Reason,
    /// Attempts out at the request's first candidate.
    pub out: usize,
    /// That candidate's limit of attempts out.
    pub limit: f64,
    /// Share of reads of unknown keys that is let through, 0 to 1.
    pub room: f64,
    /// Mean latency when little waits: of the candidate, or of fetches where the origin is the reason.
    pub base: Nanos,
    /// The same mean lately.
    pub now: Nanos,
}

/// What was not done for a request that is still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// It waits for room.
    Held,
    /// It was late and got no copy.
    Copy,
}

/// What the router is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request.
    Send {
        /// The request.
        request: RequestId,
        /// Which of its attempts this is.
        attempt: AttemptNo,
        /// Where to.
        server: ServerId,
        /// Its time-out; `None`: until the client gives up.
        timeout: Option<Nanos>,
        /// Its first byte is written within this, in nanoseconds, or never: later the servers no longer discard it as a
        /// repeat. `None`: no such bound.
        begin_within: Option<Nanos>,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        why: Why,
    },
    /// Final answer: turned away, a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Nanos,
        /// Why.
        why: Why,
    },
    /// Nothing to do: what was withheld from an open request, for counters and logs.
    Note {
        /// The request.
        request: RequestId,
        /// What.
        withheld: Withheld,
        /// Why.
        why: Why,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close the idle connections to a server.
    Close(ServerId),
    /// Ask to be told of list changes from now on.
    Watch,
    /// Bring back [`Event::Timer`] after this long.
    Timer {
        /// How long from now.
        after: Nanos,
        /// Comes back with the event.
        token: Token,
    },
    /// A line for the people on call.
    Log(String),
}
